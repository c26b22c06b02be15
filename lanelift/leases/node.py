"""A member as part of `lanelift serve`: the socket, state file and timers around `member.py`."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from lanelift.fleet.clocks import Clock
from lanelift.fleet.cluster import ClusterConfiguration
from lanelift.fleet.log import logger
from lanelift.fleet.messages import LeaseStatus, Message, Response, Verdict, VoterStatus
from lanelift.fleet.recovery import VoterStateError
from lanelift.fleet.state_file import StateFile
from lanelift.fleet.transport import Address, DatagramTransport
from lanelift.leases.member import VotingMember
from lanelift.leases.metrics import render
from lanelift.leases.supervisor import FleetTask, TaskSupervisor

# Pause before a failed write is retried; if the disk is full, an operator has to free space first.
WRITE_RETRY_S = 1.0
MIN_TIMER_S = 0.001
# The verdicts that do not count as rejections.
NOT_REJECTED = (Verdict.ACCEPTED, Verdict.PROMISED, Verdict.RELEASED, Verdict.FREE)


@dataclass(frozen=True, slots=True)
class FleetSource:
    """The parameters of a member, as part of the configuration; `attach` creates the member.

    Attributes:
        cluster: The fleet.
        member_id: The id of this member in the fleet.
        state_folder: Folder of a voter's state file; None for a member that does not vote.
        clock: This member's clock.
        log_format: "console" or "json".
        tasks: The fleet's tasks.
    """

    cluster: ClusterConfiguration
    member_id: str
    state_folder: Path | None
    clock: Clock = field(default_factory=Clock)
    log_format: str = "console"
    tasks: tuple[FleetTask, ...] = ()

    def attach(self, driver: Any) -> FleetNode:
        """Returns the member, which is not started yet.

        Args:
            driver: The daemon's dispatcher, with which every source is attached; not used here.

        Raises:
            VoterStateError: The member's state can't be used, or another process runs as this member.
        """
        return FleetNode(self)


class FleetNode:
    """One member of the fleet: votes, if it is a voter, and runs the fleet's tasks.

    A failure here deprives the fleet of this member's vote, but does not affect the balancer's requests.

    Attributes:
        transport: The member's socket.
        state_file: The member's state file; None for a member that does not vote.
        member: The voting member; None for a member that does not vote.
        supervisor: Runs the fleet's tasks on this member.
        holder_changes: Number of changes of a lease's holder that this voter saw.
        rejections: Number of requests that this voter rejected.
    """

    def __init__(self, source: FleetSource) -> None:
        """Creates a member that is not started yet, and reads its state.

        Raises:
            VoterStateError: The state can't be used, or another process runs as this member.
        """
        self.cluster, self.member_id, self.clock = source.cluster, source.member_id, source.clock
        self.log = logger(source.log_format, fleet=source.cluster.name, member=source.member_id)
        self.transport = DatagramTransport(self.cluster.digest, self._receive, self._foreign_cluster)
        self.state_file: StateFile | None = None
        self.member: VotingMember | None = None
        self.supervisor = TaskSupervisor(
            source.cluster, source.member_id, source.clock, self.transport, source.tasks, self.log
        )
        self.holder_changes = 0
        self.rejections = 0
        self._timer: asyncio.TimerHandle | None = None  # calls `_tick` at `member.due_ns`
        self._writing = False
        self._writer: asyncio.Task[None] | None = None
        configured = self.cluster.member(self.member_id)
        assert configured is not None
        self.address = configured.address
        if configured.votes:
            assert source.state_folder is not None
            self.state_file = StateFile(source.state_folder, self.member_id)
            persisted, nonce = self.state_file.read(), secrets.randbits(60)
            self.member = VotingMember(self.cluster, self.member_id, nonce, persisted, self.clock())

    async def start(self) -> None:
        """Opens the socket, and starts the tasks and a voter's recovery.

        Raises:
            VoterStateError: The socket can't be bound to the member's address.
        """
        if self.member is not None or self.supervisor.tasks:
            try:
                await self.transport.open(self.address)
            except OSError as error:
                host, port = self.address
                raise VoterStateError(
                    f"fleet member {self.member_id} at {host}:{port}: {error.strerror}", self.address
                ) from error
        self.supervisor.start()
        if self.member is None:
            return
        self.log.info("fleet_started", voters=len(self.cluster.voters), plan=self.cluster.digest.hex())
        self._write_state()
        self._tick()

    async def close(self) -> None:
        """Ends the tasks, and closes the socket and the state file."""
        await self.supervisor.close()
        if self._writer is not None:
            self._writer.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self.transport.close()
        await asyncio.sleep(0)  # the socket itself is closed in the loop's next iteration
        if self.state_file is not None:
            self.state_file.close()

    def view(self) -> bytes:
        """Returns this member's leases as the JSON of `GET /api/leases`, whose keys must not change."""
        if self.member is None:
            return msgspec.json.encode({"member": self.member_id, "votes": False})
        now, acceptor = self.clock(), self.member.acceptor
        statuses = acceptor.lease_statuses(now) if acceptor is not None else []
        quiet_ns = self.member.remaining_quiet_ns(now)
        return msgspec.json.encode(
            {
                "member": self.member_id,
                "votes": True,
                "seated": self.member.recovery.may_vote,
                "silent_ms": None if quiet_ns is None else quiet_ns / 1e6,
                "plan": self.cluster.digest.hex(),
                "leases": [_row(status) for status in statuses],
            }
        )

    def metrics(self) -> str:
        """Returns the metrics of the leases, for the scrape."""
        counts, now = self.transport.counts, self.clock()
        return render(self.member, self.holder_changes, self.rejections, counts, now)

    def _receive(self, message: Message, source: Address) -> None:
        if isinstance(message, Response):
            self.supervisor.receive(message, source)
            return
        if self.member is None:
            return
        if isinstance(message, VoterStatus) and not self._is_from_its_voter(message, source):
            self.transport.counts["dropped_source"] += 1
            return
        for to, response in self.member.receive(message, source, self.clock()):
            if isinstance(response, Response):
                self._count(response)
            assert isinstance(to, tuple)
            self.transport.send(response, to)
        self._write_state()

    def _is_from_its_voter(self, status: VoterStatus, source: Address) -> bool:
        """Returns whether a status came from its voter's configured address.

        The check detects a second process with the voter's id, or a wrong address in a configuration.
        """
        voter = self.cluster.member(status.voter)
        return voter is not None and voter.address == source

    def _count(self, response: Response) -> None:
        """Counts a response for the metrics, and logs a new holder."""
        accepted = response.verdict == Verdict.ACCEPTED
        if accepted and self.member is not None and self.member.acceptor is not None:
            record = self.member.acceptor.leases[response.lease]
            if record.vote is not None and record.counted_nonce != record.vote.nonce:
                record.counted_nonce = record.vote.nonce
                self.holder_changes += 1
                holder = record.vote.holder
                self.log.info("lease_given", lease=response.lease, holder=holder, token=response.ballot)
        elif response.verdict not in NOT_REJECTED:
            self.rejections += 1

    def _foreign_cluster(self, source: Address) -> None:
        digest = self.cluster.digest.hex()
        self.log.warning("fleet_other_plan", source=f"{source[0]}:{source[1]}", plan=digest)

    def _tick(self) -> None:
        """Sends the statuses that are due, and sets the timer."""
        assert self.member is not None
        for voter, status in self.member.tick(self.clock()):
            configured = self.cluster.member(voter)
            assert configured is not None
            self.transport.send(status, configured.address)
        if self.member.due_ns is not None:
            wait_s = max(0, self.member.due_ns - self.clock()) / 1e9
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(wait_s, MIN_TIMER_S), self._tick)

    def _write_state(self) -> None:
        """Starts to write a pending state, unless a write is in progress."""
        if self.member is not None and self.member.pending_state is not None and not self._writing:
            self._writing = True
            self._writer = asyncio.get_running_loop().create_task(self._write_pending())

    async def _write_pending(self) -> None:
        """Writes the pending state until none is left.

        Each write runs in a thread: a disk may be slow, and the balancer's requests must not wait for the
        disk.
        """
        assert self.member is not None and self.state_file is not None
        while (state := self.member.pending_state) is not None:
            try:
                await asyncio.to_thread(self.state_file.write, state)
            except OSError as error:
                path = str(self.state_file.path)
                self.log.error("fleet_state_not_written", path=path, error=str(error))
                await asyncio.sleep(WRITE_RETRY_S)
                continue
            recovery = self.member.recovery
            could_vote = recovery.may_vote
            self.member.state_written(state, self.clock())
            if recovery.may_vote and not could_vote:
                quiet_ns = self.member.remaining_quiet_ns(self.clock()) or 0
                self.log.info("fleet_seated", silent_ms=quiet_ns // 1_000_000, floor=recovery.ballot_floor)
        self._writing = False


def _row(status: LeaseStatus) -> dict[str, object]:
    """Returns the JSON object of one lease in `GET /api/leases`."""
    return {
        "lease": status.lease,
        "holder": status.holder,
        "token": status.token,
        "left_ms": status.remaining_ns / 1e6,
        "waiting": status.waiters,
    }
