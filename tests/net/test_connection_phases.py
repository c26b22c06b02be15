"""The cap on clients, and the time-outs of idle, silent and slow clients."""

from __future__ import annotations

import asyncio

import pytest

from lanelift.daemon_config import RESERVED_SOCKETS
from lanelift.net import connection_phases
from lanelift.net.connection_phases import Phase
from lanelift.policy.events import RequestArrived
from tests.fakes import FakeUpstream, read_message, run
from tests.in_process import EventRecorder, in_process_balancer


def test_at_the_cap_idle_clients_are_evicted_and_busy_ones_are_kept(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """The cap is reached, by idle clients and by clients with open requests. An idle client is evicted for a
    new one; a client with an open request never is, and the new client waits in the backlog instead.
    """
    monkeypatch.setattr(connection_phases, "EVICTION_ORDER", ((Phase.IDLE, 0.0),))

    async def test() -> None:
        async with in_process_balancer(
            sockets=RESERVED_SOCKETS + 2 * 2
        ) as lb:  # room for two clients and two connections to upstreams
            go_on = asyncio.Event()
            upstream: FakeUpstream = lb.upstreams[0]

            async def slow() -> bytes:
                await go_on.wait()
                return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow"

            idle = await lb.client()
            assert (await idle.request("r0")).status == 200
            upstream.script = [slow, slow]
            busy = [await lb.client(), await lb.client()]
            for number, client in enumerate(busy):
                client.send(f"b{number}")
            await recorded.until(lambda: len(recorded.of(RequestArrived)) == 3)
            await idle.ended()
            late = await lb.client()  # the client waits in the backlog, and is answered once there is room
            late.send("r1")
            go_on.set()
            for client in busy:
                assert (await read_message(client.reader)).body == b"slow"
            assert (await read_message(late.reader)).status == 200

    run(test())


def test_at_the_cap_silent_clients_are_evicted_for_one_that_sends_a_request() -> None:
    """Clients that send nothing connect until the cap is reached. Silent clients are evicted for a client
    that sends a request, and this client is served.
    """

    async def test() -> None:
        async with in_process_balancer(sockets=RESERVED_SOCKETS + 2 * 2) as lb:
            silent = [await lb.client() for _ in range(20)]
            requesting = await lb.client()
            assert (await requesting.request("r1")).status == 200
            for client in silent:
                client.close()

    run(test())


def test_at_the_cap_an_idle_client_keeps_its_minimum_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """The cap is reached, and new clients that send nothing keep coming. An idle client is not evicted for
    the new clients before the minimum idle time is over.
    """
    monkeypatch.setattr(
        connection_phases, "EVICTION_ORDER", ((Phase.IDLE, 1000.0), (Phase.READING_HEAD, 0.0))
    )
    # The last new client is not evicted, but times out.
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.READING_HEAD, 0.1)

    async def test() -> None:
        async with in_process_balancer(sockets=RESERVED_SOCKETS + 2 * 2) as lb:
            idle = await lb.client()
            assert (await idle.request("r0")).status == 200
            newcomers = [await lb.client() for _ in range(9)]
            for client in newcomers:
                await client.ended()
            assert (await idle.request("r1")).status == 200

    run(test())


def test_near_the_cap_a_connection_is_closed_after_its_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """There are more clients than the cap allows. Idle connections are kept for some seconds, and each new
    client would have to wait for that time. So above a fraction of the cap each connection is closed after
    its answer, and all clients are served soon.
    """
    # Idle connections are kept for 2 s; each client above the cap would have to wait that long.
    (closing,) = (row for row in connection_phases.EVICTION_ORDER if row[0] is Phase.CLOSING)
    monkeypatch.setattr(connection_phases, "EVICTION_ORDER", (closing, (Phase.IDLE, 1000.0)))

    async def test() -> None:
        async with in_process_balancer(sockets=RESERVED_SOCKETS + 2 * 2) as lb:
            clients = [await lb.client() for _ in range(20)]
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
def test_an_incomplete_request_times_out(
    monkeypatch: pytest.MonkeyPatch, part: bytes, status: int | None, used: bool
) -> None:
    """A client sends part of a request or nothing, and then stops sending. Its connection is closed after a
    time-out, with 408 if part of a request was received.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.READING_HEAD, 0.2)
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.IDLE, 0.3)

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            if used:
                assert (await client.request("r1")).status == 200
            client.writer.write(part)
            if status is not None:
                assert (await read_message(client.reader)).status == status
            await client.ended()

    run(test())
