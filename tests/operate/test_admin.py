"""Operators' calls: answers, silent callers, metrics, and the drain of a balancer."""

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
async def balancer_with_admin(count: int = 1) -> AsyncIterator[tuple[InProcessBalancer, tuple[str, int]]]:
    operators = listening_socket(("127.0.0.1", 0))
    operators.listen()  # callers can connect before the balancer has started
    async with in_process_balancer(count, operators=operators) as lb:
        yield lb, operators.getsockname()


async def call(address: tuple[str, int], path: str, method: str = "GET") -> Message:
    client = await Client.to(address)
    got = await client.raw(f"{method} /api/{path} HTTP/1.1\r\nHost: o\r\n\r\n".encode())
    await client.ended()  # a connection carries one call
    client.close()
    return got


async def read_metrics(address: tuple[str, int]) -> dict[str, float]:
    got = await call(address, "telemetry")
    assert got.status == 200 and got.headers["content-type"].startswith("text/plain")
    rows = [line.rsplit(" ", 1) for line in got.body.decode().splitlines() if not line.startswith("#")]
    return {name.removeprefix("balancer_"): float(value) for name, value in rows}


def operations(status: str, kind: str = "quote") -> str:
    return f'operations_total{{priority="{kind}",status="{status}"}}'


def test_calls_are_answered_and_invalid_ones_rejected() -> None:
    async def test() -> None:
        async with balancer_with_admin() as (lb, address):
            await lb.until_watching()
            assert (await call(address, "ready")).status == 200
            await lb.change_endpoints(lb.upstreams[0].row("Terminating"))
            assert (await call(address, "ready")).status == 503
            assert (await call(address, "nothing")).status == 404
            wrong = await call(address, "evacuate")
            assert (wrong.status, wrong.headers["allow"]) == (405, "POST")
            for junk, status in [(b"\x00\r\n\r\n", 400), (b"GET /" + b"x" * 5000, 413)]:
                client = await Client.to(address)
                assert (await client.raw(junk)).status == status
                client.close()
            # Clients can't make operators' calls, and operators can't send requests.
            assert (await lb.request("r", path="/api/ready")).status == 404
            got = await call(address, "../quote")
            assert got.status == 404

    run(test())


def test_silent_callers_do_not_lock_out_others() -> None:
    """Callers connect and never complete a call. A new caller replaces the caller that connected first, so
    that operators are not locked out.
    """

    async def test() -> None:
        async with balancer_with_admin() as (lb, address):
            await lb.until_watching()
            silent = []
            for _ in range(3 * admin.MAX_CALLERS):
                client = await Client.to(address)
                client.writer.write(b"GET /api/rea")
                silent.append(client)
            assert (await call(address, "ready")).status == 200
            await silent[0].ended()  # the first caller was disconnected
            last = silent[-1]
            last.writer.write(b"dy HTTP/1.1\r\nHost: o\r\n\r\n")
            assert (await last.answer()).status == 200

    run(test())


def test_an_incomplete_call_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller sends half of a call and then nothing more. Its connection is closed after a time-out."""
    monkeypatch.setattr(admin, "CALL_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with balancer_with_admin() as (_, address):
            client = await Client.to(address)
            client.writer.write(b"GET /api/ready HTTP/1.1\r\n")
            await client.ended()

    run(test())


def test_metrics_count_each_final_answer_and_each_written_attempt() -> None:
    async def test() -> None:
        async with balancer_with_admin() as (lb, address):
            assert set((await read_metrics(address)).values()) == {0.0, 1.0}
            upstream = lb.upstreams[0]
            assert (await lb.request("r1")).status == 200
            upstream.script = [answer(500)]
            assert (await lb.request("r2")).status == 503  # only one attempt is allowed
            upstream.script = [answer(500)]
            assert (await lb.request("r3", "pay", "POST", b"x")).status == 502
            assert (await lb.request("r4", "unheard-of")).status == 404
            got = await read_metrics(address)
            assert got[operations("fulfilled")] == got[operations("throttled")] == 1
            assert got[operations("faulted", "pay")] == 1
            assert got[operations("faulted")] == got[operations("fulfilled", "pay")] == 0
            assert (got["relayed_total"], got["open_requests"], got["registry_entries"]) == (3, 0, 1)
            held = await lb.client_with_open_request("r5")
            got = await read_metrics(address)
            assert (got["relayed_total"], got["open_requests"]) == (4, 1)
            held.close()

    run(test())


def test_metrics_do_not_count_an_attempt_that_was_not_written(recorded: EventRecorder) -> None:
    """An upstream refuses the connection. Nothing was written, so the attempt is not counted."""

    async def test() -> None:
        async with balancer_with_admin() as (lb, address):
            lb.upstreams[0].stop()
            assert (await lb.request("r1")).status == 503
            assert recorded.results() == [AttemptResult.CONNECT_FAILED]
            got = await read_metrics(address)
            assert (got["relayed_total"], got[operations("throttled")]) == (0, 1)

    run(test())


def test_metrics_count_listed_upstreams_and_those_out_of_rotation() -> None:
    async def test() -> None:
        async with balancer_with_admin(3) as (lb, address):
            await lb.change_endpoints(lb.upstreams[0].row("Terminating"))
            got = await read_metrics(address)
            assert (got["registry_entries"], got["out_of_rotation"]) == (3, 1)
            await lb.change_endpoints(lb.upstreams[0].row("Gone"))
            got = await read_metrics(address)
            assert (got["registry_entries"], got["out_of_rotation"]) == (2, 0)

    run(test())


def test_an_evacuated_balancer_answers_all_requests_closes_connections_and_can_rejoin() -> None:
    """A balancer is evacuated while clients are idle, have open requests, or are still routed to it. All
    clients that send a request are answered, each connection is closed after its answer, and connections are
    kept again after a rejoin.
    """

    async def test() -> None:
        async with balancer_with_admin() as (lb, address):
            idle, busy = await lb.client(), await lb.client_with_open_request("r0")
            assert (await idle.request("r1")).status == 200
            front = await lb.client()
            assert (await front.request("f", path="/ready")).status == 200
            assert (await call(address, "evacuate", "POST")).status == 200
            ready = await front.request("f", path="/ready")
            assert (ready.status, ready.headers["connection"]) == (503, "close")
            assert (await call(address, "ready")).status == 200  # the balancer can still serve
            late = await lb.client()
            # a client that was routed here before the front tier noticed the drain
            got = await late.request("r2")
            assert (got.status, got.headers["connection"]) == (200, "close")
            await late.ended()
            await idle.ended()  # the client had no open request
            assert (await call(address, "evacuate", "POST")).status == 200  # a repeated call has no effect
            got = await lb.request("r3")
            assert got.headers["connection"] == "close"
            assert (await call(address, "rejoin", "POST")).status == 200
            kept = await lb.client()
            assert (await kept.request("f", path="/ready")).status == 200
            assert "connection" not in (await kept.request("r4")).headers
            busy.close()

    run(test())


def test_an_immediate_rejoin_closes_no_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """A balancer is evacuated and rejoins immediately. Idle connections, which would have been closed a
    moment later, are kept.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_WHILE_DRAINING_S", 0.05)

    async def test() -> None:
        async with balancer_with_admin() as (lb, address):
            idle = await lb.client()
            assert (await idle.request("r1")).status == 200
            await call(address, "evacuate", "POST")
            await call(address, "rejoin", "POST")
            await asyncio.sleep(0.1)  # waits beyond the time at which `idle` would have been closed
            assert (await idle.request("r2")).status == 200

    # the front tier checks `/ready` every 0.1 s, and routes clients here for 0.2 s more
    assert ACCEPT_WHILE_DRAINING_S > 0.3
    run(test())


def test_a_request_that_arrives_as_idle_connections_are_closed_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request is unread in the kernel's buffer just when the balancer closes idle connections. Its
    connection is not idle, and the request is answered.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_WHILE_DRAINING_S", 0.0)

    async def test() -> None:
        async with balancer_with_admin() as (lb, address):
            idle = await lb.client()
            assert (await idle.request("r1")).status == 200
            loop = asyncio.get_running_loop()
            later = loop.call_later

            def send_before_close(
                delay: float, callback: Callable[..., None], *args: Any
            ) -> asyncio.TimerHandle:
                # Idle connections are closed when the bytes are in the kernel's buffer and not read yet.
                if getattr(callback, "__name__", "") == "close_idle":
                    idle.send("r2")
                    callback()
                return later(delay, callback, *args)

            monkeypatch.setattr(loop, "call_later", send_before_close)
            await call(address, "evacuate", "POST")
            got = await idle.answer()
            assert (got.status, got.headers["connection"]) == (200, "close")

    run(test())
