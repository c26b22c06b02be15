"""Tests that fail for a known fault: read from KNOWN-RED.txt, passed over, printed, and tried again.

As a part of pytest (see `tests/conftest.py`) the listed tests are left out of a run and printed at its end.
As a program (`python -m tests.known_red FILE`, run by `./test`) each of those that were left out is run
three times by the command of its entry: one that passes each time has no place in the file any more.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
from collections.abc import Callable, Generator
from dataclasses import dataclass
from pathlib import Path

import pytest

NAME = "KNOWN-RED.txt"
FORM = "TEST ID | COMMAND, WITH ITS SEED | WHAT WAS SEEN | #ISSUE"
FIELDS = 4
RUNS = 3
RUN_S = 600  # one run that is not over by then has not passed
KEEP_VARIABLE = "LANELIFT_KNOWN_RED"  # set to `run`, pytest passes over nothing
TEST_ID = re.compile(r"\S+\.py(::\w+)*::\w+(\[.*\])?")
ISSUE = re.compile(r"#[1-9][0-9]*")
PASSED, FAILED = 0, 1  # exit codes of pytest


class MalformedEntryError(Exception):
    """A line of the file has not the form of an entry.

    Attributes:
        line: The number of the line, from 1.
        found: What stands there.
        allowed: What may stand there.
    """

    def __init__(self, line: int, found: str, allowed: str) -> None:
        super().__init__(f"{NAME}, line {line}: found {found!r}; allowed: {allowed}")
        self.line, self.found, self.allowed = line, found, allowed


@dataclass(frozen=True)
class Entry:
    """One test that is known to fail."""

    test: str
    command: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.seen} ({self.issue}; {self.command})"


def read_entries(text: str) -> list[Entry]:
    """The entries of the file, in its order; empty lines and those that begin with `#` are none.

    Raises:
        MalformedEntryError: A line is neither, or its test was listed before.
    """
    entries: list[Entry] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != FIELDS or not all(fields):
            raise MalformedEntryError(number, line, FORM)
        entry = Entry(*fields)
        if not TEST_ID.fullmatch(entry.test):
            raise MalformedEntryError(number, entry.test, "the id of a test as pytest prints it")
        if not ISSUE.fullmatch(entry.issue):
            raise MalformedEntryError(number, entry.issue, "the number of an issue, like #41")
        if entry.test in [known.test for known in entries]:
            raise MalformedEntryError(number, entry.test, "each test once")
        entries.append(entry)
    return entries


class KnownRed:
    """The part of pytest that passes over the listed tests, prints them, and finds those that are none.

    Raises:
        pytest.UsageError: The file is malformed, or lists a test that was asked for and does not exist.
    """

    def __init__(self, config: pytest.Config) -> None:
        path = config.rootpath / NAME
        try:
            self.entries = read_entries(path.read_text(encoding="utf-8")) if path.exists() else []
        except MalformedEntryError as error:
            raise pytest.UsageError(str(error)) from None
        self.passed_over: list[Entry] = []

    @pytest.hookimpl(wrapper=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> Generator[None]:
        """Outermost: sees all that was collected before, and what `-k` and the like have left of it after."""
        collected = {item.nodeid for item in items}
        missing = [e.test for e in self.entries if e.test not in collected and asked_for(config, e.test)]
        if missing:
            raise pytest.UsageError(f"{NAME}: no such test: {', '.join(missing)}")
        yield
        if os.environ.get(KEEP_VARIABLE) == "run":
            return
        listed = {entry.test: entry for entry in self.entries}
        out = [item for item in items if item.nodeid in listed]
        if out:
            self.passed_over = [listed[item.nodeid] for item in out]
            items[:] = [item for item in items if item.nodeid not in listed]
            config.hook.pytest_deselected(items=out)

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if self.passed_over:
            terminalreporter.section(f"known to fail, and passed over ({NAME})")
            for entry in self.passed_over:
                terminalreporter.write_line(str(entry))

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        path: str | None = session.config.getoption("--known-red-passed")
        if path is not None:
            Path(path).write_text("".join(f"{entry.test}\n" for entry in self.passed_over), encoding="utf-8")


def asked_for(config: pytest.Config, test: str) -> bool:
    """Would this run have collected that test, did it exist? Only then can be told that it does not."""
    option = config.option
    if option.ignore or option.ignore_glob or option.pyargs:
        return False
    root = config.rootpath
    for argument in config.args:
        path, _, within = argument.partition("::")
        whole = (config.invocation_params.dir / path).resolve()
        file, _, name = test.partition("::")
        here = (root / file).resolve()
        if not within and (here == whole or whole in here.parents):
            return True
        if within and here == whole and (name == within or name.startswith((f"{within}::", f"{within}["))):
            return True
    return False


def run_command(command: str) -> int:
    """The exit code of an entry's command; as failed counts what takes longer than `RUN_S`."""
    environment = {**os.environ, KEEP_VARIABLE: "run"}
    try:
        done = subprocess.run(
            ["bash", "-c", command], capture_output=True, env=environment, timeout=RUN_S, check=False
        )
    except subprocess.TimeoutExpired:
        return FAILED
    return done.returncode


def try_again(entry: Entry, run: Callable[[str], int] = run_command) -> str:
    """Why the entry can't stay, or nothing: its test has failed in one of the runs."""
    for _ in range(RUNS):
        code = run(entry.command)
        if code == FAILED:
            return ""
        if code != PASSED:
            return f"its command ends with {code}, and must run the test: {entry.command}"
    return f"it passed in each of {RUNS} runs: take it out of {NAME}"


def main(path: str) -> int:
    """Try again what was passed over; `path` names a file with its ids, one a line."""
    names = Path(path).read_text(encoding="utf-8").splitlines()
    if not names:
        return 0
    entries = read_entries(Path(NAME).read_text(encoding="utf-8"))
    whole = 0
    for entry in [entry for entry in entries if entry.test in names]:
        wrong = try_again(entry)
        print(f"{entry.test}: {wrong or 'still fails'}", file=sys.stderr if wrong else sys.stdout)
        whole = 1 if wrong else whole
    return whole


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
