"""One HTTP/1.1 exchange at a time on a connection to a server, and what both sides of a proxy share.

An `Exchange` is one request and how it ended. It is sent once: nothing here sends a request again, and the
moment at which its last byte left is known, because before it a broken connection proves that it never ran.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import cast

import h11

from lanelift.interface import Result

MAX_BODY = 64 * 1024
MAX_INTERIM = 8  # 1xx answers ahead of the one that counts: more are no answer that will ever end
Headers = Sequence[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset({b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization",
                        b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
                        b"content-length", b"expect"})


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """The headers that a proxy passes on: not those of the connection, nor of the body's framing."""
    rows = list(headers)
    named = {token.strip().lower()
             for name, value in rows if name == b"connection" for token in value.split(b",")}
    return [(name, value) for name, value in rows if name not in HOP_BY_HOP and name not in named]


@dataclass(slots=True)
class Response:
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        return next((value for key, value in self.headers if key == name), None)


class Spoilt(Exception):
    """An answer that can't be what the server meant to say."""


class Exchange:
    """A request and its end, told exactly once: OK with a whole response, or why there is none."""

    __slots__ = ("request", "body", "max_body", "done", "written", "connection", "timer")

    def __init__(self, request: h11.Request, body: bytes, done: Callable[[Result, Response | None], None],
                 max_body: int = MAX_BODY) -> None:
        self.request = request
        self.body = body
        self.max_body = max_body
        self.done: Callable[[Result, Response | None], None] | None = done
        self.written = False  # its last byte has left
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None

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
        self.http = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.response: h11.Response | None = None
        self.body = bytearray()
        self.interim = 0
        self.idle_since = 0.0
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # The buffer counts as full from its first byte on: `resume_writing` then means that all was written.
        self.transport.set_write_buffer_limits(high=0)

    def start(self, exchange: Exchange) -> None:
        assert self.transport is not None
        data = self.http.send(exchange.request) or b""
        if exchange.body:
            data += self.http.send(h11.Data(data=exchange.body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        self.exchange, exchange.connection = exchange, self
        self.response = None
        self.interim = 0
        self.body.clear()
        exchange.written = True  # unless the transport says at once that it could not take all
        self.transport.write(data)

    def pause_writing(self) -> None:
        if self.exchange is not None:
            self.exchange.written = False

    def resume_writing(self) -> None:
        if self.exchange is not None:
            self.exchange.written = True

    def data_received(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None:
            self.abort()  # bytes that nobody asked for
            return
        try:
            self.http.receive_data(data)
            self._read(exchange)
        except (h11.RemoteProtocolError, Spoilt):
            # The server has answered, if with what can't be read: its work is done and it is no break of the
            # network. Nothing on this connection can be believed any more.
            exchange.finish(Result.ERROR)
            self.abort()

    def eof_received(self) -> None:
        self.abort()  # an answer that was under way is not whole: each has a length of its own

    def _read(self, exchange: Exchange) -> None:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._check_framing(event, exchange.max_body)
                self.response = event
            elif isinstance(event, h11.InformationalResponse):
                self.interim += 1
                if self.interim > MAX_INTERIM:
                    raise Spoilt("1xx answers without end")
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > exchange.max_body:
                    raise Spoilt("the body is too large")
            elif isinstance(event, h11.EndOfMessage) and self.response is not None:
                self._complete(exchange, self.response)
                return
            else:
                raise Spoilt("no answer")

    def _check_framing(self, answer: h11.Response, max_body: int) -> None:
        """Only an answer that tells its own end, and in one way, can be told from one that was cut off. One
        that is said to be too large is not read to find out."""
        lengths = [value for name, value in answer.headers if name == b"content-length"]
        chunked = any(name == b"transfer-encoding" for name, _ in answer.headers)
        empty = answer.status_code in (204, 304)
        if bool(lengths) + chunked != 1 and not empty:
            raise Spoilt("no length, or two")
        if lengths and int(lengths[0]) > max_body:
            raise Spoilt("the body is too large")

    def _complete(self, exchange: Exchange, answer: h11.Response) -> None:
        response = Response(answer.status_code, list(answer.headers), bytes(self.body))
        self.exchange = None
        # What stands behind an answer, a second copy or noise, would be read as the next request's.
        clean = exchange.written and not self.http.trailing_data[0]
        if clean and self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
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
        exchange, self.exchange = self.exchange, None
        self.lost(self)
        if exchange is not None:
            exchange.broken()
