"""The token bank against the paper's recursion (2.5)-(2.11) and Theorem 3.1."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lanelift.policy.balancer import Balancer
from lanelift.policy.requests import PendingRequest
from lanelift.policy.settings import Settings
from lanelift.policy.token_bank import TokenBank, TokenResult
from tests.policy.checked_balancer import MS, READ, SECOND


def token_bank(capacity: int, buffer: int, balance: int, rate: float = 1.0) -> TokenBank:
    bank = TokenBank(1.0, random.Random(1), 0)
    bank.bank_capacity, bank.buffer_capacity, bank.balance = capacity, buffer, balance
    bank.rate_per_s, bank.partial_token, bank.updated_at_ns = rate, 0.0, 0
    return bank


def request(number: int, bank: TokenBank) -> PendingRequest:
    return PendingRequest(
        f"r{number}", READ, "", bank, Balancer(Settings(), 1, 0).registry.unrestricted_pool, 10**15, 10**15, 0
    )


def run_steps(bank: TokenBank, steps: list[int]) -> tuple[list[int], list[int], list[str]]:
    """For each step, advance one second, which adds one token, and offer the step's number of requests.

    Returns the values of U, the overflows so far, and the requests in the order in which they were forwarded.
    """
    path, lost, sent = [], [], []
    overflow = count = 0
    for second, arrivals in enumerate(steps, 1):
        now = second * SECOND
        sent += [pending.id for pending in bank.release_buffered(now)]
        for _ in range(arrivals):
            count += 1
            pending = request(count, bank)
            answer = bank.offer(pending, now)
            overflow += answer is TokenResult.OVERFLOW
            if answer is TokenResult.ADMITTED:
                sent.append(pending.id)
        path.append(bank.balance)
        lost.append(overflow)
    return path, lost, sent


def recursion(total: int, balance: int, steps: list[int]) -> tuple[list[int], list[int]]:
    """Return the values of (2.8) and (2.10), for a token epoch followed by the requests one by one."""
    path, lost, overflow = [], [], 0
    for arrivals in steps:
        balance = min(total, balance + 1)
        for _ in range(arrivals):
            x = -1
            after = min(total, max(0, balance + x))
            overflow += -(x - (after - balance))
            balance = after
        path.append(balance)
        lost.append(overflow)
    return path, lost


STEPS = st.lists(st.integers(0, 5), max_size=60)


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 6), st.integers(1, 6), STEPS)
def test_counter_follows_the_recursion(capacity: int, buffer: int, steps: list[int]) -> None:
    """The balance U follows the recursion (2.8) with the overflow (2.10), whatever arrives."""
    bank = token_bank(capacity, buffer, capacity + buffer)
    path, lost, _ = run_steps(bank, steps)
    assert (path, lost) == recursion(capacity + buffer, capacity + buffer, steps)
    assert len(bank.buffered) == max(0, buffer - bank.balance)  # (2.3)


@settings(derandomize=True, deadline=None)
@given(st.integers(2, 8), st.data(), STEPS)
def test_overflow_depends_on_the_sum_of_the_capacities_only(
    total: int, data: st.DataObject, steps: list[int]
) -> None:
    """Theorem 3.1: the overflow depends on the sum C_T + C_J, and not on how the sum is divided."""
    a, b = (data.draw(st.integers(1, total)) for _ in "ab")
    balance = data.draw(st.integers(max(a, b), total))
    assert (
        run_steps(token_bank(total - a, a, balance), steps)[:2]
        == run_steps(token_bank(total - b, b, balance), steps)[:2]
    )


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_buffered_requests_leave_in_order(steps: list[int]) -> None:
    """Buffered requests are released in the order in which they came."""
    _, _, sent = run_steps(token_bank(1, 4, 5), steps)
    assert sent == sorted(sent, key=lambda pending: int(pending[1:]))


def test_a_buffered_request_that_ends_gives_its_token_back() -> None:
    """A client disconnects while its request is buffered: the next buffered request gets the next token."""
    bank = token_bank(0, 2, 2)
    first, second = request(1, bank), request(2, bank)
    assert bank.offer(first, 0) is bank.offer(second, 0) is TokenResult.BUFFERED
    bank.remove_buffered(first)
    assert list(bank.release_buffered(SECOND)) == [second] and bank.balance == 2


def test_a_change_of_rate_keeps_tokens_and_buffered_requests() -> None:
    """R is divided again while a request is buffered: the request remains, and is released at
    the new rate.
    """
    bank = token_bank(0, 2, 2)
    pending = request(1, bank)
    assert bank.offer(pending, 0) is TokenResult.BUFFERED
    bank.set_rate(100.0, 0)
    assert bank.buffer_capacity - bank.balance == 1 and list(bank.buffered) == [pending]
    assert list(bank.release_buffered(20 * MS)) == [pending]


def test_banks_start_full_and_accrue_tokens_out_of_step() -> None:
    """Banks start full, and their tokens come at different times."""
    banks = [TokenBank(1.0, random.Random(seed), 0) for seed in range(20)]
    for bank in banks:
        assert bank.balance == bank.bank_capacity + bank.buffer_capacity
    assert len({round(bank.partial_token, 3) for bank in banks}) > 10
