"""Behaviour that shows only with many replicas, up to a thousand.

All replicas start at the same time, most of them are killed, a zone is cut off, endpoint lists change all the
time, and replicas with little traffic run beside busy ones.
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

PEER_LIMITS = Limits(max_attempts=3, may_cancel=True, peer_messages=True, retry_after=True)
QUOTE = RequestClass("quote", latency_objective_ns=200 * MS, deadline_ns=600 * MS)


def config(replicas: int, **changes: object) -> Settings:
    base: dict[str, object] = {"classes": {"quote": QUOTE}, "limits": PEER_LIMITS, "replica_count": replicas}
    return settings(**{**base, **changes})


def schedule_traffic(
    simulation: Simulation,
    since: float,
    until: float,
    per_s: float,
    weights: list[float] | None = None,
    seed: int = 3,
) -> None:
    """Schedule requests with 30 ms of work each, from `since` to `until` (seconds), to replicas by weight."""
    rng, now = random.Random(seed), since
    replicas = range(len(simulation.balancers))
    while True:
        now += rng.expovariate(per_s)
        if now >= until:
            return
        work = max(1, int(rng.lognormvariate(3.3, 0.4) * MS))
        replica = rng.choices(replicas, weights)[0]
        simulation.schedule_request(int(now * SECOND), f"b{replica}", work, "quote", 600 * MS, replica)


def served_share(simulation: Simulation) -> float:
    requested = sum(n for (_, what), n in simulation.counts.items() if what == "requested")
    return sum(n for (_, what), n in simulation.counts.items() if what == "served") / requested


# ---- starts ----------------------------------------------------------------------------------------------


def discovery_call_times(replicas: int, failing: bool) -> list[int]:
    """Return the times at which replicas that start together call discovery, which answers or fails."""
    at: list[int] = []
    for replica in range(replicas):
        now = START
        balancer = Balancer(config(replicas, replica=replica, discovery_push=False), 1000 + replica, now)
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
def test_two_hundred_replicas_that_start_together_spread_their_discovery_calls(failing: bool) -> None:
    """Two hundred replicas start at the same time, and discovery answers or fails: their calls do not come in
    bursts.
    """
    within = settings().rules.notification_deadline_ns
    at = discovery_call_times(200, failing)
    assert len(at) >= 200 and min(Counter(replica % 200 for replica in range(len(at))).values()) >= 1
    first = [t for t in at if t <= START + within // 4]
    tenths = Counter((t - START) * 10 // (within // 4) for t in first)
    assert len(tenths) >= 10 and max(tenths.values()) <= 3 * len(first) / 10
    # Later calls are also spread, however often calls fail: at most a tenth of all replicas call in any tenth
    # of a second.
    assert max(Counter((t - START) // (SECOND // 10) for t in at).values()) <= 20


# ---- lists -----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("replicas", [200, 1000])
@pytest.mark.parametrize("upstream_count", [60, 200, 1000])
def test_a_delta_computes_subset_members_only_for_what_changed(
    replicas: int, upstream_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One upstream of a long list is replaced: only its subset members are computed, and all replicas agree
    on them.
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
    assert draws[0] <= 2 + 3 * degree, f"{draws[0]} draws for one new upstream, of {upstream_count}"
    # A replica that starts now computes the same members, so all replicas agree on the subsets.
    fresh = Balancer(config(replicas, replica=5), 2, START)
    fresh.handle(START, [EndpointUpdate(EndpointUpdateKind.SNAPSHOT, [*upstreams(upstream_count)[1:], new])])
    assert (
        balancer.registry.unrestricted_pool.subset.members == fresh.registry.unrestricted_pool.subset.members
    )


# ---- killed replicas and cut-off zones --------------------------------------------------------------------


def test_after_seven_in_ten_replicas_are_killed_the_others_reach_nearly_all_upstreams() -> None:
    """Forty-two of sixty replicas are killed: the others reach nearly all upstreams, with no burst of
    peer messages.
    """
    simulation = Simulation(config(60), 40, seed=4)
    schedule_traffic(simulation, 0, 8, 500)
    simulation.run_until(3 * SECOND)
    alive = random.Random(4).sample(range(60), 18)
    simulation.killed = set(range(60)) - set(alive)
    # Later requests are spread over the replicas that are alive.
    simulation.due = [
        (t, n, what, (*about[:4], alive[n % len(alive)]) if what == "arrive" else about)
        for t, n, what, about in simulation.due
    ]
    simulation.run_until(9 * SECOND)
    late = [replica for t, replica, _ in simulation.attempt_log if t > 3 * SECOND]
    assert set(late) == set(alive)
    requested = Counter(replica for _, replica, _ in simulation.attempt_log)
    assert min(requested[replica] for replica in alive) > 0
    # In one of eight cases, all six replicas that share an upstream are dead: only widened subsets reach it.
    assert len({number for t, _, number in simulation.attempt_log if t > 5 * SECOND}) >= 34
    assert simulation.messages < simulation.balancers[0].registry.unrestricted_pool.subset.degree * len(
        simulation.attempt_log
    )


@pytest.mark.parametrize("list_is_updated", [True, False])
def test_an_unresponsive_zone_gets_few_attempts_and_returns_without_a_burst(list_is_updated: bool) -> None:
    """Ten of forty upstreams do not respond for six seconds, as when they are cut off; the list removes them
    late or never.
    """
    simulation = Simulation(config(40), 40, seed=6)
    schedule_traffic(simulation, 0, 16, 400)
    simulation.run_until(4 * SECOND)
    simulation.unresponsive = set(range(1, 11))
    if list_is_updated:
        for replica in range(40):
            removed = [Endpoint(i, EndpointState.REMOVED) for i in simulation.unresponsive]
            simulation.schedule(
                6 * SECOND, "update", (replica, EndpointUpdate(EndpointUpdateKind.DELTA, removed))
            )
    simulation.run_until(10 * SECOND)
    to = [t for t, _, number in simulation.attempt_log if number in simulation.unresponsive]
    if list_is_updated:
        assert not [t for t in to if t > 6 * SECOND]
    tried = [t for t in to if t > 5 * SECOND]
    sent = [t for t, _, _ in simulation.attempt_log if t > 5 * SECOND]
    # A quarter of all upstreams is cut off, and most attempts avoid them.
    assert len(tried) <= 0.15 * len(sent)
    cut = set(simulation.unresponsive)
    simulation.unresponsive = set()
    if list_is_updated:
        for replica in range(40):
            back = [Endpoint(i, started_ns=simulation.now) for i in cut]
            simulation.schedule(
                simulation.now, "update", (replica, EndpointUpdate(EndpointUpdateKind.DELTA, back))
            )
    returned = simulation.now
    simulation.run_until(17 * SECOND)
    for number in cut:
        sends = [t for t, _, b in simulation.attempt_log if b == number and t >= returned]
        if list_is_updated:
            check_slow_start_budget(sends, returned, config(40).rules, 1 / 0.029)
        assert sends, f"upstream {number} has returned, but gets no attempt"
    assert served_share(simulation) > 0.8


# ---- uneven traffic ---------------------------------------------------------------------------------------


def test_replicas_with_little_traffic_serve_beside_busy_ones() -> None:
    """One replica gets a fiftieth of the traffic of the others, another gets five times as much: both
    serve nearly all of their traffic.
    """
    weights = [0.02, *[1.0] * 18, 5.0]
    simulation = Simulation(config(20), 20, seed=8)
    schedule_traffic(simulation, 0, 20, 300, weights)
    simulation.run_until(22 * SECOND)
    for replica in (0, 19):
        part = simulation.share(f"b{replica}")
        assert part > 0.9, (
            f"balancer {replica}: {part:.2f} of {simulation.counts[f'b{replica}', 'requested']}"
        )


# ---- faults that lost requests when a zone was cut off -----------------------------------------------------


def finish_attempts(checked: CheckedBalancer, result: AttemptResult, seconds: int) -> None:
    """For `seconds`, let attempts within the subset end with `result`, and serve all other attempts."""
    pool = checked.balancer.registry.unrestricted_pool
    own_subset = {s.id for s in pool.subset.order[: pool.subset.size]}
    for i in range(20 * seconds):
        checked.handle(arrival(f"{checked.now}-{i}", checked.now))
        checked.advance(10 * MS)
        for request, number in checked.attempts_in_flight():
            at = checked.attempts[request][number][0].id
            checked.finish(request, result if at in own_subset else AttemptResult.OK, number)
        checked.advance(40 * MS)


@pytest.mark.parametrize(
    ("result", "replaced"), [(AttemptResult.CONNECT_FAILED, True), (AttemptResult.ERROR, False)]
)
def test_unreachable_upstreams_are_replaced_in_the_subset(result: AttemptResult, replaced: bool) -> None:
    """A whole subset was in a zone that was cut off, and its replica served nothing for 5 s.

    Upstreams that fail or are congested are not replaced, as a replica knows nothing of the load outside its
    subset.
    """
    checked = CheckedBalancer(config(40, classes={"read": READ}), upstream_count=40)
    pool = checked.balancer.registry.unrestricted_pool
    finish_attempts(checked, result, 3)
    assert (pool.subset.width > pool.subset.size + 1) is replaced
    before = len(checked.classes)
    finish_attempts(checked, result, 2)
    late = list(checked.classes)[before:]
    served_share = sum(checked.answer.get(name) == "served" for name in late) / len(late)
    assert served_share > 0.9 or not replaced
    finish_attempts(checked, AttemptResult.OK, 8)
    assert pool.subset.width == pool.subset.size  # the subset has narrowed again


@pytest.mark.parametrize("count_unplaceable", [True, False])
def test_unplaceable_requests_do_not_lower_the_rate_where_work_is_announced(count_unplaceable: bool) -> None:
    """A zone was lost: requests found no capacity, and R stayed at 7 per second for ten seconds while
    upstreams had capacity.
    """
    rate = CheckedBalancer(config(40, classes={"read": READ})).balancer.state.rate
    rate.on_time, rate.unplaceable = 30, 60
    rate.adjust(START + SECOND, 0.1, count_unplaceable)
    assert (rate.rate_per_s < 5000) is count_unplaceable


def test_the_rate_recovers_faster_the_further_from_congestion() -> None:
    """After a deep cut, R grows faster the further the latency ratio is below the congestion threshold."""
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
