"""Upstreams from the operator's own file: a list that changes only when the file is read again."""

from __future__ import annotations

from dataclasses import dataclass

from lanelift.net.dispatch import Dispatcher
from lanelift.net.endpoints import ResolvedEndpoint
from lanelift.policy.events import EndpointUpdateKind


@dataclass(frozen=True, slots=True)
class StaticEndpoints:
    """Stands in a configuration where the address of discovery would.

    Attributes:
        endpoints: The listed upstreams.
    """

    endpoints: tuple[ResolvedEndpoint, ...]

    def attach(self, dispatcher: Dispatcher) -> StaticDiscovery:
        """The source of the endpoint list for a dispatcher."""
        return StaticDiscovery(dispatcher, self)

    def __str__(self) -> str:
        return f"{len(self.endpoints)} upstreams listed"


class StaticDiscovery:
    """Sends the list as a snapshot whenever it is asked for.

    An upstream that a new list lacks is removed: it gets nothing new, and what it is doing goes on to its
    end.
    """

    def __init__(self, dispatcher: Dispatcher, source: StaticEndpoints) -> None:
        self.dispatcher = dispatcher
        self.source = source

    def start(self, cached: object) -> None:
        """Send the list."""
        self.fetch()

    def subscribe(self, enabled: bool) -> None:
        """All was sent, and nothing comes by itself."""

    def fetch(self) -> None:
        """Send the list."""
        self.dispatcher.update_endpoints(EndpointUpdateKind.SNAPSHOT, list(self.source.endpoints))

    def change_source(self, source: StaticEndpoints) -> None:
        """Send another list from now on."""
        self.source = source
        self.fetch()

    def close(self) -> None:
        """Nothing is open."""
