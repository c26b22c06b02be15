"""Runs attempts: sends them to upstreams and applies their outcomes to the requests.

The balancer's bookkeeping of attempts is in `lanelift.policy.attempts`.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable
from dataclasses import dataclass

from lanelift.net.event_log import EventKind
from lanelift.net.http_messages import Response
from lanelift.net.load_reports import LoadReport
from lanelift.net.metrics import FAULTED, FULFILLED, Metrics
from lanelift.net.requests import OpenRequest, RequestTable
from lanelift.net.upstreams import Upstreams, encode_attempt
from lanelift.policy.actions import CancelAttempt, ProbeLoad, StartAttempt
from lanelift.policy.events import (
    NOT_EXECUTED,
    AttemptFinished,
    AttemptResult,
    Event,
    LoadProbeFinished,
    ResponseStarted,
)
from lanelift.policy.settings import Settings
from lanelift.policy.write_check import WriteConditions, write_refusal

log = logging.getLogger(__name__)

NS_PER_MS, NS_PER_S = 1_000_000, 1e9


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in progress, which receives the streamed response and the outcome of its exchange.

    Attributes:
        runner: The runner that started the attempt.
        request: The request that is being attempted.
        number: Its index among the request's attempts, from 0.
        upstream: The upstream's number.
        started_ns: When the attempt was started (monotonic clock); with a streamed body, when the client sent
            the body's last byte.
        expires_ns: When the attempt times out (monotonic clock); None if only its request's deadline counts.
    """

    runner: AttemptRunner
    request: OpenRequest
    number: int
    upstream: int
    started_ns: int
    expires_ns: int | None = None

    def duration_ns(self) -> int:
        """Returns the attempt's duration, without the time that its response waited unread in this
        process."""
        exchange = self.request.attempts[self.number]
        unread_ns = exchange.unread_ns if exchange is not None else 0
        return max(0, time.monotonic_ns() - self.started_ns - unread_ns)

    def is_client_connected(self) -> bool:
        """Returns whether the request is open and its client connected, by the kernel's state."""
        return not self.request.closed and self.request.client.is_connected()

    def prepare(self, upstream_ready: bool) -> bytes | None:
        """Returns the request's bytes, to be written now; None if it may not be written any more.

        The time that the upstream is told is what is left to the client at this moment.
        """
        request = self.request
        client_connected = self.is_client_connected()
        now_ns = time.monotonic_ns()
        left_ns = self._left_ns(now_ns)
        refusal = write_refusal(
            self.runner.settings.classes[request.arrival.class_name],
            WriteConditions(upstream_ready, client_connected, left_ns, request.first_write_ns(self.number)),
            now_ns,
        )
        if refusal is not None:
            detail = f"request {request.arrival.request}: {refusal.value}"
            self.runner.events.record(EventKind.WRITE_REFUSED, detail)
            return None
        request.writes_ns[self.number] = now_ns
        wait_ms = max(1, left_ns // NS_PER_MS)
        return encode_attempt(
            request.method, request.target, request.headers, request.body, wait_ms, request.upload
        )

    def _left_ns(self, now_ns: int) -> int:
        """Returns how long the attempt may still take, and the client still waits."""
        request = self.request
        if request.arrival.body_pending and request.upload is not None:
            left_ns = request.upload.deadline.due_ns - now_ns
        else:
            left_ns = request.arrival.deadline_ns - now_ns
        return left_ns if self.expires_ns is None else min(left_ns, self.expires_ns - now_ns)

    def start_response(self, head: Response) -> None:
        """Starts to stream a response that is too long to be buffered. The request's deadline no longer
        applies.
        """
        request = self.request
        exchange = request.attempts[self.number]
        assert exchange is not None
        if request.closed or request.streaming_attempt is not None:
            exchange.give_up(AttemptResult.CANCELLED)
            return
        request.streaming_attempt = self.number
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
        if self.runner.settings.classes[request.arrival.class_name].streaming:
            # streamed responses of this class may never end, so their progress is not checked
            exchange.timeout_at_s = math.inf
        request_id = request.arrival.request
        self.runner.post(ResponseStarted(request_id, self.number, self.upstream, self.duration_ns()))
        try:
            request.client.start_response(head, exchange)
        except Exception:
            log.exception("request %s: writing the answer failed", request_id)
            request.client.abort()

    def forward(self, data: bytes) -> None:
        """Forwards a piece of the streamed response to the client."""
        self.request.client.forward(data)

    def finish(
        self, result: AttemptResult, response: Response | None = None, report: LoadReport = None
    ) -> None:
        """Ends the attempt, and notifies the balancer.

        The request is answered here if the attempt succeeded or its response was being streamed; otherwise
        the balancer decides what happens to it.
        """
        request, number, duration_ns = self.request, self.number, self.duration_ns()
        requests = self.runner.requests
        exchange = request.attempts[number]
        if exchange is None or not exchange.written or result in NOT_EXECUTED:
            request.writes_ns.pop(number, None)
        request.attempts[number] = None
        request.unfinished_attempts -= 1
        request.last_attempt_timed_out = result is AttemptResult.TIMEOUT
        if request.streaming_attempt == number:
            if result is AttemptResult.OK:
                requests.answer(request, FULFILLED, lambda client: client.complete())
            else:
                if requests.answer(request, FAULTED, lambda client: client.abort_response()):
                    detail = f"request {request.arrival.request}: {result.name}"
                    self.runner.events.record(EventKind.RESPONSE_ABORTED, detail)
        elif result is AttemptResult.OK and response is not None and request.streaming_attempt is None:
            requests.answer(request, FULFILLED, lambda client: client.respond(response))
        body_consumed = request.upload is not None and request.upload.consumed
        self.runner.post(
            AttemptFinished(
                request.arrival.request,
                number,
                self.upstream,
                result,
                duration_ns,
                request.closed,
                report,
                body_consumed,
            )
        )


class AttemptRunner:
    """Executes the balancer's actions that start and cancel attempts and load probes.

    Attributes:
        settings: The settings, which limit attempts.
        requests: The open requests.
        post: Passes outcomes to the balancer.
        events: Counts why attempts were ended early.
    """

    def __init__(
        self,
        settings: Settings,
        upstreams: Upstreams,
        requests: RequestTable,
        metrics: Metrics,
        post: Callable[[Event], None],
    ) -> None:
        self.settings = settings
        self.requests = requests
        self.post = post
        self.events = metrics.events
        self._upstreams = upstreams
        self._metrics = metrics

    def start(self, action: StartAttempt, now_ns: int) -> None:
        """Starts an attempt, which always has one outcome: NOT_SENT if it is not allowed or can't start."""
        request = self.requests.by_id.get(action.request)
        if request is None:
            log.error("attempt for request %s, which is not open", action.request)
            return
        number = len(request.attempts)
        request.attempts.append(None)
        request.unfinished_attempts += 1
        left_ns = request.arrival.deadline_ns - now_ns
        is_allowed = self._is_allowed(request, number, left_ns)
        attempt = Attempt(self, request, number, action.upstream, now_ns)
        if is_allowed and action.timeout_ns < 0:
            attempt.finish(AttemptResult.TIMEOUT)
            return
        if is_allowed:
            try:
                self._send(attempt, action.timeout_ns, left_ns)
            except Exception:  # the attempt's only outcome is reported after this block
                self.requests.fail_after_exception("an attempt could not start", [action])
        if request.attempts[number] is None:
            attempt.finish(AttemptResult.NOT_SENT)

    def _is_allowed(self, request: OpenRequest, number: int, left_ns: int) -> bool:
        limits, upload = self.settings.limits, request.upload
        may_overlap = limits.hedging and upload is None  # a streamed body is there for one attempt only
        return (
            not request.closed
            and left_ns > 0
            and number < limits.max_attempts
            and request.unfinished_attempts <= (2 if may_overlap else 1)
            and not (upload is not None and upload.consumed)
        )

    def _send(self, attempt: Attempt, timeout_ns: int, left_ns: int) -> None:
        request = attempt.request
        if timeout_ns:
            attempt.expires_ns = attempt.started_ns + timeout_ns
        wait_ns = min(timeout_ns or left_ns, left_ns)
        request.attempts[attempt.number] = self._upstreams.start_attempt(
            attempt.upstream,
            attempt.prepare,
            None if request.arrival.body_pending else wait_ns / NS_PER_S,
            attempt.finish,
            self._count_written,
            attempt,
            request.upload,
            request.method == b"GET",
        )

    def _count_written(self) -> None:
        self._metrics.attempts_written += 1

    def cancel(self, action: CancelAttempt, now_ns: int) -> None:
        """Cancels an attempt whose response is no longer needed."""
        request = self.requests.by_id.get(action.request)
        exchange = request.attempts[action.attempt] if request is not None else None
        if exchange is not None:
            exchange.give_up(AttemptResult.CANCELLED)

    def probe_load(self, action: ProbeLoad, now_ns: int) -> None:
        """Probes an upstream's load. There is always one result, as the balancer waits for it."""
        upstream = action.upstream

        def finished(result: AttemptResult, report: LoadReport) -> None:
            self.post(LoadProbeFinished(upstream, result, time.monotonic_ns() - now_ns, report))

        try:
            started = self._upstreams.probe_load(upstream, finished)
        except Exception:
            self.requests.fail_after_exception("a probe could not start", [])
            started = False
        if not started:
            finished(AttemptResult.CONNECT_FAILED, None)
