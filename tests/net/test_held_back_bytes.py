"""Bytes behind a response which its sender's kernel holds back until the response is acknowledged."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from lanelift.net import upstream_connection
from lanelift.net.socket_options import PeerState
from lanelift.policy import connection_reuse
from lanelift.policy.events import AttemptResult
from tests.fakes import FakeUpstream, answer, run
from tests.in_process import EventRecorder, InProcessBalancer, in_process_balancer
from tests.net.support import R

AFTER_SETTLING_S = 0.015
EXTRAS = {"a copy": answer(200, b"first"), "noise": b"\xff" * 100}


def answer_and_more(upstream: FakeUpstream, extra: bytes) -> Callable[[], Awaitable[bytes]]:
    """Returns a reply that is written in two parts, by a server that does not set TCP_NODELAY."""

    async def reply() -> bytes:
        transport = upstream.links[upstream.seen[-1].link - 1].transport
        assert transport is not None
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        transport.write(answer(200, b"first"))
        return extra

    return reply


async def use_connection(lb: InProcessBalancer, times: int) -> None:
    """Makes the kernel delay its acknowledgements, as it does on a connection that has been in use."""
    for number in range(times):
        assert (await lb.request(f"use-{number}")).status == 200
        await asyncio.sleep(AFTER_SETTLING_S)


@pytest.mark.parametrize("extra", EXTRAS.values(), ids=EXTRAS)
@pytest.mark.parametrize("kind", ["quote", "pay"])
def test_bytes_that_a_kernel_holds_back_are_not_the_response_to_the_next_request(
    kind: str, extra: bytes
) -> None:
    """An upstream writes bytes right behind a response. Its kernel sent them only when the response was
    acknowledged, which the balancer's kernel did with the next request. They were read as its response.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            upstream = lb.upstreams[0]
            await use_connection(lb, 12)
            for number in range(4):
                upstream.script = [answer_and_more(upstream, extra), answer(200, b"second")]
                assert (await lb.request(f"first-{number}")).body == b"first"
                await asyncio.sleep(AFTER_SETTLING_S)
                method, body = ("GET", b"") if kind == "quote" else ("POST", b"x")
                assert (await lb.request(f"second-{number}", kind, method, body)).body == b"second"
                await use_connection(lb, 12)

    run(test())


def test_an_upstream_that_sent_unrequested_bytes_is_trusted_less(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its connections rest for longer before they are used again, and are then used as before."""
    monkeypatch.setattr(connection_reuse, "UNTRUSTED_SETTLE_NS", 200_000_000)

    async def test() -> None:
        async with in_process_balancer() as lb:
            upstream = lb.upstreams[0]
            upstream.script = [answer(200, b"first") + b"noise"]
            names = iter(range(9))

            async def request_after(pause_s: float) -> int:
                await asyncio.sleep(pause_s)
                assert (await lb.request(f"r{next(names)}")).status == 200
                return upstream.seen[-1].link

            assert await request_after(0.0) == 1  # closed, as noise came behind its response
            assert await request_after(AFTER_SETTLING_S) == 2
            assert await request_after(AFTER_SETTLING_S) == 3  # link 2 rests
            assert await request_after(0.25) == 3  # the newest that has settled
            monkeypatch.setattr(connection_reuse, "UNTRUSTED_SETTLE_NS", 0)
            assert await request_after(0.0) == 3

    run(test())


@pytest.mark.parametrize(("body_bytes", "result"), [(0, R.RESET), (60_000, R.REJECTED)])
def test_bytes_that_a_server_sent_before_it_had_the_request_are_not_its_response(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, body_bytes: int, result: AttemptResult
) -> None:
    """Bytes cross with a request on the way. The server's kernel has not acknowledged the request, as it
    would with a response at the latest. Of a request in several segments it may have had the first, and
    reject it.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [answer(503, b"crossed", "X-Not-Run: 1")]
            method, kind = ("POST", "pay") if body_bytes else ("GET", "quote")
            assert (await lb.request("r1", kind, method, b"x" * body_bytes)).status == 503
            await recorded.until(recorded.results)
            assert recorded.results() == [result]

    monkeypatch.setattr(upstream_connection, "peer_state", lambda sock: PeerState(False, 0, False))
    run(test())
