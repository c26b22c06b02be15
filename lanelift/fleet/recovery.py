"""May this voter vote? Its recovery after a start, and its way into a changed set of voters. Pure.

Three cases could let two majorities accept two holders. Each is waited out here:

- **Restart.** A voter that was started may have forgotten its votes: it stays quiet, and votes for nobody,
  for `LeaseTiming.restart_quiet_ns`.
- **Lost state.** The number that ballots must pass is persisted, so that tokens do not fall when all voters
  restart at once. A voter without its state does not know that number. It votes once it has the status of so
  many voters that may vote that one of them was in each majority there ever was, or the status of all others;
  and it takes a ballot floor above theirs.
- **Changed voter set.** Two majorities of two different sets of voters need not share a voter. A voter that
  voted under another configuration votes under this one when a majority of the *former* voters have joined
  this one: from then on nobody can be given a lease under the former one. Voters that it counts may have
  joined by way of further configurations, which their status lists: those must be over as well. It stays
  quiet from that moment on, for the longest period of all.

Assumed: fewer than a majority of the voters lose their state before the others have let them vote again; the
state of a removed voter is lost; a voter's state file is its own.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from lanelift.fleet.cluster import ClusterConfiguration, majority
from lanelift.fleet.messages import VoterStatus
from lanelift.settings import SettingsError

BALLOT_BLOCK = 1 << 16  # ballots that one write of the state makes room for
MAX_FORMER_VOTER_SETS = 8  # changes of the voters without voting in between


class VoterStateError(SettingsError):
    """The persisted state, this configuration and this address do not go together.

    The message is for the operator.

    Attributes:
        subject: What it concerns: a path, an address, or empty.
    """

    def __init__(self, message: str, subject: object = "") -> None:
        """Creates the error from its message, and what it concerns."""
        super().__init__(message)
        self.subject = subject


@dataclass(frozen=True, slots=True)
class PersistentState:
    """What a voter has on disk (`state_file.py` has its JSON).

    Attributes:
        cluster_digest: Digest of the configuration that it joined last, in hexadecimal.
        voters: Who votes under that.
        quiet_ns: The longest quiet period of all configurations whose votes may still bind it.
        ballot_ceiling: It has promised no ballot above this, whatever it forgot since.
        former_voter_sets: The voters of former configurations, until it may vote again.
        lost_state: It has joined its configuration and has never been able to vote under any, as far as
            its disk knows, so that it knows of no ballot; also a new voter.
    """

    cluster_digest: str
    voters: tuple[str, ...]
    quiet_ns: int
    ballot_ceiling: int
    former_voter_sets: tuple[tuple[str, ...], ...] = ()
    lost_state: bool = False


class VoterRecovery:
    """One voter's way from its start until it may vote.

    Attributes:
        may_vote: Whether the recovery has finished. It then votes from `ready_ns` on.
        ready_ns: End of its quiet period, from when on it votes, on its clock; None while that is unknown.
        ballot_floor: Ballots up to this may have been promised by it, or by others if it lost its state.
        pending_state: To be persisted by the caller, who then calls `state_written`; None for nothing.
        persisted: What is on disk.
    """

    def __init__(
        self, cluster: ClusterConfiguration, voter: str, nonce: int, persisted: PersistentState | None
    ) -> None:
        """Begins the recovery of a voter that was just started.

        Args:
            cluster: The configuration under which it was started.
            voter: Its id.
            nonce: New at each start: a reply to the status of an earlier start counts for nothing.
            persisted: What it had on disk; None for nothing.

        Raises:
            VoterStateError: The set of voters was changed too often without its voting in between.
        """
        self.cluster, self.voter, self.nonce, self.persisted = cluster, voter, nonce, persisted
        self.other_voters = frozenset(cluster.voters) - {voter}
        self.replies: dict[str, VoterStatus] = {}  # the last one of each voter
        self.may_vote = False
        self.ready_ns: int | None = None
        self.ballot_floor = 0
        # That it has joined this configuration is on disk before anybody is sent its status. Others rely on
        # it: without that it could go back, or join yet another one, as if it had never joined.
        self.pending_state = self._joining_state(persisted)
        if self.pending_state is None:
            self._try_to_finish()

    @property
    def status(self) -> VoterStatus:
        """What it says of itself; only to be sent while `may_send_status`."""
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
        """Whether what its status says is on disk."""
        return self.may_vote or self.pending_state is None

    def receive_status(self, status: VoterStatus) -> None:
        """Takes note of another voter's reply to the status of this start; ignores anything else."""
        if status.voter not in self.other_voters or not status.is_reply or status.nonce != self.nonce:
            return
        self.replies[status.voter] = status
        if not self.may_vote and self.pending_state is None:
            self._try_to_finish()

    def state_written(self, state: PersistentState, now: int) -> None:
        """Notes that a `pending_state` is on disk.

        Args:
            state: What was written.
            now: This voter's time in nanoseconds.
        """
        self.persisted, self.pending_state = state, None
        if state.former_voter_sets or state.lost_state:
            self._try_to_finish()
        elif not self.may_vote:
            self.may_vote = True
            self.ready_ns = now + state.quiet_ns
            # The longer quiet period of another configuration need not be kept a second time.
            self.persisted = replace(state, quiet_ns=self.cluster.timing.restart_quiet_ns)

    def extend_ceiling(self, ballot: int) -> None:
        """Asks for room for another block of ballots above `ballot` to be persisted."""
        if self.pending_state is None and self.persisted is not None:
            self.pending_state = replace(self.persisted, ballot_ceiling=ballot + BALLOT_BLOCK)

    def _joining_state(self, persisted: PersistentState | None) -> PersistentState | None:
        """Returns what a start must persist first: nothing for a restart under the same configuration."""
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

        The recovery finishes with `state_written`: it may vote once that state is on disk.
        """
        persisted = self.persisted
        assert persisted is not None
        if not self._former_sets_are_over(persisted):
            return
        if persisted.lost_state and not self._ballots_are_known():
            return
        # One of those whom it counts was in each majority of the configurations that are over, so that no
        # ballot promised there is above these.
        floor = max(persisted.ballot_ceiling, *(reply.ballot_ceiling for reply in self.replies.values()), 0)
        self.ballot_floor = floor
        quiet_ns = max(persisted.quiet_ns, self.cluster.timing.restart_quiet_ns)
        self.pending_state = PersistentState(
            self.cluster.digest.hex(), self.cluster.voters, quiet_ns, floor + BALLOT_BLOCK
        )

    def _former_sets_are_over(self, persisted: PersistentState) -> bool:
        """Changed voter set: has a majority of each former set joined this configuration?"""
        joined = {self.voter, *self.replies}
        # Whom it counts may have joined by way of other configurations: those must be over as well.
        former_sets = {
            *persisted.former_voter_sets,
            *(tuple(voters) for reply in self.replies.values() for voters in reply.former_voter_sets),
        }
        return all(len(joined.intersection(voters)) >= majority(len(voters)) for voters in former_sets)

    def _ballots_are_known(self) -> bool:
        """Lost state: do the replies cover each majority that may have promised a ballot?"""
        replies, voter_count = self.replies.values(), len(self.cluster.voters)
        # A voter that neither may vote nor lost its state has joined from a configuration under which there
        # may be a majority still: it does not count.
        if len(replies) == len(self.other_voters) and all(
            reply.may_vote or reply.lost_state for reply in replies
        ):
            return True
        return sum(reply.may_vote for reply in replies) > voter_count - majority(voter_count)
