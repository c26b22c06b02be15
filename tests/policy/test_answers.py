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
    ANY,
    CELL,
    MS,
    PAY,
    READ,
    CheckedBalancer,
    arrival,
    of,
    upstreams,
)


def test_a_request_with_a_response_needs_nothing_more() -> None:
    """One attempt, one response: no other answer follows."""
    checked = CheckedBalancer()
    assert len(of(StartAttempt, checked.give(arrival(1, checked.now)))) == 1
    assert not of(Fail, checked.finish("r1")) and checked.answer["r1"] == "served"


@pytest.mark.parametrize("cls", [READ, PAY, CELL, ANY])
def test_with_no_upstream_listed_a_request_is_rejected_in_time(cls: RequestClass) -> None:
    """The endpoint list is empty: a request of any class is rejected before its client gives up."""
    checked = CheckedBalancer(upstream_count=0)
    checked.give(EndpointUpdate(EndpointUpdateKind.CACHED), arrival(1, checked.now, cls))
    checked.advance(600 * MS)
    assert checked.answer["r1"] == "rejected"


def test_with_all_upstreams_draining_a_request_is_rejected_in_time() -> None:
    """All upstreams drain: a request gets no attempt, and is rejected before its client gives up."""
    checked = CheckedBalancer()
    checked.give(
        EndpointUpdate(
            EndpointUpdateKind.DELTA, [u._replace(state=EndpointState.DRAINING) for u in upstreams(6)]
        )
    )
    checked.give(arrival(1, checked.now, PAY))
    checked.advance(600 * MS)
    assert checked.answer["r1"] == "rejected" and "r1" not in checked.sends


def test_a_non_idempotent_request_that_times_out_fails() -> None:
    """An attempt of a request that must never run twice times out. It may have run: it fails, and is
    not retried.
    """
    checked = CheckedBalancer()
    checked.give(arrival(1, checked.now, PAY))
    checked.advance(600 * MS)
    assert checked.answer["r1"] == "failed" and len(checked.sends["r1"]) == 1


def test_a_client_that_disconnects_ends_its_request() -> None:
    """A client disconnects, and that is reported twice and for an unknown request: nothing more happens."""
    checked = CheckedBalancer()
    checked.give(
        arrival(1, checked.now),
        ClientDisconnected("r1"),
        ClientDisconnected("r1"),
        ClientDisconnected("unknown"),
    )
    checked.advance(600 * MS)
    assert checked.answer["r1"] == "disconnected"


def test_retry_after_is_jittered() -> None:
    """Thirty requests are rejected at once: their clients must not return at once."""
    checked = CheckedBalancer(upstream_count=0)
    checked.give(*(arrival(i, checked.now) for i in range(30)))
    checked.advance(600 * MS)
    retry_after_values = {a.retry_after_ns for a in checked.log if isinstance(a, Reject)}
    assert len(retry_after_values) > 20
