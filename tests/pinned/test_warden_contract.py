"""The watchdog of a holder's task, which holders of other releases start by its module path as well.

    python -m lanelift.leases.warden TERM_NS KILL_NS COMMAND...

TERM_NS and KILL_NS are times of CLOCK_BOOTTIME. The tests pin the arguments, the lines on standard input and
output, the signals to the command and their times, and the exit codes. Each test starts real processes.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.pinned import names

ROOT = Path(__file__).parents[2]
NOT_HELD = 75
NEVER_S = 600.0
# Seconds until a deadline in the arguments; a process starts within this time even on a busy machine.
SOON_S = 2.0
STUBBORN = "trap '' TERM; "


def boottime_ns() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class Warden:
    """A watchdog and its command, a shell script. The script writes a file when it is ready."""

    def __init__(self, folder: Path) -> None:
        self.ready = folder / "ready"
        self.process: subprocess.Popen[bytes] | None = None
        self.began_ns = 0

    def start(self, term_s: float, kill_s: float, *command: str) -> subprocess.Popen[bytes]:
        """Deadlines are seconds from now; the longest wait of a test is 20 s."""
        self.began_ns = boottime_ns()
        ends = [str(self.began_ns + int(s * 1e9)) for s in (term_s, kill_s)]
        self.process = subprocess.Popen(
            [sys.executable, "-m", names.WARDEN_MODULE, *ends, *command],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(ROOT), "READY": str(self.ready)},
        )
        return self.process

    def script(self, term_s: float, kill_s: float, first: str, last: str = "") -> subprocess.Popen[bytes]:
        """Starts a script that is ready after `first`, and then runs `last` or else waits for ever."""
        last = last or "while :; do sleep 0.01; done"
        process = self.start(term_s, kill_s, "sh", "-c", f'{first}echo $$ > "$READY.new"; {MOVE}; {last}')
        until(self.ready.exists)
        return process

    def pid(self) -> int:
        """Returns the process id that the command has written to its file."""
        return int(self.ready.read_text())

    def tell(self, term_s: float, kill_s: float, end: str = "\n") -> None:
        """Sends a line with later deadlines, in seconds from now."""
        assert self.process is not None and self.process.stdin is not None
        now = boottime_ns()
        self.process.stdin.write(f"{now + int(term_s * 1e9)} {now + int(kill_s * 1e9)}{end}".encode())
        self.process.stdin.flush()

    def lasted_s(self) -> float:
        return (boottime_ns() - self.began_ns) / 1e9


MOVE = 'mv "$READY.new" "$READY"'  # the rename is atomic, so that a test never reads an incomplete file


def until(done: Callable[[], bool]) -> None:
    end = time.monotonic() + 20
    while not done():
        assert time.monotonic() < end, "not within 20 s"
        time.sleep(0.005)


def state(pid: int) -> str:
    """Returns a process's state as in /proc: T for stopped, Z for ended; X if there is no process."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return "X"


def gone(pid: int) -> bool:
    """Returns whether a process has ended: it no longer exists, or it is a zombie."""
    return state(pid) in "XZ"


@pytest.fixture
def warden(tmp_path: Path) -> Iterator[Warden]:
    made = Warden(tmp_path)
    yield made
    if made.process is not None:
        if made.process.poll() is None:
            made.process.kill()  # the kernel then kills the command as well
        made.process.wait(20)
        for pipe in (made.process.stdin, made.process.stdout, made.process.stderr):
            assert pipe is not None
            pipe.close()


def test_the_path_and_the_arguments_are_those_of_every_release() -> None:
    assert names.WARDEN_MODULE == "lanelift.leases.warden"


@pytest.mark.parametrize(
    ("script", "code"),
    [
        ("exit 0", 0),
        ("exit 3", 3),
        ("exit 255", 255),
        ("kill -TERM $$", 128 + 15),
        ("kill -KILL $$", 128 + 9),
        ("kill -HUP $$", 128 + 1),
    ],
)
def test_it_exits_as_its_command_does(warden: Warden, script: str, code: int) -> None:
    assert warden.start(NEVER_S, NEVER_S, "sh", "-c", script).wait(20) == code


def test_it_says_the_commands_process_id_and_nothing_else(warden: Warden) -> None:
    process = warden.script(NEVER_S, NEVER_S, "", "exit 0")
    assert process.wait(20) == 0
    assert process.stdout is not None and process.stderr is not None
    assert process.stdout.read() == f"{warden.pid()}\n".encode()
    assert process.stderr.read() == b""


def test_the_command_leads_a_group_and_a_session_of_its_own_without_input(warden: Warden) -> None:
    process = warden.script(NEVER_S, NEVER_S, "")
    pid = warden.pid()
    assert os.getpgid(pid) == os.getsid(pid) == pid != process.pid
    assert os.readlink(f"/proc/{pid}/fd/0") == "/dev/null"


def test_past_its_deadline_it_starts_nothing(warden: Warden) -> None:
    process = warden.start(-0.001, NEVER_S, "sh", "-c", 'touch "$READY"')
    assert process.wait(20) == NOT_HELD
    assert process.stdout is not None and process.stdout.read() == b""
    assert not warden.ready.exists()


@pytest.mark.parametrize(
    ("command", "why"),
    [("/no/such/command", "No such file or directory"), (str(ROOT / "README.md"), "Permission denied")],
)
def test_a_command_that_can_not_be_started(warden: Warden, command: str, why: str) -> None:
    process = warden.start(NEVER_S, NEVER_S, command)
    out, error = process.communicate(timeout=20)
    assert (process.returncode, out, error.decode()) == (127, b"", f"{command}: {why}\n")


def test_at_the_first_time_the_command_is_told_to_end(warden: Warden) -> None:
    process = warden.script(SOON_S, NEVER_S, "trap 'exit 0' TERM; ")
    assert process.wait(20) == NOT_HELD and warden.lasted_s() >= SOON_S


def test_at_the_second_time_it_is_killed(warden: Warden) -> None:
    process = warden.script(SOON_S, SOON_S + 0.5, STUBBORN)
    pid = warden.pid()
    assert process.wait(20) == NOT_HELD and warden.lasted_s() >= SOON_S + 0.5
    assert gone(pid)


def test_a_command_that_stands_still_is_made_to_hear_it(warden: Warden) -> None:
    process = warden.script(NEVER_S, NEVER_S, "trap 'exit 0' TERM; ", "kill -STOP $$; sleep 60")
    until(lambda: state(warden.pid()) == "T")
    warden.tell(0, NEVER_S)
    assert process.wait(20) == NOT_HELD


def test_the_end_of_its_input_ends_the_command_at_once(warden: Warden) -> None:
    """The end of the watchdog's input shows that the holder has ended and can no longer renew the lease."""
    process = warden.script(NEVER_S, NEVER_S, "trap 'exit 0' TERM; ")
    assert process.stdin is not None
    process.stdin.close()
    assert process.wait(20) == NOT_HELD


def test_after_the_end_of_its_input_the_second_time_holds_still(warden: Warden) -> None:
    process = warden.script(NEVER_S, SOON_S, STUBBORN)
    assert process.stdin is not None
    process.stdin.close()
    assert process.wait(20) == NOT_HELD and warden.lasted_s() >= SOON_S


def test_later_times_are_told_on_its_input(warden: Warden) -> None:
    """A line that arrives in two parts is read when it is complete. Of two lines, the later line applies."""
    process = warden.script(SOON_S, SOON_S, "trap 'exit 0' TERM; ")
    warden.tell(NEVER_S, NEVER_S)
    warden.tell(2 * SOON_S, NEVER_S, end="")
    time.sleep(0.1)
    assert process.stdin is not None
    process.stdin.write(b"\n")
    process.stdin.flush()
    assert process.wait(20) == NOT_HELD and warden.lasted_s() >= 2 * SOON_S


def test_what_was_told_to_end_is_not_called_back(warden: Warden, tmp_path: Path) -> None:
    told = tmp_path / "told"
    process = warden.script(NEVER_S, NEVER_S, f"trap 'touch {told}' TERM; ")
    warden.tell(0, 1.0)
    until(told.exists)
    warden.tell(NEVER_S, NEVER_S)
    assert process.wait(20) == NOT_HELD


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signals_are_passed_on_and_the_code_is_the_commands(warden: Warden, number: signal.Signals) -> None:
    process = warden.script(NEVER_S, NEVER_S, "trap 'exit 5' TERM; trap 'exit 6' INT; ")
    process.send_signal(number)
    assert process.wait(20) == {signal.SIGTERM: 5, signal.SIGINT: 6}[number]


def test_a_command_that_does_not_heed_a_signal_goes_on(warden: Warden) -> None:
    process = warden.script(NEVER_S, NEVER_S, STUBBORN)
    process.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    assert process.poll() is None and not gone(warden.pid())


def test_whoever_kills_it_kills_the_command(warden: Warden) -> None:
    process = warden.script(NEVER_S, NEVER_S, STUBBORN)
    process.kill()
    assert process.wait(20) == -signal.SIGKILL
    until(lambda: gone(warden.pid()))


def test_what_is_left_of_the_group_does_not_outlive_the_command(warden: Warden, tmp_path: Path) -> None:
    left = tmp_path / "left"
    child = f"sh -c 'trap \"\" TERM; echo $$ > {left}.new; mv {left}.new {left}; sleep 60; sleep 60' &"
    process = warden.script(NEVER_S, NEVER_S, child, f"while [ ! -e {left} ]; do sleep 0.01; done; exit 4")
    assert process.wait(20) == 4
    until(lambda: gone(int(left.read_text())))
