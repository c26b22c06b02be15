"""The clients of a rehearsal: they send what the plan holds when it is due, and write down what became of it.

Open loop: nothing that a balancer does, or fails to do, changes when the next request is due. One
connection carries one request at a time, and is kept. Nothing here retries by itself but as the plan's
clients do; a request that crossed the close of a kept connection is sent once more, as PROTOCOL has it.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import cast

import httptools

from lanelift.rehearsal.plan import NEVER, Ask, Plan
from lanelift.rehearsal.records import GRACE_NS, Try
from lanelift.standins.seeded_random import unit
from lanelift.standins.upstream_emulator import check_body

CONNECT_S = 1.0  # a front gives a connection up after this
MAX_ANSWER = 1 << 20  # bytes of one answer's body: a balancer that runs amok must not fill the kit
KEPT_S = 30.0  # clients keep idle connections for so long


@dataclass(slots=True)
class Answer:
    """What came of one exchange; `how` as in `records.Try`."""

    how: str
    status: int = 0
    body: bytes = b""
    retry_after_s: float = 0.0


class Connection(asyncio.Protocol):
    """A client's connection to a balancer, or to whatever stands in its place."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.waiter: asyncio.Future[Answer] | None = None
        self.status = 0
        self.body = bytearray()
        self.retry_after_s = 0.0
        self.begun = self.whole = self.closed = False
        self.extra = False  # bytes came that nobody asked for
        self.keep = True
        self.asked = ""  # the id that was last sent on it
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, name: str, request: bytes) -> asyncio.Future[Answer]:
        """Send the request of that id; the future never fails."""
        assert self.transport is not None
        self.waiter = asyncio.get_running_loop().create_future()
        self.parser = httptools.HttpResponseParser(self)
        self.status, self.retry_after_s = 0, 0.0
        self.body = bytearray()
        self.begun = self.whole = False
        self.asked = name
        self.transport.write(request)
        return self.waiter

    def data_received(self, data: bytes) -> None:
        if self.waiter is None or self.whole:
            self.extra = True
            self.abort()
            return
        self.begun = True
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.whole:
                self.extra = True
            else:
                self._end(Answer("garbage", self.status))
            self.abort()

    def on_message_begin(self) -> None:
        if self.whole:
            self.extra = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            try:
                self.retry_after_s = max(0.0, min(60.0, float(value)))
            except ValueError:
                self.retry_after_s = 0.0

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_ANSWER:
            raise ValueError("the answer is too long")

    def on_message_complete(self) -> None:
        assert self.parser is not None
        if self.whole or self.parser.get_status_code() < 200:
            return
        self.whole = True
        self.keep = self.parser.should_keep_alive()
        self.status = self.parser.get_status_code()
        self._end(Answer("answer", self.status, bytes(self.body), self.retry_after_s))

    def eof_received(self) -> bool:
        self.abort()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self._end(Answer("broken"))

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        self.closed = True
        self._end(Answer("broken"))

    def _end(self, answer: Answer) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(answer)


class Front:
    """Deals connections to the balancers of a client's room. It takes in a balancer that is ready and
    notices late that one has died; while none of a room is thought to live, the others serve it."""

    def __init__(self, plan: Plan, addresses: Sequence[tuple[str, int]]) -> None:
        self.seed = plan.scenario.seed
        self.rooms = len(plan.scenario.fleet.rooms)
        self.addresses = addresses
        self.alive = [True] * len(addresses)

    def deal(self, ask: Ask, number: int) -> int:
        living = [i for i, alive in enumerate(self.alive) if alive] or list(range(len(self.alive)))
        near = [i for i in living if i % self.rooms == ask.room] or living
        return near[int(unit(self.seed, ask.id, "front", number) * len(near))]


def digest(due_ns: int, request: bytes) -> int:
    """Of one request and when it is due. Those of a day are combined by exclusive or: their order does not
    matter."""
    return int.from_bytes(hashlib.blake2b(b"%d " % due_ns + request, digest_size=16).digest(), "big")


class Clients:
    """All the clients of one load process."""

    def __init__(self, plan: Plan, asks: Sequence[Ask], front: Front) -> None:
        self.plan, self.asks, self.front = plan, asks, front
        self.seed = plan.scenario.seed
        self.classes = {cls.name: cls for cls in plan.scenario.classes}
        self.idle: list[list[Connection]] = [[] for _ in front.addresses]
        self.rows: list[Try] = []
        self.late_ns: list[int] = []  # how late each first try was begun
        self.counts: Counter[str] = Counter()  # for the progress line
        self.offered = 0  # a digest of all first tries, as they were to be sent
        self.short = 0  # connections that could not be opened for want of descriptors or ports here
        self.group: asyncio.TaskGroup | None = None

    async def play(self, start_ns: int) -> None:
        """From the start of the day until each request has come to its end. An error in one ends them all:
        a request that the kit itself lost must not be charged to a balancer."""
        async with asyncio.TaskGroup() as self.group:
            for ask in self.asks:
                due = start_ns + ask.due_ns
                while (wait := due - time.monotonic_ns()) > 0:
                    await asyncio.sleep(wait / 1e9)
                self.group.create_task(self._serve(ask, due))
        for balancer in range(len(self.idle)):
            while connection := self._kept(balancer):  # one that got more than it asked for is told of
                connection.abort()

    async def _serve(self, ask: Ask, due_ns: int) -> None:
        """One request, over all its tries."""
        self.late_ns.append(time.monotonic_ns() - due_ns)
        self.counts["asked"] += 1
        cls = self.classes[ask.class_name]
        end_ns = due_ns + round(cls.deadline_ms * 1e6)
        leaves_ns = due_ns + ask.walk_off_ns if ask.walk_off_ns else NEVER
        for number in range(ask.tries):
            now = time.monotonic_ns()
            wait_ns = min(ask.try_ns, end_ns - now)
            if wait_ns < 1_000_000 or now >= leaves_ns:
                break
            answer = await self._try(ask, number, wait_ns, leaves_ns)
            if answer.how == "answer" and answer.status == 200:
                in_time = time.monotonic_ns() - due_ns <= cls.aim_ms * 1e6
                self.counts["served" if in_time else "late"] += 1
                return
            if answer.how == "walked off":
                break
            wait_s = ask.backoff_ns / 1e9
            if ask.heeds:
                wait_s = max(wait_s, answer.retry_after_s)
            if number + 1 == ask.tries or time.monotonic_ns() + wait_s * 1e9 >= end_ns:
                break
            await asyncio.sleep(wait_s)
        self.counts["unserved"] += 1

    async def _try(self, ask: Ask, number: int, wait_ns: int, leaves: int) -> Answer:
        """One try; its time counts from when it was sent, as `X-Deadline-Ms` tells the balancer."""
        balancer = self.front.deal(ask, number)
        request = self._request(ask, number, wait_ns)
        if number == 0:
            self.offered ^= digest(ask.due_ns, request)
        began = time.monotonic_ns()
        for fresh in (False, True):
            connection = None if fresh else self._kept(balancer)
            kept = connection is not None
            if connection is None:
                connection = await self._connect(balancer, wait_ns / 1e9)
            if connection is None:
                self._row(ask, number, balancer, began, 0, began + wait_ns, Answer("unconnected"))
                return Answer("unconnected")
            waiter = connection.ask(ask.try_id(number), request)
            sent = time.monotonic_ns()
            until = sent + wait_ns
            stop = min(until, leaves)
            await asyncio.wait([waiter], timeout=max(0.0, (stop - sent) / 1e9))
            if not waiter.done():
                if stop == leaves and leaves < until:
                    answer = Answer("walked off")
                    connection.abort()
                    self._row(ask, number, balancer, began, sent, until, answer)
                    return answer
                # The client goes on; what still comes within the grace is looked at beside it.
                assert self.group is not None
                self.group.create_task(self._watch(ask, number, balancer, began, sent, until, connection))
                return Answer("silent")
            answer = waiter.result()
            if answer.how == "broken" and kept and not connection.begun:
                self._row(ask, number, balancer, began, 0, until, Answer("crossed"))
                continue
            if answer.how == "answer":
                self._keep(balancer, connection)
            self._row(ask, number, balancer, began, sent, until, answer)
            return answer
        raise AssertionError("a fresh connection is not a kept one")

    async def _watch(
        self, ask: Ask, number: int, balancer: int, began: int, sent: int, until: int, connection: Connection
    ) -> None:
        assert connection.waiter is not None
        await asyncio.wait(
            [connection.waiter], timeout=max(0.0, (until + GRACE_NS - time.monotonic_ns()) / 1e9)
        )
        answer = connection.waiter.result() if connection.waiter.done() else Answer("silent")
        if answer.how == "answer":
            answer.how = "late"
        connection.abort()
        self._row(ask, number, balancer, began, sent, until, answer)

    def _row(
        self, ask: Ask, number: int, balancer: int, began: int, sent: int, until: int, answer: Answer
    ) -> None:
        name = ask.try_id(number)
        box = check_body(self.seed, name, answer.body) or "" if answer.status == 200 else ""
        self.rows.append(
            Try(
                ask.number,
                number,
                name,
                balancer,
                began,
                sent,
                time.monotonic_ns(),
                until,
                answer.how,
                answer.status,
                box,
            )
        )

    def _request(self, ask: Ask, number: int, left_ns: int) -> bytes:
        cls = self.classes[ask.class_name]
        name = ask.try_id(number)
        body = b"q" * cls.body_bytes if cls.effect != "safe" else b""
        rows = [
            ("Host", "rehearsal.local"),
            ("X-Request-Id", name),
            ("X-Class", cls.name),
            ("X-Tenant", ask.tenant),
            ("X-Deadline-Ms", left_ns // 1_000_000),
        ]
        if ask.hint_us:
            rows.append(("X-Cost-Hint", ask.hint_us))
        if number and self.plan.scenario.clients.marks_retry:
            rows.append(("X-Retry", 1))
        if cls.effect != "safe":
            rows.append(("Content-Length", len(body)))
        if cls.effect == "keyed":
            rows.append(("Idempotency-Key", ask.id))
        head = "".join(f"{key}: {value}\r\n" for key, value in rows)
        method = "GET" if cls.effect == "safe" else "POST"
        return f"{method} /{cls.name}?obj={ask.key} HTTP/1.1\r\n{head}\r\n".encode() + body

    def _kept(self, balancer: int) -> Connection | None:
        idle, now = self.idle[balancer], asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.extra:
                self._extra(balancer, connection)
            elif not connection.closed and now - connection.idle_since < KEPT_S:
                return connection
            connection.abort()
        return None

    def _keep(self, balancer: int, connection: Connection) -> None:
        if connection.extra:
            self._extra(balancer, connection)
            connection.extra = False  # told of
        if connection.keep and not connection.closed:
            connection.idle_since = asyncio.get_running_loop().time()
            self.idle[balancer].append(connection)
        else:
            connection.abort()

    def _extra(self, balancer: int, connection: Connection) -> None:
        now = time.monotonic_ns()
        self.rows.append(Try(-1, 0, connection.asked, balancer, now, now, now, now, "extra"))

    async def _connect(self, balancer: int, left_s: float) -> Connection | None:
        try:
            async with asyncio.timeout(min(left_s, CONNECT_S)):
                _, connection = await asyncio.get_running_loop().create_connection(
                    Connection, *self.front.addresses[balancer]
                )
        except (TimeoutError, ConnectionError):
            return None
        except OSError:  # no descriptor, no port: the kit's own want, and no balancer's fault
            self.short += 1
            return None
        return connection
