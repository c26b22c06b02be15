"""What the tenant store logs."""

from __future__ import annotations

from lanelift.tenants.notices import MAX_PROBLEMS_LOGGED
from tests.tenants.store_scenario import Scenario, invalid_entry


def test_many_problems_are_counted_not_listed() -> None:
    """A hundred entries are invalid at once. The log names the first 20 and how many more there are."""
    scenario = Scenario()
    scenario.full(*(invalid_entry(f"t{i}") for i in range(100)))
    assert len(scenario.notes) == MAX_PROBLEMS_LOGGED + 1 and "80 more entries" in scenario.notes[-1]
