"""Slow start (rule 4): attempts at an upstream that is warming up are paced, over all replicas."""

from __future__ import annotations

from lanelift.policy.events import (
    EndpointUpdate,
    EndpointUpdateKind,
)
from tests.policy.book import (
    MS,
    SECOND,
    START,
    Desk,
    arrival,
    check_cold_budget,
    settings,
    upstreams,
)


def test_an_upstream_that_warms_up_gets_one_request_at_a_time() -> None:
    """All upstreams have just started: none holds more than one request."""
    desk = Desk(servers=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.CACHED, upstreams(4, started_ns=START - MS)))
    for i in range(40):
        desk.give(arrival(i, desk.now))
        desk.advance(5 * MS)
        held: dict[int, int] = {}
        for request, number in desk.out():
            upstream = desk.sends[request][number][0].id
            held[upstream] = held.get(upstream, 0) + 1
        assert max(held.values(), default=0) <= 1


def test_upstreams_that_warm_up_share_a_budget_over_the_replicas() -> None:
    """Guards against forty proxies that each send a cold upstream a little, and together push it over."""
    sent = []
    for proxies in (1, 40):
        desk = Desk(settings(replica_count=proxies), servers=0)
        desk.give(EndpointUpdate(EndpointUpdateKind.CACHED, upstreams(6, started_ns=START - MS)))
        for i in range(100):
            desk.give(arrival(i, desk.now))
            desk.advance(5 * MS)
            for request, number in desk.out():
                desk.finish(request, number=number)
        sent.append(sum(map(len, desk.sends.values())))
    assert sent[1] < sent[0] / 2


def test_replicas_notified_of_a_start_together_do_not_overload_it() -> None:
    """Incident i604f4b: each kept its gap, but all sent their first request the moment they heard of it."""
    desks = [Desk(settings(replica=me, replica_count=40), seed=me, servers=4) for me in range(40)]
    for desk in desks:
        for i in range(40):  # what a warm upstream bears is seen first: 50 ms a request
            desk.give(arrival(f"w{i}", desk.now))
            desk.advance(50 * MS)
            for request, number in desk.out():
                desk.finish(request, number=number)
    started = desks[0].now
    for desk in desks:
        desk.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(4) + upstreams(1, 9, started)))
    waits = {desk.balancer.registry.upstreams[9].ejected_until_ns - started for desk in desks}
    assert len(waits) == len(desks) and max(waits) > 100 * MS
    for i in range(80):
        for desk in desks:
            desk.give(*(arrival(f"c{i}-{j}", desk.now) for j in range(2)))
            desk.advance(50 * MS)
            for request, number in desk.out():
                desk.finish(request, number=number)
    sends = sorted(t for desk in desks for sent in desk.sends.values() for u, t in sent if u.id == 9)
    assert sum(t < started + 3 * SECOND for t in sends) > 5
    check_cold_budget(sends, started, desks[0].config.rules, 40 * 20 / 4)


def test_a_start_in_the_future_does_not_break_the_pacing() -> None:
    """Clocks differ: an upstream that is listed with a start in the future still gets attempts."""
    desk = Desk(servers=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(1, started_ns=desk.now + 1000 * SECOND)))
    desk.advance(10 * SECOND, SECOND // 10)
    desk.give(arrival(1, desk.now))
    assert "r1" in desk.sends
