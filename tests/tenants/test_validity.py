"""The beginning and end of tenants' validity."""

from __future__ import annotations

from tests.tenants.store_scenario import Scenario, entry


def test_validity_begins_and_ends_by_the_clock() -> None:
    scenario = Scenario()
    t = scenario.now_s + 1
    scenario.full(entry("ash", valid_from_s=t + 100, valid_until_s=t + 200), entry("elm"))
    assert scenario.denial_reason("ash") == "not valid yet" and scenario.store.next_s() == t + 100
    for later, denial_reason in ((99.9, "not valid yet"), (100, ""), (199.9, ""), (200, "no longer valid")):
        scenario.now_s = t + later
        scenario.apply(scenario.store.tick(scenario.now_s))
        assert scenario.denial_reason("ash") == denial_reason
    assert scenario.store.next_s() is None


def test_frequent_changes_of_validity_do_not_fill_the_heap() -> None:
    """The end of a tenant's validity changes a thousand times. Outdated boundaries leave the heap."""
    scenario = Scenario()
    for i in range(1000):
        scenario.partial(entry("ash", i + 1, valid_until_s=scenario.now_s + 10_000 + i))
    assert len(scenario.store.validity.boundaries) < 10
