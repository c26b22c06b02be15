"""What the balancer and its sync process say to each other: lines of JSON on a pipe, mapped to messages here.

The balancer sends `Configure`; the sync process sends the others. Pure.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from lanelift.tenants.sync_config import SyncConfig
from lanelift.tenants.tenant_state import Changes, TenantState

Json = dict[str, Any]
KnownTenant = tuple[str, bool, float]  # folded name, whether it is suspended, share

# Tenants in one line, each class and limit that they have counted as one more: what the balancer takes in on
# one turn of its loop. With what the last one has: 229 values of 256 characters at most (`entries.py`).
MAX_BATCH_VALUES = 100
MAX_LINE_BYTES = 2**20  # 229 values of 256 characters, 12 bytes each in JSON


@dataclass(frozen=True, slots=True)
class Configure:
    """To the sync process: what to read.

    Attributes:
        config: What to read, and when.
        known: The tenants that hold until a directory shows them; None: as before.
    """

    config: SyncConfig
    known: Sequence[KnownTenant] | None = None

    def to_json(self) -> Json:
        """Return the JSON object that stands for the message."""
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
    """From the sync process: tenants as they are now."""

    tenants: Sequence[TenantState]

    def to_json(self) -> Json:
        """Return the JSON object that stands for the message."""
        return {"tenants": self.tenants}


@dataclass(frozen=True, slots=True)
class TenantsRemoved:
    """From the sync process: names of those that are no tenants any more."""

    names: Sequence[str]

    def to_json(self) -> Json:
        """Return the JSON object that stands for the message."""
        return {"gone": self.names}


@dataclass(frozen=True, slots=True)
class FirstReadComplete:
    """From the sync process: a directory was read to its end for the first time.

    Attributes:
        tenants: How many tenants there are. From now on whoever was not sent is unknown.
    """

    tenants: int

    def to_json(self) -> Json:
        """Return the JSON object that stands for the message."""
        return {"complete": self.tenants}


@dataclass(frozen=True, slots=True)
class LogRecord:
    """From the sync process: a line for the balancer's log; `level` is "info", "warning" or "error"."""

    level: str
    text: str

    def to_json(self) -> Json:
        """Return the JSON object that stands for the message."""
        return {"log": [self.level, self.text]}


SyncMessage = TenantsChanged | TenantsRemoved | FirstReadComplete | LogRecord


def encoded(message: Configure | SyncMessage) -> bytes:
    """Return a message as a line of JSON."""
    return json.dumps(message.to_json(), separators=(",", ":")).encode() + b"\n"


def decoded(line: bytes | str) -> SyncMessage | None:
    """Read one line of the sync process; None: it is of a kind that is not known here.

    Raises:
        ValueError: The line is no JSON, or a tenant has too many or too few values.
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
    """Yield the messages that send these changes, each short enough for one turn of the balancer's loop."""
    for batch in batches(changes.tenants):
        yield TenantsChanged(batch)
    for start in range(0, len(changes.removed), MAX_BATCH_VALUES):
        yield TenantsRemoved(changes.removed[start : start + MAX_BATCH_VALUES])


def batches(tenants: Sequence[TenantState]) -> Iterator[list[TenantState]]:
    """Yield the tenants in the same order, in batches of `MAX_BATCH_VALUES` and what the last one has."""
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
