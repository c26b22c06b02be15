"""The policy's state of one upstream: load estimates, ejection and its place in the subsets.

`lanelift/net/upstreams.py` sends the attempts and load probes. This module has no rules: the modules in
brackets set the attributes.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lanelift.policy.events import Endpoint
from lanelift.policy.queued_work import QueuedWork


@dataclass(slots=True, eq=False)
class Upstream(QueuedWork):
    """An upstream that is listed, or still holds an attempt of this replica.

    Attributes:
        id: The upstream's number.
        endpoint: The upstream's entry in the endpoint list (`registry.py`).
        common_order: The upstream's sort key among all upstreams, equal on every replica (`subsets.py`).
        own_order: The upstream's sort key in this replica's own order of the upstreams outside the subset
            (`subsets.py`).
        subset_members: The replicas that have this upstream in their subset, as far as computed
            (`subsets.py`).
        service_time_factor: The upstream's service time relative to the service time of all upstreams
            (`service_time.py`).
        consecutive_ejections: The number of failures since the last success that caused an ejection, or would
            have caused one if fewer upstreams had been ejected (`ejection.py`).
        unreachable: Whether the last attempt failed to connect to the upstream (`outcomes.py`).
        ejected_until_ns: The upstream gets no attempt before this time, which is the end of its ejection
            (`ejection.py`) or its pacing interval (`forwarding.py`, `registry.py`).
        paced_until_ns: The end of its last pacing interval while it warms up, which no success ends.
        ejected_at_ns: When the upstream was last ejected (`ejection.py`).
        peak_in_flight: The most attempts that this replica has had in flight at the upstream
            (`forwarding.py`).
        error_rate: Errors as a share of the upstream's recent responses (`ejection.py`).
        consecutive_resets: The number of connections to the upstream that broke in a row (`ejection.py`).
    """

    id: int
    endpoint: Endpoint
    common_order: int = 0
    own_order: int = 0
    subset_members: list[int] = field(default_factory=list)
    service_time_factor: float = 1.0
    consecutive_ejections: int = 0
    unreachable: bool = False
    ejected_until_ns: int = 0
    paced_until_ns: int = 0
    ejected_at_ns: int = 0
    peak_in_flight: int = 0
    error_rate: float = 0.0
    consecutive_resets: int = 0
