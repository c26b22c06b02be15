"""Ordering by key (rule 5)."""

from __future__ import annotations

import pytest

from lanelift.policy.events import (
    AttemptResult,
    ClientDisconnected,
)
from lanelift.policy.settings import Limits
from tests.policy.book import (
    MS,
    ROW,
    SECOND,
    Desk,
    arrival,
    settings,
)


def test_one_key_runs_one_at_a_time_and_other_keys_go_on() -> None:
    """Two requests of one key, one of another and one without: only the second of the key waits."""
    desk = Desk()
    desk.give(
        arrival(1, desk.now, ROW, key="k"),
        arrival(2, desk.now, ROW, key="k"),
        arrival(3, desk.now, ROW, key="other"),
        arrival(4, desk.now, ROW),
    )
    for number in (1, 3, 4):
        desk.advance(10 * MS)
        desk.finish(f"r{number}")
    desk.advance(10 * MS)
    assert list(desk.sends) == ["r1", "r3", "r4", "r2"] or list(desk.sends) == ["r1", "r3", "r2", "r4"]


@pytest.mark.parametrize(
    ("result", "rests"),
    [
        (AttemptResult.OK, False),
        (AttemptResult.ERROR, False),
        (AttemptResult.RESET, True),
        (AttemptResult.TIMEOUT, True),
    ],
)
def test_a_key_cools_down_only_after_an_attempt_that_may_still_run(
    result: AttemptResult, rests: bool
) -> None:
    """An attempt that broke or timed out may still run: the next request of its key waits for the
    cooldown.
    """
    limits = Limits(max_attempts=1)
    desk = Desk(settings(limits=limits))
    desk.give(arrival(1, desk.now, ROW, key="k"), arrival(2, desk.now, ROW, key="k"))
    desk.now += MS
    desk.finish("r1", result)
    desk.advance(20 * MS)
    assert ("r2" not in desk.sends) == rests
    desk.advance(100 * MS)
    assert "r2" in desk.sends


def test_a_disconnected_client_with_an_attempt_in_flight_still_holds_its_key() -> None:
    """A client disconnects, but its attempt is in flight: the next request of the key waits for that."""
    desk = Desk(settings(limits=Limits(max_attempts=2)))
    desk.give(arrival(1, desk.now, ROW, key="k"), arrival(2, desk.now, ROW, key="k"))
    desk.give(ClientDisconnected("r1"))
    desk.advance(100 * MS)
    assert "r2" not in desk.sends
    desk.finish("r1", AttemptResult.ERROR)
    desk.advance(10 * MS)
    assert "r2" in desk.sends


def test_a_request_that_waits_for_its_key_spends_no_token_and_is_answered() -> None:
    """Nineteen requests wait for one of their key that is never answered: none takes a token, each gets
    its answer.
    """
    desk = Desk()
    desk.give(arrival(0, desk.now, ROW, key="k"))
    before = desk.balancer.state.tenants.banks["ash"].balance
    desk.give(*(arrival(i, desk.now, ROW, key="k") for i in range(1, 20)))
    assert desk.balancer.state.tenants.banks["ash"].balance == before
    desk.advance(600 * MS)
    assert len(desk.answer) == 20


def test_nothing_remains_of_a_key_after_its_last_use() -> None:
    """Fifty keys are used once: after their cooldown nothing is left of them."""
    desk = Desk()
    for i in range(50):
        desk.give(arrival(i, desk.now, ROW, key=f"k{i}"))
        desk.advance(10 * MS)
        if i % 2 and f"r{i}" in desk.sends:
            desk.finish(f"r{i}")
    desk.advance(2 * SECOND)
    assert not desk.balancer.ordering.queues and not desk.balancer.requests
