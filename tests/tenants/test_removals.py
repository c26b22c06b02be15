"""Which tenants are removed, which wait for the operator, and which must not come back."""

from __future__ import annotations

import pytest

from lanelift.tenants.removals import FREE_REMOVALS, WINDOW_S
from tests.tenants.store_scenario import Scenario, entry, numbered_entries


def test_a_partial_reading_removes_nobody() -> None:
    """A reading breaks off after two of ten entries, or before the first. Nobody is removed."""
    scenario = Scenario(removal_part=1.0)
    scenario.full(*numbered_entries(10))
    assert not scenario.partial(*numbered_entries(2))
    assert not scenario.partial()


@pytest.mark.parametrize("left", [0, 1, 44])
def test_too_many_removals_wait_for_confirmation(left: int) -> None:
    """Most tenants vanish from the directory at once, as with a wrong base. All stay, the log says so
    once, and they are removed only when the operator confirms.
    """
    scenario = Scenario()
    scenario.full(*numbered_entries(50))
    assert not scenario.full(*numbered_entries(left)) and len(scenario.holds) == 50
    assert sum("stay as they are" in note for note in scenario.notes) == 1
    assert not scenario.full(*numbered_entries(left)) and len(scenario.holds) == 50
    assert sum("stay as they are" in note for note in scenario.notes) == 1  # said once
    scenario.store.guard.confirmed = frozenset({scenario.store.guard.pending})
    assert len(scenario.full(*numbered_entries(left)).removed) == 50 - left
    assert not scenario.store.guard.pending


def test_a_confirmation_is_for_one_removal_only() -> None:
    """The operator confirms a removal, and one more tenant vanishes meanwhile. That is another removal,
    and it waits.
    """
    scenario = Scenario()
    scenario.full(*numbered_entries(50))
    scenario.full(*numbered_entries(20))
    scenario.store.guard.confirmed = frozenset({scenario.store.guard.pending})
    scenario.full(*numbered_entries(19))
    assert len(scenario.holds) == 50


def test_a_suspension_is_not_delayed_by_pending_removals() -> None:
    """Most tenants vanish, and one of those left is suspended. The suspension counts while the removals
    wait.
    """
    scenario = Scenario()
    scenario.full(*numbered_entries(50))
    scenario.full(entry("t001", 2, True))
    assert scenario.denial_reason("t001") == "suspended" and len(scenario.holds) == 50


def test_few_removals_pass_until_they_add_up_within_the_window() -> None:
    """A directory loses three tenants with each reading. The first removals pass; once they add up to a
    tenth within the window, the others wait until it is over.
    """
    scenario = Scenario()
    scenario.full(*numbered_entries(100))
    gone, left = 0, 100
    while True:
        left -= 3
        changes = scenario.full(*numbered_entries(left))
        gone += len(changes.removed)
        if not changes:
            break
    assert gone == 9 and len(scenario.holds) == 91  # a tenth of all within the window
    scenario.now_s += WINDOW_S
    assert len(scenario.full(*numbered_entries(89)).removed) == 2


def test_an_emptied_directory_removes_not_even_one_tenant() -> None:
    """A directory with a single tenant shows no entry any more. The tenant stays; where some entry is
    left, a few may go.
    """
    scenario = Scenario()
    scenario.full(entry("ash"))
    assert not scenario.full()
    assert "no entry is left" in scenario.notes[-1]
    few = Scenario()
    few.full(*numbered_entries(FREE_REMOVALS + 1))
    assert len(few.full(entry("t000")).removed) == FREE_REMOVALS


def test_tenants_that_are_shown_again_clear_the_pending_removal() -> None:
    """Most tenants vanish for one reading and are shown again by the next. Nothing waits any more."""
    scenario = Scenario()
    scenario.full(*numbered_entries(50))
    scenario.full(*numbered_entries(5))
    assert scenario.store.guard.pending
    scenario.full(*numbered_entries(50))
    assert not scenario.store.guard.pending and len(scenario.holds) == 50


def test_what_was_seen_since_a_reading_began_is_not_missing() -> None:
    """Changes are read beside a full read that takes long. A tenant that is added meanwhile stands on no
    page of the full read, and is not removed by it.
    """
    scenario = Scenario(removal_part=1.0)
    scenario.full(*numbered_entries(3))
    began = scenario.store.revision
    scenario.partial(entry("new", 5))
    assert not scenario.full(*numbered_entries(3), began=began).removed
    assert scenario.full(*numbered_entries(3)).removed == ["new"]


def test_an_entry_that_is_deleted_and_made_anew_is_no_removal() -> None:
    """All entries are deleted and made anew under other ids, as by an import. No tenant is removed."""
    scenario = Scenario(removal_part=0.0)
    scenario.full(*numbered_entries(10))
    changes = scenario.full(*(entry(f"t{i:03}", 9, id=f"new-{i}") for i in range(10)))
    assert not changes.removed and len(scenario.holds) == 10 and not scenario.store.guard.pending


def test_a_rename_is_no_removal() -> None:
    """All tenants are renamed. Their old names go without confirmation, as their entries are still there."""
    scenario = Scenario(removal_part=0.0)
    scenario.full(*numbered_entries(10))
    entries = [entry(f"r{i:03}", 2, id=f"id-t{i:03}") for i in range(10)]
    changes = scenario.full(*entries)
    assert len(changes.removed) == 10 and len(changes.tenants) == 10 and not scenario.store.guard.pending


def test_a_replica_that_is_behind_brings_nobody_back() -> None:
    """A tenant is removed, and a replica that is behind still shows it. It stays removed, unless the
    directory that removed it shows it again.
    """
    scenario = Scenario(removal_part=1.0)
    scenario.full(entry("ash", 3), entry("elm", 9))
    scenario.full(entry("elm", 9))
    assert "ash" not in scenario.holds
    scenario.partial(entry("ash", 3), source=1)
    assert "ash" not in scenario.holds
    scenario.partial(entry("ash", 3), source=0)  # whoever removed it may say otherwise
    assert "ash" in scenario.holds


def test_tables_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """A directory shows more entries than may be stored, and removes more than may be remembered. Both
    tables keep their bounds, and the log says so.
    """
    monkeypatch.setattr("lanelift.tenants.store.MAX_TENANTS", 5)
    monkeypatch.setattr("lanelift.tenants.removals.MAX_TOMBSTONES", 2)
    scenario = Scenario(removal_part=1.0)
    scenario.full(*numbered_entries(8))
    assert len(scenario.holds) == 5 and any("more than 5 entries" in note for note in scenario.notes)
    scenario.full(entry("t000"))
    assert len(scenario.store.tombstones.stamps) == 2
