"""Random legal sequences of events, with each action checked against the rules."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from lanelift.policy.events import (
    AttemptResult,
    BodyReceived,
    ClientDisconnected,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    ResponseStarted,
)
from lanelift.policy.settings import Limits
from tests.policy.checked_balancer import (
    BIG_ONLY,
    KEYED_ANYWHERE,
    KEYED_IN_CELL,
    MS,
    ORDERED,
    PAY,
    READ,
    SECOND,
    WEST_ONLY,
    CheckedBalancer,
    arrival,
    mixed_endpoints,
    settings,
)

RESULTS = [AttemptResult.OK] * 6 + [r for r in AttemptResult if r is not AttemptResult.TIMEOUT]


@hyp(derandomize=True, deadline=None, max_examples=120)
@given(st.integers(0, 10**6), st.booleans(), st.booleans(), st.integers(1, 9))
def test_random_schedules_keep_the_rules(seed: int, hedging: bool, push: bool, upstream_count: int) -> None:
    """For any legal order of arrivals, outcomes, updates and timers, every action is legal and each request
    gets one answer.
    """
    rng = random.Random(seed)
    limits = Limits(
        max_attempts=rng.choice([1, 2, 3, 5]),
        hedging=hedging,
        may_cancel=rng.random() < 0.7,
        retry_after=True,
        load_probes=True,
        peer_messages=True,
    )
    checked = CheckedBalancer(
        settings(limits=limits, discovery_push=push, replica_count=rng.choice([1, 3, 40])),
        seed,
        upstream_count,
    )
    pool = mixed_endpoints(upstream_count)
    checked.handle(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, pool))
    for number in range(rng.randint(5, 120)):
        for _ in range(rng.choice([0, 1, 1, 2, 12])):
            cls = rng.choice(
                [READ, PAY, KEYED_IN_CELL, KEYED_ANYWHERE, ORDERED, ORDERED, WEST_ONLY, BIG_ONLY]
            )
            name = f"{number}-{rng.random()}"
            arrived = arrival(
                name,
                checked.now,
                cls,
                rng.choice(["ash", "birch"]),
                rng.choice([2, 40, 300, 900]) * MS,
                rng.random() < 0.2,
                rng.choice(["", "k1", "k2"]),
            )
            checked.handle(arrived._replace(body_pending=rng.random() < 0.2))
        for request, attempt in checked.attempts_in_flight():
            if (
                rng.random() < 0.1
                and request not in checked.answer
                and request not in checked.response_started
            ):
                upstream, sent = checked.attempts[request][attempt]
                checked.handle(ResponseStarted(request, attempt, upstream.id, checked.now - sent))
            elif request in checked.body_pending and request not in checked.answer and rng.random() < 0.3:
                checked.handle(BodyReceived(request, checked.now + rng.choice([2, 40, 300]) * MS))
            elif request in checked.body_pending and rng.random() < 0.3:
                checked.handle(
                    checked.result(request, attempt, AttemptResult.CONNECT_FAILED)._replace(
                        body_consumed=True
                    )
                )
            elif rng.random() < 0.4:
                checked.handle(checked.result(request, attempt, rng.choice(RESULTS)))
        if rng.random() < 0.1:
            open_ones = [r for r in checked.classes if r not in checked.answer]
            if open_ones:
                checked.handle(ClientDisconnected(rng.choice(open_ones)))
        if rng.random() < 0.1:
            i = rng.randrange(len(pool))
            started = checked.now if rng.random() < 0.5 else pool[i].started_ns
            pool[i] = pool[i]._replace(state=rng.choice(list(EndpointState)), started_ns=started)
            kind = rng.choice(
                [EndpointUpdateKind.DELTA, EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.CACHED]
            )
            checked.handle(EndpointUpdate(kind, [pool[i]] if kind is EndpointUpdateKind.DELTA else pool))
        if not push and rng.random() < 0.05:
            checked.handle(EndpointUpdate(EndpointUpdateKind.FAILED))
        checked.advance(rng.choice([0, 1, 10, 50]) * MS)
    checked.advance(2 * SECOND)
    while out := checked.attempts_in_flight():  # responses and bodies in transfer may take any time
        request, attempt = out[0]
        assert request in checked.response_started or request in checked.body_pending
        checked.handle(checked.result(request, attempt, rng.choice(RESULTS)))
    assert set(checked.answer) == set(checked.classes)
    assert not checked.balancer.state.attempts_in_flight and not checked.balancer.requests
