"""Final answers: when a request that is not served is rejected, and when it fails."""

from __future__ import annotations

import pytest

from lanelift.policy.actions import Fail, Reject, StartAttempt
from lanelift.policy.events import (
    ClientDisconnected,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
)
from lanelift.policy.settings import RequestClass
from tests.policy.checked_balancer import (
    KEYED_ANYWHERE,
    KEYED_IN_CELL,
    MS,
    PAY,
    READ,
    CheckedBalancer,
    actions_of_type,
    arrival,
    upstreams,
)


def test_a_served_request_gets_no_other_answer() -> None:
    """A request is served by its only attempt: the balancer gives no other answer."""
    checked = CheckedBalancer()
    assert len(actions_of_type(StartAttempt, checked.handle(arrival(1, checked.now)))) == 1
    assert not actions_of_type(Fail, checked.finish("r1")) and checked.answer["r1"] == "served"


@pytest.mark.parametrize("cls", [READ, PAY, KEYED_IN_CELL, KEYED_ANYWHERE])
def test_a_request_is_rejected_in_time_if_no_upstream_is_listed(cls: RequestClass) -> None:
    """The endpoint list is empty: a request of any class is rejected before its client gives up."""
    checked = CheckedBalancer(upstream_count=0)
    checked.handle(EndpointUpdate(EndpointUpdateKind.CACHED), arrival(1, checked.now, cls))
    checked.advance(600 * MS)
    assert checked.answer["r1"] == "rejected"


def test_a_request_is_rejected_in_time_if_all_upstreams_drain() -> None:
    """All upstreams drain: a request gets no attempt, and is rejected before its client gives up."""
    checked = CheckedBalancer()
    checked.handle(
        EndpointUpdate(
            EndpointUpdateKind.DELTA, [u._replace(state=EndpointState.DRAINING) for u in upstreams(6)]
        )
    )
    checked.handle(arrival(1, checked.now, PAY))
    checked.advance(600 * MS)
    assert checked.answer["r1"] == "rejected" and "r1" not in checked.attempts


def test_a_non_idempotent_request_that_times_out_fails() -> None:
    """An attempt of a non-idempotent request times out, and may have run: the request fails and is not
    retried.
    """
    checked = CheckedBalancer()
    checked.handle(arrival(1, checked.now, PAY))
    checked.advance(600 * MS)
    assert checked.answer["r1"] == "failed" and len(checked.attempts["r1"]) == 1


def test_a_client_that_disconnects_ends_its_request() -> None:
    """A client's disconnect is reported twice, then that of an unknown request: only the first counts."""
    checked = CheckedBalancer()
    checked.handle(
        arrival(1, checked.now),
        ClientDisconnected("r1"),
        ClientDisconnected("r1"),
        ClientDisconnected("unknown"),
    )
    checked.advance(600 * MS)
    assert checked.answer["r1"] == "disconnected"


def test_retry_after_is_jittered() -> None:
    """Thirty requests are rejected at the same time: their clients must not all retry at the same time."""
    checked = CheckedBalancer(upstream_count=0)
    checked.handle(*(arrival(i, checked.now) for i in range(30)))
    checked.advance(600 * MS)
    retry_after_values = {a.retry_after_ns for a in checked.log if isinstance(a, Reject)}
    assert len(retry_after_values) > 20
