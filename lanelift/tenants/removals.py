"""Which removals need the operator's confirmation, and which entries were removed. Pure.

A wrong base, a lost permission or an emptied tree looks like the removal of everybody. It would show as 403
for all tenants at once; so removals that are too many at once, or within a window, wait.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from lanelift.tenants.entries import Record

MAX_TOMBSTONES = 10_000
FREE_REMOVALS = 3  # never too many: one agent that leaves a small directory must be able to
WINDOW_S = 3600.0  # removals within this time count together: a tree that melts away is stopped, too


@dataclass(slots=True)
class RemovalGuard:
    """Decides whether tenants that are missing may be removed.

    Attributes:
        removal_part: Part of all tenants, 0 to 1, that may go at once, or within the window.
        confirmed: Marks of the removals that the operator has confirmed.
        recent: When, in seconds, and how many tenants were removed within the window.
        pending: Mark of the removal that waits to be confirmed; empty: none does.
    """

    removal_part: float = 0.1
    confirmed: frozenset[str] = frozenset()
    recent: deque[tuple[float, int]] = field(default_factory=deque)
    pending: str = ""

    def recently_removed(self, now_s: float) -> int:
        """Return how many tenants were removed within the window that ends now."""
        while self.recent and self.recent[0][0] <= now_s - WINDOW_S:
            self.recent.popleft()
        return sum(count for _, count in self.recent)

    def allows(self, names: Sequence[str], total: int, recently: int, empty: bool) -> bool:
        """Tell whether these tenants may be removed; if not, set `pending` to their mark.

        Args:
            names: The tenants that are missing, sorted.
            total: All tenants, with those removed within the window.
            recently: How many were removed within the window.
            empty: The directory shows no entry at all. Nobody keeps an empty directory of tenants: it is a
                wrong base, a lost permission or an emptied tree, however few tenants there were.
        """
        if not empty and len(names) + recently <= max(FREE_REMOVALS, self.removal_part * total):
            return True
        mark = hashlib.blake2s("\n".join(names).encode(), digest_size=4).hexdigest()
        if mark in self.confirmed:
            return True
        self.pending = mark
        return False


@dataclass(slots=True)
class Tombstones:
    """Entries that were removed, so that a replica that is behind does not bring them back.

    Attributes:
        stamps: By the entry's id: its last stamp in microseconds, and the directory that it was removed from.
    """

    stamps: dict[str, tuple[int, int]] = field(default_factory=dict)

    def add(self, records: Sequence[Record], source: int) -> None:
        """Remember entries that a directory shows no more; the oldest make way."""
        for record in records:
            self.stamps[record.id] = record.stamp_us, source
        while len(self.stamps) > MAX_TOMBSTONES:
            del self.stamps[next(iter(self.stamps))]

    def covers(self, record: Record, source: int) -> bool:
        """Tell whether an entry was removed, and this directory has not received the removal.

        The directory that it was removed from may show it again; any other must show a later change. Then the
        tombstone is dropped.
        """
        stamp_us, removed_from = self.stamps.get(record.id, (-1, source))
        if record.stamp_us <= stamp_us and source != removed_from:
            return True
        self.stamps.pop(record.id, None)
        return False
