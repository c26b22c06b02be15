"""Emulates a store that checks fencing tokens: it rejects a write whose token is smaller than a token that
it has seen. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field


class StaleTokenError(Exception):
    """The token is smaller than one already seen: the writer has lost the lease, perhaps unknowingly."""


@dataclass
class FencingTokenStore:
    """A store that accepts writes with non-decreasing tokens.

    `writes` holds each accepted value with its token. The largest token must be kept as durably as writes."""

    highest_token: int = 0
    writes: list[tuple[int, object]] = field(default_factory=list)

    def write(self, token: int, value: object) -> None:
        """Stores a value. Raises StaleTokenError if the token is smaller than the largest one seen."""
        if token < self.highest_token:
            raise StaleTokenError(f"token {token}; {self.highest_token} was seen")
        self.highest_token = token
        self.writes.append((token, value))
