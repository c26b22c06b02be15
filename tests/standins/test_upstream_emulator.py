"""The emulated boxes and discovery on sockets, as PROTOCOL specifies them."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from lanelift.standins.box import BoxSpec
from lanelift.standins.discovery import (
    CHANGE_HISTORY,
    MAX_QUEUE_NS,
    Agent,
    Entry,
    SerialService,
    start_agents,
)
from lanelift.standins.http import Server
from lanelift.standins.upstream_emulator import SocketOptions, UpstreamEmulator, body_of, check_body
from tests.fakes import Client, run

MS = 1_000_000
SEED = 7
Check = Callable[[], Awaitable[None]]


@asynccontextmanager
async def emulated_box(
    work_ms: float = 0.1, sockets: SocketOptions | None = None, **spec: Any
) -> AsyncIterator[UpstreamEmulator]:
    emulator = UpstreamEmulator(
        BoxSpec(**spec),
        sockets or SocketOptions(),
        SEED,
        lambda n: f"box-{n}",
        lambda name: None if name.startswith("x") else int(work_ms * MS),
    )
    await emulator.start(cold=False)
    try:
        yield emulator
    finally:
        emulator.die()


async def client(server: Server) -> Client:
    return await Client.to((server.host, server.port))


async def closes(link: Client) -> bool:
    """Returns whether the connection ends, with or without a reset."""
    try:
        return await link.reader.read() == b""
    except ConnectionError:
        return True


def test_an_answer_names_its_instance_and_request() -> None:
    async def test() -> None:
        async with emulated_box() as emulator:
            link = await client(emulator)
            got = await link.request("r1")
            assert got.status == 200 and got.body == body_of(SEED, "r1", "box-0")
            assert (await link.request("r2")).body == body_of(SEED, "r2", "box-0")  # the connection is kept
            assert [(a.id, a.result, a.ran) for a in emulator.attempts] == [
                ("r1", "served", True),
                ("r2", "served", True),
            ]
            # The first request on a connection also costs the handshake.
            assert emulator.attempts[0].work_ns - emulator.attempts[1].work_ns == SocketOptions().handshake_ns

    run(test())
    assert check_body(SEED, "r1", body_of(SEED, "r1", "box-0")) == "box-0"
    for body in (
        b"",
        b"box-0 r1 00",
        body_of(8, "r1", "box-0"),
        body_of(SEED, "r2", "box-0"),
        b"\xff\xff \xff",
    ):
        assert check_body(SEED, "r1", body) is None


def test_requests_that_no_client_sent_are_recorded_as_complaints() -> None:
    async def test() -> None:
        async with emulated_box() as emulator:
            link = await client(emulator)
            assert (await link.request("x1")).status == 400
            assert (await link.request("", X_Request_Id=None)).status == 404
            assert len(emulator.complaints) == 1 and "'x1'" in emulator.complaints[0]
            odd = await client(emulator)
            odd.writer.write(b"what is this\r\n\r\n")
            assert await closes(odd)
            assert len(emulator.complaints) == 2

    run(test())


def test_a_full_box_rejects_requests_without_running_them_and_reports_its_load() -> None:
    async def test() -> None:
        async with emulated_box(work_ms=60_000, queue=1) as emulator:
            held = [await client(emulator) for _ in range(2)]
            for i, link in enumerate(held):
                link.send(f"r{i}")
                assert (await (await client(emulator)).request(f"p{i}", path="/health")).status == 200
            late = await (await client(emulator)).request("r9")
            assert (late.status, late.headers["x-not-run"]) == (503, "1")
            await asyncio.sleep(SocketOptions().report_ns / 1e9)  # a load report is replaced after this time
            load = await (await client(emulator)).request("", path="/status/load", X_Request_Id=None)
            assert (load.status, load.body) == (200, b"inflight=2,queue=1")

    run(test())


def test_a_caller_that_disconnects_frees_only_its_place_in_the_queue() -> None:
    async def test() -> None:
        async with emulated_box(work_ms=60_000, queue=2) as emulator:
            links = [await client(emulator) for _ in range(3)]
            for i, link in enumerate(links):
                link.send(f"r{i}")
                await until(lambda: emulator.box.held == i + 1)  # noqa: B023
            links[1].close()
            await until(lambda: emulator.box.queue == 1)
            links[0].close()
            await until(lambda: len(emulator.connections) == 1)
            assert emulator.box.running_count == 1
            assert [(a.id, a.result, a.ran) for a in emulator.finish_attempts()] == [
                ("r1", "dropped", False),
                ("r0", "unanswered", True),
                ("r2", "unanswered", False),
            ]

    run(test())


async def until(holds: Callable[[], object]) -> None:
    """Waits, turn by turn of the event loop, until the condition holds."""
    while not holds():
        await asyncio.sleep(0)


def test_a_box_that_dies_resets_its_connections_and_a_new_instance_starts_at_its_address() -> None:
    async def test() -> None:
        async with emulated_box(work_ms=60_000) as emulator:
            link = await client(emulator)
            link.send("r1")
            await until(lambda: emulator.box.held)
            port = emulator.port
            emulator.die()
            assert await closes(link)
            assert [(a.id, a.result) for a in emulator.attempts] == [("r1", "died")]
            with pytest.raises(OSError):
                await client(emulator)
            await emulator.start(cold=True)
            assert emulator.port == port and emulator.box.warmth <= 1
            emulator.work_of = lambda name: MS
            assert (await (await client(emulator)).request("r2")).body == body_of(SEED, "r2", "box-1")

    run(test())


def test_a_freeze_delays_answers_probes_and_new_requests() -> None:
    async def test() -> None:
        async with emulated_box(work_ms=1) as emulator:
            links = [await client(emulator) for _ in range(3)]
            since = time.monotonic()
            links[0].send("r0")
            await until(lambda: emulator.box.held)
            emulator.freeze(120 * MS)
            links[1].send("r1")
            links[2].send("", path="/health", X_Request_Id=None)
            for link in links:
                assert (await link.answer()).status == 200
                assert time.monotonic() - since >= 0.12

    run(test())


def test_a_draining_box_finishes_its_jobs_and_a_vanished_one_answers_nothing() -> None:
    async def test() -> None:
        async with emulated_box(work_ms=50) as emulator:
            link, other = await client(emulator), await client(emulator)
            link.send("r1")
            await until(lambda: emulator.box.held)
            emulator.drain()
            assert (await other.request("", path="/health", X_Request_Id=None)).status == 503
            assert (await other.request("r2")).headers["x-not-run"] == "1"
            assert (await link.answer()).status == 200
            emulator.vanish()
            link.send("r3")
            await until(lambda: any(c.open for c in emulator.connections))
            assert not link.reader.at_eof() and [a.id for a in emulator.attempts] == ["r2", "r1"]
            # The attempt is recorded although unanswered: a balancer may know that the box is gone.
            last = emulator.finish_attempts()[-1]
            assert (last.id, last.result, last.ran) == ("r3", "unanswered", False)

    run(test())


def test_connections_are_limited_and_closed_when_idle() -> None:
    async def test() -> None:
        async with emulated_box(sockets=SocketOptions(connections=2, idle_ns=50 * MS)) as emulator:
            links = [await client(emulator) for _ in range(3)]
            assert await closes(links[2])
            assert (await links[0].request("r1")).status == 200
            assert await closes(links[0]) and await closes(links[1])
            assert not emulator.connections

    run(test())


def test_the_configured_share_of_answers_are_errors() -> None:
    async def test() -> None:
        async with emulated_box(sockets=SocketOptions(error_part=1.0)) as emulator:
            assert (await (await client(emulator)).request("r1")).status == 500
            assert [(a.result, a.ran) for a in emulator.attempts] == [("error", True)]

    run(test())


def test_a_cold_box_that_is_overloaded_fails_and_records_the_request() -> None:
    async def test() -> None:
        async with emulated_box(work_ms=1000, cold_ns=60_000 * MS, queue=100) as emulator:
            emulator.die()
            await emulator.start(cold=True)
            links = [await client(emulator) for _ in range(2)]
            # The capacity is 0.3 s of work per second; 2.5 times that is 1.1 s of work in a 1.5 s window.
            links[0].send("r0")
            await until(lambda: emulator.box.held)
            links[1].send("r1")
            assert await closes(links[1]) and await closes(links[0])
            ((_, instance_id, request),) = emulator.cold_overloads
            assert (instance_id, request) == ("box-1", "r1")
            with pytest.raises(OSError):
                await client(emulator)

    run(test())


# ---- discovery -------------------------------------------------------------------------------------------


@asynccontextmanager
async def agent(call_ns: int | None = None) -> AsyncIterator[Agent]:
    (one,), _ = await start_agents(1, call_ns)
    one.set_entries([Entry("a", "127.0.0.1:1"), Entry("b", "127.0.0.1:2")])
    try:
        yield one
    finally:
        one.close()


async def ask(link: Client, query: str = "", path: str = "/v1/endpoints") -> dict[str, Any]:
    got = await link.request("", path=path + query, X_Request_Id=None)
    found: dict[str, Any] = json.loads(got.body) if got.status == 200 else {"status": got.status}
    return found


def test_the_list_and_watches_for_changes() -> None:
    async def test() -> None:
        async with agent() as one:
            link, watch = await client(one), await client(one)
            whole = await ask(link)
            assert whole == one.snapshot() and [row["id"] for row in whole["servers"]] == ["a", "b"]
            watch.send("", path="/v1/endpoints?from=1&hold_ms=60000", X_Request_Id=None)
            await until(lambda: one.watches)
            one.update(Entry("b", "127.0.0.1:2", state="Terminating"))
            update = json.loads((await watch.answer()).body)
            assert (update["version"], update["full"], [r["state"] for r in update["servers"]]) == (
                2,
                False,
                ["Terminating"],
            )
            assert [(t.balancer, t.box, t.state) for t in one.drain_notices] == [(0, "b", "Terminating")]
            one.update(Entry("b", "127.0.0.1:2", state="Gone"))
            # The list does not have this box, so that nothing changes.
            one.update(Entry("never", "127.0.0.1:2", state="Gone"))
            assert [r["id"] for r in (await ask(link, "?from=2&hold_ms=5"))["servers"]] == ["b"]
            assert [r["id"] for r in (await ask(link))["servers"]] == ["a"]
            # Nothing changes within the hold time.
            assert (await ask(link, "?from=3&hold_ms=5"))["servers"] == []
            # A watch from a version that this agent never had gets the full list.
            assert (await ask(link, "?from=99&hold_ms=5"))["full"]
            assert (await ask(link, "?from=x"))["status"] == 400
            assert (await ask(link, path="/v2"))["status"] == 404

    run(test())


def test_a_watch_from_a_version_that_is_no_longer_kept_gets_the_full_list() -> None:
    async def test() -> None:
        async with agent() as one:
            for i in range(CHANGE_HISTORY + 5):
                one.update(Entry(f"c{i}", "127.0.0.1:3"))
            link = await client(one)
            assert (await ask(link, "?from=2&hold_ms=5"))["full"]
            assert not (await ask(link, f"?from={one.version - 3}&hold_ms=5"))["full"]

    run(test())


def test_calls_and_watches_hang_during_an_outage_and_are_answered_afterwards() -> None:
    async def test() -> None:
        async with agent() as one:
            link, watch = await client(one), await client(one)
            watch.send("", path="/v1/endpoints?from=1&hold_ms=20", X_Request_Id=None)
            await until(lambda: one.watches)
            one.set_silent(True)
            link.send("", path="/v1/endpoints", X_Request_Id=None)
            one.update(Entry("c", "127.0.0.1:3"))
            # The requests of the call and of the watch that has expired.
            await until(lambda: len(one.held_requests) == 2)
            assert not one.drain_notices
            one.set_silent(False)
            assert json.loads((await link.answer()).body)["version"] == 2
            assert [r["id"] for r in json.loads((await watch.answer()).body)["servers"]] == ["c"]

    run(test())


def test_in_ask_mode_calls_are_processed_in_turn_and_excess_calls_are_rejected() -> None:
    service = SerialService(MAX_QUEUE_NS // 2)
    assert [service.reserve(0) for _ in range(4)] == [
        MAX_QUEUE_NS // 2,
        MAX_QUEUE_NS,
        MAX_QUEUE_NS * 3 // 2,
        None,
    ]
    assert service.reserve(10 * MAX_QUEUE_NS) == 10 * MAX_QUEUE_NS + MAX_QUEUE_NS // 2

    async def test() -> None:
        async with agent(call_ns=MS) as one:
            assert (await ask(await client(one)))["version"] == 1
            assert one.service is not None
            one.service.busy_until_ns = time.monotonic_ns() + 10 * MAX_QUEUE_NS
            assert (await ask(await client(one)))["status"] == 503

    run(test())
