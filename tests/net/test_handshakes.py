"""The time-out of handshakes."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from typing import Any

import pytest

from lanelift.net.endpoints import ResolvedEndpoint
from lanelift.net.handshakes import MIN_HANDSHAKE_TIMEOUT_S, HandshakeEstimator
from lanelift.net.upstreams import Upstreams
from lanelift.policy.events import AttemptResult, Endpoint
from tests.fakes import FakeUpstream, run, unresponsive_listener
from tests.in_process import SETTINGS

LIMIT_S = 5.0


def test_without_a_measurement_the_timeout_is_the_limit() -> None:
    assert HandshakeEstimator(LIMIT_S).timeout_s == LIMIT_S


@pytest.mark.parametrize(("took_s", "least_s", "most_s"), [(0.0005, 0.03, 0.03), (0.1, 0.1, 0.4)])
def test_the_timeout_follows_the_measured_handshakes(took_s: float, least_s: float, most_s: float) -> None:
    handshakes = HandshakeEstimator(LIMIT_S)
    for i in range(40):
        handshakes.record(took_s * (0.9 + 0.2 * (i % 2)))
    assert least_s <= handshakes.timeout_s <= most_s


def test_a_growing_deviation_raises_the_timeout_up_to_the_limit() -> None:
    handshakes = HandshakeEstimator(0.25)
    before = handshakes.timeout_s
    for took_s in (0.001, 0.02, 0.2, 0.2):
        handshakes.record(took_s)
        assert MIN_HANDSHAKE_TIMEOUT_S <= handshakes.timeout_s <= before


@pytest.mark.usefixtures("settled")
def test_a_late_handshake_is_recorded_and_its_connection_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """An upstream's handshakes suddenly take longer than a request waits for one. If the handshake were
    cancelled when its request stops waiting, its duration would not be recorded, and the upstream would
    never be reached. So the handshake continues, its duration is recorded, and its connection serves the next
    request.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        connect, may_connect = loop.create_connection, asyncio.Event()

        async def delayed_connect(*args: Any, **more: Any) -> Any:
            await may_connect.wait()
            return await connect(*args, **more)

        monkeypatch.setattr(loop, "create_connection", delayed_connect)
        upstream = FakeUpstream("s-1")
        await upstream.start()
        upstreams = Upstreams(replace(SETTINGS.limits, connect_timeout_ns=60_000_000_000), 8, ())
        upstreams.pool.handshakes.record(0.001)
        upstreams.pool.update_endpoints([ResolvedEndpoint(Endpoint(1), "127.0.0.1", upstream.port)], True)
        results: asyncio.Queue[AttemptResult] = asyncio.Queue()
        request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        upstreams.start_attempt(1, request, None, lambda result, *_: results.put_nowait(result))
        assert await results.get() is AttemptResult.CONNECT_FAILED
        assert upstreams.pool.open_connections == 1  # the handshake is still in progress
        may_connect.set()
        await asyncio.gather(*upstreams.pool.connect_tasks)
        assert upstreams.pool.handshakes.mean_s is not None and upstreams.pool.handshakes.mean_s > 0.001
        # nothing was sent on this connection
        assert len(upstreams.pool.targets[1].idle) == 1 and not upstream.seen
        upstreams.start_attempt(1, request, None, lambda result, *_: results.put_nowait(result))
        assert await results.get() is AttemptResult.OK
        assert upstreams.pool.open_connections == 1
        upstreams.close()
        upstream.stop()

    run(test())


def test_an_unanswered_handshake_is_given_up_long_before_the_limit() -> None:
    """A handshake is not answered, while earlier handshakes took milliseconds. Its request goes to another
    upstream long before the limit in the settings.
    """

    async def test() -> None:
        upstreams = Upstreams(replace(SETTINGS.limits, connect_timeout_ns=60_000_000_000), 8, ())
        upstreams.pool.handshakes.record(0.001)  # the duration of an earlier handshake
        ended = asyncio.get_running_loop().create_future()
        with unresponsive_listener() as address:
            upstreams.pool.update_endpoints([ResolvedEndpoint(Endpoint(1), *address)], True)
            upstreams.start_attempt(
                1, b"GET / HTTP/1.1\r\n\r\n", None, lambda result, *_: ended.set_result(result)
            )
            # the request never ran
            assert await asyncio.wait_for(ended, LIMIT_S) is AttemptResult.CONNECT_FAILED
        upstreams.close()

    run(test())


@pytest.mark.parametrize("stopped_s", [0.05, 0.15])
def test_a_handshake_is_not_given_up_while_this_process_was_stopped(
    monkeypatch: pytest.MonkeyPatch, stopped_s: float
) -> None:
    """The process is stopped during a handshake, for longer than the handshake's time-out. The upstream has
    accepted the connection meanwhile. The request was refused where no further attempt was allowed.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def connect_and_stop(*args: Any, **more: Any) -> Any:
            connecting = asyncio.ensure_future(connect(*args, **more))
            await asyncio.sleep(0)  # the kernel establishes the connection while the process is stopped
            time.sleep(stopped_s)
            return await connecting

        upstream = FakeUpstream("s-1")
        await upstream.start()
        upstreams = Upstreams(replace(SETTINGS.limits, connect_timeout_ns=60_000_000_000), 8, ())
        upstreams.pool.handshakes.record(0.001)
        upstreams.pool.update_endpoints([ResolvedEndpoint(Endpoint(1), "127.0.0.1", upstream.port)], True)
        monkeypatch.setattr(loop, "create_connection", connect_and_stop)
        ended: asyncio.Future[AttemptResult] = loop.create_future()
        upstreams.start_attempt(
            1, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", None, lambda result, *_: ended.set_result(result)
        )
        assert await asyncio.wait_for(ended, LIMIT_S) is AttemptResult.OK
        upstreams.close()
        upstream.stop()

    run(test())
