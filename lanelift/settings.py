"""Reads the platform's settings object into the typed settings of the policy.

The simulator's first message and a real balancer's configuration both hold this object, and it is read only
here. Unknown keys are skipped, and absent keys keep their defaults.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

from lanelift.errors import LaneliftError
from lanelift.policy.settings import (
    DeduplicationScope,
    Idempotency,
    Limits,
    Prices,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)

Json = dict[str, Any]

# The platform's names are on the left, the policy's on the right. No other module uses the platform's names.
CLASS_FIELDS = {
    "window_ns": "deduplication_window_ns",
    "aim_ns": "latency_objective_ns",
    "hard_limit_ns": "deadline_ns",
    "worth": "priority_weight",
    "late_worth": "late_weight",
    "stream": "streaming",
    "fifo_by_key": "ordered_by_key",
}
TENANT_FIELDS = {"share": "share", "quota_per_s": "quota_per_s"}
LIMITS_FIELDS = {
    "send_cap": "max_attempts",
    "second_copies": "hedging",
    "may_cancel": "may_cancel",
    "probes": "load_probes",
    "peers": "peer_messages",
    "retry_after": "retry_after",
    "max_retry_after_ns": "max_retry_after_ns",
    "connect_timeout_ns": "connect_timeout_ns",
    "conn_idle_ns": "upstream_idle_timeout_ns",
    "max_open": "max_open_requests",
}
RULES_FIELDS = {
    "stop_sending_within_ns": "drain_grace_ns",
    "ask_within_ns": "notification_deadline_ns",
    "cold_from": "slow_start_initial_share",
    "cold_ns": "slow_start_ns",
    "fall_multiple": "overload_multiple",
    "overload_for_ns": "overload_window_ns",
    "turn_gap_ns": "key_cooldown_ns",
}
PRICES_FIELDS = {
    "cross_zone": "cross_zone",
    "waste": "waste",
    "probe": "probe",
    "peer": "peer",
    "connection": "connection",
    "handshake": "handshake",
}
IDEMPOTENCY = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
DISCOVERY_PUSH = {"push": True, "ask": False}
SHOWN_CHARACTERS = 80  # largest number of characters of a wrong value that an error message shows
TYPE_NAMES = {
    int: "a whole number",
    float: "a number",
    str: "text",
    bool: "true or false",
    dict: "an object",
    list: "an array",
}
SCOPES = {scope.value: scope for scope in DeduplicationScope}


class SettingsError(LaneliftError):
    """Input that the wire or the platform's configuration does not allow."""


def require(row: Json, key: str, kind: type) -> Any:
    """Return a field that must be present and of this type; a bool does not count as a whole number.

    Raises:
        SettingsError: The field is absent or of another type.
    """
    if key not in row:
        raise SettingsError(f"{row.get('t', 'entry')} lacks {key}")
    return check_type(row[key], key, kind)


def optional(row: Json, key: str, kind: type, default: Any) -> Any:
    """Return a field of this type, or the default if the field is absent or null.

    Raises:
        SettingsError: The field is of another type.
    """
    return default if row.get(key) is None else check_type(row[key], key, kind)


def check_type(value: Any, key: str, kind: type) -> Any:
    """Return the value if it is of this type; `float` accepts whole numbers, too.

    Raises:
        SettingsError: The value is of another type; the message names it by `key`.
    """
    fits = isinstance(value, (int, float) if kind is float else kind)
    if not fits or (isinstance(value, bool) and kind is not bool):
        raise SettingsError(f"{key} must be {TYPE_NAMES[kind]}, not {json.dumps(value)[:SHOWN_CHARACTERS]}")
    return value


def choice(row: Json, key: str, choices: Mapping[Any, Any], default: Any = None) -> Any:
    """Return the entry of `choices` for a field's value, which must be one of its keys.

    Raises:
        SettingsError: The value is not among the choices.
    """
    value = row.get(key, default)
    if not isinstance(value, (str, int)) or isinstance(value, bool) or value not in choices:
        shown = json.dumps(value)[:SHOWN_CHARACTERS]
        raise SettingsError(f"{row.get('t', 'entry')} has unknown {key} {shown}")
    return choices[value]


def _read_known(row: Json, settings_type: type, names: Mapping[str, str]) -> Json:
    """Return the given fields that are known, under the policy's names."""
    types = {f.name: type(f.default) for f in dataclasses.fields(settings_type)}
    return {
        own_name: check_type(row[platform_name], platform_name, types[own_name])
        for platform_name, own_name in names.items()
        if row.get(platform_name) is not None
    }


def _read_names(row: Json, key: str) -> frozenset[str]:
    return frozenset(check_type(name, key, str) for name in optional(row, key, list, ()))


def read_class(row: Json) -> RequestClass:
    """Read one request class (an entry of `profiles`). Raises SettingsError."""
    given = _read_known(row, RequestClass, CLASS_FIELDS)
    return RequestClass(
        require(row, "name", str),
        choice(row, "repeat", IDEMPOTENCY, "non_idempotent"),
        choice(row, "dedup_scope", SCOPES, "all"),
        zones=_read_names(row, "runs_in"),
        machine_kinds=_read_names(row, "allowed_on"),
        **given,
    )


def read_tenant(row: Json) -> Tenant:
    """Read one tenant (an entry of `realms`). Raises SettingsError."""
    return Tenant(require(row, "name", str), **_read_known(row, Tenant, TENANT_FIELDS))


def read_settings(raw: Json) -> Settings:
    """Read the whole settings object. Raises SettingsError."""
    classes = [read_class(check_type(row, "profiles", dict)) for row in optional(raw, "profiles", list, ())]
    tenants = [read_tenant(check_type(row, "realms", dict)) for row in optional(raw, "realms", list, ())]
    limits = _read_known(optional(raw, "limits", dict, {}), Limits, LIMITS_FIELDS)
    rules = _read_known(optional(raw, "rules", dict, {}), Rules, RULES_FIELDS)
    prices = _read_known(optional(raw, "prices", dict, {}), Prices, PRICES_FIELDS)
    reports = optional(raw, "load_report", dict, {})
    return Settings(
        replica=optional(raw, "me", int, 0),
        replica_count=optional(raw, "replicas_of_me", int, 1),
        zone=optional(raw, "locality", str, ""),
        discovery_push=choice(raw, "registry_mode", DISCOVERY_PUSH, "push"),
        classes={request_class.name: request_class for request_class in classes},
        tenants={tenant.name: tenant for tenant in tenants},
        limits=Limits(**limits),
        rules=Rules(**rules),
        prices=Prices(**prices),
        load_report_fields=tuple(
            check_type(column, "columns", str) for column in optional(reports, "columns", list, ())
        ),
        load_reports_in_responses=reports.get("how") == "answers",
    )
