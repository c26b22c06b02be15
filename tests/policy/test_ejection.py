"""Outlier ejection: what ejects an upstream, and what does not."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from lanelift.policy.attempts import Attempt
from lanelift.policy.events import (
    AttemptResult,
    Endpoint,
)
from lanelift.policy.upstreams import Upstream
from tests.policy.checked_balancer import (
    MS,
    SECOND,
    START,
    CheckedBalancer,
    arrival,
)


def test_attempts_that_stall_together_cause_one_ejection() -> None:
    """An upstream pauses, and all its attempts become overdue: one pause must not cause an ejection of
    seconds.
    """
    checked = CheckedBalancer(upstream_count=1)
    for i in range(6):
        checked.handle(arrival(i, checked.now, wait_ns=100 * MS))
    checked.advance(150 * MS)
    upstream = checked.balancer.registry.upstreams[1]
    assert upstream.consecutive_ejections <= 2


def serve_rounds(
    checked: CheckedBalancer, count: int, result_of: Callable[[int, int], AttemptResult], name: str = ""
) -> Counter[int]:
    """Run `count` rounds of eight requests, and return the number of attempts at each upstream.

    `result_of` returns the result of an attempt, by its upstream and its number.
    """
    attempts: Counter[int] = Counter()
    for i in range(count):
        checked.handle(*(arrival(f"{name}{i}-{j}", checked.now) for j in range(8)))
        while checked.attempts_in_flight():
            checked.advance(2 * MS, MS)
            for request, number in checked.attempts_in_flight():
                upstream = checked.attempts[request][number][0].id
                attempts[upstream] += 1
                checked.finish(request, result_of(upstream, sum(attempts.values())), number)
    return attempts


@pytest.mark.parametrize("faulty", [1, 6])
def test_a_failing_upstream_is_ejected_unless_all_upstreams_fail(faulty: int) -> None:
    """An upstream that immediately answers each request with an error looks like the least loaded of all."""
    checked = CheckedBalancer(upstream_count=6)
    serve_rounds(
        checked, 300, lambda upstream, n: AttemptResult.ERROR if upstream <= faulty else AttemptResult.OK
    )
    ejected = [s.id for s in checked.balancer.registry.upstreams.values() if s.consecutive_ejections]
    assert ejected == ([1] if faulty == 1 else [])


def test_resets_at_all_upstreams_eject_none() -> None:
    """The connections of one attempt in ten broke, over all upstreams: half of the upstreams were ejected for
    these breaks, and the others were congested.
    """
    checked = CheckedBalancer(upstream_count=6)
    serve_rounds(checked, 200, lambda upstream, n: AttemptResult.RESET if n % 8 == 0 else AttemptResult.OK)
    assert not [s for s in checked.balancer.registry.upstreams.values() if s.ejected_until_ns > checked.now]
    # But if all attempts at one upstream break, that upstream has failed.
    serve_rounds(
        checked, 200, lambda upstream, n: AttemptResult.RESET if upstream == 1 else AttemptResult.OK, "more"
    )
    assert checked.balancer.registry.upstreams[1].ejected_until_ns > checked.now


def test_attempts_in_flight_at_an_ejection_count_as_one_failure_and_the_next_as_another() -> None:
    """Attempts sent before an ejection fail one after another, each after the ejection has ended: they count
    as one failure.
    """
    checked = CheckedBalancer(upstream_count=1)
    registry = checked.balancer.registry
    (upstream,) = registry.upstreams.values()
    sent = checked.now
    for late_ms in (100, 300, 500):  # each attempt fails after the previous ejection ended
        checked.balancer.ejection.eject(Attempt(upstream, sent, 1.0, 1.0), sent + late_ms * MS, 10 * MS)
    assert upstream.consecutive_ejections == 1
    checked.balancer.ejection.eject(Attempt(upstream, sent + 600 * MS, 1.0, 1.0), sent + 900 * MS, 10 * MS)
    assert upstream.consecutive_ejections == 2


def test_a_success_ends_an_ejection_but_not_the_pacing_of_slow_start() -> None:
    """An upstream that warms up had an attempt that was overdue. The next success cleared its pacing interval
    too, and the upstream got attempts one after the other.
    """
    upstream = Upstream(1, Endpoint(1))
    upstream.consecutive_ejections, upstream.paced_until_ns = 1, START + 50 * MS
    upstream.ejected_until_ns = START + SECOND
    CheckedBalancer().balancer.ejection.record_success(upstream)
    assert (upstream.consecutive_ejections, upstream.ejected_until_ns) == (0, START + 50 * MS)
