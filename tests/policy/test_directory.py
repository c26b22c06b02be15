"""Updates of tenants from a directory while requests are in flight: the policy alone, without the
directory.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import example, given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from lanelift.policy import tenants
from lanelift.policy.actions import Action, CancelAttempt, Fail, Reject, StartAttempt
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    RequestArrived,
    TenantUpdate,
)
from lanelift.policy.requests import WaitingPlace
from lanelift.policy.settings import Idempotency, Limits, RequestClass, Settings, Tenant, UnknownTenants
from lanelift.policy.token_bucket import TokenBucket
from tests.policy.checked_balancer import MS, SECOND, CheckedBalancer, actions_of_type, arrival
from tests.policy.simulation import Simulation

QUOTE = RequestClass("quote", Idempotency.IDEMPOTENT, latency_objective_ns=264 * MS, deadline_ns=661 * MS)
HISTORY = RequestClass("history", Idempotency.IDEMPOTENT, latency_objective_ns=264 * MS, deadline_ns=661 * MS)
LIMITS = Limits(max_attempts=3, may_cancel=True, retry_after=True, max_retry_after_ns=2 * SECOND)


def settings(**tenants: float) -> Settings:
    return Settings(
        classes={c.name: c for c in (QUOTE, HISTORY)},
        tenants={name: Tenant(name, share) for name, share in tenants.items()},
        limits=LIMITS,
    )


def tenant_update(*tenants: Tenant, removed: tuple[str, ...] = (), deny: bool | None = None) -> TenantUpdate:
    unknown_served = None if deny is None else UnknownTenants.DENY if deny else UnknownTenants.SHARE
    return TenantUpdate(tenants, removed, unknown_served)


class PlainBalancer:
    """A balancer whose clock and upstream responses are controlled by the test."""

    def __init__(self, known: Settings, upstreams: int = 4) -> None:
        self.balancer = Balancer(known, 1, 0)
        self.now = SECOND
        self.count = 0
        self.handle(
            EndpointUpdate(EndpointUpdateKind.SNAPSHOT, [Endpoint(i) for i in range(1, upstreams + 1)])
        )

    def handle(self, *events: Event) -> list[Action]:
        return self.balancer.handle(self.now, events)

    def request(self, tenant: str, cls: str = "quote", retry: bool = False) -> list[Action]:
        self.count += 1
        return self.handle(
            RequestArrived(f"r{self.count}", cls, tenant, self.now + 661 * MS, 20 * MS, retry=retry)
        )

    def serve(self, tenant: str) -> bool:
        """Let a request arrive and its attempt succeed immediately; return whether there was an attempt."""
        sent = actions_of_type(StartAttempt, self.request(tenant))
        for send in sent:
            self.outcome(self.count, send.upstream, AttemptResult.OK)
        return bool(sent)

    def outcome(self, number: int, upstream: int, result: AttemptResult, attempt: int = 0) -> list[Action]:
        complete = result is AttemptResult.OK
        return self.handle(AttemptFinished(f"r{number}", attempt, upstream, result, 20 * MS, complete))


def test_settings_apply_until_a_directory_has_named_all_tenants() -> None:
    """A directory names one tenant: all tenants are served until the directory has named all tenants; then
    unlisted tenants are denied.
    """
    plain = PlainBalancer(settings(ash=1))
    assert actions_of_type(StartAttempt, plain.request("ash")) and actions_of_type(
        StartAttempt, plain.request("nobody")
    )
    plain.handle(tenant_update(Tenant("birch", 2.0)))
    for name in ("ash", "birch", "nobody"):
        assert actions_of_type(StartAttempt, plain.request(name)), name
    plain.handle(tenant_update(removed=("ash",), deny=True))
    assert actions_of_type(StartAttempt, plain.request("birch"))
    for name in ("ash", "nobody", ""):
        assert plain.request(name)[0] == Fail(f"r{plain.count}", "unknown tenant")


def test_without_listed_tenants_all_are_admitted_until_all_are_named() -> None:
    """No tenant is in the settings: all share one bank until the directory has named all tenants;
    unknown tenants share a small bank afterwards.
    """
    plain = PlainBalancer(settings())
    plain.handle(tenant_update(Tenant("ash")))
    assert plain.balancer.state.tenants.banks.keys() == {""}
    assert all(plain.serve("nobody") for _ in range(50))
    plain.handle(tenant_update(deny=False))
    assert "" not in plain.balancer.state.tenants.banks
    assert plain.serve("nobody")  # the tenant now uses the small bank that unknown tenants share
    assert tenants.UNKNOWN_TENANTS_WEIGHT in plain.balancer.state.tenants.shared_banks


@pytest.mark.parametrize(
    ("tenant", "why"),
    [
        (Tenant("ash", denial_reason="suspended"), "suspended"),
        (Tenant("ash", classes=frozenset({"history"})), "class not allowed"),
        (Tenant("ash", rate_limits=(("quote", 0.0),)), "limit of 0"),
        (Tenant("ash", rate_limits=(("", 0.0),)), "limit of 0"),
    ],
)
def test_a_denied_tenant_fails_immediately_and_is_admitted_again_later(tenant: Tenant, why: str) -> None:
    """A tenant is suspended, may not use the class or has a limit of 0: its request fails immediately, with
    the reason.
    """
    plain = PlainBalancer(settings(ash=1))
    plain.handle(tenant_update(tenant))
    assert plain.request("ash") == [Fail("r1", why)]
    assert plain.balancer.requests == {}
    plain.handle(tenant_update(Tenant("ash")))
    assert actions_of_type(StartAttempt, plain.request("ash"))


def test_only_the_class_that_is_not_allowed_is_denied() -> None:
    """A tenant may use one class of two: only requests of the other class are denied."""
    plain = PlainBalancer(settings())
    plain.handle(tenant_update(Tenant("ash", classes=frozenset({"history"}), rate_limits=(("quote", 0.0),))))
    assert actions_of_type(StartAttempt, plain.request("ash", "history"))


@pytest.mark.parametrize(
    "result", [AttemptResult.REJECTED, AttemptResult.RESET, AttemptResult.TIMEOUT, AttemptResult.ERROR]
)
@pytest.mark.parametrize("how", ["suspended", "removed", "class"])
def test_an_attempt_in_flight_at_a_denial_ends_and_is_not_retried(result: AttemptResult, how: str) -> None:
    """A tenant is denied while its attempt is in flight, which then fails: there is no retry, and the
    request fails with the reason.
    """
    plain = PlainBalancer(settings(ash=1))
    sent = actions_of_type(StartAttempt, plain.request("ash"))
    updates = {
        "suspended": tenant_update(Tenant("ash", denial_reason="suspended")),
        "removed": tenant_update(removed=("ash",), deny=True),
        "class": tenant_update(Tenant("ash", classes=frozenset({"history"}))),
    }[how]
    assert not actions_of_type(Fail, plain.handle(updates)) and not actions_of_type(
        CancelAttempt, plain.handle(updates)
    )
    done = plain.outcome(1, sent[0].upstream, result)
    assert not actions_of_type(StartAttempt, done) and len(actions_of_type(Fail, done)) == 1
    assert actions_of_type(Fail, done)[0].denial_reason
    assert plain.balancer.requests == {}


def test_a_response_to_an_attempt_in_flight_at_a_denial_is_passed_on() -> None:
    """A tenant is suspended while its attempt is in flight, which then succeeds: its client gets the
    response.
    """
    plain = PlainBalancer(settings(ash=1))
    sent = actions_of_type(StartAttempt, plain.request("ash"))
    plain.handle(tenant_update(Tenant("ash", denial_reason="suspended")))
    assert not actions_of_type(Fail, plain.outcome(1, sent[0].upstream, AttemptResult.OK))
    assert plain.balancer.requests == {}


def test_a_suspension_that_ends_in_time_allows_a_retry() -> None:
    """A tenant is suspended and admitted again while its attempt is in flight: the request may be retried."""
    plain = PlainBalancer(settings(ash=1))
    sent = actions_of_type(StartAttempt, plain.request("ash"))
    plain.handle(tenant_update(Tenant("ash", denial_reason="suspended")))
    plain.handle(tenant_update(Tenant("ash")))
    assert actions_of_type(StartAttempt, plain.outcome(1, sent[0].upstream, AttemptResult.REJECTED))


def make_request_wait(plain: PlainBalancer, where: WaitingPlace, tenant: str) -> str:
    """Make a request of this tenant wait in this place; return the request's identifier."""
    if where is WaitingPlace.POOL_QUEUE:
        plain.balancer.state.concurrency.window = 0.0
        while not [
            r
            for r in plain.balancer.requests.values()
            if r.tenant_name == tenant and r.place is WaitingPlace.POOL_QUEUE
        ]:
            plain.request(tenant)
    else:
        token_bank = plain.balancer.state.tenants.banks[tenant]
        token_bank.set_rate(10.0, plain.now)
        while not token_bank.buffered:
            plain.request(tenant)
    return next(
        r.id for r in plain.balancer.requests.values() if r.place is where and r.tenant_name == tenant
    )


@pytest.mark.parametrize(
    "where",
    [
        pytest.param(WaitingPlace.TOKEN_BUFFER, id="token-buffer"),
        pytest.param(WaitingPlace.POOL_QUEUE, id="pool-queue"),
    ],
)
def test_a_waiting_request_is_denied_immediately(where: WaitingPlace) -> None:
    """A tenant is suspended while its request waits: the request fails immediately, and requests of other
    tenants keep waiting.
    """
    plain = PlainBalancer(settings(ash=1, birch=1))
    name = make_request_wait(plain, where, "ash")
    other = make_request_wait(plain, where, "birch")
    failures = actions_of_type(Fail, plain.handle(tenant_update(Tenant("ash", denial_reason="suspended"))))
    assert Fail(name, "suspended") in failures
    waiting = [r for r in plain.balancer.requests.values() if r.place is not WaitingPlace.NOWHERE]
    assert waiting and not [r for r in waiting if r.tenant_name == "ash"]
    assert other in {r.id for r in waiting}


@pytest.mark.parametrize(
    "where",
    [
        pytest.param(WaitingPlace.TOKEN_BUFFER, id="token-buffer"),
        pytest.param(WaitingPlace.POOL_QUEUE, id="pool-queue"),
    ],
)
def test_a_waiting_request_of_a_removed_tenant_is_served_if_unknown_ones_are_admitted(
    where: WaitingPlace,
) -> None:
    """A tenant is removed while its request waits, and unknown tenants are admitted: the request is
    forwarded in time.
    """
    plain = PlainBalancer(settings(ash=1, birch=1))
    name = make_request_wait(plain, where, "ash")
    assert not actions_of_type(Fail, plain.handle(tenant_update(removed=("ash",), deny=False)))
    assert plain.balancer.requests[name].place is where
    plain.balancer.state.concurrency.window = 10.0
    sent: set[str] = set()
    for r in list(plain.balancer.requests.values()):
        for number, attempt in enumerate(r.attempts):
            done = AttemptFinished(r.id, number, attempt.upstream.id, AttemptResult.OK, 20 * MS, True)
            sent |= {s.request for s in actions_of_type(StartAttempt, plain.handle(done))}
    for _ in range(20):
        plain.now += 10 * MS
        sent |= {s.request for s in actions_of_type(StartAttempt, plain.handle())}
    assert name in sent


def test_a_request_that_waits_for_its_key_is_denied_and_the_next_is_forwarded() -> None:
    """The second of three requests of a key is denied: the third is forwarded after the first."""
    ordered = RequestClass(
        "quote",
        Idempotency.IDEMPOTENT,
        ordered_by_key=True,
        latency_objective_ns=SECOND,
        deadline_ns=2 * SECOND,
    )
    plain = PlainBalancer(
        Settings(
            classes={"quote": ordered},
            tenants={"ash": Tenant("ash"), "birch": Tenant("birch")},
            limits=LIMITS,
        )
    )
    deadline = plain.now + 2 * SECOND
    plain.handle(RequestArrived("a", "quote", "ash", deadline, key="k"))
    plain.handle(RequestArrived("b", "quote", "ash", deadline, key="k"))
    plain.handle(RequestArrived("c", "quote", "birch", deadline, key="k"))
    failures = plain.handle(tenant_update(Tenant("ash", denial_reason="suspended")))
    assert actions_of_type(Fail, failures) == [Fail("b", "suspended")]
    first = plain.balancer.requests["a"].attempts[0].upstream.id
    done = plain.handle(AttemptFinished("a", 0, first, AttemptResult.OK, MS, True))
    assert [s.request for s in actions_of_type(StartAttempt, done)] == ["c"]


# ---- limits --------------------------------------------------------------------------------------------


def test_a_request_over_a_limit_gets_a_retry_after() -> None:
    """A tenant exceeds the limit of one class: its requests of this class are rejected, with the time until
    the next token; its requests of other classes are served.
    """
    plain = PlainBalancer(settings())
    plain.handle(tenant_update(Tenant("ash", rate_limits=(("quote", 4.0),))))
    answers = [plain.request("ash") for _ in range(6)]
    # The bucket holds the tokens of one second.
    assert all(actions_of_type(StartAttempt, a) for a in answers[:4])
    rejected = [actions_of_type(Reject, a)[0] for a in answers[4:]]
    assert all(r.rate_limited and 0.25 * SECOND <= r.retry_after_ns <= 0.375 * SECOND for r in rejected)
    # The limit does not apply to this class.
    assert actions_of_type(StartAttempt, plain.request("ash", "history"))
    plain.now += SECOND // 4
    assert actions_of_type(StartAttempt, plain.request("ash"))
    assert actions_of_type(Reject, plain.request("ash"))


def test_a_limit_is_for_all_replicas_together_and_changes_at_run_time() -> None:
    """Each of four replicas enforces a quarter of a limit, and applies a new limit immediately."""
    known = Settings(classes={"quote": QUOTE}, limits=LIMITS, replica_count=4)
    plain = PlainBalancer(known)
    plain.handle(tenant_update(Tenant("ash", rate_limits=(("", 8.0),))))
    served = sum(bool(actions_of_type(StartAttempt, plain.request("ash"))) for _ in range(10))
    assert served == 2  # each of four replicas enforces a quarter of the limit of 8
    plain.handle(tenant_update(Tenant("ash", rate_limits=(("", 400.0),))))
    plain.request("ash")  # the bucket is filled at the old limit up to now
    plain.now += SECOND // 10
    assert sum(bool(actions_of_type(StartAttempt, plain.request("ash"))) for _ in range(20)) >= 3


@given(
    st.floats(0.5, 50),
    st.lists(st.integers(0, 2 * SECOND), min_size=1, max_size=200),
)
@example(5.0, [0, 0, 2434, 4637, 3, 133])  # rounding left less than a token after the returned time
@hyp(max_examples=50, deadline=None)
def test_no_more_requests_pass_than_the_limit_and_its_burst(rate: float, gaps: list[int]) -> None:
    """Whatever the gaps between requests are, no more requests pass than the limit allows, plus a burst: one
    second of the limit, or one request.
    """
    bucket, now = TokenBucket(rate, 0), 0
    for taken, gap in enumerate(gaps, 1):
        now += gap
        wait = bucket.wait_ns(rate, now)
        if wait:
            # A token is available after the returned time.
            assert TokenBucket.wait_ns(bucket, rate, now + wait) == 0
            now += wait
        bucket.tokens -= 1
        assert taken <= rate * now / SECOND + max(1.0, rate) + 1e-6


# ---- token banks and buckets ---------------------------------------------------------------------------


def test_only_tenants_that_send_requests_have_token_banks() -> None:
    """A directory names twenty thousand tenants, and fifty send a request: there are fifty banks, and
    none after a pause.
    """
    plain = PlainBalancer(settings())
    plain.handle(
        *(tenant_update(*(Tenant(f"t{i}") for i in range(k, k + 100))) for k in range(0, 20_000, 100))
    )
    plain.handle(tenant_update(deny=True))
    for i in range(0, 5000, 100):
        plain.request(f"t{i}")
    assert len(plain.balancer.state.tenants.banks) == 50
    for i in range(1, plain.count + 1):
        r = plain.balancer.requests[f"r{i}"]
        if r.attempts:
            plain.outcome(i, r.attempts[0].upstream.id, AttemptResult.OK)
    for _ in range(400):
        plain.now += SECOND // 2
        plain.handle()
    assert not plain.balancer.state.tenants.banks and not plain.balancer.state.rate.banks
    assert plain.request("t7")[0]


def test_tenants_beyond_the_bound_share_one_token_bank(monkeypatch: pytest.MonkeyPatch) -> None:
    """More tenants send requests than there may be banks: the tenants beyond that number share one."""
    monkeypatch.setattr(tenants, "MAX_TOKEN_BANKS", 10)
    plain = PlainBalancer(settings(), upstreams=100)
    plain.handle(tenant_update(*(Tenant(f"t{i}") for i in range(30)), deny=True))
    for i in range(30):
        assert actions_of_type(StartAttempt, plain.request(f"t{i}"))
    registry = plain.balancer.state.tenants
    assert 9 <= len(registry.banks) <= 10 and tenants.OVERFLOW_TENANTS_WEIGHT in registry.shared_banks


def test_token_buckets_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """More limits are in use than there may be buckets: the limits beyond that number are not enforced."""
    monkeypatch.setattr(tenants, "MAX_TOKEN_BUCKETS", 5)
    plain = PlainBalancer(settings(), upstreams=100)
    plain.handle(tenant_update(*(Tenant(f"t{i}", rate_limits=(("", 1.0),)) for i in range(30)), deny=True))
    for i in range(30):
        assert actions_of_type(StartAttempt, plain.request(f"t{i}"))
    assert len(plain.balancer.state.tenants.buckets) == 5
    plain.now += 2 * SECOND
    plain.handle()
    assert not plain.balancer.state.tenants.buckets


def test_tokens_of_a_removed_tenant_are_not_lent_twice() -> None:
    """A tenant spends its tokens, is removed and is added again: it gets its former bank, and not a new, full
    one.
    """
    plain = PlainBalancer(settings(ash=1, birch=1), upstreams=100)
    token_bank = plain.balancer.state.tenants.banks["ash"]
    plain.balancer.state.rate.rate_per_s = 40.0
    plain.balancer.state.rate.set_banks(plain.balancer.state.rate.banks, plain.now)
    while token_bank.balance > token_bank.buffer_capacity:
        plain.request("ash")
    plain.handle(tenant_update(removed=("ash",), deny=True))
    assert token_bank not in plain.balancer.state.rate.banks
    plain.handle(tenant_update(Tenant("ash", 1.0)))
    plain.request("ash")
    again = plain.balancer.state.tenants.banks["ash"]
    assert again is token_bank and again.balance <= again.buffer_capacity
    assert again.rate_per_s == pytest.approx(plain.balancer.state.rate.rate_per_s / 2)


def test_a_change_of_weight_keeps_tokens_and_buffered_requests() -> None:
    """The share of a tenant changes while its requests are buffered: the requests and its tokens remain."""
    plain = PlainBalancer(settings(ash=1, birch=1))
    make_request_wait(plain, WaitingPlace.TOKEN_BUFFER, "ash")
    token_bank = plain.balancer.state.tenants.banks["ash"]
    balance, buffered = token_bank.balance - token_bank.buffer_capacity, list(token_bank.buffered)
    plain.handle(tenant_update(Tenant("ash", 3.0)))
    assert token_bank.weight == 3.0 and list(token_bank.buffered)[: len(buffered)] == buffered
    assert token_bank.balance - token_bank.buffer_capacity == balance


def test_only_the_ratio_of_shares_counts() -> None:
    """The shares of tenants need not sum to one: only the ratio of the shares counts."""
    for scale in (1e-5, 1.0, 1e6):
        plain = PlainBalancer(settings())
        plain.handle(tenant_update(Tenant("ash", scale), Tenant("birch", 3 * scale), deny=True))
        plain.request("ash"), plain.request("birch")
        token_banks = plain.balancer.state.tenants.banks
        for token_bank in token_banks.values():
            token_bank.demand_per_s = 1e6  # both tenants demand more than the rate R
        plain.handle(tenant_update(Tenant("ash", scale * 1.000001)))
        assert token_banks["birch"].rate_per_s == pytest.approx(3 * token_banks["ash"].rate_per_s, rel=0.01)


# ---- simulations ---------------------------------------------------------------------------------------


def simulate(updates: dict[float, TenantUpdate], seed: int, length_s: float = 20.0) -> Simulation:
    """Simulate four upstreams (80 requests per second), three tenants of 15 per second each, and these
    updates.
    """
    rng = random.Random(seed)
    simulation = Simulation(settings(ash=1, birch=1, cedar=1), 4, seed)
    for tenant in ("ash", "birch", "cedar"):
        now = 0.0
        while now < length_s:
            now += rng.expovariate(15)
            simulation.schedule_request(
                int(now * SECOND), tenant, int(rng.expovariate(1 / 50) * MS) + MS, "quote", 300 * MS
            )
    for at, update in updates.items():
        simulation.schedule(int(at * SECOND), "tenant_update", update)
    simulation.run_until(int((length_s + 2) * SECOND))
    assert len(simulation.answered) == len(simulation.tenant)  # each request has one answer
    return simulation


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_changes_of_one_tenant_do_not_affect_the_others(seed: int) -> None:
    """One tenant is updated every second: the other tenants are served as in a run without updates."""
    calm = simulate({}, seed)
    changes: dict[float, TenantUpdate] = {0.5: tenant_update(deny=True)}
    for i in range(1, 19):
        changes[float(i)] = [
            tenant_update(removed=("cedar",)),
            tenant_update(Tenant("cedar", 5.0)),
            tenant_update(Tenant("cedar", 0.2, denial_reason="suspended")),
        ][i % 3]
    busy = simulate(changes, seed)
    for tenant in ("ash", "birch"):
        assert busy.share(tenant) > calm.share(tenant) - 0.01
    assert busy.counts["cedar", "failed"] > 50


@given(st.integers(0, 2**32), st.lists(st.integers(0, 7), min_size=5, max_size=40))
@hyp(max_examples=40, deadline=None)
def test_each_request_gets_one_answer_whatever_the_updates(seed: int, steps: list[int]) -> None:
    """Arrivals, outcomes and updates come in any order: each request gets one answer, and no
    state remains.
    """
    rng = random.Random(seed)
    checked = CheckedBalancer(upstream_count=4)
    names = ["ash", "birch", "cedar"]
    count = 0
    for step in steps:
        name = rng.choice(names)
        if step < 3:
            count += 1
            event = arrival(count, checked.now)
            checked.handle(event._replace(tenant=name))
        elif step == 3:
            checked.handle(tenant_update(Tenant(name, rng.choice([0.1, 1.0, 9.0]))))
        elif step == 4:
            checked.handle(tenant_update(Tenant(name, denial_reason="suspended")))
        elif step == 5:
            checked.handle(tenant_update(removed=(name,), deny=rng.random() < 0.5))
        elif step == 6 and checked.attempts_in_flight():
            request, number = rng.choice(checked.attempts_in_flight())
            checked.finish(request, rng.choice(list(AttemptResult)), number)
        else:
            checked.advance(rng.randrange(MS, 300 * MS))
    checked.advance(4 * SECOND)
    assert not checked.balancer.requests
    assert checked.answer.keys() >= {f"r{i}" for i in range(1, count + 1)}
