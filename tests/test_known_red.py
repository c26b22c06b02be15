"""KNOWN-RED.txt: only its tests are deselected and printed, and an entry without cause fails the run."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import Entry, MalformedEntryError, read_entries, retry

ROOT = Path(__file__).parents[1]
CONFTEST = """
from tests.known_red import KnownRed

def pytest_addoption(parser):
    parser.addoption("--known-red-passed")

def pytest_configure(config):
    config.pluginmanager.register(KnownRed(config))
"""
TESTS = """
import pytest

def test_good(): pass

@pytest.mark.parametrize("x", [1, 2])
def test_red(x): assert x == 1
"""
RED = "test_it.py::test_red[2]"
GOOD = "test_it.py::test_good"


def entry(test: str, command: str = "") -> str:
    command = command or f"{sys.executable} -m pytest -q '{test}'"
    return f"{test} | {command} | 2 is not 1 | #41\n"


@pytest.fixture
def project(tmp_path: Path) -> Path:
    """A folder with tests that pass and one that fails, and with the project's own plugin."""
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "conftest.py").write_text(CONFTEST)
    (tmp_path / "test_it.py").write_text(TESTS)
    (tmp_path / "test_more.py").write_text("def test_more(): pass\n")
    return tmp_path


def python(project: Path, *words: str) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, "PYTHONPATH": str(ROOT), "COLUMNS": "200"}
    environment.pop("LANELIFT_KNOWN_RED", None)
    environment["PYTEST_DISABLE_PLUGIN_AUTOLOAD"] = "1"  # without plugins pytest starts twice as fast
    return subprocess.run(
        [sys.executable, "-m", *words],
        cwd=project,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def run_like_test_script(project: Path, *words: str) -> tuple[subprocess.CompletedProcess[str], str]:
    """Runs pytest as `./test` does; returns the finished run, and the ids that pytest wrote for the
    retries."""
    done = python(project, "pytest", "-q", "--known-red-passed=passed.txt", *words)
    path = project / "passed.txt"
    return done, path.read_text() if path.exists() else ""


@pytest.mark.parametrize("text", [None, "", "# a comment\n\n"])
def test_without_entries_no_test_is_deselected_or_printed(project: Path, text: str | None) -> None:
    if text is not None:
        (project / "KNOWN-RED.txt").write_text(text)
    done, passed = run_like_test_script(project)
    assert (done.returncode, passed) == (1, "")
    assert "1 failed, 3 passed" in done.stdout.splitlines()[-1] and "known to fail" not in done.stdout
    again = python(project, "tests.known_red", "passed.txt")
    assert (again.returncode, again.stdout, again.stderr) == (0, "", "")


def test_only_the_listed_test_is_deselected_printed_and_retried(project: Path) -> None:
    (project / "KNOWN-RED.txt").write_text(entry(RED))
    done, passed = run_like_test_script(project)
    assert (done.returncode, passed) == (0, f"{RED}\n")
    assert "3 passed, 1 deselected" in done.stdout.splitlines()[-1]
    assert f"{RED}: 2 is not 1 (#41; " in done.stdout
    again = python(project, "tests.known_red", "passed.txt")
    assert (again.returncode, again.stdout) == (0, f"{RED}: still fails\n")


def test_an_entry_whose_test_passes_each_time_fails_the_run(project: Path) -> None:
    (project / "KNOWN-RED.txt").write_text(entry(GOOD) + entry(RED))
    done, passed = run_like_test_script(project)
    assert (done.returncode, passed) == (0, f"{GOOD}\n{RED}\n")
    again = python(project, "tests.known_red", "passed.txt")
    assert (again.returncode, again.stdout) == (1, f"{RED}: still fails\n")
    assert again.stderr == f"{GOOD}: it passed in each of 3 runs: take it out of KNOWN-RED.txt\n"


@pytest.mark.parametrize(
    ("codes", "stays"),
    [([1], True), ([0, 0, 1], True), ([0, 0, 0], False), ([5], False), ([0, 4], False)],
)
def test_an_entry_stays_if_its_test_fails_in_one_of_three_runs(codes: list[int], stays: bool) -> None:
    left = list(codes)
    assert (retry(Entry(RED, "c", "s", "#1"), lambda command: left.pop(0)) == "") == stays
    assert not left


@pytest.mark.parametrize(
    "test",
    ["test_it.py::test_none", "test_it.py::test_red[3]", "test_it.py::test_red", "gone/test_no.py::test_a"],
)
def test_an_entry_whose_test_does_not_exist_fails_the_run(project: Path, test: str) -> None:
    (project / "KNOWN-RED.txt").write_text(entry(test))
    done, _ = run_like_test_script(project)
    assert done.returncode == 4 and f"KNOWN-RED.txt: no such test: {test}" in done.stderr + done.stdout


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (["test_more.py"], 0),
        (["test_it.py::test_good"], 0),
        (["test_it.py"], 4),
        (["."], 4),
        (["-k", "good"], 4),  # all tests were collected, so a missing test is noticed
        (["test_it.py::test_none"], 4),
        (["test_more.py", "-k", "more"], 0),
    ],
)
def test_a_listed_test_that_a_run_does_not_cover_need_not_exist(
    project: Path, words: list[str], code: int
) -> None:
    (project / "KNOWN-RED.txt").write_text(entry("test_it.py::test_none"))
    assert run_like_test_script(project, *words)[0].returncode == code


def test_a_run_of_a_subset_retries_only_its_own_entries(project: Path) -> None:
    (project / "KNOWN-RED.txt").write_text(entry(RED) + entry(GOOD))
    assert run_like_test_script(project, "test_more.py")[1] == ""
    assert run_like_test_script(project, "-k", "red")[1] == f"{RED}\n"


@pytest.mark.parametrize(
    ("line", "found", "allowed"),
    [
        ("x", "x", "TEST ID | COMMAND, WITH ITS SEED | WHAT WAS SEEN | #ISSUE"),
        (f"{RED} |  | seen | #1", f"{RED} |  | seen | #1", "TEST ID | COMMAND"),
        (f"{RED} | c | s | #1 | more", f"{RED} | c | s | #1 | more", "TEST ID | COMMAND"),
        ("test_it.py | c | s | #1", "test_it.py", "the id of a test"),
        (f"{RED} | c | s | 41", "41", "the number of an issue, like #41"),
        (f"{GOOD} | c | s | #2", GOOD, "each test once"),
    ],
)
def test_a_malformed_entry_is_one_clear_error(project: Path, line: str, found: str, allowed: str) -> None:
    text = f"# head\n{GOOD} | c | s | #1\n{line}\n"
    with pytest.raises(MalformedEntryError) as caught:
        read_entries(text)
    said = f"KNOWN-RED.txt, line 3: found {found!r}; allowed: {allowed}"
    assert str(caught.value).startswith(said) and caught.value.line == 3
    (project / "KNOWN-RED.txt").write_text(text)
    done, _ = run_like_test_script(project)
    assert done.returncode == 4 and said in done.stderr and "Traceback" not in done.stderr


def test_the_projects_own_file_is_well_formed() -> None:
    read_entries((ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8"))
