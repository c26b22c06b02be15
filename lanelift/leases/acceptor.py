"""The acceptor of Paxos, for leases: which proposer a voter is bound to, and for how long. Pure.

Times are nanoseconds of the voter's own clock. The proof in docs/design/leases.md depends on these rules; the
comments in the code name the rule that each check enforces:

1. The acceptor promises a ballot to one proposer only, and only if the ballot is above every ballot that it
   promised before, including those before a restart.
2. The acceptor promises nothing while it is bound to another proposer.
3. The acceptor accepts only the ballot that it promised last, and only from the proposer to which this ballot
   was promised.
4. The acceptor is bound for `lease_ns` from when it accepted. A release under another ballot does not unbind
the acceptor.

The queue, the reservations and the expiry of a promise only decide the order of the proposers. They serve
fairness; safety does not depend on them.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from lanelift.fleet.cluster import LeaseTiming
from lanelift.fleet.messages import (
    MAX_LEASES_PER_PAGE,
    Accept,
    LeaseList,
    LeaseStatus,
    Prepare,
    Release,
    Response,
    Verdict,
)

# Maximum number of leases that a voter records at a time; each record takes about a kilobyte.
MAX_LEASES = 1024
MAX_WAITERS = 64  # maximum number of proposers in the queue of one lease
Source = Hashable  # the address of a proposer, of a type that the caller chooses


@dataclass(slots=True)
class Waiter:
    """A proposer in the queue of a lease.

    Attributes:
        nonce: Identifies the proposer's run.
        source: The address for messages to the proposer.
        waiting_since_ns: When the proposer began to wait, computed from its `Prepare.waited_ns`.
        last_request_ns: When the proposer's last request was received.
    """

    nonce: int
    source: Source
    waiting_since_ns: int
    last_request_ns: int


@dataclass(slots=True)
class Vote:
    """The vote that binds an acceptor to a holder.

    Attributes:
        ballot: The accepted ballot: the holder's token, or a ballot above it.
        nonce: Identifies the holder's run.
        holder: The holder's name.
        until_ns: When the vote ends.
        since_ns: When the acceptor became bound to this holder.
    """

    ballot: int
    nonce: int
    holder: str
    until_ns: int
    since_ns: int


@dataclass(slots=True)
class LeaseRecord:
    """The state of one lease at an acceptor.

    Attributes:
        free_since_ns: When the lease became free; for a new record, when the acceptor was created.
        promised_ballot: The last ballot that was promised.
        promised_nonce: Nonce of the proposer that holds the promise; 0 if there is no promise.
        promise_until_ns: The time until which no other proposer is promised a ballot.
        vote: The vote that binds the acceptor; None if it is not bound.
        queue: The waiting proposers, the longest waiting first.
        reserved_for: Name of the only proposer that may get the lease; empty for any proposer.
        reserved_until_ns: When the reservation ends.
        counted_nonce: Nonce of the last holder that the metrics counted; only `FleetNode` uses this field.
    """

    free_since_ns: int
    promised_ballot: int = 0
    promised_nonce: int = 0
    promise_until_ns: int = 0
    vote: Vote | None = None
    queue: list[Waiter] = field(default_factory=list)
    reserved_for: str = ""
    reserved_until_ns: int = 0
    counted_nonce: int = 0


class Acceptor:
    """One voter's votes on all leases.

    Attributes:
        ballot_floor: The highest ballot that is never promised; only higher ballots are promised.
        ballot_ceiling: The highest ballot that may be promised, until `raise_ceiling` raises the ceiling.
        highest_promised: The highest ballot promised for any lease, or the first floor. The rejection of a
            stale ballot names this ballot, since the proposer's next ballot must exceed it after a restart
            of the voter.
        requested_ballot: The highest ballot above the ceiling that was requested; 0 if there is none.
        leases: The state of each known lease, by name.
    """

    def __init__(
        self, voter: str, timing: LeaseTiming, ballot_floor: int, ballot_ceiling: int, now: int
    ) -> None:
        """Creates the acceptor of a voter that may vote.

        Args:
            voter: The voter's id.
            timing: The cluster's timings.
            ballot_floor: See the class.
            ballot_ceiling: See the class; the caller has persisted it.
            now: The voter's time in nanoseconds.
        """
        self.voter, self.timing = voter, timing
        self.ballot_floor, self.ballot_ceiling = ballot_floor, ballot_ceiling
        self.highest_promised = ballot_floor
        self.requested_ballot = 0
        self.started_ns = now
        self.leases: dict[str, LeaseRecord] = {}

    def raise_ceiling(self, ballot_ceiling: int) -> None:
        """Raises the ceiling to this ballot, which the caller has persisted."""
        self.ballot_ceiling, self.requested_ballot = ballot_ceiling, 0

    def prepare(self, message: Prepare, source: Source, now: int) -> Response | None:
        """Promises the ballot, or rejects the request with a reason.

        Returns:
            The response, or None if the ballot is above the ceiling: the acceptor may not promise it yet, and
            has no reason to reject it. The proposer will send its request again.
        """
        record = self._current_record(message.lease, now)
        if record is None:
            return self._reject(message, Verdict.AT_CAPACITY)
        position = self._queue_position(record, message, source, now)
        if record.vote is not None and record.vote.nonce != message.nonce:  # rule 2
            return self._reject_as_held(message, record.vote, position, now)
        if position == 0 and message.wants_queue:
            return self._reject(message, Verdict.AT_CAPACITY)
        wait_ns = self._wait_for_others_ns(record, message, position, now)
        if wait_ns is not None:
            return self._reject(message, Verdict.QUEUED, remaining_ns=wait_ns, queue_position=position)
        must_exceed = max(record.promised_ballot, self.ballot_floor)
        if message.ballot <= must_exceed:  # rule 1
            ballot = max(must_exceed, self.highest_promised)
            return self._reject(message, Verdict.STALE_BALLOT, ballot, queue_position=position)
        if message.ballot > self.ballot_ceiling:  # rule 1: a restart would forget a promise above the ceiling
            self.requested_ballot = max(self.requested_ballot, message.ballot)
            return None
        record.promised_ballot, record.promised_nonce = message.ballot, message.nonce
        record.promise_until_ns = now + self.timing.response_timeout_ns
        self.highest_promised = max(self.highest_promised, message.ballot)
        return Response(
            message.lease,
            message.nonce,
            message.request_id,
            self.voter,
            Verdict.PROMISED,
            message.ballot,
            queue_position=position,
        )

    def accept(self, message: Accept, now: int) -> Response:
        """Accepts a proposer that was promised this ballot: creates or renews the vote."""
        record = self._current_record(message.lease, now)
        if record is None:
            return self._reject(message, Verdict.AT_CAPACITY)
        if (record.promised_ballot, record.promised_nonce) != (message.ballot, message.nonce):  # rule 3
            return self._reject(message, Verdict.STALE_BALLOT, max(record.promised_ballot, self.ballot_floor))
        renewed = record.vote is not None and record.vote.nonce == message.nonce
        since_ns = record.vote.since_ns if renewed and record.vote is not None else now
        until_ns = now + self.timing.lease_ns
        record.vote = Vote(message.ballot, message.nonce, message.proposer, until_ns, since_ns)  # rule 4
        record.queue = [waiter for waiter in record.queue if waiter.nonce != message.nonce]
        record.reserved_for = ""
        return Response(
            message.lease, message.nonce, message.request_id, self.voter, Verdict.ACCEPTED, message.ballot
        )

    def release(self, message: Release, now: int) -> list[tuple[Source | None, Response]]:
        """Ends the vote for a holder that has stopped.

        Returns:
            The responses, each with its destination, which is None for the sender of the release.
        """
        record = self._current_record(message.lease, now)
        if record is not None:
            record.queue = [waiter for waiter in record.queue if waiter.nonce != message.nonce]
        if record is None or (record.promised_ballot, record.promised_nonce) != (
            message.ballot,
            message.nonce,
        ):  # rule 4
            return [(None, self._reject(message, Verdict.STALE_BALLOT))]
        # Rule 3: late messages under this ballot no longer bind the acceptor.
        record.promised_nonce, record.promise_until_ns = 0, 0
        if record.vote is not None:
            record.vote, record.free_since_ns = None, now
        if message.successor:
            record.reserved_for = message.successor
            record.reserved_until_ns = now + self.timing.queue_head_window_ns
        released = Response(message.lease, message.nonce, message.request_id, self.voter, Verdict.RELEASED)
        responses: list[tuple[Source | None, Response]] = [(None, released)]
        for first in record.queue[:1]:
            free = Response(message.lease, first.nonce, 0, self.voter, Verdict.FREE)
            responses.append((first.source, free))
        return responses

    def lease_statuses(self, now: int) -> list[LeaseStatus]:
        """Returns the leases that have a vote or a queue, in order of their names.

        Votes, reservations and queue positions that have expired by `now` are dropped from the records.
        """
        statuses = []
        for name in sorted(self.leases):
            record = self._current_record(name, now)
            if record is not None and (record.vote is not None or record.queue):
                vote = record.vote or Vote(0, 0, "", now, now)
                statuses.append(
                    LeaseStatus(name, vote.holder, vote.ballot, vote.until_ns - now, len(record.queue))
                )
        return statuses

    def list_leases(self, after: str, request_id: int, now: int) -> LeaseList:
        """Returns one page of `lease_statuses`: the leases after this name, as many as fit in one message.

        Expired votes, reservations and queue positions are dropped, as in `lease_statuses`.
        """
        statuses = [status for status in self.lease_statuses(now) if status.lease > after]
        return LeaseList(
            request_id, self.voter, 0, statuses[:MAX_LEASES_PER_PAGE], len(statuses) > MAX_LEASES_PER_PAGE
        )

    def _current_record(self, name: str, now: int) -> LeaseRecord | None:
        """Returns the record of a lease without expired votes, reservations and queue positions.

        A missing record is created; returns None if there is no capacity for another record.
        """
        record = self.leases.get(name)
        if record is None:
            if len(self.leases) >= MAX_LEASES and not self._forget_idle(now):
                return None
            record = self.leases[name] = LeaseRecord(self.started_ns)
        if record.vote is not None and now >= record.vote.until_ns:
            record.free_since_ns, record.vote = record.vote.until_ns, None
        if record.reserved_for and now >= record.reserved_until_ns:
            record.reserved_for = ""
        if record.queue:
            expiry_ns = self.timing.waiter_expiry_ns
            record.queue = [waiter for waiter in record.queue if now < waiter.last_request_ns + expiry_ns]
        return record

    def _forget_idle(self, now: int) -> bool:
        """Drops the records of idle leases; no ballot up to their promised ones is promised again (rule 1).

        A reservation (`Release.successor`) is dropped with its record: another proposer may then be first.

        Returns:
            Whether any record was dropped.
        """
        idle = [
            name
            for name in list(self.leases)
            if (record := self._current_record(name, now))
            and not record.vote
            and not record.queue
            and now >= record.promise_until_ns
        ]
        for name in idle:
            self.ballot_floor = max(self.ballot_floor, self.leases.pop(name).promised_ballot)
        return bool(idle)

    def _queue_position(self, record: LeaseRecord, message: Prepare, source: Source, now: int) -> int:
        """Returns the proposer's queue position, from 1, ordered by waiting time; 0 if it has none."""
        own = next((waiter for waiter in record.queue if waiter.nonce == message.nonce), None)
        if own is None:
            if not message.wants_queue or len(record.queue) >= MAX_WAITERS:
                return 0
            own = Waiter(message.nonce, source, now - message.waited_ns, now)
            record.queue.append(own)
            record.queue.sort(key=lambda waiter: (waiter.waiting_since_ns, waiter.nonce))
        own.last_request_ns, own.source = now, source
        return record.queue.index(own) + 1

    def _wait_for_others_ns(
        self, record: LeaseRecord, message: Prepare, position: int, now: int
    ) -> int | None:
        """Returns how long other proposers have priority; None if no other proposer has priority."""
        if record.reserved_for and record.reserved_for != message.proposer:
            return record.reserved_until_ns - now
        if record.promised_nonce not in (0, message.nonce) and now < record.promise_until_ns:
            return record.promise_until_ns - now
        first = position == 1 or not record.queue or record.reserved_for == message.proposer
        if not first and now < record.free_since_ns + self.timing.queue_head_window_ns:
            return self.timing.poll_interval_ns
        return None

    def _reject_as_held(self, message: Prepare, vote: Vote, position: int, now: int) -> Response:
        return self._reject(message, Verdict.HELD, 0, vote.holder, vote.ballot, vote.until_ns - now, position)

    def _reject(
        self,
        message: Prepare | Accept | Release,
        verdict: Verdict,
        ballot: int = 0,
        holder: str = "",
        token: int = 0,
        remaining_ns: int = 0,
        queue_position: int = 0,
    ) -> Response:
        return Response(
            message.lease,
            message.nonce,
            message.request_id,
            self.voter,
            verdict,
            ballot,
            holder,
            token,
            remaining_ns,
            queue_position,
        )
