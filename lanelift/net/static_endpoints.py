"""A static endpoint list, which the operator's own file contains and which changes only on a reload."""

from __future__ import annotations

from dataclasses import dataclass

from lanelift.net.dispatch import Dispatcher
from lanelift.net.endpoints import ResolvedEndpoint
from lanelift.policy.events import EndpointUpdateKind


@dataclass(frozen=True, slots=True)
class StaticEndpoints:
    """A configured endpoint list, in place of the address of a discovery server.

    Attributes:
        endpoints: The listed upstreams.
    """

    endpoints: tuple[ResolvedEndpoint, ...]

    def attach(self, dispatcher: Dispatcher) -> StaticDiscovery:
        """Returns the source of the endpoint list for a dispatcher."""
        return StaticDiscovery(dispatcher, self)

    def __str__(self) -> str:
        return f"{len(self.endpoints)} upstreams listed"


class StaticDiscovery:
    """Sends the list as a snapshot on each fetch.

    An upstream that is missing from a new list is removed: it gets no new attempts, and attempts in progress
    run to their end.
    """

    def __init__(self, dispatcher: Dispatcher, source: StaticEndpoints) -> None:
        self.dispatcher = dispatcher
        self.source = source

    def start(self, cached: object) -> None:
        """Sends the list."""
        self.fetch()

    def subscribe(self, enabled: bool) -> None:
        """Does nothing, as the list never changes by itself."""

    def fetch(self) -> None:
        """Sends the list."""
        self.dispatcher.update_endpoints(EndpointUpdateKind.SNAPSHOT, list(self.source.endpoints))

    def change_source(self, source: StaticEndpoints) -> None:
        """Replaces the list, and sends the new one."""
        self.source = source
        self.fetch()

    def close(self) -> None:
        """Does nothing, as nothing is open."""
