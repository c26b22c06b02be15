"""The server's side of HTTP/1.1 for stand-ins: requests in, each with the times of its first and last byte.

Parsed by httptools, read leniently: a stand-in judges what it is sent, and does not refuse what is odd.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import cast

import httptools

MAX_BODY = 16 * 1024 * 1024  # of one message: a peer that runs amok must not fill the machine
BACKLOG = 1024  # connections that wait for the loop: a burst of a whole tier


@dataclass(slots=True, eq=False)
class Request:
    """One message as it came. Times are of the monotonic clock, in ns."""

    connection: Connection
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_ns: int
    last_ns: int
    number: int  # of its connection, from 0
    gone_ns: int = 0  # when its caller closed the connection; 0: it is there

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    def answer(self, status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()) -> None:
        self.connection.write(answer(status, body, headers))


def answer(status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()) -> bytes:
    """A whole message with its length."""
    rows = [*headers, ("Content-Length", str(len(body)))]
    head = "".join(f"{name}: {value}\r\n" for name, value in rows)
    return f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n{head}\r\n".encode("latin-1") + body


@dataclass(slots=True)
class _PartialRequest:
    first_ns: int
    target: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)


class Connection(asyncio.Protocol):
    """One connection of a caller; it tells its server of whole requests and of its end."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.partial_request: _PartialRequest | None = None
        self.open: list[Request] = []  # those not answered yet
        self.count = 0
        self.used_ns = time.monotonic_ns()
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connected(self)

    def data_received(self, data: bytes) -> None:
        if self.partial_request is None:
            self.partial_request = _PartialRequest(time.monotonic_ns())
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.server.malformed(self, str(error) or type(error).__name__)
            self.abort()

    def eof_received(self) -> None:
        self.abort()  # its caller has ended its sending: it gives up what is open

    def connection_lost(self, error: Exception | None) -> None:
        if not self.closed:
            self.closed = True
            now = time.monotonic_ns()
            for request in self.open:
                request.gone_ns = now
            self.server.lost(self)

    def abort(self) -> None:
        """Close at once, with a reset where something is under way."""
        if self.transport is not None:
            self.transport.abort()
        self.connection_lost(None)

    def write(self, data: bytes) -> None:
        """The answer to the oldest open request."""
        if self.open:
            self.open.pop(0)
        self.used_ns = time.monotonic_ns()
        if self.transport is not None and not self.closed:
            self.transport.write(data)

    # ---- httptools --------------------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        if self.partial_request is None or self.partial_request.target:
            self.partial_request = _PartialRequest(time.monotonic_ns())

    def on_url(self, target: bytes) -> None:
        assert self.partial_request is not None
        self.partial_request.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.partial_request is not None
        self.partial_request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        assert self.partial_request is not None
        self.partial_request.body += body
        if len(self.partial_request.body) > MAX_BODY:
            raise ValueError("the body is too long")

    def on_message_complete(self) -> None:
        partial_request, self.partial_request = self.partial_request, None
        assert partial_request is not None
        now = self.used_ns = time.monotonic_ns()
        request = Request(
            self,
            self.parser.get_method().decode(),
            partial_request.target.decode("latin-1"),
            partial_request.headers,
            bytes(partial_request.body),
            partial_request.first_ns,
            now,
            self.count,
        )
        self.count += 1
        self.open.append(request)
        self.server.requested(request)


class Server:
    """A listener on loopback and its connections. Subclasses say what a request means."""

    def __init__(self) -> None:
        self.connections: set[Connection] = set()
        self.listener: asyncio.Server | None = None
        self.host, self.port = "127.0.0.1", 0

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def listen(self, port: int = 0) -> None:
        """Port 0: a free one. Raises OSError where it can't."""
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), self.host, port or self.port, backlog=BACKLOG
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset what is open."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for connection in list(self.connections):
            connection.abort()

    def connected(self, connection: Connection) -> None:
        self.connections.add(connection)

    def lost(self, connection: Connection) -> None:
        self.connections.discard(connection)

    def requested(self, request: Request) -> None:
        raise NotImplementedError

    def malformed(self, connection: Connection, why: str) -> None:
        """What came is no HTTP; the connection is closed."""


class Timer:
    """One pending call, moved when something earlier or later is due."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call = call
        self.handle: asyncio.TimerHandle | None = None

    def at(self, when_ns: int | None) -> None:
        """At that time of the monotonic clock; None: not at all."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        if when_ns is not None:
            loop = asyncio.get_running_loop()
            delay = max(0.0, (when_ns - time.monotonic_ns()) / 1e9)
            self.handle = loop.call_later(delay, self._due)

    def _due(self) -> None:
        self.handle = None
        self.call()
