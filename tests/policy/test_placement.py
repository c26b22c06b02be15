"""Serving the queue of a pool: what waits, what is shed, and what must not stop the others."""

from __future__ import annotations

from lanelift.policy.events import (
    AttemptResult,
    EndpointUpdate,
    EndpointUpdateKind,
)
from tests.policy.checked_balancer import (
    MS,
    READ,
    SECOND,
    WEST,
    CheckedBalancer,
    arrival,
    places,
    settings,
)


def test_each_request_in_a_stalled_queue_is_answered() -> None:
    """The one upstream answers nothing, and thirty requests queue: each gets its answer."""
    checked = CheckedBalancer(upstream_count=1)
    for i in range(30):
        checked.give(arrival(i, checked.now))
    checked.advance(700 * MS)
    assert len(checked.answer) == 30


def test_overdue_attempts_free_a_part_of_the_window_but_not_all_of_it() -> None:
    """One upstream that stopped must not stop all others; where all are slow, the window must not leak."""
    for latency_ratio, additional in ((1.0, 1), (0.1, 2)):
        checked = CheckedBalancer(settings(replica_count=16), upstream_count=4)  # a window of two
        checked.give(*(arrival(i, checked.now) for i in range(10)))
        assert len(checked.out()) == 2
        checked.balancer.state.overdue_attempts, checked.balancer.state.concurrency.latency_ratio = (
            2,
            latency_ratio,
        )
        checked.give()
        assert len(checked.out()) == 2 + additional


def test_a_restricted_class_is_rejected_while_others_go_on() -> None:
    """The only upstreams that a class may use fail: its requests go nowhere else, and stop no others."""
    checked = CheckedBalancer(upstream_count=0)
    checked.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, places(6)))
    for i in range(40):
        checked.give(arrival(f"w{i}", checked.now, WEST), arrival(f"a{i}", checked.now, READ))
        checked.advance(10 * MS)
        for request, number in checked.out():
            west = checked.sends[request][number][0].zone == "west"
            checked.finish(request, AttemptResult.CONNECT_FAILED if west else AttemptResult.OK, number)
    checked.advance(SECOND)
    assert all(checked.answer[f"rw{i}"] == "rejected" for i in range(40))
    assert sum(checked.answer[f"ra{i}"] == "served" for i in range(40)) > 30
