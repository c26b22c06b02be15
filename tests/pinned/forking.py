"""Runs one program many times: it is imported once, and each run is a process that is forked afterwards.

`processes.py` starts this program. Its standard input is a JSON object with `module` (run as by `python -m`)
or `script` (a console script of pyproject.toml), `warm` (arguments of first runs, whose results are discarded
but whose imports stay loaded) and `runs`. Its standard output has the exit code and the output of each run.
"""

from __future__ import annotations

import contextlib
import importlib
import importlib.util
import io
import json
import os
import runpy
import signal
import sys
import tempfile
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

RUN_S = 30  # seconds; a run that lasts longer than this is ended, and has the exit code of SIGALRM


def main() -> None:
    told = json.load(sys.stdin)
    program = module(told["module"]) if "module" in told else script(told["script"])
    for words in told.get("warm", []):
        with contextlib.redirect_stdout(io.StringIO()), contextlib.redirect_stderr(io.StringIO()):
            exit_code(program, words)
    json.dump([run(program, **each) for each in told["runs"]], sys.stdout)


def module(name: str) -> Callable[[], Any]:
    spec = importlib.util.find_spec(name)
    assert spec is not None
    whole = f"{name}.__main__" if spec.submodule_search_locations is not None else name
    importlib.import_module(whole)

    def program() -> None:
        sys.modules.pop(whole, None)
        sys.argv[0] = name
        runpy.run_module(name, run_name="__main__", alter_sys=True)

    return program


def script(name: str) -> Callable[[], Any]:
    with open(Path(__file__).parents[2] / "pyproject.toml", "rb") as file:
        where, _, function = tomllib.load(file)["project"]["scripts"][name].partition(":")
    begin = getattr(importlib.import_module(where), function)

    def program() -> None:
        sys.argv[0] = name
        sys.exit(begin())

    return program


def exit_code(program: Callable[[], Any], words: list[str]) -> int:
    sys.argv[1:] = words
    try:
        program()
    except SystemExit as ended:
        if isinstance(ended.code, int) or ended.code is None:
            return ended.code or 0
        print(ended.code, file=sys.stderr)
        return 1
    except BaseException:
        traceback.print_exc()
        return 1
    return 0


def run(
    program: Callable[[], Any], words: list[str], stdin: str, environ: dict[str, str], cwd: str
) -> tuple[int, str, str]:
    with tempfile.TemporaryFile() as given, tempfile.TemporaryFile() as out, tempfile.TemporaryFile() as err:
        given.write(stdin.encode("latin-1"))
        given.seek(0)
        child = os.fork()
        if child == 0:
            for number, file in enumerate((given, out, err)):
                os.dup2(file.fileno(), number)
            os.chdir(cwd)
            os.environ.update(environ)
            signal.alarm(RUN_S)
            code = exit_code(program, words)
            sys.stdout.flush()
            sys.stderr.flush()
            os._exit(code)
        _, status = os.waitpid(child, 0)
        out.seek(0)
        err.seek(0)
        return os.waitstatus_to_exitcode(status), out.read().decode(), err.read().decode()


if __name__ == "__main__":
    main()
