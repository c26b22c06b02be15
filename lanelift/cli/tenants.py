"""`lanelift tenants`: shows the tenants of directories and checks their entries, without a balancer."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from lanelift.cli.main import CONFIG, EXIT_FAILURE, FILE, exit_with_bad_input
from lanelift.config.checked import FileValidationError
from lanelift.config.operator import read_operator_file
from lanelift.settings import SettingsError
from lanelift.tenants.store import Reading, TenantStore
from lanelift.tenants.sync_config import SyncConfig
from lanelift.tenants.sync_process import TenantSource
from lanelift.tenants.tenant_state import Changes, TenantState

if TYPE_CHECKING:
    from lanelift.tenants.replica_reader import ReadResult


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
    config = _source(path).config
    for number, directory in enumerate(config.directories):
        found, failure = _read(config, number)
        if not failure:
            store = TenantStore()
            store.merge(Reading(number, found, complete=True), time.time())
            rows = [tenant for tenant in store.sent.values() if tenant is not None]
            click.echo(_as_json(rows) if as_json else _table(rows))
            return
        click.echo(f"{directory}: {failure}", err=True)
    sys.exit(EXIT_FAILURE)


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
    before = _tenants_before(source, against)
    all_valid = True
    for number in range(len(source.config.directories)):
        valid = _check_directory(source.config, number, before)
        all_valid = all_valid and valid
    sys.exit(0 if all_valid else EXIT_FAILURE)


def _check_directory(config: SyncConfig, number: int, before: dict[str, TenantState]) -> bool:
    """Print a directory's problems, and its changes from `before`; return whether it has no problems."""
    found, failure = _read(config, number)
    incomplete = f"; incomplete: {failure}" if failure else ""
    click.echo(f"{config.directories[number]}: {len(found)} entries{incomplete}")
    if failure and not found:
        return False
    # The store is seeded with the present tenants, so that it holds back mass removals like a balancer's
    # store.
    notices: list[str] = []
    store = TenantStore(config.removal_part, config.confirmed, lambda _, text: notices.append(text))
    store.seed((tenant.name, tenant.denial_reason == "suspended", tenant.share) for tenant in before.values())
    changes = store.merge(Reading(number, found, not failure, store.revision), time.time())
    invalid = [entry for entry in found if entry.problems]
    for entry in invalid:
        click.echo(f"  {entry.dn}: {'; '.join(entry.problems)}")
    for notice in notices:
        if not notice.startswith("entry ") and "more entries with mistakes" not in notice:
            click.echo(f"  {notice}")
    _print_changes(changes, before)
    conflicts = any(len(ids) > 1 for ids in store.claims.values())
    return not (failure or invalid or store.guard.pending or conflicts)


def _print_changes(changes: Changes, before: dict[str, TenantState]) -> None:
    for tenant in changes.tenants:
        old = before.get(tenant.name)
        if old is None:
            click.echo(f"  + {tenant.name}: {_summary(tenant)}")
        elif old != tenant:
            click.echo(f"  ~ {tenant.name}: {_summary(old)} -> {_summary(tenant)}")
    for name in changes.removed:
        click.echo(f"  - {name}")


def _source(path: Path) -> TenantSource:
    try:
        source = read_operator_file(path).config().tenants
    except (FileValidationError, SettingsError) as error:
        exit_with_bad_input(error)
    if not isinstance(source, TenantSource):
        exit_with_bad_input(f"{path}: tenants: missing; the file names no directory")
    return source


def _read(config: SyncConfig, number: int) -> ReadResult:
    # Not imported at the top of the module, so that `_source` can first report an LDAP client that is
    # missing.
    from lanelift.tenants.client import DirectoryError, Session
    from lanelift.tenants.replica_reader import ReadResult, read_all

    session = Session(config.directories[number])
    try:
        session.open()
        return read_all(session, config.search, config.map)
    except DirectoryError as error:
        return ReadResult([], str(error))
    finally:
        session.close()


def _tenants_before(source: TenantSource, against: Path | None) -> dict[str, TenantState]:
    """Return the tenants, by name, with which a directory is compared: from a file or from the settings."""
    if against is None:
        listed = source.configured_tenants.values()
        return {tenant.name: TenantState(tenant.name, "", tenant.share, None, (), ()) for tenant in listed}
    try:
        rows = json.loads(against.read_text(encoding="utf-8"))["tenants"]
        return {row["name"]: _from_json(row) for row in rows}
    except (OSError, ValueError, KeyError, TypeError) as error:
        exit_with_bad_input(
            f"{against}: found no tenants ({error!r}); allowed: the output of `lanelift tenants show --json`"
        )


def _from_json(row: dict[str, Any]) -> TenantState:
    limits = tuple((str(class_name), float(rate)) for class_name, rate in row["limits"])
    classes = tuple(row["classes"])
    return TenantState(row["name"], row["barred"], row["share"], row["quota_per_s"], classes, limits)


def _to_json(tenant: TenantState) -> dict[str, Any]:
    """Return a tenant with the keys of `show --json`, which must not change, as existing files have them."""
    fields = tenant._asdict()
    return {"barred" if name == "denial_reason" else name: value for name, value in fields.items()}


def _as_json(rows: list[TenantState]) -> str:
    return json.dumps({"tenants": [_to_json(tenant) for tenant in rows]}, indent=1, ensure_ascii=False)


def _table(rows: list[TenantState]) -> str:
    width = max([len(tenant.name) for tenant in rows], default=0)
    lines = [f"{tenant.name:{width}}  {_summary(tenant)}" for tenant in rows]
    denied = sum(bool(tenant.denial_reason) for tenant in rows)
    return "\n".join([*lines, f"{len(rows)} tenants, {denied} of them not served"])


def _summary(tenant: TenantState) -> str:
    """Return a summary of one tenant, in one line."""
    parts = [tenant.denial_reason or "served", f"share {tenant.share:g}"]
    if tenant.quota_per_s is not None:
        parts.append(f"at most {tenant.quota_per_s:g}/s")
    if tenant.classes:
        parts.append("only " + ", ".join(tenant.classes))
    parts += [f"{class_name} at most {rate:g}/s" for class_name, rate in tenant.limits]
    return ", ".join(parts)
