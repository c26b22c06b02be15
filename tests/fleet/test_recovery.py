"""Voter recovery: restarts, lost state, changed voter sets.

What must never be: a voter that may vote while a majority of a former configuration still could be.
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
    """Voters with state files, each under a configuration of its own.

    Those under the same configuration exchange statuses.
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
def test_a_new_fleet_begins_once_all_are_there(voters: str) -> None:
    """Five voters of a new fleet start one after the other: none votes before the last one is there.

    Nobody has any state, so that a majority might have been given a lease by voters that lost theirs.
    Only all voters together know that there never was one.
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

    It may vote without asking anybody, but only after the quiet period, and only on ballots above the
    ceiling that it had persisted.
    """
    fleet = Fleet()
    fleet.start(configuration("abc"), *"abc")
    fleet.exchange_statuses()
    fleet.start(configuration("abc"), "a")  # nobody needs to be asked
    recovery = fleet.recoveries["a"]
    assert recovery.may_vote and recovery.ready_ns == 1000 * MS
    assert recovery.ballot_floor == BALLOT_BLOCK and fleet.state_files["a"].ballot_ceiling == 2 * BALLOT_BLOCK


def test_a_voter_that_lost_its_state_needs_one_of_each_majority() -> None:
    """The disk of a is lost while c and d are down.

    a, c and d may have been a majority that nobody else remembers: b and e do not suffice for a to vote
    again. With c they do, and a promises only above the highest of their ceilings.
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
    assert "a" not in fleet.voting()  # b and e alone: c, d and a itself may have been a majority
    fleet.start(configuration("abcde"), "c")
    fleet.exchange_statuses()
    assert "a" in fleet.voting() and fleet.recoveries["a"].ballot_floor >= 7 * BALLOT_BLOCK


def test_a_reply_to_an_earlier_start_counts_for_nothing() -> None:
    """A late reply to the status of an earlier start is received.

    What it says may have changed since: it is ignored.
    """
    fleet = Fleet()
    fleet.start(configuration("ab"), "a", "b")
    status = fleet.recoveries["b"].status
    fleet.recoveries["a"].receive_status(type(status)("b", 77, True, False, 0, True))
    assert not fleet.recoveries["a"].replies


def test_a_changed_voter_set_waits_for_a_majority_of_the_former_one() -> None:
    """Voters are added: d and e join while b and c still vote under the former configuration.

    b and c could give a lease to somebody else. Nobody votes under the new configuration before b has
    joined it, and c is no majority any more.
    """
    fleet = Fleet()
    fleet.start(configuration("abc"), *"abc")
    fleet.exchange_statuses()
    new = configuration("abcde")
    fleet.start(new, *"ade")
    fleet.exchange_statuses()
    assert fleet.voting() == "bc"  # the former plan still has a majority: b and c
    fleet.start(new, "b")
    fleet.exchange_statuses()
    assert fleet.voting() == "abc"  # c still under the former one, alone; d and e know of too few
    fleet.start(new, "c")
    fleet.exchange_statuses()
    assert fleet.voting() == "abcde"


def test_a_voter_that_joined_does_not_go_back_as_if_it_had_not() -> None:
    """a relies on b's having joined the new configuration; then b's file is put back.

    b and c would be a majority of the former configuration again, beside a and d under the new one. b may
    only vote once a majority of the new one is back as well.
    """
    fleet = Fleet()
    fleet.start(configuration("abc"), *"abc")
    fleet.exchange_statuses()
    new = configuration("abd")
    fleet.start(new, *"abd")
    fleet.exchange_statuses()
    assert set(fleet.voting()) == set("abcd")  # c alone is none any more
    fleet.start(configuration("abc"), "b")
    fleet.exchange_statuses()
    assert not fleet.recoveries["b"].may_vote
    fleet.start(configuration("abc"), "a")  # now most of those of the new plan are back, too
    fleet.exchange_statuses()
    assert fleet.recoveries["a"].may_vote and fleet.recoveries["b"].may_vote


def test_two_voters_replaced_at_once_may_not_vote() -> None:
    """Two of three voters are replaced at once, against the operating page.

    The two former voters still are a majority of the former configuration: the new ones never vote.
    """
    fleet = Fleet()
    fleet.start(configuration("abc"), *"abc")
    fleet.exchange_statuses()
    fleet.start(configuration("ade"), *"ade")
    fleet.exchange_statuses()
    assert fleet.voting() == "bc"


def test_shorter_leases_begin_after_a_quiet_period_of_the_longer_ones() -> None:
    """The lease is shortened from 5 s to 1 s, and the voters are restarted.

    Votes for 5 s may still bind: all are quiet for that long, also after another restart. Once a state
    without them is persisted the quiet period is the short one.
    """
    fleet = Fleet()
    fleet.start(configuration("abc", 5000), *"abc")
    fleet.exchange_statuses()
    fleet.start(configuration("abc", 1000), *"abc")
    fleet.exchange_statuses()
    assert {recovery.ready_ns for recovery in fleet.recoveries.values()} == {5000 * MS}
    fleet.start(configuration("abc", 1000), "a")  # also where it is started anew in between
    assert fleet.recoveries["a"].ready_ns == 5000 * MS
    fleet.recoveries["a"].extend_ceiling(BALLOT_BLOCK)
    fleet.write("a")
    fleet.start(configuration("abc", 1000), "a")
    assert fleet.recoveries["a"].ready_ns == 1000 * MS


def test_too_many_changes_in_a_row_are_rejected() -> None:
    """A file is edited again and again, and the voter never votes in between.

    What it must remember is bounded: it ends with an error that says so.
    """
    state = PersistentState("00", ("a",), 1, 1, tuple((f"v{i}",) for i in range(MAX_FORMER_VOTER_SETS)))
    with pytest.raises(VoterStateError, match=f"allowed: {MAX_FORMER_VOTER_SETS}"):
        VoterRecovery(configuration("abc"), "a", 1, state)


def test_a_voter_that_joined_a_new_fleet_does_not_begin_another_one() -> None:
    """a and b vote since c, which had no state, was there; then c is put under another configuration.

    c has not voted yet, and knows of nothing. Still it may not begin a second new fleet with two others:
    that it had joined the first one is persisted.
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


def test_configurations_that_others_came_by_are_waited_for() -> None:
    """b goes back from the second configuration to the first one, relying on c.

    c was under a third one meanwhile, which lives on. Its status says so, and b waits for the third one's
    end as well.
    """
    fleet = Fleet()
    for voters, who in (("abc", "abc"), ("bcd", "bcd"), ("cde", "cde"), ("abc", "bc")):
        fleet.start(configuration(voters), *who)
        fleet.exchange_statuses()
    assert not fleet.recoveries["b"].may_vote and not fleet.recoveries["c"].may_vote
    fleet.start(configuration("bcde"), *"bcde")  # a plan with a majority of each of those that it comes from
    fleet.exchange_statuses()
    assert set(fleet.voting()) >= set("bcde")


def test_it_promises_above_the_ballots_of_those_it_relies_on() -> None:
    """c promised more under the second configuration than b did, and both go back to the first one.

    a and b are a majority there, and must not give a smaller token than c's: b promises only above c's
    ceiling.
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
