"""The clients' side: the listener, `/ready`, requests in, and each request's one final answer out."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import Counter
from collections.abc import Mapping
from enum import Enum
from http import HTTPStatus
from typing import cast
from urllib.parse import parse_qs

import h11

from lanelift import interface as api
from lanelift.net.driver import Driver, OpenRequest
from lanelift.net.http import MAX_BODY, Headers, Response, end_to_end

log = logging.getLogger(__name__)

BACKLOG = 256
ANSWER_NS = 3_000_000  # kept of each deadline for the answer's way to the client
# Parts of the cap above which an answer ends its connection: one that is no upstream's, and any. Idle ones
# are left their 2 s, so that with many clients they would fill all places, and newcomers wait for seconds.
CROWDED, FULL = 0.75, 0.9
MAX_HEAD = 16 * 1024  # bytes of target and headers; the parser only bounds heads that come in parts
MAX_ID = 128  # bytes of a request's id: it is a key of tables and stands in the log
DRAIN_S = 0.5  # after SIGTERM new connections are still dealt out for almost this long
MS, US = 1_000_000, 1_000
NOT_OURS = frozenset({b"x-deadline-ms"})
# Of these one decides and the other might be believed further on: a request that repeats one is ambiguous.
SINGLE = frozenset({b"host", b"content-length", b"transfer-encoding", b"idempotency-key", b"x-request-id",
                    b"x-class", b"x-tenant", b"x-deadline-ms", b"x-retry", b"x-cost-hint"})


class Unacceptable(Exception):
    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Phase(Enum):
    """What a connection without an open request is doing."""

    NEW = "its request is not whole yet"
    IDLE = "between two requests"
    LEAVING = "its last answer is being read"


# How long it may: a request must be whole this long after its client connected, or after its first byte on a
# connection that was used before (whoever is silent or slow is owed an end within 3 s of connecting); a kept
# connection is closed after so long, and clients open another; a last answer is left so long to be read.
LIMIT_S = {Phase.NEW: 2.2, Phase.IDLE: 10.0, Phase.LEAVING: 1.0}
# At the cap these make room, in this order, once they have been in their phase for so long. An idle one is
# left the 2 s that clients count on, and a new one the time in which an honest client sends its request.
ROOM = ((Phase.LEAVING, 0.1), (Phase.NEW, 1.0), (Phase.IDLE, 2.0), (Phase.NEW, 0.05))


class Frontend:
    """The listening socket and its connections, kept under a cap."""

    def __init__(self, driver: Driver, listener: socket.socket, max_clients: int) -> None:
        self.driver = driver
        self.loop = asyncio.get_running_loop()
        self.listener = listener
        self.max_clients = max_clients
        self.clients: set[ClientConnection] = set()
        # Those without an open request, and since when: the longest first, so that one timer serves them all.
        self.waiting: dict[Phase, dict[ClientConnection, float]] = {phase: {} for phase in Phase}
        self.timer: asyncio.TimerHandle | None = None
        self.opening: set[asyncio.Task[None]] = set()  # kept, or they may be collected
        self.drained = asyncio.Event()  # SIGTERM has come
        self.closed = False
        self.left = asyncio.Event()  # nothing is open any more
        listener.setblocking(False)
        listener.listen(BACKLOG)
        self.listening = False
        self._listen()

    @property
    def draining(self) -> bool:
        return self.drained.is_set()

    def _listen(self) -> None:
        if not self.listening and not self.closed:
            self.listening = True
            self.loop.add_reader(self.listener, self._accept)

    def _pause(self, seconds: float | None = None) -> None:
        """Stop accepting: for so long, or until a connection comes to rest or ends."""
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.listener)
            if seconds is not None:
                self.loop.call_later(seconds, self._listen)

    def _accept(self) -> None:
        """Take what waits. At the cap, connections without a request make room; if none can yet, the backlog
        holds the newcomers: one that was accepted is owed an answer, so none is taken to be dropped."""
        if len(self.clients) >= self.max_clients:
            self._room()
            return
        # No further than to the cap: whether anybody waits beyond it is seen next turn.
        for _ in range(self.max_clients - len(self.clients)):
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # out of descriptors: a later connection's end makes room
                log.error("accept: %s", error)
                self._pause(0.05)
                return
            sock.setblocking(False)
            # It counts from here on, and once: counted again while its transport is made, it would drive out
            # another client for nothing.
            client = ClientConnection(self)
            self.clients.add(client)
            task = self.loop.create_task(self._open(client, sock))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    def _room(self) -> None:
        """At the cap: end one that has no request open. Its place is free on the loop's next turn, which
        looks at the listener again. Where all are too fresh for that, wait until the first is not."""
        now = self.loop.time()
        heads = []
        for phase, seconds in ROOM:
            client = next(iter(self.waiting[phase]), None)
            if client is not None:
                due = self.waiting[phase][client] + seconds
                if due <= now:
                    client.abort()
                    return
                heads.append(due)
        self._pause(min(heads) - now if heads else None)

    async def _open(self, client: ClientConnection, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError as error:
            log.error("a client's connection failed: %s", error)
            sock.close()
            self.lost(client)

    def crowded(self, part: float) -> bool:
        return len(self.clients) >= part * self.max_clients

    def wait(self, client: ClientConnection, phase: Phase) -> None:
        """It has no request open from now on, and can make room: listen again, should that have stopped."""
        self.busy(client)
        client.phase = phase
        self.waiting[phase][client] = self.loop.time()
        self._sweep_at(self.loop.time() + LIMIT_S[phase])
        if len(self.clients) >= self.max_clients:
            self._listen()

    def busy(self, client: ClientConnection) -> None:
        if client.phase is not None:
            del self.waiting[client.phase][client]
            client.phase = None

    def _sweep_at(self, when: float) -> None:
        if self.timer is None or when < self.timer.when():
            if self.timer is not None:
                self.timer.cancel()
            self.timer = self.loop.call_at(when, self._sweep)

    def _sweep(self) -> None:
        """End what has waited too long, and look again when the next one will have."""
        self.timer = None
        now = self.loop.time()
        for phase, clients in self.waiting.items():
            late = []
            for client, since in clients.items():
                if since + LIMIT_S[phase] > now:
                    self._sweep_at(since + LIMIT_S[phase])
                    break
                late.append(client)
            for client in late:
                client.too_late()

    def lost(self, client: ClientConnection) -> None:
        self.clients.discard(client)
        self.busy(client)
        self._listen()
        self.check_left()

    # ---- the end -----------------------------------------------------------------------------------------

    def drain(self) -> None:
        """SIGTERM: new connections come for a while, and old ones are used. All are answered, then closed."""
        if not self.draining:
            self.drained.set()
            self.loop.call_later(DRAIN_S, self._stop)

    def _stop(self) -> None:
        self._accept()  # what is in the backlog was taken: it is not reset by closing the listener
        self._pause()
        self.closed = True
        self.listener.close()
        self.loop.call_later(0.02, self._close_idle)

    def _close_idle(self) -> None:
        for phase in (Phase.NEW, Phase.IDLE):
            for client in list(self.waiting[phase]):
                if not client.has_data:
                    client.abort()
        self.check_left()

    def close(self) -> None:
        self._pause()
        self.closed = True
        self.listener.close()
        if self.timer is not None:
            self.timer.cancel()
        for client in list(self.clients):
            client.abort()

    def check_left(self) -> None:
        if self.closed and not self.clients:
            self.left.set()


class ClientConnection(asyncio.Protocol):
    """One client's connection. It carries one request at a time."""

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.driver = frontend.driver
        self.http = h11.Connection(h11.SERVER)
        self.transport: asyncio.Transport | None = None
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.open: OpenRequest | None = None
        self.read_ns = 0  # when what is being parsed was read
        self.phase: Phase | None = None  # the table of the frontend that it stands in
        self.lingering = False  # its last answer is given: what it sends is not read any more
        self.blocked = False  # it does not read its answers
        self.is_head = False

    @property
    def has_data(self) -> bool:
        """Part of a request has come."""
        return self.head is not None or bool(self.http.trailing_data[0])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.frontend.wait(self, Phase.NEW)

    def data_received(self, data: bytes) -> None:
        # Deadlines count from the client's send; this is the nearest moment that can be known.
        self.read_ns = time.monotonic_ns()
        if self.lingering:
            return
        if (self.open is not None or self.blocked) and len(self.http.trailing_data[0]) > MAX_BODY:
            self.abort()  # one request at a time: what floods in behind it would fill the memory
            return
        self.http.receive_data(data)
        self._parse()

    def pause_writing(self) -> None:
        self.blocked = True

    def resume_writing(self) -> None:
        self.blocked = False
        self._parse()

    def eof_received(self) -> bool:
        self._gone()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._gone()
        self.frontend.lost(self)

    def _gone(self) -> None:
        request, self.open = self.open, None
        if request is not None:
            self.driver.client_gone(request)

    def too_late(self) -> None:
        """It has been in its phase for as long as it may."""
        if self.phase is Phase.NEW and self.has_data:
            self._reject(408, "the request did not come in time")
        else:
            self.abort()

    def abort(self) -> None:
        self.frontend.busy(self)
        if self.transport is not None:
            self.transport.abort()

    # ---- in ----------------------------------------------------------------------------------------------

    def _parse(self) -> None:
        """Read on, unless a request is open, or answers pile up that are not read."""
        try:
            while self.open is None and not self.lingering and not self.blocked:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    if self.http.they_are_waiting_for_100_continue:
                        self._write(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
                    if self.phase is Phase.IDLE and self.has_data:
                        self.frontend.wait(self, Phase.NEW)
                    return
                if isinstance(event, h11.Request):
                    self.is_head = event.method == b"HEAD"
                    self.body.clear()
                    _check_head(event)
                    self.head = event
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MAX_BODY:
                        raise Unacceptable(413, "the body is too large")
                elif isinstance(event, h11.EndOfMessage):
                    self._whole()
                elif isinstance(event, h11.ConnectionClosed):
                    self.abort()
                    return
        except h11.RemoteProtocolError as error:
            self._reject(400, str(error))
        except Unacceptable as error:
            self._reject(error.status, str(error))

    def _whole(self) -> None:
        head, self.head = self.head, None
        assert head is not None
        path, _, query = head.target.decode("latin-1").partition("?")
        if path == "/ready":
            ready = self.driver.ready and not self.frontend.draining
            self._answer(200 if ready else 503, [], b"ready\n" if ready else b"not ready\n")
            return
        try:
            arrival = self._arrival(head.method, dict(head.headers), path, query)
        except Unacceptable as error:  # the message is whole, so the connection can go on
            self._answer(error.status, [], f"{error}\n".encode())
            return
        headers = [row for row in end_to_end(head.headers) if row[0] not in NOT_OURS]
        request = OpenRequest(arrival, head.method, head.target, headers, bytes(self.body), self)
        self.open = request
        self.frontend.busy(self)
        if not self.driver.arrive(request):
            self.refused(0)

    def _arrival(self, method: bytes, headers: Mapping[bytes, bytes], path: str, query: str) -> api.Arrival:
        settings = self.driver.settings
        first = path.strip("/").partition("/")[0]
        name = headers.get(b"x-class", first.encode("latin-1")).decode("latin-1")
        if first not in settings.classes or name not in settings.classes:
            raise Unacceptable(404, "no such class")
        if b"host" not in headers:
            raise Unacceptable(400, "no Host")
        safe = settings.classes[name].effect is api.Effect.SAFE
        if method != (b"GET" if safe else b"POST"):
            raise Unacceptable(405, f"{'GET' if safe else 'POST'} is the method of this class")
        if safe and self.body:
            raise Unacceptable(400, "a GET has no body")
        request = headers.get(b"x-request-id", b"").decode("latin-1")
        if not request:
            raise Unacceptable(400, "no X-Request-Id")
        if len(request) > MAX_ID:
            raise Unacceptable(400, "X-Request-Id is too long")
        if request in self.driver.requests:
            raise Unacceptable(409, "a request with this X-Request-Id is open")
        # Nobody waits longer than the class allows, whatever the header says: SIGTERM counts on it.
        longest = settings.classes[name].deadline_ns
        wait = min(longest, _whole_number(headers, b"x-deadline-ms", longest // MS) * MS)
        key = parse_qs(query).get("obj", [""])[0] if "obj=" in query else ""
        return api.Arrival(
            request, name, headers.get(b"x-tenant", b"").decode("latin-1"),
            self.read_ns + max(0, wait - ANSWER_NS), _whole_number(headers, b"x-cost-hint", 0) * US, key,
            headers.get(b"x-retry") == b"1")

    # ---- out ---------------------------------------------------------------------------------------------

    def served(self, response: Response) -> None:
        self._answer(200, end_to_end(response.headers), response.body)

    def refused(self, retry_after_ns: int) -> None:
        headers = [(b"Retry-After", b"%.3f" % (retry_after_ns / 1e9))] if retry_after_ns > 0 else []
        self._answer(503, headers, b"refused\n")

    def failed(self, status: int) -> None:
        self._answer(status, [], b"failed\n")

    def _reject(self, status: int, why: str) -> None:
        """Answer bad input, and read no more of it."""
        self.head = None
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._answer(status, [], f"{why}\n".encode(), last=True)
        else:
            self._leave()

    def _answer(self, status: int, headers: Headers, body: bytes, last: bool = False) -> None:
        served, self.open = self.open is not None, None
        rows = [*headers, (b"Content-Length", b"%d" % len(body))]
        if last or self.frontend.draining or self.frontend.crowded(FULL if served else CROWDED):
            rows.append((b"Connection", b"close"))
        reason = HTTPStatus(status).phrase.encode()
        data = self.http.send(h11.Response(status_code=status, headers=rows, reason=reason)) or b""
        if body and not self.is_head:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        self._write(data)
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.frontend.wait(self, Phase.IDLE)
            if self.http.trailing_data[0]:
                self.frontend.loop.call_soon(self._parse)
        else:
            self._leave()

    def _leave(self) -> None:
        """End the connection once its answer has been read. Closing it with unread bytes in hand would reset
        it and take the answer along: then only the sending ends, and what comes is not looked at."""
        self.lingering = True
        if self.transport is None or self.transport.is_closing():
            return
        self.frontend.wait(self, Phase.LEAVING)
        if self.http.their_state in (h11.DONE, h11.MUST_CLOSE) and not self.http.trailing_data[0]:
            self.transport.close()
        elif self.transport.can_write_eof():
            self.transport.write_eof()

    def _write(self, data: bytes | None) -> None:
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


def _check_head(head: h11.Request) -> None:
    """What can be said no to before the body has come. A length beside a transfer coding may hide another
    request in the body: whoever reads the one and whoever reads the other see different requests."""
    counts = Counter(name for name, _ in head.headers)
    if counts[b"content-length"] and counts[b"transfer-encoding"]:
        raise Unacceptable(400, "both Content-Length and Transfer-Encoding")
    twice = next((name for name in counts if counts[name] > 1 and name in SINGLE), None)
    if twice is not None:
        raise Unacceptable(400, f"{twice.decode()} stands there twice")
    if head.method in (b"CONNECT", b"TRACE"):
        raise Unacceptable(405, "no such method here")
    if len(head.target) + sum(len(name) + len(value) for name, value in head.headers) > MAX_HEAD:
        raise Unacceptable(431, "the head is too large")
    length = next((value for name, value in head.headers if name == b"content-length"), b"0")
    if int(length) > MAX_BODY:
        raise Unacceptable(413, "the body is too large")


def _whole_number(headers: Mapping[bytes, bytes], name: bytes, default: int) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if not text.isdigit() or len(text) > 15:
        raise Unacceptable(400, f"{name.decode()} is not a whole number")
    return int(text)
