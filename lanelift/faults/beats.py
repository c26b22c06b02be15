"""A task that tells when it acts, and the reader that judges it: `python -m lanelift.faults.beats FILE`.

Each act is one line, in one write, in a file of the task's own: `WHAT TOKEN TIME PID`, the time of the
machine's one CLOCK_BOOTTIME. Nothing of the leases is believed here, neither theirs nor the token's order:
who acted when is read from the files alone.
"""

from __future__ import annotations

import itertools
import os
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

EVERY_S = 0.004


@dataclass(frozen=True, slots=True)
class Stay:
    """One task's acts under one token. Times in nanoseconds."""

    file: str
    token: int
    first_ns: int
    last_ns: int
    beats: int
    ended: bool  # it said so itself
    pid: int


def read(folder: Path) -> list[Stay]:
    """All stays, by their first act. A last line that was cut off by a kill is no act."""
    found = []
    for path in sorted(folder.glob("*.beats")):
        acts: dict[int, list[tuple[str, int, int]]] = {}
        for line in path.read_text().splitlines(keepends=True):
            parts = line.split()
            if line.endswith("\n") and len(parts) == 4:
                acts.setdefault(int(parts[1]), []).append((parts[0], int(parts[2]), int(parts[3])))
        for token, rows in acts.items():
            times = [at for _, at, _ in rows]
            ended = any(what == "end" for what, *_ in rows)
            found.append(Stay(path.name, token, min(times), max(times), len(rows), ended, rows[0][2]))
    return sorted(found, key=lambda s: (s.first_ns, s.token))


def overlaps(stays: list[Stay]) -> list[tuple[Stay, Stay]]:
    """Pairs that acted at the same time."""
    return [
        (a, b)
        for i, a in enumerate(stays)
        for b in stays[i + 1 :]
        if a.first_ns <= b.last_ns and b.first_ns <= a.last_ns
    ]


def falls(stays: list[Stay]) -> list[tuple[Stay, Stay]]:
    """Neighbours whose tokens did not rise."""
    return [(a, b) for a, b in itertools.pairwise(stays) if b.token <= a.token]


def main(path: str, lasts_s: float = 3600.0, stubborn: bool = False) -> int:
    """Act until SIGTERM comes or its time is over; the stubborn one heeds no SIGTERM."""
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    token = os.environ.get("LANELIFT_LEASE_TOKEN", "0")
    asked = False

    def act(what: str) -> None:
        os.write(
            file, f"{what} {token} {time.clock_gettime_ns(time.CLOCK_BOOTTIME)} {os.getpid()}\n".encode()
        )

    def end(number: int, frame: object) -> None:
        nonlocal asked
        asked = not stubborn

    signal.signal(signal.SIGTERM, end)
    act("begin")
    until = time.monotonic() + lasts_s
    while not asked and time.monotonic() < until:
        time.sleep(EVERY_S)
        act("beat")
    act("end")
    return 0


if __name__ == "__main__":
    file_, *words = sys.argv[1:]
    sys.exit(main(file_, float(words[0]) if words else 3600.0, len(words) > 1))
