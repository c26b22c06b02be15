"""The peers of a balancer, on loopback: scripted upstreams, a scripted discovery server, and a client.

Tests wait for conditions: `until` returns once its condition holds, and `run` limits the time of a test.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import Any

from lanelift.settings import Json
from lanelift.standins import http

MS = 1_000_000


SECOND = 1000 * MS


TEST_S = 60.0


def run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(test, TEST_S))


class Observable:
    """An object whose changes a test can wait for."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify(self) -> None:
        self._changed.set()

    async def until(self, holds: Callable[[], object]) -> None:
        while not holds():
            self._changed.clear()
            await self._changed.wait()


@dataclass
class Message:
    start: list[str]  # the parts of the message's first line
    headers: dict[str, str]
    body: bytes
    link: int = 0  # the number of the connection on which the message came, counted from 1

    @property
    def status(self) -> int:
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return Message(first.split(" "), headers, await reader.readexactly(int(headers.get("content-length", 0))))


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    rows = (header.partition(":") for header in headers)
    return http.answer(status, body, [(name, value.strip()) for name, _, value in rows])


class ScriptedServer(Observable, http.Server):
    """A server that writes what `reply` returns for each request; None resets the connection."""

    def __init__(self, reply: Callable[[Message], Awaitable[bytes | None]]) -> None:
        Observable.__init__(self)
        http.Server.__init__(self)
        self.reply = reply
        self.seen: list[Message] = []
        self.links: list[http.Connection] = []
        self.ended = 0  # the number of connections that have ended
        self.waiting: dict[asyncio.Task[None], http.Connection] = {}

    @property
    def socket_address(self) -> tuple[str, int]:
        return self.host, self.port

    async def start(self) -> None:
        await self.listen()

    def stop(self) -> None:
        self.close()

    def close_links(self) -> None:
        for link in list(self.connections):
            link.abort()

    def connected(self, connection: http.Connection) -> None:
        super().connected(connection)
        self.links.append(connection)
        self.notify()

    def lost(self, connection: http.Connection) -> None:
        super().lost(connection)
        for task in [task for task, link in self.waiting.items() if link is connection]:
            task.cancel()
        self.ended += 1
        self.notify()

    def requested(self, request: http.Request) -> None:
        link = request.connection
        message = Message(
            [request.method, request.target, "HTTP/1.1"],
            request.headers,
            request.body,
            self.links.index(link) + 1,
        )
        self.seen.append(message)
        self.notify()
        task = asyncio.create_task(self._answer(message, link))
        self.waiting[task] = link
        task.add_done_callback(self.waiting.pop)

    async def _answer(self, message: Message, link: http.Connection) -> None:
        reply = await self.reply(message)
        if reply is None:
            link.abort()
        else:
            link.write(reply)
        self.notify()


async def never() -> bytes | None:
    await asyncio.Event().wait()
    return None


class FakeUpstream(ScriptedServer):
    """Answers 200 with its name, or with the entries of `script`, one for each request: bytes to write, a
    coroutine function that returns them (`never` never returns), or None to reset the connection.
    """

    def __init__(self, name: str) -> None:
        super().__init__(self._next)
        self.name = name
        self.script: list[Any] = []
        self.load = "inflight=3,queue=1"

    async def _next(self, message: Message) -> bytes | None:
        if message.start[1] in ("/health", "/status/load"):
            return answer(200, self.load.encode())
        entry = self.script.pop(0) if self.script else answer(200, self.name.encode())
        reply: bytes | None = await entry() if callable(entry) else entry
        return reply

    def row(self, state: str = "Ready", started_ms: int = 0) -> Json:
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "east",
            "kind": "m",
            "cell": 1,
            "state": state,
            "weight": 1.0,
            "started_ms": started_ms,
            "later": {"unknown": 1},
        }


class FakeDiscovery(ScriptedServer):
    """Serves a list and its changes; with `down` it resets every call, with `silent` it never answers."""

    def __init__(self, rows: Iterable[Json]) -> None:
        super().__init__(self._respond)
        self.rows = list(rows)
        self.version = 1
        self.changes: list[Json] = []
        self.down = False
        self.silent = False

    def change(self, *rows: Json) -> None:
        self.version += 1
        self.changes = list(rows)
        names = {row["id"] for row in rows}
        self.rows = [r for r in self.rows if r["id"] not in names] + [r for r in rows if r["state"] != "Gone"]
        self.notify()

    def snapshot(self) -> Json:
        return {"version": self.version, "full": True, "servers": self.rows}

    async def _respond(self, message: Message) -> bytes | None:
        if self.down:
            return None
        if self.silent:
            return await never()
        if "from=" not in message.start[1]:
            return answer(200, json.dumps(self.snapshot()).encode())
        known = int(message.start[1].partition("from=")[2].partition("&")[0])
        await self.until(lambda: self.version > known)
        change = {"version": self.version, "full": False, "servers": self.changes}
        return answer(200, json.dumps(change).encode())


class Client:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def to(cls, address: tuple[str, int]) -> Client:
        return cls(*await asyncio.open_connection(*address))

    def send(
        self,
        name: str,
        kind: str = "quote",
        method: str = "GET",
        body: bytes = b"",
        path: str = "",
        **headers: object,
    ) -> None:
        rows = {
            "Host": "origin.svc",
            "X-Request-Id": name,
            "X-Class": kind,
            "X-Tenant": "ash",
            "X-Deadline-Ms": 3000,
            **{key.replace("_", "-"): value for key, value in headers.items()},
        }
        if body:
            rows["Content-Length"] = len(body)
        lines = "".join(f"{key}: {value}\r\n" for key, value in rows.items() if value is not None)
        self.writer.write(f"{method} {path or '/' + kind} HTTP/1.1\r\n{lines}\r\n".encode() + body)

    async def request(self, name: str, *args: Any, **more: Any) -> Message:
        self.send(name, *args, **more)
        return await self.answer()

    async def answer(self) -> Message:
        return await read_message(self.reader)

    async def raw(self, data: bytes) -> Message:
        self.writer.write(data)
        return await read_message(self.reader)

    async def ended(self) -> None:
        with suppress(ConnectionError):
            assert await self.reader.read() == b""

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        """Disconnects by a reset."""
        sock = self.writer.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


@contextmanager
def unresponsive_listener() -> Iterator[tuple[str, int]]:
    """Yields the address of a listener whose backlog is full, so that it does not answer new handshakes."""
    listener, *clients = (socket.socket() for _ in range(5))
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    for sock in clients:
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    yield listener.getsockname()
    for sock in (listener, *clients):
        sock.close()


def free_port() -> int:
    """Returns a loopback port on which no socket listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port
