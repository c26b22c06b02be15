"""The checker itself: it detects a violation of each rule."""

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
    BIG_ONLY,
    MS,
    ORDERED,
    PAY,
    SECOND,
    START,
    WEST_ONLY,
    CheckedBalancer,
    arrival,
    check_slow_start_budget,
    mixed_endpoints,
    settings,
)


def check_illegal(checked: CheckedBalancer, *actions: Action) -> None:
    """Check actions, and expect that one of them is reported as illegal."""
    with pytest.raises(AssertionError):
        for action in actions:
            checked._check(action)


def test_the_checker_detects_a_violation_of_each_rule() -> None:
    """A checker that detects nothing would let every other test pass."""

    def fresh(*events: Event) -> CheckedBalancer:
        checked = CheckedBalancer(settings(limits=Limits(max_attempts=3)), upstream_count=0)
        for e in (EndpointUpdate(EndpointUpdateKind.SNAPSHOT, mixed_endpoints(6)), *events):
            checked._record(e)
        return checked

    one, pay = arrival(1, START), arrival(1, START, PAY)
    # Rule 1: an attempt after the final answer.
    check_illegal(fresh(one), Reject("r1"), StartAttempt("r1", 1))
    check_illegal(fresh(one), Reject("r1"), Fail("r1"))  # rule 1: a second final answer
    # Rule 2: two attempts in flight without hedging.
    check_illegal(fresh(one), StartAttempt("r1", 1), StartAttempt("r1", 2))
    hedging = fresh(one._replace(body_pending=True))
    hedging.config = settings()
    # Rule 2: a body that can be sent only once is needed by two attempts in flight.
    check_illegal(hedging, StartAttempt("r1", 1), StartAttempt("r1", 2))
    ran = fresh(pay)
    ran._check(StartAttempt("r1", 1))
    ran.results["r1", 0] = AttemptResult.ERROR
    check_illegal(ran, Reject("r1"))  # rule 2: the request is rejected though it may have run
    check_illegal(ran, StartAttempt("r1", 2))  # rule 2: a non-idempotent request is sent again
    drains = fresh(
        one,
        EndpointUpdate(
            EndpointUpdateKind.DELTA, [mixed_endpoints(1)[0]._replace(state=EndpointState.DRAINING)]
        ),
    )
    check_illegal(drains, StartAttempt("r1", 1))  # rule 3: the upstream drains
    with pytest.raises(AssertionError):  # rule 4: the attempts are not paced
        check_slow_start_budget([START + i * MS for i in range(60)], START, Rules(slow_start_ns=SECOND), 10.0)
    row = [arrival(i, START, ORDERED, key="k") for i in (1, 2)]
    check_illegal(fresh(*row), StartAttempt("r2", 1))  # rule 5: the second request of a key is sent first
    cools_down = fresh(*row)
    cools_down._check(StartAttempt("r1", 1))
    cools_down._record(cools_down.result("r1", 0, AttemptResult.RESET))
    cools_down._check(Fail("r1"))
    check_illegal(cools_down, StartAttempt("r2", 1))  # rule 5: a request is sent in the cooldown of its key
    check_illegal(fresh(arrival(1, START, WEST_ONLY)), StartAttempt("r1", 2))  # rule 6: forbidden zone
    # Rule 6: forbidden kind of machine.
    check_illegal(fresh(arrival(1, START, BIG_ONLY)), StartAttempt("r1", 2))
