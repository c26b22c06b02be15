"""Subsets: which upstreams each replica draws from."""

from __future__ import annotations

import pytest

from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
)
from tests.policy.book import (
    START,
    settings,
    upstreams,
)


def subset_of(me: int, proxies: int, listed: list[Endpoint]) -> set[int]:
    b = Balancer(settings(replica=me, replica_count=proxies), 1, START)
    b.handle(START, [EndpointUpdate(EndpointUpdateKind.SNAPSHOT, listed)])
    return {s.id for s in b.registry.main.subset.order[: b.registry.main.subset.size]}


def test_every_upstream_is_in_some_subset() -> None:
    """An upstream that is in no subset would get nothing."""
    assert set().union(*(subset_of(me, 10, upstreams(100)) for me in range(10))) == set(range(1, 101))


@pytest.mark.parametrize(("proxies", "mean"), [(3, 10), (20, 9), (176, 4)])
def test_subsets_are_shared_by_few_replicas(proxies: int, mean: int) -> None:
    """Incident ib66e0d: in everybody's home an upstream holds what nobody's own count shows."""
    homes = [subset_of(me, proxies, upstreams(30)) for me in range(proxies)]
    sharers = [sum(number in home for home in homes) for number in range(1, 31)]
    assert min(map(len, homes)) >= 4
    assert mean <= sum(map(len, homes)) / proxies <= 1.4 * mean
    assert max(sharers) <= 2 * min(sharers)


def test_an_upstream_that_is_added_or_removed_moves_no_other() -> None:
    """Homes were stretches of one ring by position: where six in ten of sixty upstreams were replaced
    within seconds, each change moved four times as many as it had to.
    """
    listed, moved = upstreams(60), 0
    homes = [subset_of(me, 40, listed) for me in range(40)]
    for change in range(36):
        listed = listed[1:] + upstreams(1, 100 + change)
        new = [subset_of(me, 40, listed) for me in range(40)]
        moved += sum(len(b - a) for a, b in zip(homes, new, strict=True))
        homes = new
    assert moved / 36 <= 8  # six have the new one in their home; the least homes fill up
