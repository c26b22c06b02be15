"""What shows only at two hundred replicas.

They start in one instant, most of them are killed, a zone is cut off, lists change all the time, and replicas
with hardly any traffic run beside busy ones.
"""

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
from tests.policy.checked_balancer import (
    MS,
    READ,
    SECOND,
    START,
    CheckedBalancer,
    arrival,
    check_slow_start_budget,
    settings,
    upstreams,
)
from tests.policy.simulation import Simulation

PEERS = Limits(max_attempts=3, may_cancel=True, peer_messages=True, retry_after=True)
QUOTE = RequestClass("quote", latency_objective_ns=200 * MS, deadline_ns=600 * MS)


def config(replicas: int, **changes: object) -> Settings:
    base: dict[str, object] = {"classes": {"quote": QUOTE}, "limits": PEERS, "replica_count": replicas}
    return settings(**{**base, **changes})


def traffic(
    day: Simulation,
    since: float,
    until: float,
    per_s: float,
    weights: list[float] | None = None,
    seed: int = 3,
) -> None:
    """Arrivals of `since` to `until` (seconds), dealt among the balancers by weight; 30 ms of work each."""
    rng, now = random.Random(seed), since
    replicas = range(len(day.balancers))
    while True:
        now += rng.expovariate(per_s)
        if now >= until:
            return
        work = max(1, int(rng.lognormvariate(3.3, 0.4) * MS))
        me = rng.choices(replicas, weights)[0]
        day.schedule_request(int(now * SECOND), f"b{me}", work, "quote", 600 * MS, me)


def served_share(day: Simulation) -> float:
    requested = sum(n for (_, what), n in day.answers.items() if what == "requested")
    return sum(n for (_, what), n in day.answers.items() if what == "served") / requested


# ---- starts ----------------------------------------------------------------------------------------------


def calls(replicas: int, failing: bool) -> list[int]:
    """Return when replicas that start in one instant call discovery, which answers or fails."""
    at: list[int] = []
    for me in range(replicas):
        now = START
        balancer = Balancer(config(replicas, replica=me, discovery_push=False), 1000 + me, now)
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
def test_two_hundred_that_start_together_do_not_call_discovery_together(failing: bool) -> None:
    """Two hundred replicas start in one instant, and discovery answers or fails: their calls come in no
    burst.
    """
    within = settings().rules.notification_deadline_ns
    at = calls(200, failing)
    assert len(at) >= 200 and min(Counter(me % 200 for me in range(len(at))).values()) >= 1
    first = [t for t in at if t <= START + within // 4]
    tenths = Counter((t - START) * 10 // (within // 4) for t in first)
    assert len(tenths) >= 10 and max(tenths.values()) <= 3 * len(first) / 10
    # Nor ever again, however often it fails: no tenth of a second has a burst of more than a tenth of all.
    assert max(Counter((t - START) // (SECOND // 10) for t in at).values()) <= 20


# ---- lists -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("replicas", [200, 1000])
@pytest.mark.parametrize("upstream_count", [60, 200, 1000])
def test_a_delta_of_the_list_draws_only_for_what_changed(
    replicas: int, upstream_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One upstream of a long list is replaced: its subset members alone are computed, and all replicas
    agree on them.
    """
    balancer = Balancer(config(replicas), 1, START)
    balancer.handle(START, [EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(upstream_count))])
    draws, stable_hash = [0], subsets.stable_hash

    def counted(number: int, salt: int) -> int:
        draws[0] += 1
        return stable_hash(number, salt)

    monkeypatch.setattr(subsets, "stable_hash", counted)
    old, new = upstreams(1)[0], Endpoint(upstream_count + 7, started_ns=START)
    balancer.handle(
        START + SECOND,
        [EndpointUpdate(EndpointUpdateKind.DELTA, [old._replace(state=EndpointState.REMOVED), new])],
    )
    degree = balancer.registry.unrestricted_pool.subset.degree
    assert draws[0] <= 2 + 3 * degree, f"{draws[0]} draws for one upstream that came, of {upstream_count}"
    # What was computed before is what a replica would find that starts now: all agree on the subsets.
    fresh = Balancer(config(replicas, replica=5), 2, START)
    fresh.handle(START, [EndpointUpdate(EndpointUpdateKind.SNAPSHOT, [*upstreams(upstream_count)[1:], new])])
    assert (
        balancer.registry.unrestricted_pool.subset.members == fresh.registry.unrestricted_pool.subset.members
    )


# ---- death and cuts --------------------------------------------------------------------------------------


def test_seven_in_ten_killed_the_others_carry_on_within_every_budget() -> None:
    """Forty-two of sixty replicas are killed: the others reach nearly all upstreams, with no burst of
    peer messages.
    """
    day = Simulation(config(60), 40, seed=4)
    traffic(day, 0, 8, 500)
    day.run_until(3 * SECOND)
    alive = random.Random(4).sample(range(60), 18)
    day.dead = set(range(60)) - set(alive)
    # The front deals what comes later among those that live.
    day.due = [
        (t, n, what, (*about[:4], alive[n % len(alive)]) if what == "arrive" else about)
        for t, n, what, about in day.due
    ]
    day.run_until(9 * SECOND)
    late = [me for t, me, _ in day.sends if t > 3 * SECOND]
    assert set(late) == set(alive)
    requested = Counter(me for _, me, _ in day.sends)
    assert min(requested[me] for me in alive) > 0
    # All six replicas that share an upstream are dead in one of eight cases: only widened subsets reach it.
    assert len({number for t, _, number in day.sends if t > 5 * SECOND}) >= 34
    assert day.messages < day.balancers[0].registry.unrestricted_pool.subset.degree * len(day.sends)


@pytest.mark.parametrize("knows", [True, False])
def test_an_unresponsive_zone_is_tried_sparingly_and_returns_without_a_rush(knows: bool) -> None:
    """Ten of forty upstreams say nothing for six seconds, as after a cut; the endpoint list says so
    late, or never.
    """
    day = Simulation(config(40), 40, seed=6)
    traffic(day, 0, 16, 400)
    day.run_until(4 * SECOND)
    day.unresponsive = set(range(1, 11))
    if knows:
        for me in range(40):
            removed = [Endpoint(i, EndpointState.REMOVED) for i in day.unresponsive]
            day.schedule(6 * SECOND, "update", (me, EndpointUpdate(EndpointUpdateKind.DELTA, removed)))
    day.run_until(10 * SECOND)
    to = [t for t, _, number in day.sends if number in day.unresponsive]
    if knows:
        assert not [t for t in to if t > 6 * SECOND]
    tried = [t for t in to if t > 5 * SECOND]
    sent = [t for t, _, _ in day.sends if t > 5 * SECOND]
    assert len(tried) <= 0.15 * len(sent)  # a quarter of all boxes: most of it is kept away from them
    cut = set(day.unresponsive)
    day.unresponsive = set()
    if knows:
        for me in range(40):
            back = [Endpoint(i, started_ns=day.now) for i in cut]
            day.schedule(day.now, "update", (me, EndpointUpdate(EndpointUpdateKind.DELTA, back)))
    returned = day.now
    day.run_until(17 * SECOND)
    for number in cut:
        sends = [t for t, _, b in day.sends if b == number and t >= returned]
        if knows:
            check_slow_start_budget(sends, returned, config(40).rules, 1 / 0.029)
        assert sends, f"upstream {number} is back, and gets nothing"
    assert served_share(day) > 0.8


# ---- little traffic and much -----------------------------------------------------------------------------


def test_balancers_with_hardly_any_traffic_serve_beside_busy_ones() -> None:
    """One replica gets a fiftieth of the traffic of the others, another five times as much: both serve
    nearly all of it.
    """
    weights = [0.02, *[1.0] * 18, 5.0]
    day = Simulation(config(20), 20, seed=8)
    traffic(day, 0, 20, 300, weights)
    day.run_until(22 * SECOND)
    for me in (0, 19):
        part = day.share(f"b{me}")
        assert part > 0.9, f"balancer {me}: {part:.2f} of {day.answers[f'b{me}', 'requested']}"


# ---- what the losses of the standing test came from ------------------------------------------------------


def fail(checked: CheckedBalancer, result: AttemptResult, seconds: int) -> None:
    """For so long, let attempts within the subset end like this, and all others be served."""
    unrestricted_pool = checked.balancer.registry.unrestricted_pool
    own_subset = {s.id for s in unrestricted_pool.subset.order[: unrestricted_pool.subset.size]}
    for i in range(20 * seconds):
        checked.give(arrival(f"{checked.now}-{i}", checked.now))
        checked.advance(10 * MS)
        for request, number in checked.out():
            at = checked.sends[request][number][0].id
            checked.finish(request, result if at in own_subset else AttemptResult.OK, number)
        checked.advance(40 * MS)


@pytest.mark.parametrize(
    ("result", "replaced"), [(AttemptResult.CONNECT_FAILED, True), (AttemptResult.ERROR, False)]
)
def test_others_replace_upstreams_that_cannot_be_reached(result: AttemptResult, replaced: bool) -> None:
    """All of a subset was in a zone that was cut off, and its replica served nothing for 5 s. Beyond
    its subset it draws blindly: an upstream that fails or is congested is no reason to.
    """
    checked = CheckedBalancer(config(40, classes={"read": READ}), upstream_count=40)
    unrestricted_pool = checked.balancer.registry.unrestricted_pool
    fail(checked, result, 3)
    assert (unrestricted_pool.subset.width > unrestricted_pool.subset.size + 1) is replaced
    before = len(checked.classes)
    fail(checked, result, 2)
    late = list(checked.classes)[before:]
    served_share = sum(checked.answer.get(name) == "served" for name in late) / len(late)
    assert served_share > 0.9 or not replaced
    fail(checked, AttemptResult.OK, 8)
    assert unrestricted_pool.subset.width == unrestricted_pool.subset.size  # and they make way again


@pytest.mark.parametrize("blind", [True, False])
def test_unplaceable_requests_lower_no_rate_where_work_is_announced(blind: bool) -> None:
    """A zone was lost: requests found no capacity, and R remained at 7 a second for ten seconds while
    the upstreams had some.
    """
    rate = CheckedBalancer(config(40, classes={"read": READ})).balancer.state.rate
    rate.on_time, rate.unplaceable = 30, 60
    rate.adjust(START + SECOND, 0.1, blind)
    assert (rate.rate_per_s < 5000) is blind


def test_the_rate_comes_back_the_sooner_the_further_from_congestion() -> None:
    """After a deep cut R grows, the faster the more time responses leave."""
    values = []
    for excess in (-0.05, -0.3):
        checked = CheckedBalancer(config(40, classes={"read": READ}))
        rate, token_bank = (
            checked.balancer.state.rate,
            next(iter(checked.balancer.state.tenants.banks.values())),
        )
        rate.rate_per_s = 7.0
        for i in range(1, 6):
            rate.on_time, token_bank.was_exhausted = 10, True
            rate.adjust(START + i * SECOND, excess)
        values.append(rate.rate_per_s)
    assert values[1] > 1.5 * values[0]
