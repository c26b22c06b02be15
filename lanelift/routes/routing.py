"""Routing as a whole: rules, pools and splits, and what they make of one request. Pure."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from lanelift.routes import pools as pooling
from lanelift.routes.pools import Box, Pool, Split
from lanelift.routes.table import Entry, Request, Rule, Table, Unusable

EVERYWHERE = Pool("")  # what a rule without a pool names: every box


@dataclass(frozen=True, slots=True)
class Decision:
    """Where a request belongs. No rule: no route holds for it, and it is answered 404."""

    rule: Rule | None
    class_name: str = ""  # "": as the request itself says
    pool: str = ""  # "": every box


class Routing:
    """A checked configuration. Raises Unusable with every mistake in it."""

    def __init__(
        self,
        rules: Sequence[Rule],
        pools: Sequence[Pool] = (),
        splits: Sequence[Split] = (),
        boxes: Collection[Box] = (),
        classes: Collection[str] = (),
    ) -> None:
        self.boxes = tuple(boxes)
        self.classes = frozenset(classes)
        found = list(pooling.mistakes(pools, splits, self.boxes))
        self.pools = {pool.name: pool for pool in pools} | {"": EVERYWHERE}
        self.splits = {split.name: split for split in splits}
        for rule in rules:
            if rule.pool not in self.pools and rule.pool not in self.splits:
                found.append(f"rule {rule.name!r}: {rule.pool!r} is neither a pool nor a split")
            if rule.class_name and rule.class_name not in self.classes:
                found.append(f"rule {rule.name!r}: {rule.class_name!r} is no class")
        try:
            self.table = Table(rules)
        except Unusable as error:
            found += error.mistakes
        if found:
            raise Unusable(found)

    @property
    def rules(self) -> list[Rule]:
        """In the order of precedence."""
        return [entry.rule for entry in self.table.entries]

    def decide(self, asked: Request, request_id: str = "") -> Decision:
        rule = self.table.find(asked)
        if rule is None:
            return Decision(None)
        split = self.splits.get(rule.pool)
        pool = rule.pool if split is None else split.pool(_key(split, asked, request_id))
        return Decision(rule, rule.class_name, pool)

    def targets(self, rule: Rule) -> list[Pool]:
        """The pools that a rule's requests are sent to at first: several, where it names a split."""
        split = self.splits.get(rule.pool)
        if split is None:
            return [self.pools[rule.pool]]
        return [self.pools[name] for name, part in split.shares if part > 0]

    def chain(self, pool: Pool) -> list[Pool]:
        return pooling.chain(pool, self.pools)

    def members(self, pool: Pool) -> list[Box]:
        return pooling.members(pool, self.boxes)


def _key(split: Split, asked: Request, request_id: str) -> str:
    if split.by == "tenant":
        return asked.tenant
    if split.by == "request":
        return request_id
    return asked.headers.get(split.by.removeprefix("header:").lower(), "")


def explain(routing: Routing, asked: Request, request_id: str = "") -> Iterable[str]:
    """Which rule, class, pool and boxes a request has, and why the rules that stand before did not hold."""
    decision = routing.decide(asked, request_id)
    for entry in routing.table.entries:
        if entry.rule is decision.rule:
            break
        yield f"rule {entry.rule.name!r} does not hold: {why_not(entry, asked)}"
    if decision.rule is None:
        yield "no rule holds: the answer is 404"
        return
    yield f"rule {decision.rule.name!r} holds, the first in the order of precedence"
    yield f"class {decision.class_name!r}" if decision.class_name else "class: as the request says"
    split = routing.splits.get(decision.rule.pool)
    if split is not None:
        parts = ", ".join(f"{name} {part:g}" for name, part in split.shares)
        yield f"split {split.name!r} by {split.by} ({parts}): pool {decision.pool!r}"
    for pool in routing.chain(routing.pools[decision.pool]):
        boxes = routing.members(pool)
        names = ", ".join(f"{box.name}{' (draining)' if box.draining else ''}" for box in boxes) or "none"
        title = f"pool {pool.name!r}" if pool.name else "every box"
        needs = (
            f"; with under {pool.needs(len(boxes))} able it spills to {pool.spill!r}" if pool.spill else ""
        )
        yield f"{title}, {len(boxes)} boxes: {names}{needs}"


def why_not(entry: Entry, asked: Request) -> str:
    """The first condition of a rule that a request fails, in the order of precedence."""
    rule = entry.rule
    alone = Rule(rule.name)
    conditions: list[dict[str, Any]] = [
        {"host": rule.host},
        {"path": rule.path, "exact": rule.exact},
        {"method": rule.method},
        *({"headers": (header,)} for header in rule.headers),
        {"tenant": rule.tenant},
    ]
    for condition in conditions:
        one = dataclasses.replace(alone, **condition)
        if not Table([one]).entries[0].holds(asked):
            return _said(condition, asked)
    return "it does"


def _said(condition: dict[str, Any], asked: Request) -> str:
    if "host" in condition:
        return f"host {condition['host']!r} is asked, and it is {asked.host!r}"
    if "path" in condition:
        whole = "the path" if condition["exact"] else "a path below"
        return f"{whole} {condition['path']!r} is asked, and it is '/{'/'.join(asked.segments)}'"
    if "method" in condition:
        return f"method {condition['method']!r} is asked, and it is {asked.method!r}"
    if "tenant" in condition:
        return f"tenant {condition['tenant']!r} is asked, and it is {asked.tenant!r}"
    ((name, value),) = condition["headers"]
    there = repr(asked.headers[name]) if name in asked.headers else "absent"
    return f"header {name!r} with {value!r} is asked, and it is {there}"
