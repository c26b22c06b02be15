"""Expectations: statements of the routing that staff expect, read from text.

The grammar is `expect.lark`; parsing is lark's (a well-kept parser generator without dependencies: it tells
line, column and what could have stood there). This module makes statements of its trees, and says what is
wrong in the form of every other file: place, what was found, what is allowed.
"""

from __future__ import annotations

import functools
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError

from lanelift.routes import normal
from lanelift.routes.normal import Ambiguous
from lanelift.routes.regions import FRESH, Region

MAX_STATEMENTS = 5_000
MAX_CHARACTERS = 1_000_000
# What a terminal of the grammar is called in a message.
WORDS = {
    "NAME": "a name",
    "STRING": 'a name in "quotes"',
    "INT": "a number",
    "STATE": "draining, down or cold",
    "METHOD": "a method",
    "_NL": "the end of the line",
    "$END": "the end",
    "LABEL": "label",
}


class Misread(ValueError):
    """Text that is no statement: every mistake, each with line and column."""

    def __init__(self, mistakes: Sequence[str]) -> None:
        super().__init__("\n".join(mistakes))
        self.mistakes = list(mistakes)


@dataclass(frozen=True, slots=True)
class Subject:
    """The requests that a statement is about: of a class, or "" for any, within a region."""

    class_name: str
    region: Region


@dataclass(frozen=True, slots=True)
class Conditions:
    """When it has to hold. What is not named may be as it likes for claims that say `never` and `always`, and
    is as the file lists it for claims that count."""

    zones_lost: frozenset[str] = frozenset()
    any_zone_lost: bool = False
    any_down: int = 0  # so many boxes, whichever
    boxes: tuple[tuple[str, str], ...] = ()  # box, state
    short: frozenset[str] = frozenset()  # pools that are under their point of spilling over
    well: frozenset[str] = frozenset()  # pools that are not


@dataclass(frozen=True, slots=True)
class Target:
    kind: str  # "pool", "label", "zone", "kind", "box" or "state"
    name: str


@dataclass(frozen=True, slots=True)
class Claim:
    """`what` is the grammar's name of it; the rest is set as that needs."""

    what: str
    target: Target | None = None
    other: Subject | None = None
    amount: int = 0
    percent: bool = False


@dataclass(frozen=True, slots=True)
class Statement:
    line: int
    text: str
    label: str
    subject: Subject
    when: Conditions
    claim: Claim

    def __str__(self) -> str:
        return f"line {self.line}: {self.text}"


@functools.cache
def _grammar() -> Lark:
    text = Path(__file__).with_name("expect.lark").read_text(encoding="utf-8")
    return Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=True)


def read(text: str, file: str = "expectations") -> list[Statement]:
    """The statements of a text. Raises Misread with every line that is none."""
    if len(text) > MAX_CHARACTERS:
        raise Misread([f"{file}: {len(text)} characters; at most {MAX_CHARACTERS} are allowed"])
    statements: list[Statement] = []
    found: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):  # each by itself: one slip hides no other
        if not line.split("#")[0].strip():
            continue
        try:
            tree = _grammar().parse(line + "\n")
            made = _Reader(number, line.strip()).transform(tree)
        except UnexpectedInput as error:
            found.append(f"{file}:{number}:{max(1, error.column)}: {_explained(error, line)}")
            continue
        except VisitError as error:
            found.append(f"{file}:{number}: {error.orig_exc}")
            continue
        statements += made
    if len(statements) > MAX_STATEMENTS:
        found.append(f"{file}: {len(statements)} statements; at most {MAX_STATEMENTS} are allowed")
    labels: dict[str, int] = {}
    for one in statements:
        if one.label and labels.setdefault(one.label, one.line) != one.line:
            found.append(f"{file}:{one.line}: the label {one.label!r} stands in line {labels[one.label]} too")
    if found:
        raise Misread(found)
    return statements


def _explained(error: UnexpectedInput, line: str) -> str:
    found = line[error.column - 1 :].split(maxsplit=1)[0] if line[error.column - 1 :].strip() else ""
    wanted = getattr(error, "accepts", None) or getattr(error, "expected", None)
    wanted = wanted or getattr(error, "allowed", None) or ()
    words = sorted({WORDS.get(name, name.lower()) for name in wanted if name != "_NL" or len(wanted) == 1})
    return (
        f"found {found!r}; allowed: {', '.join(words)}"
        if found
        else f"ends early; allowed: {', '.join(words)}"
    )


def _text(token: Token) -> str:
    text = str(token)
    text = text[1:-1] if text.startswith('"') else text
    if FRESH in text.lower():
        raise ValueError(f"{text!r}: the name {FRESH!r} is kept for what nobody names")
    return text


def _host(text: str) -> tuple[str, bool]:
    wildcard = text.startswith("*.")
    return normal.host(text.removeprefix("*.")), wildcard


@v_args(inline=True)
class _Reader(Transformer[Token, list[Statement]]):
    """From a tree to a statement. What it raises, lark hands on as a VisitError."""

    def __init__(self, line: int, text: str) -> None:
        super().__init__()
        self.line, self.text = line, text

    def start(self, *statements: Any) -> list[Statement]:
        return [one for one in statements if isinstance(one, Statement)]

    def statement(
        self, label: str | None, subject: Subject, when: Conditions | None, claim: Claim
    ) -> Statement:
        return Statement(self.line, self.text, label or "", subject, when or Conditions(), claim)

    def label(self, name: Token) -> str:
        return str(name)

    def any_request(self, *filters: tuple[str, Any]) -> Subject:
        return self._subject("", filters)

    def of_class(self, name: Token, *filters: tuple[str, Any]) -> Subject:
        return self._subject(str(name), filters)

    def _subject(self, class_name: str, filters: Sequence[tuple[str, Any]]) -> Subject:
        region: dict[str, Any] = {}
        headers: dict[str, str] = {}
        for what, parts in filters:
            said, found = (headers, "header") if what == "header" else (region, what)
            if said.keys() & parts.keys():
                raise ValueError(f"{found} is said twice")
            said.update(parts)
        return Subject(class_name, Region(**region, headers=headers))

    def host(self, value: Token) -> tuple[str, Any]:
        try:
            name, wildcard = _host(_text(value))
        except Ambiguous as error:
            raise ValueError(str(error)) from None
        return "host", {"host": name, "wildcard": wildcard}

    def path(self, value: Token) -> tuple[str, Any]:
        text = _text(value)
        try:
            below = text.endswith("/*")
            segments = normal.path(text[:-1] if below else text)
        except Ambiguous as error:
            raise ValueError(
                f'{error}; allowed: a path like "/v1/fee-quote", or "/v1/*" for all below'
            ) from None
        return "path", {"segments": segments[:-1] if below else segments, "exact": not below}

    def tenant(self, value: Token) -> tuple[str, Any]:
        return "tenant", {"tenant": _text(value)}

    def header(self, name: Token, value: Token) -> tuple[str, Any]:
        return "header", {str(name).lower(): _text(value)}

    def method(self, value: Token) -> tuple[str, Any]:
        return "method", {"method": str(value)}

    def when(self, *conditions: tuple[str, Any]) -> Conditions:
        zones: set[str] = set()
        boxes: dict[str, str] = {}
        short: set[str] = set()
        well: set[str] = set()
        down, any_zone = 0, False
        for what, value in conditions:
            if what == "zone_lost":
                zones.add(value)
            elif what == "any_zone_lost":
                any_zone = True
            elif what == "any_down":
                down = value
            elif what == "box_is":
                if boxes.setdefault(value[0], value[1]) != value[1]:
                    raise ValueError(f"box {value[0]!r} can't be in two states at once")
            else:
                (short if what == "pool_short" else well).add(value)
        if short & well:
            raise ValueError(f"pool {min(short & well)!r} can't be short and well at once")
        if any_zone and zones:
            raise ValueError("any zone and a named one: say one of them")
        return Conditions(
            frozenset(zones), any_zone, down, tuple(boxes.items()), frozenset(short), frozenset(well)
        )

    def zone_lost(self, value: Token) -> tuple[str, Any]:
        return "zone_lost", _text(value)

    def any_zone_lost(self) -> tuple[str, Any]:
        return "any_zone_lost", True

    def any_down(self, count: Token, *_: Any) -> tuple[str, Any]:
        return "any_down", int(count)

    def box_is(self, value: Token, state: Token) -> tuple[str, Any]:
        return "box_is", (_text(value), str(state))

    def pool_short(self, value: Token) -> tuple[str, Any]:
        return "pool_short", _text(value)

    def pool_well(self, value: Token) -> tuple[str, Any]:
        return "pool_well", _text(value)

    def never_reaches(self, target: Target) -> Claim:
        return Claim("never reaches", target)

    def always_reaches(self, target: Target) -> Claim:
        return Claim("always reaches", target)

    def never_shares(self, other: Subject) -> Claim:
        return Claim("never shares", other=other)

    def at_least(self, amount: tuple[int, bool]) -> Claim:
        return Claim("at least", amount=amount[0], percent=amount[1])

    def at_most(self, amount: tuple[int, bool]) -> Claim:
        return Claim("at most", amount=amount[0], percent=amount[1])

    def never_refused(self) -> Claim:
        return Claim("never refused")

    def no_route(self) -> Claim:
        return Claim("no route")

    def boxes(self, count: Token, *_: Any) -> tuple[int, bool]:
        return int(count), False

    def percent(self, count: Token) -> tuple[int, bool]:
        if int(count) > 100:
            raise ValueError(f"{count}%: allowed are 0 to 100")
        return int(count), True

    def to_pool(self, value: Token) -> Target:
        return Target("pool", _text(value))

    def to_label(self, value: Token) -> Target:
        return Target("label", _text(value))

    def to_zone(self, value: Token) -> Target:
        return Target("zone", _text(value))

    def to_kind(self, value: Token) -> Target:
        return Target("kind", _text(value))

    def to_box(self, value: Token) -> Target:
        return Target("box", _text(value))

    def to_state(self, state: Token) -> Target:
        return Target("state", str(state))
