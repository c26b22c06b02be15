"""Pools of upstreams for routes, spilling from one pool to another, and splits of requests among pools. Pure.

A pool contains the boxes that match all of its conditions; a condition that is not set matches all boxes.
While the available part of a pool's listed boxes is less than `spill_below`, its requests go to the pool that
it spills to, which may spill in turn; the last pool of the chain serves as many requests as it can. The
decision module selects the box of a pool, and decides whether a box is available.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

# Limits the pools, as the decision module has an order of upstreams and a queue for each pool.
MAX_POOLS = 1_000
MAX_SHARES = 16  # limits the shares of one split; with more shares, the purpose of each is unclear
# The sum of shares may differ from 1 by at most this number, as a third is written 0.333333.
SUM_TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class Box:
    """A listed upstream."""

    name: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    labels: frozenset[str] = frozenset()
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """The boxes that match all conditions, and the pool to which their requests spill."""

    name: str
    zones: frozenset[str] = frozenset()
    kinds: frozenset[str] = frozenset()
    cells: frozenset[int] = frozenset()
    labels: frozenset[str] = frozenset()  # a box must have at least one of these labels
    boxes: frozenset[str] = frozenset()  # names of boxes
    spill: str = ""
    spill_below: float = 0.0

    def matches(self, box: Box) -> bool:
        """Return whether a box belongs to the pool."""
        return (
            (not self.zones or box.zone in self.zones)
            and (not self.kinds or box.kind in self.kinds)
            and (not self.cells or box.cell in self.cells)
            and (not self.labels or not self.labels.isdisjoint(box.labels))
            and (not self.boxes or box.name in self.boxes)
        )

    def required_boxes(self, listed: int) -> int:
        """Return how many of the `listed` boxes must be available for the pool not to spill."""
        # 1e-9 exceeds the product's rounding error, so that this error does not require one more box.
        return math.ceil(self.spill_below * listed - 1e-9) if self.spill else 0


@dataclass(frozen=True, slots=True)
class Split:
    """A division of requests among pools. A key stays in its pool while the shares do not change."""

    name: str
    shares: tuple[tuple[str, float], ...]  # pairs of a pool's name and the pool's fraction of the keys
    by: str = "tenant"  # the source of the key: "tenant", "request" or "header:NAME"

    def pool(self, key: str) -> str:
        """Return the pool of a key. If shares change, only keys between old and new bounds change pools."""
        # This hash is the same in all processes, while Python's built-in hash differs between processes.
        digest = hashlib.blake2b(f"{self.name}\0{key}".encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") / 2**64
        for name, part in self.shares:
            point -= part
            if point < 0:
                return name
        return self.shares[-1][0]


def problems(pools: Sequence[Pool], splits: Sequence[Split], boxes: Collection[Box]) -> Iterator[str]:
    """Yield the problems of pools and splits, each with the name of its pool or split."""
    if len(pools) > MAX_POOLS:
        yield f"{len(pools)} pools; at most {MAX_POOLS} are allowed"
    names = {pool.name: pool for pool in pools}
    known = {box.name for box in boxes}
    seen: set[str] = set()
    named: list[Pool | Split] = [*pools, *splits]
    for item in named:
        if item.name in seen:
            yield f"{_title(item)}: the name is used twice among pools and splits"
        seen.add(item.name)
    for pool in pools:
        for name in sorted(pool.boxes - known):
            yield f"pool {pool.name!r}: box {name!r} is not listed"
        if not any(pool.matches(box) for box in boxes):
            yield f"pool {pool.name!r}: no listed box belongs to it"
        if pool.spill and pool.spill not in names:
            yield f"pool {pool.name!r}: it spills to {pool.spill!r}, which is not a pool"
        if bool(pool.spill) != (pool.spill_below > 0):
            yield f"pool {pool.name!r}: spill and spill_below must be set together"
        cycle = _cycle(pool, names)
        if cycle and pool.name == min(cycle):  # so that each cycle is reported only once
            yield f"pool {pool.name!r}: spills in a cycle, {' -> '.join((*cycle, cycle[0]))}"
    for split in splits:
        if not split.shares or len(split.shares) > MAX_SHARES:
            yield f"split {split.name!r}: {len(split.shares)} shares; allowed are 1 to {MAX_SHARES}"
        total = math.fsum(part for _, part in split.shares)
        if abs(total - 1) > SUM_TOLERANCE:
            yield f"split {split.name!r}: its shares sum to {total:g}, not to 1"
        for name, part in split.shares:
            if name not in names:
                yield f"split {split.name!r}: {name!r} is not a pool"
            if not part >= 0:
                yield f"split {split.name!r}: a share must be 0 or more, found {part:g}"
        if len({name for name, _ in split.shares}) < len(split.shares):
            yield f"split {split.name!r}: a pool is listed twice"
        if split.by not in ("tenant", "request") and not split.by.startswith("header:"):
            yield f"split {split.name!r}: by {split.by!r}; allowed are tenant, request, header:NAME"


def chain(pool: Pool, pools: Mapping[str, Pool]) -> list[Pool]:
    """Return a pool and the pools that it spills to, in order. These pools must not form a cycle."""
    found = [pool]
    while found[-1].spill:
        found.append(pools[found[-1].spill])
    return found


def members(pool: Pool, boxes: Iterable[Box]) -> list[Box]:
    """Return the boxes that belong to a pool."""
    return [box for box in boxes if pool.matches(box)]


def _cycle(pool: Pool, pools: Mapping[str, Pool]) -> list[str]:
    """Return the cycle that a pool is part of, beginning with the pool; empty if there is no cycle."""
    path = [pool.name]
    at = pools.get(pool.spill)
    while at is not None and at.name not in path:
        path.append(at.name)
        at = pools.get(at.spill)
    return path if at is pool else []


def _title(item: Pool | Split) -> str:
    return f"{'pool' if isinstance(item, Pool) else 'split'} {item.name!r}"
