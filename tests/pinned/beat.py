"""A task that records when it acts: `python beat.py FILE [stubborn]`. It imports nothing of lanelift.

Each act is recorded as one line, `TOKEN TIME PID`, in one write. Times are of CLOCK_BOOTTIME, which all
processes of the machine share. The task acts until SIGTERM; with `stubborn` it ignores SIGTERM.
"""

from __future__ import annotations

import os
import signal
import sys
import time

EVERY_S = 0.005


def main(path: str, stubborn: bool) -> None:
    """Acts periodically and records each act, until the process is ended."""
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    token, ended = os.environ["LANELIFT_LEASE_TOKEN"], []
    signal.signal(signal.SIGTERM, lambda number, frame: None if stubborn else ended.append(number))
    while not ended:
        os.write(file, f"{token} {time.clock_gettime_ns(time.CLOCK_BOOTTIME)} {os.getpid()}\n".encode())
        time.sleep(EVERY_S)


if __name__ == "__main__":
    main(sys.argv[1], "stubborn" in sys.argv[2:])
