"""How long the failure detector waits."""

from __future__ import annotations

from dataclasses import dataclass

MILLISECOND_NS = 1_000_000


@dataclass(frozen=True, slots=True)
class ProbeTiming:
    """How long things take, in nanoseconds.

    Attributes:
        period_ns: Time between two probes that one member sends.
        ack_timeout_ns: An acknowledgement takes no longer while the network is healthy.
        dead_after_ns: No partition lasts longer; a member that was unreachable for so long counts as dead.
    """

    period_ns: int = 1000 * MILLISECOND_NS
    ack_timeout_ns: int = 200 * MILLISECOND_NS
    dead_after_ns: int = 60_000 * MILLISECOND_NS
