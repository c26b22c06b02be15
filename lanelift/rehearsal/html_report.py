"""The report as a self-contained HTML page: the verdict as text, and embedded charts.

The charts are drawn by matplotlib and embedded as SVG: the page has no script and fetches nothing. The
colours are those of Okabe and Ito, which people with any colour vision can distinguish.
"""

from __future__ import annotations

import html
import io
import math
from pathlib import Path
from typing import Any

import matplotlib
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from lanelift.rehearsal.report import CHART_WINDOW_S, Json, summary

matplotlib.use("svg")
matplotlib.rcParams.update(
    {
        "font.size": 9,
        "axes.spines.top": False,
        "axes.spines.right": False,
        "svg.hashsalt": "lanelift",
        "svg.fonttype": "none",
    }
)
# The label and the colour of each kind of outcome.
OUTCOME_STYLES = {
    "served": ("in time", "#009E73"),
    "late": ("late", "#E69F00"),
    "refused": ("refused", "#56B4E9"),
    "denied": ("denied", "#0072B2"),
    "failed": ("failed", "#D55E00"),
    "lost": ("lost", "#000000"),
    "left": ("client left", "#BBBBBB"),
}
FAULT_COLOUR = "#CC79A7"
WIDTH = 10.5  # size of each chart, in inches
STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 66rem; padding: 0 1rem; color:
#222 } h1 { font-size: 1.5rem; margin-bottom: 0 } h2 { font-size: 1.05rem; margin: 2rem 0 .3rem } p {
margin: .3rem 0 } .verdict { display: flex; flex-wrap: wrap; gap: .8rem; margin: 1.2rem 0 }
.card { border: 1px solid #ddd; border-radius: 8px; padding: .6rem 1rem; min-width: 8rem }
.card b { display: block; font-size: 1.6rem; font-weight: 600 } .bad { border-color: #D55E00; color: #B34700 }
.good { border-color: #009E73 } table { border-collapse: collapse; margin: .5rem 2rem .5rem 0; display:
inline-table } td, th { text-align: left; padding: .15rem .9rem .15rem 0; border-bottom: 1px solid #eee;
vertical-align: top } td.n { text-align: right; font-variant-numeric: tabular-nums } svg { width: 100%;
height: auto } .note { color: #666 }
"""


def write_html_report(report: Json, path: Path) -> None:
    """Writes a report as an HTML page."""
    path.write_text(render_html(report), encoding="utf-8")


def render_html(report: Json) -> str:
    """Renders a report as an HTML page."""
    scenario, v = report["scenario"], report["verdict"]
    title = f"{scenario['name']}, seed {scenario['seed']}"
    about = f"{scenario['about']}. " if scenario["about"] else ""
    parts = [
        f"<h1>{html.escape(title)}</h1><p class=note>{html.escape(about)}{scenario['length_s']:g} s, "
        f"{scenario['load']['rate']:g} requests a second, {scenario['fleet']['boxes']} boxes, "
        f"{scenario['fleet']['balancers']} balancers. {report['program']}, {report['at']}</p>",
        _cards(v),
    ]
    if v["void"] or not v["rules"]["kept"]:
        lines = "".join(f"<p>{html.escape(line)}</p>" for line in summary(report))
        parts.append(f"<h2>What went wrong</h2>{lines}")
    parts += [
        "<h2>What became of the requests, by when they were due</h2>",
        _svg(_outcomes(report)),
        "<h2>How long the answered ones took, from when they were due</h2>",
        _svg(_latency(report)),
    ]
    if report["boxes"]["held"]:
        parts += [
            "<h2>Requests held at each box, for each second of work that it can do</h2>"
            "<p class=note>White: the box was away, or stood still the whole second.</p>",
            _svg(_boxes(report)),
        ]
    parts += ["<h2>Figures</h2>", _tables(v)]
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(title)}</title>"
        f"<style>{STYLE}</style><body>{''.join(parts)}</body></html>\n"
    )


def _cards(v: Json) -> str:
    if v["void"]:
        return "<div class=verdict><div class='card bad'><b>void</b>this run is no measurement</div></div>"
    w, rules = v["worth"], v["rules"]
    breach_count = sum(b["count"] for b in rules["breaches"].values())
    cards = [
        (
            "good" if rules["kept"] else "bad",
            "kept" if rules["kept"] else f"{breach_count} broken",
            "the four rules",
        ),
        ("", f"{w['figure']:.3f}", "worth answered in time"),
        ("", f"{w['whole']:.3f}", "the whole day"),
        ("", f"{w['worst_window']:.3f}", f"worst 10 s, from {w['worst_window_at_s']} s"),
        ("", f"{w['worst_class']:.3f}", "worst class"),
        ("", f"{w['worst_tenant']:.3f}", "worst tenant"),
        ("", f"{v['latency_ms']['p99']:g} ms", "p99 of the answered"),
    ]
    return (
        "<div class=verdict>"
        + "".join(
            f"<div class='card {css_class}'><b>{big}</b>{small}</div>" for css_class, big, small in cards
        )
        + "</div>"
    )


def _svg(figure: Figure) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _chart(height: float) -> tuple[Figure, Axes]:
    figure = Figure(figsize=(WIDTH, height))
    return figure, figure.subplots()


def _mark_faults(axes: Axes, report: Json, alpha: float = 0.13) -> None:
    """Draws a band over the duration of each fault, with its label above the axes."""
    rows: list[float] = []  # for each row of labels, where its last label ends, in seconds
    span = report["scenario"]["length_s"]
    for mark in report["marks"]:
        axes.axvspan(
            mark["from_s"],
            max(mark["until_s"], mark["from_s"] + span / 400),
            color=FAULT_COLOUR,
            alpha=alpha,
            lw=0,
        )
        row = next((i for i, end in enumerate(rows) if end <= mark["from_s"]), len(rows))
        rows[row : row + 1] = [mark["from_s"] + 0.012 * span * len(mark["text"])]
        axes.annotate(
            mark["text"],
            (mark["from_s"], 1),
            xycoords=("data", "axes fraction"),
            xytext=(0, 3 + 11 * row),
            textcoords="offset points",
            color="#8F3B6B",
        )
    axes.set_xlim(0, span)
    axes.set_xlabel("s")


def _outcomes(report: Json) -> Figure:
    """Draws the rate of each kind of outcome over the day, as stacked bars."""
    figure, axes = _chart(3.2)
    at = [row["at_s"] for row in report["windows"]]
    below = [0.0] * len(at)
    for kind, (name, colour) in OUTCOME_STYLES.items():
        rate = [row["kinds"].get(kind, 0) / CHART_WINDOW_S for row in report["windows"]]
        if any(rate):
            axes.bar(at, rate, CHART_WINDOW_S, below, align="edge", color=colour, label=name)
            below = [x + y for x, y in zip(below, rate, strict=True)]
    axes.set_ylabel("requests a second")
    axes.legend(loc="center left", bbox_to_anchor=(1, 0.5), frameon=False)
    _mark_faults(axes, report)
    return figure


def _latency(report: Json) -> Figure:
    """Draws percentiles of the latency over the day, and the aims of the classes."""
    figure, axes = _chart(2.6)
    at = [row["at_s"] for row in report["windows"]]
    # A latency of 0 means that a window has no answers; the line has a gap at that window.
    for name, colour in (("p50", "#009E73"), ("p90", "#0072B2"), ("p99", "#D55E00")):
        values = [row["latency_ms"][name] or math.nan for row in report["windows"]]
        axes.plot(at, values, color=colour, label=name, lw=1.3)
    for aim in sorted({c["aim_ms"] for c in report["scenario"]["class"]}):
        axes.axhline(aim, color="#666666", lw=0.8, ls="--")
        axes.annotate(
            f"aim {aim:g}",
            (1, aim),
            xycoords=("axes fraction", "data"),
            xytext=(-2, 3),
            textcoords="offset points",
            ha="right",
            color="#666666",
        )
    axes.set_ylabel("ms")
    axes.set_ylim(bottom=0)
    axes.legend(loc="center left", bbox_to_anchor=(1, 0.5), frameon=False)
    _mark_faults(axes, report)
    return figure


def _boxes(report: Json) -> Figure:
    """Draws the requests held per capacity, with a row for each place and a column for each second."""
    held, capacity = report["boxes"]["held"], report["boxes"]["capacity"]
    places = sorted(held, key=int)
    figure, axes = _chart(0.9 + 0.085 * max(12, len(places)))
    grid: list[list[Any]] = [
        [h / c if h is not None and c else math.nan for h, c in zip(held[p], capacity[p], strict=True)]
        for p in places
    ]
    image = axes.imshow(
        grid,
        aspect="auto",
        cmap="viridis",
        vmin=0,
        vmax=6,
        interpolation="nearest",
        extent=(0, len(held[places[0]]), len(places), 0),
    )
    axes.set_ylabel("box")
    figure.colorbar(image, ax=axes, pad=0.01, extend="max", label="held / capacity")
    _mark_faults(axes, report, alpha=0)
    return figure


def _tables(v: Json) -> str:
    def table(head: str, rows: dict[str, Any]) -> str:
        body = "".join(
            f"<tr><td>{html.escape(str(k))}<td class=n>{x:.3f}"
            if isinstance(x, float)
            else f"<tr><td>{html.escape(str(k))}<td class=n>{html.escape(str(x))}"
            for k, x in rows.items()
        )
        return f"<table><tr><th colspan=2>{html.escape(head)}{body}</table>"

    w, b = v["worth"] or {"classes": {}, "tenants": {}}, v["balancers"]
    measured = {k: b[k] for k in ("cpu_us_per_request", "memory_mb_max", "descriptors_max") if k in b}
    return "".join(
        [
            table("Share of worth, by class", w["classes"]),
            table("by tenant, within its share", w["tenants"]),
            table("Requests", v["requests"]),
            table("Latency, ms", v["latency_ms"]),
            table("Work, s", v["work"]),
            table("Balancers", measured),
            table(
                "The kit",
                {
                    "cpu_us_per_request": v["kit"]["cpu_us_per_request"],
                    "begun late, p99 ms": v["kit"]["due_late_ms"].get("p99", 0.0),
                },
            ),
        ]
    )
