"""Requests whose bodies are pending: their time is not counted."""

from __future__ import annotations

import pytest

from lanelift.policy.actions import StartAttempt
from lanelift.policy.events import (
    AttemptResult,
    BodyReceived,
    RequestArrived,
)
from lanelift.policy.settings import Limits
from tests.policy.checked_balancer import (
    MS,
    SECOND,
    CheckedBalancer,
    actions_of_type,
    arrival,
    settings,
)


def pending_body(checked: CheckedBalancer) -> tuple[RequestArrived, int]:
    """Let a request with a pending body arrive; return its event and the upstream of its attempt."""
    arrived = arrival(1, checked.now)._replace(body_pending=True)
    sends = actions_of_type(StartAttempt, checked.handle(arrived))
    assert [(s.request, s.timeout_ns) for s in sends] == [("r1", 0)]
    return arrived, sends[0].upstream


def test_no_time_is_counted_while_a_body_is_pending() -> None:
    """A client uploads slowly: its request and the upstream can be late only once the body is complete."""
    checked = CheckedBalancer(upstream_count=1)
    _, number = pending_body(checked)
    upstream = checked.balancer.registry.upstreams[number]
    checked.advance(20 * SECOND)
    assert "r1" not in checked.answer and upstream.consecutive_ejections == 0
    checked.handle(BodyReceived("r1", checked.now + 300 * MS))
    assert checked.balancer.requests["r1"].attempts[0].sent_ns == checked.now  # the time is counted from now
    checked.advance(200 * MS)
    assert upstream.consecutive_ejections  # the attempt is checked for being overdue, like any other
    checked.advance(200 * MS)
    assert checked.answer["r1"] in ("rejected", "failed")


@pytest.mark.parametrize(("spent", "sends"), [(True, 1), (False, 2)])
def test_a_request_whose_body_was_consumed_is_rejected_and_not_retried(spent: bool, sends: int) -> None:
    """An attempt that failed consumed part of the body, so the request can't be sent again."""
    checked = CheckedBalancer(settings(limits=Limits(max_attempts=3)))
    pending_body(checked)
    checked.handle(checked.result("r1", 0, AttemptResult.CONNECT_FAILED)._replace(body_consumed=spent))
    checked.advance(50 * MS)
    assert len(checked.attempts["r1"]) == sends
    assert checked.answer.get("r1") == ("rejected" if spent else None)
