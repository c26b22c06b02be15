"""The end of a process and of its clients' connections, in the orders in which something could be lost."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from lanelift.daemon_config import RESERVED_SOCKETS
from lanelift.net import client_responses, connection_phases, discovery, shutdown
from lanelift.net.client_connection import ClientConnection
from lanelift.net.connection_phases import Phase
from lanelift.net.frontend import Frontend
from lanelift.net.shutdown import LONGEST_DEADLINE_S, GracefulShutdown
from tests.fakes import SECOND, SETTINGS, TEST_S, Heard, World, free_port, run, world

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TWO_PLACES = RESERVED_SOCKETS + 2 * 2  # two clients, two connections to upstreams


@asynccontextmanager
async def ending(monkeypatch: pytest.MonkeyPatch, **more: Any) -> AsyncIterator[tuple[World, asyncio.Event]]:
    """A world in which SIGTERM stops the listener at once, and an event that says when that was tried."""
    monkeypatch.setattr(shutdown, "ACCEPT_WHILE_DRAINING_S", 0.0)
    monkeypatch.setattr(shutdown, "EXIT_AFTER_DEADLINE_S", 2 * TEST_S)
    stopped = asyncio.Event()
    stop = GracefulShutdown.stop_listening

    def watched(ending: GracefulShutdown) -> None:
        stop(ending)
        stopped.set()

    monkeypatch.setattr(GracefulShutdown, "stop_listening", watched)
    async with world(**more) as w:
        yield w, stopped


def terminate() -> None:
    os.kill(os.getpid(), signal.SIGTERM)


def test_who_waits_in_the_backlog_at_sigterm_with_all_places_taken_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They wait there for as long as requests are open; closing the listener would reset them."""

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


async def refused(w: World) -> None:
    """Returns once the listener is closed, by way of its error."""
    while True:
        client = await w.client()
        await client.ended()
        client.close()


def test_who_waits_in_the_backlog_at_sigterm_behind_some_that_have_left_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They are as many as there are places, so all of these are free, and no end of a client is to come."""
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
    monkeypatch.setattr(
        connection_phases, "EVICTION_ORDER", ((Phase.IDLE, 2 * TEST_S), (Phase.READING_HEAD, 2 * TEST_S))
    )
    for phase in Phase:
        monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, phase, 2 * TEST_S)

    async def test() -> None:
        async with ending(monkeypatch, sockets=TWO_PLACES) as (w, stopped):
            monkeypatch.setattr(
                client_responses, "MAX_FILL", 9.0
            )  # answers end no connection for want of places
            silent = [await w.client() for _ in range(2)]
            if rest:
                for number, client in enumerate(silent):
                    assert (await client.ask(f"r{number}")).status == 200
            waiting = await w.client()
            waiting.send("w")
            terminate()
            await stopped.wait()
            assert (await waiting.answer()).status == 200

    run(test())


def test_who_waits_in_the_backlog_at_sigterm_for_want_of_descriptors_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with ending(monkeypatch) as (w, stopped):
            accept = socket.socket.accept
            short: list[None] = []

            def scarce(sock: socket.socket) -> Any:
                if sock.getsockname() == w.address and len(short) < 3:
                    short.append(None)
                    raise OSError(errno.EMFILE, "too many open files")
                return accept(sock)

            assert (await w.ask("r0")).status == 200
            monkeypatch.setattr(socket.socket, "accept", scarce)
            client = await w.client()
            client.send("r1")
            terminate()
            await stopped.wait()
            assert (await client.answer()).status == 200
            assert len(short) == 3

    run(test())


@pytest.mark.parametrize("when", ["before", "behind"])
def test_bytes_that_come_as_a_connection_is_ended_do_not_take_its_last_answer_along(
    monkeypatch: pytest.MonkeyPatch, when: str
) -> None:
    """A close over unread bytes resets the connection. They come before the end is begun, or behind that."""
    leave = ClientConnection._close_after_response
    peers: list[socket.socket] = []

    def crossed(client: ClientConnection) -> None:
        if when == "before":
            peers[0].send(b"GET /quote HTTP/1.1\r\n")
        leave(client)
        if when == "behind":
            peers[0].send(b"GET /quote HTTP/1.1\r\n")

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with world() as w:
            monkeypatch.setattr(ClientConnection, "_close_after_response", crossed)
            with socket.create_connection(w.address) as sock:
                peers.append(sock)
                sock.setblocking(False)
                await loop.sock_sendall(sock, b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                came = b""
                while data := await loop.sock_recv(sock, 65536):
                    came += data
                assert came.startswith(b"HTTP/1.1 200 ") and came.endswith(b"ready\n")

    run(test())


def test_a_client_that_does_not_close_behind_its_last_answer_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.CLOSING, 0.0)

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            assert (await client.answer()).status == 200
            await client.ended()
            with pytest.raises(ConnectionError):
                while True:  # a half-closed one would take this for ever
                    client.writer.write(b"x" * 65536)
                    await client.writer.drain()

    run(test())


@pytest.mark.parametrize("begun", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 70_000])
def test_what_would_wait_beyond_the_end_is_told_before_it(
    monkeypatch: pytest.MonkeyPatch, heard: Heard, begun: bytes
) -> None:
    """SIGKILL takes a deadline for 3 s where it is longer, and so must the end."""
    monkeypatch.setattr(shutdown, "EXIT_AFTER_DEADLINE_S", 0.1 - LONGEST_DEADLINE_S)
    quote = replace(SETTINGS.classes["quote"], deadline_ns=90 * SECOND)

    async def test() -> None:
        async with world(settings=replace(SETTINGS, classes={"quote": quote})) as w:
            client = await w.held("r1", X_Deadline_Ms=90_000)
            if begun:
                w.upstreams[0].links[0].write(begun)
                await client.reader.readexactly(70_000)
            terminate()
            if begun:
                with pytest.raises(ConnectionError):
                    while await client.reader.read(65536):
                        pass
            else:
                assert (await client.answer()).status == 504

    run(test())


@pytest.mark.usefixtures("settled")
def test_a_connection_whose_answer_ends_after_the_balancer_was_emptied_is_not_kept(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    """Its head was written before, and did not say that it is the last."""
    monkeypatch.setattr(shutdown, "ACCEPT_WHILE_DRAINING_S", 0.0)
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.IDLE, 2 * TEST_S)
    emptied: list[GracefulShutdown] = []
    close_idle, fronts = GracefulShutdown.close_idle, []
    made = Frontend.__init__

    def watched(ending: GracefulShutdown) -> None:
        close_idle(ending)
        emptied.append(ending)
        heard.poke()

    def seen(front: Frontend, *args: Any, **more: Any) -> None:
        made(front, *args, **more)
        fronts.append(front)

    monkeypatch.setattr(GracefulShutdown, "close_idle", watched)
    monkeypatch.setattr(Frontend, "__init__", seen)

    async def test() -> None:
        async with world() as w:
            w.upstreams[0].script = [CHUNKED + b"3\r\none\r\n"]
            client = await w.client()
            client.send("r1")
            await client.reader.readuntil(b"one\r\n")
            fronts[0].shutdown.drain()
            await heard.until(lambda: emptied)
            w.upstreams[0].links[0].write(b"0\r\n\r\n")
            assert await client.reader.readuntil(b"0\r\n\r\n") == b"0\r\n\r\n"
            await client.ended()
            assert fronts[0].shutdown.rejoin()
            kept = await w.client()
            assert (await kept.ask("r2")).status == 200
            assert (await kept.ask("r3")).status == 200

    run(test())


SIGTERM_AT_THE_LISTENER = """
import os, signal, socket, sys
from lanelift.net.frontend import Frontend
import lanelift.__main__ as main
made = Frontend.__init__
def ended(front, driver, listener, *args, **more):
    made(front, driver, listener, *args, **more)
    with socket.create_connection(listener.getsockname()) as early:
        early.sendall(b"GET /ready HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n")
        kept.append(early.dup())
    os.kill(os.getpid(), signal.SIGTERM)
kept = []
Frontend.__init__ = ended
code = main.main()
if kept:
    print(kept[0].recv(12).decode(), flush=True)
sys.exit(code)
"""


def test_sigterm_as_the_listener_opens_loses_nobody(tmp_path: Path) -> None:
    """Before a handler stood, the signal ended the process by itself, over whoever had connected."""

    async def test() -> None:
        async with world() as w:
            path = tmp_path / "config.json"
            code, said = 2, b""
            while code == 2:  # somebody else took the port meanwhile
                path.write_text(config_text(f"127.0.0.1:{free_port()}", w))
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-c",
                    SIGTERM_AT_THE_LISTENER,
                    stdout=asyncio.subprocess.PIPE,
                    env={**os.environ, "BALANCER_CONFIG": str(path)},
                )
                said, _ = await process.communicate()
                assert process.returncode is not None
                code = process.returncode
            assert (code, said) == (0, b"HTTP/1.1 503\n")

    run(test())


def config_text(listen: str, w: World) -> str:
    return json.dumps(
        {
            "listen": listen,
            "discovery": f"127.0.0.1:{w.discovery.port}",
            "seed": "7",
            "settings": {"profiles": [{"name": "quote", "repeat": "read_like"}]},
        }
    )
