"""Clients that send small requests at full speed delay no other client's answer."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.fakes import answer, run
from tests.robustness.clients import flood
from tests.robustness.support import (
    LEAST_MEMORY_MB,
    Call,
    SteadyTraffic,
    Upstream,
    ask,
    daemon,
    head,
)

FLOODING_CLIENTS, FLOOD_S = 6, 3.0
STEADY_DEADLINE_MS = 47
# of one core, so that a balancer with part of a core serves the others as well
MAX_PROCESSOR_SHARE = 0.5


def no_id(number: int) -> bytes:
    return b"GET /quote HTTP/1.1\r\nHost: a\r\n\r\n"


def ready(number: int) -> bytes:
    return b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"


def unknown_class(number: int) -> bytes:
    return b"GET /class-%d HTTP/1.1\r\nHost: a\r\nX-Request-Id: c%d\r\n\r\n" % (number, number)


def invalid_deadline(number: int) -> bytes:
    return head(f"d{number}").replace(b"X-Deadline-Ms: ", b"X-Deadline-Ms: x")


def new_names(number: int) -> bytes:
    name = uuid.uuid4().hex
    request = head(f"n-{name}", "quote", 300)
    return request.replace(b"/quote", f"/quote?obj={name}".encode(), 1).replace(b"desk", name.encode())


@pytest.mark.parametrize("pipelined", [True, False])
@pytest.mark.parametrize("request_of", [no_id, ready, unknown_class, invalid_deadline, new_names])
def test_small_requests_at_full_speed_delay_no_other_answer(
    tmp_path: Path, request_of: Callable[[int], bytes], pipelined: bool
) -> None:
    """Some clients send requests that are answered here at full speed, and others get late answers."""

    async def serve(call: Call) -> None:
        await asyncio.sleep(0.005)
        await call.write(answer(200, call.id.encode()))

    async def test() -> None:
        async with daemon(tmp_path, [Upstream(f"s-{i}", serve) for i in range(6)]) as balancer:
            steady = SteadyTraffic(balancer.address, STEADY_DEADLINE_MS)
            used_s = balancer.processor_s
            async with steady.running():
                floods = [
                    flood(balancer.address, request_of, pipelined, FLOOD_S) for _ in range(FLOODING_CLIENTS)
                ]
                sent = sum(await asyncio.gather(*floods))
            used_s = balancer.processor_s - used_s
            seen = f"{sent} sent, {used_s:.2f} s used, peak {balancer.peak_mb:.1f} MB, {steady}"
            assert not steady.late and not steady.outcomes[0] and steady.outcomes[200] > 100, seen
            assert used_s < MAX_PROCESSOR_SHARE * FLOOD_S, seen
            assert balancer.peak_mb < LEAST_MEMORY_MB, seen

    run(test())


def test_responses_in_chunks_of_one_byte_delay_no_other_answer(tmp_path: Path) -> None:
    """Some upstreams send long responses in chunks of one byte, and parsing them holds up the loop."""
    chunks = b"1\r\na\r\n" * 20_000

    async def serve(call: Call) -> None:
        if call.id.startswith("tiny"):
            await call.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(20):
                await call.write(chunks)
            await call.write(b"0\r\n\r\n")
            return
        await asyncio.sleep(0.005)
        await call.write(answer(200, call.id.encode()))

    async def ask_tiny(address: tuple[str, int], number: int) -> int:
        got = await ask(address, head(f"tiny-{number}"))
        return len(got.body)

    async def test() -> None:
        async with daemon(tmp_path, [Upstream(f"s-{i}", serve) for i in range(6)]) as balancer:
            steady = SteadyTraffic(balancer.address, 150)
            async with steady.running():
                await asyncio.sleep(0.5)
                sizes = await asyncio.gather(*(ask_tiny(balancer.address, number) for number in range(6)))
            assert sizes == [400_000] * 6
            assert not steady.late and not steady.outcomes[0] and steady.outcomes[200] > 50, steady

    run(test())
