"""What is sent again after an attempt, and what is not."""

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


WHOLE = answer(200, b"late")


NEVER, MAY = True, False  # has it surely never run?


async def cut(link: Connection, data: bytes) -> None:
    """Write, and reset behind it."""
    link.write(data)
    assert link.transport is not None
    sock = link.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    link.abort()


def ends(link: Connection) -> None:
    assert link.transport is not None
    link.transport.write_eof()


ENDS: dict[str, tuple[bytes | Callable[[Connection], Awaitable[None] | None], bool]] = {
    "error": (answer(500), MAY),
    "turned away": (answer(503, b"", "X-Not-Run: 1"), NEVER),
    "too late": (answer(504, b"", "X-Not-Run: 1"), NEVER),
    "full, as it says": (answer(503), MAY),
    "reset before its answer": (lambda link: cut(link, b""), MAY),
    "end before its answer": (ends, MAY),
    "reset in its head": (lambda link: cut(link, WHOLE[:20]), MAY),
    "reset in its body": (lambda link: cut(link, WHOLE[:-1]), MAY),
    "reset in a chunk": (
        lambda link: cut(link, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nla"),
        MAY,
    ),
    "reset of what ends with it": (
        lambda link: cut(link, b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nlate"),
        MAY,
    ),
    "noise": (b"\x00\xff" * 100, MAY),
    "two lengths": (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\nlate", MAY),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\nlate", MAY),
}


class Judge:
    """Counts attempts over all upstreams, and has the first of each request end as it is told."""

    def __init__(self, w: InProcessBalancer, how: Any) -> None:
        self.w = w
        self.how = how
        self.came: list[str] = []
        self.link: Connection | None = None  # of the attempt before
        self.two_out = False
        for box in w.upstreams:
            box.reply = partial(self.reply, box)

    async def reply(self, box: FakeUpstream, message: Message) -> bytes | None:
        if self.link is not None and self.link.transport is not None and not self.link.transport.is_closing():
            self.two_out |= not peer_state(self.link.transport.get_extra_info("socket"))[0]
        self.came.append(message.headers["x-request-id"])
        if len(self.came) > 1:
            return answer(200, b"served")
        self.link = box.links[message.link - 1]
        if isinstance(self.how, bytes):
            if b"\r\n\r\n" in self.how and not self.how.startswith(b"HTTP/1.1 200"):
                self.link = None  # a whole answer: that attempt is over
            return self.how
        done = self.how(self.link)
        if done is not None:
            await done
        return await never()


@pytest.mark.parametrize("effect", Idempotency)
@pytest.mark.parametrize("how", ENDS)
def test_what_may_have_run_is_sent_again_only_where_that_is_harmless(how: str, effect: Idempotency) -> None:
    """An attempt ends in one of many ways. A request is sent again only if it surely never ran, or if
    running it twice does no harm, and never while the attempt before may still run.
    """
    ending, never_ran = ENDS[how]

    async def test() -> None:
        async with in_process_balancer(3, settings=replace(SETTINGS, classes=CLASSES, limits=LIMITS)) as w:
            judge = Judge(w, ending)
            method, body = ("GET", b"") if effect is SAFE else ("POST", b"x")
            more = {"Idempotency_Key": "k"} if effect is KEYED else {}
            got = await w.request("r1", effect.value, method, body, **more)
            again = never_ran or effect is not UNSAFE
            assert judge.came == ["r1"] * (2 if again else 1)
            assert not judge.two_out
            assert got.body == b"served" if again else got.status not in (200, 429, 503)

    run(test())


@pytest.mark.parametrize("effect", Idempotency)
def test_what_timed_out_is_not_sent_again_and_what_is_refused_never_ran(effect: Idempotency) -> None:
    """An upstream says nothing until its client gives up. An attempt runs as long as its client waits, so a
    time-out is the end of both. A rejection says that trying again is harmless, so a non-idempotent request
    that may have run is answered as failed.
    """

    async def test() -> None:
        async with in_process_balancer(3, settings=replace(SETTINGS, classes=CLASSES, limits=LIMITS)) as w:
            judge = Judge(w, lambda link: None)
            method, body = ("GET", b"") if effect is SAFE else ("POST", b"x")
            got = await w.request("r1", effect.value, method, body, X_Deadline_Ms=100)
            assert judge.came == ["r1"]
            assert got.status == (504 if effect is UNSAFE else 503)

    run(test())


@pytest.mark.parametrize("effect", Idempotency)
def test_an_attempt_that_found_nobody_is_made_again_elsewhere(
    monkeypatch: pytest.MonkeyPatch, effect: Idempotency
) -> None:
    """Two of three upstreams refuse connections. Nothing of a request was written there, so whatever its
    class it is sent to the third, and each client is served.
    """
    # On a busy machine a good one may need more than 30 ms.
    monkeypatch.setattr(handshakes, "MIN_HANDSHAKE_TIMEOUT_S", 1.0)

    async def test() -> None:
        limits = replace(LIMITS, max_attempts=50)  # a pause of the machine may outlast the bars of both
        async with in_process_balancer(3, settings=replace(SETTINGS, classes=CLASSES, limits=limits)) as w:
            for box in w.upstreams[:2]:
                box.stop()  # its port refuses from now on
            method, body = ("GET", b"") if effect is SAFE else ("POST", b"x")
            for number in range(8):
                got = await w.request(f"r{number}", effect.value, method, body)
                assert (got.status, got.body) == (200, b"s-2")
            assert len(w.upstreams[2].seen) == 8

    run(test())


def test_an_answer_that_lies_here_when_its_time_is_over_is_served() -> None:
    """The loop is late: a response and its attempt's time-out are found in one turn. What was read goes
    before what is due, and the client gets the response.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with in_process_balancer(settings=replace(SETTINGS, classes=CLASSES, limits=LIMITS)) as w:
            box = w.upstreams[0]
            box.script = [never]
            client = await w.client()
            client.send("r1", "safe", X_Deadline_Ms=200)
            await box.until(lambda: len(box.seen) == 1)
            exchanges = [o for o in gc.get_objects() if isinstance(o, Exchange) and b"r1" in o.request]
            assert len(exchanges) == 1 and exchanges[0].timer is not None
            due = exchanges[0].timer.when()
            box.links[0].write(answer(200, b"there"))  # the kernel has it, and the loop stands still
            while loop.time() < due + 10 * MS / SECOND:
                pass
            assert (await client.answer()).body == b"there"

    run(test())
