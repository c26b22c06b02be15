"""Leases among processes of the program: members, holders and their tasks, with faults between them.

Checked from outside, by what the tasks wrote of when they acted. Each test waits for events.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import urllib.request
from collections.abc import Awaitable, Callable
from pathlib import Path

import psutil
import pytest

from lanelift.faults.activity_log import HoldInterval, overlapping_pairs, read_intervals, token_regressions
from lanelift.faults.process_cluster import ProcessCluster
from lanelift.faults.schedule import Step
from tests.fakes import run

# A planted mistake: the watchdog ends nobody.
NO_GUARD = "import os\nos.killpg = lambda group, number: None\n"


def judged(folder: Path) -> list[HoldInterval]:
    intervals = read_intervals(folder)
    assert not overlapping_pairs(intervals), overlapping_pairs(intervals)
    assert not token_regressions(intervals), token_regressions(intervals)
    return intervals


async def begin(fleet: ProcessCluster, *contenders: str, words: tuple[str, ...] = ()) -> None:
    """All members vote, and the contenders were started one after the other: the first of them holds."""
    for voter in fleet.voters:
        await fleet.start(voter)
    for voter in fleet.voters:
        await fleet.until(f"{voter} has a seat", lambda voter=voter: fleet.logged(voter, "fleet_seated"))  # type: ignore[misc]
    for i, name in enumerate(contenders):
        await fleet.start(name, *words)
        if i == 0:
            await fleet.until(f"{name} acts", lambda: fleet.has_acted(contenders[0]))


def played(folder: Path, story: Callable[[ProcessCluster], Awaitable[None]], **about: object) -> None:
    async def whole() -> None:
        async with ProcessCluster(folder, **about) as fleet:  # type: ignore[arg-type]
            await story(fleet)

    run(whole())


def test_a_stopped_holder_loses_its_lease_and_its_task_has_ended_before(tmp_path: Path) -> None:
    """SIGSTOP to the holder, whose task ignores SIGTERM.

    Its watchdog ends the task in time, and only then another one acts. Continued, the holder says that it
    lost the lease.
    """

    async def story(fleet: ProcessCluster) -> None:
        await begin(fleet, "p1", "p2", words=("3600", "stubborn"))
        await fleet.apply_step(Step(0, "stop", "p1"))
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))
        first, second = judged(tmp_path)
        assert (first.file, second.file) == ("p1-1.beats", "p2-1.beats") and first.last_ns < second.first_ns
        await fleet.apply_step(Step(0, "go", "p1"))
        assert await fleet.records["p1"].process.wait() == 75
        assert fleet.logged("p1", "lease_lost")

    played(tmp_path, story)
    judged(tmp_path)


def test_a_stopped_watchdog_is_ended_with_its_task_in_time(tmp_path: Path) -> None:
    """SIGSTOP to the watchdog, and its holder is cut off from the voters.

    Nobody but the holder can end the task: it kills the watchdog, and the task dies with that.
    """

    async def story(fleet: ProcessCluster) -> None:
        await begin(fleet, "p1", "p2", words=("3600", "stubborn"))
        (interval,) = read_intervals(tmp_path)
        os.kill(psutil.Process(interval.pid).ppid(), signal.SIGSTOP)
        await fleet.apply_step(Step(0, "cut", "p1"))
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))
        assert await fleet.records["p1"].process.wait() == 75

    played(tmp_path, story)
    assert len(judged(tmp_path)) == 2


def test_a_majority_of_members_is_stopped_and_continued(tmp_path: Path) -> None:
    """SIGSTOP to two of three voters for longer than a lease.

    The holder can't renew, and ends. After SIGCONT the next one holds.
    """

    async def story(fleet: ProcessCluster) -> None:
        await begin(fleet, "p1", "p2", words=("3600",))
        for voter in "ab":
            fleet.records[voter].process.send_signal(signal.SIGSTOP)
        assert await fleet.records["p1"].process.wait() == 75
        assert not fleet.has_acted("p2")
        for voter in "ab":
            fleet.records[voter].process.send_signal(signal.SIGCONT)
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))

    played(tmp_path, story)
    judged(tmp_path)


def test_a_holder_that_is_killed_takes_its_task_along(tmp_path: Path) -> None:
    """SIGKILL to the holder, whose task ignores SIGTERM.

    The watchdog sees the end of its input, and ends the task before anybody else acts. A restarted holder
    counts no message of the first.
    """

    async def story(fleet: ProcessCluster) -> None:
        await begin(fleet, "p1", "p2", words=("3600", "stubborn"))
        await fleet.apply_step(Step(0, "kill", "p1"))
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))
        # within its own lease, or what was it: no message of the first counts
        await fleet.apply_step(Step(0, "start", "p1"))
        await fleet.apply_step(Step(0, "release", "p2"))

    played(tmp_path, story)
    assert [interval.file for interval in judged(tmp_path)][:2] == ["p1-1.beats", "p2-1.beats"]


def test_all_members_are_restarted_and_tokens_rise(tmp_path: Path) -> None:
    """All members are killed at once and restarted while a task runs.

    The holder ends, as they are quiet; the next one's token is above all that they may have promised.
    """

    async def story(fleet: ProcessCluster) -> None:
        await begin(fleet, "p1", "p2", words=("3600",))
        for voter in fleet.voters:
            await fleet.apply_step(Step(0, "kill", voter))
        for voter in fleet.voters:
            await fleet.records[voter].process.wait()
            await fleet.start(voter)
        assert await fleet.records["p1"].process.wait() == 75
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))

    played(tmp_path, story)
    first, second = judged(tmp_path)
    assert second.token > first.token + 10_000  # above all that the members may have promised before


def test_a_holder_whose_messages_are_lost_ends_in_time(tmp_path: Path) -> None:
    """A one-way cut, and clocks at the ends of the drift.

    The holder receives all responses that are still sent, and no voter receives anything of it.
    """

    async def story(fleet: ProcessCluster) -> None:
        await begin(fleet, "p1", "p2", words=("3600",))
        await fleet.apply_step(Step(0, "cut", "p1"))
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))
        assert await fleet.records["p1"].process.wait() == 75

    played(tmp_path, story, rates_ppm={"p1": -1000, "a": 1000, "b": 1000, "c": 1000})
    first, second = judged(tmp_path)
    assert first.ended and second.token > first.token


def test_the_reader_finds_what_happens_without_the_guard(tmp_path: Path) -> None:
    """The watchdog is planted off, and the holder is stopped: two tasks act at once.

    The reader of the tasks' files finds that, so that its silence elsewhere is believed.
    """
    (tmp_path / "sitecustomize.py").write_text(NO_GUARD)
    environment = {**os.environ, "PYTHONPATH": str(tmp_path)}

    async def story(fleet: ProcessCluster) -> None:
        await begin(fleet, "p1", "p2", words=("30", "stubborn"))
        await fleet.apply_step(Step(0, "stop", "p1"))
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))
        await fleet.until("both act", lambda: bool(overlapping_pairs(read_intervals(tmp_path))))
        for interval in read_intervals(tmp_path):
            os.kill(interval.pid, signal.SIGKILL)

    played(tmp_path, story, environment=environment)


def test_a_lease_is_shown_by_members_and_given_back(tmp_path: Path) -> None:
    """A lease is listed, shown, refused to another holder, and free at once after its holder's SIGTERM."""

    def lanelift(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [Path(sys.executable).with_name("lanelift"), *words],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    async def story(fleet: ProcessCluster) -> None:
        await begin(fleet, "p1", words=("3600",))
        for voter in fleet.voters:  # also whom its first question was too low for
            await fleet.until("it is bound", lambda voter=voter: fleet.logged(voter, "lease_given"))  # type: ignore[misc]
        file = ("--config", str(fleet.file("p2")))
        listed = await asyncio.to_thread(lanelift, "lease", "list", *file)
        assert "nightly: held by p1 under token" in listed.stdout and "3 of 3 votes" in listed.stdout
        shown = await asyncio.to_thread(lanelift, "lease", "show", "nightly", *file)
        assert shown.stdout.count("bound to p1 under token") == 3
        refused = await asyncio.to_thread(
            lanelift, "lease", "run", "nightly", "--wait", "0", *file, "--", "true"
        )
        assert refused.returncode == 75 and "held by p1" in refused.stderr
        other = await asyncio.to_thread(
            lanelift,
            "lease",
            "run",
            "x",
            *file,
            "--",
            sys.executable,
            "-c",
            "import os; exit(len(os.environ['LANELIFT_LEASE']))",
        )
        assert other.returncode == 1
        url = f"http://127.0.0.1:{fleet.admin_ports['a']}/api/leases"
        view = json.loads(await asyncio.to_thread(lambda: urllib.request.urlopen(url, timeout=5).read()))
        assert view["seated"] and view["leases"][0]["holder"] == "p1"
        # SIGTERM: its task ends, and the lease is free at once
        await fleet.apply_step(Step(0, "release", "p1"))
        assert await fleet.records["p1"].process.wait() == 0
        free = await asyncio.to_thread(lanelift, "lease", "show", "nightly", *file)
        assert free.stdout.count(": free") == 3

    played(tmp_path, story)


@pytest.mark.parametrize("key", ["lease_ms = 900"])
def test_a_holder_with_other_timings_is_ignored(tmp_path: Path, key: str) -> None:
    """A holder's file has another `lease_ms`.

    Its messages have another digest: the members ignore them, and say so in the log once.
    """

    async def story(fleet: ProcessCluster) -> None:
        await begin(fleet)
        path = fleet.file("p1")
        path.write_text(
            path.read_text().replace("lease_ms = 1000", key).replace("margin_ms = 300", "margin_ms = 200")
        )
        await fleet.start("p1")
        await fleet.until("it is said in the log", lambda: fleet.logged("a", "fleet_other_plan"))
        assert not fleet.has_acted("p1")

    played(tmp_path, story)


def test_a_task_of_the_fleet_is_run_by_one_member_and_then_by_the_next(tmp_path: Path) -> None:
    """The member that runs a task of the fleet is killed: another one runs it, and never two at once."""

    async def story(fleet: ProcessCluster) -> None:
        for voter in fleet.voters:
            beats = tmp_path / f"{voter}.beats"
            command = json.dumps([sys.executable, "-m", "lanelift.faults.activity_log", str(beats), "0.05"])
            path = fleet.file(voter)
            path.write_text(
                f'{path.read_text()}[[fleet.task]]\nname = "nightly"\ncommand = {command}\nevery_s = 1\n'
            )
        await begin(fleet)
        await fleet.until("one acts", lambda: bool(read_intervals(tmp_path)))
        first = read_intervals(tmp_path)[0].file.removesuffix(".beats")
        await fleet.until("and again", lambda: read_intervals(tmp_path)[0].actions > 20)
        assert {interval.file for interval in read_intervals(tmp_path)} == {f"{first}.beats"}
        await fleet.apply_step(Step(0, "kill", first))
        await fleet.until("another acts", lambda: len(read_intervals(tmp_path)) > 1)

    played(tmp_path, story)
    judged(tmp_path)
