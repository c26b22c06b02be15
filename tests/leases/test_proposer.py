"""One proposer in isolation: whether it holds the lease, and until when."""

from __future__ import annotations

from lanelift.fleet.cluster import MS, LeaseTiming
from lanelift.fleet.messages import Response, Verdict
from lanelift.leases.proposer import MAX_OPEN_REQUESTS, Phase, Proposer

TIMING = LeaseTiming(lease_ns=1000 * MS, response_timeout_ns=50 * MS, stop_margin_ns=100 * MS, drift=0.01)
VALIDITY_NS = TIMING.validity_ns


class Driver:
    def __init__(self, voters: int = 3) -> None:
        self.proposer = Proposer("x", "p1", 7, TIMING, voters)

    def receive(self, voter: str, verdict: str, number: int, now: int, ballot: int | None = None) -> None:
        ballot = self.proposer.ballot if ballot is None else ballot
        self.proposer.receive(Response("x", 7, number, voter, verdict, ballot), now)

    def holds_since(self, sent: int) -> None:
        """Makes voters a and b promise and accept requests that were sent at this time."""
        prepare = self.proposer.prepare(sent)
        for voter in "ab":
            self.receive(voter, Verdict.PROMISED, prepare.request_id, sent)
        accept = self.proposer.accept(sent)
        for voter in "ab":
            self.receive(voter, Verdict.ACCEPTED, accept.request_id, sent + 30 * MS)
        assert self.proposer.phase is Phase.HOLDING


def test_the_validity_counts_from_when_the_request_was_sent() -> None:
    """The lease runs from when the accepted request was sent, not from when responses were received."""
    driver = Driver()
    driver.holds_since(5)
    assert driver.proposer.until_ns == 5 + VALIDITY_NS
    assert driver.proposer.holds(4 + VALIDITY_NS) and not driver.proposer.holds(5 + VALIDITY_NS)


def test_a_response_counts_for_its_own_request() -> None:
    """A majority accepts the first request, but only one voter accepts each of the later ones.

    The duration of the lease counts from the latest request that a majority has accepted. A late response
    does not shorten it.
    """
    driver = Driver()
    driver.holds_since(0)
    second = driver.proposer.accept(400 * MS)
    third = driver.proposer.accept(600 * MS)
    driver.receive("a", Verdict.ACCEPTED, second.request_id, 650 * MS)
    assert driver.proposer.until_ns == VALIDITY_NS
    driver.receive("b", Verdict.ACCEPTED, third.request_id, 650 * MS)
    assert driver.proposer.until_ns == 400 * MS + VALIDITY_NS
    driver.receive("a", Verdict.ACCEPTED, 2, 700 * MS)  # a late response to an older request
    assert driver.proposer.until_ns == 400 * MS + VALIDITY_NS


def test_an_expired_lease_is_not_revived_by_a_late_response() -> None:
    """The responses to a renewal are received at the moment when the lease ends.

    The holder's task has been ended by then, so the proposer's run is over and can't be revived.
    """
    driver = Driver()
    driver.holds_since(0)
    accept = driver.proposer.accept(VALIDITY_NS - 1)
    for voter in "ab":
        driver.receive(voter, Verdict.ACCEPTED, accept.request_id, VALIDITY_NS)
    assert driver.proposer.phase is Phase.OVER and not driver.proposer.holds(VALIDITY_NS)


def test_a_response_that_is_received_twice_counts_once() -> None:
    """The network duplicates a voter's promise, which still counts once."""
    driver = Driver()
    prepare = driver.proposer.prepare(0)
    driver.receive("a", Verdict.PROMISED, prepare.request_id, 0)
    driver.receive("a", Verdict.PROMISED, prepare.request_id, 0)
    assert driver.proposer.phase is Phase.PREPARING


def test_responses_to_an_earlier_ballot_or_another_proposer_are_ignored() -> None:
    """The proposer ignores responses to its former ballot, to another proposer and for another lease."""
    driver = Driver()
    first = driver.proposer.prepare(0)
    driver.receive("a", Verdict.PROMISED, first.request_id, 0)
    second = driver.proposer.prepare(0)
    driver.receive("b", Verdict.PROMISED, first.request_id, 0, ballot=first.ballot)
    driver.proposer.receive(Response("x", 8, second.request_id, "c", Verdict.PROMISED, second.ballot), 0)
    driver.proposer.receive(Response("y", 7, second.request_id, "c", Verdict.PROMISED, second.ballot), 0)
    assert not driver.proposer.promised_by and second.ballot > first.ballot


def test_the_next_ballot_exceeds_the_ballot_that_a_rejection_named() -> None:
    """A restarted voter promises only above its ceiling; the proposer's next ballot exceeds the ceiling."""
    driver = Driver()
    prepare = driver.proposer.prepare(0)
    driver.receive("a", Verdict.STALE_BALLOT, prepare.request_id, 0, ballot=65_536)
    assert driver.proposer.prepare(0).ballot == 65_537


def test_open_requests_are_bounded() -> None:
    """No voter responds for long while the proposer keeps sending; it stores only its last requests."""
    driver = Driver()
    driver.holds_since(0)
    for now in range(100):
        driver.proposer.accept(now)
    assert len(driver.proposer.sent_ns) == MAX_OPEN_REQUESTS


def test_responses_after_a_release_do_not_restore_the_lease() -> None:
    """Responses to a renewal are received after the release: the lease is not held again."""
    driver = Driver()
    driver.holds_since(0)
    accept = driver.proposer.accept(1)
    driver.proposer.release()
    for voter in "ab":
        driver.receive(voter, Verdict.ACCEPTED, accept.request_id, 2)
    assert not driver.proposer.holds(3)


def test_a_holder_exceeds_the_ballots_of_restarted_voters_and_keeps_its_lease() -> None:
    """Two of three voters are restarted in turn while the lease is held, and then promise higher ballots.

    The proposer prepares a higher ballot, holds the lease under the former one in the meantime, and keeps its
    token. A promise does not bind a voter: only acceptances count.
    """
    driver = Driver()
    driver.holds_since(0)
    token = driver.proposer.token
    accept = driver.proposer.accept(300 * MS)
    driver.receive("a", Verdict.ACCEPTED, accept.request_id, 310 * MS)
    driver.receive("b", Verdict.STALE_BALLOT, accept.request_id, 310 * MS, ballot=65_536)
    prepare = driver.proposer.prepare_next_ballot(320 * MS)
    assert (
        prepare.ballot == 65_537
        and driver.proposer.holds(320 * MS)
        and driver.proposer.until_ns == VALIDITY_NS
    )
    for voter in "bc":
        driver.receive(voter, Verdict.PROMISED, prepare.request_id, 330 * MS, ballot=65_537)
    assert driver.proposer.until_ns == VALIDITY_NS  # a voter that only promised is not bound
    accept = driver.proposer.accept(340 * MS)
    assert accept.ballot == 65_537
    driver.receive("b", Verdict.ACCEPTED, accept.request_id, 350 * MS)
    # voter a accepted the former ballot, and voter b the new one
    assert driver.proposer.until_ns == 300 * MS + VALIDITY_NS
    driver.receive("c", Verdict.ACCEPTED, accept.request_id, 350 * MS)
    assert driver.proposer.until_ns == 340 * MS + VALIDITY_NS and driver.proposer.token == token
