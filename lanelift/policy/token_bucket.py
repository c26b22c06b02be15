"""A rate limit that an operator or a directory set for a tenant: a plain token bucket.

Inputs: the limit in requests a second and the time. It acts when less than one token is left: the request is
rejected, with the time until the next token as its Retry-After.
"""

from __future__ import annotations

import math

from lanelift.policy.units import SECOND_NS

BURST_S = 1.0  # seconds' worth of the limit that may be used at once


class TokenBucket:
    """Requests a second, with a second's worth at once.

    Attributes:
        rate_per_s: The limit, in requests a second.
        updated_at_ns: When `tokens` was last brought up to date.
        tokens: Requests that are within the limit now.
    """

    __slots__ = ("rate_per_s", "tokens", "updated_at_ns")

    def __init__(self, rate_per_s: float, now: int) -> None:
        self.rate_per_s = rate_per_s
        self.updated_at_ns = now
        self.tokens = self.capacity

    @property
    def capacity(self) -> float:
        """The most tokens that it holds; at least one, or no request would ever be within the limit."""
        return max(1.0, self.rate_per_s * BURST_S)

    def wait_ns(self, rate_per_s: float, now: int) -> int:
        """Return how long until a request is within the limit, which may have changed since; 0: it is."""
        self.rate_per_s = rate_per_s
        self.tokens = self.tokens + rate_per_s * (now - self.updated_at_ns) / SECOND_NS
        self.updated_at_ns = now
        self.tokens = min(self.capacity, self.tokens)
        if self.tokens >= 1:
            return 0
        return math.ceil((1 - self.tokens) / rate_per_s * SECOND_NS)

    def is_full(self, now: int) -> bool:
        """Return whether it is as good as a new one, so that it can be forgotten."""
        return self.tokens + self.rate_per_s * (now - self.updated_at_ns) / SECOND_NS >= self.capacity
