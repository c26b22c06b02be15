"""The values that the keys of files set, and their defaults, under the names of lanelift's settings.

A rename in lanelift changes the right-hand sides here, and nothing else under `tests/pinned/`.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from enum import Enum
from pathlib import Path
from typing import Any

from lanelift.config.operator import read_operator_file
from lanelift.faults.schedule import ScheduleError, from_json, to_json
from lanelift.policy.settings import Settings
from lanelift.rehearsal.scenario import read_scenario
from lanelift.settings import read_settings
from lanelift.standins.directory import Directory

Values = dict[str, Any]


def of_platform(raw: Values) -> Values:
    """Returns each key of the object `settings` in `BALANCER_CONFIG`, with the balancer's value for it."""
    return _values(read_settings(raw))


def _values(read: Settings) -> Values:
    classes = [
        {
            "name": c.name,
            "repeat": c.idempotency,
            "dedup_scope": c.deduplication_scope,
            "window_ns": c.deduplication_window_ns,
            "aim_ns": c.latency_objective_ns,
            "hard_limit_ns": c.deadline_ns,
            "worth": c.priority_weight,
            "late_worth": c.late_weight,
            "stream": c.streaming,
            "fifo_by_key": c.ordered_by_key,
            "runs_in": sorted(c.zones),
            "allowed_on": sorted(c.machine_kinds),
        }
        for c in read.classes.values()
    ]
    limits, rules, prices = read.limits, read.rules, read.prices
    return _table(
        {
            "me": read.replica,
            "replicas_of_me": read.replica_count,
            "locality": read.zone,
            "registry_mode": read.discovery_push,
            "profiles": classes,
            "realms": [
                {"name": t.name, "share": t.share, "quota_per_s": t.quota_per_s}
                for t in read.tenants.values()
            ],
            "limits": {
                "send_cap": limits.max_attempts,
                "second_copies": limits.hedging,
                "may_cancel": limits.may_cancel,
                "probes": limits.load_probes,
                "peers": limits.peer_messages,
                "retry_after": limits.retry_after,
                "max_retry_after_ns": limits.max_retry_after_ns,
                "connect_timeout_ns": limits.connect_timeout_ns,
                "conn_idle_ns": limits.upstream_idle_timeout_ns,
                "max_open": limits.max_open_requests,
            },
            "rules": {
                "stop_sending_within_ns": rules.drain_grace_ns,
                "ask_within_ns": rules.notification_deadline_ns,
                "cold_from": rules.slow_start_initial_share,
                "cold_ns": rules.slow_start_ns,
                "fall_multiple": rules.overload_multiple,
                "overload_for_ns": rules.overload_window_ns,
                "turn_gap_ns": rules.key_cooldown_ns,
            },
            "prices": {
                "cross_zone": prices.cross_zone,
                "waste": prices.waste,
                "probe": prices.probe,
                "peer": prices.peer,
                "connection": prices.connection,
                "handshake": prices.handshake,
            },
            "load_report": {"columns": list(read.load_report_fields), "how": read.load_reports_in_responses},
        }
    )


def of_operator(path: Path) -> Values:
    """Returns, by the platform's keys, the settings that the operator's file and its defaults give."""
    told = read_operator_file(path).config()
    values = _values(told.settings)
    upstreams = [
        {
            "address": f"{e.host}:{e.port}",
            "number": e.entry.id,
            "state": e.entry.state,
            "zone": e.entry.zone,
            "cell": e.entry.cell,
            "weight": e.entry.weight,
            "kind": e.entry.kind,
        }
        for e in getattr(told.discovery, "endpoints", ())
    ]
    serve = {
        "listen": told.listen,
        "seed": told.seed,
        "sockets": told.sockets,
        "operator": told.operator,
        "discovery": told.discovery if isinstance(told.discovery, tuple) else "listed",
    }
    return _table({**serve, "upstream": upstreams, **values})


def of_operator_as_read(path: Path) -> Values:
    """Returns each key of the operator's file with the value read for it, or its default."""
    return read_operator_file(path).model_dump(mode="json", by_alias=True)


def of_scenario_as_read(path: Path) -> Values:
    """Returns each key of a scenario with the value read for it, or its default."""
    return read_scenario(str(path)).model_dump(mode="json", by_alias=True)


def schedule_again(text: bytes) -> bytes:
    """Reads and writes a schedule of faults; returns the error if it is refused."""
    try:
        return to_json(from_json(text))
    except ScheduleError as error:
        return str(error).encode()


def schedule_values(text: bytes) -> Values:
    """Returns the values that the keys of a schedule set."""
    read = from_json(text)
    return _table(
        {
            "seed": read.seed,
            "voters": read.voters,
            "contenders": read.contenders,
            "until_ms": read.until_ms,
            "steps": [
                {"at_ms": s.at_ms, "what": s.what, "who": s.who, "whom": s.whom, "ms": s.ms, "part": s.part}
                for s in read.steps
            ],
            "rates": read.rates,
            "loss": read.loss,
            "double": read.double,
            "plans": read.plans,
        }
    )


def _table(values: Values) -> Values:
    return {key: _plain(each) for key, each in values.items()}


def _plain(value: Any) -> Any:
    """Returns a value as JSON has it; for a member of an enum, the member's value."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {key: _plain(each) for key, each in value.items()}
    if isinstance(value, tuple | list):
        return [_plain(each) for each in value]
    assert not dataclasses.is_dataclass(value)
    return value


def directory(tree: Any, users: Mapping[str, str]) -> Any:
    """Returns an emulated LDAP directory, without TLS."""
    return Directory(tree, dict(users))
