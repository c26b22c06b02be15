"""Token bank: enforces each tenant's share of the rate R, with a buffer of requests.

Inputs: the tenant's part of R (requests per second) and the time. A request that finds no token is buffered
until a token is available, or rejected if the buffer is full. Reason: short bursts are admitted, and a tenant
that requests more than its share takes nothing from another.

Source: A. W. Berger and W. Whitt, "The Impact of a Job Buffer in a Token-Bank Rate-Control Throttle",
equations (2.1) and (2.8).
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import Any

from lanelift.policy.units import SECOND_NS

INITIAL_RATE_PER_S = 10_000.0  # initial and highest R, above the capacity of any one replica
BANK_CAPACITY_S = 0.5  # the bank capacity C_T is the number of tokens that accrue in this many seconds
BUFFER_SHARE = 0.2  # buffer capacity C_J as a share of the bank capacity C_T
MIN_BANK_CAPACITY = 4  # lower bound of the bank capacity C_T, in tokens
MIN_BUFFER_CAPACITY = 1  # lower bound of the buffer capacity C_J, in requests
SPARE_DIVISOR = 4  # tokens above a quarter (1 / this number) of the bank capacity C_T are spare


class TokenResult(Enum):
    """The result of offering a request to a token bank."""

    ADMITTED = "admitted"  # the request took a token
    BUFFERED = "buffered"  # the request waits in the buffer for a token
    OVERFLOW = "overflow"  # the bank has no token, and the buffer is full


class TokenBank:
    """One tenant's token bank: the paper's counter U = T - J + C_J, in [0, C_J + C_T] (2.1), (2.8).

    T is the number of tokens in the bank and J the number of buffered requests; one of the two is always 0.

    Attributes:
        weight: The tenant's weight in the division of R.
        may_borrow: Whether the part of R that other tenants do not use is lent to it.
        bank_capacity: The paper's C_T, in tokens.
        buffer_capacity: The paper's C_J, in requests.
        balance: The paper's U. A new bank is full.
        rate_per_s: Tokens per second.
        partial_token: The part of the next token that has accrued. It starts at a random value, so that
            replicas do not release buffered requests together.
        updated_at_ns: When `balance` was last brought up to date.
        buffered: Requests that wait for tokens, in order. The bank does not depend on their type.
        offered: Requests offered since R was last divided.
        demand_per_s: The tenant's demand in requests per second, smoothed.
        wake_at_ns: When the next token becomes available, and the buffer is checked next.
        over_share: Whether the tenant's demand is above its share of the goodput.
        was_exhausted: Whether a request found no token since R was last divided.
    """

    __slots__ = (
        "balance",
        "bank_capacity",
        "buffer_capacity",
        "buffered",
        "demand_per_s",
        "may_borrow",
        "offered",
        "over_share",
        "partial_token",
        "rate_per_s",
        "updated_at_ns",
        "wake_at_ns",
        "was_exhausted",
        "weight",
    )

    def __init__(self, weight: float, rng: random.Random, now: int, may_borrow: bool = True) -> None:
        self.weight = weight
        self.may_borrow = may_borrow
        self.bank_capacity = round(INITIAL_RATE_PER_S * BANK_CAPACITY_S)
        self.buffer_capacity = round(self.bank_capacity * BUFFER_SHARE)
        self.balance = self.bank_capacity + self.buffer_capacity
        self.rate_per_s = INITIAL_RATE_PER_S
        self.partial_token = rng.random()
        self.updated_at_ns = now
        self.buffered: deque[Any] = deque()
        self.offered = 0
        self.demand_per_s = 0.0
        self.wake_at_ns = 0
        self.over_share = False
        self.was_exhausted = False

    def set_rate(self, rate_per_s: float, now: int) -> None:
        """Set the rate and the capacities that follow from it. Tokens and buffered requests are kept."""
        self.accrue(now)
        tokens_less_buffered = self.balance - self.buffer_capacity  # T - J
        self.rate_per_s = rate_per_s
        self.bank_capacity = max(MIN_BANK_CAPACITY, round(rate_per_s * BANK_CAPACITY_S))
        self.buffer_capacity = max(
            MIN_BUFFER_CAPACITY, round(self.bank_capacity * BUFFER_SHARE), len(self.buffered)
        )
        self.balance = max(
            0, min(self.bank_capacity + self.buffer_capacity, tokens_less_buffered + self.buffer_capacity)
        )

    def accrue(self, now: int) -> None:
        """Add the tokens that have accrued since the last call."""
        self.partial_token += self.rate_per_s * (now - self.updated_at_ns) / SECOND_NS
        tokens = int(self.partial_token)
        self.updated_at_ns, self.partial_token = now, self.partial_token - tokens
        self.balance = min(self.bank_capacity + self.buffer_capacity, self.balance + tokens)

    def offer(self, request: object, now: int) -> TokenResult:
        """Take a token for a request, or buffer the request if there is none."""
        self.accrue(now)
        self.offered += 1
        if self.balance <= self.buffer_capacity:
            self.was_exhausted = True
        if self.balance < 1:
            return TokenResult.OVERFLOW
        self.balance -= 1
        if self.balance >= self.buffer_capacity:
            return TokenResult.ADMITTED
        self.buffered.append(request)
        return TokenResult.BUFFERED

    def take_spare_token(self, now: int) -> bool:
        """Take a token for a hedge or a client's retry if there are spare ones; return whether there are."""
        self.accrue(now)
        if self.balance - self.buffer_capacity <= self.bank_capacity // SPARE_DIVISOR:
            return False
        self.balance -= 1
        return True

    def release_buffered(self, now: int) -> Iterable[Any]:
        """Yield the buffered requests for which tokens have become available, in order."""
        self.accrue(now)
        while len(self.buffered) > max(0, self.buffer_capacity - self.balance):
            yield self.buffered.popleft()

    def remove_buffered(self, request: object) -> None:
        """Remove a buffered request that has ended, and credit the token that it waited for."""
        self.buffered.remove(request)
        self.balance += 1

    def is_full(self, now: int) -> bool:
        """Return whether the bank is full and unused, so that recreating it gains or loses no token."""
        self.accrue(now)
        return (
            not self.buffered
            and not self.offered
            and self.balance >= self.bank_capacity + self.buffer_capacity
        )
