"""A stand-in for a store that heeds tokens: it refuses whoever comes with a smaller one than it has seen.
Pure."""

from __future__ import annotations

from dataclasses import dataclass, field


class StaleTokenError(Exception):
    """The token is smaller than one that was seen: its holder has lost the lease, and may not know."""


@dataclass
class FencingTokenStore:
    """`writes`: what was taken, with its token. The largest token must be kept as safely as the writes
    are."""

    seen: int = 0
    writes: list[tuple[int, object]] = field(default_factory=list)

    def write(self, token: int, what: object) -> None:
        """Raises StaleTokenError."""
        if token < self.seen:
            raise StaleTokenError(f"token {token}; {self.seen} was seen")
        self.seen = token
        self.writes.append((token, what))
