"""Seats: restarts, lost disks, other plans. What must never be: a seat while a former majority could still
be."""

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


def plan(voters: str, lease_ms: int = 1000) -> ClusterConfiguration:
    timing = LeaseTiming(lease_ns=lease_ms * MS, response_timeout_ns=10 * MS, stop_margin_ns=100 * MS)
    return ClusterConfiguration("trust", tuple(Member(v, ("", 0)) for v in voters), timing)


@dataclass
class Town:
    """Voters with disks, each under a plan of its own; those under the same plan hear each other."""

    disks: dict[str, PersistentState] = field(default_factory=dict)
    recoveries: dict[str, VoterRecovery] = field(default_factory=dict)
    starts: int = 0

    def start(self, plan: ClusterConfiguration, *who: str) -> None:
        for name in who:
            self.starts += 1
            self.recoveries[name] = VoterRecovery(plan, name, self.starts, self.disks.get(name))
            self.write(name)

    def write(self, name: str) -> None:
        recovery = self.recoveries[name]
        while recovery.pending_state is not None:
            self.disks[name] = recovery.pending_state
            recovery.state_written(recovery.pending_state, 0)

    def talk(self) -> None:
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

    def seated(self) -> str:
        return "".join(sorted(name for name, recovery in self.recoveries.items() if recovery.may_vote))


@pytest.mark.parametrize("voters", ["a", "ab", "abc", "abcde"])
def test_a_new_fleet_begins_once_all_are_there(voters: str) -> None:
    town = Town()
    town.start(plan(voters), *voters[:-1])
    town.talk()
    assert town.seated() == ""
    town.start(plan(voters), voters[-1])
    town.talk()
    assert town.seated() == voters
    assert all(kept.ballot_ceiling >= BALLOT_BLOCK for kept in town.disks.values())


def test_a_start_anew_is_silent_and_goes_on_above_its_ceiling() -> None:
    town = Town()
    town.start(plan("abc"), *"abc")
    town.talk()
    town.start(plan("abc"), "a")  # nobody needs to be asked
    recovery = town.recoveries["a"]
    assert recovery.may_vote and recovery.ready_ns == 1000 * MS
    assert recovery.ballot_floor == BALLOT_BLOCK and town.disks["a"].ballot_ceiling == 2 * BALLOT_BLOCK


def test_a_lost_disk_needs_one_of_each_majority_that_was() -> None:
    town = Town()
    town.start(plan("abcde"), *"abcde")
    town.talk()
    town.disks["b"] = replace(town.disks["b"], ballot_ceiling=7 * BALLOT_BLOCK)
    town.start(plan("abcde"), "b")
    del town.disks["a"]
    for name in "cd":
        del town.recoveries[name]
    town.start(plan("abcde"), "a")
    town.talk()
    assert "a" not in town.seated()  # b and e alone: c, d and a itself may have been a majority
    town.start(plan("abcde"), "c")
    town.talk()
    assert "a" in town.seated() and town.recoveries["a"].ballot_floor >= 7 * BALLOT_BLOCK


def test_an_answer_to_an_earlier_start_counts_for_nothing() -> None:
    town = Town()
    town.start(plan("ab"), "a", "b")
    status = town.recoveries["b"].status
    town.recoveries["a"].receive_status(type(status)("b", 77, True, False, 0, True))
    assert not town.recoveries["a"].replies


def test_another_plan_waits_for_a_majority_of_the_former_voters() -> None:
    town = Town()
    town.start(plan("abc"), *"abc")
    town.talk()
    new = plan("abcde")
    town.start(new, *"ade")
    town.talk()
    assert town.seated() == "bc"  # the former plan still has a majority: b and c
    town.start(new, "b")
    town.talk()
    assert town.seated() == "abc"  # c still under the former one, alone; d and e know of too few
    town.start(new, "c")
    town.talk()
    assert town.seated() == "abcde"


def test_who_came_over_does_not_go_back_as_if_nothing_had_happened() -> None:
    """a builds on b's having come over; b's file is put back, and b and c would be a majority again."""
    town = Town()
    town.start(plan("abc"), *"abc")
    town.talk()
    new = plan("abd")
    town.start(new, *"abd")
    town.talk()
    assert set(town.seated()) == set("abcd")  # c alone is none any more
    town.start(plan("abc"), "b")
    town.talk()
    assert not town.recoveries["b"].may_vote
    town.start(plan("abc"), "a")  # now most of those of the new plan are back, too
    town.talk()
    assert town.recoveries["a"].may_vote and town.recoveries["b"].may_vote


def test_two_voters_replaced_at_once_are_not_seated() -> None:
    town = Town()
    town.start(plan("abc"), *"abc")
    town.talk()
    town.start(plan("ade"), *"ade")
    town.talk()
    assert town.seated() == "bc"


def test_a_plan_with_shorter_leases_is_silent_for_the_longer_ones() -> None:
    town = Town()
    town.start(plan("abc", 5000), *"abc")
    town.talk()
    town.start(plan("abc", 1000), *"abc")
    town.talk()
    assert {recovery.ready_ns for recovery in town.recoveries.values()} == {5000 * MS}
    town.start(plan("abc", 1000), "a")  # also where it is started anew in between
    assert town.recoveries["a"].ready_ns == 5000 * MS
    town.recoveries["a"].extend_ceiling(BALLOT_BLOCK)
    town.write("a")
    town.start(plan("abc", 1000), "a")
    assert town.recoveries["a"].ready_ns == 1000 * MS


def test_too_many_plans_in_a_row_are_refused() -> None:
    kept = PersistentState("00", ("a",), 1, 1, tuple((f"v{i}",) for i in range(MAX_FORMER_VOTER_SETS)))
    with pytest.raises(VoterStateError, match=f"allowed: {MAX_FORMER_VOTER_SETS}"):
        VoterRecovery(plan("abc"), "a", 1, kept)


def test_who_came_to_a_new_fleet_does_not_begin_another_one_instead() -> None:
    """a and b are seated since c, blank, was there; c is put under another plan before it was seated
    itself."""
    town = Town()
    town.start(plan("abc"), *"abc")
    for name in "ab":
        for other in "abc":
            if other != name:
                said = town.recoveries[other].status
                town.recoveries[name].receive_status(
                    type(said)(other, town.recoveries[name].nonce, said.may_vote, said.lost_state, 0, True)
                )
        town.write(name)
    assert town.seated() == "ab"
    town.start(plan("cde"), *"cde")
    town.talk()
    assert town.seated() == "ab"


def test_plans_that_others_came_by_are_waited_for_as_well() -> None:
    """b goes back from the second plan to the first one by c's word, who was under a third one that lives
    on."""
    town = Town()
    for voters, who in (("abc", "abc"), ("bcd", "bcd"), ("cde", "cde"), ("abc", "bc")):
        town.start(plan(voters), *who)
        town.talk()
    assert not town.recoveries["b"].may_vote and not town.recoveries["c"].may_vote
    town.start(plan("bcde"), *"bcde")  # a plan with a majority of each of those that it comes from
    town.talk()
    assert set(town.seated()) >= set("bcde")


def test_it_begins_above_the_ballots_of_those_on_whose_word_it_has_its_seat() -> None:
    """c promised more under the second plan than b did; back under the first one, a and b are a majority."""
    town = Town()
    town.start(plan("abc"), *"abc")
    town.talk()
    town.start(plan("bcd"), *"bcd")
    town.talk()
    town.recoveries["c"].extend_ceiling(50 * BALLOT_BLOCK)
    town.write("c")
    town.start(plan("abc"), *"bc")
    town.talk()
    assert town.recoveries["b"].may_vote and town.recoveries["b"].ballot_floor >= 51 * BALLOT_BLOCK
