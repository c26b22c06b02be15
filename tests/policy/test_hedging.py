"""Overdue attempts: how long they are waited for, and when they eject their upstream."""

from __future__ import annotations

import pytest

from lanelift.policy.events import BodyReceived, RequestArrived
from lanelift.policy.settings import Limits, RequestClass
from tests.policy.checked_balancer import (
    KEYED_ANYWHERE,
    MS,
    READ,
    CheckedBalancer,
    arrival,
    settings,
)


def test_an_attempt_is_waited_for_past_the_latency_objective() -> None:
    """Requests were rejected at their objective, and a fifth of all clients sent a request again while an
    upstream was still processing it.
    """
    checked = CheckedBalancer(settings(limits=Limits(may_cancel=True)))
    checked.handle(arrival(1, checked.now, READ, wait_ns=READ.latency_objective_ns + 200 * MS))
    checked.advance(READ.latency_objective_ns + 100 * MS)
    assert checked.attempts_in_flight() == [("r1", 0)] and not checked.answer
    checked.finish("r1")
    assert checked.answer == {"r1": "served"}


def test_a_late_replica_does_not_eject_an_upstream_for_its_own_lateness() -> None:
    """The check of an overdue attempt is late: the response may already be here, unread, and its upstream is
    not ejected.
    """
    for step_ns, ejected_count in ((5 * MS, 1), (120 * MS, 0)):  # the check runs in time, then too late
        checked = CheckedBalancer()
        checked.handle(arrival(1, checked.now))
        checked.advance(120 * MS, step_ns)
        assert (
            sum(s.ejected_until_ns > checked.now for s in checked.balancer.registry.upstreams.values())
            == ejected_count
        )


def overdue_request(request_class: RequestClass, body_streamed: bool) -> CheckedBalancer:
    """Return a balancer with one request, whose only attempt has just become overdue."""
    checked = CheckedBalancer()
    arrived = arrival(1, checked.now, request_class)
    events: list[RequestArrived | BodyReceived] = [arrived._replace(body_pending=body_streamed)]
    if body_streamed:
        events.append(BodyReceived("r1", arrived.deadline_ns))
    checked.handle(*events)
    checked.advance(120 * MS)
    assert any(s.ejected_until_ns > checked.now for s in checked.balancer.registry.upstreams.values())
    return checked


@pytest.mark.parametrize("request_class", [READ, KEYED_ANYWHERE], ids=lambda c: c.name)
def test_a_request_whose_body_can_be_sent_only_once_is_not_hedged(request_class: RequestClass) -> None:
    """A hedged attempt was started while the first attempt had the body: it was sent without a body, and the
    upstream processed a request that no client had made.
    """
    assert len(overdue_request(request_class, body_streamed=False).attempts["r1"]) == 2
    assert len(overdue_request(request_class, body_streamed=True).attempts["r1"]) == 1
