"""The plan: the same seed gives the same day, and faults do not change the requests."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lanelift.rehearsal.plan import MS, Plan, balancer_settings, make_plan, request_id_of
from lanelift.rehearsal.scenario import Scenario, read_scenario
from lanelift.settings import read_settings
from lanelift.standins.box import SECOND


def plan(**changes: Any) -> Plan:
    base = {"name": "x", "length_s": 30.0, "load": {"rate": 200.0}, "fleet": {"boxes": 40, "balancers": 3}}
    return make_plan(Scenario.model_validate(base | changes))


DIE = {"kind": "die", "at_s": 5.0, "part": 0.25}
DEPLOY = {"kind": "deploy", "at_s": 2.0, "len_s": 20.0, "part": 0.98, "batch": 0.12}


def test_one_seed_gives_one_plan_and_another_seed_another() -> None:
    assert plan() == plan() and plan(seed=2).requests != plan().requests


def test_faults_do_not_change_the_requests() -> None:
    assert plan(fault=[DIE, DEPLOY]).requests == plan().requests
    heavy = {"kind": "heavy", "at_s": 5.0, "len_s": 10.0, "name": "rate-history", "part": 0.5, "times": 10.0}
    changed = [
        (a, b)
        for a, b in zip(plan(fault=[heavy]).requests, plan().requests, strict=True)
        if a.work_ns != b.work_ns
    ]
    assert len(changed) > 100
    for a, b in changed:
        assert a.class_name == "rate-history" and 5 * SECOND <= a.due_ns < 15 * SECOND
        assert a.work_ns == pytest.approx(10 * b.work_ns) and a[:6] == b[:6]


def test_the_load_has_the_rate_and_the_mix_of_the_scenario() -> None:
    load = plan().requests
    assert len(load) == pytest.approx(6000, rel=0.05)
    assert [r.due_ns for r in load] == sorted(r.due_ns for r in load) and load[-1].due_ns < 30 * SECOND
    assert len({r.id for r in load}) == len(load) and all(request_id_of(r.try_id(2)) == r.id for r in load)
    classes = Counter(r.class_name for r in load)
    assert classes["rate-lookup"] / len(load) == pytest.approx(0.36, abs=0.03)
    works = [r.work_ns / MS for r in load if r.class_name == "fee-quote"]
    assert sum(works) / len(works) == pytest.approx(78, rel=0.05)
    tenants = Counter(r.tenant for r in load)
    assert tenants["brooklyn-desk"] / len(load) == pytest.approx(0.2, abs=0.02)
    assert all(0.33 * 661 <= r.try_timeout_ns / MS <= 0.55 * 661 and r.max_tries == 4 for r in load)


@pytest.mark.parametrize(("shape", "first", "last"), [("steady", 1, 1), ("ramp", 0.7, 1.3)])
def test_the_load_follows_its_shape(shape: str, first: float, last: float) -> None:
    requests = plan(load={"rate": 400.0, "shape": shape, "swing": 0.4}).requests
    parts = Counter(r.due_ns // (10 * SECOND) for r in requests)
    assert parts[0] / 4000 == pytest.approx(first, rel=0.1) and parts[2] / 4000 == pytest.approx(
        last, rel=0.1
    )


def test_requests_over_the_share_of_their_tenant_are_marked() -> None:
    table = [{"name": "big", "share": 1.0, "usage": 5.0}, {"name": "small", "share": 1.0, "usage": 0.5}]
    requests = plan(tenant=table, load={"rate": 450.0, "quota_part": 0.8}).requests
    over = Counter(r.tenant for r in requests if r.over_share)
    assert over["small"] == 0
    requested = sum(r.work_ns for r in requests if r.tenant == "big") / SECOND
    within = sum(r.work_ns for r in requests if r.tenant == "big" and not r.over_share) / SECOND
    assert within == pytest.approx(0.5 * 0.8 * 40 * 30, rel=0.1) and requested > 1.3 * within


def check_timeline(day: Plan) -> None:
    """Checks that each place runs its instances in order, and that notifications follow the events."""
    happened: dict[tuple[int, int, str], int] = {}
    instances: dict[int, int] = defaultdict(int)
    alive = {p.number: True for p in day.places}
    for step in day.steps:
        instance = instances[step.place]
        if step.action == "start":
            assert not alive[step.place], f"{step}: the place already has a box"
            instances[step.place] += 1
            alive[step.place] = True
            happened[step.place, instance + 1, "Ready"] = step.at_ns
        elif step.action in ("die", "stop", "vanish"):
            assert alive[step.place], f"{step}: the place has no box"
            alive[step.place] = False
            happened[step.place, instance, "Gone"] = step.at_ns
        elif step.action == "drain":
            assert alive[step.place]
            happened[step.place, instance, "Terminating"] = step.at_ns
    notified = Counter((n.place, n.instance, n.state) for n in day.notifications)
    assert set(notified) == set(happened)
    assert set(notified.values()) <= {day.scenario.fleet.balancers}
    assert all(n.at_ns >= happened[n.place, n.instance, n.state] for n in day.notifications)


def test_a_rolling_deploy_replaces_nearly_all_boxes() -> None:
    day = plan(fault=[DEPLOY])
    check_timeline(day)
    started = [s.place for s in day.steps if s.action == "start"]
    assert len(started) == len(set(started)) == 39
    batches = Counter(s.at_ns for s in day.steps if s.action == "drain")
    assert max(batches.values()) == 5 and max(batches) < 22 * SECOND


def test_boxes_that_died_are_replaced_at_the_same_address() -> None:
    day = plan(fault=[DIE])
    check_timeline(day)
    deaths = [s for s in day.steps if s.action == "die"]
    assert len(deaths) == 10 and {s.at_ns for s in deaths} == {5 * SECOND}
    assert {s.place for s in day.steps if s.action == "start"} == {s.place for s in deaths}
    assert day.places[deaths[0].place].instance_id(1) != day.places[deaths[0].place].instance_id(0)


FAULTS = st.lists(
    st.one_of(
        st.fixed_dictionaries({"kind": st.just("die"), "at_s": st.floats(0, 29), "part": st.floats(0, 1)}),
        st.fixed_dictionaries({"kind": st.just("drain"), "at_s": st.floats(0, 29), "part": st.floats(0, 1)}),
        st.fixed_dictionaries(
            {"kind": st.just("vanish"), "at_s": st.floats(0, 29), "part": st.floats(0, 0.5)}
        ),
        st.fixed_dictionaries(
            {"kind": st.just("freeze"), "at_s": st.floats(0, 29), "len_s": st.floats(0.1, 30)}
        ),
        st.fixed_dictionaries(
            {
                "kind": st.just("deploy"),
                "at_s": st.floats(0, 29),
                "len_s": st.floats(1, 30),
                "part": st.floats(0, 1),
                "batch": st.floats(0.01, 1),
            }
        ),
    ),
    max_size=5,
)


@hypothesis_settings(max_examples=60, deadline=None)
@given(FAULTS)
def test_any_faults_give_a_consistent_timeline(faults: list[dict[str, Any]]) -> None:
    check_timeline(plan(load={"rate": 1.0}, fault=faults))


def test_the_daemon_reads_the_settings_of_the_plan() -> None:
    day = make_plan(read_scenario("month-end"))
    read = read_settings(balancer_settings(day, 3))
    assert (read.replica, read.replica_count, read.zone) == (3, 8, "st-james")
    assert read.limits.max_attempts == 5 and read.limits.load_probes and len(read.classes) == 4
    assert read.rules.drain_grace_ns == 500 * MS and read.rules.slow_start_ns == 6 * SECOND
    assert sum(t.share for t in read.tenants.values()) == pytest.approx(1)
