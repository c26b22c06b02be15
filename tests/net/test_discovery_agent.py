"""An agent that pushes changes: its silence, its return, and its start."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

import pytest

from lanelift.net import discovery
from lanelift.net.dispatch import Dispatcher
from lanelift.net.upstreams import Upstreams
from lanelift.policy.events import (
    EndpointState,
    EndpointUpdate,
)
from tests.fakes import TEST_S, Message, answer, never, run
from tests.in_process import SETTINGS, EventRecorder, in_process_balancer


def test_agents_that_fail_are_called_often_and_not_in_step() -> None:
    """The agents of all balancers fail at once. Each balancer calls the agent of its own machine often
    enough to notice a return within a drain's grace, and they do not all call in step.
    """
    waits: list[list[float]] = []

    async def test() -> None:
        async def fails() -> None:
            raise discovery.DiscoveryError("down")

        async def sleeps(seconds: float) -> None:
            waits[-1].append(seconds)
            if len(waits[-1]) == 12:
                raise asyncio.CancelledError

        for seed in range(40):
            waits.append([])
            watcher = discovery.Discovery(
                Dispatcher(SETTINGS, 1, Upstreams(SETTINGS.limits, 1, ())), ("127.0.0.1", 1), seed
            )
            watcher._call_anew = fails  # type: ignore[method-assign, assignment]
            with pytest.MonkeyPatch.context() as patch, suppress(asyncio.CancelledError):
                patch.setattr(asyncio, "sleep", sleeps)
                await watcher._watch()

    run(test())
    assert 2 * discovery.RETRY_INTERVAL_S <= 0.5  # of a drain's grace: one call that is lost, and the next
    for turn in range(12):
        drawn = sorted(each[turn] for each in waits)
        assert drawn[0] > 0.3 * discovery.RETRY_INTERVAL_S and drawn[-1] <= discovery.RETRY_INTERVAL_S
        assert drawn[-1] - drawn[0] > 0.3 * discovery.RETRY_INTERVAL_S
    assert discovery.SNAPSHOT_TIMEOUT_S + discovery.RETRY_INTERVAL_S < 6


def test_a_call_that_came_while_discovery_was_down_is_not_waited_for_at_its_return(
    recorded: EventRecorder,
) -> None:
    """An agent is silent in an outage, and never answers the calls that came then. Calls made after its
    return are answered at once, and one is made soon.
    """

    async def test() -> None:
        async with in_process_balancer(2) as w:
            await w.watching()
            tell, lost, back = w.discovery.reply, asyncio.Event(), False

            async def reply(message: Message) -> bytes | None:
                if back:
                    return await tell(message)
                lost.set()
                return await never()

            w.discovery.reply = reply
            w.discovery.close_links()
            await lost.wait()
            w.discovery.change(w.upstreams[0].row("Terminating"))
            back = True
            back_s = asyncio.get_running_loop().time()
            await recorded.until(
                lambda: any(
                    u.state is EndpointState.DRAINING
                    for e in recorded.of(EndpointUpdate)
                    for u in e.endpoints
                )
            )
            assert asyncio.get_running_loop().time() - back_s < 0.5  # the least grace of a drain

    run(test())


def test_calls_to_a_silent_agent_are_few_at_once_and_one_that_is_answered_late_counts(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """An agent stays silent for long. Calls to it are repeated, but only a few are open at once, and one
    that is answered late counts.
    """
    monkeypatch.setattr(discovery, "RETRY_INTERVAL_S", 0.02)

    async def test() -> None:
        async with in_process_balancer() as w:
            await w.watching()
            late, told = asyncio.Event(), [e.kind for e in recorded.of(EndpointUpdate)]

            async def reply(message: Message) -> bytes | None:
                await late.wait()
                return answer(200, json.dumps(w.discovery.snapshot()).encode())

            w.discovery.reply = reply
            before = len(w.discovery.links)
            w.discovery.close_links()
            await w.discovery.until(
                lambda: len(w.discovery.links) - before >= 3 * discovery.MAX_PARALLEL_CALLS
            )
            # Ends of those let go are under way.
            assert len(w.discovery.connections) <= discovery.MAX_PARALLEL_CALLS + 2
            late.set()
            await recorded.until(lambda: len(recorded.of(EndpointUpdate)) > len(told))
            await w.discovery.until(lambda: len(w.discovery.connections) == 1)

    run(test())


def test_a_start_sends_nothing_by_an_old_list_that_its_agent_knows_better(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A balancer starts with a cached list, and its agent knows of a drain. What the agent has counts as
    notified from the process's first moment on, whatever versions it counts. Nothing is sent before the
    agent has been asked.
    """
    monkeypatch.setattr(discovery, "START_TIMEOUT_S", TEST_S)

    async def test() -> None:
        async with in_process_balancer(2) as w:
            drains, stays = w.upstreams
            told = asyncio.Event()
            reply = w.discovery.reply

            async def slow(message: Message) -> bytes | None:
                await told.wait()
                return await reply(message)

            w.discovery.reply = slow
            w.discovery.rows = [drains.row("Terminating"), stays.row()]
            client = await w.client()
            client.send("r1")
            await w.discovery.until(lambda: w.discovery.seen)
            for _ in range(100):
                await asyncio.sleep(0)  # turns of the loop in which it could go to either
            assert not drains.seen and not stays.seen
            told.set()
            assert (await client.answer()).body == stays.name.encode()
            assert not drains.seen

    known = {"version": 50, "full": True, "servers": []}

    async def counted_otherwise() -> None:
        async with in_process_balancer(cached_endpoints=known) as w:
            assert (await w.request("r1")).body == w.upstreams[0].name.encode()

    run(test())
    run(counted_otherwise())


def test_a_watch_of_an_agent_that_is_reset_is_opened_anew_at_once(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """The connection of a watch that has worked is reset. What the agent has counts as notified, whether or
    not a watch is open, so it is opened anew without a pause.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            await w.watching()
            monkeypatch.setattr(discovery, "RETRY_INTERVAL_S", 1e6)
            await w.tell(w.upstreams[0].row())  # the watch has been answered once
            w.discovery.close_links()
            w.discovery.change(w.upstreams[0].row("Terminating"))
            await recorded.until(
                lambda: any(
                    u.state is EndpointState.DRAINING
                    for e in recorded.of(EndpointUpdate)
                    for u in e.endpoints
                )
            )

    run(test())


def test_a_watch_whose_connection_to_its_agent_does_not_come_up_is_opened_anew(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """An agent ends its connection behind a response, and the next handshake hangs. The call is given up
    soon, and the watch is opened anew.
    """
    monkeypatch.setattr(discovery, "SNAPSHOT_TIMEOUT_S", 2 * TEST_S)

    async def test() -> None:
        loop = asyncio.get_running_loop()
        connect, hangs = loop.create_connection, [False]

        async def once(factory: Any, host: str, port: int) -> Any:
            if hangs[0]:
                hangs[0] = False
                await asyncio.Event().wait()
            return await connect(factory, host, port)

        loop.create_connection = once  # type: ignore[method-assign, assignment]
        async with in_process_balancer() as w:
            await w.watching()
            tell = w.discovery.reply

            async def last(message: Message) -> bytes | None:
                told = await tell(message)
                w.discovery.reply = tell
                hangs[0] = True
                return told and told.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)

            w.discovery.reply = last
            w.discovery.close_links()  # the watch that is out would be answered as before
            await w.discovery.until(lambda: w.discovery.reply == tell)
            w.discovery.change(w.upstreams[0].row("Terminating"))
            await recorded.until(
                lambda: any(
                    u.state is EndpointState.DRAINING
                    for e in recorded.of(EndpointUpdate)
                    for u in e.endpoints
                )
            )
            assert not hangs[0]

    run(test())
