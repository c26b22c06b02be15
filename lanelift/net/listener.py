"""The clients' listening socket: when connections are accepted, and which."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING

from lanelift.net.client_connection import ClientConnection
from lanelift.net.socket_options import peer_state

if TYPE_CHECKING:
    from lanelift.net.frontend import Frontend

log = logging.getLogger(__name__)

BACKLOG = 256
ACCEPT_RETRY_S = 0.05  # after an accept that failed, mostly for want of descriptors


class Listener:
    """Accepts clients up to the cap.

    Attributes:
        socket: The bound socket.
        listening: Newcomers are accepted.
        stopping: It closes as soon as nobody waits in its backlog.
        closed: It is closed.
    """

    def __init__(self, frontend: Frontend, bound: socket.socket) -> None:
        self.socket = bound
        self.listening = False
        self.stopping = False
        self.closed = False
        self._frontend = frontend
        self._loop = asyncio.get_running_loop()
        self._setup_tasks: set[asyncio.Task[None]] = set()  # referenced, or they may be collected
        bound.setblocking(False)
        bound.listen(BACKLOG)

    def resume(self) -> None:
        """There may be capacity, or something to serve: accept if that is so."""
        frontend = self._frontend
        if self.stopping:
            self._loop.call_soon(frontend.shutdown.stop_listening)  # there may be a place for who still waits
        elif (
            not self.listening
            and not self.closed
            and frontend.dispatcher.endpoint_list_timer is None
            and frontend.lifecycle.accepts_connections(frontend.dispatcher.ready)
        ):
            self.listening = True
            self._loop.add_reader(self.socket, self.accept)

    def pause(self, seconds: float | None = None) -> None:
        """Stop accepting: for so many seconds, or (None) until a connection comes to rest or ends."""
        paused = self.listening or self.stopping
        if self.listening:
            self.listening = False
            self._loop.remove_reader(self.socket)
        if paused and seconds is not None:
            self._loop.call_later(seconds, self.resume)

    def accept(self) -> bool:
        """Accept who waits, up to the cap.

        At the cap a connection without a request makes room. If none can yet, newcomers stay in the backlog:
        one that was accepted is owed an answer, so none is accepted to be dropped. This accepts no further
        than to the cap: whether anybody waits beyond it is seen on the next turn, or at the next free place.

        Returns:
            True: nobody waits any more.
        """
        table = self._frontend.table
        if len(table.clients) >= table.max_clients:
            evicted, retry_s = table.evict()
            if not evicted:
                self.pause(retry_s)
            return False
        while len(table.clients) < table.max_clients:
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                return True
            except (InterruptedError, ConnectionAbortedError):
                continue
            except OSError as error:  # out of descriptors: a later connection's end makes room
                log.error("accept: %s", error)
                self.pause(ACCEPT_RETRY_S)
                return False
            if peer_state(sock)[0]:
                sock.close()  # it gave up while it waited here: nobody would read an answer
                continue
            self._set_up(sock)
        return False

    def _set_up(self, sock: socket.socket) -> None:
        """Make an accepted socket a client's connection.

        It counts against the cap from here on, and once: counted again while its transport is made, it would
        drive out another client for nothing.
        """
        sock.setblocking(False)
        client = ClientConnection(self._frontend)
        self._frontend.table.clients.add(client)
        task = self._loop.create_task(self._connect(client, sock))
        self._setup_tasks.add(task)
        task.add_done_callback(self._setup_tasks.discard)

    async def _connect(self, client: ClientConnection, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: client, sock)
        except OSError as error:
            log.error("a client's connection failed: %s", error)
            sock.close()
            self._frontend.client_lost(client)

    def close(self) -> None:
        """Close the socket; who waits in its backlog is reset, unless another process shares it."""
        self.closed = True
        self.socket.close()
