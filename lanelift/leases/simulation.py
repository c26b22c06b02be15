"""Leases in simulated time, and the checks of the rules that must hold there.

The checks see true time and all nodes. These rules must hold for each schedule within the assumptions of the
design note:

- two proposers never hold the same lease at the same time;
- each new holder has a token above all earlier ones.

A holder that is stopped after it has checked its lease may act after the lease has ended; only the token
shows that the act is late. Late acts are counted separately and are not breaches.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from lanelift.faults.schedule import Schedule, Step, StepKind
from lanelift.faults.simulation import MS, Node, NodeSlot, Outgoing, Simulation
from lanelift.fleet.cluster import ClusterConfiguration, LeaseTiming, Member
from lanelift.fleet.messages import Message, Response
from lanelift.fleet.recovery import PersistentState
from lanelift.leases.client import ClientState, LeaseClient
from lanelift.leases.member import VotingMember
from lanelift.standins.fencing_token_store import FencingTokenStore, StaleTokenError

WRITE_NS = (200_000, 8 * MS)  # range of the time that a write of a voter's state takes
TASK_LEASES = (0.3, 4.0)  # range of a task's duration, in lengths of a lease
MAX_REST_LEASES = 0.3  # longest pause before a proposer acquires the lease again, in lengths of a lease
MAX_LATENCY_LEASES = 0.02  # longest time from a check of the lease to the act, in lengths of a lease


@dataclass
class Findings:
    """The results of one run.

    Attributes:
        breaches: A description of each breach of a rule, with its true time.
        holdings: Each new holding: its start (ns of true time), lease, holder and token.
        acts: Number of acts of holders.
        late_acts: Number of acts after the lease had ended or passed to another holder.
        fenced: Number of acts that were rejected because of their token.
    """

    breaches: list[str] = field(default_factory=list)
    holdings: list[tuple[int, str, str, int]] = field(default_factory=list)
    acts: int = 0
    late_acts: int = 0
    fenced: int = 0


class VoterNode:
    """A voter's process. The simulation keeps its state file.

    Attributes:
        member: The voting member.
        writing: The state that is being written, or None.
    """

    def __init__(
        self, simulation: LeaseSimulation, name: str, persisted: PersistentState | None, now: int
    ) -> None:
        """Starts the process at its own time `now` (ns)."""
        self.simulation, self.name = simulation, name
        self.cluster = simulation.clusters[simulation.plan_of[name]]
        nonce = simulation.rng.getrandbits(60)
        self.member = simulation.member_class(self.cluster, name, nonce, persisted, now)
        self.writing: PersistentState | None = None
        self.write()

    @property
    def due_ns(self) -> int | None:
        """When `tick` is due on the node's clock."""
        return self.member.due_ns

    def receive(self, message: Any, source: str, now: int) -> Outgoing:
        """Handles a message with its digest; returns the responses."""
        digest, message = message
        if digest != self.cluster.digest:
            return []
        responses = self.member.receive(message, source, now)
        self.write()
        return [(to, (digest, response)) for to, response in responses]

    def tick(self, now: int) -> Outgoing:
        """Returns the statuses that are due."""
        return [(to, (self.cluster.digest, status)) for to, status in self.member.tick(now)]

    def write(self) -> None:
        """Starts to write a pending state."""
        if self.member.pending_state is not None and self.member.pending_state is not self.writing:
            self.writing = self.member.pending_state
            self.simulation.write(self)


class NonVoterNode:
    """A member that does not vote under its configuration."""

    due_ns = None

    def receive(self, message: Any, source: str, now: int) -> Outgoing:
        """Ignores the message."""
        return []

    def tick(self, now: int) -> Outgoing:
        """Sends nothing."""
        return []


class HolderNode:
    """A process that acquires the lease, runs its task, releases the lease, rests, and starts again.

    Attributes:
        client: The present client.
        ends_ns: When the present task or rest ends; None if there is neither.
        seen_token: The token that the process has checked and is about to act under; None if no act is
            pending.
        act_ns: When the process next checks the lease or acts.
    """

    def __init__(self, simulation: LeaseSimulation, name: str, now: int) -> None:
        """Starts the process at its own time `now` (ns)."""
        self.simulation, self.name = simulation, name
        self.cluster = simulation.clusters[simulation.plan_of[name]]
        self.rng = random.Random(simulation.rng.getrandbits(60))
        self.client = self._new_client(now)
        self.ends_ns: int | None = None
        self.seen_token: int | None = None
        self.act_ns = 0

    @property
    def due_ns(self) -> int | None:
        """When `tick` is due on the node's clock."""
        due = [at for at in (self.client.due_ns, self.ends_ns) if at is not None]
        if self.seen_token is not None or self.client.state is ClientState.HOLDING:
            due.append(self.act_ns)
        return min(due, default=None)

    def receive(self, message: Any, source: str, now: int) -> Outgoing:
        """Handles a message with its digest; returns the messages to send in return."""
        digest, message = message
        if digest != self.cluster.digest or not isinstance(message, Response):
            return []
        return self._addressed(self.client.receive(message, now))

    def tick(self, now: int) -> Outgoing:
        """Acts if an act is due; returns the messages that are due."""
        if self.seen_token is not None and now >= self.act_ns:
            self.simulation.acted(self.name, self.seen_token)
            self.seen_token = None
        former_state = self.client.state
        due = self.client.due_ns is not None and now >= self.client.due_ns
        outgoing = self._addressed(self.client.tick(now)) if due else []
        if self.client.state is ClientState.HOLDING:
            return outgoing + self._work(now)
        if self.client.state is not ClientState.ACQUIRING:
            if former_state is not self.client.state or self.ends_ns is None:
                self._rest(now)
            elif now >= self.ends_ns:
                self.begin_anew(now)
        return outgoing

    def begin_anew(self, now: int) -> None:
        """Starts to acquire the lease again, with a new client."""
        self.ends_ns, self.client = None, self._new_client(now)

    def release(self, now: int) -> Outgoing:
        """Ends the task and returns the release, if the lease is held."""
        if self.client.state is not ClientState.HOLDING:
            return []
        self._rest(now)
        return self._addressed([(None, self.client.release())])

    def _work(self, now: int) -> Outgoing:
        """Checks the held lease and schedules an act, or ends the task."""
        timing = self.simulation.timing
        if self.ends_ns is None:
            self.ends_ns = now + int(timing.lease_ns * self.rng.uniform(*self.simulation.task))
        elif now >= self.ends_ns:
            return self.release(now)
        if self.seen_token is None and now >= self.act_ns:
            if self.client.holds(now + timing.stop_margin_ns):
                self.seen_token = self.client.proposer.token
            self.act_ns = now + 1 + self.rng.randrange(int(MAX_LATENCY_LEASES * timing.lease_ns))
        return []

    def _rest(self, now: int) -> None:
        self.ends_ns = now + self.rng.randrange(int(MAX_REST_LEASES * self.simulation.timing.lease_ns))

    def _new_client(self, now: int) -> LeaseClient:
        timing = self.simulation.timing
        wait_timeout = self.rng.choice(self.simulation.wait_timeouts)
        wait_timeout_ns = None if wait_timeout is None else int(wait_timeout * timing.lease_ns)
        nonce = self.rng.getrandbits(60) | 1
        return self.simulation.client_class(
            self.simulation.lease,
            self.name,
            nonce,
            timing,
            len(self.cluster.voters),
            self.rng,
            now,
            wait_timeout_ns,
        )

    def _addressed(self, outgoing: Iterable[tuple[str | None, Message]]) -> Outgoing:
        voters, digest = self.cluster.voters, self.cluster.digest
        return [
            (voter, (digest, message)) for to, message in outgoing for voter in voters if to in (None, voter)
        ]


class LeaseSimulation(Simulation):
    """One lease, its voters and its contenders, under a schedule.

    Attributes:
        clusters: The configurations of the schedule.
        state_files: The state that each voter has on disk.
        findings: The results so far.
        held_tokens: The tokens of the present holders, by name.
        highest_token: The highest token of any holder so far.
        store: The resource that tasks act on; it rejects tokens below the highest that it has seen.
    """

    lease = "nightly"
    member_class: type[VotingMember] = VotingMember
    client_class: type[LeaseClient] = LeaseClient
    task: tuple[float, float] = TASK_LEASES
    wait_timeouts: tuple[float | None, ...] = (None, None, 0, 1)  # in lengths of a lease; None for no limit

    def __init__(self, schedule: Schedule, timing: LeaseTiming, keep_trace: bool = False) -> None:
        """Prepares a run; `play` runs it.

        Args:
            schedule: The nodes, the faults and the seed.
            timing: The timings of all configurations.
            keep_trace: Whether each event is recorded in `trace`.
        """
        self.timing = timing
        self.clusters = [
            ClusterConfiguration("rehearsed", tuple(Member(voter, ("", 0)) for voter in voters), timing)
            for voters in (schedule.voters, *schedule.plans)
        ]
        self.state_files: dict[str, PersistentState] = {}
        self.findings = Findings()
        self.held_tokens: dict[str, int] = {}
        self.highest_token = 0
        self.store = FencingTokenStore()
        super().__init__(schedule, keep_trace)

    def start_node(self, name: str, slot: NodeSlot, now: int) -> Node:
        """Returns the process of a node that starts."""
        if name in self.schedule.contenders:
            return HolderNode(self, name, now)
        if name in self.clusters[self.plan_of[name]].voters:
            return VoterNode(self, name, self.state_files.get(name), now)
        return NonVoterNode()

    def write(self, node: VoterNode) -> None:
        """Starts a write of a voter's state. A kill during the write leaves the old or the new state."""
        state = node.writing
        assert state is not None  # `VoterNode.write` has just set it
        incarnation = self.slots[node.name].incarnation
        self.call_at(self.now + self.rng.randint(*WRITE_NS), self._written, node, state, incarnation)

    def node_killed(self, name: str, slot: NodeSlot, disk_lost: bool) -> None:
        """Deletes a killed voter's state file if its disk is lost as well."""
        if disk_lost:
            self.state_files.pop(name, None)

    def node_step(self, step: Step) -> None:
        """Makes a holder release its lease, or start to acquire the lease before its rest has ended."""
        slot = self.slots[step.who]
        if isinstance(slot.node, HolderNode) and not slot.stopped:
            if step.what == StepKind.RELEASE:
                self.send_all(step.who, slot.node.release(self.local(step.who)))
            elif slot.node.client.state not in (ClientState.ACQUIRING, ClientState.HOLDING):
                slot.node.begin_anew(self.local(step.who))
                self._schedule_tick(step.who)

    def acted(self, name: str, token: int) -> None:
        """Records that a task has acted on the store, under a token."""
        self.findings.acts += 1
        if self.held_tokens.get(name) != token:
            self.findings.late_acts += 1
        try:
            self.store.write(token, name)
        except StaleTokenError:
            self.findings.fenced += 1

    def after_event(self) -> None:
        """Checks both rules after each event."""
        held: dict[str, int] = {}
        for name in self.schedule.contenders:
            node = self.slots[name].node
            if isinstance(node, HolderNode) and node.client.holds(self.local(name)):
                held[name] = node.client.proposer.token
        if held == self.held_tokens:
            return
        for name, token in held.items():
            if self.held_tokens.get(name) != token:
                self._check_new_holding(name, token)
        if len(held) > 1:
            named = " and ".join(f"{name} (token {token})" for name, token in held.items())
            self._breach(f"{named} hold the lease at the same time")
        self.held_tokens = held

    def _written(self, node: VoterNode, state: PersistentState, incarnation: int) -> None:
        """Ends a write. If its voter was killed during the write, the new state is kept or lost at random."""
        slot = self.slots[node.name]
        alive = slot.incarnation == incarnation and slot.node is node
        if alive or (slot.node is None and slot.incarnation == incarnation and self.rng.random() < 0.5):
            self.state_files[node.name] = state
        if alive:
            node.member.state_written(state, self.local(node.name))
            node.writing = None
            node.write()
            self._schedule_tick(node.name)

    def _check_new_holding(self, name: str, token: int) -> None:
        self.note(f"{name} holds under {token}")
        self.findings.holdings.append((self.now, self.lease, name, token))
        if token <= self.highest_token:
            self._breach(f"{name} holds under {token}, after a token of {self.highest_token}")
        self.highest_token = max(self.highest_token, token)

    def _breach(self, text: str) -> None:
        self.note(text)
        self.findings.breaches.append(f"{self.now / MS:.3f} ms: {text}")


def simulate(
    schedule: Schedule, timing: LeaseTiming, simulation_class: type[LeaseSimulation] = LeaseSimulation
) -> Findings:
    """Runs a schedule and returns the findings."""
    simulation = simulation_class(schedule, timing)
    simulation.play()
    return simulation.findings
