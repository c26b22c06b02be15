"""The operators' address: HTTP/1.1, one call to a connection. 2xx is yes, 4xx and 5xx are no.

| call | does |
| --- | --- |
| GET /api/ready | yes once this process can serve, until it leaves |
| GET /api/telemetry | the figures (`net/figures.py`) |
| POST /api/evacuate | empty the balancer: `/ready` says no, connections end; it runs on |
| POST /api/rejoin | end of that |
| GET /api/leases | what this member of a fleet knows of leases, as JSON; only where there is a fleet |
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Protocol, cast

from lanelift.net.driver import Driver
from lanelift.net.figures import CONTENT_TYPE
from lanelift.net.frontend import Frontend
from lanelift.net.parse import Headers, Request, RequestReader, message, status_line

log = logging.getLogger(__name__)

# Callers at once. Whoever comes when all places are taken gets that of the one that has waited longest:
# callers that hold a connection and say nothing must not keep the others out.
PLACES = 8
CALL_S = 10.0  # a call that is not whole by then is given up
MAX_CALL = 4096  # bytes: a call has no body to speak of
Answer = tuple[int, Headers, bytes]


class Fleet(Protocol):
    """What operators may ask of a member of a fleet."""

    def view(self) -> bytes: ...

    def figures(self) -> str: ...


class Operator:
    """Listens for operators' calls and answers them at once."""

    def __init__(self, driver: Driver, frontend: Frontend, fleet: Fleet | None = None) -> None:
        self.fleet = fleet
        self.driver = driver
        self.frontend = frontend
        self.callers: dict[Caller, None] = {}  # the longest first
        self.server: asyncio.Server | None = None
        self.calls: dict[bytes, tuple[bytes, Callable[[], Answer]]] = {
            b"/api/ready": (b"GET", self._ready),
            b"/api/telemetry": (b"GET", self._telemetry),
            b"/api/evacuate": (b"POST", self._evacuate),
            b"/api/rejoin": (b"POST", self._rejoin),
        }
        if fleet is not None:
            self.calls[b"/api/leases"] = b"GET", self._leases

    async def listen(self, bound: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Caller(self), sock=bound, backlog=4 * PLACES)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            caller.abort()

    def came(self, caller: Caller) -> None:
        if len(self.callers) >= PLACES:
            next(iter(self.callers)).abort()
        self.callers[caller] = None

    def answer(self, call: Request) -> Answer:
        path = call.target.partition(b"?")[0]
        if path not in self.calls:
            return 404, [], b"no such call; there are: " + b" ".join(self.calls) + b"\n"
        method, answer = self.calls[path]
        if call.method != method:
            return 405, [(b"Allow", method)], b"%b is the method of this call\n" % method
        return answer()

    def _ready(self) -> Answer:
        serves = self.driver.ready and not self.frontend.leaving
        return (200, [], b"ready\n") if serves else (503, [], b"not ready\n")

    def _telemetry(self) -> Answer:
        figures = self.driver.telemetry() + (self.fleet.figures() if self.fleet is not None else "")
        return 200, [(b"Content-Type", CONTENT_TYPE)], figures.encode()

    def _leases(self) -> Answer:
        assert self.fleet is not None
        return 200, [(b"Content-Type", b"application/json")], self.fleet.view()

    def _evacuate(self) -> Answer:
        self.frontend.evacuate()
        return 200, [], b"evacuating\n"

    def _rejoin(self) -> Answer:
        if self.frontend.rejoin():
            return 200, [], b"rejoined\n"
        return 409, [], b"it is leaving, on SIGTERM\n"


class Caller(asyncio.Protocol):
    """One operator's connection, for one call."""

    def __init__(self, operator: Operator) -> None:
        self.operator = operator
        self.reader = RequestReader()
        self.read = 0  # bytes so far
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = asyncio.get_running_loop().call_later(CALL_S, self.abort)
        self.operator.came(self)

    def data_received(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.read += len(data)
        self.reader.feed(data)
        fault = self.reader.fault
        if self.reader.ready:
            self._answer(*self._called(self.reader.ready.popleft()))
        elif fault is not None:
            self._answer(fault.status, [], f"{fault}\n".encode())
        elif self.read > MAX_CALL:
            self._answer(413, [], b"the call is too large\n")

    def _called(self, call: Request) -> Answer:
        try:
            return self.operator.answer(call)
        except Exception:
            log.exception("an operator's call failed")
            return 500, [], b"failed\n"

    def _answer(self, status: int, headers: Headers, body: bytes) -> None:
        assert self.transport is not None
        rows = [*headers, (b"Content-Length", b"%d" % len(body)), (b"Connection", b"close")]
        self.transport.write(message(status_line(status), rows, body))
        self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.operator.callers.pop(self, None)
        self.reader.close()
        if self.timer is not None:
            self.timer.cancel()
