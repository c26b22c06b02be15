"""Clients' connections: bad input, limits, keep-alive and the answers that the balancer gives by itself."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from contextlib import suppress
from dataclasses import replace
from urllib.parse import quote

import pytest

from lanelift.daemon_config import RESERVED_SOCKETS
from lanelift.net import connection_phases
from lanelift.net.connection_phases import Phase
from lanelift.policy.events import RequestArrived
from lanelift.policy.settings import Tenant
from tests.fakes import (
    CLASSES,
    SECOND,
    SETTINGS,
    Client,
    FakeUpstream,
    Heard,
    answer,
    read_message,
    run,
    world,
)


def test_ready_once_the_module_can_serve() -> None:
    async def test() -> None:
        async with world(cached_endpoints=None) as w:
            await w.watching()
            assert (await w.ask("r", path="/ready")).status == 200
            await w.tell(w.upstreams[0].row("Terminating"))
            assert (await w.ask("r", path="/ready")).status == 503

    run(test())


def test_bad_input_gets_an_answer_and_harms_nobody() -> None:
    async def test() -> None:
        async with world() as w:
            other = await w.client()
            other.send("r0")
            for junk, status in [
                (b"\x00\x01\r\n\r\n", 400),
                (b"GET /quote HTTP/1.1\r\nno colon\r\n\r\n", 400),
                (b"GET /quote HTTP/1.1\r\n\r\n", 400),
                (b"GET /" + b"x" * 70_000, 431),
                (raw_request("Content-Length: -4"), 400),
            ]:
                bad = await w.client()
                assert (await bad.raw(junk)).status == status, junk[:40]
                await bad.ended()
            client = await w.client()
            assert (await client.ask("r1", path="/nowhere")).status == 404
            assert (await client.ask("r2", "unheard-of")).status == 404
            assert (await client.ask("", X_Request_Id=None)).status == 400
            assert (await client.ask("r3", X_Deadline_Ms="soon")).status == 400
            assert (await client.ask("r4", X_Cost_Hint="-1")).status == 400
            assert (await client.ask("r5", X_Tenant="stranger")).status == 200
            assert (await client.ask("r6", X_Deadline_Ms=0)).status == 503
            assert (await read_message(other.reader)).status == 200
            assert (await other.ask("r7")).status == 200

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_that_is_too_large(chunked: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lanelift.net.message_parser.MAX_STREAMED_BODY_BYTES", 69_000)

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            if chunked:
                client.send("r1", "pay", "POST", Transfer_Encoding="chunked")
                client.writer.write(b"11170\r\n" + b"x" * 0x11170)
            else:
                client.send("r1", "pay", "POST", b"x" * 70_000)
            assert (await read_message(client.reader)).status == 413
            await client.ended()
            assert not w.upstreams[0].seen  # none that was whole

    run(test())


def test_an_id_that_is_open_already() -> None:
    async def test() -> None:
        async with world() as w:
            first = await w.held("r1")
            assert (await w.ask("r1")).status == 409
            first.close()

    run(test())


def test_requests_follow_each_other_on_a_connection_also_when_sent_ahead() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send("r1")
            client.send("r2")
            for _ in range(2):
                assert (await read_message(client.reader)).body == b"s-0"
            assert [m.headers["x-request-id"] for m in w.upstreams[0].seen] == ["r1", "r2"]

    run(test())


def test_a_flood_behind_an_open_request_is_cut_off() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.held("r1")
            client.writer.write(b"x" * 1_000_000)
            await client.ended()
            assert (await w.ask("r2")).status == 200

    run(test())


def test_more_open_requests_than_allowed_are_refused() -> None:
    async def test() -> None:
        settings = replace(SETTINGS, limits=replace(SETTINGS.limits, max_open_requests=1))
        async with world(settings=settings) as w:
            client = await w.held("r1")
            got = await w.ask("r2")
            assert got.status == 503 and 0 < float(got.headers["retry-after"]) <= 1
            client.close()

    run(test())


def test_at_the_cap_idle_clients_make_room_and_busy_ones_are_kept(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    monkeypatch.setattr(connection_phases, "EVICTION_ORDER", ((Phase.IDLE, 0.0),))

    async def test() -> None:
        async with world(sockets=RESERVED_SOCKETS + 2 * 2) as w:  # two clients, two connections to upstreams
            go_on = asyncio.Event()
            upstream: FakeUpstream = w.upstreams[0]

            async def slow() -> bytes:
                await go_on.wait()
                return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow"

            idle = await w.client()
            assert (await idle.ask("r0")).status == 200
            upstream.script = [slow, slow]
            busy = [await w.client(), await w.client()]
            for number, client in enumerate(busy):
                client.send(f"b{number}")
            await heard.until(lambda: len(heard.of(RequestArrived)) == 3)
            await idle.ended()
            late = await w.client()  # it waits in the backlog, and is answered once there is room
            late.send("r1")
            go_on.set()
            for client in busy:
                assert (await read_message(client.reader)).body == b"slow"
            assert (await read_message(late.reader)).status == 200

    run(test())


def test_at_the_cap_silent_clients_make_room_for_one_that_asks() -> None:
    async def test() -> None:
        async with world(sockets=RESERVED_SOCKETS + 2 * 2) as w:
            silent = [await w.client() for _ in range(20)]
            asking = await w.client()
            assert (await asking.ask("r1")).status == 200
            for client in silent:
                client.close()

    run(test())


def test_at_the_cap_an_idle_client_is_left_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        connection_phases, "EVICTION_ORDER", ((Phase.IDLE, 1000.0), (Phase.READING_HEAD, 0.0))
    )
    monkeypatch.setitem(
        connection_phases.PHASE_TIMEOUT_S, Phase.READING_HEAD, 0.1
    )  # the last newcomer is driven out by nobody

    async def test() -> None:
        async with world(sockets=RESERVED_SOCKETS + 2 * 2) as w:
            idle = await w.client()
            assert (await idle.ask("r0")).status == 200
            newcomers = [await w.client() for _ in range(9)]
            for client in newcomers:
                await client.ended()
            assert (await idle.ask("r1")).status == 200

    run(test())


def test_with_all_places_taken_an_answer_ends_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    # Idle connections are left their 2 s: with more clients than places, each newcomer waited for that.
    (leaving,) = (row for row in connection_phases.EVICTION_ORDER if row[0] is Phase.CLOSING)
    monkeypatch.setattr(connection_phases, "EVICTION_ORDER", (leaving, (Phase.IDLE, 1000.0)))

    async def test() -> None:
        async with world(sockets=RESERVED_SOCKETS + 2 * 2) as w:
            clients = [await w.client() for _ in range(20)]
            for number, client in enumerate(clients):
                client.send(f"r{number}")
            for client in clients:
                assert (await read_message(client.reader)).status == 200

    run(test())


@pytest.mark.skipif(sys.platform != "linux", reason="other kernels do not tell")
def test_a_client_that_left_before_it_was_read_is_not_served(heard: Heard) -> None:
    async def test() -> None:
        async with world() as w:
            used = await w.client()
            assert (await used.ask("r0")).status == 200
            # No turn of the loop between a client's request and its leaving: the balancer finds both at once,
            # on a connection that is still in the backlog and on one that was used before.
            for client in (used, await w.client()):
                client.send("gone")
                client.close()
            with socket.create_connection(w.address) as early:
                early.sendall(b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: early\r\n\r\n")
            assert (await w.ask("r1")).status == 200
            assert [e.request for e in heard.of(RequestArrived)] == ["r0", "r1"]
            assert [m.headers["x-request-id"] for m in w.upstreams[0].seen] == ["r0", "r1"]

    run(test())


@pytest.mark.skipif(sys.platform != "linux", reason="other kernels do not tell")
def test_a_request_counts_from_when_it_came_not_from_when_it_was_read(heard: Heard) -> None:
    async def test() -> None:
        async with world() as w:
            late = 0.2
            used = await w.client()
            assert (await used.ask("r0")).status == 200
            used.send("r1")
            with socket.create_connection(w.address) as new:
                new.sendall(b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n\r\n")
                sent_ns = time.monotonic_ns()
                time.sleep(late)  # the loop stands still
                await heard.until(lambda: len(heard.of(RequestArrived)) == 3)
            for arrival in heard.of(RequestArrived)[1:]:
                assert arrival.received_ns < sent_ns + late / 2 * SECOND
                assert arrival.deadline_ns < sent_ns + CLASSES["quote"].deadline_ns + late / 2 * SECOND

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
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.READING_HEAD, 0.2)
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.IDLE, 0.3)

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            if used:
                assert (await client.ask("r1")).status == 200
            client.writer.write(part)
            if status is not None:
                assert (await read_message(client.reader)).status == status
            await client.ended()

    run(test())


def raw_request(*headers: str, start: str = "POST /pay HTTP/1.1", body: bytes = b"") -> bytes:
    rows = ["Host: h", "X-Request-Id: r1", "X-Class: pay", *headers]
    return "\r\n".join([start, *rows, "", ""]).encode() + body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        # What stands behind the chunk without length would be read as a request by whoever goes by the
        # coding.
        (
            raw_request(
                "Content-Length: 60",
                "Transfer-Encoding: chunked",
                body=b"0\r\n\r\nGET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n\r\n",
            ),
            400,
        ),
        (raw_request("Content-Length: 4", "Content-Length: 5", body=b"body!"), 400),
        (raw_request("Content-Length: 60000000"), 413),
        (raw_request("Content-Length: -4", body=b"body"), 400),
        (raw_request("X-Request-Id: r2"), 400),
        (raw_request("X-Class: quote"), 400),
        (raw_request("X-Deadline-Ms: 10", "X-Deadline-Ms: 3000"), 400),
        (raw_request(start="CONNECT /pay HTTP/1.1"), 405),
        (raw_request("X-Pad: " + "p" * 20_000), 431),
    ],
)
def test_a_request_that_could_be_read_in_two_ways_is_turned_away(data: bytes, status: int) -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            assert (await client.raw(data)).status == status
            await client.ended()
            assert (await w.ask("r3")).status == 200
            assert [m.headers["x-request-id"] for m in w.upstreams[0].seen] == ["r3"]

    run(test())


@pytest.mark.parametrize("coding", ["utf-8", "latin-1"])
@pytest.mark.parametrize("named", [True, False])
def test_names_of_any_characters(heard: Heard, coding: str, named: bool) -> None:
    """Classes and tenants are called what the settings say: headers carry that as bytes, paths quoted."""
    kind, tenant = "prix d'\u00e9t\u00e9/1", "Zo\u00eb & fils"
    settings = replace(
        SETTINGS,
        classes={kind: replace(SETTINGS.classes["quote"], name=kind)},
        tenants={tenant: Tenant(tenant)},
    )

    async def test() -> None:
        async with world(settings=settings) as w:
            client = await w.client()
            path = quote(kind, safe="")
            given = f"X-Class: {kind}\r\n" if named else ""
            got = await client.raw(
                f"GET /{path}?obj=1 HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\n{given}"
                f"X-Tenant: {tenant}\r\n\r\n".encode(coding)
            )
            assert got.status == 200
            assert w.upstreams[0].seen[0].start[1] == f"/{path}?obj=1"
            (arrived,) = heard.of(RequestArrived)
            assert (arrived.class_name, arrived.tenant) == (kind, tenant)

    run(test())


def test_a_method_that_is_not_the_class_s_and_an_endless_id() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            assert (await client.ask("r1", "pay", "GET")).status == 405
            assert (await client.ask("r1", "quote", "DELETE")).status == 405
            assert (await client.ask("r1", "quote", "GET", b"body")).status == 400
            assert (await client.ask("r" * 1000)).status == 400
            assert (await client.ask("r1")).status == 200

    run(test())


def test_a_client_that_does_not_read_gets_no_more_answers_piled_up(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.IDLE, 0.5)

    async def test() -> None:
        async with world() as w:
            body = b"x" * 60_000
            w.upstreams[0].script = [answer(200, body) for _ in range(1000)]
            reader, writer = await asyncio.open_connection(*w.address, limit=1)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            client = Client(reader, writer)
            for number in range(1000):
                client.send(f"r{number}")
            # Answers stop going out, and with them the requests behind them; then the connection ends.
            with suppress(ConnectionError):
                while True:
                    writer.write(b"\r\n")
                    await asyncio.sleep(0.01)
                    if writer.transport.is_closing():
                        break
            assert len(heard.of(RequestArrived)) < 900
            assert (await w.ask("last")).status == 200

    run(test())
