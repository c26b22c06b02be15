"""Slow start, rule 4 of the protocol: attempts at a newly started upstream are paced until it has warmed up.

Inputs: when the upstream started, its initial share of capacity and its warm-up time (`Rules`), how many
replicas share it, and the rate of attempts that a warm upstream sustains. An upstream that is warming up gets
no attempt before its pacing interval has passed since the last one. Reason: an upstream fails if all replicas
together send it more than it can handle while it warms up.
"""

from __future__ import annotations

from lanelift.policy.concurrency import ConcurrencyEstimator
from lanelift.policy.settings import Rules
from lanelift.policy.units import SECOND_NS
from lanelift.policy.upstreams import Upstream

BUDGET_SHARE = 0.7  # attempts use this share of the rate that a warming upstream can handle
SUSTAINED_RATE_SMOOTHING = 0.2


class SlowStart:
    """Paces attempts at upstreams that are warming up.

    Attributes:
        sharing_replicas: How many replicas send to one upstream.
        sustained_rate_per_s: This replica's attempts per second at one upstream, smoothed; a warm upstream
            sustains this rate.
    """

    __slots__ = ("concurrency", "duration_ns", "rules", "sharing_replicas", "sustained_rate_per_s")

    def __init__(self, rules: Rules, concurrency: ConcurrencyEstimator, sharing_replicas: int) -> None:
        self.rules = rules
        self.duration_ns = rules.slow_start_ns
        self.concurrency = concurrency
        self.sharing_replicas = sharing_replicas
        self.sustained_rate_per_s = 0.0

    def is_warming_up(self, upstream: Upstream, now: int) -> bool:
        """Return whether an upstream started less than the slow start time ago."""
        started_ns = upstream.endpoint.started_ns
        return started_ns != 0 and now - started_ns < self.duration_ns

    def pacing_interval_ns(self, upstream: Upstream, now: int) -> int:
        """Return the shortest time between attempts at an upstream that is warming up.

        A warm upstream is assumed to handle the higher of two rates: the sustained rate that was observed, or
        one request per mean service time, divided among the replicas that share the upstream.
        """
        rules = self.rules
        age_ns = max(
            0, now - upstream.endpoint.started_ns
        )  # clocks differ, so the start may be in the future
        warm_share = (
            rules.slow_start_initial_share
            + (1 - rules.slow_start_initial_share) * age_ns / rules.slow_start_ns
        )
        service_rate_per_s = SECOND_NS / self.concurrency.mean_service_time_ns / max(1, self.sharing_replicas)
        warm_rate_per_s = max(self.sustained_rate_per_s, service_rate_per_s)
        return int(SECOND_NS / (BUDGET_SHARE * rules.overload_multiple * warm_share * warm_rate_per_s))

    def observe_rate(self, attempt_rate_per_s: float, width: int) -> None:
        """Update the sustained rate from the rate of attempts that ended at `width` upstreams together."""
        per_upstream = attempt_rate_per_s / max(1, width)
        self.sustained_rate_per_s += SUSTAINED_RATE_SMOOTHING * (per_upstream - self.sustained_rate_per_s)
