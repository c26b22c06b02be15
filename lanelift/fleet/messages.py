"""Messages between members about voting and leases. Data only: `codec.py` turns them into bytes.

The lease messages are those of PaxosLease (Trencseni, Gazso, Reinhardt, 2012): a proposer sends `Prepare`,
then `Accept`; an acceptor (a voting member) answers either with a `Response`. The nonce of a message names
one run of a proposer, so that two proposers with the same name are told apart.

Wire format: each message is an array that begins with its tag. The tags, and the order of the fields, are
what is on the wire; names of classes and fields are not. A later release may add kinds, and fields at the
end of a kind; this release skips what it does not know.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct

MAX_NAME_CHARACTERS = 64  # of a lease, a voter and a proposer
MAX_LEASES_PER_PAGE = 6  # leases in one `LeaseList`: as many as fit a datagram with names at their longest
# Voters in one of the `former_voter_sets`. Receivers drop a status with a larger set, so that its voter can't
# finish a change of configuration (docs/operating/leases.md, known limits).
MAX_VOTERS = 64
MAX_VOTER_SETS = 16  # `former_voter_sets` in one message

NAME = r"^[!-~]*\Z"  # printable ASCII without spaces: the same in a log, a shell and a datagram
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS, pattern=NAME)]
OptionalName = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS, pattern=NAME)]  # empty for none
Count = Annotated[int, Meta(ge=0, lt=2**62)]  # ballots, times, identifiers


class Verdict(StrEnum):
    """What a voter says in a `Response`. The values are on the wire and stay as they are."""

    PROMISED = "promised"  # Paxos' promise: no lower ballot from now on
    ACCEPTED = "taken"  # Paxos' accepted: the voter is bound to this proposer
    RELEASED = "released"  # the voter is no longer bound
    HELD = "held"  # rejected: bound to another proposer
    QUEUED = "turn"  # rejected: others come first
    STALE_BALLOT = "behind"  # rejected: the ballot is not above what was promised
    RECOVERING = "silent"  # rejected: this voter may have forgotten votes, or may not vote yet
    AT_CAPACITY = "full"  # rejected: too many leases, or too many waiters
    FREE = "free"  # no response to a request: the lease was released, and the first waiter is notified


class Prepare(Struct, frozen=True, array_like=True, tag="ask"):
    """Paxos' prepare (phase 1a): a proposer asks for a promise under this ballot.

    Attributes:
        lease: Name of the lease.
        ballot: Ballot to be promised.
        nonce: The proposer's run.
        proposer: The proposer's name.
        request_id: Repeated in the response.
        waited_ns: How long the proposer has been waiting for the lease.
        wants_queue: Whether it wants a position in the queue if it can't have the lease now.
    """

    lease: Name
    ballot: Count
    nonce: Count
    proposer: Name
    request_id: Count
    waited_ns: Count = 0
    wants_queue: bool = False


class Accept(Struct, frozen=True, array_like=True, tag="take"):
    """Paxos' accept (phase 2a): a proposer that was promised a majority asks to be accepted.

    The voter is bound from its receipt on. Renewals of a held lease are the same message.

    Attributes:
        lease: Name of the lease.
        ballot: Ballot that was promised.
        nonce: The proposer's run.
        proposer: The proposer's name.
        request_id: Repeated in the response.
    """

    lease: Name
    ballot: Count
    nonce: Count
    proposer: Name
    request_id: Count


class Release(Struct, frozen=True, array_like=True, tag="release"):
    """The holder has stopped: the lease is free, or reserved for `successor` for a while.

    Attributes:
        lease: Name of the lease.
        ballot: Ballot under which it was held.
        nonce: The proposer's run.
        request_id: Repeated in the response.
        successor: Who alone may have it next; empty for anybody.
    """

    lease: Name
    ballot: Count
    nonce: Count
    request_id: Count
    successor: OptionalName = ""


class Response(Struct, frozen=True, array_like=True, tag="answer"):
    """A voter's response to `Prepare`, `Accept` or `Release`. What does not apply is 0 or empty.

    Attributes:
        lease: Name of the lease.
        nonce: Of the request.
        request_id: Of the request.
        voter: Who responds.
        verdict: A `Verdict`. It is typed as a plain string, since a later release may send further words;
            these are ignored. To a `Release` any verdict is a response: the voter released the lease, or was
            not bound under that ballot (`LeaseHolder.receive`).
        ballot: What was promised or accepted; for STALE_BALLOT that which must be passed.
        holder: Name of the present holder.
        token: The ballot of the voter's vote for that holder: the holder's token, or a ballot above it.
        remaining_ns: Time until another attempt may succeed; 0 also where that is unknown.
        queue_position: Position in the queue, from 1.
    """

    lease: Name
    nonce: Count
    request_id: Count
    voter: Name
    verdict: str
    ballot: Count = 0
    holder: OptionalName = ""
    token: Count = 0
    remaining_ns: Count = 0
    queue_position: Count = 0


class ListLeases(Struct, frozen=True, array_like=True, tag="look"):
    """Asks a voter which leases it knows.

    Attributes:
        request_id: Repeated in the `LeaseList`.
        after: Only leases whose names come after this one.
    """

    request_id: Count
    after: OptionalName = ""


class LeaseStatus(Struct, frozen=True, array_like=True, tag="seen"):
    """One lease as one voter sees it.

    Attributes:
        lease: Name of the lease.
        holder: Whom this voter is bound to; empty for nobody.
        token: The ballot of its vote, which may be above the holder's token; 0 where it is not bound.
        remaining_ns: For how long it still is.
        waiters: How many wait for the lease.
    """

    lease: Name
    holder: OptionalName
    token: Count
    remaining_ns: Count
    waiters: Count


class LeaseList(Struct, frozen=True, array_like=True, tag="view"):
    """One page of the leases that a voter knows, in order of their names.

    Attributes:
        request_id: Of the `ListLeases`.
        voter: Who responds.
        quiet_ns: How long this voter will not vote yet; 0 if it votes, 1 also where the time is unknown (it
            may not vote yet).
        leases: At most `MAX_LEASES_PER_PAGE`.
        more: Whether there is another page.
    """

    request_id: Count
    voter: Name
    quiet_ns: Count
    leases: Annotated[list[LeaseStatus], Meta(max_length=MAX_LEASES_PER_PAGE)]
    more: bool = False


class VoterStatus(Struct, frozen=True, array_like=True, tag="hello"):
    """A recovering voter's status, or another voter's reply to one (`recovery.py`).

    Attributes:
        voter: Whose status it is.
        nonce: Of the start of the voter that asked.
        may_vote: Whether it has finished its recovery. It votes once its quiet period is over, too.
        lost_state: `PersistentState.lost_state`: it has joined its configuration and has never been able to
            vote under any, so that it knows of no ballot; also a new voter. False while it has
            `former_voter_sets`.
        ballot_ceiling: It has promised no ballot above this.
        is_reply: A reply is not replied to.
        former_voter_sets: `PersistentState.former_voter_sets`.
    """

    voter: Name
    nonce: Count
    may_vote: bool
    lost_state: bool
    ballot_ceiling: Count
    is_reply: bool = False
    former_voter_sets: Annotated[
        list[Annotated[list[Name], Meta(max_length=MAX_VOTERS)]], Meta(max_length=MAX_VOTER_SETS)
    ] = []


Message = Prepare | Accept | Release | Response | ListLeases | LeaseList | VoterStatus
