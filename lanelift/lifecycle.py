"""The lifecycle of a balancer, and what each stage means for clients' connections. Pure: no I/O, no clock.

    SERVING  --drain-->      DRAINING  --rejoin-->  SERVING
    either   --shut_down-->  SHUTTING_DOWN                     (SIGTERM; final)

A balancer that drains (the operators' call `evacuate`) or shuts down still answers every request it receives,
and closes each connection after the answer. Only a balancer that shuts down exits once no connection is open.
"""

from __future__ import annotations

from enum import Enum


class Stage(Enum):
    """A stage of a balancer's lifecycle."""

    SERVING = "serving"
    DRAINING = "evacuated"
    SHUTTING_DOWN = "leaving"


class Lifecycle:
    """Tracks the stage of one balancer.

    Attributes:
        shared_address: Whether the clients' address outlives this process and its successor serves there too.
        stage: The current stage.
    """

    def __init__(self, shared_address: bool = False) -> None:
        self.shared_address = shared_address
        self.stage = Stage.SERVING

    def drain(self) -> bool:
        """Starts to drain; returns False if the balancer already drains or shuts down."""
        if self.stage is not Stage.SERVING:
            return False
        self.stage = Stage.DRAINING
        return True

    def rejoin(self) -> bool:
        """Ends a drain; returns False if the balancer shuts down, which can't be undone."""
        if self.stage is not Stage.SHUTTING_DOWN:
            self.stage = Stage.SERVING
        return self.stage is Stage.SERVING

    def shut_down(self) -> bool:
        """Starts to shut down (SIGTERM); returns False if the balancer already shuts down."""
        if self.stage is Stage.SHUTTING_DOWN:
            return False
        self.stage = Stage.SHUTTING_DOWN
        return True

    @property
    def closes_connections(self) -> bool:
        """Whether a connection is closed after its next answer."""
        return self.stage is not Stage.SERVING

    def reports_ready(self, can_serve: bool) -> bool:
        """Returns what `/ready` reports: whether new connections may be routed to this address.

        On a shared address it stays ready during a shutdown, as the successor serves there.

        Args:
            can_serve: Whether this process is able to serve requests.
        """
        successor_serves = self.stage is Stage.SHUTTING_DOWN and self.shared_address
        return can_serve and (self.stage is Stage.SERVING or successor_serves)

    def accepts_connections(self, can_serve: bool) -> bool:
        """Returns whether to accept connections. On a shared address connections are accepted only if this
        process can serve them: if it can't, another process may be able to.

        Args:
            can_serve: Whether this process is able to serve requests.
        """
        return can_serve or not self.shared_address
