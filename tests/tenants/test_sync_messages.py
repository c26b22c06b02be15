"""Messages between the balancer and the sync process."""

from __future__ import annotations

import json

from lanelift.tenants.sync_messages import batches
from lanelift.tenants.tenant_state import TenantState


def test_lines_to_the_balancer_are_short_for_tenants_with_many_classes() -> None:
    """A hundred tenants have 64 classes with long names each. They are sent in several lines, each short
    enough for one iteration of the balancer's event loop.
    """
    rows = [TenantState(f"t{i}", "", 1.0, None, tuple("c" * 128 for _ in range(64)), ()) for i in range(100)]
    found = list(batches(rows))
    assert [t for batch in found for t in batch] == rows
    assert max(len(json.dumps(batch)) for batch in found) < 64 * 1024
