"""A member's clock: nanoseconds since the machine was booted, including time spent suspended."""

from __future__ import annotations

import time
from dataclasses import dataclass


def boottime_ns() -> int:
    """Returns CLOCK_BOOTTIME in nanoseconds.

    CLOCK_MONOTONIC is not used, as it does not advance while the machine is suspended; the other members'
    votes expire during that time.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


@dataclass(frozen=True, slots=True)
class Clock:
    """A clock that is never set: CLOCK_BOOTTIME with an optional offset and rate.

    Attributes:
        ahead_ns: Offset from CLOCK_BOOTTIME. Rehearsals on one machine use it to simulate machines that were
            booted at different times.
        rate: Rate relative to CLOCK_BOOTTIME. Rehearsals use it to simulate a clock that runs fast or slow.
    """

    ahead_ns: int = 0
    rate: float = 1.0

    def __call__(self) -> int:
        """Returns this clock's time in nanoseconds."""
        return int(boottime_ns() * self.rate) + self.ahead_ns

    def to_boottime_ns(self, own_ns: int) -> int:
        """Returns the CLOCK_BOOTTIME (ns) at which this clock shows `own_ns`."""
        return int((own_ns - self.ahead_ns) / self.rate)
