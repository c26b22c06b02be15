"""The work that an upstream has queued, as far as this replica knows.

Inputs: attempts of this replica, attempts that other replicas announce, load reports, responses; work in
nanoseconds of the upstream's time. It decides which upstream is chosen (the one that is free first) and which
request is shed (more work is queued than leaves time for it).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from lanelift.policy.units import SECOND_NS

MAX_RESERVATIONS = 64  # attempts remembered of an upstream; more than its queue holds
# Work counts no further than this: a wrong announcement must not idle an upstream for long.
MAX_QUEUED_WORK_NS = SECOND_NS


@dataclass(slots=True, eq=False, kw_only=True)
class QueuedWork:
    """The queued work of one upstream.

    Attributes:
        in_flight: This replica's attempts there.
        probe_sent_ns: When the load probe that is not answered yet was sent; 0: there is none.
        reported_at_ns: When its last load report came.
        reservations: Attempts that it has not completed: when each was made, and its work in nanoseconds.
        free_at_ns: When it will have completed all of them.
    """

    in_flight: int = 0
    probe_sent_ns: int = 0
    reported_at_ns: int = 0
    reservations: deque[tuple[int, float]] = field(default_factory=deque)
    free_at_ns: float = 0

    def reserve(self, now: int, work_ns: float) -> None:
        """Add an attempt, whoever made it."""
        if self.free_at_ns <= now:
            self.reservations.clear()
        elif len(self.reservations) >= MAX_RESERVATIONS:
            self.reservations.popleft()
        if work_ns > 0:
            self.reservations.append((now, work_ns))
        self.free_at_ns = min(max(self.free_at_ns, now) + work_ns, now + MAX_QUEUED_WORK_NS)

    def release(self, sent_ns: int, work_ns: float) -> None:
        """Take back an attempt of which the upstream did nothing."""
        if (sent_ns, work_ns) in self.reservations:
            self.reservations.remove((sent_ns, work_ns))
            self.free_at_ns -= work_ns

    def completed(self, sent_ns: int, now: int) -> None:
        """An attempt sent then is completed, and with it what was sent before: the rest is still queued."""
        while self.reservations and self.reservations[0][0] <= sent_ns:
            self.reservations.popleft()
        self.free_at_ns = now + min(MAX_QUEUED_WORK_NS, sum(work_ns for _, work_ns in self.reservations))

    def load_reported(self, work_ns: float, now: int) -> None:
        """The upstream reported its load. What was sent since it was probed may not be part of that."""
        since_probe = (
            [reserved for reserved in self.reservations if reserved[0] >= self.probe_sent_ns]
            if self.probe_sent_ns
            else []
        )
        self.reported_at_ns, self.free_at_ns = now, 0
        self.reservations.clear()
        self.reserve(now, work_ns)
        for _, later_work_ns in since_probe:
            self.reserve(now, later_work_ns)

    def queued_work_ns(self, now: int, mean_service_time_ns: float) -> float:
        """Return the work that it has queued, as far as known, in nanoseconds.

        An attempt that is out for longer than was expected may have as much again to go: it counts as one
        mean service time.
        """
        left_ns = self.free_at_ns - now
        return left_ns if left_ns > 0 else mean_service_time_ns * min(1, self.in_flight)
