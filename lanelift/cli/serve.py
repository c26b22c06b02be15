"""`lanelift serve`: the daemon, configured by the operator's file."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from lanelift.__main__ import run
from lanelift.cli.main import CONFIG, exit_with_bad_input
from lanelift.config.checked import FileValidationError
from lanelift.config.operator import read_operator_file
from lanelift.daemon_config import Config
from lanelift.settings import SettingsError


@click.command()
@CONFIG
def serve(path: Path) -> None:
    """Balance over the servers that the operator's file lists, or that its discovery names.

    SIGTERM finishes what is open and leaves. SIGHUP reads the file again: a changed list of servers is
    applied at once, what was removed gets nothing new, and directories of tenants are read as it says now;
    a file with a mistake changes nothing and is named in the log.
    """

    def read() -> Config:
        return read_operator_file(path).config()

    try:
        read()
    except (FileValidationError, SettingsError) as error:
        exit_with_bad_input(error)
    sys.exit(run(read))
