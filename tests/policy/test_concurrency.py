"""The concurrency window and the mean service time."""

from __future__ import annotations

import pytest

from tests.policy.book import (
    MS,
    SECOND,
    START,
    Desk,
    arrival,
    settings,
)


def test_the_window_does_not_run_away_before_the_first_responses() -> None:
    """Incident i4eb9e9: the line waited at the start, each limit looked good before its requests were
    done.
    """
    desk = Desk(settings(replica_count=20))
    for i in range(300):
        desk.give(arrival(i, desk.now))
        desk.now += MS // 10
    assert len(desk.out()) <= 3


def test_all_replicas_together_start_with_a_few_requests_for_each_upstream() -> None:
    """Incident i9559ec: two requests a proxy, of 279 proxies, choked 42 upstreams in their first seconds."""
    for proxies in (1, 10, 100, 400):
        desk = Desk(settings(replica_count=proxies), servers=40)
        desk.give(*(arrival(i, desk.now) for i in range(400)))
        assert len(desk.out()) * proxies / 40 <= 8 + proxies / 40


def feed(desk: Desk, took_ns: int, count: int = 40) -> None:
    """So many requests, one after another, that each take this long."""
    for i in range(count):
        ident = f"{desk.now}-{i}"
        desk.give(arrival(ident, desk.now))
        desk.advance(took_ns)
        if f"r{ident}" in desk.sends and (f"r{ident}", 0) in desk.out():
            desk.finish(f"r{ident}", number=0)


def test_slow_responses_narrow_the_window_and_quick_ones_bring_it_back() -> None:
    """Responses take nearly all of their objective, then little of it."""
    desk = Desk(settings(replica_count=10))
    start = desk.balancer.state.concurrency.window
    feed(desk, 280 * MS)
    narrow = desk.balancer.state.concurrency.window
    feed(desk, 20 * MS, 200)
    assert narrow < start and narrow < desk.balancer.state.concurrency.window


def test_the_first_responses_count_more() -> None:
    """Incident i530c5f: with two requests a second, what a request takes was known only after many
    seconds.
    """
    desk = Desk()
    for i in range(3):
        desk.give(arrival(i, desk.now))
        desk.now += 100 * MS
        desk.finish(f"r{i}")
    assert abs(desk.balancer.state.concurrency.mean_service_time_ns - 100 * MS) < 10 * MS


@pytest.mark.parametrize("answers", [4, 400])
def test_congestion_does_not_pass_for_normal_however_many_responses_come(answers: int) -> None:
    """Responses take most of their objective for seconds: few or many, they must not become the baseline."""
    concurrency = Desk().balancer.state.concurrency
    for second, stress in enumerate([0.15] * 10 + [0.7] * 5):
        for i in range(answers):
            concurrency.observe(stress, False, 6, START + second * SECOND + i * SECOND // answers)
    assert concurrency.is_congested() and concurrency.congestion_threshold < 0.55
    assert abs(concurrency.latency_ratio - 0.7) < 0.25
