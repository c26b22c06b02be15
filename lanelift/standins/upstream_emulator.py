"""A stand-in quote box on a socket: PROTOCOL's upstream side, driven by the model in `box.py`.

One `QuoteBox` is an address; one `Box` after the other lives there. It answers `/health`, `/status/load` and
requests, turns away what it has no room for, and can be made to die, freeze, slow down, drain and vanish.
It keeps one row for each attempt that reached it: what a judge needs, from the box's side of the socket
alone.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from lanelift.standins.box import Box, BoxSpec
from lanelift.standins.http import Connection, Request, Server, Timer
from lanelift.standins.seeded_random import stamp, unit

NOT_RUN = (("X-Not-Run", "1"),)
SWEEP_NS = 100_000_000  # idle connections are closed so much after their time at the latest
COMPLAINTS = 100  # kept of one box: a caller that runs amok must not fill the kit


class Attempt(NamedTuple):
    """One request as it reached a box. `closed_ns`: until when it was out, as seen from here."""

    id: str
    box: str  # the life that it met
    first_ns: int
    last_ns: int
    closed_ns: int
    how: str  # served, error, full, draining, dropped, cold fall, died, unknown, unanswered
    ran: bool  # it was worked on
    work_ns: int


@dataclass(frozen=True, slots=True)
class SocketOptions:
    """How its sockets behave, beside the model. Times in ns."""

    connections: int = 500
    idle_ns: int = 15_000_000_000
    handshake_ns: int = 100_000  # work that the first request of a connection costs more
    probe_ns: int = 40_000  # work that an answer to a probe costs
    report_ns: int = 2_000_000  # a load report is as old as this at the most
    error_part: float = 0.0


def body_of(seed: int, try_id: str, life: str) -> bytes:
    """What a box answers: whose work it is, which request's, and a stamp that proves both."""
    return f"{life} {try_id} {stamp(seed, life, try_id)}\n".encode()


def check_body(seed: int, try_id: str, body: bytes) -> str | None:
    """The life of the box that made this answer for this request; None: no box made it."""
    words = body.decode("latin-1").split()
    return words[0] if len(words) == 3 and body == body_of(seed, try_id, words[0]) else None


class UpstreamEmulator(Server):
    """`cost(try_id)` is a request's work in ns; None: no client sent it. `life(n)` names the n-th life."""

    def __init__(
        self,
        spec: BoxSpec,
        sockets: SocketOptions,
        seed: int,
        life: Callable[[int], str],
        cost: Callable[[str], int | None],
    ) -> None:
        super().__init__()
        self.spec, self.sockets, self.seed = spec, sockets, seed
        self.life, self.cost = life, cost
        self.number = -1
        self.box = Box(spec, 0)
        self.open: dict[str, tuple[Request, str, int]] = {}  # by "id/count": an id may come more than once
        self.count = 0
        self.withheld: list[Request] = []  # came while it stood still
        self.rows: list[Attempt] = []
        self.falls: list[tuple[int, str, str]] = []  # when, which life, the request that did it
        self.complaints: list[str] = []  # what no client sent, and what is no HTTP
        self.draining = self.vanished = False
        self.report = (0, 0, 0)  # when it was made, inflight, queue
        self.timer = Timer(self._tick)
        self.sweeper = Timer(self._sweep)

    # ---- what is done to it -----------------------------------------------------------------------------

    async def start(self, cold: bool, port: int = 0) -> None:
        """A new life begins at this address."""
        self.number += 1
        self.box = Box(self.spec, time.monotonic_ns(), cold)
        self.draining = self.vanished = False
        self.report = (0, 0, 0)
        await self.listen(port)

    def die(self) -> None:
        """The process dies: connections are reset, new ones refused, and what it held is gone."""
        self._end_all("died")
        self.timer.at(None)
        self.sweeper.at(None)
        self.close()

    def drain(self) -> None:
        """It finishes what it has and turns away what comes."""
        self.draining = True

    def vanish(self) -> None:
        """Connections stay open, and nothing is answered any more."""
        self.vanished = True
        self.timer.at(None)

    def freeze(self, length_ns: int) -> None:
        now = time.monotonic_ns()
        self.box.freeze(now + length_ns, now)
        self._tick()

    def share(self, taken: float) -> None:
        self.box.share(taken, time.monotonic_ns())
        self._tick()

    # ---- requests ---------------------------------------------------------------------------------------

    def connected(self, connection: Connection) -> None:
        if len(self.connections) >= self.sockets.connections:
            connection.abort()  # before anything came on it: nothing can have run
            return
        super().connected(connection)
        if self.sweeper.handle is None:
            self.sweeper.at(time.monotonic_ns() + self.sockets.idle_ns)

    def requested(self, request: Request) -> None:
        self._advance(request.last_ns)
        if self.box.frozen or self.vanished:
            self.withheld.append(request)
            self._later()
            return
        self._take(request)
        self._later()

    def _take(self, request: Request) -> None:
        now = time.monotonic_ns()
        if request.gone_ns:
            self._row(request, "dropped", request.gone_ns, False, 0)
            return
        if request.path in ("/health", "/status/load"):
            self._probe(request, now)
            return
        name = request.headers.get("x-request-id", "")
        cost = self.cost(name) if name else None
        if cost is None:
            if name:
                self._complain(f"request {name!r} was sent by no client")
            self._row(request, "unknown", now, False, 0)
            request.answer(400 if name else 404)
            return
        if self.draining:
            self._turn_away(request, "draining", now)
            return
        work = cost + (self.sockets.handshake_ns if request.number == 0 else 0)
        self.count += 1
        key = f"{name}/{self.count}"
        stood = not self.box.fallen_ns
        if self.box.offer(key, work, now):
            self.open[key] = (request, self.life(self.number), work)
        elif self.box.fallen_ns and stood:
            self._fall(request, name, now)
        else:
            self._turn_away(request, "full", now)

    def _turn_away(self, request: Request, how: str, now: int) -> None:
        self._row(request, how, now, False, 0)
        request.answer(503, headers=NOT_RUN)

    def _fall(self, request: Request, name: str, now: int) -> None:
        """Pushed over: it holds nothing any more and stays down."""
        self.falls.append((now, self.life(self.number), name))
        self._row(request, "cold fall", now, False, 0)
        self.die()

    def _probe(self, request: Request, now: int) -> None:
        if request.path == "/health":
            request.answer(503 if self.draining else 200)
            return
        made, held, queue = self.report
        if now - made >= self.sockets.report_ns:
            held, queue = self.box.held, self.box.queue
            self.report = (now, held, queue)
        self.box.toll(self.sockets.probe_ns, now)
        self._later()
        request.answer(200, f"inflight={held},queue={queue}".encode())

    def lost(self, connection: Connection) -> None:
        super().lost(connection)
        if not connection.open:
            return
        for key in [k for k, (request, _, _) in self.open.items() if request.connection is connection]:
            request, life, _work = self.open[key]
            if self.box.drop(key, request.gone_ns):
                del self.open[key]
                self._row(request, "dropped", request.gone_ns, False, 0, life)
        self._later()

    # ---- time -------------------------------------------------------------------------------------------

    def _tick(self) -> None:
        self._advance(time.monotonic_ns())
        if self.withheld and not self.box.frozen and not self.vanished:
            requests, self.withheld = self.withheld, []
            for request in requests:
                self._take(request)
        self._later()

    def _advance(self, now: int) -> None:
        for done in self.box.advance(now):
            if self.vanished:
                continue
            request, life, _work = self.open[done.job]
            failed = unit(self.seed, "error", done.job.partition("/")[0], life) < self.sockets.error_part
            self._end(done.job, "error" if failed else "served", time.monotonic_ns())
            if not request.gone_ns:
                body = b"" if failed else body_of(self.seed, done.job.partition("/")[0], life)
                request.answer(500 if failed else 200, body)

    def _end(self, key: str, how: str, now: int, ran: bool = True) -> None:
        request, life, work = self.open.pop(key)
        how = "unanswered" if request.gone_ns else how
        self._row(request, how, request.gone_ns or now, ran, work if ran else 0, life)

    def _row(
        self, request: Request, how: str, closed_ns: int, ran: bool, work_ns: int, life: str = ""
    ) -> None:
        name = request.headers.get("x-request-id", "")
        if name:
            self.rows.append(
                Attempt(
                    name,
                    life or self.life(self.number),
                    request.first_ns,
                    request.last_ns,
                    closed_ns,
                    how,
                    ran,
                    work_ns,
                )
            )

    def _later(self) -> None:
        if self.vanished:
            return
        due = self.box.next_ns()
        if self.withheld:
            due = min(due or self.box.frozen_until_ns, self.box.frozen_until_ns)
        self.timer.at(due)

    def _sweep(self) -> None:
        """Close what has stood idle for its time."""
        now = time.monotonic_ns()
        idle = [c for c in self.connections if not c.open and c.partial_request is None]
        for connection in idle:
            if connection.used_ns + self.sockets.idle_ns <= now:
                connection.abort()
        if self.connections:
            first = min((c.used_ns for c in self.connections), default=now) + self.sockets.idle_ns
            self.sweeper.at(max(first, now + SWEEP_NS))

    def malformed(self, connection: Connection, why: str) -> None:
        self._complain(f"no HTTP came: {why}")

    def _complain(self, text: str) -> None:
        if len(self.complaints) < COMPLAINTS:
            self.complaints.append(text)

    def unfinished(self) -> Sequence[Attempt]:
        """Rows of what is still open, as at the end of a day."""
        self._end_all("unanswered")
        return self.rows

    def _end_all(self, how: str) -> None:
        """A row for each attempt that is open, also for those that it has not looked at."""
        now = time.monotonic_ns()
        waiting = {job for _, job, _ in self.box.waiting}
        for key in list(self.open):
            self._end(key, how, now, key not in waiting)
        for request in self.withheld:
            self._row(request, how, request.gone_ns or now, False, 0)
        self.withheld.clear()
