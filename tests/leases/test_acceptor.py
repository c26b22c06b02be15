"""One acceptor in isolation: its rules, queue, successors, bounds and lists."""

from __future__ import annotations

import pytest

from lanelift.fleet.cluster import MS, LeaseTiming
from lanelift.fleet.messages import MAX_LEASES_PER_PAGE, Accept, Prepare, Release, Response
from lanelift.leases import acceptor
from lanelift.leases.acceptor import MAX_WAITERS, Acceptor

TIMING = LeaseTiming(lease_ns=1000 * MS, response_timeout_ns=50 * MS, stop_margin_ns=100 * MS, drift=0.01)


class Driver:
    def __init__(self) -> None:
        self.acceptor, self.now, self.request_id = Acceptor("a", TIMING, 100, 100_000, 0), 0, 0

    def prepare(
        self, nonce: int, ballot: int = 101, name: str = "x", waited_ms: int = 0, wants_queue: bool = True
    ) -> Response:
        self.request_id += 1
        response = self.acceptor.prepare(
            Prepare(name, ballot, nonce, f"p{nonce}", self.request_id, waited_ms * MS, wants_queue),
            nonce,
            self.now,
        )
        assert response is not None
        return response

    def accept(self, nonce: int, ballot: int = 101, name: str = "x") -> Response:
        self.request_id += 1
        return self.acceptor.accept(Accept(name, ballot, nonce, f"p{nonce}", self.request_id), self.now)

    def give(self, nonce: int, ballot: int, name: str = "x") -> None:
        assert self.prepare(nonce, ballot, name).verdict == "promised"
        assert self.accept(nonce, ballot, name).verdict == "taken"

    def release(self, nonce: int, ballot: int, to: str = "") -> list[tuple[object, Response]]:
        return self.acceptor.release(Release("x", ballot, nonce, 0, to), self.now)


def test_ballots_rise_and_a_rejection_names_the_ballot_to_exceed() -> None:
    """A proposer sends a ballot that is too low, and another one sends a ballot that was already promised.

    Rule 1: both are rejected, and the rejection names the ballot that the proposer's next ballot must exceed.
    """
    driver = Driver()
    assert driver.prepare(1, 100).ballot == 100 and driver.prepare(1, 100).verdict == "behind"
    driver.give(1, 101)
    assert driver.accept(1, 101).verdict == "taken"  # a repeated accept renews the vote
    assert driver.accept(2, 101).verdict == "behind"


def test_a_ballot_above_the_ceiling_is_promised_only_after_a_write() -> None:
    """A proposer requests a promise above the persisted ceiling.

    A restart could forget the promise: the acceptor does not respond before a higher ceiling is on disk.
    """
    driver = Driver()
    assert driver.acceptor.prepare(Prepare("x", 100_001, 1, "p1", 1), 1, 0) is None
    assert driver.acceptor.requested_ballot == 100_001
    driver.acceptor.raise_ceiling(200_000)
    assert driver.prepare(1, 100_001).verdict == "promised" and not driver.acceptor.requested_ballot


def test_the_longest_waiter_comes_first_and_is_notified() -> None:
    """Three proposers wait for a held lease, which is then released.

    The proposer that waited longest is notified; until it has had its turn, the other proposers are rejected.
    """
    driver = Driver()
    driver.give(1, 101)
    driver.now = 10 * MS
    assert [driver.prepare(n, waited_ms=w).queue_position for n, w in ((2, 0), (3, 5), (4, 2))] == [1, 1, 2]
    responses = driver.release(1, 101)
    assert [(to, a.verdict) for to, a in responses] == [(None, "released"), (3, "free")]
    assert driver.prepare(2, 102).verdict == "turn"
    assert (
        driver.prepare(5, 102, wants_queue=False).verdict == "turn"
    )  # a proposer outside the queue does not pass the waiters
    assert driver.prepare(3, 102).verdict == "promised"


def test_the_first_waiter_does_not_keep_others_out_for_ever() -> None:
    """The first waiter reaches this voter but never gets a majority.

    After the head-of-queue window the acceptor promises any proposer.
    """
    driver = Driver()
    driver.give(1, 101)
    driver.prepare(2)
    driver.release(1, 101)
    driver.now += TIMING.queue_head_window_ns - 1
    driver.prepare(2, 50)  # the first waiter is in the queue, but its ballot is stale
    assert driver.prepare(3, 102).verdict == "turn"
    driver.now += 1
    assert driver.prepare(3, 102).verdict == "promised"


def test_a_waiter_that_sends_nothing_loses_its_position() -> None:
    """A waiter dies.

    After three missing polls the acceptor drops it from the queue.
    """
    driver = Driver()
    driver.give(1, 101)
    driver.prepare(2)
    driver.now += TIMING.waiter_expiry_ns
    assert driver.prepare(3).queue_position == 1


def test_a_released_lease_is_reserved_for_its_successor_for_a_while() -> None:
    """A holder names its successor, which may be dead.

    During the head-of-queue window no other proposer gets the lease; after it any proposer may.
    """
    driver = Driver()
    driver.give(1, 101)
    assert driver.release(1, 101, "p3")[0][1].verdict == "released"
    assert driver.prepare(2, 102).verdict == "turn"
    assert driver.prepare(3, 102).verdict == "promised"
    driver.now += TIMING.queue_head_window_ns
    assert driver.prepare(2, 103, wants_queue=False).verdict == "promised"


def test_a_late_renewal_does_not_bind_a_voter_after_the_release() -> None:
    """A renewal was delayed by the network and is received after the release of the same holder.

    Rule 3: the renewal does not bind the voter, as the release has ended the promise of its ballot.
    """
    driver = Driver()
    driver.give(1, 101)
    driver.release(1, 101)
    assert driver.accept(1, 101).verdict == "behind"
    assert driver.prepare(2, 102).verdict == "promised"


def test_a_release_of_an_earlier_holding_has_no_effect() -> None:
    """A release is received after the lease has expired and was given to the same holder again.

    Rule 4: a release ends only a vote under its own ballot.
    """
    driver = Driver()
    driver.give(1, 101)
    driver.now += TIMING.lease_ns
    driver.give(1, 102)
    assert driver.release(1, 101)[0][1].verdict == "behind"
    assert driver.prepare(2, 103).verdict == "held"


def test_the_queue_and_the_number_of_leases_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """More proposers wait than the queue has positions, and more leases are requested than may be recorded.

    The excess requests are rejected. Idle leases are dropped to make room, but their ballots are never
    promised again.
    """
    driver = Driver()
    driver.give(1, 101)
    verdicts = [driver.prepare(n).verdict for n in range(2, MAX_WAITERS + 3)]
    # the verdict "held" tells the proposer more than "full" does
    assert verdicts.count("held") == len(verdicts)
    assert len(driver.acceptor.leases["x"].queue) == MAX_WAITERS
    monkeypatch.setattr(acceptor, "MAX_LEASES", 2)
    driver.give(9, 500, "y")
    assert driver.prepare(9, 501, "z").verdict == "full"
    driver.now += TIMING.lease_ns + TIMING.waiter_expiry_ns
    assert driver.prepare(9, 501, "z").verdict == "promised"  # lease y was idle, and its record is dropped
    # but the ballots of lease y are not promised again
    assert driver.prepare(9, 500, "y").verdict == "behind"


def test_two_hundred_leases_are_listed_page_by_page() -> None:
    driver = Driver()
    for i in range(200):
        driver.give(i + 1, 101 + i, f"lease-{i:03}")
    names: list[str] = []
    more = True
    while more:
        page = driver.acceptor.list_leases(names[-1] if names else "", 0, driver.now)
        assert len(page.leases) <= MAX_LEASES_PER_PAGE
        names += [status.lease for status in page.leases]
        more = page.more
    assert names == [f"lease-{i:03}" for i in range(200)]
