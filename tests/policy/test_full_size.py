"""What shows only at two hundred balancers: starts in one instant, most of them killed, a zone cut off, lists
that change all the time, and balancers with hardly any traffic beside busy ones."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from lanelift.policy import subsets
from lanelift.policy.actions import SetTimer, Subscribe
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    TimerFired,
)
from lanelift.policy.settings import Limits, RequestClass, Settings
from tests.policy.book import MS, READ, SECOND, START, Desk, arrival, check_cold_budget, settings, upstreams
from tests.policy.day import Day

PEERS = Limits(max_attempts=3, may_cancel=True, peer_messages=True, retry_after=True)
QUOTE = RequestClass("quote", latency_objective_ns=200 * MS, deadline_ns=600 * MS)


def config(proxies: int, **changes: object) -> Settings:
    base: dict[str, object] = {"classes": {"quote": QUOTE}, "limits": PEERS, "replica_count": proxies}
    return settings(**{**base, **changes})


def traffic(
    day: Day, since: float, until: float, per_s: float, weights: list[float] | None = None, seed: int = 3
) -> None:
    """Arrivals of `since` to `until` (seconds), dealt among the balancers by weight; 30 ms of work each."""
    rng, now = random.Random(seed), since
    proxies = range(len(day.balancers))
    while True:
        now += rng.expovariate(per_s)
        if now >= until:
            return
        work = max(1, int(rng.lognormvariate(3.3, 0.4) * MS))
        me = rng.choices(proxies, weights)[0]
        day.arrive(int(now * SECOND), f"b{me}", work, "quote", 600 * MS, me)


def served(day: Day) -> float:
    asked = sum(n for (_, what), n in day.answers.items() if what == "asked")
    return sum(n for (_, what), n in day.answers.items() if what == "served") / asked


# ---- starts ----------------------------------------------------------------------------------------------


def calls(proxies: int, failing: bool) -> list[int]:
    """When two hundred that start in one instant ask a discovery for its list, which answers or fails."""
    at: list[int] = []
    for me in range(proxies):
        now = START
        balancer = Balancer(config(proxies, replica=me, discovery_push=False), 1000 + me, now)
        actions, timer = balancer.handle(now, []), SetTimer(0, "")
        for _ in range(12):
            timer = next((a for a in actions if isinstance(a, SetTimer)), timer)
            now += timer.delay_ns
            actions = balancer.handle(now, [TimerFired(timer.name)])
            if any(isinstance(a, Subscribe) for a in actions):
                at.append(now)
                kind = EndpointUpdateKind.FAILED if failing else EndpointUpdateKind.SNAPSHOT
                actions = balancer.handle(now, [EndpointUpdate(kind, [] if failing else upstreams(20))])
                if not failing:
                    break
    return at


@pytest.mark.parametrize("failing", [False, True])
def test_two_hundred_that_start_together_do_not_ask_discovery_together(failing: bool) -> None:
    within = settings().rules.notification_deadline_ns
    at = calls(200, failing)
    assert len(at) >= 200 and min(Counter(me % 200 for me in range(len(at))).values()) >= 1
    first = [t for t in at if t <= START + within // 4]
    tenths = Counter((t - START) * 10 // (within // 4) for t in first)
    assert len(tenths) >= 10 and max(tenths.values()) <= 3 * len(first) / 10
    # Nor ever again, however often it fails: no tenth of a second has a burst of more than a tenth of all.
    assert max(Counter((t - START) // (SECOND // 10) for t in at).values()) <= 20


# ---- lists -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("proxies", [200, 1000])
@pytest.mark.parametrize("servers", [60, 200, 1000])
def test_a_change_of_the_list_draws_only_for_what_changed(
    proxies: int, servers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    balancer = Balancer(config(proxies), 1, START)
    balancer.handle(START, [EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(servers))])
    draws, stable_hash = [0], subsets.stable_hash

    def counted(number: int, salt: int) -> int:
        draws[0] += 1
        return stable_hash(number, salt)

    monkeypatch.setattr(subsets, "stable_hash", counted)
    old, new = upstreams(1)[0], Endpoint(servers + 7, started_ns=START)
    balancer.handle(
        START + SECOND,
        [EndpointUpdate(EndpointUpdateKind.DELTA, [old._replace(state=EndpointState.REMOVED), new])],
    )
    sharers = balancer.registry.main.subset.degree
    assert draws[0] <= 2 + 3 * sharers, f"{draws[0]} draws for one upstream that came, of {servers}"
    # And what is kept is what a balancer would find that starts now: all agree on who shares what.
    fresh = Balancer(config(proxies, replica=5), 2, START)
    fresh.handle(START, [EndpointUpdate(EndpointUpdateKind.SNAPSHOT, [*upstreams(servers)[1:], new])])
    assert balancer.registry.main.subset.members == fresh.registry.main.subset.members


# ---- death and cuts --------------------------------------------------------------------------------------


def test_seven_in_ten_killed_the_others_carry_on_within_every_budget() -> None:
    day = Day(config(60), 40, seed=4)
    traffic(day, 0, 8, 500)
    day.play(3 * SECOND)
    alive = random.Random(4).sample(range(60), 18)
    day.dead = set(range(60)) - set(alive)
    # The front deals what comes later among those that live.
    day.due = [
        (t, n, what, (*about[:4], alive[n % len(alive)]) if what == "arrive" else about)
        for t, n, what, about in day.due
    ]
    day.play(9 * SECOND)
    late = [me for t, me, _ in day.sends if t > 3 * SECOND]
    assert set(late) == set(alive)
    asked = Counter(me for _, me, _ in day.sends)
    assert min(asked[me] for me in alive) > 0
    # Of an upstream's six sharers all are dead in one of eight cases: only widened homes reach those.
    assert len({box for t, _, box in day.sends if t > 5 * SECOND}) >= 34
    assert day.messages < day.balancers[0].registry.main.subset.degree * len(day.sends)


@pytest.mark.parametrize("knows", [True, False])
def test_a_zone_that_falls_silent_is_tried_sparingly_and_comes_back_without_a_rush(knows: bool) -> None:
    # Ten of forty boxes say nothing for six seconds, as after a cut; the list says so late, or never.
    day = Day(config(40), 40, seed=6)
    traffic(day, 0, 16, 400)
    day.play(4 * SECOND)
    day.silent = set(range(1, 11))
    if knows:
        for me in range(40):
            gone = [Endpoint(i, EndpointState.REMOVED) for i in day.silent]
            day.at(6 * SECOND, "heard", (me, EndpointUpdate(EndpointUpdateKind.DELTA, gone)))
    day.play(10 * SECOND)
    to = [t for t, _, box in day.sends if box in day.silent]
    if knows:
        assert not [t for t in to if t > 6 * SECOND]
    tried = [t for t in to if t > 5 * SECOND]
    sent = [t for t, _, _ in day.sends if t > 5 * SECOND]
    assert len(tried) <= 0.15 * len(sent)  # a quarter of all boxes: most of it is kept away from them
    cut = set(day.silent)
    day.silent = set()
    if knows:
        for me in range(40):
            back = [Endpoint(i, started_ns=day.now) for i in cut]
            day.at(day.now, "heard", (me, EndpointUpdate(EndpointUpdateKind.DELTA, back)))
    returned = day.now
    day.play(17 * SECOND)
    for box in cut:
        sends = [t for t, _, b in day.sends if b == box and t >= returned]
        if knows:
            check_cold_budget(sends, returned, config(40).rules, 1 / 0.029)
        assert sends, f"box {box} is back, and gets nothing"
    assert served(day) > 0.8


# ---- little traffic and much -----------------------------------------------------------------------------


def test_balancers_with_hardly_any_traffic_serve_beside_busy_ones() -> None:
    weights = [0.02, *[1.0] * 18, 5.0]
    day = Day(config(20), 20, seed=8)
    traffic(day, 0, 20, 300, weights)
    day.play(22 * SECOND)
    for me in (0, 19):
        part = day.share(f"b{me}")
        assert part > 0.9, f"balancer {me}: {part:.2f} of {day.answers[f'b{me}', 'asked']}"


# ---- what the losses of the standing test came from ------------------------------------------------------


def fails(desk: Desk, result: AttemptResult, seconds: int) -> None:
    """So long, all that is sent within the home ends like this, and all else is served."""
    main = desk.balancer.registry.main
    home = {s.id for s in main.subset.order[: main.subset.size]}
    for i in range(20 * seconds):
        desk.give(arrival(f"{desk.now}-{i}", desk.now))
        desk.advance(10 * MS)
        for request, number in desk.out():
            at = desk.sends[request][number][0].id
            desk.finish(request, result if at in home else AttemptResult.OK, number)
        desk.advance(40 * MS)


@pytest.mark.parametrize(
    ("result", "replaced"), [(AttemptResult.CONNECT_FAILED, True), (AttemptResult.ERROR, False)]
)
def test_others_take_the_places_of_those_that_cannot_be_reached(
    result: AttemptResult, replaced: bool
) -> None:
    # Split day, seed 3: with its home in the zone that was cut off, a balancer served nothing for 5 s. Beyond
    # its home it draws blindly: what fails or is crowded is no reason to.
    desk = Desk(config(40, classes={"read": READ}), servers=40)
    main = desk.balancer.registry.main
    fails(desk, result, 3)
    assert (main.subset.width > main.subset.size + 1) is replaced
    before = len(desk.cls)
    fails(desk, result, 2)
    late = list(desk.cls)[before:]
    served = sum(desk.answer.get(name) == "served" for name in late) / len(late)
    assert served > 0.9 or not replaced
    fails(desk, AttemptResult.OK, 8)
    assert main.subset.width == main.subset.size  # and they make way again


@pytest.mark.parametrize("blind", [True, False])
def test_who_finds_no_room_where_work_is_told_brings_no_rate_down(blind: bool) -> None:
    # Zone day, seed 77: R stood at 7 a second for ten seconds after the loss, while the upstreams had room.
    rate = Desk(config(40, classes={"read": READ})).balancer.state.rate
    rate.on_time, rate.unplaceable = 30, 60
    rate.adjust(START + SECOND, 0.1, blind)
    assert (rate.rate_per_s < 5000) is blind


def test_the_rate_comes_back_the_sooner_the_further_from_a_crowd() -> None:
    values = []
    for excess in (-0.05, -0.3):
        desk = Desk(config(40, classes={"read": READ}))
        rate, throttle = desk.balancer.state.rate, next(iter(desk.balancer.state.tenants.banks.values()))
        rate.rate_per_s = 7.0
        for i in range(1, 6):
            rate.on_time, throttle.ran_dry = 10, True
            rate.adjust(START + i * SECOND, excess)
        values.append(rate.rate_per_s)
    assert values[1] > 1.5 * values[0]
