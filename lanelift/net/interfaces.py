"""The interfaces of the parts that the dispatcher uses."""

from __future__ import annotations

from typing import Protocol

from lanelift.net.exchange import Exchange
from lanelift.net.http_messages import Response


class Client(Protocol):
    """The receiver of a request's one final answer."""

    def is_connected(self) -> bool:
        """Returns whether the client is still connected; if not, its open request is ended.

        The kernel is asked, as the loop learns of a disconnection later, or not at all while reading is
        paused.
        """

    def respond(self, response: Response) -> None:
        """Answers with an upstream's response."""

    def reject(self, retry_after_ns: int, rate_limited: bool = False) -> None:
        """Answers that the request was shed and had no effect.

        Args:
            retry_after_ns: The time after which a retry is allowed; 0 if none is stated.
            rate_limited: Whether the request exceeded its tenant's rate limit.
        """

    def fail(self, status: int, reason: str = "failed") -> None:
        """Answers with an error."""

    def start_response(self, head: Response, source: Exchange) -> None:
        """Begins a streamed response with its head; `source` is paused while the client accepts no more."""

    def forward(self, data: bytes) -> None:
        """Writes a piece of the streamed response."""

    def complete(self) -> None:
        """Ends the streamed response after all of it was forwarded."""

    def abort_response(self) -> None:
        """Aborts the streamed response in a way that the client can distinguish from its regular end."""

    def abort(self) -> None:
        """Closes the connection immediately."""


class Discovery(Protocol):
    """The source of the endpoint list."""

    def subscribe(self, enabled: bool) -> None:
        """Starts or ends the watch of the endpoint list."""

    def fetch(self) -> None:
        """Fetches a snapshot of the endpoint list."""


class PeerChannel(Protocol):
    """Sends messages to other replicas."""

    def send(self, peer: int, data: bytes) -> None:
        """Sends a message, which may be lost, to a replica, or to all if `peer` is -1."""

    def close(self) -> None:
        """Closes the socket."""
