"""Placement: the queue of each pool is served in order, while the window and an upstream have capacity.

Inputs: the queue, the concurrency window and the attempts in flight, and the upstreams with the work that
each has queued. Serving stops if the head of the queue waits for load reports, the window is full or no
upstream is eligible. A request is shed if the upstream that becomes free first would need more than
`MAX_TIME_SHARE` of the time left until the request's objective. Reason: work on an answer that will be too
late makes the later answers late as well.
"""

from __future__ import annotations

from lanelift.policy.answers import FinalAnswers
from lanelift.policy.forwarding import Forwarding
from lanelift.policy.hedging import Hedging
from lanelift.policy.legality import allowed_upstreams, may_start_attempt
from lanelift.policy.pool import UpstreamPool
from lanelift.policy.probing import LoadProbing
from lanelift.policy.requests import PendingRequest, WaitingPlace
from lanelift.policy.state import PolicyState
from lanelift.policy.upstreams import Upstream

MAX_TIME_SHARE = 0.8  # largest share of the time until the objective that queued work and request may take
# Largest number of overdue attempts that are not counted, as a share of the window (but at least one
# attempt). Without congestion, up to twice this number are not counted.
OVERDUE_WINDOW_SHARE = 0.25


class Placement:
    """Serves the queues of the pools."""

    __slots__ = ("answers", "forwarding", "hedging", "probing", "state")

    def __init__(
        self,
        state: PolicyState,
        probing: LoadProbing,
        forwarding: Forwarding,
        hedging: Hedging,
        answers: FinalAnswers,
    ) -> None:
        self.state = state
        self.probing = probing
        self.forwarding = forwarding
        self.hedging = hedging
        self.answers = answers

    def serve_queues(self, now: int) -> None:
        """Serve the queue of each pool."""
        for pool in self.state.registry.pools.values():
            pool.saturated = False
            if pool.queue:
                self._serve(pool, now)
            if not pool.queue:
                pool.blocked_since_ns = 0

    def _serve(self, pool: UpstreamPool, now: int) -> None:
        """Forward or shed requests from the head of a queue, until one has to wait."""
        while pool.queue:
            request = pool.queue[0]
            if request.probed_upstreams and self.probing.is_waiting(request, now):
                break  # the request waits for a load report, not for capacity: the pool is not saturated
            pool.blocked_since_ns = pool.blocked_since_ns or now
            if self._window_is_full(pool, now):
                pool.saturated = True
                break
            allowed = allowed_upstreams(request) if request.attempts else None
            reported: list[Upstream] | None = []
            if request.probed_upstreams or request.busy_upstreams:
                reported = self.probing.candidates(request, now)
                if reported is None:
                    break
            upstream = pool.pick(now, reported or allowed)
            if upstream is None and allowed is None:
                pool.saturated = True
                break
            pool.queue.popleft()
            request.place = WaitingPlace.NOWHERE
            self._forward_or_shed(request, upstream, now)

    def _window_is_full(self, pool: UpstreamPool, now: int) -> bool:
        """Return whether as many attempts are in flight as the window allows.

        Attempts at upstreams that have stopped must not fill the window while other responses are quick, so
        some overdue attempts are not counted. If other responses are slow too, upstreams are congested and
        overdue attempts are still running there, so fewer of these attempts are left out of the count.
        """
        state = self.state
        window = max(1.0, state.concurrency.window * pool.subset.in_rotation(now))
        left_out = max(1.0, OVERDUE_WINDOW_SHARE * window) * (1 if state.concurrency.is_congested() else 2)
        return state.attempts_in_flight - min(state.overdue_attempts, left_out) >= window

    def _forward_or_shed(self, request: PendingRequest, upstream: Upstream | None, now: int) -> None:
        """Forward a request, or shed it so that it does not block the queue."""
        if upstream is None or self._would_be_late(request, upstream, now):
            self.state.rate.unplaceable += 1
            self.answers.reject_or_fail(request, now)
        elif may_start_attempt(request, upstream, now, self.state.settings.limits):
            attempt = self.forwarding.start(request, upstream, now)
            self.hedging.watch(request, attempt, now)
        else:
            self.answers.reject_or_fail(request, now)

    def _would_be_late(self, request: PendingRequest, upstream: Upstream, now: int) -> bool:
        """Return whether the upstream has so much work queued that the request would be late.

        An upstream with no work queued is always tried, however slow it is.
        """
        state = self.state
        queued_ns = upstream.queued_work_ns(now, state.concurrency.mean_service_time_ns)
        if queued_ns <= 0:
            return False
        estimate_ns = state.service_times.estimate_ns(request.request_class, request.cost_hint_ns)
        finish_ns = queued_ns + estimate_ns * upstream.service_time_factor
        return finish_ns > MAX_TIME_SHARE * (request.objective_at_ns - now)
