"""Whether a request is retried, by its class and by how its attempt ended."""

from __future__ import annotations

import asyncio
import gc
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from typing import Any

import pytest

from lanelift.net import handshakes
from lanelift.net.exchange import Exchange
from lanelift.net.socket_options import peer_state
from lanelift.policy.settings import Idempotency, RequestClass
from lanelift.standins.http import Connection
from tests.fakes import MS, SECOND, FakeUpstream, Message, answer, never, run
from tests.in_process import SETTINGS, InProcessBalancer, in_process_balancer

SAFE, KEYED, UNSAFE = Idempotency


CLASSES = {
    effect.value: RequestClass(
        effect.value,
        effect,
        deduplication_window_ns=60 * SECOND,
        latency_objective_ns=2 * SECOND,
        deadline_ns=3 * SECOND,
    )
    for effect in Idempotency
}


LIMITS = replace(SETTINGS.limits, max_attempts=3, may_cancel=False, connect_timeout_ns=SECOND)


COMPLETE_RESPONSE = answer(200, b"late")


NEVER_RAN, MAY_HAVE_RUN = True, False  # whether an attempt that ends in this way certainly never ran


async def write_and_reset(link: Connection, data: bytes) -> None:
    """Writes data and then resets the connection."""
    link.write(data)
    assert link.transport is not None
    sock = link.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    link.abort()


def write_eof(link: Connection) -> None:
    assert link.transport is not None
    link.transport.write_eof()


ENDINGS: dict[str, tuple[bytes | Callable[[Connection], Awaitable[None] | None], bool]] = {
    "error": (answer(500), MAY_HAVE_RUN),
    "turned away": (answer(503, b"", "X-Not-Run: 1"), NEVER_RAN),
    "too late": (answer(504, b"", "X-Not-Run: 1"), NEVER_RAN),
    "full, as it says": (answer(503), MAY_HAVE_RUN),
    "reset before its answer": (lambda link: write_and_reset(link, b""), MAY_HAVE_RUN),
    "end before its answer": (write_eof, MAY_HAVE_RUN),
    "reset in its head": (lambda link: write_and_reset(link, COMPLETE_RESPONSE[:20]), MAY_HAVE_RUN),
    "reset in its body": (lambda link: write_and_reset(link, COMPLETE_RESPONSE[:-1]), MAY_HAVE_RUN),
    "reset in a chunk": (
        lambda link: write_and_reset(link, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nla"),
        MAY_HAVE_RUN,
    ),
    "reset of what ends with it": (
        lambda link: write_and_reset(link, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nlate"),
        MAY_HAVE_RUN,
    ),
    "noise": (b"\x00\xff" * 100, MAY_HAVE_RUN),
    "two lengths": (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\nlate", MAY_HAVE_RUN),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\nlate", MAY_HAVE_RUN),
}


class AttemptObserver:
    """Records the attempts at all upstreams, and ends the first attempt in the way `how`."""

    def __init__(self, lb: InProcessBalancer, how: Any) -> None:
        self.lb = lb
        self.how = how
        self.received: list[str] = []
        self.link: Connection | None = None  # the connection of the previous attempt
        self.overlapped = False
        for upstream in lb.upstreams:
            upstream.reply = partial(self.reply, upstream)

    async def reply(self, upstream: FakeUpstream, message: Message) -> bytes | None:
        if self.link is not None and self.link.transport is not None and not self.link.transport.is_closing():
            self.overlapped |= not peer_state(self.link.transport.get_extra_info("socket"))[0]
        self.received.append(message.headers["x-request-id"])
        if len(self.received) > 1:
            return answer(200, b"served")
        self.link = upstream.links[message.link - 1]
        if isinstance(self.how, bytes):
            if b"\r\n\r\n" in self.how and not self.how.startswith(b"HTTP/1.1 200"):
                self.link = None  # a complete response ends the attempt
            return self.how
        done = self.how(self.link)
        if done is not None:
            await done
        return await never()


@pytest.mark.parametrize("effect", Idempotency)
@pytest.mark.parametrize("how", ENDINGS)
def test_a_request_that_may_have_run_is_retried_only_if_that_is_harmless(
    how: str, effect: Idempotency
) -> None:
    """An attempt ends in one of many ways. A request is retried only if it certainly never ran, or if
    running it twice is harmless, and never while the previous attempt may still run.
    """
    ending, never_ran = ENDINGS[how]

    async def test() -> None:
        async with in_process_balancer(3, settings=replace(SETTINGS, classes=CLASSES, limits=LIMITS)) as lb:
            observer = AttemptObserver(lb, ending)
            method, body = ("GET", b"") if effect is SAFE else ("POST", b"x")
            more = {"Idempotency_Key": "k"} if effect is KEYED else {}
            got = await lb.request("r1", effect.value, method, body, **more)
            again = never_ran or effect is not UNSAFE
            assert observer.received == ["r1"] * (2 if again else 1)
            assert not observer.overlapped
            assert got.body == b"served" if again else got.status not in (200, 429, 503)

    run(test())


@pytest.mark.parametrize("effect", Idempotency)
def test_a_request_that_timed_out_is_not_retried_and_rejected_only_if_a_retry_is_harmless(
    effect: Idempotency,
) -> None:
    """An upstream does not answer until the client gives up. An attempt runs as long as its client waits, so
    the attempt and the request time out together. A rejection promises that a retry is harmless, so a
    non-idempotent request that may have run is answered as failed.
    """

    async def test() -> None:
        async with in_process_balancer(3, settings=replace(SETTINGS, classes=CLASSES, limits=LIMITS)) as lb:
            observer = AttemptObserver(lb, lambda link: None)
            method, body = ("GET", b"") if effect is SAFE else ("POST", b"x")
            got = await lb.request("r1", effect.value, method, body, X_Deadline_Ms=100)
            assert observer.received == ["r1"]
            assert got.status == (504 if effect is UNSAFE else 503)

    run(test())


@pytest.mark.parametrize("effect", Idempotency)
def test_a_refused_attempt_is_retried_at_another_upstream(
    monkeypatch: pytest.MonkeyPatch, effect: Idempotency
) -> None:
    """Two of three upstreams refuse connections. Nothing of a request was written to these two, so a request
    of any class is retried until it reaches the third upstream, and each client is served.
    """
    # On a busy machine the handshake of a good upstream may take more than 30 ms.
    monkeypatch.setattr(handshakes, "MIN_HANDSHAKE_TIMEOUT_S", 1.0)

    async def test() -> None:
        # the ejections of both upstreams may end while the machine pauses
        limits = replace(LIMITS, max_attempts=50)
        async with in_process_balancer(3, settings=replace(SETTINGS, classes=CLASSES, limits=limits)) as lb:
            for upstream in lb.upstreams[:2]:
                upstream.stop()  # the upstream's port refuses connections from now on
            method, body = ("GET", b"") if effect is SAFE else ("POST", b"x")
            for number in range(8):
                got = await lb.request(f"r{number}", effect.value, method, body)
                assert (got.status, got.body) == (200, b"s-2")
            assert len(lb.upstreams[2].seen) == 8

    run(test())


def test_a_response_that_waits_unread_when_its_timeout_is_due_is_served() -> None:
    """The loop is late, and finds a response and its attempt's time-out in the same iteration. Received data
    is handled before timers, so the client gets the response.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with in_process_balancer(settings=replace(SETTINGS, classes=CLASSES, limits=LIMITS)) as lb:
            upstream = lb.upstreams[0]
            upstream.script = [never]
            client = await lb.client()
            client.send("r1", "safe", X_Deadline_Ms=200)
            await upstream.until(lambda: len(upstream.seen) == 1)
            # of an attempt, and not of discovery's watch
            exchanges = [o for o in gc.get_objects() if isinstance(o, Exchange) and o.sink is not None]
            assert len(exchanges) == 1 and exchanges[0].timer is not None
            due = exchanges[0].timer.when()
            # the data stays in the kernel's buffer, as the loop is blocked
            upstream.links[0].write(answer(200, b"there"))
            while loop.time() < due + 10 * MS / SECOND:
                pass
            assert (await client.answer()).body == b"there"

    run(test())
