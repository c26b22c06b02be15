"""`lanelift config`: checks the operator's file without starting the daemon."""

from __future__ import annotations

from pathlib import Path

import click

from lanelift.cli.main import FILE, exit_with_bad_input
from lanelift.config.checked import FileValidationError
from lanelift.config.operator import read_operator_file


@click.group()
def config() -> None:
    """Check the operator's file."""


@config.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check FILE as a whole; every mistake is reported, with its place, what was found and what is allowed.

    Exit code 0: the daemon would start with it. 2: it would not.
    """
    try:
        read = read_operator_file(file)
    except FileValidationError as error:
        exit_with_bad_input(error)
    source = (
        f"{len(read.upstreams)} upstreams listed"
        if read.discovery is None
        else f"discovery at {read.discovery.address}"
    )
    directories = (
        f" and {len(read.tenant_directories.directories)} directories of them"
        if read.tenant_directories is not None
        else ""
    )
    click.echo(
        f"{file}: good. Listens on {read.serve.listen}; {len(read.classes)} classes, "
        f"{len(read.tenants)} tenants{directories}, {source}."
    )
    if read.fleet is not None:
        click.echo(read.fleet.summary())
        for warning in read.fleet.warnings():
            click.echo(f"{file}: warning: {warning}", err=True)
