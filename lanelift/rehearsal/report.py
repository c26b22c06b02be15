"""The report of a day as JSON, and comparisons of reports."""

from __future__ import annotations

import json
import platform
from collections import defaultdict
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from importlib.metadata import version
from pathlib import Path
from statistics import mean, stdev
from typing import Any

from lanelift.rehearsal.verdict import SECOND, Day, outcomes, verdict, windows

SCHEMA = 1  # version of the JSON, incremented when a key changes its meaning or is removed
CHART_WINDOW_S = 0.5  # length of the time windows in charts
OUTCOME_LETTERS = {
    "served": "s",
    "late": "a",
    "refused": "r",
    "denied": "d",
    "failed": "f",
    "lost": "l",
    "left": "g",
}
Json = dict[str, Any]


class ReportFormatError(Exception):
    """The file is not a report."""


def make_report(day: Day) -> Json:
    """Returns the report, which has these keys:

    schema      the version of this format
    program     the version of lanelift
    machine     the system, the processor and the version of Python
    at          when the run ended, in UTC
    scenario    as validated, with its defaults filled in
    verdict     as `verdict.verdict` returns it
    marks       the faults, each with from_s, until_s and text
    windows     the outcomes and the latency of each half second
    boxes       requests held, and capacity in seconds of work per second, by place and second
    outcomes    a letter for each request in the order of the plan (`OUTCOME_LETTERS`)
    """
    return {
        "schema": SCHEMA,
        "program": f"lanelift {version('lanelift')}",
        "at": datetime.now(UTC).isoformat(timespec="seconds"),
        "machine": {
            "system": platform.system(),
            "processor": platform.machine(),
            "python": platform.python_version(),
        },
        "scenario": day.plan.scenario.model_dump(mode="json", by_alias=True),
        "verdict": verdict(day),
        "marks": [
            {"from_s": m.at_ns / SECOND, "until_s": m.until_ns / SECOND, "text": m.text}
            for m in day.plan.marks
        ],
        "windows": windows(day, outcomes(day), CHART_WINDOW_S),
        "boxes": _boxes(day),
        "outcomes": "".join(OUTCOME_LETTERS[outcome.kind] for outcome in outcomes(day)),
    }


def _boxes(day: Day) -> Json:
    """Returns the mean load and capacity of each place in each second; None for a second without samples."""
    seconds = int(day.plan.scenario.length_s) + 1
    held: dict[int, list[list[int]]] = defaultdict(lambda: [[] for _ in range(seconds)])
    capacity: dict[int, list[list[float]]] = defaultdict(lambda: [[] for _ in range(seconds)])
    for row in day.box_samples:
        second = (row.at_ns - day.start_ns) // SECOND
        if 0 <= second < seconds:
            held[row.place][second].append(row.held)
            capacity[row.place][second].append(row.capacity)
    return {
        "held": {str(p): [round(mean(c), 2) if c else None for c in held[p]] for p in sorted(held)},
        "capacity": {
            str(p): [round(mean(c), 3) if c else None for c in capacity[p]] for p in sorted(capacity)
        },
    }


def write_report(report: Json, path: Path) -> None:
    """Writes a report as JSON."""
    path.write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")


def read_report(path: Path) -> Json:
    """Reads a report. Raises ReportFormatError, which names the file and the reason."""
    try:
        report = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ReportFormatError(f"{path}: {error}") from None
    if not isinstance(report, dict) or report.get("schema") != SCHEMA:
        found = report.get("schema") if isinstance(report, dict) else None
        raise ReportFormatError(f"{path}: no rehearsal report: found schema {found!r}; allowed: {SCHEMA}")
    return report


def summary(report: Json) -> Iterable[str]:
    """Yields the lines of the verdict for a terminal."""
    v, scenario = report["verdict"], report["scenario"]
    if v["void"]:
        yield "VOID: this run is no measurement."
        yield from (f"  {why}" for why in v["void"])
        return
    w, r = v["worth"], v["requests"]
    yield (
        f"{scenario['name']}, seed {scenario['seed']}: worth answered in time {w['figure']:.3f} "
        f"(whole {w['whole']:.3f}, worst 10 s {w['worst_window']:.3f} from {w['worst_window_at_s']} s, "
        f"worst class {w['worst_class']:.3f}, worst tenant {w['worst_tenant']:.3f})"
    )
    yield (
        f"{r['asked']} requests, {r['tries']} tries, {r['attempts']} attempts: {r['served']} in time, "
        f"{r['late']} late, {r['refused']} refused, {r['denied']} denied, {r['failed']} failed, "
        f"{r['lost']} lost, {r['left']} left; p50 {v['latency_ms']['p50']:g} ms, "
        f"p99 {v['latency_ms']['p99']:g} ms"
    )
    if v["suspensions"]["count"]:
        s = v["suspensions"]
        yield (
            f"{s['count']} suspensions: last request sent {s['median_s']:.2f} s later in the median, "
            f"{s['max_s']:.2f} s at most."
        )
    if v["rules"]["kept"]:
        yield "Rules: all four kept."
    for group in v["rules"]["breaches"].values():
        yield f"RULE BROKEN {group['count']} times: {group['rule']}"
        for breach in group["first"][:3]:
            request = f"request {breach['request']}, " if breach["request"] else ""
            yield f"  at {breach['at_s']:.3f} s: {request}balancer {breach['balancer']}: {breach['what']}"
    if v["balancers"]:
        b = v["balancers"]
        yield (
            f"Balancers: {b['cpu_us_per_request']} us of CPU a request, {b['memory_mb_max']:g} MB, "
            f"{b['descriptors_max']} descriptors at most. Kit: {v['kit']['cpu_us_per_request']} us."
        )


# ---- comparison ------------------------------------------------------------------------------------------

# The figures that `compare` uses, by name, each with its section and its key in the verdict.
COMPARED = {
    "figure": ("worth", "figure"),
    "whole": ("worth", "whole"),
    "worst 10 s": ("worth", "worst_window"),
    "worst class": ("worth", "worst_class"),
    "worst tenant": ("worth", "worst_tenant"),
    "p50 ms": ("latency_ms", "p50"),
    "p99 ms": ("latency_ms", "p99"),
    "refused": ("requests", "refused"),
    "failed": ("requests", "failed"),
    "lost": ("requests", "lost"),
    "tries": ("requests", "tries"),
    "attempts": ("requests", "attempts"),
}


def compared_figures(report: Json) -> dict[str, float]:
    """Returns those figures of one report that `compare` uses, by name."""
    return {name: report["verdict"][part][key] for name, (part, key) in COMPARED.items()}


def compare(a: list[Json], b: list[Json]) -> list[Json]:
    """Compares two sets of reports. Each returned row has the keys name, a, b, change and noise.

    `noise` is the change that chance alone explains: two standard errors of the difference, estimated from
    the spread of the runs on each side. `noise` is None if a side has only one run."""
    rows = []
    for name in COMPARED:
        left, right = ([compared_figures(report)[name] for report in side] for side in (a, b))
        noise = None
        if len(left) > 1 and len(right) > 1:
            noise = 2 * (stdev(left) ** 2 / len(left) + stdev(right) ** 2 / len(right)) ** 0.5
        rows.append(
            {
                "name": name,
                "a": mean(left),
                "b": mean(right),
                "change": mean(right) - mean(left),
                "noise": noise,
            }
        )
    return rows


def differences(a: Mapping[str, Any], b: Mapping[str, Any], path: str = "") -> Iterable[str]:
    """Yields the differences between two scenarios, to warn that their runs are not directly comparable."""
    for key in sorted({*a, *b}):
        left, right, key_path = a.get(key), b.get(key), f"{path}{key}"
        if isinstance(left, dict) and isinstance(right, dict):
            yield from differences(left, right, f"{key_path}.")
        elif left != right:
            yield f"{key_path}: {json.dumps(left)[:60]} and {json.dumps(right)[:60]}"
