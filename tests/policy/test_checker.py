"""The checker of the rules itself: it sees a breach of each."""

from __future__ import annotations

import pytest

from lanelift.policy.actions import Action, Fail, Reject, StartAttempt
from lanelift.policy.events import (
    AttemptResult,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
)
from lanelift.policy.settings import Limits, Rules
from tests.policy.checked_balancer import (
    BIG,
    MS,
    PAY,
    ROW,
    SECOND,
    START,
    WEST,
    CheckedBalancer,
    arrival,
    check_slow_start_budget,
    places,
    settings,
)


def breach(checked: CheckedBalancer, *actions: Action) -> None:
    """Carry out actions of which the last is illegal."""
    with pytest.raises(AssertionError):
        for action in actions:
            checked._check(action)


def test_the_checker_sees_a_breach_of_each_rule() -> None:
    """Without this a checker that sees nothing would pass every test."""

    def fresh(*events: Event) -> CheckedBalancer:
        checked = CheckedBalancer(settings(limits=Limits(max_attempts=3)), upstream_count=0)
        for e in (EndpointUpdate(EndpointUpdateKind.SNAPSHOT, places(6)), *events):
            checked._record(e)
        return checked

    one, pay = arrival(1, START), arrival(1, START, PAY)
    breach(fresh(one), Reject("r1"), StartAttempt("r1", 1))  # 1: an attempt after its end
    breach(fresh(one), Reject("r1"), Fail("r1"))  # 1: two answers
    breach(fresh(one), StartAttempt("r1", 1), StartAttempt("r1", 2))  # 2: two out, copies not allowed
    ran = fresh(pay)
    ran._check(StartAttempt("r1", 1))
    ran.results["r1", 0] = AttemptResult.ERROR
    breach(ran, Reject("r1"))  # 2: rejected though it may have run
    breach(ran, StartAttempt("r1", 2))  # 2: unsafe and sent again
    drains = fresh(
        one, EndpointUpdate(EndpointUpdateKind.DELTA, [places(1)[0]._replace(state=EndpointState.DRAINING)])
    )
    breach(drains, StartAttempt("r1", 1))  # 3
    with pytest.raises(AssertionError):  # 4
        check_slow_start_budget([START + i * MS for i in range(60)], START, Rules(slow_start_ns=SECOND), 10.0)
    row = [arrival(i, START, ROW, key="k") for i in (1, 2)]
    breach(fresh(*row), StartAttempt("r2", 1))  # 5: before the first of its key
    cools_down = fresh(*row)
    cools_down._check(StartAttempt("r1", 1))
    cools_down._record(cools_down.result("r1", 0, AttemptResult.RESET))
    cools_down._check(Fail("r1"))
    breach(cools_down, StartAttempt("r2", 1))  # 5: in the cooldown of its key
    breach(fresh(arrival(1, START, WEST)), StartAttempt("r1", 2))  # 6: zone
    breach(fresh(arrival(1, START, BIG)), StartAttempt("r1", 2))  # 6: kind
