"""The concurrency window and the mean service time."""

from __future__ import annotations

import pytest

from tests.policy.checked_balancer import (
    MS,
    SECOND,
    START,
    CheckedBalancer,
    arrival,
    settings,
)


def test_the_window_does_not_grow_unbounded_before_the_first_responses() -> None:
    """Incident i4eb9e9: requests queued at the start, and the window was widened again and again before the
    requests that it let through had ended.
    """
    checked = CheckedBalancer(settings(replica_count=20))
    for i in range(300):
        checked.handle(arrival(i, checked.now))
        checked.now += MS // 10
    assert len(checked.attempts_in_flight()) <= 3


def test_all_replicas_together_start_with_a_few_requests_for_each_upstream() -> None:
    """Incident i9559ec: two requests from each of 279 replicas overloaded 42 upstreams in their first
    seconds.
    """
    for replicas in (1, 10, 100, 400):
        checked = CheckedBalancer(settings(replica_count=replicas), upstream_count=40)
        checked.handle(*(arrival(i, checked.now) for i in range(400)))
        assert len(checked.attempts_in_flight()) * replicas / 40 <= 8 + replicas / 40


def serve_requests(checked: CheckedBalancer, took_ns: int, count: int = 40) -> None:
    """Let `count` requests arrive one after another, each served in `took_ns`."""
    for i in range(count):
        ident = f"{checked.now}-{i}"
        checked.handle(arrival(ident, checked.now))
        checked.advance(took_ns)
        if f"r{ident}" in checked.attempts and (f"r{ident}", 0) in checked.attempts_in_flight():
            checked.finish(f"r{ident}", number=0)


def test_slow_responses_narrow_the_window_and_quick_ones_widen_it_again() -> None:
    """Responses first take nearly all of their latency objective, then a small part of the objective."""
    checked = CheckedBalancer(settings(replica_count=10))
    start = checked.balancer.state.concurrency.window
    serve_requests(checked, 280 * MS)
    narrow = checked.balancer.state.concurrency.window
    serve_requests(checked, 20 * MS, 200)
    assert narrow < start and narrow < checked.balancer.state.concurrency.window


def test_the_first_responses_count_more() -> None:
    """Incident i530c5f: at two requests per second, the mean service time was known only after many
    seconds.
    """
    checked = CheckedBalancer()
    for i in range(3):
        checked.handle(arrival(i, checked.now))
        checked.now += 100 * MS
        checked.finish(f"r{i}")
    assert abs(checked.balancer.state.concurrency.mean_service_time_ns - 100 * MS) < 10 * MS


@pytest.mark.parametrize("answers", [4, 400])
def test_congestion_does_not_become_the_baseline_at_any_response_rate(answers: int) -> None:
    """For seconds, few or many responses take most of their objective: such latency must not become the
    baseline.
    """
    concurrency = CheckedBalancer().balancer.state.concurrency
    for second, latency_ratio in enumerate([0.15] * 10 + [0.7] * 5):
        for i in range(answers):
            concurrency.observe(latency_ratio, False, 6, START + second * SECOND + i * SECOND // answers)
    assert concurrency.is_congested() and concurrency.congestion_threshold < 0.55
    assert abs(concurrency.latency_ratio - 0.7) < 0.25
