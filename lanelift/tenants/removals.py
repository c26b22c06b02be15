"""Holds back mass removals of tenants until the operator confirms them, and remembers removed entries. Pure.

A wrong base, a lost permission or an emptied tree looks like the removal of all tenants, whose requests would
then all be answered with 403. So removals wait if there are too many of them in one reading, or within a
window.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from lanelift.tenants.entries import Record

MAX_TOMBSTONES = 10_000
# Number of removals always allowed within a window unless no entry is left: a small directory can lose a few
# tenants.
FREE_REMOVALS = 3
# Removals within this time are counted together, to detect a tree that shrinks in small steps.
WINDOW_S = 3600.0


@dataclass(slots=True)
class RemovalGuard:
    """Decides whether missing tenants may be removed.

    Attributes:
        removal_part: Part of all tenants, 0 to 1, that may be removed within the window without confirmation.
        confirmed: Ids of the removals that the operator has confirmed.
        recent: Time in seconds and number of tenants of each removal within the window.
        pending: Id of the removal that waits for the operator's confirmation; empty if no removal waits.
    """

    removal_part: float = 0.1
    confirmed: frozenset[str] = frozenset()
    recent: deque[tuple[float, int]] = field(default_factory=deque)
    pending: str = ""

    def recently_removed(self, now_s: float) -> int:
        """Return the number of tenants removed within the window that ends now."""
        while self.recent and self.recent[0][0] <= now_s - WINDOW_S:
            self.recent.popleft()
        return sum(count for _, count in self.recent)

    def allows(self, names: Sequence[str], total: int, removed_recently: int, empty: bool) -> bool:
        """Return whether these tenants may be removed; if not, set `pending` to the id of their removal.

        Args:
            names: The missing tenants, sorted.
            total: Number of all tenants, including those removed within the window.
            removed_recently: Number of tenants removed within the window.
            empty: Whether the directory shows no entry at all. This always needs confirmation, however few
                tenants there were, as it indicates a wrong base, a lost permission or an emptied tree.
        """
        if not empty and len(names) + removed_recently <= max(FREE_REMOVALS, self.removal_part * total):
            return True
        removal_id = hashlib.blake2s("\n".join(names).encode(), digest_size=4).hexdigest()
        if removal_id in self.confirmed:
            return True
        self.pending = removal_id
        return False


@dataclass(slots=True)
class Tombstones:
    """Remembers removed entries, so that a replica that is behind does not restore them.

    Attributes:
        stamps: By the entry's id: its last stamp in microseconds, and the directory that it was removed from.
    """

    stamps: dict[str, tuple[int, int]] = field(default_factory=dict)

    def add(self, records: Sequence[Record], source: int) -> None:
        """Add entries that a directory no longer shows; the oldest tombstones above the limit are dropped."""
        for record in records:
            self.stamps[record.id] = record.stamp_us, source
        while len(self.stamps) > MAX_TOMBSTONES:
            del self.stamps[next(iter(self.stamps))]

    def covers(self, record: Record, source: int) -> bool:
        """Return whether an entry was removed, and this directory has not received the removal yet.

        The tombstone is dropped if the directory that the entry was removed from shows the entry again, or if
        any directory shows it with a later stamp.
        """
        stamp_us, removed_from = self.stamps.get(record.id, (-1, source))
        if record.stamp_us <= stamp_us and source != removed_from:
            return True
        self.stamps.pop(record.id, None)
        return False
