"""Members and holders of commit e44f7ed run together with those of the present code, and share one lease."""

from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests.pinned import releases
from tests.pinned.releases import LOOPBACK, Fleet, alive, copy_present, export_before

NOT_HELD = 75  # exit code of a holder whose lease ended before its task did


@pytest.fixture(scope="module")
def before(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return export_before(tmp_path_factory.mktemp("before"))


@pytest.fixture(scope="module")
def present(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return copy_present(tmp_path_factory.mktemp("present"))


def test_the_two_releases_are_what_their_processes_import(
    before: Path, present: Path, tmp_path: Path
) -> None:
    """If all processes imported the same code, the tests below would test only one release."""
    for release in (before, present):
        done = subprocess.run(
            [sys.executable, "-c", "import lanelift; print(lanelift.__file__)"],
            cwd=tmp_path,
            env={**os.environ, "PYTHONPATH": str(release)},
            capture_output=True,
            text=True,
            check=True,
        )
        assert Path(done.stdout.strip()).parent == release / "lanelift"


def test_a_clone_without_the_commit_before_fails_and_says_so(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(releases, "BEFORE", "0" * 40)
    with pytest.raises(pytest.fail.Exception, match=r"is not in this clone.*clone the repository in full"):
        export_before(tmp_path)


def test_a_lease_passes_between_releases_and_back(before: Path, present: Path, tmp_path: Path) -> None:
    """A rolling upgrade is undone in part, while holders of both releases come and go.

    Two members are of the previous release and one is of the present code. Holders of both releases are
    killed, are stopped, and release the lease. Members of both are killed and started from the other release,
    on the same state files, and are bound to the holder again. Finally all members are killed together and
    change releases again. Two tasks never act at the same time, and the token increases with each holder.
    """
    with Fleet(tmp_path) as fleet:
        for voter, release in (("a", before), ("b", present), ("c", before)):
            fleet.member(voter, release)
        fleet.until_voting(*"abc")

        # After the kill of a holder of the previous release, one of the present code holds, and vice versa.
        fleet.holder("p1", before, "stubborn")
        fleet.until_acts("p1")
        fleet.until_bound("p1")
        fleet.holder("p2", present, "stubborn")
        fleet.signal("p1", signal.SIGKILL)
        fleet.until_acts("p2")
        fleet.until_bound("p2")
        fleet.holder("p3", before)
        fleet.signal("p2", signal.SIGKILL)
        fleet.until_acts("p3")

        # Members change releases one by one, with their state files; the holder keeps its lease.
        for voter, release in (("a", present), ("b", before)):
            fleet.signal(voter, signal.SIGKILL)
            fleet.ended(voter)
            fleet.member(voter, release)
            fleet.until_voting(voter)
            fleet.until_bound("p3")
        assert fleet.processes["p3"].poll() is None and len(fleet.judged()) == 3

        # A holder is stopped: its watchdog ends its task, and the next holder gets the lease.
        fleet.holder("p4", present, "stubborn")
        fleet.signal("p3", signal.SIGSTOP)
        fleet.until_acts("p4")
        fleet.signal("p3", signal.SIGCONT)
        assert fleet.ended("p3") == NOT_HELD
        fleet.holder("p5", before)
        fleet.signal("p4", signal.SIGSTOP)
        fleet.until_acts("p5")
        fleet.signal("p4", signal.SIGCONT)
        assert fleet.ended("p4") == NOT_HELD

        # A holder releases the lease.
        fleet.holder("p6", present)
        fleet.signal("p5", signal.SIGTERM)
        assert fleet.ended("p5") == 0
        fleet.until_acts("p6")
        fleet.until_bound("p6")

        # All members are killed together, and each starts from the other release.
        for voter in "abc":
            fleet.signal(voter, signal.SIGKILL)
        assert fleet.ended("p6") == NOT_HELD
        for voter in "bc":
            fleet.ended(voter)
            fleet.member(voter, present)
        fleet.until_voting(*"bc")  # as a is still down, b and c have to know the highest ballot
        fleet.holder("p7", before)
        fleet.until_acts("p7")
        fleet.member("a", before)
        fleet.until_voting("a")
        fleet.until_bound("p7")
        highest = fleet.stays()[-2].token
        assert fleet.stays()[-1].token > highest + 10_000  # the token is above all ballots promised before

    stays = fleet.judged()
    assert [stay.file for stay in stays] == [f"p{n}-1" for n in range(1, 8)]
    assert {fleet.releases[f"p{n}"] for n in range(1, 8)} == {before, present}


def test_a_holder_whose_files_were_replaced_has_its_task_ended_by_its_watchdog(
    before: Path, present: Path, tmp_path: Path
) -> None:
    """An upgrade in place: the holder runs the previous release, and starts its watchdog from the new files.

    The files are replaced while the holder waits for a lease. Then the holder gets the lease, starts its task
    with the present code's watchdog, and is stopped. The task must have ended before the next task acts.
    """
    installed = tmp_path / "installed"
    shutil.copytree(before / "lanelift", installed / "lanelift")
    with Fleet(tmp_path) as fleet:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as first_member:
            first_member.bind((LOOPBACK, fleet.ports["a"]))
            first_member.settimeout(releases.WITHIN_S)
            fleet.holder("p1", installed, "stubborn")
            # The request of p1 shows that p1 has loaded the modules that wait for the lease.
            first_member.recv(2048)
        shutil.rmtree(installed / "lanelift")
        copy_present(installed)
        for voter in "abc":
            fleet.member(voter, present)
        fleet.until_acts("p1")
        fleet.holder("p2", present)
        fleet.until("it has renewed", lambda: lasted_ns(fleet) > 1_500_000_000)
        assert fleet.processes["p1"].poll() is None
        fleet.signal("p1", signal.SIGSTOP)
        fleet.until_acts("p2")
        first, _ = fleet.judged()
        assert not alive(first)
        fleet.signal("p1", signal.SIGCONT)
        assert fleet.ended("p1") == NOT_HELD
    assert [stay.file for stay in fleet.judged()] == ["p1-1", "p2-1"]


def lasted_ns(fleet: Fleet) -> int:
    """Returns the time from the first act to the last act of the latest task."""
    last = fleet.stays()[-1]
    return last.last_ns - last.first_ns
