"""The settings that the decisions follow, as typed values.

`lanelift/settings.py` reads them from the platform's settings object, `lanelift/config` from the operator's
file. All durations are whole nanoseconds. Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What running a request of a class a second time may do."""

    IDEMPOTENT = "safe"  # may be retried and rejected freely
    IDEMPOTENCY_KEY = "keyed"  # carries a key: one group of upstreams drops its repeats for a while
    NON_IDEMPOTENT = "unsafe"  # must never run twice


class DeduplicationScope(Enum):
    """Which upstreams drop the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class UnknownTenants(Enum):
    """What is done with requests of tenants that a directory does not name."""

    SHARE = "share"  # all of them share one small token bank
    DENY = "deny"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: what a retry may do, and how soon an answer is wanted.

    Attributes:
        name: The class's name, as requests carry it.
        idempotency: What running a request twice may do.
        deduplication_scope: Which upstreams drop repeats of one idempotency key.
        deduplication_window_ns: How long they drop them, from the first attempt that may have run.
        latency_objective_ns: An answer within this time earns the full priority weight.
        deadline_ns: The longest that clients of this class wait, over all their attempts.
        priority_weight: What one answer within the objective earns against other classes. Not used by any
            decision.
        late_weight: The share of the weight that an answer after the objective still earns.
        streaming: Answers are long and count from their beginning.
        ordered_by_key: Requests with one key run one at a time, in the order in which they arrived.
        zones: The only zones that it may be forwarded to; empty: any.
        machine_kinds: The only kinds of machine that it may be forwarded to; empty: any.
    """

    name: str
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0
    latency_objective_ns: int = 1_000_000_000
    deadline_ns: int = 3_000_000_000
    priority_weight: float = 1.0
    late_weight: float = 0.0
    streaming: bool = False
    ordered_by_key: bool = False
    zones: frozenset[str] = frozenset()
    machine_kinds: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and what it may use.

    Attributes:
        name: The tenant's name, as requests carry it.
        share: Its weight against other tenants when capacity is short.
        quota_per_s: Requests a second in its contract, over all replicas; 0: not stated. Not used by any
            decision.
        denial_reason: Why no request of it is served; empty: it is served.
        classes: The only classes that it may use; empty: any.
        rate_limits: Pairs of a class ("" for all) and requests a second, over all replicas.
    """

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0
    denial_reason: str = ""
    classes: frozenset[str] = frozenset()
    rate_limits: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Limits:
    """What a balancer may do for one request and towards its neighbours.

    Attributes:
        max_attempts: Attempts for one request, the first among them.
        hedging: A second attempt may run beside an overdue first one.
        may_cancel: Attempts may be cancelled.
        load_probes: Upstreams may be asked for their load.
        peer_messages: Replicas may send messages to one another.
        retry_after: A rejection may carry Retry-After.
        max_retry_after_ns: The longest Retry-After.
        connect_timeout_ns: How long a connection to an upstream may take to come up.
        upstream_idle_timeout_ns: An upstream closes a connection that has been idle for this long.
        max_open_requests: Requests that a balancer may have open at once.
    """

    max_attempts: int = 1
    hedging: bool = False
    may_cancel: bool = False
    load_probes: bool = False
    peer_messages: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 1_000_000_000
    connect_timeout_ns: int = 250_000_000
    upstream_idle_timeout_ns: int = 15_000_000_000
    max_open_requests: int = 20_000


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules that the platform holds every balancer to.

    Attributes:
        drain_grace_ns: Attempts at a draining upstream must stop within this. Not used by any decision: they
            stop at once.
        notification_deadline_ns: Without an update for this long, a balancer counts as notified.
        slow_start_initial_share: A started upstream begins at this share of its capacity.
        slow_start_ns: How long after its start it is warm.
        overload_multiple: An upstream fails when it gets more than this many times what it can do
            throughout `overload_window_ns`.
        overload_window_ns: See `overload_multiple`. Not used by any decision.
        key_cooldown_ns: An ordering key pauses this long after an attempt that may still run.
    """

    drain_grace_ns: int = 1_000_000_000
    notification_deadline_ns: int = 10_000_000_000
    slow_start_initial_share: float = 0.3
    slow_start_ns: int = 0
    overload_multiple: float = 3.0
    overload_window_ns: int = 2_000_000_000
    key_cooldown_ns: int = 0


@dataclass(frozen=True, slots=True)
class Prices:
    """What the platform charges, as shares of the value of one request: for each attempt that crosses zones,
    wasted attempt, load probe, peer message, open connection and handshake. Decisions use those of load
    probes and peer messages.
    """

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one balancer.

    Attributes:
        replica: This balancer's number among its replicas, from 0.
        replica_count: How many replicas there are.
        zone: The zone in which it runs; empty: unknown. Not used by any decision.
        discovery_push: Changes of the endpoint list arrive without being polled for.
        classes: Request classes by name.
        tenants: Listed tenants by name.
        limits: What it may do.
        rules: What it is held to.
        prices: What it is charged.
        load_report_fields: Names of the numbers in a load report.
        load_reports_in_responses: Upstreams attach load reports to their responses. Not used by any decision.
    """

    replica: int = 0
    replica_count: int = 1
    zone: str = ""
    discovery_push: bool = True
    classes: Mapping[str, RequestClass] = field(default_factory=dict)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)
    load_report_fields: Sequence[str] = ()
    load_reports_in_responses: bool = False
