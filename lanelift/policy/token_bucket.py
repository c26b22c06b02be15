"""Token bucket: enforces a rate limit that an operator or a directory set for a tenant.

Inputs: the limit in requests per second and the time. If less than one token is left, the request is
rejected, with the time until the next token as its Retry-After.
"""

from __future__ import annotations

import math

from lanelift.policy.units import SECOND_NS

BURST_S = 1.0  # a bucket holds the tokens that accrue in this many seconds


class TokenBucket:
    """A token bucket that holds one second of its limit.

    Attributes:
        rate_per_s: The limit, in requests per second.
        updated_at_ns: When `tokens` was last brought up to date.
        tokens: The number of requests that are within the limit now.
    """

    __slots__ = ("rate_per_s", "tokens", "updated_at_ns")

    def __init__(self, rate_per_s: float, now: int) -> None:
        self.rate_per_s = rate_per_s
        self.updated_at_ns = now
        self.tokens = self.capacity

    @property
    def capacity(self) -> float:
        """The most tokens that the bucket holds: at least one, or no request would be within the limit."""
        return max(1.0, self.rate_per_s * BURST_S)

    def wait_ns(self, rate_per_s: float, now: int) -> int:
        """Return the time until a request is within the limit; 0 if a request is within the limit now.

        The limit may have changed since the last call.
        """
        self.rate_per_s = rate_per_s
        self.tokens = self.tokens + rate_per_s * (now - self.updated_at_ns) / SECOND_NS
        self.updated_at_ns = now
        self.tokens = min(self.capacity, self.tokens)
        if self.tokens >= 1:
            return 0
        wait_ns = math.ceil((1 - self.tokens) / rate_per_s * SECOND_NS)
        # rounding may leave the sum of the tokens a little below one at that time
        return wait_ns if self.tokens + rate_per_s * wait_ns / SECOND_NS >= 1 else wait_ns + 1

    def is_full(self, now: int) -> bool:
        """Return whether the bucket is full. A full bucket equals a new one, and can be forgotten."""
        return self.tokens + self.rate_per_s * (now - self.updated_at_ns) / SECOND_NS >= self.capacity
