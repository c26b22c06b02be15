"""Does a statement hold for a routing, in every state that matters? Proved, never tried. Pure.

What is asked about requests is decided by generic requests (`regions.py`), what is asked about boxes by sets:
the boxes of the pools that a request may be given, less those that can't be used. Three answers: it holds;
it fails, with the smallest example and the rule at fault; or it is not decided, and why. What is not decided
never counts as held.

What a pool is short of depends on which boxes the module avoids just now, and any may fail at any time. So a
claim that says `never` or `always` counts every pool with a point of spilling over as short and as well,
unless the statement says which; a claim that counts boxes takes them as the file lists them and as the
statement's conditions change them.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from lanelift.routes.expect import Claim, Conditions, Statement, Subject, Target
from lanelift.routes.pools import Box, Pool
from lanelift.routes.regions import Region, shown
from lanelift.routes.routing import Routing
from lanelift.routes.table import Entry, Request, Rule

# Choices of boxes that are tried one by one where pools of one chain overlap, so that no formula holds. Some
# seconds' work; beyond, the answer is "not decided".
MAX_CHOICES = 100_000


class Verdict(Enum):
    HOLDS = "holds"
    FAILS = "fails"
    NOT_DECIDED = "not decided"


@dataclass(frozen=True, slots=True)
class Example:
    """What goes against a statement: one request, the pools that it may be given in turn, and a state."""

    asked: Request
    pools: tuple[str, ...]
    box: str = ""
    down: tuple[str, ...] = ()  # boxes that can't be used, beside those that are listed as draining
    short: tuple[str, ...] = ()  # pools that have spilled over

    def __str__(self) -> str:
        where = " -> ".join(name or "every box" for name in self.pools)
        box = f", box {self.box}" if self.box else ""
        down = f"; with {', '.join(self.down)} down" if self.down else ""
        short = f"; with pool {', '.join(self.short)} short" if self.short else ""
        return f"{shown(self.asked)} -> {where or 'no rule'}{box}{down}{short}"


@dataclass(frozen=True, slots=True)
class Finding:
    statement: Statement
    verdict: Verdict
    why: str = ""
    rule: str = ""  # the one responsible
    example: Example | None = None

    def __str__(self) -> str:
        rule = f" (rule {self.rule!r})" if self.rule else ""
        example = f"\n    for example {self.example}" if self.example is not None else ""
        return f"{self.statement}\n    {self.verdict.value}: {self.why}{rule}{example}"


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests of a subject that one rule takes, by the one that stands for them, and their pool."""

    rule: Rule
    asked: Request
    pool: Pool


@dataclass(frozen=True, slots=True)
class World:
    """A state in which a statement has to hold."""

    unusable: frozenset[str]  # boxes
    any_down: int
    short: frozenset[str]
    well: frozenset[str]
    down: frozenset[str]  # of the unusable, those that are so by a condition


class Checker:
    """Checks statements against one routing. `cold` tells whether boxes ever are: a box that starts is."""

    def __init__(self, routing: Routing, cold: bool = True) -> None:
        self.routing = routing
        self.cold = cold
        self.entries = [(entry, Region.of(entry)) for entry in routing.table.entries]
        self.members = {name: routing.members(pool) for name, pool in routing.pools.items()}
        self.flows_of: dict[str, list[Flow]] = {}  # by what a subject says: many statements share one

    # ---- requests ----------------------------------------------------------------------------------------

    def flows(self, subject: Subject) -> list[Flow]:
        """Every rule that takes some of the subject's requests, and every pool that these may be given."""
        key = repr(subject)
        if key not in self.flows_of:
            self.flows_of[key] = [
                Flow(entry.rule, asked, pool)
                for entry, asked in self._taken(subject)
                for pool in self.routing.targets(entry.rule)
            ]
        return self.flows_of[key]

    def _taken(self, subject: Subject) -> Iterator[tuple[Entry, Request]]:
        for entry, region in self.entries:
            if subject.class_name and entry.rule.class_name not in ("", subject.class_name):
                continue
            both = region.meet(subject.region)
            if both is None:
                continue
            asked = both.generic()
            if self.routing.table.find(asked) is entry.rule:
                yield entry, asked

    def unrouted(self, subject: Subject) -> Request | None:
        """A request of the subject that no rule takes, if there is one."""
        asked = subject.region.generic()
        return asked if self.routing.table.find(asked) is None else None

    # ---- states ------------------------------------------------------------------------------------------

    def worlds(self, when: Conditions) -> list[World]:
        """The states in which it has to hold; several where any zone may be the lost one."""
        zones = sorted({box.zone for box in self.routing.boxes})
        lost = [{zone} for zone in zones] if when.any_zone_lost else [set(when.zones_lost)]
        states = dict(when.boxes)
        found = []
        for some in lost:
            down = {box.name for box in self.routing.boxes if box.zone in some}
            down |= {name for name, state in states.items() if state != "cold"}
            listed = {box.name for box in self.routing.boxes if box.draining}
            found.append(
                World(
                    frozenset(down | listed), when.any_down, when.short, when.well, frozenset(down - listed)
                )
            )
        return found

    def _usable(self, pool: Pool, world: World) -> list[Box]:
        return [box for box in self.members[pool.name] if box.name not in world.unusable]

    def given(self, flow: Flow, world: World) -> Iterator[tuple[Pool, tuple[str, ...]]]:
        """The pools that its requests may be given to in some state of this world, each with the pools that
        are short then."""
        short: tuple[str, ...] = ()
        for pool in self.routing.chain(flow.pool):
            usable, needs = len(self._usable(pool, world)), pool.needs(len(self.members[pool.name]))
            surely = pool.name in world.short or (usable < needs and pool.name not in world.well)
            if not pool.spill or not surely:
                yield pool, short
            if not pool.spill or pool.name in world.well:
                return
            short = (*short, pool.name)

    # ---- statements --------------------------------------------------------------------------------------

    def check(self, statement: Statement) -> Finding:
        what = statement.claim.what
        if what == "no route":
            return self._no_route(statement)
        if what in ("at least", "at most", "never refused"):
            return self._counted(statement)
        found = {
            "never reaches": self._never_reaches,
            "always reaches": self._always_reaches,
            "never shares": self._never_shares,
        }[what](statement)
        return found or Finding(statement, Verdict.HOLDS, "in every state")

    def _no_route(self, statement: Statement) -> Finding:
        flows = self.flows(statement.subject)
        if not flows:
            return Finding(statement, Verdict.HOLDS, "no rule takes any of these requests")
        flow = flows[0]
        example = Example(flow.asked, (flow.pool.name,))
        return Finding(statement, Verdict.FAILS, "a rule takes them", flow.rule.name, example)

    def _reached(self, statement: Statement) -> Iterator[tuple[Flow, World, Pool, tuple[str, ...], Box]]:
        """Every box that a request of the subject may go to, and how."""
        for world in self.worlds(statement.when):
            for flow in self.flows(statement.subject):
                for pool, short in self.given(flow, world):
                    for box in self._usable(pool, world):
                        yield flow, world, pool, short, box

    def _never_reaches(self, statement: Statement) -> Finding | None:
        target = _target(statement.claim)
        if target.kind == "state" and target.name == "down":
            why = "a balancer learns that a box is down by an attempt that fails"
            return Finding(statement, Verdict.NOT_DECIDED, why)
        if target.kind == "state" and target.name == "draining":
            # Legality in the module (`Request.may_send`): nothing is sent to a box that is not ready.
            return Finding(statement, Verdict.HOLDS, "nothing is sent to a box that is listed as draining")
        for flow, world, pool, short, box in self._reached(statement):
            if self._hits(target, pool, box, statement.when):
                example = self._example(flow, world, pool, short, box)
                return Finding(
                    statement, Verdict.FAILS, f"it reaches {_said(target)}", flow.rule.name, example
                )
        return None

    def _always_reaches(self, statement: Statement) -> Finding | None:
        target = _target(statement.claim)
        if target.kind == "state":
            why = "which boxes are in a state is not in the configuration"
            return Finding(statement, Verdict.NOT_DECIDED, why)
        for flow, world, pool, short, box in self._reached(statement):
            if not self._hits(target, pool, box, statement.when):
                example = self._example(flow, world, pool, short, box)
                return Finding(
                    statement,
                    Verdict.FAILS,
                    f"it reaches others than {_said(target)}",
                    flow.rule.name,
                    example,
                )
        refused = self._least(statement, lambda ready, listed: ready >= 1)
        if refused is not None and refused.verdict is Verdict.FAILS:
            return Finding(statement, Verdict.FAILS, "no box is left for it", refused.rule, refused.example)
        return refused

    def _never_shares(self, statement: Statement) -> Finding | None:
        assert statement.claim.other is not None
        others: dict[tuple[World, str], Flow] = {}
        for world in self.worlds(statement.when):
            for flow in self.flows(statement.claim.other):
                for pool, _ in self.given(flow, world):
                    for box in self._usable(pool, world):
                        others.setdefault((world, box.name), flow)
        for flow, world, pool, short, box in self._reached(statement):
            other = others.get((world, box.name))
            if other is not None:
                example = self._example(flow, world, pool, short, box)
                why = f"it shares a box with {shown(other.asked)} (rule {other.rule.name!r})"
                return Finding(statement, Verdict.FAILS, why, flow.rule.name, example)
        return None

    def _counted(self, statement: Statement) -> Finding:
        claim = statement.claim
        if claim.what == "never refused":
            asked = self.unrouted(statement.subject) if not statement.subject.class_name else None
            if asked is not None:
                return Finding(statement, Verdict.FAILS, "no rule takes it", "", Example(asked, ()))
            return self._least(statement, lambda ready, listed: ready >= 1) or _holds(statement)

        def enough(ready: int, listed: int) -> bool:
            wanted = claim.amount * listed / 100 if claim.percent else claim.amount
            return ready >= wanted if claim.what == "at least" else ready <= wanted

        found = self._least(statement, enough) if claim.what == "at least" else self._most(statement, enough)
        return found or _holds(statement)

    def _least(self, statement: Statement, enough: Callable[[int, int], bool]) -> Finding | None:
        return self._bounded(statement, enough, min)

    def _most(self, statement: Statement, enough: Callable[[int, int], bool]) -> Finding | None:
        return self._bounded(statement, enough, max)

    def _bounded(
        self,
        statement: Statement,
        enough: Callable[[int, int], bool],
        worst: Callable[[Iterable[tuple[int, tuple[str, ...]]]], tuple[int, tuple[str, ...]]],
    ) -> Finding | None:
        """Is the number of boxes that are left, at its worst, enough?"""
        for world in self.worlds(statement.when):
            for flow in self.flows(statement.subject):
                states = self._left(self.routing.chain(flow.pool), world)
                if states is None:
                    why = f"pools that overlap, and more than {MAX_CHOICES} choices of boxes that are down"
                    return Finding(statement, Verdict.NOT_DECIDED, why, flow.rule.name)
                ready, down = worst(states)
                listed = len(self.members[flow.pool.name])
                if not enough(ready, listed):
                    boxes = "box is" if ready == 1 else "boxes are"
                    names = tuple(sorted(world.down)) + down
                    example = Example(flow.asked, (flow.pool.name,), down=names)
                    why = f"{ready} of {listed} {boxes} left for it"
                    return Finding(statement, Verdict.FAILS, why, flow.rule.name, example)
        return None

    def _left(self, chain: Sequence[Pool], world: World) -> list[tuple[int, tuple[str, ...]]] | None:
        """How many boxes a request has, for every way in which boxes may be down, each with those that are.
        None: too many to try."""
        usable = [self._usable(pool, world) for pool in chain]
        alike = _disjoint(usable)
        if alike:
            return list(self._by_number(chain, usable, world, 0, world.any_down))
        several = sorted({box.name for boxes in usable for box in boxes})
        downs = min(world.any_down, len(several))
        if math.comb(len(several), downs) > MAX_CHOICES:
            return None
        return [
            (self._serving(chain, usable, world, frozenset(down)), down)
            for down in itertools.combinations(several, downs)
        ]

    def _by_number(
        self, chain: Sequence[Pool], usable: Sequence[Sequence[Box]], world: World, at: int, downs: int
    ) -> Iterator[tuple[int, tuple[str, ...]]]:
        """Pools that don't overlap: only how many of each are down counts, not which."""
        pool, boxes = chain[at], usable[at]
        for down in range(min(downs, len(boxes)) + 1):
            names = tuple(box.name for box in boxes[:down])
            if at + 1 == len(chain) or not self._short(pool, len(boxes) - down, world):
                yield len(boxes) - down, names
            else:
                for ready, more in self._by_number(chain, usable, world, at + 1, downs - down):
                    yield ready, names + more

    def _serving(
        self, chain: Sequence[Pool], usable: Sequence[Sequence[Box]], world: World, down: frozenset[str]
    ) -> int:
        ready = 0
        for pool, boxes in zip(chain, usable, strict=True):
            ready = sum(box.name not in down for box in boxes)
            if not self._short(pool, ready, world):
                break
        return ready

    def _short(self, pool: Pool, ready: int, world: World) -> bool:
        if not pool.spill or pool.name in world.well:
            return False
        return pool.name in world.short or ready < pool.needs(len(self.members[pool.name]))

    # ---- words -------------------------------------------------------------------------------------------

    def _hits(self, target: Target, pool: Pool, box: Box, when: Conditions) -> bool:
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
            case _:  # cold: any box may have started just now, unless the statement names those that did
                named = [name for name, state in when.boxes if state == "cold"]
                return self.cold and (not named or box.name in named)

    def _example(self, flow: Flow, world: World, pool: Pool, short: tuple[str, ...], box: Box) -> Example:
        names = [one.name for one in self.routing.chain(flow.pool)]
        given = tuple(names[: names.index(pool.name) + 1])
        return Example(flow.asked, given, box.name, tuple(sorted(world.down)), short)

    # ---- all of them -------------------------------------------------------------------------------------

    def mistakes(self, statements: Iterable[Statement]) -> Iterator[str]:
        """Statements that speak of what does not exist, that no request can ever meet, or that can't hold
        together, whatever the routing."""
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
        for one in statements:
            for kind, name in _names(one):
                if name not in known[kind]:
                    some = ", ".join(sorted(known[kind])[:8]) or "none"
                    yield f"{one}: there is no {kind} {name!r}; there are: {some}"
            subjects = [one.subject, *([one.claim.other] if one.claim.other else [])]
            if one.claim.what != "no route":
                for subject in subjects:
                    if not self.flows(subject) and subject.class_name in ("", *self.routing.classes):
                        yield f"{one}: it says nothing, no rule takes any of these requests"
        yield from _contradictions(statements)


def _holds(statement: Statement) -> Finding:
    return Finding(statement, Verdict.HOLDS, "in every state")


def _target(claim: Claim) -> Target:
    assert claim.target is not None
    return claim.target


def _said(target: Target) -> str:
    return f"a {target.name} box" if target.kind == "state" else f"{target.kind} {target.name!r}"


def _names(one: Statement) -> Iterator[tuple[str, str]]:
    for subject in (one.subject, one.claim.other):
        if subject is not None and subject.class_name:
            yield "class", subject.class_name
    if one.claim.target is not None:
        yield one.claim.target.kind, one.claim.target.name
    for zone in sorted(one.when.zones_lost):
        yield "zone", zone
    for box, _ in one.when.boxes:
        yield "box", box
    for pool in sorted(one.when.short | one.when.well):
        yield "pool", pool


def _disjoint(usable: Sequence[Sequence[Box]]) -> bool:
    names = [box.name for boxes in usable for box in boxes]
    return len(set(names)) == len(names)


def _contradictions(statements: Sequence[Statement]) -> Iterator[str]:
    """Pairs about the same requests and states that no routing can keep: told as such, since the one that
    fails would be named alone, and mending it would break the other."""
    groups: dict[str, list[Statement]] = {}
    for one in statements:
        groups.setdefault(f"{one.subject!r} {one.when!r}", []).append(one)
    for group in groups.values():
        for a, b in itertools.combinations(group, 2):
            if _contradict(a.claim, b.claim) or _contradict(b.claim, a.claim):
                yield f"line {a.line} and line {b.line} can't both hold: {a.text} / {b.text}"


def _contradict(a: Claim, b: Claim) -> bool:
    if a.what == "always reaches":
        if b.what == "never reaches":
            return a.target == b.target
        same = b.what == "always reaches" and a.target is not None and b.target is not None
        return bool(
            same
            and a.target
            and b.target
            and a.target.kind == b.target.kind
            and a.target != b.target
            and a.target.kind != "label"
        )  # a box has one zone, one kind and one name, and a request one pool; labels may be several
    if a.what == "at least" and b.what == "at most":
        return a.percent == b.percent and a.amount > b.amount
    if a.what == "no route":
        return b.what in ("always reaches", "never refused") or (b.what == "at least" and b.amount > 0)
    return False


def check_all(checker: Checker, statements: Sequence[Statement]) -> list[Finding]:
    """What became of each statement, in their order."""
    return [checker.check(one) for one in statements]
