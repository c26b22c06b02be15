"""The clients' side: the listener, `/ready`, requests in, and each request's one final answer out."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Mapping
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
LINGER_S = 1.0  # an answer to bad input is left this long to be read, before the connection closes
DRAIN_S = 0.5  # after SIGTERM new connections are still dealt out for almost this long
MS, US = 1_000_000, 1_000
NOT_OURS = frozenset({b"x-deadline-ms"})


class Unacceptable(Exception):
    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Frontend:
    """The listening socket and its connections, kept under a cap."""

    def __init__(self, driver: Driver, listener: socket.socket, max_clients: int) -> None:
        self.driver = driver
        self.loop = asyncio.get_running_loop()
        self.listener = listener
        self.max_clients = max_clients
        self.clients: set[ClientConnection] = set()
        self.waiting: dict[ClientConnection, None] = {}  # without an open request; the longest first
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

    def _pause(self) -> None:
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.listener)

    def _accept(self) -> None:
        """Take what waits. At the cap, idle connections make room; if none is idle, the kernel's backlog
        holds the newcomers: one that was accepted is owed an answer, so none is taken to be dropped."""
        if len(self.clients) >= self.max_clients:
            idle = next(iter(self.waiting), None)
            if idle is not None:
                idle.close()  # its place is free on the loop's next turn, which looks at the listener again
            else:
                log.warning("%d clients: no more are accepted for now", len(self.clients))
                self._pause()
            return
        # No further than to the cap: whether anybody waits beyond it is seen next turn.
        for _ in range(self.max_clients - len(self.clients)):
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # out of descriptors: a later connection's end makes room
                log.error("accept: %s", error)
                self._pause()
                self.loop.call_later(0.05, self._listen)
                return
            sock.setblocking(False)
            # It counts from here on, and once: counted again while its transport is made, it would drive out
            # another client for nothing.
            client = ClientConnection(self)
            self.clients.add(client)
            task = self.loop.create_task(self._open(client, sock))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    async def _open(self, client: ClientConnection, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError as error:
            log.error("a client's connection failed: %s", error)
            sock.close()
            self.lost(client)

    def rest(self, client: ClientConnection) -> None:
        """It is idle, and can make room for another: listen again, should that have stopped at the cap."""
        self.waiting[client] = None
        self._listen()

    def lost(self, client: ClientConnection) -> None:
        self.clients.discard(client)
        self.waiting.pop(client, None)
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
        for client in list(self.waiting):
            if not client.has_data:
                client.close()
        self.check_left()

    def close(self) -> None:
        self._pause()
        self.closed = True
        self.listener.close()
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
        self.lingering = False
        self.is_head = False

    @property
    def has_data(self) -> bool:
        """Part of a request has come."""
        return self.head is not None or bool(self.http.trailing_data[0])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.frontend.rest(self)

    def data_received(self, data: bytes) -> None:
        # Deadlines count from the client's send; this is the nearest moment that can be known.
        self.read_ns = time.monotonic_ns()
        if self.lingering:
            return
        if self.open is not None and len(self.http.trailing_data[0]) > MAX_BODY:
            self.abort()  # one request at a time: what floods in behind it would fill the memory
            return
        self.http.receive_data(data)
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

    def close(self) -> None:
        self.frontend.waiting.pop(self, None)
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    # ---- in ----------------------------------------------------------------------------------------------

    def _parse(self) -> None:
        try:
            while self.open is None and not self.lingering:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    if self.http.they_are_waiting_for_100_continue:
                        self._write(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
                    return
                if isinstance(event, h11.Request):
                    self.head = event
                    self.is_head = event.method == b"HEAD"
                    self.body.clear()
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MAX_BODY:
                        raise Unacceptable(413, "the body is too large")
                elif isinstance(event, h11.EndOfMessage):
                    self._whole()
                elif isinstance(event, h11.ConnectionClosed):
                    self.close()
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
            arrival = self._arrival(dict(head.headers), path, query)
        except Unacceptable as error:  # the message is whole, so the connection can go on
            self._answer(error.status, [], f"{error}\n".encode())
            return
        headers = [row for row in end_to_end(head.headers) if row[0] not in NOT_OURS]
        request = OpenRequest(arrival, head.method, head.target, headers, bytes(self.body), self)
        self.open = request
        self.frontend.waiting.pop(self, None)
        if not self.driver.arrive(request):
            self.refused(0)

    def _arrival(self, headers: Mapping[bytes, bytes], path: str, query: str) -> api.Arrival:
        settings = self.driver.settings
        first = path.strip("/").partition("/")[0]
        name = headers.get(b"x-class", first.encode("latin-1")).decode("latin-1")
        if first not in settings.classes or name not in settings.classes:
            raise Unacceptable(404, "no such class")
        if b"host" not in headers:
            raise Unacceptable(400, "no Host")
        request = headers.get(b"x-request-id", b"").decode("latin-1")
        if not request:
            raise Unacceptable(400, "no X-Request-Id")
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
        """Answer bad input, and close once the client has had time to read the answer: closing with unread
        bytes in hand would reset the connection and take the answer with it."""
        self.head = None
        self.lingering = True
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._answer(status, [(b"Connection", b"close")], f"{why}\n".encode())
        if self.transport is not None and not self.transport.is_closing():
            if self.transport.can_write_eof():
                self.transport.write_eof()
            self.frontend.loop.call_later(LINGER_S, self.close)

    def _answer(self, status: int, headers: Headers, body: bytes) -> None:
        self.open = None
        rows = [*headers, (b"Content-Length", b"%d" % len(body))]
        if self.frontend.draining and not self.lingering:
            rows.append((b"Connection", b"close"))
        reason = HTTPStatus(status).phrase.encode()
        data = self.http.send(h11.Response(status_code=status, headers=rows, reason=reason)) or b""
        if body and not self.is_head:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        self._write(data)
        if self.lingering:
            return
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            self.frontend.rest(self)
            if self.http.trailing_data[0]:
                self.frontend.loop.call_soon(self._parse)
        else:
            self.close()

    def _write(self, data: bytes | None) -> None:
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


def _whole_number(headers: Mapping[bytes, bytes], name: bytes, default: int) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if not text.isdigit() or len(text) > 15:
        raise Unacceptable(400, f"{name.decode()} is not a whole number")
    return int(text)
