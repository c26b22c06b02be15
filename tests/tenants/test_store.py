"""What holds of tenants: each hard case of a directory as readings of it."""

from __future__ import annotations

import random
from typing import Any

from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from tests.tenants.store_scenario import Scenario, entry, invalid_entry, numbered_entries


def test_a_tenant_is_added_changed_and_removed() -> None:
    scenario = Scenario(removal_part=1.0)
    assert [t.name for t in scenario.full(entry("ash"), entry("elm")).tenants] == ["ash", "elm"]
    assert not scenario.full(entry("ash"), entry("elm"))  # nothing new is not changes
    assert scenario.partial(entry("elm", 2, share=3.0)).tenants[0].share == 3.0
    assert scenario.full(entry("elm", 2, share=3.0)).removed == ["ash"]
    assert any("1 tenants removed: ash" in note for note in scenario.notes)


def test_a_suspension_counts_at_once_in_any_reading() -> None:
    """A tenant is suspended, and a full or a partial reading shows it. It is denied at once, and nobody
    else is.
    """
    for kind in ("full", "partial"):
        scenario = Scenario()
        scenario.full(*numbered_entries(50))
        others = [e for e in numbered_entries(50) if e.name != "t007"] if kind == "full" else []
        getattr(scenario, kind)(entry("t007", 2, True), *others)
        assert scenario.denial_reason("t007") == "suspended"
        assert sum(bool(scenario.denial_reason(name)) for name in scenario.holds) == 1


def test_suspensions_of_all_at_once_count_too() -> None:
    """Every tenant is suspended in the same reading. All count: the guard against removals does not hold
    suspensions back.
    """
    scenario = Scenario()
    scenario.full(*numbered_entries(50))
    scenario.partial(*(entry(f"t{i:03}", 2, True) for i in range(50)))
    assert all(scenario.denial_reason(name) for name in scenario.holds)


def test_the_settings_hold_until_a_directory_shows_a_tenant() -> None:
    scenario = Scenario()
    scenario.seed(*(f"t{i:03}" for i in range(50)))
    scenario.full(*(entry(f"t{i:03}", share=2.0) for i in range(3)))
    assert len(scenario.holds) == 50 and scenario["t001"].share == 2.0
    assert scenario.holds["t010"] is None and scenario.store.guard.pending  # as the settings have it
    assert len(scenario.full(*numbered_entries(50)).tenants) == 50  # told, though it is the same
    assert len(scenario.store.entries) == 50  # each seed has made way


def test_an_invalid_entry_leaves_its_tenant_as_last_read() -> None:
    """Somebody writes a share that is no number. The tenant keeps what was read last, the others change
    as usual, and the problem is logged once.
    """
    scenario = Scenario()
    scenario.full(entry("ash", share=4.0), entry("elm"))
    changes = scenario.full(invalid_entry("ash"), entry("elm", 2, share=2.0))
    assert [t.name for t in changes.tenants] == ["elm"] and scenario["ash"].share == 4.0
    assert any("agentShare" in note and "as last read" in note for note in scenario.notes)
    scenario.full(invalid_entry("ash"), entry("elm", 2, share=2.0))
    assert sum("agentShare" in note for note in scenario.notes) == 1


def test_an_invalid_entry_that_suspends_counts() -> None:
    """An entry is suspended and has an invalid share. The suspension counts, for a tenant that is known
    and for one that is not.
    """
    scenario = Scenario()
    scenario.full(entry("ash", share=4.0))
    scenario.partial(invalid_entry("ash", suspended=True), invalid_entry("new", suspended=True))
    assert scenario.denial_reason("ash") == "suspended" and scenario["ash"].share == 4.0
    assert scenario.denial_reason("new") == "suspended"
    scenario.partial(entry("ash", 3, share=5.0))
    assert scenario.denial_reason("ash") == "" and scenario["ash"].share == 5.0


def test_an_old_broken_entry_suspends_nobody() -> None:
    """A replica that is behind shows an older state of an entry, suspended and invalid. The newer state
    holds.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 5))
    scenario.partial(invalid_entry("ash", 3, suspended=True), source=1)
    assert scenario.denial_reason("ash") == ""


def test_two_entries_for_one_tenant() -> None:
    """Two entries bear the same name. The one that stands unchanged for longer holds, and a suspension by
    either counts.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 1, share=2.0, id="b"), entry("ash", 2, share=9.0, id="a"))
    assert scenario["ash"].share == 2.0  # the one that stands unchanged for longer
    assert sum("2 entries" in note for note in scenario.notes) == 1
    scenario.partial(entry("ash", 3, True, id="a"))
    assert scenario.denial_reason("ash") == "suspended"  # by any
    scenario.full(entry("ash", 1, share=2.0, id="b"))
    assert scenario.denial_reason("ash") == "" and scenario["ash"].share == 2.0


def test_a_second_entry_takes_over_when_the_first_goes() -> None:
    """Two entries bear the same name, and the one that holds is deleted. The tenant stays, as the other
    entry has it.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 1, share=2.0, id="a"))
    scenario.partial(entry("ash", 2, share=9.0, id="b"))
    assert scenario["ash"].share == 2.0
    changes = scenario.full(entry("ash", 2, share=9.0, id="b"))
    assert not changes.removed and scenario["ash"].share == 9.0


def test_a_renamed_tenant_stays_suspended() -> None:
    """A suspended tenant is renamed. It stays suspended under its new name, and the old name is gone."""
    scenario = Scenario()
    scenario.full(entry("ash", 1, True), entry("elm"))
    scenario.partial(entry("oak", 2, True, id="id-ash"))
    assert scenario.denial_reason("oak") == "suspended" and "ash" not in scenario.holds


def test_an_entry_on_two_pages_counts_once() -> None:
    """An entry changes while the pages are read, and stands on two of them. It counts once, as the later
    state has it.
    """
    scenario = Scenario()
    scenario.full(entry("ash"), entry("ash"))
    assert len(scenario.store.claims["ash"]) == 1
    scenario.full(entry("ash", 4, True), entry("ash", 3))  # it changed between the two
    assert scenario.denial_reason("ash") == "suspended"
    scenario.full(entry("ash", 5, True), entry("ash", 5))
    assert scenario.denial_reason("ash") == "suspended"


def test_a_replica_that_is_behind_takes_nothing_back() -> None:
    """A replica lacks a suspension and a new tenant. Its full read neither lifts the one nor removes the
    other.
    """
    scenario = Scenario(removal_part=1.0)
    scenario.full(entry("ash", 1), entry("elm", 1))
    scenario.partial(entry("ash", 5, True))
    scenario.partial(entry("new", 6))
    changes = scenario.full(entry("ash", 1), entry("elm", 1), source=1)
    assert not changes and scenario.denial_reason("ash") == "suspended" and "new" in scenario.holds
    assert any("is behind" in note for note in scenario.notes)
    scenario.full(entry("ash", 7), entry("elm", 1), entry("new", 6), source=1)
    assert scenario.denial_reason("ash") == ""


def test_an_outdated_suspension_does_not_count() -> None:
    """A replica that is behind shows a suspension that was lifted since. It does not count."""
    scenario = Scenario()
    scenario.full(entry("ash", 5))
    scenario.partial(entry("ash", 3, True), source=1)
    assert scenario.denial_reason("ash") == ""


def test_two_changes_in_one_second() -> None:
    """Stamps have whole seconds, and an entry changes twice within one. A suspension counts, and only the
    directory that showed it lifts it.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 5))
    scenario.partial(entry("ash", 5, True))
    assert scenario.denial_reason("ash") == "suspended"
    scenario.partial(entry("ash", 5), source=1)
    assert scenario.denial_reason("ash") == "suspended"  # another directory can't know better
    scenario.partial(entry("ash", 5), source=0)
    assert scenario.denial_reason("ash") == ""


def test_an_attribute_lost_with_a_permission_is_no_change() -> None:
    """The balancer's account may not read some attributes any more. The stamps are the same, so tenants
    stay as last read; an entry that did change is taken as it is.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 5, True, share=3.0), entry("elm", 5, share=2.0))
    hidden: dict[str, Any] = {"present": frozenset({"cn", "modifytimestamp"})}
    scenario.full(entry("ash", 5, **hidden), entry("elm", 5, **hidden))
    assert scenario.denial_reason("ash") == "suspended" and scenario["elm"].share == 2.0
    assert any("can't be read any more" in note for note in scenario.notes)
    scenario.full(entry("ash", 6, **hidden), entry("elm", 5, share=2.0))
    assert (
        scenario.denial_reason("ash") == ""
    )  # it did change: who changed it may have taken the attribute away


def test_a_permission_lost_for_stamps_too_lifts_no_suspension() -> None:
    """The account may not even read the stamps any more. A suspension stays, and one that is shown
    without a stamp counts.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 5, True), entry("elm", 5))
    scenario.full(entry("ash", 0), entry("elm", 0, True))
    assert scenario.denial_reason("ash") == "suspended" and scenario.denial_reason("elm") == "suspended"


def test_without_stamps_who_suspended_takes_it_back() -> None:
    """The directories keep no stamps, and two of them differ over a suspension. Only the one that showed
    it lifts it.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 0))
    scenario.partial(entry("ash", 0, True), source=0)
    scenario.partial(entry("ash", 0), source=1)
    assert scenario.denial_reason("ash") == "suspended"
    scenario.partial(entry("ash", 0), source=0)
    assert scenario.denial_reason("ash") == ""


def test_another_map_may_read_the_same_entry_differently() -> None:
    """The operator changes the attribute map. The same entries, with the same stamps, are taken as the
    new map reads them.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 5, True), entry("elm", 5))
    scenario.store.reconfigure()
    scenario.full(entry("ash", 5, share=7.0), entry("elm", 5, present=frozenset({"cn"})))
    assert scenario.denial_reason("ash") == "" and scenario["ash"].share == 7.0
    scenario.partial(entry("ash", 5, True), source=0)
    scenario.partial(entry("ash", 5), source=0)
    assert scenario.denial_reason("ash") == ""


@given(st.integers(0, 2**32), st.integers(5, 60))
@hyp(max_examples=150, deadline=None)
def test_random_readings_lose_no_suspension_and_remove_nobody(seed: int, steps: int) -> None:
    """A directory changes while its replica is minutes behind, and readings are cut short or empty, in
    any order. No suspension is lost, nothing goes back to an older state, and nobody is removed.
    """
    rng = random.Random(seed)
    scenario = Scenario()
    truth = {f"t{i:03}": (1, False) for i in range(40)}  # the master: stamp and standing
    history = [dict(truth)]
    heard: dict[str, int] = {}  # suspended by the master, as read there: the stamp
    clock = 1
    scenario.full(*(entry(n, s, x) for n, (s, x) in truth.items()))
    for _ in range(steps):
        clock += 1
        name = rng.choice(sorted(truth))
        truth[name] = clock, rng.random() < 0.5
        history.append(dict(truth))
        what = rng.randrange(5)
        shown = truth if what < 3 else history[rng.randrange(len(history))]
        entries = [entry(n, s, x) for n, (s, x) in shown.items()]
        if what == 0:
            scenario.full(*entries)
        elif what == 1:
            scenario.partial(*rng.sample(entries, rng.randrange(len(entries))))
        elif what == 2:
            scenario.full(*entries[: rng.randrange(10)])  # most have vanished: a mistake somewhere
        elif what == 3:
            scenario.full(*entries, source=1)
        else:
            scenario.partial(*rng.sample(entries, rng.randrange(len(entries))), source=1)
        assert len(scenario.holds) == 40
        for n in scenario.holds:
            known = scenario.store.entries[f"id-{n}"].record
            assert known.stamp_us >= heard.get(n, 0)  # never back to older news
            heard[n] = known.stamp_us
            assert (scenario.denial_reason(n) == "suspended") == history[known.stamp_us - 1][n][1]
