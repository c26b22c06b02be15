"""A balancer as a process of its own with stated limits, and scripted upstreams and clients around it."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import struct
import subprocess
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.fakes import FakeDiscovery, answer, free_port
from tests.pinned.processes import clean_environ

# the least memory and the descriptors that the operators' pages name for a balancer
LEAST_MEMORY_MB, DESCRIPTORS = 32, 1024
DEADLINE_MS = 661
READY_S = 20.0
OWN_BUFFER_BYTES = 16 * 1024  # of a client or upstream that reads slowly, so that no kernel's default matters

SETTINGS: dict[str, Any] = {
    "registry_mode": "push",
    "profiles": [
        {"name": name, "repeat": repeat, "aim_ns": 264_000_000, "hard_limit_ns": DEADLINE_MS * 1_000_000}
        for name, repeat in (("quote", "read_like"), ("fee", "idempotency_key"), ("pay", "non_idempotent"))
    ],
    "limits": {"send_cap": 5, "connect_timeout_ns": 200_000_000, "may_cancel": True, "retry_after": True},
    "realms": [{"name": "desk", "quota_per_s": 500.0, "share": 1.0}],
}


@dataclass(eq=False)
class Call:
    """A request at an upstream.

    Attributes:
        number: The number of the request on its connection, from 0.
        head_s: When the head was complete (monotonic clock).
    """

    target: str
    headers: dict[str, str]
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    number: int
    head_s: float

    @property
    def id(self) -> str:
        return self.headers.get("x-request-id", "")

    async def read_body(self) -> bytes:
        if self.headers.get("transfer-encoding") != "chunked":
            return await self.reader.readexactly(int(self.headers.get("content-length", 0)))
        body = b""
        while size := int(await self.reader.readline(), 16):
            body += await self.reader.readexactly(size)
            await self.reader.readline()
        await self.reader.readline()
        return body

    async def write(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()


Handler = Callable[[Call], Awaitable[None]]


async def serve_at_once(call: Call) -> None:
    """Reads the body and answers with the request's id."""
    await call.read_body()
    await call.write(answer(200, call.id.encode()))


class Upstream:
    """A scripted upstream; `handler` serves each request. Load probes are answered at once.

    Attributes:
        started: The ids of requests, one entry for each time that the head of a request arrived.
        executed: The number of times that a request with an id arrived whole, as the handler recorded it.
    """

    def __init__(self, name: str, handler: Handler = serve_at_once, receive_buffer_bytes: int = 0) -> None:
        self.name, self.handler = name, handler
        self.started: list[tuple[str, float]] = []
        self.executed = Counter[str]()
        self.port = 0
        self._receive_buffer_bytes = receive_buffer_bytes
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._receive_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer_bytes)
        sock.bind(("127.0.0.1", port))
        limit = self._receive_buffer_bytes or 64 * 1024
        self._server = await asyncio.start_server(self._serve, sock=sock, limit=limit, backlog=1024)
        self.port = sock.getsockname()[1]

    def stop(self) -> None:
        """Ends the upstream as a process that dies does: its connections are reset."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        number = 0
        with suppress(OSError, EOFError, ValueError, asyncio.CancelledError, asyncio.LimitOverrunError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.strip().split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
                target = first.split(" ")[1]
                if target in ("/health", "/status/load"):
                    writer.write(answer(200, b"inflight=0,queue=0"))
                    continue
                call = Call(target, headers, reader, writer, number, time.monotonic())
                self.started.append((call.id, call.head_s))
                number += 1
                await self.handler(call)
        self._writers.discard(writer)
        writer.close()

    def row(self, state: str = "Ready", started_ms: int = 0) -> dict[str, Any]:
        return {
            "id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": "east", "kind": "m", "cell": 1,
            "state": state, "weight": 1.0, "started_ms": started_ms,
        }  # fmt: skip


@dataclass(eq=False)
class Daemon:
    """A balancer's process and its surroundings."""

    address: tuple[str, int]
    process: subprocess.Popen[bytes]
    discovery: FakeDiscovery
    log_path: Path
    upstreams: list[Upstream] = field(default_factory=list)

    @property
    def peak_mb(self) -> float:
        """The largest memory that the process has had (resident set), in MiB."""
        return self._status_kb("VmHWM") / 1024

    @property
    def resident_mb(self) -> float:
        return self._status_kb("VmRSS") / 1024

    def _status_kb(self, name: str) -> int:
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        return int(next(line.split()[1] for line in status.splitlines() if line.startswith(name)))

    @property
    def processor_s(self) -> float:
        """The processor time that the process has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / 100

    @property
    def descriptors(self) -> int:
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    @property
    def log(self) -> str:
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    @asynccontextmanager
    async def stopped(self) -> AsyncIterator[None]:
        """Stops the process (SIGSTOP) within the block, which begins once it stands still."""
        self.process.send_signal(signal.SIGSTOP)
        try:
            async with asyncio.timeout(READY_S):
                while Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
                    await asyncio.sleep(0.001)
            yield
        finally:
            self.process.send_signal(signal.SIGCONT)


@asynccontextmanager
async def daemon(
    folder: Path,
    upstreams: list[Upstream],
    *,
    memory_mb: int = LEAST_MEMORY_MB,
    sockets: int = DESCRIPTORS,
    settings: dict[str, Any] = SETTINGS,
    listener: socket.socket | None = None,
) -> AsyncIterator[Daemon]:
    """Starts a balancer and its upstreams; the block begins when the balancer is ready.

    With a `listener` the process inherits the clients' socket, and `successor` can start another one.
    """
    for upstream in upstreams:
        await upstream.start()
    discovery = FakeDiscovery(upstream.row() for upstream in upstreams)
    await discovery.start()
    address = ("127.0.0.1", free_port()) if listener is None else listener.getsockname()
    config = {
        "name": "n0", "listen": "{}:{}".format(*address), "seed": "8c1f", "settings": settings,
        "discovery": "{}:{}".format(*discovery.socket_address), "known": discovery.snapshot(),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
    }  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    balancer = Daemon(address, _spawn(folder, "log.txt", listener), discovery, folder / "log.txt", upstreams)
    try:
        await _wait_ready(balancer)
        yield balancer
    finally:
        _end(balancer.process)
        discovery.stop()
        for upstream in upstreams:
            upstream.stop()


@asynccontextmanager
async def successor(folder: Path, before: Daemon, listener: socket.socket) -> AsyncIterator[Daemon]:
    """Starts the next process of a balancer on the same socket, as an upgrade does; both then serve."""
    process = _spawn(folder, "log-2.txt", listener)
    after = Daemon(before.address, process, before.discovery, folder / "log-2.txt", before.upstreams)
    try:
        async with before.stopped():  # so that the new process answers
            await _wait_ready(after)
        yield after
    finally:
        _end(process)


def _spawn(folder: Path, log_name: str, listener: socket.socket | None) -> subprocess.Popen[bytes]:
    environ = {"BALANCER_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)}
    descriptors = []
    if listener is not None:
        environ["BALANCER_FD"] = str(listener.fileno())
        descriptors.append(listener.fileno())
    with (folder / log_name).open("wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "lanelift"],
            stderr=log,
            env=clean_environ(**environ),
            pass_fds=descriptors,
        )


def _end(process: subprocess.Popen[bytes]) -> None:
    process.send_signal(signal.SIGCONT)
    process.kill()
    process.wait()


async def _wait_ready(balancer: Daemon) -> None:
    async with asyncio.timeout(READY_S):
        while True:
            with suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(*balancer.address)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            assert balancer.process.poll() is None, balancer.log
            await asyncio.sleep(0.02)


# ---- clients ---------------------------------------------------------------------------------------------


def head(
    name: str, kind: str = "quote", deadline_ms: int = DEADLINE_MS, *rows: str, method: str = ""
) -> bytes:
    """Returns the head of a request of a class."""
    method = method or ("GET" if kind == "quote" else "POST")
    lines = [
        f"{method} /{kind} HTTP/1.1", "Host: origin.svc", f"X-Request-Id: {name}", f"X-Class: {kind}",
        "X-Tenant: desk", f"X-Deadline-Ms: {deadline_ms}", *rows,
    ]  # fmt: skip
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"


def with_length(name: str, body: bytes, kind: str = "pay", deadline_ms: int = DEADLINE_MS) -> bytes:
    """Returns a request with a body of a stated length."""
    return head(name, kind, deadline_ms, f"Content-Length: {len(body)}", f"Idempotency-Key: {name}") + body


def in_chunks(name: str, body: bytes, kind: str = "pay", deadline_ms: int = DEADLINE_MS) -> bytes:
    """Returns a request with a body in chunks."""
    pieces = [body[at : at + 10_000] for at in range(0, len(body), 10_000)]
    rows = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    coding = ("Transfer-Encoding: chunked", f"Idempotency-Key: {name}")
    return head(name, kind, deadline_ms, *coding) + rows + b"0\r\n\r\n"


@dataclass(frozen=True)
class Answer:
    """A response as a client saw it.

    Attributes:
        status: The status code; 0 if the connection ended without a response.
        body: The part of the body that arrived.
        whole: Whether the response ended as its head states.
        at_s: When the last byte, or the end, was read (monotonic clock).
        closes: Whether it is the last response on its connection.
    """

    status: int
    body: bytes
    whole: bool
    at_s: float
    closes: bool = False


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads a response in any framing; an end of the connection within the response makes it not whole."""
    body, status, closes = bytearray(), 0, False
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = text.strip().split("\r\n")
        status = int(first.split(" ")[1])
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        closes = headers.get("connection", "").lower() == "close"
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif "content-length" in headers:
            left = int(headers["content-length"])
            while left:
                piece = await reader.read(left)
                if not piece:
                    raise EOFError
                body += piece
                left -= len(piece)
        else:
            while piece := await reader.read(65536):
                body += piece
    except (OSError, EOFError, ValueError):
        return Answer(status, bytes(body), False, time.monotonic(), closes)
    return Answer(status, bytes(body), True, time.monotonic(), closes)


def client_socket(receive_buffer_bytes: int = 0, send_buffer_bytes: int = 0) -> socket.socket:
    """Returns a socket for a client, with buffers of its own if their sizes are given."""
    sock = socket.socket()
    sock.setblocking(False)
    if receive_buffer_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    if send_buffer_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    return sock


async def connected(
    address: tuple[str, int], receive_buffer_bytes: int = 0, send_buffer_bytes: int = 0
) -> socket.socket:
    """Returns a connected socket of a client that reads and writes by itself."""
    sock = client_socket(receive_buffer_bytes, send_buffer_bytes)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return sock


async def ask(address: tuple[str, int], request: bytes) -> Answer:
    """Sends a request on a new connection and returns its response."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return Answer(0, b"", False, time.monotonic())
    try:
        writer.write(request)
        return await read_answer(reader)
    finally:
        writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection by a reset."""
    sock = writer.transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class SteadyTraffic:
    """Sound clients that send small requests, one after the other on a connection each.

    Attributes:
        outcomes: The number of answers by status; 0 for a connection that ended without an answer.
        late: The number of answers that came after their time.
        slowest_s: The longest wait for an answer.
    """

    address: tuple[str, int]
    deadline_ms: int = DEADLINE_MS
    clients: int = 4
    pause_s: float = 0.02
    outcomes: Counter[int] = field(default_factory=Counter)
    late: int = 0
    slowest_s: float = 0.0
    _sent: int = 0

    @asynccontextmanager
    async def running(self) -> AsyncIterator[SteadyTraffic]:
        tasks = [asyncio.create_task(self._run()) for _ in range(self.clients)]
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    while await self._request(reader, writer):
                        await asyncio.sleep(self.pause_s)
                finally:
                    writer.close()
            await asyncio.sleep(self.pause_s)

    async def _request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        self._sent += 1
        started_s = time.monotonic()
        writer.write(head(f"steady-{self._sent}", "quote", self.deadline_ms))
        got = await read_answer(reader)
        took_s = got.at_s - started_s
        if not got.status and took_s < 0.005:
            return False  # the connection was closed between two requests, which the pages allow
        self.outcomes[got.status] += 1
        self.late += took_s > self.deadline_ms / 1000 + 0.05
        self.slowest_s = max(self.slowest_s, took_s)
        return got.whole
