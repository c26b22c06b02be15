"""One contender by itself: what it believes, and from when."""

from __future__ import annotations

from lanelift.fleet.cluster import MS, LeaseTiming
from lanelift.fleet.messages import Response, Verdict
from lanelift.leases.proposer import MAX_OPEN_REQUESTS, Phase, Proposer

TIMING = LeaseTiming(lease_ns=1000 * MS, response_timeout_ns=50 * MS, stop_margin_ns=100 * MS, drift=0.01)
VALIDITY_NS = TIMING.validity_ns


class Desk:
    def __init__(self, voters: int = 3) -> None:
        self.proposer = Proposer("x", "p1", 7, TIMING, voters)

    def receive(self, voter: str, verdict: str, number: int, now: int, ballot: int | None = None) -> None:
        ballot = self.proposer.ballot if ballot is None else ballot
        self.proposer.receive(Response("x", 7, number, voter, verdict, ballot), now)

    def holds_since(self, sent: int) -> None:
        """It is given the lease by a and b, as sent then."""
        prepare = self.proposer.prepare(sent)
        for voter in "ab":
            self.receive(voter, Verdict.PROMISED, prepare.request_id, sent)
        accept = self.proposer.accept(sent)
        for voter in "ab":
            self.receive(voter, Verdict.ACCEPTED, accept.request_id, sent + 30 * MS)
        assert self.proposer.phase is Phase.HOLDING


def test_it_holds_from_the_sending_and_not_a_moment_longer() -> None:
    desk = Desk()
    desk.holds_since(5)
    assert desk.proposer.until_ns == 5 + VALIDITY_NS
    assert desk.proposer.holds(4 + VALIDITY_NS) and not desk.proposer.holds(5 + VALIDITY_NS)


def test_an_answer_counts_for_the_question_that_it_answers() -> None:
    """A majority that agreed to the first question, and one voter that agreed to the second: the first
    counts."""
    desk = Desk()
    desk.holds_since(0)
    second = desk.proposer.accept(400 * MS)
    third = desk.proposer.accept(600 * MS)
    desk.receive("a", Verdict.ACCEPTED, second.request_id, 650 * MS)
    assert desk.proposer.until_ns == VALIDITY_NS
    desk.receive("b", Verdict.ACCEPTED, third.request_id, 650 * MS)
    assert desk.proposer.until_ns == 400 * MS + VALIDITY_NS
    desk.receive("a", Verdict.ACCEPTED, 2, 700 * MS)  # an older one that comes late takes nothing back
    assert desk.proposer.until_ns == 400 * MS + VALIDITY_NS


def test_what_ran_out_is_not_revived_by_a_late_answer() -> None:
    desk = Desk()
    desk.holds_since(0)
    accept = desk.proposer.accept(VALIDITY_NS - 1)
    for voter in "ab":
        desk.receive(voter, Verdict.ACCEPTED, accept.request_id, VALIDITY_NS)
    assert desk.proposer.phase is Phase.OVER and not desk.proposer.holds(VALIDITY_NS)


def test_an_answer_that_comes_twice_counts_once() -> None:
    desk = Desk()
    prepare = desk.proposer.prepare(0)
    desk.receive("a", Verdict.PROMISED, prepare.request_id, 0)
    desk.receive("a", Verdict.PROMISED, prepare.request_id, 0)
    assert desk.proposer.phase is Phase.PREPARING


def test_answers_to_an_earlier_ballot_or_another_contender_count_for_nothing() -> None:
    desk = Desk()
    first = desk.proposer.prepare(0)
    desk.receive("a", Verdict.PROMISED, first.request_id, 0)
    second = desk.proposer.prepare(0)
    desk.receive("b", Verdict.PROMISED, first.request_id, 0, ballot=first.ballot)
    desk.proposer.receive(Response("x", 8, second.request_id, "c", Verdict.PROMISED, second.ballot), 0)
    desk.proposer.receive(Response("y", 7, second.request_id, "c", Verdict.PROMISED, second.ballot), 0)
    assert not desk.proposer.promised_by and second.ballot > first.ballot


def test_the_next_ballot_passes_what_was_heard_of() -> None:
    desk = Desk()
    prepare = desk.proposer.prepare(0)
    desk.receive("a", Verdict.STALE_BALLOT, prepare.request_id, 0, ballot=65_536)
    assert desk.proposer.prepare(0).ballot == 65_537


def test_questions_under_way_are_bounded() -> None:
    desk = Desk()
    desk.holds_since(0)
    for now in range(100):
        desk.proposer.accept(now)
    assert len(desk.proposer.sent_ns) == MAX_OPEN_REQUESTS


def test_released_it_holds_no_more_whatever_comes() -> None:
    desk = Desk()
    desk.holds_since(0)
    accept = desk.proposer.accept(1)
    desk.proposer.release()
    for voter in "ab":
        desk.receive(voter, Verdict.ACCEPTED, accept.request_id, 2)
    assert not desk.proposer.holds(3)


def test_it_climbs_past_voters_that_were_started_anew_and_holds_on_meanwhile() -> None:
    desk = Desk()
    desk.holds_since(0)
    token = desk.proposer.token
    accept = desk.proposer.accept(300 * MS)
    desk.receive("a", Verdict.ACCEPTED, accept.request_id, 310 * MS)
    desk.receive("b", Verdict.STALE_BALLOT, accept.request_id, 310 * MS, ballot=65_536)
    prepare = desk.proposer.prepare_next_ballot(320 * MS)
    assert (
        prepare.ballot == 65_537 and desk.proposer.holds(320 * MS) and desk.proposer.until_ns == VALIDITY_NS
    )
    for voter in "bc":
        desk.receive(voter, Verdict.PROMISED, prepare.request_id, 330 * MS, ballot=65_537)
    assert desk.proposer.until_ns == VALIDITY_NS  # a promise binds nobody
    accept = desk.proposer.accept(340 * MS)
    assert accept.ballot == 65_537
    desk.receive("b", Verdict.ACCEPTED, accept.request_id, 350 * MS)
    assert desk.proposer.until_ns == 300 * MS + VALIDITY_NS  # a under the former ballot, b under this one
    desk.receive("c", Verdict.ACCEPTED, accept.request_id, 350 * MS)
    assert desk.proposer.until_ns == 340 * MS + VALIDITY_NS and desk.proposer.token == token
