"""States of tenants, as they are sent to the balancer's process. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from lanelift.tenants.entries import Record


class TenantState(NamedTuple):
    """The current state of one tenant.

    Attributes:
        name: Folded name.
        denial_reason: Why all requests of the tenant are denied; empty: they are served.
        share: The tenant's weight when capacity is divided among tenants.
        quota_per_s: Requests per second, over all classes; None: not limited.
        classes: The classes that the tenant may request, sorted; empty: any.
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
    """Changes to send to the balancer: the new states of tenants, and the names of removed tenants."""

    tenants: list[TenantState] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.tenants or self.removed)


def denial_reason(records: Sequence[Record], now_s: float) -> str:
    """Return why the requests of a tenant are denied, or an empty text if they are served.

    Args:
        records: The tenant's records. Any record can suspend the tenant; the first determines its validity.
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
