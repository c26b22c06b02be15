"""The cap on clients, and how long they may be idle, silent or slow."""

from __future__ import annotations

import asyncio

import pytest

from lanelift.daemon_config import RESERVED_SOCKETS
from lanelift.net import connection_phases
from lanelift.net.connection_phases import Phase
from lanelift.policy.events import RequestArrived
from tests.fakes import FakeUpstream, read_message, run
from tests.in_process import EventRecorder, in_process_balancer


def test_at_the_cap_idle_clients_make_room_and_busy_ones_are_kept(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """All places are taken, by idle clients and by some whose requests are open. An idle one is closed for
    a newcomer; a busy one never is, and a newcomer waits in the backlog instead.
    """
    monkeypatch.setattr(connection_phases, "EVICTION_ORDER", ((Phase.IDLE, 0.0),))

    async def test() -> None:
        async with in_process_balancer(
            sockets=RESERVED_SOCKETS + 2 * 2
        ) as w:  # two clients, two connections to upstreams
            go_on = asyncio.Event()
            upstream: FakeUpstream = w.upstreams[0]

            async def slow() -> bytes:
                await go_on.wait()
                return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow"

            idle = await w.client()
            assert (await idle.request("r0")).status == 200
            upstream.script = [slow, slow]
            busy = [await w.client(), await w.client()]
            for number, client in enumerate(busy):
                client.send(f"b{number}")
            await recorded.until(lambda: len(recorded.of(RequestArrived)) == 3)
            await idle.ended()
            late = await w.client()  # it waits in the backlog, and is answered once there is room
            late.send("r1")
            go_on.set()
            for client in busy:
                assert (await read_message(client.reader)).body == b"slow"
            assert (await read_message(late.reader)).status == 200

    run(test())


def test_at_the_cap_silent_clients_make_room_for_one_that_asks() -> None:
    """Many clients connect and send nothing until all places are taken. They are closed for a client that
    sends a request, and it is served.
    """

    async def test() -> None:
        async with in_process_balancer(sockets=RESERVED_SOCKETS + 2 * 2) as w:
            silent = [await w.client() for _ in range(20)]
            asking = await w.client()
            assert (await asking.request("r1")).status == 200
            for client in silent:
                client.close()

    run(test())


def test_at_the_cap_an_idle_client_is_left_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """All places are taken, and newcomers that send nothing keep coming. An idle client is not closed
    before its time for them.
    """
    monkeypatch.setattr(
        connection_phases, "EVICTION_ORDER", ((Phase.IDLE, 1000.0), (Phase.READING_HEAD, 0.0))
    )
    # The last newcomer is driven out by nobody.
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.READING_HEAD, 0.1)

    async def test() -> None:
        async with in_process_balancer(sockets=RESERVED_SOCKETS + 2 * 2) as w:
            idle = await w.client()
            assert (await idle.request("r0")).status == 200
            newcomers = [await w.client() for _ in range(9)]
            for client in newcomers:
                await client.ended()
            assert (await idle.request("r1")).status == 200

    run(test())


def test_with_all_places_taken_an_answer_ends_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """There are more clients than places. Idle connections are left some seconds, so each newcomer would
    wait for that. Above a part of the cap an answer ends its connection, and all are served soon.
    """
    # Idle connections are left their 2 s: with more clients than places, each newcomer waited for that.
    (leaving,) = (row for row in connection_phases.EVICTION_ORDER if row[0] is Phase.CLOSING)
    monkeypatch.setattr(connection_phases, "EVICTION_ORDER", (leaving, (Phase.IDLE, 1000.0)))

    async def test() -> None:
        async with in_process_balancer(sockets=RESERVED_SOCKETS + 2 * 2) as w:
            clients = [await w.client() for _ in range(20)]
            for number, client in enumerate(clients):
                client.send(f"r{number}")
            for client in clients:
                assert (await read_message(client.reader)).status == 200

    run(test())


@pytest.mark.parametrize(
    ("part", "status"),
    [
        (b"", None),
        (b"GET /quote HTT", 408),
        (b"GET /quote HTTP/1.1\r\nHost: h\r\n", 408),
        (b"POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf", 408),
    ],
)
@pytest.mark.parametrize("used", [False, True])
def test_a_request_that_does_not_come_in_time_ends_its_connection(
    monkeypatch: pytest.MonkeyPatch, part: bytes, status: int | None, used: bool
) -> None:
    """A client sends part of a request, or nothing, and then no more. Its connection is ended after a
    while, with 408 if part of a request had come.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.READING_HEAD, 0.2)
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.IDLE, 0.3)

    async def test() -> None:
        async with in_process_balancer() as w:
            client = await w.client()
            if used:
                assert (await client.request("r1")).status == 200
            client.writer.write(part)
            if status is not None:
                assert (await read_message(client.reader)).status == status
            await client.ended()

    run(test())
