"""Runs one test of the watchdog of `lease run` while the watchdog is held up by SIGSTOP and SIGCONT.

    python review/hold_the_watchdog.py starting|signalled TEST

`starting`: it is stopped as it starts, and goes on once its first deadline (an argument) has passed. The
holder is not stopped, so the lease is renewed and later deadlines wait on the watchdog's standard input.
`signalled`: it is stopped as it starts its command, and goes on once a signal waits for it.

The commands of `KNOWN-RED.txt` use it: without a hold these tests fail on a busy machine only, and there by
chance. The exit code is pytest's, of the first run that fails, or 0 after `RUNS` runs.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

RUNS = 3
HOLD_S = 10.0  # maximum length of a hold
MODULE = b"lanelift.leases.warden"


def children(pid: int) -> list[int]:
    """Returns the process ids of the children of all threads of a process."""
    found: list[int] = []
    with suppress(OSError):
        for task in os.listdir(f"/proc/{pid}/task"):
            with suppress(OSError):
                found += map(int, Path(f"/proc/{pid}/task/{task}/children").read_text().split())
    return found


def arguments(pid: int) -> list[bytes]:
    """Returns the arguments of a process; an empty list if it has ended."""
    try:
        return Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\0")
    except OSError:
        return []


def signal_waits(pid: int) -> bool:
    """Returns whether SIGTERM or SIGINT was sent to a stopped process."""
    status = Path(f"/proc/{pid}/status").read_text()
    waiting = [
        int(line.split()[1], 16) for line in status.splitlines() if line.startswith(("SigPnd", "ShdPnd"))
    ]
    return any(mask & (1 << number - 1) for mask in waiting for number in (signal.SIGTERM, signal.SIGINT))


def first_deadline_passed(pid: int) -> bool:
    """Returns whether the first deadline in the watchdog's arguments has passed."""
    given = arguments(pid)
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) > int(given[given.index(MODULE) + 1])


def hold(watchdog: int, when: str) -> None:
    """Stops the watchdog at the right time, waits for the condition, and lets it go on."""
    while when == "signalled" and not children(watchdog):
        if not arguments(watchdog):
            return
    with suppress(OSError, ValueError):
        os.kill(watchdog, signal.SIGSTOP)
        end = time.monotonic() + HOLD_S
        done = signal_waits if when == "signalled" else first_deadline_passed
        while time.monotonic() < end and not done(watchdog):
            time.sleep(0.001)
    with suppress(OSError):
        os.kill(watchdog, signal.SIGCONT)


def run(when: str, test: str) -> int:
    """Runs the test once, with a hold of each watchdog that it starts; returns pytest's exit code."""
    pytest = subprocess.Popen([sys.executable, "-m", "pytest", "-q", test])
    held: set[int] = set()
    while pytest.poll() is None:
        for pid in children(pytest.pid):
            if pid not in held and MODULE in arguments(pid):
                held.add(pid)
                hold(pid, when)
        time.sleep(0.0002)
    return pytest.returncode


def main(when: str, test: str) -> int:
    """Runs the test until it fails, up to `RUNS` times; returns the last exit code."""
    for _ in range(RUNS):
        code = run(when, test)
        if code:
            return code
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
