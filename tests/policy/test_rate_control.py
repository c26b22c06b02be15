"""The rate R: what lowers it, and what raises it."""

from __future__ import annotations

import pytest

from lanelift.policy.settings import Limits
from tests.policy.checked_balancer import (
    MS,
    PAY,
    SECOND,
    CheckedBalancer,
    arrival,
    settings,
)


def test_lost_responses_do_not_lower_the_rate() -> None:
    """One response in five is lost, and the others are quick: R used to be cut again and again."""
    checked = CheckedBalancer(settings(replica_count=10, limits=Limits(max_attempts=1)))
    for i in range(400):
        checked.handle(arrival(i, checked.now, PAY))
        checked.advance(50 * MS)
        for request, number in checked.attempts_in_flight():
            if int(request.removeprefix("r")) % 5:
                checked.finish(request, number=number)
    assert checked.balancer.state.rate.rate_per_s > 50


def test_a_tenant_over_its_share_is_detected() -> None:
    """One tenant floods one upstream and another asks for little: only the first is over its share."""
    checked = CheckedBalancer(settings(replica_count=20), upstream_count=1)
    for i in range(600):
        checked.handle(
            *(
                arrival(f"{i}-{j}", checked.now, tenant="birch" if i % 10 == j == 0 else "ash")
                for j in range(3)
            )
        )
        checked.advance(5 * MS)
        for request, number in checked.attempts_in_flight():
            if checked.now - checked.attempts[request][number][1] >= 50 * MS:
                checked.finish(request, number=number)
    assert (
        checked.balancer.state.tenants.banks["ash"].over_share
        and not checked.balancer.state.tenants.banks["birch"].over_share
    )


def test_the_rate_recovers_quickly_without_congestion() -> None:
    """After a bad first half second, R admitted only half of all requests for five seconds."""
    checked = CheckedBalancer(upstream_count=6)
    checked.balancer.state.rate.rate_per_s = 100.0
    for i in range(1500):
        checked.handle(arrival(i, checked.now))
        checked.advance(2 * MS, MS)
        for request, number in checked.attempts_in_flight():
            checked.finish(request, number=number)
    assert checked.balancer.state.rate.rate_per_s > 400


@pytest.mark.parametrize(("latency_ratio", "remains"), [(0.1, True), (0.9, False)])
def test_a_rejected_burst_lowers_the_rate_only_if_upstreams_are_slow(
    latency_ratio: float, remains: bool
) -> None:
    """In a burst at startup nearly all requests were rejected, and for seconds R stayed at the low rate of
    the few forwarded requests.
    """
    checked = CheckedBalancer()
    rate = checked.balancer.state.rate
    rate.on_time, rate.unplaceable = 30, 200
    rate.adjust(checked.now + SECOND // 2, latency_ratio - 0.35)
    assert (rate.rate_per_s > 5000) is remains
