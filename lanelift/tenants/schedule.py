"""When which directory is read, and how.

Decided here, and carried out by `replica_reader.py`. Pure: the caller hands it the time.

Two kinds of reading run beside each other, so that a long full read never delays a suspension. Full reads
begin at the preferred directory each time, and go down the list where one fails. Reads of changes stay with
the directory that served them last and go on to the next at once when it fails: they come back to the
preferred one when a full read there has succeeded.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum

BACKOFF_S = (0.5, 1.0, 2.0, 5.0, 10.0)  # by the number of rounds in a row in which all directories failed
PAGE_TIMEOUT_S = 10.0  # longest wait for a page of changes: a directory that trickles is given up then
OVERLAP_S = 60.0  # changes are searched from this long before the latest one: replication brings some late
LARGE_OVERLAP_ENTRIES = 2000  # more than this many in the overlap, none of them new: it is not read again
NO_CLOCK_US = 1 << 62  # a time of day that is later than any stamp
MAX_INVALIDATIONS = 2  # reads of changes in a row that lack what they must hold, before no more are made


class ReadKind(StrEnum):
    """What a reading covers."""

    FULL = "full"
    CHANGES = "changes"


@dataclass(frozen=True, slots=True)
class ReadOrder:
    """One reading to be made now.

    Attributes:
        kind: All entries, or those that changed.
        source: The directory's place in the list of preference, from 0.
        until_s: The reading is given up if it still runs then.
        since_us: For changes: the stamp from which on to search, in microseconds since 1970.
        mark_us: For changes: the latest stamp that was known.
    """

    kind: ReadKind
    source: int
    until_s: float
    since_us: int = 0
    mark_us: int = 0


@dataclass(slots=True)
class ReadState:
    """Where the readings of one kind stand.

    Attributes:
        due_s: When the next one begins; None: not before something happens.
        source: The directory that the next one reads.
        failed_sources: Directories that failed in this round.
        failed_rounds: Rounds in a row in which all of them failed.
        order: The reading that runs, if any.
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
        directories: How many directories there are.
        change_interval_s: Between two reads of changes.
        full_interval_s: Between two full reads.
        full_timeout_s: A full read that takes longer is given up.
        has_stamps: The map names an attribute for the last change; without it changes can't be searched.
        now_s: When the schedule begins.
        full: State of the full reads.
        changes: State of the reads of changes.
        invalidations: By directory: reads of changes in a row that lacked what they must hold.
        mark_us: The latest stamp seen.
        marked_s: When it was first seen.
        reread_mark_us: The mark up to which a large overlap was read again without any news.
    """

    directories: int
    change_interval_s: float
    full_interval_s: float
    full_timeout_s: float
    has_stamps: bool
    now_s: float = 0.0
    full: ReadState = field(init=False)
    changes: ReadState = field(init=False)
    invalidations: dict[int, int] = field(default_factory=dict)
    mark_us: int = 0
    marked_s: float = 0.0
    reread_mark_us: int = 0

    def __post_init__(self) -> None:
        self.full = ReadState(self.now_s)
        self.changes = ReadState(None)  # there is no mark to search from before the first full read

    def orders(self, now_s: float, mark_us: int, clock_us: int = NO_CLOCK_US) -> list[ReadOrder]:
        """Return the readings to begin now, and count them as running.

        Args:
            now_s: The time.
            mark_us: The latest stamp seen in any directory.
            clock_us: The time of day here. A stamp from the future would hide all that is written until then,
                so the mark is cut to this. Where it is this clock that is behind, more is read than needed.
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
        """Return the stamp from which on to search for changes.

        What is stamped up to the mark can't be written any more a second after the mark was seen, and has
        been replicated a while later; from then on only later stamps are new. Without that, 50,000 entries
        that were loaded in one second would be read anew each time.
        """
        replicated = now_s - self.marked_s >= OVERLAP_S
        if replicated or self.reread_mark_us == self.mark_us > 0:
            return self.mark_us + 1_000_000
        return max(0, self.mark_us - round(OVERLAP_S * 1e6))

    def _page_timeout_s(self) -> float:
        return min(PAGE_TIMEOUT_S, self.full_timeout_s)

    def page_received(self, order: ReadOrder, now_s: float) -> None:
        """Give the next page of changes its own time."""
        running = self.changes.order
        if running is not None and (running.kind, running.source) == (order.kind, order.source):
            self.changes.order = replace(running, until_s=now_s + self._page_timeout_s())

    def next_s(self) -> float | None:
        """Return when there is something to begin or to end next; None: not before something happens."""
        states = (self.full, self.changes)
        times = [state.order.until_s if state.order else state.due_s for state in states]
        return min((time_s for time_s in times if time_s is not None), default=None)

    def overdue(self, now_s: float) -> list[ReadOrder]:
        """Return the readings that have taken too long."""
        orders = [state.order for state in (self.full, self.changes) if state.order is not None]
        return [order for order in orders if order.until_s <= now_s]

    def done(self, order: ReadOrder, now_s: float, found: int = 0, any_new: bool = True) -> None:
        """Count a reading as succeeded, and plan the next one.

        Args:
            order: The reading.
            now_s: The time.
            found: How many entries it returned.
            any_new: Whether it changed anything.
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
        if not self.has_stamps or self.invalidations.get(order.source, 0) >= MAX_INVALIDATIONS:
            # Changes can't be searched there: full reads take their place, at their interval.
            self.full.due_s = now_s + self.change_interval_s
            self.changes.due_s = None
            return
        self.changes.source = order.source
        if self.changes.due_s is None:
            self.changes.due_s = now_s + self.change_interval_s

    def failed(self, order: ReadOrder, now_s: float) -> None:
        """Count a reading as failed: the next directory at once, or all again after a backoff."""
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

    def invalidate(self, order: ReadOrder, now_s: float, any_found: bool) -> bool:
        """Check a read of changes that must show an entry, as its directory holds one of that age.

        Args:
            order: The reading.
            now_s: The time.
            any_found: Whether it returned an entry; without one it is not valid.

        Returns:
            Whether this was the one too many: the directory is searched for changes no more.
        """
        if any_found:
            self.invalidations.pop(order.source, None)
            return False
        count = self.invalidations[order.source] = self.invalidations.get(order.source, 0) + 1
        if self.full.order is None:
            self.full.due_s = now_s  # the latest change may have been a removal: a full read shows it
        if count >= MAX_INVALIDATIONS:
            self.changes.due_s = None
        return count == MAX_INVALIDATIONS

    def _end(self, order: ReadOrder) -> ReadState | None:
        """Return the state of the reading's kind, with nothing running.

        None if the reading is not the one that runs: it belongs to an earlier configuration, or was given up,
        and its thread came back after all. Counting it would end a reading that still runs.
        """
        state = self.full if order.kind is ReadKind.FULL else self.changes
        if state.order is None or replace(state.order, until_s=order.until_s) != order:
            return None
        state.order = None
        return state


def _is_due(state: ReadState, now_s: float) -> bool:
    return state.order is None and state.due_s is not None and state.due_s <= now_s
