"""Removals of tenants, their confirmation by the operator, and tombstones."""

from __future__ import annotations

import pytest

from lanelift.tenants.removals import FREE_REMOVALS, WINDOW_S
from tests.tenants.store_scenario import Scenario, entry, numbered_entries


def test_a_partial_reading_removes_no_tenant() -> None:
    """A reading breaks off after two of ten entries, or before the first. No tenant is removed."""
    scenario = Scenario(removal_part=1.0)
    scenario.full(*numbered_entries(10))
    assert not scenario.partial(*numbered_entries(2))
    assert not scenario.partial()


@pytest.mark.parametrize("left", [0, 1, 44])
def test_too_many_removals_wait_for_confirmation(left: int) -> None:
    """Most tenants are missing from a full read, as with a wrong base. The missing tenants stay, which is
    logged only once, and they are removed when the operator confirms the removal.
    """
    scenario = Scenario()
    scenario.full(*numbered_entries(50))
    assert not scenario.full(*numbered_entries(left)) and len(scenario.tenants) == 50
    assert sum("stay as they are" in message for message in scenario.messages) == 1
    assert not scenario.full(*numbered_entries(left)) and len(scenario.tenants) == 50
    assert sum("stay as they are" in message for message in scenario.messages) == 1  # not repeated
    scenario.store.guard.confirmed = frozenset({scenario.store.guard.pending})
    assert len(scenario.full(*numbered_entries(left)).removed) == 50 - left
    assert not scenario.store.guard.pending


def test_a_confirmation_is_for_one_removal_only() -> None:
    """The operator confirms a removal, and one more tenant is missing in the next reading. The second, larger
    removal needs its own confirmation.
    """
    scenario = Scenario()
    scenario.full(*numbered_entries(50))
    scenario.full(*numbered_entries(20))
    scenario.store.guard.confirmed = frozenset({scenario.store.guard.pending})
    scenario.full(*numbered_entries(19))
    assert len(scenario.tenants) == 50


def test_a_suspension_is_not_delayed_by_pending_removals() -> None:
    """Most tenants are missing, and one of the others is suspended. The suspension takes effect while the
    removals wait.
    """
    scenario = Scenario()
    scenario.full(*numbered_entries(50))
    scenario.full(entry("t001", 2, True))
    assert scenario.denial_reason("t001") == "suspended" and len(scenario.tenants) == 50


def test_few_removals_pass_until_they_add_up_within_the_window() -> None:
    """Each reading lacks three more tenants. The first ones are removed; when the removals within the window
    reach a tenth of all tenants, further ones wait until the window has passed.
    """
    scenario = Scenario()
    scenario.full(*numbered_entries(100))
    removed_count, left = 0, 100
    while True:
        left -= 3
        changes = scenario.full(*numbered_entries(left))
        removed_count += len(changes.removed)
        if not changes:
            break
    assert removed_count == 9 and len(scenario.tenants) == 91  # at most a tenth is removed in the window
    scenario.now_s += WINDOW_S
    assert len(scenario.full(*numbered_entries(89)).removed) == 2


def test_an_emptied_directory_removes_no_tenant() -> None:
    """A directory with a single tenant returns no entry any more. The tenant stays. If some entry is left, a
    few tenants may be removed.
    """
    scenario = Scenario()
    scenario.full(entry("ash"))
    assert not scenario.full()
    assert "no entry is left" in scenario.messages[-1]
    few = Scenario()
    few.full(*numbered_entries(FREE_REMOVALS + 1))
    assert len(few.full(entry("t000")).removed) == FREE_REMOVALS


def test_tenants_that_are_shown_again_clear_the_pending_removal() -> None:
    """Most tenants are missing in one reading and present in the next. No removal is pending any more."""
    scenario = Scenario()
    scenario.full(*numbered_entries(50))
    scenario.full(*numbered_entries(5))
    assert scenario.store.guard.pending
    scenario.full(*numbered_entries(50))
    assert not scenario.store.guard.pending and len(scenario.tenants) == 50


def test_an_entry_seen_since_a_reading_began_is_not_missing() -> None:
    """A read of changes finds a new tenant while a long full read is running. The tenant is on no page of the
    full read, and is not removed by it.
    """
    scenario = Scenario(removal_part=1.0)
    scenario.full(*numbered_entries(3))
    began = scenario.store.revision
    scenario.partial(entry("new", 5))
    assert not scenario.full(*numbered_entries(3), began=began).removed
    assert scenario.full(*numbered_entries(3)).removed == ["new"]


def test_an_entry_that_is_deleted_and_created_again_is_no_removal() -> None:
    """All entries are deleted and created again with other ids, as by an import. No tenant is removed."""
    scenario = Scenario(removal_part=0.0)
    scenario.full(*numbered_entries(10))
    changes = scenario.full(*(entry(f"t{i:03}", 9, id=f"new-{i}") for i in range(10)))
    assert not changes.removed and len(scenario.tenants) == 10 and not scenario.store.guard.pending


def test_a_rename_is_no_removal() -> None:
    """All tenants are renamed. The old names are removed without confirmation, as the entries still exist."""
    scenario = Scenario(removal_part=0.0)
    scenario.full(*numbered_entries(10))
    entries = [entry(f"r{i:03}", 2, id=f"id-t{i:03}") for i in range(10)]
    changes = scenario.full(*entries)
    assert len(changes.removed) == 10 and len(changes.tenants) == 10 and not scenario.store.guard.pending


def test_a_replica_that_is_behind_restores_no_tenant() -> None:
    """A tenant is removed, and a replica that is behind still shows it. The tenant stays removed until the
    directory from which it was removed shows it again.
    """
    scenario = Scenario(removal_part=1.0)
    scenario.full(entry("ash", 3), entry("elm", 9))
    scenario.full(entry("elm", 9))
    assert "ash" not in scenario.tenants
    scenario.partial(entry("ash", 3), source=1)
    assert "ash" not in scenario.tenants
    scenario.partial(entry("ash", 3), source=0)  # the directory from which it was removed
    assert "ash" in scenario.tenants


def test_tables_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """A directory has more entries than can be stored, and then lacks more than there can be tombstones.
    Neither table exceeds its bound, and the first excess of entries is logged.
    """
    monkeypatch.setattr("lanelift.tenants.store.MAX_TENANTS", 5)
    monkeypatch.setattr("lanelift.tenants.removals.MAX_TOMBSTONES", 2)
    scenario = Scenario(removal_part=1.0)
    scenario.full(*numbered_entries(8))
    assert len(scenario.tenants) == 5 and any(
        "more than 5 entries" in message for message in scenario.messages
    )
    scenario.full(entry("t000"))
    assert len(scenario.store.tombstones.stamps) == 2
