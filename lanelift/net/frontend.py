"""The clients' side: listener, connections and shutdown."""

from __future__ import annotations

import socket

from lanelift.lifecycle import Lifecycle
from lanelift.net.client_connection import ClientConnection
from lanelift.net.connection_phases import ConnectionTable
from lanelift.net.dispatch import Dispatcher
from lanelift.net.listener import Listener
from lanelift.net.shutdown import GracefulShutdown


class Frontend:
    """Serves clients from its construction on.

    Attributes:
        dispatcher: Takes their requests.
        lifecycle: Whether this balancer serves, drains or shuts down.
        table: Their connections.
        listener: Accepts them.
        shutdown: Drains and ends them.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        bound: socket.socket,
        max_clients: int,
        lifecycle: Lifecycle | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.lifecycle = lifecycle or Lifecycle()
        self.shutdown = GracefulShutdown(self)
        self.listener = Listener(self, bound)
        self.table = ConnectionTable(max_clients, self.listener.resume)
        dispatcher.on_ready_changed = self.listener.resume
        self.listener.resume()

    def set_max_clients(self, max_clients: int) -> None:
        """Change the cap; above it answers end their connections."""
        self.table.max_clients = max_clients
        self.listener.resume()

    def client_lost(self, client: ClientConnection) -> None:
        """A connection has ended: there may be a place for another, or none is left at all."""
        self.table.clients.discard(client)
        self.table.leave(client)
        self.listener.resume()
        self.shutdown.check_finished()

    def close(self) -> None:
        """Close the listener and all connections at once."""
        self.listener.pause()
        self.listener.close()
        self.table.close()
