"""Ordering by key (rule 5)."""

from __future__ import annotations

import pytest

from lanelift.policy.events import (
    AttemptResult,
    ClientDisconnected,
)
from lanelift.policy.settings import Limits
from tests.policy.checked_balancer import (
    MS,
    ORDERED,
    SECOND,
    CheckedBalancer,
    arrival,
    settings,
)


def test_requests_of_one_key_run_one_at_a_time_and_other_keys_do_not_wait() -> None:
    """Two requests share a key, a third has another key, a fourth has none: only the second waits."""
    checked = CheckedBalancer()
    checked.handle(
        arrival(1, checked.now, ORDERED, key="k"),
        arrival(2, checked.now, ORDERED, key="k"),
        arrival(3, checked.now, ORDERED, key="other"),
        arrival(4, checked.now, ORDERED),
    )
    for number in (1, 3, 4):
        checked.advance(10 * MS)
        checked.finish(f"r{number}")
    checked.advance(10 * MS)
    assert list(checked.attempts) == ["r1", "r3", "r4", "r2"] or list(checked.attempts) == [
        "r1",
        "r3",
        "r2",
        "r4",
    ]


@pytest.mark.parametrize(
    ("result", "cools_down"),
    [
        (AttemptResult.OK, False),
        (AttemptResult.ERROR, False),
        (AttemptResult.RESET, True),
        (AttemptResult.TIMEOUT, True),
    ],
)
def test_a_key_cools_down_only_after_an_attempt_that_may_still_run(
    result: AttemptResult, cools_down: bool
) -> None:
    """An attempt that broke or timed out may still be running: the next request of its key waits for the
    cooldown.
    """
    limits = Limits(max_attempts=1)
    checked = CheckedBalancer(settings(limits=limits))
    checked.handle(arrival(1, checked.now, ORDERED, key="k"), arrival(2, checked.now, ORDERED, key="k"))
    checked.now += MS
    checked.finish("r1", result)
    checked.advance(20 * MS)
    assert ("r2" not in checked.attempts) == cools_down
    checked.advance(100 * MS)
    assert "r2" in checked.attempts


def test_a_disconnected_client_with_an_attempt_in_flight_still_holds_its_key() -> None:
    """A client disconnects, but its attempt is in flight: the next request of the key waits for the attempt
    to end.
    """
    checked = CheckedBalancer(settings(limits=Limits(max_attempts=2)))
    checked.handle(arrival(1, checked.now, ORDERED, key="k"), arrival(2, checked.now, ORDERED, key="k"))
    checked.handle(ClientDisconnected("r1"))
    checked.advance(100 * MS)
    assert "r2" not in checked.attempts
    checked.finish("r1", AttemptResult.ERROR)
    checked.advance(10 * MS)
    assert "r2" in checked.attempts


def test_a_request_that_waits_for_its_key_takes_no_token_and_is_answered() -> None:
    """Nineteen requests wait for an earlier request with the same key, which is never served. None of
    them takes a token, and each gets an answer.
    """
    checked = CheckedBalancer()
    checked.handle(arrival(0, checked.now, ORDERED, key="k"))
    before = checked.balancer.state.tenants.banks["ash"].balance
    checked.handle(*(arrival(i, checked.now, ORDERED, key="k") for i in range(1, 20)))
    assert checked.balancer.state.tenants.banks["ash"].balance == before
    checked.advance(600 * MS)
    assert len(checked.answer) == 20


def test_no_state_of_a_key_remains_after_its_last_use() -> None:
    """Fifty keys are used once: after their cooldown, no state of them remains."""
    checked = CheckedBalancer()
    for i in range(50):
        checked.handle(arrival(i, checked.now, ORDERED, key=f"k{i}"))
        checked.advance(10 * MS)
        if i % 2 and f"r{i}" in checked.attempts:
            checked.finish(f"r{i}")
    checked.advance(2 * SECOND)
    assert not checked.balancer.ordering.queues and not checked.balancer.requests
