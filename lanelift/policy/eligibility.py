"""Eligibility: which upstreams may be chosen for an attempt now.

Inputs: the upstream's state in the endpoint list, the end of its ejection or pacing interval, this replica's
attempts there, and the concurrency window. An upstream is not eligible if it is not ready, is ejected, or
holds as many attempts as the window allows. An upstream that was ejected since its last success, or is
warming up, may hold only one attempt in flight.
"""

from __future__ import annotations

import math

from lanelift.policy.concurrency import ConcurrencyEstimator
from lanelift.policy.events import EndpointState
from lanelift.policy.slow_start import SlowStart
from lanelift.policy.upstreams import Upstream


class Eligibility:
    """Checks whether an upstream may be chosen for an attempt."""

    __slots__ = ("concurrency", "load_probing", "slow_start")

    def __init__(self, concurrency: ConcurrencyEstimator, slow_start: SlowStart, load_probing: bool) -> None:
        self.concurrency = concurrency
        self.slow_start = slow_start
        self.load_probing = load_probing

    def is_eligible(self, upstream: Upstream, now: int) -> bool:
        """Return whether an attempt may go to this upstream now.

        If load probes are sent before attempts, the window and the limit of one attempt at an upstream that
        is warming up do not apply: this replica's own counts add nothing to the load reports.
        """
        if upstream.endpoint.state is not EndpointState.READY or now < upstream.ejected_until_ns:
            return False
        if upstream.consecutive_ejections:
            return upstream.in_flight < 1
        limit = 1 if self.slow_start.is_warming_up(upstream, now) else math.ceil(self.concurrency.window)
        return upstream.in_flight < limit or self.load_probing
