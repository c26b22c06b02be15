"""A fleet whose members and holders are processes of different releases, on loopback.

A release is a folder with a package `lanelift`, first on the PYTHONPATH of its processes. Nothing of lanelift
is imported here. Members are started and checked only by means that operators have: the commands, the file,
the answers to `GET /api/leases`, and the times that the tasks record for their acts.
"""

from __future__ import annotations

import io
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tarfile
import time
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parents[2]
BEAT = Path(__file__).with_name("beat.py")
BEFORE = "e44f7ed"  # the commit of the previous release, whose behaviour the tests pin
LOOPBACK = "127.0.0.1"
WITHIN_S = 20.0  # a test waits at most this long for an event
LOOK_S = 0.01


def export_before(folder: Path) -> Path:
    """Exports the previous release from the repository's history. Fails the test if the clone lacks it."""
    command = ["git", "-C", str(ROOT), "archive", "--format=tar", BEFORE, "lanelift"]
    done = subprocess.run(command, capture_output=True, check=False)
    if done.returncode != 0:
        pytest.fail(
            f"commit {BEFORE} is not in this clone, and without it no fleet of mixed releases can be run;"
            f" clone the repository in full (git fetch --unshallow). git: {done.stderr.decode().strip()}"
        )
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder


def copy_present(folder: Path) -> Path:
    """Copies the package of the present code to a folder of its own."""
    shutil.copytree(ROOT / "lanelift", folder / "lanelift", ignore=shutil.ignore_patterns("__pycache__"))
    return folder


@dataclass(frozen=True)
class Stay:
    """The acts of one task under one token. Times are nanoseconds of CLOCK_BOOTTIME."""

    file: str
    token: int
    first_ns: int
    last_ns: int
    pid: int


def free_ports(kind: socket.SocketKind, count: int) -> list[int]:
    """Returns ports that are not in use."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for each in sockets:
        each.bind((LOOPBACK, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Fleet:
    """Members a, b and c, and any number of holders of one lease. The exit of this context manager ends all.

    The operator's file has the timings of `TIMES`. After its start, a voter is silent for `lease_ms`.
    """

    TIMES = "lease_ms = 1000\nanswer_ms = 60\nmargin_ms = 300\ndrift_ppm = 1000\n"
    VOTERS = "abc"

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.releases: dict[str, Path] = {}  # for each name, the release of the process that was started last
        self.starts: dict[str, int] = {}
        self.ports = dict(zip(self.VOTERS, free_ports(socket.SOCK_DGRAM, 3), strict=True))
        listens = free_ports(socket.SOCK_STREAM, 6)
        self.operators = dict(zip(self.VOTERS, listens[:3], strict=True))
        members = "".join(
            f'[[fleet.member]]\nid = "{v}"\naddress = "{LOOPBACK}:{self.ports[v]}"\n' for v in self.VOTERS
        )
        for voter, listen in zip(self.VOTERS, listens[3:], strict=True):
            (folder / f"{voter}.toml").write_text(
                f'[serve]\nlisten = "{LOOPBACK}:{listen}"\n'
                f'operator = "{LOOPBACK}:{self.operators[voter]}"\n'
                f'[[class]]\nname = "quote"\n[[upstream]]\nname = "box"\naddress = "{LOOPBACK}:9"\n'
                f'[fleet]\nname = "mixed"\nme = "{voter}"\nstate = "{folder / "state"}"\nlog = "json"\n'
                f"{self.TIMES}{members}"
            )

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *about: object) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for stay in self.stays():  # if its watchdog failed, a task still runs, and must not outlive the test
            if alive(stay):
                os.kill(stay.pid, signal.SIGKILL)

    def _start(self, name: str, release: Path, *words: str) -> None:
        number = self.starts[name] = self.starts.get(name, 0) + 1
        self.releases[name] = release
        command = [sys.executable, "-c", "from lanelift.cli.main import main; main()", *words]
        environment = {**os.environ, "PYTHONPATH": str(release)}
        with (self.folder / f"{name}-{number}.log").open("wb") as log:
            # The working folder is the fleet's, as it has no other package `lanelift` to be imported.
            self.processes[name] = subprocess.Popen(
                command,
                cwd=self.folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def member(self, name: str, release: Path) -> None:
        """Starts a voting member."""
        self._start(name, release, "serve", "--config", str(self.folder / f"{name}.toml"))

    def holder(self, name: str, release: Path, *words: str) -> None:
        """Starts a holder that waits for the lease and then runs its task (`beat.py` with these words)."""
        number = self.starts.get(name, 0) + 1
        beats = str(self.folder / f"{name}-{number}.beats")
        task = [sys.executable, str(BEAT), beats, *words]
        config = ["--config", str(self.folder / "a.toml")]
        self._start(
            name, release, "lease", "run", "nightly", *config, "--who", name, "--log", "json", "--", *task
        )

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to the process alone, not to its children."""
        self.processes[name].send_signal(number)

    def ended(self, name: str) -> int:
        """Waits for the end of a process, and returns its exit code."""
        try:
            return self.processes[name].wait(WITHIN_S)
        except subprocess.TimeoutExpired:
            raise TimeoutError(f"{name} has not ended\n{self.logs()}") from None

    def until(self, what: str, done: Callable[[], bool]) -> None:
        """Waits for an event. Raises TimeoutError, which names the event and shows all logs."""
        end = time.monotonic() + WITHIN_S
        while not done():
            if time.monotonic() > end:
                raise TimeoutError(f"not within {WITHIN_S:g} s: {what}\n{self.logs()}")
            time.sleep(LOOK_S)

    def until_voting(self, *voters: str) -> None:
        """Waits until these members vote."""
        for voter in voters:
            self.until(f"{voter} votes", lambda voter=voter: self.votes(voter))  # type: ignore[misc]

    def until_acts(self, *names: str) -> str:
        """Waits until the most recent task of one of these holders has acted, and returns that holder."""
        self.until(f"one of {names} acts", lambda: any(map(self.acts, names)))
        return next(filter(self.acts, names))

    def until_bound(self, name: str) -> None:
        """Waits until each member, of either release, reports that it is bound to this holder."""
        for voter in self.VOTERS:
            self.until(f"{voter} is bound to {name}", lambda voter=voter: name in self.bound(voter))  # type: ignore[misc]

    def view(self, voter: str) -> dict[str, Any] | None:
        """Returns a member's answer to `GET /api/leases`; None if there is no answer."""
        url = f"http://{LOOPBACK}:{self.operators[voter]}/api/leases"
        try:
            with urllib.request.urlopen(url, timeout=5) as answer:
                found: dict[str, Any] = json.loads(answer.read())
        except OSError:
            return None
        return found

    def votes(self, voter: str) -> bool:
        """Returns whether a member reports that it is seated and no longer silent."""
        view = self.view(voter)
        return view is not None and view["seated"] and view["silent_ms"] == 0

    def bound(self, voter: str) -> list[str]:
        """Returns the holders to which a member reports that it is bound."""
        view = self.view(voter)
        return [row["holder"] for row in view["leases"]] if view is not None else []

    def acts(self, name: str) -> bool:
        path = self.folder / f"{name}-{self.starts[name]}.beats"
        return path.exists() and path.stat().st_size > 0

    def logs(self) -> str:
        return "\n".join(f"--- {path.name}\n{path.read_text()}" for path in sorted(self.folder.glob("*.log")))

    def stays(self) -> list[Stay]:
        """Returns all stays in the order of their first acts. Ignores lines that a kill left incomplete."""
        found = []
        for path in sorted(self.folder.glob("*.beats")):
            lines = [line for line in path.read_text().splitlines(keepends=True) if line.endswith("\n")]
            rows = [tuple(map(int, line.split())) for line in lines]
            for token in {row[0] for row in rows}:
                times = [at for t, at, _ in rows if t == token]
                found.append(Stay(path.stem, token, min(times), max(times), rows[0][2]))
        return sorted(found, key=lambda stay: stay.first_ns)

    def judged(self) -> list[Stay]:
        """Returns all stays. Fails if two tasks acted at the same time, or a token did not increase."""
        stays = self.stays()
        for earlier, later in pairwise(stays):
            assert earlier.last_ns < later.first_ns, f"both act: {earlier}, {later}"
            assert earlier.token < later.token, f"the token fell: {earlier}, {later}"
        return stays


def alive(stay: Stay) -> bool:
    """Returns whether a task still runs. The command line of a task that is a zombie is empty."""
    try:
        words = Path(f"/proc/{stay.pid}/cmdline").read_bytes().split(b"\0")
    except FileNotFoundError:
        return False
    return str(BEAT).encode() in words
