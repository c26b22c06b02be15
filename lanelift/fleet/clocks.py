"""A member's clock: nanoseconds since the machine was started, including the time while it slept."""

from __future__ import annotations

import time
from dataclasses import dataclass


def boottime_ns() -> int:
    """Returns CLOCK_BOOTTIME in nanoseconds.

    Not CLOCK_MONOTONIC: that one stands still while the machine sleeps, and the votes of the other members
    do not.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class Clock:
    """A clock which nobody sets.

    Attributes:
        ahead_ns: Offset from CLOCK_BOOTTIME, for rehearsals on one machine: a clock that began elsewhere.
        rate: Its rate relative to CLOCK_BOOTTIME, for rehearsals: a clock that goes wrong.
    """

    ahead_ns: int = 0
    rate: float = 1.0

    def __call__(self) -> int:
        """Returns this clock's time in nanoseconds."""
        return int(boottime_ns() * self.rate) + self.ahead_ns

    def to_boottime_ns(self, own_ns: int) -> int:
        """Returns the CLOCK_BOOTTIME (ns) at which this clock shows `own_ns`."""
        return int((own_ns - self.ahead_ns) / self.rate)
