"""What the sync process is told to read."""

from __future__ import annotations

from lanelift.standins.directory import Directory
from lanelift.tenants.sync_config import SyncConfig, changed_since
from tests.tenants.town import MAP, at, search, sync_config, town, where


def test_a_configuration_survives_its_json() -> None:
    given = sync_config(where(Directory(town())), confirmed=frozenset({"0a0b0c0d"}))
    assert SyncConfig.from_json(given.to_json()) == given


def test_times_in_a_filter() -> None:
    text = changed_since(search(), MAP, 1_796_117_400_000_000).filter
    assert text == f"(&(objectClass=agent)(modifyTimestamp>={at(9 * 3600 + 1800)}))"
