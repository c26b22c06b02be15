"""Leases in simulated time, and the checks of what truly happened there.

The checks see true time and all nodes. Whatever the schedule does within the assumptions of the design note:

- at no instant do two proposers hold the same lease;
- each new holder has a token above all earlier ones.

What a holder does between looking at its lease and acting is counted apart: who stands still there acts
late, and only the token shows it. That is counted, and is no breach.
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

WRITE_NS = (200_000, 8 * MS)  # a write of a voter's state takes so long
TASK_LEASES = (0.3, 4.0)  # how long a task lasts, in leases
MAX_REST_LEASES = 0.3  # until a proposer begins anew
MAX_LATENCY_LEASES = 0.02  # between a look at the lease and the act


@dataclass
class Findings:
    """What was found in one run.

    Attributes:
        breaches: Broken rules in words, with their true time.
        holdings: Each new holding: since when (ns of true time), lease, holder, token.
        acts: How often holders acted.
        late_acts: Acts after the lease had ended, or passed to another.
        fenced: Of these, rejected for their token.
    """

    breaches: list[str] = field(default_factory=list)
    holdings: list[tuple[int, str, str, int]] = field(default_factory=list)
    acts: int = 0
    late_acts: int = 0
    fenced: int = 0


class VoterNode:
    """A voter's process. Its state file is the simulation's.

    Attributes:
        member: The voting member.
        writing: The state that is being written.
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
        """When `tick` is due on its clock."""
        return self.member.due_ns

    def receive(self, message: Any, source: str, now: int) -> Outgoing:
        """Takes a message with its digest; returns the responses."""
        digest, message = message
        if digest != self.cluster.digest:
            return []
        responses = self.member.receive(message, source, now)
        self.write()
        return [(to, (digest, response)) for to, response in responses]

    def tick(self, now: int) -> Outgoing:
        """Returns what its timer sends."""
        return [(to, (self.cluster.digest, status)) for to, status in self.member.tick(now)]

    def write(self) -> None:
        """Begins to write a pending state."""
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
    """A process that acquires the lease, does its task, releases it, rests, and begins anew.

    Attributes:
        client: Its present client.
        ends_ns: When its task ends, or its rest; None for neither.
        seen_token: It found that it holds, under this token, and acts next; None for nothing.
        act_ns: When it looks at the lease, or acts, next.
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
        """When `tick` is due on its clock."""
        due = [at for at in (self.client.due_ns, self.ends_ns) if at is not None]
        if self.seen_token is not None or self.client.state is ClientState.HOLDING:
            due.append(self.act_ns)
        return min(due, default=None)

    def receive(self, message: Any, source: str, now: int) -> Outgoing:
        """Takes a message with its digest; returns what is sent for it."""
        digest, message = message
        if digest != self.cluster.digest or not isinstance(message, Response):
            return []
        return self._addressed(self.client.receive(message, now))

    def tick(self, now: int) -> Outgoing:
        """Acts if that is due, and returns what its timers send."""
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
        """Wants the lease again, with a new client."""
        self.ends_ns, self.client = None, self._new_client(now)

    def release(self, now: int) -> Outgoing:
        """Ends its task, if it holds, and returns the release."""
        if self.client.state is not ClientState.HOLDING:
            return []
        self._rest(now)
        return self._addressed([(None, self.client.release())])

    def _work(self, now: int) -> Outgoing:
        """While it holds: looks at the lease and decides to act, or ends its task."""
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
    """One lease, its voters and its would-be holders, under a schedule.

    Attributes:
        clusters: The configurations of the schedule.
        state_files: What each voter has on disk.
        found: What was found so far.
        held_tokens: Who holds now, and under which token.
        highest_token: The highest token of any holder so far.
        store: The resource that tasks act on; it rejects tokens below the highest it has seen.
    """

    lease = "nightly"
    member_class: type[VotingMember] = VotingMember
    client_class: type[LeaseClient] = LeaseClient
    task: tuple[float, float] = TASK_LEASES
    wait_timeouts: tuple[float | None, ...] = (None, None, 0, 1)  # in leases; None: for ever

    def __init__(self, schedule: Schedule, timing: LeaseTiming, keep_trace: bool = False) -> None:
        """Prepares a run; `play` runs it.

        Args:
            schedule: Nodes, faults, and the seed.
            timing: The timings of all configurations.
            keep_trace: Whether each event is noted in `trace`.
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
        """Begins a write of a voter's state. A kill in between leaves the old state, or the new one."""
        state = node.writing
        assert state is not None  # its caller has just set it
        incarnation = self.slots[node.name].incarnation
        self.call_at(self.now + self.rng.randint(*WRITE_NS), self._written, node, state, incarnation)

    def node_killed(self, name: str, slot: NodeSlot, disk_lost: bool) -> None:
        """Loses a killed voter's state file, where its disk is lost as well."""
        if disk_lost:
            self.state_files.pop(name, None)

    def node_step(self, step: Step) -> None:
        """Carries out a step that concerns a holder: it releases the lease, or wants it again at once."""
        slot = self.slots[step.who]
        if isinstance(slot.node, HolderNode) and not slot.stopped:
            if step.what == StepKind.RELEASE:
                self.send_all(step.who, slot.node.release(self.local(step.who)))
            elif slot.node.client.state not in (ClientState.ACQUIRING, ClientState.HOLDING):
                slot.node.begin_anew(self.local(step.who))
                self._schedule_tick(step.who)

    def acted(self, name: str, token: int) -> None:
        """Notes that a task has acted on the store, under a token."""
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
            self._breach(f"{named} hold at once")
        self.held_tokens = held

    def _written(self, node: VoterNode, state: PersistentState, incarnation: int) -> None:
        """A write has ended, or was under way when its voter was killed."""
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
    """Runs a schedule, and returns what was found."""
    simulation = simulation_class(schedule, timing)
    simulation.play()
    return simulation.findings
