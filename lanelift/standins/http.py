"""The server side of HTTP/1.1 for the emulators. Each request has the times of its first and last byte.

Requests are parsed leniently, by httptools: an emulator records unusual requests and does not reject them.
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

# Limits the bytes of one message's body, so that a faulty peer cannot exhaust the memory.
MAX_BODY = 16 * 1024 * 1024
BACKLOG = 1024  # limits the connections not yet accepted; enough for a burst from all balancers


@dataclass(slots=True, eq=False)
class Request:
    """A received request. Times are those of the monotonic clock, in ns."""

    connection: Connection
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_ns: int
    last_ns: int
    number: int  # position among the requests on its connection, from 0
    disconnected_ns: int = 0  # when the caller closed the connection; 0 while the connection is open

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def answer(self, status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()) -> None:
        """Sends the answer to this request."""
        self.connection.write(answer(status, body, headers))


def answer(status: int, body: bytes = b"", headers: Iterable[tuple[str, str]] = ()) -> bytes:
    """Returns a complete response with a Content-Length."""
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
    """A connection from a caller. Notifies its server of each complete request and of the disconnection."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.partial_request: _PartialRequest | None = None
        self.open: list[Request] = []  # unanswered requests
        self.count = 0  # number of complete requests received
        self.last_used_ns = time.monotonic_ns()
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
        self.abort()  # the caller has closed its sending side and abandons its open requests

    def connection_lost(self, error: Exception | None) -> None:
        if not self.closed:
            self.closed = True
            now = time.monotonic_ns()
            for request in self.open:
                request.disconnected_ns = now
            self.server.lost(self)

    def abort(self) -> None:
        """Closes the connection immediately, with a reset if data is in flight."""
        if self.transport is not None:
            self.transport.abort()
        self.connection_lost(None)

    def write(self, data: bytes) -> None:
        """Sends `data` as the answer to the oldest open request."""
        if self.open:
            self.open.pop(0)
        self.last_used_ns = time.monotonic_ns()
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
        now = self.last_used_ns = time.monotonic_ns()
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
    """A listener on loopback and its connections. Subclasses implement `requested`."""

    def __init__(self) -> None:
        self.connections: set[Connection] = set()
        self.listener: asyncio.Server | None = None
        self.host, self.port = "127.0.0.1", 0

    @property
    def address(self) -> str:
        """The address as HOST:PORT."""
        return f"{self.host}:{self.port}"

    async def listen(self, port: int = 0) -> None:
        """Listens on `port`; for 0, on the previous port or, at first, any free port. May raise OSError."""
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), self.host, port or self.port, backlog=BACKLOG
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for connection in list(self.connections):
            connection.abort()

    def connected(self, connection: Connection) -> None:
        """Called when a connection is accepted."""
        self.connections.add(connection)

    def lost(self, connection: Connection) -> None:
        """Called when a connection has ended."""
        self.connections.discard(connection)

    def requested(self, request: Request) -> None:
        """Called for each complete request."""
        raise NotImplementedError

    def malformed(self, connection: Connection, why: str) -> None:
        """Called when the received bytes are not HTTP; the connection is then closed."""


class Timer:
    """A timer with at most one pending call, which can be rescheduled."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call = call
        self.handle: asyncio.TimerHandle | None = None

    def at(self, when_ns: int | None) -> None:
        """Schedules the call for this time of the monotonic clock, or cancels it if None."""
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
