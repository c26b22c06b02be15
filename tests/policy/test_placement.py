"""Serving the queue of a pool: which requests wait, which are shed, and that none blocks the others."""

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
    WEST_ONLY,
    CheckedBalancer,
    arrival,
    mixed_endpoints,
    settings,
)


def test_each_request_in_a_stalled_queue_is_answered() -> None:
    """The only upstream does not respond, and thirty requests queue: each gets its answer."""
    checked = CheckedBalancer(upstream_count=1)
    for i in range(30):
        checked.handle(arrival(i, checked.now))
    checked.advance(700 * MS)
    assert len(checked.answer) == 30


def test_overdue_attempts_free_a_part_of_the_window_but_not_all_of_it() -> None:
    """One upstream that stopped must not block all others; if all upstreams are slow, the window still
    applies.
    """
    for latency_ratio, additional in ((1.0, 1), (0.1, 2)):
        # The window allows two attempts.
        checked = CheckedBalancer(settings(replica_count=16), upstream_count=4)
        checked.handle(*(arrival(i, checked.now) for i in range(10)))
        assert len(checked.attempts_in_flight()) == 2
        checked.balancer.state.overdue_attempts, checked.balancer.state.concurrency.latency_ratio = (
            2,
            latency_ratio,
        )
        checked.handle()
        assert len(checked.attempts_in_flight()) == 2 + additional


def test_a_restricted_class_is_rejected_while_others_are_served() -> None:
    """The only upstreams that a class may use fail: its requests use no others, and block no other
    requests.
    """
    checked = CheckedBalancer(upstream_count=0)
    checked.handle(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, mixed_endpoints(6)))
    for i in range(40):
        checked.handle(arrival(f"w{i}", checked.now, WEST_ONLY), arrival(f"a{i}", checked.now, READ))
        checked.advance(10 * MS)
        for request, number in checked.attempts_in_flight():
            west = checked.attempts[request][number][0].zone == "west"
            checked.finish(request, AttemptResult.CONNECT_FAILED if west else AttemptResult.OK, number)
    checked.advance(SECOND)
    assert all(checked.answer[f"rw{i}"] == "rejected" for i in range(40))
    assert sum(checked.answer[f"ra{i}"] == "served" for i in range(40)) > 30
