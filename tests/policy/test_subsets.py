"""Subsets: which upstreams each replica draws from."""

from __future__ import annotations

import pytest

from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
)
from tests.policy.checked_balancer import (
    START,
    settings,
    upstreams,
)


def subset_of(replica: int, replicas: int, listed: list[Endpoint]) -> set[int]:
    """Return the upstreams in a replica's subset."""
    b = Balancer(settings(replica=replica, replica_count=replicas), 1, START)
    b.handle(START, [EndpointUpdate(EndpointUpdateKind.SNAPSHOT, listed)])
    return {
        s.id for s in b.registry.unrestricted_pool.subset.order[: b.registry.unrestricted_pool.subset.size]
    }


def test_every_upstream_is_in_some_subset() -> None:
    """An upstream that is in no subset would get no attempts."""
    assert set().union(*(subset_of(replica, 10, upstreams(100)) for replica in range(10))) == set(
        range(1, 101)
    )


@pytest.mark.parametrize(("replicas", "mean"), [(3, 10), (20, 9), (176, 4)])
def test_subsets_are_shared_by_few_replicas(replicas: int, mean: int) -> None:
    """Incident ib66e0d: an upstream in the subset of every replica holds requests that no replica's own count
    shows.
    """
    subsets = [subset_of(replica, replicas, upstreams(30)) for replica in range(replicas)]
    sharing_replicas = [sum(number in own_subset for own_subset in subsets) for number in range(1, 31)]
    assert min(map(len, subsets)) >= 4
    assert mean <= sum(map(len, subsets)) / replicas <= 1.4 * mean
    assert max(sharing_replicas) <= 2 * min(sharing_replicas)


def test_an_upstream_that_is_added_or_removed_moves_no_other() -> None:
    """Subsets used to be consecutive positions on one ring.

    When six in ten of sixty upstreams were replaced within seconds, each replacement changed four times as
    many subset entries as necessary.
    """
    listed, moved = upstreams(60), 0
    subsets = [subset_of(replica, 40, listed) for replica in range(40)]
    for change in range(36):
        listed = listed[1:] + upstreams(1, 100 + change)
        new = [subset_of(replica, 40, listed) for replica in range(40)]
        moved += sum(len(b - a) for a, b in zip(subsets, new, strict=True))
        subsets = new
    assert moved / 36 <= 8  # six subsets get the new upstream; subsets below the minimum size are filled up
