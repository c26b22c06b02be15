"""Helpers of the tests: small settings with invented names, and a checker of the rules.

The checker keeps books of its own from the events and actions alone; it shares nothing with the module.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from lanelift import interface as api
from lanelift.decide import Balancer

MS = 1_000_000
SECOND = 1000 * MS
START = 5 * SECOND

READ = api.RequestClass("read", api.Effect.SAFE, aim_ns=300 * MS)
PAY = api.RequestClass("pay", api.Effect.UNSAFE, aim_ns=300 * MS)
CELL = api.RequestClass("cell", api.Effect.KEYED, api.Scope.CELL, window_ns=400 * MS, aim_ns=300 * MS)
ANY = api.RequestClass("any", api.Effect.KEYED, api.Scope.ALL, window_ns=400 * MS, aim_ns=300 * MS)
ROW = api.RequestClass(
    "row", api.Effect.KEYED, api.Scope.CELL, window_ns=400 * MS, aim_ns=300 * MS, in_order=True
)
WEST = api.RequestClass("west", api.Effect.SAFE, aim_ns=300 * MS, zones=frozenset({"west"}))
BIG = api.RequestClass("big", api.Effect.UNSAFE, aim_ns=300 * MS, kinds=frozenset({"big"}))
MAY_STILL_RUN = (api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED)


def settings(**changes: object) -> api.Settings:
    base: dict[str, object] = {
        "classes": {c.name: c for c in (READ, PAY, CELL, ANY, ROW, WEST, BIG)},
        "tenants": {"ash": api.Tenant("ash", 0.5), "birch": api.Tenant("birch", 0.5)},
        "limits": api.Limits(max_attempts=3, second_copies=True, may_cancel=True, retry_after=True),
        "rules": api.Rules(cold_ns=4 * SECOND, turn_gap_ns=100 * MS),
        "zone": "east",
    }
    return api.Settings(**{**base, **changes})  # type: ignore[arg-type]


def upstreams(count: int, first: int = 1, started_ns: int = 0) -> list[api.Upstream]:
    return [api.Upstream(first + i, api.State.READY, "east", i // 3, 1.0, started_ns) for i in range(count)]


def places(count: int) -> list[api.Upstream]:
    """Upstreams in two zones and of two kinds, by turns."""
    return [
        u._replace(zone=("east", "west")[u.id % 2], kind=("big", "small")[u.id // 2 % 2])
        for u in upstreams(count)
    ]


def arrival(
    number: int | str,
    now: int,
    cls: api.RequestClass = READ,
    tenant: str = "ash",
    wait_ns: int = 500 * MS,
    retry: bool = False,
    key: str = "",
) -> api.Arrival:
    return api.Arrival(f"r{number}", cls.name, tenant, now + wait_ns, key=key, retry=retry)


def check_cold_budget(sends: list[int], started_ns: int, rules: api.Rules, warm_per_s: float) -> None:
    """Rule 4 over all proxies: in no window is a cold upstream sent more than it can stand. Slack of two."""
    for i, last in enumerate(sends):
        age = last - started_ns
        if age >= rules.cold_ns:
            continue
        part = rules.cold_from + (1 - rules.cold_from) * age / rules.cold_ns
        count = sum(last - rules.overload_for_ns < t <= last for t in sends[: i + 1])
        most = rules.fall_multiple * part * warm_per_s * rules.overload_for_ns / SECOND + 2
        assert count <= most, f"{count} sends to a cold upstream, {most:.1f} at most"


FOREVER = 1 << 62


class Desk:
    """Drives one balancer, keeps its timers, and checks the rules and the grammar of its actions."""

    def __init__(self, config: api.Settings | None = None, seed: int = 7, servers: int = 6) -> None:
        self.config = config or settings()
        self.now = START
        self.balancer = Balancer(self.config, seed, self.now)
        self.cls: dict[str, api.RequestClass] = {}
        self.deadline: dict[str, int] = {}
        self.answer: dict[str, str] = {}
        self.told_over: set[str] = set()
        self.coming: set[str] = set()  # requests whose body is still coming: sent, their time does not run
        self.spent: set[str] = set()
        self.begun: dict[str, int] = {}  # request -> the attempt whose answer is being passed on
        self.rows: dict[str, list[str]] = {}  # key -> requests in order, as taken
        self.rest: dict[str, int] = {}  # request -> time until which later ones of its key must wait
        self.sends: dict[str, list[tuple[api.Upstream, int]]] = {}
        self.results: dict[tuple[str, int], api.Result] = {}
        self.list: dict[int, api.Upstream] = {}
        self.timers: list[tuple[int, str]] = []
        self.log: list[api.Action] = []
        if servers:
            self.give(api.ListUpdate(api.ListKind.CACHED, upstreams(servers)))

    # -- time --

    def give(self, *events: api.Event) -> list[api.Action]:
        for e in events:
            self._event(e)
        actions = self.balancer.handle(self.now, events)
        for a in actions:
            self._action(a)
        self.log += actions
        return actions

    def advance(self, by_ns: int, step_ns: int = 5 * MS) -> list[api.Action]:
        """Let time pass in ticks, delivering timers that are due and time-outs at the deadline."""
        seen: list[api.Action] = []
        end = self.now + by_ns
        while self.now < end:
            self.now = min(end, self.now + step_ns)
            due = sorted(t for t in self.timers if t[0] <= self.now)
            self.timers = [t for t in self.timers if t[0] > self.now]
            events: list[api.Event] = [api.Wake(name) for _, name in due]
            for request, number in self.out():
                if self.deadline[request] <= self.now and request not in self.coming:
                    events.append(self.result(request, number, api.Result.TIMEOUT))
            if events:
                seen += self.give(*events)
            for request, deadline in self.deadline.items():
                if deadline + 20 * MS < self.now and request not in self.answer:
                    assert self.uploads(request), f"{request} had no final answer in its time"
        return seen

    def out(self) -> list[tuple[str, int]]:
        return [
            (r, i) for r, sent in self.sends.items() for i in range(len(sent)) if (r, i) not in self.results
        ]

    def uploads(self, request: str) -> bool:
        return request in self.coming and any(r == request for r, _ in self.out())

    def result(self, request: str, number: int, result: api.Result) -> api.Outcome:
        upstream, sent = self.sends[request][number]
        over = request in self.answer or request in self.told_over
        if request in self.begun:
            over = over or self.begun[request] == number
        else:
            over = over or result is api.Result.OK
        return api.Outcome(request, number, upstream.id, result, self.now - sent, over)

    def finish(self, request: str, result: api.Result = api.Result.OK, number: int = -1) -> list[api.Action]:
        number = number if number >= 0 else len(self.sends[request]) - 1
        return self.give(self.result(request, number, result))

    # -- books --

    def _event(self, e: api.Event) -> None:
        if isinstance(e, api.Arrival):
            self.cls[e.request] = self.config.classes[e.class_name]
            self.deadline[e.request] = e.deadline_ns
            if e.coming:
                self.coming.add(e.request)
            if self.cls[e.request].in_order and e.key:
                self.rows.setdefault(e.key, []).append(e.request)
        elif isinstance(e, api.Outcome) and e.request in self.cls:
            self.results[e.request, e.attempt] = e.result
            if e.result in MAY_STILL_RUN:
                self.rest[e.request] = self.now + self.config.rules.turn_gap_ns
            if e.result is api.Result.OK and e.complete and e.request not in self.answer:
                self.answer[e.request] = "served"
            elif self.begun.get(e.request) == e.attempt:
                self.answer.setdefault(e.request, "broken")
            if e.spent:
                self.spent.add(e.request)
            if e.complete:
                self.told_over.add(e.request)
        elif isinstance(e, api.BodyCame) and e.request in self.cls:
            self.coming.discard(e.request)
            self.deadline[e.request] = e.deadline_ns
        elif isinstance(e, api.AnswerBegun) and e.request in self.cls:
            self.begun.setdefault(e.request, e.attempt)
            self.deadline[e.request] = FOREVER
        elif isinstance(e, api.ClientGone):
            self.answer.setdefault(e.request, "gone")
            self.told_over.add(e.request)
        elif isinstance(e, api.ListUpdate):
            if e.kind in (api.ListKind.FULL, api.ListKind.CACHED):
                self.list = {i: u._replace(state=api.State.GONE) for i, u in self.list.items()}
            self.list |= {u.id: u for u in e.upstreams}

    def _risky(self, request: str) -> list[tuple[api.Upstream, int]]:
        return [
            s
            for i, s in enumerate(self.sends.get(request, []))
            if self.results.get((request, i)) not in api.NEVER_RAN
        ]

    def _action(self, a: api.Action) -> None:
        if isinstance(a, api.Send):
            self._send(a)
        elif isinstance(a, api.Refuse):
            cls, risky = self.cls[a.request], self._risky(a.request)
            harmless = (
                cls.effect is api.Effect.SAFE
                or not risky
                or (cls.effect is api.Effect.KEYED and cls.scope is api.Scope.ALL)
            )
            assert harmless, f"{a.request} refused though it may have run"
            self._final(a.request, "refused")
            assert 0 <= a.retry_after_ns <= self.config.limits.max_retry_after_ns
        elif isinstance(a, api.Fail):
            self._final(a.request, "failed")
        elif isinstance(a, api.Cancel):
            assert self.config.limits.may_cancel and a.attempt < len(self.sends[a.request])
        elif isinstance(a, api.Probe):
            assert self.config.limits.probes and a.upstream in self.list
        elif isinstance(a, api.Tell):
            assert self.config.limits.peers and len(a.data) <= 256
        elif isinstance(a, api.SetTimer):
            assert a.delay_ns > 0
            self.timers.append((self.now + a.delay_ns, a.name))

    def _turn(self, request: str) -> None:
        for row in self.rows.values():
            for earlier in row[: row.index(request)] if request in row else ():
                over = earlier in self.answer or earlier in self.told_over
                assert over, f"{request} sent before {earlier}, taken earlier, is over"
                assert earlier not in {r for r, _ in self.out()}, f"{request} sent while {earlier} is out"
                assert self.now >= self.rest.get(earlier, 0), f"{request} sent while its key rests"

    def _final(self, request: str, answer: str) -> None:
        assert request in self.cls, f"{request} was never taken"
        assert request not in self.begun, f"{request} answered while another answer is passed on"
        assert request not in self.answer, f"{request} answered twice: {self.answer.get(request)}, {answer}"
        late = self.now > self.deadline[request] + 20 * MS
        assert not late or request in self.coming, f"{request} answered late"
        self.answer[request] = answer

    def _send(self, a: api.Send) -> None:
        request, upstream = a.request, self.list[a.upstream]
        cls, limits, risky = self.cls[request], self.config.limits, self._risky(a.request)
        assert request not in self.answer and request not in self.told_over, f"{request} sent after its end"
        assert upstream.state is api.State.READY, f"{request} sent to a draining or gone upstream"
        assert not cls.zones or upstream.zone in cls.zones, f"{request} sent outside its zones"
        assert not cls.kinds or upstream.kind in cls.kinds, f"{request} sent to a kind it may not use"
        assert request not in self.spent, f"{request} sent again without its body"
        assert request not in self.begun, f"{request} sent while an answer to it is passed on"
        self._turn(request)
        sent = self.sends.setdefault(request, [])
        assert len(sent) < limits.max_attempts
        out = sum((request, i) not in self.results for i in range(len(sent)))
        assert out < (2 if limits.second_copies else 1), f"{request}: {out} attempts out already"
        if risky and cls.effect is api.Effect.UNSAFE:
            raise AssertionError(f"{request} is unsafe, may have run and is sent again")
        if risky and cls.effect is api.Effect.KEYED:
            assert self.now - risky[0][1] <= cls.window_ns, f"{request} repeated after its window"
            if cls.scope is api.Scope.CELL:
                assert all((u.zone, u.cell) == (upstream.zone, upstream.cell) for u, _ in risky)
        sent.append((upstream, self.now))


A = TypeVar("A")


def of(kind: type[A], actions: Iterable[api.Action]) -> list[A]:
    return [a for a in actions if isinstance(a, kind)]
