"""A new process at the address of an upstream that has gone is not taken for the old one."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

import pytest

from tests.fakes import answer, run
from tests.robustness.support import SETTINGS, Call, Upstream, ask, daemon, head

NEW_REQUESTS = 60


class NamedHandler:
    """Counts the requests of the upstream with this name."""

    def __init__(self, name: str, served: Counter[str]) -> None:
        self.name, self.served = name, served

    async def __call__(self, call: Call) -> None:
        self.served[self.name] += 1
        await asyncio.sleep(0.005)
        await call.write(answer(200, self.name.encode()))


@pytest.mark.parametrize("whole_list", [False, True])
@pytest.mark.parametrize("old_state", ["Ready", "Terminating"])
def test_an_upstream_at_the_address_of_an_older_one_starts_slowly(
    tmp_path: Path, old_state: str, whole_list: bool
) -> None:
    """The list names a new upstream at the address of an old one, which it still names: requests for the old
    one reach the new process, which is cold."""
    served = Counter[str]()
    settings = {
        **SETTINGS,
        "rules": {"cold_from": 0.31, "cold_ns": 8_700_000_000, "fall_multiple": 2.5},
    }

    async def test() -> None:
        old = Upstream("s-old", NamedHandler("old", served))
        others = [Upstream(f"s-{i}", NamedHandler("other", served)) for i in range(3)]
        async with daemon(tmp_path, [old, *others], settings=settings) as balancer:
            for number in range(20):
                await ask(balancer.address, head(f"before-{number}"))
            old.stop()
            new = Upstream("s-new", NamedHandler("new", served))
            await new.start(old.port)
            started_ms = int(time.time() * 1000)
            balancer.discovery.change(old.row(old_state), new.row(started_ms=started_ms))
            await asyncio.sleep(0.2)
            served.clear()
            answers = [await ask(balancer.address, head(f"after-{number}")) for number in range(NEW_REQUESTS)]
            new.stop()
            assert {got.status for got in answers} == {200}
            # three others are warm: the cold one gets less than an equal share
            assert served["new"] < NEW_REQUESTS / 4, served
            assert "s-old" not in balancer.log or "replaced" in balancer.log

    run(test())
