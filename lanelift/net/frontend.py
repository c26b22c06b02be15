"""The client-facing side of the balancer, which combines listener, connections and shutdown."""

from __future__ import annotations

import socket

from lanelift.lifecycle import Lifecycle
from lanelift.net.client_connection import ClientConnection
from lanelift.net.connection_phases import ConnectionTable
from lanelift.net.dispatch import Dispatcher
from lanelift.net.listener import Listener
from lanelift.net.shutdown import GracefulShutdown
from lanelift.net.turn_queue import TurnQueue
from lanelift.policy.turns import TurnPolicy


class Frontend:
    """Serves clients, starting with its construction.

    Attributes:
        dispatcher: The dispatcher that receives requests.
        lifecycle: The stage of this balancer: whether it serves, drains or shuts down.
        table: The table of clients' connections.
        listener: The listener that accepts connections.
        shutdown: Drains and closes the connections.
        memory: Limits what the connections buffer.
        turns: The queue of clients whose input waits for processing time.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        bound_socket: socket.socket,
        max_clients: int,
        lifecycle: Lifecycle | None = None,
        cores: float = 1.0,
    ) -> None:
        self.dispatcher = dispatcher
        self.lifecycle = lifecycle or Lifecycle()
        self.memory = dispatcher.upstreams.memory
        self.turns = TurnQueue(TurnPolicy(cores), dispatcher.metrics.events)
        self.shutdown = GracefulShutdown(self)
        self.listener = Listener(self, bound_socket)
        self.table = ConnectionTable(max_clients, self.listener.resume)
        dispatcher.on_ready_changed = self.listener.resume
        self.listener.resume()

    def set_max_clients(self, max_clients: int) -> None:
        """Changes the cap on clients; connections in excess of the cap are closed after their answers."""
        self.table.max_clients = max_clients
        self.listener.resume()

    def client_lost(self, client: ClientConnection) -> None:
        """Removes a connection that has ended; this may make room for another client or complete the
        shutdown."""
        self.table.clients.discard(client)
        self.memory.client_lost(client)
        self.table.leave(client)
        self.listener.resume()
        self.shutdown.check_finished()

    def close(self) -> None:
        """Closes the listener and all connections immediately."""
        self.listener.pause()
        self.listener.close()
        self.turns.close()
        self.table.close()
