"""The plan of a rehearsal: all requests, faults and discovery notifications with their times, generated from
a scenario and its seed. Performs no I/O.

Nothing that happens during a run changes the plan: two runs with one seed offer the same requests at the same
due times, and the work of a request depends only on its id. Times are ns after the start of the day.
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
SHARE_BURST_S = 1.0  # in a burst, a tenant's share allows the quota of this many seconds
REPLACEMENT_DELAY_S = 0.5  # in a deploy, time from the end of a box to the start of its replacement
BURST_INTERVAL_S = 2.0  # a bursty load changes its rate at this interval
# How widely the cost hints of each kind vary around the true work (standard deviation divided by mean).
HINT_CV = {"none": 0.0, "good": 0.15, "rough": 0.6}


class ScheduledRequest(NamedTuple):
    """A request as its client will send it: the first try and the retry behaviour."""

    number: int
    due_ns: int
    id: str
    class_name: str
    tenant: str
    room: int
    work_ns: int
    hint_us: int  # the cost hint sent with the request, in us; 0 for no hint
    over_share: bool  # whether the request exceeds its tenant's share
    object_key: str
    try_timeout_ns: int  # the client abandons a try after this time
    max_tries: int
    backoff_ns: int  # time from the end of a try to the start of the next try
    honours_retry_after: bool  # whether the client waits for a Retry-After that is longer than the backoff
    abandon_after_ns: int  # the client abandons the request this long after the due time; 0: never

    def try_id(self, number: int) -> str:
        """Returns the X-Request-Id of a try: the id of the request, with a suffix for retries."""
        return self.id if number == 0 else f"{self.id}-{number}"


def request_id_of(try_id: str) -> str:
    """Returns the id of the request that a try belongs to."""
    return try_id.partition("-")[0]


@dataclass(frozen=True, slots=True)
class Place:
    """An address at which successive instances of a box run."""

    number: int
    room: int
    spec: BoxSpec

    def instance_id(self, instance: int) -> str:
        """Returns the id of the instance with this number."""
        return f"box-{self.number:03d}-{instance}"


class Step(NamedTuple):
    """An action on a place's box: die, start (a new cold instance), drain, stop, freeze, share or vanish."""

    at_ns: int
    action: str
    place: int
    # For freeze, its length in ns; for share, the part of the machine that another program uses.
    value: float = 0.0


class Notification(NamedTuple):
    """A change of a box's state, which discovery sends to one balancer at the time `at_ns`."""

    at_ns: int
    balancer: int
    place: int
    instance: int
    state: str  # Ready, Terminating or Gone


class Command(NamedTuple):
    """A command: a signal to a balancer (kill, restart or hup), or the start (silent) or end (heard) of an
    outage of discovery."""

    at_ns: int
    action: str
    balancer: int = -1  # the balancer's number; -1 if the command is for discovery
    back_ns: int = 0  # time from the end of the balancer's process to its restart


class SuspensionPeriod(NamedTuple):
    """A period during which a tenant is suspended in the directories."""

    at_ns: int
    until_ns: int
    tenant: str


class Outage(NamedTuple):
    """A period during which directories fail."""

    at_ns: int
    until_ns: int
    how: str
    servers: str  # which directories fail: first or all
    delay_s: float


class FaultMark(NamedTuple):
    """The period and the label that charts show for a fault."""

    at_ns: int
    until_ns: int
    text: str


@dataclass(frozen=True, slots=True)
class Plan:
    """All that happens in a rehearsal."""

    scenario: s.Scenario
    requests: Sequence[ScheduledRequest]
    places: Sequence[Place]
    steps: Sequence[Step]
    notifications: Sequence[Notification]
    commands: Sequence[Command]
    marks: Sequence[FaultMark]
    capacity: float  # capacity of the whole fleet when warm, in seconds of work per second
    suspension_periods: Sequence[SuspensionPeriod] = ()
    outages: Sequence[Outage] = ()

    @property
    def length_ns(self) -> int:
        """The length of the day."""
        return _ns(self.scenario.length_s)

    def work_by_id(self) -> dict[str, int]:
        """Returns the work of each request in ns, by request id."""
        return {request.id: request.work_ns for request in self.requests}


def make_plan(scenario: s.Scenario) -> Plan:
    """Generates the plan of a scenario. The same scenario and seed always give the same plan."""
    places = _places(scenario)
    capacity = sum(p.spec.cores * p.spec.speed for p in places)
    timeline = _FaultTimeline(scenario, places)
    for index, fault in sorted(enumerate(scenario.faults), key=lambda item: item[1].at_s):
        timeline.add(index, fault)
    return Plan(
        scenario,
        list(_requests(scenario, capacity)),
        places,
        sorted(timeline.steps),
        sorted(timeline.notifications),
        sorted(timeline.commands),
        sorted(timeline.marks),
        capacity,
        sorted(timeline.suspension_periods),
        sorted(timeline.outages),
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
        "bursty": load.swing * (2 * unit(scenario.seed, "burst", int(now_s / BURST_INTERVAL_S)) - 1),
    }
    return load.rate * (1 + swing[load.shape])


def _due_times(scenario: s.Scenario) -> Iterator[int]:
    """Yields the arrivals of a Poisson process at the highest rate, thinned to the rate at each time."""
    rng = random.Random(f"{scenario.seed} arrivals")
    peak_rate = scenario.load.rate * (1 + (0 if scenario.load.shape == "steady" else scenario.load.swing))
    now_s = rng.expovariate(peak_rate)
    while now_s < scenario.length_s:
        if rng.random() * peak_rate < _rate_at(scenario, now_s):
            yield _ns(now_s)
        now_s += rng.expovariate(peak_rate)


def _pick(weights: Sequence[float], position: float) -> int:
    """Returns an index chosen by weight: the range from 0 to 1 is divided among the indices in proportion to
    their weights, and `position` lies in the part of the returned index."""
    position *= sum(weights)
    for i, weight in enumerate(weights):
        position -= weight
        if position < 0:
            return i
    return len(weights) - 1


class _ShareBucket:
    """A token bucket of work, which decides whether a tenant's requests are within its share."""

    def __init__(self, work_per_s: float) -> None:
        self.per_s = work_per_s
        self.left = work_per_s * SHARE_BURST_S
        self.at_ns = 0

    def charge(self, work_ns: int, now: int) -> bool:
        """Charges the work of a request. Returns whether the request is within the share."""
        self.left = min(self.per_s * SHARE_BURST_S, self.left + self.per_s * (now - self.at_ns) / SECOND)
        self.at_ns = now
        if self.left <= 0:
            return False
        self.left -= work_ns / SECOND
        return True


def _requests(scenario: s.Scenario, capacity: float) -> Iterator[ScheduledRequest]:
    seed, load, clients = scenario.seed, scenario.load, scenario.clients
    classes, tenants = scenario.classes, scenario.tenants
    shares = sum(t.share for t in tenants)
    buckets = [_ShareBucket(load.quota_part * capacity * t.share / shares) for t in tenants]
    heavy = [(_ns(f.at_s), _ns(f.at_s + f.len_s), f) for f in scenario.faults if isinstance(f, s.Heavy)]
    rooms = len(scenario.fleet.rooms)
    room_weights = [1 + load.room_skew * (1 - 2 * i / max(1, rooms - 1)) for i in range(rooms)]
    for number, due_ns in enumerate(_due_times(scenario)):
        request_id = keyed_digest(seed, "ask", number)
        cls = classes[_pick([c.share for c in classes], unit(seed, request_id, "class"))]
        tenant = _pick([t.share * t.usage for t in tenants], unit(seed, request_id, "tenant"))
        work = lognormal(cls.work_ms * MS, cls.cv, seed, request_id, "work")
        for since, until, fault in heavy:
            if (
                since <= due_ns < until
                and cls.name == fault.name
                and unit(seed, request_id, "heavy") < fault.part
            ):
                work *= fault.times
        hint = 0.0 if load.hints == "none" else lognormal(work, HINT_CV[load.hints], seed, request_id, "hint")
        abandons = unit(seed, request_id, "walk") < clients.walk_off
        yield ScheduledRequest(
            number,
            due_ns,
            request_id,
            cls.name,
            tenants[tenant].name,
            _pick(room_weights, unit(seed, request_id, "room")),
            max(1, round(work)),
            round(hint / 1000),
            not buckets[tenant].charge(round(work), due_ns),
            f"o{unit(seed, request_id, 'key'):.12f}"[3:],
            round(cls.deadline_ms * MS * uniform(*clients.try_part, seed, request_id, "try")),
            1 + clients.retries,
            round(uniform(*clients.backoff_ms, seed, request_id, "backoff") * MS),
            unit(seed, request_id, "heeds") < clients.honour,
            round(uniform(0.05, 0.5, seed, request_id, "leaves") * cls.deadline_ms * MS) if abandons else 0,
        )


# ---- the faults ------------------------------------------------------------------------------------------


class _FaultTimeline:
    """Expands the faults of a scenario into timed events: actions on places, commands, outages, suspensions,
    and the notifications that each balancer receives."""

    def __init__(self, scenario: s.Scenario, places: Sequence[Place]) -> None:
        self.scenario = scenario
        self.places = places
        self.instances = [0] * len(places)  # the number of the present instance of each place
        # For each place, the time from which a fault may end its box. Before that time the place has no box,
        # or another fault ends the box.
        self.available_ns = [0] * len(places)
        self.steps: list[Step] = []
        self.notifications: list[Notification] = []
        self.commands: list[Command] = []
        self.marks: list[FaultMark] = []
        self.suspension_periods: list[SuspensionPeriod] = []
        self.outages: list[Outage] = []

    def add(self, index: int, fault: s.Fault) -> None:
        """Adds the events of a fault. The names of its random values contain its index in the scenario."""
        at = _ns(fault.at_s)
        name = ("fault", index)
        text, until = str(fault.kind), at + _ns(getattr(fault, "len_s", 0.0))
        match fault:
            case s.Die():
                for place in self._choose_places(fault.part, at, name):
                    self.steps.append(Step(at, "die", place))
                    self._notify(at, place, "Gone")
                    self.available_ns[place] = NEVER
                    if fault.back_after_s is not None:
                        back = at + self._duration_ns(fault.back_after_s, *name, place)
                        self._start(back, place)
                        until = max(until, back)
            case s.Deploy():
                until = self._deploy(fault, at, name)
            case s.Freeze():
                for place in self._choose_places(fault.part, at, name, include_unavailable=True):
                    self._repeat(
                        at,
                        until,
                        fault.every_s,
                        (*name, place),
                        lambda t, n, p=place, f=fault: self.steps.append(
                            Step(t, "freeze", p, self._millis_ns(f.pause_ms, *name, p, n))
                        ),
                    )
            case s.Slow():
                for place in self._choose_places(fault.part, at, name, include_unavailable=True):
                    taken = uniform(*fault.taken, self.scenario.seed, *name, place, "taken")
                    self._repeat(
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
                for place in self._choose_places(fault.part, at, name):
                    self.steps.append(Step(at, "vanish", place))
                    self.available_ns[place] = NEVER
                    self._notify(at, place, "Gone", self.scenario.discovery.silent_notice_s)
            case s.Drain():
                for place in self._choose_places(fault.part, at, name):
                    until = max(until, self._drain(at, place, fault.drain_s, name))
            case s.Silent():
                self.commands += [Command(at, "silent"), Command(until, "heard")]
            case s.Signal():
                count = min(fault.balancers, self.scenario.fleet.balancers)
                for number in self._rng(name).sample(range(self.scenario.fleet.balancers), count):
                    self.commands.append(Command(at, fault.kind, number, _ns(fault.back_after_s)))
            case s.Heavy():
                text = f"heavy {fault.name}"
            case s.Suspend():
                self._suspend(fault, at, name)
            case s.DirectoryFails():
                text = f"directory {fault.how}"
                self.outages.append(Outage(at, until, fault.how, fault.servers, fault.delay_s))
        self.marks.append(FaultMark(at, max(until, at), text))

    def _suspend(self, fault: s.Suspend, at: int, name: tuple[object, ...]) -> None:
        tenants = [t.name for t in self.scenario.tenants]
        count = min(fault.count, len(tenants))
        for tenant in [fault.tenant] if fault.tenant else self._rng(name).sample(tenants, count):
            begins = at + self._duration_ns((0.0, fault.len_s), *name, tenant)
            lasts = NEVER if fault.for_s is None else self._duration_ns(fault.for_s, *name, tenant, "for")
            self.suspension_periods.append(SuspensionPeriod(begins, min(NEVER, begins + lasts), tenant))

    def _rng(self, name: tuple[object, ...]) -> random.Random:
        return random.Random(f"{self.scenario.seed} {name}")

    def _duration_ns(self, pair: tuple[float, float], *name: object) -> int:
        return _ns(uniform(*pair, self.scenario.seed, *name))

    def _millis_ns(self, pair: tuple[float, float], *name: object) -> int:
        return round(uniform(*pair, self.scenario.seed, *name, "ms") * MS)

    def _choose_places(
        self, part: float, at: int, name: tuple[object, ...], include_unavailable: bool = False
    ) -> list[int]:
        """Chooses the share `part` of all places at random, or fewer places if too few are available. With
        `include_unavailable`, places that have no box, or whose box another fault ends, are eligible too."""
        free = [p.number for p in self.places if include_unavailable or self.available_ns[p.number] <= at]
        return sorted(self._rng(name).sample(free, min(len(free), round(part * len(self.places)))))

    def _repeat(
        self, at: int, until: int, every_s: tuple[float, float], name: tuple[object, ...], action_at: Any
    ) -> None:
        """Calls `action_at(time, turn)` for turns 0, 1, ... at random intervals, for times before `until`."""
        turn = 0
        at += self._duration_ns((0.0, every_s[1]), *name, "first")
        while at < until:
            action_at(at, turn)
            turn += 1
            at += max(MS, self._duration_ns(every_s, *name, "turn", turn))

    def _notify(self, at: int, place: int, state: str, delay_s: tuple[float, float] | None = None) -> None:
        """Adds a notification to each balancer, with a delay from `delay_s`, by default from `notice_s`."""
        instance = self.instances[place]
        delay_s = delay_s or self.scenario.discovery.notice_s
        # Half of the delay is discovery's own; the delivery to each balancer adds the other half.
        noticed_ns = at + self._duration_ns(delay_s, "notice", place, instance, state) // 2
        for balancer in range(self.scenario.fleet.balancers):
            delivery_ns = self._duration_ns(delay_s, "way", balancer, place, instance, state) // 2
            self.notifications.append(
                Notification(noticed_ns + delivery_ns, balancer, place, instance, state)
            )

    def _start(self, at: int, place: int) -> None:
        """Adds the start of the next instance at a place."""
        self.instances[place] += 1
        self.steps.append(Step(at, "start", place))
        self._notify(at, place, "Ready")
        self.available_ns[place] = at

    def _drain(self, at: int, place: int, drain_s: tuple[float, float], name: tuple[object, ...]) -> int:
        """Adds the drain and the stop of the box at a place. Returns the time of the stop."""
        end = at + self._duration_ns(drain_s, *name, place, "drain")
        self.steps += [Step(at, "drain", place), Step(end, "stop", place)]
        self._notify(at, place, "Terminating")
        self._notify(end, place, "Gone")
        self.available_ns[place] = NEVER
        return end

    def _deploy(self, fault: s.Deploy, at: int, name: tuple[object, ...]) -> int:
        """Adds a rolling deploy. Returns the time at which the last old box stops."""
        places = self._choose_places(fault.part, at, name)
        self._rng((*name, "order")).shuffle(places)
        size = max(1, round(fault.batch * len(self.places)))
        batches = [places[i : i + size] for i in range(0, len(places), size)]
        gap = _ns(fault.len_s) // max(1, len(batches))
        until = at
        for i, batch in enumerate(batches):
            for place in batch:
                end = self._drain(at + i * gap, place, fault.drain_s, name)
                self._start(end + _ns(REPLACEMENT_DELAY_S), place)
                until = max(until, end)
        return until


# ---- the settings of a balancer --------------------------------------------------------------------------


def balancer_settings(plan: Plan, balancer: int) -> dict[str, Any]:
    """Returns the settings object of one balancer, in the form of DEPLOY and WIRE, section 5."""
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
