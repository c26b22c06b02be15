"""The HTTP/1.1 server for operators' calls, one call per connection. 2xx means success, 4xx and 5xx failure.

| call | effect |
| --- | --- |
| GET /api/ready | succeeds while this process can serve and is not shutting down |
| GET /api/telemetry | returns the metrics (`net/metrics.py`) |
| POST /api/evacuate | drains the balancer: `/ready` fails, connections are closed; the process runs on |
| POST /api/rejoin | ends the drain |
| GET /api/leases | returns this fleet member's view of the leases, as JSON; exists only in a fleet |
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Protocol, cast

from lanelift.net.dispatch import Dispatcher
from lanelift.net.frontend import Frontend
from lanelift.net.http_messages import Headers, Request, encode_message, encode_status
from lanelift.net.http_parser import RequestParser
from lanelift.net.metrics import CONTENT_TYPE

log = logging.getLogger(__name__)

# While this number of callers is connected, a new caller replaces the caller that connected first: callers
# that hold a connection open without sending anything must not lock out the others.
MAX_CALLERS = 8
CALL_TIMEOUT_S = 10.0  # an incomplete call is aborted after this time
MAX_CALL_BYTES = 4096  # longest accepted call, in bytes; no call needs a body
Answer = tuple[int, Headers, bytes]  # status, headers, body


class FleetMember(Protocol):
    """The part of a fleet member that operators' calls use."""

    def view(self) -> bytes:
        """Returns the member's view of the leases, as JSON."""

    def metrics(self) -> str:
        """Returns the member's metrics, in the text format of `net/metrics.py`."""


class AdminServer:
    """Listens for operators' calls and answers them immediately.

    Attributes:
        callers: Open connections, the oldest first.
    """

    def __init__(self, dispatcher: Dispatcher, frontend: Frontend, fleet: FleetMember | None = None) -> None:
        self.callers: dict[AdminConnection, None] = {}
        self._dispatcher = dispatcher
        self._frontend = frontend
        self._fleet = fleet
        self._server: asyncio.Server | None = None
        self._calls: dict[bytes, tuple[bytes, Callable[[], Answer]]] = {
            b"/api/ready": (b"GET", self._ready),
            b"/api/telemetry": (b"GET", self._telemetry),
            b"/api/evacuate": (b"POST", self._evacuate),
            b"/api/rejoin": (b"POST", self._rejoin),
        }
        if fleet is not None:
            self._calls[b"/api/leases"] = b"GET", self._leases

    async def listen(self, bound_socket: socket.socket) -> None:
        """Accepts callers on a bound socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: AdminConnection(self), sock=bound_socket, backlog=4 * MAX_CALLERS
        )

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for caller in list(self.callers):
            caller.abort()

    def caller_connected(self, caller: AdminConnection) -> None:
        """Registers a new caller; if `MAX_CALLERS` are connected, the oldest is disconnected."""
        if len(self.callers) >= MAX_CALLERS:
            next(iter(self.callers)).abort()
        self.callers[caller] = None

    def answer(self, call: Request) -> Answer:
        """Executes a call and returns its answer."""
        path = call.target.partition(b"?")[0]
        if path not in self._calls:
            return 404, [], b"no such call; there are: " + b" ".join(self._calls) + b"\n"
        method, answer = self._calls[path]
        if call.method != method:
            return 405, [(b"Allow", method)], b"%b is the method of this call\n" % method
        return answer()

    def _ready(self) -> Answer:
        is_ready = self._dispatcher.ready and not self._frontend.shutdown.shutting_down
        return (200, [], b"ready\n") if is_ready else (503, [], b"not ready\n")

    def _telemetry(self) -> Answer:
        text = self._dispatcher.metrics_text() + (self._fleet.metrics() if self._fleet is not None else "")
        return 200, [(b"Content-Type", CONTENT_TYPE)], text.encode()

    def _leases(self) -> Answer:
        assert self._fleet is not None
        return 200, [(b"Content-Type", b"application/json")], self._fleet.view()

    def _evacuate(self) -> Answer:
        self._frontend.shutdown.drain()
        return 200, [], b"evacuating\n"

    def _rejoin(self) -> Answer:
        if self._frontend.shutdown.rejoin():
            return 200, [], b"rejoined\n"
        return 409, [], b"it is leaving, on SIGTERM\n"


class AdminConnection(asyncio.Protocol):
    """An operator's connection, which carries one call."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._parser = RequestParser()
        self._received_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the caller and starts its time-out."""
        self._transport = cast(asyncio.Transport, transport)
        self._timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self.abort)
        self._server.caller_connected(self)

    def data_received(self, data: bytes) -> None:
        """Parses a piece of the call, and answers once the call is complete or invalid."""
        if self._transport is None or self._transport.is_closing():
            return
        self._received_bytes += len(data)
        self._parser.feed(data)
        error = self._parser.error
        if self._parser.messages:
            self._answer(*self._execute(self._parser.messages.popleft()))
        elif error is not None:
            self._answer(error.status, [], f"{error}\n".encode())
        elif self._received_bytes > MAX_CALL_BYTES:
            self._answer(413, [], b"the call is too large\n")

    def _execute(self, call: Request) -> Answer:
        try:
            return self._server.answer(call)
        except Exception:
            log.exception("an operator's call failed")
            return 500, [], b"failed\n"

    def _answer(self, status: int, headers: Headers, body: bytes) -> None:
        assert self._transport is not None
        rows = [*headers, (b"Content-Length", b"%d" % len(body)), (b"Connection", b"close")]
        self._transport.write(encode_message(encode_status(status), rows, body))
        self._transport.close()

    def abort(self) -> None:
        """Closes the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Unregisters the caller after the connection has ended."""
        self._server.callers.pop(self, None)
        self._parser.close()
        if self._timer is not None:
            self._timer.cancel()
