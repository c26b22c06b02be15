"""Starting an attempt: what is counted, reserved and announced when a request is forwarded.

Inputs: the request and the chosen upstream; the caller has checked that the attempt is legal. The attempt
counts against the concurrency window and its upstream until it ends or its response starts. Its work is
reserved at the upstream, and announced to the replicas that share the upstream. An upstream that is warming
up gets no further attempt before its pacing interval has passed.
"""

from __future__ import annotations

from lanelift.policy.actions import StartAttempt
from lanelift.policy.attempts import Attempt
from lanelift.policy.requests import PendingRequest
from lanelift.policy.state import PolicyState
from lanelift.policy.upstreams import Upstream

MIN_EXPECTED_NS = 1.0


class Forwarding:
    """Starts attempts, and stops counting them against the window and their upstreams."""

    __slots__ = ("state",)

    def __init__(self, state: PolicyState) -> None:
        self.state = state

    def start(self, request: PendingRequest, upstream: Upstream, now: int) -> Attempt:
        """Start an attempt, which must be legal.

        The attempt runs until its client gives up, even past the latency objective. If it were cancelled,
        its upstream would finish the work in any case, and the rejected client would request the same work
        again. Where upstreams stop cancelled work immediately, this rule wastes capacity.
        """
        state = self.state
        attempt = self._new_attempt(request, upstream, now)
        state.attempts_in_flight += 1
        upstream.in_flight += 1
        attempt.opens_connection = upstream.in_flight > upstream.peak_in_flight
        upstream.peak_in_flight = max(upstream.peak_in_flight, upstream.in_flight)
        request.attempts.append(attempt)
        upstream.reserve(now, attempt.work_ns)
        registry = state.registry
        if registry.peer_load.enabled:
            members = request.pool.subset.members.get(upstream.id, ())
            state.actions += registry.peer_load.announce(upstream, members, attempt.work_ns)
        if registry.slow_start.is_warming_up(upstream, now):
            upstream.paced_until_ns = now + registry.slow_start.pacing_interval_ns(upstream, now)
            upstream.ejected_until_ns = upstream.paced_until_ns
            state.timers.wake_at(upstream.ejected_until_ns)
        state.actions.append(StartAttempt(request.id, upstream.id))
        return attempt

    def _new_attempt(self, request: PendingRequest, upstream: Upstream, now: int) -> Attempt:
        """Return a new attempt, with the current estimates for its upstream."""
        state, request_class = self.state, request.request_class
        mean_ns = state.concurrency.mean_service_time_ns
        queued_ns = upstream.queued_work_ns(now, mean_ns)
        estimate_ns = state.service_times.estimate_ns(request_class, request.cost_hint_ns)
        work_ns = estimate_ns * upstream.service_time_factor
        expected_ns = min(max(MIN_EXPECTED_NS, queued_ns + work_ns), request_class.deadline_ns)
        return Attempt(upstream, now, expected_ns, 1 + queued_ns / mean_ns, queued_ns, work_ns)

    def release(self, attempt: Attempt) -> None:
        """Stop counting an attempt against the window and its upstream."""
        state, upstream = self.state, attempt.upstream
        state.attempts_in_flight -= 1
        state.overdue_attempts -= attempt.overdue
        upstream.in_flight -= 1
        state.registry.forget_if_removed(upstream)
