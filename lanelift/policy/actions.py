"""What a `Balancer` wants done: one frozen value for each kind of action, to be carried out in order.

All durations are whole nanoseconds. Nothing here decides.
"""

from __future__ import annotations

from typing import NamedTuple


class StartAttempt(NamedTuple):
    """Forward a request. A request's attempts are numbered from 0 in the order of these actions.

    Attributes:
        request: The request's identifier.
        upstream: The upstream's number.
        timeout_ns: How long the attempt may take; 0: until the client gives up.
    """

    request: str
    upstream: int
    timeout_ns: int = 0


class Reject(NamedTuple):
    """Final answer: rejected, and a retry is harmless.

    Either nothing ran, or what ran may run again without harm (`legality.may_reject`): this is also the
    answer of an idempotent request whose attempts have all failed.

    Attributes:
        request: The request's identifier.
        retry_after_ns: When a retry is welcome; 0: not stated.
        rate_limited: The tenant is over a rate limit that was set for it.
    """

    request: str
    retry_after_ns: int = 0
    rate_limited: bool = False


class Fail(NamedTuple):
    """Final answer: failed, with no promise about its effect.

    Attributes:
        request: The request's identifier.
        denial_reason: Why the tenant may not make this request; retrying is of no use. Empty: not denied.
    """

    request: str
    denial_reason: str = ""


class CancelAttempt(NamedTuple):
    """End an attempt whose response is no longer wanted."""

    request: str
    attempt: int


class ProbeLoad(NamedTuple):
    """Ask an upstream for its load."""

    upstream: int


class SendPeerMessage(NamedTuple):
    """Send bytes to another replica; `peer` -1: to all."""

    data: bytes
    peer: int = -1


class Subscribe(NamedTuple):
    """Open (or end) the watch of the endpoint list."""

    enabled: bool = True


class FetchEndpoints(NamedTuple):
    """Fetch a snapshot of the endpoint list."""


class SetTimer(NamedTuple):
    """One timer runs at a time: this one replaces the one before it, which need not fire."""

    delay_ns: int
    name: str


class Log(NamedTuple):
    """Write a line to the log."""

    text: str


Action = (
    StartAttempt
    | Reject
    | Fail
    | CancelAttempt
    | ProbeLoad
    | SendPeerMessage
    | Subscribe
    | FetchEndpoints
    | SetTimer
    | Log
)
