"""Generates the operator's file of a balancer, for scenarios in which directories list the tenants.

In other scenarios a balancer is configured as the platform configures it (`plan.balancer_settings`).
Performs no I/O.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from lanelift.rehearsal.plan import Plan

BASE = "ou=agents,dc=rehearsal,dc=local"


def operator_file(
    plan: Plan, balancer: int, seed: str, listen: str, discovery: str, directories: Sequence[str]
) -> str:
    """Returns the operator's file as TOML, as `lanelift serve` reads it."""
    scenario, table = plan.scenario, plan.scenario.directory
    assert table is not None
    parts = [
        _table(
            "serve",
            listen=listen,
            seed=seed,
            sockets=scenario.limits.sockets,
            zone=scenario.fleet.rooms[balancer % len(scenario.fleet.rooms)],
            balancers=scenario.fleet.balancers,
            number=balancer,
        ),
        _table("discovery", address=discovery, push=scenario.discovery.mode == "push"),
        _table(
            "limits",
            max_attempts=scenario.limits.max_attempts,
            cancel=True,
            probes=True,
            retry_after=scenario.limits.retry_after,
            max_retry_after_ms=scenario.limits.max_retry_after_ms,
            connect_timeout_ms=scenario.limits.connect_timeout_ms,
            idle_ms=scenario.box.idle_s * 1000,
        ),
        _table(
            "rules",
            drain_grace_ms=scenario.rules.drain_grace_ms,
            cold_from=scenario.box.cold_from,
            cold_ms=scenario.box.cold_s * 1000,
            fall_multiple=scenario.rules.fall_multiple,
            fall_ms=scenario.rules.fall_ms,
        ),
    ]
    for c in scenario.classes:
        parts.append(
            _table(
                "[class]",
                name=c.name,
                effect=c.effect,
                aim_ms=c.aim_ms,
                deadline_ms=c.deadline_ms,
                worth=c.worth,
            )
        )
    parts += [_table("[tenant]", name=t.name, share=t.share) for t in scenario.tenants]
    parts.append(
        _table(
            "tenants",
            base=BASE,
            filter="(objectClass=agent)",
            unknown=table.unknown,
            every_s=table.every_s,
            whole_s=table.whole_s,
        )
    )
    parts.append(_table("tenants.map", standing="agentStanding", share="agentShare"))
    for address in directories:
        parts.append(
            _table("[tenants.directory]", url=f"ldap://{address}", tls="off", timeout_s=table.timeout_s)
        )
    return "\n".join(parts)


def _table(title: str, /, **rows: Any) -> str:
    # Strings, booleans and finite numbers have the same form in JSON and TOML.
    return f"[{title}]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in rows.items())
