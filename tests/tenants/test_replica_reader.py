"""Reading one replica."""

from __future__ import annotations

import pytest

from tests.fakes import run
from tests.tenants.town import search, sync_config, town, where
from tests.tenants.worker_fixtures import directory, reading


def test_a_directory_without_end_is_not_read_to_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """A directory shows more entries than may be stored. The reading ends there, and does not count as
    complete.
    """

    async def test() -> None:
        monkeypatch.setattr("lanelift.tenants.replica_reader.MAX_TENANTS", 10)
        tree = town(*(f"agent-{i:02d}" for i in range(40)))
        async with directory(tree) as d, reading(sync_config(where(d), search=search(5))) as (received, _):
            await received.until(lambda: received.logged("more than 10 entries"))
            assert not received.complete

    run(test())
