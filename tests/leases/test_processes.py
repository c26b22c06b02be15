"""Leases among processes of the program: members, holders and their tasks, with faults between them.

The checks read only the logs of the tasks, which show when each task acted. Each test waits for events.
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

# A planted mistake: the watchdog sends no signals.
WITHOUT_WATCHDOG = "import os\nos.killpg = lambda group, number: None\n"


def checked_intervals(folder: Path) -> list[HoldInterval]:
    intervals = read_intervals(folder)
    assert not overlapping_pairs(intervals), overlapping_pairs(intervals)
    assert not token_regressions(intervals), token_regressions(intervals)
    return intervals


async def start_all(fleet: ProcessCluster, *contenders: str, arguments: tuple[str, ...] = ()) -> None:
    """Starts the members and, once they vote, the contenders; the first contender gets the lease."""
    for voter in fleet.voters:
        await fleet.start(voter)
    for voter in fleet.voters:
        await fleet.until(f"{voter} may vote", lambda voter=voter: fleet.logged(voter, "fleet_seated"))  # type: ignore[misc]
    for i, name in enumerate(contenders):
        await fleet.start(name, *arguments)
        if i == 0:
            await fleet.until(f"{name} acts", lambda: fleet.has_acted(contenders[0]))


def run_scenario(
    folder: Path, scenario: Callable[[ProcessCluster], Awaitable[None]], **options: object
) -> None:
    async def with_cluster() -> None:
        async with ProcessCluster(folder, **options) as fleet:  # type: ignore[arg-type]
            await scenario(fleet)

    run(with_cluster())


def test_a_stopped_holder_loses_its_lease_and_its_task_has_ended_before(tmp_path: Path) -> None:
    """The holder is stopped (SIGSTOP), and its task ignores SIGTERM.

    The watchdog ends the task in time, before another contender acts. When the holder continues, it reports
    that it lost the lease.
    """

    async def scenario(fleet: ProcessCluster) -> None:
        await start_all(fleet, "p1", "p2", arguments=("3600", "stubborn"))
        await fleet.apply_step(Step(0, "stop", "p1"))
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))
        first, second = checked_intervals(tmp_path)
        assert (first.file, second.file) == ("p1-1.beats", "p2-1.beats") and first.last_ns < second.first_ns
        await fleet.apply_step(Step(0, "go", "p1"))
        assert await fleet.records["p1"].process.wait() == 75
        assert fleet.logged("p1", "lease_lost")

    run_scenario(tmp_path, scenario)
    checked_intervals(tmp_path)


def test_a_stopped_watchdog_is_ended_with_its_task_in_time(tmp_path: Path) -> None:
    """The watchdog is stopped (SIGSTOP), and its holder is cut off from the voters.

    Only the holder can end the task: it kills the watchdog, and the task dies with it.
    """

    async def scenario(fleet: ProcessCluster) -> None:
        await start_all(fleet, "p1", "p2", arguments=("3600", "stubborn"))
        (interval,) = read_intervals(tmp_path)
        os.kill(psutil.Process(interval.pid).ppid(), signal.SIGSTOP)
        await fleet.apply_step(Step(0, "cut", "p1"))
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))
        assert await fleet.records["p1"].process.wait() == 75

    run_scenario(tmp_path, scenario)
    assert len(checked_intervals(tmp_path)) == 2


def test_a_majority_of_members_is_stopped_and_continued(tmp_path: Path) -> None:
    """Two of three voters are stopped (SIGSTOP) for longer than a lease.

    The holder can't renew its lease, and ends. After SIGCONT the next contender gets the lease.
    """

    async def scenario(fleet: ProcessCluster) -> None:
        await start_all(fleet, "p1", "p2", arguments=("3600",))
        for voter in "ab":
            fleet.records[voter].process.send_signal(signal.SIGSTOP)
        assert await fleet.records["p1"].process.wait() == 75
        assert not fleet.has_acted("p2")
        for voter in "ab":
            fleet.records[voter].process.send_signal(signal.SIGCONT)
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))

    run_scenario(tmp_path, scenario)
    checked_intervals(tmp_path)


def test_the_task_of_a_killed_holder_is_ended(tmp_path: Path) -> None:
    """The holder is killed (SIGKILL), and its task ignores SIGTERM.

    The watchdog detects the end of its input, and ends the task before another contender acts. A restarted
    holder ignores messages for the killed one.
    """

    async def scenario(fleet: ProcessCluster) -> None:
        await start_all(fleet, "p1", "p2", arguments=("3600", "stubborn"))
        await fleet.apply_step(Step(0, "kill", "p1"))
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))
        # the killed holder's lease may not have ended: p1 ignores messages for that holder
        await fleet.apply_step(Step(0, "start", "p1"))
        await fleet.apply_step(Step(0, "release", "p2"))

    run_scenario(tmp_path, scenario)
    assert [interval.file for interval in checked_intervals(tmp_path)][:2] == ["p1-1.beats", "p2-1.beats"]


def test_all_members_are_restarted_and_tokens_rise(tmp_path: Path) -> None:
    """All members are killed at the same time and restarted while a task runs.

    The holder ends, as no member votes in its quiet period. The next holder's token is above all ballots that
    the members may have promised before.
    """

    async def scenario(fleet: ProcessCluster) -> None:
        await start_all(fleet, "p1", "p2", arguments=("3600",))
        for voter in fleet.voters:
            await fleet.apply_step(Step(0, "kill", voter))
        for voter in fleet.voters:
            await fleet.records[voter].process.wait()
            await fleet.start(voter)
        assert await fleet.records["p1"].process.wait() == 75
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))

    run_scenario(tmp_path, scenario)
    first, second = checked_intervals(tmp_path)
    # the second token is above all ballots that the members may have promised before
    assert second.token > first.token + 10_000


def test_a_holder_whose_messages_are_lost_ends_in_time(tmp_path: Path) -> None:
    """The link is cut in one direction, and the clocks run at the limits of the drift.

    The holder still receives responses, but no voter receives any of its messages.
    """

    async def scenario(fleet: ProcessCluster) -> None:
        await start_all(fleet, "p1", "p2", arguments=("3600",))
        await fleet.apply_step(Step(0, "cut", "p1"))
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))
        assert await fleet.records["p1"].process.wait() == 75

    run_scenario(tmp_path, scenario, rates_ppm={"p1": -1000, "a": 1000, "b": 1000, "c": 1000})
    first, second = checked_intervals(tmp_path)
    assert first.ended and second.token > first.token


def test_the_checks_detect_overlaps_without_the_watchdog(tmp_path: Path) -> None:
    """The watchdog is disabled and the holder is stopped, so two tasks act at the same time.

    The checks of the tasks' logs detect the overlap, so the checks can be trusted where they find no overlap.
    """
    (tmp_path / "sitecustomize.py").write_text(WITHOUT_WATCHDOG)
    environment = {**os.environ, "PYTHONPATH": str(tmp_path)}

    async def scenario(fleet: ProcessCluster) -> None:
        await start_all(fleet, "p1", "p2", arguments=("30", "stubborn"))
        await fleet.apply_step(Step(0, "stop", "p1"))
        await fleet.until("p2 acts", lambda: fleet.has_acted("p2"))
        await fleet.until("both act", lambda: bool(overlapping_pairs(read_intervals(tmp_path))))
        for interval in read_intervals(tmp_path):
            os.kill(interval.pid, signal.SIGKILL)

    run_scenario(tmp_path, scenario, environment=environment)


def test_a_lease_is_listed_and_released_by_commands(tmp_path: Path) -> None:
    """A lease is listed, shown and refused to another holder; SIGTERM to the holder frees the lease."""

    def lanelift(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [Path(sys.executable).with_name("lanelift"), *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    async def scenario(fleet: ProcessCluster) -> None:
        await start_all(fleet, "p1", arguments=("3600",))
        for voter in fleet.voters:  # also the voters that rejected p1's first ballot as too low
            await fleet.until("a voter is bound", lambda voter=voter: fleet.logged(voter, "lease_given"))  # type: ignore[misc]
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
        # SIGTERM: the task ends, and the lease is released
        await fleet.apply_step(Step(0, "release", "p1"))
        assert await fleet.records["p1"].process.wait() == 0
        free = await asyncio.to_thread(lanelift, "lease", "show", "nightly", *file)
        assert free.stdout.count(": free") == 3

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("key", ["lease_ms = 900"])
def test_a_holder_with_other_timings_is_ignored(tmp_path: Path, key: str) -> None:
    """A holder's file has another `lease_ms`.

    The holder's messages have another digest: the members ignore these messages, and log only the first.
    """

    async def scenario(fleet: ProcessCluster) -> None:
        await start_all(fleet)
        path = fleet.file("p1")
        path.write_text(
            path.read_text().replace("lease_ms = 1000", key).replace("margin_ms = 300", "margin_ms = 200")
        )
        await fleet.start("p1")
        await fleet.until("the foreign messages are logged", lambda: fleet.logged("a", "fleet_other_plan"))
        assert not fleet.has_acted("p1")

    run_scenario(tmp_path, scenario)


def test_a_fleet_task_moves_to_another_member_when_its_member_is_killed(tmp_path: Path) -> None:
    """The member that runs a fleet task is killed: another member runs it, but never two at the same time."""

    async def scenario(fleet: ProcessCluster) -> None:
        for voter in fleet.voters:
            activity_log = tmp_path / f"{voter}.beats"
            command = json.dumps(
                [sys.executable, "-m", "lanelift.faults.activity_log", str(activity_log), "0.05"]
            )
            path = fleet.file(voter)
            path.write_text(
                f'{path.read_text()}[[fleet.task]]\nname = "nightly"\ncommand = {command}\nevery_s = 1\n'
            )
        await start_all(fleet)
        await fleet.until("one member acts", lambda: bool(read_intervals(tmp_path)))
        first = read_intervals(tmp_path)[0].file.removesuffix(".beats")
        await fleet.until("the task acts repeatedly", lambda: read_intervals(tmp_path)[0].actions > 20)
        assert {interval.file for interval in read_intervals(tmp_path)} == {f"{first}.beats"}
        await fleet.apply_step(Step(0, "kill", first))
        await fleet.until("another member acts", lambda: len(read_intervals(tmp_path)) > 1)

    run_scenario(tmp_path, scenario)
    checked_intervals(tmp_path)
