"""Which connection a request gets."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import replace

import pytest

from lanelift.net import connection_pool
from lanelift.net.endpoint_list import read_endpoint, upstream_number
from lanelift.net.http_messages import encode_message
from lanelift.net.upstreams import Upstreams
from lanelift.policy.actions import Action, StartAttempt
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    Event,
    RequestArrived,
)
from tests.fakes import SECOND, TEST_S, FakeUpstream, answer, never, run
from tests.in_process import SETTINGS, EventRecorder, ScriptedBalancer, in_process_balancer, script_balancer
from tests.net.support import PATIENT, Gate, R, to_first_then_second


@pytest.mark.parametrize("state", ["Terminating", "Gone"])
def test_a_request_that_waits_for_a_connection_to_what_drains_goes_elsewhere(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, state: str
) -> None:
    """Discovery says that an upstream drains while a request waits for a connection to it. Its handshake
    would take the request past the drain's grace, so it goes elsewhere.
    """
    to_first_then_second(monkeypatch, recorded)

    async def test() -> None:
        async with in_process_balancer(2, settings=PATIENT) as w:
            first, second = w.upstreams
            gate = Gate(first)
            client = await w.client()
            client.send("r1")
            await gate.reached.wait()
            await w.tell(first.row(state))
            gate.open.set()
            assert (await client.answer()).body == second.name.encode()
            assert not first.seen and recorded.results() == [R.NOT_SENT, R.OK]

    run(test())


@pytest.mark.usefixtures("settled")
@pytest.mark.parametrize("comes", ["end", "noise"])
def test_a_connection_to_which_something_came_in_the_turn_in_which_it_is_taken_is_not_used(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, comes: str
) -> None:
    """An idle connection ends, or noise comes on it, in the same turn of the loop in which a request takes
    it. The loop has not read that yet. A request written there is lost, and may not be sent again. The
    kernel is asked first, and another connection is used.
    """

    async def test() -> None:
        async with in_process_balancer(settings=PATIENT) as w:
            box = w.upstreams[0]

            def acts(event: Event, to: int) -> list[Action]:
                if not isinstance(event, RequestArrived):
                    return []
                if event.request == "r2":
                    transport = box.links[0].transport
                    assert transport is not None
                    if comes == "end":
                        transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
                    else:
                        transport.write(b"x" * 200)  # at once: its buffer is empty
                return [StartAttempt(event.request, to)]

            monkeypatch.setattr(
                ScriptedBalancer, "acts", staticmethod(lambda event: acts(event, upstream_number("s-0")))
            )
            assert (await w.request("r1", "pay", "POST", b"x")).status == 200
            assert (await w.request("r2", "pay", "POST", b"x")).status == 200
            assert [m.link for m in box.seen] == [1, 2] and recorded.results() == [R.OK, R.OK]

    script_balancer(monkeypatch, recorded, lambda event, to: [])
    run(test())


@pytest.mark.parametrize(
    ("slow", "kind", "method", "links"),
    [
        (True, "quote", "GET", [1, 1, 2]),  # used at once, as another answer can be asked for
        (False, "quote", "GET", [1, 2]),
        (True, "pay", "POST", [1, 2]),
    ],
)
def test_a_second_answer_that_comes_late_answers_no_other_request(
    monkeypatch: pytest.MonkeyPatch,
    recorded: EventRecorder,
    slow: bool,
    kind: str,
    method: str,
    links: list[int],
) -> None:
    """An upstream sends a second response behind its first, when the next request is under way on the same
    connection. Only time tells it from that one's response. A connection that has not settled is used for
    idempotent requests only, and what comes on it too soon is not believed.
    """
    assert connection_pool.SETTLE_S >= 0.01  # some milliseconds, with room
    monkeypatch.setattr(connection_pool, "SETTLE_S", TEST_S)  # however slow the machine is
    monkeypatch.setattr(connection_pool, "MIN_RESPONSE_TO_SETTLE_RATIO", 0 if slow else 1)

    def acts(event: Event, to: int) -> list[Action]:
        if isinstance(event, RequestArrived) or (
            isinstance(event, AttemptFinished) and not event.request_complete
        ):
            return [StartAttempt(event.request, to)]
        return []

    script_balancer(monkeypatch, recorded, acts)

    async def test() -> None:
        async with in_process_balancer(settings=PATIENT) as w:
            box = w.upstreams[0]

            async def behind_the_first_s() -> bytes | None:
                box.links[0].write(answer(200, b"again"))
                return await never() if slow and method == "GET" else answer(200, b"second")

            box.script = [answer(200, b"first"), behind_the_first_s, answer(200, b"second")]
            assert (await w.request("r1")).body == b"first"
            assert (await w.request("r2", kind, method, b"x" if method == "POST" else b"")).body == b"second"
            assert [m.link for m in box.seen] == links

    run(test())


@pytest.mark.usefixtures("settled")
def test_connections_are_kept_and_a_stale_one_is_not_used(recorded: EventRecorder) -> None:
    """An upstream closes an idle connection. The next request is not written to it, but to a new one."""

    async def test() -> None:
        async with in_process_balancer() as w:
            upstream = w.upstreams[0]
            for name in ("r1", "r2"):
                assert (await w.request(name)).status == 200
            assert [m.link for m in upstream.seen] == [1, 1]
            upstream.close_links()
            await upstream.until(lambda: upstream.ended == 1)
            assert (await w.request("r3")).status == 200
            assert upstream.seen[-1].link == 2
            assert recorded.results() == [AttemptResult.OK] * 3

    run(test())


def test_idle_connections_go_before_the_upstream_closes_them() -> None:
    """Upstreams close connections that were idle for a while, and a request that crosses that may have run.
    So they are closed here before.
    """

    async def test() -> None:
        limits = replace(SETTINGS.limits, upstream_idle_timeout_ns=SECOND // 5)
        async with in_process_balancer(settings=replace(SETTINGS, limits=limits)) as w:
            assert (await w.request("r1")).status == 200
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)

    run(test())


@pytest.mark.parametrize("change", ["drain", "restart", "gone"])
def test_what_drains_restarts_or_goes_loses_its_idle_connections(change: str) -> None:
    """An upstream drains, restarts or is removed. Its idle connections lead to a process that must get
    nothing new, so they are closed at once.
    """

    async def test() -> None:
        async with in_process_balancer(2) as w:
            upstream, other = w.upstreams
            while not upstream.seen:  # the module picks at random
                assert (await w.request(f"r{len(other.seen)}")).status == 200
            row = {
                "drain": upstream.row("Terminating"),
                "gone": upstream.row("Gone"),
                "restart": upstream.row("Ready", int(time.time() * 1000)),
            }[change]
            await w.tell(row)
            await upstream.until(lambda: upstream.ended == len(upstream.links))
            count = len(upstream.seen)
            for number in range(8):
                assert (await w.request(f"n{number}")).status == 200
            assert change == "restart" or len(upstream.seen) == count

    run(test())


def test_with_no_connection_to_spare_no_upstream_is_blamed() -> None:
    """All connections that may be open are in use. A request that finds none is not sent, and no upstream
    is blamed for it.
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
