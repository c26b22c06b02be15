"""Load probes before an attempt."""

from __future__ import annotations

import pytest

from lanelift.policy.actions import Action, ProbeLoad
from lanelift.policy.events import (
    AttemptResult,
    Event,
    LoadProbeFinished,
)
from lanelift.policy.settings import Limits, Prices
from tests.policy.checked_balancer import (
    MS,
    CheckedBalancer,
    actions_of_type,
    arrival,
    settings,
)


def probing_balancer(upstream_count: int = 6) -> CheckedBalancer:
    """Return a balancer that sends load probes."""
    limits = Limits(max_attempts=3, load_probes=True, may_cancel=True)
    return CheckedBalancer(
        settings(limits=limits, load_report_fields=("inflight", "queue")), upstream_count=upstream_count
    )


def probed_by(actions: list[Action]) -> list[int]:
    """Return the upstreams that actions probe."""
    return [a.upstream for a in actions_of_type(ProbeLoad, actions)]


def reports(upstreams: list[int], in_flight: float) -> list[Event]:
    """Return load reports of these upstreams."""
    return [LoadProbeFinished(u, AttemptResult.OK, MS, {"inflight": in_flight}) for u in upstreams]


def test_a_few_upstreams_are_probed_and_the_least_loaded_is_chosen() -> None:
    """With many replicas, a replica's own counts say little: the load reports of upstreams decide."""
    checked = probing_balancer()
    probed = [a.upstream for a in checked.handle(arrival(1, checked.now)) if isinstance(a, ProbeLoad)]
    assert probed and "r1" not in checked.attempts
    checked.now += MS
    checked.handle(
        *(LoadProbeFinished(u, AttemptResult.OK, MS, {"inflight": float(i)}) for i, u in enumerate(probed))
    )
    assert checked.attempts["r1"][0][0].id == probed[0]


def test_a_request_does_not_wait_long_for_a_lost_report() -> None:
    """No load report is received: the request is forwarded without one."""
    checked = probing_balancer()
    checked.handle(arrival(1, checked.now))
    checked.advance(20 * MS)
    assert len(checked.attempts["r1"]) == 1


def test_a_request_is_rejected_if_all_probed_upstreams_would_answer_late() -> None:
    """All upstreams, including those of the second round, report far too much work: the request is
    rejected.
    """
    checked = probing_balancer()
    probed = probed_by(checked.handle(arrival(1, checked.now)))
    checked.now += MS
    others = probed_by(checked.handle(*reports(probed, 500.0)))
    checked.handle(*reports(others, 500.0))
    assert checked.answer["r1"] == "rejected"


def test_other_upstreams_are_probed_before_a_request_waits_behind_work() -> None:
    """The reports of four busy upstreams say nothing about a fifth upstream.

    One request in three waited behind other work while one of five upstreams was idle.
    """
    checked = probing_balancer(upstream_count=8)
    first = probed_by(checked.handle(arrival(1, checked.now)))
    checked.now += MS
    others = probed_by(checked.handle(*reports(first, 1.0)))
    assert others and not set(others) & set(first) and "r1" not in checked.attempts
    checked.now += MS
    assert not probed_by(checked.handle(*reports(others[1:], 1.0), *reports(others[:1], 0.0)))
    assert checked.attempts["r1"][0][0].id == others[0]


def test_other_upstreams_are_probed_once_and_then_the_least_loaded_of_all_is_chosen() -> None:
    """Both rounds of probes report work: there is no third round, and the least loaded is chosen."""
    checked = probing_balancer(upstream_count=8)
    first = probed_by(checked.handle(arrival(1, checked.now)))
    checked.now += MS
    others = probed_by(checked.handle(*reports(first[1:], 2.0), *reports(first[:1], 1.0)))
    checked.now += MS
    assert not probed_by(checked.handle(*reports(others, 2.0)))
    assert checked.attempts["r1"][0][0].id == first[0]


def test_a_lost_second_round_of_probes_does_not_stop_a_request() -> None:
    """The first probes report work, and the second round is never answered: the request is forwarded."""
    checked = probing_balancer(upstream_count=8)
    first = probed_by(checked.handle(arrival(1, checked.now)))
    checked.now += MS
    assert probed_by(checked.handle(*reports(first, 1.0)))
    checked.advance(20 * MS)
    assert len(checked.attempts["r1"]) == 1


@pytest.mark.parametrize(("upstream_count", "in_flight"), [(8, 0.0), (3, 1.0)])
def test_there_is_no_second_round_of_probes_if_an_upstream_is_idle_or_all_were_probed(
    upstream_count: int, in_flight: float
) -> None:
    """A second round of probes would find no better upstream and cost time, so there is no second round."""
    checked = probing_balancer(upstream_count=upstream_count)
    checked.balancer.rng.seed(3)
    for number in range(6):  # until the probes of one request reach all upstreams
        first = probed_by(checked.handle(arrival(number, checked.now)))
        checked.now += MS
        others = probed_by(checked.handle(*reports(first, in_flight)))
        if upstream_count == 8 or len(set(first)) == upstream_count:
            assert not others
        checked.handle(*reports(others, in_flight))
        checked.finish(f"r{number}")


def test_an_idle_upstream_is_never_too_slow_to_try() -> None:
    """One heavy request made an upstream look slow, and under low load all later requests were rejected."""
    checked = probing_balancer(upstream_count=1)
    checked.balancer.registry.upstreams[1].service_time_factor = 9.0
    checked.handle(arrival(1, checked.now, wait_ns=100 * MS))
    checked.handle(LoadProbeFinished(1, AttemptResult.OK, MS, {"inflight": 0.0}))
    assert len(checked.attempts["r1"]) == 1


def test_expensive_or_uninformative_probes_are_not_used() -> None:
    """Probes cost too much, or load reports lack the requests in flight: no probe is sent."""
    limits = Limits(max_attempts=3, load_probes=True)
    expensive = settings(limits=limits, load_report_fields=("inflight",), prices=Prices(probe=0.05))
    for config in (expensive, settings(limits=limits, load_report_fields=("util",))):
        checked = CheckedBalancer(config)
        checked.handle(arrival(1, checked.now))
        assert "r1" in checked.attempts and not actions_of_type(ProbeLoad, checked.log)


def probing_with_retry_after(upstream_count: int = 6) -> CheckedBalancer:
    """Return a balancer that sends load probes, and Retry-After."""
    limits = Limits(max_attempts=3, load_probes=True, may_cancel=True, retry_after=True)
    return CheckedBalancer(
        settings(limits=limits, load_report_fields=("inflight",)), upstream_count=upstream_count
    )


def test_one_probe_is_in_flight_at_each_upstream_and_serves_all_requests() -> None:
    """Probes were sent for each request: in half a second 160 connections were open, and none was free."""
    checked = probing_with_retry_after(3)
    actions = checked.handle(*(arrival(i, checked.now) for i in range(20)))
    probed = [a.upstream for a in actions if isinstance(a, ProbeLoad)]
    assert len(probed) == len(set(probed)) <= 3 and not checked.attempts
    checked.now += MS
    checked.handle(*(LoadProbeFinished(u, AttemptResult.OK, MS, {"inflight": 0.0}) for u in probed))
    assert len(checked.attempts) > 1 and not checked.answer
    # An upstream does not answer its probe: requests are sent without waiting for the probe's end, and the
    # upstream is not probed again before the probe has ended.
    checked = probing_with_retry_after(1)
    assert len(actions_of_type(ProbeLoad, checked.handle(arrival(1, checked.now)))) == 1
    checked.advance(20 * MS)
    assert "r1" in checked.attempts
    assert (
        not actions_of_type(ProbeLoad, checked.handle(arrival(2, checked.now))) and "r2" in checked.attempts
    )
    checked.handle(LoadProbeFinished(1, AttemptResult.TIMEOUT, 20 * MS))
    assert len(actions_of_type(ProbeLoad, checked.handle(arrival(3, checked.now)))) == 1


def test_attempts_made_while_a_probe_is_in_flight_count_on_top_of_its_report() -> None:
    """Requests forwarded since a probe may be missing from its report, so their work is added to it."""
    checked = probing_with_retry_after(1)
    checked.handle(arrival(1, checked.now))
    checked.advance(20 * MS)  # the request no longer waits for the report
    checked.handle(arrival(2, checked.now))
    checked.handle(LoadProbeFinished(1, AttemptResult.OK, 20 * MS, {"inflight": 3.0}))
    concurrency, upstream = checked.balancer.state.concurrency, checked.balancer.registry.upstreams[1]
    service_times = checked.balancer.state.service_times
    own = sum(
        service_times.estimate_ns(r.request_class, r.cost_hint_ns) * upstream.service_time_factor
        for r in checked.balancer.requests.values()
    )
    assert upstream.queued_work_ns(checked.now, 0) == pytest.approx(
        3 * concurrency.mean_service_time_ns * upstream.service_time_factor + own
    )


def test_waiting_for_a_load_report_does_not_saturate_the_pool() -> None:
    """Requests of tenants over their share were rejected as soon as one other request waited for a load
    report.
    """
    checked = probing_with_retry_after()
    checked.balancer.state.rate.goodput_per_s = 1.0
    for t in checked.balancer.state.tenants.banks.values():
        t.over_share = True
    checked.handle(*(arrival(i, checked.now) for i in range(5)))
    assert not checked.answer
