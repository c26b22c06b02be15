"""Tenants that a directory tells of while requests are under way: the module alone, without the directory."""

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
from tests.policy.book import MS, SECOND, Desk, arrival, of
from tests.policy.day import Day

QUOTE = RequestClass("quote", Idempotency.IDEMPOTENT, latency_objective_ns=264 * MS, deadline_ns=661 * MS)
HISTORY = RequestClass("history", Idempotency.IDEMPOTENT, latency_objective_ns=264 * MS, deadline_ns=661 * MS)
LIMITS = Limits(max_attempts=3, may_cancel=True, retry_after=True, max_retry_after_ns=2 * SECOND)


def settings(**tenants: float) -> Settings:
    return Settings(
        classes={c.name: c for c in (QUOTE, HISTORY)},
        tenants={name: Tenant(name, share) for name, share in tenants.items()},
        limits=LIMITS,
    )


def learn(*tenants: Tenant, gone: tuple[str, ...] = (), deny: bool | None = None) -> TenantUpdate:
    strangers = None if deny is None else UnknownTenants.DENY if deny else UnknownTenants.SHARE
    return TenantUpdate(tenants, gone, strangers)


class Bank:
    """A balancer whose clock the test holds; upstreams are there, and answer when told to."""

    def __init__(self, known: Settings, upstreams: int = 4) -> None:
        self.balancer = Balancer(known, 1, 0)
        self.now = SECOND
        self.count = 0
        self.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, [Endpoint(i) for i in range(1, upstreams + 1)]))

    def give(self, *events: Event) -> list[Action]:
        return self.balancer.handle(self.now, events)

    def ask(self, tenant: str, cls: str = "quote", retry: bool = False) -> list[Action]:
        self.count += 1
        return self.give(
            RequestArrived(f"r{self.count}", cls, tenant, self.now + 661 * MS, 20 * MS, retry=retry)
        )

    def serve(self, tenant: str) -> bool:
        """Ask, and answer what is sent at once."""
        sent = of(StartAttempt, self.ask(tenant))
        for send in sent:
            self.outcome(self.count, send.upstream, AttemptResult.OK)
        return bool(sent)

    def outcome(self, number: int, upstream: int, result: AttemptResult, attempt: int = 0) -> list[Action]:
        complete = result is AttemptResult.OK
        return self.give(AttemptFinished(f"r{number}", attempt, upstream, result, 20 * MS, complete))


def test_settings_hold_until_a_directory_has_told_of_somebody() -> None:
    bank = Bank(settings(ash=1))
    assert of(StartAttempt, bank.ask("ash")) and of(StartAttempt, bank.ask("nobody"))
    bank.give(learn(Tenant("birch", 2.0)))
    for name in ("ash", "birch", "nobody"):
        assert of(StartAttempt, bank.ask(name)), name
    bank.give(learn(gone=("ash",), deny=True))
    assert of(StartAttempt, bank.ask("birch"))
    for name in ("ash", "nobody", ""):
        assert bank.ask(name)[0] == Fail(f"r{bank.count}", "unknown tenant")


def test_where_nobody_is_listed_all_are_served_until_all_are_told() -> None:
    bank = Bank(settings())
    bank.give(learn(Tenant("ash")))
    assert bank.balancer.state.tenants.banks.keys() == {""}
    assert all(bank.serve("nobody") for _ in range(50))
    bank.give(learn(deny=False))
    assert "" not in bank.balancer.state.tenants.banks
    assert bank.serve("nobody")  # by the small throttle now
    assert tenants.UNKNOWN_TENANTS_WEIGHT in bank.balancer.state.tenants.shared_banks


@pytest.mark.parametrize(
    ("tenant", "why"),
    [
        (Tenant("ash", denial_reason="suspended"), "suspended"),
        (Tenant("ash", classes=frozenset({"history"})), "class not allowed"),
        (Tenant("ash", rate_limits=(("quote", 0.0),)), "limit of 0"),
        (Tenant("ash", rate_limits=(("", 0.0),)), "limit of 0"),
    ],
)
def test_denied_at_once_and_served_again_when_that_is_over(tenant: Tenant, why: str) -> None:
    bank = Bank(settings(ash=1))
    bank.give(learn(tenant))
    assert bank.ask("ash") == [Fail("r1", why)]
    assert bank.balancer.requests == {}
    bank.give(learn(Tenant("ash")))
    assert of(StartAttempt, bank.ask("ash"))


def test_only_the_class_that_is_not_allowed_is_denied() -> None:
    bank = Bank(settings())
    bank.give(learn(Tenant("ash", classes=frozenset({"history"}), rate_limits=(("quote", 0.0),))))
    assert of(StartAttempt, bank.ask("ash", "history"))


@pytest.mark.parametrize(
    "result", [AttemptResult.REJECTED, AttemptResult.RESET, AttemptResult.TIMEOUT, AttemptResult.ERROR]
)
@pytest.mark.parametrize("how", ["suspended", "removed", "class"])
def test_what_was_out_gets_its_outcome_and_no_further_attempt(result: AttemptResult, how: str) -> None:
    bank = Bank(settings(ash=1))
    sent = of(StartAttempt, bank.ask("ash"))
    news = {
        "suspended": learn(Tenant("ash", denial_reason="suspended")),
        "removed": learn(gone=("ash",), deny=True),
        "class": learn(Tenant("ash", classes=frozenset({"history"}))),
    }[how]
    assert not of(Fail, bank.give(news)) and not of(CancelAttempt, bank.give(news))
    done = bank.outcome(1, sent[0].upstream, result)
    assert not of(StartAttempt, done) and len(of(Fail, done)) == 1
    assert of(Fail, done)[0].denial_reason
    assert bank.balancer.requests == {}


def test_what_was_out_is_served_if_it_is() -> None:
    bank = Bank(settings(ash=1))
    sent = of(StartAttempt, bank.ask("ash"))
    bank.give(learn(Tenant("ash", denial_reason="suspended")))
    assert not of(Fail, bank.outcome(1, sent[0].upstream, AttemptResult.OK))
    assert bank.balancer.requests == {}


def test_a_suspension_taken_back_in_time_lets_it_try_again() -> None:
    bank = Bank(settings(ash=1))
    sent = of(StartAttempt, bank.ask("ash"))
    bank.give(learn(Tenant("ash", denial_reason="suspended")))
    bank.give(learn(Tenant("ash")))
    assert of(StartAttempt, bank.outcome(1, sent[0].upstream, AttemptResult.REJECTED))


def place(bank: Bank, where: WaitingPlace, tenant: str) -> str:
    """Bring a request of this tenant to that place; its name."""
    if where is WaitingPlace.POOL_QUEUE:
        bank.balancer.state.concurrency.window = 0.0
        while not [
            r
            for r in bank.balancer.requests.values()
            if r.tenant_name == tenant and r.place is WaitingPlace.POOL_QUEUE
        ]:
            bank.ask(tenant)
    else:
        throttle = bank.balancer.state.tenants.banks[tenant]
        throttle.set_rate(10.0, bank.now)
        while not throttle.buffered:
            bank.ask(tenant)
    return next(r.id for r in bank.balancer.requests.values() if r.place is where and r.tenant_name == tenant)


@pytest.mark.parametrize(
    "where",
    [
        pytest.param(WaitingPlace.TOKEN_BUFFER, id="token-buffer"),
        pytest.param(WaitingPlace.POOL_QUEUE, id="pool-queue"),
    ],
)
def test_what_waits_is_answered_at_once(where: WaitingPlace) -> None:
    bank = Bank(settings(ash=1, birch=1))
    name = place(bank, where, "ash")
    other = place(bank, where, "birch")
    told = of(Fail, bank.give(learn(Tenant("ash", denial_reason="suspended"))))
    assert Fail(name, "suspended") in told
    waiting = [r for r in bank.balancer.requests.values() if r.place is not WaitingPlace.NOWHERE]
    assert waiting and not [r for r in waiting if r.tenant_name == "ash"]
    assert other in {r.id for r in waiting}


@pytest.mark.parametrize(
    "where",
    [
        pytest.param(WaitingPlace.TOKEN_BUFFER, id="token-buffer"),
        pytest.param(WaitingPlace.POOL_QUEUE, id="pool-queue"),
    ],
)
def test_what_waits_of_a_removed_tenant_goes_on_where_strangers_are_served(where: WaitingPlace) -> None:
    bank = Bank(settings(ash=1, birch=1))
    name = place(bank, where, "ash")
    assert not of(Fail, bank.give(learn(gone=("ash",), deny=False)))
    assert bank.balancer.requests[name].place is where
    bank.balancer.state.concurrency.window = 10.0
    sent: set[str] = set()
    for r in list(bank.balancer.requests.values()):
        for number, attempt in enumerate(r.attempts):
            done = AttemptFinished(r.id, number, attempt.upstream.id, AttemptResult.OK, 20 * MS, True)
            sent |= {s.request for s in of(StartAttempt, bank.give(done))}
    for _ in range(20):
        bank.now += 10 * MS
        sent |= {s.request for s in of(StartAttempt, bank.give())}
    assert name in sent


def test_a_request_in_order_is_denied_in_its_turn_and_the_next_of_its_key_goes_on() -> None:
    ordered = RequestClass(
        "quote",
        Idempotency.IDEMPOTENT,
        ordered_by_key=True,
        latency_objective_ns=SECOND,
        deadline_ns=2 * SECOND,
    )
    bank = Bank(
        Settings(
            classes={"quote": ordered},
            tenants={"ash": Tenant("ash"), "birch": Tenant("birch")},
            limits=LIMITS,
        )
    )
    deadline = bank.now + 2 * SECOND
    bank.give(RequestArrived("a", "quote", "ash", deadline, key="k"))
    bank.give(RequestArrived("b", "quote", "ash", deadline, key="k"))
    bank.give(RequestArrived("c", "quote", "birch", deadline, key="k"))
    told = bank.give(learn(Tenant("ash", denial_reason="suspended")))
    assert of(Fail, told) == [Fail("b", "suspended")]
    first = bank.balancer.requests["a"].attempts[0].upstream.id
    done = bank.give(AttemptFinished("a", 0, first, AttemptResult.OK, MS, True))
    assert [s.request for s in of(StartAttempt, done)] == ["c"]


# ---- limits --------------------------------------------------------------------------------------------


def test_over_a_limit_is_told_when_to_come_again() -> None:
    bank = Bank(settings())
    bank.give(learn(Tenant("ash", rate_limits=(("quote", 4.0),))))
    answers = [bank.ask("ash") for _ in range(6)]
    assert all(of(StartAttempt, a) for a in answers[:4])  # a second's worth at once
    refused = [of(Reject, a)[0] for a in answers[4:]]
    assert all(r.rate_limited and 0.25 * SECOND <= r.retry_after_ns <= 0.375 * SECOND for r in refused)
    assert of(StartAttempt, bank.ask("ash", "history"))  # not what the limit is of
    bank.now += SECOND // 4
    assert of(StartAttempt, bank.ask("ash"))
    assert of(Reject, bank.ask("ash"))


def test_a_limit_is_over_all_balancers_and_changes_at_run_time() -> None:
    known = Settings(classes={"quote": QUOTE}, limits=LIMITS, replica_count=4)
    bank = Bank(known)
    bank.give(learn(Tenant("ash", rate_limits=(("", 8.0),))))
    served = sum(bool(of(StartAttempt, bank.ask("ash"))) for _ in range(10))
    assert served == 2  # a quarter of eight
    bank.give(learn(Tenant("ash", rate_limits=(("", 400.0),))))
    bank.ask("ash")  # up to now the old limit counts
    bank.now += SECOND // 10
    assert sum(bool(of(StartAttempt, bank.ask("ash"))) for _ in range(20)) >= 3


@given(
    st.floats(0.5, 50),
    st.lists(st.integers(0, 2 * SECOND), min_size=1, max_size=200),
)
@hyp(max_examples=50, deadline=None)
def test_never_more_than_the_limit_and_a_seconds_worth(rate: float, gaps: list[int]) -> None:
    meter, now = TokenBucket(rate, 0), 0
    for taken, gap in enumerate(gaps, 1):
        now += gap
        wait = meter.wait_ns(rate, now)
        if wait:
            assert TokenBucket.wait_ns(meter, rate, now + wait) == 0  # the time told is enough
            now += wait
        meter.tokens -= 1
        assert taken <= rate * now / SECOND + max(1.0, rate) + 1e-6


# ---- tables --------------------------------------------------------------------------------------------


def test_throttles_are_of_those_who_ask() -> None:
    bank = Bank(settings())
    bank.give(*(learn(*(Tenant(f"t{i}") for i in range(k, k + 100))) for k in range(0, 20_000, 100)))
    bank.give(learn(deny=True))
    for i in range(0, 5000, 100):
        bank.ask(f"t{i}")
    assert len(bank.balancer.state.tenants.banks) == 50
    for i in range(1, bank.count + 1):
        r = bank.balancer.requests[f"r{i}"]
        if r.attempts:
            bank.outcome(i, r.attempts[0].upstream.id, AttemptResult.OK)
    for _ in range(400):
        bank.now += SECOND // 2
        bank.give()
    assert not bank.balancer.state.tenants.banks and not bank.balancer.state.rate.banks
    assert bank.ask("t7")[0]


def test_whoever_finds_no_throttle_shares_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tenants, "MAX_TOKEN_BANKS", 10)
    bank = Bank(settings(), upstreams=100)
    bank.give(learn(*(Tenant(f"t{i}") for i in range(30)), deny=True))
    for i in range(30):
        assert of(StartAttempt, bank.ask(f"t{i}"))
    ours = bank.balancer.state.tenants
    assert 9 <= len(ours.banks) <= 10 and tenants.OVERFLOW_TENANTS_WEIGHT in ours.shared_banks


def test_meters_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tenants, "MAX_TOKEN_BUCKETS", 5)
    bank = Bank(settings(), upstreams=100)
    bank.give(learn(*(Tenant(f"t{i}", rate_limits=(("", 1.0),)) for i in range(30)), deny=True))
    for i in range(30):
        assert of(StartAttempt, bank.ask(f"t{i}"))
    assert len(bank.balancer.state.tenants.buckets) == 5
    bank.now += 2 * SECOND
    bank.give()
    assert not bank.balancer.state.tenants.buckets


def test_tokens_of_a_tenant_that_left_are_not_lent_twice() -> None:
    """It spends what it has, leaves and comes back: with what it left with, not with a new bank."""
    bank = Bank(settings(ash=1, birch=1), upstreams=100)
    throttle = bank.balancer.state.tenants.banks["ash"]
    bank.balancer.state.rate.rate_per_s = 40.0
    bank.balancer.state.rate.set_banks(bank.balancer.state.rate.banks, bank.now)
    while throttle.balance > throttle.buffer_capacity:
        bank.ask("ash")
    bank.give(learn(gone=("ash",), deny=True))
    assert throttle not in bank.balancer.state.rate.banks
    bank.give(learn(Tenant("ash", 1.0)))
    bank.ask("ash")
    again = bank.balancer.state.tenants.banks["ash"]
    assert again is throttle and again.balance <= again.buffer_capacity
    assert again.rate_per_s == pytest.approx(bank.balancer.state.rate.rate_per_s / 2)


def test_weights_change_and_tokens_and_held_requests_stay() -> None:
    bank = Bank(settings(ash=1, birch=1))
    place(bank, WaitingPlace.TOKEN_BUFFER, "ash")
    throttle = bank.balancer.state.tenants.banks["ash"]
    balance, held = throttle.balance - throttle.buffer_capacity, list(throttle.buffered)
    bank.give(learn(Tenant("ash", 3.0)))
    assert throttle.weight == 3.0 and list(throttle.buffered)[: len(held)] == held
    assert throttle.balance - throttle.buffer_capacity == balance


def test_shares_that_sum_to_anything_are_divided_by_their_ratio() -> None:
    for scale in (1e-5, 1.0, 1e6):
        bank = Bank(settings())
        bank.give(learn(Tenant("ash", scale), Tenant("birch", 3 * scale), deny=True))
        bank.ask("ash"), bank.ask("birch")
        throttles = bank.balancer.state.tenants.banks
        for throttle in throttles.values():
            throttle.demand_per_s = 1e6  # both want more than there is
        bank.give(learn(Tenant("ash", scale * 1.000001)))
        assert throttles["birch"].rate_per_s == pytest.approx(3 * throttles["ash"].rate_per_s, rel=0.01)


# ---- whole days ----------------------------------------------------------------------------------------


def play(news: dict[float, TenantUpdate], seed: int, length_s: float = 20.0) -> Day:
    """Four boxes (80 requests a second), three tenants of 15 a second each; news at their times."""
    rng = random.Random(seed)
    day = Day(settings(ash=1, birch=1, cedar=1), 4, seed)
    for tenant in ("ash", "birch", "cedar"):
        now = 0.0
        while now < length_s:
            now += rng.expovariate(15)
            day.arrive(int(now * SECOND), tenant, int(rng.expovariate(1 / 50) * MS) + MS, "quote", 300 * MS)
    for at, update in news.items():
        day.at(int(at * SECOND), "told", update)
    day.play(int((length_s + 2) * SECOND))
    assert len(day.over) == len(day.tenant)  # each has its one answer
    return day


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_tenant_that_comes_goes_and_changes_costs_the_others_nothing(seed: int) -> None:
    calm = play({}, seed)
    changes: dict[float, TenantUpdate] = {0.5: learn(deny=True)}
    for i in range(1, 19):
        changes[float(i)] = [
            learn(gone=("cedar",)),
            learn(Tenant("cedar", 5.0)),
            learn(Tenant("cedar", 0.2, denial_reason="suspended")),
        ][i % 3]
    busy = play(changes, seed)
    for tenant in ("ash", "birch"):
        assert busy.share(tenant) > calm.share(tenant) - 0.01
    assert busy.answers["cedar", "failed"] > 50


@given(st.integers(0, 2**32), st.lists(st.integers(0, 7), min_size=5, max_size=40))
@hyp(max_examples=40, deadline=None)
def test_any_news_at_any_time_leaves_each_request_one_answer(seed: int, steps: list[int]) -> None:
    """Arrivals, outcomes and news in any order: one answer each, one attempt out, nothing left behind."""
    rng = random.Random(seed)
    desk = Desk(servers=4)
    names = ["ash", "birch", "cedar"]
    count = 0
    for step in steps:
        name = rng.choice(names)
        if step < 3:
            count += 1
            event = arrival(count, desk.now)
            desk.give(event._replace(tenant=name))
        elif step == 3:
            desk.give(learn(Tenant(name, rng.choice([0.1, 1.0, 9.0]))))
        elif step == 4:
            desk.give(learn(Tenant(name, denial_reason="suspended")))
        elif step == 5:
            desk.give(learn(gone=(name,), deny=rng.random() < 0.5))
        elif step == 6 and desk.out():
            request, number = rng.choice(desk.out())
            desk.finish(request, rng.choice(list(AttemptResult)), number)
        else:
            desk.advance(rng.randrange(MS, 300 * MS))
    desk.advance(4 * SECOND)
    assert not desk.balancer.requests
    assert desk.answer.keys() >= {f"r{i}" for i in range(1, count + 1)}
