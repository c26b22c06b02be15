"""Memory stays under the limit of the configuration, whatever hundreds of clients do."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from pathlib import Path

import pytest

from tests.fakes import answer, run
from tests.robustness import clients
from tests.robustness.clients import BODY, Attack, attacked
from tests.robustness.support import (
    DEADLINE_MS,
    LEAST_MEMORY_MB,
    OWN_BUFFER_BYTES,
    Call,
    Handler,
    SteadyTraffic,
    Upstream,
    daemon,
    head,
    read_answer,
    with_length,
)

CLIENTS = 500
HOLD_S = 3.0
# a late answer earns nothing, but is not lost until this long after its time
LATEST_S = DEADLINE_MS / 1000 + 0.5
LONG_RESPONSE = answer(200, BODY[:1_000_000])
LONG_RESPONSE_IN_CHUNKS = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"".join(b"2710\r\n%b\r\n" % BODY[at : at + 10_000] for at in range(0, 1_000_000, 10_000))
    + b"0\r\n\r\n"
)
BUFFERED_RESPONSE = answer(200, BODY[:64_000])


def assert_within_limit(attacks: Sequence[Attack], folder: Path, response: bytes | None = None) -> None:
    """Runs the attacks beside steady traffic, and checks memory and the answers to the steady clients."""

    async def serve(call: Call) -> None:
        await call.read_body()
        attacked_by = call.id.startswith(("unread", "slow"))
        await call.write(response if response and attacked_by else answer(200, call.id.encode()))

    async def test() -> None:
        upstreams = [Upstream(f"s-{i}", serve) for i in range(6)]
        async with daemon(folder, upstreams) as balancer:
            steady = SteadyTraffic(balancer.address)
            async with steady.running(), attacked(balancer.address, attacks, CLIENTS):
                await asyncio.sleep(HOLD_S)
            seen = f"peak {balancer.peak_mb:.1f} MB, steady {steady}"
            assert balancer.process.poll() is None, balancer.log
            assert balancer.peak_mb < LEAST_MEMORY_MB, seen
            assert not steady.late and not steady.outcomes[0] and steady.outcomes[200] > 50, seen

    run(test())


@pytest.mark.parametrize(
    "attack",
    [
        clients.head_of_short_fields,
        clients.long_head_written_slowly,
        clients.body_stopped_half_way,
        clients.chunked_body_stopped_half_way,
        clients.long_body_stopped_half_way,
        clients.body_in_chunks_of_one_byte,
        clients.requests_sent_ahead,
    ],
)
def test_requests_of_hundreds_of_slow_clients_stay_within_the_memory_limit(
    tmp_path: Path, attack: Attack
) -> None:
    """500 clients stop or dawdle within a request, and the memory that their requests take has no bound."""
    assert_within_limit([attack], tmp_path)


@pytest.mark.parametrize("response", [LONG_RESPONSE, LONG_RESPONSE_IN_CHUNKS, BUFFERED_RESPONSE])
@pytest.mark.parametrize("attack", [clients.long_response_not_read, clients.long_response_read_slowly])
def test_responses_to_hundreds_of_slow_readers_stay_within_the_memory_limit(
    tmp_path: Path, attack: Attack, response: bytes
) -> None:
    """500 clients do not read their responses, and each response waits in this process's memory."""
    assert_within_limit([attack], tmp_path, response)


def test_a_mix_of_slow_clients_stays_within_the_memory_limit(tmp_path: Path) -> None:
    """Several kinds of slow clients together take more memory than the limit, though no kind alone does."""
    mix = [
        clients.head_of_short_fields,
        clients.body_stopped_half_way,
        clients.long_body_stopped_half_way,
        clients.requests_sent_ahead,
        clients.long_response_not_read,
        clients.long_response_read_slowly,
    ]
    assert_within_limit(mix, tmp_path, LONG_RESPONSE_IN_CHUNKS)


async def reads_and_hangs(call: Call) -> None:
    await call.read_body()
    await asyncio.sleep(5)


async def reads_nothing(call: Call) -> None:
    await asyncio.sleep(5)


async def stops_within_its_response(call: Call) -> None:
    await call.write(BUFFERED_RESPONSE[:60_000])
    await asyncio.sleep(5)


@pytest.mark.parametrize("handler", [reads_and_hangs, reads_nothing, stops_within_its_response])
def test_messages_in_flight_of_hundreds_of_clients_stay_within_the_memory_limit(
    tmp_path: Path, handler: Handler
) -> None:
    """Upstreams hang while each has part of a message of nearly 64 KiB, which is buffered here."""

    def request(number: int) -> bytes:
        name = f"full-{number}"
        return head(name) if handler is stops_within_its_response else with_length(name, BODY[:64_000])

    async def test() -> None:
        upstreams = [Upstream(f"s-{i}", handler, OWN_BUFFER_BYTES) for i in range(40)]
        async with daemon(tmp_path, upstreams) as balancer:

            async def took(number: int) -> tuple[int, float]:
                reader, writer = await asyncio.open_connection(*balancer.address)
                began_s = time.monotonic()
                writer.write(request(number))
                got = await read_answer(reader)
                writer.close()
                return got.status, got.at_s - began_s

            answers = await asyncio.gather(*(took(number) for number in range(CLIENTS)))
            slowest_s = max(seconds for _, seconds in answers)
            assert balancer.process.poll() is None, balancer.log
            assert balancer.peak_mb < LEAST_MEMORY_MB, balancer.peak_mb
            assert all(status for status, _ in answers) and slowest_s < LATEST_S, slowest_s

    run(test())
