"""Hedging: the upstream of an overdue attempt is ejected, and the request may get a second attempt.

Inputs: the expected time of an attempt, the mean relative deviation of durations, and the time. An attempt is
overdue if it has been in flight for its expected time multiplied by the sum of `DURATION_MARGIN` and
`DEVIATIONS` times the deviation. Its upstream may have stopped, and is ejected. The request gets a hedged
attempt if one is legal and would be in time, nothing waits in the pool's queue, and its tenant has a spare
token. Reason: hedging must cost fresh requests nothing.
"""

from __future__ import annotations

from lanelift.policy.attempts import Attempt
from lanelift.policy.ejection import OutlierEjection
from lanelift.policy.forwarding import Forwarding
from lanelift.policy.legality import allowed_upstreams, may_start_attempt
from lanelift.policy.requests import PendingRequest
from lanelift.policy.service_time import DURATION_MARGIN
from lanelift.policy.state import PolicyState

# An attempt is overdue after its expected time multiplied by the sum of DURATION_MARGIN and this multiple of
# the mean relative deviation.
DEVIATIONS = 3
# If a check runs this long after its due time, this replica is late, not the upstream.
MAX_LATENESS_NS = 10_000_000


class Hedging:
    """Watches attempts, and hedges requests whose attempts are overdue."""

    __slots__ = ("ejection", "forwarding", "state")

    def __init__(self, state: PolicyState, forwarding: Forwarding, ejection: OutlierEjection) -> None:
        self.state = state
        self.forwarding = forwarding
        self.ejection = ejection

    def watch(self, request: PendingRequest, attempt: Attempt, now: int) -> None:
        """Schedule a check for when an attempt is overdue, unless its request's body is pending."""
        if request.body_pending:
            return
        factor = DURATION_MARGIN + DEVIATIONS * self.state.service_times.relative_deviation
        due_ns = now + int(attempt.expected_ns * factor)
        self.state.timers.call_at(due_ns, self._check, request, attempt, due_ns)

    def _check(self, request: PendingRequest, attempt: Attempt, due_ns: int, now: int) -> None:
        """Eject the upstream of an attempt that is overdue, and hedge its request."""
        if attempt.result is not None or attempt.response_started:
            return
        if now - due_ns > MAX_LATENESS_NS:
            # This replica is late itself, so the response may already be here, unread. The attempt is checked
            # again after as long as the check was late. If the upstream has stopped as well, its stop is
            # detected that much later.
            again_ns = 2 * now - due_ns
            self.state.timers.call_at(again_ns, self._check, request, attempt, again_ns)
            return
        attempt.overdue = True
        self.state.overdue_attempts += 1
        self.ejection.eject(attempt, now, attempt.expected_ns)
        self._hedge(request, attempt, now)

    def _hedge(self, request: PendingRequest, attempt: Attempt, now: int) -> None:
        """Start a second attempt if it is legal, would be in time and costs fresh requests nothing."""
        if request.pool.queue or now + attempt.expected_ns > request.objective_at_ns:
            return
        upstream = request.pool.pick(now, allowed_upstreams(request))
        if (
            upstream
            and may_start_attempt(request, upstream, now, self.state.settings.limits)
            and request.token_bank.take_spare_token(now)
        ):
            hedge = self.forwarding.start(request, upstream, now)
            self.watch(request, hedge, now)
