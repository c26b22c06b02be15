"""`lanelift tenants`: what directories say, and what is wrong there, without a balancer."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

import click

from lanelift.cli.main import CONFIG, FELL_SHORT, FILE, refuse
from lanelift.config.checked import FileValidationError
from lanelift.config.operator import read_operator_file
from lanelift.settings import SettingsError
from lanelift.tenants.entries import Parsed
from lanelift.tenants.feed import TenantSource
from lanelift.tenants.job import Job
from lanelift.tenants.register import Reading, Register, Tenant


@click.group()
def tenants() -> None:
    """Show what directories say of tenants, and check it."""


@tenants.command()
@CONFIG
@click.option("--json", "as_json", is_flag=True, help="One JSON object, as `check --against` takes it.")
def show(path: Path, as_json: bool) -> None:
    """Read the first directory that answers, and show the tenants as a balancer would have them now.

    Exit code 1: no directory could be read whole.
    """
    job = _source(path).job
    for number in range(len(job.directories)):
        found, why = _read(job, number)
        if not why:
            register = Register()
            register.merge(Reading(number, found, True), time.time())
            rows = [t for t in register.told.values() if t is not None]
            click.echo(_as_json(rows) if as_json else _table(rows))
            return
        click.echo(f"{job.directories[number]}: {why}", err=True)
    sys.exit(FELL_SHORT)


@tenants.command()
@CONFIG
@click.option(
    "--against",
    type=FILE,
    help="Tenants to compare with: a file that `show --json` wrote. Without it, the operator's file's.",
)
def check(path: Path, against: Path | None) -> None:
    """Read every directory, and say what is wrong with which entry, and what would change.

    Exit code 0: all were read whole and no entry has a mistake. 1: something is wrong.
    """
    source = _source(path)
    job = source.job
    before = _before(source, against)
    wrong = False
    for number, directory in enumerate(job.directories):
        found, why = _read(job, number)
        wrong = wrong or bool(why)
        click.echo(f"{directory}: {len(found)} entries" + (f"; not whole: {why}" if why else ""))
        if why and not found:
            continue
        # Seeded with what holds now, so that removals past the share are seen as a balancer would see them.
        notes: list[str] = []
        register = Register(job.removal_part, job.confirm, lambda _, text: notes.append(text))  # noqa: B023
        register.seed((t.name, t.barred == "suspended", t.share) for t in before.values())
        changes = register.merge(Reading(number, found, not why, register.revision), time.time())
        mistakes = [p for p in found if p.problems]
        for parsed in mistakes:
            click.echo(f"  {parsed.dn}: {'; '.join(parsed.problems)}")
        for note in notes:
            if not note.startswith("entry ") and "more entries with mistakes" not in note:
                click.echo(f"  {note}")
        wrong = (
            wrong
            or bool(mistakes)
            or bool(register.pending)
            or any(len(ids) > 1 for ids in register.claims.values())
        )
        for tenant in changes.tenants:
            was = before.get(tenant.name)
            if was is None:
                click.echo(f"  + {tenant.name}: {_words(tenant)}")
            elif was != tenant:
                click.echo(f"  ~ {tenant.name}: {_words(was)} -> {_words(tenant)}")
        for name in changes.gone:
            click.echo(f"  - {name}")
    sys.exit(FELL_SHORT if wrong else 0)


def _source(path: Path) -> TenantSource:
    try:
        source = read_operator_file(path).config().tenants
    except (FileValidationError, SettingsError) as error:
        refuse(error)
    if not isinstance(source, TenantSource):
        refuse(f"{path}: tenants: missing; the file names no directory")
    return source


def _read(job: Job, number: int) -> tuple[list[Parsed], str]:
    # Only here: without the extra `tenants` there is no client, and `_source` has said so by now.
    from lanelift.tenants.client import Failed, Session
    from lanelift.tenants.reader import read_all

    session = Session(job.directories[number])
    try:
        session.open()
        return read_all(session, job.search, job.map)
    except Failed as error:
        return [], str(error)
    finally:
        session.close()


def _before(source: TenantSource, against: Path | None) -> dict[str, Tenant]:
    if against is None:
        return {t.name: Tenant(t.name, "", t.share, None, (), ()) for t in source.settings.values()}
    try:
        rows = json.loads(against.read_text(encoding="utf-8"))["tenants"]
        return {row["name"]: _tenant(row) for row in rows}
    except (OSError, ValueError, KeyError, TypeError) as error:
        refuse(f"{against}: found no tenants ({error!r}); allowed: what `lanelift tenants show --json` wrote")


def _tenant(row: dict[str, Any]) -> Tenant:
    limits = tuple((str(cls), float(rate)) for cls, rate in row["limits"])
    return Tenant(row["name"], row["barred"], row["share"], row["quota_per_s"], tuple(row["classes"]), limits)


def _as_json(rows: list[Tenant]) -> str:
    return json.dumps({"tenants": [t._asdict() for t in rows]}, indent=1, ensure_ascii=False)


def _table(rows: list[Tenant]) -> str:
    width = max([len(t.name) for t in rows], default=0)
    lines = [f"{t.name:{width}}  {_words(t)}" for t in rows]
    barred = sum(bool(t.barred) for t in rows)
    return "\n".join([*lines, f"{len(rows)} tenants, {barred} of them not served"])


def _words(t: Tenant) -> str:
    """One tenant at a glance."""
    parts = [t.barred or "served", f"share {t.share:g}"]
    if t.quota_per_s is not None:
        parts.append(f"at most {t.quota_per_s:g}/s")
    if t.classes:
        parts.append("only " + ", ".join(t.classes))
    parts += [f"{cls} at most {rate:g}/s" for cls, rate in t.limits]
    return ", ".join(parts)
