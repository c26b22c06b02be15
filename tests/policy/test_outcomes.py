"""Ends of attempts and starts of responses."""

from __future__ import annotations

import pytest

from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    ResponseStarted,
)
from lanelift.policy.settings import Limits
from tests.policy.book import (
    MS,
    SECOND,
    Desk,
    arrival,
    settings,
)


def test_a_response_that_is_passed_on_frees_the_window_and_is_never_given_up() -> None:
    """Slow readers would fill the window, and every long answer would pass for a slow upstream."""
    desk = Desk(settings(replica_count=16), servers=4)  # a window of two
    desk.give(*(arrival(i, desk.now) for i in range(3)))
    assert len(desk.balancer.requests) == 3 and desk.balancer.state.attempts_in_flight == 2
    first = next(iter(desk.balancer.requests.values()))
    server = first.attempts[0].upstream
    inflight = server.in_flight
    desk.give(ResponseStarted(first.id, 0, server.id, 20 * MS))
    assert desk.balancer.state.attempts_in_flight == 2  # the third has its place
    assert server.in_flight <= inflight
    good, stress = desk.balancer.state.rate.on_time, desk.balancer.state.concurrency.latency_ratio
    assert good == 1
    desk.advance(2 * SECOND)  # past its deadline
    assert first.id not in desk.answer and not first.finished
    desk.give(AttemptFinished(first.id, 0, server.id, AttemptResult.OK, 3 * SECOND, True))
    assert first.id not in desk.balancer.requests and desk.balancer.state.concurrency.latency_ratio <= stress


@pytest.mark.parametrize(
    ("result", "bad"), [(AttemptResult.RESET, 1), (AttemptResult.TIMEOUT, 1), (AttemptResult.CANCELLED, 0)]
)
def test_a_response_that_breaks_after_its_start_is_not_retried(result: AttemptResult, bad: int) -> None:
    """The connection breaks after the response has started: the client has part of it, and a retry
    would be a second answer.
    """
    desk = Desk(settings(limits=Limits(max_attempts=3)), servers=4)
    desk.give(arrival(1, desk.now))
    r = desk.balancer.requests["r1"]
    server = r.attempts[0].upstream
    desk.give(ResponseStarted("r1", 0, server.id, 20 * MS))
    desk.give(ResponseStarted("r1", 0, server.id, 20 * MS))  # told twice: counted once
    assert (server.in_flight, desk.balancer.state.attempts_in_flight) == (0, 0)
    was = desk.balancer.state.rate.late_or_failed
    desk.give(AttemptFinished("r1", 0, server.id, result, SECOND, True))
    assert (
        server.in_flight,
        desk.balancer.state.attempts_in_flight,
        desk.balancer.state.rate.late_or_failed - was,
    ) == (0, 0, bad)
    assert len(r.attempts) == 1 and not desk.balancer.requests and not server.ejected_until_ns


def test_late_and_unknown_outcomes_are_harmless() -> None:
    """The end of an attempt is reported twice, for an unknown request and for an unknown upstream:
    nothing happens.
    """
    desk = Desk()
    desk.give(arrival(1, desk.now))
    late = desk.result("r1", 0, AttemptResult.OK)
    desk.give(late)
    desk.balancer.handle(desk.now, [late, late._replace(request="unknown"), late._replace(upstream=99)])
