"""Members and holders with their sockets and state files, in the process of the tests."""

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


def configuration(voters: str = "abc") -> ClusterConfiguration:
    members = tuple(Member(v, ("127.0.0.1", free_port(socket.SOCK_DGRAM))) for v in voters)
    return ClusterConfiguration("trust", members, TIMING)


def with_fleet(
    tmp_path: Path,
    scenario: Callable[[ClusterConfiguration, dict[str, FleetNode]], Awaitable[None]],
    voters: str = "abc",
) -> None:
    async def with_nodes() -> None:
        fleet = configuration(voters)
        nodes = {v: FleetNode(FleetSource(fleet, v, tmp_path, Clock(), "json")) for v in voters}
        try:
            for node in nodes.values():
                await node.start()
            await scenario(fleet, nodes)
        finally:
            for node in nodes.values():
                await node.close()

    run(with_nodes())


async def until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not done():
            await asyncio.sleep(0.01)


def lease_holder(fleet: ClusterConfiguration, lease: str, name: str) -> LeaseHolder:
    return LeaseHolder(fleet, Clock(), lease, name, logger("json"))


def test_two_hundred_simultaneous_leases_have_one_holder_and_a_token_each(tmp_path: Path) -> None:
    """Two hundred holders each acquire a different lease at the same time; all voters list these leases."""

    async def scenario(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        holders = [lease_holder(fleet, f"lease-{i:03}", f"p{i}") for i in range(200)]
        for holder in holders:
            await holder.__aenter__()
        assert all(await asyncio.gather(*(holder.acquire() for holder in holders)))
        tokens = [holder.client.proposer.token for holder in holders]
        assert all(tokens)
        statuses = {
            v: [status for page in pages for status in page.leases]
            for v, pages in (await list_leases(fleet)).items()
        }
        assert set(statuses) == set(fleet.voters)
        holders_by_lease = {
            status.lease: status.holder for found in statuses.values() for status in found if status.holder
        }
        assert holders_by_lease == {f"lease-{i:03}": f"p{i}" for i in range(200)}
        await asyncio.gather(*(holder.__aexit__() for holder in holders))
        assert not [
            status
            for pages in (await list_leases(fleet)).values()
            for page in pages
            for status in page.leases
        ]

    with_fleet(tmp_path, scenario)


def test_a_full_disk_costs_the_fleet_only_one_vote(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The disk of voter c is full when c is restarted, and space is freed later.

    c does not vote until it can persist its state; a and b are a majority in the meantime.
    """
    full, write = [False], StateFile.write

    def write_if_free(self: StateFile, state: PersistentState) -> None:
        if full[0] and self.path.stem == "c":
            raise OSError(errno.ENOSPC, "No space left on device")
        write(self, state)

    monkeypatch.setattr(StateFile, "write", write_if_free)
    monkeypatch.setattr(node_module, "WRITE_RETRY_S", 0.02)

    def may_vote(node: FleetNode) -> bool:
        return node.member is not None and node.member.recovery.may_vote

    async def scenario(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        await until(lambda: all(map(may_vote, nodes.values())))
        await nodes["c"].close()
        full[0] = True
        nodes["c"] = FleetNode(FleetSource(fleet, "c", tmp_path, Clock(), "json"))
        await nodes["c"].start()
        async with lease_holder(fleet, "x", "p1") as holder:
            assert await holder.acquire()  # the votes of a and b suffice
            assert not may_vote(nodes["c"])
            full[0] = False
            await until(lambda: may_vote(nodes["c"]))
            # Once c votes, the holder prepares a higher ballot, so that c becomes bound as well.
            await until(lambda: "c" in holder.client.proposer.accepted_ns)
        assert "No space left on device" in capsys.readouterr().err

    with_fleet(tmp_path, scenario)


def test_a_second_process_under_one_id_or_address_is_rejected(tmp_path: Path) -> None:
    """A member is started twice, with the same state folder or with another one.

    Two acceptors would vote under one id, so the second start fails with an error that names the cause.
    """

    async def scenario(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        with pytest.raises(VoterStateError, match="another process runs as a"):
            FleetNode(FleetSource(fleet, "a", tmp_path, Clock(), "json"))
        other = FleetNode(FleetSource(fleet, "a", tmp_path / "other", Clock(), "json"))
        with pytest.raises(VoterStateError, match=r"fleet member a at 127.0.0.1"):
            await other.start()
        await other.close()

    with_fleet(tmp_path, scenario)


def test_the_named_successor_gets_the_lease_before_a_longer_waiter(tmp_path: Path) -> None:
    """Proposer p2 waits longer than p3, but the holder names p3 as its successor: p3 gets the lease."""

    async def scenario(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        first = LeaseHolder(fleet, Clock(), "x", "p1", logger("json"), successor="p3")
        async with first:
            assert await first.acquire()
            second, third = lease_holder(fleet, "x", "p2"), lease_holder(fleet, "x", "p3")
            async with second, third:
                waiter = asyncio.create_task(second.acquire())
                await until(lambda: bool(second.client.rejections))
                successor = asyncio.create_task(third.acquire())
                await until(lambda: bool(third.client.rejections))
                await first.__aexit__()
                assert await successor and not waiter.done()
                waiter.cancel()

    with_fleet(tmp_path, scenario)


def test_datagrams_that_are_not_messages_are_counted(tmp_path: Path) -> None:
    """A member receives datagrams that are not messages: it counts them, and still gives a lease."""

    async def scenario(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in (b"", b"x" * 14, b"x" * 1400, b"LF" + bytes(40)):
                sock.sendto(data, fleet.members[0].address)
        await until(
            lambda: sum(c for w, c in nodes["a"].transport.counts.items() if w.startswith("dropped_")) >= 4
        )
        async with lease_holder(fleet, "x", "p1") as holder:
            assert await holder.acquire()
        assert 'lanelift_fleet_messages_total{what="dropped_size"}' in nodes["a"].metrics()

    with_fleet(tmp_path, scenario)


def test_the_exit_codes_of_commands_are_those_of_a_shell(tmp_path: Path) -> None:
    """A command does not exist, fails, or is ended by a signal: the exit code is the one a shell returns."""

    async def scenario(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        async with lease_holder(fleet, "x", "p1") as holder:
            assert await holder.acquire()
            assert await holder.run_command([str(tmp_path / "none")]) == 127
            assert await holder.run_command([sys.executable, "-c", "raise SystemExit(3)"]) == 3
            assert await holder.run_command(["sh", "-c", "kill -USR1 $$"]) == 128 + 10

    with_fleet(tmp_path, scenario, "a")


def test_a_daemon_without_a_fleet_does_not_import_the_fleet_packages() -> None:
    code = (
        "import sys, lanelift.__main__; print(*sorted(m for m in sys.modules if m.startswith('lanelift.')))"
    )
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert "lanelift.net" in loaded
    assert not [m for m in loaded if m.split(".")[1] in ("fleet", "leases", "faults", "config", "cli")]


def test_the_rest_of_the_process_group_is_ended_with_the_command(tmp_path: Path) -> None:
    """A command ends and leaves a child that ignores SIGTERM: the child must not outlive the lease."""

    async def scenario(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        activity_log = tmp_path / "child.beats"
        child = f"{sys.executable} -m lanelift.faults.activity_log {activity_log} 60 stubborn"
        async with lease_holder(fleet, "x", "p1") as holder:
            assert await holder.acquire()
            code = await holder.run_command(
                ["sh", "-c", f"{child} & while ! test -s {activity_log}; do sleep 0.01; done"]
            )
            assert code == 0
        (interval,) = read_intervals(tmp_path)
        assert (
            not psutil.pid_exists(interval.pid)
            or psutil.Process(interval.pid).status() == psutil.STATUS_ZOMBIE
        )

    with_fleet(tmp_path, scenario, "a")


def test_metrics_show_the_holder_its_token_and_the_holding_time(tmp_path: Path) -> None:
    async def scenario(fleet: ClusterConfiguration, nodes: dict[str, FleetNode]) -> None:
        async with lease_holder(fleet, 'x"', "p1") as holder:
            assert await holder.acquire()
            metrics = nodes["a"].metrics()
            assert (
                f'lanelift_lease_token{{lease="x\\"",holder="p1"}} {holder.client.proposer.token}\n'
                in metrics
            )
            assert "lanelift_lease_changes_total 1" in metrics and "lanelift_fleet_seated 1" in metrics
            earlier = nodes["a"].metrics()
            # the holding time in the metrics has changed
            await until(lambda: nodes["a"].metrics() != earlier)

    with_fleet(tmp_path, scenario, "a")


def test_a_command_is_ended_without_deadlines_from_its_holder(tmp_path: Path) -> None:
    """The holder is stopped from the beginning, and writes no deadline to its watchdog.

    The watchdog has both deadlines as arguments: it does not start a command after the first deadline, and
    ends a command at the second deadline.
    """
    activity_log = tmp_path / "task.beats"

    def watchdog(term_s: float, kill_s: float) -> int:
        now = boottime_ns()
        deadlines = [str(now + int(s * 1e9)) for s in (term_s, kill_s)]
        task = [sys.executable, "-m", "lanelift.faults.activity_log", str(activity_log), "60", "stubborn"]
        command = [sys.executable, "-m", "lanelift.leases.warden", *deadlines, *task]
        process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.DEVNULL)
        try:
            return process.wait(30)
        finally:
            assert process.stdin is not None
            process.stdin.close()

    assert watchdog(-0.1, 0.1) == 75 and not activity_log.exists()
    assert watchdog(1.0, 1.4) == 75
    (interval,) = read_intervals(tmp_path)
    assert not interval.ended and not psutil.pid_exists(interval.pid)


@pytest.mark.parametrize("module", ["lanelift.leases.warden", "lanelift.leases.watchdog"])
def test_the_watchdog_starts_under_its_former_and_its_present_name(module: str) -> None:
    """While a holder runs, its files are replaced by another software version's; then it starts a watchdog.

    Holders of earlier versions know the watchdog only as the module `warden`, with the same arguments.
    """
    deadlines = [str(boottime_ns() + 60 * 10**9)] * 2
    for script, code in (("exit 3", 3), ("kill -USR1 $$", 128 + 10)):
        command = [sys.executable, "-m", module, *deadlines, "sh", "-c", script]
        with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as watchdog:
            assert watchdog.stdout is not None
            assert int(watchdog.stdout.readline()) > 0
            assert watchdog.wait(30) == code
