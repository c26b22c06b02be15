"""The operators' address: calls, silent callers, metrics, and the drain of a balancer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from lanelift.__main__ import listening_socket
from lanelift.net import admin, shutdown
from lanelift.net.shutdown import ACCEPT_WHILE_DRAINING_S
from lanelift.policy.events import AttemptResult
from tests.fakes import Client, Message, answer, run
from tests.in_process import EventRecorder, InProcessBalancer, in_process_balancer


@asynccontextmanager
async def operated(count: int = 1) -> AsyncIterator[tuple[InProcessBalancer, tuple[str, int]]]:
    operators = listening_socket(("127.0.0.1", 0))
    operators.listen()  # calls wait for the balancer
    async with in_process_balancer(count, operators=operators) as w:
        yield w, operators.getsockname()


async def call(address: tuple[str, int], path: str, method: str = "GET") -> Message:
    client = await Client.to(address)
    got = await client.raw(f"{method} /api/{path} HTTP/1.1\r\nHost: o\r\n\r\n".encode())
    await client.ended()  # one call to a connection
    client.close()
    return got


async def figures(address: tuple[str, int]) -> dict[str, float]:
    got = await call(address, "telemetry")
    assert got.status == 200 and got.headers["content-type"].startswith("text/plain")
    rows = [line.rsplit(" ", 1) for line in got.body.decode().splitlines() if not line.startswith("#")]
    return {name.removeprefix("balancer_"): float(value) for name, value in rows}


def operations(status: str, kind: str = "quote") -> str:
    return f'operations_total{{priority="{kind}",status="{status}"}}'


def test_calls_and_what_is_none() -> None:
    async def test() -> None:
        async with operated() as (w, address):
            await w.watching()
            assert (await call(address, "ready")).status == 200
            await w.tell(w.upstreams[0].row("Terminating"))
            assert (await call(address, "ready")).status == 503
            assert (await call(address, "nothing")).status == 404
            wrong = await call(address, "evacuate")
            assert (wrong.status, wrong.headers["allow"]) == (405, "POST")
            for junk, status in [(b"\x00\r\n\r\n", 400), (b"GET /" + b"x" * 5000, 413)]:
                client = await Client.to(address)
                assert (await client.raw(junk)).status == status
                client.close()
            # The operators' calls are not the clients', nor theirs the operators'.
            assert (await w.request("r", path="/api/ready")).status == 404
            got = await call(address, "../quote")
            assert got.status == 404

    run(test())


def test_callers_that_say_nothing_keep_nobody_out() -> None:
    """Callers connect and never complete a call. A new caller takes the place of the one that has waited
    longest, so that operators are not locked out.
    """

    async def test() -> None:
        async with operated() as (w, address):
            await w.watching()
            silent = []
            for _ in range(3 * admin.MAX_CALLERS):
                client = await Client.to(address)
                client.writer.write(b"GET /api/rea")
                silent.append(client)
            assert (await call(address, "ready")).status == 200
            await silent[0].ended()  # the one that waited longest made room
            last = silent[-1]
            last.writer.write(b"dy HTTP/1.1\r\nHost: o\r\n\r\n")
            assert (await last.answer()).status == 200

    run(test())


def test_a_call_that_is_never_whole_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller sends half a call and no more. Its connection is closed after a while."""
    monkeypatch.setattr(admin, "CALL_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with operated() as (_, address):
            client = await Client.to(address)
            client.writer.write(b"GET /api/ready HTTP/1.1\r\n")
            await client.ended()

    run(test())


def test_figures_count_each_final_answer_and_each_written_attempt() -> None:
    async def test() -> None:
        async with operated() as (w, address):
            assert set((await figures(address)).values()) == {0.0, 1.0}
            upstream = w.upstreams[0]
            assert (await w.request("r1")).status == 200
            upstream.script = [answer(500)]
            assert (await w.request("r2")).status == 503  # one attempt is all that is allowed
            upstream.script = [answer(500)]
            assert (await w.request("r3", "pay", "POST", b"x")).status == 502
            assert (await w.request("r4", "unheard-of")).status == 404
            got = await figures(address)
            assert got[operations("fulfilled")] == got[operations("throttled")] == 1
            assert got[operations("faulted", "pay")] == 1
            assert got[operations("faulted")] == got[operations("fulfilled", "pay")] == 0
            assert (got["relayed_total"], got["open_requests"], got["registry_entries"]) == (3, 0, 1)
            held = await w.held("r5")
            got = await figures(address)
            assert (got["relayed_total"], got["open_requests"]) == (4, 1)
            held.close()

    run(test())


def test_what_was_never_written_whole_is_no_attempt_in_the_figures(recorded: EventRecorder) -> None:
    """An upstream refuses its connection. Nothing was written, so the attempt is not counted."""

    async def test() -> None:
        async with operated() as (w, address):
            w.upstreams[0].stop()
            assert (await w.request("r1")).status == 503
            assert recorded.results() == [AttemptResult.CONNECT_FAILED]
            got = await figures(address)
            assert (got["relayed_total"], got[operations("throttled")]) == (0, 1)

    run(test())


def test_figures_tell_who_is_listed_and_who_is_avoided() -> None:
    async def test() -> None:
        async with operated(3) as (w, address):
            await w.tell(w.upstreams[0].row("Terminating"))
            got = await figures(address)
            assert (got["registry_entries"], got["out_of_rotation"]) == (3, 1)
            await w.tell(w.upstreams[0].row("Gone"))
            got = await figures(address)
            assert (got["registry_entries"], got["out_of_rotation"]) == (2, 0)

    run(test())


def test_an_evacuated_balancer_answers_all_ends_its_connections_and_comes_back() -> None:
    """A balancer is evacuated while clients are idle, busy, or still being routed to it. All are answered,
    each answer is the last on its connection, and after a rejoin connections are kept again.
    """

    async def test() -> None:
        async with operated() as (w, address):
            idle, busy = await w.client(), await w.held("r0")
            assert (await idle.request("r1")).status == 200
            front = await w.client()
            assert (await front.request("f", path="/ready")).status == 200
            assert (await call(address, "evacuate", "POST")).status == 200
            said = await front.request("f", path="/ready")
            assert (said.status, said.headers["connection"]) == (503, "close")
            assert (await call(address, "ready")).status == 200  # it can serve, and is not wanted to
            late = await w.client()
            got = await late.request("r2")  # dealt out before the front knew
            assert (got.status, got.headers["connection"]) == (200, "close")
            await late.ended()
            await idle.ended()  # nothing was on it
            assert (await call(address, "evacuate", "POST")).status == 200  # asked again: nothing starts over
            got = await w.request("r3")
            assert got.headers["connection"] == "close"
            assert (await call(address, "rejoin", "POST")).status == 200
            kept = await w.client()
            assert (await kept.request("f", path="/ready")).status == 200
            assert "connection" not in (await kept.request("r4")).headers
            busy.close()

    run(test())


def test_rejoining_at_once_ends_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    """A balancer is evacuated and rejoins at once. Idle clients, who would have been closed a moment later,
    are kept.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_WHILE_DRAINING_S", 0.05)

    async def test() -> None:
        async with operated() as (w, address):
            idle = await w.client()
            assert (await idle.request("r1")).status == 200
            await call(address, "evacuate", "POST")
            await call(address, "rejoin", "POST")
            await asyncio.sleep(0.1)  # past the time at which it would have been ended
            assert (await idle.request("r2")).status == 200

    assert ACCEPT_WHILE_DRAINING_S > 0.3  # the front asks every 0.1 s, and deals out 0.2 s more
    run(test())


def test_a_request_that_crosses_the_end_of_its_connection_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request lies in the kernel's buffer, unread, in the moment in which idle connections are closed.
    Its connection is not idle: the request is answered.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_WHILE_DRAINING_S", 0.0)

    async def test() -> None:
        async with operated() as (w, address):
            idle = await w.client()
            assert (await idle.request("r1")).status == 200
            loop = asyncio.get_running_loop()
            later = loop.call_later

            def crossing(delay: float, callback: Callable[..., None], *args: Any) -> asyncio.TimerHandle:
                # The bytes are in the kernel's buffer, and the loop has not looked: just then it ends them.
                if getattr(callback, "__name__", "") == "close_idle":
                    idle.send("r2")
                    callback()
                return later(delay, callback, *args)

            monkeypatch.setattr(loop, "call_later", crossing)
            await call(address, "evacuate", "POST")
            got = await idle.answer()
            assert (got.status, got.headers["connection"]) == (200, "close")

    run(test())
