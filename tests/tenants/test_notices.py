"""Log messages of the tenant store."""

from __future__ import annotations

from lanelift.tenants.notices import MAX_PROBLEMS_LOGGED
from tests.tenants.store_scenario import Scenario, invalid_entry


def test_many_problems_are_counted_not_listed() -> None:
    """A reading has a hundred invalid entries. The log names the first 20 and the number of the others."""
    scenario = Scenario()
    scenario.full(*(invalid_entry(f"t{i}") for i in range(100)))
    assert len(scenario.messages) == MAX_PROBLEMS_LOGGED + 1 and "80 more entries" in scenario.messages[-1]
