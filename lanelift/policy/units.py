"""Units of time: all clock times and durations of the policy are whole nanoseconds."""

from __future__ import annotations

SECOND_NS = 1_000_000_000
MILLISECOND_NS = 1_000_000
