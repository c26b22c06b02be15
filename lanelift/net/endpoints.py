"""An upstream with its network address."""

from __future__ import annotations

from dataclasses import dataclass

from lanelift.policy.address_takeover import ListedProcess
from lanelift.policy.events import Endpoint, EndpointState


@dataclass(frozen=True, slots=True)
class ResolvedEndpoint:
    """An entry of the endpoint list together with the address, which the balancer does not need.

    Attributes:
        entry: The part of the entry that the balancer uses.
        host: The IP address; empty for a removed upstream.
        port: The TCP port.
    """

    entry: Endpoint
    host: str
    port: int

    @property
    def process(self) -> tuple[str, int, int]:
        """Identifies the upstream's process: connections to it are useless once the process is replaced."""
        return self.host, self.port, self.entry.started_ns

    @property
    def listed_process(self) -> ListedProcess:
        """The entry's process with its address."""
        return ListedProcess(self.entry.id, (self.host, self.port), self.entry.started_ns, self.entry.state)

    def removed(self) -> ResolvedEndpoint:
        """Returns the entry as one of a removed upstream."""
        return ResolvedEndpoint(self.entry._replace(state=EndpointState.REMOVED), "", 0)
