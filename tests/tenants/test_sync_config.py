"""Configuration of the sync process."""

from __future__ import annotations

from lanelift.standins.directory import Directory
from lanelift.tenants.sync_config import SyncConfig, changed_since
from tests.tenants.town import MAP, at, directory_config, search, sync_config, town


def test_a_configuration_round_trips_through_json() -> None:
    given = sync_config(directory_config(Directory(town())), confirmed=frozenset({"0a0b0c0d"}))
    assert SyncConfig.from_json(given.to_json()) == given


def test_the_filter_for_changes_has_a_generalized_time() -> None:
    text = changed_since(search(), MAP, 1_796_117_400_000_000).filter
    assert text == f"(&(objectClass=agent)(modifyTimestamp>={at(9 * 3600 + 1800)}))"
