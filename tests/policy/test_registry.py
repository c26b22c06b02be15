"""The registry of upstreams: what the endpoint list adds and removes."""

from __future__ import annotations

from lanelift.policy.events import (
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
)
from tests.policy.checked_balancer import (
    CheckedBalancer,
    arrival,
    upstreams,
)


def test_an_upstream_missing_from_a_snapshot_is_removed() -> None:
    """A snapshot names one upstream of six: the others get no more attempts."""
    checked = CheckedBalancer()
    checked.handle(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(1)))
    for i in range(5):
        checked.handle(arrival(i, checked.now))
        checked.finish(f"r{i}")
    assert {u.id for sent in checked.attempts.values() for u, _ in sent} == {1}


def test_a_removed_upstream_is_forgotten_with_its_last_attempt() -> None:
    """Upstreams are replaced again and again, by snapshots and deltas: only listed upstreams and upstreams
    with attempts are kept.
    """
    checked = CheckedBalancer(upstream_count=3)
    checked.handle(*(arrival(i, checked.now) for i in range(6)))
    assert checked.attempts_in_flight()
    for first in range(10, 3000, 3):  # always new ids, by snapshots and deltas
        removed = [
            u._replace(state=EndpointState.REMOVED)
            for u in checked.endpoints.values()
            if u.state is not EndpointState.REMOVED
        ]
        kind = (EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.DELTA)[first % 2]
        checked.handle(
            EndpointUpdate(kind, upstreams(3, first) + (removed if kind is EndpointUpdateKind.DELTA else []))
        )
    registry = checked.balancer.registry
    assert {s.id for s in registry.upstreams.values()} - {1, 2, 3} == {first, first + 1, first + 2}
    for request, number in checked.attempts_in_flight():
        checked.finish(request, number=number)
    assert set(registry.upstreams) == {first, first + 1, first + 2}
    assert checked.balancer.state.attempts_in_flight == 0 and not checked.balancer.requests
