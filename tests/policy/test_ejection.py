"""Outlier ejection: what ejects an upstream, and what does not."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from lanelift.policy.attempts import Attempt
from lanelift.policy.events import (
    AttemptResult,
)
from tests.policy.checked_balancer import (
    MS,
    CheckedBalancer,
    arrival,
)


def test_attempts_that_stall_together_are_one_ejection() -> None:
    """An upstream pauses, and all its requests show it: one pause must not eject it for seconds."""
    checked = CheckedBalancer(upstream_count=1)
    for i in range(6):
        checked.give(arrival(i, checked.now, wait_ns=100 * MS))
    checked.advance(150 * MS)
    upstream = checked.balancer.registry.upstreams[1]
    assert upstream.consecutive_ejections <= 2


def drive(
    checked: CheckedBalancer, count: int, how: Callable[[int, int], AttemptResult], name: str = ""
) -> Counter[int]:
    """So many rounds of eight requests; `how` says by upstream and request how an attempt ends. Returns the
    attempts at each upstream."""
    seen: Counter[int] = Counter()
    for i in range(count):
        checked.give(*(arrival(f"{name}{i}-{j}", checked.now) for j in range(8)))
        while checked.out():
            checked.advance(2 * MS, MS)
            for request, number in checked.out():
                upstream = checked.sends[request][number][0].id
                seen[upstream] += 1
                checked.finish(request, how(upstream, sum(seen.values())), number)
    return seen


@pytest.mark.parametrize("faulty", [1, 6])
def test_an_upstream_that_only_fails_is_ejected_but_not_all_of_them(faulty: int) -> None:
    """An upstream that answers each request with an error at once looks the least loaded of all."""
    checked = CheckedBalancer(upstream_count=6)
    drive(checked, 300, lambda upstream, n: AttemptResult.ERROR if upstream <= faulty else AttemptResult.OK)
    ejected = [s.id for s in checked.balancer.registry.upstreams.values() if s.consecutive_ejections]
    assert ejected == ([1] if faulty == 1 else [])


def test_resets_that_all_upstreams_share_eject_none() -> None:
    """One attempt in ten broke, at any upstream: half of them were ejected for it, and the others were
    congested.
    """
    checked = CheckedBalancer(upstream_count=6)
    drive(checked, 200, lambda upstream, n: AttemptResult.RESET if n % 8 == 0 else AttemptResult.OK)
    assert not [s for s in checked.balancer.registry.upstreams.values() if s.ejected_until_ns > checked.now]
    # But where all break at one upstream, it has failed.
    drive(
        checked, 200, lambda upstream, n: AttemptResult.RESET if upstream == 1 else AttemptResult.OK, "more"
    )
    assert checked.balancer.registry.upstreams[1].ejected_until_ns > checked.now


def test_attempts_in_flight_at_an_ejection_are_one_failure_and_the_next_is_another() -> None:
    """Attempts sent before an ejection fail one after another, each after the ejection ended: they
    count once.
    """
    checked = CheckedBalancer(upstream_count=1)
    registry = checked.balancer.registry
    (upstream,) = registry.upstreams.values()
    sent = checked.now
    for late_ms in (100, 300, 500):  # each after the ejection before it ended
        checked.balancer.ejection.eject(Attempt(upstream, sent, 1.0, 1.0), sent + late_ms * MS, 10 * MS)
    assert upstream.consecutive_ejections == 1
    checked.balancer.ejection.eject(Attempt(upstream, sent + 600 * MS, 1.0, 1.0), sent + 900 * MS, 10 * MS)
    assert upstream.consecutive_ejections == 2
