"""Members and holders with their sockets and state files, in this process."""

from __future__ import annotations

import asyncio
import errno
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import psutil
import pytest

from lanelift.faults.activity_log import read_intervals
from lanelift.faults.process_cluster import free_port
from lanelift.fleet.clocks import Clock, boottime_ns
from lanelift.fleet.cluster import MS, ClusterConfiguration, LeaseTiming, Member
from lanelift.fleet.log import logger
from lanelift.fleet.recovery import PersistentState, VoterStateError
from lanelift.fleet.state_file import StateFile
from lanelift.leases import node as node_module
from lanelift.leases.holder import LeaseHolder
from lanelift.leases.listing import list_leases
from lanelift.leases.node import FleetNode, FleetSource
from tests.fakes import run

TIMING = LeaseTiming(lease_ns=400 * MS, response_timeout_ns=60 * MS, stop_margin_ns=40 * MS, drift=0.001)


def plan(voters: str = "abc") -> ClusterConfiguration:
    members = tuple(Member(v, ("127.0.0.1", free_port(socket.SOCK_DGRAM))) for v in voters)
    return ClusterConfiguration("trust", members, TIMING)


def with_fleet(
    tmp_path: Path,
    story: Callable[[ClusterConfiguration, dict[str, FleetNode]], Awaitable[None]],
    voters: str = "abc",
) -> None:
    async def whole() -> None:
        fleet = plan(voters)
        nodes = {v: FleetNode(FleetSource(fleet, v, tmp_path, Clock(), "json")) for v in voters}
        try:
            for node in nodes.values():
                await node.start()
            await story(fleet, nodes)
        finally:
            for node in nodes.values():
                await node.close()

    run(whole())


async def until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not done():
            await asyncio.sleep(0.01)


def lease_holder(fleet: ClusterConfiguration, lease: str, who: str) -> LeaseHolder:
    return LeaseHolder(fleet, Clock(), lease, who, logger("json"))


def test_two_hundred_leases_at_once_each_with_one_holder_and_a_token_of_its_own(tmp_path: Path) -> None:
    """Two hundred holders want a lease each at the same time, and the lists of all voters are read."""

    async def story(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        holders = [lease_holder(fleet, f"lease-{i:03}", f"p{i}") for i in range(200)]
        for holder in holders:
            await holder.__aenter__()
        assert all(await asyncio.gather(*(holder.acquire() for holder in holders)))
        tokens = [holder.client.proposer.token for holder in holders]
        assert all(tokens)
        rows = {
            v: [status for page in pages for status in page.leases]
            for v, pages in (await list_leases(fleet)).items()
        }
        assert set(rows) == set(fleet.voters)
        seen = {status.lease: status.holder for found in rows.values() for status in found if status.holder}
        assert seen == {f"lease-{i:03}": f"p{i}" for i in range(200)}
        await asyncio.gather(*(holder.__aexit__() for holder in holders))
        assert not [
            status
            for pages in (await list_leases(fleet)).values()
            for page in pages
            for status in page.leases
        ]

    with_fleet(tmp_path, story)


def test_a_full_disk_costs_the_others_nothing_but_its_vote(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The disk of c is full when it is restarted, and is emptied later.

    c can't persist its state, and does not vote until it can; the others are a majority meanwhile.
    """
    full, write = [False], StateFile.write

    def limited(self: StateFile, kept: PersistentState) -> None:
        if full[0] and self.path.stem == "c":
            raise OSError(errno.ENOSPC, "No space left on device")
        write(self, kept)

    monkeypatch.setattr(StateFile, "write", limited)
    monkeypatch.setattr(node_module, "WRITE_RETRY_S", 0.02)

    def may_vote(node: FleetNode) -> bool:
        return node.member is not None and node.member.recovery.may_vote

    async def story(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        await until(lambda: all(map(may_vote, nodes.values())))
        await nodes["c"].close()
        full[0] = True
        nodes["c"] = FleetNode(FleetSource(fleet, "c", tmp_path, Clock(), "json"))
        await nodes["c"].start()
        async with lease_holder(fleet, "x", "p1") as holder:
            assert await holder.acquire()  # by a and b
            assert not may_vote(nodes["c"])
            full[0] = False
            await until(lambda: may_vote(nodes["c"]))
            # And once it votes, it is bound as well: the holder asks it for that, under a higher ballot.
            await until(lambda: "c" in holder.client.proposer.accepted_ns)
        assert "No space left on device" in capsys.readouterr().err

    with_fleet(tmp_path, story)


def test_a_second_process_under_one_id_or_address_is_rejected(tmp_path: Path) -> None:
    """A member is started twice, with the same state folder or with another one.

    Two acceptors would vote under one id: the second start ends with an error that names the cause.
    """

    async def story(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        with pytest.raises(VoterStateError, match="another process runs as a"):
            FleetNode(FleetSource(fleet, "a", tmp_path, Clock(), "json"))
        other = FleetNode(FleetSource(fleet, "a", tmp_path / "other", Clock(), "json"))
        with pytest.raises(VoterStateError, match=r"fleet member a at 127.0.0.1"):
            await other.start()
        await other.close()

    with_fleet(tmp_path, story)


def test_a_lease_goes_to_the_named_successor_past_a_longer_waiter(tmp_path: Path) -> None:
    """p2 waits longer than p3, and the holder names p3 as its successor: p3 gets the lease."""

    async def story(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        first = LeaseHolder(fleet, Clock(), "x", "p1", logger("json"), successor="p3")
        async with first:
            assert await first.acquire()
            second, third = lease_holder(fleet, "x", "p2"), lease_holder(fleet, "x", "p3")
            async with second, third:
                longer = asyncio.create_task(second.acquire())
                await until(lambda: bool(second.client.rejections))
                named = asyncio.create_task(third.acquire())
                await until(lambda: bool(third.client.rejections))
                await first.__aexit__()
                assert await named and not longer.done()
                longer.cancel()

    with_fleet(tmp_path, story)


def test_datagrams_that_are_no_messages_are_counted(tmp_path: Path) -> None:
    """Somebody sends datagrams that are no messages: they are counted, and a lease is given as always."""

    async def story(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in (b"", b"x" * 14, b"x" * 1400, b"LF" + bytes(40)):
                sock.sendto(data, fleet.members[0].address)
        await until(
            lambda: sum(c for w, c in nodes["a"].transport.counts.items() if w.startswith("dropped_")) >= 4
        )
        async with lease_holder(fleet, "x", "p1") as holder:
            assert await holder.acquire()
        assert 'lanelift_fleet_messages_total{what="dropped_size"}' in nodes["a"].metrics()

    with_fleet(tmp_path, story)


def test_a_command_that_is_not_there_and_one_that_fails(tmp_path: Path) -> None:
    """A command is not there, fails, or is ended by a signal: the exit code is that of a shell."""

    async def story(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        async with lease_holder(fleet, "x", "p1") as holder:
            assert await holder.acquire()
            assert await holder.run_command([str(tmp_path / "none")]) == 127
            assert await holder.run_command([sys.executable, "-c", "raise SystemExit(3)"]) == 3
            assert await holder.run_command(["sh", "-c", "kill -USR1 $$"]) == 128 + 10

    with_fleet(tmp_path, story, "a")


def test_the_plain_daemon_imports_none_of_it() -> None:
    code = (
        "import sys, lanelift.__main__; print(*sorted(m for m in sys.modules if m.startswith('lanelift.')))"
    )
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert "lanelift.net" in loaded
    assert not [m for m in loaded if m.split(".")[1] in ("fleet", "leases", "faults", "config", "cli")]


def test_what_a_command_leaves_behind_in_its_group_is_ended_with_it(tmp_path: Path) -> None:
    """A command ends and leaves a child behind that ignores SIGTERM: it must not outlive the lease."""

    async def story(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        beats = tmp_path / "child.beats"
        child = f"{sys.executable} -m lanelift.faults.activity_log {beats} 60 stubborn"
        async with lease_holder(fleet, "x", "p1") as holder:
            assert await holder.acquire()
            code = await holder.run_command(
                ["sh", "-c", f"{child} & while ! test -s {beats}; do sleep 0.01; done"]
            )
            assert code == 0
        (interval,) = read_intervals(tmp_path)
        assert (
            not psutil.pid_exists(interval.pid)
            or psutil.Process(interval.pid).status() == psutil.STATUS_ZOMBIE
        )

    with_fleet(tmp_path, story, "a")


def test_figures_name_the_holder_its_token_and_how_long(tmp_path: Path) -> None:
    async def story(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        async with lease_holder(fleet, 'x"', "p1") as holder:
            assert await holder.acquire()
            metrics = nodes["a"].metrics()
            assert (
                f'lanelift_lease_token{{lease="x\\"",holder="p1"}} {holder.client.proposer.token}\n'
                in metrics
            )
            assert "lanelift_lease_changes_total 1" in metrics and "lanelift_fleet_seated 1" in metrics
            again = nodes["a"].metrics()
            await until(lambda: nodes["a"].metrics() != again)  # it is held for longer

    with_fleet(tmp_path, story, "a")


def test_a_command_is_ended_without_a_word_from_its_holder(tmp_path: Path) -> None:
    """The holder is stopped from the first moment on, and writes no deadline to its watchdog.

    The watchdog has both deadlines from the start: it does not start a command after the first, and ends
    one at the second.
    """
    beats = tmp_path / "task.beats"

    def watchdog(term_s: float, kill_s: float) -> int:
        now = boottime_ns()
        ends = [str(now + int(s * 1e9)) for s in (term_s, kill_s)]
        task = [sys.executable, "-m", "lanelift.faults.activity_log", str(beats), "60", "stubborn"]
        command = [sys.executable, "-m", "lanelift.leases.warden", *ends, *task]
        silent = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.DEVNULL)
        try:
            return silent.wait(30)
        finally:
            assert silent.stdin is not None
            silent.stdin.close()

    assert watchdog(-0.1, 0.1) == 75 and not beats.exists()
    assert watchdog(1.0, 1.4) == 75
    (interval,) = read_intervals(tmp_path)
    assert not interval.ended and not psutil.pid_exists(interval.pid)


@pytest.mark.parametrize("module", ["lanelift.leases.warden", "lanelift.leases.watchdog"])
def test_the_watchdog_starts_under_its_former_and_its_present_name(module: str) -> None:
    """The files are replaced by another release's while a holder runs: it starts its watchdog from them.

    Holders of the releases before know it as `warden` only, with the same arguments.
    """
    ends = [str(boottime_ns() + 60 * 10**9)] * 2
    for script, code in (("exit 3", 3), ("kill -USR1 $$", 128 + 10)):
        command = [sys.executable, "-m", module, *ends, "sh", "-c", script]
        with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as watchdog:
            assert watchdog.stdout is not None
            assert int(watchdog.stdout.readline()) > 0
            assert watchdog.wait(30) == code
