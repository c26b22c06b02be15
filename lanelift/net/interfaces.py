"""What the dispatch of events and actions needs of the parts around it."""

from __future__ import annotations

from typing import Protocol

from lanelift.net.exchange import Exchange
from lanelift.net.http_messages import Response


class Client(Protocol):
    """Whoever waits for the one final answer of a request."""

    def respond(self, response: Response) -> None:
        """Answer with an upstream's response."""

    def reject(self, retry_after_ns: int, rate_limited: bool = False) -> None:
        """Answer that the request was shed before any effect.

        Args:
            retry_after_ns: When a retry is welcome; 0: not stated.
            rate_limited: A rate limit of its tenant was exceeded.
        """

    def fail(self, status: int, reason: str = "failed") -> None:
        """Answer with an error."""

    def start_response(self, head: Response, source: Exchange) -> None:
        """Begin a streamed response with its head; `source` is paused while the client takes no more."""

    def forward(self, data: bytes) -> None:
        """Write a piece of the streamed response."""

    def complete(self) -> None:
        """End the streamed response: all of it was forwarded."""

    def abort_response(self) -> None:
        """End the streamed response before its end, so that the client can tell."""

    def abort(self) -> None:
        """Close the connection at once."""


class Discovery(Protocol):
    """Where the endpoint list comes from."""

    def subscribe(self, enabled: bool) -> None:
        """Open or end the watch of the endpoint list."""

    def fetch(self) -> None:
        """Fetch a snapshot of the endpoint list."""


class PeerChannel(Protocol):
    """Carries messages to other replicas."""

    def send(self, peer: int, data: bytes) -> None:
        """Send a message to a replica; -1: to all. It may be lost."""

    def close(self) -> None:
        """Close its socket."""
