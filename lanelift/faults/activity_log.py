"""A task that logs when it acts, and the checks of such logs: `python -m lanelift.faults.activity_log FILE`.

Each action is logged as one line, in a single write, to the task's own file: `WHAT TOKEN TIME PID`, with
the time in nanoseconds of the machine's CLOCK_BOOTTIME. The checks read from these files alone which task
acted when, and whether tokens rise. They do not rely on the lease code.
"""

from __future__ import annotations

import itertools
import os
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

ACTION_PERIOD_S = 0.004
DEFAULT_DURATION_S = 3600.0
LOG_SUFFIX = ".beats"
FIELDS_PER_LINE = 4


@dataclass(frozen=True, slots=True)
class HoldInterval:
    """The actions of one task under one token.

    Attributes:
        file: The name of the task's file.
        token: The fencing token that the task was started with.
        first_ns: The time of the first action, on CLOCK_BOOTTIME.
        last_ns: The time of the last action, on CLOCK_BOOTTIME.
        actions: How often the task acted.
        ended: Whether the task logged its own end.
        pid: The task's process id.
    """

    file: str
    token: int
    first_ns: int
    last_ns: int
    actions: int
    ended: bool
    pid: int


def read_intervals(folder: Path) -> list[HoldInterval]:
    """Reads all activity logs of a folder.

    A last line that was cut off by a kill is ignored.

    Returns:
        All intervals, in the order of their first action.
    """
    found = []
    for path in sorted(folder.glob(f"*{LOG_SUFFIX}")):
        found += _intervals_of(path)
    return sorted(found, key=lambda interval: (interval.first_ns, interval.token))


def overlapping_pairs(intervals: list[HoldInterval]) -> list[tuple[HoldInterval, HoldInterval]]:
    """Returns the pairs of intervals that overlap."""
    return [
        (earlier, later)
        for number, earlier in enumerate(intervals)
        for later in intervals[number + 1 :]
        if earlier.first_ns <= later.last_ns and later.first_ns <= earlier.last_ns
    ]


def token_regressions(intervals: list[HoldInterval]) -> list[tuple[HoldInterval, HoldInterval]]:
    """Returns the pairs of consecutive intervals whose tokens do not rise."""
    return [
        (earlier, later) for earlier, later in itertools.pairwise(intervals) if later.token <= earlier.token
    ]


def main(path: str, duration_s: float = DEFAULT_DURATION_S, ignores_sigterm: bool = False) -> int:
    """Acts and logs each action, until SIGTERM or until the duration is over.

    Args:
        path: The file to log to; lines are appended.
        duration_s: How long the task acts.
        ignores_sigterm: Whether the task continues to act after SIGTERM.

    Returns:
        The exit code, 0.
    """
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    token = os.environ.get("LANELIFT_LEASE_TOKEN", "0")
    terminated = False

    def log(what: str) -> None:
        now_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        os.write(file, f"{what} {token} {now_ns} {os.getpid()}\n".encode())

    def on_sigterm(number: int, frame: object) -> None:
        nonlocal terminated
        terminated = not ignores_sigterm

    signal.signal(signal.SIGTERM, on_sigterm)
    log("begin")
    until = time.monotonic() + duration_s
    while not terminated and time.monotonic() < until:
        time.sleep(ACTION_PERIOD_S)
        log("beat")
    log("end")
    return 0


def _intervals_of(path: Path) -> list[HoldInterval]:
    """Returns the intervals of one file, one interval for each token."""
    actions: dict[int, list[tuple[str, int, int]]] = {}
    for line in path.read_text().splitlines(keepends=True):
        parts = line.split()
        if line.endswith("\n") and len(parts) == FIELDS_PER_LINE:
            what, token, at_ns, pid = parts
            actions.setdefault(int(token), []).append((what, int(at_ns), int(pid)))
    found = []
    for token_number, rows in actions.items():
        times = [at for _, at, _ in rows]
        ended = any(what == "end" for what, *_ in rows)
        first_pid = rows[0][2]
        found.append(
            HoldInterval(path.name, token_number, min(times), max(times), len(rows), ended, first_pid)
        )
    return found


if __name__ == "__main__":
    file_name, *arguments = sys.argv[1:]
    duration = float(arguments[0]) if arguments else DEFAULT_DURATION_S
    sys.exit(main(file_name, duration, len(arguments) > 1))
