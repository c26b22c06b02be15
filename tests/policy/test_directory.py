"""Tenants that a directory names while requests are in flight: the policy alone, without the directory."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
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
from tests.policy.checked_balancer import MS, SECOND, CheckedBalancer, arrival, of
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
    """A balancer whose clock the test holds; upstreams are listed, and respond when the test says so."""

    def __init__(self, known: Settings, upstreams: int = 4) -> None:
        self.balancer = Balancer(known, 1, 0)
        self.now = SECOND
        self.count = 0
        self.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, [Endpoint(i) for i in range(1, upstreams + 1)]))

    def give(self, *events: Event) -> list[Action]:
        return self.balancer.handle(self.now, events)

    def request(self, tenant: str, cls: str = "quote", retry: bool = False) -> list[Action]:
        self.count += 1
        return self.give(
            RequestArrived(f"r{self.count}", cls, tenant, self.now + 661 * MS, 20 * MS, retry=retry)
        )

    def serve(self, tenant: str) -> bool:
        """Let a request arrive and its attempt succeed at once; return whether there was one."""
        sent = of(StartAttempt, self.request(tenant))
        for send in sent:
            self.outcome(self.count, send.upstream, AttemptResult.OK)
        return bool(sent)

    def outcome(self, number: int, upstream: int, result: AttemptResult, attempt: int = 0) -> list[Action]:
        complete = result is AttemptResult.OK
        return self.give(AttemptFinished(f"r{number}", attempt, upstream, result, 20 * MS, complete))


def test_settings_hold_until_a_directory_has_named_tenants() -> None:
    """A directory names one tenant: all are served until it has named all; from then on others are denied."""
    plain = PlainBalancer(settings(ash=1))
    assert of(StartAttempt, plain.request("ash")) and of(StartAttempt, plain.request("nobody"))
    plain.give(tenant_update(Tenant("birch", 2.0)))
    for name in ("ash", "birch", "nobody"):
        assert of(StartAttempt, plain.request(name)), name
    plain.give(tenant_update(removed=("ash",), deny=True))
    assert of(StartAttempt, plain.request("birch"))
    for name in ("ash", "nobody", ""):
        assert plain.request(name)[0] == Fail(f"r{plain.count}", "unknown tenant")


def test_where_no_tenant_is_listed_all_are_admitted_until_all_are_named() -> None:
    """No tenant is in the settings: all share one bank until the directory has named all, and unknown
    ones share a small one afterwards.
    """
    plain = PlainBalancer(settings())
    plain.give(tenant_update(Tenant("ash")))
    assert plain.balancer.state.tenants.banks.keys() == {""}
    assert all(plain.serve("nobody") for _ in range(50))
    plain.give(tenant_update(deny=False))
    assert "" not in plain.balancer.state.tenants.banks
    assert plain.serve("nobody")  # by the small throttle now
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
def test_denied_at_once_and_admitted_again_when_that_is_over(tenant: Tenant, why: str) -> None:
    """A tenant is suspended, may not use the class or has a limit of 0: its request fails at once, with
    the reason.
    """
    plain = PlainBalancer(settings(ash=1))
    plain.give(tenant_update(tenant))
    assert plain.request("ash") == [Fail("r1", why)]
    assert plain.balancer.requests == {}
    plain.give(tenant_update(Tenant("ash")))
    assert of(StartAttempt, plain.request("ash"))


def test_only_the_class_that_is_not_allowed_is_denied() -> None:
    """A tenant may use one class of two: only requests of the other are denied."""
    plain = PlainBalancer(settings())
    plain.give(tenant_update(Tenant("ash", classes=frozenset({"history"}), rate_limits=(("quote", 0.0),))))
    assert of(StartAttempt, plain.request("ash", "history"))


@pytest.mark.parametrize(
    "result", [AttemptResult.REJECTED, AttemptResult.RESET, AttemptResult.TIMEOUT, AttemptResult.ERROR]
)
@pytest.mark.parametrize("how", ["suspended", "removed", "class"])
def test_what_was_in_flight_gets_its_outcome_and_no_further_attempt(result: AttemptResult, how: str) -> None:
    """A tenant is denied while its attempt is in flight, which then fails: there is no retry, and the
    request fails with the reason.
    """
    plain = PlainBalancer(settings(ash=1))
    sent = of(StartAttempt, plain.request("ash"))
    updates = {
        "suspended": tenant_update(Tenant("ash", denial_reason="suspended")),
        "removed": tenant_update(removed=("ash",), deny=True),
        "class": tenant_update(Tenant("ash", classes=frozenset({"history"}))),
    }[how]
    assert not of(Fail, plain.give(updates)) and not of(CancelAttempt, plain.give(updates))
    done = plain.outcome(1, sent[0].upstream, result)
    assert not of(StartAttempt, done) and len(of(Fail, done)) == 1
    assert of(Fail, done)[0].denial_reason
    assert plain.balancer.requests == {}


def test_a_response_in_flight_as_its_tenant_is_denied_is_passed_on() -> None:
    """A tenant is suspended while its attempt is in flight, which then succeeds: its client gets the
    response.
    """
    plain = PlainBalancer(settings(ash=1))
    sent = of(StartAttempt, plain.request("ash"))
    plain.give(tenant_update(Tenant("ash", denial_reason="suspended")))
    assert not of(Fail, plain.outcome(1, sent[0].upstream, AttemptResult.OK))
    assert plain.balancer.requests == {}


def test_a_suspension_taken_back_in_time_allows_a_retry() -> None:
    """A tenant is suspended and admitted again while its attempt is in flight: the request may be retried."""
    plain = PlainBalancer(settings(ash=1))
    sent = of(StartAttempt, plain.request("ash"))
    plain.give(tenant_update(Tenant("ash", denial_reason="suspended")))
    plain.give(tenant_update(Tenant("ash")))
    assert of(StartAttempt, plain.outcome(1, sent[0].upstream, AttemptResult.REJECTED))


def place(plain: PlainBalancer, where: WaitingPlace, tenant: str) -> str:
    """Bring a request of this tenant to that place; its name."""
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
def test_a_waiting_request_is_denied_at_once(where: WaitingPlace) -> None:
    """A tenant is suspended while its request waits, wherever that is: it fails at once, and those of
    others wait on.
    """
    plain = PlainBalancer(settings(ash=1, birch=1))
    name = place(plain, where, "ash")
    other = place(plain, where, "birch")
    failures = of(Fail, plain.give(tenant_update(Tenant("ash", denial_reason="suspended"))))
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
def test_a_waiting_request_of_a_removed_tenant_goes_on_where_unknown_ones_are_admitted(
    where: WaitingPlace,
) -> None:
    """A tenant is removed while its request waits, and unknown tenants are admitted: the request is
    forwarded in time.
    """
    plain = PlainBalancer(settings(ash=1, birch=1))
    name = place(plain, where, "ash")
    assert not of(Fail, plain.give(tenant_update(removed=("ash",), deny=False)))
    assert plain.balancer.requests[name].place is where
    plain.balancer.state.concurrency.window = 10.0
    sent: set[str] = set()
    for r in list(plain.balancer.requests.values()):
        for number, attempt in enumerate(r.attempts):
            done = AttemptFinished(r.id, number, attempt.upstream.id, AttemptResult.OK, 20 * MS, True)
            sent |= {s.request for s in of(StartAttempt, plain.give(done))}
    for _ in range(20):
        plain.now += 10 * MS
        sent |= {s.request for s in of(StartAttempt, plain.give())}
    assert name in sent


def test_a_request_that_waits_for_its_key_is_denied_and_the_next_goes_on() -> None:
    """The second of three requests of a key is denied: the third follows the first."""
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
    plain.give(RequestArrived("a", "quote", "ash", deadline, key="k"))
    plain.give(RequestArrived("b", "quote", "ash", deadline, key="k"))
    plain.give(RequestArrived("c", "quote", "birch", deadline, key="k"))
    failures = plain.give(tenant_update(Tenant("ash", denial_reason="suspended")))
    assert of(Fail, failures) == [Fail("b", "suspended")]
    first = plain.balancer.requests["a"].attempts[0].upstream.id
    done = plain.give(AttemptFinished("a", 0, first, AttemptResult.OK, MS, True))
    assert [s.request for s in of(StartAttempt, done)] == ["c"]


# ---- limits --------------------------------------------------------------------------------------------


def test_a_request_over_a_limit_gets_a_retry_after() -> None:
    """A tenant asks for more than its limit: it is rejected, with the time until the next token; other
    classes are not.
    """
    plain = PlainBalancer(settings())
    plain.give(tenant_update(Tenant("ash", rate_limits=(("quote", 4.0),))))
    answers = [plain.request("ash") for _ in range(6)]
    assert all(of(StartAttempt, a) for a in answers[:4])  # a second's worth at once
    rejected = [of(Reject, a)[0] for a in answers[4:]]
    assert all(r.rate_limited and 0.25 * SECOND <= r.retry_after_ns <= 0.375 * SECOND for r in rejected)
    assert of(StartAttempt, plain.request("ash", "history"))  # not what the limit is of
    plain.now += SECOND // 4
    assert of(StartAttempt, plain.request("ash"))
    assert of(Reject, plain.request("ash"))


def test_a_limit_is_over_all_replicas_and_changes_at_run_time() -> None:
    """Each of four replicas has a quarter of a limit, and takes a new one at once."""
    known = Settings(classes={"quote": QUOTE}, limits=LIMITS, replica_count=4)
    plain = PlainBalancer(known)
    plain.give(tenant_update(Tenant("ash", rate_limits=(("", 8.0),))))
    served = sum(bool(of(StartAttempt, plain.request("ash"))) for _ in range(10))
    assert served == 2  # a quarter of eight
    plain.give(tenant_update(Tenant("ash", rate_limits=(("", 400.0),))))
    plain.request("ash")  # up to now the old limit counts
    plain.now += SECOND // 10
    assert sum(bool(of(StartAttempt, plain.request("ash"))) for _ in range(20)) >= 3


@given(
    st.floats(0.5, 50),
    st.lists(st.integers(0, 2 * SECOND), min_size=1, max_size=200),
)
@hyp(max_examples=50, deadline=None)
def test_never_more_than_the_limit_and_its_burst(rate: float, gaps: list[int]) -> None:
    """Whatever the gaps between requests, no more pass than the limit and one second of it."""
    bucket, now = TokenBucket(rate, 0), 0
    for taken, gap in enumerate(gaps, 1):
        now += gap
        wait = bucket.wait_ns(rate, now)
        if wait:
            assert TokenBucket.wait_ns(bucket, rate, now + wait) == 0  # the time told is enough
            now += wait
        bucket.tokens -= 1
        assert taken <= rate * now / SECOND + max(1.0, rate) + 1e-6


# ---- tables --------------------------------------------------------------------------------------------


def test_token_banks_are_of_tenants_that_send_requests() -> None:
    """A directory names twenty thousand tenants, and fifty send a request: there are fifty banks, and
    none after a pause.
    """
    plain = PlainBalancer(settings())
    plain.give(*(tenant_update(*(Tenant(f"t{i}") for i in range(k, k + 100))) for k in range(0, 20_000, 100)))
    plain.give(tenant_update(deny=True))
    for i in range(0, 5000, 100):
        plain.request(f"t{i}")
    assert len(plain.balancer.state.tenants.banks) == 50
    for i in range(1, plain.count + 1):
        r = plain.balancer.requests[f"r{i}"]
        if r.attempts:
            plain.outcome(i, r.attempts[0].upstream.id, AttemptResult.OK)
    for _ in range(400):
        plain.now += SECOND // 2
        plain.give()
    assert not plain.balancer.state.tenants.banks and not plain.balancer.state.rate.banks
    assert plain.request("t7")[0]


def test_tenants_beyond_the_bound_share_one_token_bank(monkeypatch: pytest.MonkeyPatch) -> None:
    """More tenants send requests than there may be banks: those beyond share one."""
    monkeypatch.setattr(tenants, "MAX_TOKEN_BANKS", 10)
    plain = PlainBalancer(settings(), upstreams=100)
    plain.give(tenant_update(*(Tenant(f"t{i}") for i in range(30)), deny=True))
    for i in range(30):
        assert of(StartAttempt, plain.request(f"t{i}"))
    ours = plain.balancer.state.tenants
    assert 9 <= len(ours.banks) <= 10 and tenants.OVERFLOW_TENANTS_WEIGHT in ours.shared_banks


def test_token_buckets_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """More limits are in use than there may be buckets: those beyond are not counted."""
    monkeypatch.setattr(tenants, "MAX_TOKEN_BUCKETS", 5)
    plain = PlainBalancer(settings(), upstreams=100)
    plain.give(tenant_update(*(Tenant(f"t{i}", rate_limits=(("", 1.0),)) for i in range(30)), deny=True))
    for i in range(30):
        assert of(StartAttempt, plain.request(f"t{i}"))
    assert len(plain.balancer.state.tenants.buckets) == 5
    plain.now += 2 * SECOND
    plain.give()
    assert not plain.balancer.state.tenants.buckets


def test_tokens_of_a_departed_tenant_are_not_lent_twice() -> None:
    """It spends what it has, leaves and comes back: with what it left with, not with a new bank."""
    plain = PlainBalancer(settings(ash=1, birch=1), upstreams=100)
    token_bank = plain.balancer.state.tenants.banks["ash"]
    plain.balancer.state.rate.rate_per_s = 40.0
    plain.balancer.state.rate.set_banks(plain.balancer.state.rate.banks, plain.now)
    while token_bank.balance > token_bank.buffer_capacity:
        plain.request("ash")
    plain.give(tenant_update(removed=("ash",), deny=True))
    assert token_bank not in plain.balancer.state.rate.banks
    plain.give(tenant_update(Tenant("ash", 1.0)))
    plain.request("ash")
    again = plain.balancer.state.tenants.banks["ash"]
    assert again is token_bank and again.balance <= again.buffer_capacity
    assert again.rate_per_s == pytest.approx(plain.balancer.state.rate.rate_per_s / 2)


def test_weights_change_and_tokens_and_buffered_requests_remain() -> None:
    """A tenant gets another share while requests of it are buffered: they remain, and so do its tokens."""
    plain = PlainBalancer(settings(ash=1, birch=1))
    place(plain, WaitingPlace.TOKEN_BUFFER, "ash")
    token_bank = plain.balancer.state.tenants.banks["ash"]
    balance, buffered = token_bank.balance - token_bank.buffer_capacity, list(token_bank.buffered)
    plain.give(tenant_update(Tenant("ash", 3.0)))
    assert token_bank.weight == 3.0 and list(token_bank.buffered)[: len(buffered)] == buffered
    assert token_bank.balance - token_bank.buffer_capacity == balance


def test_shares_that_sum_to_anything_are_divided_by_their_ratio() -> None:
    """Shares need not sum to one: only their ratio counts."""
    for scale in (1e-5, 1.0, 1e6):
        plain = PlainBalancer(settings())
        plain.give(tenant_update(Tenant("ash", scale), Tenant("birch", 3 * scale), deny=True))
        plain.request("ash"), plain.request("birch")
        token_banks = plain.balancer.state.tenants.banks
        for token_bank in token_banks.values():
            token_bank.demand_per_s = 1e6  # both want more than there is
        plain.give(tenant_update(Tenant("ash", scale * 1.000001)))
        assert token_banks["birch"].rate_per_s == pytest.approx(3 * token_banks["ash"].rate_per_s, rel=0.01)


# ---- whole days ----------------------------------------------------------------------------------------


def simulate(updates: dict[float, TenantUpdate], seed: int, length_s: float = 20.0) -> Simulation:
    """Play four upstreams (80 requests a second), three tenants of 15 a second each, and these updates."""
    rng = random.Random(seed)
    day = Simulation(settings(ash=1, birch=1, cedar=1), 4, seed)
    for tenant in ("ash", "birch", "cedar"):
        now = 0.0
        while now < length_s:
            now += rng.expovariate(15)
            day.schedule_request(
                int(now * SECOND), tenant, int(rng.expovariate(1 / 50) * MS) + MS, "quote", 300 * MS
            )
    for at, update in updates.items():
        day.schedule(int(at * SECOND), "tenant_update", update)
    day.run_until(int((length_s + 2) * SECOND))
    assert len(day.answered) == len(day.tenant)  # each has its one answer
    return day


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_tenant_that_is_added_removed_and_changed_costs_the_others_nothing(seed: int) -> None:
    """One tenant changes every second: the others are served as on a day without changes."""
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
    assert busy.answers["cedar", "failed"] > 50


@given(st.integers(0, 2**32), st.lists(st.integers(0, 7), min_size=5, max_size=40))
@hyp(max_examples=40, deadline=None)
def test_any_update_at_any_time_leaves_each_request_one_answer(seed: int, steps: list[int]) -> None:
    """Arrivals, outcomes and news in any order: one answer each, one attempt out, nothing left behind."""
    rng = random.Random(seed)
    checked = CheckedBalancer(upstream_count=4)
    names = ["ash", "birch", "cedar"]
    count = 0
    for step in steps:
        name = rng.choice(names)
        if step < 3:
            count += 1
            event = arrival(count, checked.now)
            checked.give(event._replace(tenant=name))
        elif step == 3:
            checked.give(tenant_update(Tenant(name, rng.choice([0.1, 1.0, 9.0]))))
        elif step == 4:
            checked.give(tenant_update(Tenant(name, denial_reason="suspended")))
        elif step == 5:
            checked.give(tenant_update(removed=(name,), deny=rng.random() < 0.5))
        elif step == 6 and checked.out():
            request, number = rng.choice(checked.out())
            checked.finish(request, rng.choice(list(AttemptResult)), number)
        else:
            checked.advance(rng.randrange(MS, 300 * MS))
    checked.advance(4 * SECOND)
    assert not checked.balancer.requests
    assert checked.answer.keys() >= {f"r{i}" for i in range(1, count + 1)}
