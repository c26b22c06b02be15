"""A client's connection: its requests, `/ready`, streamed bodies, time-outs and the end."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import TYPE_CHECKING

from lanelift.net.client_input import ClientInput
from lanelift.net.connection_phases import Phase
from lanelift.net.event_log import EventKind
from lanelift.net.headers import end_to_end_headers
from lanelift.net.http_messages import MessageError, Request, decode_text
from lanelift.net.request_head import (
    REPLACED_HEADERS,
    read_class_name,
    read_cost_hint_ns,
    read_ordering_key,
    read_request_id,
    read_wait_ns,
)
from lanelift.net.requests import OpenRequest
from lanelift.net.shutdown import FINAL_ANSWER_MARGIN_S
from lanelift.net.socket_options import limit_kernel_buffers, peer_state, unread_bytes
from lanelift.net.upload import Upload
from lanelift.policy.events import RequestArrived
from lanelift.policy.upload_deadline import UploadDeadline

if TYPE_CHECKING:
    from lanelift.net.frontend import Frontend

# subtracted from each deadline to leave time for the response's transfer to the client
ANSWER_MARGIN_NS = 3_000_000
# A client that writes on after its last response has this long to finish.
MAX_CLOSING_S = 3.0
# how often the deadline of a streamed body is checked
UPLOAD_CHECK_S = 0.025
# The time-out of a body starts again only if at least this many bytes were received since the time-out last
# started.
MIN_BODY_PROGRESS_BYTES = 16 * 1024


class ClientConnection(ClientInput):
    """A client's connection, which carries one request at a time.

    Attributes:
        dispatcher: The dispatcher that receives its requests.
        wait_ns: How long the client waits for the answer after it has sent the last byte of its request.
    """

    def __init__(self, frontend: Frontend) -> None:
        super().__init__(frontend)
        self.dispatcher = frontend.dispatcher
        self.wait_ns = 0

    # ---- memory ------------------------------------------------------------------------------------------

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes that this connection keeps of its requests and responses."""
        total = len(self.unparsed) + self.parser.buffered_bytes
        if self.transport is not None:
            total += self.transport.get_write_buffer_size()
        if self.request is not None:
            total += len(self.request.body)
        if self.upload is not None:
            total += sum(map(len, self.upload.buffered))
        return total

    @property
    def may_give_way(self) -> bool:
        """Whether this client may be evicted: its request is incomplete and no upstream has any of it, or it
        has sent requests ahead, one of which may be open."""
        if self.ignores_input or self.source is not None:
            return False
        if self.upload is not None:
            return not self.upload.consumed
        return bool(self.unparsed) or self.parser.has_partial

    def evict(self) -> None:
        """Frees the memory that this client takes.

        An incomplete request is rejected: it was not forwarded. A client that has sent requests ahead is
        disconnected, as no request can be answered before the open one.
        """
        if self.request is not None and self.upload is None:
            self._record(EventKind.SENT_AHEAD, f"{len(self.unparsed)} bytes, and memory is short")
            self.abort()
            self._disconnected()
        else:
            self._abandon_request(503, "refused")
        self.unparsed.clear()
        self.parser.drop_partial()

    # ---- the connection ----------------------------------------------------------------------------------

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the open request, and removes the connection from the frontend."""
        self._disconnected()
        self.frontend.turns.leave(self)
        self.parser.close()
        self.frontend.client_lost(self)

    def _disconnected(self) -> None:
        """Drops pipelined requests and ends the open one, as the client no longer reads responses."""
        self.ignores_input = True
        self.unparsed.clear()
        request, self.request = self.request, None
        source, self.source = self.source, None
        self.upload = None
        if source is not None:
            source.resume()  # the rest of the response is read and discarded, without waiting for the client
        if request is not None:
            self.dispatcher.client_disconnected(request)

    def phase_timed_out(self) -> None:
        """Handles the time-out of the current phase."""
        if self.waits_for_turn and self.phase in (Phase.IDLE, Phase.READING_HEAD, Phase.READING_BODY):
            self.table.enter(self, self.phase)  # not the client is slow
        elif self.phase is Phase.READING_HEAD and self.has_data:
            self._record(EventKind.HEAD_TIMEOUT)
            self._reject_input(408, "the request did not come in time")
        elif self.phase is Phase.READING_BODY and (
            self.reading_paused
            or self.received_bytes - self.received_bytes_at_check >= MIN_BODY_PROGRESS_BYTES
        ):
            self._enter_body_phase()
        elif self.phase is Phase.READING_BODY:
            self._record(EventKind.BODY_TIMEOUT, f"{self.received_bytes} bytes on this connection")
            self._abandon_request(408, "the body did not come in time")
        elif self.phase is Phase.CLOSING and self._goes_on_writing():
            self.table.enter(self, Phase.CLOSING)
        elif self.phase is Phase.FLUSHING:
            self._record(EventKind.CLIENT_STALLED)
            self.abort_response()
        else:
            self.abort()

    def _goes_on_writing(self) -> bool:
        """Returns whether the client still writes, and may read its last response only after that.

        Failure guarded against: a close while a client writes resets the connection, and the response that
        the client has not read yet is lost.
        """
        is_writing = self.received_bytes > self.received_bytes_at_check
        self.received_bytes_at_check = self.received_bytes
        return is_writing and self._loop.time() < self.closing_since_s + MAX_CLOSING_S

    # ---- requests ----------------------------------------------------------------------------------------

    def _parse_until(self, until_s: float) -> bool:
        """Parses further, unless a request is open or the client does not read its responses.

        Returns:
            Whether nothing is left that can be parsed now; False if the time was up first.
        """
        parser = self.parser
        while not self._may_not_parse:
            if time.monotonic() >= until_s:
                return False
            if self.upload is not None:
                if not self._forward_body(self.upload):
                    return True
            elif parser.messages and not parser.messages[0].streamed:
                if not self._begin_request(parser.messages[0]):
                    return True
            elif parser.streamed_head is not None:
                self._begin_request(parser.streamed_head, body_pending=True)
            elif parser.error is not None:
                self._record(EventKind.INVALID_REQUEST, str(parser.error))
                self._reject_input(parser.error.status, str(parser.error))
            elif not self._parse_slice():
                self._await_rest()
                return True
        return True

    def _await_rest(self) -> None:
        """Starts the time-out for the rest of an incomplete request, after all received bytes were parsed."""
        if self.phase is Phase.IDLE and self.has_data:
            self.table.enter(self, Phase.READING_HEAD)
        partial = self.parser.partial
        if self.phase is Phase.READING_HEAD and partial is not None and partial.head_complete:
            self._enter_body_phase()

    def _enter_body_phase(self) -> None:
        """Starts the time-out of the body, at its beginning or after progress."""
        self.received_bytes_at_check = self.received_bytes
        self.table.enter(self, Phase.READING_BODY)

    def _begin_request(self, message: Request, body_pending: bool = False) -> bool:
        """Begins to serve a request, and takes it from the parser if it is complete.

        Args:
            message: The request.
            body_pending: Whether its body is too long to be buffered, and is streamed.

        Returns:
            Whether the request was begun or answered; False if more has to be read first.
        """
        self.is_head_request = message.method == b"HEAD"
        self.keep_alive, self.reads_chunks = message.keep_alive, message.accepts_chunks
        path, _, query = message.target.decode("latin-1").partition("?")
        if path == "/ready" and not body_pending:
            self.parser.messages.popleft()
            ready = self.frontend.lifecycle.reports_ready(self.dispatcher.ready)
            self._answer(200 if ready else 503, [], b"ready\n" if ready else b"not ready\n")
            return True
        try:
            arrival = self._read_arrival(message, dict(message.headers), path, query, body_pending)
        except MessageError as error:
            self._record(EventKind.INVALID_REQUEST, str(error))
            if not body_pending:
                self.parser.messages.popleft()
            # If the message is complete, the connection stays usable.
            self._answer(error.status, [], f"{error}\n".encode(), last=body_pending)
            return True
        if not body_pending:
            if self._may_hide_close():
                return False
            self.parser.messages.popleft()
        headers = [row for row in end_to_end_headers(message.headers) if row[0] not in REPLACED_HEADERS]
        request = OpenRequest(arrival, message.method, message.target, headers, message.body, self)
        if not self.dispatcher.take_id(request):
            self._record(EventKind.REPEATED_ID, f"request {arrival.request}")
            self._answer(409, [], b"a request with this X-Request-Id may have run\n", last=body_pending)
            return True
        self.request = request
        if body_pending:
            length = next((int(value) for name, value in message.headers if name == b"content-length"), None)
            deadline = UploadDeadline(self.received_ns, max(0, self.wait_ns - ANSWER_MARGIN_NS), length)
            self.upload = request.upload = Upload(self._set_reading, length, deadline)
            assert self.transport is not None
            limit_kernel_buffers(self.transport)
            self._loop.call_later(UPLOAD_CHECK_S, self._check_upload, self.upload)
            self._enter_body_phase()
        else:
            self.table.leave(self)
        self.dispatcher.receive_request(request)
        return True

    def _read_arrival(
        self, message: Request, headers: Mapping[bytes, bytes], path: str, query: str, body_pending: bool
    ) -> RequestArrived:
        """Returns the event that notifies the balancer of the request. Raises MessageError."""
        dispatcher = self.dispatcher
        classes = dispatcher.settings.classes
        class_name = read_class_name(message, headers, path, body_pending, classes)
        request_id = read_request_id(headers, dispatcher.requests.by_id)
        wait_ns = self.wait_ns = read_wait_ns(headers, classes[class_name])
        deadline_ns = self.received_ns + max(0, wait_ns - ANSWER_MARGIN_NS)
        shutdown = self.frontend.shutdown
        if shutdown.shutting_down:  # the answer must leave before the process ends
            left_s = shutdown.ends_s - FINAL_ANSWER_MARGIN_S - self._loop.time()
            deadline_ns = min(deadline_ns, time.monotonic_ns() + int(left_s * 1e9))
        return RequestArrived(
            request_id,
            class_name,
            dispatcher.resolve_tenant(decode_text(headers.get(b"x-tenant", b""))),
            deadline_ns,
            read_cost_hint_ns(headers),
            read_ordering_key(query),
            headers.get(b"x-retry") == b"1",
            self.received_ns,
            body_pending,
        )

    # ---- streamed bodies ---------------------------------------------------------------------------------

    def _forward_body(self, upload: Upload) -> bool:
        """Forwards the received part of a body; returns False if it has to wait or the body has ended."""
        parser = self.parser
        if parser.messages and self._may_hide_close():
            return False  # the rest is read first
        data = parser.take_body()
        if data:
            upload.receive(data)
        if parser.messages:
            parser.messages.popleft()
            parser.finish_streamed()
            upload.deadline.complete(self.received_ns)
            self._detach_upload()
            self.table.leave(self)
            assert self.request is not None
            self.dispatcher.body_received(self.request, upload.deadline.due_ns)
            return False
        if parser.error is not None:
            self._abandon_request(parser.error.status, str(parser.error))
            return False
        return not self.reading_paused and self._parse_slice()

    def _observe_upload(self, upload: Upload) -> None:
        """Updates the estimate of when the answer is due.

        Failure guarded against: while the upstream accepts no more of the body, reading waits, and the client
        may have written its last byte long before it is read. Its time would seem not to have begun.
        """
        assert self.transport is not None
        now = time.monotonic_ns()
        age_ns = peer_state(self.transport.get_extra_info("socket")).last_data_ns
        upload.deadline.observe(
            now, now - age_ns, self.parser.streamed_bytes, len(self.unparsed), unread_bytes(self.transport)
        )

    def _check_upload(self, upload: Upload) -> None:
        """Fails the open request if its answer is due while its body is still being forwarded."""
        if self.upload is not upload or self.request is None:
            return
        self._observe_upload(upload)
        if not self.is_connected():
            return
        if time.monotonic_ns() >= upload.deadline.due_ns:
            self.dispatcher.requests.fail_overdue_upload(self.request)
        else:
            self._loop.call_later(UPLOAD_CHECK_S, self._check_upload, upload)

    def _set_reading(self, enabled: bool) -> None:
        """Resumes reading when the upstream accepts more of the body, and else pauses reading."""
        if self.upload is None or self.reading_paused is not enabled or self.transport is None:
            return
        self.reading_paused = not enabled
        if enabled:
            if not self.waits_for_turn:
                self.transport.resume_reading()
            self._loop.call_soon(self._parse)
        else:
            self.transport.pause_reading()

    def _detach_upload(self) -> None:
        """Ends the streaming of a body, after which reading no longer waits for an upstream.

        Failure guarded against: the body may end while reading is paused. The next request, or the client's
        disconnection, would never be read.
        """
        self._set_reading(True)
        self.upload = None

    def _abandon_request(self, status: int, reason: str) -> None:
        """Rejects a request whose body will never be complete, and cancels its attempt."""
        request, self.request = self.request, None
        if request is not None:
            self.dispatcher.client_disconnected(request)
        self._reject_input(status, reason)
