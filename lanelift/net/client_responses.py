"""The writing half of a client's connection: responses, and whether a response is the last one."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from lanelift.net.connection_phases import Phase
from lanelift.net.event_log import EventKind
from lanelift.net.exchange import Exchange
from lanelift.net.headers import end_to_end_headers
from lanelift.net.http_messages import Headers, Response, encode_message, encode_status
from lanelift.net.requests import OpenRequest
from lanelift.net.socket_options import abort_with_reset, has_unread_data, limit_kernel_buffers
from lanelift.net.upload import LAST_CHUNK, Upload

if TYPE_CHECKING:
    from lanelift.net.frontend import Frontend

# When the number of clients is at least this fraction of the cap, a connection is closed after its answer.
# `MAX_FILL` is for the answer to an open request, `MAX_FILL_FOR_OWN_ANSWERS` for `/ready` and for the answer
# to invalid input. Idle connections are kept for some seconds, so with many clients they would take up the
# whole cap while new clients wait.
MAX_FILL_FOR_OWN_ANSWERS, MAX_FILL = 0.75, 0.9


class ClientResponses(asyncio.BaseProtocol):
    """Writes the responses to one client; `ClientConnection` is the reading half.

    Attributes:
        frontend: The frontend that the connection belongs to.
        table: The table of all clients' connections.
        transport: The transport; None while the connection is being set up.
        request: The open request.
        phase: What the connection is waiting for from its client; None while a response is awaited
            or streamed.
        upload: The body of the open request while the body is streamed.
        reading_paused: Whether reading is paused because the upstream accepts no more of the upload.
        ignores_input: Whether input is discarded: the last response was written or the client disconnected.
        write_paused: Whether the write buffer is full because the client does not read its responses.
        keep_alive: Whether the connection can carry another request.
        is_head_request: Whether the request is a HEAD request, whose response has no body.
        reads_chunks: Whether the client accepts chunked responses.
        source: The exchange whose response is streamed to the client.
        is_last_response: Whether the current response is the last on this connection.
        received_bytes: The number of bytes received so far.
        received_bytes_at_check: The value of `received_bytes` at the last check of progress.
        closing_since_s: When the last response was written, on the loop's clock.
        is_parsing: Whether the response is written while input is being parsed, which goes on after it.
        waiting_since_s: When the request that is being received began, on the loop's clock.
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
        self.waiting_since_s = 0.0
        self.is_parsing = False
        self.closing_since_s = 0.0
        self.received_bytes = self.received_bytes_at_check = 0
        self._loop = asyncio.get_running_loop()

    def _record(self, kind: EventKind, detail: str = "") -> None:
        """Counts and logs why something is ended early, with the id of the open request."""
        request = f"request {self.request.arrival.request}" if self.request is not None else "no open request"
        self.frontend.dispatcher.metrics.events.record(kind, f"{request}; {detail}" if detail else request)

    # ---- the reading half --------------------------------------------------------------------------------

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes that this connection keeps of its requests and responses."""
        raise NotImplementedError

    @property
    def may_give_way(self) -> bool:
        """Whether this client may be evicted when memory is short."""
        raise NotImplementedError

    def evict(self) -> None:
        """Frees the memory that this client takes."""
        raise NotImplementedError

    @property
    def has_data(self) -> bool:
        """Whether part of a request has been received."""
        raise NotImplementedError

    def phase_timed_out(self) -> None:
        """Handles the time-out of the current phase."""
        raise NotImplementedError

    def _parse(self) -> None:
        raise NotImplementedError

    def _detach_upload(self) -> None:
        raise NotImplementedError

    # ---- final answers (`interfaces.Client`) -------------------------------------------------------------

    def respond(self, response: Response) -> None:
        """Answers with an upstream's response."""
        self._answer(200, end_to_end_headers(response.headers), response.body)

    def reject(self, retry_after_ns: int, rate_limited: bool = False) -> None:
        """Answers that the request was shed: 429 over a rate limit, else 503."""
        headers = [(b"Retry-After", b"%.3f" % (retry_after_ns / 1e9))] if retry_after_ns > 0 else []
        body = b"over the limit\n" if rate_limited else b"refused\n"
        self._answer(429 if rate_limited else 503, headers, body)

    def fail(self, status: int, reason: str = "failed") -> None:
        """Answers with an error."""
        self._answer(status, [], f"{reason}\n".encode())

    def _reject_input(self, status: int, reason: str) -> None:
        """Answers invalid input with an error, and reads no further input."""
        self._answer(status, [], f"{reason}\n".encode(), last=True)

    def _answer(self, status: int, headers: Headers, body: bytes, last: bool = False) -> None:
        if self.source is not None:
            self.abort_response()  # no other answer is possible: a streamed response has begun
            return
        from_request, self.request = self.request is not None, None
        if self.upload is not None:
            self._detach_upload()  # the rest of the body is read and discarded
            last = True
        rows = [*headers, (b"Content-Length", b"%d" % len(body))]
        self._write_head(status, rows, last, from_request, b"" if self.is_head_request else body)
        self._flush()

    # ---- streamed responses ------------------------------------------------------------------------------

    def start_response(self, head: Response, source: Exchange) -> None:
        """Begins a streamed response."""
        assert self.transport is not None
        self.source = source
        if self.upload is not None:
            self._detach_upload()
            self.keep_alive = False
        length = head.header(b"content-length")
        rows = end_to_end_headers(head.headers)
        if length is not None:
            rows.append((b"Content-Length", length))
            self.reads_chunks = False
        elif self.reads_chunks:
            rows.append((b"Transfer-Encoding", b"chunked"))
        else:
            self.keep_alive = False  # the end of the connection marks the end of the response
        # A piece of which any part is left waits here, and the next one is read when it is written.
        self.transport.set_write_buffer_limits(high=0)
        self._write_head(200, rows, False, True)
        limit_kernel_buffers(self.transport)
        if self.write_paused:
            source.pause()

    def forward(self, data: bytes) -> None:
        """Writes a piece of the streamed response."""
        self._write(b"%x\r\n%b\r\n" % (len(data), data) if self.reads_chunks else data)

    def complete(self) -> None:
        """Ends the streamed response."""
        self.request = self.source = None
        if self.reads_chunks:
            self._write(LAST_CHUNK)
        self._flush()

    def abort_response(self) -> None:
        """Aborts the streamed response by a reset, as an ordinary close could look like its regular end."""
        self.request = self.source = self.upload = None
        if self.transport is not None:
            abort_with_reset(self.transport)

    def pause_writing(self) -> None:
        """Pauses the response's source while the client does not read."""
        self.write_paused = True
        self.frontend.memory.client_keeps(self)
        if self.source is not None:
            self.source.pause()

    def resume_writing(self) -> None:
        """Continues with the response, or with the next request, when the client reads again."""
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
        """Writes a response's head, which says whether the response is the last on this connection."""
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
        """Ends a response after its last byte was passed to the transport. If part of the response still
        waits in the write buffer, the connection counts as idle only after the client has read that part.
        """
        if self.write_paused and self.transport is not None and not self.transport.is_closing():
            # with this limit `resume_writing` is called only when the buffer is empty
            self.transport.set_write_buffer_limits(high=0)
            self.table.enter(self, Phase.FLUSHING)
        else:
            self._response_written()

    # ---- the end of a response, and of the connection ----------------------------------------------------

    def _response_written(self) -> None:
        """Decides whether to keep the connection after a complete response.

        Failure guarded against: if a response's head was written before the drain began, it does not say that
        the response is the last. If its connection stayed open, requests could arrive on it until the process
        ends. So the connection is closed, unless more input was received after the request.
        """
        idle_closed = self.frontend.shutdown.idle_closed
        if self.is_last_response or (
            idle_closed and not self.has_data and not has_unread_data(self.transport)
        ):
            self._close_after_response()
            return
        self.table.enter(self, Phase.IDLE)
        if self.has_data and not self.is_parsing:
            self._loop.call_soon(self._parse)

    def _close_after_response(self) -> None:
        """Ends the connection once its last response has been read (RFC 9112, 9.6).

        Failure guarded against: closing a socket with unread bytes, or just as bytes arrive, resets the
        connection, and the response is lost. So only the sending side is closed, and input is ignored.
        """
        self.ignores_input = True
        if self.transport is None or self.transport.is_closing():
            return
        self.closing_since_s = self._loop.time()
        self.received_bytes_at_check = self.received_bytes
        self.table.enter(self, Phase.CLOSING)
        with suppress(OSError):  # the connection is broken, which is reported in the next loop iteration
            self.transport.write_eof()

    def abort(self) -> None:
        """Closes the connection immediately."""
        self.table.leave(self)
        if self.transport is not None:
            self.transport.abort()
