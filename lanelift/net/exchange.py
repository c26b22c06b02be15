"""An HTTP/1.1 request to a server and its one outcome.

An exchange is sent only once; this module never repeats a request. An exchange records whether its last byte
was written: if the connection breaks before that, the request certainly never ran.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from lanelift.net.http_messages import Response
from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES
from lanelift.net.upload import Upload
from lanelift.policy.events import AttemptResult
from lanelift.policy.response_progress import (
    CLIENT_STALL_TIMEOUT_S,
    SILENCE_TIMEOUT_S,
    response_due_s,
)

if TYPE_CHECKING:
    from lanelift.net.upstream_connection import UpstreamConnection


class ResponseSink(Protocol):
    """The receiver of a streamed response; the response's end is reported as the exchange's outcome."""

    def is_client_connected(self) -> bool:
        """Returns whether the response still has a receiver."""

    def start_response(self, head: Response) -> None:
        """Receives the response's head; the body follows in pieces."""

    def forward(self, data: bytes) -> None:
        """Receives a piece of the body."""


class Exchange:
    """A request and its outcome, which is reported exactly once: OK with a response, or the kind of failure.

    With `prepare_request`, the bytes to write are made just before they are written, when the conditions of
    the write are checked again. With a `sink`, a response that is too long to be buffered is streamed: from
    `start_streaming` on the limits of `lanelift.policy.response_progress` apply, and the outcome OK has a
    response without a body.

    Attributes:
        request: The bytes to write: the head, and the body unless the body is an `upload`. Empty before
            `prepare` and once they were written.
        prepare_request: Called just before the write, with whether the upstream is listed as ready; returns
            the bytes to write, or None if the request may not be written any more. None if `request` is
            given.
        is_get: Whether the method is GET.
        on_finished: Called once with the outcome; None afterwards.
        max_body_bytes: The longest response body that is buffered.
        on_written: Called once when the request's last byte was written.
        sink: The receiver of a streamed response; None if responses are not streamed.
        upload: The request's streamed body.
        written: Whether the request's last byte was written.
        connection: The connection that carries the exchange.
        timer: The timer of the current time-out.
        unread_ns: How long the end of the response (of a streamed response: the start) waited unread in this
            process.
        streaming: Whether the response is being streamed.
        paused: Whether the sink accepts no more of the streamed response for now.
        last_progress_s: The time at which part of the response was last forwarded, on the loop's clock.
        streaming_since_s: When the response began to be streamed, moved on by the time in which the sink was
            paused, on the loop's clock.
        response_bytes: The stated length of the streamed response; None if it is not stated.
        timeout_at_s: The attempt's time-out as it limits the streamed response (`response_due_s`).
        paused_at_s: When the sink was paused, on the loop's clock.
        settles_s: When its connection settles (loop's clock), 0 if it has settled: bytes received before are
            not accepted as the response, as they may belong to the previous response on the connection.
        streamed_bytes: The number of bytes forwarded so far.
    """

    __slots__ = (
        "connection",
        "is_get",
        "last_progress_s",
        "max_body_bytes",
        "on_finished",
        "on_written",
        "paused",
        "paused_at_s",
        "prepare_request",
        "request",
        "response_bytes",
        "settles_s",
        "sink",
        "streamed_bytes",
        "streaming",
        "streaming_since_s",
        "timeout_at_s",
        "timer",
        "unread_ns",
        "upload",
        "written",
    )

    def __init__(
        self,
        request: bytes,
        on_finished: Callable[[AttemptResult, Response | None], None],
        max_body_bytes: int = MAX_BUFFERED_BODY_BYTES,
        on_written: Callable[[], None] | None = None,
        sink: ResponseSink | None = None,
        upload: Upload | None = None,
        prepare_request: Callable[[bool], bytes | None] | None = None,
        is_get: bool = False,
    ) -> None:
        self.request = request
        self.prepare_request = prepare_request
        self.is_get = is_get
        self.upload = upload
        self.on_written = on_written
        self.sink = sink
        self.max_body_bytes = max_body_bytes
        self.on_finished: Callable[[AttemptResult, Response | None], None] | None = on_finished
        self.written = False
        self.connection: UpstreamConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.unread_ns = 0
        self.streaming = False
        self.paused = False
        self.last_progress_s = 0.0
        self.streaming_since_s = 0.0
        self.timeout_at_s = math.inf
        self.paused_at_s = 0.0
        self.response_bytes: int | None = None
        self.settles_s = 0.0
        self.streamed_bytes = 0

    # ---- time-outs ---------------------------------------------------------------------------------------

    def expire_in(self, seconds: float) -> None:
        """Sets the time-out, in seconds from now; replaces the current one."""
        self.cancel_timeout()
        self.timer = asyncio.get_running_loop().call_later(seconds, self.expire)

    def expire_without_progress(self) -> None:
        """Sets the time-out for an upstream that accepts no more of the request."""
        self.expire_in(SILENCE_TIMEOUT_S)

    def cancel_timeout(self) -> None:
        """Cancels the current time-out."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def expire(self) -> None:
        """Ends the exchange at its time-out.

        A request whose last byte was not written has not run, and never will, as its connection is closed.
        """
        self.give_up(AttemptResult.TIMEOUT if self.written else AttemptResult.CONNECT_FAILED)

    def give_up(self, result: AttemptResult) -> None:
        """Ends the exchange with a result, and closes its connection so that the server notices."""
        connection = self.connection
        self.finish(result)
        if connection is not None:
            connection.abort()

    # ---- the request -------------------------------------------------------------------------------------

    def prepare(self, upstream_ready: bool) -> bool:
        """Makes the bytes to write, just before the write.

        Args:
            upstream_ready: Whether the upstream is listed as ready.

        Returns:
            Whether the request may be written; False also if the exchange was given up.
        """
        if self.on_finished is None:
            return False
        if self.prepare_request is None:
            return upstream_ready
        request = self.prepare_request(upstream_ready)
        if request is None or self.on_finished is None:
            return False
        self.request = request
        return True

    def request_written(self) -> None:
        """Records that the request's last byte was written."""
        self.written = True
        self.request = b""
        on_written, self.on_written = self.on_written, None
        if on_written is not None:
            on_written()

    # ---- progress ----------------------------------------------------------------------------------------

    def start_streaming(self, head: Response) -> None:
        """Starts to stream the response."""
        self.streaming = True
        length = head.header(b"content-length")
        self.response_bytes = int(length) if length is not None else None
        if self.timer is not None:
            self.timeout_at_s = self.timer.when()
        self.cancel_timeout()
        self.last_progress_s = self.streaming_since_s = asyncio.get_running_loop().time()
        self._check_progress()
        assert self.sink is not None
        self.sink.start_response(head)

    def _check_progress(self) -> None:
        """Gives up a streamed response without enough progress, or sets the timer of the next check."""
        loop = asyncio.get_running_loop()
        if self.paused:
            until_s = self.last_progress_s + CLIENT_STALL_TIMEOUT_S
        else:
            until_s = min(
                self.last_progress_s + SILENCE_TIMEOUT_S,
                response_due_s(
                    self.streamed_bytes, self.response_bytes, self.streaming_since_s, self.timeout_at_s
                ),
            )
        if until_s <= loop.time():
            self.give_up(AttemptResult.TIMEOUT)
        else:
            self.timer = loop.call_at(until_s, self._check_progress)

    def forward(self, data: bytes) -> None:
        """Passes a piece of the streamed response to the sink."""
        self.streamed_bytes += len(data)
        self.last_progress_s = asyncio.get_running_loop().time()
        assert self.sink is not None
        self.sink.forward(data)

    def pause(self) -> None:
        """Pauses reading the response, as the sink accepts no further pieces for now."""
        if not self.paused:
            self.paused_at_s = asyncio.get_running_loop().time()
        self.paused = True
        if self.connection is not None and self.connection.transport is not None:
            self.connection.transport.pause_reading()

    def resume(self) -> None:
        """Resumes reading the response, as the sink accepts pieces again."""
        self.last_progress_s = asyncio.get_running_loop().time()
        if self.paused:
            # no progress was possible while the response was paused
            self.streaming_since_s += self.last_progress_s - self.paused_at_s
            self.timeout_at_s = max(self.timeout_at_s, self.last_progress_s)
        self.paused = False
        if self.timeout_at_s < math.inf and self.on_finished is not None:
            self.cancel_timeout()
            self._check_progress()
        if self.connection is not None and self.connection.transport is not None:
            self.connection.transport.resume_reading()

    # ---- the outcome -------------------------------------------------------------------------------------

    def connection_lost(self) -> None:
        """Ends the exchange after its connection was lost."""
        self.finish(AttemptResult.RESET if self.written else AttemptResult.CONNECT_FAILED)

    def finish(self, result: AttemptResult, response: Response | None = None) -> None:
        """Reports the outcome; later calls do nothing."""
        self.cancel_timeout()
        if self.upload is not None:
            self.upload.connection = None
        self.connection = None
        on_finished, self.on_finished = self.on_finished, None
        if on_finished is not None:
            on_finished(result, response)
