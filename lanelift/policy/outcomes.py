"""Outcomes: what the end of an attempt, or the start of a response, changes for its request and its upstream.

Inputs: how the attempt ended and how long it took. A response updates the estimates of service time and
concurrency, and ends the ejection of its upstream. A failure may eject the upstream (`ejection.py`), and
counts as late in the rate control. The request then has its answer, or is retried (`retries.py`).
"""

from __future__ import annotations

from lanelift.policy.answers import FinalAnswers
from lanelift.policy.attempts import Attempt
from lanelift.policy.ejection import OutlierEjection
from lanelift.policy.events import NOT_EXECUTED, AttemptFinished, AttemptResult, ResponseStarted
from lanelift.policy.forwarding import Forwarding
from lanelift.policy.ordering import KeyOrdering
from lanelift.policy.requests import PendingRequest
from lanelift.policy.retries import Retries
from lanelift.policy.state import PolicyState
from lanelift.policy.units import SECOND_NS

# Length of an upstream's first ejection if the failure does not indicate load.
FAILURE_EJECTION_NS = SECOND_NS / 4
# A rejection by an upstream counts as a response that took exactly its latency objective.
REJECTION_LATENCY_RATIO = 1.0
FAILURES = frozenset(
    {
        AttemptResult.REJECTED,
        AttemptResult.TIMEOUT,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.RESET,
    }
)
LOAD_FAILURES = frozenset({AttemptResult.REJECTED, AttemptResult.TIMEOUT})  # failures that indicate load
NORMAL_STREAM_ENDS = frozenset(
    {AttemptResult.OK, AttemptResult.CANCELLED}
)  # results after the start of a response that are not failures


class Outcomes:
    """Handles the ends of attempts and the starts of responses."""

    __slots__ = ("answers", "ejection", "forwarding", "ordering", "retries", "state")

    def __init__(
        self,
        state: PolicyState,
        ordering: KeyOrdering,
        ejection: OutlierEjection,
        forwarding: Forwarding,
        answers: FinalAnswers,
        retries: Retries,
    ) -> None:
        self.state = state
        self.ordering = ordering
        self.ejection = ejection
        self.forwarding = forwarding
        self.answers = answers
        self.retries = retries

    def attempt_finished(self, event: AttemptFinished, now: int) -> None:
        """Handle the end of an attempt; ignore one that is unknown or has already ended."""
        request = self.state.requests.get(event.request)
        if request is None or request.attempts[event.attempt].result is not None:
            return
        attempt = request.attempts[event.attempt]
        # A removed upstream is updated too, as each attempt counted there must also be released.
        upstream = attempt.upstream
        attempt.result = event.result
        upstream.unreachable = event.result is AttemptResult.CONNECT_FAILED
        request.body_consumed = request.body_consumed or event.body_consumed
        self.ordering.attempt_finished(request, event.result, now)
        if attempt.response_started:
            self._response_ended(request, event, now)
            return
        self._learn(request, attempt, event, now)
        if event.result in NOT_EXECUTED or event.result is AttemptResult.ERROR:
            upstream.release(attempt.sent_ns, attempt.work_ns)
        self.forwarding.release(attempt)
        if event.request_complete:
            self.answers.finish(request, now)
        elif not request.finished and not request.attempts_in_flight and not request.response_started:
            self.retries.retry_or_answer(request, now)
        self.answers.forget_if_over(request, now)

    def _response_ended(self, request: PendingRequest, event: AttemptFinished, now: int) -> None:
        """End an attempt whose response was passed on.

        The attempt has not been counted since its response started.
        """
        self.state.rate.late_or_failed += event.result not in NORMAL_STREAM_ENDS
        if event.request_complete:
            self.answers.finish(request, now)
        self.answers.forget_if_over(request, now)

    def _learn(self, request: PendingRequest, attempt: Attempt, event: AttemptFinished, now: int) -> None:
        """Update the estimates and the state of the upstream from an attempt's result."""
        if event.result is AttemptResult.OK:
            attempt.upstream.completed(attempt.sent_ns, now)
            self._learn_from_response(request, attempt, event.duration_ns, now)
        elif event.result in FAILURES:
            self._learn_from_failure(request, attempt, event, now)
        elif event.result is AttemptResult.ERROR:
            # Upstreams that answer with errors have capacity, so errors must not lower R.
            self.state.rate.on_time += 1
            if self.ejection.record_response(attempt.upstream, True):
                self.ejection.eject(attempt, now, FAILURE_EJECTION_NS)

    def _learn_from_failure(
        self, request: PendingRequest, attempt: Attempt, event: AttemptFinished, now: int
    ) -> None:
        """Count a failure, and eject the upstream if it is at fault."""
        state, result = self.state, event.result
        if result is AttemptResult.REJECTED or state.concurrency.is_congested():
            state.concurrency.observe(REJECTION_LATENCY_RATIO, False, request.pool.subset.width, now)
        state.rate.late_or_failed += 1
        if result is AttemptResult.TIMEOUT:
            state.concurrency.observe_service_time(attempt, event.duration_ns)
        if result is not AttemptResult.RESET or self.ejection.record_reset(attempt.upstream):
            base_ns = attempt.expected_ns if result in LOAD_FAILURES else FAILURE_EJECTION_NS
            self.ejection.eject(attempt, now, base_ns)

    def _learn_from_response(
        self, request: PendingRequest, attempt: Attempt, duration_ns: int, now: int
    ) -> None:
        """Update the estimates from the duration of a response, and record the success."""
        state, pool, request_class = self.state, request.pool, request.request_class
        state.service_times.observe(request_class, request.cost_hint_ns, attempt, duration_ns)
        state.concurrency.observe_service_time(attempt, duration_ns)
        state.concurrency.observe(
            duration_ns / request_class.latency_objective_ns,
            bool(pool.blocked_since_ns),
            pool.subset.width,
            now,
        )
        late = attempt.sent_ns + duration_ns > request.objective_at_ns
        state.rate.on_time += not late
        state.rate.late_or_failed += late  # late responses are the first sign of congestion
        self.ejection.record_success(attempt.upstream)

    def response_started(self, event: ResponseStarted, now: int) -> None:
        """Handle the start of a response that is passed on.

        How long the rest takes depends on the client, so the duration is measured here, and what was counted
        for the attempt is released. Otherwise slow clients would fill the window, and each long response
        would look like a slow upstream.
        """
        request = self.state.requests.get(event.request)
        if request is None or request.response_started or request.attempts[event.attempt].result is not None:
            return
        attempt = request.attempts[event.attempt]
        request.response_started = attempt.response_started = True
        self._learn_from_response(request, attempt, event.duration_ns, now)
        self.forwarding.release(attempt)
        self.answers.cancel_attempts(request, except_for=attempt)
