"""Typed settings of the balancing policy.

`lanelift/settings.py` reads them from the platform's settings object, and `lanelift/config` reads them from
the operator's file. All durations are whole nanoseconds. This module only defines values; it makes no
decisions.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request of a class may be executed more than once."""

    IDEMPOTENT = "safe"  # the request may be retried, or rejected, even if it has run
    # The request carries a key by which one group of upstreams drops repeats for a while.
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"  # the request must never be executed twice


class DeduplicationScope(Enum):
    """The group of upstreams that drops repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class UnknownTenants(Enum):
    """How requests of tenants that the directory does not name are handled."""

    SHARE = "share"  # all unknown tenants share one small token bank
    DENY = "deny"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests, with its retry rules, latency objective and deadline.

    Attributes:
        name: The name that requests carry.
        idempotency: Whether a request may be executed more than once.
        deduplication_scope: Which upstreams drop repeats of one idempotency key.
        deduplication_window_ns: How long upstreams drop repeats, counted from the first attempt that may have
            run.
        latency_objective_ns: An answer within this time earns the full priority weight.
        deadline_ns: The longest time that a client of this class waits, over all attempts of its request.
        priority_weight: The value of an answer within the objective, relative to other classes. Not used by
            any decision.
        late_weight: The share of the priority weight that an answer after the objective still earns.
        streaming: Whether responses are long, so that their latency is measured when they start.
        ordered_by_key: Whether requests with the same key run one at a time, in the order in which they
            arrived.
        zones: The only zones that requests of the class may be forwarded to; empty means any zone.
        machine_kinds: The only kinds of machine that requests of the class may be forwarded to; empty means
            any kind.
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
    """A tenant with its share of capacity and its limits.

    Attributes:
        name: The name that requests carry.
        share: The tenant's weight relative to other tenants when capacity is short.
        quota_per_s: The contracted requests per second over all replicas; 0 means not stated. Not used by any
            decision.
        denial_reason: Why all requests of the tenant are denied; empty if the tenant's requests are served.
        classes: The only request classes that the tenant may use; empty means any class.
        rate_limits: Pairs of a class name ("" for all classes) and a limit in requests per second over all
            replicas.
    """

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0
    denial_reason: str = ""
    classes: frozenset[str] = frozenset()
    rate_limits: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Limits:
    """The platform's limits on what a balancer may do.

    Attributes:
        max_attempts: The most attempts for one request, including the first.
        hedging: Whether a second attempt may run beside an overdue first attempt.
        may_cancel: Whether attempts may be cancelled.
        load_probes: Whether upstreams may be probed for their load.
        peer_messages: Whether replicas may send messages to one another.
        retry_after: Whether a rejection may carry Retry-After.
        max_retry_after_ns: The longest Retry-After that may be sent.
        connect_timeout_ns: The longest time for establishing a connection to an upstream.
        upstream_idle_timeout_ns: An upstream closes a connection that has been idle for this long.
        max_open_requests: The most requests that a balancer may have open at the same time.
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
    """The platform's rules for every balancer.

    Attributes:
        drain_grace_ns: New attempts at a draining upstream must stop within this time. Not used by any
            decision, as new attempts stop immediately.
        notification_deadline_ns: A balancer counts as notified of a change after this time even if no update
            reached it.
        slow_start_initial_share: The share of its capacity that an upstream has when it starts.
        slow_start_ns: How long an upstream takes to warm up.
        overload_multiple: An upstream fails if its load exceeds this multiple of its capacity throughout
            `overload_window_ns`.
        overload_window_ns: See `overload_multiple`. Not used by any decision.
        key_cooldown_ns: How long an ordering key pauses after an attempt that may still be running.
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
    """What the platform charges, as shares of the value of one request.

    Prices are charged for attempts that cross zones, wasted attempts, load probes, peer messages, open
    connections and handshakes. Decisions use only the prices of load probes and peer messages.
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
        zone: The zone in which the balancer runs; empty if unknown. Not used by any decision.
        discovery_push: Whether discovery pushes changes of the endpoint list.
        classes: Request classes by name.
        tenants: Listed tenants by name.
        limits: The limits on what the balancer may do.
        rules: The rules that the balancer follows.
        prices: The prices that the balancer is charged.
        load_report_fields: The names of the values in a load report.
        load_reports_in_responses: Whether upstreams attach load reports to their responses. Not used by any
            decision.
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
