"""Feedback loops that adjust the subsets, the rate R and the slow start in each interval.

Inputs: the counts since the end of the previous interval. An interval lasts `FEEDBACK_INTERVAL_NS`.
"""

from __future__ import annotations

from lanelift.policy.admission import Admission
from lanelift.policy.rate_control import FEEDBACK_INTERVAL_NS
from lanelift.policy.state import PolicyState


class Feedback:
    """Runs the feedback loops.

    Attributes:
        ran_at_ns: The time at which the loops last ran.
    """

    __slots__ = ("admission", "ran_at_ns", "state")

    def __init__(self, state: PolicyState, admission: Admission, now: int) -> None:
        self.state = state
        self.admission = admission
        self.ran_at_ns = now

    def run_if_due(self, now: int) -> None:
        """Run the feedback loops if the current interval is over."""
        if now - self.ran_at_ns < FEEDBACK_INTERVAL_NS:
            return
        self.ran_at_ns = now
        state, registry = self.state, self.state.registry
        self._forget_idle_tenants(now)
        for pool in registry.pools.values():
            pool.subset.widen_or_narrow(bool(pool.blocked_since_ns), now)
        excess = state.concurrency.latency_ratio - state.concurrency.congestion_threshold
        state.rate.adjust(now, excess, count_unplaceable=not registry.peer_load.enabled)
        registry.slow_start.observe_rate(
            state.rate.attempt_rate_per_s, registry.unrestricted_pool.subset.width
        )
        for bank in state.rate.banks:
            self.admission.release_buffered(bank, now)

    def _forget_idle_tenants(self, now: int) -> None:
        tenants = self.state.tenants
        if tenants.known_tenants is None:
            return
        tenants.forget_idle(now)
        for bank in tenants.removed_banks.values():
            self.admission.release_buffered(bank, now)
