"""Messages between members about voting and leases. Data only: `codec.py` encodes them.

The lease messages are those of PaxosLease (Trencseni, Gazso, Reinhardt, 2012): a proposer sends `Prepare`,
then `Accept`; an acceptor (a voting member) answers either with a `Response`. The nonce of a message names
one run of a proposer, so that two proposers with the same name are distinguished.

Wire format: each message is an array that begins with its tag. The tags and the order of the fields are part
of the wire format; the names of classes and fields are not. A later release may add kinds of messages, and
fields at the end of a kind; this release skips kinds and fields that it does not know.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct

MAX_NAME_CHARACTERS = 64  # maximum length of the name of a lease, a voter or a proposer
# Maximum number of leases in one `LeaseList`; with the longest names, this many fit in a datagram.
MAX_LEASES_PER_PAGE = 6
# Maximum number of voters in each set of `VoterStatus.former_voter_sets`. Receivers drop a status with a
# larger set, and its sender can't finish a change of configuration (docs/operating/leases.md, known limits).
MAX_VOTERS = 64
MAX_VOTER_SETS = 16  # maximum number of sets in `VoterStatus.former_voter_sets`

NAME = r"^[!-~]*\Z"  # printable ASCII without spaces, which is written alike in logs, shells and datagrams
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS, pattern=NAME)]
OptionalName = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS, pattern=NAME)]  # empty if there is no name
Count = Annotated[int, Meta(ge=0, lt=2**62)]  # a ballot, a time or an identifier


class Verdict(StrEnum):
    """The outcome of a request, in a `Response`. The values are on the wire and must not change."""

    PROMISED = "promised"  # Paxos' promise: the voter accepts no lower ballot from now on
    ACCEPTED = "taken"  # Paxos' accepted: the voter is now bound to this proposer
    RELEASED = "released"  # the voter is no longer bound
    HELD = "held"  # rejected: the voter is bound to another proposer
    QUEUED = "turn"  # rejected: other proposers come first
    STALE_BALLOT = "behind"  # rejected: the ballot is not above a promised one
    RECOVERING = "silent"  # rejected: this voter may have forgotten votes, or may not vote yet
    AT_CAPACITY = "full"  # rejected: the voter has too many leases, or too many waiters
    FREE = "free"  # not a response to a request: notifies the first waiter that the lease was released


class Prepare(Struct, frozen=True, array_like=True, tag="ask"):
    """Paxos' prepare (phase 1a): a proposer requests a promise of this ballot.

    Attributes:
        lease: Name of the lease.
        ballot: Ballot to be promised.
        nonce: Identifies the proposer's run.
        proposer: The proposer's name.
        request_id: Repeated in the response.
        waited_ns: How long the proposer has been waiting for the lease.
        wants_queue: Whether the proposer wants a position in the queue if it can't have the lease now.
    """

    lease: Name
    ballot: Count
    nonce: Count
    proposer: Name
    request_id: Count
    waited_ns: Count = 0
    wants_queue: bool = False


class Accept(Struct, frozen=True, array_like=True, tag="take"):
    """Paxos' accept (phase 2a): a proposer asks to be accepted, after a majority has promised its ballot.

    A voter that accepts is bound from when it received the message. A holder renews its lease with this
    message too.

    Attributes:
        lease: Name of the lease.
        ballot: Ballot that was promised.
        nonce: Identifies the proposer's run.
        proposer: The proposer's name.
        request_id: Repeated in the response.
    """

    lease: Name
    ballot: Count
    nonce: Count
    proposer: Name
    request_id: Count


class Release(Struct, frozen=True, array_like=True, tag="release"):
    """The holder has stopped and releases the lease, which may be reserved for a successor for a while.

    Attributes:
        lease: Name of the lease.
        ballot: Ballot under which the lease was held.
        nonce: Identifies the proposer's run.
        request_id: Repeated in the response.
        successor: Name of the only proposer that may get the lease next; empty for any proposer.
    """

    lease: Name
    ballot: Count
    nonce: Count
    request_id: Count
    successor: OptionalName = ""


class Response(Struct, frozen=True, array_like=True, tag="answer"):
    """A voter's response to `Prepare`, `Accept` or `Release`. Fields that do not apply are 0 or empty.

    Attributes:
        lease: Name of the lease.
        nonce: The request's nonce.
        request_id: The request's id.
        voter: Id of the voter that responds.
        verdict: A `Verdict`. The type is a plain string, since a later release may send other verdicts, which
            are ignored. Any verdict confirms a `Release`: the voter released the lease, or was not bound
            under that ballot (`LeaseHolder.receive`).
        ballot: The ballot that was promised or accepted; for STALE_BALLOT the ballot that the proposer's next
            ballot must exceed.
        holder: Name of the present holder.
        token: The ballot of the voter's vote for that holder: the holder's token, or a ballot above it.
        remaining_ns: Time until another attempt may succeed; 0 also if the time is unknown.
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
    """Requests the list of leases that a voter knows.

    Attributes:
        request_id: Repeated in the `LeaseList`.
        after: Only leases whose names come after this name are listed.
    """

    request_id: Count
    after: OptionalName = ""


class LeaseStatus(Struct, frozen=True, array_like=True, tag="seen"):
    """The state of one lease at one voter.

    Attributes:
        lease: Name of the lease.
        holder: Name of the holder that this voter is bound to; empty if it is not bound.
        token: The ballot of the voter's vote, which may be above the holder's token; 0 if it is not bound.
        remaining_ns: How much longer the voter is bound.
        waiters: How many proposers wait for the lease.
    """

    lease: Name
    holder: OptionalName
    token: Count
    remaining_ns: Count
    waiters: Count


class LeaseList(Struct, frozen=True, array_like=True, tag="view"):
    """One page of the leases that a voter knows, in order of their names.

    Attributes:
        request_id: The id of the `ListLeases`.
        voter: Id of the voter that responds.
        quiet_ns: How long until this voter votes; 0 if it votes now. If the voter may not vote yet, the time
            is unknown and the value is 1.
        leases: At most `MAX_LEASES_PER_PAGE` leases.
        more: Whether there is another page.
    """

    request_id: Count
    voter: Name
    quiet_ns: Count
    leases: Annotated[list[LeaseStatus], Meta(max_length=MAX_LEASES_PER_PAGE)]
    more: bool = False


class VoterStatus(Struct, frozen=True, array_like=True, tag="hello"):
    """A recovering voter's status, or another voter's reply to a status (`recovery.py`).

    Attributes:
        voter: Id of the voter whose status this is.
        nonce: Identifies one start of the recovering voter; a reply repeats the nonce.
        may_vote: Whether the voter has finished its recovery. It votes once its quiet period has also ended.
        lost_state: Whether the voter knows of no ballot: it has joined its configuration, and has never been
            able to vote under any configuration (`PersistentState.lost_state`). Also true for a new voter;
            false while the voter has `former_voter_sets`.
        ballot_ceiling: A limit above which the voter has promised no ballot.
        is_reply: Whether this is a reply, to which no reply is sent.
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
