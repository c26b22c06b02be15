"""What holds of tenants: each hard case of a directory as readings of it."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from lanelift.tenants.entries import Parsed, Record
from lanelift.tenants.notices import MAX_PROBLEMS_LOGGED
from lanelift.tenants.removals import FREE_REMOVALS, WINDOW_S
from lanelift.tenants.store import Reading, TenantStore
from lanelift.tenants.tenant_state import Changes, TenantState


class Scenario:
    """A store, the clock, and all that it has logged and returned."""

    def __init__(self, removal_part: float = 0.1) -> None:
        self.notes: list[str] = []
        self.store = TenantStore(removal_part, notify=lambda level, text: self.notes.append(text))
        self.now_s = 1_000_000.0
        self.holds: dict[str, TenantState | None] = {}

    def apply(self, changes: Changes) -> Changes:
        for tenant in changes.tenants:
            assert self.holds.get(tenant.name) != tenant
            self.holds[tenant.name] = tenant
        for name in changes.removed:
            del self.holds[name]
        assert self.holds == self.store.sent
        return changes

    def seed(self, *names: str) -> None:
        self.store.seed((name, False, 1.0) for name in names)
        self.holds.update(dict.fromkeys(names))

    def whole(self, *entries: Parsed, source: int = 0, began: int | None = None) -> Changes:
        self.now_s += 1
        began = self.store.revision if began is None else began
        return self.apply(self.store.merge(Reading(source, entries, True, began), self.now_s))

    def part(self, *entries: Parsed, source: int = 0) -> Changes:
        self.now_s += 1
        return self.apply(self.store.merge(Reading(source, entries, False), self.now_s))

    def __getitem__(self, name: str) -> TenantState:
        tenant = self.holds[name]
        assert tenant is not None
        return tenant

    def denial_reason(self, name: str) -> str:
        return self[name].denial_reason


PRESENT = frozenset({"cn", "standing", "modifytimestamp"})


def one(name: str, stamp: int = 1, suspended: bool = False, id: str = "", **more: object) -> Parsed:
    record = Record(id or f"id-{name}", name, suspended, stamp_us=stamp, present=PRESENT)
    return good(replace(record, **more))  # type: ignore[arg-type]


def good(record: Record) -> Parsed:
    return Parsed(f"cn={record.name}", record.id, record.name, record.suspended, record.stamp_us, record)


def broken(name: str, stamp: int = 2, suspended: bool = False) -> Parsed:
    return Parsed(f"cn={name}", f"id-{name}", name, suspended, stamp, None, ["agentShare: found 'x'"])


def many(count: int, stamp: int = 1) -> list[Parsed]:
    return [one(f"t{i:03}", stamp) for i in range(count)]


def test_it_comes_changes_and_goes() -> None:
    scenario = Scenario(removal_part=1.0)
    assert [t.name for t in scenario.whole(one("ash"), one("elm")).tenants] == ["ash", "elm"]
    assert not scenario.whole(one("ash"), one("elm"))  # nothing new is not changes
    assert scenario.part(one("elm", 2, share=3.0)).tenants[0].share == 3.0
    assert scenario.whole(one("elm", 2, share=3.0)).removed == ["ash"]
    assert any("1 tenants removed: ash" in note for note in scenario.notes)


def test_a_suspension_counts_at_once_in_any_reading() -> None:
    for kind in ("whole", "part"):
        scenario = Scenario()
        scenario.whole(*many(50))
        others = [e for e in many(50) if e.name != "t007"] if kind == "whole" else []
        getattr(scenario, kind)(one("t007", 2, True), *others)
        assert scenario.denial_reason("t007") == "suspended"
        assert sum(bool(scenario.denial_reason(name)) for name in scenario.holds) == 1


def test_suspensions_of_all_at_once_count_too() -> None:
    scenario = Scenario()
    scenario.whole(*many(50))
    scenario.part(*(one(f"t{i:03}", 2, True) for i in range(50)))
    assert all(scenario.denial_reason(name) for name in scenario.holds)


def test_a_part_removes_nobody() -> None:
    scenario = Scenario(removal_part=1.0)
    scenario.whole(*many(10))
    assert not scenario.part(*many(2))
    assert not scenario.part()


# ---- removals that wait --------------------------------------------------------------------------------


@pytest.mark.parametrize("left", [0, 1, 44])
def test_too_many_removals_wait_and_hurt_nobody(left: int) -> None:
    scenario = Scenario()
    scenario.whole(*many(50))
    assert not scenario.whole(*many(left)) and len(scenario.holds) == 50
    assert sum("stay as they are" in note for note in scenario.notes) == 1
    assert not scenario.whole(*many(left)) and len(scenario.holds) == 50
    assert sum("stay as they are" in note for note in scenario.notes) == 1  # said once
    scenario.store.guard.confirmed = frozenset({scenario.store.guard.pending})
    assert len(scenario.whole(*many(left)).removed) == 50 - left
    assert not scenario.store.guard.pending


def test_what_is_confirmed_is_that_removal_and_no_other() -> None:
    scenario = Scenario()
    scenario.whole(*many(50))
    scenario.whole(*many(20))
    scenario.store.guard.confirmed = frozenset({scenario.store.guard.pending})
    scenario.whole(*many(19))
    assert len(scenario.holds) == 50


def test_a_suspension_is_not_held_up_by_removals_that_wait() -> None:
    scenario = Scenario()
    scenario.whole(*many(50))
    scenario.whole(one("t001", 2, True))
    assert scenario.denial_reason("t001") == "suspended" and len(scenario.holds) == 50


def test_few_may_go_and_a_tree_that_melts_away_is_stopped() -> None:
    scenario = Scenario()
    scenario.whole(*many(100))
    gone, left = 0, 100
    while True:
        left -= 3
        changes = scenario.whole(*many(left))
        gone += len(changes.removed)
        if not changes:
            break
    assert gone == 9 and len(scenario.holds) == 91  # a tenth of all within the window
    scenario.now_s += WINDOW_S
    assert len(scenario.whole(*many(89)).removed) == 2


def test_even_one_or_two_tenants_do_not_go_with_an_emptied_tree() -> None:
    scenario = Scenario()
    scenario.whole(one("ash"))
    assert not scenario.whole()
    assert "no entry is left" in scenario.notes[-1]
    few = Scenario()
    few.whole(*many(FREE_REMOVALS + 1))
    assert len(few.whole(one("t000")).removed) == FREE_REMOVALS


def test_removals_that_came_back_leave_no_trace() -> None:
    scenario = Scenario()
    scenario.whole(*many(50))
    scenario.whole(*many(5))
    assert scenario.store.guard.pending
    scenario.whole(*many(50))
    assert not scenario.store.guard.pending and len(scenario.holds) == 50


def test_the_settings_hold_until_a_directory_tells() -> None:
    scenario = Scenario()
    scenario.seed(*(f"t{i:03}" for i in range(50)))
    scenario.whole(*(one(f"t{i:03}", share=2.0) for i in range(3)))
    assert len(scenario.holds) == 50 and scenario["t001"].share == 2.0
    assert scenario.holds["t010"] is None and scenario.store.guard.pending  # as the settings have it
    assert len(scenario.whole(*many(50)).tenants) == 50  # told, though it is the same
    assert len(scenario.store.entries) == 50  # each seed has made way


def test_what_was_seen_since_a_reading_began_is_not_missing() -> None:
    """Changes are read beside a whole reading that takes long, and may stand on no page of that."""
    scenario = Scenario(removal_part=1.0)
    scenario.whole(*many(3))
    began = scenario.store.revision
    scenario.part(one("new", 5))
    assert not scenario.whole(*many(3), began=began).removed
    assert scenario.whole(*many(3)).removed == ["new"]


# ---- nonsense, doubles, renames --------------------------------------------------------------------------


def test_nonsense_leaves_one_tenant_as_it_was_and_the_others_alone() -> None:
    scenario = Scenario()
    scenario.whole(one("ash", share=4.0), one("elm"))
    changes = scenario.whole(broken("ash"), one("elm", 2, share=2.0))
    assert [t.name for t in changes.tenants] == ["elm"] and scenario["ash"].share == 4.0
    assert any("agentShare" in note and "as last read" in note for note in scenario.notes)
    scenario.whole(broken("ash"), one("elm", 2, share=2.0))
    assert sum("agentShare" in note for note in scenario.notes) == 1


def test_nonsense_that_suspends_does() -> None:
    scenario = Scenario()
    scenario.whole(one("ash", share=4.0))
    scenario.part(broken("ash", suspended=True), broken("new", suspended=True))
    assert scenario.denial_reason("ash") == "suspended" and scenario["ash"].share == 4.0
    assert scenario.denial_reason("new") == "suspended"
    scenario.part(one("ash", 3, share=5.0))
    assert scenario.denial_reason("ash") == "" and scenario["ash"].share == 5.0


def test_an_old_broken_entry_suspends_nobody() -> None:
    scenario = Scenario()
    scenario.whole(one("ash", 5))
    scenario.part(broken("ash", 3, suspended=True), source=1)
    assert scenario.denial_reason("ash") == ""


def test_many_mistakes_are_counted_not_listed() -> None:
    scenario = Scenario()
    scenario.whole(*(broken(f"t{i}") for i in range(100)))
    assert len(scenario.notes) == MAX_PROBLEMS_LOGGED + 1 and "80 more entries" in scenario.notes[-1]


def test_two_entries_for_one_tenant() -> None:
    scenario = Scenario()
    scenario.whole(one("ash", 1, share=2.0, id="b"), one("ash", 2, share=9.0, id="a"))
    assert scenario["ash"].share == 2.0  # the one that stands unchanged for longer
    assert sum("2 entries" in note for note in scenario.notes) == 1
    scenario.part(one("ash", 3, True, id="a"))
    assert scenario.denial_reason("ash") == "suspended"  # by any
    scenario.whole(one("ash", 1, share=2.0, id="b"))
    assert scenario.denial_reason("ash") == "" and scenario["ash"].share == 2.0


def test_a_second_entry_takes_over_when_the_first_goes() -> None:
    scenario = Scenario()
    scenario.whole(one("ash", 1, share=2.0, id="a"))
    scenario.part(one("ash", 2, share=9.0, id="b"))
    assert scenario["ash"].share == 2.0
    changes = scenario.whole(one("ash", 2, share=9.0, id="b"))
    assert not changes.removed and scenario["ash"].share == 9.0


def test_an_entry_that_is_deleted_and_made_anew_is_no_removal() -> None:
    scenario = Scenario(removal_part=0.0)
    scenario.whole(*many(10))
    changes = scenario.whole(*(one(f"t{i:03}", 9, id=f"new-{i}") for i in range(10)))
    assert not changes.removed and len(scenario.holds) == 10 and not scenario.store.guard.pending


def test_a_rename_is_no_removal() -> None:
    scenario = Scenario(removal_part=0.0)
    scenario.whole(*many(10))
    entries = [one(f"r{i:03}", 2, id=f"id-t{i:03}") for i in range(10)]
    changes = scenario.whole(*entries)
    assert len(changes.removed) == 10 and len(changes.tenants) == 10 and not scenario.store.guard.pending


def test_a_renamed_tenant_stays_suspended() -> None:
    scenario = Scenario()
    scenario.whole(one("ash", 1, True), one("elm"))
    scenario.part(one("oak", 2, True, id="id-ash"))
    assert scenario.denial_reason("oak") == "suspended" and "ash" not in scenario.holds


def test_an_entry_on_two_pages_counts_once() -> None:
    scenario = Scenario()
    scenario.whole(one("ash"), one("ash"))
    assert len(scenario.store.claims["ash"]) == 1
    scenario.whole(one("ash", 4, True), one("ash", 3))  # it changed between the two
    assert scenario.denial_reason("ash") == "suspended"
    scenario.whole(one("ash", 5, True), one("ash", 5))
    assert scenario.denial_reason("ash") == "suspended"


# ---- replicas, permissions, maps -------------------------------------------------------------------------


def test_a_replica_that_is_behind_takes_nothing_back() -> None:
    scenario = Scenario(removal_part=1.0)
    scenario.whole(one("ash", 1), one("elm", 1))
    scenario.part(one("ash", 5, True))
    scenario.part(one("new", 6))
    changes = scenario.whole(one("ash", 1), one("elm", 1), source=1)
    assert not changes and scenario.denial_reason("ash") == "suspended" and "new" in scenario.holds
    assert any("is behind" in note for note in scenario.notes)
    scenario.whole(one("ash", 7), one("elm", 1), one("new", 6), source=1)
    assert scenario.denial_reason("ash") == ""


def test_a_replica_that_is_behind_brings_nobody_back() -> None:
    scenario = Scenario(removal_part=1.0)
    scenario.whole(one("ash", 3), one("elm", 9))
    scenario.whole(one("elm", 9))
    assert "ash" not in scenario.holds
    scenario.part(one("ash", 3), source=1)
    assert "ash" not in scenario.holds
    scenario.part(one("ash", 3), source=0)  # whoever removed it may say otherwise
    assert "ash" in scenario.holds


def test_an_old_suspension_is_old_news() -> None:
    scenario = Scenario()
    scenario.whole(one("ash", 5))
    scenario.part(one("ash", 3, True), source=1)
    assert scenario.denial_reason("ash") == ""


def test_two_changes_in_one_second() -> None:
    """Stamps of a second's grain: the second change has the first one's."""
    scenario = Scenario()
    scenario.whole(one("ash", 5))
    scenario.part(one("ash", 5, True))
    assert scenario.denial_reason("ash") == "suspended"
    scenario.part(one("ash", 5), source=1)
    assert scenario.denial_reason("ash") == "suspended"  # another directory can't know better
    scenario.part(one("ash", 5), source=0)
    assert scenario.denial_reason("ash") == ""


def test_a_lost_permission_is_no_change() -> None:
    scenario = Scenario()
    scenario.whole(one("ash", 5, True, share=3.0), one("elm", 5, share=2.0))
    hidden: dict[str, Any] = {"present": frozenset({"cn", "modifytimestamp"})}
    scenario.whole(one("ash", 5, **hidden), one("elm", 5, **hidden))
    assert scenario.denial_reason("ash") == "suspended" and scenario["elm"].share == 2.0
    assert any("can't be read any more" in note for note in scenario.notes)
    scenario.whole(one("ash", 6, **hidden), one("elm", 5, share=2.0))
    assert (
        scenario.denial_reason("ash") == ""
    )  # it did change: who changed it may have taken the attribute away


def test_a_permission_lost_for_stamps_too_lifts_no_suspension() -> None:
    scenario = Scenario()
    scenario.whole(one("ash", 5, True), one("elm", 5))
    scenario.whole(one("ash", 0), one("elm", 0, True))
    assert scenario.denial_reason("ash") == "suspended" and scenario.denial_reason("elm") == "suspended"


def test_without_stamps_who_suspended_takes_it_back() -> None:
    scenario = Scenario()
    scenario.whole(one("ash", 0))
    scenario.part(one("ash", 0, True), source=0)
    scenario.part(one("ash", 0), source=1)
    assert scenario.denial_reason("ash") == "suspended"
    scenario.part(one("ash", 0), source=0)
    assert scenario.denial_reason("ash") == ""


def test_another_map_may_read_the_same_entry_otherwise() -> None:
    scenario = Scenario()
    scenario.whole(one("ash", 5, True), one("elm", 5))
    scenario.store.reconfigure()
    scenario.whole(one("ash", 5, share=7.0), one("elm", 5, present=frozenset({"cn"})))
    assert scenario.denial_reason("ash") == "" and scenario["ash"].share == 7.0
    scenario.part(one("ash", 5, True), source=0)
    scenario.part(one("ash", 5), source=0)
    assert scenario.denial_reason("ash") == ""


# ---- time ------------------------------------------------------------------------------------------------


def test_validity_begins_and_ends_by_the_clock() -> None:
    scenario = Scenario()
    t = scenario.now_s + 1
    scenario.whole(one("ash", valid_from_s=t + 100, valid_until_s=t + 200), one("elm"))
    assert scenario.denial_reason("ash") == "not valid yet" and scenario.store.next_s() == t + 100
    for later, denial_reason in ((99.9, "not valid yet"), (100, ""), (199.9, ""), (200, "no longer valid")):
        scenario.now_s = t + later
        scenario.apply(scenario.store.tick(scenario.now_s))
        assert scenario.denial_reason("ash") == denial_reason
    assert scenario.store.next_s() is None


def test_validity_that_changes_all_the_time_fills_nothing() -> None:
    scenario = Scenario()
    for i in range(1000):
        scenario.part(one("ash", i + 1, valid_until_s=scenario.now_s + 10_000 + i))
    assert len(scenario.store.validity.boundaries) < 10


# ---- bounds ----------------------------------------------------------------------------------------------


def test_tables_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lanelift.tenants.store.MAX_TENANTS", 5)
    monkeypatch.setattr("lanelift.tenants.removals.MAX_TOMBSTONES", 2)
    scenario = Scenario(removal_part=1.0)
    scenario.whole(*many(8))
    assert len(scenario.holds) == 5 and any("more than 5 entries" in note for note in scenario.notes)
    scenario.whole(one("t000"))
    assert len(scenario.store.tombstones.stamps) == 2


# ---- any readings ----------------------------------------------------------------------------------------


@given(st.integers(0, 2**32), st.integers(5, 60))
@hyp(max_examples=150, deadline=None)
def test_whatever_is_read_no_suspension_is_lost_and_nobody_goes_unseen(seed: int, steps: int) -> None:
    """A directory that changes, its replica minutes behind, cuts and empty answers, in any order."""
    rng = random.Random(seed)
    scenario = Scenario()
    truth = {f"t{i:03}": (1, False) for i in range(40)}  # the master: stamp and standing
    history = [dict(truth)]
    heard: dict[str, int] = {}  # suspended by the master, as read there: the stamp
    clock = 1
    scenario.whole(*(one(n, s, x) for n, (s, x) in truth.items()))
    for _ in range(steps):
        clock += 1
        name = rng.choice(sorted(truth))
        truth[name] = clock, rng.random() < 0.5
        history.append(dict(truth))
        what = rng.randrange(5)
        shown = truth if what < 3 else history[rng.randrange(len(history))]
        entries = [one(n, s, x) for n, (s, x) in shown.items()]
        if what == 0:
            scenario.whole(*entries)
        elif what == 1:
            scenario.part(*rng.sample(entries, rng.randrange(len(entries))))
        elif what == 2:
            scenario.whole(*entries[: rng.randrange(10)])  # most have vanished: a mistake somewhere
        elif what == 3:
            scenario.whole(*entries, source=1)
        else:
            scenario.part(*rng.sample(entries, rng.randrange(len(entries))), source=1)
        assert len(scenario.holds) == 40
        for n in scenario.holds:
            known = scenario.store.entries[f"id-{n}"].record
            assert known.stamp_us >= heard.get(n, 0)  # never back to older news
            heard[n] = known.stamp_us
            assert (scenario.denial_reason(n) == "suspended") == history[known.stamp_us - 1][n][1]
