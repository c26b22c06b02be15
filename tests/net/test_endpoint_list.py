"""An endpoint list's entries."""

from __future__ import annotations

import json
import time
from collections.abc import Awaitable, Callable

import pytest

from lanelift.net.addresses import split_address
from lanelift.net.endpoint_list import read_endpoint, upstream_number
from lanelift.policy.events import (
    EndpointUpdate,
)
from lanelift.settings import SettingsError
from tests.fakes import SECOND, Message, answer, run
from tests.in_process import EventRecorder, in_process_balancer


def test_a_list_entry() -> None:
    now_ms = time.time_ns() // 1_000_000
    row = {"id": "s-5be2a07c", "addr": "127.0.0.9:8000", "state": "Ready", "started_ms": now_ms - 5000}
    first, again = read_endpoint(row), read_endpoint(row)
    assert first == again and (first.host, first.port) == ("127.0.0.9", 8000)
    # The module's clock is monotonic: five seconds ago by it, too.
    assert abs(time.monotonic_ns() - first.entry.started_ns - 5 * SECOND) < SECOND
    assert read_endpoint({**row, "started_ms": 0}).entry.started_ns == 0
    # Balancers must compute the same number, now and in any later version.
    assert upstream_number("s-5be2a07c") == first.entry.id == 9587356208999800076
    odd = [{**row, key: value} for key in ("started_ms", "weight") for value in (float("inf"), float("nan"))]
    addresses = [{**row, "addr": text} for text in ("nowhere", "a.host:80", "127.0.0.1:99999")]
    for bad in (
        *odd,
        *addresses,
        {**row, "started_ms": -1},
        {**row, "state": "Odd"},
        {"addr": "127.0.0.1:1"},
        7,
    ):
        with pytest.raises(SettingsError):
            read_endpoint(bad)
    assert split_address("[::1]:80") == ("::1", 80)


def test_a_list_with_entries_that_cannot_be_read_is_one_line_and_the_rest_is_used(
    recorded: EventRecorder, caplog: pytest.LogCaptureFixture
) -> None:
    """A list has a thousand entries that can't be read. They are skipped and logged in one line, and the
    rest is used.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            good = w.upstreams[0].row()
            await w.watching()
            caplog.clear()
            bad = [{**good, "id": f"b-{number}", "addr": "nowhere"} for number in range(1000)]
            told = {"version": 9, "full": True, "servers": [*bad, good, good, 7, {}]}
            w.discovery.version = 9
            w.discovery.reply = _only(answer(200, json.dumps(told, indent=4).encode()), w.discovery.reply)
            w.discovery.close_links()
            await recorded.until(lambda: len(recorded.of(EndpointUpdate)) == 3)  # as last known, one, this
            assert {u.id for u in recorded.of(EndpointUpdate)[2].endpoints} == {upstream_number("s-0")}
            lines = [r.getMessage() for r in caplog.records if "skipped" in r.getMessage()]
            assert lines == ["discovery: entries skipped: 1002; the first: 'nowhere' is not HOST:PORT"]
            assert (await w.request("r1")).status == 200

    run(test())


def _only(
    first: bytes, then: Callable[[Message], Awaitable[bytes | None]]
) -> Callable[[Message], Awaitable[bytes | None]]:
    """Answers once with this, and then as before."""
    left = [first]

    async def reply(message: Message) -> bytes | None:
        return left.pop() if left else await then(message)

    return reply
