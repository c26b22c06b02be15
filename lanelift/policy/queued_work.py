"""Estimate of the work that an upstream has queued, as far as this replica knows.

Inputs: this replica's attempts, the attempts that other replicas announce, load reports and responses. Work
is in nanoseconds of the upstream's time. The estimate decides which upstream is chosen (the one that becomes
free first) and which requests are shed (those that the queued work would make late).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from lanelift.policy.units import SECOND_NS

MAX_RESERVATIONS = 64  # largest number of reservations at one upstream; its queue holds fewer attempts
# Upper bound of the queued work of one upstream, so that a wrong announcement does not leave an upstream idle
# for long.
MAX_QUEUED_WORK_NS = SECOND_NS


@dataclass(slots=True, eq=False, kw_only=True)
class QueuedWork:
    """The queued work of one upstream.

    Attributes:
        in_flight: The number of this replica's attempts in flight at the upstream.
        probe_sent_ns: When the unanswered load probe was sent; 0 if there is none.
        reported_at_ns: When the upstream's last load report was received.
        reservations: The attempts that the upstream has not completed: when each attempt was sent, and its
            work in nanoseconds.
        free_at_ns: When the upstream is expected to have completed all reservations.
    """

    in_flight: int = 0
    probe_sent_ns: int = 0
    reported_at_ns: int = 0
    reservations: deque[tuple[int, float]] = field(default_factory=deque)
    free_at_ns: float = 0

    def reserve(self, now: int, work_ns: float) -> None:
        """Add the work of an attempt that this replica or another replica made."""
        if self.free_at_ns <= now:
            self.reservations.clear()
        elif len(self.reservations) >= MAX_RESERVATIONS:
            self.reservations.popleft()
        if work_ns > 0:
            self.reservations.append((now, work_ns))
        self.free_at_ns = min(max(self.free_at_ns, now) + work_ns, now + MAX_QUEUED_WORK_NS)

    def release(self, sent_ns: int, work_ns: float) -> None:
        """Remove the work of an attempt that the upstream did not execute."""
        if (sent_ns, work_ns) in self.reservations:
            self.reservations.remove((sent_ns, work_ns))
            self.free_at_ns -= work_ns

    def completed(self, sent_ns: int, now: int) -> None:
        """Remove the attempt sent at `sent_ns` and all earlier ones, as the upstream has completed them."""
        while self.reservations and self.reservations[0][0] <= sent_ns:
            self.reservations.popleft()
        self.free_at_ns = now + min(MAX_QUEUED_WORK_NS, sum(work_ns for _, work_ns in self.reservations))

    def load_reported(self, work_ns: float, now: int) -> None:
        """Replace the estimate by a load report.

        Attempts sent since the load probe are added to it, as the report may not include them.
        """
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
        """Return the estimated queued work in nanoseconds.

        If attempts are still in flight when the estimated work should be completed, the queued work counts
        as one mean service time, as an attempt that takes longer than expected may need as long again.
        """
        left_ns = self.free_at_ns - now
        return left_ns if left_ns > 0 else mean_service_time_ns * min(1, self.in_flight)
