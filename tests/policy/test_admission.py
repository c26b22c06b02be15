"""Admission of new requests."""

from __future__ import annotations

import pytest

from lanelift.policy.actions import Reject
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    EndpointUpdate,
    EndpointUpdateKind,
    RequestArrived,
)
from lanelift.policy.settings import Idempotency, RequestClass, Settings
from tests.policy.book import (
    MS,
    READ,
    SECOND,
    START,
    WEST,
    Desk,
    arrival,
    of,
    settings,
    upstreams,
)


def test_a_class_with_much_time_keeps_the_queue_short_for_one_with_little() -> None:
    """Incident i31aba8: requests with two seconds to spare filled the line, and quick ones never got in."""
    slow = RequestClass("slow", Idempotency.IDEMPOTENT, latency_objective_ns=20 * SECOND)
    desk = Desk(settings(classes={"slow": slow, "read": READ}, replica_count=20), servers=1)
    for i in range(200):
        desk.give(arrival(i, desk.now, slow, wait_ns=20 * SECOND))
        desk.advance(10 * MS)
        for request, number in desk.out():
            if desk.now - desk.sends[request][number][1] >= 50 * MS:
                desk.finish(request, number=number)
    assert len(desk.balancer.registry.main.queue) < 20 and "refused" in desk.answer.values()


@pytest.mark.parametrize(("waited_ms", "answer"), [(100, None), (290, "refused")])
def test_a_request_that_waited_too_long_unseen_is_rejected_at_once(
    waited_ms: int, answer: str | None
) -> None:
    """The replica was late itself: a request was received long before it was looked at. Its answer
    would be too late.
    """
    desk = Desk()
    asked = desk.now - waited_ms * MS
    gone_by = desk.give(arrival(1, asked, wait_ns=500 * MS)._replace(received_ns=asked))
    assert desk.answer.get("r1") == answer and len(desk.sends) == (answer is None)
    assert all(a.retry_after_ns > 0 for a in of(Reject, gone_by) if isinstance(a, Reject))


def test_no_tenants_and_an_unknown_class_work() -> None:
    """No tenant is listed, and a request names a class that the settings do not."""
    desk = Desk(settings(tenants={}))
    desk.give(arrival(1, desk.now, tenant=""))
    desk.finish("r1")
    b = Balancer(Settings(), 1, START)
    b.handle(
        START,
        [
            EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(2)),
            RequestArrived("x", "never-named", "nobody", START + SECOND),
        ],
    )


def test_with_no_allowed_upstream_listed_a_request_is_rejected_at_once() -> None:
    """No upstream in the zones of a class is listed: its requests are rejected without a token."""
    desk = Desk()  # all in the zone east
    tokens = desk.balancer.state.tenants.banks["ash"].balance
    desk.give(arrival(1, desk.now, WEST))
    assert desk.answer["r1"] == "refused" and desk.balancer.state.tenants.banks["ash"].balance == tokens
