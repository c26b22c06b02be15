"""Measures the rehearsal kit: `python benchmarks/rehearsal.py COMMAND --out FILE.json`. The commands are
repeat, sensitive, calm and cheap.

Each measurement runs rehearsals through the command line, as an operator would, and writes the results as
JSON. The machine should do nothing else. The findings are in benchmarks/rehearsal.md.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click

LANELIFT = Path(sys.executable).with_name("lanelift")
RELAY = f"{sys.executable} -m tests.rehearsal.relay"
PARTS = ("figure", "whole", "worst_window", "worst_class", "worst_tenant")


def run_rehearsal(scenario: str | Path, *words: str, cores: str | None = None) -> dict[str, Any]:
    """Run one rehearsal, restricted to `cores` (in the form of taskset) if given. Returns its report."""
    with tempfile.TemporaryDirectory() as folder:
        pinned = ["taskset", "-c", cores] if cores else []
        done = subprocess.run(
            [*pinned, LANELIFT, "rehearse", "run", scenario, "--no-html", "--out", f"{folder}/out", *words],
            capture_output=True,
            text=True,
            check=False,
        )
        report = Path(folder, "out", "report.json")
        if not report.exists():
            raise click.ClickException(done.stdout + done.stderr)
        found: dict[str, Any] = json.loads(report.read_text())
    return found


def play_and_summarize(scenario: str, *words: str, cores: str | None = None) -> dict[str, Any]:
    """Run one rehearsal. Returns the figures of its verdict that these measurements use."""
    v = run_rehearsal(scenario, *words, cores=cores)["verdict"]
    late = [v["kit"]["due_late_ms"]["p99"], *(p["p99_ms"] for p in v["kit"]["lateness"].values())]
    return {
        "worth": v["worth"] and {part: round(v["worth"][part], 4) for part in PARTS},
        "void": v["void"],
        "broken": {k: b["count"] for k, b in v["rules"]["breaches"].items()},
        "offered": v["offered"],
        "requests": v["requests"],
        "latency_ms": v["latency_ms"],
        "kit_late_p99_ms": max(late),
        "kit_us": v["kit"]["cpu_us_per_request"],
        "balancer_us": v["balancers"].get("cpu_us_per_request"),
    }


def out_option(command: Any) -> Any:
    return click.option("--out", type=click.Path(path_type=Path), required=True)(command)


def write_json(out: Path, found: Any) -> None:
    out.write_text(json.dumps(found, indent=1) + "\n")


@click.group()
def main() -> None:
    """Measure the rehearsal kit."""


@main.command()
@out_option
@click.option("--times", default=5)
@click.option("--at-once", default=1, help="Number of concurrent rehearsals; two take about three cores.")
def repeat(out: Path, times: int, at_once: int) -> None:
    """Repeat the same seed, and show how far the shares of worth differ."""
    jobs = [name for name in ("month-end", "quarter-dies") for _ in range(times)]
    with ThreadPoolExecutor(at_once) as pool:
        rows = list(zip(jobs, pool.map(play_and_summarize, jobs), strict=True))
    found = {name: [run for job, run in rows if job == name] for name in ("month-end", "quarter-dies")}
    write_json(out, found)  # the results are saved before the evaluation, since the runs took minutes
    for name, runs in found.items():
        for part in PARTS if any(not run["void"] for run in runs) else ():
            shares = [run["worth"][part] for run in runs if not run["void"]]
            apart = max(shares) - min(shares)
            click.echo(f"{name:14}{part:14}{min(shares):.4f} to {max(shares):.4f}: {apart:.4f} apart")
        click.echo(
            f"{name:14}offered the same: {len({run['offered'] for run in runs}) == 1}; "
            f"void {sum(bool(run['void']) for run in runs)}; broken {[run['broken'] for run in runs]}"
        )


@main.command()
@out_option
@click.option("--times", default=2)
def sensitive(out: Path, times: int) -> None:
    """Compare the daemon with a round-robin relay, on the same days."""
    found: dict[str, Any] = {}
    for name in ("carnival", "quarter-dies"):
        for who, words in (("lanelift", []), ("relay", ["--command", RELAY])):
            found[f"{name} {who}"] = [play_and_summarize(name, *words) for _ in range(times)]
            for run in found[f"{name} {who}"]:
                click.echo(f"{name:14}{who:10}{run['worth']}  broken {run['broken']}  {run['void']}")
    write_json(out, found)


@main.command()
@out_option
@click.option("--seeds", default=6)
def calm(out: Path, seeds: int) -> None:
    """Run calm days of the bench's shape: 8 boxes, 3 balancers, 29 requests a second, 23 s."""
    shape = ("--boxes", "8", "--balancers", "3", "--rate", "29", "--length", "23")
    found = {
        str(seed): play_and_summarize("calm", *shape, "--seed", str(seed)) for seed in range(1, seeds + 1)
    }
    for seed, run in found.items():
        click.echo(f"seed {seed}: {run['worth']}  broken {run['broken']}  {run['void']}")
    write_json(out, found)


@main.command()
@out_option
@click.option("--rates", default="200,400,800,1200,1600")
def cheap(out: Path, rates: str) -> None:
    """Find the rate from which the kit's 99th percentile of lateness exceeds 5 ms, on one core and on four.
    The balancers run on the same cores, as they do in a rehearsal."""
    found: dict[str, Any] = {}
    for cores, pinned, workers in ((1, "0", "1"), (4, "0-3", "2")):
        for rate in map(int, rates.split(",")):
            run = play_and_summarize(
                "calm",
                "--rate",
                str(rate),
                "--boxes",
                str(max(9, rate // 7)),
                "--length",
                "8",
                "--balancers",
                "2",
                "--load-workers",
                workers,
                "--box-workers",
                workers,
                cores=pinned,
            )
            found[f"{cores} cores, {rate}/s"] = run
            click.echo(
                f"{cores} cores {rate:5}/s: lateness p99 {run['kit_late_p99_ms']:7.1f} ms, "
                f"kit {run['kit_us']} us a request, balancers {run['balancer_us']} us"
            )
    write_json(out, found)


if __name__ == "__main__":
    main()
