"""One HTTP/1.1 exchange at a time on a connection to a server, and what both sides of a proxy share.

An `Exchange` is one request and how it ended. It is sent once: nothing here sends a request again, and the
moment at which its last byte left is known, because before it a broken connection proves that it never ran.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import cast

from lanelift.interface import Result
from lanelift.net.kernel import received
from lanelift.net.parse import MAX_BODY, Response, ResponseReader

HOP_BY_HOP = frozenset({b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization",
                        b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
                        b"content-length", b"expect"})


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """The headers that a proxy passes on: not those of the connection, nor of the body's framing."""
    rows = list(headers)
    named = {token.strip().lower()
             for name, value in rows if name == b"connection" for token in value.split(b",")}
    return [(name, value) for name, value in rows if name not in HOP_BY_HOP and name not in named]


class Exchange:
    """A request and its end, told exactly once: OK with a whole response, or why there is none."""

    __slots__ = ("request", "max_body", "done", "written", "connection", "timer", "unread_ns", "left")

    def __init__(self, request: bytes, done: Callable[[Result, Response | None], None],
                 max_body: int = MAX_BODY, left: Callable[[], None] | None = None) -> None:
        self.request = request
        self.left = left  # told once, when its last byte has left
        self.max_body = max_body
        self.done: Callable[[Result, Response | None], None] | None = done
        self.written = False  # its last byte has left
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.unread_ns = 0  # how long the end of a whole answer lay here before it was read

    def expire_in(self, seconds: float) -> None:
        self.timer = asyncio.get_running_loop().call_later(seconds, self.expire)

    def expire(self) -> None:
        """The wait is over. What was not wholly written can't have run, and the close makes sure of it."""
        self.give_up(Result.TIMEOUT if self.written else Result.CONNECT_FAILED)

    def give_up(self, result: Result) -> None:
        """Stop waiting; the connection is closed, so that the server knows."""
        connection = self.connection
        self.finish(result)
        if connection is not None:
            connection.abort()

    def whole(self) -> None:
        """Its last byte has left."""
        self.written = True
        left, self.left = self.left, None
        if left is not None:
            left()

    def broken(self) -> None:
        self.finish(Result.RESET if self.written else Result.CONNECT_FAILED)

    def finish(self, result: Result, response: Response | None = None) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.connection = None
        done, self.done = self.done, None
        if done is not None:
            done(result, response)


class Connection(asyncio.Protocol):
    """A kept connection to a server; `released` hears when it is free again, `lost` of its end."""

    def __init__(self, released: Callable[[Connection], None], lost: Callable[[Connection], None]) -> None:
        self.released = released
        self.lost = lost
        self.reader = ResponseReader()
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.idle_since = 0.0
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # The buffer counts as full from its first byte on: `resume_writing` then means that all was written.
        self.transport.set_write_buffer_limits(high=0)

    def start(self, exchange: Exchange) -> None:
        assert self.transport is not None
        self.exchange, exchange.connection = exchange, self
        self.reader.expect(exchange.max_body)
        exchange.written = True  # unless the transport says at once that it could not take all
        self.transport.write(exchange.request)
        if exchange.written:
            exchange.whole()

    def pause_writing(self) -> None:
        if self.exchange is not None:
            self.exchange.written = False

    def resume_writing(self) -> None:
        if self.exchange is not None:
            self.exchange.whole()

    def data_received(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None:
            self.abort()  # bytes that nobody asked for
            return
        reader = self.reader
        reader.feed(data)
        if reader.ready:
            self._complete(exchange, reader.ready.popleft())
        elif reader.fault is not None:
            # The server has answered, if with what can't be read: its work is done and it is no break of the
            # network. Nothing on this connection can be believed any more.
            exchange.finish(Result.ERROR)
            self.abort()

    def eof_received(self) -> None:
        self.abort()  # an answer that was under way is not whole: each has a length of its own

    def _complete(self, exchange: Exchange, response: Response) -> None:
        assert self.transport is not None
        exchange.unread_ns = received(self.transport.get_extra_info("socket"))[1]
        self.exchange = None
        # What stands behind an answer, a second copy or noise, would be read as the next request's.
        reader = self.reader
        clean = not (reader.ready or reader.begun or reader.fault)
        if clean and exchange.written and response.keep_alive:
            self.released(self)
        else:
            self.abort()
        exchange.finish(Result.OK, response)

    def abort(self) -> None:
        """Close at once. The exchange on it, if any, ends as broken."""
        if not self.closed and self.transport is not None:
            self.transport.abort()
        self._ended()

    def connection_lost(self, error: Exception | None) -> None:
        self._ended()

    def _ended(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.reader.close()
        exchange, self.exchange = self.exchange, None
        self.lost(self)
        if exchange is not None:
            exchange.broken()
