"""Behaviour that shows only with many replicas: starts, zones, releases, and endpoint lists that shrink."""

from __future__ import annotations

import pytest

from lanelift.policy.actions import SendPeerMessage
from lanelift.policy.events import (
    AttemptResult,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    PeerMessageReceived,
)
from lanelift.policy.settings import Limits
from tests.policy.checked_balancer import (
    MS,
    SECOND,
    CheckedBalancer,
    arrival,
    check_slow_start_budget,
    settings,
    upstreams,
)

PEER_LIMITS = Limits(max_attempts=3, may_cancel=True, peer_messages=True, retry_after=True)


def checked_balancers(replicas: int, upstream_count: int, alive: int | None = None) -> list[CheckedBalancer]:
    """Return the replicas of one deployment, or only those that are still alive."""
    return [
        CheckedBalancer(
            settings(replica=replica, replica_count=replicas, limits=PEER_LIMITS),
            seed=replica + 1,
            upstream_count=upstream_count,
        )
        for replica in range(replicas if alive is None else alive)
    ]


def serve_rounds(balancers: list[CheckedBalancer], rounds: int, name: str, each: int = 1) -> None:
    """Run rounds of 50 ms: each replica gets requests, upstreams respond, and peer messages arrive."""
    for i in range(rounds):
        for checked in balancers:
            actions = checked.handle(*(arrival(f"{name}{i}-{j}", checked.now) for j in range(each)))
            for a in actions:
                if isinstance(a, SendPeerMessage) and a.peer < len(balancers):
                    balancers[a.peer].handle(PeerMessageReceived(checked.config.replica, a.data))
        for checked in balancers:
            checked.advance(50 * MS, 25 * MS)
            for request, number in checked.attempts_in_flight():
                checked.finish(request, number=number)


def attempt_times(balancers: list[CheckedBalancer], number: int, since: int) -> list[int]:
    return sorted(
        t
        for checked in balancers
        for sent in checked.attempts.values()
        for u, t in sent
        if u.id == number and t >= since
    )


@pytest.mark.parametrize("alive", [40, 6])
def test_a_zone_that_restarts_in_one_update_is_not_overloaded(alive: int) -> None:
    """All replicas are notified at the same time that six upstreams have started.

    In the second case only a few replicas are left, each with four times the load.
    """
    balancers = checked_balancers(40, 12, alive)
    each = 1 if alive == 40 else 4
    serve_rounds(balancers, 20, "warm", each)
    back = balancers[0].now
    restarted = [u._replace(started_ns=back) if u.id > 6 else u for u in upstreams(12)]
    for checked in balancers:
        checked.handle(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, restarted))
    serve_rounds(balancers, 40, "cold", each)
    for number in range(7, 13):
        sends = attempt_times(balancers, number, back)
        check_slow_start_budget(sends, back, balancers[0].config.rules, 20)
    assert (
        sum(len(attempt_times(balancers, number, back)) for number in range(7, 13)) > 12
    )  # and all restarted upstreams are used


def test_a_successor_is_paced_while_its_predecessor_drains() -> None:
    """An upstream drains as its successor starts: the draining upstream gets no more attempts, and its
    successor only as many as it can handle.
    """
    checked = CheckedBalancer(settings(limits=PEER_LIMITS), upstream_count=3)
    serve_rounds([checked], 10, "w")
    old = upstreams(3)[0]
    now = checked.now
    checked.handle(
        EndpointUpdate(
            EndpointUpdateKind.DELTA, [old._replace(state=EndpointState.DRAINING), *upstreams(1, 9, now)]
        )
    )
    serve_rounds([checked], 30, "c", 3)
    assert not attempt_times([checked], old.id, now)
    assert attempt_times([checked], 9, now)
    check_slow_start_budget(attempt_times([checked], 9, now), now, checked.config.rules, 20)


@pytest.mark.parametrize("kind", [EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.DELTA])
@pytest.mark.parametrize("left", [1, 0])
def test_a_list_that_shrinks_to_one_or_none_and_grows_back(left: int, kind: EndpointUpdateKind) -> None:
    """The endpoint list shrinks to one upstream or none: requests go to the remaining upstream or are
    rejected immediately, and are spread again when the list grows.
    """
    checked = CheckedBalancer(settings(limits=PEER_LIMITS, replica_count=40), upstream_count=12)
    serve_rounds([checked], 5, "a")
    listed_before = upstreams(12)
    rest = [u._replace(state=EndpointState.REMOVED) for u in listed_before[left:]]
    listed = listed_before[:left] if kind is EndpointUpdateKind.SNAPSHOT else rest
    checked.handle(EndpointUpdate(kind, listed))
    checked.handle(arrival("few", checked.now))
    assert ("rfew" in checked.attempts) is bool(left) and ("rfew" in checked.answer) is not bool(left)
    if left:
        checked.finish("rfew")
    checked.handle(EndpointUpdate(kind, listed_before))
    checked.handle(*(arrival(f"back{i}", checked.now) for i in range(4)))
    assert len({sent[0][0].id for name, sent in checked.attempts.items() if name.startswith("rback")}) > 1
    assert len(checked.balancer.registry.upstreams) == 12


@pytest.mark.parametrize("kind", [EndpointUpdateKind.FAILED, None])
def test_an_old_list_is_used_while_discovery_is_down(kind: EndpointUpdateKind | None) -> None:
    """Discovery fails, or sends no more updates: requests are forwarded by the last known list."""
    for push in (True, False):
        checked = CheckedBalancer(settings(limits=PEER_LIMITS, discovery_push=push), upstream_count=4)
        for i in range(10):
            if kind is not None:
                checked.handle(EndpointUpdate(kind, []))
            checked.handle(arrival(i, checked.now))
            assert f"r{i}" in checked.attempts
            checked.finish(f"r{i}")
            checked.advance(SECOND, 100 * MS)


def test_replicas_that_start_together_spread_their_first_choices() -> None:
    """Forty replicas start at the same time: their first choices are spread."""
    balancers = checked_balancers(40, 60)
    for checked in balancers:
        checked.handle(arrival(1, checked.now))
    first = [checked.attempts["r1"][0][0].id for checked in balancers]
    assert max(map(first.count, first)) <= 5


@pytest.mark.parametrize(
    ("replicas", "upstream_count"), [(1, 60), (1, 1), (176, 60), (176, 3), (3, 500), (40, 1)]
)
def test_any_number_of_replicas_and_upstreams_uses_every_upstream(replicas: int, upstream_count: int) -> None:
    """Whatever the numbers of replicas and upstreams, each upstream is in a subset, and each replica has a
    subset.
    """
    subsets: set[int] = set()
    for replica in range(replicas):
        checked = CheckedBalancer(
            settings(replica=replica, replica_count=replicas, limits=PEER_LIMITS),
            seed=replica,
            upstream_count=upstream_count,
        )
        pool = checked.balancer.registry.unrestricted_pool
        assert 1 <= pool.subset.size <= upstream_count and len(pool.subset.order) == upstream_count
        subsets |= {s.id for s in pool.subset.order[: pool.subset.size]}
        checked.handle(arrival(1, checked.now))
        assert "r1" in checked.attempts
    assert len(subsets) == upstream_count


def test_upstreams_whose_replicas_died_still_get_requests_from_those_alive() -> None:
    """Nineteen of forty replicas are alive, and have most upstreams in their subsets; widened subsets reach
    the others.
    """
    subsets: set[int] = set()
    for checked in checked_balancers(40, 60, alive=19):
        pool = checked.balancer.registry.unrestricted_pool
        subsets |= {s.id for s in pool.subset.order[: pool.subset.size]}
    assert len(subsets) >= 50


@pytest.mark.parametrize("result", [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED])
def test_an_upstream_that_was_at_capacity_gets_requests_again(result: AttemptResult) -> None:
    """An upstream at capacity rejects all attempts, and then has capacity again: it must not remain
    ejected.
    """
    checked = CheckedBalancer(settings(limits=PEER_LIMITS), upstream_count=3)

    def rounds(count: int, name: str, full: bool) -> None:
        for i in range(count):
            checked.handle(*(arrival(f"{name}{i}-{j}", checked.now) for j in range(4)))
            checked.advance(20 * MS)
            for request, number in checked.attempts_in_flight():
                at = checked.attempts[request][number][0].id
                checked.finish(request, result if full and at == 1 else AttemptResult.OK, number)
            checked.advance(30 * MS)

    rounds(30, "full", True)
    assert checked.balancer.registry.upstreams[1].consecutive_ejections
    freed_at = checked.now
    rounds(100, "room", False)
    assert len(attempt_times([checked], 1, freed_at)) > 30, "it has capacity again, but gets too few attempts"
    assert not checked.balancer.registry.upstreams[1].consecutive_ejections
