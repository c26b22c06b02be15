"""Orders of events that chance seldom brings, forced here each time: what ends while another thing begins."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from typing import Any

import pytest

from lanelift.daemon_config import RESERVED_SOCKETS
from lanelift.net import connection_phases, connection_pool, exchange, shutdown
from lanelift.net.endpoint_list import upstream_number
from lanelift.net.exchange import Exchange
from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES
from lanelift.net.socket_options import peer_state
from lanelift.net.upstream_connection import UpstreamConnection
from lanelift.policy.actions import Action, StartAttempt
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    ClientDisconnected,
    Event,
    RequestArrived,
    ResponseStarted,
)
from tests.fakes import (
    SECOND,
    SETTINGS,
    TEST_S,
    FakeUpstream,
    Heard,
    Puppet,
    World,
    answer,
    never,
    puppet,
    run,
    world,
)

R = AttemptResult
# Nothing may be called off, and a handshake may take its time.
LIMITS = replace(SETTINGS.limits, may_cancel=False, max_attempts=2, connect_timeout_ns=60 * SECOND)
PATIENT = replace(SETTINGS, limits=LIMITS)
BODY = b"x" * (2 * MAX_BUFFERED_BODY_BYTES)


class Gate:
    """Holds back the connections to some upstreams until it is opened."""

    def __init__(self, *upstreams: FakeUpstream) -> None:
        loop = asyncio.get_running_loop()
        connect, ports = loop.create_connection, [u.port for u in upstreams]
        self.reached, self.open = asyncio.Event(), asyncio.Event()

        async def held(factory: Any, host: str, port: int, **more: Any) -> Any:
            if port in ports:
                self.reached.set()
                await self.open.wait()
            return await connect(factory, host, port, **more)

        loop.create_connection = held  # type: ignore[method-assign, assignment]


def to_first_then_second(monkeypatch: pytest.MonkeyPatch, heard: Heard) -> None:
    """A module that sends each request to `s-0`, and to `s-1` once that has come to nothing."""

    def acts(event: Event, _: int) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [StartAttempt(event.request, upstream_number("s-0"))]
        if isinstance(event, AttemptFinished) and event.attempt == 0 and event.result is not R.OK:
            return [] if event.request_complete else [StartAttempt(event.request, upstream_number("s-1"))]
        return []

    puppet(monkeypatch, heard, acts)


def ids(seen: FakeUpstream) -> list[str]:
    return [m.headers["x-request-id"] for m in seen.seen]


# ---- a client that leaves while its request waits ---------------------------------------------------------


@pytest.mark.usefixtures("settled")
def test_a_request_whose_client_leaves_while_its_connection_comes_up_is_not_sent(heard: Heard) -> None:
    async def test() -> None:
        async with world(settings=PATIENT) as w:
            gate = Gate(w.upstreams[0])
            client = await w.client()
            client.send("r1")
            await gate.reached.wait()
            client.close()
            await heard.until(lambda: heard.of(ClientDisconnected))
            gate.open.set()
            assert (await w.ask("r2")).status == 200
            assert ids(w.upstreams[0]) == ["r2"]
            assert heard.results() == [R.NOT_SENT, R.OK]  # of no upstream's making

    run(test())


def test_a_client_that_leaves_while_it_is_held_back_is_noticed_before_its_request_is_sent(
    heard: Heard,
) -> None:
    """Nothing is read of a client that is held back, and so its leaving is not either."""

    async def test() -> None:
        async with world(settings=PATIENT) as w:
            gate = Gate(w.upstreams[0])
            client = await w.client()
            client.send("r1", "pay", "POST", BODY)
            await gate.reached.wait()
            client.writer.transport.abort()
            gate.open.set()
            await heard.until(lambda: heard.of(ClientDisconnected) and heard.of(AttemptFinished))
            assert heard.results() == [R.NOT_SENT]
            assert (await w.ask("r2")).status == 200
            assert ids(w.upstreams[0]) == ["r2"]

    run(test())


def test_a_request_of_a_client_that_reset_its_connection_is_not_begun(heard: Heard) -> None:
    """It is read in the same turn as a reset that came behind it: the kernel knows of both."""

    async def test() -> None:
        async with world() as w:
            assert (await w.ask("r0")).status == 200
            client = await w.client()
            await heard.until(lambda: heard.results() == [R.OK])
            client.send("r1")
            client.reset()
            assert (await w.ask("r2")).status == 200
            assert [e.request for e in heard.of(RequestArrived)] == ["r0", "r2"]

    run(test())


LEAVES = {"end": lambda client: client.close(), "reset": lambda client: client.reset()}


@pytest.mark.parametrize("how", LEAVES)
def test_a_request_whose_client_leaves_the_backlog_is_not_begun(heard: Heard, how: str) -> None:
    """All places are taken; it is accepted when one is free, and its client has left by then."""

    async def test() -> None:
        async with world(settings=PATIENT, sockets=RESERVED_SOCKETS + 2 * 2) as w:  # two clients
            go_on = asyncio.Event()

            async def slow() -> bytes:
                await go_on.wait()
                return answer(200, b"slow")

            w.upstreams[0].script = [slow, slow]
            busy = [await w.client() for _ in range(2)]
            for number, client in enumerate(busy):
                client.send(f"b{number}")
            await heard.until(lambda: len(heard.of(RequestArrived)) == 2)
            leaves, stays = await w.client(), await w.client()
            leaves.send("gone")
            LEAVES[how](leaves)
            stays.send("last")
            go_on.set()
            assert (await stays.answer()).status == 200
            assert [e.request for e in heard.of(RequestArrived)] == ["b0", "b1", "last"]

    run(test())


@pytest.mark.parametrize("how", LEAVES)
def test_what_a_client_sent_ahead_is_not_begun_once_it_has_left(heard: Heard, how: str) -> None:
    """Nothing may be called off: the first goes on at its upstream, and its end must not begin the second."""

    async def test() -> None:
        async with world(settings=PATIENT) as w:
            go_on = asyncio.Event()

            async def slow() -> bytes:
                await go_on.wait()
                return answer(200, b"slow")

            w.upstreams[0].script = [slow]
            client = await w.client()
            client.send("first")
            client.send("ahead")
            await w.upstreams[0].until(lambda: len(w.upstreams[0].seen) == 1)
            LEAVES[how](client)
            await heard.until(lambda: heard.of(ClientDisconnected))
            go_on.set()
            await heard.until(lambda: heard.results() == [R.OK])
            assert (await w.ask("last")).status == 200
            assert ids(w.upstreams[0]) == ["first", "last"]

    run(test())


def test_a_request_whose_client_leaves_while_its_upstream_takes_no_more_never_gets_there_whole(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    """Its last byte has not been written: it never ran, so ending it calls nothing off."""
    made = UpstreamConnection.connection_made

    def narrow(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        made(connection, transport)

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as busy:
            busy.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            busy.bind(("127.0.0.1", 0))
            busy.listen()
            busy.setblocking(False)
            async with world(settings=PATIENT) as w:
                w.upstreams[0].port = busy.getsockname()[1]
                await w.tell(w.upstreams[0].row())
                monkeypatch.setattr(UpstreamConnection, "connection_made", narrow)
                client = await w.client()
                client.send("r1", "pay", "POST", b"x" * MAX_BUFFERED_BODY_BYTES)
                taken, _ = await loop.sock_accept(busy)
                with taken:
                    came = await loop.sock_recv(taken, 1)
                    client.close()
                    await heard.until(lambda: heard.of(ClientDisconnected) and heard.of(AttemptFinished))
                    with suppress(ConnectionError):
                        while data := await loop.sock_recv(taken, 65536):
                            came += data
                    assert len(came) < MAX_BUFFERED_BODY_BYTES
                    assert heard.results() == [R.CANCELLED]

    run(test())


# ---- a drain that is told while a request waits -----------------------------------------------------------


@pytest.mark.parametrize("state", ["Terminating", "Gone"])
def test_a_request_that_waits_for_a_connection_to_what_drains_goes_elsewhere(
    monkeypatch: pytest.MonkeyPatch, heard: Heard, state: str
) -> None:
    to_first_then_second(monkeypatch, heard)

    async def test() -> None:
        async with world(2, settings=PATIENT) as w:
            first, second = w.upstreams
            gate = Gate(first)
            client = await w.client()
            client.send("r1")
            await gate.reached.wait()
            await w.tell(first.row(state))
            gate.open.set()
            assert (await client.answer()).body == second.name.encode()
            assert not first.seen and heard.results() == [R.NOT_SENT, R.OK]

    run(test())


# ---- connections that end while they are taken ------------------------------------------------------------


@pytest.mark.usefixtures("settled")
@pytest.mark.parametrize("comes", ["end", "noise"])
def test_a_connection_to_which_something_came_in_the_turn_in_which_it_is_taken_is_not_used(
    monkeypatch: pytest.MonkeyPatch, heard: Heard, comes: str
) -> None:
    """The loop has not read it yet. A request written there is lost, and may not be sent again."""

    async def test() -> None:
        async with world(settings=PATIENT) as w:
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
                Puppet, "acts", staticmethod(lambda event: acts(event, upstream_number("s-0")))
            )
            assert (await w.ask("r1", "pay", "POST", b"x")).status == 200
            assert (await w.ask("r2", "pay", "POST", b"x")).status == 200
            assert [m.link for m in box.seen] == [1, 2] and heard.results() == [R.OK, R.OK]

    puppet(monkeypatch, heard, lambda event, to: [])
    run(test())


def test_a_request_of_which_no_byte_could_be_written_never_ran() -> None:
    """The connection was reset after it was looked at, and before the write: that fails at once."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[AttemptResult] = loop.create_future()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            connection = UpstreamConnection(lambda c: None, lambda c: None)
            await loop.create_connection(lambda: connection, *listener.getsockname())
            server, _ = listener.accept()
            server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            server.close()
            connection.start(Exchange(b"GET / HTTP/1.1\r\n\r\n", lambda r, _: ended.set_result(r)))
            assert await ended is R.CONNECT_FAILED

    run(test())


# ---- two attempts of one request --------------------------------------------------------------------------


@pytest.mark.usefixtures("settled")
@pytest.mark.parametrize(
    "spoilt",
    [
        b"\x00noise",
        b"HTTP/1.1 500 X\r\nContent-Length: 900000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
    ],
)
def test_an_attempt_has_ended_at_its_upstream_before_the_next_one_leaves(
    monkeypatch: pytest.MonkeyPatch, heard: Heard, spoilt: bytes
) -> None:
    """What was given up may run as long as its connection is open: two would be out at once."""
    to_first_then_second(monkeypatch, heard)
    ended: list[bool] = []
    start = UpstreamConnection.start

    async def test() -> None:
        async with world(2, settings=PATIENT) as w:
            first, second = w.upstreams
            first.script = [b"\x00", spoilt]
            assert (await w.ask("r1")).body == second.name.encode()  # a connection to it stands from now on

            def watched(connection: UpstreamConnection, exchange: Exchange) -> None:
                if b"X-Request-Id: r2" in exchange.request or b"x-request-id: r2" in exchange.request:
                    transport = first.links[-1].transport
                    assert transport is not None
                    ended.append(peer_state(transport.get_extra_info("socket"))[0])
                start(connection, exchange)

            monkeypatch.setattr(UpstreamConnection, "start", watched)
            assert (await w.ask("r2")).body == second.name.encode()
            assert ended == [False, True]  # at the first send, and at the second

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
    monkeypatch: pytest.MonkeyPatch, heard: Heard, slow: bool, kind: str, method: str, links: list[int]
) -> None:
    """It comes when the next request is under way already: only time tells it from that one's."""
    assert connection_pool.SETTLE_S >= 0.01  # some milliseconds, with room
    monkeypatch.setattr(connection_pool, "SETTLE_S", TEST_S)  # however slow the machine is
    monkeypatch.setattr(connection_pool, "MIN_RESPONSE_TO_SETTLE_RATIO", 0 if slow else 1)

    def acts(event: Event, to: int) -> list[Action]:
        if isinstance(event, RequestArrived) or (
            isinstance(event, AttemptFinished) and not event.request_complete
        ):
            return [StartAttempt(event.request, to)]
        return []

    puppet(monkeypatch, heard, acts)

    async def test() -> None:
        async with world(settings=PATIENT) as w:
            box = w.upstreams[0]

            async def behind_the_first_s() -> bytes | None:
                box.links[0].write(answer(200, b"again"))
                return await never() if slow and method == "GET" else answer(200, b"second")

            box.script = [answer(200, b"first"), behind_the_first_s, answer(200, b"second")]
            assert (await w.ask("r1")).body == b"first"
            assert (await w.ask("r2", kind, method, b"x" if method == "POST" else b"")).body == b"second"
            assert [m.link for m in box.seen] == links

    run(test())


# ---- answers that never end -------------------------------------------------------------------------------

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CLOSES = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize(
    "begins", [CHUNKED + b"3\r\none\r\n", CHUNKED, CLOSES + b"one", CHUNKED + b"7d0\r\n" + b"x" * 2000]
)
@pytest.mark.parametrize("may_cancel", [True, False])
def test_an_answer_that_never_ends_is_cut_when_it_is_owed(
    monkeypatch: pytest.MonkeyPatch, heard: Heard, begins: bytes, may_cancel: bool
) -> None:
    """It does not tell its length, and is passed on as a long one would be."""
    monkeypatch.setattr(exchange, "UPSTREAM_SILENCE_TIMEOUT_S", 2 * TEST_S)
    assert 2 * exchange.MIN_PROGRESS_INTERVAL_S < 0.5  # in which an answer that is late still counts as one

    async def test() -> None:
        settings = replace(SETTINGS, limits=replace(SETTINGS.limits, may_cancel=may_cancel))
        async with world(settings=settings) as w:
            w.upstreams[0].script = [begins]
            client = await w.client()
            client.send("r1", X_Deadline_Ms=150)
            with suppress(ConnectionError):
                while await client.reader.read(65536):
                    pass  # the end shows that it is not whole
            assert heard.results() == [R.TIMEOUT]
            assert (await w.ask("r2")).status == 200

    run(test())


def test_an_answer_that_dribbles_is_cut_and_one_that_goes_on_is_not(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    puppet(
        monkeypatch,
        heard,
        lambda event, to: [StartAttempt(event.request, to)] if isinstance(event, RequestArrived) else [],
    )

    async def test() -> None:
        async with world() as w:
            box = w.upstreams[0]
            box.script = [CHUNKED, CHUNKED]
            slow, steady = await w.client(), await w.client()
            steady.send("r1", X_Deadline_Ms=400)
            await box.until(lambda: len(box.seen) == 1)
            slow.send("r2", X_Deadline_Ms=400)
            await heard.until(lambda: len(heard.of(ResponseStarted)) == 2)

            async def bring(link: int, size: int) -> None:
                while not box.links[link].closed:
                    box.links[link].write(b"%x\r\n%b\r\n" % (size, b"y" * size))
                    await asyncio.sleep(0.01)

            brings = [asyncio.create_task(bring(0, 1000)), asyncio.create_task(bring(1, 1))]
            await heard.until(lambda: heard.results() == [R.TIMEOUT])
            brings[0].cancel()
            box.links[0].write(b"0\r\n\r\n")
            await heard.until(lambda: heard.results() == [R.TIMEOUT, R.OK])
            assert heard.of(AttemptFinished)[0].request == "r2"
            await brings[1]

    run(test())


def test_an_answer_that_tells_a_great_length_is_not_cut_when_its_time_is_over(heard: Heard) -> None:
    """Its first bytes are timed; an upstream may stand still for a quarter of a second and go on."""

    async def test() -> None:
        async with world() as w:
            w.upstreams[0].script = [b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\none"]
            client = await w.client()
            client.send("r1", X_Deadline_Ms=100)
            await heard.until(lambda: heard.of(ResponseStarted))
            began_s = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() < began_s + 0.1 + 3 * exchange.MIN_PROGRESS_INTERVAL_S:
                await asyncio.sleep(0.02)
            w.upstreams[0].links[0].write(b"x" * 899_997)
            assert len((await client.answer()).body) == 900_000

    run(test())


def test_an_answer_that_was_held_back_beyond_its_time_is_not_cut_for_having_brought_nothing() -> None:
    """Nothing is read of it while its client takes nothing: what lies there has yet to go on."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        ended: list[AttemptResult] = []
        held = asyncio.Event()

        class Held:
            def start_response(self, head: object) -> None:
                attempt.pause()
                held.set()

            def forward(self, data: bytes) -> None:
                pass

        with socket.create_server(("127.0.0.1", 0)) as listener:
            connection = UpstreamConnection(lambda c: None, lambda c: None)
            await loop.create_connection(lambda: connection, *listener.getsockname())
            server, _ = listener.accept()
            with server:
                attempt = Exchange(b"GET / HTTP/1.1\r\n\r\n", lambda r, _: ended.append(r), sink=Held())
                connection.start(attempt)
                attempt.expire_in(0.1)
                server.sendall(CHUNKED + b"3\r\none\r\n")
                await held.wait()
                while loop.time() < attempt.progress_due_s:
                    await asyncio.sleep(0.01)
                attempt.resume()
                assert attempt.on_finished is not None and not ended
                connection.abort()

    run(test())


def test_a_client_that_leaves_an_answer_that_never_ends_leaves_nothing_behind(heard: Heard) -> None:
    """Also where nothing may be called off: the connection to the upstream is of use to nobody."""

    async def test() -> None:
        async with world(settings=PATIENT) as w:
            w.upstreams[0].script = [CHUNKED + b"3\r\none\r\n"]
            client = await w.client()
            client.send("r1")
            await heard.until(lambda: heard.of(ResponseStarted))
            client.close()
            await heard.until(lambda: heard.of(ClientDisconnected) and heard.results() == [R.CANCELLED])
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)

    run(test())


# ---- SIGTERM ----------------------------------------------------------------------------------------------


@asynccontextmanager
async def leaving(monkeypatch: pytest.MonkeyPatch, ends_s: float) -> AsyncIterator[World]:
    """A world in which SIGTERM closes the listener at once, and ends the process this much over 3 s later."""
    monkeypatch.setattr(shutdown, "ACCEPT_WHILE_DRAINING_S", 0.0)
    monkeypatch.setattr(shutdown, "EXIT_AFTER_DEADLINE_S", ends_s)
    async with world() as w:
        yield w


def test_a_request_that_comes_long_after_sigterm_is_answered_before_the_end(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    """Its time would go on for longer than its balancer: half of it came before SIGTERM."""

    async def test() -> None:
        async with leaving(monkeypatch, -2.0) as w:
            w.upstreams[0].script = [never]
            client = await w.client()
            client.writer.write(b"GET /quote HTTP/1.1\r\nHost: origin.svc\r\n")
            await w.watching()
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(0)
            assert (await client.raw(b"X-Request-Id: r1\r\nX-Deadline-Ms: 3000\r\n\r\n")).status in (503, 504)
            assert heard.results() == [R.TIMEOUT]

    run(test())


@pytest.mark.usefixtures("settled")
def test_a_connection_whose_last_answer_began_before_sigterm_is_not_kept(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    """The head of that answer did not say so, and its end comes when those at rest have been closed."""

    async def test() -> None:
        monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, connection_phases.Phase.IDLE, 2 * TEST_S)
        async with leaving(monkeypatch, 2 * TEST_S) as w:
            w.upstreams[0].script = [CHUNKED + b"3\r\none\r\n"]
            client = await w.client()
            client.send("r1")
            await client.reader.readuntil(b"one\r\n")
            closed = asyncio.Event()
            close_idle = shutdown.GracefulShutdown.close_idle

            def watched(ending: shutdown.GracefulShutdown) -> None:
                close_idle(ending)
                closed.set()

            monkeypatch.setattr(shutdown.GracefulShutdown, "close_idle", watched)
            os.kill(os.getpid(), signal.SIGTERM)
            await closed.wait()
            w.upstreams[0].links[0].write(b"0\r\n\r\n")
            assert await client.reader.readuntil(b"0\r\n\r\n") == b"0\r\n\r\n"
            await client.ended()

    run(test())
