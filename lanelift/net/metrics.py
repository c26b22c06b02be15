"""Counters of what a balancer has done since its start, and their text format for operators.

The format is the Prometheus exposition format 0.0.4 (`# TYPE` lines, `name{label="value"} number`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from lanelift.net.event_log import EventLog

# the outcomes of a request: answered, rejected, failed
FULFILLED, THROTTLED, FAULTED = "fulfilled", "throttled", "faulted"
PREFIX = "balancer_"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Metrics:
    """Counters, which only increase. An event costs one addition; the text is generated on request.

    Attributes:
        requests_ended: The number of requests by class and outcome (`FULFILLED`, `THROTTLED`, `FAULTED`).
        attempts_written: The number of attempts whose last byte was written to an upstream.
        events: Counts why requests and connections were ended early.
    """

    def __init__(self, classes: Iterable[str], events: EventLog) -> None:
        self.requests_ended = {name: {FULFILLED: 0, THROTTLED: 0, FAULTED: 0} for name in classes}
        self.attempts_written = 0
        self.events = events

    def text(self, gauges: Mapping[str, int]) -> str:
        """Returns all counters, and the given gauges, in the text format."""
        rows = [f"# TYPE {PREFIX}operations_total counter"]
        for name, counts in self.requests_ended.items():
            label = name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
            rows += [
                f'{PREFIX}operations_total{{priority="{label}",status="{status}"}} {count}'
                for status, count in counts.items()
            ]
        rows += [f"# TYPE {PREFIX}relayed_total counter", f"{PREFIX}relayed_total {self.attempts_written}"]
        counts_by_event = sorted(self.events.counts.items(), key=lambda row: row[0].value)
        if counts_by_event:
            rows.append(f"# TYPE {PREFIX}events_total counter")
        rows += [f'{PREFIX}events_total{{event="{kind.value}"}} {count}' for kind, count in counts_by_event]
        for name, value in gauges.items():
            rows += [f"# TYPE {PREFIX}{name} gauge", f"{PREFIX}{name} {value}"]
        return "\n".join(rows) + "\n"
