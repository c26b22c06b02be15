"""SIGTERM while clients wait in the listener's backlog."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

import pytest

from lanelift.daemon_config import RESERVED_SOCKETS
from lanelift.net import client_responses, connection_phases, discovery
from lanelift.net.connection_phases import Phase
from lanelift.net.frontend import Frontend
from tests.fakes import TEST_S, run
from tests.in_process import InProcessBalancer
from tests.net.support import send_sigterm, shutting_down_balancer

TWO_PLACES = RESERVED_SOCKETS + 2 * 2  # room for two clients and two connections to upstreams


def test_clients_in_the_backlog_at_sigterm_are_answered_at_the_cap(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGTERM arrives while the number of clients is at its cap and more clients wait in the backlog. The
    waiting clients can't be accepted before an open request ends, and closing the listener would reset their
    connections. The listener stays open until each waiting client is answered.
    """

    async def test() -> None:
        async with shutting_down_balancer(monkeypatch, sockets=TWO_PLACES) as (lb, stopped):
            go_on = asyncio.Event()

            async def slow() -> bytes:
                await go_on.wait()
                return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow"

            lb.upstreams[0].script = [slow, slow]
            busy = [await lb.client() for _ in range(2)]
            for number, client in enumerate(busy):
                client.send(f"b{number}")
            await lb.upstreams[0].until(lambda: len(lb.upstreams[0].seen) == 2)
            waiting = [await lb.client() for _ in range(5)]
            for number, client in enumerate(waiting):
                client.send(f"w{number}")
            send_sigterm()
            await stopped.wait()
            go_on.set()
            for client in busy:
                assert (await client.answer()).body == b"slow"
            for client in waiting:
                assert (await client.answer()).status == 200
            with pytest.raises(ConnectionRefusedError):
                await connect_until_refused(lb)

    run(test())


def test_a_client_in_a_shared_backlog_at_sigterm_is_left_to_the_next_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGTERM arrives while a client waits in the backlog of a listener that another process shares. This
    process closes its copy immediately, and the other process serves the client.
    """
    listeners: list[socket.socket] = []
    frontends: list[Frontend] = []
    init = Frontend.__init__

    def recording_init(frontend: Frontend, dispatcher: Any, listener: socket.socket, *more: Any) -> None:
        listeners.append(listener.dup())
        frontends.append(frontend)
        init(frontend, dispatcher, listener, *more)

    monkeypatch.setattr(Frontend, "__init__", recording_init)

    async def test() -> None:
        async with shutting_down_balancer(monkeypatch, sockets=TWO_PLACES, inherited=9) as (lb, stopped):
            held = [await lb.client_with_open_request(f"b{number}") for number in range(2)]
            waiting = await lb.client()
            waiting.send("w")
            send_sigterm()
            await stopped.wait()
            assert frontends[0].listener.closed
            for client in held:
                client.close()
            with listeners[0] as shared:
                next_one, _ = await asyncio.get_running_loop().sock_accept(shared)
                with next_one:
                    assert b"X-Request-Id: w\r\n" in await asyncio.get_running_loop().sock_recv(next_one, 999)

    run(test())


async def connect_until_refused(lb: InProcessBalancer) -> None:
    """Connects until the listener is closed, which raises ConnectionRefusedError."""
    while True:
        client = await lb.client()
        await client.ended()
        client.close()


def test_a_client_in_the_backlog_behind_disconnected_ones_is_answered_at_sigterm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGTERM arrives after the first clients in the backlog, as many as the cap allows, have disconnected.
    No client is connected, so no disconnection makes the listener accept again. The next client in the
    backlog is answered nevertheless.
    """
    monkeypatch.setattr(discovery, "START_TIMEOUT_S", 2 * TEST_S)

    async def test() -> None:
        async with shutting_down_balancer(monkeypatch, sockets=TWO_PLACES, cached_endpoints=None) as (
            lb,
            stopped,
        ):
            lb.discovery.silent = True
            waiting = [await lb.client() for _ in range(3)]
            for number, client in enumerate(waiting):
                client.send(f"w{number}")
            await lb.discovery.until(lambda: lb.discovery.seen)
            for client in waiting[:2]:
                client.reset()
            send_sigterm()
            await stopped.wait()
            assert (await waiting[2].answer()).status == 503

    run(test())


@pytest.mark.parametrize("idle", [True, False])
def test_a_client_in_the_backlog_at_sigterm_is_answered_though_silent_clients_fill_the_cap(
    monkeypatch: pytest.MonkeyPatch, idle: bool
) -> None:
    """SIGTERM arrives while the number of clients is at its cap; the connected clients send nothing and can't
    be evicted. Their connections are closed after the listener has stopped, and the client that waits in the
    backlog is answered.
    """
    monkeypatch.setattr(
        connection_phases, "EVICTION_ORDER", ((Phase.IDLE, 2 * TEST_S), (Phase.READING_HEAD, 2 * TEST_S))
    )
    for phase in Phase:
        monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, phase, 2 * TEST_S)

    async def test() -> None:
        async with shutting_down_balancer(monkeypatch, sockets=TWO_PLACES) as (lb, stopped):
            # No connection is closed after an answer because of the cap.
            monkeypatch.setattr(client_responses, "MAX_FILL", 9.0)
            silent = [await lb.client() for _ in range(2)]
            if idle:
                for number, client in enumerate(silent):
                    assert (await client.request(f"r{number}")).status == 200
            waiting = await lb.client()
            waiting.send("w")
            send_sigterm()
            await stopped.wait()
            assert (await waiting.answer()).status == 200

    run(test())


def test_a_client_in_the_backlog_at_sigterm_is_answered_though_descriptors_are_short(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGTERM arrives while no descriptor is free, so that a client in the backlog can't be accepted. The
    accept is repeated until it succeeds, and the client is answered.
    """

    async def test() -> None:
        async with shutting_down_balancer(monkeypatch) as (lb, stopped):
            accept = socket.socket.accept
            short: list[None] = []

            def scarce(sock: socket.socket) -> Any:
                if sock.getsockname() == lb.address and len(short) < 3:
                    short.append(None)
                    raise OSError(errno.EMFILE, "too many open files")
                return accept(sock)

            assert (await lb.request("r0")).status == 200
            monkeypatch.setattr(socket.socket, "accept", scarce)
            client = await lb.client()
            client.send("r1")
            send_sigterm()
            await stopped.wait()
            assert (await client.answer()).status == 200
            assert len(short) == 3

    run(test())
