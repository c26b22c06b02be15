"""Routing as a whole: rules, pools and splits, and the decision for a request. Pure."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from lanelift.routes import pools as pools_module
from lanelift.routes.pools import Box, Pool, Split
from lanelift.routes.table import Entry, Request, RouteValidationError, Rule, Table

ALL_BOXES = Pool("")  # the pool of a rule that names no pool


@dataclass(frozen=True, slots=True)
class Decision:
    """The rule, class and pool of a request. Without a matching rule, the request is answered with 404."""

    rule: Rule | None
    class_name: str = ""  # empty: the request itself names its class
    pool: str = ""  # empty: the request may go to all boxes


class Routing:
    """A validated configuration of routes. Raises RouteValidationError with all of its problems."""

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
        found = list(pools_module.problems(pools, splits, self.boxes))
        self.pools = {pool.name: pool for pool in pools} | {"": ALL_BOXES}
        self.splits = {split.name: split for split in splits}
        for rule in rules:
            if rule.pool not in self.pools and rule.pool not in self.splits:
                found.append(f"rule {rule.name!r}: {rule.pool!r} is neither a pool nor a split")
            if rule.class_name and rule.class_name not in self.classes:
                found.append(f"rule {rule.name!r}: {rule.class_name!r} is not a class")
        try:
            self.table = Table(rules)
        except RouteValidationError as error:
            found += error.problems
        if found:
            raise RouteValidationError(found)

    @property
    def rules(self) -> list[Rule]:
        """The rules in the order of precedence."""
        return [entry.rule for entry in self.table.entries]

    def decide(self, request: Request, request_id: str = "") -> Decision:
        """Return the rule, the class and the pool of a request."""
        rule = self.table.find(request)
        if rule is None:
            return Decision(None)
        split = self.splits.get(rule.pool)
        pool = rule.pool if split is None else split.pool(_split_key(split, request, request_id))
        return Decision(rule, rule.class_name, pool)

    def targets(self, rule: Rule) -> list[Pool]:
        """Return the pools to which a rule sends requests before any spilling: one, or those of a split."""
        split = self.splits.get(rule.pool)
        if split is None:
            return [self.pools[rule.pool]]
        return [self.pools[name] for name, part in split.shares if part > 0]

    def chain(self, pool: Pool) -> list[Pool]:
        """Return a pool and the pools that it spills to, in order."""
        return pools_module.chain(pool, self.pools)

    def members(self, pool: Pool) -> list[Box]:
        """Return the boxes that belong to a pool."""
        return pools_module.members(pool, self.boxes)


def _split_key(split: Split, request: Request, request_id: str) -> str:
    if split.by == "tenant":
        return request.tenant
    if split.by == "request":
        return request_id
    return request.headers.get(split.by.removeprefix("header:").lower(), "")


def explain(routing: Routing, request: Request, request_id: str = "") -> Iterable[str]:
    """Yield lines that explain a request's rule, class, pool and boxes, and why no earlier rule matches."""
    decision = routing.decide(request, request_id)
    for entry in routing.table.entries:
        if entry.rule is decision.rule:
            break
        yield f"rule {entry.rule.name!r} does not match: {first_mismatch(entry, request)}"
    if decision.rule is None:
        yield "no rule matches: the answer is 404"
        return
    yield f"rule {decision.rule.name!r} matches, the first in the order of precedence"
    yield f"class {decision.class_name!r}" if decision.class_name else "class: the one that the request names"
    split = routing.splits.get(decision.rule.pool)
    if split is not None:
        parts = ", ".join(f"{name} {part:g}" for name, part in split.shares)
        yield f"split {split.name!r} by {split.by} ({parts}): pool {decision.pool!r}"
    for pool in routing.chain(routing.pools[decision.pool]):
        boxes = routing.members(pool)
        names = ", ".join(f"{box.name}{' (draining)' if box.draining else ''}" for box in boxes) or "none"
        title = f"pool {pool.name!r}" if pool.name else "all boxes"
        spill = (
            f"; with fewer than {pool.required_boxes(len(boxes))} available it spills to {pool.spill!r}"
            if pool.spill
            else ""
        )
        yield f"{title}, {len(boxes)} boxes: {names}{spill}"


def first_mismatch(entry: Entry, request: Request) -> str:
    """Return the first condition of a rule that a request does not match, in the order of precedence."""
    rule = entry.rule
    empty = Rule(rule.name)
    conditions: list[dict[str, Any]] = [
        {"host": rule.host},
        {"path": rule.path, "exact": rule.exact},
        {"method": rule.method},
        *({"headers": (header,)} for header in rule.headers),
        {"tenant": rule.tenant},
    ]
    for condition in conditions:
        single = dataclasses.replace(empty, **condition)
        if not Table([single]).entries[0].matches(request):
            return _mismatch_text(condition, request)
    return "all conditions match"


def _mismatch_text(condition: dict[str, Any], request: Request) -> str:
    if "host" in condition:
        return f"host {condition['host']!r} is required, but it is {request.host!r}"
    if "path" in condition:
        whole = "the path" if condition["exact"] else "a path below"
        return f"{whole} {condition['path']!r} is required, but it is '/{'/'.join(request.segments)}'"
    if "method" in condition:
        return f"method {condition['method']!r} is required, but it is {request.method!r}"
    if "tenant" in condition:
        return f"tenant {condition['tenant']!r} is required, but it is {request.tenant!r}"
    ((name, value),) = condition["headers"]
    actual = repr(request.headers[name]) if name in request.headers else "absent"
    return f"header {name!r} with {value!r} is required, but it is {actual}"
