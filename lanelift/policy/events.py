"""What a `Balancer` handles: one frozen value for each kind of event.

All times are whole nanoseconds on the caller's clock. Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import NamedTuple

from lanelift.policy.settings import Tenant, UnknownTenants


class EndpointState(Enum):
    """What discovery says of an upstream."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointUpdateKind(Enum):
    """What an update of the endpoint list carries."""

    DELTA = 0  # only changed entries
    SNAPSHOT = 1  # all entries
    CACHED = 2  # all entries as last known before a restart, perhaps outdated
    FAILED = 3  # a call failed or the subscription broke; no entries


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "full"  # rejected by the upstream before it ran
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect_failed"  # no connection, or not written whole: never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # cancelled by the balancer; may have run
    NOT_SENT = "moot"  # not sent at all; never ran


NOT_EXECUTED = frozenset({AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT})


class Endpoint(NamedTuple):
    """One entry of the endpoint list.

    Attributes:
        id: The upstream's number.
        state: Whether it takes requests.
        zone: The zone in which it runs.
        cell: The group inside its zone that shares idempotency keys.
        weight: Its capacity against others. Not used by any decision.
        started_ns: Clock time of its last start; 0: long ago.
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
    """A snapshot or delta of the endpoint list, or that getting one failed."""

    kind: EndpointUpdateKind
    endpoints: Sequence[Endpoint] = ()


class TenantUpdate(NamedTuple):
    """A change of tenants from a directory.

    Attributes:
        tenants: Tenants that are new or changed.
        removed: Names of tenants that exist no more.
        unknown_tenants: What to do with tenants that no update has named; set once all tenants have been
            named. None: as before.
    """

    tenants: Sequence[Tenant] = ()
    removed: Sequence[str] = ()
    unknown_tenants: UnknownTenants | None = None


class RequestArrived(NamedTuple):
    """A client's request; the balancer now owes it one final answer.

    Attributes:
        request: The request's identifier, unique among open requests.
        class_name: Its request class.
        tenant: Its tenant's name.
        deadline_ns: When its client gives up.
        cost_hint_ns: How long the client expects it to take; 0: not stated.
        key: Its ordering key; empty: none.
        retry: The client says that it repeats an earlier request.
        received_ns: When its last byte came in, where that was earlier; 0: now.
        body_pending: Its body is still being received and can be sent only once; its time counts from
            `BodyReceived` on.
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
    """How one attempt ended; every `StartAttempt` gets exactly one of these.

    Attributes:
        request: The request's identifier.
        attempt: The attempt's number, from 0.
        upstream: The upstream's number.
        result: How it ended.
        duration_ns: How long it took.
        request_complete: The request has its final answer, or its client has disconnected.
        report: The upstream's load report, where it came with the response.
        body_consumed: Part of a body that is not buffered went with it: the request can't be sent again.
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
    """The last byte of a request with a pending body came in; its time counts from here."""

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
    """How a load probe ended, with the load report where there is one."""

    upstream: int
    result: AttemptResult
    duration_ns: int
    report: Mapping[str, float] | None = None


class PeerMessageReceived(NamedTuple):
    """A message from another replica; `received_ns`: when it came in, where that was earlier; 0: now."""

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
