"""The interface of the decision module: its settings, the events it takes, the actions it gives.

One `Balancer` (see `lanelift/decide/`) is one proxy. It is handed the clock and a seed; it opens no socket,
reads no clock and keeps no thread. All times are whole nanoseconds on the caller's clock. Nothing here
decides.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Effect(Enum):
    """What repeating a request of a class may do."""

    SAFE = "safe"  # may be repeated and refused freely
    KEYED = "keyed"  # carries a key: one group of upstreams drops its repeats for a while
    UNSAFE = "unsafe"  # must never run twice


class Scope(Enum):
    """Which upstreams drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """What discovery says of an upstream."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Strangers(Enum):
    """What is done with requests of tenants that a directory does not name."""

    SHARE = "share"  # all of them share one small throttle
    DENY = "deny"


class ListKind(Enum):
    """What a list event carries."""

    DELTA = 0  # only changed entries
    FULL = 1  # the whole list
    CACHED = 2  # the whole list as last known before a restart, maybe old
    FAILED = 3  # a call failed or the subscription broke; no entries


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # turned away unseen; never ran
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # called off; may have run
    MOOT = "moot"  # not sent at all; never ran


NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.MOOT})


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window_ns: int = 0  # keyed: how long repeats are dropped, from the first send that may have run
    aim_ns: int = 1_000_000_000  # an answer within this earns the full worth
    deadline_ns: int = 3_000_000_000  # the longest that its clients wait, over all their tries
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth for an answer after the aim
    stream: bool = False
    in_order: bool = False  # requests with one key run singly, in the order taken
    zones: frozenset[str] = frozenset()  # the only zones it may go to; empty: any
    kinds: frozenset[str] = frozenset()  # the only kinds of machine it may go to; empty: any


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float = 1.0
    quota_per_s: float = 0.0  # over all proxies; 0: not told
    barred: str = ""  # why nothing of it is served; "": it is
    classes: frozenset[str] = frozenset()  # the only ones it may ask for; empty: any
    limits: tuple[tuple[str, float], ...] = ()  # by class, or "" for all: requests a second over all proxies


@dataclass(frozen=True, slots=True)
class Limits:
    max_attempts: int = 1
    second_copies: bool = False
    may_cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 1_000_000_000
    connect_timeout_ns: int = 250_000_000
    conn_idle_ns: int = 15_000_000_000  # an upstream closes a connection that has stood idle for this long
    max_open: int = 20_000  # requests that a proxy may have open


@dataclass(frozen=True, slots=True)
class Rules:
    stop_sending_within_ns: int = 1_000_000_000  # sends to a draining upstream must end within this
    ask_within_ns: int = 10_000_000_000  # without news for this long, a proxy counts as told
    cold_from: float = 0.3  # a started upstream begins at this share of its capacity
    cold_ns: int = 0  # and is warm after this
    fall_multiple: float = 3.0  # sent more than this many times what it can do
    overload_for_ns: int = 2_000_000_000  # for this long, it falls over
    turn_gap_ns: int = 0  # a key in order rests this long after an attempt that may still run


@dataclass(frozen=True, slots=True)
class Prices:
    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    me: int = 0
    replicas_of_me: int = 1
    zone: str = ""
    discovery_push: bool = True  # list changes come by themselves
    classes: Mapping[str, RequestClass] = field(default_factory=dict)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)
    report_columns: Sequence[str] = ()  # what load reports hold
    reports_in_answers: bool = False


class Upstream(NamedTuple):
    """An entry of the upstream list."""

    id: int
    state: State = State.READY
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ns: int = 0  # clock time of its last start; 0: long ago
    kind: str = ""  # the kind of machine


# ---- events --------------------------------------------------------------------------------------------


class ListUpdate(NamedTuple):
    kind: ListKind
    upstreams: Sequence[Upstream] = ()


class TenantsUpdate(NamedTuple):
    """News of tenants from a directory: these are so now, and those are none any more. Once `strangers` has
    been told, all that there are have been, and whoever is not among them is one."""

    tenants: Sequence[Tenant] = ()
    gone: Sequence[str] = ()
    strangers: Strangers | None = None  # None: as before


class Arrival(NamedTuple):
    """A client's request; the proxy now owes it one final answer."""

    request: str
    class_name: str
    tenant: str
    deadline_ns: int
    cost_hint_ns: int = 0
    key: str = ""
    retry: bool = False
    asked_ns: int = 0  # when its last byte came, where that was earlier; 0: now
    coming: bool = False  # its body is still coming, and can be sent once: its time runs from `BodyCame` on


class Outcome(NamedTuple):
    """How one attempt ended; every Send gets exactly one."""

    request: str
    attempt: int
    upstream: int
    result: Result
    took_ns: int
    complete: bool = False  # the request is over
    report: Mapping[str, float] | None = None
    spent: bool = False  # part of a body that is not held went with it: the request can't be sent again


class BodyCame(NamedTuple):
    """The last byte of a request whose body was `coming`; its time runs from here."""

    request: str
    deadline_ns: int


class AnswerBegun(NamedTuple):
    """A streamed answer has begun; the request's deadline no longer runs."""

    request: str
    attempt: int
    upstream: int
    took_ns: int


class ClientGone(NamedTuple):
    request: str


class ProbeResult(NamedTuple):
    upstream: int
    result: Result
    took_ns: int
    report: Mapping[str, float] | None = None


class PeerMessage(NamedTuple):
    sender: int
    data: bytes
    came_ns: int = 0  # when it came, where that was earlier; 0: now


class Wake(NamedTuple):
    """A timer set with SetTimer is due."""

    name: str


Event = (
    ListUpdate
    | TenantsUpdate
    | Arrival
    | BodyCame
    | Outcome
    | AnswerBegun
    | ClientGone
    | ProbeResult
    | PeerMessage
    | Wake
)

# ---- actions -------------------------------------------------------------------------------------------


class Send(NamedTuple):
    """Start an attempt. A request's attempts are numbered from 0 in the order of their sends."""

    request: str
    upstream: int
    timeout_ns: int = 0  # 0: until the client gives up


class Refuse(NamedTuple):
    """Final answer: turned away; trying again is harmless."""

    request: str
    retry_after_ns: int = 0
    limited: bool = False  # its tenant is over a limit that was set for it


class Fail(NamedTuple):
    """Final answer: failed, with no promise about its effect."""

    request: str
    denied: str = ""  # why its tenant may not ask for this: asking again is of no use


class Cancel(NamedTuple):
    request: str
    attempt: int


class Probe(NamedTuple):
    upstream: int


class Tell(NamedTuple):
    data: bytes
    peer: int = -1  # -1: all peers


class Subscribe(NamedTuple):
    on: bool = True


class FetchList(NamedTuple):
    pass


class SetTimer(NamedTuple):
    """One timer runs at a time: this one takes the place of the one before it, which need not come."""

    delay_ns: int
    name: str


class Note(NamedTuple):
    text: str


Action = Send | Refuse | Fail | Cancel | Probe | Tell | Subscribe | FetchList | SetTimer | Note
