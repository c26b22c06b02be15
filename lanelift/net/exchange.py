"""One HTTP/1.1 request to a server and its one outcome.

An exchange is sent once: nothing here sends a request again. The moment at which its last byte left is known:
if the connection breaks before it, that proves that the request never ran.
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

if TYPE_CHECKING:
    from lanelift.net.upstream_connection import UpstreamConnection

# While a response is streamed: an upstream that sends nothing for this long counts as gone.
UPSTREAM_SILENCE_TIMEOUT_S = 10.0
# And a client that takes nothing for this long counts as one that reads no more.
CLIENT_STALL_TIMEOUT_S = 30.0
# A streamed response without a stated length must bring this many bytes in each such interval once its time
# is over, until it is longer than what is buffered.
MIN_PROGRESS_BYTES = 1600
MIN_PROGRESS_INTERVAL_S = 0.2


class ResponseSink(Protocol):
    """Who takes a response that is streamed; the exchange's outcome tells its end."""

    def start_response(self, head: Response) -> None:
        """Its head; the body follows in pieces."""

    def forward(self, data: bytes) -> None:
        """A piece of its body."""


class Exchange:
    """A request and its outcome, which is reported exactly once: OK with a response, or why there is none.

    With a `sink`, a response that is longer than what is buffered is streamed: from `start_streaming` on no
    time-out runs but `UPSTREAM_SILENCE_TIMEOUT_S` and `CLIENT_STALL_TIMEOUT_S`, and the outcome OK comes with
    a response that has no body.

    A response without a stated length may be a long one, or a short one that never ends (a corrupt or stuck
    upstream): its client would wait for ever. Guard: once the attempt's time is over, such a response has to
    make progress (`MIN_PROGRESS_BYTES` in each `MIN_PROGRESS_INTERVAL_S`) until it is longer than what is
    buffered of any; else it is given up. One with a stated length is known to be long: only silence ends it.

    Attributes:
        request: The bytes to write: the head, and the body unless that is an `upload`.
        on_finished: Called once with the outcome; None afterwards.
        max_body_bytes: The longest response that is buffered.
        on_written: Called once when its last byte has left.
        sink: Takes a streamed response; None: nothing is streamed.
        upload: The request's streamed body.
        written: Its last byte has left.
        connection: The connection that carries it.
        timer: The time-out that runs.
        unread_ns: How long the response's end, or its beginning if it is streamed, lay here unread.
        streaming: Its response is being streamed.
        paused: The taker of its streamed response has no capacity for now.
        last_progress_s: When some of it was last forwarded, on the loop's clock.
        progress_due_s: When it has to be complete, or seen to make progress, on the loop's clock.
        distrust_until_s: What comes before this (loop's clock) is not taken for its response: it may stand
            behind another's.
        streamed_bytes: Bytes forwarded so far.
        streamed_bytes_at_check: Bytes forwarded at the last check of progress.
    """

    __slots__ = (
        "connection",
        "distrust_until_s",
        "last_progress_s",
        "max_body_bytes",
        "on_finished",
        "on_written",
        "paused",
        "progress_due_s",
        "request",
        "sink",
        "streamed_bytes",
        "streamed_bytes_at_check",
        "streaming",
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
    ) -> None:
        self.request = request
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
        self.progress_due_s = math.inf
        self.distrust_until_s = 0.0
        self.streamed_bytes = self.streamed_bytes_at_check = 0

    # ---- time-outs ---------------------------------------------------------------------------------------

    def expire_in(self, seconds: float) -> None:
        """Time out after so many seconds, in place of the time-out that runs."""
        self.cancel_timeout()
        self.timer = asyncio.get_running_loop().call_later(seconds, self.expire)

    def expire_without_progress(self) -> None:
        """Time out unless the upstream takes something in time."""
        self.expire_in(UPSTREAM_SILENCE_TIMEOUT_S)

    def cancel_timeout(self) -> None:
        """No time-out runs."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def expire(self) -> None:
        """The time is over. What was not fully written can't have run, and the close makes sure of it."""
        self.give_up(AttemptResult.TIMEOUT if self.written else AttemptResult.CONNECT_FAILED)

    def give_up(self, result: AttemptResult) -> None:
        """Stop waiting; the connection is closed, so that the server knows."""
        connection = self.connection
        self.finish(result)
        if connection is not None:
            connection.abort()

    # ---- progress ----------------------------------------------------------------------------------------

    def request_written(self) -> None:
        """Its last byte has left."""
        self.written = True
        on_written, self.on_written = self.on_written, None
        if on_written is not None:
            on_written()

    def start_streaming(self, head: Response) -> None:
        """Its response is streamed from here on."""
        self.streaming = True
        if self.timer is not None and head.header(b"content-length") is None:
            self.progress_due_s = self.timer.when()
        self.cancel_timeout()
        self.last_progress_s = asyncio.get_running_loop().time()
        self._check_progress()
        assert self.sink is not None
        self.sink.start_response(head)

    def _check_progress(self) -> None:
        """While a response is streamed: give it up once it has stood still for too long."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        timeout_s = CLIENT_STALL_TIMEOUT_S if self.paused else UPSTREAM_SILENCE_TIMEOUT_S
        until = self.last_progress_s + timeout_s
        if not self.paused and self.progress_due_s <= now:
            may_be_short = self.streamed_bytes <= MAX_BUFFERED_BODY_BYTES
            if may_be_short and self.streamed_bytes - self.streamed_bytes_at_check < MIN_PROGRESS_BYTES:
                until = now
            self.streamed_bytes_at_check = self.streamed_bytes
            self.progress_due_s = now + MIN_PROGRESS_INTERVAL_S if may_be_short else math.inf
        if until <= now:
            self.give_up(AttemptResult.TIMEOUT)
        else:
            next_check_s = until if self.paused else min(until, self.progress_due_s)
            self.timer = loop.call_at(next_check_s, self._check_progress)

    def forward(self, data: bytes) -> None:
        """A piece of the streamed response."""
        self.streamed_bytes += len(data)
        self.last_progress_s = asyncio.get_running_loop().time()
        assert self.sink is not None
        self.sink.forward(data)

    def pause(self) -> None:
        """Whoever takes the response has no capacity: read no more of it."""
        self.paused = True
        if self.connection is not None and self.connection.transport is not None:
            self.connection.transport.pause_reading()

    def resume(self) -> None:
        """Whoever takes the response has capacity again."""
        self.paused = False
        self.last_progress_s = asyncio.get_running_loop().time()
        if self.progress_due_s < math.inf and self.on_finished is not None:
            # Nothing could come while it was paused: its interval begins anew.
            self.streamed_bytes_at_check = self.streamed_bytes
            self.progress_due_s = max(self.progress_due_s, self.last_progress_s + MIN_PROGRESS_INTERVAL_S)
            self.cancel_timeout()
            self._check_progress()
        if self.connection is not None and self.connection.transport is not None:
            self.connection.transport.resume_reading()

    # ---- the outcome -------------------------------------------------------------------------------------

    def connection_lost(self) -> None:
        """Its connection broke."""
        self.finish(AttemptResult.RESET if self.written else AttemptResult.CONNECT_FAILED)

    def finish(self, result: AttemptResult, response: Response | None = None) -> None:
        """Report the outcome; later calls report nothing."""
        self.cancel_timeout()
        if self.upload is not None:
            self.upload.connection = None
        self.connection = None
        on_finished, self.on_finished = self.on_finished, None
        if on_finished is not None:
            on_finished(result, response)
