"""What shows only where balancers are many: starts, zones, releases, and lists that shrink."""

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
from tests.policy.book import MS, SECOND, Desk, arrival, check_cold_budget, settings, upstreams

PEERS = Limits(max_attempts=3, may_cancel=True, peer_messages=True, retry_after=True)


def desks(proxies: int, servers: int, alive: int | None = None) -> list[Desk]:
    """Proxies of one fleet; of some only those that are still alive."""
    return [
        Desk(settings(replica=me, replica_count=proxies, limits=PEERS), seed=me + 1, servers=servers)
        for me in range(proxies if alive is None else alive)
    ]


def serve(fleet: list[Desk], rounds: int, name: str, each: int = 1) -> None:
    """So many rounds of 50 ms; each proxy takes requests, its upstreams answer, and messages arrive."""
    for i in range(rounds):
        for desk in fleet:
            actions = desk.give(*(arrival(f"{name}{i}-{j}", desk.now) for j in range(each)))
            for a in actions:
                if isinstance(a, SendPeerMessage) and a.peer < len(fleet):
                    fleet[a.peer].give(PeerMessageReceived(desk.config.replica, a.data))
        for desk in fleet:
            desk.advance(50 * MS, 25 * MS)
            for request, number in desk.out():
                desk.finish(request, number=number)


def sends_to(fleet: list[Desk], number: int, since: int) -> list[int]:
    return sorted(
        t for desk in fleet for sent in desk.sends.values() for u, t in sent if u.id == number and t >= since
    )


@pytest.mark.parametrize("alive", [40, 6])
def test_a_zone_that_comes_back_cold_in_one_list_is_not_pushed_over(alive: int) -> None:
    # All hear of six cold upstreams at once; or only the few that are left do, each with four times its load.
    fleet = desks(40, 12, alive)
    each = 1 if alive == 40 else 4
    serve(fleet, 20, "warm", each)
    back = fleet[0].now
    cold = [u._replace(started_ns=back) if u.id > 6 else u for u in upstreams(12)]
    for desk in fleet:
        desk.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, cold))
    serve(fleet, 40, "cold", each)
    for number in range(7, 13):
        sends = sends_to(fleet, number, back)
        check_cold_budget(sends, back, fleet[0].config.rules, 20)
    assert sum(len(sends_to(fleet, number, back)) for number in range(7, 13)) > 12  # and none is left unused


def test_a_successor_is_paced_while_its_predecessor_drains() -> None:
    desk = Desk(settings(limits=PEERS), servers=3)
    serve([desk], 10, "w")
    old = upstreams(3)[0]
    now = desk.now
    desk.give(
        EndpointUpdate(
            EndpointUpdateKind.DELTA, [old._replace(state=EndpointState.DRAINING), *upstreams(1, 9, now)]
        )
    )
    serve([desk], 30, "c", 3)
    assert not sends_to([desk], old.id, now)
    assert sends_to([desk], 9, now)
    check_cold_budget(sends_to([desk], 9, now), now, desk.config.rules, 20)


@pytest.mark.parametrize("kind", [EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.DELTA])
@pytest.mark.parametrize("left", [1, 0])
def test_a_list_that_shrinks_to_one_or_none_and_grows_back(left: int, kind: EndpointUpdateKind) -> None:
    desk = Desk(settings(limits=PEERS, replica_count=40), servers=12)
    serve([desk], 5, "a")
    whole = upstreams(12)
    rest = [u._replace(state=EndpointState.REMOVED) for u in whole[left:]]
    listed = whole[:left] if kind is EndpointUpdateKind.SNAPSHOT else rest
    desk.give(EndpointUpdate(kind, listed))
    desk.give(arrival("few", desk.now))
    assert ("rfew" in desk.sends) is bool(left) and ("rfew" in desk.answer) is not bool(left)
    if left:
        desk.finish("rfew")
    desk.give(EndpointUpdate(kind, whole))
    desk.give(*(arrival(f"back{i}", desk.now) for i in range(4)))
    assert len({sent[0][0].id for name, sent in desk.sends.items() if name.startswith("rback")}) > 1
    assert len(desk.balancer.registry.upstreams) == 12


@pytest.mark.parametrize("kind", [EndpointUpdateKind.FAILED, None])
def test_an_old_list_is_served_from_while_discovery_is_down(kind: EndpointUpdateKind | None) -> None:
    for push in (True, False):
        desk = Desk(settings(limits=PEERS, discovery_push=push), servers=4)
        for i in range(10):
            if kind is not None:
                desk.give(EndpointUpdate(kind, []))
            desk.give(arrival(i, desk.now))
            assert f"r{i}" in desk.sends
            desk.finish(f"r{i}")
            desk.advance(SECOND, 100 * MS)


def test_starts_in_the_same_instant_do_not_choose_alike() -> None:
    fleet = desks(40, 60)
    for desk in fleet:
        desk.give(arrival(1, desk.now))
    first = [desk.sends["r1"][0][0].id for desk in fleet]
    assert max(map(first.count, first)) <= 5


@pytest.mark.parametrize(("proxies", "servers"), [(1, 60), (1, 1), (176, 60), (176, 3), (3, 500), (40, 1)])
def test_any_size_of_fleet_and_of_tier_serves_from_every_upstream(proxies: int, servers: int) -> None:
    homes: set[int] = set()
    for me in range(proxies):
        desk = Desk(settings(replica=me, replica_count=proxies, limits=PEERS), seed=me, servers=servers)
        main = desk.balancer.registry.main
        assert 1 <= main.subset.size <= servers and len(main.subset.order) == servers
        homes |= {s.id for s in main.subset.order[: main.subset.size]}
        desk.give(arrival(1, desk.now))
        assert "r1" in desk.sends
    assert len(homes) == servers


def test_upstreams_whose_proxies_died_still_get_work_from_those_that_live() -> None:
    # By their ids, not their places: of forty proxies nineteen live, and hold most upstreams; those that
    # nobody alive has in its home are reached when homes are short.
    homes: set[int] = set()
    for desk in desks(40, 60, alive=19):
        main = desk.balancer.registry.main
        homes |= {s.id for s in main.subset.order[: main.subset.size]}
    assert len(homes) >= 50


@pytest.mark.parametrize("result", [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED])
def test_who_refuses_for_want_of_room_is_not_taken_for_dead(result: AttemptResult) -> None:
    desk = Desk(settings(limits=PEERS), servers=3)

    def rounds(count: int, name: str, full: bool) -> None:
        for i in range(count):
            desk.give(*(arrival(f"{name}{i}-{j}", desk.now) for j in range(4)))
            desk.advance(20 * MS)
            for request, number in desk.out():
                at = desk.sends[request][number][0].id
                desk.finish(request, result if full and at == 1 else AttemptResult.OK, number)
            desk.advance(30 * MS)

    rounds(30, "full", True)
    assert desk.balancer.registry.upstreams[1].consecutive_ejections
    room = desk.now
    rounds(100, "room", False)
    assert len(sends_to([desk], 1, room)) > 30, "it has room again, and gets nothing"
    assert not desk.balancer.registry.upstreams[1].consecutive_ejections
