"""Memory stays under the limit of the configuration, whatever hundreds of clients do."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

import pytest

from tests.fakes import answer, run
from tests.robustness import clients
from tests.robustness.clients import BODY, Attack, attacked
from tests.robustness.support import LEAST_MEMORY_MB, Call, SteadyTraffic, Upstream, daemon

CLIENTS = 500
HOLD_S = 3.0
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
