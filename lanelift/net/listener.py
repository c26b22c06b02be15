"""The listening socket for clients."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from typing import TYPE_CHECKING

from lanelift.net.client_connection import ClientConnection
from lanelift.net.event_log import EventKind
from lanelift.net.socket_options import KERNEL_BUFFER_BYTES, peer_state

if TYPE_CHECKING:
    from lanelift.net.frontend import Frontend

log = logging.getLogger(__name__)

BACKLOG = 256
# connections that are accepted in one iteration of the loop, so that others do not wait for all of a crowd
MAX_ACCEPTS_PER_ITERATION = 32
ACCEPT_RETRY_S = 0.05  # wait after a failed accept; the usual cause is that no descriptor is free


class Listener:
    """Accepts clients' connections up to the cap.

    Attributes:
        socket: The bound socket.
        listening: Whether new connections are accepted.
        stopping: Whether the socket is closed as soon as its backlog is empty.
        closed: Whether the socket is closed.
    """

    def __init__(self, frontend: Frontend, bound_socket: socket.socket) -> None:
        self.socket = bound_socket
        self.listening = False
        self.stopping = False
        self.closed = False
        self._frontend = frontend
        self._loop = asyncio.get_running_loop()
        # a task to which nothing refers may be garbage-collected
        self._setup_tasks: set[asyncio.Task[None]] = set()
        bound_socket.setblocking(False)
        # Accepted sockets inherit this: a buffered response fits, so that it waits in the kernel
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
        bound_socket.listen(BACKLOG)

    def resume(self) -> None:
        """Resumes accepting if connections can be accepted now. Called after each change that may allow
        it."""
        frontend = self._frontend
        if self.stopping:
            # `stop_listening` accepts the rest of the backlog
            self._loop.call_soon(frontend.shutdown.stop_listening)
        elif (
            not self.listening
            and not self.closed
            and frontend.dispatcher.endpoint_list_timer is None
            and frontend.lifecycle.accepts_connections(frontend.dispatcher.ready)
        ):
            self.listening = True
            self._loop.add_reader(self.socket, self.accept)

    def pause(self, seconds: float | None = None) -> None:
        """Stops accepting for the given time; if no time is given, until the next call of `resume`."""
        paused = self.listening or self.stopping
        if self.listening:
            self.listening = False
            self._loop.remove_reader(self.socket)
        if paused and seconds is not None:
            self._loop.call_later(seconds, self.resume)

    def accept(self) -> bool:
        """Accepts the connections in the backlog, up to the cap.

        At the cap one connection is evicted (`ConnectionTable.evict`), and its place is used in the next loop
        iteration. If no connection can be evicted yet, new connections stay in the backlog until an eviction
        is possible or a client disconnects: each accepted connection must get an answer, so no connection is
        accepted only to be dropped.

        Returns:
            Whether the backlog is known to be empty; False at the cap, where the backlog is not checked.
        """
        table = self._frontend.table
        if len(table.clients) >= table.max_clients:
            evicted, retry_s = table.evict()
            if evicted:
                self._frontend.dispatcher.metrics.events.record(
                    EventKind.CLIENT_EVICTED, f"{len(table.clients)} clients"
                )
            else:
                self.pause(retry_s)
            return False
        left = math.inf if self.stopping else MAX_ACCEPTS_PER_ITERATION
        while len(table.clients) < table.max_clients and left > 0:
            left -= 1
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                return True
            except (InterruptedError, ConnectionAbortedError):
                continue
            except OSError as error:  # no descriptor is free until a connection ends
                log.error("accept failed: %s", error)
                self.pause(ACCEPT_RETRY_S)
                return False
            if peer_state(sock).ended:
                sock.close()  # the client disconnected while it waited in the backlog
                continue
            self._set_up(sock)
        return False

    def _set_up(self, sock: socket.socket) -> None:
        """Creates the client's connection for an accepted socket.

        The connection counts towards the cap from here on, and only once: if it counted twice until its
        transport is ready, another client would be evicted needlessly.
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
            log.error("setting up a client's connection failed: %s", error)
            sock.close()
            self._frontend.client_lost(client)

    def close(self) -> None:
        """Closes the socket, which resets connections in the backlog unless another process shares it."""
        self.closed = True
        self.socket.close()
