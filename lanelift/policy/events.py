"""Events that a `Balancer` handles: one immutable type for each kind.

All times are whole nanoseconds on the caller's clock. This module only defines values; it makes no decisions.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import NamedTuple

from lanelift.policy.settings import Tenant, UnknownTenants


class EndpointState(Enum):
    """The state of an upstream, as discovery reports it."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointUpdateKind(Enum):
    """The kind of an update of the endpoint list."""

    DELTA = 0  # only changed entries
    SNAPSHOT = 1  # all entries
    CACHED = 2  # all entries as known before a restart; may be outdated
    FAILED = 3  # no entries: a call failed or the subscription broke


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the upstream answered with an error; the request may have run
    REJECTED = "full"  # the upstream rejected the request before running it
    TIMEOUT = "timeout"  # the request may have run, or may still be running
    # No connection, or request not written completely; the request never ran.
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke; the request may have run
    CANCELLED = "cancelled"  # cancelled by the balancer; the request may have run
    NOT_SENT = "moot"  # the request was not sent at all, so it never ran


NOT_EXECUTED = frozenset({AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT})


class Endpoint(NamedTuple):
    """One entry of the endpoint list.

    Attributes:
        id: The upstream's number.
        state: Whether the upstream takes requests.
        zone: The zone in which the upstream runs.
        cell: The group of upstreams inside its zone that share idempotency keys.
        weight: The upstream's capacity relative to other upstreams. No decision uses this weight.
        started_ns: The clock time of the upstream's last start; 0 means long ago.
        kind: The kind of machine.
    """

    id: int
    state: EndpointState = EndpointState.READY
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ns: int = 0
    kind: str = ""


class EndpointUpdate(NamedTuple):
    """A snapshot or delta of the endpoint list, or a failure to get one."""

    kind: EndpointUpdateKind
    endpoints: Sequence[Endpoint] = ()


class TenantUpdate(NamedTuple):
    """A change of the tenants in a directory.

    Attributes:
        tenants: Tenants that are new or changed.
        removed: Names of tenants that no longer exist.
        unknown_tenants: How tenants that no update has named are handled from now on; set once updates have
            named all tenants. None means that the handling of such tenants does not change.
    """

    tenants: Sequence[Tenant] = ()
    removed: Sequence[str] = ()
    unknown_tenants: UnknownTenants | None = None


class RequestArrived(NamedTuple):
    """A client's request arrived; the balancer must give it exactly one final answer.

    Attributes:
        request: The request's identifier, unique among open requests.
        class_name: The name of the request's class.
        tenant: The name of the request's tenant.
        deadline_ns: When its client gives up.
        cost_hint_ns: How long the client expects the request to take; 0 means not stated.
        key: The request's ordering key; empty if the request has none.
        retry: Whether the client says that this request repeats an earlier request.
        received_ns: When the last byte of the request was received, if earlier than now; 0 means now.
        body_pending: Whether the request's body is still being received. Such a body is streamed, and can be
            sent only once, also after `BodyReceived`. The request's time is counted from `BodyReceived` on.
    """

    request: str
    class_name: str
    tenant: str
    deadline_ns: int
    cost_hint_ns: int = 0
    key: str = ""
    retry: bool = False
    received_ns: int = 0
    body_pending: bool = False


class AttemptFinished(NamedTuple):
    """An attempt ended; the caller reports exactly one of these for every `StartAttempt`.

    Attributes:
        request: The request's identifier.
        attempt: The attempt's number, from 0.
        upstream: The upstream's number.
        result: How it ended.
        duration_ns: How long the attempt took.
        request_complete: Whether the request has its final answer, or its client has disconnected.
        report: The upstream's load report, if the response carried one.
        body_consumed: Whether the attempt consumed part of a body that is not buffered, so that the request
            can't be sent again.
    """

    request: str
    attempt: int
    upstream: int
    result: AttemptResult
    duration_ns: int
    request_complete: bool = False
    report: Mapping[str, float] | None = None
    body_consumed: bool = False


class BodyReceived(NamedTuple):
    """The last byte of a pending request body was received; the request's time is counted from now.

    Attributes:
        request: The request's identifier.
        deadline_ns: When the client gives up; replaces the deadline of `RequestArrived`.
    """

    request: str
    deadline_ns: int


class ResponseStarted(NamedTuple):
    """A streamed response has started; the request's deadline no longer applies."""

    request: str
    attempt: int
    upstream: int
    duration_ns: int


class ClientDisconnected(NamedTuple):
    """The client of a request has closed its connection."""

    request: str


class LoadProbeFinished(NamedTuple):
    """A load probe ended; `report` is the load report, if there is one."""

    upstream: int
    result: AttemptResult
    duration_ns: int
    report: Mapping[str, float] | None = None


class PeerMessageReceived(NamedTuple):
    """A message from another replica was received at `received_ns`; 0 means now."""

    sender: int
    data: bytes
    received_ns: int = 0


class TimerFired(NamedTuple):
    """A timer set with `SetTimer` is due."""

    name: str


Event = (
    EndpointUpdate
    | TenantUpdate
    | RequestArrived
    | BodyReceived
    | AttemptFinished
    | ResponseStarted
    | ClientDisconnected
    | LoadProbeFinished
    | PeerMessageReceived
    | TimerFired
)
