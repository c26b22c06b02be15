"""Timer for the beginning and end of tenants' validity. Pure: the caller passes the time."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from lanelift.tenants.entries import Record

# The heap is rebuilt once its length exceeds twice the length of `due` by more than this number.
MIN_HEAP_SLACK = 3


@dataclass(slots=True)
class ValidityTimer:
    """The next boundary of each tenant's validity, in seconds since 1970.

    Attributes:
        due: By tenant: when the tenant's validity next begins or ends.
        boundaries: The same times as a heap. Outdated times stay in the heap until the heap is longer than
            twice `due` plus `MIN_HEAP_SLACK`; then the heap is rebuilt, so that validities that change often
            do not fill it.
    """

    due: dict[str, float] = field(default_factory=dict)
    boundaries: list[tuple[float, str]] = field(default_factory=list)

    def schedule(self, record: Record, now_s: float) -> None:
        """Store when the validity of the record's tenant next begins or ends."""
        bounds = (record.valid_from_s, record.valid_until_s)
        ahead = [bound_s for bound_s in bounds if bound_s is not None and bound_s > now_s]
        if not ahead:
            self.clear(record.name)
            return
        if self.due.get(record.name) == min(ahead):
            return
        self.due[record.name] = min(ahead)
        heapq.heappush(self.boundaries, (min(ahead), record.name))
        if len(self.boundaries) > 2 * len(self.due) + MIN_HEAP_SLACK:
            self.boundaries = [(due_s, name) for name, due_s in self.due.items()]
            heapq.heapify(self.boundaries)

    def clear(self, name: str) -> None:
        """Forget a tenant's boundary."""
        self.due.pop(name, None)

    def pop_due(self, now_s: float) -> set[str]:
        """Remove the validity boundaries whose time has passed, and return their tenants."""
        passed = set()
        while self.boundaries and self.boundaries[0][0] <= now_s:
            due_s, name = heapq.heappop(self.boundaries)
            if self.due.get(name) == due_s:
                passed.add(name)
        return passed

    def next_s(self) -> float | None:
        """Return the earliest time at which a boundary may pass, or None if there is no boundary."""
        return self.boundaries[0][0] if self.boundaries else None
