"""A rehearsal drawn ahead: scenario and seed in; every request, fault and piece of news out, with its time.
Pure.

Nothing that happens during a run changes what is asked or breaks: two runs of one seed offer the same
requests at the same due times, and what a request costs hangs on its id alone. Times are ns after the start
of the day.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from lanelift.rehearsal import scenario as s
from lanelift.standins.box import SECOND, BoxSpec
from lanelift.standins.seeded_random import keyed_digest, lognormal, uniform, unit

MS = 1_000_000
NEVER = 1 << 62
BURST_S = 1.0  # a tenant may ask so many seconds of its quota at once before it counts as over its share
SUCCESSOR_S = 0.5  # between the end of a box in a deploy and the start of the one that takes its place
BURST_TURN_S = 2.0  # a bursty day has a new rate after so long
HINT_CV = {"none": 0.0, "good": 0.15, "rough": 0.6}


class Ask(NamedTuple):
    """One request as its client has it in mind: the first try and how the client goes on."""

    number: int
    due_ns: int
    id: str
    class_name: str
    tenant: str
    room: int
    work_ns: int
    hint_us: int  # 0: none given
    over: bool  # beyond its tenant's share
    key: str
    try_ns: int  # a try is given up after this
    tries: int
    backoff_ns: int  # between the end of a try and the next
    heeds: bool  # a Retry-After that is longer than its own wait
    walk_off_ns: int  # its client leaves so long after the due time; 0: it stays

    def try_id(self, number: int) -> str:
        """The X-Request-Id of each try: new with a client's retry, and still telling whose it is."""
        return self.id if number == 0 else f"{self.id}-{number}"


def ask_of(try_id: str) -> str:
    return try_id.partition("-")[0]


@dataclass(frozen=True, slots=True)
class Place:
    """An address at which one box after the other lives."""

    number: int
    room: int
    spec: BoxSpec

    def life(self, number: int) -> str:
        return f"box-{self.number:03d}-{number}"


class Step(NamedTuple):
    """Something done to a place: die, start (cold, its next life), drain, stop, freeze, share, vanish."""

    at_ns: int
    what: str
    place: int
    figure: float = 0.0  # freeze: ns; share: the part taken


class News(NamedTuple):
    """What discovery has learned and tells one balancer at that time."""

    at_ns: int
    balancer: int
    place: int
    life: int
    state: str  # Ready, Terminating, Gone


class Order(NamedTuple):
    """To a balancer or to discovery: kill, restart, hup; silent, heard."""

    at_ns: int
    what: str
    balancer: int = -1
    back_ns: int = 0


class Standing(NamedTuple):
    """A tenant is suspended in the directories, until it is in good standing again."""

    at_ns: int
    until_ns: int
    tenant: str


class Outage(NamedTuple):
    """Directories fail."""

    at_ns: int
    until_ns: int
    how: str
    servers: str  # first or all
    delay_s: float


class Mark(NamedTuple):
    """A fault as a chart names it."""

    at_ns: int
    until_ns: int
    text: str


@dataclass(frozen=True, slots=True)
class Plan:
    scenario: s.Scenario
    asks: Sequence[Ask]
    places: Sequence[Place]
    steps: Sequence[Step]
    news: Sequence[News]
    orders: Sequence[Order]
    marks: Sequence[Mark]
    capacity: float  # seconds of work a second of the whole fleet, warm
    standings: Sequence[Standing] = ()
    outages: Sequence[Outage] = ()

    @property
    def length_ns(self) -> int:
        return _ns(self.scenario.length_s)

    def works(self) -> dict[str, int]:
        return {ask.id: ask.work_ns for ask in self.asks}


def make_plan(scenario: s.Scenario) -> Plan:
    places = _places(scenario)
    capacity = sum(p.spec.cores * p.spec.speed for p in places)
    story = _Story(scenario, places)
    for index, fault in sorted(enumerate(scenario.faults), key=lambda item: item[1].at_s):
        story.tell(index, fault)
    return Plan(
        scenario,
        list(_asks(scenario, capacity)),
        places,
        sorted(story.steps),
        sorted(story.news),
        sorted(story.orders),
        sorted(story.marks),
        capacity,
        sorted(story.standings),
        sorted(story.outages),
    )


def _ns(seconds: float) -> int:
    return round(seconds * SECOND)


def _places(scenario: s.Scenario) -> list[Place]:
    box, rules = scenario.box, scenario.rules
    spec = BoxSpec(
        box.cores,
        box.slots,
        box.queue,
        box.speed,
        box.thrash,
        box.thrash_at,
        box.cold_from,
        _ns(box.cold_s),
        box.warm_by == "work",
        rules.fall_multiple,
        round(rules.fall_ms * MS),
        box.drops_queued,
    )
    return [
        Place(
            i,
            i % len(scenario.fleet.rooms),
            replace(spec, speed=lognormal(box.speed, box.speed_cv, scenario.seed, "speed", i)),
        )
        for i in range(scenario.fleet.boxes)
    ]


# ---- the load --------------------------------------------------------------------------------------------


def _rate_at(scenario: s.Scenario, now_s: float) -> float:
    load, length_s = scenario.load, scenario.length_s
    swing = {
        "steady": 0.0,
        "ramp": load.swing * (2 * now_s / length_s - 1),
        "wave": load.swing * math.sin(4 * math.pi * now_s / length_s),
        "bursty": load.swing * (2 * unit(scenario.seed, "burst", int(now_s / BURST_TURN_S)) - 1),
    }
    return load.rate * (1 + swing[load.shape])


def _due_times(scenario: s.Scenario) -> Iterator[int]:
    """A Poisson stream at the top rate, thinned to the rate of the moment."""
    rng = random.Random(f"{scenario.seed} arrivals")
    top = scenario.load.rate * (1 + (0 if scenario.load.shape == "steady" else scenario.load.swing))
    now_s = rng.expovariate(top)
    while now_s < scenario.length_s:
        if rng.random() * top < _rate_at(scenario, now_s):
            yield _ns(now_s)
        now_s += rng.expovariate(top)


def _pick(weights: Sequence[float], at: float) -> int:
    at *= sum(weights)
    for i, weight in enumerate(weights):
        at -= weight
        if at < 0:
            return i
    return len(weights) - 1


class _Quota:
    """A tenant's share as a bucket of work."""

    def __init__(self, work_per_s: float) -> None:
        self.per_s = work_per_s
        self.left = work_per_s * BURST_S
        self.at_ns = 0

    def spend(self, work_ns: int, now: int) -> bool:
        """Is this one within the share?"""
        self.left = min(self.per_s * BURST_S, self.left + self.per_s * (now - self.at_ns) / SECOND)
        self.at_ns = now
        if self.left <= 0:
            return False
        self.left -= work_ns / SECOND
        return True


def _asks(scenario: s.Scenario, capacity: float) -> Iterator[Ask]:
    seed, load, clients = scenario.seed, scenario.load, scenario.clients
    classes, tenants = scenario.classes, scenario.tenants
    shares = sum(t.share for t in tenants)
    quotas = [_Quota(load.quota_part * capacity * t.share / shares) for t in tenants]
    heavy = [(_ns(f.at_s), _ns(f.at_s + f.len_s), f) for f in scenario.faults if isinstance(f, s.Heavy)]
    rooms = len(scenario.fleet.rooms)
    room_weights = [1 + load.room_skew * (1 - 2 * i / max(1, rooms - 1)) for i in range(rooms)]
    for number, due_ns in enumerate(_due_times(scenario)):
        name = keyed_digest(seed, "ask", number)
        cls = classes[_pick([c.share for c in classes], unit(seed, name, "class"))]
        who = _pick([t.share * t.usage for t in tenants], unit(seed, name, "tenant"))
        work = lognormal(cls.work_ms * MS, cls.cv, seed, name, "work")
        for since, until, fault in heavy:
            if since <= due_ns < until and cls.name == fault.name and unit(seed, name, "heavy") < fault.part:
                work *= fault.times
        hint = 0.0 if load.hints == "none" else lognormal(work, HINT_CV[load.hints], seed, name, "hint")
        leaves = unit(seed, name, "walk") < clients.walk_off
        yield Ask(
            number,
            due_ns,
            name,
            cls.name,
            tenants[who].name,
            _pick(room_weights, unit(seed, name, "room")),
            max(1, round(work)),
            round(hint / 1000),
            not quotas[who].spend(round(work), due_ns),
            f"o{unit(seed, name, 'key'):.12f}"[3:],
            round(cls.deadline_ms * MS * uniform(*clients.try_part, seed, name, "try")),
            1 + clients.retries,
            round(uniform(*clients.backoff_ms, seed, name, "backoff") * MS),
            unit(seed, name, "heeds") < clients.honour,
            round(uniform(0.05, 0.5, seed, name, "leaves") * cls.deadline_ms * MS) if leaves else 0,
        )


# ---- what goes wrong -------------------------------------------------------------------------------------


class _Story:
    """Unfolds faults into steps, and the news of them into what each balancer hears when."""

    def __init__(self, scenario: s.Scenario, places: Sequence[Place]) -> None:
        self.scenario = scenario
        self.places = places
        self.lives = [0] * len(places)  # the number of the life that a place is in
        self.free_ns = [0] * len(places)  # no box lives there, or one that is as good as gone, until then
        self.steps: list[Step] = []
        self.news: list[News] = []
        self.orders: list[Order] = []
        self.marks: list[Mark] = []
        self.standings: list[Standing] = []
        self.outages: list[Outage] = []

    def tell(self, index: int, fault: s.Fault) -> None:
        at = _ns(fault.at_s)
        name = ("fault", index)
        text, until = str(fault.kind), at + _ns(getattr(fault, "len_s", 0.0))
        match fault:
            case s.Die():
                for place in self._some(fault.part, at, name):
                    self.steps.append(Step(at, "die", place))
                    self._news(at, place, "Gone")
                    self.free_ns[place] = NEVER
                    if fault.back_after_s is not None:
                        back = at + self._between(fault.back_after_s, *name, place)
                        self._start(back, place)
                        until = max(until, back)
            case s.Deploy():
                until = self._deploy(fault, at, name)
            case s.Freeze():
                for place in self._some(fault.part, at, name, whole=True):
                    self._again(
                        at,
                        until,
                        fault.every_s,
                        (*name, place),
                        lambda t, n, p=place, f=fault: self.steps.append(
                            Step(t, "freeze", p, self._ms(f.pause_ms, *name, p, n))
                        ),
                    )
            case s.Slow():
                for place in self._some(fault.part, at, name, whole=True):
                    taken = uniform(*fault.taken, self.scenario.seed, *name, place, "taken")
                    self._again(
                        at,
                        until,
                        fault.turn_s,
                        (*name, place),
                        lambda t, n, p=place, x=taken: self.steps.append(
                            Step(t, "share", p, 0.0 if n % 2 else x)
                        ),
                    )
                    self.steps.append(Step(until, "share", place, 0.0))
            case s.Vanish():
                for place in self._some(fault.part, at, name):
                    self.steps.append(Step(at, "vanish", place))
                    self.free_ns[place] = NEVER
                    self._news(at, place, "Gone", self.scenario.discovery.silent_notice_s)
            case s.Drain():
                for place in self._some(fault.part, at, name):
                    until = max(until, self._drain(at, place, fault.drain_s, name))
            case s.Silent():
                self.orders += [Order(at, "silent"), Order(until, "heard")]
            case s.Signal():
                count = min(fault.balancers, self.scenario.fleet.balancers)
                for number in self._rng(name).sample(range(self.scenario.fleet.balancers), count):
                    self.orders.append(Order(at, fault.kind, number, _ns(fault.back_after_s)))
            case s.Heavy():
                text = f"heavy {fault.name}"
            case s.Suspend():
                self._suspend(fault, at, name)
            case s.DirectoryFails():
                text = f"directory {fault.how}"
                self.outages.append(Outage(at, until, fault.how, fault.servers, fault.delay_s))
        self.marks.append(Mark(at, max(until, at), text))

    def _suspend(self, fault: s.Suspend, at: int, name: tuple[object, ...]) -> None:
        names = [t.name for t in self.scenario.tenants]
        count = min(fault.count, len(names))
        for tenant in [fault.tenant] if fault.tenant else self._rng(name).sample(names, count):
            begins = at + self._between((0.0, fault.len_s), *name, tenant)
            lasts = NEVER if fault.for_s is None else self._between(fault.for_s, *name, tenant, "for")
            self.standings.append(Standing(begins, min(NEVER, begins + lasts), tenant))

    def _rng(self, name: tuple[object, ...]) -> random.Random:
        return random.Random(f"{self.scenario.seed} {name}")

    def _between(self, pair: tuple[float, float], *name: object) -> int:
        return _ns(uniform(*pair, self.scenario.seed, *name))

    def _ms(self, pair: tuple[float, float], *name: object) -> int:
        return round(uniform(*pair, self.scenario.seed, *name, "ms") * MS)

    def _some(self, part: float, at: int, name: tuple[object, ...], whole: bool = False) -> list[int]:
        """So large a part of the places, drawn; `whole`: also those that another fault has in hand."""
        free = [p.number for p in self.places if whole or self.free_ns[p.number] <= at]
        return sorted(self._rng(name).sample(free, min(len(free), round(part * len(self.places)))))

    def _again(
        self, at: int, until: int, every_s: tuple[float, float], name: tuple[object, ...], do: Any
    ) -> None:
        turn = 0
        at += self._between((0.0, every_s[1]), *name, "first")
        while at < until:
            do(at, turn)
            turn += 1
            at += max(MS, self._between(every_s, *name, "turn", turn))

    def _news(self, at: int, place: int, state: str, late_s: tuple[float, float] | None = None) -> None:
        life = self.lives[place]
        late_s = late_s or self.scenario.discovery.notice_s
        # What discovery itself notices late; then the way to each balancer adds to it.
        noticed = at + self._between(late_s, "notice", place, life, state) // 2
        for balancer in range(self.scenario.fleet.balancers):
            way = self._between(late_s, "way", balancer, place, life, state) // 2
            self.news.append(News(noticed + way, balancer, place, life, state))

    def _start(self, at: int, place: int) -> None:
        self.lives[place] += 1
        self.steps.append(Step(at, "start", place))
        self._news(at, place, "Ready")
        self.free_ns[place] = at

    def _drain(self, at: int, place: int, drain_s: tuple[float, float], name: tuple[object, ...]) -> int:
        end = at + self._between(drain_s, *name, place, "drain")
        self.steps += [Step(at, "drain", place), Step(end, "stop", place)]
        self._news(at, place, "Terminating")
        self._news(end, place, "Gone")
        self.free_ns[place] = NEVER
        return end

    def _deploy(self, fault: s.Deploy, at: int, name: tuple[object, ...]) -> int:
        places = self._some(fault.part, at, name)
        self._rng((*name, "order")).shuffle(places)
        size = max(1, round(fault.batch * len(self.places)))
        batches = [places[i : i + size] for i in range(0, len(places), size)]
        gap = _ns(fault.len_s) // max(1, len(batches))
        until = at
        for i, batch in enumerate(batches):
            for place in batch:
                end = self._drain(at + i * gap, place, fault.drain_s, name)
                self._start(end + _ns(SUCCESSOR_S), place)
                until = max(until, end)
        return until


# ---- what a balancer is told -----------------------------------------------------------------------------


def settings(plan: Plan, balancer: int) -> dict[str, Any]:
    """The settings object of this day for one balancer, in the form of DEPLOY and WIRE, section 5."""
    scenario, repeat = (
        plan.scenario,
        {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"},
    )
    rooms = scenario.fleet.rooms
    shares = sum(t.share for t in scenario.tenants)
    work_s = sum(c.share * c.work_ms / 1000 for c in scenario.classes)
    mean_s = work_s / sum(c.share for c in scenario.classes)
    quota = scenario.load.quota_part * plan.capacity / mean_s / shares
    return {
        "family": "proxy",
        "me": balancer,
        "replicas_of_me": scenario.fleet.balancers,
        "locality": rooms[balancer % len(rooms)],
        "zones": list(rooms),
        "counted_by": scenario.load.worth_by,
        "registry_mode": scenario.discovery.mode,
        "over_share_worth": scenario.load.over_share_worth,
        "clients": {"marks_retry": scenario.clients.marks_retry},
        "profiles": [
            {
                "name": c.name,
                "repeat": repeat[c.effect],
                "aim_ns": round(c.aim_ms * MS),
                "hard_limit_ns": round(c.deadline_ms * MS),
                "worth": c.worth,
                "late_worth": 0.0,
                "stream": False,
            }
            for c in scenario.classes
        ],
        "realms": [
            {"name": t.name, "share": t.share / shares, "quota_per_s": round(quota * t.share, 3)}
            for t in scenario.tenants
        ],
        "limits": {
            "send_cap": scenario.limits.max_attempts,
            "second_copies": False,
            "may_cancel": True,
            "probes": True,
            "peers": False,
            "retry_after": scenario.limits.retry_after,
            "max_retry_after_ns": round(scenario.limits.max_retry_after_ms * MS),
            "connect_timeout_ns": round(scenario.limits.connect_timeout_ms * MS),
            "conn_idle_ns": _ns(scenario.box.idle_s),
            "max_open": 20_000,
        },
        "rules": {
            "stop_sending_within_ns": round(scenario.rules.drain_grace_ms * MS),
            "ask_within_ns": 10 * SECOND,
            "cold_from": scenario.box.cold_from,
            "cold_ns": _ns(scenario.box.cold_s),
            "fall_multiple": scenario.rules.fall_multiple,
            "overload_for_ns": round(scenario.rules.fall_ms * MS),
        },
        "prices": {"cross_zone": 0.005, "waste": 0.02, "probe": 0.002, "peer": 0.01, "late_fail": 0.08},
        "load_report": {"columns": ["inflight", "queue"], "how": "probe"},
    }
