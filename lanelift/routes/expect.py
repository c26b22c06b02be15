"""Expectations: statements about the routing that operators expect, parsed from text.

The grammar is `expect.lark`, and the parser is lark (a maintained parser generator without dependencies,
whose errors have the line, the column and the allowed tokens). This module converts lark's trees to
statements, and lark's errors to problems, which state the place, the text found and what is allowed, as the
problems of other files do.
"""

from __future__ import annotations

import functools
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError

from lanelift.routes import normalization
from lanelift.routes.match_sets import UNUSED_NAME, MatchSet
from lanelift.routes.normalization import NormalizationError

MAX_STATEMENTS = 5_000
MAX_CHARACTERS = 1_000_000
# Names of the grammar's terminals in messages.
TERMINAL_NAMES = {
    "NAME": "a name",
    "STRING": 'a name in "quotes"',
    "INT": "a number",
    "STATE": "draining, down or cold",
    "METHOD": "a method",
    "_NL": "the end of the line",
    "$END": "the end",
    "LABEL": "label",
}


class ExpectationSyntaxError(ValueError):
    """A text has invalid statements; `problems` has all problems, each with its line and column."""

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = list(problems)


@dataclass(frozen=True, slots=True)
class Subject:
    """The requests that a statement is about: those of a class ("": any class) that are in a match set."""

    class_name: str
    match_set: MatchSet


@dataclass(frozen=True, slots=True)
class Conditions:
    """The conditions under which a statement has to hold.

    For claims with `never` and `always`, boxes and pools that are not named may be in any state. For claims
    that count boxes, the boxes and pools that are not named are as the file lists them.
    """

    zones_lost: frozenset[str] = frozenset()
    any_zone_lost: bool = False
    any_down: int = 0  # number of arbitrary boxes that are down
    boxes: tuple[tuple[str, str], ...] = ()  # pairs of a box's name and its state
    short: frozenset[str] = frozenset()  # pools that have too few available boxes and spill
    well: frozenset[str] = frozenset()  # pools that do not spill


@dataclass(frozen=True, slots=True)
class Target:
    """The boxes that a claim is about."""

    kind: str  # "pool", "label", "zone", "kind", "box" or "state"
    name: str


@dataclass(frozen=True, slots=True)
class Claim:
    """The claim of a statement. `kind` is the claim's name in the grammar; other fields depend on `kind`."""

    kind: str
    target: Target | None = None
    other: Subject | None = None
    amount: int = 0
    percent: bool = False


@dataclass(frozen=True, slots=True)
class Statement:
    """One expectation, with its line number, its text and its label (empty without a label)."""

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


def parse_statements(text: str, file: str = "expectations") -> list[Statement]:
    """Parse the statements of a text. Raises ExpectationSyntaxError with the problems of all lines."""
    if len(text) > MAX_CHARACTERS:
        raise ExpectationSyntaxError(
            [f"{file}: {len(text)} characters; at most {MAX_CHARACTERS} are allowed"]
        )
    statements: list[Statement] = []
    found: list[str] = []
    for number, line in enumerate(text.splitlines(), 1):  # line by line, so that all errors are found
        if not line.split("#")[0].strip():
            continue
        try:
            tree = _grammar().parse(line + "\n")
            parsed = _StatementBuilder(number, line.strip()).transform(tree)
        except UnexpectedInput as error:
            found.append(f"{file}:{number}:{max(1, error.column)}: {_error_text(error, line)}")
            continue
        except VisitError as error:
            found.append(f"{file}:{number}: {error.orig_exc}")
            continue
        statements += parsed
    if len(statements) > MAX_STATEMENTS:
        found.append(f"{file}: {len(statements)} statements; at most {MAX_STATEMENTS} are allowed")
    labels: dict[str, int] = {}
    for statement in statements:
        if statement.label and labels.setdefault(statement.label, statement.line) != statement.line:
            found.append(
                f"{file}:{statement.line}: the label {statement.label!r} "
                f"is in line {labels[statement.label]}, too"
            )
    if found:
        raise ExpectationSyntaxError(found)
    return statements


def _error_text(error: UnexpectedInput, line: str) -> str:
    found = line[error.column - 1 :].split(maxsplit=1)[0] if line[error.column - 1 :].strip() else ""
    wanted = getattr(error, "accepts", None) or getattr(error, "expected", None)
    wanted = wanted or getattr(error, "allowed", None) or ()
    words = sorted(
        {TERMINAL_NAMES.get(name, name.lower()) for name in wanted if name != "_NL" or len(wanted) == 1}
    )
    return (
        f"found {found!r}; allowed: {', '.join(words)}"
        if found
        else f"ends early; allowed: {', '.join(words)}"
    )


def _unquoted(token: Token) -> str:
    text = str(token)
    text = text[1:-1] if text.startswith('"') else text
    if UNUSED_NAME in text.lower():
        raise ValueError(f"{text!r}: the name {UNUSED_NAME!r} is reserved")
    return text


def _host(text: str) -> tuple[str, bool]:
    wildcard = text.startswith("*.")
    return normalization.host(text.removeprefix("*.")), wildcard


@v_args(inline=True)
class _StatementBuilder(Transformer[Token, list[Statement]]):
    """Converts a tree to a statement. lark wraps exceptions of these methods in a VisitError."""

    def __init__(self, line: int, text: str) -> None:
        super().__init__()
        self.line, self.text = line, text

    def start(self, *statements: Any) -> list[Statement]:
        return [statement for statement in statements if isinstance(statement, Statement)]

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
        match_set: dict[str, Any] = {}
        headers: dict[str, str] = {}
        for kind, parts in filters:
            known, found = (headers, "header") if kind == "header" else (match_set, kind)
            if known.keys() & parts.keys():
                raise ValueError(f"{found} is given twice")
            known.update(parts)
        return Subject(class_name, MatchSet(**match_set, headers=headers))

    def host(self, value: Token) -> tuple[str, Any]:
        try:
            name, wildcard = _host(_unquoted(value))
        except NormalizationError as error:
            raise ValueError(str(error)) from None
        return "host", {"host": name, "wildcard": wildcard}

    def path(self, value: Token) -> tuple[str, Any]:
        text = _unquoted(value)
        try:
            below = text.endswith("/*")
            segments = normalization.path(text[:-1] if below else text)
        except NormalizationError as error:
            raise ValueError(
                f'{error}; allowed: a path like "/v1/fee-quote", or "/v1/*" for all paths below it'
            ) from None
        return "path", {"segments": segments[:-1] if below else segments, "exact": not below}

    def tenant(self, value: Token) -> tuple[str, Any]:
        return "tenant", {"tenant": _unquoted(value)}

    def header(self, name: Token, value: Token) -> tuple[str, Any]:
        return "header", {str(name).lower(): _unquoted(value)}

    def method(self, value: Token) -> tuple[str, Any]:
        return "method", {"method": str(value)}

    def when(self, *conditions: tuple[str, Any]) -> Conditions:
        zones: set[str] = set()
        boxes: dict[str, str] = {}
        short: set[str] = set()
        well: set[str] = set()
        down, any_zone = 0, False
        for kind, value in conditions:
            if kind == "zone_lost":
                zones.add(value)
            elif kind == "any_zone_lost":
                any_zone = True
            elif kind == "any_down":
                down = value
            elif kind == "box_is":
                if boxes.setdefault(value[0], value[1]) != value[1]:
                    raise ValueError(f"box {value[0]!r} can't be in two states")
            else:
                (short if kind == "pool_short" else well).add(value)
        if short & well:
            raise ValueError(f"pool {min(short & well)!r} can't be both short and well")
        if any_zone and zones:
            raise ValueError("either any zone or a named zone can be lost, not both")
        return Conditions(
            frozenset(zones), any_zone, down, tuple(boxes.items()), frozenset(short), frozenset(well)
        )

    def zone_lost(self, value: Token) -> tuple[str, Any]:
        return "zone_lost", _unquoted(value)

    def any_zone_lost(self) -> tuple[str, Any]:
        return "any_zone_lost", True

    def any_down(self, count: Token, *_: Any) -> tuple[str, Any]:
        return "any_down", int(count)

    def box_is(self, value: Token, state: Token) -> tuple[str, Any]:
        return "box_is", (_unquoted(value), str(state))

    def pool_short(self, value: Token) -> tuple[str, Any]:
        return "pool_short", _unquoted(value)

    def pool_well(self, value: Token) -> tuple[str, Any]:
        return "pool_well", _unquoted(value)

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
        return Target("pool", _unquoted(value))

    def to_label(self, value: Token) -> Target:
        return Target("label", _unquoted(value))

    def to_zone(self, value: Token) -> Target:
        return Target("zone", _unquoted(value))

    def to_kind(self, value: Token) -> Target:
        return Target("kind", _unquoted(value))

    def to_box(self, value: Token) -> Target:
        return Target("box", _unquoted(value))

    def to_state(self, state: Token) -> Target:
        return Target("state", str(state))
