"""What holds of tenants, as it is sent to the balancer's process. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from lanelift.tenants.entries import Record


class TenantState(NamedTuple):
    """What holds of one tenant now.

    Attributes:
        name: Folded name.
        denial_reason: Why none of its requests is served; empty: they are.
        share: Its part of the capacity, beside the others'.
        quota_per_s: Requests per second, of all classes together; None: not limited.
        classes: The only classes it may ask for, sorted; empty: any.
        limits: Requests per second, by class.
    """

    name: str
    denial_reason: str
    share: float
    quota_per_s: float | None
    classes: tuple[str, ...]
    limits: tuple[tuple[str, float], ...]


@dataclass(slots=True)
class Changes:
    """What is to be sent: tenants as they are now, and the names of those that are none any more."""

    tenants: list[TenantState] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.tenants or self.removed)


def denial_reason(records: Sequence[Record], now_s: float) -> str:
    """Return why a tenant is not served, or nothing: a suspension by any entry, or the validity of the first.

    Args:
        records: What the tenant's entries say, the one that holds first.
        now_s: Seconds since 1970.
    """
    first = records[0]
    if any(record.suspended for record in records):
        return "suspended"
    if first.valid_from_s is not None and now_s < first.valid_from_s:
        return "not valid yet"
    if first.valid_until_s is not None and now_s >= first.valid_until_s:
        return "no longer valid"
    return ""
