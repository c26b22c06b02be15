"""The reading half of a client's connection: requests, `/ready`, streamed bodies, and disconnection."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING, cast

from lanelift.net.client_responses import ClientResponses
from lanelift.net.connection_phases import Phase
from lanelift.net.headers import end_to_end
from lanelift.net.http_messages import MessageError, Request, decode_text
from lanelift.net.http_parser import RequestParser
from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES
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
from lanelift.net.socket_options import peer_state
from lanelift.net.upload import Upload
from lanelift.policy.events import RequestArrived

if TYPE_CHECKING:
    from lanelift.net.frontend import Frontend

ANSWER_MARGIN_NS = 3_000_000  # kept of each deadline for the response's way to the client
# Parsed at a time: what is sent ahead of responses waits unparsed, and small.
PARSE_SLICE_BYTES = 16 * 1024
# A streamed body must bring so much within its phase's time-out to be given it again.
MIN_BODY_PROGRESS_BYTES = 16 * 1024


class ClientConnection(ClientResponses):
    """One client's connection. It carries one request at a time.

    Attributes:
        dispatcher: Takes its requests.
        parser: Reads them.
        unparsed: What has come and is not parsed yet.
        received_ns: When what is being parsed came in (monotonic clock).
        wait_ns: How long the client waits, from the last byte of its request on.
        received_bytes: Come so far.
        received_bytes_at_check: And when its body was last seen to make progress.
    """

    def __init__(self, frontend: Frontend) -> None:
        super().__init__(frontend)
        self.dispatcher = frontend.dispatcher
        self.parser = RequestParser()
        self.unparsed = bytearray()
        self.received_ns = 0
        self.wait_ns = 0
        self.received_bytes = self.received_bytes_at_check = 0

    @property
    def has_data(self) -> bool:
        """Part of a request has come."""
        return self.parser.has_partial or bool(self.parser.messages or self.unparsed)

    # ---- the connection ----------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is set up."""
        self.transport = cast(asyncio.Transport, transport)
        self.table.enter(self, Phase.READING_HEAD)

    def data_received(self, data: bytes) -> None:
        """Bytes came in.

        Deadlines count from the client's send: what waited in the backlog, or for a late loop, is not fresh.
        Work for a client that has left would make those behind it late, until they leave, too. So the kernel
        is asked when the bytes came and whether the client is still there. And what a client sends behind the
        one request that may be open is bounded, as it would fill the memory.
        """
        if self.ignores_input:
            return
        assert self.transport is not None
        disconnected, age_ns = peer_state(self.transport.get_extra_info("socket"))
        if disconnected:
            self.abort()
            return
        self.received_ns = time.monotonic_ns() - age_ns
        self.received_bytes += len(data)
        may_not_parse = (self.request is not None and self.upload is None) or self.write_paused
        if may_not_parse and len(self.unparsed) > MAX_BUFFERED_BODY_BYTES:
            self.abort()
            return
        self.unparsed += data
        self._parse()

    def eof_received(self) -> bool:
        """The client ended its sending: it counts as disconnected."""
        self._disconnected()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended."""
        self._disconnected()
        self.parser.close()
        self.frontend.client_lost(self)

    def _is_connected(self) -> bool:
        """Whether its request still has a client. While reading is paused its end is not reported, so the
        kernel is asked.
        """
        if (
            self.reading_paused
            and self.transport is not None
            and peer_state(self.transport.get_extra_info("socket"))[0]
        ):
            self._disconnected()
            self.abort()
        return self.request is not None

    def _disconnected(self) -> None:
        """Nobody reads its responses any more: what it sent ahead is not begun, and what is open is ended."""
        self.ignores_input = True
        self.unparsed.clear()
        request, self.request = self.request, None
        source, self.source = self.source, None
        self.upload = None
        if source is not None:
            source.resume()  # nobody is waited for: what still comes ends here
        if request is not None:
            self.dispatcher.client_disconnected(request)

    def phase_timed_out(self) -> None:
        """It has been in its phase for as long as it may."""
        if self.phase is Phase.READING_HEAD and self.has_data:
            self._reject_input(408, "the request did not come in time")
        elif self.phase is Phase.READING_BODY and (
            self.reading_paused
            or self.received_bytes - self.received_bytes_at_check >= MIN_BODY_PROGRESS_BYTES
        ):
            self._enter_body_phase()
        elif self.phase is Phase.READING_BODY:
            self._abandon_request(408, "the body did not come in time")
        elif self.phase is Phase.FLUSHING:
            self.abort_response()
        else:
            self.abort()

    # ---- requests ----------------------------------------------------------------------------------------

    def _parse(self) -> None:
        """Read on, unless a request is open, or responses pile up that are not read."""
        parser = self.parser
        while not self.ignores_input and not self.write_paused:
            if self.upload is not None:
                if not self._forward_body(self.upload):
                    return
            elif self.request is not None:
                return
            elif parser.messages and not parser.messages[0].streamed:
                self._begin_request(parser.messages.popleft())
            elif parser.streaming is not None:
                self._begin_request(parser.streaming, body_pending=True)
            elif parser.error is not None:
                self._reject_input(parser.error.status, str(parser.error))
            elif not self._parse_slice():
                self._await_rest()
                return

    def _parse_slice(self) -> bool:
        """Parse one slice of what has come; False if nothing is left."""
        if self.unparsed:
            data = bytes(self.unparsed[:PARSE_SLICE_BYTES])
            del self.unparsed[:PARSE_SLICE_BYTES]
            self.parser.feed(data)
            return True
        if self.parser.expects_continue:
            self.parser.expects_continue = False
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return False

    def _await_rest(self) -> None:
        """All that came is parsed: the time for what is missing runs, by what that is."""
        if self.phase is Phase.IDLE and self.has_data:
            self.table.enter(self, Phase.READING_HEAD)
        partial = self.parser.partial
        if self.phase is Phase.READING_HEAD and partial is not None and partial.head_complete:
            self._enter_body_phase()

    def _enter_body_phase(self) -> None:
        """Its body is being received, and has made progress."""
        self.received_bytes_at_check = self.received_bytes
        self.table.enter(self, Phase.READING_BODY)

    def _begin_request(self, message: Request, body_pending: bool = False) -> None:
        """A request is there.

        Args:
            message: The request.
            body_pending: Its body is longer than what is buffered, and is streamed.
        """
        self.is_head_request = message.method == b"HEAD"
        self.keep_alive, self.reads_chunks = message.keep_alive, message.accepts_chunks
        path, _, query = message.target.decode("latin-1").partition("?")
        if path == "/ready" and not body_pending:
            ready = self.frontend.lifecycle.reports_ready(self.dispatcher.ready)
            self._answer(200 if ready else 503, [], b"ready\n" if ready else b"not ready\n")
            return
        try:
            arrival = self._read_arrival(message, dict(message.headers), path, query, body_pending)
        except MessageError as error:
            # Where the message is complete, the connection can go on.
            self._answer(error.status, [], f"{error}\n".encode(), last=body_pending)
            return
        headers = [row for row in end_to_end(message.headers) if row[0] not in REPLACED_HEADERS]
        request = OpenRequest(arrival, message.method, message.target, headers, message.body, self)
        self.request = request
        if body_pending:
            length = next((int(value) for name, value in message.headers if name == b"content-length"), None)
            self.upload = request.upload = Upload(self._set_reading, self._is_connected, length)
            self._enter_body_phase()
        else:
            self.table.leave(self)
        self.dispatcher.receive_request(request)

    def _read_arrival(
        self, message: Request, headers: Mapping[bytes, bytes], path: str, query: str, body_pending: bool
    ) -> RequestArrived:
        """What the balancer is notified of. Raises MessageError."""
        dispatcher = self.dispatcher
        classes = dispatcher.settings.classes
        class_name = read_class_name(message, headers, path, body_pending, classes)
        request_id = read_request_id(headers, dispatcher.requests.by_id)
        wait_ns = self.wait_ns = read_wait_ns(headers, classes[class_name])
        deadline_ns = self.received_ns + max(0, wait_ns - ANSWER_MARGIN_NS)
        shutdown = self.frontend.shutdown
        if shutdown.shutting_down:  # it is answered while there is somebody to answer it
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
        """Hand on what has come of a body; False where that has to wait, or is over."""
        parser = self.parser
        data = parser.take_body()
        if data:
            upload.receive(data)
        if parser.messages:
            parser.messages.popleft()
            parser.finish_streamed()
            self.upload = None
            self.table.leave(self)
            assert self.request is not None
            deadline_ns = self.received_ns + max(0, self.wait_ns - ANSWER_MARGIN_NS)
            self.dispatcher.body_received(self.request, deadline_ns)
            return False
        if parser.error is not None:
            self._abandon_request(parser.error.status, str(parser.error))
            return False
        return not self.reading_paused and self._parse_slice()

    def _set_reading(self, enabled: bool) -> None:
        """The upstream takes more of the body, or no more for now."""
        if self.upload is None or self.reading_paused is not enabled or self.transport is None:
            return
        self.reading_paused = not enabled
        if enabled:
            self.transport.resume_reading()
            self._loop.call_soon(self._parse)
        else:
            self.transport.pause_reading()

    def _abandon_request(self, status: int, reason: str) -> None:
        """Its request will never be complete: what was forwarded of it is cancelled."""
        request, self.request = self.request, None
        if request is not None:
            self.dispatcher.client_disconnected(request)
        self._reject_input(status, reason)
