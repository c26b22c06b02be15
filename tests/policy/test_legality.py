"""Which attempts are legal: rules 1 to 3 and 6 of the protocol."""

from __future__ import annotations

import pytest

from lanelift.policy.events import (
    AttemptResult,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
)
from lanelift.policy.settings import RequestClass
from tests.policy.checked_balancer import (
    BIG_ONLY,
    MS,
    PAY,
    READ,
    WEST_ONLY,
    CheckedBalancer,
    arrival,
    mixed_endpoints,
    upstreams,
)


@pytest.mark.parametrize("result", [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED])
def test_a_non_idempotent_request_that_never_ran_is_retried(result: AttemptResult) -> None:
    """An attempt ends before its upstream ran the request: a retry is safe for requests of any class."""
    checked = CheckedBalancer()
    checked.handle(arrival(1, checked.now, PAY))
    checked.now += MS
    checked.finish("r1", result)
    assert len(checked.attempts["r1"]) == 2


@pytest.mark.parametrize("result", [AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.CANCELLED])
def test_a_non_idempotent_request_that_may_have_run_fails(result: AttemptResult) -> None:
    """An attempt ends and its upstream may have run the request: there is no retry, and the client is not
    told that it may retry.
    """
    checked = CheckedBalancer()
    checked.handle(arrival(1, checked.now, PAY))
    checked.now += MS
    checked.finish("r1", result)
    assert checked.answer["r1"] == "failed"


def test_attempts_are_capped() -> None:
    """Upstreams reject each attempt: there are at most as many attempts as the limits allow, and then the
    request is rejected.
    """
    checked = CheckedBalancer()
    checked.handle(arrival(1, checked.now, READ))
    for _ in range(3):
        checked.now += MS
        if "r1" not in checked.answer:
            checked.finish("r1", AttemptResult.REJECTED)
    checked.advance(600 * MS)
    assert checked.answer["r1"] == "rejected" and len(checked.attempts["r1"]) <= 3


def test_a_draining_upstream_gets_no_new_attempt() -> None:
    """Five of six upstreams drain: all later attempts go to the sixth."""
    checked = CheckedBalancer()
    checked.handle(
        EndpointUpdate(
            EndpointUpdateKind.DELTA, [u._replace(state=EndpointState.DRAINING) for u in upstreams(5)]
        )
    )
    for i in range(20):
        checked.handle(arrival(i, checked.now))
        checked.advance(20 * MS)
        for request, number in checked.attempts_in_flight():
            checked.finish(request, number=number)
    assert {u.id for sent in checked.attempts.values() for u, _ in sent} == {6}


@pytest.mark.parametrize(("cls", "ids"), [(WEST_ONLY, {1, 3, 5}), (BIG_ONLY, {1, 4, 5})])
def test_a_restricted_class_uses_only_allowed_upstreams(cls: RequestClass, ids: set[int]) -> None:
    """A class may use one zone or one kind of machine: its requests use all of those upstreams, and no
    other.
    """
    checked = CheckedBalancer(upstream_count=0)
    checked.handle(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, mixed_endpoints(6)))
    for i in range(60):
        checked.handle(arrival(i, checked.now, cls))
        checked.advance(5 * MS)
        for request, number in checked.attempts_in_flight():
            checked.finish(request, number=number)
    assert {u.id for sent in checked.attempts.values() for u, _ in sent} == ids
