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
from tests.policy.checked_balancer import (
    MS,
    READ,
    SECOND,
    START,
    WEST_ONLY,
    CheckedBalancer,
    actions_of_type,
    arrival,
    settings,
    upstreams,
)


def test_requests_with_much_time_do_not_fill_the_queue_for_requests_with_little() -> None:
    """Incident i31aba8: requests with two seconds to spare filled the queue, and requests with little time
    were always shed.
    """
    slow = RequestClass("slow", Idempotency.IDEMPOTENT, latency_objective_ns=20 * SECOND)
    checked = CheckedBalancer(
        settings(classes={"slow": slow, "read": READ}, replica_count=20), upstream_count=1
    )
    for i in range(200):
        checked.handle(arrival(i, checked.now, slow, wait_ns=20 * SECOND))
        checked.advance(10 * MS)
        for request, number in checked.attempts_in_flight():
            if checked.now - checked.attempts[request][number][1] >= 50 * MS:
                checked.finish(request, number=number)
    assert (
        len(checked.balancer.registry.unrestricted_pool.queue) < 20 and "rejected" in checked.answer.values()
    )


@pytest.mark.parametrize(("waited_ms", "answer"), [(100, None), (290, "rejected")])
def test_a_request_that_is_handled_too_late_is_rejected_immediately(
    waited_ms: int, answer: str | None
) -> None:
    """The replica itself is late: it handles a request so long after receiving the request that an answer
    would come too late.
    """
    checked = CheckedBalancer()
    received_ns = checked.now - waited_ms * MS
    actions = checked.handle(arrival(1, received_ns, wait_ns=500 * MS)._replace(received_ns=received_ns))
    assert checked.answer.get("r1") == answer and len(checked.attempts) == (answer is None)
    assert all(a.retry_after_ns > 0 for a in actions_of_type(Reject, actions) if isinstance(a, Reject))


def test_requests_are_handled_without_listed_tenants_and_with_an_unknown_class() -> None:
    """No tenant is listed, and a request names a class that is not in the settings."""
    checked = CheckedBalancer(settings(tenants={}))
    checked.handle(arrival(1, checked.now, tenant=""))
    checked.finish("r1")
    b = Balancer(Settings(), 1, START)
    b.handle(
        START,
        [
            EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(2)),
            RequestArrived("x", "never-named", "nobody", START + SECOND),
        ],
    )


def test_a_request_with_no_allowed_upstream_is_rejected_immediately() -> None:
    """No upstream in the zones of a class is listed: its requests are rejected without a token."""
    checked = CheckedBalancer()  # all upstreams are in the zone east
    tokens = checked.balancer.state.tenants.banks["ash"].balance
    checked.handle(arrival(1, checked.now, WEST_ONLY))
    assert (
        checked.answer["r1"] == "rejected" and checked.balancer.state.tenants.banks["ash"].balance == tokens
    )
