"""Settings for tests, and a balancer whose actions are checked against the rules of the protocol.

The module defines request classes (one for each kind of idempotency, restriction and order), functions that
make settings, endpoints and arrivals, and `CheckedBalancer`, which drives one balancer and checks each of its
actions. The checker keeps its own record from events and actions alone, and shares no code with the package
that it checks.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from lanelift.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    ProbeLoad,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
)
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    NOT_EXECUTED,
    AttemptFinished,
    AttemptResult,
    BodyReceived,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from lanelift.policy.settings import (
    DeduplicationScope,
    Idempotency,
    Limits,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)

MS = 1_000_000
SECOND = 1000 * MS
START = 5 * SECOND

READ = RequestClass("read", Idempotency.IDEMPOTENT, latency_objective_ns=300 * MS)
PAY = RequestClass("pay", Idempotency.NON_IDEMPOTENT, latency_objective_ns=300 * MS)
KEYED_IN_CELL = RequestClass(
    "cell",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.CELL,
    deduplication_window_ns=400 * MS,
    latency_objective_ns=300 * MS,
)
KEYED_ANYWHERE = RequestClass(
    "any",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.ALL,
    deduplication_window_ns=400 * MS,
    latency_objective_ns=300 * MS,
)
ORDERED = RequestClass(
    "row",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.CELL,
    deduplication_window_ns=400 * MS,
    latency_objective_ns=300 * MS,
    ordered_by_key=True,
)
WEST_ONLY = RequestClass(
    "west", Idempotency.IDEMPOTENT, latency_objective_ns=300 * MS, zones=frozenset({"west"})
)
BIG_ONLY = RequestClass(
    "big", Idempotency.NON_IDEMPOTENT, latency_objective_ns=300 * MS, machine_kinds=frozenset({"big"})
)
MAY_STILL_RUN = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)


def settings(**changes: object) -> Settings:
    """Return settings with the classes above, two tenants, hedging and slow start, changed by `changes`."""
    base: dict[str, object] = {
        "classes": {
            c.name: c for c in (READ, PAY, KEYED_IN_CELL, KEYED_ANYWHERE, ORDERED, WEST_ONLY, BIG_ONLY)
        },
        "tenants": {"ash": Tenant("ash", 0.5), "birch": Tenant("birch", 0.5)},
        "limits": Limits(max_attempts=3, hedging=True, may_cancel=True, retry_after=True),
        "rules": Rules(slow_start_ns=4 * SECOND, key_cooldown_ns=100 * MS),
        "zone": "east",
    }
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


def upstreams(count: int, first: int = 1, started_ns: int = 0) -> list[Endpoint]:
    """Return `count` ready endpoints of one zone, three to a cell, numbered from `first`."""
    return [Endpoint(first + i, EndpointState.READY, "east", i // 3, 1.0, started_ns) for i in range(count)]


def mixed_endpoints(count: int) -> list[Endpoint]:
    """Return `count` ready endpoints, alternately in two zones and of two machine kinds."""
    return [
        endpoint._replace(zone=("east", "west")[endpoint.id % 2], kind=("big", "small")[endpoint.id // 2 % 2])
        for endpoint in upstreams(count)
    ]


def arrival(
    number: int | str,
    now: int,
    request_class: RequestClass = READ,
    tenant: str = "ash",
    wait_ns: int = 500 * MS,
    retry: bool = False,
    key: str = "",
) -> RequestArrived:
    """Return the arrival of request `r<number>`, whose client waits for `wait_ns`."""
    return RequestArrived(f"r{number}", request_class.name, tenant, now + wait_ns, key=key, retry=retry)


def check_slow_start_budget(sends: list[int], started_ns: int, rules: Rules, warm_per_s: float) -> None:
    """Check rule 4 over all replicas, with a tolerance of two attempts.

    An upstream that is warming up may get no more attempts in any window than its share of capacity allows.
    """
    for i, last in enumerate(sends):
        age = last - started_ns
        if age >= rules.slow_start_ns:
            continue
        part = (
            rules.slow_start_initial_share + (1 - rules.slow_start_initial_share) * age / rules.slow_start_ns
        )
        count = sum(last - rules.overload_window_ns < t <= last for t in sends[: i + 1])
        most = rules.overload_multiple * part * warm_per_s * rules.overload_window_ns / SECOND + 2
        assert count <= most, f"{count} attempts at an upstream that is warming up, {most:.1f} allowed"


NO_DEADLINE = 1 << 62


class CheckedBalancer:
    """Drives one balancer, runs its timers, and checks its actions against the rules.

    Attributes:
        config: The settings of the balancer.
        now: The simulated time.
        balancer: The balancer under test.
        classes: The request class of each request.
        deadline: When the client of each request gives up.
        answer: The final answer of each request; "broken" or "disconnected" if it ended without one.
        notified_complete: Requests that were reported to the balancer as complete.
        body_pending: Requests whose body is still being received, so that their time is not counted.
        body_consumed: Requests that can't be sent again, as part of their body was consumed.
        body_streamed: Requests whose body can be sent only once, whether or not it has been received.
        response_started: The number of the attempt whose response is being passed on, by request.
        key_order: The requests of each ordering key, in order of arrival.
        cooldown_until: When later requests of the same key may be forwarded, by request.
        attempts: The attempts of each request: the endpoint, and when the attempt was started.
        results: How attempts ended, by request and attempt number.
        endpoints: The endpoint list, by upstream number.
        timers: The timers that are set: due time and name.
        log: All actions so far.
    """

    def __init__(self, config: Settings | None = None, seed: int = 7, upstream_count: int = 6) -> None:
        self.config = config or settings()
        self.now = START
        self.balancer = Balancer(self.config, seed, self.now)
        self.classes: dict[str, RequestClass] = {}
        self.deadline: dict[str, int] = {}
        self.answer: dict[str, str] = {}
        self.notified_complete: set[str] = set()
        self.body_pending: set[str] = set()
        self.body_consumed: set[str] = set()
        self.body_streamed: set[str] = set()
        self.response_started: dict[str, int] = {}
        self.key_order: dict[str, list[str]] = {}
        self.cooldown_until: dict[str, int] = {}
        self.attempts: dict[str, list[tuple[Endpoint, int]]] = {}
        self.results: dict[tuple[str, int], AttemptResult] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.timers: list[tuple[int, str]] = []
        self.log: list[Action] = []
        if upstream_count:
            self.handle(EndpointUpdate(EndpointUpdateKind.CACHED, upstreams(upstream_count)))

    # -- events and time --

    def handle(self, *events: Event) -> list[Action]:
        """Make the balancer handle these events; record the events, and check and return its actions."""
        for event in events:
            self._record(event)
        actions = self.balancer.handle(self.now, events)
        for action in actions:
            self._check(action)
        self.log += actions
        return actions

    def advance(self, by_ns: int, step_ns: int = 5 * MS) -> list[Action]:
        """Advance the time in steps; fire timers that are due, and time out attempts at their deadline."""
        seen: list[Action] = []
        end = self.now + by_ns
        while self.now < end:
            self.now = min(end, self.now + step_ns)
            due = sorted(t for t in self.timers if t[0] <= self.now)
            self.timers = [t for t in self.timers if t[0] > self.now]
            events: list[Event] = [TimerFired(name) for _, name in due]
            for request, number in self.attempts_in_flight():
                if self.deadline[request] <= self.now and request not in self.body_pending:
                    events.append(self.result(request, number, AttemptResult.TIMEOUT))
            if events:
                seen += self.handle(*events)
            for request, deadline in self.deadline.items():
                if deadline + 20 * MS < self.now and request not in self.answer:
                    assert self.has_upload_in_flight(request), (
                        f"{request} got no final answer by its deadline"
                    )
        return seen

    def attempts_in_flight(self) -> list[tuple[str, int]]:
        """Return the attempts in flight, as pairs of request and attempt number."""
        return [
            (r, i)
            for r, sent in self.attempts.items()
            for i in range(len(sent))
            if (r, i) not in self.results
        ]

    def has_upload_in_flight(self, request: str) -> bool:
        """Return whether a request with a pending body has an attempt in flight."""
        return request in self.body_pending and any(r == request for r, _ in self.attempts_in_flight())

    def result(self, request: str, number: int, result: AttemptResult) -> AttemptFinished:
        """Return the event that reports the end of an attempt, now and with this result."""
        upstream, sent = self.attempts[request][number]
        over = request in self.answer or request in self.notified_complete
        if request in self.response_started:
            over = over or self.response_started[request] == number
        else:
            over = over or result is AttemptResult.OK
        return AttemptFinished(request, number, upstream.id, result, self.now - sent, over)

    def finish(
        self, request: str, result: AttemptResult = AttemptResult.OK, number: int = -1
    ) -> list[Action]:
        """Report the end of an attempt, by default the last one of the request."""
        number = number if number >= 0 else len(self.attempts[request]) - 1
        return self.handle(self.result(request, number, result))

    # -- the record and the checks --

    def _record(self, event: Event) -> None:
        """Record the content of an event."""
        if isinstance(event, RequestArrived):
            self.classes[event.request] = self.config.classes[event.class_name]
            self.deadline[event.request] = event.deadline_ns
            if event.body_pending:
                self.body_pending.add(event.request)
                self.body_streamed.add(event.request)
            if self.classes[event.request].ordered_by_key and event.key:
                self.key_order.setdefault(event.key, []).append(event.request)
        elif isinstance(event, AttemptFinished) and event.request in self.classes:
            self.results[event.request, event.attempt] = event.result
            if event.result in MAY_STILL_RUN:
                self.cooldown_until[event.request] = self.now + self.config.rules.key_cooldown_ns
            if (
                event.result is AttemptResult.OK
                and event.request_complete
                and event.request not in self.answer
            ):
                self.answer[event.request] = "served"
            elif self.response_started.get(event.request) == event.attempt:
                self.answer.setdefault(event.request, "broken")
            if event.body_consumed:
                self.body_consumed.add(event.request)
            if event.request_complete:
                self.notified_complete.add(event.request)
        elif isinstance(event, BodyReceived) and event.request in self.classes:
            self.body_pending.discard(event.request)
            self.deadline[event.request] = event.deadline_ns
        elif isinstance(event, ResponseStarted) and event.request in self.classes:
            self.response_started.setdefault(event.request, event.attempt)
            self.deadline[event.request] = NO_DEADLINE
        elif isinstance(event, ClientDisconnected):
            self.answer.setdefault(event.request, "disconnected")
            self.notified_complete.add(event.request)
        elif isinstance(event, EndpointUpdate):
            if event.kind in (EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.CACHED):
                self.endpoints = {
                    i: endpoint._replace(state=EndpointState.REMOVED)
                    for i, endpoint in self.endpoints.items()
                }
            self.endpoints |= {endpoint.id: endpoint for endpoint in event.endpoints}

    def _may_have_run(self, request: str) -> list[tuple[Endpoint, int]]:
        """Return the attempts of a request that may have run."""
        return [
            s
            for i, s in enumerate(self.attempts.get(request, []))
            if self.results.get((request, i)) not in NOT_EXECUTED
        ]

    def _check(self, action: Action) -> None:
        """Check that an action is legal, and record it."""
        if isinstance(action, StartAttempt):
            self._check_attempt(action)
        elif isinstance(action, Reject):
            request_class, may_have_run = self.classes[action.request], self._may_have_run(action.request)
            harmless = (
                request_class.idempotency is Idempotency.IDEMPOTENT
                or not may_have_run
                or (
                    request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
                    and request_class.deduplication_scope is DeduplicationScope.ALL
                )
            )
            assert harmless, f"{action.request} rejected though it may have run"
            self._check_answer(action.request, "rejected")
            assert 0 <= action.retry_after_ns <= self.config.limits.max_retry_after_ns
        elif isinstance(action, Fail):
            self._check_answer(action.request, "failed")
        elif isinstance(action, CancelAttempt):
            assert self.config.limits.may_cancel and action.attempt < len(self.attempts[action.request])
        elif isinstance(action, ProbeLoad):
            assert self.config.limits.load_probes and action.upstream in self.endpoints
        elif isinstance(action, SendPeerMessage):
            assert self.config.limits.peer_messages and len(action.data) <= 256
        elif isinstance(action, SetTimer):
            assert action.delay_ns > 0
            self.timers.append((self.now + action.delay_ns, action.name))

    def _check_key_order(self, request: str) -> None:
        """Check rule 5: requests of one key run one at a time, in order, and not in the key's cooldown."""
        for order in self.key_order.values():
            for earlier in order[: order.index(request)] if request in order else ():
                over = earlier in self.answer or earlier in self.notified_complete
                assert over, f"{request} sent before {earlier}, which arrived earlier, has ended"
                assert earlier not in {r for r, _ in self.attempts_in_flight()}, (
                    f"{request} sent while an attempt of {earlier} is in flight"
                )
                assert self.now >= self.cooldown_until.get(earlier, 0), (
                    f"{request} sent in the cooldown of its key"
                )

    def _check_answer(self, request: str, answer: str) -> None:
        """Check rule 1: a request gets one final answer, in time."""
        assert request in self.classes, f"{request} never arrived"
        assert request not in self.response_started, f"{request} answered while a response is being passed on"
        assert request not in self.answer, f"{request} answered twice: {self.answer.get(request)}, {answer}"
        late = self.now > self.deadline[request] + 20 * MS
        assert not late or request in self.body_pending, f"{request} answered late"
        self.answer[request] = answer

    def _check_attempt(self, action: StartAttempt) -> None:
        """Check rules 1 to 3, 5 and 6 for an attempt."""
        request, upstream = action.request, self.endpoints[action.upstream]
        request_class, limits, may_have_run = (
            self.classes[request],
            self.config.limits,
            self._may_have_run(action.request),
        )
        assert request not in self.answer and request not in self.notified_complete, (
            f"{request} sent after it has ended"
        )
        assert upstream.state is EndpointState.READY, f"{request} sent to a draining or removed upstream"
        assert not request_class.zones or upstream.zone in request_class.zones, (
            f"{request} sent outside its zones"
        )
        assert not request_class.machine_kinds or upstream.kind in request_class.machine_kinds, (
            f"{request} sent to a machine kind that it may not use"
        )
        assert request not in self.body_consumed, f"{request} sent again without its body"
        assert request not in self.response_started, f"{request} sent while a response is being passed on"
        self._check_key_order(request)
        sent = self.attempts.setdefault(request, [])
        assert len(sent) < limits.max_attempts
        in_flight = sum((request, i) not in self.results for i in range(len(sent)))
        assert in_flight < (2 if limits.hedging else 1), f"{request}: {in_flight} attempts in flight already"
        assert not in_flight or request not in self.body_streamed, (
            f"{request} sent without its body, which an attempt in flight has taken or will take"
        )
        if may_have_run and request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError(f"{request} is not idempotent, may have run and is sent again")
        if may_have_run and request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            assert self.now - may_have_run[0][1] <= request_class.deduplication_window_ns, (
                f"{request} repeated after its deduplication window"
            )
            if request_class.deduplication_scope is DeduplicationScope.CELL:
                assert all(
                    (endpoint.zone, endpoint.cell) == (upstream.zone, upstream.cell)
                    for endpoint, _ in may_have_run
                )
        sent.append((upstream, self.now))


ActionType = TypeVar("ActionType")


def actions_of_type(kind: type[ActionType], actions: Iterable[Action]) -> list[ActionType]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]
