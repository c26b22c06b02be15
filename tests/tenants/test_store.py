"""The states of tenants after readings of directories, for each difficult case."""

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
    assert not scenario.full(entry("ash"), entry("elm"))  # the same entries give no changes
    assert scenario.partial(entry("elm", 2, share=3.0)).tenants[0].share == 3.0
    assert scenario.full(entry("elm", 2, share=3.0)).removed == ["ash"]
    assert any("1 tenants removed: ash" in message for message in scenario.messages)


def test_a_suspension_takes_effect_immediately_in_any_reading() -> None:
    """A full or a partial reading shows that a tenant is suspended. The tenant is denied immediately, and no
    other tenant is denied.
    """
    for kind in ("full", "partial"):
        scenario = Scenario()
        scenario.full(*numbered_entries(50))
        others = [e for e in numbered_entries(50) if e.name != "t007"] if kind == "full" else []
        getattr(scenario, kind)(entry("t007", 2, True), *others)
        assert scenario.denial_reason("t007") == "suspended"
        assert sum(bool(scenario.denial_reason(name)) for name in scenario.tenants) == 1


def test_suspensions_of_all_tenants_take_effect() -> None:
    """Every tenant is suspended in the same reading. All are denied: the guard against removals does not
    delay suspensions.
    """
    scenario = Scenario()
    scenario.full(*numbered_entries(50))
    scenario.partial(*(entry(f"t{i:03}", 2, True) for i in range(50)))
    assert all(scenario.denial_reason(name) for name in scenario.tenants)


def test_a_tenant_of_the_settings_stays_until_a_directory_shows_it() -> None:
    scenario = Scenario()
    scenario.seed(*(f"t{i:03}" for i in range(50)))
    scenario.full(*(entry(f"t{i:03}", share=2.0) for i in range(3)))
    assert len(scenario.tenants) == 50 and scenario["t001"].share == 2.0
    assert scenario.tenants["t010"] is None and scenario.store.guard.pending  # the tenant of the settings
    # All are returned, though their states are unchanged.
    assert len(scenario.full(*numbered_entries(50)).tenants) == 50
    assert len(scenario.store.entries) == 50  # each entry has replaced a seeded tenant


def test_an_invalid_entry_leaves_its_tenant_in_the_last_valid_state() -> None:
    """The share of an entry is not a number. The tenant keeps its last valid state, other tenants change as
    usual, and the problem is logged once.
    """
    scenario = Scenario()
    scenario.full(entry("ash", share=4.0), entry("elm"))
    changes = scenario.full(invalid_entry("ash"), entry("elm", 2, share=2.0))
    assert [t.name for t in changes.tenants] == ["elm"] and scenario["ash"].share == 4.0
    assert any("agentShare" in message and "as last read" in message for message in scenario.messages)
    scenario.full(invalid_entry("ash"), entry("elm", 2, share=2.0))
    assert sum("agentShare" in message for message in scenario.messages) == 1


def test_a_suspension_in_an_invalid_entry_takes_effect() -> None:
    """An entry is suspended and has an invalid share. The suspension takes effect, for a known tenant and for
    a new one.
    """
    scenario = Scenario()
    scenario.full(entry("ash", share=4.0))
    scenario.partial(invalid_entry("ash", suspended=True), invalid_entry("new", suspended=True))
    assert scenario.denial_reason("ash") == "suspended" and scenario["ash"].share == 4.0
    assert scenario.denial_reason("new") == "suspended"
    scenario.partial(entry("ash", 3, share=5.0))
    assert scenario.denial_reason("ash") == "" and scenario["ash"].share == 5.0


def test_an_outdated_invalid_entry_suspends_no_tenant() -> None:
    """A replica that is behind shows an older state of an entry, suspended and invalid. The newer state
    remains.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 5))
    scenario.partial(invalid_entry("ash", 3, suspended=True), source=1)
    assert scenario.denial_reason("ash") == ""


def test_two_entries_for_one_tenant() -> None:
    """Two entries have the same name. The one that has been unchanged for longer applies, and a suspension by
    either takes effect.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 1, share=2.0, id="b"), entry("ash", 2, share=9.0, id="a"))
    assert scenario["ash"].share == 2.0  # the share of the entry that has been unchanged for longer
    assert sum("2 entries" in message for message in scenario.messages) == 1
    scenario.partial(entry("ash", 3, True, id="a"))
    assert scenario.denial_reason("ash") == "suspended"  # either entry can suspend the tenant
    scenario.full(entry("ash", 1, share=2.0, id="b"))
    assert scenario.denial_reason("ash") == "" and scenario["ash"].share == 2.0


def test_a_second_entry_applies_when_the_first_is_removed() -> None:
    """Two entries have the same name, and the one that applies is deleted. The tenant stays, with the state
    of the other entry.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 1, share=2.0, id="a"))
    scenario.partial(entry("ash", 2, share=9.0, id="b"))
    assert scenario["ash"].share == 2.0
    changes = scenario.full(entry("ash", 2, share=9.0, id="b"))
    assert not changes.removed and scenario["ash"].share == 9.0


def test_a_renamed_tenant_stays_suspended() -> None:
    """A suspended tenant is renamed. It stays suspended under its new name, and the old name is removed."""
    scenario = Scenario()
    scenario.full(entry("ash", 1, True), entry("elm"))
    scenario.partial(entry("oak", 2, True, id="id-ash"))
    assert scenario.denial_reason("oak") == "suspended" and "ash" not in scenario.tenants


def test_an_entry_on_two_pages_counts_once() -> None:
    """An entry changes while the pages are read, and is on two of the pages. The entry counts once, with the
    later state.
    """
    scenario = Scenario()
    scenario.full(entry("ash"), entry("ash"))
    assert len(scenario.store.claims["ash"]) == 1
    scenario.full(entry("ash", 4, True), entry("ash", 3))  # the entry changed between two pages
    assert scenario.denial_reason("ash") == "suspended"
    scenario.full(entry("ash", 5, True), entry("ash", 5))
    assert scenario.denial_reason("ash") == "suspended"


def test_a_replica_that_is_behind_reverts_nothing() -> None:
    """A replica lacks a suspension and a new tenant. A full read of the replica neither lifts the suspension
    nor removes the tenant.
    """
    scenario = Scenario(removal_part=1.0)
    scenario.full(entry("ash", 1), entry("elm", 1))
    scenario.partial(entry("ash", 5, True))
    scenario.partial(entry("new", 6))
    changes = scenario.full(entry("ash", 1), entry("elm", 1), source=1)
    assert not changes and scenario.denial_reason("ash") == "suspended" and "new" in scenario.tenants
    assert any("is behind" in message for message in scenario.messages)
    scenario.full(entry("ash", 7), entry("elm", 1), entry("new", 6), source=1)
    assert scenario.denial_reason("ash") == ""


def test_an_outdated_suspension_is_ignored() -> None:
    """A replica that is behind shows a suspension that has since been lifted. The suspension is ignored."""
    scenario = Scenario()
    scenario.full(entry("ash", 5))
    scenario.partial(entry("ash", 3, True), source=1)
    assert scenario.denial_reason("ash") == ""


def test_two_changes_in_one_second() -> None:
    """Stamps have whole seconds, and an entry changes twice within one second. A suspension takes effect, and
    only the directory that showed the suspension can lift it.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 5))
    scenario.partial(entry("ash", 5, True))
    assert scenario.denial_reason("ash") == "suspended"
    scenario.partial(entry("ash", 5), source=1)
    assert scenario.denial_reason("ash") == "suspended"  # another directory may be behind
    scenario.partial(entry("ash", 5), source=0)
    assert scenario.denial_reason("ash") == ""


def test_an_attribute_lost_with_a_permission_is_no_change() -> None:
    """The balancer's account may not read some attributes any more. The stamps are the same, so the tenants
    keep their states. An entry with a new stamp is accepted as it is.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 5, True, share=3.0), entry("elm", 5, share=2.0))
    hidden: dict[str, Any] = {"present": frozenset({"cn", "modifytimestamp"})}
    scenario.full(entry("ash", 5, **hidden), entry("elm", 5, **hidden))
    assert scenario.denial_reason("ash") == "suspended" and scenario["elm"].share == 2.0
    assert any("can't be read any more" in message for message in scenario.messages)
    scenario.full(entry("ash", 6, **hidden), entry("elm", 5, share=2.0))
    assert scenario.denial_reason("ash") == ""  # the entry has changed: the attribute may have been deleted


def test_losing_the_permission_for_stamps_lifts_no_suspension() -> None:
    """The account may not read the stamps any more, either. A suspension stays, and a new one that is shown
    without a stamp takes effect.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 5, True), entry("elm", 5))
    scenario.full(entry("ash", 0), entry("elm", 0, True))
    assert scenario.denial_reason("ash") == "suspended" and scenario.denial_reason("elm") == "suspended"


def test_without_stamps_only_the_same_directory_lifts_a_suspension() -> None:
    """The directories have no stamps, and two of them differ in a suspension. Only the directory that showed
    the suspension can lift it.
    """
    scenario = Scenario()
    scenario.full(entry("ash", 0))
    scenario.partial(entry("ash", 0, True), source=0)
    scenario.partial(entry("ash", 0), source=1)
    assert scenario.denial_reason("ash") == "suspended"
    scenario.partial(entry("ash", 0), source=0)
    assert scenario.denial_reason("ash") == ""


def test_a_new_map_may_parse_the_same_entry_differently() -> None:
    """The operator changes the attribute map. The same entries, with the same stamps, get the states that the
    new map gives.
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
def test_random_readings_lose_no_suspension_and_remove_no_tenant(seed: int, steps: int) -> None:
    """A directory changes while its replica is minutes behind, and readings are partial or empty, in any
    order. No suspension is lost, no entry returns to an older state, and no tenant is removed.
    """
    rng = random.Random(seed)
    scenario = Scenario()
    truth = {f"t{i:03}": (1, False) for i in range(40)}  # the master's stamp and suspension, by tenant
    history = [dict(truth)]
    latest_stamp: dict[str, int] = {}  # the latest stamp in the store, by tenant
    clock = 1
    scenario.full(*(entry(n, s, x) for n, (s, x) in truth.items()))
    for _ in range(steps):
        clock += 1
        name = rng.choice(sorted(truth))
        truth[name] = clock, rng.random() < 0.5
        history.append(dict(truth))
        kind = rng.randrange(5)
        shown = truth if kind < 3 else history[rng.randrange(len(history))]
        entries = [entry(n, s, x) for n, (s, x) in shown.items()]
        if kind == 0:
            scenario.full(*entries)
        elif kind == 1:
            scenario.partial(*rng.sample(entries, rng.randrange(len(entries))))
        elif kind == 2:
            scenario.full(*entries[: rng.randrange(10)])  # most entries are missing by mistake
        elif kind == 3:
            scenario.full(*entries, source=1)
        else:
            scenario.partial(*rng.sample(entries, rng.randrange(len(entries))), source=1)
        assert len(scenario.tenants) == 40
        for n in scenario.tenants:
            known = scenario.store.entries[f"id-{n}"].record
            assert known.stamp_us >= latest_stamp.get(n, 0)  # the state is never an older one
            latest_stamp[n] = known.stamp_us
            assert (scenario.denial_reason(n) == "suspended") == history[known.stamp_us - 1][n][1]
