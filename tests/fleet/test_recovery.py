"""Voter recovery: restarts, lost state, changed voter sets.

A voter must never be able to vote while a majority of a former configuration may still exist.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest
from msgspec import structs

from lanelift.fleet.cluster import MS, ClusterConfiguration, LeaseTiming, Member
from lanelift.fleet.recovery import (
    BALLOT_BLOCK,
    MAX_FORMER_VOTER_SETS,
    PersistentState,
    VoterRecovery,
    VoterStateError,
)


def configuration(voters: str, lease_ms: int = 1000) -> ClusterConfiguration:
    timing = LeaseTiming(lease_ns=lease_ms * MS, response_timeout_ns=10 * MS, stop_margin_ns=100 * MS)
    return ClusterConfiguration("trust", tuple(Member(v, ("", 0)) for v in voters), timing)


@dataclass
class Fleet:
    """Voters with state files, each with its own configuration.

    Voters with the same configuration exchange statuses.
    """

    state_files: dict[str, PersistentState] = field(default_factory=dict)
    recoveries: dict[str, VoterRecovery] = field(default_factory=dict)
    starts: int = 0

    def start(self, cluster: ClusterConfiguration, *who: str) -> None:
        for name in who:
            self.starts += 1
            self.recoveries[name] = VoterRecovery(cluster, name, self.starts, self.state_files.get(name))
            self.write(name)

    def write(self, name: str) -> None:
        recovery = self.recoveries[name]
        while recovery.pending_state is not None:
            self.state_files[name] = recovery.pending_state
            recovery.state_written(recovery.pending_state, 0)

    def exchange_statuses(self) -> None:
        for _ in range(3):
            for name, recovery in self.recoveries.items():
                for other in self.recoveries.values():
                    if (
                        other is not recovery
                        and other.cluster.digest == recovery.cluster.digest
                        and other.may_send_status
                    ):
                        recovery.receive_status(
                            structs.replace(other.status, nonce=recovery.nonce, is_reply=True)
                        )
                self.write(name)

    def voting(self) -> str:
        return "".join(sorted(name for name, recovery in self.recoveries.items() if recovery.may_vote))


@pytest.mark.parametrize("voters", ["a", "ab", "abc", "abcde"])
def test_a_new_fleet_votes_once_all_voters_are_started(voters: str) -> None:
    """Up to five voters of a new fleet start one after the other: none votes before the last one has started.

    No voter has any state, so each voter's former state may have been lost, and a majority may have given a
    lease. Only all voters together know that there was no lease.
    """
    fleet = Fleet()
    fleet.start(configuration(voters), *voters[:-1])
    fleet.exchange_statuses()
    assert fleet.voting() == ""
    fleet.start(configuration(voters), voters[-1])
    fleet.exchange_statuses()
    assert fleet.voting() == voters
    assert all(state.ballot_ceiling >= BALLOT_BLOCK for state in fleet.state_files.values())


def test_a_restarted_voter_is_quiet_and_promises_above_its_ceiling() -> None:
    """A voter is restarted and has forgotten its votes and promises.

    It may vote without a status of other voters, but only after the quiet period, and only on ballots above
    its persisted ceiling.
    """
    fleet = Fleet()
    fleet.start(configuration("abc"), *"abc")
    fleet.exchange_statuses()
    fleet.start(configuration("abc"), "a")  # voter a needs no status of other voters
    recovery = fleet.recoveries["a"]
    assert recovery.may_vote and recovery.ready_ns == 1000 * MS
    assert recovery.ballot_floor == BALLOT_BLOCK and fleet.state_files["a"].ballot_ceiling == 2 * BALLOT_BLOCK


def test_a_voter_that_lost_its_state_needs_one_of_each_majority() -> None:
    """The disk of voter a is lost while voters c and d are down.

    a, c and d may have been a majority whose promises b and e do not know, so the statuses of b and e do not
    suffice for a to vote again. With the status of c they do, and a promises only above the highest ceiling.
    """
    fleet = Fleet()
    fleet.start(configuration("abcde"), *"abcde")
    fleet.exchange_statuses()
    fleet.state_files["b"] = replace(fleet.state_files["b"], ballot_ceiling=7 * BALLOT_BLOCK)
    fleet.start(configuration("abcde"), "b")
    del fleet.state_files["a"]
    for name in "cd":
        del fleet.recoveries[name]
    fleet.start(configuration("abcde"), "a")
    fleet.exchange_statuses()
    assert "a" not in fleet.voting()  # b and e do not suffice: a, c and d may have been a majority
    fleet.start(configuration("abcde"), "c")
    fleet.exchange_statuses()
    assert "a" in fleet.voting() and fleet.recoveries["a"].ballot_floor >= 7 * BALLOT_BLOCK


def test_a_reply_to_an_earlier_start_is_ignored() -> None:
    """A late reply to the status of an earlier start is received.

    Its contents may be outdated, so the voter ignores it.
    """
    fleet = Fleet()
    fleet.start(configuration("ab"), "a", "b")
    status = fleet.recoveries["b"].status
    fleet.recoveries["a"].receive_status(type(status)("b", 77, True, False, 0, True))
    assert not fleet.recoveries["a"].replies


def test_a_changed_voter_set_waits_for_a_majority_of_the_former_one() -> None:
    """Voters are added: d and e join while b and c still vote under the former configuration.

    b and c could still give a lease to another proposer. No voter votes under the new configuration before b
    has joined it and c alone is no longer a majority.
    """
    fleet = Fleet()
    fleet.start(configuration("abc"), *"abc")
    fleet.exchange_statuses()
    new = configuration("abcde")
    fleet.start(new, *"ade")
    fleet.exchange_statuses()
    assert fleet.voting() == "bc"  # the former configuration still has a majority, b and c
    fleet.start(new, "b")
    fleet.exchange_statuses()
    assert fleet.voting() == "abc"  # c is alone under the former configuration; d and e have too few replies
    fleet.start(new, "c")
    fleet.exchange_statuses()
    assert fleet.voting() == "abcde"


def test_a_voter_that_returns_to_a_former_configuration_waits_for_a_majority() -> None:
    """b joins the new configuration, and a relies on that join; then b is restarted under the former one.

    b and c would be a majority of the former configuration again, while a and d run under the new one. b may
    vote only once a majority of the new configuration has returned as well.
    """
    fleet = Fleet()
    fleet.start(configuration("abc"), *"abc")
    fleet.exchange_statuses()
    new = configuration("abd")
    fleet.start(new, *"abd")
    fleet.exchange_statuses()
    assert set(fleet.voting()) == set("abcd")  # voter c alone is no longer a majority
    fleet.start(configuration("abc"), "b")
    fleet.exchange_statuses()
    assert not fleet.recoveries["b"].may_vote
    fleet.start(configuration("abc"), "a")  # a majority of the new configuration has returned
    fleet.exchange_statuses()
    assert fleet.recoveries["a"].may_vote and fleet.recoveries["b"].may_vote


def test_two_of_three_voters_replaced_together_may_not_vote() -> None:
    """Two of three voters are replaced in one change, against the operating instructions.

    The two former voters still are a majority of the former configuration, so the new voters never vote.
    """
    fleet = Fleet()
    fleet.start(configuration("abc"), *"abc")
    fleet.exchange_statuses()
    fleet.start(configuration("ade"), *"ade")
    fleet.exchange_statuses()
    assert fleet.voting() == "bc"


def test_a_shortened_lease_starts_after_the_quiet_period_of_the_longer_one() -> None:
    """The lease is shortened from 5 s to 1 s, and the voters are restarted.

    Votes for 5 s may still bind the voters, so they are quiet for 5 s, also after another restart. Once a
    state with the shorter quiet period is persisted, the shorter period applies.
    """
    fleet = Fleet()
    fleet.start(configuration("abc", 5000), *"abc")
    fleet.exchange_statuses()
    fleet.start(configuration("abc", 1000), *"abc")
    fleet.exchange_statuses()
    assert {recovery.ready_ns for recovery in fleet.recoveries.values()} == {5000 * MS}
    fleet.start(configuration("abc", 1000), "a")  # the longer quiet period also applies after another restart
    assert fleet.recoveries["a"].ready_ns == 5000 * MS
    fleet.recoveries["a"].extend_ceiling(BALLOT_BLOCK)
    fleet.write("a")
    fleet.start(configuration("abc", 1000), "a")
    assert fleet.recoveries["a"].ready_ns == 1000 * MS


def test_too_many_changes_in_a_row_are_rejected() -> None:
    """The operator's file is changed repeatedly, and the voter never votes in between.

    The number of former voter sets is bounded: the voter's start fails with an error that names the bound.
    """
    state = PersistentState("00", ("a",), 1, 1, tuple((f"v{i}",) for i in range(MAX_FORMER_VOTER_SETS)))
    with pytest.raises(VoterStateError, match=f"allowed: {MAX_FORMER_VOTER_SETS}"):
        VoterRecovery(configuration("abc"), "a", 1, state)


def test_a_voter_that_joined_a_new_fleet_does_not_start_another_one() -> None:
    """a and b vote because c, which had no state, had started; then c is started with another configuration.

    c has not voted yet and knows no ballot. Even so c may not start a second new fleet with two other voters,
    as its state records that it joined the first fleet.
    """
    fleet = Fleet()
    fleet.start(configuration("abc"), *"abc")
    for name in "ab":
        for other in "abc":
            if other != name:
                status = fleet.recoveries[other].status
                fleet.recoveries[name].receive_status(
                    type(status)(
                        other, fleet.recoveries[name].nonce, status.may_vote, status.lost_state, 0, True
                    )
                )
        fleet.write(name)
    assert fleet.voting() == "ab"
    fleet.start(configuration("cde"), *"cde")
    fleet.exchange_statuses()
    assert fleet.voting() == "ab"


def test_former_configurations_of_the_other_voters_must_end_as_well() -> None:
    """b returns from the second configuration to the first one, and relies on c.

    In the meantime c was under a third configuration, which still has a majority. The status of c lists that
    configuration, and b waits until its majority has ended as well.
    """
    fleet = Fleet()
    for voters, who in (("abc", "abc"), ("bcd", "bcd"), ("cde", "cde"), ("abc", "bc")):
        fleet.start(configuration(voters), *who)
        fleet.exchange_statuses()
    assert not fleet.recoveries["b"].may_vote and not fleet.recoveries["c"].may_vote
    # these voters contain a majority of each former configuration
    fleet.start(configuration("bcde"), *"bcde")
    fleet.exchange_statuses()
    assert set(fleet.voting()) >= set("bcde")


def test_a_voter_promises_above_the_ceilings_of_the_voters_it_relies_on() -> None:
    """Under the second configuration c promised higher ballots than b; then both return to the first one.

    a and b are a majority of the first configuration, and must not give a token below one that c voted for:
    b promises only ballots above the ceiling of c.
    """
    fleet = Fleet()
    fleet.start(configuration("abc"), *"abc")
    fleet.exchange_statuses()
    fleet.start(configuration("bcd"), *"bcd")
    fleet.exchange_statuses()
    fleet.recoveries["c"].extend_ceiling(50 * BALLOT_BLOCK)
    fleet.write("c")
    fleet.start(configuration("abc"), *"bc")
    fleet.exchange_statuses()
    assert fleet.recoveries["b"].may_vote and fleet.recoveries["b"].ballot_floor >= 51 * BALLOT_BLOCK
