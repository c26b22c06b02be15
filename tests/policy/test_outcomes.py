"""Ends of attempts and starts of responses."""

from __future__ import annotations

import pytest

from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    ResponseStarted,
)
from lanelift.policy.settings import Limits
from tests.policy.checked_balancer import (
    MS,
    SECOND,
    CheckedBalancer,
    arrival,
    settings,
)


def test_a_response_that_is_passed_on_frees_the_window_and_is_never_given_up() -> None:
    """Clients that read slowly must not fill the window, and long responses must not look like a slow
    upstream.
    """
    checked = CheckedBalancer(settings(replica_count=16), upstream_count=4)  # a window of two
    checked.handle(*(arrival(i, checked.now) for i in range(3)))
    assert len(checked.balancer.requests) == 3 and checked.balancer.state.attempts_in_flight == 2
    first = next(iter(checked.balancer.requests.values()))
    upstream = first.attempts[0].upstream
    in_flight = upstream.in_flight
    checked.handle(ResponseStarted(first.id, 0, upstream.id, 20 * MS))
    # The third request takes the place of the first request in the window.
    assert checked.balancer.state.attempts_in_flight == 2
    assert upstream.in_flight <= in_flight
    on_time, latency_ratio = (
        checked.balancer.state.rate.on_time,
        checked.balancer.state.concurrency.latency_ratio,
    )
    assert on_time == 1
    checked.advance(2 * SECOND)  # past the deadline of the first request
    assert first.id not in checked.answer and not first.finished
    checked.handle(AttemptFinished(first.id, 0, upstream.id, AttemptResult.OK, 3 * SECOND, True))
    assert (
        first.id not in checked.balancer.requests
        and checked.balancer.state.concurrency.latency_ratio <= latency_ratio
    )


@pytest.mark.parametrize(
    ("result", "bad"), [(AttemptResult.RESET, 1), (AttemptResult.TIMEOUT, 1), (AttemptResult.CANCELLED, 0)]
)
def test_a_response_that_breaks_after_its_start_is_not_retried(result: AttemptResult, bad: int) -> None:
    """The connection breaks after the response has started: the client has part of it, and a retry
    would be a second answer.
    """
    checked = CheckedBalancer(settings(limits=Limits(max_attempts=3)), upstream_count=4)
    checked.handle(arrival(1, checked.now))
    r = checked.balancer.requests["r1"]
    upstream = r.attempts[0].upstream
    checked.handle(ResponseStarted("r1", 0, upstream.id, 20 * MS))
    # The start of the response is reported twice, but counted once.
    checked.handle(ResponseStarted("r1", 0, upstream.id, 20 * MS))
    assert (upstream.in_flight, checked.balancer.state.attempts_in_flight) == (0, 0)
    was = checked.balancer.state.rate.late_or_failed
    checked.handle(AttemptFinished("r1", 0, upstream.id, result, SECOND, True))
    assert (
        upstream.in_flight,
        checked.balancer.state.attempts_in_flight,
        checked.balancer.state.rate.late_or_failed - was,
    ) == (0, 0, bad)
    assert len(r.attempts) == 1 and not checked.balancer.requests and not upstream.ejected_until_ns


def test_late_and_unknown_outcomes_are_harmless() -> None:
    """The end of an attempt is reported twice, for an unknown request and for an unknown upstream:
    nothing happens.
    """
    checked = CheckedBalancer()
    checked.handle(arrival(1, checked.now))
    late = checked.result("r1", 0, AttemptResult.OK)
    checked.handle(late)
    checked.balancer.handle(checked.now, [late, late._replace(request="unknown"), late._replace(upstream=99)])
