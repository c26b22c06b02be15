"""Balancers with different settings in one process: each decides as it would alone."""

from __future__ import annotations

import random
from collections import Counter

from lanelift.policy.settings import Idempotency, Limits, RequestClass, Rules, Settings, Tenant
from tests.policy.checked_balancer import MS, SECOND, settings
from tests.policy.simulation import Simulation

FIRST_SETTINGS = settings(
    classes={"quote": RequestClass("quote", latency_objective_ns=100 * MS, deadline_ns=400 * MS)},
    limits=Limits(max_attempts=3, may_cancel=True, peer_messages=True),
    replica_count=6,
)
# The same names with other meanings: idempotency, times, limits, load probes, a tenant's share.
SECOND_SETTINGS = settings(
    classes={
        "quote": RequestClass(
            "quote", Idempotency.NON_IDEMPOTENT, latency_objective_ns=900 * MS, deadline_ns=3 * SECOND
        )
    },
    tenants={"ash": Tenant("ash", 0.1), "elm": Tenant("elm", 0.9)},
    limits=Limits(max_attempts=1, load_probes=True),
    load_report_fields=("inflight",),
    rules=Rules(slow_start_ns=4 * SECOND, overload_multiple=2.0),
    replica_count=2,
)
STEP_NS, STEP_COUNT = SECOND // 20, 100


def simulate(config: Settings, seed: int) -> Simulation:
    simulation, rng, now = Simulation(config, 8, seed), random.Random(seed), 0.0
    while now < 4:
        now += rng.expovariate(150)
        tenant = rng.choice(("ash", "elm", "nobody"))
        simulation.schedule_request(
            int(now * SECOND),
            tenant,
            int(rng.lognormvariate(3.5, 0.6) * MS),
            "quote",
            400 * MS,
            rng.randrange(config.replica_count),
        )
    return simulation


def outcome(played: Simulation) -> tuple[list[tuple[int, int, int]], Counter[tuple[str, str]], int]:
    return played.attempt_log, played.counts, played.messages


def test_two_balancers_in_one_process_decide_as_each_does_alone() -> None:
    """Two balancers use the same names for different things in one process: neither changes a decision of the
    other.
    """
    alone = []
    for config, seed in ((FIRST_SETTINGS, 3), (SECOND_SETTINGS, 4)):
        simulation = simulate(config, seed)
        for step in range(STEP_COUNT):
            simulation.run_until(step * STEP_NS)
        alone.append(outcome(simulation))
    both = [simulate(FIRST_SETTINGS, 3), simulate(SECOND_SETTINGS, 4)]
    for step in range(STEP_COUNT):
        for simulation in both:
            simulation.run_until(step * STEP_NS)
    assert [outcome(simulation) for simulation in both] == alone
    assert all(len(sends) > 200 for sends, _, _ in alone)
    assert alone[0] != alone[1]
