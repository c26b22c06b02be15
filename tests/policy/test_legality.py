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
    BIG,
    MS,
    PAY,
    READ,
    WEST,
    CheckedBalancer,
    arrival,
    places,
    upstreams,
)


@pytest.mark.parametrize("result", [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED])
def test_a_non_idempotent_request_that_never_ran_is_retried(result: AttemptResult) -> None:
    """An attempt ends before its upstream ran the request: a retry is safe, whatever its class."""
    checked = CheckedBalancer()
    checked.give(arrival(1, checked.now, PAY))
    checked.now += MS
    checked.finish("r1", result)
    assert len(checked.sends["r1"]) == 2


@pytest.mark.parametrize("result", [AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.CANCELLED])
def test_a_non_idempotent_request_that_may_have_run_fails(result: AttemptResult) -> None:
    """An attempt ends and its upstream may have run the request: there is no retry, and no promise to
    the client.
    """
    checked = CheckedBalancer()
    checked.give(arrival(1, checked.now, PAY))
    checked.now += MS
    checked.finish("r1", result)
    assert checked.answer["r1"] == "failed"


def test_attempts_are_capped() -> None:
    """Upstreams reject each attempt: there are as many as the limits allow, and then the request is
    rejected.
    """
    checked = CheckedBalancer()
    checked.give(arrival(1, checked.now, READ))
    for _ in range(3):
        checked.now += MS
        if "r1" not in checked.answer:
            checked.finish("r1", AttemptResult.REJECTED)
    checked.advance(600 * MS)
    assert checked.answer["r1"] == "rejected" and len(checked.sends["r1"]) <= 3


def test_a_draining_upstream_gets_nothing_new() -> None:
    """Five of six upstreams drain: all that follows goes to the sixth."""
    checked = CheckedBalancer()
    checked.give(
        EndpointUpdate(
            EndpointUpdateKind.DELTA, [u._replace(state=EndpointState.DRAINING) for u in upstreams(5)]
        )
    )
    for i in range(20):
        checked.give(arrival(i, checked.now))
        checked.advance(20 * MS)
        for request, number in checked.out():
            checked.finish(request, number=number)
    assert {u.id for sent in checked.sends.values() for u, _ in sent} == {6}


@pytest.mark.parametrize(("cls", "ids"), [(WEST, {1, 3, 5}), (BIG, {1, 4, 5})])
def test_a_restricted_class_goes_only_where_it_may(cls: RequestClass, ids: set[int]) -> None:
    """A class may use one zone or one kind of machine: it goes to all of those, and to no other."""
    checked = CheckedBalancer(upstream_count=0)
    checked.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, places(6)))
    for i in range(60):
        checked.give(arrival(i, checked.now, cls))
        checked.advance(5 * MS)
        for request, number in checked.out():
            checked.finish(request, number=number)
    assert {u.id for sent in checked.sends.values() for u, _ in sent} == ids
