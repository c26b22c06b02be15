"""Calls that are due later, and the timer that the caller keeps for them."""

from __future__ import annotations

from tests.policy.book import (
    MS,
    SECOND,
    Desk,
    arrival,
)


def test_a_short_deadline_is_answered_though_a_timer_fires_early() -> None:
    """Guards against a wake that comes a little early being taken for an old one: no timer was ever set
    again.
    """
    desk = Desk(servers=1)
    desk.give(arrival(1, desk.now))
    for i in range(2, 40):
        desk.give(arrival(i, desk.now, wait_ns=3 * MS))
        early = [t for t in desk.timers]
        desk.timers = [(at - 300, name) for at, name in early]
        desk.advance(30 * MS, step_ns=MS)
    desk.advance(SECOND)
    assert len(desk.answer) == 39


def test_a_wild_cost_hint_leaves_no_timer_behind() -> None:
    """A client expects its request to take years: no timer is left for that long."""
    desk = Desk()
    for i in range(50):
        desk.give(arrival(i, desk.now)._replace(cost_hint_ns=10**21))
        desk.finish(f"r{i}")
    desk.advance(30 * SECOND, SECOND // 10)
    assert len(desk.balancer.timers.calls) < 5 and not desk.balancer.requests
