"""Balancers with different settings in one process: each decides as it would alone."""

from __future__ import annotations

import random
from collections import Counter

from lanelift.policy.settings import Idempotency, Limits, RequestClass, Rules, Settings, Tenant
from tests.policy.checked_balancer import MS, SECOND, settings
from tests.policy.simulation import Simulation

HERE = settings(
    classes={"quote": RequestClass("quote", latency_objective_ns=100 * MS, deadline_ns=400 * MS)},
    limits=Limits(max_attempts=3, may_cancel=True, peer_messages=True),
    replica_count=6,
)
# The same names with another meaning: effect, times, limits, price of a look, a tenant's share.
THERE = settings(
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
STEP, STEPS = SECOND // 20, 100


def day(config: Settings, seed: int) -> Simulation:
    made, rng, now = Simulation(config, 8, seed), random.Random(seed), 0.0
    while now < 4:
        now += rng.expovariate(150)
        who = rng.choice(("ash", "elm", "nobody"))
        made.schedule_request(
            int(now * SECOND),
            who,
            int(rng.lognormvariate(3.5, 0.6) * MS),
            "quote",
            400 * MS,
            rng.randrange(config.replica_count),
        )
    return made


def outcome(played: Simulation) -> tuple[list[tuple[int, int, int]], Counter[tuple[str, str]], int]:
    return played.sends, played.answers, played.messages


def test_two_customers_in_one_process_decide_as_each_does_alone() -> None:
    """Two balancers with the same names for different things run in one process: neither changes a
    decision of the other.
    """
    alone = []
    for config, seed in ((HERE, 3), (THERE, 4)):
        one = day(config, seed)
        for step in range(STEPS):
            one.run_until(step * STEP)
        alone.append(outcome(one))
    both = [day(HERE, 3), day(THERE, 4)]
    for step in range(STEPS):
        for one in both:
            one.run_until(step * STEP)
    assert [outcome(one) for one in both] == alone
    assert all(len(sends) > 200 for sends, _, _ in alone)
    assert alone[0] != alone[1]
