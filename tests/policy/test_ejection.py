"""Outlier ejection: what ejects an upstream, and what does not."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from lanelift.policy.attempts import Attempt
from lanelift.policy.events import (
    AttemptResult,
)
from tests.policy.book import (
    MS,
    Desk,
    arrival,
)


def test_attempts_that_stall_together_are_one_ejection() -> None:
    """Guards against a pause of one upstream, seen by all its requests, barring it for seconds."""
    desk = Desk(servers=1)
    for i in range(6):
        desk.give(arrival(i, desk.now, wait_ns=100 * MS))
    desk.advance(150 * MS)
    server = desk.balancer.registry.upstreams[1]
    assert server.consecutive_ejections <= 2


def drive(desk: Desk, count: int, how: Callable[[int, int], AttemptResult], name: str = "") -> Counter[int]:
    """So many rounds of eight requests; `how` tells by upstream and request how an attempt ends. Returns the
    attempts at each upstream."""
    seen: Counter[int] = Counter()
    for i in range(count):
        desk.give(*(arrival(f"{name}{i}-{j}", desk.now) for j in range(8)))
        while desk.out():
            desk.advance(2 * MS, MS)
            for request, number in desk.out():
                server = desk.sends[request][number][0].id
                seen[server] += 1
                desk.finish(request, how(server, sum(seen.values())), number)
    return seen


@pytest.mark.parametrize("faulty", [1, 6])
def test_an_upstream_that_only_fails_is_ejected_but_not_all_of_them(faulty: int) -> None:
    """It answers at once and so seems the lightest of all."""
    desk = Desk(servers=6)
    drive(desk, 300, lambda server, n: AttemptResult.ERROR if server <= faulty else AttemptResult.OK)
    strikes = [s.id for s in desk.balancer.registry.upstreams.values() if s.consecutive_ejections]
    assert strikes == ([1] if faulty == 1 else [])


def test_resets_that_all_upstreams_share_eject_none() -> None:
    """With one attempt in ten broken anywhere, half the upstreams stood barred and the others were
    crowded.
    """
    desk = Desk(servers=6)
    drive(desk, 200, lambda server, n: AttemptResult.RESET if n % 8 == 0 else AttemptResult.OK)
    assert not [s for s in desk.balancer.registry.upstreams.values() if s.ejected_until_ns > desk.now]
    # But where all break at one upstream, it has failed.
    drive(desk, 200, lambda server, n: AttemptResult.RESET if server == 1 else AttemptResult.OK, "more")
    assert desk.balancer.registry.upstreams[1].ejected_until_ns > desk.now


def test_attempts_in_flight_at_an_ejection_are_one_failure_and_the_next_is_another() -> None:
    """Attempts sent before an ejection fail one after another, each after the ejection ended: they
    count once.
    """
    desk = Desk(servers=1)
    registry = desk.balancer.registry
    (server,) = registry.upstreams.values()
    sent = desk.now
    for late_ms in (100, 300, 500):  # each after the time for which the one before it had it left alone
        desk.balancer.ejection.eject(Attempt(server, sent, 1.0, 1.0), sent + late_ms * MS, 10 * MS)
    assert server.consecutive_ejections == 1
    desk.balancer.ejection.eject(Attempt(server, sent + 600 * MS, 1.0, 1.0), sent + 900 * MS, 10 * MS)
    assert server.consecutive_ejections == 2
