"""`lanelift lease`: shows the fleet's leases, and runs commands only while a lease is held."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import sys
from pathlib import Path

import click

from lanelift.cli.main import CONFIG, EXIT_FAILURE, exit_with_bad_input
from lanelift.config.checked import FileValidationError
from lanelift.config.operator import read_operator_file
from lanelift.fleet.cluster import majority
from lanelift.fleet.log import logger
from lanelift.fleet.messages import MAX_NAME_CHARACTERS, NAME, LeaseList, LeaseStatus
from lanelift.leases.holder import LeaseHolder
from lanelift.leases.listing import list_leases
from lanelift.leases.node import FleetSource
from lanelift.leases.watchdog import NOT_HELD
from lanelift.settings import SettingsError


@click.group()
def lease() -> None:
    """One holder at a time, over the whole fleet (docs/operating/leases.md)."""


@lease.command("list")
@CONFIG
def list_(path: Path) -> None:
    """Every lease that is held or waited for, as most voters see it. Exit code 1: no majority answered."""
    source = _source(path)
    found = asyncio.run(list_leases(source.cluster))
    statuses = [status for pages in found.values() for page in pages for status in page.leases]
    names = sorted({status.lease for status in statuses})
    for name in names:
        lease_statuses = [status for status in statuses if status.lease == name]
        click.echo(_summary(name, lease_statuses, len(source.cluster.voters)))
    if not names:
        click.echo("no lease is held or waited for")
    _require_majority(source, found)


@lease.command()
@click.argument("name")
@CONFIG
def show(name: str, path: Path) -> None:
    """What each voter says of lease NAME. Exit code 1: no majority answered."""
    source = _source(path)
    found = asyncio.run(list_leases(source.cluster))
    for voter in source.cluster.voters:
        pages = found.get(voter)
        click.echo(f"{voter}: {_described(pages, name)}")
    _require_majority(source, found)


@lease.command(context_settings={"ignore_unknown_options": True})
@click.argument("name")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
@CONFIG
@click.option("--wait", "wait_s", type=click.FloatRange(0), help="Seconds to wait for it; without: for ever.")
@click.option("--who", default=None, help="As whom it is held.  [default: HOST:PID]")
@click.option("--hand-to", default="", help="Who alone may have it next, for a while.")
@click.option("--log", type=click.Choice(["console", "json"]), default="console", show_default=True)
def run(
    name: str,
    command: tuple[str, ...],
    path: Path,
    wait_s: float | None,
    who: str | None,
    hand_to: str,
    log: str,
) -> None:
    """Run COMMAND (after `--`) only while lease NAME is held.

    It finds LANELIFT_LEASE_TOKEN, LANELIFT_LEASE_LEFT_MS and LANELIFT_LEASE in its environment. Should the
    lease not be renewed in time, it is sent SIGTERM and then SIGKILL, both before anybody else can hold it.
    Exit code: the command's own; 75 where the lease was not held, or not to its end.
    """
    who = who or f"{socket.gethostname()}:{os.getpid()}"[-MAX_NAME_CHARACTERS:]
    for what, text in (("NAME", name), ("--who", who), ("--hand-to", hand_to)):
        if (
            len(text) > MAX_NAME_CHARACTERS
            or not re.fullmatch(NAME, text)
            or (not text and what != "--hand-to")
        ):
            exit_with_bad_input(
                f"{what}: found {text!r}; allowed: 1 to {MAX_NAME_CHARACTERS} printable ASCII characters,"
                " no spaces"
            )
    source = _source(path)
    wait_timeout_ns = None if wait_s is None else int(wait_s * 1e9)

    async def run_while_held() -> int:
        bound_log = logger(log, fleet=source.cluster.name)
        holder = LeaseHolder(source.cluster, source.clock, name, who, bound_log, wait_timeout_ns, hand_to)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, holder.stop, number)
        async with holder:
            return await holder.run_command(command) if await holder.acquire() else NOT_HELD

    sys.exit(asyncio.run(run_while_held()))


def _source(path: Path) -> FleetSource:
    """Returns the fleet of the operator's file; prints the problems and exits if the file is invalid."""
    try:
        source: FleetSource | None = read_operator_file(path).fleet_source()
    except (FileValidationError, SettingsError) as error:
        exit_with_bad_input(error)
    if source is None:
        exit_with_bad_input(f"{path}: fleet: missing; leases need it (docs/operating/leases.md)")
    return source


def _summary(name: str, statuses: list[LeaseStatus], voters: int) -> str:
    """Returns a line of text that describes a lease, from the responses of the voters that know the lease."""
    held = [status for status in statuses if status.holder]
    waiters = max(status.waiters for status in statuses)
    latest = max(held, key=lambda status: status.token, default=None)
    votes = sum(status.token == latest.token for status in held) if latest else 0
    state = (
        f"held by {latest.holder} under token {latest.token}, {votes} of {voters} votes"
        if latest and votes >= majority(voters)
        else "free, or no holder has a majority"
    )
    return f"{name}: {state}; {waiters} waiting"


def _described(pages: list[LeaseList] | None, name: str) -> str:
    """Returns the state of a lease as text, from one voter's response (None if the voter did not respond)."""
    if pages is None:
        return "no answer"
    if pages[0].quiet_ns:
        return f"silent for {pages[0].quiet_ns / 1e9:.1f} s more, or without a seat"
    statuses = (status for page in pages for status in page.leases)
    status = next((status for status in statuses if status.lease == name), None)
    if status is None:
        return "free"
    held = (
        f"bound to {status.holder} under token {status.token} for {status.remaining_ns / 1e9:.1f} s"
        if status.holder
        else "free"
    )
    return f"{held}; {status.waiters} waiting"


def _require_majority(source: FleetSource, found: dict[str, list[LeaseList]]) -> None:
    """Ends the program with exit code 1 if no majority of the voters responded."""
    voters = len(source.cluster.voters)
    if len(found) < majority(voters):
        click.echo(f"{len(found)} of {voters} voters answered: no majority", err=True)
        sys.exit(EXIT_FAILURE)
