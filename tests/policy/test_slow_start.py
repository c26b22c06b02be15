"""Slow start (rule 4): attempts at an upstream that is warming up are paced, over all replicas."""

from __future__ import annotations

from lanelift.policy.events import (
    EndpointUpdate,
    EndpointUpdateKind,
)
from tests.policy.checked_balancer import (
    MS,
    SECOND,
    START,
    CheckedBalancer,
    arrival,
    check_slow_start_budget,
    settings,
    upstreams,
)


def test_an_upstream_that_warms_up_gets_one_request_at_a_time() -> None:
    """All upstreams have just started: none holds more than one request."""
    checked = CheckedBalancer(upstream_count=0)
    checked.handle(EndpointUpdate(EndpointUpdateKind.CACHED, upstreams(4, started_ns=START - MS)))
    for i in range(40):
        checked.handle(arrival(i, checked.now))
        checked.advance(5 * MS)
        held: dict[int, int] = {}
        for request, number in checked.attempts_in_flight():
            upstream = checked.attempts[request][number][0].id
            held[upstream] = held.get(upstream, 0) + 1
        assert max(held.values(), default=0) <= 1


def test_replicas_share_the_budget_of_upstreams_that_warm_up() -> None:
    """Forty replicas that each send a started upstream a few attempts would together overload it."""
    sent = []
    for replicas in (1, 40):
        checked = CheckedBalancer(settings(replica_count=replicas), upstream_count=0)
        checked.handle(EndpointUpdate(EndpointUpdateKind.CACHED, upstreams(6, started_ns=START - MS)))
        for i in range(100):
            checked.handle(arrival(i, checked.now))
            checked.advance(5 * MS)
            for request, number in checked.attempts_in_flight():
                checked.finish(request, number=number)
        sent.append(sum(map(len, checked.attempts.values())))
    assert sent[1] < sent[0] / 2


def test_replicas_notified_together_do_not_overload_a_started_upstream() -> None:
    """Incident i604f4b: each replica kept the pacing interval, but all of them sent their first request as
    soon as they were notified.
    """
    checked_balancers = [
        CheckedBalancer(settings(replica=replica, replica_count=40), seed=replica, upstream_count=4)
        for replica in range(40)
    ]
    for checked in checked_balancers:
        for i in range(40):  # the replica first observes what a warm upstream sustains: 50 ms per request
            checked.handle(arrival(f"w{i}", checked.now))
            checked.advance(50 * MS)
            for request, number in checked.attempts_in_flight():
                checked.finish(request, number=number)
    started = checked_balancers[0].now
    for checked in checked_balancers:
        checked.handle(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(4) + upstreams(1, 9, started)))
    waits = {
        checked.balancer.registry.upstreams[9].ejected_until_ns - started for checked in checked_balancers
    }
    assert len(waits) == len(checked_balancers) and max(waits) > 100 * MS
    for i in range(80):
        for checked in checked_balancers:
            checked.handle(*(arrival(f"c{i}-{j}", checked.now) for j in range(2)))
            checked.advance(50 * MS)
            for request, number in checked.attempts_in_flight():
                checked.finish(request, number=number)
    sends = sorted(
        t for checked in checked_balancers for sent in checked.attempts.values() for u, t in sent if u.id == 9
    )
    assert sum(t < started + 3 * SECOND for t in sends) > 5
    check_slow_start_budget(sends, started, checked_balancers[0].config.rules, 40 * 20 / 4)


def test_a_start_in_the_future_does_not_break_the_pacing() -> None:
    """Clocks differ: an upstream that is listed with a start in the future still gets attempts."""
    checked = CheckedBalancer(upstream_count=0)
    checked.handle(
        EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(1, started_ns=checked.now + 1000 * SECOND))
    )
    checked.advance(10 * SECOND, SECOND // 10)
    checked.handle(arrival(1, checked.now))
    assert "r1" in checked.attempts
