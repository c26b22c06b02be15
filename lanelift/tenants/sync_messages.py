"""Messages between the balancer and its sync process, and their encoding as lines of JSON. Pure.

The balancer sends `Configure`; the sync process sends the other messages.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from lanelift.tenants.sync_config import SyncConfig
from lanelift.tenants.tenant_state import Changes, TenantState

Json = dict[str, Any]
KnownTenant = tuple[str, bool, float]  # folded name, whether the tenant is suspended, share

# A line ends once it has this many values. Each tenant counts as one value, and each of its classes and
# limits as one more. The balancer handles one line in each iteration of its event loop. A line's last tenant
# may exceed this number, so a line has at most 229 values of 256 characters (`entries.py`).
MAX_BATCH_VALUES = 100
# Limits a line; 229 values of 256 characters fit, with up to 12 bytes per character in JSON.
MAX_LINE_BYTES = 2**20


@dataclass(frozen=True, slots=True)
class Configure:
    """To the sync process: its configuration.

    Attributes:
        config: The new configuration.
        known: The tenants that the balancer has already (`TenantStore.seed`); None to add no tenants.
    """

    config: SyncConfig
    known: Sequence[KnownTenant] | None = None

    def to_json(self) -> Json:
        """Return the message as a JSON object."""
        known = {} if self.known is None else {"seed": self.known}
        return {"job": self.config.to_json(), **known}

    @classmethod
    def from_json(cls, raw: Json) -> Configure:
        """Build the message from its JSON object.

        Raises:
            KeyError: A key is missing.
            TypeError: A part of the configuration has an unknown or a missing key.
        """
        return cls(SyncConfig.from_json(raw["job"]), raw.get("seed"))


@dataclass(frozen=True, slots=True)
class TenantsChanged:
    """From the sync process: the new states of tenants."""

    tenants: Sequence[TenantState]

    def to_json(self) -> Json:
        """Return the message as a JSON object."""
        return {"tenants": self.tenants}


@dataclass(frozen=True, slots=True)
class TenantsRemoved:
    """From the sync process: the names of removed tenants."""

    names: Sequence[str]

    def to_json(self) -> Json:
        """Return the message as a JSON object."""
        return {"gone": self.names}


@dataclass(frozen=True, slots=True)
class FirstReadComplete:
    """From the sync process: a directory was read completely for the first time.

    Attributes:
        tenants: Number of tenants. From now on a tenant that was not sent is unknown.
    """

    tenants: int

    def to_json(self) -> Json:
        """Return the message as a JSON object."""
        return {"complete": self.tenants}


@dataclass(frozen=True, slots=True)
class LogRecord:
    """From the sync process: a line for the balancer's log; `level` is "info", "warning" or "error"."""

    level: str
    text: str

    def to_json(self) -> Json:
        """Return the message as a JSON object."""
        return {"log": [self.level, self.text]}


SyncMessage = TenantsChanged | TenantsRemoved | FirstReadComplete | LogRecord


def encoded(message: Configure | SyncMessage) -> bytes:
    """Return a message as a line of JSON."""
    return json.dumps(message.to_json(), separators=(",", ":")).encode() + b"\n"


def decoded(line: bytes | str) -> SyncMessage | None:
    """Parse one line of the sync process; return None for a message of an unknown kind.

    Raises:
        ValueError: The line is not JSON, or a tenant has too many or too few values.
    """
    raw = json.loads(line)
    if "tenants" in raw:
        return TenantsChanged([_tenant_state(row) for row in raw["tenants"]])
    if "gone" in raw:
        return TenantsRemoved(raw["gone"])
    if "complete" in raw:
        return FirstReadComplete(raw["complete"])
    if "log" in raw:
        level, text = raw["log"]
        return LogRecord(level, text)
    return None


def change_messages(changes: Changes) -> Iterator[SyncMessage]:
    """Yield messages for these changes, each short enough for one iteration of the balancer's event loop."""
    for batch in batches(changes.tenants):
        yield TenantsChanged(batch)
    for start in range(0, len(changes.removed), MAX_BATCH_VALUES):
        yield TenantsRemoved(changes.removed[start : start + MAX_BATCH_VALUES])


def batches(tenants: Sequence[TenantState]) -> Iterator[list[TenantState]]:
    """Yield the tenants in batches, in their order; a batch ends when it has `MAX_BATCH_VALUES` or more."""
    batch: list[TenantState] = []
    size = 0
    for tenant in tenants:
        batch.append(tenant)
        size += 1 + len(tenant.classes) + len(tenant.limits)
        if size >= MAX_BATCH_VALUES:
            yield batch
            batch, size = [], 0
    if batch:
        yield batch


def _tenant_state(row: Sequence[Any]) -> TenantState:
    name, denial_reason, share, quota_per_s, classes, limits = row
    limits = tuple((class_name, rate) for class_name, rate in limits)
    return TenantState(name, denial_reason, share, quota_per_s, tuple(classes), limits)
