"""The timings of the failure detector."""

from __future__ import annotations

from dataclasses import dataclass

MILLISECOND_NS = 1_000_000


@dataclass(frozen=True, slots=True)
class ProbeTiming:
    """The timings of probes, in nanoseconds.

    Attributes:
        period_ns: Time between two probes that one member sends.
        ack_timeout_ns: The longest time that an acknowledgement takes while the network is healthy.
        dead_after_ns: How long a member is unreachable before it counts as dead; every partition is assumed
            to be shorter.
    """

    period_ns: int = 1000 * MILLISECOND_NS
    ack_timeout_ns: int = 200 * MILLISECOND_NS
    dead_after_ns: int = 60_000 * MILLISECOND_NS
