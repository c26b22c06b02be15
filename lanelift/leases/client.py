"""Decides when a proposer sends, retries, waits in the queue, renews and gives up. Pure.

A fault in this module could leave a lease without a holder, but never give it two: safety depends only on
`proposer.py` and `acceptor.py`.
"""

from __future__ import annotations

import random
from enum import Enum

from lanelift.fleet.cluster import LeaseTiming, majority
from lanelift.fleet.messages import Accept, Prepare, Release, Response, Verdict
from lanelift.leases.proposer import Phase, Proposer

# Pauses are multiplied by a random factor in this range, so that two proposers whose ballots collided do not
# collide again.
JITTER = (0.5, 1.5)
# The number of attempts that a client with a wait timeout of 0 makes before it gives up. If so many voters
# are bound to another holder that no majority is left, the client gives up immediately.
MIN_ATTEMPTS_WITHOUT_WAIT = 8
Outgoing = tuple[str | None, Prepare | Accept]  # the recipient (None means all voters) and the message
REJECTIONS = (Verdict.HELD, Verdict.QUEUED, Verdict.STALE_BALLOT, Verdict.AT_CAPACITY)


class ClientState(Enum):
    """The state of a client, which acquires the lease, holds it, or has ended in one of three ways."""

    ACQUIRING = "seeking"
    HOLDING = "holds"
    # the client gave up: other proposers held the lease or came first, or too few voters answered
    REJECTED = "refused"
    LOST = "lost"  # the client held the lease and could not renew it in time
    RELEASED = "released"


class LeaseClient:
    """Acquires one lease, and renews it.

    The caller calls `tick` at `due_ns` and `receive` for each response, and sends the messages that these
    methods return.

    Attributes:
        proposer: The client's proposer.
        state: Whether the client is acquiring or holding the lease, or how it ended.
        due_ns: When `tick` is due, on the client's clock; None for never.
        started_ns: When the client was created and began to wait for the lease.
        attempts: Number of ballots tried so far.
        rejections: The rejections of the present attempt, by voter.
        reason: A text for the log that says why the client does not hold the lease. While the client holds
            the lease, the text gives the cause of the last failed attempt.
        next_ballot_after_ns: While the client holds the lease, no higher ballot is prepared before this time.
    """

    def __init__(
        self,
        lease: str,
        name: str,
        nonce: int,
        timing: LeaseTiming,
        voters: int,
        rng: random.Random,
        now: int,
        wait_timeout_ns: int | None = None,
    ) -> None:
        """Creates a client whose first attempt is due now.

        Args:
            lease: Name of the lease.
            name: The holder's name.
            nonce: A number above 0, new for each client.
            timing: The cluster's timings.
            voters: How many voters there are.
            rng: Source of the jitter.
            now: The client's time in nanoseconds.
            wait_timeout_ns: How long the client waits for the lease; 0 for no wait, None for no limit.
        """
        self.proposer = Proposer(lease, name, nonce, timing, voters)
        self.timing, self.voters, self.rng = timing, voters, rng
        self.started_ns, self.wait_timeout_ns = now, wait_timeout_ns
        self.state = ClientState.ACQUIRING
        self.due_ns: int | None = now
        self.attempts = 0
        self.rejections: dict[str, Response] = {}
        self.reason = "no majority of the voters answered"
        self.next_ballot_after_ns = 0

    def holds(self, now: int) -> bool:
        """Returns whether the client holds the lease at this time of its clock."""
        return self.proposer.holds(now)

    def tick(self, now: int) -> list[Outgoing]:
        """Returns the messages to send now: a renewal, a new attempt, or none."""
        active = self.state in (ClientState.ACQUIRING, ClientState.HOLDING)
        if active and self.proposer.is_over(now):
            self._end(ClientState.LOST, "the lease could not be renewed in time")
        if self.state is ClientState.HOLDING:
            self._schedule_renewal(now)
            return [(None, self.proposer.accept(now))]
        if self.state is not ClientState.ACQUIRING or (self.due_ns is not None and now < self.due_ns):
            return []
        waited_ns = now - self.started_ns
        if self._has_waited_enough(waited_ns):
            self._end(ClientState.REJECTED, self.reason)
            return []
        self.attempts += 1
        self.rejections = {}
        self.due_ns = now + self._jittered(self.timing.response_timeout_ns)
        return [(None, self.proposer.prepare(now, max(0, waited_ns), self.wait_timeout_ns != 0))]

    def receive(self, response: Response, now: int) -> list[Outgoing]:
        """Handles a voter's response; returns the messages to send in return."""
        proposer = self.proposer
        former_phase, former_ballot = proposer.phase, proposer.ballot
        proposer.receive(response, now)
        if response.nonce != proposer.nonce:
            return []
        if self.state is ClientState.HOLDING:
            return self._bind_remaining_voters(response, former_ballot, now)
        if self.state is not ClientState.ACQUIRING:
            return []
        if former_phase is Phase.PREPARING and proposer.phase is Phase.ACCEPTING:
            self.due_ns = now + self._jittered(2 * self.timing.response_timeout_ns)
            return [(None, proposer.accept(now))]
        if proposer.phase is Phase.HOLDING:
            self.state = ClientState.HOLDING
            self._schedule_renewal(now)
            return []
        # Every voter notifies the first waiter. The first notification starts an attempt, which clears
        # `rejections`, so the other voters' notifications start no further attempt.
        if response.verdict == Verdict.FREE and self._attempt_has_failed:
            self.due_ns = now
            return self.tick(now)
        if response.request_id in proposer.sent_ns and response.verdict in REJECTIONS:
            self.rejections[response.voter] = response
            if self._attempt_has_failed:
                self._schedule_retry(now)
        return []

    def release(self, successor: str = "") -> Release:
        """Returns the release of the lease, to be sent once the holder's task has stopped.

        Args:
            successor: Name of the only proposer that may get the lease next, for a while; empty for any.
        """
        self._end(ClientState.RELEASED, "released")
        return self.proposer.release(successor)

    @property
    def _attempt_has_failed(self) -> bool:
        """Whether the voters that have not rejected this attempt are fewer than a majority."""
        return len(self.rejections) > self.voters - majority(self.voters)

    def _has_waited_enough(self, waited_ns: int) -> bool:
        """Returns whether to give up, after the wait timeout and at least the minimum number of attempts."""
        min_attempts = 1 if self.wait_timeout_ns else MIN_ATTEMPTS_WITHOUT_WAIT
        return (
            self.wait_timeout_ns is not None
            and waited_ns > self.wait_timeout_ns
            and self.attempts >= min_attempts
        )

    def _bind_remaining_voters(self, response: Response, former_ballot: int, now: int) -> list[Outgoing]:
        """Returns the messages that make the remaining voters accept the holder as well.

        All voters should accept the holder, so that any majority of them suffices for a renewal. A voter that
        has not promised this ballot is sent a prepare. If a voter has promised a higher ballot, or was
        restarted with a floor above this ballot, the client prepares a higher ballot.
        """
        proposer = self.proposer
        if proposer.phase is not Phase.HOLDING:
            return []
        if proposer.ballot != former_ballot:  # a majority has promised the higher ballot
            return [(None, proposer.accept(now))]
        promised = response.verdict == Verdict.PROMISED and response.ballot == proposer.ballot
        if promised and response.voter not in proposer.accepted_ns:
            return [(response.voter, proposer.accept(now))]
        if response.verdict != Verdict.STALE_BALLOT:
            return []
        if response.ballot < proposer.ballot:
            return [(response.voter, proposer.prepare_present_ballot(now))]
        if now < self.next_ballot_after_ns:
            return []
        self.next_ballot_after_ns = now + self._jittered(self.timing.renewal_interval_ns)
        return [(None, proposer.prepare_next_ballot(now))]

    def _schedule_renewal(self, now: int) -> None:
        self.due_ns = min(now + self.timing.renewal_interval_ns, self.proposer.until_ns)

    def _schedule_retry(self, now: int) -> None:
        """Schedules the next attempt after a failed one, or ends the client."""
        responses = list(self.rejections.values())
        held = [response for response in responses if response.verdict == Verdict.HELD]
        queued = [
            response for response in responses if response.verdict in (Verdict.QUEUED, Verdict.AT_CAPACITY)
        ]
        if held:
            self.reason = f"held by {held[0].holder} under token {held[0].token}"
        elif queued:
            self.reason = "other proposers come first"
        jitter_range_ns = max(1, self.timing.response_timeout_ns // 4)
        if self.wait_timeout_ns == 0 and len(held) > self.voters - majority(self.voters):
            self._end(ClientState.REJECTED, self.reason)
        elif held or queued:
            # The holder may renew, so a waiter retries at each poll interval and when the votes end if there
            # is no renewal.
            remaining_ns = (response.remaining_ns for response in held + queued if response.remaining_ns)
            soon_ns = min(remaining_ns, default=self.timing.poll_interval_ns)
            pause_ns = min(soon_ns, self.timing.poll_interval_ns) + self.rng.randrange(jitter_range_ns)
            self.due_ns = now + max(pause_ns, self.timing.response_timeout_ns // 4)
        else:  # only the ballot was stale: retry after the jitter alone
            self.due_ns = now + self.rng.randrange(jitter_range_ns)

    def _jittered(self, pause_ns: int) -> int:
        return int(pause_ns * self.rng.uniform(*JITTER))

    def _end(self, state: ClientState, reason: str) -> None:
        self.state, self.reason, self.due_ns = state, reason, None
