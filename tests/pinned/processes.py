"""Starts the programs as users do, and compares their output with the files in `golden/` and `help/`.

A difference from such a file is a change of an outer interface, and is corrected in the code. A file is
changed only by hand, together with the page for operators that describes it.
"""

from __future__ import annotations

import difflib
import json
import os
import subprocess
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
KEPT = Path(__file__).parent
LANELIFT = Path(sys.executable).with_name("lanelift")
RUN_S = 120


@dataclass(frozen=True)
class Run:
    """One start of a program."""

    words: tuple[str, ...] = ()
    stdin: str = ""
    environ: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Done:
    """The exit code and the output of a run."""

    code: int
    out: str
    err: str


def clean_environ(**more: str) -> dict[str, str]:
    """Returns the environment without variables that the programs read; PYTHONPATH begins with this tree."""
    kept = {k: v for k, v in os.environ.items() if not k.startswith(("BALANCER_", "LANELIFT_", "_LANELIFT"))}
    path = os.pathsep.join(filter(None, (str(ROOT), os.environ.get("PYTHONPATH", ""))))
    return {**kept, "PYTHONPATH": path, "COLUMNS": "80", "PYTHONHASHSEED": "0", **more}


def run(*command: str | Path, cwd: Path = ROOT, stdin: str = "", **environ: str) -> Done:
    done = subprocess.run(
        command,
        input=stdin,
        capture_output=True,
        text=True,
        cwd=cwd,
        env=clean_environ(**environ),
        timeout=RUN_S,
        check=False,
    )
    return Done(done.returncode, done.stdout, done.stderr)


def run_many(
    runs: Iterable[Run], cwd: Path, *, module: str = "", script: str = "", warm: Iterable[str] = ()
) -> list[Done]:
    """Returns the same as `run` for each run, but takes much less time (see `forking.py`)."""
    told: dict[str, Any] = {
        **({"module": module} if module else {"script": script}),
        "warm": [words.split() for words in warm],
        "runs": [
            {"words": list(r.words), "stdin": r.stdin, "environ": r.environ, "cwd": str(cwd)} for r in runs
        ],
    }
    done = run(sys.executable, str(KEPT / "forking.py"), stdin=json.dumps(told))
    assert done.code == 0, done.err
    return [Done(*each) for each in json.loads(done.out)]


def same_as_kept(name: str, found: str) -> None:
    """Asserts that a text is equal to the content of the file of this name."""
    kept = (KEPT / name).read_text(encoding="utf-8")
    lines = difflib.unified_diff(kept.splitlines(), found.splitlines(), name, "found", lineterm="", n=1)
    assert found == kept, "\n".join(lines)


def as_lines(rows: object) -> str:
    """Returns a value as JSON on many lines, so that a diff is easy to read."""
    return json.dumps(rows, indent=1, ensure_ascii=False) + "\n"


def as_toml(table: dict[str, Any]) -> str:
    """Returns a TOML file with these keys, each on a line of its own."""
    return "".join(f"{key} = {_value(value)}\n" for key, value in table.items())


def _value(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {_value(each)}" for key, each in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(_value, value)) + "]"
    return json.dumps(value)


def changed(value: Any, leaf: Any) -> Any:
    """Returns a copy of the tables in which each key that holds no table has the value `leaf`."""
    if isinstance(value, dict):
        return {key: changed(each, leaf) for key, each in value.items()}
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return [changed(each, leaf) for each in value]
    return leaf


def with_keys(value: Any, more: dict[str, Any] | None) -> Any:
    """Returns a copy that adds the keys `more` to each table; if `more` is None, it adds misspelt keys."""
    if isinstance(value, list):
        return [with_keys(each, more) for each in value]
    if not isinstance(value, dict):
        return value
    added = {f"{key}x": 1 for key in value} if more is None else more
    return {**{key: with_keys(each, more) for key, each in value.items()}, **added}
