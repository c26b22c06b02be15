"""A small model of leases, to be explored in full: the same voters and proposers, with every order of events.

Three voters and two proposers. In each state any message that was ever sent may be received, by each voter by
itself, at any time, and again; or never. A proposer may prepare, accept, renew and release whenever its phase
allows it. A voter may be restarted: its state file is kept. Time goes on by ticks; each clock counts 4, 5
or 6 to a tick, the ends of a drift of a fifth, so that a lease of 12 is held for 8.

Left out, as they change nothing that could be wrong:

- responses that a proposer does nothing for;
- promises that are received late: a proposer that has them may still wait with what they allow it to do;
- where `Bounds.reached` says so, the first proposer's messages to the third voter and the second one's to
  the first. Two majorities share one voter at the least, and the others promise all the sooner if they
  never received anything of the other proposer: if two can hold by any voters, they can by a and b, and by
  b and c.

A state is a tuple of small numbers: nodes and messages are stored once, and what a node does with an event is
worked out once.
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
TOKEN_FELL = -2  # instead of a holder whose token is not above the highest


class State(NamedTuple):
    """One state of the model. Voters and proposers are the numbers of their nodes.

    Attributes:
        tick: True time.
        voters: Each voter.
        proposers: Each proposer.
        sent: The messages that were ever sent, a bit each.
        restarts: How many restarts are left.
        highest_token: The highest token of any holder so far.
        holder: Whose that is; or `NO_HOLDER`, or `TOKEN_FELL`.
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
        """Begins with an empty table of nodes."""
        self.nodes = NodeTable(self.bounds, self.member_class, self.proposer_class)

    def initial_states(self) -> list[State]:
        """Returns the first state: three voters that may vote, two idle proposers."""
        voters = tuple(self.nodes.first_voter(i) for i in range(len(VOTERS)))
        proposers = tuple(self.nodes.first_proposer(i) for i in PROPOSERS)
        return [State(0, voters, proposers, 0, self.bounds.restarts, 0, NO_HOLDER)]

    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        """Yields each step from a state: its name, and the state that it leads to."""
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
        """Returns which rule is broken in a state; empty for none."""
        holding = [i for i in PROPOSERS if self.nodes.holds(i, state.proposers[i], state.tick)]
        if len(holding) > 1:
            return "two hold at once"
        if state.holder == TOKEN_FELL:
            return f"a token that is not above {state.highest_token}"
        return ""

    # The steps of one kind.

    def _sending_steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Each proposer sends what its phase allows."""
        for i in PROPOSERS:
            number = state.proposers[i]
            for act in ("prepare", "accept", "release", "next ballot"):
                result = self.nodes.send(i, number, act, state.tick)
                if result is None or (result[0] == number and not result[1] & ~state.sent):
                    continue
                after = state._replace(
                    proposers=_replaced(state.proposers, i, result[0]), sent=state.sent | result[1]
                )
                what = "renews" if act == "accept" and self.nodes.is_holding(number) else f"sends {act}"
                yield f"p{i} {what}", self._checked(after)

    def _receiving_steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Each message that was ever sent is received."""
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
        """A voter receives a message; it is `number` after that, and sends `responses`."""
        sender, voter, message = self.nodes.message(bit)
        proposers = state.proposers
        promise = self.nodes.promise(responses)
        if promise:
            answered = self.nodes.proposer_receives(sender, proposers[sender], promise, state.tick)
            proposers = _replaced(proposers, sender, answered)
            responses &= ~promise
        if self.nodes.prepares_left(sender, state.proposers[sender]) <= 0:
            responses &= ~self.nodes.stale_ballot(responses)
        voters = _replaced(state.voters, voter, number)
        after = state._replace(voters=voters, proposers=proposers, sent=state.sent | responses)
        return f"{VOTERS[voter]} receives p{sender}'s {_described(message)}", self._checked(after)

    def _proposer_step(self, state: State, bit: int, number: int) -> tuple[str, State]:
        """A proposer receives a response; it is `number` after that."""
        _, recipient, message = self.nodes.message(bit)
        assert isinstance(message, Response)
        i = -recipient - 1
        after = state._replace(proposers=_replaced(state.proposers, i, number))
        return f"p{i} receives from {message.voter}: {message.verdict}", self._checked(after)

    def _checked(self, state: State) -> State:
        """Returns the state with the highest token of any holder."""
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
