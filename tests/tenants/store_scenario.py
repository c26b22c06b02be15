"""A tenant store with a simulated clock and a recorded log, and builders of parsed entries."""

from __future__ import annotations

from dataclasses import replace

from lanelift.tenants.entries import Parsed, Record
from lanelift.tenants.store import Reading, TenantStore
from lanelift.tenants.tenant_state import Changes, TenantState


class Scenario:
    """A tenant store, its clock, its log messages, and the tenants of all changes that it has returned."""

    def __init__(self, removal_part: float = 0.1) -> None:
        self.messages: list[str] = []
        self.store = TenantStore(removal_part, notify=lambda level, text: self.messages.append(text))
        self.now_s = 1_000_000.0
        self.tenants: dict[str, TenantState | None] = {}

    def apply(self, changes: Changes) -> Changes:
        """Apply changes as the balancer would; assert that each new state differs from the tenant's last."""
        for tenant in changes.tenants:
            assert self.tenants.get(tenant.name) != tenant
            self.tenants[tenant.name] = tenant
        for name in changes.removed:
            del self.tenants[name]
        assert self.tenants == self.store.sent
        return changes

    def seed(self, *names: str) -> None:
        """Seed the store with tenants of the settings."""
        self.store.seed((name, False, 1.0) for name in names)
        self.tenants.update(dict.fromkeys(names))

    def full(self, *entries: Parsed, source: int = 0, began: int | None = None) -> Changes:
        """Advance the clock by a second, and merge a full read that returns these entries."""
        self.now_s += 1
        began = self.store.revision if began is None else began
        return self.apply(self.store.merge(Reading(source, entries, True, began), self.now_s))

    def partial(self, *entries: Parsed, source: int = 0) -> Changes:
        """Advance the clock by a second, and merge a part of a full read, or a read of changes."""
        self.now_s += 1
        return self.apply(self.store.merge(Reading(source, entries, False), self.now_s))

    def __getitem__(self, name: str) -> TenantState:
        tenant = self.tenants[name]
        assert tenant is not None
        return tenant

    def denial_reason(self, name: str) -> str:
        """Return why a tenant is denied, or an empty text if it is served."""
        return self[name].denial_reason


PRESENT = frozenset({"cn", "standing", "modifytimestamp"})


def entry(name: str, stamp: int = 1, suspended: bool = False, id: str = "", **more: object) -> Parsed:
    """Return a valid entry; `more` are further fields of its record."""
    record = Record(id or f"id-{name}", name, suspended, stamp_us=stamp, present=PRESENT)
    return _valid(replace(record, **more))  # type: ignore[arg-type]


def _valid(record: Record) -> Parsed:
    return Parsed(f"cn={record.name}", record.id, record.name, record.suspended, record.stamp_us, record)


def invalid_entry(name: str, stamp: int = 2, suspended: bool = False) -> Parsed:
    """Return an entry whose share is invalid."""
    return Parsed(f"cn={name}", f"id-{name}", name, suspended, stamp, None, ["agentShare: found 'x'"])


def numbered_entries(count: int, stamp: int = 1) -> list[Parsed]:
    """Return valid entries of the tenants t000, t001 and so on."""
    return [entry(f"t{i:03}", stamp) for i in range(count)]
