"""Serving the queue of a pool: what waits, what is shed, and what must not stop the others."""

from __future__ import annotations

from lanelift.policy.events import (
    AttemptResult,
    EndpointUpdate,
    EndpointUpdateKind,
)
from tests.policy.book import (
    MS,
    READ,
    SECOND,
    WEST,
    Desk,
    arrival,
    places,
    settings,
)


def test_each_request_in_a_stalled_queue_is_answered() -> None:
    """The one upstream answers nothing, and thirty requests queue: each gets its answer."""
    desk = Desk(servers=1)
    for i in range(30):
        desk.give(arrival(i, desk.now))
    desk.advance(700 * MS)
    assert len(desk.answer) == 30


def test_overdue_attempts_free_a_part_of_the_window_but_not_all_of_it() -> None:
    """One silent upstream must not stop all others; a fleet of slow ones must not let the window leak."""
    for stress, more in ((1.0, 1), (0.1, 2)):
        desk = Desk(settings(replica_count=16), servers=4)  # a window of two
        desk.give(*(arrival(i, desk.now) for i in range(10)))
        assert len(desk.out()) == 2
        desk.balancer.state.overdue_attempts, desk.balancer.state.concurrency.latency_ratio = 2, stress
        desk.give()
        assert len(desk.out()) == 2 + more


def test_a_restricted_class_is_rejected_while_others_go_on() -> None:
    """The only allowed upstreams fail: nothing of that class may go elsewhere, nor hold up what can."""
    desk = Desk(servers=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, places(6)))
    for i in range(40):
        desk.give(arrival(f"w{i}", desk.now, WEST), arrival(f"a{i}", desk.now, READ))
        desk.advance(10 * MS)
        for request, number in desk.out():
            west = desk.sends[request][number][0].zone == "west"
            desk.finish(request, AttemptResult.CONNECT_FAILED if west else AttemptResult.OK, number)
    desk.advance(SECOND)
    assert all(desk.answer[f"rw{i}"] == "refused" for i in range(40))
    assert sum(desk.answer[f"ra{i}"] == "served" for i in range(40)) > 30
