"""The clients of a rehearsal: they send the requests of the plan when they are due and record the results.

The load is open loop: nothing that a balancer does or fails to do changes when the next request is due. A
connection carries one request at a time and is kept alive. Requests are retried only as the plan says, with
one exception: if a reused connection is closed while a request is sent on it, the request is sent again on a
new connection, as PROTOCOL specifies.
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

from lanelift.rehearsal.plan import NEVER, Plan, ScheduledRequest
from lanelift.rehearsal.records import GRACE_NS, Try
from lanelift.standins.seeded_random import unit
from lanelift.standins.upstream_emulator import check_body

CONNECT_TIMEOUT_S = 1.0  # an attempt to connect to a balancer is abandoned after this time
MAX_ANSWER = 1 << 20  # limits the bytes of an answer's body: a faulty balancer cannot exhaust the memory
IDLE_TIMEOUT_S = 30.0  # clients close a connection that has been idle for longer than this


@dataclass(slots=True)
class Answer:
    """The result of one exchange. `result` has the same values as in `records.Try`."""

    result: str
    status: int = 0
    body: bytes = b""
    retry_after_s: float = 0.0


class Connection(asyncio.Protocol):
    """A client's connection to a balancer."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.waiter: asyncio.Future[Answer] | None = None
        self.status = 0
        self.body = bytearray()
        self.retry_after_s = 0.0
        self.started = self.complete = self.closed = False
        self.unexpected_data = False  # whether bytes have arrived that are not part of an expected answer
        self.keep_alive = True
        self.last_try_id = ""  # the id of the most recent try
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, try_id: str, data: bytes) -> asyncio.Future[Answer]:
        """Sends the request of a try. The returned future always gets an Answer, never an exception."""
        assert self.transport is not None
        self.waiter = asyncio.get_running_loop().create_future()
        self.parser = httptools.HttpResponseParser(self)
        self.status, self.retry_after_s = 0, 0.0
        self.body = bytearray()
        self.started = self.complete = False
        self.last_try_id = try_id
        self.transport.write(data)
        return self.waiter

    def data_received(self, data: bytes) -> None:
        if self.waiter is None or self.complete:
            self.unexpected_data = True
            self.abort()
            return
        self.started = True
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.complete:
                self.unexpected_data = True
            else:
                self._resolve(Answer("garbage", self.status))
            self.abort()

    def on_message_begin(self) -> None:
        if self.complete:
            self.unexpected_data = True

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
        if self.complete or self.parser.get_status_code() < 200:
            return
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()
        self.status = self.parser.get_status_code()
        self._resolve(Answer("answer", self.status, bytes(self.body), self.retry_after_s))

    def eof_received(self) -> bool:
        self.abort()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self._resolve(Answer("broken"))

    def abort(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            self.transport.abort()
        self.closed = True
        self._resolve(Answer("broken"))

    def _resolve(self, answer: Answer) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(answer)


class Front:
    """Emulates the front, the tier that clients connect through, which chooses a balancer for each try.

    The front chooses among the balancers of the client's room that it believes to be alive, or among those of
    all rooms if the client's room has none. The front learns of a balancer's death only after a delay."""

    def __init__(self, plan: Plan, addresses: Sequence[tuple[str, int]]) -> None:
        self.seed = plan.scenario.seed
        self.rooms = len(plan.scenario.fleet.rooms)
        self.addresses = addresses
        self.alive = [True] * len(addresses)

    def choose_balancer(self, request: ScheduledRequest, number: int) -> int:
        """Returns the balancer for a try."""
        alive = [i for i, up in enumerate(self.alive) if up] or list(range(len(self.alive)))
        near = [i for i in alive if i % self.rooms == request.room] or alive
        return near[int(unit(self.seed, request.id, "front", number) * len(near))]


def digest(due_ns: int, data: bytes) -> int:
    """Returns a digest of one request and its due time. The digests of a day are combined by exclusive or, so
    that their order does not matter."""
    return int.from_bytes(hashlib.blake2b(b"%d " % due_ns + data, digest_size=16).digest(), "big")


class Clients:
    """All the clients of one load process."""

    def __init__(self, plan: Plan, requests: Sequence[ScheduledRequest], front: Front) -> None:
        self.plan, self.requests, self.front = plan, requests, front
        self.seed = plan.scenario.seed
        self.classes = {cls.name: cls for cls in plan.scenario.classes}
        self.idle: list[list[Connection]] = [[] for _ in front.addresses]
        self.tries: list[Try] = []
        self.start_delays_ns: list[int] = []  # for each first try, how long after its due time it was started
        self.counts: Counter[str] = Counter()  # counts for the progress line
        self.offered = 0  # the combined digests of all first tries and their due times
        # Counts the connections that could not be opened because the kit had no descriptor or port left.
        self.connect_shortages = 0
        self.group: asyncio.TaskGroup | None = None

    async def run(self, start_ns: int) -> None:
        """Sends all requests and waits until each is finished. An exception in one request cancels the
        others, since a request that the kit itself lost must not be counted against a balancer."""
        async with asyncio.TaskGroup() as self.group:
            for request in self.requests:
                due = start_ns + request.due_ns
                while (wait := due - time.monotonic_ns()) > 0:
                    await asyncio.sleep(wait / 1e9)
                self.group.create_task(self._send_request(request, due))
        for balancer in range(len(self.idle)):
            while connection := self._take_idle(balancer):  # _take_idle records unexpected data
                connection.abort()

    async def _send_request(self, request: ScheduledRequest, due_ns: int) -> None:
        """Sends one request, with all its tries."""
        self.start_delays_ns.append(time.monotonic_ns() - due_ns)
        self.counts["asked"] += 1
        cls = self.classes[request.class_name]
        end_ns = due_ns + round(cls.deadline_ms * 1e6)
        abandon_ns = due_ns + request.abandon_after_ns if request.abandon_after_ns else NEVER
        for number in range(request.max_tries):
            now = time.monotonic_ns()
            wait_ns = min(request.try_timeout_ns, end_ns - now)
            if wait_ns < 1_000_000 or now >= abandon_ns:
                break
            answer = await self._try(request, number, wait_ns, abandon_ns)
            if answer.result == "answer" and answer.status == 200:
                in_time = time.monotonic_ns() - due_ns <= cls.aim_ms * 1e6
                self.counts["served" if in_time else "late"] += 1
                return
            if answer.result == "walked off":
                break
            wait_s = request.backoff_ns / 1e9
            if request.honours_retry_after:
                wait_s = max(wait_s, answer.retry_after_s)
            if number + 1 == request.max_tries or time.monotonic_ns() + wait_s * 1e9 >= end_ns:
                break
            await asyncio.sleep(wait_s)
        self.counts["unserved"] += 1

    async def _try(self, request: ScheduledRequest, number: int, wait_ns: int, abandon_ns: int) -> Answer:
        """Makes one try. The try's timeout, sent as `X-Deadline-Ms`, starts when the request is sent."""
        balancer = self.front.choose_balancer(request, number)
        data = self._encode(request, number, wait_ns)
        if number == 0:
            self.offered ^= digest(request.due_ns, data)
        began = time.monotonic_ns()
        for fresh in (False, True):
            connection = None if fresh else self._take_idle(balancer)
            reused = connection is not None
            if connection is None:
                connection = await self._connect(balancer, wait_ns / 1e9)
            if connection is None:
                self._record(request, number, balancer, began, 0, began + wait_ns, Answer("unconnected"))
                return Answer("unconnected")
            waiter = connection.send(request.try_id(number), data)
            sent = time.monotonic_ns()
            deadline_ns = sent + wait_ns
            stop = min(deadline_ns, abandon_ns)
            await asyncio.wait([waiter], timeout=max(0.0, (stop - sent) / 1e9))
            if not waiter.done():
                if stop == abandon_ns and abandon_ns < deadline_ns:
                    answer = Answer("walked off")
                    connection.abort()
                    self._record(request, number, balancer, began, sent, deadline_ns, answer)
                    return answer
                # The client goes on to its next try. A background task waits for an answer in the grace time.
                assert self.group is not None
                self.group.create_task(
                    self._record_after_deadline(
                        request, number, balancer, began, sent, deadline_ns, connection
                    )
                )
                return Answer("silent")
            answer = waiter.result()
            if answer.result == "broken" and reused and not connection.started:
                self._record(request, number, balancer, began, 0, deadline_ns, Answer("crossed"))
                continue
            if answer.result == "answer":
                self._release(balancer, connection)
            self._record(request, number, balancer, began, sent, deadline_ns, answer)
            return answer
        raise AssertionError("the second round always uses a new connection")

    async def _record_after_deadline(
        self,
        request: ScheduledRequest,
        number: int,
        balancer: int,
        began: int,
        sent: int,
        deadline_ns: int,
        connection: Connection,
    ) -> None:
        """Waits for the answer until the grace time after the deadline has passed, then records the try."""
        assert connection.waiter is not None
        await asyncio.wait(
            [connection.waiter], timeout=max(0.0, (deadline_ns + GRACE_NS - time.monotonic_ns()) / 1e9)
        )
        answer = connection.waiter.result() if connection.waiter.done() else Answer("silent")
        if answer.result == "answer":
            answer.result = "late"
        connection.abort()
        self._record(request, number, balancer, began, sent, deadline_ns, answer)

    def _record(
        self,
        request: ScheduledRequest,
        number: int,
        balancer: int,
        began: int,
        sent: int,
        deadline_ns: int,
        answer: Answer,
    ) -> None:
        try_id = request.try_id(number)
        box = check_body(self.seed, try_id, answer.body) or "" if answer.status == 200 else ""
        self.tries.append(
            Try(
                request.number,
                number,
                try_id,
                balancer,
                began,
                sent,
                time.monotonic_ns(),
                deadline_ns,
                answer.result,
                answer.status,
                box,
            )
        )

    def _encode(self, request: ScheduledRequest, number: int, left_ns: int) -> bytes:
        cls = self.classes[request.class_name]
        try_id = request.try_id(number)
        body = b"q" * cls.body_bytes if cls.effect != "safe" else b""
        rows = [
            ("Host", "rehearsal.local"),
            ("X-Request-Id", try_id),
            ("X-Class", cls.name),
            ("X-Tenant", request.tenant),
            ("X-Deadline-Ms", left_ns // 1_000_000),
        ]
        if request.hint_us:
            rows.append(("X-Cost-Hint", request.hint_us))
        if number and self.plan.scenario.clients.marks_retry:
            rows.append(("X-Retry", 1))
        if cls.effect != "safe":
            rows.append(("Content-Length", len(body)))
        if cls.effect == "keyed":
            rows.append(("Idempotency-Key", request.id))
        head = "".join(f"{key}: {value}\r\n" for key, value in rows)
        method = "GET" if cls.effect == "safe" else "POST"
        return f"{method} /{cls.name}?obj={request.object_key} HTTP/1.1\r\n{head}\r\n".encode() + body

    def _take_idle(self, balancer: int) -> Connection | None:
        idle, now = self.idle[balancer], asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.unexpected_data:
                self._record_unexpected_data(balancer, connection)
            elif not connection.closed and now - connection.idle_since < IDLE_TIMEOUT_S:
                return connection
            connection.abort()
        return None

    def _release(self, balancer: int, connection: Connection) -> None:
        if connection.unexpected_data:
            self._record_unexpected_data(balancer, connection)
            connection.unexpected_data = False  # cleared, so that the unexpected data is not recorded again
        if connection.keep_alive and not connection.closed:
            connection.idle_since = asyncio.get_running_loop().time()
            self.idle[balancer].append(connection)
        else:
            connection.abort()

    def _record_unexpected_data(self, balancer: int, connection: Connection) -> None:
        now = time.monotonic_ns()
        self.tries.append(Try(-1, 0, connection.last_try_id, balancer, now, now, now, now, "extra"))

    async def _connect(self, balancer: int, left_s: float) -> Connection | None:
        try:
            async with asyncio.timeout(min(left_s, CONNECT_TIMEOUT_S)):
                _, connection = await asyncio.get_running_loop().create_connection(
                    Connection, *self.front.addresses[balancer]
                )
        except (TimeoutError, ConnectionError):
            return None
        except OSError:  # the kit has no descriptor or port left, which is not a fault of the balancer
            self.connect_shortages += 1
            return None
        return connection
