"""Starting an attempt: what is counted, reserved and announced as a request is forwarded.

Inputs: the request and the upstream that was chosen; whether the attempt is legal was checked before. The
attempt counts against the concurrency window and its upstream until it ends or its response starts; its
work is reserved at the upstream and announced to the replicas that share it; an upstream that is warming up
gets nothing more before its pacing interval has passed.
"""

from __future__ import annotations

from lanelift.policy.actions import StartAttempt
from lanelift.policy.attempts import Attempt
from lanelift.policy.requests import PendingRequest
from lanelift.policy.state import PolicyState
from lanelift.policy.upstreams import Upstream

MIN_EXPECTED_NS = 1.0


class Forwarding:
    """Starts attempts, and releases what they held."""

    __slots__ = ("state",)

    def __init__(self, state: PolicyState) -> None:
        self.state = state

    def start(self, request: PendingRequest, upstream: Upstream, now: int) -> Attempt:
        """Start an attempt, which must be legal.

        It runs until its client gives up, also past the latency objective: its upstream works on, and a
        client that is rejected asks for the same work once more. This costs where upstreams stop at once
        what is cancelled.
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
            upstream.ejected_until_ns = now + registry.slow_start.pacing_interval_ns(upstream, now)
            state.timers.wake_at(upstream.ejected_until_ns)
        state.actions.append(StartAttempt(request.id, upstream.id))
        return attempt

    def _new_attempt(self, request: PendingRequest, upstream: Upstream, now: int) -> Attempt:
        """Return the attempt with what is known of its upstream now."""
        state, request_class = self.state, request.request_class
        mean_ns = state.concurrency.mean_service_time_ns
        queued_ns = upstream.queued_work_ns(now, mean_ns)
        estimate_ns = state.service_times.estimate_ns(request_class, request.cost_hint_ns)
        work_ns = estimate_ns * upstream.service_time_factor
        expected_ns = min(max(MIN_EXPECTED_NS, queued_ns + work_ns), request_class.deadline_ns)
        return Attempt(upstream, now, expected_ns, 1 + queued_ns / mean_ns, queued_ns, work_ns)

    def release(self, attempt: Attempt) -> None:
        """An attempt no longer counts against the window and its upstream."""
        state, upstream = self.state, attempt.upstream
        state.attempts_in_flight -= 1
        state.overdue_attempts -= attempt.overdue
        upstream.in_flight -= 1
        state.registry.forget_if_removed(upstream)
