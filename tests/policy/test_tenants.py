"""Tenants: the requests of one tenant must not take capacity from another."""

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
    """Simulate four upstreams (80 requests per second) and a Poisson stream of requests for each tenant.

    Each request of the tenant `*` has a tenant name of its own, which the settings do not list.
    """
    rng = random.Random(seed)
    simulation = Simulation(SETTINGS, 4, seed)
    for tenant, rate in rates.items():
        now, number = 0.0, 0
        while now < length_s:
            now += rng.expovariate(rate)
            number += 1
            name = f"nobody-{number}" if tenant == "*" else tenant
            simulation.schedule_request(
                int(now * SECOND), name, int(rng.expovariate(1 / WORK_MS) * MS) + MS, "quote", 300 * MS
            )
    simulation.run_until(int((length_s + 2) * SECOND))
    assert len(simulation.answered) == len(simulation.tenant)  # each request has its answer
    return simulation


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_flood_of_unknown_tenants_does_not_affect_known_ones(seed: int) -> None:
    """Thousands of unknown tenants flood the balancer.

    They used to spend the tokens of whichever tenant was listed first, which was then served 12 % of its
    requests.
    """
    calm = simulate({"ash": 15, "birch": 15}, seed=seed)
    flood = simulate({"ash": 15, "birch": 15, "*": 300}, seed=seed)
    assert calm.share("ash") > 0.9 and calm.share("birch") > 0.9
    for tenant in ("ash", "birch"):
        assert flood.share(tenant) > calm.share(tenant) - 0.1
    unknown_served = sum(
        n for (tenant, what), n in flood.counts.items() if what == "served" and "nobody" in tenant
    )
    # Unknown tenants have a share of their own, but no unused rate is lent to them.
    assert unknown_served > 50


def test_few_requests_of_unknown_tenants_are_admitted() -> None:
    """Unknown tenants send few requests: nearly all are served."""
    simulation = simulate({"ash": 15, "birch": 15, "*": 5})
    requested = sum(
        n for (tenant, what), n in simulation.counts.items() if what == "requested" and "nobody" in tenant
    )
    served = sum(
        n for (tenant, what), n in simulation.counts.items() if what == "served" and "nobody" in tenant
    )
    assert served > 0.9 * requested
