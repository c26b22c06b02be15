"""How long a request waits for a connection to come up."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from lanelift.net.endpoints import ResolvedEndpoint
from lanelift.net.handshakes import MIN_HANDSHAKE_TIMEOUT_S, HandshakeEstimator
from lanelift.net.upstreams import Upstreams
from lanelift.policy.events import AttemptResult, Endpoint
from tests.fakes import FakeUpstream, deaf, run
from tests.in_process import SETTINGS

LIMIT_S = 5.0


def test_before_any_came_up_the_limit_holds() -> None:
    assert HandshakeEstimator(LIMIT_S).timeout_s == LIMIT_S


@pytest.mark.parametrize(("took_s", "least_s", "most_s"), [(0.0005, 0.03, 0.03), (0.1, 0.1, 0.4)])
def test_patience_follows_what_handshakes_take(took_s: float, least_s: float, most_s: float) -> None:
    handshakes = HandshakeEstimator(LIMIT_S)
    for i in range(40):
        handshakes.record(took_s * (0.9 + 0.2 * (i % 2)))
    assert least_s <= handshakes.timeout_s <= most_s


def test_a_spread_that_grows_is_given_time_up_to_the_limit() -> None:
    handshakes = HandshakeEstimator(0.25)
    before = handshakes.timeout_s
    for took_s in (0.001, 0.02, 0.2, 0.2):
        handshakes.record(took_s)
        assert MIN_HANDSHAKE_TIMEOUT_S <= handshakes.timeout_s <= before


@pytest.mark.usefixtures("settled")
def test_an_upstream_that_moved_further_away_is_learned_and_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """An upstream's handshakes suddenly take longer than a request waits for one. Were a handshake ended
    with its request's wait, nothing would be learned, and the upstream never be reached. It goes on, its
    time is learned from, and its connection serves the next request.
    """

    # Were a handshake ended with its request's patience, nothing would be learned, and it never be reached.
    async def test() -> None:
        loop = asyncio.get_running_loop()
        connect, open_way = loop.create_connection, asyncio.Event()

        async def far(*args: Any, **more: Any) -> Any:
            await open_way.wait()
            return await connect(*args, **more)

        monkeypatch.setattr(loop, "create_connection", far)
        box = FakeUpstream("s-1")
        await box.start()
        upstreams = Upstreams(replace(SETTINGS.limits, connect_timeout_ns=60_000_000_000), 8, ())
        upstreams.pool.handshakes.record(0.001)
        upstreams.pool.update_endpoints([ResolvedEndpoint(Endpoint(1), "127.0.0.1", box.port)], True)
        results: asyncio.Queue[AttemptResult] = asyncio.Queue()
        request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        upstreams.start_attempt(1, request, None, lambda result, *_: results.put_nowait(result))
        assert await results.get() is AttemptResult.CONNECT_FAILED
        assert upstreams.pool.open_connections == 1  # it still comes
        open_way.set()
        await asyncio.gather(*upstreams.pool.connect_tasks)
        assert upstreams.pool.handshakes.mean_s is not None and upstreams.pool.handshakes.mean_s > 0.001
        assert len(upstreams.pool.targets[1].idle) == 1 and not box.seen  # and nothing was sent on it
        upstreams.start_attempt(1, request, None, lambda result, *_: results.put_nowait(result))
        assert await results.get() is AttemptResult.OK
        assert upstreams.pool.open_connections == 1
        upstreams.close()
        box.stop()

    run(test())


def test_what_does_not_connect_is_given_up_long_before_the_limit() -> None:
    """A handshake is not answered where others came up within milliseconds. Its request goes elsewhere long
    before the settings' limit.
    """

    async def test() -> None:
        upstreams = Upstreams(replace(SETTINGS.limits, connect_timeout_ns=60_000_000_000), 8, ())
        upstreams.pool.handshakes.record(0.001)  # others came up
        ended = asyncio.get_running_loop().create_future()
        with deaf() as address:
            upstreams.pool.update_endpoints([ResolvedEndpoint(Endpoint(1), *address)], True)
            upstreams.start_attempt(
                1, b"GET / HTTP/1.1\r\n\r\n", None, lambda result, *_: ended.set_result(result)
            )
            assert await asyncio.wait_for(ended, LIMIT_S) is AttemptResult.CONNECT_FAILED  # and never ran
        upstreams.close()

    run(test())
