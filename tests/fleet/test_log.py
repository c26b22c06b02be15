"""The catalogue of the fleet's log events lists each event that the code logs, and no other."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_the_catalogue_lists_exactly_the_logged_events() -> None:
    code = "".join(
        p.read_text() for package in ("fleet", "leases") for p in (ROOT / "lanelift" / package).glob("*.py")
    )
    logged = set(re.findall(r'log\.(?:info|warning|error)\(\s*"([a-z_]+)"', code))
    page = (ROOT / "docs" / "operating" / "fleet-log.md").read_text()
    listed = set(re.findall(r"^\| `([a-z_]+)` \|", page, re.M))
    assert logged and logged == listed
