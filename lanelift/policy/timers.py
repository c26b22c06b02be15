"""Scheduled calls, and the one timer that the caller runs for them."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from lanelift.policy.actions import SetTimer
from lanelift.policy.events import TimerFired
from lanelift.policy.requests import PendingRequest


class TimerQueue:
    """A heap of scheduled calls; calls due at the same time are made in the order in which they were added.

    Its size is bounded, as each open request, upstream, key and tenant has at most a few scheduled calls.

    Attributes:
        calls: The due time, sequence number, function (None if the queues only have to be run) and arguments
            of each call.
        added: The total number of calls added so far.
        timer_due_ns: When the current timer is due; 0 if no timer is set.
        timer_number: The number of the current timer; the timer's name is this number.
    """

    __slots__ = ("added", "calls", "timer_due_ns", "timer_number")

    def __init__(self) -> None:
        self.calls: list[tuple[int, int, Callable[..., None] | None, tuple[Any, ...]]] = []
        self.added = 0
        self.timer_due_ns = 0
        self.timer_number = 0

    def call_at(self, at_ns: int, function: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call of a function; the call passes these arguments and its own time."""
        self.added += 1
        heapq.heappush(self.calls, (at_ns, self.added, function, arguments))

    def wake_at(self, at_ns: int, *about: Any) -> None:
        """Schedule a run of the queues; `about` is the request that needs the run, if only one does."""
        self.added += 1
        heapq.heappush(self.calls, (at_ns, self.added, None, about))

    def run_due(self, now: int) -> None:
        """Make all calls that are due."""
        calls = self.calls
        while calls and calls[0][0] <= now:
            _, _, function, arguments = heapq.heappop(calls)
            if function is not None:
                function(*arguments, now)

    def timer_fired(self, event: TimerFired, now: int) -> None:
        """Record that the current timer has fired.

        The timer is recognised by its name and not by the clock: otherwise a timer that fires a little early
        would be taken for an old timer, and no timer would ever be set again.
        """
        if event.name == str(self.timer_number):
            self.timer_due_ns = 0

    def next_timer(self, now: int) -> SetTimer | None:
        """Return the timer to set if a call is due before the current timer, and None otherwise."""
        calls = self.calls
        while calls and self._is_settled(*calls[0][3]):
            heapq.heappop(calls)  # the request or attempt that the call is about has ended
        if not calls or (self.timer_due_ns and calls[0][0] >= self.timer_due_ns):
            return None
        self.timer_due_ns = calls[0][0]
        self.timer_number += 1
        return SetTimer(max(1, self.timer_due_ns - now), str(self.timer_number))

    @staticmethod
    def _is_settled(request: object = None, attempt: Any = None, *_: Any) -> bool:
        """Return whether a call is about a request that is over, or about an attempt that has ended."""
        return isinstance(request, PendingRequest) and (
            request.finished or (attempt is not None and attempt.result is not None)
        )
