"""The command `lanelift rehearse`, which runs rehearsals on loopback sockets and compares their reports."""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Callable
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click

from lanelift.cli.main import EXIT_FAILURE, FILE, exit_with_bad_input
from lanelift.config.checked import FileValidationError
from lanelift.rehearsal.orchestrator import Options, RehearsalError
from lanelift.rehearsal.orchestrator import rehearse as run_rehearsal
from lanelift.rehearsal.report import (
    ReportFormatError,
    compare,
    differences,
    make_report,
    read_report,
    summary,
    write_report,
)
from lanelift.rehearsal.scenario import Scenario, read_scenario, shipped

PLAIN_INTERVAL_S = 5.0  # interval between lines of progress if standard error is not a terminal


@click.group()
def rehearse() -> None:
    """Play a day of requests against balancers on this machine, and judge it.

    Stand-in quote boxes, discovery and clients run on loopback sockets; nothing leaves the machine.
    """


@rehearse.command("list")
def list_() -> None:
    """The scenarios that come with the kit."""
    for name in shipped():
        scenario = read_scenario(name)
        click.echo(f"{name:16}{scenario.about}")


@rehearse.command()
@click.argument("scenario")
def check(scenario: str) -> None:
    """Check a scenario file as a whole, and tell what it would play."""
    read = _read(scenario, {})
    fleet = read.fleet
    click.echo(
        f"{read.name}: good. {read.length_s:g} s at {read.load.rate:g} requests a second, "
        f"{fleet.boxes} boxes, {fleet.balancers} balancers, {len(read.faults)} faults."
    )


def _read(name: str, changes: dict[str, Any]) -> Scenario:
    """Reads a scenario, applying the changes that are not None. Exits with a message if it is not valid."""
    try:
        return read_scenario(name, {key: value for key, value in changes.items() if value is not None})
    except FileValidationError as error:
        exit_with_bad_input(error)


def _address(context: click.Context, parameter: click.Parameter, value: str | None) -> tuple[str, int] | None:
    """Parses the value of an option as HOST:PORT."""
    if value is None:
        return None
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise click.BadParameter(f"found {value!r}; allowed: HOST:PORT")
    return host, int(port)


@rehearse.command()
@click.argument("scenario")
@click.option("--seed", type=int, help="Another seed than the file's.")
@click.option("--length", "length_s", type=float, help="Another length, in seconds.")
@click.option("--rate", type=float, help="Another rate, in requests a second.")
@click.option("--boxes", type=int, help="Another number of boxes.")
@click.option("--balancers", type=int, help="Another number of balancers.")
@click.option("--out", type=FILE, help="Where the report goes.  [default: rehearsals/NAME-SEED-TIME]")
@click.option("--command", help="How a balancer is started (it is told what to do by BALANCER_CONFIG).")
@click.option(
    "--target",
    callback=_address,
    metavar="HOST:PORT",
    help="Rehearse against a balancer that runs already; none is started.",
)
@click.option(
    "--base-port",
    type=click.IntRange(1024, 65000),
    help="Boxes listen from this port on, discovery after the last box. For --target.",
)
@click.option("--load-workers", type=click.IntRange(1, 64), default=None, help="Load processes.")
@click.option("--box-workers", type=click.IntRange(1, 64), default=None, help="Processes that host boxes.")
@click.option("--html/--no-html", default=True, show_default=True, help="Draw the page with charts as well.")
def run(
    scenario: str,
    seed: int | None,
    length_s: float | None,
    rate: float | None,
    boxes: int | None,
    balancers: int | None,
    out: Path | None,
    command: str | None,
    target: tuple[str, int] | None,
    base_port: int | None,
    load_workers: int | None,
    box_workers: int | None,
    html: bool,
) -> None:
    """Play SCENARIO (a shipped name, or a file) and print the verdict.

    Exit code 0: all four rules kept. 1: a rule was broken, a balancer crashed, or the run is void (the kit
    itself was late, or short of something) and no measurement. 2: bad input.
    """
    read = _read(
        scenario,
        {
            "seed": seed,
            "length_s": length_s,
            "load.rate": rate,
            "fleet.boxes": boxes,
            "fleet.balancers": 1 if target else balancers,
        },
    )
    if base_port and base_port + read.fleet.boxes + read.fleet.balancers > 65_536:
        exit_with_bad_input(
            f"--base-port: found {base_port}; allowed: so low that each box and discovery has a port above it"
        )
    folder = out or Path("rehearsals") / f"{read.name}-{read.seed}-{time.strftime('%Y%m%dT%H%M%S')}"
    if folder.exists() and any(folder.iterdir()):
        exit_with_bad_input(f"{folder}: found files there; allowed: an empty folder, or a new one")
    options = Options(
        folder,
        target=target,
        base_port=base_port,
        box_workers=box_workers or 0,
        load_workers=load_workers or 0,
        **({"command": command} if command else {}),
    )
    try:
        with _progress(read.length_s) as show_progress:
            day = run_rehearsal(read, options, show_progress)
    except RehearsalError as error:
        click.echo(f"the rehearsal could not be played: {error}", err=True)
        sys.exit(EXIT_FAILURE)
    except KeyboardInterrupt:
        click.echo("interrupted: all processes of the rehearsal are ended", err=True)
        sys.exit(EXIT_FAILURE)
    report = make_report(day)
    write_report(report, folder / "report.json")
    for line in summary(report):
        click.echo(line)
    if html:
        from lanelift.rehearsal.html_report import write_html_report

        write_html_report(report, folder / "report.html")
    click.echo(f"Report: {folder / ('report.html' if html else 'report.json')}")
    sys.exit(EXIT_FAILURE if report["verdict"]["void"] or not report["verdict"]["rules"]["kept"] else 0)


@contextmanager
def _progress(length_s: float) -> Any:
    """Yields a function that shows the progress: as a live line in a terminal, else as plain lines."""
    if not sys.stderr.isatty():
        yield _plain_progress(length_s)
        return
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    bar = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TimeElapsedColumn(),
        console=Console(stderr=True),
        transient=True,
    )
    task = bar.add_task("starting", total=length_s)
    with bar:
        yield lambda at_s, counts: bar.update(
            task, completed=max(0.0, min(length_s, at_s)), description=_format_counts(counts)
        )


def _plain_progress(length_s: float) -> Callable[[float, Counter[str]], None]:
    """Returns a function that prints the progress as a line, at most once per `PLAIN_INTERVAL_S`."""
    last = -PLAIN_INTERVAL_S

    def show(at_s: float, counts: Counter[str]) -> None:
        nonlocal last
        if at_s >= last + PLAIN_INTERVAL_S:
            last = at_s
            click.echo(f"{max(0.0, at_s):5.1f} of {length_s:g} s  {_format_counts(counts)}", err=True)

    return show


def _format_counts(counts: Counter[str]) -> str:
    return (
        f"{counts['asked']} asked, {counts['served']} in time, {counts['late']} late, "
        f"{counts['unserved']} unserved"
    )


@rehearse.command("compare")
@click.argument("a", type=FILE)
@click.argument("b", type=FILE)
@click.argument("more", type=FILE, nargs=-1)
@click.option("--vs", type=FILE, multiple=True, help="A further report of side B; the rest belong to side A.")
def compare_(a: Path, b: Path, more: tuple[Path, ...], vs: tuple[Path, ...]) -> None:
    """Set reports side by side: A.json against B.json.

    With several runs of each side, `compare A1 B1 A2 A3 --vs B2 --vs B3`, each change stands beside the
    noise: what chance alone would make of it. A change within its noise is none.
    """
    try:
        left = [read_report(path) for path in (a, *more)]
        right = [read_report(path) for path in (b, *vs)]
    except ReportFormatError as error:
        exit_with_bad_input(error)
    for report, path in zip([*left, *right], [a, *more, b, *vs], strict=True):
        if report["verdict"]["void"]:
            exit_with_bad_input(f"{path}: the run was void, and has no figures to compare")
    for difference in differences(left[0]["scenario"], right[0]["scenario"]):
        click.echo(f"note: the days differ in {difference}")
    click.echo(f"{'':14}{'A':>10}{'B':>10}{'change':>10}{'noise':>10}")
    for row in compare(left, right):
        noise = "?" if row["noise"] is None else f"{row['noise']:.3f}"
        click.echo(f"{row['name']:14}{row['a']:10.3f}{row['b']:10.3f}{row['change']:+10.3f}{noise:>10}")
    if len(left) < 2 or len(right) < 2:
        click.echo("noise unknown: it takes two runs of each side")
