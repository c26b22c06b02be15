"""The verdict on a day, worked out from what was seen on the sockets alone. Pure: rows in, figures out.

The four rules are worded in the project's README and PROTOCOL; each limit of time is `GRACE_NS` longer than
stated, as there. A breach names its request. What the kit did itself (a balancer that it killed) is charged
to nobody.
"""

from __future__ import annotations

import itertools
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from lanelift.rehearsal.plan import Ask, Plan, ask_of
from lanelift.rehearsal.records import GRACE_NS, Life, Load, Ruling, Try, Used

SECOND, MS = 1_000_000_000, 1_000_000
WINDOW_S = 10  # the worst window is so long
WEIGHTS = {"whole": 0.6, "worst_window": 0.1, "worst_class": 0.2, "worst_tenant": 0.1}  # the brief, 'Score'
TOLD_LATE_NS = (
    6 * SECOND
)  # what discovery has to tell counts as told so long after, whether or not it arrived
BREACHES_SHOWN = 20  # of each rule; all are counted
# The kit is late, and the day void, when its loops or its sends pass these: a hundredth of an aim of 264 ms
# goes unnoticed in a figure that moves by a hundredth itself; a stall of a quarter of it makes late answers
# by itself.
LATE_P99_MS, STALL_MS = 5.0, 66.0
STOPS_WITHIN_S = (
    5.0  # a suspended tenant's requests; and one that is taken back is served again within as much
)

# What becomes of a request.
KINDS = ("served", "late", "refused", "denied", "failed", "lost", "left")
RULES = {
    1: "one final answer, in time",
    2: "no effect twice, one outstanding attempt",
    3: "drains are kept",
    4: "no cold box is pushed over",
    5: "a suspended tenant's requests stop",
}


class Breach(NamedTuple):
    rule: int  # 0: a crash
    request: str
    balancer: int
    at_s: float
    what: str


class Attempt(NamedTuple):
    """As `standins.upstream_emulator.Attempt`: one request as it reached a box."""

    id: str
    box: str
    first_ns: int
    last_ns: int
    closed_ns: int
    how: str
    ran: bool
    work_ns: int


class Told(NamedTuple):
    at_ns: int
    balancer: int
    box: str
    state: str


@dataclass(slots=True)
class Day:
    """All that was seen."""

    plan: Plan
    start_ns: int
    tries: Sequence[Try]
    attempts: Sequence[Attempt] = ()
    told: Sequence[Told] = ()
    lives: Sequence[Life] = ()
    used: Sequence[Used] = ()
    samples: Sequence[Load] = ()
    falls: Sequence[tuple[int, str, str]] = ()  # when, which box, the request that did it
    complaints: Sequence[str] = ()
    lateness: Mapping[str, Mapping[str, float]] = field(default_factory=dict)  # of each process of the kit
    due_late_ms: Mapping[str, float] = field(default_factory=dict)
    offered: str = ""  # a digest of the first tries that were sent, and when they were due
    short: int = 0
    kit_cpu_s: float = 0.0
    lost_workers: Sequence[str] = ()
    rulings: Sequence[Ruling] = ()


class Outcome(NamedTuple):
    """One request over all its tries. `kind`: served, late, refused, denied, failed, lost or left."""

    ask: Ask
    kind: str
    latency_ms: float  # from when it was due to its last answer; 0 where none came
    tries: int
    box: str


def outcomes(day: Day) -> list[Outcome]:
    """What became of each request of the plan, in its order."""
    by_ask: dict[int, list[Try]] = defaultdict(list)
    for row in day.tries:
        by_ask[row.ask].append(row)
    aims = {c.name: c.aim_ms * MS for c in day.plan.scenario.classes}
    found = []
    for ask in day.plan.asks:
        rows = sorted(by_ask.get(ask.number, ()), key=lambda row: row.number)
        due = day.start_ns + ask.due_ns
        good = next((r for r in rows if r.how == "answer" and r.status == 200 and r.box), None)
        tries = len({r.number for r in rows})
        if good is not None:
            latency = good.ended_ns - due
            kind = "served" if latency <= aims[ask.class_name] else "late"
            found.append(Outcome(ask, kind, latency / MS, tries, good.box))
            continue
        last = rows[-1] if rows else None
        if last is None or last.how in ("silent", "broken", "garbage", "unconnected", "crossed"):
            kind = "lost"
        elif last.how == "walked off":
            kind = "left"
        elif last.how == "late" and last.status == 200:
            kind = "late"
        else:
            kind = {429: "refused", 503: "refused", 403: "denied"}.get(last.status, "failed")
        found.append(Outcome(ask, kind, (last.ended_ns - due) / MS if last else 0.0, tries, ""))
    return found


# ---- standing --------------------------------------------------------------------------------------------


class Suspension(NamedTuple):
    """One tenant's, and when the last of its requests was sent to a box after it, as seen there."""

    tenant: str
    at_ns: int
    until_ns: int  # it is in good standing again, or the day has ended
    last_sent_ns: int  # 0: none was

    @property
    def took_s(self) -> float:
        return max(0, self.last_sent_ns - self.at_ns) / SECOND


def suspensions(day: Day) -> list[Suspension]:
    """All of the day, in the order of their times."""
    sent: dict[str, list[int]] = defaultdict(list)
    tenants = {ask.id: ask.tenant for ask in day.plan.asks}
    for attempt in day.attempts:
        sent[tenants.get(ask_of(attempt.id), "")].append(attempt.first_ns)
    found = []
    ends: dict[str, int] = {}  # tenant: its next ruling
    for ruling in reversed(day.rulings):
        if ruling.what == "suspended":
            until = ends.get(ruling.tenant, day.start_ns + day.plan.length_ns)
            last = max((t for t in sent[ruling.tenant] if ruling.at_ns < t < until), default=0)
            found.append(Suspension(ruling.tenant, ruling.at_ns, until, last))
        ends[ruling.tenant] = ruling.at_ns
    return found[::-1]


def in_standing(day: Day, found: Iterable[Outcome], stops: Iterable[Suspension]) -> list[Outcome]:
    """Those whose tenants were in good standing for certain. What a suspended one asks is worth nothing."""
    by_tenant: dict[str, list[tuple[int, int]]] = defaultdict(list)
    late = round(STOPS_WITHIN_S * SECOND)
    for s in stops:
        by_tenant[s.tenant].append((s.at_ns - SECOND - day.start_ns, s.until_ns + late - day.start_ns))
    return [
        one
        for one in found
        if not any(since < one.ask.due_ns < until for since, until in by_tenant.get(one.ask.tenant, ()))
    ]


# ---- worth -----------------------------------------------------------------------------------------------


class _Sum:
    """Worth answered in time over worth asked."""

    def __init__(self) -> None:
        self.asked = self.served = 0.0

    def add(self, worth: float, served: bool) -> None:
        self.asked += worth
        self.served += worth if served else 0.0

    @property
    def share(self) -> float:
        return self.served / self.asked if self.asked else 1.0


def worth(plan: Plan, found: Iterable[Outcome]) -> dict[str, Any]:
    """The shares of worth: whole, worst window, each class, each tenant within its share; and the figure of
    all."""
    load = plan.scenario.load
    value = {c.name: c.worth for c in plan.scenario.classes}
    whole = _Sum()
    classes: dict[str, _Sum] = defaultdict(_Sum)
    tenants: dict[str, _Sum] = defaultdict(_Sum)
    seconds: dict[int, _Sum] = defaultdict(_Sum)
    for one in found:
        ask = one.ask
        amount = value[ask.class_name] * (ask.work_ns / SECOND if load.worth_by == "work" else 1.0)
        amount *= load.over_share_worth if ask.over else 1.0
        for total in (whole, classes[ask.class_name], seconds[ask.due_ns // SECOND]):
            total.add(amount, one.kind == "served")
        if not ask.over:
            tenants[ask.tenant].add(amount, one.kind == "served")
    length = max(1, int(plan.scenario.length_s))
    windows = []
    for first in range(max(1, length - WINDOW_S + 1)):
        window = _Sum()
        for second in range(first, min(length, first + WINDOW_S)):
            window.asked += seconds[second].asked
            window.served += seconds[second].served
        windows.append((window.share, first))
    parts = {
        "whole": whole.share,
        "worst_window": min(windows)[0],
        "worst_class": min((t.share for t in classes.values()), default=1.0),
        "worst_tenant": min((t.share for t in tenants.values()), default=1.0),
    }
    return {
        "figure": sum(WEIGHTS[name] * share for name, share in parts.items()),
        **parts,
        "worst_window_at_s": min(windows)[1],
        "classes": {name: total.share for name, total in sorted(classes.items())},
        "tenants": {name: total.share for name, total in sorted(tenants.items())},
    }


# ---- the rules -------------------------------------------------------------------------------------------


class Judge:
    """Looks through a day for breaches of the four rules."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.breaches: list[Breach] = []
        self.tries: dict[str, list[Try]] = defaultdict(list)
        for row in day.tries:
            if row.how != "extra":  # it tells of bytes, not of a try
                self.tries[row.id].append(row)
        self.kills: dict[int, list[Life]] = defaultdict(list)
        for life in day.lives:
            if life.end == "kill":
                self.kills[life.balancer].append(life)

    def judge(self) -> list[Breach]:
        self._answers()
        self._copies()
        self._drains()
        self._cold()
        self._standing()
        self._crashes()
        return sorted(self.breaches, key=lambda b: (b.rule, b.at_s))

    def _breach(self, rule: int, request: str, balancer: int, at_ns: int, what: str) -> None:
        self.breaches.append(
            Breach(rule, request, balancer, round((at_ns - self.day.start_ns) / SECOND, 3), what)
        )

    def _killed(self, row: Try) -> bool:
        """Did the kit kill the balancer while it had this?"""
        return any(
            life.up_ns <= row.sent_ns and row.sent_ns - GRACE_NS <= life.down_ns <= row.ended_ns + GRACE_NS
            for life in self.kills[row.balancer]
        )

    def _answers(self) -> None:
        """Rule 1. Taken is what was written to a connection that came up."""
        made = {(a.id, a.box) for a in self.day.attempts if a.how in ("served", "unanswered")}
        for row in self.day.tries:
            if row.how == "extra":
                self._breach(1, row.id, row.balancer, row.ended_ns, "bytes behind the final answer")
            elif row.how in ("silent", "broken", "garbage") and row.sent_ns and not self._killed(row):
                what = {
                    "silent": "no whole answer before its client's time was over",
                    "broken": "its connection ended with no whole answer",
                    "garbage": "what came is no answer",
                }[row.how]
                self._breach(1, row.id, row.balancer, row.ended_ns, what)
            elif row.how in ("answer", "late") and row.status == 200:
                if not row.box:
                    self._breach(1, row.id, row.balancer, row.ended_ns, "served with what no box made for it")
                elif self.day.attempts and (row.id, row.box) not in made:
                    self._breach(
                        1,
                        row.id,
                        row.balancer,
                        row.ended_ns,
                        f"served with an answer that {row.box} never gave",
                    )

    def _copies(self) -> None:
        """Rule 2: one attempt at a time, no more than allowed, none after the answer, no unsafe one again."""
        by_id: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.day.attempts:
            by_id[attempt.id].append(attempt)
        most = self.day.plan.scenario.limits.max_attempts
        effects = {c.name: c.effect for c in self.day.plan.scenario.classes}
        classes = {ask.id: ask.class_name for ask in self.day.plan.asks}
        for name, attempts in by_id.items():
            rows = self.tries.get(name, ())
            balancer = rows[-1].balancer if rows else -1
            attempts.sort(key=lambda a: a.last_ns)
            out_until = 0
            for a in attempts:
                if a.last_ns < out_until - GRACE_NS:
                    self._breach(2, name, balancer, a.last_ns, f"sent to {a.box} while an attempt was out")
                out_until = max(out_until, a.closed_ns)
            if len(attempts) > most * max(1, len(rows)):
                self._breach(
                    2, name, balancer, attempts[-1].last_ns, f"{len(attempts)} attempts, {most} are allowed"
                )
            ended = max((r.ended_ns for r in rows if r.how == "answer"), default=None)
            if ended is not None and attempts[-1].first_ns > ended + GRACE_NS:
                self._breach(2, name, balancer, attempts[-1].first_ns, "sent after its final answer")
            ran = sum(a.ran for a in attempts)
            if ran > 1 and effects.get(classes.get(ask_of(name), "")) == "unsafe":
                self._breach(
                    2, name, balancer, attempts[-1].last_ns, f"unsafe to repeat, and run {ran} times"
                )

    def _drains(self) -> None:
        """Rule 3: nothing new to a box later than the grace after its balancer was told."""
        told: dict[tuple[int, str], int] = {}
        for one in self.day.told:
            key = one.balancer, one.box
            told[key] = min(one.at_ns, told.get(key, one.at_ns))
        for news in self.day.plan.news:
            if news.state != "Ready" and self.day.told:
                key = news.balancer, self.day.plan.places[news.place].life(news.life)
                at = self.day.start_ns + news.at_ns + TOLD_LATE_NS
                told[key] = min(at, told.get(key, at))
        grace = round(self.day.plan.scenario.rules.drain_grace_ms * MS) + GRACE_NS
        for a in self.day.attempts:
            for row in self.tries.get(a.id, ()):
                known = told.get((row.balancer, a.box), a.first_ns)
                if a.first_ns > known + grace and row.began_ns <= a.first_ns <= row.ended_ns + grace:
                    late_ms = (a.first_ns - known) / MS
                    what = f"sent to {a.box} {late_ms:.0f} ms after it was told that this drains or is gone"
                    self._breach(3, a.id, row.balancer, a.first_ns, what)

    def _cold(self) -> None:
        for at_ns, box, request in self.day.falls:
            self._breach(4, request, -1, at_ns, f"{box} was pushed over while cold")

    def _standing(self) -> None:
        for s in suspensions(self.day):
            if s.took_s > STOPS_WITHIN_S:
                what = f"a request of {s.tenant} was sent {s.took_s:.1f} s after its suspension"
                self._breach(5, "", -1, s.last_sent_ns, what)

    def _crashes(self) -> None:
        for life in self.day.lives:
            if life.end == "crash":
                self._breach(
                    0,
                    "",
                    life.balancer,
                    life.down_ns,
                    f"the balancer ended by itself, exit code {life.exit_code}",
                )


# ---- all of it -------------------------------------------------------------------------------------------


def void_because(day: Day) -> list[str]:
    """Why this run is no measurement: the kit was late, or short of something. Empty: it is one."""
    why = [f"the kit's process {name} ended early" for name in day.lost_workers]
    for name, late in day.lateness.items():
        if late["max_ms"] > STALL_MS or late["p99_ms"] > LATE_P99_MS:
            why.append(
                f"the kit's process {name} was late: 99 in 100 within {late['p99_ms']:.1f} ms, at most "
                f"{late['max_ms']:.1f} ms (allowed: {LATE_P99_MS:g} and {STALL_MS:g})"
            )
    if day.due_late_ms and (day.due_late_ms["p99"] > LATE_P99_MS or day.due_late_ms["max"] > STALL_MS):
        why.append(
            f"requests were begun late: 99 in 100 within {day.due_late_ms['p99']:.1f} ms, at most "
            f"{day.due_late_ms['max']:.1f} ms (allowed: {LATE_P99_MS:g} and {STALL_MS:g})"
        )
    if day.short:
        why.append(f"{day.short} connections could not be opened for want of descriptors or ports")
    return why


def percentile(ordered: Sequence[float], part: float) -> float:
    """Of figures in ascending order; 0 where there are none."""
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def verdict(day: Day) -> dict[str, Any]:
    """The whole verdict, as the report's JSON has it."""
    found, stops = outcomes(day), suspensions(day)
    breaches = Judge(day).judge()
    kinds: dict[str, int] = defaultdict(int)
    for one in found:
        kinds[one.kind] += 1
    latency = sorted(o.latency_ms for o in found if o.kind in ("served", "late"))
    why = void_because(day)
    requests = max(1, len(found))
    worked = sum(a.work_ns for a in day.attempts if a.ran)
    useful = sum(o.ask.work_ns for o in found if o.kind == "served")
    return {
        "void": why,
        # Of a void run there is none, for nobody to use.
        "worth": None if why else worth(day.plan, in_standing(day, found, stops)),
        "suspensions": _stops(stops),
        "rules": {
            "kept": not breaches,
            "breaches": {
                str(rule): {
                    "rule": RULES.get(rule, "the balancer runs"),
                    "count": sum(b.rule == rule for b in breaches),
                    "first": [b._asdict() for b in breaches if b.rule == rule][:BREACHES_SHOWN],
                }
                for rule in sorted({b.rule for b in breaches})
            },
        },
        "offered": day.offered,
        "complaints": list(day.complaints[:BREACHES_SHOWN]),
        "requests": {
            "asked": len(found),
            "tries": sum(o.tries for o in found),
            "attempts": len(day.attempts),
            **{kind: kinds[kind] for kind in KINDS},
        },
        "latency_ms": {
            f"p{part * 100:g}": round(percentile(latency, part), 1) for part in (0.5, 0.9, 0.95, 0.99, 0.999)
        },
        "work": {
            "done_s": round(worked / SECOND, 2),
            "useful_s": round(useful / SECOND, 2),
            "capacity_s": round(day.plan.capacity * day.plan.scenario.length_s, 2),
        },
        "balancers": _balancers(day, requests),
        "kit": {
            "lateness": {name: dict(late) for name, late in day.lateness.items()},
            "due_late_ms": dict(day.due_late_ms),
            "cpu_s": round(day.kit_cpu_s, 2),
            "cpu_us_per_request": round(1e6 * day.kit_cpu_s / requests),
        },
    }


def _stops(found: Sequence[Suspension]) -> dict[str, Any]:
    """Seconds from each suspension to the last request that was sent."""
    took = sorted(s.took_s for s in found)
    return {
        "count": len(took),
        "median_s": round(percentile(took, 0.5), 3),
        "max_s": round(took[-1], 3) if took else 0.0,
        "took_s": [round(t, 3) for t in took],
    }


def _balancers(day: Day, requests: int) -> dict[str, Any]:
    rows: dict[int, list[Used]] = defaultdict(list)
    for row in day.used:
        rows[row.balancer].append(row)
    if not rows:
        return {}
    cpu: dict[int, float] = {}
    for number, used in rows.items():
        # A process that was started anew counts from 0 again.
        cpu[number] = sum(
            max(0.0, b.cpu_s - a.cpu_s) if b.cpu_s >= a.cpu_s else b.cpu_s
            for a, b in itertools.pairwise(used)
        )
    return {
        "cpu_s": {str(n): round(s, 2) for n, s in sorted(cpu.items())},
        "cpu_us_per_request": round(1e6 * sum(cpu.values()) / requests),
        "memory_mb_max": max(r.memory_mb for used in rows.values() for r in used),
        "descriptors_max": max(r.descriptors for used in rows.values() for r in used),
    }


def windows(day: Day, found: Sequence[Outcome], span_s: float) -> list[dict[str, Any]]:
    """Outcomes and latency for each stretch of the day, for the charts."""
    count = max(1, -(-int(day.plan.scenario.length_s * 1000) // int(span_s * 1000)))
    rows: list[dict[str, Any]] = [
        {"at_s": round(i * span_s, 3), "kinds": defaultdict(int), "latency": []} for i in range(count)
    ]
    edges = [round(i * span_s * SECOND) for i in range(count)]
    for one in found:
        row = rows[bisect_right(edges, one.ask.due_ns) - 1]
        row["kinds"][one.kind] += 1
        if one.kind in ("served", "late"):
            row["latency"].append(one.latency_ms)
    for row in rows:
        ordered = sorted(row.pop("latency"))
        row["kinds"] = dict(row["kinds"])
        row["latency_ms"] = {
            "p50": round(percentile(ordered, 0.5), 1),
            "p90": round(percentile(ordered, 0.9), 1),
            "p99": round(percentile(ordered, 0.99), 1),
        }
    return rows
