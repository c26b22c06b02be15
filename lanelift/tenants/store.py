"""Merges readings of directories into the state of each tenant. Pure: the caller passes the time.

Three rules take precedence over all others. An explicit suspension takes effect immediately. An entry that a
reading lacks is removed only if the reading is complete, its directory is not behind, and not too many
tenants would be removed. An invalid entry leaves its tenant in the last valid state.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from lanelift.tenants.entries import Parsed, Record
from lanelift.tenants.notices import ENTRY, NAME, Notices, Notify, listed, shortened
from lanelift.tenants.removals import WINDOW_S, RemovalGuard, Tombstones
from lanelift.tenants.tenant_state import Changes, TenantState, denial_reason
from lanelift.tenants.validity import ValidityTimer

MAX_TENANTS = 200_000  # limits the entries in the store; each entry takes about 600 bytes
SEED_SOURCE = -1  # the source of tenants that no directory has shown
FORMER_SOURCE = -2  # the source of entries from directories of an earlier configuration


@dataclass(frozen=True, slots=True)
class Reading:
    """The entries that were read from one directory.

    Attributes:
        source: The directory's index in the order of preference.
        entries: The entries read.
        complete: Whether `entries` has all entries that the filter finds, and not only a part or changes.
        began_revision: The store's revision when the reading began; entries seen since then are not missing.
    """

    source: int
    entries: Sequence[Parsed]
    complete: bool
    began_revision: int = 0


@dataclass(slots=True)
class StoredEntry:
    """The last valid state of an entry.

    Attributes:
        record: The entry's content.
        source: The directory that the entry was read from.
        seen_revision: The store's revision when the entry was last seen.
    """

    record: Record
    source: int
    seen_revision: int = 0


class TenantStore:
    """All known entries, and the states of tenants that follow from them.

    Attributes:
        guard: Holds back removals if there are too many.
        notices: Logs messages without repetitions.
        entries: By id: at most `MAX_TENANTS` entries.
        claims: By tenant: ids of the entries with its name; the first one determines the tenant's state.
        sent: By tenant: the state last returned in `Changes`; None for a seeded tenant without such a state.
        tombstones: Removed entries.
        marks_us: By directory: the latest stamp seen there, in microseconds since 1970.
        validity: Timer for the next beginning or end of each tenant's validity.
        revision: Number of merged readings.
        remapped: Whether the map has changed, so that an unchanged entry may be parsed differently.
    """

    def __init__(
        self,
        removal_part: float = 0.1,
        confirmed: frozenset[str] = frozenset(),
        notify: Notify = lambda level, text: None,
    ) -> None:
        """Create a store without tenants.

        Args:
            removal_part: Part of all tenants, 0 to 1, that may be removed within the guard's window without
                confirmation.
            confirmed: Ids of the removals that the operator has confirmed.
            notify: Logs a message; its arguments are the level and the text.
        """
        self.guard = RemovalGuard(removal_part, confirmed)
        self.notices = Notices(notify)
        self.entries: dict[str, StoredEntry] = {}
        self.claims: dict[str, list[str]] = {}
        self.sent: dict[str, TenantState | None] = {}
        self.tombstones = Tombstones()
        self.marks_us: dict[int, int] = {}
        self.validity = ValidityTimer()
        self.revision = 0
        self.remapped = False

    def seed(self, tenants: Iterable[tuple[str, bool, float]]) -> None:
        """Add the tenants that the balancer has already.

        They stay unchanged until a directory shows them, or until a complete reading lacks them.

        Args:
            tenants: The folded name of each, whether it is suspended, and its share.
        """
        for name, suspended, share in tenants:
            self._put(Record(f"seed:{name}", name, suspended, share), SEED_SOURCE)
            self.sent[name] = None

    def merge(self, reading: Reading, now_s: float) -> Changes:
        """Merge a reading, and return the tenants that it changes.

        Args:
            reading: The entries that were read from a directory.
            now_s: Seconds since 1970.
        """
        touched: set[str] = set()
        seen: set[str] = set()
        self.notices.begin_reading()
        self.revision += 1
        latest_us = self._update_mark(reading)
        # If several new entries have the same name, the one that has been unchanged for longest comes first.
        # If an entry is on two pages because it changed between them, its later state comes last.
        for parsed in sorted(reading.entries, key=lambda entry: (entry.stamp_us, entry.id, entry.suspended)):
            seen.add(parsed.id)
            self._merge_entry(parsed, reading.source, touched)
        self.notices.end_reading()
        if reading.complete:
            self._remove_missing(reading, seen, latest_us, touched, now_s)
            self.notices.forget_others(ENTRY, seen)
            self.remapped = False
            self._report_conflicts()
        return self._changes(touched, now_s)

    def tick(self, now_s: float) -> Changes:
        """Return the tenants whose validity has begun or ended."""
        return self._changes(self.validity.pop_due(now_s), now_s)

    def next_s(self) -> float | None:
        """Return the earliest time at which `tick` is due; None if nothing is due before the next reading."""
        return self.validity.next_s()

    def reconfigure(self) -> None:
        """Prepare for a change of the directories, the filter or the map.

        An unchanged entry may be parsed differently from now on, and the marks and sources of entries no
        longer refer to the configured directories.
        """
        self.remapped = True
        self.marks_us.clear()
        for stored in self.entries.values():
            if stored.source != SEED_SOURCE:
                stored.source = FORMER_SOURCE

    def latest_stamp_us(self) -> int:
        """Return the latest stamp seen in the current directories, or else of any entry; 0 if none exists."""
        mark_us = max(self.marks_us.values(), default=0)
        return mark_us or max((stored.record.stamp_us for stored in self.entries.values()), default=0)

    # ---- single entries ----------------------------------------------------------------------------------

    def _update_mark(self, reading: Reading) -> int:
        """Update the latest stamp of the directory, and return the latest stamp of the reading."""
        latest_us = max((entry.stamp_us for entry in reading.entries), default=0)
        before_us = 0 if reading.complete else self.marks_us.get(reading.source, 0)
        self.marks_us[reading.source] = max(before_us, latest_us)
        return latest_us

    def _merge_entry(self, parsed: Parsed, source: int, touched: set[str]) -> None:
        stored = self.entries.get(parsed.id)
        if stored:
            stored.seen_revision = self.revision
        old = stored.record if stored else None
        if parsed.problems:
            state = "as last read" if old else "unknown"
            problems = "; ".join(parsed.problems)
            text = f"entry {shortened(parsed.dn)}: {problems}. Its tenant stays {state}"
            self.notices.validation_problem(ENTRY + parsed.id, text)
        new = self._accepted(parsed, stored, source)
        if new is None:
            return
        if not parsed.problems:
            self.notices.forget(ENTRY + parsed.id)
        if old is None and len(self.entries) >= MAX_TENANTS:
            text = f"more than {MAX_TENANTS} entries: the others are ignored"
            self.notices.log_once("error", "bound", text)
            return
        touched.add(new.name)
        if old and old.name != new.name:
            self._unclaim(old, touched)
        self._put(new, source)

    def _accepted(self, parsed: Parsed, stored: StoredEntry | None, source: int) -> Record | None:
        """Return the new record of an entry, or None if its record does not change."""
        if parsed.record is None:
            return _suspension_only(parsed, stored.record if stored else None)
        if stored is None:
            if self.tombstones.covers(parsed.record, source) and not parsed.record.suspended:
                return None
            return parsed.record
        accepted = self._reconciled(stored, parsed.record, source, parsed.dn)
        if accepted == stored.record:
            # An entry whose source is not a present directory belongs to this directory from now on.
            stored.source = source if stored.source < 0 else stored.source
            return None
        return accepted

    def _reconciled(self, stored: StoredEntry, new: Record, source: int, dn: str) -> Record | None:
        """Return the new record of a known entry that a directory shows; None to keep the old record."""
        old = stored.record
        newly_suspended = new.suspended and not old.suspended
        if new.stamp_us < old.stamp_us:
            # The replica is behind and shows an outdated entry, or the stamp could not be read. In the second
            # case only a suspension is accepted, as suspensions are never delayed.
            return replace(old, suspended=True) if newly_suspended and not new.stamp_us else None
        if new.stamp_us > old.stamp_us or self.remapped:
            return new
        lost = old.present - new.present
        if lost and new.stamp_us:
            self._report_lost_attributes(old, lost, dn)
            return replace(old, suspended=True) if newly_suspended else None
        if old.suspended and not new.suspended and source != stored.source:
            return None  # two directories differ: only the directory that showed the suspension can lift it
        return new

    def _report_lost_attributes(self, old: Record, lost: frozenset[str], dn: str) -> None:
        names = ", ".join(sorted(lost))
        why = "can't be read any more, though the entry did not change (a lost permission?)"
        text = f"entry {shortened(dn)}: {names} {why}. Its tenant stays as last read"
        self.notices.validation_problem(ENTRY + old.id, text)

    def _put(self, record: Record, source: int) -> None:
        self.entries[record.id] = StoredEntry(record, source, self.revision)
        ids = self.claims.setdefault(record.name, [])
        if record.id in ids:
            return
        # An entry of a directory replaces the seeded entry of its tenant.
        for other in [known for known in ids if self.entries[known].source == SEED_SOURCE]:
            ids.remove(other)
            del self.entries[other]
        ids.append(record.id)

    def _unclaim(self, record: Record, touched: set[str]) -> None:
        ids = self.claims.get(record.name, [])
        if record.id in ids:
            ids.remove(record.id)
        if not ids:
            self.claims.pop(record.name, None)
        touched.add(record.name)

    # ---- removals ----------------------------------------------------------------------------------------

    def _remove_missing(
        self, reading: Reading, seen: set[str], latest_us: int, touched: set[str], now_s: float
    ) -> None:
        """Remove the entries that a complete reading lacks, if its directory and the guard allow it."""
        missing = [
            stored.record
            for entry_id, stored in self.entries.items()
            if entry_id not in seen and stored.seen_revision <= reading.began_revision
        ]
        if not missing:
            self._clear_removal_notices()
            return
        others = (mark_us for source, mark_us in self.marks_us.items() if source != reading.source)
        if reading.entries and latest_us < max(others, default=0):
            text = f"directory {reading.source + 1} is behind: the entries that it lacks are not removed"
            self.notices.log_once("warning", "behind", text)
            return
        missing_ids = {record.id for record in missing}
        names = sorted(
            {record.name for record in missing if missing_ids.issuperset(self.claims[record.name])}
        )
        if not self._may_remove(names, now_s, empty=not reading.entries):
            return
        self._clear_removal_notices()
        for record in missing:
            del self.entries[record.id]
            self._unclaim(record, touched)
        self.tombstones.add(missing, reading.source)
        if names:
            self.guard.recent.append((now_s, len(names)))
            self.notices.notify("info", f"{len(names)} tenants removed: {listed(names)}")

    def _may_remove(self, names: Sequence[str], now_s: float, empty: bool) -> bool:
        removed_recently = self.guard.recently_removed(now_s)
        total = len(self.claims) + removed_recently
        if self.guard.allows(names, total, removed_recently, empty):
            return True
        limit = f"over {self.guard.removal_part:.0%} within {WINDOW_S / 60:.0f} min"
        why = "no entry is left" if empty else limit
        self.notices.log_once(
            "error",
            "removals",
            f"{len(names)} of {total} tenants are missing ({listed(names)}), {why}: all stay as they are. To "
            f'remove them, set confirm = ["{self.guard.pending}"] in [tenants] and send SIGHUP',
        )
        return False

    def _clear_removal_notices(self) -> None:
        self.guard.pending = ""
        for subject in ("behind", "removals"):
            self.notices.forget(subject)

    def _report_conflicts(self) -> None:
        """Log the tenants that are named by more than one entry."""
        conflicts = {name: ids for name, ids in self.claims.items() if len(ids) > 1}
        self.notices.forget_others(NAME, conflicts.keys())
        for name, ids in conflicts.items():
            rule = "the first one applies, and a suspension by any of them"
            text = f"tenant {name}: {len(ids)} entries ({listed(ids)}); {rule}"
            self.notices.log_once("warning", NAME + name, text)

    # ---- tenant states -----------------------------------------------------------------------------------

    def _changes(self, touched: Iterable[str], now_s: float) -> Changes:
        changes = Changes()
        for name in sorted(touched):
            state = self._state(name, now_s)
            if state is None:
                if name in self.sent:
                    del self.sent[name]
                    changes.removed.append(name)
            elif state != self.sent.get(name):
                self.sent[name] = state
                changes.tenants.append(state)
        return changes

    def _state(self, name: str, now_s: float) -> TenantState | None:
        ids = self.claims.get(name)
        if not ids:
            self.validity.clear(name)
            return None
        records = [self.entries[entry_id].record for entry_id in ids]
        first = records[0]
        self.validity.schedule(first, now_s)
        reason = denial_reason(records, now_s)
        classes = tuple(sorted(first.classes))
        return TenantState(name, reason, first.share, first.quota_per_s, classes, first.limits)


def _suspension_only(parsed: Parsed, old: Record | None) -> Record | None:
    """Return an invalid entry's new record, which adopts only a suspension; None if nothing changes."""
    if not parsed.suspended or not (old or parsed.name):
        return None
    if old is None:
        return Record(parsed.id, parsed.name, True)
    if old.stamp_us > parsed.stamp_us > 0:
        return None
    return replace(old, suspended=True)
