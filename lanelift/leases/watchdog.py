"""Runs a command and ends it before the lease ends. The watchdog is a process of its own:

    python -m lanelift.leases.warden TERM_NS KILL_NS COMMAND...

The holder starts the watchdog through `warden.py`, which runs this module. Earlier software versions have a
`warden` module too, so a holder finds one even if its own files were replaced by another version's.

TERM_NS and KILL_NS are times of the machine's CLOCK_BOOTTIME in nanoseconds. At TERM_NS the command's process
group is sent SIGTERM, and at KILL_NS SIGKILL, whether the lease holder is running, stopped or gone. For each
renewal the holder writes later deadlines to standard input, as one line `TERM_NS KILL_NS`. The first
deadlines are arguments since a holder may be stopped before it can write any. The end of standard input makes
the watchdog send SIGTERM immediately. The watchdog writes the command's process id to standard output.

If the watchdog is killed, the kernel kills its direct child, the command (PR_SET_PDEATHSIG); the holder
(`LeaseHolder`), if it is running, kills the rest of the command's process group.

Limits: a process that the command moved to another session is not ended with the group. While the watchdog
and the holder are both stopped (SIGSTOP, or Ctrl-Z on the job of both), nothing ends the command, which runs
in a session of its own. Tasks for which this matters need the fencing token.

Exit code: the command's own; 128 plus the signal's number if a signal ended the command; 75 (EX_TEMPFAIL) if
the watchdog ended it.
"""

from __future__ import annotations

import ctypes
import os
import select
import signal
import subprocess
import sys
import time
from contextlib import suppress

NOT_HELD = 75  # EX_TEMPFAIL of sysexits.h: try again
NO_COMMAND = 127  # the command could not be started; shells use the same code
SIGNAL_EXIT_CODE = 128  # a signal's number is added to this exit code, as in shells
PR_SET_PDEATHSIG = 1  # from prctl(2)
POLL_S = 0.05  # interval at which the command is polled, as `select` can't wait for the end of a child
MAX_READ_BYTES = 4096  # maximum size of one read from standard input
STDIN = 0


def main(term_ns: int, kill_ns: int, command: list[str]) -> int:
    """Runs a command under deadlines; returns the exit code for this process.

    Args:
        term_ns: When SIGTERM is sent, on CLOCK_BOOTTIME.
        kill_ns: When SIGKILL is sent, on CLOCK_BOOTTIME.
        command: Program and arguments.
    """
    watchdog = Watchdog(term_ns, kill_ns)
    watchdog.read_waiting_input()
    if not watchdog.may_start(time.clock_gettime_ns(time.CLOCK_BOOTTIME)):
        return NOT_HELD
    try:
        watchdog.start(command)
    except OSError as error:
        print(f"{command[0]}: {error.strerror}", file=sys.stderr)
        return NO_COMMAND
    return watchdog.run()


def run_from_arguments() -> int:
    """Runs `main` with the arguments of this process; returns its exit code."""
    return main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3:])


class Watchdog:
    """Starts one command and enforces its deadlines.

    Signals that come before the command is running are passed on once it is.

    Attributes:
        child: The command's process, which is the leader of its process group; None before its start.
        term_ns: When SIGTERM is sent, on CLOCK_BOOTTIME; None after it was sent.
        kill_ns: When SIGKILL is sent, on CLOCK_BOOTTIME; None after it was sent.
        ended_command: Whether this watchdog has begun to end the command.
    """

    def __init__(self, term_ns: int, kill_ns: int) -> None:
        """Installs the signal handlers of this process.

        Args:
            term_ns: See the class.
            kill_ns: See the class.
        """
        self.child: subprocess.Popen[bytes] | None = None
        self.term_ns: int | None = term_ns
        self.kill_ns: int | None = kill_ns
        self.ended_command = False
        self._early_signals: list[int] = []
        self._stdin_open = True
        self._partial_input = b""
        self._wakeup, wakeup_writer = os.pipe()  # any signal makes `select` return
        os.set_blocking(wakeup_writer, False)
        signal.set_wakeup_fd(wakeup_writer)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda number, frame: self._signal_group(number))
        signal.signal(signal.SIGCHLD, lambda number, frame: None)

    def read_waiting_input(self) -> None:
        """Handles the deadlines that wait on standard input; its end is left to `run`.

        The start of this process may take longer than the time until its first deadline, while the holder
        has renewed the lease and written later deadlines.
        """
        while select.select([STDIN], [], [], 0)[0]:
            data = os.read(STDIN, MAX_READ_BYTES)
            if not data:
                return
            self._receive(data)

    def may_start(self, now: int) -> bool:
        """Returns whether the command may be started: SIGTERM is not due yet."""
        return self.term_ns is not None and now < self.term_ns

    def start(self, command: list[str]) -> None:
        """Starts the command, and writes its process id to standard output.

        Raises:
            OSError: The command can't be started.
        """
        # the library is loaded before the fork, since loading it after the fork is unsafe
        libc = ctypes.CDLL(None, use_errno=True)
        watchdog_pid = os.getpid()

        def die_with_watchdog() -> None:
            libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
            if os.getppid() != watchdog_pid:  # the watchdog died between the fork and the call
                os._exit(NOT_HELD)

        self.child = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, start_new_session=True, preexec_fn=die_with_watchdog
        )
        while self._early_signals:
            self._signal_group(self._early_signals.pop(0))
        sys.stdout.write(f"{self.child.pid}\n")
        sys.stdout.flush()
        sys.stdout.close()

    def run(self) -> int:
        """Waits for the started command to end and enforces its deadlines; returns the exit code."""
        assert self.child is not None
        while True:
            code = self.child.poll()
            if code is not None:
                self._signal_group(signal.SIGKILL)  # the rest of the group must not outlive the lease
                return self._exit_code(code)
            self._enforce(time.clock_gettime_ns(time.CLOCK_BOOTTIME))
            files = [self._wakeup] + ([STDIN] if self._stdin_open else [])
            ready, _, _ = select.select(files, [], [], self._wait_s())
            if self._wakeup in ready:
                os.read(self._wakeup, 64)
            if STDIN in ready:
                self._receive(os.read(STDIN, MAX_READ_BYTES))

    def _exit_code(self, code: int) -> int:
        if self.ended_command:
            return NOT_HELD
        return SIGNAL_EXIT_CODE - code if code < 0 else code

    def _wait_s(self) -> float:
        """Returns how long to wait for an event: until the next deadline, or the next poll."""
        due = [at for at in (self.term_ns, self.kill_ns) if at is not None]
        if not due:
            return POLL_S
        return min(POLL_S, max(0.0, (min(due) - time.clock_gettime_ns(time.CLOCK_BOOTTIME)) / 1e9))

    def _receive(self, data: bytes) -> None:
        """Handles input from the holder: later deadlines, or the end of the input."""
        if not data:
            self._stdin_open = False
            if not self.ended_command:
                self._end_command()
            return
        *lines, self._partial_input = (self._partial_input + data).split(b"\n")
        for line in lines:
            if not self.ended_command:  # a command that is being ended gets no later deadline
                self.term_ns, self.kill_ns = map(int, line.split())

    def _enforce(self, now: int) -> None:
        """Sends the signals that are due."""
        if self.term_ns is not None and now >= self.term_ns:
            self._end_command()
        if self.kill_ns is not None and now >= self.kill_ns:
            self.kill_ns = None
            self._signal_group(signal.SIGKILL)

    def _end_command(self) -> None:
        self.ended_command, self.term_ns = True, None
        self._signal_group(signal.SIGTERM)
        self._signal_group(signal.SIGCONT)  # a stopped process can't act on SIGTERM

    def _signal_group(self, number: int) -> None:
        if self.child is None:
            if number not in self._early_signals:
                self._early_signals.append(number)
            return
        with suppress(ProcessLookupError, PermissionError):
            os.killpg(self.child.pid, number)


if __name__ == "__main__":
    sys.exit(run_from_arguments())
