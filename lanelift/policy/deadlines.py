"""Deadlines: how long a request may wait before it is given up.

Inputs: the request's objective and deadline, its expected time, and the mean deviation of durations from
expected times. A waiting request is given up when it needs more time than is left until its objective, but
not before it has waited a quarter of the time until its deadline. Reason: an answer after the objective earns
little or nothing, and an upstream that works on such a request makes other answers late.
"""

from __future__ import annotations

from lanelift.policy.answers import FinalAnswers
from lanelift.policy.events import BodyReceived
from lanelift.policy.hedging import Hedging
from lanelift.policy.requests import PendingRequest, WaitingPlace
from lanelift.policy.service_time import DURATION_MARGIN
from lanelift.policy.state import PolicyState

MIN_WAIT_DIVISOR = 4  # a request may always wait a quarter (1 / this number) of the time until its deadline


class Deadlines:
    """Sets and enforces how long requests wait."""

    __slots__ = ("answers", "hedging", "state")

    def __init__(self, state: PolicyState, answers: FinalAnswers, hedging: Hedging) -> None:
        self.state = state
        self.answers = answers
        self.hedging = hedging

    def set_wait_timeout(self, request: PendingRequest, now: int) -> None:
        """Set the time at which a request is given up, and schedule a check for it."""
        service_times = self.state.service_times
        estimate_ns = service_times.estimate_ns(request.request_class, request.cost_hint_ns)
        need_ns = estimate_ns * (DURATION_MARGIN + service_times.relative_deviation)
        request.give_up_at_ns = max(
            request.objective_at_ns - int(need_ns), now + (request.deadline_ns - now) // MIN_WAIT_DIVISOR
        )
        self.state.timers.call_at(request.give_up_at_ns, self._give_up, request)

    def _give_up(self, request: PendingRequest, now: int) -> None:
        """Reject or fail a request that still waits when its wait timeout is over."""
        if request.place is not WaitingPlace.NOWHERE and now >= request.give_up_at_ns:
            self.state.rate.unplaceable += request.place is WaitingPlace.POOL_QUEUE
            self.answers.reject_or_fail(request, now)

    def body_received(self, event: BodyReceived, now: int) -> None:
        """Handle the end of a request's body.

        The time of the request and of its attempts is counted from now.
        """
        request = self.state.requests.get(event.request)
        if request is None or not request.body_pending:
            return
        request.body_pending = False
        request.deadline_ns = event.deadline_ns
        request.objective_at_ns = min(now + request.request_class.latency_objective_ns, event.deadline_ns)
        self.set_wait_timeout(request, now)
        for attempt in request.attempts:
            if attempt.result is None and not attempt.response_started:
                attempt.sent_ns = now
                self.hedging.watch(request, attempt, now)
