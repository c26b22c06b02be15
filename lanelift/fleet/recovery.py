"""Decides when a voter may vote: recovery after a start, and changes of the voter set. Pure.

In three cases two majorities could each accept a different holder. A voter waits in each case:

- **Restart.** A voter that was just started may have forgotten its votes: it stays quiet, and does not vote,
  for `LeaseTiming.restart_quiet_ns`.
- **Lost state.** The ballot that new ballots must exceed is persisted, so that tokens do not fall when all
  voters restart at the same time. A voter that lost its state does not know that ballot. It may vote once it
  has received the status of all other voters. Fewer statuses suffice if their senders may vote and each past
  majority must have included one of the senders. The highest ceiling in these statuses becomes the voter's
  ballot floor.
- **Changed voter set.** Majorities of two different voter sets need not share a voter. A voter that voted
  under another configuration may vote under this one once a majority of the *former* voters have joined this
  one: from then on no lease can be given under the former configuration. The voters in that majority may have
  joined from other configurations, which their status lists; a majority of each of these must have joined as
  well. The voter then stays quiet for the longest quiet period of all these configurations.

Assumptions: at any time, fewer than a majority of the voters have lost their state and may not vote yet;
the state of a removed voter is lost; no two voters share a state file.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from lanelift.fleet.cluster import ClusterConfiguration, majority
from lanelift.fleet.messages import VoterStatus
from lanelift.settings import SettingsError

BALLOT_BLOCK = 1 << 16  # number of ballots by which each write of the state raises the ceiling
# Maximum number of successive changes of the voter set before a voter may vote again.
MAX_FORMER_VOTER_SETS = 8


class VoterStateError(SettingsError):
    """The persisted state, the configuration and the address are not consistent, or can't be used.

    The message is for the operator.

    Attributes:
        subject: The path, address or voter that the error concerns; empty for none.
    """

    def __init__(self, message: str, subject: object = "") -> None:
        """Creates the error from its message and its subject."""
        super().__init__(message)
        self.subject = subject


@dataclass(frozen=True, slots=True)
class PersistentState:
    """The state that a voter persists (`state_file.py` defines its JSON).

    Attributes:
        cluster_digest: Digest of the configuration that the voter joined last, in hexadecimal.
        voters: The voters of that configuration.
        quiet_ns: The longest quiet period of all configurations whose votes may still bind the voter.
        ballot_ceiling: A limit above which the voter has promised no ballot, not even in promises that it has
            forgotten.
        former_voter_sets: The voters of former configurations, until this voter may vote again.
        lost_state: Whether the voter knows of no ballot: it has joined its configuration and, as far as its
            disk knows, has never been able to vote under any configuration. Also true for a new voter.
    """

    cluster_digest: str
    voters: tuple[str, ...]
    quiet_ns: int
    ballot_ceiling: int
    former_voter_sets: tuple[tuple[str, ...], ...] = ()
    lost_state: bool = False


class VoterRecovery:
    """The recovery of one voter, from its start until it may vote.

    Attributes:
        may_vote: Whether the recovery has finished. The voter then votes from `ready_ns` on.
        ready_ns: The end of the quiet period on the voter's clock, when it starts to vote; None while that is
            unknown.
        ballot_floor: The highest ballot that this voter may have promised; if this voter has lost its state,
            the highest ballot that any voter may have promised.
        pending_state: The state that the caller is to persist before it calls `state_written`; None if there
            is nothing to persist.
        persisted: The state that is on disk.
    """

    def __init__(
        self, cluster: ClusterConfiguration, voter: str, nonce: int, persisted: PersistentState | None
    ) -> None:
        """Begins the recovery of a voter that was just started.

        Args:
            cluster: The configuration under which the voter was started.
            voter: The voter's id.
            nonce: A number that is new at each start: replies to the status of an earlier start are ignored.
            persisted: The state that was on disk; None if there was none.

        Raises:
            VoterStateError: The voter set was changed too often without this voter voting in between.
        """
        self.cluster, self.voter, self.nonce, self.persisted = cluster, voter, nonce, persisted
        self.other_voters = frozenset(cluster.voters) - {voter}
        self.replies: dict[str, VoterStatus] = {}  # the last reply of each voter
        self.may_vote = False
        self.ready_ns: int | None = None
        self.ballot_floor = 0
        # The state that records the join of this configuration is on disk before the voter sends its status.
        # Other voters rely on the join: if it were not on disk, the voter could return to the former
        # configuration, or join yet another one, as if it had never joined this one.
        self.pending_state = self._joining_state(persisted)
        if self.pending_state is None:
            self._try_to_finish()

    @property
    def status(self) -> VoterStatus:
        """The voter's status, which may only be sent while `may_send_status` is true."""
        persisted = self.persisted
        if persisted is None:
            return VoterStatus(self.voter, self.nonce, self.may_vote, False, 0, former_voter_sets=[])
        return VoterStatus(
            self.voter,
            self.nonce,
            self.may_vote,
            persisted.lost_state and not persisted.former_voter_sets,
            persisted.ballot_ceiling,
            former_voter_sets=[list(voters) for voters in persisted.former_voter_sets],
        )

    @property
    def may_send_status(self) -> bool:
        """Whether the state that `status` reports is on disk."""
        return self.may_vote or self.pending_state is None

    def receive_status(self, status: VoterStatus) -> None:
        """Records another voter's reply to the status of this start, and ignores any other status."""
        if status.voter not in self.other_voters or not status.is_reply or status.nonce != self.nonce:
            return
        self.replies[status.voter] = status
        if not self.may_vote and self.pending_state is None:
            self._try_to_finish()

    def state_written(self, state: PersistentState, now: int) -> None:
        """Records that a `pending_state` is on disk.

        Args:
            state: The state that was written.
            now: This voter's time in nanoseconds.
        """
        self.persisted, self.pending_state = state, None
        if state.former_voter_sets or state.lost_state:
            self._try_to_finish()
        elif not self.may_vote:
            self.may_vote = True
            self.ready_ns = now + state.quiet_ns
            # After the next restart, the longer quiet period of a former configuration need not be
            # observed again.
            self.persisted = replace(state, quiet_ns=self.cluster.timing.restart_quiet_ns)

    def extend_ceiling(self, ballot: int) -> None:
        """Sets a `pending_state` whose ceiling is one block of ballots above `ballot`."""
        if self.pending_state is None and self.persisted is not None:
            self.pending_state = replace(self.persisted, ballot_ceiling=ballot + BALLOT_BLOCK)

    def _joining_state(self, persisted: PersistentState | None) -> PersistentState | None:
        """Returns the state to persist first, or None for a restart under the same configuration."""
        digest, quiet_ns = self.cluster.digest.hex(), self.cluster.timing.restart_quiet_ns
        if persisted is None:  # lost state, or a new voter
            return PersistentState(digest, self.cluster.voters, quiet_ns, 0, lost_state=True)
        if persisted.cluster_digest == digest:  # restart
            return None
        # Changed voter set, or changed timings.
        former = tuple(dict.fromkeys((*persisted.former_voter_sets, persisted.voters)))
        if len(former) > MAX_FORMER_VOTER_SETS:
            raise VoterStateError(
                f"{len(former)} plans in a row without a seat; allowed: {MAX_FORMER_VOTER_SETS}",
                self.voter,
            )
        return PersistentState(
            digest,
            self.cluster.voters,
            max(persisted.quiet_ns, quiet_ns),
            persisted.ballot_ceiling,
            former,
            persisted.lost_state,
        )

    def _try_to_finish(self) -> None:
        """Sets the ballot floor and a `pending_state` if the replies suffice; changes nothing otherwise.

        The recovery finishes in `state_written`: the voter may vote once that state is on disk.
        """
        persisted = self.persisted
        assert persisted is not None
        if not self._former_sets_are_over(persisted):
            return
        if persisted.lost_state and not self._ballots_are_known():
            return
        # Each majority of a former configuration included one of the voters that replied, so no ballot that
        # was promised there is above the ceilings of these replies.
        floor = max(persisted.ballot_ceiling, *(reply.ballot_ceiling for reply in self.replies.values()), 0)
        self.ballot_floor = floor
        quiet_ns = max(persisted.quiet_ns, self.cluster.timing.restart_quiet_ns)
        self.pending_state = PersistentState(
            self.cluster.digest.hex(), self.cluster.voters, quiet_ns, floor + BALLOT_BLOCK
        )

    def _former_sets_are_over(self, persisted: PersistentState) -> bool:
        """Returns whether a majority of each former voter set has joined this configuration."""
        joined = {self.voter, *self.replies}
        # The voters that replied may have joined from other configurations, whose voter sets count as well.
        former_sets = {
            *persisted.former_voter_sets,
            *(tuple(voters) for reply in self.replies.values() for voters in reply.former_voter_sets),
        }
        return all(len(joined.intersection(voters)) >= majority(len(voters)) for voters in former_sets)

    def _ballots_are_known(self) -> bool:
        """Returns whether each majority that may have promised a ballot includes a voter that replied."""
        replies, voter_count = self.replies.values(), len(self.cluster.voters)
        # A voter that may not vote and has not lost its state has joined from a configuration that may still
        # have a majority: its reply does not count.
        if len(replies) == len(self.other_voters) and all(
            reply.may_vote or reply.lost_state for reply in replies
        ):
            return True
        return sum(reply.may_vote for reply in replies) > voter_count - majority(voter_count)
