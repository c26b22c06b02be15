"""Replicas that share an upstream announce their attempts at it to one another."""

from __future__ import annotations

import math
import random
from typing import Any

import pytest

from lanelift.policy.actions import Action, SendPeerMessage
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import AttemptResult, EndpointUpdate, EndpointUpdateKind, PeerMessageReceived
from lanelift.policy.peer_load import ATTEMPT_STARTED
from lanelift.policy.service_time import HintRegression
from lanelift.policy.settings import Limits, Prices, RequestClass
from tests.policy.checked_balancer import MS, SECOND, START, CheckedBalancer, arrival, settings, upstreams
from tests.policy.simulation import Simulation

PEER_LIMITS = Limits(max_attempts=3, may_cancel=True, peer_messages=True)
REPLICAS, EMULATORS = 12, 18


def sharing_balancer(**changes: Any) -> CheckedBalancer:
    changes = {"limits": PEER_LIMITS, "replica_count": REPLICAS, **changes}
    return CheckedBalancer(settings(**changes), upstream_count=EMULATORS)


def peer_messages(actions: list[Action]) -> list[SendPeerMessage]:
    return [a for a in actions if isinstance(a, SendPeerMessage)]


def simulate_busy_replicas(seed: int, peers: bool, lost: float = 0.0) -> Simulation:
    """Simulate many replicas with little traffic each; their upstreams are at six tenths of
    their capacity.
    """
    config = settings(
        classes={"quote": RequestClass("quote", latency_objective_ns=100 * MS, deadline_ns=400 * MS)},
        limits=Limits(max_attempts=3, may_cancel=True, peer_messages=peers),
        replica_count=REPLICAS,
    )
    simulation, rng, now = Simulation(config, EMULATORS, seed, lost=lost), random.Random(seed), 0.0
    while now < 10:
        now += rng.expovariate(0.6 * EMULATORS / 0.040)
        work = max(1, int(rng.lognormvariate(3.5, 0.6) * MS))
        simulation.schedule_request(
            int(now * SECOND), "ash", work, "quote", 100 * MS, rng.randrange(REPLICAS)
        )
    simulation.run_until(11 * SECOND)
    return simulation


def test_an_attempt_is_announced_only_to_the_replicas_that_share_its_upstream() -> None:
    """One attempt: a message goes to each replica that has its upstream in its subset, and to no other."""
    checked = sharing_balancer()
    actions = checked.handle(arrival(1, checked.now))
    number = checked.attempts["r1"][0][0].id
    subsets = []
    for replica in range(1, REPLICAS):
        other = Balancer(settings(limits=PEER_LIMITS, replica_count=REPLICAS, replica=replica), 1, START)
        other.handle(START, [EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(EMULATORS))])
        if any(
            s.id == number
            for s in other.registry.unrestricted_pool.subset.order[
                : other.registry.unrestricted_pool.subset.size
            ]
        ):
            subsets.append(replica)
    assert {t.peer for t in peer_messages(actions)} <= set(subsets)
    assert len(peer_messages(actions)) == 3
    assert all(len(t.data) <= 16 for t in peer_messages(actions))


@pytest.mark.parametrize(
    "changes",
    [
        {"limits": Limits(max_attempts=3, may_cancel=True)},
        {"prices": Prices(peer=1.0)},
        {"replica_count": 1},
        {"replica_count": 400},  # too many replicas share each upstream
    ],
)
def test_nothing_is_announced_if_that_is_not_allowed_or_too_expensive(changes: dict[str, Any]) -> None:
    """Peer messages are forbidden, cost too much, or would go to too many or no replicas: none is sent."""
    checked = sharing_balancer(**changes)
    assert not peer_messages(checked.handle(arrival(1, checked.now)))


def test_upstreams_with_announced_work_are_avoided() -> None:
    """Other replicas have announced work at all upstreams but one: that one is chosen."""
    checked = sharing_balancer()
    order = checked.balancer.registry.unrestricted_pool.subset.order
    own_subset = order[: checked.balancer.registry.unrestricted_pool.subset.size]
    free = own_subset[0].id
    for s in own_subset[1:]:
        checked.handle(PeerMessageReceived(3, ATTEMPT_STARTED.pack(1, s.id, 500)))
    checked.balancer.registry.unrestricted_pool.previous = own_subset[0]
    checked.handle(arrival(1, checked.now))
    assert checked.attempts["r1"][0][0].id == free


def test_own_attempts_count_as_queued_work() -> None:
    """Three requests arrive at one instant: they go to three upstreams, and each upstream has work queued."""
    checked = sharing_balancer()
    checked.handle(*(arrival(i, checked.now)._replace(cost_hint_ns=40 * MS) for i in range(3)))
    assert len({checked.attempts[f"r{i}"][0][0].id for i in range(3)}) == 3
    assert all(
        checked.balancer.registry.upstreams[sent[0][0].id].free_at_ns == checked.now + 40 * MS
        for sent in checked.attempts.values()
    )


def test_announced_work_counts_from_when_the_message_was_received() -> None:
    """A message is handled late: the work that it announces has begun in the meantime."""
    checked = sharing_balancer()
    upstream = checked.balancer.registry.unrestricted_pool.subset.order[0]
    checked.advance(SECOND)
    checked.handle(PeerMessageReceived(3, ATTEMPT_STARTED.pack(1, upstream.id, 500), checked.now - 30 * MS))
    assert upstream.queued_work_ns(checked.now, 0) == 20 * MS


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"x",
        b"\x00" * 10,
        b"\x09" * 11,
        ATTEMPT_STARTED.pack(1, 999, 5),
        ATTEMPT_STARTED.pack(2, 1, 5),
        b"\xff" * 256,
    ],
)
def test_an_invalid_message_is_ignored(data: bytes) -> None:
    """A message is too short or long, of another kind, or about an unknown upstream: it changes nothing."""
    checked = sharing_balancer()
    checked.handle(PeerMessageReceived(3, data))
    assert not any(s.free_at_ns for s in checked.balancer.registry.upstreams.values())


def test_a_flood_of_messages_needs_bounded_memory() -> None:
    """A replica announces a thousand attempts at one upstream. The number of reservations kept for these
    attempts, and the queued work estimated from them, are bounded.
    """
    checked = sharing_balancer()
    upstream = checked.balancer.registry.unrestricted_pool.subset.order[0]
    checked.handle(
        *(PeerMessageReceived(3, ATTEMPT_STARTED.pack(1, upstream.id, 0xFFFF)) for _ in range(1000))
    )
    assert len(upstream.reservations) <= 64
    assert upstream.queued_work_ns(checked.now, 0) <= SECOND  # so the upstream is not left idle for hours


def test_no_request_is_rejected_by_its_hint_before_responses_confirm_hints() -> None:
    """A client hints at two seconds before there are any responses, so no response has confirmed yet that
    cost hints are accurate.
    """
    checked = sharing_balancer()
    checked.handle(arrival(1, checked.now)._replace(cost_hint_ns=2 * SECOND))
    assert "r1" in checked.attempts and not checked.answer


def test_a_response_shows_that_earlier_attempts_are_completed() -> None:
    """A response shows that its upstream has completed all earlier attempts: only later work is still
    queued.
    """
    checked = sharing_balancer()
    checked.handle(arrival(1, checked.now))
    upstream = checked.balancer.registry.upstreams[checked.attempts["r1"][0][0].id]
    checked.advance(MS, MS)
    checked.handle(PeerMessageReceived(3, ATTEMPT_STARTED.pack(1, upstream.id, 300)))
    checked.advance(MS, MS)
    checked.finish("r1")
    assert upstream.queued_work_ns(checked.now, 0) == 30 * MS


@pytest.mark.parametrize(
    "result", [AttemptResult.REJECTED, AttemptResult.ERROR, AttemptResult.CONNECT_FAILED]
)
def test_a_rejected_attempt_is_not_queued_work(result: AttemptResult) -> None:
    """The upstream did not execute the request, so the request's work is not queued at the upstream."""
    checked = sharing_balancer()
    checked.handle(arrival(1, checked.now))
    upstream = checked.balancer.registry.upstreams[checked.attempts["r1"][0][0].id]
    checked.finish("r1", result)
    assert checked.attempts["r1"][1][0].id == upstream.id or not upstream.queued_work_ns(checked.now, 0)


def test_a_request_that_takes_longer_than_its_client_waits_is_rejected_immediately() -> None:
    """Cost hints have proved accurate, and one request would take longer than its client waits."""
    checked = sharing_balancer()
    for i in range(1, 200):
        checked.balancer.state.service_times.by_hint.observe(i * MS, i * MS)
    hopeless = arrival(1, checked.now)._replace(cost_hint_ns=900 * MS)
    checked.handle(hopeless, arrival(2, checked.now)._replace(cost_hint_ns=500 * MS))
    assert checked.answer == {"r1": "rejected"} and "r2" in checked.attempts


@pytest.mark.parametrize(("ahead_ms", "answer"), [(0, None), (100, None), (260, "rejected")])
def test_a_request_that_queued_work_would_make_late_is_rejected(ahead_ms: int, answer: str | None) -> None:
    """All upstreams had work queued: all responses were late, and each client sent its request again."""
    checked = sharing_balancer()
    for s in checked.balancer.registry.upstreams.values():
        checked.handle(PeerMessageReceived(3, ATTEMPT_STARTED.pack(1, s.id, max(1, 10 * ahead_ms))))
    checked.advance(MS, MS)
    checked.handle(arrival(1, checked.now)._replace(cost_hint_ns=50 * MS))
    assert checked.answer.get("r1") == answer


@pytest.mark.parametrize("power", [0.3, 1.0, 0.0])
def test_the_relation_of_hints_and_durations_is_learned(power: float) -> None:
    """Requests with hints of 6 ms took 30 ms and requests with hints of 200 ms took 80 ms, so the sum of raw
    hints was misleading.
    """
    regression, rng = HintRegression(), random.Random(3)
    assert regression.estimate_ns(20 * MS) == 20 * MS
    for _ in range(200):
        hint = int(math.exp(rng.gauss(3, 1)) * MS) + 1
        regression.observe(hint, 30 * MS * (hint / (20 * MS)) ** power * rng.uniform(0.8, 1.25))
    for hint in (5, 20, 100):
        assert regression.estimate_ns(hint * MS) == pytest.approx(30 * MS * (hint / 20) ** power, rel=0.2)
    regression.observe(1, 0)  # an extreme sample
    assert 0 < regression.estimate_ns(1) < 10 * SECOND


def test_one_response_does_not_determine_the_estimate() -> None:
    """After one sample, the estimate lies between the sample's time and a time proportional to the hint."""
    regression = HintRegression()
    regression.observe(10 * MS, 90 * MS)
    assert regression.estimate_ns(10 * MS) == pytest.approx(90 * MS)
    assert 90 * MS < regression.estimate_ns(40 * MS) < 360 * MS


@pytest.mark.parametrize("seed", [1, 2])
def test_announcements_raise_the_served_share_and_lost_messages_cost_little(seed: int) -> None:
    """The counts of a replica with one request in flight say nearly nothing about two drawn upstreams."""
    without_messages, announcing, with_losses = (
        simulate_busy_replicas(seed, False),
        simulate_busy_replicas(seed, True),
        simulate_busy_replicas(seed, True, lost=0.2),
    )
    assert announcing.share("ash") > without_messages.share("ash") + 0.03
    assert with_losses.share("ash") > without_messages.share("ash") + 0.02
    assert not without_messages.messages and announcing.messages <= 4 * announcing.counts["ash", "requested"]
