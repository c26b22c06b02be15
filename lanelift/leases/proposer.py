"""The proposer of Paxos, for one lease: what it was promised, who accepted it, until when it holds. Pure.

Times are nanoseconds of its own clock. It does not decide when to send (`client.py` does): no two proposers
hold at once, whatever is sent and whenever.
"""

from __future__ import annotations

from enum import Enum

from lanelift.fleet.cluster import LeaseTiming, majority
from lanelift.fleet.messages import Accept, Prepare, Release, Response, Verdict

MAX_OPEN_REQUESTS = 16  # requests whose responses still count; older ones are forgotten


class Phase(Enum):
    """The phase of a proposer's run."""

    IDLE = "idle"
    PREPARING = "asking"  # phase 1: waits for promises
    ACCEPTING = "taking"  # phase 2: was promised a majority, waits to be accepted
    HOLDING = "held"
    OVER = "over"  # released or expired, for good: only a new proposer can acquire the lease again


class Proposer:
    """One run of a proposer.

    Attributes:
        nonce: Names this run in all its messages.
        majority: So many voters must promise, and accept.
        phase: The phase of this run.
        token: The ballot under which it came to hold: it rises from holder to holder, and stays while one
            holds.
        ballot: The ballot of its requests.
        highest_ballot_seen: It proposes only above this.
        request_id: Of the last request.
        sent_ns: When each of the last requests was sent, by its id; at most `MAX_OPEN_REQUESTS`.
        promised_by: The voters that promised `ballot`.
        accepted_ns: By voter, when that request was *sent* which it accepted last.
        next_ballot: A higher ballot that it prepares while it holds under `ballot`.
        next_promised_by: The voters that promised `next_ballot`.
    """

    def __init__(self, lease: str, name: str, nonce: int, timing: LeaseTiming, voters: int) -> None:
        """Creates a proposer that has sent nothing yet.

        Args:
            lease: Name of the lease.
            name: As whom it is held.
            nonce: New for each run; above 0.
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
        """When it stops holding, by the latest request that a majority has accepted; 0 for none.

        It counts from when that was sent: see `LeaseTiming.validity_ns`.
        """
        if len(self.accepted_ns) < self.majority:
            return 0
        latest_first = sorted(self.accepted_ns.values(), reverse=True)
        return latest_first[self.majority - 1] + self.timing.validity_ns

    def holds(self, now: int) -> bool:
        """Returns whether it holds the lease at this time of its clock."""
        return self.phase is Phase.HOLDING and now < self.until_ns

    def prepare(self, now: int, waited_ns: int = 0, wants_queue: bool = False) -> Prepare:
        """Starts phase 1 under a new ballot; gives up what was promised or accepted under the former one."""
        assert self.phase in (Phase.IDLE, Phase.PREPARING, Phase.ACCEPTING)
        self.phase = Phase.PREPARING
        self.ballot = self.highest_ballot_seen = self.highest_ballot_seen + 1
        self.promised_by, self.accepted_ns = frozenset(), {}
        self.sent_ns = {}
        request_id = self._next_request(now)
        return Prepare(self.lease, self.ballot, self.nonce, self.name, request_id, waited_ns, wants_queue)

    def accept(self, now: int) -> Accept:
        """Starts phase 2 once a majority has promised, or renews the lease."""
        assert self.phase in (Phase.ACCEPTING, Phase.HOLDING)
        return Accept(self.lease, self.ballot, self.nonce, self.name, self._next_request(now))

    def prepare_present_ballot(self, now: int) -> Prepare:
        """Asks a voter that has not promised the present ballot to do so, so that it can accept as well."""
        return Prepare(self.lease, self.ballot, self.nonce, self.name, self._next_request(now))

    def prepare_next_ballot(self, now: int) -> Prepare:
        """While it holds: starts phase 1 under a ballot above those of voters that were restarted.

        It holds on under the former ballot meanwhile, and under the new one once a majority has promised
        that.
        """
        assert self.phase is Phase.HOLDING
        self.next_ballot = self.highest_ballot_seen = self.highest_ballot_seen + 1
        self.next_promised_by = frozenset()
        return Prepare(self.lease, self.next_ballot, self.nonce, self.name, self._next_request(now))

    def receive(self, response: Response, now: int) -> None:
        """Takes a voter's response, however late and however often it is received."""
        if response.nonce != self.nonce or response.lease != self.lease or self.has_expired(now):
            return  # a late response does not renew an expired lease: its task was ended
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

    def has_expired(self, now: int) -> bool:
        """Returns whether it is over; it is, for good, once it held and no longer does.

        What it did under its token must not go on.
        """
        if self.phase is Phase.HOLDING and now >= self.until_ns:
            self.phase = Phase.OVER
        return self.phase is Phase.OVER

    def release(self, successor: str = "") -> Release:
        """Releases the lease; its holder has stopped before this is sent."""
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
                # Voters that accepted stay bound, under whichever ballot: they promise nobody else anything.
                self.ballot, self.promised_by = self.next_ballot, self.next_promised_by

    def _next_request(self, now: int) -> int:
        self.request_id += 1
        self.sent_ns[self.request_id] = now
        if len(self.sent_ns) > MAX_OPEN_REQUESTS:
            del self.sent_ns[min(self.sent_ns)]
        return self.request_id
