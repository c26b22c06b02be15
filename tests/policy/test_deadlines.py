"""Requests whose bodies are pending: their time does not run."""

from __future__ import annotations

import pytest

from lanelift.policy.actions import StartAttempt
from lanelift.policy.events import (
    AttemptResult,
    BodyReceived,
    RequestArrived,
)
from lanelift.policy.settings import Limits
from tests.policy.book import (
    MS,
    SECOND,
    Desk,
    arrival,
    of,
    settings,
)


def pending_body(desk: Desk) -> tuple[RequestArrived, int]:
    """A request whose body comes, sent; and the upstream it goes to."""
    came = arrival(1, desk.now)._replace(body_pending=True)
    sends = of(StartAttempt, desk.give(came))
    assert [(s.request, s.timeout_ns) for s in sends] == [("r1", 0)]
    return came, sends[0].upstream


def test_while_its_body_is_pending_no_time_runs() -> None:
    """A client uploads slowly: neither its request nor the upstream is late meanwhile. Both are, once
    the body is complete.
    """
    desk = Desk(servers=1)
    _, upstream = pending_body(desk)
    server = desk.balancer.registry.upstreams[upstream]
    desk.advance(20 * SECOND)
    assert "r1" not in desk.answer and server.consecutive_ejections == 0
    desk.give(BodyReceived("r1", desk.now + 300 * MS))
    assert desk.balancer.requests["r1"].attempts[0].sent_ns == desk.now  # the upstream begins only now
    desk.advance(200 * MS)
    assert server.consecutive_ejections  # and is looked at as any other
    desk.advance(200 * MS)
    assert desk.answer["r1"] in ("refused", "failed")


@pytest.mark.parametrize(("spent", "sends"), [(True, 1), (False, 2)])
def test_a_request_that_has_lost_its_body_is_rejected_and_not_retried(spent: bool, sends: int) -> None:
    """Part of the body went with an attempt that failed: it can not be sent again."""
    desk = Desk(settings(limits=Limits(max_attempts=3)))
    pending_body(desk)
    desk.give(desk.result("r1", 0, AttemptResult.CONNECT_FAILED)._replace(body_consumed=spent))
    desk.advance(50 * MS)
    assert len(desk.sends["r1"]) == sends
    assert desk.answer.get("r1") == ("refused" if spent else None)
