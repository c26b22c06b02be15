"""A connection that does not come up is given up by what others take; its request goes elsewhere in time."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from lanelift import interface as api
from lanelift.net.upstream import HANDSHAKE_S, Endpoint, Handshakes, Upstreams
from tests.fakes import SETTINGS, deaf, run

LIMIT_S = 5.0


def test_before_any_came_up_the_limit_holds() -> None:
    assert Handshakes(LIMIT_S).patience_s(0) == LIMIT_S


@pytest.mark.parametrize(("took_s", "least_s", "most_s"), [(0.0005, 0.03, 0.03), (0.1, 0.1, 0.4)])
def test_patience_follows_what_handshakes_take(took_s: float, least_s: float, most_s: float) -> None:
    handshakes = Handshakes(LIMIT_S)
    for i in range(40):
        handshakes.took(took_s * (0.9 + 0.2 * (i % 2)))
    assert least_s <= handshakes.patience_s(0) <= most_s


def test_a_spread_that_grows_is_given_time_up_to_the_limit() -> None:
    handshakes = Handshakes(0.25)
    before = handshakes.patience_s(0)
    for took_s in (0.001, 0.02, 0.2, 0.2):
        handshakes.took(took_s)
        assert HANDSHAKE_S <= handshakes.patience_s(0) <= before


def test_a_way_that_became_long_is_given_the_whole_limit_in_the_end() -> None:
    # Only what comes up is learned from: with 30 ms for ever, an upstream 50 ms away would never be reached.
    handshakes = Handshakes(0.2)
    for _ in range(40):
        handshakes.took(0.001)
    assert [handshakes.patience_s(missed) for missed in (0, 1, 2, 3, 100)] == [0.03, 0.06, 0.12, 0.2, 0.2]


def test_each_upstream_counts_its_own_misses() -> None:
    async def test() -> None:
        limits = replace(SETTINGS.limits, connect_timeout_ns=100_000_000)
        upstreams = Upstreams(limits, 8, ())
        upstreams.handshakes.took(0.001)
        with deaf() as address:
            upstreams.learn([Endpoint(api.Upstream(i), *address) for i in (1, 2)], True)
            for _ in range(2):
                ended = asyncio.get_running_loop().create_future()
                upstreams.send(1, b"GET / HTTP/1.1\r\n\r\n", None, lambda *_, f=ended: f.set_result(None))
                await ended
            assert (upstreams.targets[1].missed, upstreams.targets[2].missed) == (2, 0)
            upstreams.close()

    run(test())


def test_what_does_not_connect_is_given_up_long_before_the_limit() -> None:
    async def test() -> None:
        upstreams = Upstreams(replace(SETTINGS.limits, connect_timeout_ns=60_000_000_000), 8, ())
        upstreams.handshakes.took(0.001)  # others came up
        ended = asyncio.get_running_loop().create_future()
        with deaf() as address:
            upstreams.learn([Endpoint(api.Upstream(1), *address)], True)
            upstreams.send(1, b"GET / HTTP/1.1\r\n\r\n", None, lambda result, *_: ended.set_result(result))
            assert await asyncio.wait_for(ended, LIMIT_S) is api.Result.CONNECT_FAILED  # and never ran
        upstreams.close()

    run(test())
