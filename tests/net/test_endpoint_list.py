"""The parsing of endpoint lists."""

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


def test_list_entries_are_parsed_and_invalid_ones_raise_an_error() -> None:
    now_ms = time.time_ns() // 1_000_000
    row = {"id": "s-5be2a07c", "addr": "127.0.0.9:8000", "state": "Ready", "started_ms": now_ms - 5000}
    first, again = read_endpoint(row), read_endpoint(row)
    assert first == again and (first.host, first.port) == ("127.0.0.9", 8000)
    # The balancer's clock is monotonic: the upstream's start is five seconds ago by that clock, too.
    assert abs(time.monotonic_ns() - first.entry.started_ns - 5 * SECOND) < SECOND
    assert read_endpoint({**row, "started_ms": 0}).entry.started_ns == 0
    # All balancers must compute the same number from an id, in this and in any later version.
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


def test_invalid_entries_of_a_list_are_logged_in_one_line_and_the_rest_is_used(
    recorded: EventRecorder, caplog: pytest.LogCaptureFixture
) -> None:
    """A list has a thousand invalid entries. They are skipped and logged in one line, and the rest is
    used.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            good = lb.upstreams[0].row()
            await lb.until_watching()
            caplog.clear()
            bad = [{**good, "id": f"b-{number}", "addr": "nowhere"} for number in range(1000)]
            full_list = {"version": 9, "full": True, "servers": [*bad, good, good, 7, {}]}
            lb.discovery.version = 9
            lb.discovery.reply = _only(
                answer(200, json.dumps(full_list, indent=4).encode()), lb.discovery.reply
            )
            lb.discovery.close_links()
            # the cached list, the first list and this list
            await recorded.until(lambda: len(recorded.of(EndpointUpdate)) == 3)
            assert {u.id for u in recorded.of(EndpointUpdate)[2].endpoints} == {upstream_number("s-0")}
            lines = [r.getMessage() for r in caplog.records if "skipped" in r.getMessage()]
            assert lines == ["discovery: entries skipped: 1002; the first: 'nowhere' is not HOST:PORT"]
            assert (await lb.request("r1")).status == 200

    run(test())


def _only(
    first: bytes, then: Callable[[Message], Awaitable[bytes | None]]
) -> Callable[[Message], Awaitable[bytes | None]]:
    """Returns a reply function that answers once with `first`, and then calls `then`."""
    left = [first]

    async def reply(message: Message) -> bytes | None:
        return left.pop() if left else await then(message)

    return reply
