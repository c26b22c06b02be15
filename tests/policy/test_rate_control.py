"""The rate R: what lowers it, and what raises it."""

from __future__ import annotations

import pytest

from lanelift.policy.settings import Limits
from tests.policy.book import (
    MS,
    PAY,
    SECOND,
    Desk,
    arrival,
    settings,
)


def test_lost_responses_do_not_bring_the_rate_down() -> None:
    """Bergen's lost-answer days: R went down for ever though the answers that came were quick."""
    desk = Desk(settings(replica_count=10, limits=Limits(max_attempts=1)))
    for i in range(400):
        desk.give(arrival(i, desk.now, PAY))
        desk.advance(50 * MS)
        for request, number in desk.out():
            if int(request.removeprefix("r")) % 5:
                desk.finish(request, number=number)
    assert desk.balancer.state.rate.rate_per_s > 50


def test_a_tenant_over_its_share_is_found_out() -> None:
    """One tenant floods one upstream and another asks for little: only the first is over its share."""
    desk = Desk(settings(replica_count=20), servers=1)
    for i in range(600):
        desk.give(
            *(arrival(f"{i}-{j}", desk.now, tenant="birch" if i % 10 == j == 0 else "ash") for j in range(3))
        )
        desk.advance(5 * MS)
        for request, number in desk.out():
            if desk.now - desk.sends[request][number][1] >= 50 * MS:
                desk.finish(request, number=number)
    assert (
        desk.balancer.state.tenants.banks["ash"].over_share
        and not desk.balancer.state.tenants.banks["birch"].over_share
    )


def test_the_rate_comes_back_soon_where_nothing_is_congested() -> None:
    """After a bad first half second R let through half of what came, for five seconds."""
    desk = Desk(servers=6)
    desk.balancer.state.rate.rate_per_s = 100.0
    for i in range(1500):
        desk.give(arrival(i, desk.now))
        desk.advance(2 * MS, MS)
        for request, number in desk.out():
            desk.finish(request, number=number)
    assert desk.balancer.state.rate.rate_per_s > 400


@pytest.mark.parametrize(("stress", "kept"), [(0.1, True), (0.9, False)])
def test_a_rush_that_was_rejected_lowers_the_rate_only_where_upstreams_are_slow(
    stress: float, kept: bool
) -> None:
    """A start in which nearly all were refused left R at what little was sent, for seconds."""
    desk = Desk()
    rate = desk.balancer.state.rate
    rate.on_time, rate.unplaceable = 30, 200
    rate.adjust(desk.now + SECOND // 2, stress - 0.35)
    assert (rate.rate_per_s > 5000) is kept
