"""Stand-ins for the review's cases: discovery, upstreams, clients and the platform, on loopback addresses.

They use the standard library only. Each follows the protocol page; what a case does beyond that is in its
own script. All of them run in the process of the case; the balancer is a process of its own, started by the
command `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
BROKE, HELD, COULD_NOT_RUN = 1, 0, 2
RECEIVE_BUFFER_BYTES = 64 * 1024  # of an upstream's connection, so that no kernel's default matters
READY_S = 30.0  # a balancer that takes longer to be ready has failed by itself
LONGEST_RUN_S = 115.0
DATA = random.Random(1).randbytes(2 * 1024 * 1024)  # bodies are pieces of this


class CouldNotRunError(Exception):
    """The case could not be run, so nothing is said about the rule."""


def trouble() -> bool:
    """Returns whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, one line each, in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        """Records a line."""
        self.file.write(f"{time.monotonic() - self.started_s:9.4f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Records a line and prints it."""
        self(text)
        print(text, flush=True)


# ---- HTTP ------------------------------------------------------------------------------------------------


@dataclass
class Message:
    """A request or a response."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]

    @property
    def path(self) -> str:
        """The target of a request without its query."""
        return self.target.partition("?")[0]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; returns None if the peer has ended the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rows = raw.decode("latin-1").split("\r\n")[:-2]
    pairs = (row.partition(":") for row in rows)
    return Message(first, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Message, received: bytearray | None = None) -> bytes:
    """Reads the body of a message, and adds what comes of it to `received`.

    Raises:
        asyncio.IncompleteReadError, ConnectionError, ValueError: The body is not whole.
    """
    body = bytearray() if received is None else received
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"x", 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return bytes(body)
            body += part[:-2]
    length = int(head.headers.get("content-length", "0"))
    while len(body) < length:
        piece = await reader.read(min(1 << 16, length - len(body)))
        if not piece:
            raise asyncio.IncompleteReadError(bytes(body), length)
        body += piece
    return bytes(body)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a message."""
    rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{start}\r\n{rows}\r\n".encode("latin-1") + body


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Encodes a response with a length."""
    rows = {name.replace("_", "-"): value for name, value in headers.items()}
    return encode(f"HTTP/1.1 {status} -", {**rows, "Content-Length": str(len(body))}, body)


def free_port() -> int:
    """Returns a port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


# ---- upstreams -------------------------------------------------------------------------------------------


@dataclass(eq=False)
class Call:
    """A request at an upstream, whose last byte has come."""

    upstream: Upstream
    head: Message
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    last_byte_s: float

    @property
    def id(self) -> str:
        """The identifier of the request."""
        return self.head.headers.get("x-request-id", "-")


Handler = Callable[[Call], Awaitable[None]]


class Upstream:
    """An upstream: it takes a request when its last byte has come, and gives it to the case's handler.

    Attributes:
        on_head: Called when the head of a request has come.
        reads: Cleared while the upstream hangs: it reads nothing, and so begins nothing.
    """

    def __init__(self, name: str, handler: Handler) -> None:
        self.name = name
        self.handler = handler
        self.on_head: Callable[[Upstream, Message], None] = lambda upstream, head: None
        self.port = 0
        self.reads = asyncio.Event()
        self.reads.set()
        self.inflight = 0
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Starts to listen on a free port."""
        # With the protocol named, asyncio sets TCP_NODELAY on the connections.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((HOST, 0))
        self.server = await asyncio.start_server(self._serve, sock=sock, limit=64 * 1024, backlog=512)
        self.port = sock.getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._hold(writer)
                head = await read_head(reader)
                if head is None:
                    return
                self.on_head(self, head)
                await self._hold(writer)
                body = await read_body(reader, head)
                now = time.monotonic()
                if head.path == "/status/load":
                    writer.write(answer(200, f"inflight={self.inflight},queue=0".encode()))
                elif "x-request-id" not in head.headers:
                    writer.write(answer(404))
                else:
                    self.inflight += 1
                    try:
                        await self.handler(Call(self, head, body, reader, writer, now))
                    finally:
                        self.inflight -= 1
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _hold(self, writer: asyncio.StreamWriter) -> None:
        """While the upstream hangs, leaves what comes in the kernel's buffers."""
        if not self.reads.is_set():
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await self.reads.wait()
            writer.transport.resume_reading()  # type: ignore[attr-defined]

    def entry(self) -> dict[str, Any]:
        """Returns the upstream as discovery lists it."""
        return {
            "id": f"s-{self.name}", "addr": f"{HOST}:{self.port}", "zone": "woodbrook", "kind": "box-a",
            "cell": 1, "state": "Ready", "weight": 1.0, "started_ms": 0,
        }  # fmt: skip


class Agent:
    """The agent of discovery on the balancer's machine, with a list that does not change."""

    def __init__(self, upstreams: list[Upstream]) -> None:
        self.upstreams = upstreams
        self.port = 0
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Starts to listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def whole_list(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"version": 1, "full": True, "servers": [up.entry() for up in self.upstreams]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                query = head.target.partition("?")[2]
                values = dict(row.split("=") for row in query.split("&") if row)
                if "from" in values:
                    await asyncio.sleep(min(60_000, int(values.get("hold_ms", 0))) / 1000)
                    content: dict[str, Any] = {"version": 1, "full": False, "servers": []}
                else:
                    content = self.whole_list()
                writer.write(answer(200, json.dumps(content).encode()))
                await writer.drain()
        writer.close()


# ---- the balancer ----------------------------------------------------------------------------------------


def settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment, after the example of the wire's page.

    Args:
        classes: The request classes.
        changes: What differs from `rate-quotes-pos`, by key; an object is changed key by key.
    """
    content: dict[str, Any] = {
        "me": 0, "replicas_of_me": 1, "tier": 0, "stages": ["quote-servers"], "family": "proxy",
        "locality": "woodbrook", "zones": ["woodbrook", "st-james"], "kinds": ["box-a", "box-b"],
        "registry_mode": "push", "weight_source": "none", "counted_by": "work", "tick_ns": 1_000_000,
        "over_share_worth": 0.05, "clients": {"marks_retry": True},
        "goal": {"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.1},
        "limits": {
            "conn_idle_ns": 15_000_000_000, "connect_timeout_ns": 200_000_000, "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 2636143, "max_open": 131807, "max_retry_after_ns": 2_000_000_000,
            "max_streams": 1, "may_cancel": True, "peers": False, "probes": True, "retry_after": True,
            "second_copies": False, "send_cap": 5,
        },
        "load_report": {"columns": ["inflight", "queue"], "how": "probe"},
        "prices": {"cross_zone": 0.005, "late_fail": 0.08, "peer": 0.01, "probe": 0.002, "waste": 0.02},
        "profiles": classes,
        "realms": [{"name": "brooklyn-desk", "quota_per_s": 160.0, "share": 0.6},
                   {"name": "toronto-desk", "quota_per_s": 130.0, "share": 0.4}],
        "rules": {
            "ask_within_ns": 10_000_000_000, "cold_from": 0.31, "cold_ns": 8_700_000_000,
            "fall_multiple": 2.5, "grace_to_answer_ns": 5_000_000, "overload_for_ns": 1_500_000_000,
            "stop_sending_within_ns": 500_000_000,
        },
    }  # fmt: skip
    for key, value in changes.items():
        content[key] = {**content[key], **value} if isinstance(value, dict) else value
    return content


def request_class(name: str, repeat: str = "read_like", **other: Any) -> dict[str, Any]:
    """Returns a request class of the site, with the effect that a short day may give it."""
    return {
        "name": name, "repeat": repeat, "aim_ns": 264_000_000, "hard_limit_ns": 661_000_000,
        "dedup_scope": "all", "window_ns": 5_000_000_000, "late_worth": 0.0, "stream": False, "worth": 3.0,
        **other,
    }  # fmt: skip


class Balancer:
    """The balancer's process, started by the deploy file's command."""

    def __init__(self, record: Record, agent: Agent, configured: dict[str, Any]) -> None:
        self.record = record
        self.port = free_port()
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        config = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{agent.port}",
            "seed": f"{random.getrandbits(64):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": agent.whole_list(), "peers": [], "settings": configured,
        }  # fmt: skip
        path = Path(self.folder.name) / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        temporary = Path(self.folder.name) / "tmp"
        temporary.mkdir()
        deploy = tomllib.loads((REPOSITORY / "deploy/balancer.toml").read_text(encoding="utf-8"))
        environment = {
            **os.environ, "BALANCER_NAME": "n0", "BALANCER_LISTEN": config["listen"],
            "BALANCER_DISCOVERY": config["discovery"], "BALANCER_CONFIG": str(path), "TMPDIR": str(temporary),
        }  # fmt: skip
        self.log = (Path(self.folder.name) / "log.txt").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]], cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log,
        )  # fmt: skip

    async def wait_ready(self) -> None:
        """Waits until the front would take the balancer in."""
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode("GET /ready HTTP/1.1", {"Host": "origin.svc", "Connection": "close"}))
                head = await read_head(reader)
                writer.close()
                if head is not None and head.start.split(" ")[1] == "200":
                    self.record("balancer ready")
                    return
            if self.process.poll() is not None:
                raise CouldNotRunError(f"the balancer ended: {self.tail()}")
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"the balancer is not ready: {self.tail()}")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the balancer's process."""
        self.process.send_signal(number)

    def tail(self) -> str:
        """Returns the end of the balancer's log."""
        return (Path(self.folder.name) / "log.txt").read_text(encoding="utf-8", errors="replace")[-2000:]

    def end(self) -> None:
        """Ends the process."""
        crashed = self.process.poll() is not None
        self.record(f"balancer {'ended by itself' if crashed else 'runs'}; its log ends with:\n{self.tail()}")
        if not crashed:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()
        self.folder.cleanup()


@dataclass
class World:
    """The parts of a case."""

    record: Record
    upstreams: list[Upstream]
    balancer: Balancer
    verdicts: list[str] = field(default_factory=list)
    was_outside: bool = False

    def broken(self, text: str) -> None:
        """Records a break of the rule."""
        self.verdicts.append(text)
        self.record.say(f"BROKEN {text}")

    def outside(self, text: str) -> None:
        """Records that the disruption exceeded a limit of the pages."""
        self.was_outside = True
        self.record.say(f"does not count: {text}")

    def take_outside(self) -> bool:
        """Returns whether the disruption exceeded a limit since the last call."""
        was_outside, self.was_outside = self.was_outside, False
        return was_outside


def new_id() -> str:
    """Returns a request id."""
    return uuid.uuid4().hex[:16]


def digest(body: bytes) -> str:
    """Returns a short digest of a body."""
    return hashlib.sha256(body).hexdigest()[:12]


async def _run(
    folder: Path,
    count: int,
    handler: Handler,
    configured: dict[str, Any],
    play: Callable[[World], Awaitable[None]],
) -> int:
    record = Record(folder)
    record.say(f"{folder.name}: {'with' if trouble() else 'without'} the disruption")
    upstreams = [Upstream(f"{number:04x}", handler) for number in range(count)]
    for upstream in upstreams:
        await upstream.listen()
    agent = Agent(upstreams)
    await agent.listen()
    balancer = Balancer(record, agent, configured)
    world = World(record, upstreams, balancer)
    try:
        async with asyncio.timeout(LONGEST_RUN_S):
            await balancer.wait_ready()
            await play(world)
    except (CouldNotRunError, TimeoutError) as error:
        record.say(f"could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        balancer.end()
    record.say(f"breaks: {len(world.verdicts)}")
    return BROKE if world.verdicts else HELD


def main(
    script: str,
    count: int,
    handler: Handler,
    configured: dict[str, Any],
    play: Callable[[World], Awaitable[None]],
) -> None:
    """Runs a case, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run."""
    try:
        code = asyncio.run(_run(Path(script).resolve().parent, count, handler, configured, play))
    except Exception as error:
        print(f"could not run: {error!r}", flush=True)
        code = COULD_NOT_RUN
    sys.exit(code)
