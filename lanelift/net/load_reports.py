"""Parsing of upstreams' load reports, such as `inflight=7,queue=2`."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

LoadReport = Mapping[str, float] | None


def read_load_report(text: bytes | None, fields: Collection[str]) -> LoadReport:
    """Parses a load report: returns the valid values of the configured fields, or None if there are none.

    A value that is negative or not finite must not reach the balancer: each comparison with a NaN is false,
    so the upstream would count as neither more nor less loaded than any other.
    """
    report = {}
    for part in (text or b"").decode("latin-1").split(","):
        name, _, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if name in fields and math.isfinite(number) and number >= 0:
            report[name] = number
    return report or None
