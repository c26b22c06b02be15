"""Verifies statements about a routing in all relevant failure scenarios, by proof and not by sampling. Pure.

Representative requests (`match_sets.py`) decide the questions about requests. The usable boxes of the pools
that a request may be sent to decide the questions about boxes. There are three verdicts: the statement holds;
it fails, with the smallest example and the responsible rule; or it is not decided, with a reason. A statement
that is not decided never counts as one that holds.

A pool is short if it has too few available boxes; its requests then spill to another pool. Whether a pool is
short depends on the boxes that the decision module avoids at the time, and any box may fail at any time. So
for a claim with `never` or `always`, each pool that can spill is considered both short and not short, unless
the statement says which. A claim that counts boxes uses the boxes that the file lists, changed by the
conditions of the statement.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from lanelift.routes.expect import Claim, Conditions, Statement, Subject, Target
from lanelift.routes.match_sets import MatchSet, format_request
from lanelift.routes.pools import Box, Pool
from lanelift.routes.routing import Routing
from lanelift.routes.table import Entry, Request, Rule

# Limits the number of sets of down boxes that are tried. All sets are tried if the pools of a chain overlap,
# as there is no formula for that case. This many sets take some seconds; with more, the verdict is "not
# decided".
MAX_DOWN_SETS = 100_000


class Verdict(Enum):
    """The result of checking a statement."""

    HOLDS = "holds"
    FAILS = "fails"
    NOT_DECIDED = "not decided"


@dataclass(frozen=True, slots=True)
class Example:
    """A counterexample to a statement: a request, the pools that it may reach in turn, and a scenario."""

    request: Request
    pools: tuple[str, ...]
    box: str = ""
    down: tuple[str, ...] = ()  # unusable boxes that the file does not list as draining
    short: tuple[str, ...] = ()  # names of the pools that spill

    def __str__(self) -> str:
        where = " -> ".join(name or "all boxes" for name in self.pools)
        box = f", box {self.box}" if self.box else ""
        down = f"; with {', '.join(self.down)} down" if self.down else ""
        short = f"; with pool {', '.join(self.short)} short" if self.short else ""
        return f"{format_request(self.request)} -> {where or 'no rule'}{box}{down}{short}"


@dataclass(frozen=True, slots=True)
class Finding:
    """A statement and its verdict."""

    statement: Statement
    verdict: Verdict
    reason: str = ""
    rule: str = ""  # name of the rule that decides the verdict
    example: Example | None = None

    def __str__(self) -> str:
        rule = f" (rule {self.rule!r})" if self.rule else ""
        example = f"\n    for example {self.example}" if self.example is not None else ""
        return f"{self.statement}\n    {self.verdict.value}: {self.reason}{rule}{example}"


@dataclass(frozen=True, slots=True)
class Flow:
    """A rule that matches requests of a subject, a representative of these requests, and one of its pools."""

    rule: Rule
    request: Request
    pool: Pool


@dataclass(frozen=True, slots=True)
class Scenario:
    """A state of boxes and pools in which a statement has to hold."""

    unusable: frozenset[str]  # names of unusable boxes
    any_down: int  # number of arbitrary further boxes that may be down besides `unusable`
    short: frozenset[str]  # pools that spill
    well: frozenset[str]  # pools that do not spill
    down: frozenset[str]  # unusable boxes that the file does not list as draining


class Checker:
    """Checks statements against one routing. `cold`: whether boxes that have just started are cold."""

    def __init__(self, routing: Routing, cold: bool = True) -> None:
        self.routing = routing
        self.cold = cold
        self.entries = [(entry, MatchSet.from_entry(entry)) for entry in routing.table.entries]
        self.members = {name: routing.members(pool) for name, pool in routing.pools.items()}
        # Cached flows by subject, as many statements have equal subjects.
        self.flow_cache: dict[str, list[Flow]] = {}

    # ---- requests ----------------------------------------------------------------------------------------

    def flows(self, subject: Subject) -> list[Flow]:
        """Return each rule that matches some requests of a subject, with each pool that it may choose."""
        key = repr(subject)
        if key not in self.flow_cache:
            self.flow_cache[key] = [
                Flow(entry.rule, request, pool)
                for entry, request in self._matching_entries(subject)
                for pool in self.routing.targets(entry.rule)
            ]
        return self.flow_cache[key]

    def _matching_entries(self, subject: Subject) -> Iterator[tuple[Entry, Request]]:
        for entry, match_set in self.entries:
            if subject.class_name and entry.rule.class_name not in ("", subject.class_name):
                continue
            both = match_set.intersection(subject.match_set)
            if both is None:
                continue
            request = both.representative()
            if self.routing.table.find(request) is entry.rule:
                yield entry, request

    def unmatched_request(self, subject: Subject) -> Request | None:
        """Return a request of the subject that no rule matches, if there is one."""
        request = subject.match_set.representative()
        return request if self.routing.table.find(request) is None else None

    # ---- scenarios ---------------------------------------------------------------------------------------

    def scenarios(self, when: Conditions) -> list[Scenario]:
        """Return the scenario that fulfils the conditions, or one for each zone if any zone may be lost."""
        zones = sorted({box.zone for box in self.routing.boxes})
        lost = [{zone} for zone in zones] if when.any_zone_lost else [set(when.zones_lost)]
        states = dict(when.boxes)
        found = []
        for lost_zones in lost:
            down = {box.name for box in self.routing.boxes if box.zone in lost_zones}
            down |= {name for name, state in states.items() if state != "cold"}
            listed = {box.name for box in self.routing.boxes if box.draining}
            found.append(
                Scenario(
                    frozenset(down | listed), when.any_down, when.short, when.well, frozenset(down - listed)
                )
            )
        return found

    def _usable(self, pool: Pool, scenario: Scenario) -> list[Box]:
        return [box for box in self.members[pool.name] if box.name not in scenario.unusable]

    def candidate_pools(self, flow: Flow, scenario: Scenario) -> Iterator[tuple[Pool, tuple[str, ...]]]:
        """Yield the pools that requests may be sent to in a scenario, each with the short pools before it."""
        short: tuple[str, ...] = ()
        for pool in self.routing.chain(flow.pool):
            usable, required = (
                len(self._usable(pool, scenario)),
                pool.required_boxes(len(self.members[pool.name])),
            )
            is_short = pool.name in scenario.short or (usable < required and pool.name not in scenario.well)
            if not pool.spill or not is_short:
                yield pool, short
            if not pool.spill or pool.name in scenario.well:
                return
            short = (*short, pool.name)

    # ---- statements --------------------------------------------------------------------------------------

    def check(self, statement: Statement) -> Finding:
        """Check one statement."""
        kind = statement.claim.kind
        if kind == "no route":
            return self._no_route(statement)
        if kind in ("at least", "at most", "never refused"):
            return self._check_box_count(statement)
        found = {
            "never reaches": self._never_reaches,
            "always reaches": self._always_reaches,
            "never shares": self._never_shares,
        }[kind](statement)
        return found or Finding(statement, Verdict.HOLDS, "in every scenario")

    def _no_route(self, statement: Statement) -> Finding:
        flows = self.flows(statement.subject)
        if not flows:
            return Finding(statement, Verdict.HOLDS, "no rule matches any of these requests")
        flow = flows[0]
        example = Example(flow.request, (flow.pool.name,))
        return Finding(statement, Verdict.FAILS, "a rule matches them", flow.rule.name, example)

    def _reachable_boxes(
        self, statement: Statement
    ) -> Iterator[tuple[Flow, Scenario, Pool, tuple[str, ...], Box]]:
        """Yield each box that a request of the subject may reach, with its flow, scenario and pools."""
        for scenario in self.scenarios(statement.when):
            for flow in self.flows(statement.subject):
                for pool, short in self.candidate_pools(flow, scenario):
                    for box in self._usable(pool, scenario):
                        yield flow, scenario, pool, short, box

    def _never_reaches(self, statement: Statement) -> Finding | None:
        target = _target(statement.claim)
        if target.kind == "state" and target.name == "down":
            reason = "a balancer detects that a box is down only by a failed attempt"
            return Finding(statement, Verdict.NOT_DECIDED, reason)
        if target.kind == "state" and target.name == "draining":
            # The decision module (`Request.may_send`) sends nothing to a box that is not ready.
            return Finding(statement, Verdict.HOLDS, "nothing is sent to a box that is listed as draining")
        for flow, scenario, pool, short, box in self._reachable_boxes(statement):
            if self._matches_target(target, pool, box, statement.when):
                example = self._example(flow, scenario, pool, short, box)
                return Finding(
                    statement, Verdict.FAILS, f"it reaches {_target_text(target)}", flow.rule.name, example
                )
        return None

    def _always_reaches(self, statement: Statement) -> Finding | None:
        target = _target(statement.claim)
        if target.kind == "state":
            reason = "the configuration does not say which boxes are in a state"
            return Finding(statement, Verdict.NOT_DECIDED, reason)
        for flow, scenario, pool, short, box in self._reachable_boxes(statement):
            if not self._matches_target(target, pool, box, statement.when):
                example = self._example(flow, scenario, pool, short, box)
                return Finding(
                    statement,
                    Verdict.FAILS,
                    f"it reaches boxes other than {_target_text(target)}",
                    flow.rule.name,
                    example,
                )
        refused = self._check_minimum(statement, lambda ready, listed: ready >= 1)
        if refused is not None and refused.verdict is Verdict.FAILS:
            return Finding(statement, Verdict.FAILS, "no box is left for it", refused.rule, refused.example)
        return refused

    def _never_shares(self, statement: Statement) -> Finding | None:
        assert statement.claim.other is not None
        others: dict[tuple[Scenario, str], Flow] = {}
        for scenario in self.scenarios(statement.when):
            for flow in self.flows(statement.claim.other):
                for pool, _ in self.candidate_pools(flow, scenario):
                    for box in self._usable(pool, scenario):
                        others.setdefault((scenario, box.name), flow)
        for flow, scenario, pool, short, box in self._reachable_boxes(statement):
            other = others.get((scenario, box.name))
            if other is not None:
                example = self._example(flow, scenario, pool, short, box)
                reason = f"it shares a box with {format_request(other.request)} (rule {other.rule.name!r})"
                return Finding(statement, Verdict.FAILS, reason, flow.rule.name, example)
        return None

    def _check_box_count(self, statement: Statement) -> Finding:
        claim = statement.claim
        if claim.kind == "never refused":
            request = self.unmatched_request(statement.subject) if not statement.subject.class_name else None
            if request is not None:
                return Finding(statement, Verdict.FAILS, "no rule matches it", "", Example(request, ()))
            return self._check_minimum(statement, lambda ready, listed: ready >= 1) or _satisfied(statement)

        def satisfies(ready: int, listed: int) -> bool:
            amount = claim.amount * listed / 100 if claim.percent else claim.amount
            return ready >= amount if claim.kind == "at least" else ready <= amount

        found = (
            self._check_minimum(statement, satisfies)
            if claim.kind == "at least"
            else self._check_maximum(statement, satisfies)
        )
        return found or _satisfied(statement)

    def _check_minimum(self, statement: Statement, satisfies: Callable[[int, int], bool]) -> Finding | None:
        return self._check_worst_case(statement, satisfies, min)

    def _check_maximum(self, statement: Statement, satisfies: Callable[[int, int], bool]) -> Finding | None:
        return self._check_worst_case(statement, satisfies, max)

    def _check_worst_case(
        self,
        statement: Statement,
        satisfies: Callable[[int, int], bool],
        worst: Callable[[Iterable[tuple[int, tuple[str, ...]]]], tuple[int, tuple[str, ...]]],
    ) -> Finding | None:
        """Check the number of boxes left in each scenario's worst case; return None if the claim holds."""
        for scenario in self.scenarios(statement.when):
            for flow in self.flows(statement.subject):
                states = self._box_counts(self.routing.chain(flow.pool), scenario)
                if states is None:
                    reason = f"pools overlap, and more than {MAX_DOWN_SETS} combinations of boxes may be down"
                    return Finding(statement, Verdict.NOT_DECIDED, reason, flow.rule.name)
                ready, down = worst(states)
                listed = len(self.members[flow.pool.name])
                if not satisfies(ready, listed):
                    boxes = "box is" if ready == 1 else "boxes are"
                    names = tuple(sorted(scenario.down)) + down
                    example = Example(flow.request, (flow.pool.name,), down=names)
                    reason = f"{ready} of {listed} {boxes} left for it"
                    return Finding(statement, Verdict.FAILS, reason, flow.rule.name, example)
        return None

    def _box_counts(
        self, chain: Sequence[Pool], scenario: Scenario
    ) -> list[tuple[int, tuple[str, ...]]] | None:
        """Return the number of boxes left for a request, for each combination of boxes that are down.

        Each number is paired with the names of the boxes that are down. Returns None if there are more than
        `MAX_DOWN_SETS` combinations.
        """
        usable = [self._usable(pool, scenario) for pool in chain]
        disjoint = _disjoint(usable)
        if disjoint:
            return list(self._disjoint_box_counts(chain, usable, scenario, 0, scenario.any_down))
        box_names = sorted({box.name for boxes in usable for box in boxes})
        down_count = min(scenario.any_down, len(box_names))
        if math.comb(len(box_names), down_count) > MAX_DOWN_SETS:
            return None
        return [
            (self._serving_box_count(chain, usable, scenario, frozenset(down)), down)
            for down in itertools.combinations(box_names, down_count)
        ]

    def _disjoint_box_counts(
        self,
        chain: Sequence[Pool],
        usable: Sequence[Sequence[Box]],
        scenario: Scenario,
        at: int,
        down_count: int,
    ) -> Iterator[tuple[int, tuple[str, ...]]]:
        """Yield the pairs of `_box_counts` for disjoint pools. Only the number of down boxes per pool
        matters.
        """
        pool, boxes = chain[at], usable[at]
        for down in range(min(down_count, len(boxes)) + 1):
            names = tuple(box.name for box in boxes[:down])
            if at + 1 == len(chain) or not self._is_short(pool, len(boxes) - down, scenario):
                yield len(boxes) - down, names
            else:
                for ready, more in self._disjoint_box_counts(
                    chain, usable, scenario, at + 1, down_count - down
                ):
                    yield ready, names + more

    def _serving_box_count(
        self, chain: Sequence[Pool], usable: Sequence[Sequence[Box]], scenario: Scenario, down: frozenset[str]
    ) -> int:
        ready = 0
        for pool, boxes in zip(chain, usable, strict=True):
            ready = sum(box.name not in down for box in boxes)
            if not self._is_short(pool, ready, scenario):
                break
        return ready

    def _is_short(self, pool: Pool, ready: int, scenario: Scenario) -> bool:
        if not pool.spill or pool.name in scenario.well:
            return False
        return pool.name in scenario.short or ready < pool.required_boxes(len(self.members[pool.name]))

    # ---- targets and examples ----------------------------------------------------------------------------

    def _matches_target(self, target: Target, pool: Pool, box: Box, when: Conditions) -> bool:
        match target.kind:
            case "pool":
                return pool.name == target.name
            case "label":
                return target.name in box.labels
            case "zone":
                return box.zone == target.name
            case "kind":
                return box.kind == target.name
            case "box":
                return box.name == target.name
            case _:  # cold: any box may have just started, unless the statement names the cold boxes
                named = [name for name, state in when.boxes if state == "cold"]
                return self.cold and (not named or box.name in named)

    def _example(
        self, flow: Flow, scenario: Scenario, pool: Pool, short: tuple[str, ...], box: Box
    ) -> Example:
        names = [member.name for member in self.routing.chain(flow.pool)]
        pools_in_turn = tuple(names[: names.index(pool.name) + 1])
        return Example(flow.request, pools_in_turn, box.name, tuple(sorted(scenario.down)), short)

    # ---- consistency of statements -----------------------------------------------------------------------

    def problems(self, statements: Iterable[Statement]) -> Iterator[str]:
        """Yield the problems of statements: unknown names, subjects without requests, and contradictions.

        Statements contradict each other if there is no routing for which both hold.
        """
        statements = list(statements)
        boxes = self.routing.boxes
        known = {
            "pool": self.routing.pools.keys() - {""},
            "label": {label for box in boxes for label in box.labels},
            "zone": {box.zone for box in boxes} - {""},
            "kind": {box.kind for box in boxes} - {""},
            "box": {box.name for box in boxes},
            "state": {"draining", "down", "cold"},
            "class": self.routing.classes,
        }
        for statement in statements:
            for kind, name in _referenced_names(statement):
                if name not in known[kind]:
                    some_names = ", ".join(sorted(known[kind])[:8]) or "none"
                    yield f"{statement}: there is no {kind} {name!r}; there are: {some_names}"
            subjects = [statement.subject, *([statement.claim.other] if statement.claim.other else [])]
            if statement.claim.kind != "no route":
                for subject in subjects:
                    if not self.flows(subject) and subject.class_name in ("", *self.routing.classes):
                        yield f"{statement}: it has no effect, no rule matches any of these requests"
        yield from _contradictions(statements)


def _satisfied(statement: Statement) -> Finding:
    return Finding(statement, Verdict.HOLDS, "in every scenario")


def _target(claim: Claim) -> Target:
    assert claim.target is not None
    return claim.target


def _target_text(target: Target) -> str:
    return f"a {target.name} box" if target.kind == "state" else f"{target.kind} {target.name!r}"


def _referenced_names(statement: Statement) -> Iterator[tuple[str, str]]:
    for subject in (statement.subject, statement.claim.other):
        if subject is not None and subject.class_name:
            yield "class", subject.class_name
    if statement.claim.target is not None:
        yield statement.claim.target.kind, statement.claim.target.name
    for zone in sorted(statement.when.zones_lost):
        yield "zone", zone
    for box, _ in statement.when.boxes:
        yield "box", box
    for pool in sorted(statement.when.short | statement.when.well):
        yield "pool", pool


def _disjoint(usable: Sequence[Sequence[Box]]) -> bool:
    names = [box.name for boxes in usable for box in boxes]
    return len(set(names)) == len(names)


def _contradictions(statements: Sequence[Statement]) -> Iterator[str]:
    """Yield pairs of statements about the same requests and scenarios that can't both hold.

    A check would report only the failing statement, and a change that makes it hold would break the other.
    """
    groups: dict[str, list[Statement]] = {}
    for statement in statements:
        groups.setdefault(f"{statement.subject!r} {statement.when!r}", []).append(statement)
    for group in groups.values():
        for a, b in itertools.combinations(group, 2):
            if _contradict(a.claim, b.claim) or _contradict(b.claim, a.claim):
                yield f"line {a.line} and line {b.line} can't both hold: {a.text} / {b.text}"


def _contradict(a: Claim, b: Claim) -> bool:
    if a.kind == "always reaches":
        if b.kind == "never reaches":
            return a.target == b.target
        same = b.kind == "always reaches" and a.target is not None and b.target is not None
        return bool(
            same
            and a.target
            and b.target
            and a.target.kind == b.target.kind
            and a.target != b.target
            and a.target.kind != "label"
        )  # a box has only one zone, kind and name, and a request one pool; a box may have several labels
    if a.kind == "at least" and b.kind == "at most":
        return a.percent == b.percent and a.amount > b.amount
    if a.kind == "no route":
        return b.kind in ("always reaches", "never refused") or (b.kind == "at least" and b.amount > 0)
    return False


def check_all(checker: Checker, statements: Sequence[Statement]) -> list[Finding]:
    """Check all statements; return the findings in the order of the statements."""
    return [checker.check(statement) for statement in statements]
