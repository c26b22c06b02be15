"""What this replica knows of one upstream. No rule is here: each field names the module that sets it."""

from __future__ import annotations

from dataclasses import dataclass, field

from lanelift.policy.events import Endpoint
from lanelift.policy.queued_work import QueuedWork


@dataclass(slots=True, eq=False)
class Upstream(QueuedWork):
    """One upstream that is listed, or still holds an attempt of this replica.

    Attributes:
        id: Its number.
        endpoint: Its entry in the endpoint list (`registry.py`).
        common_order: Its place among all, the same on every replica (`subsets.py`).
        own_order: Its place in this replica's own order of those beyond its subset (`subsets.py`).
        subset_members: Replicas that have it in their subset, as far as computed (`subsets.py`).
        service_time_factor: Its time for a request against that of all (`service_time.py`).
        consecutive_ejections: How often it was ejected, or nearly, since its last success (`ejection.py`).
        unreachable: The last attempt to connect to it failed (`outcomes.py`).
        ejected_until_ns: No attempt before this (`ejection.py`, `slow_start.py`).
        ejected_at_ns: When it was last ejected (`ejection.py`).
        peak_in_flight: The most attempts that this replica has had there at once (`forwarding.py`).
        error_rate: The share of its responses that were errors lately (`ejection.py`).
        consecutive_resets: Connections to it that broke, in a row (`ejection.py`).
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
    ejected_at_ns: int = 0
    peak_in_flight: int = 0
    error_rate: float = 0.0
    consecutive_resets: int = 0
