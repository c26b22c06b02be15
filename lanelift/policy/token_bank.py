"""Each tenant's share of the rate R: a token bank with a buffer of requests.

Inputs: the tenant's part of R (requests a second) and the time. It acts when a request finds no token: it is
buffered until its token comes, or rejected when the buffer is full. Reason: short bursts pass, and a tenant
that asks for more than its share takes nothing from another.

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

INITIAL_RATE_PER_S = 10_000.0  # R starts above anything that one replica carries
BANK_CAPACITY_S = 0.5  # C_T, in seconds' worth of tokens
BUFFER_SHARE = 0.2  # C_J as a share of C_T
MIN_BANK_CAPACITY = 4  # tokens
MIN_BUFFER_CAPACITY = 1  # requests
SPARE_DIVISOR = 4  # tokens above this part (1/4) of C_T are spare


class TokenVerdict(Enum):
    """What becomes of a request that is offered to a token bank."""

    ADMITTED = "admitted"  # it took a token
    BUFFERED = "buffered"  # it waits for its token
    OVERFLOW = "overflow"  # no token, and no place in the buffer that it may take


class TokenBank:
    """One tenant's bank: the paper's counter U = T - J + C_J, in [0, C_J + C_T] (2.1), (2.8).

    T are the tokens in the bank, J the requests in the buffer; one of the two is always 0.

    Attributes:
        weight: The tenant's weight in the division of R.
        may_borrow: What quiet tenants leave of R is lent to it.
        bank_capacity: The paper's C_T, in tokens.
        buffer_capacity: The paper's C_J, in requests.
        balance: The paper's U; it starts full.
        rate_per_s: Tokens a second.
        partial_token: The part of the next token that has accrued. It starts at random: replicas must not
            release what they buffer in step.
        updated_at_ns: When `balance` was last brought up to date.
        buffered: Requests that wait for their tokens, in order; what they are is no matter here.
        offered: Requests offered since R was last divided.
        demand_per_s: Requests a second that its tenant wants, smoothed.
        wake_at_ns: When it is checked next, as its next token comes.
        over_share: Its tenant wants more than its share of what is served.
        ran_dry: A request found no token since R was last divided.
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
        "ran_dry",
        "rate_per_s",
        "updated_at_ns",
        "wake_at_ns",
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
        self.ran_dry = False

    def set_rate(self, rate_per_s: float, now: int) -> None:
        """Change the rate and with it the capacities; tokens in the bank and buffered requests remain."""
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
        """Add the tokens that have come since the last call."""
        self.partial_token += self.rate_per_s * (now - self.updated_at_ns) / SECOND_NS
        tokens = int(self.partial_token)
        self.updated_at_ns, self.partial_token = now, self.partial_token - tokens
        self.balance = min(self.bank_capacity + self.buffer_capacity, self.balance + tokens)

    def offer(self, request: object, now: int) -> TokenVerdict:
        """Take a token for a request, or buffer it."""
        self.accrue(now)
        self.offered += 1
        if self.balance <= self.buffer_capacity:
            self.ran_dry = True
        if self.balance < 1:
            return TokenVerdict.OVERFLOW
        self.balance -= 1
        if self.balance >= self.buffer_capacity:
            return TokenVerdict.ADMITTED
        self.buffered.append(request)
        return TokenVerdict.BUFFERED

    def take_spare_token(self, now: int) -> bool:
        """Take a token for a hedge or a client's retry, if fresh requests leave the bank well filled."""
        self.accrue(now)
        if self.balance - self.buffer_capacity <= self.bank_capacity // SPARE_DIVISOR:
            return False
        self.balance -= 1
        return True

    def release_buffered(self, now: int) -> Iterable[Any]:
        """Yield the buffered requests whose tokens have come, in order."""
        self.accrue(now)
        while len(self.buffered) > max(0, self.buffer_capacity - self.balance):
            yield self.buffered.popleft()

    def remove_buffered(self, request: object) -> None:
        """A buffered request ends: the token that it waited for is not needed."""
        self.buffered.remove(request)
        self.balance += 1

    def is_full(self, now: int) -> bool:
        """Return whether it is as good as a new one: to forget and remake it wins or loses no token."""
        self.accrue(now)
        return (
            not self.buffered
            and not self.offered
            and self.balance >= self.bank_capacity + self.buffer_capacity
        )
