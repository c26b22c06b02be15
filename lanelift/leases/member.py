"""A voting member without I/O: its recovery, its votes, and its responses. Pure.

The caller passes in messages and the time, sends the returned messages, persists `pending_state` and then
calls `state_written`.
"""

from __future__ import annotations

from typing import ClassVar

from msgspec import structs

from lanelift.fleet.cluster import ClusterConfiguration
from lanelift.fleet.messages import (
    Accept,
    LeaseList,
    ListLeases,
    Message,
    Prepare,
    Release,
    Response,
    Verdict,
    VoterStatus,
)
from lanelift.fleet.recovery import PersistentState, VoterRecovery
from lanelift.leases.acceptor import Acceptor, Source

STATUS_INTERVAL_IN_TIMEOUTS = 2  # interval between two statuses of a recovering voter, in response timeouts


class VotingMember:
    """One voter.

    Attributes:
        recovery: The voter's recovery, which decides whether it may vote.
        acceptor: The voter's votes; None until it may vote.
        due_ns: When `tick` is due on the voter's clock; None for never.
    """

    acceptor_class: ClassVar[type[Acceptor]] = Acceptor

    def __init__(
        self,
        cluster: ClusterConfiguration,
        voter: str,
        nonce: int,
        persisted: PersistentState | None,
        now: int,
    ) -> None:
        """Starts a voter.

        Args:
            cluster: The configuration under which the voter votes.
            voter: The voter's id.
            nonce: A number that is new at each start.
            persisted: The state that was on disk; None if there was none.
            now: The voter's time in nanoseconds.

        Raises:
            VoterStateError: The state on disk is not consistent with the configuration.
        """
        self.cluster, self.voter = cluster, voter
        self.recovery = VoterRecovery(cluster, voter, nonce, persisted)
        self.acceptor: Acceptor | None = None
        self.due_ns: int | None = now

    @property
    def pending_state(self) -> PersistentState | None:
        """The state that the caller is to persist; None if there is none."""
        return self.recovery.pending_state

    def state_written(self, state: PersistentState, now: int) -> None:
        """Records that a `pending_state` is on disk."""
        self.recovery.state_written(state, now)
        if self.acceptor is not None:
            self.acceptor.raise_ceiling(state.ballot_ceiling)
        elif self.recovery.may_vote:
            floor, ceiling = self.recovery.ballot_floor, state.ballot_ceiling
            self.acceptor = self.acceptor_class(self.voter, self.cluster.timing, floor, ceiling, now)

    def remaining_quiet_ns(self, now: int) -> int | None:
        """Returns the nanoseconds until the voter votes; None if its recovery has not finished."""
        return None if self.recovery.ready_ns is None else max(0, self.recovery.ready_ns - now)

    def tick(self, now: int) -> list[tuple[str, VoterStatus]]:
        """Returns the statuses to send to the other voters; none once this voter may vote."""
        if self.recovery.may_vote:
            self.due_ns = None
        if self.due_ns is None or now < self.due_ns:
            return []
        self.due_ns = now + STATUS_INTERVAL_IN_TIMEOUTS * self.cluster.timing.response_timeout_ns
        if not self.recovery.may_send_status:
            return []
        return [(voter, self.recovery.status) for voter in sorted(self.recovery.other_voters)]

    def receive(self, message: Message, source: Source, now: int) -> list[tuple[Source, Message]]:
        """Returns the responses to a message, each with its destination."""
        if isinstance(message, VoterStatus):
            return self._receive_status(message, source)
        quiet_ns = self.remaining_quiet_ns(now)
        if isinstance(message, ListLeases):
            if self.acceptor is None or quiet_ns:
                return [(source, LeaseList(message.request_id, self.voter, quiet_ns or 1, []))]
            return [(source, self.acceptor.list_leases(message.after, message.request_id, now))]
        if not isinstance(message, Prepare | Accept | Release):
            return []  # responses are meant for proposers
        if self.acceptor is None or quiet_ns is None or quiet_ns > 0:
            rejected = Response(
                message.lease,
                message.nonce,
                message.request_id,
                self.voter,
                Verdict.RECOVERING,
                remaining_ns=quiet_ns or 0,
            )
            return [(source, rejected)]
        return self._vote(self.acceptor, message, source, now)

    def _receive_status(self, status: VoterStatus, source: Source) -> list[tuple[Source, Message]]:
        self.recovery.receive_status(status)
        if status.is_reply or not self.recovery.may_send_status:
            return []
        reply = structs.replace(self.recovery.status, nonce=status.nonce, is_reply=True)
        return [(source, reply)]

    def _vote(
        self, acceptor: Acceptor, message: Prepare | Accept | Release, source: Source, now: int
    ) -> list[tuple[Source, Message]]:
        if isinstance(message, Release):
            return [
                (source if to is None else to, response) for to, response in acceptor.release(message, now)
            ]
        if isinstance(message, Accept):
            return [(source, acceptor.accept(message, now))]
        promise = acceptor.prepare(message, source, now)
        if acceptor.requested_ballot:
            self.recovery.extend_ceiling(acceptor.requested_ballot)
        return [] if promise is None else [(source, promise)]
