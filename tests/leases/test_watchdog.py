"""The start of the watchdog: signals and deadlines that come before it has started its command."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

WAIT_S = 20.0
LATER_S = 600.0
NOT_HELD = 75


def boottime_ns(seconds_from_now: float) -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) + int(seconds_from_now * 1e9)


def deadlines(seconds_from_now: float) -> list[str]:
    return [str(boottime_ns(seconds_from_now)), str(boottime_ns(seconds_from_now + 1))]


def watchdog_command(term_s: float, *command: str) -> list[str]:
    return [sys.executable, "-m", "lanelift.leases.warden", *deadlines(term_s), *command]


def wait_for_file(path: Path) -> None:
    end = time.monotonic() + WAIT_S
    while not path.exists():
        assert time.monotonic() < end
        time.sleep(0.005)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_that_comes_as_the_command_starts_is_passed_on(tmp_path: Path, number: int) -> None:
    """The watchdog is held up right after it has started its command, as the pipe to which it writes the
    command's process id is full. A signal in that moment ended the watchdog, and with it the command.
    """
    ready = tmp_path / "ready"
    script = f"trap 'exit 5' TERM INT; touch {ready}; while :; do sleep 0.01; done"
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    filled = 0
    while True:
        try:
            filled += os.write(writer, b"x" * 4096)
        except BlockingIOError:
            break
    os.set_blocking(writer, True)
    with subprocess.Popen(
        watchdog_command(LATER_S, "bash", "-c", script), stdin=subprocess.PIPE, stdout=writer
    ) as watchdog:
        try:
            os.close(writer)
            wait_for_file(ready)
            watchdog.send_signal(number)
            while filled:
                filled -= len(os.read(reader, filled))
            assert watchdog.wait(WAIT_S) == 5
        finally:
            watchdog.kill()
            os.close(reader)


@pytest.mark.parametrize(("later_s", "code"), [(LATER_S, 7), (-0.5, NOT_HELD)], ids=["renewed", "over"])
def test_a_late_start_heeds_the_deadlines_that_wait_on_standard_input(later_s: float, code: int) -> None:
    """The start of the watchdog takes longer than the time left at first, and the lease is renewed meanwhile.
    The command was not run, though the lease was held. It is not run if the later deadlines are over too.
    """
    reader, writer = os.pipe()
    os.write(writer, f"{' '.join(deadlines(later_s))}\n".encode())
    try:
        done = subprocess.run(
            watchdog_command(-1.0, "sh", "-c", "exit 7"),
            stdin=reader,
            stdout=subprocess.PIPE,
            timeout=WAIT_S,
            check=False,
        )
    finally:
        os.close(reader)
        os.close(writer)
    assert done.returncode == code
    assert bool(done.stdout) == (code == 7)
