"""The proposer of Paxos, for one lease: its promises, its acceptances, and the end of its lease. Pure.

Times are nanoseconds of the proposer's own clock. `client.py` decides when to send. Whatever that module
sends, and whenever, no two proposers hold the lease at the same time.
"""

from __future__ import annotations

from enum import Enum

from lanelift.fleet.cluster import LeaseTiming, majority
from lanelift.fleet.messages import Accept, Prepare, Release, Response, Verdict

MAX_OPEN_REQUESTS = 16  # number of latest requests whose responses count; older requests are forgotten


class Phase(Enum):
    """The phase of a proposer's run."""

    IDLE = "idle"
    PREPARING = "asking"  # phase 1: waits for promises
    ACCEPTING = "taking"  # phase 2: a majority has promised; waits to be accepted
    HOLDING = "held"
    OVER = "over"  # final, after a release or expiry: only a new proposer can acquire the lease again


class Proposer:
    """One run of a proposer.

    Attributes:
        nonce: Identifies this run in all its messages.
        majority: How many voters must promise a ballot, and then accept it.
        phase: The phase of this run.
        token: The ballot under which this proposer became the holder. Tokens rise from holder to holder; a
            holder keeps its token.
        ballot: The ballot of the proposer's requests.
        highest_ballot_seen: The highest ballot seen so far; the proposer only proposes higher ballots.
        request_id: The id of the last request.
        sent_ns: When each of the last requests was sent, by its id; at most `MAX_OPEN_REQUESTS`.
        promised_by: The voters that promised `ballot`.
        accepted_ns: When the latest request that each voter accepted was *sent*, by voter.
        next_ballot: A higher ballot that the proposer prepares while it holds the lease under `ballot`.
        next_promised_by: The voters that promised `next_ballot`.
    """

    def __init__(self, lease: str, name: str, nonce: int, timing: LeaseTiming, voters: int) -> None:
        """Creates a proposer that has sent nothing yet.

        Args:
            lease: Name of the lease.
            name: The proposer's name, under which the lease is held.
            nonce: A number above 0, new for each run.
            timing: The cluster's timings.
            voters: How many voters there are.
        """
        self.lease, self.name, self.nonce, self.timing = lease, name, nonce, timing
        self.majority = majority(voters)
        self.phase = Phase.IDLE
        self.token = 0
        self.ballot = 0
        self.highest_ballot_seen = 0
        self.request_id = 0
        self.sent_ns: dict[int, int] = {}
        self.promised_by: frozenset[str] = frozenset()
        self.accepted_ns: dict[str, int] = {}
        self.next_ballot = 0
        self.next_promised_by: frozenset[str] = frozenset()

    @property
    def until_ns(self) -> int:
        """When the lease ends, computed from the latest request that a majority accepted; 0 if there is none.

        The duration of the lease counts from when that request was sent: see `LeaseTiming.validity_ns`.
        """
        if len(self.accepted_ns) < self.majority:
            return 0
        latest_first = sorted(self.accepted_ns.values(), reverse=True)
        return latest_first[self.majority - 1] + self.timing.validity_ns

    def holds(self, now: int) -> bool:
        """Returns whether the proposer holds the lease at this time of its clock."""
        return self.phase is Phase.HOLDING and now < self.until_ns

    def prepare(self, now: int, waited_ns: int = 0, wants_queue: bool = False) -> Prepare:
        """Starts phase 1 under a new ballot; forgets promises and acceptances of the former ballot."""
        assert self.phase in (Phase.IDLE, Phase.PREPARING, Phase.ACCEPTING)
        self.phase = Phase.PREPARING
        self.ballot = self.highest_ballot_seen = self.highest_ballot_seen + 1
        self.promised_by, self.accepted_ns = frozenset(), {}
        self.sent_ns = {}
        request_id = self._next_request(now)
        return Prepare(self.lease, self.ballot, self.nonce, self.name, request_id, waited_ns, wants_queue)

    def accept(self, now: int) -> Accept:
        """Returns a request that starts phase 2 after a majority has promised, or renews the lease."""
        assert self.phase in (Phase.ACCEPTING, Phase.HOLDING)
        return Accept(self.lease, self.ballot, self.nonce, self.name, self._next_request(now))

    def prepare_present_ballot(self, now: int) -> Prepare:
        """Returns a prepare of the present ballot, for a voter that has not promised it yet.

        Once the voter has promised the ballot it can accept the holder as well.
        """
        return Prepare(self.lease, self.ballot, self.nonce, self.name, self._next_request(now))

    def prepare_next_ballot(self, now: int) -> Prepare:
        """Starts phase 1 under a ballot above those of restarted voters, while the lease is held.

        The lease is held under the former ballot until a majority has promised the new one, and then under
        the new one.
        """
        assert self.phase is Phase.HOLDING
        self.next_ballot = self.highest_ballot_seen = self.highest_ballot_seen + 1
        self.next_promised_by = frozenset()
        return Prepare(self.lease, self.next_ballot, self.nonce, self.name, self._next_request(now))

    def receive(self, response: Response, now: int) -> None:
        """Handles a voter's response, which may be received late or repeatedly."""
        if response.nonce != self.nonce or response.lease != self.lease or self.is_over(now):
            return  # a late response does not renew an expired lease, whose task has already been ended
        if response.verdict == Verdict.STALE_BALLOT:
            self.highest_ballot_seen = max(self.highest_ballot_seen, response.ballot)
        if response.request_id not in self.sent_ns:
            return
        if response.verdict == Verdict.PROMISED:
            self._receive_promise(response)
        elif response.verdict == Verdict.ACCEPTED:
            sent_ns = self.sent_ns[response.request_id]
            self.accepted_ns[response.voter] = max(sent_ns, self.accepted_ns.get(response.voter, sent_ns))
            if self.phase is Phase.ACCEPTING and now < self.until_ns:
                self.phase, self.token = Phase.HOLDING, self.ballot

    def is_over(self, now: int) -> bool:
        """Returns whether this run is over, and ends it for good if the held lease has expired by `now`.

        The task that ran under the run's token must not continue.
        """
        if self.phase is Phase.HOLDING and now >= self.until_ns:
            self.phase = Phase.OVER
        return self.phase is Phase.OVER

    def release(self, successor: str = "") -> Release:
        """Ends this run and returns the release, to be sent once the holder's task has stopped."""
        self.phase = Phase.OVER
        self.request_id += 1
        return Release(self.lease, self.ballot, self.nonce, self.request_id, successor)

    def _receive_promise(self, response: Response) -> None:
        if response.ballot == self.ballot:
            self.promised_by |= {response.voter}
            if self.phase is Phase.PREPARING and len(self.promised_by) >= self.majority:
                self.phase = Phase.ACCEPTING
        elif response.ballot == self.next_ballot and self.phase is Phase.HOLDING:
            self.next_promised_by |= {response.voter}
            if len(self.next_promised_by) >= self.majority:
                # Voters that accepted either ballot stay bound and promise nothing to other proposers.
                self.ballot, self.promised_by = self.next_ballot, self.next_promised_by

    def _next_request(self, now: int) -> int:
        self.request_id += 1
        self.sent_ns[self.request_id] = now
        if len(self.sent_ns) > MAX_OPEN_REQUESTS:
            del self.sent_ns[min(self.sent_ns)]
        return self.request_id
