"""Stand-ins for a small deployment: platform, discovery, upstreams and clients, all on loopback addresses.

The program under test is started with the command `run` of the deploy file, as processes of their own. Only
the standard library is used.
"""

from __future__ import annotations

import array
import asyncio
import fcntl
import json
import os
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import termios
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MS = 1_000_000
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_S = 15.0
# makes an inherited socket descriptor 7, and becomes the command that follows
INHERIT = "import os, sys; os.dup2(int(sys.argv[1]), 7); os.execv(sys.argv[2], sys.argv[2:])"


class CouldNotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def request_class(name: str, deadline_ms: int, objective_ms: int, **more: Any) -> dict[str, Any]:
    """Returns a class of the settings, which is safe to repeat unless `more` says otherwise."""
    times = {"aim_ns": objective_ms * MS, "hard_limit_ns": deadline_ms * MS}
    return {"name": name, "repeat": "read_like", "late_worth": 0.0, "worth": 1.0, **times, **more}


def settings(*classes: dict[str, Any], **limits: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment with one tenant."""
    return {
        "registry_mode": "push",
        "replicas_of_me": 1,
        "zones": ["a"],
        "locality": "a",
        "profiles": list(classes),
        "limits": {
            "conn_idle_ns": 15_000 * MS,
            "connect_timeout_ns": 200 * MS,
            "may_cancel": True,
            "retry_after": True,
            "max_retry_after_ns": 1000 * MS,
            "second_copies": False,
            "send_cap": 5,
            "max_open": 1000,
            **limits,
        },
        "realms": [{"name": "desk", "quota_per_s": 100.0, "share": 1.0}],
    }


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self("start", f"TROUBLE={int(self.trouble)}")

    def __call__(self, what: str, detail: str = "") -> None:
        """Writes one line."""
        self._file.write(f"{time.monotonic() - self._started_s:9.4f}  {what:<10} {detail}\n")
        self._file.flush()


def unread_bytes_of(sock: Any) -> int:
    """Returns how many received bytes of a socket are unread."""
    count = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    return count[0]


def free_port() -> int:
    """Returns a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


# ---- HTTP ------------------------------------------------------------------------------------------------


@dataclass
class Message:
    """A request or a response, with the time at which its last byte was read."""

    start: list[str]
    headers: dict[str, str]
    body: bytes
    at_s: float


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads the head of a message. Raises IncompleteReadError at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    return Message(first.split(" "), headers, b"", time.monotonic())


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message with a stated length, or with none. Raises IncompleteReadError at the end."""
    return await read_body(reader, await read_head(reader))


async def read_body(reader: asyncio.StreamReader, head: Message) -> Message:
    """Reads the body of a message. Raises IncompleteReadError at the end."""
    body = await reader.readexactly(int(head.headers.get("content-length", 0)))
    return Message(head.start, head.headers, body, time.monotonic())


def response(status: int, body: bytes, *rows: str) -> bytes:
    """Encodes a response."""
    phrase = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "Other")
    head = [f"HTTP/1.1 {status} {phrase}", *rows, f"Content-Length: {len(body)}"]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def request_bytes(
    method: str, class_name: str, request_id: str, deadline_ms: int, key: str = "", body: bytes = b""
) -> bytes:
    """Encodes a client's request in the form of the protocol page."""
    rows = [
        f"{method} /{class_name}?obj={request_id[:4]} HTTP/1.1",
        "Host: origin.svc",
        f"X-Request-Id: {request_id}",
        f"X-Class: {class_name}",
        "X-Tenant: desk",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if key:
        rows.append(f"Idempotency-Key: {key}")
    if method == "POST":
        rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join(rows).encode() + b"\r\n\r\n" + body


@dataclass
class Answer:
    """What a client got: a status, or 0 if the connection ended or the time was up with no whole answer."""

    status: int
    body: bytes
    sent_s: float
    done_s: float
    note: str = ""

    def __str__(self) -> str:
        return f"{self.status or 'nothing'} after {self.done_s - self.sent_s:.3f} s {self.note}".rstrip()


async def ask(port: int, data: bytes, wait_s: float) -> Answer:
    """Sends one request on a connection of its own, and waits for its answer."""
    sent_s = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            sent_s = time.monotonic()
            writer.write(data)
            message = await read_message(reader)
    except TimeoutError:
        return Answer(0, b"", sent_s, time.monotonic(), "no answer in time")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(0, b"", sent_s, time.monotonic(), f"connection ended: {type(error).__name__}")
    finally:
        if writer is not None:
            writer.close()
    return Answer(int(message.start[1]), message.body, sent_s, message.at_s)


# ---- upstreams -------------------------------------------------------------------------------------------

Handler = Callable[["Upstream", Message, asyncio.StreamWriter], Awaitable[None]]
HeadHandler = Callable[["Upstream", Message], Awaitable[None]]


class Upstream:
    """An upstream: `handler` answers each request, and `on_head` is notified of its head before that.

    Its new connections can be made to come up late.
    While it is `late`, its queue of connections that wait for `accept` is full, so that the kernel drops the
    first packet of a new connection. The peer's kernel sends it again after a second: the connection comes
    up then. It is the usual way in which connections to a crowded server come up late.
    """

    def __init__(
        self, name: str, handler: Handler, record: Record, on_head: HeadHandler | None = None
    ) -> None:
        self.name, self.handler, self.record, self.on_head = name, handler, record, on_head
        self.port = 0
        self.connections = 0
        self._socket = socket.socket()
        self._accepts = asyncio.Event()
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    def start(self) -> None:
        """Starts to listen."""
        self._socket.bind((HOST, 0))
        self._socket.listen(512)
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]
        self._accepts.set()
        self._spawn(self._accept())

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def set_late(self, late: bool) -> None:
        """Fills the queue of new connections, or empties it."""
        if late:
            self._accepts.clear()
            self._socket.listen(0)
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                with suppress(BlockingIOError):
                    filler.connect((HOST, self.port))
                self._fillers.append(filler)
        else:
            for filler in self._fillers:
                filler.close()
            self._fillers.clear()
            self._socket.listen(512)
            self._accepts.set()

    async def _accept(self) -> None:
        while True:
            await self._accepts.wait()
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                await asyncio.sleep(0.001)
                continue
            reader, writer = await asyncio.open_connection(sock=sock)
            self._writers.add(writer)
            self._spawn(self._serve(reader, writer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        counted = False
        try:
            while True:
                head = await read_head(reader)
                if not counted:
                    counted = True
                    self.connections += 1
                if self.on_head is not None:
                    await self.on_head(self, head)
                message = await read_body(reader, head)
                await self.handler(self, message, writer)
                await writer.drain()
                if writer.is_closing():
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def entry(self, state: str = "Ready") -> dict[str, Any]:
        """Returns its entry in the endpoint list."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "a",
            "kind": "box",
            "cell": 1,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }

    def end(self) -> None:
        """Ends as a process that dies does: connections are reset, and new ones refused."""
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self._socket.close()

    def close(self) -> None:
        """Stops listening and ends all connections."""
        if self._socket.fileno() < 0:
            return
        self.set_late(False)
        self._socket.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.close()


# ---- discovery -------------------------------------------------------------------------------------------


class Discovery:
    """Discovery as the protocol page has it: whole lists, and watches that wait for something newer.

    Attributes:
        down: Whether each call ends with 503, and watches have ended.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.down = False
        self._news = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, *entries: dict[str, Any]) -> None:
        """Lists these entries, in place of those with the same ids."""
        self.version += 1
        for entry in entries:
            self.rows[entry["id"]] = entry
            self.changed_at[entry["id"]] = self.version
        self._wake()

    def set_down(self, down: bool) -> None:
        """Takes discovery down, which ends its watches, or brings it back."""
        self.down = down
        self._wake()

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def _list(self, since: int | None) -> bytes:
        rows = [row for name, row in self.rows.items() if since is None or self.changed_at[name] > since]
        return json.dumps({"version": self.version, "full": since is None, "servers": rows}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                call = await read_message(reader)
                _, _, query = call.start[1].partition("?")
                values = dict(part.split("=") for part in query.split("&")) if query else {}
                since = int(values["from"]) if "from" in values else None
                if since is not None and not self.down:
                    until_s = time.monotonic() + int(values.get("hold_ms", 0)) / 1000
                    while self.version <= since and not self.down and time.monotonic() < until_s:
                        with suppress(TimeoutError):
                            async with asyncio.timeout(max(0.0, until_s - time.monotonic())):
                                await self._news.wait()
                if self.down:
                    self.record("discovery", f"answers 503 to {call.start[1]}")
                    writer.write(response(503, b"down\n"))
                else:
                    if since is None:
                        self.record("discovery", f"answers {call.start[1]}")
                    writer.write(response(200, self._list(since)))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()


# ---- the platform ----------------------------------------------------------------------------------------


def deploy_command(name: str) -> str:
    """Returns a command of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        command: str = tomllib.load(file)[name]
        return command


@dataclass
class Balancer:
    """A process that was started with the command `run` of the deploy file."""

    name: str
    port: int
    process: subprocess.Popen[bytes]
    log: Path
    extra: dict[str, Any] = field(default_factory=dict)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the program that `run` started."""
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process, if it still runs, and waits for its end."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


@dataclass
class Platform:
    """Starts balancers, each with a file of settings of its own, and ends them all."""

    record: Record
    settings: dict[str, Any]
    discovery: Discovery
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="lanelift-review-")))
    balancers: list[Balancer] = field(default_factory=list)

    def start(
        self,
        name: str,
        known: list[dict[str, Any]] | None = None,
        listener: socket.socket | None = None,
        **more: Any,
    ) -> Balancer:
        """Starts one balancer. With a listener, the clients' socket is inherited as descriptor 7."""
        port = listener.getsockname()[1] if listener is not None else free_port()
        config = {
            "name": name,
            "listen": f"{HOST}:{port}",
            "discovery": f"{HOST}:{self.discovery.port}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {**self.settings, "me": more.pop("me", 0)},
            **more,
        }
        if known is not None:
            config["known"] = {"version": 1, "full": True, "servers": known}
        number = len(self.balancers)
        path = self.folder / f"{name}-{number}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        tmp = self.folder / f"{name}.tmp"
        tmp.mkdir(exist_ok=True)
        environ = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "BALANCER_NAME": name,
            "BALANCER_CONFIG": str(path),
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_DISCOVERY": config["discovery"],
            "TMPDIR": str(tmp),
        }
        command = ["/bin/sh", "-c", deploy_command("run")]
        passed: tuple[int, ...] = ()
        if listener is not None:
            environ["BALANCER_FD"] = "7"
            passed = (listener.fileno(),)
            command = [sys.executable, "-c", INHERIT, str(listener.fileno()), *command]
        log = self.folder / f"{name}-{number}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                pass_fds=passed,
            )
        balancer = Balancer(name, port, process, log)
        self.balancers.append(balancer)
        self.record("balancer", f"{name} started at port {port}, process {process.pid}")
        return balancer

    async def until_ready(self, balancer: Balancer, port: int = 0, path: str = "/ready") -> None:
        """Waits until a balancer answers 200 to `/ready`. Raises CouldNotRunError."""
        until_s = time.monotonic() + READY_S
        data = f"GET {path} HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n".encode()
        while time.monotonic() < until_s:
            if balancer.process.poll() is not None:
                raise CouldNotRunError(f"{balancer.name} ended: {balancer.log.read_text()[-500:]}")
            if (await ask(port or balancer.port, data, 1.0)).status == 200:
                self.record("ready", balancer.name)
                return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{balancer.name} is not ready after {READY_S} s")

    def close(self) -> None:
        """Ends all balancers, and copies the last lines of their logs to the record."""
        for balancer in self.balancers:
            balancer.end()
            for line in balancer.log.read_text(errors="replace").splitlines()[-20:]:
                self.record("log", f"{balancer.name}: {line}")
        for path in sorted(self.folder.rglob("*"), reverse=True):
            with suppress(OSError):
                path.rmdir() if path.is_dir() else path.unlink()
        with suppress(OSError):
            self.folder.rmdir()


Case = Callable[[Record], Awaitable[bool]]


def main(case: Case, file: str, limit_s: float = 115.0) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(Path(file).resolve().parent)

    async def limited() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        broken = asyncio.run(limited())
    except Exception as error:  # an error of the case itself says nothing about the rule
        record("verdict", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        return COULD_NOT_RUN
    record("verdict", "the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD
