"""A small model of leases to be explored in full: the real voters and proposers, in every order of events.

The model has three voters and two proposers. In each state, each voter may receive any message that was ever
sent to it, independently of the others, once, repeatedly or never. A proposer may prepare, accept, renew and
release whenever its phase allows it. A voter may be restarted, and keeps its state file. Time advances in
ticks; an exact clock advances by 5 per tick, and clocks at the limits of a drift of a fifth by 4 or 6, so a
lease of 12 is held for 8.

Some events are left out, since any violation that they cause also occurs without them:

- responses that a proposer ignores;
- late promises: a proposer that received a promise early may still delay the step that the promise allows;
- if `Bounds.reached` says so, messages from the first proposer to the third voter and from the second
  proposer to the first voter. Two majorities share at least one voter, and the other voters promise more
  readily if they never received a message of the other proposer. So if two proposers can hold the lease at
  the same time, they can also do so with only the votes of a and b for the first, and of b and c for the
  second proposer.

A state is a tuple of small numbers: each node and message is stored once, and the result of each event at a
node is computed once.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import ClassVar, NamedTuple

from lanelift.fleet.messages import Accept, Message, Prepare, Release, Response
from lanelift.leases.member import VotingMember
from lanelift.leases.model_nodes import VOTERS, Bounds, NodeTable
from lanelift.leases.proposer import Proposer

PROPOSERS = range(2)
NO_HOLDER = -1
TOKEN_FELL = -2  # replaces the holder's number if the holder's token is not above the highest token so far


class State(NamedTuple):
    """One state of the model. Each voter and proposer is represented by the number of its node.

    Attributes:
        tick: True time, in ticks.
        voters: The node number of each voter.
        proposers: The node number of each proposer.
        sent: The messages that were ever sent, one bit each.
        restarts: How many restarts are left.
        highest_token: The highest token of any holder so far.
        holder: The proposer that held that token; or `NO_HOLDER`, or `TOKEN_FELL`.
    """

    tick: int
    voters: tuple[int, ...]
    proposers: tuple[int, ...]
    sent: int
    restarts: int
    highest_token: int
    holder: int


@dataclass
class Model:
    """The model within some bounds, for `lanelift.faults.model_checker.explore`."""

    bounds: Bounds = field(default_factory=Bounds)
    member_class: ClassVar[type[VotingMember]] = VotingMember
    proposer_class: ClassVar[type[Proposer]] = Proposer

    def __post_init__(self) -> None:
        """Creates an empty table of nodes."""
        self.nodes = NodeTable(self.bounds, self.member_class, self.proposer_class)

    def initial_states(self) -> list[State]:
        """Returns the only initial state: three voters that may vote, and two idle proposers."""
        voters = tuple(self.nodes.initial_voter(i) for i in range(len(VOTERS)))
        proposers = tuple(self.nodes.initial_proposer(i) for i in PROPOSERS)
        return [State(0, voters, proposers, 0, self.bounds.restarts, 0, NO_HOLDER)]

    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields each step from a state: its name and the state that it leads to."""
        if state.tick < self.bounds.ticks:
            yield "a tick", self._checked(state._replace(tick=state.tick + 1))
        yield from self._sending_steps(state)
        yield from self._receiving_steps(state)
        if state.restarts:
            for i in range(3):
                restarted = _replaced(state.voters, i, self.nodes.restarted(i, state.voters[i], state.tick))
                yield (
                    f"{VOTERS[i]} is restarted",
                    state._replace(voters=restarted, restarts=state.restarts - 1),
                )

    def violation_in(self, state: State) -> str:
        """Returns the rule that a state violates; empty for none."""
        holding = [i for i in PROPOSERS if self.nodes.holds(i, state.proposers[i], state.tick)]
        if len(holding) > 1:
            return "two proposers hold the lease"
        if state.holder == TOKEN_FELL:
            return f"a new token is not above {state.highest_token}"
        return ""

    # Steps by kind.

    def _sending_steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields the steps in which a proposer sends a message that its phase allows."""
        for i in PROPOSERS:
            number = state.proposers[i]
            for action in ("prepare", "accept", "release", "next ballot"):
                result = self.nodes.send(i, number, action, state.tick)
                if result is None or (result[0] == number and not result[1] & ~state.sent):
                    continue
                after = state._replace(
                    proposers=_replaced(state.proposers, i, result[0]), sent=state.sent | result[1]
                )
                what = "renews" if action == "accept" and self.nodes.is_holding(number) else f"sends {action}"
                yield f"p{i} {what}", self._checked(after)

    def _receiving_steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields the steps in which a message that was ever sent is received."""
        tick, voters, proposers, sent, *_ = state
        messages = self.nodes.messages
        remaining = sent
        while remaining:
            bit = remaining & -remaining
            remaining ^= bit
            _, recipient, _ = messages[bit.bit_length() - 1]
            if recipient >= 0:
                number, responses = self.nodes.voter_receives(recipient, voters[recipient], bit, tick)
                if number != voters[recipient] or responses & ~sent:
                    yield self._voter_step(state, bit, number, responses)
            else:
                i = -recipient - 1
                number = self.nodes.proposer_receives(i, proposers[i], bit, tick)
                if number != proposers[i]:
                    yield self._proposer_step(state, bit, number)

    def _voter_step(self, state: State, bit: int, number: int, responses: int) -> tuple[str, State]:
        """Returns the step in which a voter receives a message, becomes `number` and sends `responses`."""
        sender, voter, message = self.nodes.message(bit)
        proposers = state.proposers
        promise = self.nodes.promise(responses)
        if promise:  # received immediately: late promises are left out
            answered = self.nodes.proposer_receives(sender, proposers[sender], promise, state.tick)
            proposers = _replaced(proposers, sender, answered)
            responses &= ~promise
        # A proposer that may not start phase 1 again is not sent rejections of stale ballots.
        if self.nodes.prepares_left(sender, state.proposers[sender]) <= 0:
            responses &= ~self.nodes.stale_ballot(responses)
        voters = _replaced(state.voters, voter, number)
        after = state._replace(voters=voters, proposers=proposers, sent=state.sent | responses)
        return f"{VOTERS[voter]} receives p{sender}'s {_described(message)}", self._checked(after)

    def _proposer_step(self, state: State, bit: int, number: int) -> tuple[str, State]:
        """Returns the step in which a proposer receives a response and becomes `number`."""
        _, recipient, message = self.nodes.message(bit)
        assert isinstance(message, Response)
        i = -recipient - 1
        after = state._replace(proposers=_replaced(state.proposers, i, number))
        return f"p{i} receives from {message.voter}: {message.verdict}", self._checked(after)

    def _checked(self, state: State) -> State:
        """Returns the state with its highest token and holder updated."""
        highest_token, holder = state.highest_token, state.holder
        for i in PROPOSERS:
            if self.nodes.holds(i, state.proposers[i], state.tick):
                token = self.nodes.token(state.proposers[i])
                if (i, token) == (holder, highest_token):
                    continue
                if token > highest_token:
                    highest_token, holder = token, i
                else:
                    holder = TOKEN_FELL
        if (highest_token, holder) == (state.highest_token, state.holder):
            return state
        return state._replace(highest_token=highest_token, holder=holder)


def _described(message: Message) -> str:
    ballot = f" {message.ballot}" if isinstance(message, Prepare | Accept | Release) else ""
    return f"{type(message).__name__.lower()}{ballot}"


def _replaced(numbers: tuple[int, ...], at: int, number: int) -> tuple[int, ...]:
    return (*numbers[:at], number, *numbers[at + 1 :])
