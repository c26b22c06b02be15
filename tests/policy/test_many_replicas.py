"""What shows only where replicas are many: starts, zones, releases, and lists that shrink."""

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

PEERS = Limits(max_attempts=3, may_cancel=True, peer_messages=True, retry_after=True)


def checked_balancers(replicas: int, upstream_count: int, alive: int | None = None) -> list[CheckedBalancer]:
    """Return the replicas of one deployment, or only those that are still alive."""
    return [
        CheckedBalancer(
            settings(replica=me, replica_count=replicas, limits=PEERS),
            seed=me + 1,
            upstream_count=upstream_count,
        )
        for me in range(replicas if alive is None else alive)
    ]


def serve(balancers: list[CheckedBalancer], rounds: int, name: str, each: int = 1) -> None:
    """Play so many rounds of 50 ms: each replica gets requests, upstreams respond, and messages arrive."""
    for i in range(rounds):
        for checked in balancers:
            actions = checked.give(*(arrival(f"{name}{i}-{j}", checked.now) for j in range(each)))
            for a in actions:
                if isinstance(a, SendPeerMessage) and a.peer < len(balancers):
                    balancers[a.peer].give(PeerMessageReceived(checked.config.replica, a.data))
        for checked in balancers:
            checked.advance(50 * MS, 25 * MS)
            for request, number in checked.out():
                checked.finish(request, number=number)


def sends_to(balancers: list[CheckedBalancer], number: int, since: int) -> list[int]:
    return sorted(
        t
        for checked in balancers
        for sent in checked.sends.values()
        for u, t in sent
        if u.id == number and t >= since
    )


@pytest.mark.parametrize("alive", [40, 6])
def test_a_zone_that_restarts_in_one_update_is_not_overloaded(alive: int) -> None:
    """All replicas are notified of six started upstreams at once; or only the few that are left are,
    each with four times its load.
    """
    balancers = checked_balancers(40, 12, alive)
    each = 1 if alive == 40 else 4
    serve(balancers, 20, "warm", each)
    back = balancers[0].now
    restarted = [u._replace(started_ns=back) if u.id > 6 else u for u in upstreams(12)]
    for checked in balancers:
        checked.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, restarted))
    serve(balancers, 40, "cold", each)
    for number in range(7, 13):
        sends = sends_to(balancers, number, back)
        check_slow_start_budget(sends, back, balancers[0].config.rules, 20)
    assert (
        sum(len(sends_to(balancers, number, back)) for number in range(7, 13)) > 12
    )  # and none is left unused


def test_a_successor_is_paced_while_its_predecessor_drains() -> None:
    """An upstream drains as its successor starts: the first gets nothing more, the second no more than
    it can do.
    """
    checked = CheckedBalancer(settings(limits=PEERS), upstream_count=3)
    serve([checked], 10, "w")
    old = upstreams(3)[0]
    now = checked.now
    checked.give(
        EndpointUpdate(
            EndpointUpdateKind.DELTA, [old._replace(state=EndpointState.DRAINING), *upstreams(1, 9, now)]
        )
    )
    serve([checked], 30, "c", 3)
    assert not sends_to([checked], old.id, now)
    assert sends_to([checked], 9, now)
    check_slow_start_budget(sends_to([checked], 9, now), now, checked.config.rules, 20)


@pytest.mark.parametrize("kind", [EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.DELTA])
@pytest.mark.parametrize("left", [1, 0])
def test_a_list_that_shrinks_to_one_or_none_and_grows_back(left: int, kind: EndpointUpdateKind) -> None:
    """The endpoint list shrinks to one upstream or to none: requests go to that, or are rejected at
    once, and spread again afterwards.
    """
    checked = CheckedBalancer(settings(limits=PEERS, replica_count=40), upstream_count=12)
    serve([checked], 5, "a")
    listed_before = upstreams(12)
    rest = [u._replace(state=EndpointState.REMOVED) for u in listed_before[left:]]
    listed = listed_before[:left] if kind is EndpointUpdateKind.SNAPSHOT else rest
    checked.give(EndpointUpdate(kind, listed))
    checked.give(arrival("few", checked.now))
    assert ("rfew" in checked.sends) is bool(left) and ("rfew" in checked.answer) is not bool(left)
    if left:
        checked.finish("rfew")
    checked.give(EndpointUpdate(kind, listed_before))
    checked.give(*(arrival(f"back{i}", checked.now) for i in range(4)))
    assert len({sent[0][0].id for name, sent in checked.sends.items() if name.startswith("rback")}) > 1
    assert len(checked.balancer.registry.upstreams) == 12


@pytest.mark.parametrize("kind", [EndpointUpdateKind.FAILED, None])
def test_an_old_list_is_used_while_discovery_is_down(kind: EndpointUpdateKind | None) -> None:
    """Discovery fails, or says nothing more: requests go on by the list as last known."""
    for push in (True, False):
        checked = CheckedBalancer(settings(limits=PEERS, discovery_push=push), upstream_count=4)
        for i in range(10):
            if kind is not None:
                checked.give(EndpointUpdate(kind, []))
            checked.give(arrival(i, checked.now))
            assert f"r{i}" in checked.sends
            checked.finish(f"r{i}")
            checked.advance(SECOND, 100 * MS)


def test_starts_in_the_same_instant_do_not_choose_alike() -> None:
    """Forty replicas start in one instant: their first choices are spread."""
    balancers = checked_balancers(40, 60)
    for checked in balancers:
        checked.give(arrival(1, checked.now))
    first = [checked.sends["r1"][0][0].id for checked in balancers]
    assert max(map(first.count, first)) <= 5


@pytest.mark.parametrize(
    ("replicas", "upstream_count"), [(1, 60), (1, 1), (176, 60), (176, 3), (3, 500), (40, 1)]
)
def test_any_number_of_replicas_and_upstreams_uses_every_upstream(replicas: int, upstream_count: int) -> None:
    """Whatever the numbers of replicas and upstreams, each upstream is in a subset and each replica has
    one.
    """
    subsets: set[int] = set()
    for me in range(replicas):
        checked = CheckedBalancer(
            settings(replica=me, replica_count=replicas, limits=PEERS), seed=me, upstream_count=upstream_count
        )
        unrestricted_pool = checked.balancer.registry.unrestricted_pool
        assert (
            1 <= unrestricted_pool.subset.size <= upstream_count
            and len(unrestricted_pool.subset.order) == upstream_count
        )
        subsets |= {s.id for s in unrestricted_pool.subset.order[: unrestricted_pool.subset.size]}
        checked.give(arrival(1, checked.now))
        assert "r1" in checked.sends
    assert len(subsets) == upstream_count


def test_upstreams_whose_replicas_died_still_get_requests_from_those_alive() -> None:
    """Nineteen of forty replicas live, and have most upstreams in their subsets; those that none of
    them has are reached when subsets are short.
    """
    subsets: set[int] = set()
    for checked in checked_balancers(40, 60, alive=19):
        unrestricted_pool = checked.balancer.registry.unrestricted_pool
        subsets |= {s.id for s in unrestricted_pool.subset.order[: unrestricted_pool.subset.size]}
    assert len(subsets) >= 50


@pytest.mark.parametrize("result", [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED])
def test_an_upstream_that_was_at_capacity_gets_requests_again(result: AttemptResult) -> None:
    """An upstream rejects all that comes, as it is at capacity, and then has capacity again: it must
    not remain ejected.
    """
    checked = CheckedBalancer(settings(limits=PEERS), upstream_count=3)

    def rounds(count: int, name: str, full: bool) -> None:
        for i in range(count):
            checked.give(*(arrival(f"{name}{i}-{j}", checked.now) for j in range(4)))
            checked.advance(20 * MS)
            for request, number in checked.out():
                at = checked.sends[request][number][0].id
                checked.finish(request, result if full and at == 1 else AttemptResult.OK, number)
            checked.advance(30 * MS)

    rounds(30, "full", True)
    assert checked.balancer.registry.upstreams[1].consecutive_ejections
    room = checked.now
    rounds(100, "room", False)
    assert len(sends_to([checked], 1, room)) > 30, "it has capacity again, and gets nothing"
    assert not checked.balancer.registry.upstreams[1].consecutive_ejections
