"""A persistent connection to a server, which carries one exchange at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from lanelift.net.exchange import Exchange
from lanelift.net.http_messages import Response
from lanelift.net.http_parser import ResponseParser
from lanelift.net.socket_options import bound_kernel_buffers, peer_state, shut_down_now
from lanelift.net.upload import Upload
from lanelift.policy.events import AttemptResult

READ_BUFFER_BYTES = 64 * 1024
# One read; shared by all connections, as each is parsed before the next read of any.
READ_BUFFER = memoryview(bytearray(READ_BUFFER_BYTES))
# A response without a stated length is held for so long before it is streamed: a short one is complete then.
UNKNOWN_LENGTH_HOLD_S = 0.02


class UpstreamConnection(asyncio.BufferedProtocol):
    """A persistent connection to a server: an upstream, or discovery.

    Attributes:
        on_idle: Called when it can carry another exchange.
        on_closed: Called once at its end.
        parser: Reads its responses.
        transport: None: it is not up yet.
        exchange: The one under way.
        hold_timer: Until when a response without a stated length is held.
        idle_since: When it was last released, on the loop's clock.
        closed: It has ended.
        write_paused: The server takes no more for now.
    """

    def __init__(
        self,
        on_idle: Callable[[UpstreamConnection], None],
        on_closed: Callable[[UpstreamConnection], None],
    ) -> None:
        self.on_idle = on_idle
        self.on_closed = on_closed
        self.parser = ResponseParser()
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.hold_timer: asyncio.TimerHandle | None = None
        self.idle_since = 0.0
        self.closed = False
        self.write_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up. Its write buffer counts as full from the first byte on, so that `resume_writing` means
        that all was written.
        """
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)

    # ---- the request -------------------------------------------------------------------------------------

    def start(self, exchange: Exchange) -> None:
        """Write an exchange's request; none may be under way."""
        assert self.transport is not None
        self.exchange, exchange.connection = exchange, self
        self.parser.expect_response(exchange.max_body_bytes, exchange.sink is not None)
        upload = exchange.upload
        if upload is not None:
            bound_kernel_buffers(self.transport)
            self.write_body(exchange.request + upload.attach(self))
            return
        exchange.written = True  # unless the transport says at once that it could not take all, or nothing
        self.transport.write(exchange.request)
        if self.transport.is_closing():
            exchange.written = False
        elif exchange.written:
            exchange.request_written()

    def write_body(self, data: bytes) -> None:
        """Write a piece of a streamed body, and have its client go on or wait."""
        exchange = self.exchange
        if self.transport is None or exchange is None or exchange.upload is None:
            return
        self.write_paused = False  # unless the transport says at once that it could not take all
        self.transport.write(data)
        self._follow_upload(exchange, exchange.upload)

    def _follow_upload(self, exchange: Exchange, upload: Upload) -> None:
        """Act on whether the server takes more of the body."""
        assert self.transport is not None
        if self.transport.is_closing():
            return  # it took nothing: its end is reported on the next turn
        if not upload.complete:
            if self.write_paused and exchange.timer is None:
                exchange.expire_without_progress()
            elif not self.write_paused:
                exchange.cancel_timeout()
            upload.set_reading(not self.write_paused)
        elif not self.write_paused and not exchange.written:
            exchange.request_written()

    def pause_writing(self) -> None:
        """The transport could not write all of it at once."""
        self.write_paused = True
        if self.exchange is not None:
            self.exchange.written = False

    def resume_writing(self) -> None:
        """All that was given to the transport is written."""
        self.write_paused = False
        exchange = self.exchange
        if exchange is None:
            return
        if exchange.upload is not None:
            self._follow_upload(exchange, exchange.upload)
        else:
            exchange.request_written()

    # ---- the response ------------------------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where to read to."""
        return READ_BUFFER

    def buffer_updated(self, count: int) -> None:
        """Bytes came in.

        Failure guarded against: a response that a server sent twice, or noise behind one, is read as the
        answer to the next request. Bytes without an exchange end the connection. Where an exchange was
        started soon after another (`distrust_until_s`), what the kernel received before that moment is not
        its answer, as no server answers so soon: it ends the connection, and with it the exchange.
        """
        exchange = self.exchange
        if exchange is None:
            self.abort()
            return
        if exchange.distrust_until_s:
            assert self.transport is not None
            age_s = peer_state(self.transport.get_extra_info("socket"))[1] / 1e9
            if asyncio.get_running_loop().time() - age_s < exchange.distrust_until_s:
                self.abort()
                return
        self.parser.feed(bytes(READ_BUFFER[:count]))
        self._process(exchange)

    def _process(self, exchange: Exchange) -> None:
        """Act on what the parser has made of the bytes that came."""
        parser = self.parser
        if parser.streaming is not None and parser.error is None:
            if parser.streaming.status != 200:
                # A long error: the status says all that is needed, and its body is not forwarded.
                exchange.finish(AttemptResult.OK, parser.streaming)
                self.abort()
                return
            self._stream(exchange, parser.streaming)
        if exchange.on_finished is None:
            return  # given up while it was streamed
        if parser.messages:
            self._complete(exchange, parser.messages.popleft())
        elif parser.error is not None:
            # The server has answered, if with what can't be read: its work is done and it is no break of the
            # network. Nothing on this connection can be believed any more.
            exchange.finish(AttemptResult.ERROR)
            self.abort()
        elif self.hold_timer is None and exchange.sink is not None and parser.length_unknown:
            loop = asyncio.get_running_loop()
            self.hold_timer = loop.call_later(UNKNOWN_LENGTH_HOLD_S, self._end_hold, exchange)

    def _end_hold(self, exchange: Exchange) -> None:
        """A response without a stated length was held for long enough: stream it."""
        self.hold_timer = None
        if self.exchange is exchange and self.parser.length_unknown:
            self.parser.start_streaming()
            self._process(exchange)

    def _stream(self, exchange: Exchange, head: Response) -> None:
        if not exchange.streaming:
            assert self.transport is not None
            exchange.unread_ns = peer_state(self.transport.get_extra_info("socket"))[1]
            bound_kernel_buffers(self.transport)
            exchange.start_streaming(head)
        data = self.parser.take_body()
        if data and exchange.on_finished is not None:
            exchange.forward(data)

    def eof_received(self) -> None:
        """The server ended its sending: a response under way is incomplete, unless it was to end with its
        connection.
        """
        self.parser.connection_ended()
        if self.exchange is not None and self.parser.messages:
            self._process(self.exchange)
        self.abort()

    def _complete(self, exchange: Exchange, response: Response) -> None:
        """A complete response: release the connection, and report the outcome.

        What stands behind a response, a second copy or noise, would be read as the next request's: such a
        connection is closed.
        """
        assert self.transport is not None
        if not exchange.streaming:
            exchange.unread_ns = peer_state(self.transport.get_extra_info("socket"))[1]
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None
        self.exchange = None
        parser = self.parser
        clean = not (parser.messages or parser.has_partial or parser.error)
        if clean and exchange.written and response.keep_alive:
            self.transport.resume_reading()  # its end may have come while it was paused
            self.on_idle(self)
        else:
            self.abort()
        exchange.finish(AttemptResult.OK, response)

    # ---- the end -----------------------------------------------------------------------------------------

    def abort(self) -> None:
        """Close at once. The exchange on it, if any, ends as broken.

        Failure guarded against: the transport closes its socket only on the loop's next turn, behind whatever
        is sent there for the same request, and the server would have the request twice. So the socket's
        sending and receiving end here and now.
        """
        if not self.closed and self.transport is not None:
            shut_down_now(self.transport)
            self.transport.abort()
        self._close()

    def connection_lost(self, error: Exception | None) -> None:
        """It has ended."""
        self._close()

    def _close(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self.hold_timer is not None:
            self.hold_timer.cancel()
        self.parser.close()
        exchange, self.exchange = self.exchange, None
        self.on_closed(self)
        if exchange is not None:
            exchange.connection_lost()
