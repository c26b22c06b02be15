"""An upstream with its address, as discovery lists it."""

from __future__ import annotations

from dataclasses import dataclass

from lanelift.policy.events import Endpoint


@dataclass(frozen=True, slots=True)
class ResolvedEndpoint:
    """An entry of the endpoint list with the address, which the balancer's decisions do not need.

    Attributes:
        entry: What the decisions follow.
        host: The IP address; empty for one that was removed.
        port: The TCP port.
    """

    entry: Endpoint
    host: str
    port: int

    @property
    def process(self) -> tuple[str, int, int]:
        """What identifies the process: connections lead to it, and not to the one that takes its place."""
        return self.host, self.port, self.entry.started_ns
