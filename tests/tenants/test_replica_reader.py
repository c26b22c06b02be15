"""Readings of one replica."""

from __future__ import annotations

import pytest

from tests.fakes import run
from tests.tenants.town import directory_config, search, sync_config, town
from tests.tenants.worker_fixtures import directory, running_worker


def test_a_reading_ends_at_the_maximum_number_of_entries(monkeypatch: pytest.MonkeyPatch) -> None:
    """A directory has more entries than can be stored. The reading ends at the limit, and is not complete."""

    async def test() -> None:
        monkeypatch.setattr("lanelift.tenants.replica_reader.MAX_TENANTS", 10)
        tree = town(*(f"agent-{i:02d}" for i in range(40)))
        async with (
            directory(tree) as d,
            running_worker(sync_config(directory_config(d), search=search(5))) as (received, _),
        ):
            await received.until(lambda: received.logged("more than 10 entries"))
            assert not received.complete

    run(test())
