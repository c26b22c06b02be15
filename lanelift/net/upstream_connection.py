"""A persistent connection to a server, which carries one exchange at a time."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import cast

from lanelift.net.exchange import Exchange
from lanelift.net.http_messages import Response
from lanelift.net.http_parser import ResponseParser
from lanelift.net.memory import READ_BUFFER, MemoryGuard
from lanelift.net.socket_options import (
    KERNEL_BUFFER_BYTES,
    acknowledge_now,
    has_unread_data,
    limit_kernel_buffers,
    peer_state,
    shut_down_now,
)
from lanelift.net.upload import Upload
from lanelift.policy.connection_reuse import ResponseTimes
from lanelift.policy.events import AttemptResult
from lanelift.policy.memory import READ_BYTES_UNDER_PRESSURE
from lanelift.policy.turns import TURN_S

# How long a response without a stated length is held before it is streamed; a short response is complete by
# then.
UNKNOWN_LENGTH_HOLD_S = 0.02
# A request of at most this many bytes is sent in one segment, so that a server receives all of it or nothing.
ONE_SEGMENT_BYTES = 1400


class UpstreamConnection(asyncio.BufferedProtocol):
    """A persistent connection to a server: an upstream, or discovery.

    Attributes:
        on_idle: Called when the connection can carry another exchange.
        on_closed: Called once when the connection ends.
        on_unrequested_bytes: Called when the server has sent bytes that belong to no request.
        parser: The parser of its responses.
        transport: The transport; None while the connection is being established.
        exchange: The exchange in progress.
        hold_timer: The timer after which a response without a stated length is streamed.
        idle_since: When the connection was last released, on the loop's clock.
        closed: Whether the connection has ended.
        write_paused: Whether part of the written data still waits in the write buffer.
        parsed_in_s: How long it took to parse the last read; chunks of a few bytes take long.
        memory: Limits what the connection buffers; None for a connection to discovery.
        response_times: Records how long responses take to begin; None for a connection to discovery.
        started_s: When the exchange in progress was started, on the loop's clock.
        fits_one_segment: Whether its request is sent in one segment.
        awaits_first_byte: Whether nothing of the response to the exchange in progress has been read.
        begun_after_ns: How long the response took to begin.
        settle_timer: The timer for when the connection settles, if the exchange was started before.
        has_settled: Whether bytes that are read now came after the connection had settled.
    """

    def __init__(
        self,
        on_idle: Callable[[UpstreamConnection], None],
        on_closed: Callable[[UpstreamConnection], None],
        memory: MemoryGuard | None = None,
        on_unrequested_bytes: Callable[[], None] = lambda: None,
        response_times: ResponseTimes | None = None,
    ) -> None:
        self.on_idle = on_idle
        self.on_closed = on_closed
        self.on_unrequested_bytes = on_unrequested_bytes
        self.memory = memory
        self.parser = ResponseParser()
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.hold_timer: asyncio.TimerHandle | None = None
        self.idle_since = 0.0
        self.closed = False
        self.write_paused = False
        self.parsed_in_s = 0.0
        self.response_times = response_times
        self.started_s = 0.0
        self.fits_one_segment = False
        self.awaits_first_byte = False
        self.begun_after_ns = 0
        self.settle_timer: asyncio.TimerHandle | None = None
        self.has_settled = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets up the transport. Its write buffer counts as full from the first byte on, so that
        `resume_writing` means that all data was written.
        """
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info("socket")
        # a buffered request fits, so that it waits in the kernel and not here
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)

    # ---- the request -------------------------------------------------------------------------------------

    def start(self, exchange: Exchange) -> None:
        """Writes the request of an exchange; no other exchange may be in progress."""
        assert self.transport is not None
        self.exchange, exchange.connection = exchange, self
        self._await_first_byte(exchange)
        self.parser.expect_response(exchange.max_body_bytes, exchange.sink is not None)
        upload = exchange.upload
        if upload is not None:
            limit_kernel_buffers(self.transport)
            self.write_body(exchange.request + upload.attach(self))
            return
        exchange.written = True  # `pause_writing` resets this if `write` leaves data in the buffer
        self.transport.write(exchange.request)
        if self.transport.is_closing():
            exchange.written = False
        elif exchange.written:
            exchange.request_written()

    def _await_first_byte(self, exchange: Exchange) -> None:
        loop = asyncio.get_running_loop()
        self.started_s = loop.time()
        self.fits_one_segment = exchange.upload is None and len(exchange.request) <= ONE_SEGMENT_BYTES
        self.awaits_first_byte = True
        self.has_settled = not exchange.settles_s
        if exchange.settles_s:
            self.settle_timer = loop.call_at(exchange.settles_s, self._settle)

    def _settle(self) -> None:
        """Accepts the bytes that come from now on.

        What is unread may have come before. No clock tells: the loop may be late, and the kernel's resolution
        is too coarse.
        """
        self.settle_timer = None
        self.has_settled = not has_unread_data(self.transport)

    def write_body(self, data: bytes) -> None:
        """Writes a piece of a streamed body, and resumes or pauses reading from the client."""
        exchange = self.exchange
        if self.transport is None or exchange is None or exchange.upload is None:
            return
        self.write_paused = False  # `pause_writing` sets this if `write` leaves data in the buffer
        self.transport.write(data)
        self._update_upload(exchange, exchange.upload)

    def _update_upload(self, exchange: Exchange, upload: Upload) -> None:
        """Resumes reading from the client when the server accepts more of the body, and else pauses the
        reading.

        After the body's last byte was written, records that the request is written.
        """
        assert self.transport is not None
        if self.transport.is_closing():
            return  # nothing was written: the end of the connection is reported in the next loop iteration
        if not upload.complete:
            if self.write_paused and exchange.timer is None:
                exchange.expire_without_progress()
            elif not self.write_paused:
                exchange.cancel_timeout()
            upload.set_reading(not self.write_paused)
        elif not self.write_paused and not exchange.written:
            exchange.request_written()

    def pause_writing(self) -> None:
        """Records that part of the written data waits in the write buffer."""
        self.write_paused = True
        if self.memory is not None:
            self.memory.upstream_keeps(self)
        if self.exchange is not None:
            self.exchange.written = False

    def resume_writing(self) -> None:
        """Continues after all data in the write buffer was written."""
        self.write_paused = False
        exchange = self.exchange
        if exchange is None:
            return
        if exchange.upload is not None:
            self._update_upload(exchange, exchange.upload)
        else:
            exchange.request_written()

    # ---- the response ------------------------------------------------------------------------------------

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read; a small one if the last read took long to parse."""
        if self.memory is None:
            return READ_BUFFER
        is_slow = self.parsed_in_s > TURN_S
        return READ_BUFFER[: READ_BYTES_UNDER_PRESSURE if is_slow else self.memory.read_bytes]

    def buffer_updated(self, count: int) -> None:
        """Receives bytes from the server.

        Failure guarded against: a response that a server sent twice, or noise after a response, would be read
        as the response to the next request. So bytes that arrive without an exchange in progress end the
        connection, and so do bytes that can't be the response of the exchange.
        """
        exchange = self.exchange
        if exchange is None:
            self.on_unrequested_bytes()
            self.abort()
            return
        if self.awaits_first_byte and not self._accept_first_byte(exchange):
            self.abort()
            return
        started_s = time.monotonic()
        self.parser.feed(bytes(READ_BUFFER[:count]))
        self.parsed_in_s = time.monotonic() - started_s
        self._process(exchange)
        if self.memory is not None:
            self.memory.upstream_received(self, count)

    def _accept_first_byte(self, exchange: Exchange) -> bool:
        """Decides whether the first bytes are taken for the response; this is not decided again later."""
        self.awaits_first_byte = False
        if not self._is_own_response():
            self.on_unrequested_bytes()
            return False
        self.begun_after_ns = int((asyncio.get_running_loop().time() - self.started_s) * 1e9)
        if not self.has_settled:
            self._record_response_time(exchange)
        return self.has_settled

    def _is_own_response(self) -> bool:
        """Returns whether the first bytes may be the response to the request in progress.

        A server acknowledges a request with its response at the latest. Bytes that it sent without having
        received the request belong to an earlier one. If a request is sent in several segments, a server may
        reject it after the first.
        """
        assert self.transport is not None
        if not self.fits_one_segment:
            return True
        return peer_state(self.transport.get_extra_info("socket")).all_acknowledged

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes of requests and responses that are kept."""
        if self.exchange is None or self.transport is None:
            return 0
        unwritten = self.transport.get_write_buffer_size()
        return self.parser.buffered_bytes + unwritten + len(self.exchange.request)

    def pass_on_response(self) -> None:
        """Starts to stream a response that is being buffered, if its head is complete."""
        exchange, parser = self.exchange, self.parser
        if exchange is None or exchange.sink is None or parser.streamed_head is not None:
            return
        if parser.head_complete and parser.error is None:
            parser.start_streaming()
            self._process(exchange)

    def _process(self, exchange: Exchange) -> None:
        """Handles the parser's results for the exchange.

        Failure guarded against: bytes that follow a streamed response, and can't be parsed, may be read
        together with its last part. This part is forwarded before the response is completed.
        """
        parser = self.parser
        error = parser.response_error
        if parser.streamed_head is not None and error is None:
            if parser.streamed_head.status != 200:
                # The body of a long error response is not forwarded, as the status is sufficient.
                exchange.finish(AttemptResult.OK, parser.streamed_head)
                self.abort()
                return
            self._stream(exchange, parser.streamed_head)
        if exchange.on_finished is None:
            return  # the exchange was given up while its response was streamed
        if parser.messages:
            self._complete(exchange, parser.messages.popleft())
        elif error is not None:
            # An invalid response still means that the server has processed the request, and that the network
            # did not fail. Further input on this connection is not trusted.
            exchange.finish(AttemptResult.ERROR)
            self.abort()
        elif self.hold_timer is None and exchange.sink is not None and parser.length_unknown:
            loop = asyncio.get_running_loop()
            self.hold_timer = loop.call_later(UNKNOWN_LENGTH_HOLD_S, self._end_hold, exchange)

    def _end_hold(self, exchange: Exchange) -> None:
        """Starts to stream a response without a stated length after the response was held."""
        self.hold_timer = None
        if self.exchange is exchange and self.parser.length_unknown:
            self.parser.start_streaming()
            self._process(exchange)

    def _stream(self, exchange: Exchange, head: Response) -> None:
        if not exchange.streaming:
            assert self.transport is not None
            self._record_response_time(exchange)
            exchange.unread_ns = peer_state(self.transport.get_extra_info("socket")).last_data_ns
            limit_kernel_buffers(self.transport)
            exchange.start_streaming(head)
        data = self.parser.take_body()
        if data and exchange.on_finished is not None:
            exchange.forward(data)

    def _record_response_time(self, exchange: Exchange) -> None:
        """Records how long the response to a client's request took to begin."""
        if self.response_times is not None and exchange.sink is not None:
            self.response_times.record(self.begun_after_ns)

    def eof_received(self) -> None:
        """Closes the connection when the server ends its sending. A response in progress is incomplete,
        unless its end is marked by the end of the connection.
        """
        self.parser.connection_ended()
        if self.exchange is not None and self.parser.messages:
            self._process(self.exchange)
        self.abort()

    def _complete(self, exchange: Exchange, response: Response) -> None:
        """Releases the connection after a complete response, and reports the outcome.

        Bytes after a response, such as a second copy or noise, would be read as the response to the next
        request, so such a connection is closed. The server's kernel may hold such bytes back until the
        response is acknowledged. So it is acknowledged at once, and not together with the next request: the
        bytes arrive while the connection rests.
        """
        assert self.transport is not None
        if not exchange.streaming:
            if response.status == 200:  # others may be quick, as no work was done for them
                self._record_response_time(exchange)
            exchange.unread_ns = peer_state(self.transport.get_extra_info("socket")).last_data_ns
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None
        self.exchange = None
        parser = self.parser
        clean = not (parser.messages or parser.has_partial or parser.error)
        if not clean:
            self.on_unrequested_bytes()
        if clean and exchange.written and response.keep_alive:
            acknowledge_now(self.transport)
            self.transport.resume_reading()  # the response may have ended while reading was paused
            self.on_idle(self)
        else:
            self.abort()
        exchange.finish(AttemptResult.OK, response)

    # ---- the end -----------------------------------------------------------------------------------------

    def abort(self) -> None:
        """Closes the connection immediately. An exchange in progress ends with RESET or CONNECT_FAILED.

        Failure guarded against: the transport closes its socket only in the next loop iteration, after
        another attempt for the same request may have been sent, so that two attempts could run at the
        same time. So the socket is shut down here, in both directions.
        """
        if not self.closed and self.transport is not None:
            shut_down_now(self.transport)
            self.transport.abort()
        self._close()

    def connection_lost(self, error: Exception | None) -> None:
        """Cleans up after the transport has ended."""
        self._close()

    def _close(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self.settle_timer is not None:
            self.settle_timer.cancel()
        if self.hold_timer is not None:
            self.hold_timer.cancel()
        self.parser.close()
        exchange, self.exchange = self.exchange, None
        self.on_closed(self)
        if exchange is not None:
            exchange.connection_lost()
