"""The throttle against the paper's recursion (2.5)-(2.11) and Theorem 3.1."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lanelift.policy.balancer import Balancer
from lanelift.policy.requests import PendingRequest
from lanelift.policy.settings import Settings
from lanelift.policy.token_bank import TokenBank, TokenVerdict
from tests.policy.book import MS, READ, SECOND


def throttle(bank: int, hold: int, u: int, rate: float = 1.0) -> TokenBank:
    t = TokenBank(1.0, random.Random(1), 0)
    t.bank_capacity, t.buffer_capacity, t.balance = bank, hold, u
    t.rate_per_s, t.partial_token, t.updated_at_ns = rate, 0.0, 0
    return t


def request(number: int, t: TokenBank) -> PendingRequest:
    return PendingRequest(
        f"r{number}", READ, "", t, Balancer(Settings(), 1, 0).registry.main, 10**15, 10**15, 0
    )


def play(t: TokenBank, steps: list[int]) -> tuple[list[int], list[int], list[str]]:
    """At each second: one token, then that many requests. Gives U, the overflows so far, the order sent."""
    path, lost, sent = [], [], []
    overflow = count = 0
    for second, arrivals in enumerate(steps, 1):
        now = second * SECOND
        sent += [r.id for r in t.release_buffered(now)]
        for _ in range(arrivals):
            count += 1
            r = request(count, t)
            answer = t.offer(r, now)
            overflow += answer is TokenVerdict.OVERFLOW
            if answer is TokenVerdict.ADMITTED:
                sent.append(r.id)
        path.append(t.balance)
        lost.append(overflow)
    return path, lost, sent


def recursion(total: int, u: int, steps: list[int]) -> tuple[list[int], list[int]]:
    """(2.8) and (2.10), a token epoch and then the requests one by one."""
    path, lost, overflow = [], [], 0
    for arrivals in steps:
        u = min(total, u + 1)
        for _ in range(arrivals):
            x = -1
            after = min(total, max(0, u + x))
            overflow += -(x - (after - u))
            u = after
        path.append(u)
        lost.append(overflow)
    return path, lost


STEPS = st.lists(st.integers(0, 5), max_size=60)


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 6), st.integers(1, 6), STEPS)
def test_counter_follows_the_recursion(bank: int, hold: int, steps: list[int]) -> None:
    t = throttle(bank, hold, bank + hold)
    path, lost, _ = play(t, steps)
    assert (path, lost) == recursion(bank + hold, bank + hold, steps)
    assert len(t.buffered) == max(0, hold - t.balance)  # (2.3)


@settings(derandomize=True, deadline=None)
@given(st.integers(2, 8), st.data(), STEPS)
def test_overflow_depends_on_the_sum_of_the_capacities_only(
    total: int, data: st.DataObject, steps: list[int]
) -> None:
    a, b = (data.draw(st.integers(1, total)) for _ in "ab")
    u = data.draw(st.integers(max(a, b), total))
    assert play(throttle(total - a, a, u), steps)[:2] == play(throttle(total - b, b, u), steps)[:2]


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_held_requests_leave_in_order(steps: list[int]) -> None:
    _, _, sent = play(throttle(1, 4, 5), steps)
    assert sent == sorted(sent, key=lambda r: int(r[1:]))


def test_a_held_request_that_ends_gives_its_token_back() -> None:
    t = throttle(0, 2, 2)
    first, second = request(1, t), request(2, t)
    assert t.offer(first, 0) is t.offer(second, 0) is TokenVerdict.BUFFERED
    t.remove_buffered(first)
    assert list(t.release_buffered(SECOND)) == [second] and t.balance == 2


def test_change_of_rate_keeps_tokens_and_held() -> None:
    t = throttle(0, 2, 2)
    r = request(1, t)
    assert t.offer(r, 0) is TokenVerdict.BUFFERED
    t.set_rate(100.0, 0)
    assert t.buffer_capacity - t.balance == 1 and list(t.buffered) == [r]
    assert list(t.release_buffered(20 * MS)) == [r]


def test_starts_full_and_ticks_out_of_step() -> None:
    throttles = [TokenBank(1.0, random.Random(seed), 0) for seed in range(20)]
    for t in throttles:
        assert t.balance == t.bank_capacity + t.buffer_capacity
    assert len({round(t.partial_token, 3) for t in throttles}) > 10
