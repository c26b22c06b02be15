"""The registry of upstreams: what the endpoint list adds and removes."""

from __future__ import annotations

from lanelift.policy.events import (
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
)
from tests.policy.book import (
    Desk,
    arrival,
    upstreams,
)


def test_what_is_missing_from_a_snapshot_is_removed() -> None:
    """A snapshot names one upstream of six: the others get nothing more."""
    desk = Desk()
    desk.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(1)))
    for i in range(5):
        desk.give(arrival(i, desk.now))
        desk.finish(f"r{i}")
    assert {u.id for sent in desk.sends.values() for u, _ in sent} == {1}


def test_a_removed_upstream_is_forgotten_with_its_last_attempt() -> None:
    """Upstreams are replaced for ever, by snapshots and deltas: only listed ones and those with
    attempts are remembered.
    """
    desk = Desk(servers=3)
    desk.give(*(arrival(i, desk.now) for i in range(6)))
    assert desk.out()
    for first in range(10, 3000, 3):  # ever new ids, by whole lists and by changes
        gone = [
            u._replace(state=EndpointState.REMOVED)
            for u in desk.list.values()
            if u.state is not EndpointState.REMOVED
        ]
        kind = (EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.DELTA)[first % 2]
        desk.give(
            EndpointUpdate(kind, upstreams(3, first) + (gone if kind is EndpointUpdateKind.DELTA else []))
        )
    registry = desk.balancer.registry
    assert {s.id for s in registry.upstreams.values()} - {1, 2, 3} == {first, first + 1, first + 2}
    for request, number in desk.out():
        desk.finish(request, number=number)
    assert set(registry.upstreams) == {first, first + 1, first + 2}
    assert desk.balancer.state.attempts_in_flight == 0 and not desk.balancer.requests
