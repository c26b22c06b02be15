"""Reduces a failing schedule to the steps that the failure needs. Pure.

The method is delta debugging (Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input",
2002).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from lanelift.faults.schedule import Schedule

MAX_PLAYS = 400


def shrink(schedule: Schedule, fails: Callable[[Schedule], object], max_plays: int = MAX_PLAYS) -> Schedule:
    """Returns the shortest schedule found that still fails.

    The function first tries the schedule without losses and repetitions, and without clock drift. It then
    removes steps in groups, from half of the steps down to single ones.

    Args:
        schedule: A schedule that fails.
        fails: Plays a schedule and returns a true value if it fails.
        max_plays: The maximum number of calls of `fails`.
    """
    plays = 0

    def still_fails(candidate: Schedule) -> bool:
        nonlocal plays
        plays += 1
        return plays <= max_plays and bool(fails(candidate))

    best = schedule
    for simpler in (replace(best, loss=0.0, double=0.0), replace(best, rates=())):
        if still_fails(simpler):
            best = simpler
    size = max(1, len(best.steps) // 2)
    while best.steps and plays < max_plays:
        for start in range(0, len(best.steps), size):
            shorter = replace(best, steps=best.steps[:start] + best.steps[start + size :])
            if still_fails(shorter):
                best = shorter
                break
        else:
            if size == 1:
                break
            size //= 2
    return best
