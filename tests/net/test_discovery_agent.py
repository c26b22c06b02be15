"""Discovery by an agent that pushes changes: its outages and its return, and the balancer's start."""

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


def test_failed_agents_are_called_often_and_not_synchronously() -> None:
    """The agents of all balancers fail at the same time. Each balancer calls its own machine's agent often
    enough to notice its return within a drain's grace period, and the calls are not synchronized.
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
            watcher._call_on_new_connection = fails  # type: ignore[method-assign, assignment]
            with pytest.MonkeyPatch.context() as patch, suppress(asyncio.CancelledError):
                patch.setattr(asyncio, "sleep", sleeps)
                await watcher._watch()

    run(test())
    # the grace period leaves time for a lost call and the next call
    assert 2 * discovery.RETRY_INTERVAL_S <= 0.5
    for turn in range(12):
        drawn = sorted(each[turn] for each in waits)
        assert drawn[0] > 0.3 * discovery.RETRY_INTERVAL_S and drawn[-1] <= discovery.RETRY_INTERVAL_S
        assert drawn[-1] - drawn[0] > 0.3 * discovery.RETRY_INTERVAL_S
    assert discovery.SNAPSHOT_TIMEOUT_S + discovery.RETRY_INTERVAL_S < 6


def test_the_return_of_an_agent_is_noticed_though_calls_from_its_outage_hang(
    recorded: EventRecorder,
) -> None:
    """An agent is silent during an outage, and never answers the calls made during it. Calls made after the
    agent's return are answered immediately, and a new call is made soon after the return.
    """

    async def test() -> None:
        async with in_process_balancer(2) as lb:
            await lb.until_watching()
            respond, called, is_back = lb.discovery.reply, asyncio.Event(), False

            async def reply(message: Message) -> bytes | None:
                if is_back:
                    return await respond(message)
                called.set()
                return await never()

            lb.discovery.reply = reply
            lb.discovery.close_links()
            await called.wait()
            lb.discovery.change(lb.upstreams[0].row("Terminating"))
            is_back = True
            back_s = asyncio.get_running_loop().time()
            await recorded.until(
                lambda: any(
                    u.state is EndpointState.DRAINING
                    for e in recorded.of(EndpointUpdate)
                    for u in e.endpoints
                )
            )
            assert asyncio.get_running_loop().time() - back_s < 0.5  # the shortest grace period of a drain

    run(test())


def test_a_silent_agent_gets_few_parallel_calls_and_a_late_answer_is_used(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """An agent stays silent for a long time. Calls to it are repeated, but only a few are open at the same
    time, and a late answer to one of them is used.
    """
    monkeypatch.setattr(discovery, "RETRY_INTERVAL_S", 0.02)

    async def test() -> None:
        async with in_process_balancer() as lb:
            await lb.until_watching()
            late, updates = asyncio.Event(), [e.kind for e in recorded.of(EndpointUpdate)]

            async def reply(message: Message) -> bytes | None:
                await late.wait()
                return answer(200, json.dumps(lb.discovery.snapshot()).encode())

            lb.discovery.reply = reply
            before = len(lb.discovery.links)
            lb.discovery.close_links()
            await lb.discovery.until(
                lambda: len(lb.discovery.links) - before >= 3 * discovery.MAX_PARALLEL_CALLS
            )
            # Two connections that were given up may not have ended yet.
            assert len(lb.discovery.connections) <= discovery.MAX_PARALLEL_CALLS + 2
            late.set()
            await recorded.until(lambda: len(recorded.of(EndpointUpdate)) > len(updates))
            await lb.discovery.until(lambda: len(lb.discovery.connections) == 1)

    run(test())


def test_a_start_forwards_no_request_before_its_agent_has_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A balancer starts with a cached list, and its agent knows of a drain. The agent's updates count as
    delivered from the start of the process on, whatever version numbers it uses. No request is sent to
    an upstream before the agent has answered.
    """
    monkeypatch.setattr(discovery, "START_TIMEOUT_S", TEST_S)

    async def test() -> None:
        async with in_process_balancer(2) as lb:
            drains, stays = lb.upstreams
            may_answer = asyncio.Event()
            reply = lb.discovery.reply

            async def slow(message: Message) -> bytes | None:
                await may_answer.wait()
                return await reply(message)

            lb.discovery.reply = slow
            lb.discovery.rows = [drains.row("Terminating"), stays.row()]
            client = await lb.client()
            client.send("r1")
            await lb.discovery.until(lambda: lb.discovery.seen)
            for _ in range(100):
                await asyncio.sleep(0)  # loop iterations in which the request could be sent
            assert not drains.seen and not stays.seen
            may_answer.set()
            assert (await client.answer()).body == stays.name.encode()
            assert not drains.seen

    known = {"version": 50, "full": True, "servers": []}

    async def other_version_numbers() -> None:
        async with in_process_balancer(cached_endpoints=known) as lb:
            assert (await lb.request("r1")).body == lb.upstreams[0].name.encode()

    run(test())
    run(other_version_numbers())


def test_a_watch_whose_connection_is_reset_is_reopened_immediately(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """The connection of a watch that has worked is reset. The agent's updates count as delivered whether or
    not a watch is open, so the watch is reopened without a pause.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            await lb.until_watching()
            monkeypatch.setattr(discovery, "RETRY_INTERVAL_S", 1e6)
            await lb.change_endpoints(lb.upstreams[0].row())  # the agent has answered the watch once
            lb.discovery.close_links()
            lb.discovery.change(lb.upstreams[0].row("Terminating"))
            await recorded.until(
                lambda: any(
                    u.state is EndpointState.DRAINING
                    for e in recorded.of(EndpointUpdate)
                    for u in e.endpoints
                )
            )

    run(test())


def test_a_watch_whose_handshake_hangs_is_reopened(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """An agent closes its connection after a response, and the next handshake hangs. The balancer soon gives
    up the call, and reopens the watch.
    """
    monkeypatch.setattr(discovery, "SNAPSHOT_TIMEOUT_S", 2 * TEST_S)

    async def test() -> None:
        loop = asyncio.get_running_loop()
        connect, hangs = loop.create_connection, [False]

        async def connect_or_hang(factory: Any, host: str, port: int) -> Any:
            if hangs[0]:
                hangs[0] = False
                await asyncio.Event().wait()
            return await connect(factory, host, port)

        loop.create_connection = connect_or_hang  # type: ignore[method-assign, assignment]
        async with in_process_balancer() as lb:
            await lb.until_watching()
            respond = lb.discovery.reply

            async def last(message: Message) -> bytes | None:
                response = await respond(message)
                lb.discovery.reply = respond
                hangs[0] = True
                return response and response.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)

            lb.discovery.reply = last
            lb.discovery.close_links()  # the open watch call would still be answered by the old `reply`
            await lb.discovery.until(lambda: lb.discovery.reply == respond)
            lb.discovery.change(lb.upstreams[0].row("Terminating"))
            await recorded.until(
                lambda: any(
                    u.state is EndpointState.DRAINING
                    for e in recorded.of(EndpointUpdate)
                    for u in e.endpoints
                )
            )
            assert not hangs[0]

    run(test())
