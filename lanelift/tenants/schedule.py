"""Schedules the readings of directories. Pure: the caller passes the time.

`replica_reader.py` performs the readings. Full reads and reads of changes run concurrently, so that a long
full read never delays a suspension. Each full read begins at the preferred directory, and goes on to the next
one if a directory fails. Reads of changes stay with the directory that was read last, and go on to the next
one immediately if it fails; they return to the preferred directory when a full read there has succeeded.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum

# Seconds to wait after a round in which all directories failed, by the number of such rounds directly before
# that round.
BACKOFF_S = (0.5, 1.0, 2.0, 5.0, 10.0)
# Longest wait for a page of changes. Without it, a server that sends single bytes could delay a page forever,
# as no receive would exceed its timeout.
PAGE_TIMEOUT_S = 10.0
OVERLAP_S = 60.0  # a search for changes begins this long before the latest stamp: replication may be late
# An overlap with more entries is not read again if its last reading changed no tenant.
LARGE_OVERLAP_ENTRIES = 2000
NO_CLOCK_US = 1 << 62  # a time of day that is later than any stamp
MAX_INVALID_READS = 2  # after so many consecutive invalid reads of changes, a directory is only read in full


class ReadKind(StrEnum):
    """The kinds of readings: of all entries, or only of changes."""

    FULL = "full"
    CHANGES = "changes"


@dataclass(frozen=True, slots=True)
class ReadOrder:
    """An order to perform a reading now.

    Attributes:
        kind: Whether to read all entries, or only changed ones.
        source: The directory's index in the order of preference.
        until_s: The reading is given up if it still runs at this time.
        since_us: For changes: the earliest stamp to search for, in microseconds since 1970.
        mark_us: For changes: the latest stamp known when the reading began.
    """

    kind: ReadKind
    source: int
    until_s: float
    since_us: int = 0
    mark_us: int = 0


@dataclass(slots=True)
class ReadState:
    """State of the readings of one kind.

    Attributes:
        due_s: When the next reading begins; None if no reading is planned.
        source: The directory that the next reading uses.
        failed_sources: Number of directories that failed in this round.
        failed_rounds: Number of consecutive rounds in which all directories failed.
        order: The running reading, if any.
    """

    due_s: float | None
    source: int = 0
    failed_sources: int = 0
    failed_rounds: int = 0
    order: ReadOrder | None = None


@dataclass(slots=True)
class Schedule:
    """Plans full reads and reads of changes. Times are seconds on the caller's clock.

    Attributes:
        directories: Number of directories.
        change_interval_s: Interval between two reads of changes.
        full_interval_s: Interval between two full reads.
        full_timeout_s: Longest duration of a full read; a longer one is given up.
        has_stamps: Whether the map names the attribute for the time of the last change, which a search for
            changes needs.
        now_s: When the schedule begins.
        full: State of the full reads.
        changes: State of the reads of changes.
        invalid_reads: By directory: number of consecutive reads of changes that lacked an expected entry.
        mark_us: The latest stamp seen.
        marked_s: When `mark_us` was first seen.
        reread_mark_us: The mark of a large overlap that changed no tenant when the overlap was read again.
    """

    directories: int
    change_interval_s: float
    full_interval_s: float
    full_timeout_s: float
    has_stamps: bool
    now_s: float = 0.0
    full: ReadState = field(init=False)
    changes: ReadState = field(init=False)
    invalid_reads: dict[int, int] = field(default_factory=dict)
    mark_us: int = 0
    marked_s: float = 0.0
    reread_mark_us: int = 0

    def __post_init__(self) -> None:
        self.full = ReadState(self.now_s)
        self.changes = ReadState(None)  # there is no mark to search from before the first full read

    def start_due(self, now_s: float, mark_us: int, clock_us: int = NO_CLOCK_US) -> list[ReadOrder]:
        """Mark the readings that are due as running, and return their orders.

        Args:
            now_s: The time.
            mark_us: The latest stamp seen in any directory.
            clock_us: The local time of day, which limits the mark: a stamp from the future would hide all
                changes until that time. If the local clock is behind, more entries are read than needed.
        """
        mark_us = min(mark_us, clock_us)
        if mark_us != self.mark_us:
            self.mark_us, self.marked_s = mark_us, now_s
        begun = []
        if _is_due(self.full, now_s):
            self.full.order = ReadOrder(ReadKind.FULL, self.full.source, now_s + self.full_timeout_s)
            begun.append(self.full.order)
        if _is_due(self.changes, now_s):
            self.changes.order = self._changes_order(now_s)
            begun.append(self.changes.order)
        return begun

    def _changes_order(self, now_s: float) -> ReadOrder:
        until_s = now_s + self._page_timeout_s()
        since_us = self._since_us(now_s)
        return ReadOrder(ReadKind.CHANGES, self.changes.source, until_s, since_us, self.mark_us)

    def _since_us(self, now_s: float) -> int:
        """Return the earliest stamp to search for.

        A second after the mark was seen, no more entries can be written with stamps up to the mark. After
        `OVERLAP_S` those entries have been replicated. From then on only later stamps are searched for;
        otherwise 50,000 entries that were loaded in one second would be read again each time.
        """
        replicated = now_s - self.marked_s >= OVERLAP_S
        if replicated or self.reread_mark_us == self.mark_us > 0:
            return self.mark_us + 1_000_000
        return max(0, self.mark_us - round(OVERLAP_S * 1e6))

    def _page_timeout_s(self) -> float:
        return min(PAGE_TIMEOUT_S, self.full_timeout_s)

    def page_received(self, order: ReadOrder, now_s: float) -> None:
        """Extend the deadline of a read of changes, as each page has its own timeout."""
        running = self.changes.order
        if running is not None and (running.kind, running.source) == (order.kind, order.source):
            self.changes.order = replace(running, until_s=now_s + self._page_timeout_s())

    def next_s(self) -> float | None:
        """Return the next time at which a reading begins or is given up; None if nothing is planned."""
        states = (self.full, self.changes)
        times = [state.order.until_s if state.order else state.due_s for state in states]
        return min((time_s for time_s in times if time_s is not None), default=None)

    def overdue(self, now_s: float) -> list[ReadOrder]:
        """Return the running readings that have exceeded their time."""
        orders = [state.order for state in (self.full, self.changes) if state.order is not None]
        return [order for order in orders if order.until_s <= now_s]

    def done(self, order: ReadOrder, now_s: float, found: int = 0, any_new: bool = True) -> None:
        """Record the success of a reading, and plan the next one.

        Args:
            order: The reading.
            now_s: The time.
            found: Number of entries that the reading returned.
            any_new: For changes: whether the reading changed any tenant.
        """
        state = self._end(order)
        if state is None:
            return
        state.failed_sources = state.failed_rounds = 0
        if state is self.full:
            self._full_read_done(order, now_s)
            return
        state.due_s = now_s + self.change_interval_s
        if found > LARGE_OVERLAP_ENTRIES and not any_new:
            self.reread_mark_us = order.mark_us

    def _full_read_done(self, order: ReadOrder, now_s: float) -> None:
        self.full.source, self.full.due_s = 0, now_s + self.full_interval_s
        if not self.has_stamps or self.invalid_reads.get(order.source, 0) >= MAX_INVALID_READS:
            # The directory can't be searched for changes, so it is read in full at the interval of changes.
            self.full.due_s = now_s + self.change_interval_s
            self.changes.due_s = None
            return
        self.changes.source = order.source
        if self.changes.due_s is None:
            self.changes.due_s = now_s + self.change_interval_s

    def failed(self, order: ReadOrder, now_s: float) -> None:
        """Record a reading's failure. The next directory is due now, or after a backoff if all failed."""
        state = self._end(order)
        if state is None:
            return
        state.failed_sources += 1
        state.source = (order.source + 1) % self.directories
        state.due_s = now_s
        if state.failed_sources >= self.directories:
            state.due_s = now_s + BACKOFF_S[min(state.failed_rounds, len(BACKOFF_S) - 1)]
            state.failed_sources = 0
            state.failed_rounds += 1
            if state is self.full:
                state.source = 0

    def validate_changes(self, order: ReadOrder, now_s: float, any_found: bool) -> bool:
        """Check a read of changes that must return an entry, as it covers a stamp seen in that directory.

        Args:
            order: The reading.
            now_s: The time.
            any_found: Whether the reading returned an entry; otherwise the reading is invalid.

        Returns:
            Whether this reading was invalid, and from now on the directory is only read in full.
        """
        if any_found:
            self.invalid_reads.pop(order.source, None)
            return False
        count = self.invalid_reads[order.source] = self.invalid_reads.get(order.source, 0) + 1
        if self.full.order is None:
            self.full.due_s = now_s  # the latest change may have been a removal: a full read shows it
        if count >= MAX_INVALID_READS:
            self.changes.due_s = None
        return count == MAX_INVALID_READS

    def _end(self, order: ReadOrder) -> ReadState | None:
        """Mark a reading as ended, and return the state of its kind.

        Returns None for a reading that belongs to an earlier configuration, or that was given up and has
        ended late. The result of such a reading must not end the reading that is running now.
        """
        state = self.full if order.kind is ReadKind.FULL else self.changes
        if state.order is None or replace(state.order, until_s=order.until_s) != order:
            return None
        state.order = None
        return state


def _is_due(state: ReadState, now_s: float) -> bool:
    return state.order is None and state.due_s is not None and state.due_s <= now_s
