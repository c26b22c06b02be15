"""The writing half of a client's connection: responses, and when one is the last."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from lanelift.net.connection_phases import Phase
from lanelift.net.exchange import Exchange
from lanelift.net.headers import end_to_end
from lanelift.net.http_messages import Headers, Response, encode_message, encode_status
from lanelift.net.requests import OpenRequest
from lanelift.net.socket_options import abort_with_reset, bound_kernel_buffers, has_unread_data
from lanelift.net.upload import LAST_CHUNK, Upload

if TYPE_CHECKING:
    from lanelift.net.frontend import Frontend

# Parts of the cap on clients above which an answer ends its connection: one that comes from no upstream, and
# any. Idle connections are left some seconds, so that with many clients they would fill all places while
# newcomers wait.
MAX_FILL_FOR_OWN_ANSWERS, MAX_FILL = 0.75, 0.9


class ClientResponses(asyncio.Protocol):
    """Writes the responses of one client's connection; `ClientConnection` is its reading half.

    Attributes:
        frontend: What it belongs to.
        table: All clients' connections.
        transport: None: it is being set up.
        request: The open request.
        phase: The phase it stands in while it has none.
        upload: The open request's body, while that is streamed.
        reading_paused: The upstream takes no more of the upload for now.
        ignores_input: Its last response is given, or it has disconnected: what it sends is not read any more.
        write_paused: It does not read its responses.
        keep_alive: It can carry another request.
        is_head_request: Its response has no body.
        reads_chunks: It reads responses in chunks.
        source: The exchange whose response is streamed to it.
        is_last_response: The response that is being written is the last on this connection.
    """

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.table = frontend.table
        self.transport: asyncio.Transport | None = None
        self.request: OpenRequest | None = None
        self.phase: Phase | None = None
        self.upload: Upload | None = None
        self.reading_paused = False
        self.ignores_input = False
        self.write_paused = False
        self.keep_alive = True
        self.is_head_request = False
        self.reads_chunks = False
        self.source: Exchange | None = None
        self.is_last_response = False
        self._loop = asyncio.get_running_loop()

    # ---- the reading half --------------------------------------------------------------------------------

    @property
    def has_data(self) -> bool:
        """Part of a request has come."""
        raise NotImplementedError

    def phase_timed_out(self) -> None:
        """It has been in its phase for as long as it may."""
        raise NotImplementedError

    def _parse(self) -> None:
        raise NotImplementedError

    def _set_reading(self, enabled: bool) -> None:
        raise NotImplementedError

    # ---- final answers (`interfaces.Client`) -------------------------------------------------------------

    def respond(self, response: Response) -> None:
        """Answer with an upstream's response."""
        self._answer(200, end_to_end(response.headers), response.body)

    def reject(self, retry_after_ns: int, rate_limited: bool = False) -> None:
        """Answer that the request was shed: 429 over a rate limit, else 503."""
        headers = [(b"Retry-After", b"%.3f" % (retry_after_ns / 1e9))] if retry_after_ns > 0 else []
        body = b"over the limit\n" if rate_limited else b"refused\n"
        self._answer(429 if rate_limited else 503, headers, body)

    def fail(self, status: int, reason: str = "failed") -> None:
        """Answer with an error."""
        self._answer(status, [], f"{reason}\n".encode())

    def _reject_input(self, status: int, reason: str) -> None:
        """Answer bad input, and read no more of it."""
        self._answer(status, [], f"{reason}\n".encode(), last=True)

    def _answer(self, status: int, headers: Headers, body: bytes, last: bool = False) -> None:
        if self.source is not None:
            self.abort_response()  # another response has begun: no second one can be given
            return
        from_request, self.request = self.request is not None, None
        if self.upload is not None:
            self._set_reading(True)  # the rest of its body is read to nobody
            self.upload, last = None, True
        rows = [*headers, (b"Content-Length", b"%d" % len(body))]
        self._write_head(status, rows, last, from_request, b"" if self.is_head_request else body)
        self._flush()

    # ---- streamed responses ------------------------------------------------------------------------------

    def start_response(self, head: Response, source: Exchange) -> None:
        """Begin a streamed response."""
        assert self.transport is not None
        self.source = source
        if self.upload is not None:
            self._set_reading(True)
            self.upload, self.keep_alive = None, False
        length = head.header(b"content-length")
        rows = end_to_end(head.headers)
        if length is not None:
            rows.append((b"Content-Length", length))
            self.reads_chunks = False
        elif self.reads_chunks:
            rows.append((b"Transfer-Encoding", b"chunked"))
        else:
            self.keep_alive = False  # its end is the connection's
        self._write_head(200, rows, False, True)
        bound_kernel_buffers(self.transport)
        if self.write_paused:
            source.pause()

    def forward(self, data: bytes) -> None:
        """Write a piece of the streamed response."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data) if self.reads_chunks else data)

    def complete(self) -> None:
        """End the streamed response."""
        self.request = self.source = None
        if self.reads_chunks:
            self._write(LAST_CHUNK)
        self._flush()

    def abort_response(self) -> None:
        """End the streamed response before its end: by a reset, as a plain close could look like its end."""
        self.request = self.source = self.upload = None
        if self.transport is not None:
            abort_with_reset(self.transport)

    def pause_writing(self) -> None:
        """The client does not read its response."""
        self.write_paused = True
        if self.source is not None:
            self.source.pause()

    def resume_writing(self) -> None:
        """The client reads on."""
        self.write_paused = False
        if self.source is not None:
            self.source.resume()
        elif self.phase is Phase.FLUSHING:
            if self.transport is not None:
                self.transport.set_write_buffer_limits()
            self._response_written()
        else:
            self._parse()

    # ---- writing -----------------------------------------------------------------------------------------

    def _write_head(
        self, status: int, rows: Headers, last: bool, from_request: bool, body: bytes = b""
    ) -> None:
        """Write a response's head, and say in it whether it is the last one here."""
        self.is_last_response = (
            last
            or not self.keep_alive
            or self.frontend.lifecycle.closes_connections
            or self.table.is_filled(MAX_FILL if from_request else MAX_FILL_FOR_OWN_ANSWERS)
        )
        if self.is_last_response:
            rows = [*rows, (b"Connection", b"close")]
        self._write(encode_message(encode_status(status), rows, body))

    def _write(self, data: bytes | None) -> None:
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def _flush(self) -> None:
        """All of a response is written here. What its client has yet to read belongs to it, not to the idle
        time behind it.
        """
        if self.write_paused and self.transport is not None and not self.transport.is_closing():
            self.transport.set_write_buffer_limits(high=0)  # `resume_writing` comes when nothing is left
            self.table.enter(self, Phase.FLUSHING)
        else:
            self._response_written()

    # ---- the end of a response, and of the connection ----------------------------------------------------

    def _response_written(self) -> None:
        """The response has left.

        Failure guarded against: a response whose head was written before the drain began did not say that it
        is the last. Kept open, its connection would bring requests up to the process's end. So it is the last
        after all, if nothing has come behind its request.
        """
        idle_closed = self.frontend.shutdown.idle_closed
        if self.is_last_response or (
            idle_closed and not self.has_data and not has_unread_data(self.transport)
        ):
            self._close_after_response()
            return
        self.table.enter(self, Phase.IDLE)
        if self.has_data:
            self._loop.call_soon(self._parse)

    def _close_after_response(self) -> None:
        """End the connection once its last response has been read (RFC 9112, 9.6).

        Failure guarded against: closing over bytes that are unread, or come in this very moment, resets the
        connection and takes the response along. So only the sending ends, and what still comes is ignored.
        """
        self.ignores_input = True
        if self.transport is None or self.transport.is_closing():
            return
        self.table.enter(self, Phase.CLOSING)
        with suppress(OSError):  # it is broken, and that is reported on the next turn
            self.transport.write_eof()

    def abort(self) -> None:
        """Close at once."""
        self.table.leave(self)
        if self.transport is not None:
            self.transport.abort()
