"""The choice of the connection for a request, and the closing of idle connections."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import replace

import pytest

from lanelift.net.endpoint_list import read_endpoint, upstream_number
from lanelift.net.http_messages import encode_message
from lanelift.net.upstreams import Upstreams
from lanelift.policy import connection_reuse
from lanelift.policy.actions import Action, StartAttempt
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    Event,
    RequestArrived,
)
from tests.fakes import MS, SECOND, TEST_S, FakeUpstream, answer, never, run
from tests.in_process import SETTINGS, EventRecorder, ScriptedBalancer, in_process_balancer, script_balancer
from tests.net.support import NO_CANCEL, Gate, R, retry_on_second_upstream


@pytest.mark.parametrize("state", ["Terminating", "Gone"])
def test_a_request_that_waits_for_a_connection_to_a_draining_upstream_goes_elsewhere(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, state: str
) -> None:
    """Discovery reports that an upstream drains while a request waits for a connection to it. The handshake
    could outlast the drain's grace period, so the request goes to another upstream.
    """
    retry_on_second_upstream(monkeypatch, recorded)

    async def test() -> None:
        async with in_process_balancer(2, settings=NO_CANCEL) as lb:
            first, second = lb.upstreams
            gate = Gate(first)
            client = await lb.client()
            client.send("r1")
            await gate.reached.wait()
            await lb.change_endpoints(first.row(state))
            gate.open.set()
            assert (await client.answer()).body == second.name.encode()
            assert not first.seen and recorded.results() == [R.NOT_SENT, R.OK]

    run(test())


@pytest.mark.usefixtures("settled")
@pytest.mark.parametrize("unread", ["end", "noise"])
def test_an_idle_connection_with_an_unread_end_or_data_is_not_used(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, unread: str
) -> None:
    """An idle connection ends, or receives noise, in the same loop iteration in which the pool takes the
    connection for a request. The loop has not read the end or the noise yet. A request that is written to
    this connection would be lost, and might be one that must not be repeated. So the kernel is queried first,
    and another connection is used.
    """

    async def test() -> None:
        async with in_process_balancer(settings=NO_CANCEL) as lb:
            upstream = lb.upstreams[0]

            def acts(event: Event, to: int) -> list[Action]:
                if not isinstance(event, RequestArrived):
                    return []
                if event.request == "r2":
                    transport = upstream.links[0].transport
                    assert transport is not None
                    if unread == "end":
                        transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
                    else:
                        transport.write(b"x" * 200)  # sent immediately, as the write buffer is empty
                return [StartAttempt(event.request, to)]

            monkeypatch.setattr(
                ScriptedBalancer, "acts", staticmethod(lambda event: acts(event, upstream_number("s-0")))
            )
            assert (await lb.request("r1", "pay", "POST", b"x")).status == 200
            assert (await lb.request("r2", "pay", "POST", b"x")).status == 200
            assert [m.link for m in upstream.seen] == [1, 2] and recorded.results() == [R.OK, R.OK]

    script_balancer(monkeypatch, recorded, lambda event, to: [])
    run(test())


@pytest.mark.parametrize(
    ("slow", "kind", "method", "links"),
    [
        (True, "quote", "GET", [1, 1, 2]),  # reused immediately, as the request can be repeated
        (False, "quote", "GET", [1, 2]),
        (True, "pay", "POST", [1, 2]),
    ],
)
def test_a_late_second_response_answers_no_other_request(
    monkeypatch: pytest.MonkeyPatch,
    recorded: EventRecorder,
    slow: bool,
    kind: str,
    method: str,
    links: list[int],
) -> None:
    """An upstream sends a second response after its first, while the next request is in progress on the same
    connection. Only the time of its arrival distinguishes the second response from that request's response. A
    connection that has not settled is used only for GET requests and load probes, and bytes that come on it
    too early are not accepted.
    """
    # a second response comes within milliseconds; this time leaves a margin
    assert connection_reuse.SETTLE_NS >= 10 * MS
    # a time longer than the test takes on any machine
    monkeypatch.setattr(connection_reuse, "SETTLE_NS", int(TEST_S * SECOND))
    monkeypatch.setattr(connection_reuse, "MIN_SLOW_RESPONSES", 0 if slow else 64)

    def acts(event: Event, to: int) -> list[Action]:
        if isinstance(event, RequestArrived) or (
            isinstance(event, AttemptFinished) and not event.request_complete
        ):
            return [StartAttempt(event.request, to)]
        return []

    script_balancer(monkeypatch, recorded, acts)

    async def test() -> None:
        async with in_process_balancer(settings=NO_CANCEL) as lb:
            upstream = lb.upstreams[0]

            async def second_response_to_r1() -> bytes | None:
                upstream.links[0].write(answer(200, b"again"))
                return await never() if slow and method == "GET" else answer(200, b"second")

            upstream.script = [answer(200, b"first"), second_response_to_r1, answer(200, b"second")]
            assert (await lb.request("r1")).body == b"first"
            assert (await lb.request("r2", kind, method, b"x" if method == "POST" else b"")).body == b"second"
            assert [m.link for m in upstream.seen] == links

    run(test())


@pytest.mark.usefixtures("settled")
def test_connections_are_kept_and_a_stale_one_is_not_used(recorded: EventRecorder) -> None:
    """An upstream closes an idle connection. The next request is written to a new connection, not to the
    closed one.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            upstream = lb.upstreams[0]
            for name in ("r1", "r2"):
                assert (await lb.request(name)).status == 200
            assert [m.link for m in upstream.seen] == [1, 1]
            upstream.close_links()
            await upstream.until(lambda: upstream.ended == 1)
            assert (await lb.request("r3")).status == 200
            assert upstream.seen[-1].link == 2
            assert recorded.results() == [AttemptResult.OK] * 3

    run(test())


def test_idle_connections_are_closed_before_the_upstream_closes_them() -> None:
    """Upstreams close connections that were idle for a while, and a request that is sent at that moment may
    have run. So the balancer closes idle connections earlier.
    """

    async def test() -> None:
        limits = replace(SETTINGS.limits, upstream_idle_timeout_ns=SECOND // 5)
        async with in_process_balancer(settings=replace(SETTINGS, limits=limits)) as lb:
            assert (await lb.request("r1")).status == 200
            await lb.upstreams[0].until(lambda: lb.upstreams[0].ended == 1)

    run(test())


@pytest.mark.parametrize("change", ["drain", "restart", "gone"])
def test_idle_connections_to_a_drained_restarted_or_removed_upstream_are_closed(change: str) -> None:
    """An upstream drains, restarts or is removed. Its idle connections lead to a process that must not get
    new requests, so they are closed immediately.
    """

    async def test() -> None:
        async with in_process_balancer(2) as lb:
            upstream, other = lb.upstreams
            other.script = [never]
            held = await lb.client()
            held.send("held")  # where it keeps `other` busy, the next requests go to `upstream`
            await asyncio.sleep(0.02)
            while not upstream.seen:  # the balancer picks an upstream at random
                assert (await lb.request(f"r{len(other.seen)}")).status == 200
            row = {
                "drain": upstream.row("Terminating"),
                "gone": upstream.row("Gone"),
                "restart": upstream.row("Ready", int(time.time() * 1000)),
            }[change]
            await lb.change_endpoints(row)
            await upstream.until(lambda: upstream.ended == len(upstream.links))
            count = len(upstream.seen)
            for number in range(8):
                assert (await lb.request(f"n{number}")).status == 200
            assert change == "restart" or len(upstream.seen) == count
            held.close()

    run(test())


def test_no_upstream_is_blamed_when_the_cap_on_connections_is_reached() -> None:
    """The number of connections is at its cap, and all connections are in use. The next request is not sent,
    and no upstream is blamed for it.
    """

    async def test() -> None:
        upstream = FakeUpstream("s-0")
        upstream.script = [never]
        await upstream.start()
        upstreams = Upstreams(SETTINGS.limits, 1, ())
        upstreams.pool.update_endpoints([read_endpoint(upstream.row())], is_snapshot=True)
        ended: asyncio.Queue[AttemptResult] = asyncio.Queue()
        request = encode_message(b"GET /quote HTTP/1.1", [(b"Host", b"h")])
        for seconds in (0.3, 5.0):
            upstreams.start_attempt(
                upstream_number("s-0"), request, seconds, lambda result, *rest: ended.put_nowait(result)
            )
        assert [await ended.get(), await ended.get()] == [AttemptResult.NOT_SENT, AttemptResult.TIMEOUT]
        upstreams.close()
        upstream.stop()

    run(test())
