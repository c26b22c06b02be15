"""The queueing model of one box: its capacity, its jobs, and when each job ends. Performs no I/O: callers
pass the time.

The work of a job is the time that the job takes alone on one core of speed 1. A box has `cores` and runs up
to `slots` jobs concurrently. Each running job gets an equal share of the cores and at most one core; further
jobs wait in a queue, and a job that finds the queue full is rejected. The work is computed and not performed,
so that a thousand boxes cost no more than their events.

The state changes only at events (a job arrives, ends or is dropped; a freeze begins or ends; the box warms up
by a step). Between two events all running jobs progress at the same rate, so that one number, `attained`,
holds the service that each of them has received (processor sharing in virtual time). A job ends when
`attained` has grown by the work of the job since the job started to run.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

SECOND = 1_000_000_000
# A cold box warms up in this many equal steps: its warmth is within 1/128 of the range of a linear ramp.
WARM_STEPS = 64
# A box with `warm_by_work` is warm, at the latest, once it has done this share of the work that a box at full
# capacity does during the ramp. Under low load, the ramp ends first; under full load, the work warms the box
# in about half the time of the ramp.
WARM_WORK = 0.5


@dataclass(frozen=True, slots=True)
class BoxSpec:
    """The parameters of a box. Times are in ns. If a box holds more than `thrash_at` requests per core, its
    capacity is multiplied by 1 / (1 + thrash x excess per core)."""

    cores: int = 1
    slots: int = 1
    queue: int = 8
    speed: float = 1.0
    thrash: float = 0.0
    thrash_at: float = 5.0
    cold_from: float = 0.3
    cold_ns: int = 0
    warm_by_work: bool = False
    overload_multiple: float = 2.5
    overload_window_ns: int = 1_500_000_000
    drops_queued: bool = True  # a waiting job is dropped when its caller disconnects; a running job continues


class Completion(NamedTuple):
    """A job that has ended, and when."""

    job: str
    at_ns: int


@dataclass(slots=True)
class _RecentWork:
    """The work offered within the last `span_ns`."""

    span_ns: int
    offers: deque[tuple[int, int]] = field(default_factory=deque)  # the time and the work of each offer
    work_ns: int = 0

    def add(self, work_ns: int, now: int) -> int:
        """Adds offered work. Returns the work offered within the last `span_ns`."""
        self.offers.append((now, work_ns))
        self.work_ns += work_ns
        while self.offers[0][0] <= now - self.span_ns:
            self.work_ns -= self.offers.popleft()[1]
        return self.work_ns


class Box:
    """One instance of a box. When a box is started again, the next instance is a new `Box`."""

    def __init__(self, spec: BoxSpec, now: int, cold: bool = False) -> None:
        self.spec = spec
        self.started_ns = self.at_ns = now
        self.warm_level = 0 if cold and spec.cold_ns > 0 else WARM_STEPS
        # The service, in ns, that a job would have received if it had run since the start of the box.
        self.attained = 0.0
        self.done_ns = 0.0  # total work done by all jobs
        # A heap of rows: the value of `attained` at which the job ends, the order of arrival, the job.
        self.running: list[tuple[float, int, str]] = []
        self.waiting: deque[tuple[int, str, int]] = deque()  # arrival order, job, work
        self.completed: list[Completion] = []  # ended jobs that `advance` has not yet returned
        self.arrival_count = 0
        self.stolen_share = 0.0  # share of the machine that another program uses
        self.frozen_until_ns = 0
        self.overloaded_ns = 0  # when the box failed from overload while cold; 0 if no such failure occurred
        self.recent_work = _RecentWork(spec.overload_window_ns)

    # ---- state ------------------------------------------------------------------------------------------

    @property
    def running_count(self) -> int:
        """The number of running jobs."""
        return len(self.running)

    @property
    def queue(self) -> int:
        """The number of waiting jobs."""
        return len(self.waiting)

    @property
    def held(self) -> int:
        """The number of jobs, running or waiting."""
        return len(self.running) + len(self.waiting)

    @property
    def frozen(self) -> bool:
        """Whether the box makes no progress at present."""
        return self.frozen_until_ns > self.at_ns

    @property
    def warmth(self) -> float:
        """The present share of the full capacity: a linear ramp from `cold_from` to 1, in steps."""
        if self.warm_level >= WARM_STEPS:
            return 1.0
        return self.spec.cold_from + (1 - self.spec.cold_from) * (self.warm_level + 0.5) / WARM_STEPS

    @property
    def capacity(self) -> float:
        """Seconds of work that the box can do per second with its present jobs, ignoring a freeze."""
        spec = self.spec
        excess = max(0.0, self.held / spec.cores - spec.thrash_at)
        return spec.cores * spec.speed * self.warmth * (1 - self.stolen_share) / (1 + spec.thrash * excess)

    def next_ns(self) -> int | None:
        """Returns when `advance` must be called if no other event occurs; None if no call is needed."""
        if self.completed:
            return self.at_ns
        if not self.running or self.overloaded_ns:
            return None
        rate_change = self._next_rate_change()
        rate = self._rate()
        if rate <= 0:
            return rate_change
        due = self._next_completion(rate)
        return due if rate_change is None else min(due, rate_change)

    # ---- events -----------------------------------------------------------------------------------------

    def offer(self, job: str, work_ns: int, now: int) -> bool:
        """Adds a job. Returns False if the job is rejected without being run."""
        self._advance_to(now)
        if self.overloaded_ns:
            return False
        if self.warm_level < WARM_STEPS:
            # Rejected work counts as well, since a cold box is overloaded by all the load offered to it.
            window_capacity = self.spec.cores * self.spec.speed * self.warmth * self.spec.overload_window_ns
            if self.recent_work.add(work_ns, now) > self.spec.overload_multiple * window_capacity:
                self.overloaded_ns = now
                self.running.clear()
                self.waiting.clear()
                return False
        if len(self.running) >= self.spec.slots and len(self.waiting) >= self.spec.queue:
            return False
        self.arrival_count += 1
        self.waiting.append((self.arrival_count, job, work_ns))
        self._start_waiting()
        return True

    def drop(self, job: str, now: int) -> bool:
        """Removes a job whose caller has disconnected, if the job is waiting. A running job continues.
        Returns whether the job was removed."""
        self._advance_to(now)
        if not self.spec.drops_queued:
            return False
        for row in self.waiting:
            if row[1] == job:
                self.waiting.remove(row)
                return True
        return False

    def freeze(self, until_ns: int, now: int) -> None:
        """Stops all progress until `until_ns`. Overlapping freezes last until the later end."""
        self._advance_to(now)
        self.frozen_until_ns = max(self.frozen_until_ns, until_ns)

    def set_stolen_share(self, stolen_share: float, now: int) -> None:
        """Sets the share of the machine that another program uses from now on."""
        self._advance_to(now)
        self.stolen_share = stolen_share

    def charge(self, work_ns: int, now: int) -> None:
        """Does work outside the queue, such as answering a probe. This delays the running jobs."""
        self._advance_to(now)
        if self.running:
            self.attained -= work_ns / max(self.spec.cores, len(self.running))

    def advance(self, now: int) -> list[Completion]:
        """Advances the clock. Returns the jobs that have ended since the last call, ordered by their end."""
        self._advance_to(now)
        done, self.completed = self.completed, []
        return done

    # ---- advancing the clock ----------------------------------------------------------------------------

    def _advance_to(self, now: int) -> None:
        """Advances the state to `now`, event by event: jobs end, the box warms up, a freeze ends."""
        while True:
            rate_change = self._next_rate_change()
            until = now if rate_change is None else min(now, rate_change)
            rate = self._rate()
            if self.running and rate > 0 and self._next_completion(rate) <= until:
                at, (end, _, job) = self._next_completion(rate), heapq.heappop(self.running)
                # Progress is computed from the job's work, not from the clock, so that rounding errors don't
                # add up.
                self.done_ns += (end - self.attained) * (len(self.running) + 1)
                self.attained, self.at_ns = end, max(at, self.at_ns)
                self.completed.append(Completion(job, self.at_ns))
                self._start_waiting()
                continue
            self._accrue(until, rate)
            if until == rate_change:
                self._warm_up()
            elif until >= now:
                return

    def _accrue(self, to_ns: int, rate: float) -> None:
        """Adds the progress of the running jobs until `to_ns`, during which the rate is constant."""
        elapsed = max(0, to_ns - self.at_ns)
        if self.running:
            self.attained += rate * elapsed
            self.done_ns += rate * elapsed * len(self.running)
        self.at_ns = max(self.at_ns, to_ns)

    def _rate(self) -> float:
        """Returns the rate of each running job, in ns of work per ns."""
        if not self.running or self.frozen or self.overloaded_ns:
            return 0.0
        return self.capacity / max(self.spec.cores, len(self.running))

    def _next_completion(self, rate: float) -> int:
        return self.at_ns + max(0, math.ceil((self.running[0][0] - self.attained) / rate))

    def _next_rate_change(self) -> int | None:
        """Returns the time of the next change of the rate, if no job arrives or departs before."""
        if self.frozen:
            return self.frozen_until_ns
        if self.warm_level >= WARM_STEPS:
            return None
        spec = self.spec
        rate_change = self.started_ns + math.ceil(spec.cold_ns * (self.warm_level + 1) / WARM_STEPS)
        speed = self._rate() * len(self.running)
        if spec.warm_by_work and speed > 0:
            left = self._warm_work(self.warm_level + 1) - self.done_ns
            rate_change = min(rate_change, self.at_ns + max(0, math.ceil(left / speed)))
        return max(rate_change, self.at_ns)

    def _warm_up(self) -> None:
        """Raises the warm level by one step, or by all steps that came due during a freeze."""
        spec = self.spec
        while self.warm_level < WARM_STEPS and (
            self.at_ns >= self.started_ns + spec.cold_ns * (self.warm_level + 1) / WARM_STEPS
            or (spec.warm_by_work and self.done_ns >= self._warm_work(self.warm_level + 1) - 1)
        ):
            self.warm_level += 1

    def _warm_work(self, level: int) -> float:
        """Returns the total work after which a box that warms up by work has reached this level."""
        spec = self.spec
        return WARM_WORK * spec.cold_ns * spec.cores * spec.speed * level / WARM_STEPS

    def _start_waiting(self) -> None:
        while self.waiting and len(self.running) < self.spec.slots:
            arrival_order, job, work_ns = self.waiting.popleft()
            heapq.heappush(self.running, (self.attained + work_ns, arrival_order, job))
