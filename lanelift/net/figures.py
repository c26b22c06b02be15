"""What a balancer has done since it started, counted where it happens, and the text that operators read.

Text form: Prometheus exposition format 0.0.4 (`# TYPE` lines, `name{label="value"} figure`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

FULFILLED, THROTTLED, FAULTED = "fulfilled", "throttled", "faulted"  # served, refused, failed
PREFIX = "balancer_"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Figures:
    """Counters; they only grow. One addition for an event: the text is made when it is asked for."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.ended = {name: {FULFILLED: 0, THROTTLED: 0, FAULTED: 0} for name in classes}
        self.relayed = 0  # attempts whose last byte was written to an upstream

    def text(self, gauges: Mapping[str, int]) -> str:
        """All figures, with those that tell of now: name and value."""
        rows = [f"# TYPE {PREFIX}operations_total counter"]
        for name, counts in self.ended.items():
            label = name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
            rows += [
                f'{PREFIX}operations_total{{priority="{label}",status="{status}"}} {count}'
                for status, count in counts.items()
            ]
        rows += [f"# TYPE {PREFIX}relayed_total counter", f"{PREFIX}relayed_total {self.relayed}"]
        for name, value in gauges.items():
            rows += [f"# TYPE {PREFIX}{name} gauge", f"{PREFIX}{name} {value}"]
        return "\n".join(rows) + "\n"
