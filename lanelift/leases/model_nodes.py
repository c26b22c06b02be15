"""The nodes of the small model (`model.py`): stores each state of a node and each result of an event once."""

from __future__ import annotations

import pickle
from dataclasses import dataclass
from typing import Any

from lanelift.fleet.cluster import ClusterConfiguration, LeaseTiming, Member
from lanelift.fleet.messages import Message, Response, Verdict
from lanelift.fleet.recovery import PersistentState
from lanelift.leases.member import VotingMember
from lanelift.leases.proposer import Phase, Proposer

LEASE_NS, DRIFT = 12, 0.2
# The response timeout is 0, so that a promise to one proposer never delays the other.
TIMING = LeaseTiming(lease_ns=LEASE_NS, response_timeout_ns=0, stop_margin_ns=1, drift=DRIFT)
SLOW, EVEN, FAST = 4, 5, 6  # how far a slow, an exact and a fast clock advance per tick
LEASE = "x"
VOTERS = ("a", "b", "c")
EFFECTIVE = (Verdict.PROMISED, Verdict.ACCEPTED, Verdict.STALE_BALLOT)  # verdicts that a proposer acts on


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of the exploration.

    Attributes:
        ticks: The number of the last tick.
        prepares: How often each proposer may start phase 1.
        accepts: How often each proposer may start phase 2 or renew.
        releases: How often each proposer may release the lease.
        next_ballots: How often the first proposer may prepare a higher ballot while it holds the lease.
        restarts: The maximum number of restarts, of all voters together.
        voter_rates: How far each voter's clock advances per tick.
        proposer_rates: How far each proposer's clock advances per tick.
        reached: The voters that each proposer's messages reach.
    """

    ticks: int = 4
    prepares: tuple[int, int] = (1, 1)
    accepts: tuple[int, int] = (1, 1)
    releases: tuple[int, int] = (0, 0)
    next_ballots: int = 0
    restarts: int = 1
    voter_rates: tuple[int, int, int] = (FAST, FAST, FAST)
    proposer_rates: tuple[int, int] = (SLOW, EVEN)
    reached: tuple[tuple[int, ...], tuple[int, ...]] = ((0, 1), (1, 2))


@dataclass
class ProposerNode:
    """A proposer, and how often it has taken each kind of step so far."""

    proposer: Proposer
    prepares: int = 0
    accepts: int = 0
    releases: int = 0
    next_ballots: int = 0


class NodeTable:
    """The numbered nodes and messages of the model, and the results of events by their inputs.

    A node's number identifies one state of the node; a bit identifies a message. Entries are never removed:
    the bounds of the exploration limit the table.
    """

    def __init__(
        self, bounds: Bounds, member_class: type[VotingMember], proposer_class: type[Proposer]
    ) -> None:
        """Creates an empty table.

        Args:
            bounds: The bounds of the exploration.
            member_class: The class of the voters.
            proposer_class: The class of the proposers.
        """
        self.bounds, self.member_class, self.proposer_class = bounds, member_class, proposer_class
        members = tuple(Member(name, ("", 0)) for name in VOTERS)
        self.cluster = ClusterConfiguration("small", members, TIMING)
        self.nodes: list[bytes] = []
        self.node_numbers: dict[bytes, int] = {}
        # Sender, recipient and message. Proposers are 0 and 1 as senders, but -1 and -2 as recipients; voters
        # are 0, 1 and 2.
        self.messages: list[tuple[int, int, Message]] = []
        self.message_bits: dict[tuple[int, int, Message], int] = {}
        self.results: dict[tuple[Any, ...], tuple[int, int]] = {}

    def initial_voter(self, i: int) -> int:
        """Returns the number of voter `i` in its initial state, in which it may vote."""
        persisted = PersistentState(self.cluster.digest.hex(), self.cluster.voters, LEASE_NS, 0)
        return self._node(self._started_member(i, persisted, 0, quiet=False))

    def initial_proposer(self, i: int) -> int:
        """Returns the number of proposer `i` in its initial state, idle."""
        return self._node(ProposerNode(self.proposer_class(LEASE, f"p{i}", i + 1, TIMING, len(VOTERS))))

    def _node(self, node: Any) -> int:
        """Returns the number of a node in its present state."""
        data = pickle.dumps(node, 5)
        if data not in self.node_numbers:
            self.node_numbers[data] = len(self.nodes)
            self.nodes.append(data)
        return self.node_numbers[data]

    def _load(self, number: int) -> Any:
        """Returns a copy of the node with this number."""
        return pickle.loads(self.nodes[number])

    def _message_bit(self, sender: int, recipient: int, message: Message) -> int:
        key = (sender, recipient, message)
        if key not in self.message_bits:
            self.message_bits[key] = 1 << len(self.messages)
            self.messages.append(key)
        return self.message_bits[key]

    def message(self, bit: int) -> tuple[int, int, Message]:
        """Returns the sender, the recipient and the message that a bit identifies."""
        return self.messages[bit.bit_length() - 1]

    def _started_member(
        self, voter: int, persisted: PersistentState | None, now: int, quiet: bool
    ) -> VotingMember:
        member = self.member_class(self.cluster, VOTERS[voter], 1, persisted, now)
        assert member.pending_state is not None
        member.state_written(member.pending_state, now)
        if not quiet:
            member.recovery.ready_ns = now
        return member

    def holds(self, i: int, number: int, tick: int) -> bool:
        """Returns whether the proposer holds the lease at this tick."""
        key = ("holds", i, number, tick)
        if key not in self.results:
            holds = self._load(number).proposer.holds(tick * self.bounds.proposer_rates[i])
            self.results[key] = (int(holds), 0)
        return bool(self.results[key][0])

    def token(self, number: int) -> int:
        """Returns the proposer's token."""
        key = ("token", number)
        if key not in self.results:
            self.results[key] = (self._load(number).proposer.token, 0)
        return self.results[key][0]

    def is_holding(self, number: int) -> bool:
        """Returns whether the proposer is in the holding phase."""
        return bool(self._load(number).proposer.phase is Phase.HOLDING)

    def prepares_left(self, i: int, number: int) -> int:
        """Returns how many more times the proposer may start phase 1."""
        key = ("left", i, number)
        if key not in self.results:
            self.results[key] = (self.bounds.prepares[i] - self._load(number).prepares, 0)
        return self.results[key][0]

    def send(self, i: int, number: int, action: str, tick: int) -> tuple[int, int] | None:
        """Returns the proposer after an action, and the bits of the messages sent; None if it may not act."""
        key = ("act", i, number, action, tick)
        if key not in self.results:
            self.results[key] = self._sent(i, number, action, tick * self.bounds.proposer_rates[i])
        result = self.results[key]
        return None if result[0] < 0 else result

    def _sent(self, i: int, number: int, action: str, now: int) -> tuple[int, int]:
        node: ProposerNode = self._load(number)
        message = self._outgoing(node, i, action, now)
        if message is None:
            return -1, 0
        bits = 0
        for voter in self.bounds.reached[i]:
            bits |= self._message_bit(i, voter, message)
        return self._node(node), bits

    def _outgoing(self, node: ProposerNode, i: int, action: str, now: int) -> Message | None:
        """Performs an action; returns its message, or None if the proposer may not act."""
        proposer, phase, bounds = node.proposer, node.proposer.phase, self.bounds
        if action == "prepare":
            if phase in (Phase.OVER, Phase.HOLDING) or node.prepares >= bounds.prepares[i]:
                return None
            node.prepares += 1
            return proposer.prepare(now)
        if action == "accept":
            may_accept = phase in (Phase.ACCEPTING, Phase.HOLDING) and node.accepts < bounds.accepts[i]
            if not may_accept or proposer.is_over(now):
                return None
            node.accepts += 1
            return proposer.accept(now)
        if action == "release":
            if phase is not Phase.HOLDING or node.releases >= bounds.releases[i]:
                return None
            node.releases += 1
            return proposer.release()
        if i != 0 or not proposer.holds(now) or node.next_ballots >= bounds.next_ballots:
            return None
        node.next_ballots += 1
        return proposer.prepare_next_ballot(now)

    def voter_receives(self, i: int, number: int, bit: int, tick: int) -> tuple[int, int]:
        """Returns the voter after it received a message, and the bits of its responses."""
        key = ("voter", i, number, bit, tick)
        if key not in self.results:
            sender, _, message = self.message(bit)
            member: VotingMember = self._load(number)
            now, bits = tick * self.bounds.voter_rates[i], 0
            for to, response in member.receive(message, sender, now):
                assert isinstance(to, int)
                if isinstance(response, Response) and response.verdict in EFFECTIVE:
                    bits |= self._message_bit(i, -to - 1, response)
            if member.pending_state is not None:
                member.state_written(member.pending_state, now)
            self.results[key] = self._node(_without_ordering_times(member)), bits
        return self.results[key]

    def proposer_receives(self, i: int, number: int, bit: int, tick: int) -> int:
        """Returns the proposer after it received a response."""
        key = ("proposer", i, number, bit, tick)
        if key not in self.results:
            node: ProposerNode = self._load(number)
            _, _, message = self.message(bit)
            assert isinstance(message, Response)
            node.proposer.receive(message, tick * self.bounds.proposer_rates[i])
            self.results[key] = self._node(node), 0
        return self.results[key][0]

    def restarted(self, i: int, number: int, tick: int) -> int:
        """Returns the voter after a restart."""
        key = ("restart", i, number, tick)
        if key not in self.results:
            member: VotingMember = self._load(number)
            now = tick * self.bounds.voter_rates[i]
            started = self._started_member(i, member.recovery.persisted, now, quiet=True)
            self.results[key] = self._node(_without_ordering_times(started)), 0
        return self.results[key][0]

    def promise(self, bit: int) -> int:
        """Returns the bit if it identifies a promise, and 0 otherwise."""
        return bit if self._has_verdict(bit, Verdict.PROMISED) else 0

    def stale_ballot(self, bit: int) -> int:
        """Returns the bit if it identifies a rejection for a stale ballot, and 0 otherwise."""
        return bit if self._has_verdict(bit, Verdict.STALE_BALLOT) else 0

    def _has_verdict(self, bit: int, verdict: Verdict) -> bool:
        message = self.message(bit)[2] if bit else None
        return isinstance(message, Response) and message.verdict == verdict


def _without_ordering_times(member: VotingMember) -> VotingMember:
    """Clears the times that affect only the order of proposers."""
    member.due_ns = None
    if member.acceptor is not None:
        for record in member.acceptor.leases.values():
            record.promise_until_ns = record.free_since_ns = 0
    return member
