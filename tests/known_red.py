"""Handling of tests that fail for a known fault, which KNOWN-RED.txt lists: they are deselected and retried.

As a pytest plugin (see `tests/conftest.py`) this module deselects the listed tests and prints them at the end
of the run. As a program (`python -m tests.known_red FILE`, run by `./test`) it runs the command of each
deselected test up to three times: a test that passes each time must be removed from the file.
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

FILE_NAME = "KNOWN-RED.txt"
ENTRY_FORM = "TEST ID | COMMAND, WITH ITS SEED | WHAT WAS SEEN | #ISSUE"
FIELDS = 4
RUNS = 3
RUN_S = 600  # a run of a command that takes longer than this counts as failed
KEEP_VARIABLE = "LANELIFT_KNOWN_RED"  # if set to `run`, no test is deselected
TEST_ID = re.compile(r"\S+\.py(::\w+)*::\w+(\[.*\])?")
ISSUE = re.compile(r"#[1-9][0-9]*")
PASSED, FAILED = 0, 1  # exit codes of pytest


class MalformedEntryError(Exception):
    """A line of the file is not a valid entry.

    Attributes:
        line: The number of the line, from 1.
        found: The invalid text.
        allowed: What is allowed in its place.
    """

    def __init__(self, line: int, found: str, allowed: str) -> None:
        super().__init__(f"{FILE_NAME}, line {line}: found {found!r}; allowed: {allowed}")
        self.line, self.found, self.allowed = line, found, allowed


@dataclass(frozen=True)
class Entry:
    """A test that is known to fail."""

    test: str
    command: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.seen} ({self.issue}; {self.command})"


def read_entries(text: str) -> list[Entry]:
    """Returns the entries of the file, in order; empty lines and lines that begin with `#` are skipped.

    Raises:
        MalformedEntryError: An entry is invalid, or its test is listed twice.
    """
    entries: list[Entry] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != FIELDS or not all(fields):
            raise MalformedEntryError(number, line, ENTRY_FORM)
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
    """The pytest plugin that deselects and prints the listed tests, and rejects listed tests that do not
    exist.

    Raises:
        pytest.UsageError: The file is malformed, or lists a missing test that this run covers.
    """

    def __init__(self, config: pytest.Config) -> None:
        path = config.rootpath / FILE_NAME
        try:
            self.entries = read_entries(path.read_text(encoding="utf-8")) if path.exists() else []
        except MalformedEntryError as error:
            raise pytest.UsageError(str(error)) from None
        self.deselected: list[Entry] = []

    @pytest.hookimpl(wrapper=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> Generator[None]:
        """Deselects the listed tests.

        This wrapper is the outermost hook: before `yield` all collected tests are in `items`, and after it
        only those that options such as `-k` have left.
        """
        collected = {item.nodeid for item in items}
        missing = [e.test for e in self.entries if e.test not in collected and is_covered(config, e.test)]
        if missing:
            raise pytest.UsageError(f"{FILE_NAME}: no such test: {', '.join(missing)}")
        yield
        if os.environ.get(KEEP_VARIABLE) == "run":
            return
        listed = {entry.test: entry for entry in self.entries}
        deselected = [item for item in items if item.nodeid in listed]
        if deselected:
            self.deselected = [listed[item.nodeid] for item in deselected]
            items[:] = [item for item in items if item.nodeid not in listed]
            config.hook.pytest_deselected(items=deselected)

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if self.deselected:
            terminalreporter.section(f"known to fail, and not run ({FILE_NAME})")
            for entry in self.deselected:
                terminalreporter.write_line(str(entry))

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        path: str | None = session.config.getoption("--known-red-passed")
        if path is not None:
            Path(path).write_text("".join(f"{entry.test}\n" for entry in self.deselected), encoding="utf-8")


def is_covered(config: pytest.Config, test: str) -> bool:
    """Returns whether this run would collect the test if the test existed: only such a test is reported as
    missing."""
    option = config.option
    if option.ignore or option.ignore_glob or option.pyargs:
        return False
    root = config.rootpath
    for argument in config.args:
        path, _, within = argument.partition("::")
        argument_path = (config.invocation_params.dir / path).resolve()
        file, _, name = test.partition("::")
        test_path = (root / file).resolve()
        if not within and (test_path == argument_path or argument_path in test_path.parents):
            return True
        if (
            within
            and test_path == argument_path
            and (name == within or name.startswith((f"{within}::", f"{within}[")))
        ):
            return True
    return False


def run_command(command: str) -> int:
    """Returns the exit code of an entry's command; a run longer than `RUN_S` counts as failed."""
    environment = {**os.environ, KEEP_VARIABLE: "run"}
    try:
        done = subprocess.run(
            ["bash", "-c", command], capture_output=True, env=environment, timeout=RUN_S, check=False
        )
    except subprocess.TimeoutExpired:
        return FAILED
    return done.returncode


def retry(entry: Entry, run: Callable[[str], int] = run_command) -> str:
    """Returns why the entry is invalid, or an empty string if its test has failed in one of the runs."""
    for _ in range(RUNS):
        code = run(entry.command)
        if code == FAILED:
            return ""
        if code != PASSED:
            return f"its command ends with {code}, and must run the test: {entry.command}"
    return f"it passed in each of {RUNS} runs: take it out of {FILE_NAME}"


def main(path: str) -> int:
    """Retries the deselected tests, whose ids are the lines of the file at `path`; returns the exit code."""
    names = Path(path).read_text(encoding="utf-8").splitlines()
    if not names:
        return 0
    entries = read_entries(Path(FILE_NAME).read_text(encoding="utf-8"))
    exit_code = 0
    for entry in [entry for entry in entries if entry.test in names]:
        problem = retry(entry)
        print(f"{entry.test}: {problem or 'still fails'}", file=sys.stderr if problem else sys.stdout)
        exit_code = 1 if problem else exit_code
    return exit_code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
