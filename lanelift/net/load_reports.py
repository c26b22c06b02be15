"""Load reports of upstreams: `inflight=7,queue=2`."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

LoadReport = Mapping[str, float] | None


def read_load_report(text: bytes | None, fields: Collection[str]) -> LoadReport:
    """What can be read of a load report, and is among the agreed fields; None: nothing.

    A value that is not finite or negative must not reach the decisions: with not-a-number every comparison
    is false, and an upstream would compare as neither more nor less loaded than any other.
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
