"""Actions that a `Balancer` returns: one immutable type for each kind, to be carried out in order.

All durations are whole nanoseconds. This module only defines values; it makes no decisions.
"""

from __future__ import annotations

from typing import NamedTuple


class StartAttempt(NamedTuple):
    """Forward a request to an upstream.

    A request's attempts are numbered from 0 in the order of these actions.

    Attributes:
        request: The request's identifier.
        upstream: The upstream's number.
        timeout_ns: How long the attempt may take; 0 means until the client gives up.
    """

    request: str
    upstream: int
    timeout_ns: int = 0


class Reject(NamedTuple):
    """Give a request its final answer: a rejection, after which a retry by the client is harmless.

    Either the request never ran, or it may run again without harm (`legality.may_reject`). An idempotent
    request whose attempts have all failed also gets this answer.

    Attributes:
        request: The request's identifier.
        retry_after_ns: How long the client should wait before it retries; 0 means not stated.
        rate_limited: Whether the request is rejected because of a rate limit that was set for the tenant.
    """

    request: str
    retry_after_ns: int = 0
    rate_limited: bool = False


class Fail(NamedTuple):
    """Give a request its final answer: a failure, which does not say whether the request took effect.

    Attributes:
        request: The request's identifier.
        denial_reason: Why the tenant may not make this request, so that a retry is of no use; empty if
            the request was not denied.
    """

    request: str
    denial_reason: str = ""


class CancelAttempt(NamedTuple):
    """Cancel an attempt whose response is no longer needed."""

    request: str
    attempt: int


class ProbeLoad(NamedTuple):
    """Send a load probe to an upstream."""

    upstream: int


class SendPeerMessage(NamedTuple):
    """Send bytes to another replica, or to all of them if `peer` is -1."""

    data: bytes
    peer: int = -1


class Subscribe(NamedTuple):
    """Subscribe to the endpoint list, or end the subscription."""

    enabled: bool = True


class FetchEndpoints(NamedTuple):
    """Fetch a snapshot of the endpoint list."""


class SetTimer(NamedTuple):
    """Set the timer.

    Only one timer runs at a time: the new timer replaces the previous timer, which need not fire any more.
    """

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
