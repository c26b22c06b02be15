"""Where a balancer is in its life, and what that means for its clients' connections. Pure: no I/O, no clock.

    SERVING  --drain-->      DRAINING  --rejoin-->  SERVING
    either   --shut_down-->  SHUTTING_DOWN                     (SIGTERM; there is no way back)

A balancer that drains (the operators' call `evacuate`) or shuts down answers all requests that still come;
each answer is the last on its connection. Only one that shuts down ends when no connection is open.
"""

from __future__ import annotations

from enum import Enum


class Stage(Enum):
    """Where a balancer is in its life."""

    SERVING = "serving"
    DRAINING = "evacuated"
    SHUTTING_DOWN = "leaving"


class Lifecycle:
    """The stage of one balancer.

    Attributes:
        shared_address: The clients' address outlives this process, and its successor answers there as well.
        stage: Where it is.
    """

    def __init__(self, shared_address: bool = False) -> None:
        self.shared_address = shared_address
        self.stage = Stage.SERVING

    def drain(self) -> bool:
        """Each answer is the last on its connection from now on; False if it drained or shut down already."""
        if self.stage is not Stage.SERVING:
            return False
        self.stage = Stage.DRAINING
        return True

    def rejoin(self) -> bool:
        """The drain ends; False if it shuts down, which has no end."""
        if self.stage is not Stage.SHUTTING_DOWN:
            self.stage = Stage.SERVING
        return self.stage is Stage.SERVING

    def shut_down(self) -> bool:
        """SIGTERM; False if it has come before."""
        if self.stage is Stage.SHUTTING_DOWN:
            return False
        self.stage = Stage.SHUTTING_DOWN
        return True

    @property
    def closes_connections(self) -> bool:
        """Whether an answer is the last on its connection."""
        return self.stage is not Stage.SERVING

    def reports_ready(self, can_serve: bool) -> bool:
        """What `/ready` says: whether new connections may be routed to this address.

        Args:
            can_serve: This process is able to serve requests.
        """
        shares_shutdown = self.stage is Stage.SHUTTING_DOWN and self.shared_address
        return can_serve and (self.stage is Stage.SERVING or shares_shutdown)

    def accepts_connections(self, can_serve: bool) -> bool:
        """Whether connections are accepted. On a shared address only if they can be served: another process
        may be able to.

        Args:
            can_serve: This process is able to serve requests.
        """
        return can_serve or not self.shared_address
