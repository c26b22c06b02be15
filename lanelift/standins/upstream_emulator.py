"""An emulated upstream on a socket: PROTOCOL's upstream side, driven by the model in `box.py`.

An `UpstreamEmulator` is one address, at which successive instances of a box run, each with its own `Box`. The
emulator answers `/health`, `/status/load` and requests, rejects requests when the box is full, and can be
made to die, freeze, slow down, drain and vanish. It records each attempt that reached it, as seen from the
box's side of the socket alone; the verdict is computed from these records.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from lanelift.standins.box import Box, BoxSpec
from lanelift.standins.http import Connection, Request, Server, Timer
from lanelift.standins.seeded_random import keyed_digest, unit

NOT_RUN = (("X-Not-Run", "1"),)
SWEEP_NS = 100_000_000  # an idle connection is closed at most this long after its timeout
MAX_COMPLAINTS = 100  # limits the complaints kept per box, so that a faulty caller cannot exhaust the memory


class Attempt(NamedTuple):
    """One request as it reached a box. `closed_ns` is when the request ended, as seen by the box."""

    id: str
    box: str  # the id of the instance that received it
    first_ns: int
    last_ns: int
    closed_ns: int
    result: str  # served, error, full, draining, dropped, cold fall, died, unknown or unanswered
    ran: bool  # whether the box has worked on the request
    work_ns: int


@dataclass(frozen=True, slots=True)
class SocketOptions:
    """How the sockets of an emulator behave. Times are in ns."""

    connections: int = 500
    idle_ns: int = 15_000_000_000
    handshake_ns: int = 100_000  # extra work of the first request on a connection
    probe_ns: int = 40_000  # work that answering a probe takes
    report_ns: int = 2_000_000  # a load report of this age is replaced by a new one
    error_part: float = 0.0


def body_of(seed: int, try_id: str, instance_id: str) -> bytes:
    """Returns the body of a box's answer: the instance, the request, and a digest that proves both."""
    return f"{instance_id} {try_id} {keyed_digest(seed, instance_id, try_id)}\n".encode()


def check_body(seed: int, try_id: str, body: bytes) -> str | None:
    """Returns the id of the instance that made this answer to this request, or None if no box made it."""
    words = body.decode("latin-1").split()
    return words[0] if len(words) == 3 and body == body_of(seed, try_id, words[0]) else None


class UpstreamEmulator(Server):
    """The emulator of the boxes at one address.

    `work_of(try_id)` returns the work of a request in ns, or None if no client sent it. `instance_id(n)`
    returns the id of the n-th instance."""

    def __init__(
        self,
        spec: BoxSpec,
        sockets: SocketOptions,
        seed: int,
        instance_id: Callable[[int], str],
        work_of: Callable[[str], int | None],
    ) -> None:
        super().__init__()
        self.spec, self.sockets, self.seed = spec, sockets, seed
        self.instance_id, self.work_of = instance_id, work_of
        self.instance_number = -1
        self.box = Box(spec, 0)
        # Keys: "id/count", as an id may arrive again. Values: request, instance that received it, work.
        self.open_attempts: dict[str, tuple[Request, str, int]] = {}
        self.attempt_count = 0
        self.withheld: list[Request] = []  # requests received while the box was frozen or vanished
        self.attempts: list[Attempt] = []
        self.cold_overloads: list[tuple[int, str, str]] = []  # time, instance id, request that caused it
        self.complaints: list[str] = []  # requests that no client sent, and bytes that are not HTTP
        self.draining = self.vanished = False
        self.load_report = (0, 0, 0)  # time at which the report was made, requests in flight, queue length
        self.timer = Timer(self._tick)
        self.sweeper = Timer(self._sweep)

    # ---- lifecycle and faults ---------------------------------------------------------------------------

    async def start(self, cold: bool, port: int = 0) -> None:
        """Starts a new instance at this address."""
        self.instance_number += 1
        self.box = Box(self.spec, time.monotonic_ns(), cold)
        self.draining = self.vanished = False
        self.load_report = (0, 0, 0)
        await self.listen(port)

    def die(self) -> None:
        """Emulates the death of the process: resets connections, refuses new ones and loses all jobs."""
        self._finish_all("died")
        self.timer.at(None)
        self.sweeper.at(None)
        self.close()

    def drain(self) -> None:
        """Starts to drain: finishes the present jobs and rejects new requests."""
        self.draining = True

    def vanish(self) -> None:
        """Emulates a machine that has vanished: connections stay open and nothing is answered any more."""
        self.vanished = True
        self.timer.at(None)

    def freeze(self, length_ns: int) -> None:
        """Stops all progress for `length_ns`."""
        now = time.monotonic_ns()
        self.box.freeze(now + length_ns, now)
        self._tick()

    def set_stolen_share(self, stolen_share: float) -> None:
        """Sets the share of the machine that another program uses."""
        self.box.set_stolen_share(stolen_share, time.monotonic_ns())
        self._tick()

    # ---- requests ---------------------------------------------------------------------------------------

    def connected(self, connection: Connection) -> None:
        if len(self.connections) >= self.sockets.connections:
            connection.abort()  # no request has been read yet, so none can have run
            return
        super().connected(connection)
        if self.sweeper.handle is None:
            self.sweeper.at(time.monotonic_ns() + self.sockets.idle_ns)

    def requested(self, request: Request) -> None:
        self._advance(request.last_ns)
        if self.box.frozen or self.vanished:
            self.withheld.append(request)
            self._schedule()
            return
        self._handle(request)
        self._schedule()

    def _handle(self, request: Request) -> None:
        """Answers or rejects a request, or gives it to the box as a job."""
        now = time.monotonic_ns()
        if request.disconnected_ns:
            self._record(request, "dropped", request.disconnected_ns, False, 0)
            return
        if request.path in ("/health", "/status/load"):
            self._answer_probe(request, now)
            return
        try_id = request.headers.get("x-request-id", "")
        work_ns = self.work_of(try_id) if try_id else None
        if work_ns is None:
            if try_id:
                self._complain(f"request {try_id!r} was sent by no client")
            self._record(request, "unknown", now, False, 0)
            request.answer(400 if try_id else 404)
            return
        if self.draining:
            self._reject(request, "draining", now)
            return
        job_ns = work_ns + (self.sockets.handshake_ns if request.number == 0 else 0)
        self.attempt_count += 1
        key = f"{try_id}/{self.attempt_count}"
        was_up = not self.box.overloaded_ns
        if self.box.offer(key, job_ns, now):
            self.open_attempts[key] = (request, self.instance_id(self.instance_number), job_ns)
        elif self.box.overloaded_ns and was_up:
            self._fail_from_overload(request, try_id, now)
        else:
            self._reject(request, "full", now)

    def _reject(self, request: Request, result: str, now: int) -> None:
        self._record(request, result, now, False, 0)
        request.answer(503, headers=NOT_RUN)

    def _fail_from_overload(self, request: Request, try_id: str, now: int) -> None:
        """Handles a request that overloads a cold box: the instance loses all jobs and stays down."""
        self.cold_overloads.append((now, self.instance_id(self.instance_number), try_id))
        self._record(request, "cold fall", now, False, 0)
        self.die()

    def _answer_probe(self, request: Request, now: int) -> None:
        if request.path == "/health":
            request.answer(503 if self.draining else 200)
            return
        made_ns, held, queue = self.load_report
        if now - made_ns >= self.sockets.report_ns:
            held, queue = self.box.held, self.box.queue
            self.load_report = (now, held, queue)
        self.box.charge(self.sockets.probe_ns, now)
        self._schedule()
        request.answer(200, f"inflight={held},queue={queue}".encode())

    def lost(self, connection: Connection) -> None:
        super().lost(connection)
        if not connection.open:
            return
        for key in [
            k for k, (request, _, _) in self.open_attempts.items() if request.connection is connection
        ]:
            request, instance_id, _work = self.open_attempts[key]
            if self.box.drop(key, request.disconnected_ns):
                del self.open_attempts[key]
                self._record(request, "dropped", request.disconnected_ns, False, 0, instance_id)
        self._schedule()

    # ---- time -------------------------------------------------------------------------------------------

    def _tick(self) -> None:
        self._advance(time.monotonic_ns())
        if self.withheld and not self.box.frozen and not self.vanished:
            requests, self.withheld = self.withheld, []
            for request in requests:
                self._handle(request)
        self._schedule()

    def _advance(self, now: int) -> None:
        """Advances the box, and answers the requests whose jobs have ended."""
        for done in self.box.advance(now):
            if self.vanished:
                continue
            request, instance_id, _work = self.open_attempts[done.job]
            failed = (
                unit(self.seed, "error", done.job.partition("/")[0], instance_id) < self.sockets.error_part
            )
            self._finish(done.job, "error" if failed else "served", time.monotonic_ns())
            if not request.disconnected_ns:
                body = b"" if failed else body_of(self.seed, done.job.partition("/")[0], instance_id)
                request.answer(500 if failed else 200, body)

    def _finish(self, key: str, result: str, now: int, ran: bool = True) -> None:
        request, instance_id, job_ns = self.open_attempts.pop(key)
        result = "unanswered" if request.disconnected_ns else result
        self._record(request, result, request.disconnected_ns or now, ran, job_ns if ran else 0, instance_id)

    def _record(
        self, request: Request, result: str, closed_ns: int, ran: bool, work_ns: int, instance_id: str = ""
    ) -> None:
        try_id = request.headers.get("x-request-id", "")
        if try_id:
            self.attempts.append(
                Attempt(
                    try_id,
                    instance_id or self.instance_id(self.instance_number),
                    request.first_ns,
                    request.last_ns,
                    closed_ns,
                    result,
                    ran,
                    work_ns,
                )
            )

    def _schedule(self) -> None:
        """Sets the timer to the next event of the box, or to the end of a freeze."""
        if self.vanished:
            return
        due = self.box.next_ns()
        if self.withheld:
            due = min(due or self.box.frozen_until_ns, self.box.frozen_until_ns)
        self.timer.at(due)

    def _sweep(self) -> None:
        """Closes the connections whose idle timeout has expired."""
        now = time.monotonic_ns()
        idle = [c for c in self.connections if not c.open and c.partial_request is None]
        for connection in idle:
            if connection.last_used_ns + self.sockets.idle_ns <= now:
                connection.abort()
        if self.connections:
            first = min((c.last_used_ns for c in self.connections), default=now) + self.sockets.idle_ns
            self.sweeper.at(max(first, now + SWEEP_NS))

    def malformed(self, connection: Connection, why: str) -> None:
        self._complain(f"no HTTP came: {why}")

    def _complain(self, text: str) -> None:
        if len(self.complaints) < MAX_COMPLAINTS:
            self.complaints.append(text)

    def finish_attempts(self) -> Sequence[Attempt]:
        """Ends all open attempts, as at the end of a day. Returns the records of all attempts."""
        self._finish_all("unanswered")
        return self.attempts

    def _finish_all(self, result: str) -> None:
        """Ends and records each open attempt, and each request that was withheld."""
        now = time.monotonic_ns()
        waiting = {job for _, job, _ in self.box.waiting}
        for key in list(self.open_attempts):
            self._finish(key, result, now, key not in waiting)
        for request in self.withheld:
            self._record(request, result, request.disconnected_ns or now, False, 0)
        self.withheld.clear()
