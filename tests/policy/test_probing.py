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
from tests.policy.book import (
    MS,
    Desk,
    arrival,
    of,
    settings,
)


def probing_desk(servers: int = 6) -> Desk:
    """Return a desk whose balancer sends load probes."""
    limits = Limits(max_attempts=3, load_probes=True, may_cancel=True)
    return Desk(settings(limits=limits, load_report_fields=("inflight", "queue")), servers=servers)


def probed_by(actions: list[Action]) -> list[int]:
    """Return the upstreams that actions probe."""
    return [a.upstream for a in of(ProbeLoad, actions)]


def reports(upstreams: list[int], inflight: float) -> list[Event]:
    """Return load reports of these upstreams."""
    return [LoadProbeFinished(u, AttemptResult.OK, MS, {"inflight": inflight}) for u in upstreams]


def test_probes_the_drawn_upstreams_and_forwards_to_the_least_loaded() -> None:
    """With many proxies own counts say little: the upstreams' own word decides."""
    desk = probing_desk()
    asked = [a.upstream for a in desk.give(arrival(1, desk.now)) if isinstance(a, ProbeLoad)]
    assert asked and "r1" not in desk.sends
    desk.now += MS
    desk.give(
        *(LoadProbeFinished(u, AttemptResult.OK, MS, {"inflight": float(i)}) for i, u in enumerate(asked))
    )
    assert desk.sends["r1"][0][0].id == asked[0]


def test_does_not_wait_for_a_lost_report() -> None:
    """No load report comes: the request is forwarded without."""
    desk = probing_desk()
    desk.give(arrival(1, desk.now))
    desk.advance(20 * MS)
    assert len(desk.sends["r1"]) == 1


def test_rejects_when_all_probed_upstreams_would_answer_late() -> None:
    """All upstreams, also those of the second round, report far too much work: the request is rejected."""
    desk = probing_desk()
    asked = probed_by(desk.give(arrival(1, desk.now)))
    desk.now += MS
    others = probed_by(desk.give(*reports(asked, 500.0)))
    desk.give(*reports(others, 500.0))
    assert desk.answer["r1"] == "refused"


def test_probes_others_before_it_waits_behind_work() -> None:
    """Four of five busy upstreams say nothing of the fifth: a third of all requests met with that."""
    desk = probing_desk(servers=8)
    first = probed_by(desk.give(arrival(1, desk.now)))
    desk.now += MS
    others = probed_by(desk.give(*reports(first, 1.0)))
    assert others and not set(others) & set(first) and "r1" not in desk.sends
    desk.now += MS
    assert not probed_by(desk.give(*reports(others[1:], 1.0), *reports(others[:1], 0.0)))
    assert desk.sends["r1"][0][0].id == others[0]


def test_probes_others_once_and_then_takes_the_least_loaded_of_all() -> None:
    """Both rounds of probes report work: there is no third, and the least loaded of all is chosen."""
    desk = probing_desk(servers=8)
    first = probed_by(desk.give(arrival(1, desk.now)))
    desk.now += MS
    others = probed_by(desk.give(*reports(first[1:], 2.0), *reports(first[:1], 1.0)))
    desk.now += MS
    assert not probed_by(desk.give(*reports(others, 2.0)))
    assert desk.sends["r1"][0][0].id == first[0]


def test_a_second_round_of_probes_that_is_lost_holds_nothing_up() -> None:
    """The first probes report work, and the second round is never answered: the request is forwarded."""
    desk = probing_desk(servers=8)
    first = probed_by(desk.give(arrival(1, desk.now)))
    desk.now += MS
    assert probed_by(desk.give(*reports(first, 1.0)))
    desk.advance(20 * MS)
    assert len(desk.sends["r1"]) == 1


@pytest.mark.parametrize(("servers", "inflight"), [(8, 0.0), (3, 1.0)])
def test_no_second_round_where_one_is_idle_or_all_were_probed(servers: int, inflight: float) -> None:
    """A second round of probes can find nothing better: it costs a delay, so there is none."""
    desk = probing_desk(servers=servers)
    desk.balancer.rng.seed(3)
    for number in range(6):  # until one has asked all there are
        first = probed_by(desk.give(arrival(number, desk.now)))
        desk.now += MS
        others = probed_by(desk.give(*reports(first, inflight)))
        if servers == 8 or len(set(first)) == servers:
            assert not others
        desk.give(*reports(others, inflight))
        desk.finish(f"r{number}")


def test_an_idle_upstream_is_never_too_slow_to_try() -> None:
    """Guards against refusing on a quiet day because one heavy request made an upstream look slow."""
    desk = probing_desk(servers=1)
    desk.balancer.registry.upstreams[1].service_time_factor = 9.0
    desk.give(arrival(1, desk.now, wait_ns=100 * MS))
    desk.give(LoadProbeFinished(1, AttemptResult.OK, MS, {"inflight": 0.0}))
    assert len(desk.sends["r1"]) == 1


def test_expensive_or_blind_probes_are_not_used() -> None:
    """Probes cost too much, or do not report requests in flight: none is sent."""
    limits = Limits(max_attempts=3, load_probes=True)
    dear = settings(limits=limits, load_report_fields=("inflight",), prices=Prices(probe=0.05))
    for config in (dear, settings(limits=limits, load_report_fields=("util",))):
        desk = Desk(config)
        desk.give(arrival(1, desk.now))
        assert "r1" in desk.sends and not of(ProbeLoad, desk.log)


def probing_with_retry_after(servers: int = 6) -> Desk:
    """A desk where upstreams are asked for their load before each send."""
    limits = Limits(max_attempts=3, load_probes=True, may_cancel=True, retry_after=True)
    return Desk(settings(limits=limits, load_report_fields=("inflight",)), servers=servers)


def test_one_probe_is_in_flight_at_each_upstream_and_serves_all_requests() -> None:
    """Each request asked for itself: in half a second 160 connections were open, and none to spare."""
    desk = probing_with_retry_after(3)
    actions = desk.give(*(arrival(i, desk.now) for i in range(20)))
    asked = [a.upstream for a in actions if isinstance(a, ProbeLoad)]
    assert len(asked) == len(set(asked)) <= 3 and not desk.sends
    desk.now += MS
    desk.give(*(LoadProbeFinished(u, AttemptResult.OK, MS, {"inflight": 0.0}) for u in asked))
    assert len(desk.sends) > 1 and not desk.answer
    # Who does not answer is not asked again meanwhile, nor waited for; once it has, it is.
    desk = probing_with_retry_after(1)
    assert len(of(ProbeLoad, desk.give(arrival(1, desk.now)))) == 1
    desk.advance(20 * MS)
    assert "r1" in desk.sends
    assert not of(ProbeLoad, desk.give(arrival(2, desk.now))) and "r2" in desk.sends
    desk.give(LoadProbeFinished(1, AttemptResult.TIMEOUT, 20 * MS))
    assert len(of(ProbeLoad, desk.give(arrival(3, desk.now)))) == 1


def test_attempts_made_while_a_probe_is_in_flight_count_on_top_of_its_report() -> None:
    """A report may not count what was forwarded since its probe: both are queued work."""
    desk = probing_with_retry_after(1)
    desk.give(arrival(1, desk.now))
    desk.advance(20 * MS)  # not waited for any longer
    desk.give(arrival(2, desk.now))
    desk.give(LoadProbeFinished(1, AttemptResult.OK, 20 * MS, {"inflight": 3.0}))
    concurrency, server = desk.balancer.state.concurrency, desk.balancer.registry.upstreams[1]
    service_times = desk.balancer.state.service_times
    own = sum(
        service_times.estimate_ns(r.request_class, r.cost_hint_ns) * server.service_time_factor
        for r in desk.balancer.requests.values()
    )
    assert server.queued_work_ns(desk.now, 0) == pytest.approx(
        3 * concurrency.mean_service_time_ns * server.service_time_factor + own
    )


def test_waiting_for_a_load_report_does_not_saturate_the_pool() -> None:
    """Requests of tenants over their share were refused as soon as one other waited for an answer."""
    desk = probing_with_retry_after()
    desk.balancer.state.rate.goodput_per_s = 1.0
    for t in desk.balancer.state.tenants.banks.values():
        t.over_share = True
    desk.give(*(arrival(i, desk.now) for i in range(5)))
    assert not desk.answer
