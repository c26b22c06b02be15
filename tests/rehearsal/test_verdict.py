"""The verdict on constructed days: figures checked by arithmetic, and one injected breach of each rule."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from lanelift.rehearsal.html_report import render_html
from lanelift.rehearsal.plan import MS, Plan, make_plan
from lanelift.rehearsal.records import ProcessRun, ResourceSample, StandingChange, Try
from lanelift.rehearsal.report import compare, differences, make_report, summary
from lanelift.rehearsal.scenario import Scenario
from lanelift.rehearsal.verdict import (
    Attempt,
    Breach,
    Day,
    DrainNotice,
    RuleChecker,
    outcomes,
    suspensions,
    verdict,
    void_reasons,
    worth,
)
from lanelift.standins.box import SECOND

START = 1000 * SECOND
BOX = "box-000-0"


def plan(**changes: Any) -> Plan:
    base = {"name": "x", "length_s": 20.0, "load": {"rate": 10.0}, "fleet": {"boxes": 3, "balancers": 2}}
    return make_plan(Scenario.model_validate(base | changes))


def perfect(day_plan: Plan) -> Day:
    """Returns a day on which each request is sent when due, reaches one box and is answered in 100 ms."""
    tries, attempts = [], []
    for request in day_plan.requests:
        due = START + request.due_ns
        tries.append(
            Try(
                request.number,
                0,
                request.id,
                0,
                due,
                due + MS,
                due + 100 * MS,
                due + request.try_timeout_ns,
                "answer",
                200,
                BOX,
            )
        )
        attempts.append(
            Attempt(
                request.id, BOX, due + 2 * MS, due + 3 * MS, due + 99 * MS, "served", True, request.work_ns
            )
        )
    return Day(day_plan, START, tries, attempts, drain_notices=[DrainNotice(START, 0, "box-other-0", "Gone")])


def change_try(day: Day, index: int, **changes: Any) -> Try:
    rows = list(day.tries)
    rows[index] = rows[index]._replace(**changes)
    day.tries = rows
    return rows[index]


def breaches(day: Day) -> list[Breach]:
    return RuleChecker(day).check()


def test_a_perfect_day_has_full_worth_and_no_breach() -> None:
    found = verdict(perfect(plan()))
    assert found["worth"]["figure"] == pytest.approx(1) and found["rules"] == {"kept": True, "breaches": {}}
    assert found["void"] == [] and found["latency_ms"]["p99"] == 100
    assert found["requests"]["served"] == found["requests"]["asked"] == len(plan().requests)


def test_worth_is_weighted_by_class_work_and_share() -> None:
    day = perfect(plan())
    lost_classes = {"fee-quote"}
    for i, request in enumerate(day.plan.requests):
        if request.class_name in lost_classes:
            change_try(day, i, status=503, box="")
    found = worth(day.plan, outcomes(day))
    value = {c.name: c.worth for c in day.plan.scenario.classes}
    asked = sum(value[a.class_name] * a.work_ns * (0.05 if a.over_share else 1) for a in day.plan.requests)
    missed = sum(
        value[a.class_name] * a.work_ns * (0.05 if a.over_share else 1)
        for a in day.plan.requests
        if a.class_name in lost_classes
    )
    assert found["whole"] == pytest.approx(1 - missed / asked)
    assert found["classes"]["fee-quote"] == found["worst_class"] == 0
    assert found["figure"] == pytest.approx(
        0.6 * found["whole"] + 0.1 * found["worst_window"] + 0.2 * 0 + 0.1 * found["worst_tenant"]
    )


def test_the_worst_window_of_ten_seconds_is_found() -> None:
    day = perfect(plan())
    for i, request in enumerate(day.plan.requests):
        if 7 * SECOND <= request.due_ns < 17 * SECOND:
            change_try(day, i, status=503, box="")
    found = worth(day.plan, outcomes(day))
    assert (found["worst_window"], found["worst_window_at_s"]) == (0, 7)


def test_a_retry_counts_as_its_request_and_a_late_answer_counts_as_late() -> None:
    day = perfect(plan())
    first, second, third = day.plan.requests[:3]
    row = change_try(day, 0, status=503, box="")
    again = row._replace(
        number=1, id=first.try_id(1), status=200, box=BOX, ended_ns=START + first.due_ns + 260 * MS
    )
    day.tries = [*day.tries, again]
    change_try(day, 1, ended_ns=START + second.due_ns + 265 * MS)
    change_try(day, 2, result="late", ended_ns=START + third.due_ns + 700 * MS)
    kinds = {o.request.number: (o.kind, o.tries) for o in outcomes(day)}
    assert [kinds[i] for i in range(3)] == [("served", 2), ("late", 1), ("late", 1)]


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"status": 503, "box": ""}, "refused"),
        ({"status": 429, "box": ""}, "refused"),
        ({"status": 403, "box": ""}, "denied"),
        ({"status": 502, "box": ""}, "failed"),
        ({"result": "walked off"}, "left"),
        ({"result": "silent"}, "lost"),
        ({"result": "late", "status": 503, "box": ""}, "refused"),
        ({"result": "unconnected", "sent_ns": 0}, "lost"),
    ],
)
def test_the_kind_of_an_outcome(changes: dict[str, Any], kind: str) -> None:
    day = perfect(plan())
    change_try(day, 0, **changes)
    assert outcomes(day)[0].kind == kind


RULE_ONE = [
    ({"result": "silent"}, "no whole answer before"),
    ({"result": "broken"}, "ended with no whole answer"),
    ({"result": "garbage"}, "no answer"),
    ({"box": ""}, "no box made"),
    ({"box": "box-002-0"}, "box-002-0 never gave"),
    ({"result": "extra"}, "bytes behind"),
]


@pytest.mark.parametrize(("changes", "message"), RULE_ONE)
def test_breaches_of_rule_one(changes: dict[str, Any], message: str) -> None:
    day = perfect(plan())
    row = change_try(day, 7, **changes)
    (found,) = breaches(day)
    assert (found.rule, found.request) == (1, row.id) and message in found.what


@pytest.mark.parametrize("result", ["walked off", "crossed", "unconnected", "late"])
def test_results_that_break_no_rule(result: str) -> None:
    day = perfect(plan())
    change_try(day, 7, result=result)
    assert breaches(day) == []


@pytest.mark.parametrize(
    ("end", "down_ms", "is_breach"),
    [("kill", 50, False), ("term", 50, True), ("kill", -200, True), ("kill", 400, True)],
)
def test_only_a_kill_by_the_kit_excuses_a_lost_try_and_only_one_open_at_that_time(
    end: str, down_ms: int, is_breach: bool
) -> None:
    day = perfect(plan())
    row = change_try(day, 7, result="broken")
    day.process_runs = [ProcessRun(0, 0, row.sent_ns + down_ms * MS, end, -9)]
    assert bool(breaches(day)) is is_breach


def add_attempt(day: Day, index: int, **changes: Any) -> None:
    day.attempts = [*day.attempts, day.attempts[index]._replace(box="box-001-0", **changes)]


def test_rule_two_forbids_concurrent_attempts() -> None:
    day = perfect(plan())
    one = day.attempts[5]
    add_attempt(day, 5, last_ns=one.closed_ns + MS)
    assert breaches(day) == []  # the two attempts do not overlap
    add_attempt(day, 5, last_ns=one.closed_ns - 51 * MS)
    (found,) = breaches(day)
    assert (found.rule, found.request) == (2, one.id) and "while an attempt was out" in found.what


def test_rule_two_forbids_too_many_attempts_and_one_after_the_answer() -> None:
    day = perfect(plan(limits={"max_attempts": 2}))
    for i in range(2):
        add_attempt(
            day, 5, last_ns=day.attempts[5].closed_ns + i * MS, closed_ns=day.attempts[5].closed_ns + i * MS
        )
    assert [b.what for b in breaches(day)] == ["3 attempts, 2 are allowed"]
    day = perfect(plan())
    late_ns = day.tries[5].ended_ns + 60 * MS
    add_attempt(day, 5, first_ns=late_ns, last_ns=late_ns, closed_ns=late_ns + MS)
    assert [b.what for b in breaches(day)] == ["sent after its final answer"]


def test_rule_two_allows_an_unsafe_request_to_run_once() -> None:
    table = [{"name": "pay", "work_ms": 50.0, "effect": "unsafe"}]
    day = perfect(plan(**{"class": table}))
    at = day.attempts[5].closed_ns + MS
    add_attempt(day, 5, last_ns=at, closed_ns=at + MS, ran=False)
    assert breaches(day) == []
    add_attempt(day, 5, last_ns=at + 2 * MS, closed_ns=at + 3 * MS)
    assert [b.what for b in breaches(day)] == ["unsafe to repeat, and run 2 times"]


@pytest.mark.parametrize(("notice_ms", "broken"), [(-540, False), (-560, True)])
def test_rule_three_counts_from_the_notification(notice_ms: int, broken: bool) -> None:
    """The grace time of drains is 500 ms, and 50 ms are added to each time limit on sockets."""
    day = perfect(plan())
    one = day.attempts[50]
    earlier = {a.id for a in day.attempts[:50]} | {a.id for a in day.attempts[51:]}
    day.attempts = [a._replace(box="box-001-0") if a.id in earlier else a for a in day.attempts]
    day.tries = [t._replace(box="box-001-0") if t.id in earlier else t for t in day.tries]
    day.drain_notices = [
        DrainNotice(one.first_ns + notice_ms * MS, 0, BOX, "Terminating"),
        DrainNotice(0, 1, BOX, "Gone"),
    ]
    found = breaches(day)
    assert [(b.rule, b.request, b.balancer) for b in found] == ([(3, one.id, 0)] if broken else [])


def test_rule_three_counts_from_six_seconds_without_a_notification() -> None:
    day = perfect(
        plan(fault=[{"kind": "drain", "at_s": 1.0, "part": 1.0}], discovery={"notice_s": [0.0, 0.0]})
    )
    known = min(n.at_ns for n in day.plan.notifications if n.place == 0) + 6 * SECOND + 550 * MS
    assert {b.rule for b in breaches(day)} == {3}
    sent = {a.id for a in day.attempts if a.first_ns > START + known}
    assert {b.request for b in breaches(day)} == sent != set()


def test_a_cold_overload_breaks_rule_four_and_a_crash_is_reported() -> None:
    day = perfect(plan())
    day.cold_overloads = [(START + SECOND, "box-002-1", "r1")]
    day.process_runs = [
        ProcessRun(1, 0, START + 2 * SECOND, "crash", 3),
        ProcessRun(0, 0, START + 3 * SECOND, "finish", 0),
    ]
    assert [(b.rule, b.request, b.balancer, b.at_s) for b in breaches(day)] == [
        (0, "", 1, 2.0),
        (4, "r1", -1, 1.0),
    ]
    report = make_report(day)
    message = "\n".join(summary(report))
    assert "RULE BROKEN 1 times: no cold box is pushed over" in message and "request r1" in message


def test_a_run_with_a_late_kit_is_void_and_has_no_figure() -> None:
    day = perfect(plan())
    day.lateness = {"load-0": {"p99_ms": 1.0, "max_ms": 70.0}}
    day.due_late_ms = {"p50": 0.1, "p99": 6.0, "max": 9.0}
    day.connect_shortages, day.lost_workers = 2, ["boxes-0"]
    why = void_reasons(day)
    assert len(why) == 4 and "load-0 was late" in why[1] and "descriptors" in why[3]
    report = make_report(day)
    assert report["verdict"]["worth"] is None and "no measurement" in render_html(report)
    lines = list(summary(report))
    assert lines[0].startswith("VOID") and not any("worth" in line for line in lines)


def test_the_cpu_time_of_a_restarted_balancer_counts_from_zero() -> None:
    day = perfect(plan())
    day.resource_samples = [
        ResourceSample(i, 0, cpu, 20.0 + i, 9) for i, cpu in enumerate([1.0, 3.0, 0.5, 1.5])
    ]
    found = verdict(day)["balancers"]
    assert found["cpu_s"] == {"0": 3.5} and found["memory_mb_max"] == 23


def test_a_comparison_of_reports_shows_the_noise() -> None:
    reports = []
    for lost_count in (0, 10, 40, 50):
        day = perfect(plan())
        for i in range(lost_count):
            change_try(day, i, status=503, box="")
        reports.append(make_report(day))
    rows = {row["name"]: row for row in compare(reports[:2], reports[2:])}
    assert (rows["refused"]["a"], rows["refused"]["b"], rows["refused"]["change"]) == (5, 45, 40)
    assert rows["refused"]["noise"] == pytest.approx(2 * (50 / 2 + 50 / 2) ** 0.5)
    assert {row["noise"] for row in compare(reports[:1], reports[1:2])} == {None}
    other = replace(perfect(plan(seed=2)))
    assert list(differences(reports[0]["scenario"], make_report(other)["scenario"])) == ["seed: 1 and 2"]


# ---- suspensions -----------------------------------------------------------------------------------------


def test_a_suspended_tenant_that_is_still_served_breaks_rule_five() -> None:
    day = perfect(plan())
    name = day.plan.requests[0].tenant
    day.standing_changes = [StandingChange(START + 2 * SECOND, name, "suspended")]
    late_ns = max(
        a.first_ns for a in day.attempts if a.id in {r.id for r in day.plan.requests if r.tenant == name}
    )
    (found,) = suspensions(day)
    assert found.last_sent_ns == late_ns and found.took_s == pytest.approx((late_ns - START) / SECOND - 2)
    (breach,) = breaches(day)
    assert breach.rule == 5 and name in breach.what
    assert verdict(day)["suspensions"]["max_s"] == pytest.approx(found.took_s, abs=0.001)


def test_a_suspension_counts_until_it_is_lifted() -> None:
    day = perfect(plan())
    name = day.plan.requests[0].tenant
    day.standing_changes = [
        StandingChange(START + 2 * SECOND, name, "suspended"),
        StandingChange(START + 3 * SECOND, name, "active"),
    ]
    assert breaches(day) == [] and suspensions(day)[0].took_s <= 1.0
    other = next(t.name for t in day.plan.scenario.tenants if t.name != name)
    day.standing_changes = [StandingChange(START + 2 * SECOND, other, "suspended")]
    asked = [a for a in day.plan.requests if a.tenant == other]
    if not any(a.due_ns > 2 * SECOND for a in asked):
        assert breaches(day) == []


def test_requests_of_a_suspended_tenant_have_no_worth() -> None:
    day = perfect(plan())
    name = day.plan.requests[0].tenant
    for index, request in enumerate(day.plan.requests):
        if request.tenant == name and request.due_ns > 2 * SECOND:
            change_try(day, index, status=403, box="")
    day.attempts = [a for a in day.attempts if a.id in {r.id for r in day.plan.requests if r.tenant != name}]
    assert verdict(day)["worth"]["figure"] < 0.99
    day.standing_changes = [StandingChange(START + 2 * SECOND, name, "suspended")]
    found = verdict(day)
    assert found["worth"]["figure"] == pytest.approx(1) and found["requests"]["denied"] > 0
    letters = make_report(day)["outcomes"]
    assert letters.count("d") == found["requests"]["denied"] and len(letters) == len(day.plan.requests)
