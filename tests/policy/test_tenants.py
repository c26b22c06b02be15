"""Tenants: the requests of one must not cost another."""

from __future__ import annotations

import random

import pytest

from lanelift.policy.settings import Idempotency, Limits, RequestClass, Settings, Tenant
from tests.policy.checked_balancer import MS, SECOND
from tests.policy.simulation import Simulation

QUOTE = RequestClass("quote", Idempotency.IDEMPOTENT, latency_objective_ns=264 * MS, deadline_ns=661 * MS)
SETTINGS = Settings(
    classes={"quote": QUOTE},
    tenants={"ash": Tenant("ash", 0.5), "birch": Tenant("birch", 0.5)},
    limits=Limits(max_attempts=3, may_cancel=True, retry_after=True),
)
WORK_MS = 50


def simulate(rates: dict[str, float], length_s: float = 20.0, seed: int = 1) -> Simulation:
    """Play four upstreams (80 requests a second) and Poisson streams; `*` is a flood under ever new names."""
    rng = random.Random(seed)
    day = Simulation(SETTINGS, 4, seed)
    for tenant, rate in rates.items():
        now, number = 0.0, 0
        while now < length_s:
            now += rng.expovariate(rate)
            number += 1
            name = f"nobody-{number}" if tenant == "*" else tenant
            day.schedule_request(
                int(now * SECOND), name, int(rng.expovariate(1 / WORK_MS) * MS) + MS, "quote", 300 * MS
            )
    day.run_until(int((length_s + 2) * SECOND))
    assert len(day.answered) == len(day.tenant)  # each has its answer
    return day


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_flood_of_unknown_tenants_costs_no_known_one(seed: int) -> None:
    """Thousands of unknown tenants flood the balancer. Once they spent the tokens of whichever tenant
    was listed first, which was served 12 % of its requests.
    """
    calm = simulate({"ash": 15, "birch": 15}, seed=seed)
    flood = simulate({"ash": 15, "birch": 15, "*": 300}, seed=seed)
    assert calm.share("ash") > 0.9 and calm.share("birch") > 0.9
    for tenant in ("ash", "birch"):
        assert flood.share(tenant) > calm.share(tenant) - 0.1
    unknown_served = sum(
        n for (tenant, what), n in flood.answers.items() if what == "served" and "nobody" in tenant
    )
    assert unknown_served > 50  # they have a part of their own, and no more: nothing is lent to them


def test_few_requests_of_unknown_tenants_are_admitted_like_any() -> None:
    """Unknown tenants send few requests: nearly all are served."""
    day = simulate({"ash": 15, "birch": 15, "*": 5})
    requested = sum(
        n for (tenant, what), n in day.answers.items() if what == "requested" and "nobody" in tenant
    )
    served = sum(n for (tenant, what), n in day.answers.items() if what == "served" and "nobody" in tenant)
    assert served > 0.9 * requested
