"""`lanelift`: the group of all commands, whose modules are imported on demand.

Exit codes: 0 success; 1 the command failed, or its run was void; 2 bad input, which a message explains.
"""

from __future__ import annotations

import importlib
import sys
from pathlib import Path
from typing import NoReturn

import click

EXIT_FAILURE, EXIT_BAD_INPUT = 1, 2
# For each command: the module that defines a function of the command's name, and the command's help text. A
# module is imported only if its command runs or its help is requested, because `lanelift serve` must not
# import the rehearsal kit.
COMMANDS = {
    "serve": ("lanelift.cli.serve", "Balance over the servers that FILE lists."),
    "config": ("lanelift.cli.config", "Check the operator's file."),
    "tenants": ("lanelift.cli.tenants", "Show what LDAP directories say of tenants, and check it."),
    "lease": ("lanelift.cli.lease", "Run commands under leases of the fleet, and show them."),
    "rehearse": ("lanelift.cli.rehearse", "Play a day on loopback sockets and judge it."),
}
FILE = click.Path(path_type=Path)  # a file that can't be read is reported in the same way as other problems
CONFIG = click.option(
    "--config",
    "-c",
    "path",
    type=FILE,
    default=Path("deploy/lanelift.toml"),
    show_default=True,
    help="The operator's file (see docs/operating/configuration.md).",
)


class LazyGroup(click.Group):
    """A group that imports a command's module only if the command runs or its help is requested."""

    def list_commands(self, context: click.Context) -> list[str]:
        """Return the names of all commands."""
        return list(COMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Return the command with this name, or None if there is no such command."""
        if name not in COMMANDS:
            return None
        command = getattr(importlib.import_module(COMMANDS[name][0]), name)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands, without importing them."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, text) for name, (_, text) in COMMANDS.items()])


@click.command(
    cls=LazyGroup,
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog=(
        "Start with `lanelift rehearse run calm`: it starts stand-in boxes and balancers on this machine, "
        "plays a short day and tells what it was worth. Shell completion: "
        'eval "$(_LANELIFT_COMPLETE=bash_source lanelift)" (zsh_source, fish_source likewise).'
    ),
)
@click.version_option(package_name="lanelift")
def main() -> None:
    """A load balancer for quote servers, and the kit to rehearse it with."""


def exit_with_bad_input(message: object) -> NoReturn:
    """Print a message about bad input, and exit with code 2."""
    click.echo(str(message), err=True)
    sys.exit(EXIT_BAD_INPUT)
