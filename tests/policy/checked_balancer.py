"""Small settings with invented names, and a checker of the rules.

It holds request classes (one for each kind of idempotency, restriction and order), functions that make
settings, endpoints and arrivals, and `CheckedBalancer`: it drives one balancer and checks each of its actions
against the rules of the protocol. The checker keeps a record of its own from the events and actions alone; it
shares no code with the package that it checks.
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
CELL = RequestClass(
    "cell",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.CELL,
    deduplication_window_ns=400 * MS,
    latency_objective_ns=300 * MS,
)
ANY = RequestClass(
    "any",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.ALL,
    deduplication_window_ns=400 * MS,
    latency_objective_ns=300 * MS,
)
ROW = RequestClass(
    "row",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.CELL,
    deduplication_window_ns=400 * MS,
    latency_objective_ns=300 * MS,
    ordered_by_key=True,
)
WEST = RequestClass("west", Idempotency.IDEMPOTENT, latency_objective_ns=300 * MS, zones=frozenset({"west"}))
BIG = RequestClass(
    "big", Idempotency.NON_IDEMPOTENT, latency_objective_ns=300 * MS, machine_kinds=frozenset({"big"})
)
MAY_STILL_RUN = (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED)


def settings(**changes: object) -> Settings:
    """Return settings with all classes above, two tenants, hedging and slow start, with these changes."""
    base: dict[str, object] = {
        "classes": {c.name: c for c in (READ, PAY, CELL, ANY, ROW, WEST, BIG)},
        "tenants": {"ash": Tenant("ash", 0.5), "birch": Tenant("birch", 0.5)},
        "limits": Limits(max_attempts=3, hedging=True, may_cancel=True, retry_after=True),
        "rules": Rules(slow_start_ns=4 * SECOND, key_cooldown_ns=100 * MS),
        "zone": "east",
    }
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


def upstreams(count: int, first: int = 1, started_ns: int = 0) -> list[Endpoint]:
    """Return so many ready endpoints of one zone, three to a cell, numbered from `first`."""
    return [Endpoint(first + i, EndpointState.READY, "east", i // 3, 1.0, started_ns) for i in range(count)]


def places(count: int) -> list[Endpoint]:
    """Return so many ready endpoints, alternately in two zones and of two kinds."""
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
    """Check rule 4 over all replicas, with a slack of two.

    In no window may an upstream that warms up get more attempts than its share of capacity allows.
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
        assert count <= most, f"{count} attempts at an upstream that warms up, {most:.1f} at most"


FOREVER = 1 << 62


class CheckedBalancer:
    """Drives one balancer, keeps its timers, and checks the rules and the grammar of its actions.

    Attributes:
        config: The settings.
        now: The time.
        balancer: The balancer.
        classes: The class of each request.
        deadline: When the client of each request gives up.
        answer: What became of each request.
        notified_complete: Requests of which the balancer knows that they are over.
        body_pending: Requests whose body is still being received: sent, their time does not run.
        body_consumed: Requests that can't be sent again.
        response_started: The attempt of each request whose response is being passed on.
        key_order: The requests of each ordering key, as they arrived.
        cooldown_until: When later requests of the same key may go on, by request.
        sends: The attempts of each request: the endpoint, and when.
        results: How attempts ended, by request and number.
        endpoints: The endpoint list.
        timers: Timers that are set: when, and the name.
        log: All actions.
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
        self.response_started: dict[str, int] = {}
        self.key_order: dict[str, list[str]] = {}
        self.cooldown_until: dict[str, int] = {}
        self.sends: dict[str, list[tuple[Endpoint, int]]] = {}
        self.results: dict[tuple[str, int], AttemptResult] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.timers: list[tuple[int, str]] = []
        self.log: list[Action] = []
        if upstream_count:
            self.give(EndpointUpdate(EndpointUpdateKind.CACHED, upstreams(upstream_count)))

    # -- time --

    def give(self, *events: Event) -> list[Action]:
        """Let the balancer handle these events; record them, check its actions and return those."""
        for event in events:
            self._record(event)
        actions = self.balancer.handle(self.now, events)
        for action in actions:
            self._check(action)
        self.log += actions
        return actions

    def advance(self, by_ns: int, step_ns: int = 5 * MS) -> list[Action]:
        """Let time pass in ticks, with timers that are due and timeouts at the deadline."""
        seen: list[Action] = []
        end = self.now + by_ns
        while self.now < end:
            self.now = min(end, self.now + step_ns)
            due = sorted(t for t in self.timers if t[0] <= self.now)
            self.timers = [t for t in self.timers if t[0] > self.now]
            events: list[Event] = [TimerFired(name) for _, name in due]
            for request, number in self.out():
                if self.deadline[request] <= self.now and request not in self.body_pending:
                    events.append(self.result(request, number, AttemptResult.TIMEOUT))
            if events:
                seen += self.give(*events)
            for request, deadline in self.deadline.items():
                if deadline + 20 * MS < self.now and request not in self.answer:
                    assert self.uploads(request), f"{request} had no final answer in its time"
        return seen

    def out(self) -> list[tuple[str, int]]:
        """Return the attempts in flight: request and number."""
        return [
            (r, i) for r, sent in self.sends.items() for i in range(len(sent)) if (r, i) not in self.results
        ]

    def uploads(self, request: str) -> bool:
        """Return whether an attempt of a request is in flight whose body is pending."""
        return request in self.body_pending and any(r == request for r, _ in self.out())

    def result(self, request: str, number: int, result: AttemptResult) -> AttemptFinished:
        """Return the event that an attempt ends now with this result."""
        upstream, sent = self.sends[request][number]
        over = request in self.answer or request in self.notified_complete
        if request in self.response_started:
            over = over or self.response_started[request] == number
        else:
            over = over or result is AttemptResult.OK
        return AttemptFinished(request, number, upstream.id, result, self.now - sent, over)

    def finish(
        self, request: str, result: AttemptResult = AttemptResult.OK, number: int = -1
    ) -> list[Action]:
        """Let an attempt of a request end, by default the last one."""
        number = number if number >= 0 else len(self.sends[request]) - 1
        return self.give(self.result(request, number, result))

    # -- the record and the checks --

    def _record(self, event: Event) -> None:
        """Record what an event says."""
        if isinstance(event, RequestArrived):
            self.classes[event.request] = self.config.classes[event.class_name]
            self.deadline[event.request] = event.deadline_ns
            if event.body_pending:
                self.body_pending.add(event.request)
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
            self.deadline[event.request] = FOREVER
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
            for i, s in enumerate(self.sends.get(request, []))
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
            assert harmless, f"{action.request} refused though it may have run"
            self._check_answer(action.request, "rejected")
            assert 0 <= action.retry_after_ns <= self.config.limits.max_retry_after_ns
        elif isinstance(action, Fail):
            self._check_answer(action.request, "failed")
        elif isinstance(action, CancelAttempt):
            assert self.config.limits.may_cancel and action.attempt < len(self.sends[action.request])
        elif isinstance(action, ProbeLoad):
            assert self.config.limits.load_probes and action.upstream in self.endpoints
        elif isinstance(action, SendPeerMessage):
            assert self.config.limits.peer_messages and len(action.data) <= 256
        elif isinstance(action, SetTimer):
            assert action.delay_ns > 0
            self.timers.append((self.now + action.delay_ns, action.name))

    def _check_key_order(self, request: str) -> None:
        """Check rule 5: requests of one key run one at a time, in order, with a cooldown."""
        for order in self.key_order.values():
            for earlier in order[: order.index(request)] if request in order else ():
                over = earlier in self.answer or earlier in self.notified_complete
                assert over, f"{request} sent before {earlier}, taken earlier, is over"
                assert earlier not in {r for r, _ in self.out()}, f"{request} sent while {earlier} is out"
                assert self.now >= self.cooldown_until.get(earlier, 0), f"{request} sent while its key rests"

    def _check_answer(self, request: str, answer: str) -> None:
        """Check rule 1: one final answer, in time."""
        assert request in self.classes, f"{request} was never taken"
        assert request not in self.response_started, f"{request} answered while another answer is passed on"
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
            f"{request} sent after its end"
        )
        assert upstream.state is EndpointState.READY, f"{request} sent to a draining or gone upstream"
        assert not request_class.zones or upstream.zone in request_class.zones, (
            f"{request} sent outside its zones"
        )
        assert not request_class.machine_kinds or upstream.kind in request_class.machine_kinds, (
            f"{request} sent to a kind it may not use"
        )
        assert request not in self.body_consumed, f"{request} sent again without its body"
        assert request not in self.response_started, f"{request} sent while an answer to it is passed on"
        self._check_key_order(request)
        sent = self.sends.setdefault(request, [])
        assert len(sent) < limits.max_attempts
        out = sum((request, i) not in self.results for i in range(len(sent)))
        assert out < (2 if limits.hedging else 1), f"{request}: {out} attempts out already"
        if may_have_run and request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError(f"{request} is unsafe, may have run and is sent again")
        if may_have_run and request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            assert self.now - may_have_run[0][1] <= request_class.deduplication_window_ns, (
                f"{request} repeated after its window"
            )
            if request_class.deduplication_scope is DeduplicationScope.CELL:
                assert all(
                    (endpoint.zone, endpoint.cell) == (upstream.zone, upstream.cell)
                    for endpoint, _ in may_have_run
                )
        sent.append((upstream, self.now))


ActionType = TypeVar("ActionType")


def of(kind: type[ActionType], actions: Iterable[Action]) -> list[ActionType]:
    """Return the actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]
