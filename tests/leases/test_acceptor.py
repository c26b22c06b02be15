"""One voter by itself: its line, hand-overs, its bounds, and what it says of itself."""

from __future__ import annotations

import pytest

from lanelift.fleet.cluster import MS, LeaseTiming
from lanelift.fleet.messages import MAX_LISTED, Accept, Prepare, Release, Response
from lanelift.leases import acceptor as module
from lanelift.leases.acceptor import MAX_WAITERS, Acceptor

TIMING = LeaseTiming(lease_ns=1000 * MS, response_timeout_ns=50 * MS, stop_margin_ns=100 * MS, drift=0.01)


class Desk:
    def __init__(self) -> None:
        self.acceptor, self.now, self.number = Acceptor("a", TIMING, 100, 100_000, 0), 0, 0

    def prepare(
        self, nonce: int, ballot: int = 101, name: str = "x", waited_ms: int = 0, wants_queue: bool = True
    ) -> Response:
        self.number += 1
        answer = self.acceptor.prepare(
            Prepare(name, ballot, nonce, f"p{nonce}", self.number, waited_ms * MS, wants_queue),
            nonce,
            self.now,
        )
        assert answer is not None
        return answer

    def accept(self, nonce: int, ballot: int = 101, name: str = "x") -> Response:
        self.number += 1
        return self.acceptor.accept(Accept(name, ballot, nonce, f"p{nonce}", self.number), self.now)

    def give(self, nonce: int, ballot: int, name: str = "x") -> None:
        assert self.prepare(nonce, ballot, name).verdict == "promised"
        assert self.accept(nonce, ballot, name).verdict == "taken"

    def release(self, nonce: int, ballot: int, to: str = "") -> list[tuple[object, Response]]:
        return self.acceptor.release(Release("x", ballot, nonce, 0, to), self.now)


def test_ballots_rise_and_a_refusal_says_what_must_be_passed() -> None:
    desk = Desk()
    assert desk.prepare(1, 100).ballot == 100 and desk.prepare(1, 100).verdict == "behind"
    desk.give(1, 101)
    assert desk.accept(1, 101).verdict == "taken"  # renewed
    assert desk.accept(2, 101).verdict == "behind"


def test_above_the_ceiling_it_waits_for_the_disk() -> None:
    desk = Desk()
    assert desk.acceptor.prepare(Prepare("x", 100_001, 1, "p1", 1), 1, 0) is None
    assert desk.acceptor.requested_ballot == 100_001
    desk.acceptor.raise_ceiling(200_000)
    assert desk.prepare(1, 100_001).verdict == "promised" and not desk.acceptor.requested_ballot


def test_who_waited_longest_comes_first_and_the_first_is_told() -> None:
    desk = Desk()
    desk.give(1, 101)
    desk.now = 10 * MS
    assert [desk.prepare(n, waited_ms=w).queue_position for n, w in ((2, 0), (3, 5), (4, 2))] == [1, 1, 2]
    answers = desk.release(1, 101)
    assert [(to, a.verdict) for to, a in answers] == [(None, "released"), (3, "free")]
    assert desk.prepare(2, 102).verdict == "turn"
    assert (
        desk.prepare(5, 102, wants_queue=False).verdict == "turn"
    )  # who does not wait does not pass those who do
    assert desk.prepare(3, 102).verdict == "promised"


def test_the_first_in_line_does_not_keep_others_out_for_ever() -> None:
    desk = Desk()
    desk.give(1, 101)
    desk.prepare(2)
    desk.release(1, 101)
    desk.now += TIMING.queue_head_window_ns - 1
    desk.prepare(2, 50)  # it is there, and its ballot does not pass
    assert desk.prepare(3, 102).verdict == "turn"
    desk.now += 1
    assert desk.prepare(3, 102).verdict == "promised"


def test_who_does_not_ask_any_more_loses_its_place() -> None:
    desk = Desk()
    desk.give(1, 101)
    desk.prepare(2)
    desk.now += TIMING.waiter_expiry_ns
    assert desk.prepare(3).queue_position == 1


def test_handed_over_it_is_for_one_alone_for_a_while() -> None:
    desk = Desk()
    desk.give(1, 101)
    assert desk.release(1, 101, "p3")[0][1].verdict == "released"
    assert desk.prepare(2, 102).verdict == "turn"
    assert desk.prepare(3, 102).verdict == "promised"
    desk.now += TIMING.queue_head_window_ns
    assert desk.prepare(2, 103, wants_queue=False).verdict == "promised"


def test_a_late_renewal_does_not_bind_it_after_the_release() -> None:
    desk = Desk()
    desk.give(1, 101)
    desk.release(1, 101)
    assert desk.accept(1, 101).verdict == "behind"
    assert desk.prepare(2, 102).verdict == "promised"


def test_a_release_of_an_earlier_term_ends_nothing() -> None:
    desk = Desk()
    desk.give(1, 101)
    desk.now += TIMING.lease_ns
    desk.give(1, 102)
    assert desk.release(1, 101)[0][1].verdict == "behind"
    assert desk.prepare(2, 103).verdict == "held"


def test_the_line_and_the_names_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    desk = Desk()
    desk.give(1, 101)
    verdicts = [desk.prepare(n).verdict for n in range(2, MAX_WAITERS + 3)]
    assert verdicts.count("held") == len(verdicts)  # held by another is the better answer
    assert len(desk.acceptor.leases["x"].queue) == MAX_WAITERS
    monkeypatch.setattr(module, "MAX_LEASES", 2)
    desk.give(9, 500, "y")
    assert desk.prepare(9, 501, "z").verdict == "full"
    desk.now += TIMING.lease_ns + TIMING.waiter_expiry_ns
    assert desk.prepare(9, 501, "z").verdict == "promised"  # y was at rest, and is forgotten
    assert desk.prepare(9, 500, "y").verdict == "behind"  # but its ballots are not


def test_two_hundred_leases_at_once_are_seen_page_by_page() -> None:
    desk = Desk()
    for i in range(200):
        desk.give(i + 1, 101 + i, f"lease-{i:03}")
    names: list[str] = []
    more = True
    while more:
        view = desk.acceptor.list_leases(names[-1] if names else "", 0, desk.now)
        assert len(view.leases) <= MAX_LISTED
        names += [s.lease for s in view.leases]
        more = view.more
    assert names == [f"lease-{i:03}" for i in range(200)]
