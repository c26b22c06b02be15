"""SIGTERM while clients wait in the backlog of the listener."""

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
from tests.net.support import ending, terminate

TWO_PLACES = RESERVED_SOCKETS + 2 * 2  # two clients, two connections to upstreams


def test_who_waits_in_the_backlog_at_sigterm_with_all_places_taken_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGTERM comes while all places are taken and clients wait in the backlog. They wait there for as long
    as requests are open, and closing the listener would reset them. The listener stays open until each of
    them is answered.
    """

    async def test() -> None:
        async with ending(monkeypatch, sockets=TWO_PLACES) as (w, stopped):
            go_on = asyncio.Event()

            async def slow() -> bytes:
                await go_on.wait()
                return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow"

            w.upstreams[0].script = [slow, slow]
            busy = [await w.client() for _ in range(2)]
            for number, client in enumerate(busy):
                client.send(f"b{number}")
            await w.upstreams[0].until(lambda: len(w.upstreams[0].seen) == 2)
            waiting = [await w.client() for _ in range(5)]
            for number, client in enumerate(waiting):
                client.send(f"w{number}")
            terminate()
            await stopped.wait()
            go_on.set()
            for client in busy:
                assert (await client.answer()).body == b"slow"
            for client in waiting:
                assert (await client.answer()).status == 200
            with pytest.raises(ConnectionRefusedError):
                await refused(w)

    run(test())


def test_who_waits_at_a_shared_address_at_sigterm_is_left_to_the_next_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGTERM comes while a client waits in the backlog of a listener that another process shares. This
    process closes its copy at once, and the client is served by the other.
    """
    listeners: list[socket.socket] = []
    fronts: list[Frontend] = []
    made = Frontend.__init__

    def seen(front: Frontend, driver: Any, listener: socket.socket, *more: Any) -> None:
        listeners.append(listener.dup())
        fronts.append(front)
        made(front, driver, listener, *more)

    monkeypatch.setattr(Frontend, "__init__", seen)

    async def test() -> None:
        async with ending(monkeypatch, sockets=TWO_PLACES, inherited=9) as (w, stopped):
            held = [await w.held(f"b{number}") for number in range(2)]
            waiting = await w.client()
            waiting.send("w")
            terminate()
            await stopped.wait()
            assert fronts[0].listener.closed
            for client in held:
                client.close()
            with listeners[0] as shared:
                next_one, _ = await asyncio.get_running_loop().sock_accept(shared)
                with next_one:
                    assert b"X-Request-Id: w\r\n" in await asyncio.get_running_loop().sock_recv(next_one, 999)

    run(test())


async def refused(w: InProcessBalancer) -> None:
    """Returns once the listener is closed, by way of its error."""
    while True:
        client = await w.client()
        await client.ended()
        client.close()


def test_who_waits_in_the_backlog_at_sigterm_behind_some_that_have_left_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGTERM comes while some in the backlog have left already. They are as many as there are places, so
    all of these are free, and no end of a client is to come that would have the listener looked at again.
    The client behind them is answered nevertheless.
    """
    monkeypatch.setattr(discovery, "START_TIMEOUT_S", 2 * TEST_S)

    async def test() -> None:
        async with ending(monkeypatch, sockets=TWO_PLACES, cached_endpoints=None) as (w, stopped):
            w.discovery.silent = True
            waiting = [await w.client() for _ in range(3)]
            for number, client in enumerate(waiting):
                client.send(f"w{number}")
            await w.discovery.until(lambda: w.discovery.seen)
            for client in waiting[:2]:
                client.reset()
            terminate()
            await stopped.wait()
            assert (await waiting[2].answer()).status == 503

    run(test())


@pytest.mark.parametrize("rest", [True, False])
def test_who_waits_in_the_backlog_at_sigterm_is_answered_though_the_places_are_taken_by_who_says_nothing(
    monkeypatch: pytest.MonkeyPatch, rest: bool
) -> None:
    """SIGTERM comes while all places are taken by clients that send nothing and are not closed for others.
    The listener's stop closes them, and who waits in the backlog is answered.
    """
    monkeypatch.setattr(
        connection_phases, "EVICTION_ORDER", ((Phase.IDLE, 2 * TEST_S), (Phase.READING_HEAD, 2 * TEST_S))
    )
    for phase in Phase:
        monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, phase, 2 * TEST_S)

    async def test() -> None:
        async with ending(monkeypatch, sockets=TWO_PLACES) as (w, stopped):
            # Answers end no connection for want of places.
            monkeypatch.setattr(client_responses, "MAX_FILL", 9.0)
            silent = [await w.client() for _ in range(2)]
            if rest:
                for number, client in enumerate(silent):
                    assert (await client.request(f"r{number}")).status == 200
            waiting = await w.client()
            waiting.send("w")
            terminate()
            await stopped.wait()
            assert (await waiting.answer()).status == 200

    run(test())


def test_who_waits_in_the_backlog_at_sigterm_for_want_of_descriptors_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGTERM comes while descriptors are short, so that a client in the backlog can't be accepted.
    Accepting is tried again until it works, and the client is answered.
    """

    async def test() -> None:
        async with ending(monkeypatch) as (w, stopped):
            accept = socket.socket.accept
            short: list[None] = []

            def scarce(sock: socket.socket) -> Any:
                if sock.getsockname() == w.address and len(short) < 3:
                    short.append(None)
                    raise OSError(errno.EMFILE, "too many open files")
                return accept(sock)

            assert (await w.request("r0")).status == 200
            monkeypatch.setattr(socket.socket, "accept", scarce)
            client = await w.client()
            client.send("r1")
            terminate()
            await stopped.wait()
            assert (await client.answer()).status == 200
            assert len(short) == 3

    run(test())
