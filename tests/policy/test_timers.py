"""Scheduled calls, and the timer that the caller runs for them."""

from __future__ import annotations

from tests.policy.checked_balancer import (
    MS,
    SECOND,
    CheckedBalancer,
    arrival,
)


def test_a_request_with_a_short_deadline_is_answered_though_a_timer_fires_early() -> None:
    """A timer that fired a little early was taken for an old one: no timer was set again, and requests got no
    answer.
    """
    checked = CheckedBalancer(upstream_count=1)
    checked.handle(arrival(1, checked.now))
    for i in range(2, 40):
        checked.handle(arrival(i, checked.now, wait_ns=3 * MS))
        early = [t for t in checked.timers]
        checked.timers = [(at - 300, name) for at, name in early]
        checked.advance(30 * MS, step_ns=MS)
    checked.advance(SECOND)
    assert len(checked.answer) == 39


def test_a_far_too_large_cost_hint_leaves_no_timer_behind() -> None:
    """A client hints that its request takes years: no timer that would wait for so long is left behind."""
    checked = CheckedBalancer()
    for i in range(50):
        checked.handle(arrival(i, checked.now)._replace(cost_hint_ns=10**21))
        checked.finish(f"r{i}")
    checked.advance(30 * SECOND, SECOND // 10)
    assert len(checked.balancer.timers.calls) < 5 and not checked.balancer.requests
