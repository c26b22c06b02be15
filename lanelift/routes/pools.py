"""Pools: the upstreams that a route's requests may go to, which pool takes over from one that is short, and
splits of requests among pools. Pure.

A pool holds the boxes for which all of its conditions hold; a condition that is not set holds for all. While
less than `spill_below` of the boxes listed in it can take a request, its requests go to the pool it spills
to, and on from there; the last of such a chain serves what it can. Which box of a pool is picked, and whether
one can take a request, is the decision module's to say.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

MAX_POOLS = 1_000  # each has its own order of upstreams and line in the decision module
MAX_SHARES = 16  # of one split: beyond, nobody tells what a share is for
SUM_SLACK = 1e-6  # by which shares may miss 1: thirds are written as 0.333333


@dataclass(frozen=True, slots=True)
class Box:
    """An upstream as it is listed."""

    name: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    labels: frozenset[str] = frozenset()
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    name: str
    zones: frozenset[str] = frozenset()
    kinds: frozenset[str] = frozenset()
    cells: frozenset[int] = frozenset()
    labels: frozenset[str] = frozenset()  # a box needs one of them
    boxes: frozenset[str] = frozenset()  # by name
    spill: str = ""
    spill_below: float = 0.0

    def holds(self, box: Box) -> bool:
        return (
            (not self.zones or box.zone in self.zones)
            and (not self.kinds or box.kind in self.kinds)
            and (not self.cells or box.cell in self.cells)
            and (not self.labels or not self.labels.isdisjoint(box.labels))
            and (not self.boxes or box.name in self.boxes)
        )

    def needs(self, listed: int) -> int:
        """So many of its boxes must be able to take a request, of so many listed; with fewer it spills."""
        return math.ceil(self.spill_below * listed - 1e-9) if self.spill else 0


@dataclass(frozen=True, slots=True)
class Split:
    """Requests divided among pools, each key always into the same one while the shares stay."""

    name: str
    shares: tuple[tuple[str, float], ...]  # pool, part of the keys
    by: str = "tenant"  # whose value the key is: "tenant", "request" or "header:NAME"

    def pool(self, key: str) -> str:
        """The pool of a key. What one share gains another loses: no key moves between two that stay."""
        # A hash that all balancers and all starts compute alike; Python's own differs by process.
        digest = hashlib.blake2b(f"{self.name}\0{key}".encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") / 2**64
        for name, part in self.shares:
            point -= part
            if point < 0:
                return name
        return self.shares[-1][0]


def mistakes(pools: Sequence[Pool], splits: Sequence[Split], boxes: Collection[Box]) -> Iterator[str]:
    """Everything in pools and splits that can't be meant, each naming its pool or split."""
    if len(pools) > MAX_POOLS:
        yield f"{len(pools)} pools; at most {MAX_POOLS} are allowed"
    names = {pool.name: pool for pool in pools}
    known = {box.name for box in boxes}
    seen: set[str] = set()
    named: list[Pool | Split] = [*pools, *splits]
    for one in named:
        if one.name in seen:
            yield f"{_what(one)}: the name is used twice among pools and splits"
        seen.add(one.name)
    for pool in pools:
        for name in sorted(pool.boxes - known):
            yield f"pool {pool.name!r}: box {name!r} is not listed"
        if not any(pool.holds(box) for box in boxes):
            yield f"pool {pool.name!r}: no box that is listed belongs to it"
        if pool.spill and pool.spill not in names:
            yield f"pool {pool.name!r}: it spills to {pool.spill!r}, which is no pool"
        if bool(pool.spill) != (pool.spill_below > 0):
            yield f"pool {pool.name!r}: spill and spill_below go together"
        circle = _circle(pool, names)
        if circle and pool.name == min(circle):  # said once for each circle
            yield f"pool {pool.name!r}: spills in a circle, {' -> '.join((*circle, circle[0]))}"
    for split in splits:
        if not split.shares or len(split.shares) > MAX_SHARES:
            yield f"split {split.name!r}: {len(split.shares)} shares; allowed are 1 to {MAX_SHARES}"
        total = math.fsum(part for _, part in split.shares)
        if abs(total - 1) > SUM_SLACK:
            yield f"split {split.name!r}: its shares sum to {total:g}, and must to 1"
        for name, part in split.shares:
            if name not in names:
                yield f"split {split.name!r}: {name!r} is no pool"
            if not part >= 0:
                yield f"split {split.name!r}: a share of {part:g}"
        if len({name for name, _ in split.shares}) < len(split.shares):
            yield f"split {split.name!r}: a pool stands in it twice"
        if split.by not in ("tenant", "request") and not split.by.startswith("header:"):
            yield f"split {split.name!r}: by {split.by!r}; allowed are tenant, request, header:NAME"


def chain(pool: Pool, pools: Mapping[str, Pool]) -> list[Pool]:
    """A pool and those that it spills to, in order. They must not go round in a circle."""
    found = [pool]
    while found[-1].spill:
        found.append(pools[found[-1].spill])
    return found


def members(pool: Pool, boxes: Iterable[Box]) -> list[Box]:
    return [box for box in boxes if pool.holds(box)]


def _circle(pool: Pool, pools: Mapping[str, Pool]) -> list[str]:
    """The circle that this pool is part of, from it on; nothing where there is none."""
    path = [pool.name]
    at = pools.get(pool.spill)
    while at is not None and at.name not in path:
        path.append(at.name)
        at = pools.get(at.spill)
    return path if at is pool else []


def _what(one: Pool | Split) -> str:
    return f"{'pool' if isinstance(one, Pool) else 'split'} {one.name!r}"
