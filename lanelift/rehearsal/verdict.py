"""Computes the verdict on a day from what the kit itself recorded at the sockets. Performs no I/O.

Rules 1 to 4 of `RULES` are defined in the project's README and PROTOCOL, and rule 5 applies to scenarios with
directories. Each time limit on sockets is extended by `GRACE_NS`, as stated in PROTOCOL. A breach names its
request if it has one. A try that was lost because the kit killed its balancer is not a breach.
"""

from __future__ import annotations

import itertools
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from lanelift.rehearsal.plan import Plan, ScheduledRequest, request_id_of
from lanelift.rehearsal.records import GRACE_NS, BoxSample, ProcessRun, ResourceSample, StandingChange, Try

SECOND, MS = 1_000_000_000, 1_000_000
# A window of this length starts at each second; the window with the lowest share of worth is reported.
WINDOW_S = 10
WEIGHTS = {"whole": 0.6, "worst_window": 0.1, "worst_class": 0.2, "worst_tenant": 0.1}  # the brief, 'Score'
# A balancer counts as notified this long after a notification was due, even if the notification never came.
NOTIFICATION_LIMIT_NS = 6 * SECOND
MAX_BREACHES_SHOWN = 20  # the report lists at most this many breaches of a rule, but counts all
# The run is void if an event loop of the kit, or the start of requests, was later than these limits for the
# 99th percentile and the maximum. The latency aim is 264 ms: a delay of a hundredth of the aim does not show
# in a figure that itself varies by a hundredth, but a stall of a quarter of the aim can make answers late.
LATE_P99_MS, STALL_MS = 5.0, 66.0
# No request of a suspended tenant may be sent to a box later than this after the start of the suspension. The
# tenant's requests must be served again this long after its end; until then they have no worth.
SUSPENSION_LIMIT_S = 5.0

# Meanings of the kinds of outcomes, in order: a 200 within the aim; a 200 after the aim; a 429 or 503; a
# 403; any other answer; no answer; a request that the client abandoned.
OUTCOME_KINDS = ("served", "late", "refused", "denied", "failed", "lost", "left")
RULES = {
    1: "one final answer, in time",
    2: "no effect twice, one outstanding attempt",
    3: "drains are kept",
    4: "no cold box is pushed over",
    5: "a suspended tenant's requests stop",
}


class Breach(NamedTuple):
    """A breach of a rule, or a crash of a balancer."""

    rule: int  # a key of `RULES`, or 0 for a crash
    request: str
    balancer: int
    at_s: float
    what: str


class Attempt(NamedTuple):
    """One request as it reached a box. Has the same fields as `standins.upstream_emulator.Attempt`, which is
    not imported here because that module uses sockets and this module must not."""

    id: str
    box: str
    first_ns: int
    last_ns: int
    closed_ns: int
    result: str
    ran: bool
    work_ns: int


class DrainNotice(NamedTuple):
    """Records that a balancer was notified that a box is draining or gone. Has the same fields as
    `standins.discovery.DrainNotice`, which is not imported here because that module uses sockets and this
    module must not."""

    at_ns: int
    balancer: int
    box: str
    state: str


@dataclass(slots=True)
class Day:
    """All records of one day."""

    plan: Plan
    start_ns: int
    tries: Sequence[Try]
    attempts: Sequence[Attempt] = ()
    drain_notices: Sequence[DrainNotice] = ()
    process_runs: Sequence[ProcessRun] = ()
    resource_samples: Sequence[ResourceSample] = ()
    box_samples: Sequence[BoxSample] = ()
    # Time, instance id, and the request that caused the overload.
    cold_overloads: Sequence[tuple[int, str, str]] = ()
    complaints: Sequence[str] = ()
    # Lateness of the event loop of each process of the kit.
    lateness: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    due_late_ms: Mapping[str, float] = field(default_factory=dict)
    offered: str = ""  # a digest of the first tries of all requests and their due times
    connect_shortages: int = 0
    kit_cpu_s: float = 0.0
    lost_workers: Sequence[str] = ()
    standing_changes: Sequence[StandingChange] = ()


class Outcome(NamedTuple):
    """The outcome of one request over all its tries. `kind` is one of `OUTCOME_KINDS`."""

    request: ScheduledRequest
    kind: str
    # Time from the due time to the end of the try that decided the kind; 0 if there was no try.
    latency_ms: float
    tries: int
    box: str  # the id of the instance that served the request, or ""


def outcomes(day: Day) -> list[Outcome]:
    """Returns the outcome of each request, in the order of the plan."""
    tries_by_request: dict[int, list[Try]] = defaultdict(list)
    for row in day.tries:
        tries_by_request[row.request_number].append(row)
    aims = {c.name: c.aim_ms * MS for c in day.plan.scenario.classes}
    found = []
    for request in day.plan.requests:
        rows = sorted(tries_by_request.get(request.number, ()), key=lambda row: row.number)
        due = day.start_ns + request.due_ns
        successful = next((r for r in rows if r.result == "answer" and r.status == 200 and r.box), None)
        tries = len({r.number for r in rows})
        if successful is not None:
            latency = successful.ended_ns - due
            kind = "served" if latency <= aims[request.class_name] else "late"
            found.append(Outcome(request, kind, latency / MS, tries, successful.box))
            continue
        last = rows[-1] if rows else None
        if last is None or last.result in ("silent", "broken", "garbage", "unconnected", "crossed"):
            kind = "lost"
        elif last.result == "walked off":
            kind = "left"
        elif last.result == "late" and last.status == 200:
            kind = "late"
        else:
            kind = {429: "refused", 503: "refused", 403: "denied"}.get(last.status, "failed")
        found.append(Outcome(request, kind, (last.ended_ns - due) / MS if last else 0.0, tries, ""))
    return found


# ---- suspensions -----------------------------------------------------------------------------------------


class Suspension(NamedTuple):
    """A suspension of a tenant, and the time of the tenant's last request to a box during it."""

    tenant: str
    at_ns: int
    until_ns: int  # when the suspension or the day ended
    last_sent_ns: int  # time of the last request to a box during the suspension; 0 if no request was sent

    @property
    def took_s(self) -> float:
        """Seconds from the start of the suspension to the last request during it; 0 without a request."""
        return max(0, self.last_sent_ns - self.at_ns) / SECOND


def suspensions(day: Day) -> list[Suspension]:
    """Returns all suspensions of the day in the order of their times."""
    sent: dict[str, list[int]] = defaultdict(list)
    tenants = {request.id: request.tenant for request in day.plan.requests}
    for attempt in day.attempts:
        sent[tenants.get(request_id_of(attempt.id), "")].append(attempt.first_ns)
    found = []
    ends: dict[str, int] = {}  # for each tenant, the time of its next change
    for change in reversed(day.standing_changes):
        if change.standing == "suspended":
            until = ends.get(change.tenant, day.start_ns + day.plan.length_ns)
            last = max((t for t in sent[change.tenant] if change.at_ns < t < until), default=0)
            found.append(Suspension(change.tenant, change.at_ns, until, last))
        ends[change.tenant] = change.at_ns
    return found[::-1]


def without_suspended_tenants(
    day: Day, found: Iterable[Outcome], suspended: Iterable[Suspension]
) -> list[Outcome]:
    """Returns the outcomes that count for the worth, without those of requests that were due between 1 s
    before a suspension of their tenant and `SUSPENSION_LIMIT_S` after the end of the suspension."""
    by_tenant: dict[str, list[tuple[int, int]]] = defaultdict(list)
    resume_ns = round(SUSPENSION_LIMIT_S * SECOND)
    for s in suspended:
        by_tenant[s.tenant].append((s.at_ns - SECOND - day.start_ns, s.until_ns + resume_ns - day.start_ns))
    return [
        outcome
        for outcome in found
        if not any(
            since < outcome.request.due_ns < until
            for since, until in by_tenant.get(outcome.request.tenant, ())
        )
    ]


# ---- worth -----------------------------------------------------------------------------------------------


class _WorthTotal:
    """The total worth of some requests (`asked`), and of those answered in time (`served`)."""

    def __init__(self) -> None:
        self.asked = self.served = 0.0

    def add(self, amount: float, served: bool) -> None:
        self.asked += amount
        self.served += amount if served else 0.0

    @property
    def share(self) -> float:
        return self.served / self.asked if self.asked else 1.0


def worth(plan: Plan, found: Iterable[Outcome]) -> dict[str, Any]:
    """Returns the share of the worth that was answered in time: in total, in the worst window, by class, and
    by tenant (only requests within the tenant's share). `figure` is a mean weighted by `WEIGHTS`."""
    load = plan.scenario.load
    value = {c.name: c.worth for c in plan.scenario.classes}
    whole = _WorthTotal()
    classes: dict[str, _WorthTotal] = defaultdict(_WorthTotal)
    tenants: dict[str, _WorthTotal] = defaultdict(_WorthTotal)
    seconds: dict[int, _WorthTotal] = defaultdict(_WorthTotal)
    for outcome in found:
        request = outcome.request
        amount = value[request.class_name] * (request.work_ns / SECOND if load.worth_by == "work" else 1.0)
        amount *= load.over_share_worth if request.over_share else 1.0
        for total in (whole, classes[request.class_name], seconds[request.due_ns // SECOND]):
            total.add(amount, outcome.kind == "served")
        if not request.over_share:
            tenants[request.tenant].add(amount, outcome.kind == "served")
    length = max(1, int(plan.scenario.length_s))
    window_shares = []
    for first in range(max(1, length - WINDOW_S + 1)):
        window = _WorthTotal()
        for second in range(first, min(length, first + WINDOW_S)):
            window.asked += seconds[second].asked
            window.served += seconds[second].served
        window_shares.append((window.share, first))
    parts = {
        "whole": whole.share,
        "worst_window": min(window_shares)[0],
        "worst_class": min((t.share for t in classes.values()), default=1.0),
        "worst_tenant": min((t.share for t in tenants.values()), default=1.0),
    }
    return {
        "figure": sum(WEIGHTS[name] * share for name, share in parts.items()),
        **parts,
        "worst_window_at_s": min(window_shares)[1],
        "classes": {name: total.share for name, total in sorted(classes.items())},
        "tenants": {name: total.share for name, total in sorted(tenants.items())},
    }


# ---- the rules -------------------------------------------------------------------------------------------


class RuleChecker:
    """Checks the records of a day for breaches of the rules, and for crashes of balancers."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.breaches: list[Breach] = []
        self.tries: dict[str, list[Try]] = defaultdict(list)
        for row in day.tries:
            if row.result != "extra":  # an "extra" row reports unexpected bytes and is not a try
                self.tries[row.id].append(row)
        self.kills: dict[int, list[ProcessRun]] = defaultdict(list)
        for run in day.process_runs:
            if run.end_reason == "kill":
                self.kills[run.balancer].append(run)

    def check(self) -> list[Breach]:
        """Returns all breaches, ordered by rule and time."""
        self._check_answers()
        self._check_attempts()
        self._check_drains()
        self._check_cold_boxes()
        self._check_suspensions()
        self._check_crashes()
        return sorted(self.breaches, key=lambda b: (b.rule, b.at_s))

    def _breach(self, rule: int, request: str, balancer: int, at_ns: int, what: str) -> None:
        self.breaches.append(
            Breach(rule, request, balancer, round((at_ns - self.day.start_ns) / SECOND, 3), what)
        )

    def _was_killed(self, row: Try) -> bool:
        """Returns whether the kit killed the balancer while it handled this try."""
        return any(
            run.started_ns <= row.sent_ns
            and row.sent_ns - GRACE_NS <= run.ended_ns <= row.ended_ns + GRACE_NS
            for run in self.kills[row.balancer]
        )

    def _check_answers(self) -> None:
        """Rule 1: each accepted request gets one complete answer in time, and a 200 comes from a box.

        A request is accepted once it has been written to an established connection."""
        answered = {(a.id, a.box) for a in self.day.attempts if a.result in ("served", "unanswered")}
        for row in self.day.tries:
            if row.result == "extra":
                self._breach(1, row.id, row.balancer, row.ended_ns, "bytes behind the final answer")
            elif row.result in ("silent", "broken", "garbage") and row.sent_ns and not self._was_killed(row):
                what = {
                    "silent": "no whole answer before its client's time was over",
                    "broken": "its connection ended with no whole answer",
                    "garbage": "what came is no answer",
                }[row.result]
                self._breach(1, row.id, row.balancer, row.ended_ns, what)
            elif row.result in ("answer", "late") and row.status == 200:
                if not row.box:
                    self._breach(1, row.id, row.balancer, row.ended_ns, "served with what no box made for it")
                elif self.day.attempts and (row.id, row.box) not in answered:
                    self._breach(
                        1,
                        row.id,
                        row.balancer,
                        row.ended_ns,
                        f"served with an answer that {row.box} never gave",
                    )

    def _check_attempts(self) -> None:
        """Rule 2: a try has one attempt at a time, at most `max_attempts` each time its client sends it, and
        none after its final answer; a try of a request of an unsafe class runs at most once."""
        attempts_by_try: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.day.attempts:
            attempts_by_try[attempt.id].append(attempt)
        max_attempts = self.day.plan.scenario.limits.max_attempts
        effects = {c.name: c.effect for c in self.day.plan.scenario.classes}
        classes = {request.id: request.class_name for request in self.day.plan.requests}
        for try_id, attempts in attempts_by_try.items():
            rows = self.tries.get(try_id, ())
            balancer = rows[-1].balancer if rows else -1
            attempts.sort(key=lambda a: a.last_ns)
            busy_until = 0
            for a in attempts:
                if a.last_ns < busy_until - GRACE_NS:
                    self._breach(2, try_id, balancer, a.last_ns, f"sent to {a.box} while an attempt was out")
                busy_until = max(busy_until, a.closed_ns)
            if len(attempts) > max_attempts * max(1, len(rows)):
                self._breach(
                    2,
                    try_id,
                    balancer,
                    attempts[-1].last_ns,
                    f"{len(attempts)} attempts, {max_attempts} are allowed",
                )
            answered_ns = max((r.ended_ns for r in rows if r.result == "answer"), default=None)
            if answered_ns is not None and attempts[-1].first_ns > answered_ns + GRACE_NS:
                self._breach(2, try_id, balancer, attempts[-1].first_ns, "sent after its final answer")
            run_count = sum(a.ran for a in attempts)
            if run_count > 1 and effects.get(classes.get(request_id_of(try_id), "")) == "unsafe":
                self._breach(
                    2, try_id, balancer, attempts[-1].last_ns, f"unsafe to repeat, and run {run_count} times"
                )

    def _check_drains(self) -> None:
        """Rule 3: a balancer starts no attempt at a box later than the grace time after its drain notice.

        Without drain notices, as with an external balancer, the rule is not checked."""
        told_ns: dict[tuple[int, str], int] = {}
        for notice in self.day.drain_notices:
            key = notice.balancer, notice.box
            told_ns[key] = min(notice.at_ns, told_ns.get(key, notice.at_ns))
        for notification in self.day.plan.notifications:
            if notification.state != "Ready" and self.day.drain_notices:
                key = (
                    notification.balancer,
                    self.day.plan.places[notification.place].instance_id(notification.instance),
                )
                at = self.day.start_ns + notification.at_ns + NOTIFICATION_LIMIT_NS
                told_ns[key] = min(at, told_ns.get(key, at))
        grace = round(self.day.plan.scenario.rules.drain_grace_ms * MS) + GRACE_NS
        for a in self.day.attempts:
            for row in self.tries.get(a.id, ()):
                known = told_ns.get((row.balancer, a.box), a.first_ns)
                if a.first_ns > known + grace and row.began_ns <= a.first_ns <= row.ended_ns + grace:
                    late_ms = (a.first_ns - known) / MS
                    what = f"sent to {a.box} {late_ms:.0f} ms after it was told that this drains or is gone"
                    self._breach(3, a.id, row.balancer, a.first_ns, what)

    def _check_cold_boxes(self) -> None:
        """Rule 4: no box fails from overload while it is cold."""
        for at_ns, box, request in self.day.cold_overloads:
            self._breach(4, request, -1, at_ns, f"{box} was pushed over while cold")

    def _check_suspensions(self) -> None:
        """Rule 5: the requests of a suspended tenant stop within `SUSPENSION_LIMIT_S`."""
        for s in suspensions(self.day):
            if s.took_s > SUSPENSION_LIMIT_S:
                what = f"a request of {s.tenant} was sent {s.took_s:.1f} s after its suspension"
                self._breach(5, "", -1, s.last_sent_ns, what)

    def _check_crashes(self) -> None:
        """Reports each balancer that ended although the kit did not end it, as a breach with rule 0."""
        for run in self.day.process_runs:
            if run.end_reason == "crash":
                self._breach(
                    0,
                    "",
                    run.balancer,
                    run.ended_ns,
                    f"the balancer ended by itself, exit code {run.exit_code}",
                )


# ---- the verdict -----------------------------------------------------------------------------------------


def void_reasons(day: Day) -> list[str]:
    """Returns the reasons why the run is void: a process of the kit ended early, the kit was late, or it had
    no descriptors or ports left. The list is empty if the run is valid."""
    reasons = [f"the kit's process {name} ended early" for name in day.lost_workers]
    for name, late in day.lateness.items():
        if late["max_ms"] > STALL_MS or late["p99_ms"] > LATE_P99_MS:
            reasons.append(
                f"the kit's process {name} was late: 99 in 100 within {late['p99_ms']:.1f} ms, at most "
                f"{late['max_ms']:.1f} ms (allowed: {LATE_P99_MS:g} and {STALL_MS:g})"
            )
    if day.due_late_ms and (day.due_late_ms["p99"] > LATE_P99_MS or day.due_late_ms["max"] > STALL_MS):
        reasons.append(
            f"requests were begun late: 99 in 100 within {day.due_late_ms['p99']:.1f} ms, at most "
            f"{day.due_late_ms['max']:.1f} ms (allowed: {LATE_P99_MS:g} and {STALL_MS:g})"
        )
    if day.connect_shortages:
        reasons.append(
            f"{day.connect_shortages} connections could not be opened for want of descriptors or ports"
        )
    return reasons


def percentile(ordered: Sequence[float], part: float) -> float:
    """Returns a percentile of values in ascending order, or 0 if there are none."""
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def verdict(day: Day) -> dict[str, Any]:
    """Returns the verdict in the form of the report's JSON."""
    all_outcomes, suspended = outcomes(day), suspensions(day)
    breaches = RuleChecker(day).check()
    kind_counts: dict[str, int] = defaultdict(int)
    for outcome in all_outcomes:
        kind_counts[outcome.kind] += 1
    latency = sorted(o.latency_ms for o in all_outcomes if o.kind in ("served", "late"))
    reasons = void_reasons(day)
    requests = max(1, len(all_outcomes))
    worked = sum(a.work_ns for a in day.attempts if a.ran)
    useful = sum(o.request.work_ns for o in all_outcomes if o.kind == "served")
    return {
        "void": reasons,
        # A void run has no worth, so that its figure cannot be used by mistake.
        "worth": None
        if reasons
        else worth(day.plan, without_suspended_tenants(day, all_outcomes, suspended)),
        "suspensions": _suspension_summary(suspended),
        "rules": {
            "kept": not breaches,
            "breaches": {
                str(rule): {
                    "rule": RULES.get(rule, "the balancer runs"),
                    "count": sum(b.rule == rule for b in breaches),
                    "first": [b._asdict() for b in breaches if b.rule == rule][:MAX_BREACHES_SHOWN],
                }
                for rule in sorted({b.rule for b in breaches})
            },
        },
        "offered": day.offered,
        "complaints": list(day.complaints[:MAX_BREACHES_SHOWN]),
        "requests": {
            "asked": len(all_outcomes),
            "tries": sum(o.tries for o in all_outcomes),
            "attempts": len(day.attempts),
            **{kind: kind_counts[kind] for kind in OUTCOME_KINDS},
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


def _suspension_summary(suspended: Sequence[Suspension]) -> dict[str, Any]:
    """Returns the seconds from the start of each suspension to the last request sent during it."""
    took = sorted(s.took_s for s in suspended)
    return {
        "count": len(took),
        "median_s": round(percentile(took, 0.5), 3),
        "max_s": round(took[-1], 3) if took else 0.0,
        "took_s": [round(t, 3) for t in took],
    }


def _balancers(day: Day, requests: int) -> dict[str, Any]:
    """Returns the resource usage of the balancers, or an empty table if none was sampled."""
    rows: dict[int, list[ResourceSample]] = defaultdict(list)
    for row in day.resource_samples:
        rows[row.balancer].append(row)
    if not rows:
        return {}
    cpu: dict[int, float] = {}
    for number, samples in rows.items():
        # The CPU time of a restarted process counts from 0 again.
        cpu[number] = sum(
            max(0.0, b.cpu_s - a.cpu_s) if b.cpu_s >= a.cpu_s else b.cpu_s
            for a, b in itertools.pairwise(samples)
        )
    return {
        "cpu_s": {str(n): round(s, 2) for n, s in sorted(cpu.items())},
        "cpu_us_per_request": round(1e6 * sum(cpu.values()) / requests),
        "memory_mb_max": max(r.memory_mb for samples in rows.values() for r in samples),
        "descriptors_max": max(r.descriptors for samples in rows.values() for r in samples),
    }


def windows(day: Day, found: Sequence[Outcome], span_s: float) -> list[dict[str, Any]]:
    """Returns the outcomes and latencies of each window of `span_s`, for the charts."""
    count = max(1, -(-int(day.plan.scenario.length_s * 1000) // int(span_s * 1000)))
    rows: list[dict[str, Any]] = [
        {"at_s": round(i * span_s, 3), "kinds": defaultdict(int), "latency": []} for i in range(count)
    ]
    starts = [round(i * span_s * SECOND) for i in range(count)]
    for outcome in found:
        row = rows[bisect_right(starts, outcome.request.due_ns) - 1]
        row["kinds"][outcome.kind] += 1
        if outcome.kind in ("served", "late"):
            row["latency"].append(outcome.latency_ms)
    for row in rows:
        ordered = sorted(row.pop("latency"))
        row["kinds"] = dict(row["kinds"])
        row["latency_ms"] = {
            "p50": round(percentile(ordered, 0.5), 1),
            "p90": round(percentile(ordered, 0.9), 1),
            "p99": round(percentile(ordered, 0.99), 1),
        }
    return rows
