"""Connections to upstreams, and what discovery and other balancers tell."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any

import pytest

from lanelift import daemon
from lanelift.net import discovery, dispatch
from lanelift.net.addresses import split_address
from lanelift.net.dispatch import Dispatcher
from lanelift.net.endpoint_list import read_endpoint, upstream_number
from lanelift.net.http_messages import encode_message
from lanelift.net.upstreams import Upstreams
from lanelift.policy.actions import Action, SendPeerMessage, Subscribe
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    AttemptResult,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    PeerMessageReceived,
)
from lanelift.policy.settings import Rules
from lanelift.settings import SettingsError
from tests.fakes import (
    SECOND,
    SETTINGS,
    TEST_S,
    FakeDiscovery,
    FakeUpstream,
    Heard,
    Message,
    answer,
    never,
    puppet,
    run,
    world,
)


@pytest.mark.usefixtures("settled")
def test_connections_are_kept_and_a_stale_one_is_not_used(heard: Heard) -> None:
    async def test() -> None:
        async with world() as w:
            upstream = w.upstreams[0]
            for name in ("r1", "r2"):
                assert (await w.ask(name)).status == 200
            assert [m.link for m in upstream.seen] == [1, 1]
            upstream.close_links()
            await upstream.until(lambda: upstream.ended == 1)
            assert (await w.ask("r3")).status == 200
            assert upstream.seen[-1].link == 2
            assert heard.results() == [AttemptResult.OK] * 3

    run(test())


def test_idle_connections_go_before_the_upstream_closes_them() -> None:
    async def test() -> None:
        limits = replace(SETTINGS.limits, upstream_idle_timeout_ns=SECOND // 5)
        async with world(settings=replace(SETTINGS, limits=limits)) as w:
            assert (await w.ask("r1")).status == 200
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)

    run(test())


@pytest.mark.parametrize("change", ["drain", "restart", "gone"])
def test_what_drains_restarts_or_goes_loses_its_idle_connections(change: str) -> None:
    async def test() -> None:
        async with world(2) as w:
            upstream, other = w.upstreams
            while not upstream.seen:  # the module picks at random
                assert (await w.ask(f"r{len(other.seen)}")).status == 200
            row = {
                "drain": upstream.row("Terminating"),
                "gone": upstream.row("Gone"),
                "restart": upstream.row("Ready", int(time.time() * 1000)),
            }[change]
            await w.tell(row)
            await upstream.until(lambda: upstream.ended == len(upstream.links))
            count = len(upstream.seen)
            for number in range(8):
                assert (await w.ask(f"n{number}")).status == 200
            assert change == "restart" or len(upstream.seen) == count

    run(test())


def test_an_outage_keeps_the_old_list_and_the_whole_one_comes_after_it(heard: Heard) -> None:
    async def test() -> None:
        async with world(2) as w:
            await w.watching()
            w.discovery.down = True
            w.discovery.close_links()
            gone, stays = w.upstreams
            assert (await w.ask("r1")).status == 200
            w.discovery.change(gone.row("Gone"))
            calls = len(w.discovery.seen)
            await w.discovery.until(lambda: len(w.discovery.seen) > calls + 1)  # it tries again, and again
            w.discovery.down = False
            await w.watching()
            last = [e for e in heard.of(EndpointUpdate) if e.kind is EndpointUpdateKind.SNAPSHOT][-1]
            assert [u.id for u in last.endpoints] == [upstream_number(stays.name)]
            assert (await w.ask("r2")).body == stays.name.encode()

    run(test())


def test_a_watch_that_fell_silent_is_given_up_before_its_changes_count_as_told(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    for hold_ms, answer_s in (discovery.PUSH_TIMING, discovery.POLL_TIMING):
        assert hold_ms / 1000 + answer_s < 5  # and a second to open it anew
    monkeypatch.setattr(discovery, "PUSH_TIMING", discovery.WatchTiming(100, 0.1))

    async def test() -> None:
        async with world(2) as w:
            await w.watching()
            gone = w.discovery.rows.pop(0)
            w.discovery.version += 1  # and nobody is told: the watch that is held hears nothing of it
            await heard.until(lambda: any(len(e.endpoints) == 1 for e in heard.of(EndpointUpdate)))
            assert (await w.ask("r1")).body != gone["id"].encode()

    run(test())


@pytest.mark.parametrize("how", ["reset", "503", "silent", "garbage"])
def test_a_start_without_discovery_serves_from_the_list_as_last_known(how: str, heard: Heard) -> None:
    async def test() -> None:
        async with world(2) as w:

            async def reply(message: object) -> bytes | None:
                if how == "silent":
                    return await never()
                return {"503": answer(503), "garbage": answer(200, b"{")}.get(how)

            w.discovery.reply = reply
            assert (await w.ask("r1")).status == 200
            assert [e.kind for e in heard.of(EndpointUpdate)] == [EndpointUpdateKind.CACHED]

    run(test())


def test_agents_that_fail_are_called_often_and_not_in_step() -> None:
    """Each balancer asks the agent of its own machine: a return is noticed within a drain's grace."""
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


def test_a_call_that_came_while_discovery_was_down_is_not_waited_for_at_its_return(heard: Heard) -> None:
    """What came in an outage is never answered. Calls made after the return are, and at once."""

    async def test() -> None:
        async with world(2) as w:
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
            await heard.until(
                lambda: any(
                    u.state is EndpointState.DRAINING for e in heard.of(EndpointUpdate) for u in e.endpoints
                )
            )
            assert asyncio.get_running_loop().time() - back_s < 0.5  # the least grace of a drain

    run(test())


def test_calls_to_a_silent_agent_are_few_at_once_and_one_that_is_answered_late_counts(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    monkeypatch.setattr(discovery, "RETRY_INTERVAL_S", 0.02)

    async def test() -> None:
        async with world() as w:
            await w.watching()
            late, told = asyncio.Event(), [e.kind for e in heard.of(EndpointUpdate)]

            async def reply(message: Message) -> bytes | None:
                await late.wait()
                return answer(200, json.dumps(w.discovery.whole()).encode())

            w.discovery.reply = reply
            before = len(w.discovery.links)
            w.discovery.close_links()
            await w.discovery.until(
                lambda: len(w.discovery.links) - before >= 3 * discovery.MAX_PARALLEL_CALLS
            )
            assert (
                len(w.discovery.connections) <= discovery.MAX_PARALLEL_CALLS + 2
            )  # ends of those let go are under way
            late.set()
            await heard.until(lambda: len(heard.of(EndpointUpdate)) > len(told))
            await w.discovery.until(lambda: len(w.discovery.connections) == 1)

    run(test())


def test_a_start_sends_nothing_by_an_old_list_that_its_agent_knows_better(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What the agent has counts as told from a process's first moment on, whatever versions it counts."""
    monkeypatch.setattr(discovery, "START_TIMEOUT_S", TEST_S)

    async def test() -> None:
        async with world(2) as w:
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
        async with world(cached_endpoints=known) as w:
            assert (await w.ask("r1")).body == w.upstreams[0].name.encode()

    run(test())
    run(counted_otherwise())


def test_where_discovery_is_asked_a_failed_call_is_told_and_the_module_asks_again(heard: Heard) -> None:
    async def test() -> None:
        settings = replace(SETTINGS, discovery_push=False, rules=Rules(notification_deadline_ns=SECOND // 2))
        async with world(settings=settings) as w:
            w.discovery.down = True
            await heard.until(lambda: EndpointUpdateKind.FAILED in [e.kind for e in heard.of(EndpointUpdate)])
            w.discovery.down = False
            await w.watching()
            assert (await w.ask("r1")).status == 200

    run(test())


def obeying_nobody(monkeypatch: pytest.MonkeyPatch, heard: Heard) -> None:
    """A module that subscribes once and says no more: what else is asked, the balancer asks by itself."""
    asked: list[Event] = []

    def acts(event: Event, _: int) -> list[Action]:
        asked.append(event)
        return [Subscribe(True)] if len(asked) == 1 else []

    puppet(monkeypatch, heard, acts)


ASKED = replace(SETTINGS, discovery_push=False)


def test_a_watch_that_fell_silent_where_discovery_is_asked_is_opened_anew_at_once(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    """The module would wait for up to 1.5 s, as for discovery that is down, and the change count by then."""
    hold_ms, answer_s = discovery.POLL_TIMING
    assert hold_ms / 1000 + answer_s + discovery.RETRY_INTERVAL_S + 1.25 <= 6
    monkeypatch.setattr(discovery, "POLL_TIMING", discovery.WatchTiming(100, 0.1))
    obeying_nobody(monkeypatch, heard)

    async def test() -> None:
        async with world(2, settings=ASKED) as w:
            await w.watching()
            w.discovery.rows.pop(0)
            w.discovery.version += 1  # and the watch that is held hears nothing of it
            await heard.until(lambda: any(len(e.endpoints) == 1 for e in heard.of(EndpointUpdate)))
            assert all(e.kind is not EndpointUpdateKind.FAILED for e in heard.of(EndpointUpdate))

    run(test())


def test_discovery_that_has_moved_is_asked_at_once_though_the_old_one_was_given_up(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    """The module waits for seconds before it asks one that is down: not for the new one."""
    obeying_nobody(monkeypatch, heard)
    watchers: list[discovery.Discovery] = []
    start = discovery.Discovery.start

    def seen(watcher: discovery.Discovery, known: Any) -> None:
        watchers.append(watcher)
        start(watcher, known)

    monkeypatch.setattr(discovery.Discovery, "start", seen)

    async def test() -> None:
        async with world(settings=ASKED) as w:
            await w.watching()
            w.discovery.down = True
            w.discovery.close_links()
            await heard.until(
                lambda: any(e.kind is EndpointUpdateKind.FAILED for e in heard.of(EndpointUpdate))
            )
            new = FakeDiscovery([w.upstreams[0].row("Terminating")])
            await new.start()
            watchers[0].change_source(new.where)
            await heard.until(
                lambda: (
                    heard.of(EndpointUpdate)[-1].kind is EndpointUpdateKind.SNAPSHOT
                    and heard.of(EndpointUpdate)[-1].endpoints[0].state is EndpointState.DRAINING
                )
            )
            new.stop()

    run(test())


def test_a_watch_of_an_agent_that_is_reset_is_opened_anew_at_once(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    """What the agent has counts as told, whether or not a watch is open."""

    async def test() -> None:
        async with world() as w:
            await w.watching()
            monkeypatch.setattr(discovery, "RETRY_INTERVAL_S", 1e6)
            await w.tell(w.upstreams[0].row())  # the watch has been answered once
            w.discovery.close_links()
            w.discovery.change(w.upstreams[0].row("Terminating"))
            await heard.until(
                lambda: any(
                    u.state is EndpointState.DRAINING for e in heard.of(EndpointUpdate) for u in e.endpoints
                )
            )

    run(test())


def test_a_watch_whose_connection_to_its_agent_does_not_come_up_is_opened_anew(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    """The agent ends its connection behind an answer, and the next one hangs."""
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
        async with world() as w:
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
            await heard.until(
                lambda: any(
                    u.state is EndpointState.DRAINING for e in heard.of(EndpointUpdate) for u in e.endpoints
                )
            )
            assert not hangs[0]

    run(test())


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
    heard: Heard, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with world() as w:
            good = w.upstreams[0].row()
            await w.watching()
            caplog.clear()
            bad = [{**good, "id": f"b-{number}", "addr": "nowhere"} for number in range(1000)]
            told = {"version": 9, "full": True, "servers": [*bad, good, good, 7, {}]}
            w.discovery.version = 9
            w.discovery.reply = _only(answer(200, json.dumps(told, indent=4).encode()), w.discovery.reply)
            w.discovery.close_links()
            await heard.until(lambda: len(heard.of(EndpointUpdate)) == 3)  # as last known, one, this
            assert {u.id for u in heard.of(EndpointUpdate)[2].endpoints} == {upstream_number("s-0")}
            lines = [r.getMessage() for r in caplog.records if "skipped" in r.getMessage()]
            assert lines == ["discovery: entries skipped: 1002; the first: 'nowhere' is not HOST:PORT"]
            assert (await w.ask("r1")).status == 200

    run(test())


def _only(
    first: bytes, then: Callable[[Message], Awaitable[bytes | None]]
) -> Callable[[Message], Awaitable[bytes | None]]:
    """Answers once with this, and then as before."""
    left = [first]

    async def reply(message: Message) -> bytes | None:
        return left.pop() if left else await then(message)

    return reply


def test_peers(heard: Heard) -> None:
    async def test() -> None:
        with (
            socket.socket(type=socket.SOCK_DGRAM) as peer,
            socket.socket(type=socket.SOCK_DGRAM) as odd,
            socket.socket(type=socket.SOCK_DGRAM) as own,
        ):
            for sock in (peer, odd, own):
                sock.bind(("127.0.0.1", 0))
                sock.setblocking(False)
            address = own.getsockname()
            own.close()
            async with world(
                peer_listen=address, peers=[address, peer.getsockname()], peers_all=peer.getsockname()
            ):
                await heard.until(lambda: heard.of(EndpointUpdate))
                odd.sendto(b"from nobody", address)
                peer.sendto(b"x" * 300, address)
                peer.sendto(b"hello", address)
                await heard.until(lambda: heard.of(PeerMessageReceived))
                assert [(m.sender, m.data) for m in heard.of(PeerMessageReceived)] == [(1, b"hello")]

    run(test())


def test_a_message_is_told_to_one_peer_or_all(monkeypatch: pytest.MonkeyPatch) -> None:
    class Teller(Balancer):
        def handle(self, now: int, events: object) -> list[Action]:
            return [SendPeerMessage(b"one", 0), SendPeerMessage(b"all")]

    monkeypatch.setattr(dispatch, "Balancer", Teller)

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket(type=socket.SOCK_DGRAM) as peer, socket.socket(type=socket.SOCK_DGRAM) as everyone:
            for sock in (peer, everyone):
                sock.bind(("127.0.0.1", 0))
                sock.setblocking(False)
            async with world(
                peer_listen=("127.0.0.1", 0), peers=[peer.getsockname()], peers_all=everyone.getsockname()
            ):
                assert await loop.sock_recv(peer, 300) == b"one"
                assert await loop.sock_recv(everyone, 300) == b"all"

    run(test())


def test_an_answer_of_discovery_that_nobody_foresaw_does_not_end_the_watch(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with world(2) as w:
            await w.watching()

            def fails(*args: object) -> None:
                monkeypatch.undo()
                raise ZeroDivisionError

            monkeypatch.setattr(dispatch.Dispatcher, "update_endpoints", fails)
            gone, stays = w.upstreams
            w.discovery.change(gone.row("Gone"))
            await w.watching()  # it has come back, and begun with the whole list
            assert (await w.ask("r1")).body == stays.name.encode()
        assert "ZeroDivisionError" in caplog.text

    run(test())


def test_churn_leaves_nothing_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    built: list[Dispatcher] = []

    def build(*args: Any) -> Dispatcher:
        built.append(Dispatcher(*args))
        return built[-1]

    monkeypatch.setattr(daemon, "Dispatcher", build)

    async def test() -> None:
        async with world() as w:
            upstream = w.upstreams[0]
            for number in range(30):  # ever new ids at one address, each with its own connections
                assert (await w.ask(f"r{number}", obj=number)).status == 200
                before, upstream.name = upstream.row("Gone"), f"new-{number}"
                await w.tell(before, upstream.row())
            (balancer,) = built
            await upstream.until(lambda: upstream.ended >= 30)
            assert (await w.ask("last")).status == 200
            assert len(balancer.upstreams.pool.targets) == len(balancer.balancer.registry.upstreams) == 1
            pool = balancer.upstreams.pool
            assert pool.open_connections <= 2 and not pool.connect_tasks
            assert (
                not balancer.requests.by_id
                and not balancer.requests.awaiting_answer
                and not balancer.balancer.requests
            )

    run(test())


def test_with_no_connection_to_spare_no_upstream_is_blamed() -> None:
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
