"""Requests on a connection that has not settled: which bytes are taken for their responses."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from lanelift.net.exchange import Exchange
from lanelift.net.upstream_connection import UpstreamConnection
from lanelift.policy import connection_reuse
from lanelift.policy.events import AttemptResult
from tests.fakes import Client, Message, answer, run
from tests.in_process import SETTINGS, in_process_balancer
from tests.net.support import LONG_BODY, read_response

SLOW_S = 0.1
WARM_UP, ROUNDS = 16, 20
QUICK = {
    "short, 0 to 8 ms": ((0.0, 0.008), b""),
    "long, 0 to 8 ms": ((0.0, 0.008), LONG_BODY[:300_000]),
    "long, 8 to 12 ms": ((0.008, 0.012), LONG_BODY[:300_000]),
}


class QuickAndSlowUpstream:
    """Answers some requests slowly, and those whose id has the word `quick` quickly."""

    def __init__(self, quick_s: tuple[float, float], body: bytes) -> None:
        self.quick_s, self.body = quick_s, body
        self.runs = Counter[str]()
        self._random = random.Random(9)

    async def __call__(self, message: Message) -> bytes:
        name = message.headers["x-request-id"]
        self.runs[name] += 1
        if "quick" not in name:
            await asyncio.sleep(SLOW_S)
            return answer(200, name.encode())
        await asyncio.sleep(self._random.uniform(*self.quick_s))
        return answer(200, name.encode() + self.body)


async def ask_in_turn(make_client: Callable[[], Awaitable[Client]], wrong: list[str]) -> None:
    """Sends slow requests first, and then a quick one right after the answer to each slow one."""
    client = await make_client()
    for place in range(WARM_UP):
        await client.request(f"warm-{place}")
        await asyncio.sleep(0.02)  # so that one connection is enough, and none other has settled
    for place in range(ROUNDS):
        await client.request(f"slow-{place}")
        name = f"quick-{place}"
        client.send(name)
        try:
            _, body = await read_response(client)
        except (OSError, EOFError):
            body = b""
            client.close()
            client = await make_client()
        if not body.startswith(name.encode()):
            wrong.append(f"{name}: {body[:20]!r}")
        await asyncio.sleep(0.02)
    client.close()


@pytest.mark.parametrize(("quick_s", "body"), QUICK.values(), ids=QUICK)
def test_quick_responses_behind_slow_ones_come_whole_and_run_once(
    monkeypatch: pytest.MonkeyPatch, quick_s: tuple[float, float], body: bytes
) -> None:
    """A quick response comes on a connection that may not have settled. A long one was cut off after its
    first part, as the check of when its bytes came was made for each part, with a clock of 4 ms. One that
    came before the connection settled was dropped, and its request ran again, each time.
    """
    monkeypatch.setattr(connection_reuse, "MIN_SLOW_RESPONSES", 4)
    upstream, wrong = QuickAndSlowUpstream(quick_s, body), list[str]()

    async def test() -> None:
        settings = replace(SETTINGS, limits=replace(SETTINGS.limits, max_attempts=3))
        async with in_process_balancer(settings=settings) as lb:
            lb.upstreams[0].reply = upstream
            await ask_in_turn(lb.client, wrong)

    run(test())
    assert not wrong
    repeated = upstream.runs.total() - len(upstream.runs)
    assert repeated <= 1, repeated  # before the first quick response only slow ones were known


@pytest.mark.parametrize(
    ("sent", "result"),
    [("before", AttemptResult.RESET), ("while late", AttemptResult.RESET), ("after", AttemptResult.OK)],
)
def test_bytes_are_taken_for_the_response_only_if_they_came_after_the_connection_settled(
    sent: str, result: AttemptResult
) -> None:
    """The event loop is late, so that bytes that came before the connection settled are read after it."""
    settle_s = 0.05

    async def test() -> None:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[AttemptResult] = loop.create_future()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            connection = UpstreamConnection(lambda c: None, lambda c: None)
            await loop.create_connection(lambda: connection, *listener.getsockname())
            server, _ = listener.accept()
            with server:
                exchange = Exchange(b"GET / HTTP/1.1\r\n\r\n", lambda r, _: ended.set_result(r))
                exchange.settles_s = loop.time() + settle_s
                connection.start(exchange)
                if sent == "before":
                    server.sendall(answer(200, b"early"))
                await asyncio.sleep(settle_s / 2)
                if sent == "while late":
                    server.sendall(answer(200, b"early"))
                time.sleep(settle_s)  # the loop stands still
                await asyncio.sleep(0.01)
                if not ended.done():
                    server.sendall(answer(200, b"own"))
                assert await ended is result
                connection.abort()

    run(test())


def test_a_response_that_has_begun_is_not_doubted_again() -> None:
    """The rest of a response whose first bytes were accepted is its rest, whenever the loop reads it."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[AttemptResult] = loop.create_future()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            connection = UpstreamConnection(lambda c: None, lambda c: None)
            await loop.create_connection(lambda: connection, *listener.getsockname())
            server, _ = listener.accept()
            with server:
                exchange = Exchange(b"GET / HTTP/1.1\r\n\r\n", lambda r, _: ended.set_result(r))
                exchange.settles_s = loop.time() + 0.02
                connection.start(exchange)
                await asyncio.sleep(0.021)
                for byte in answer(200, b"own"):
                    server.send(bytes([byte]))
                    await asyncio.sleep(0)
                assert await ended is AttemptResult.OK
                connection.abort()

    run(test())
