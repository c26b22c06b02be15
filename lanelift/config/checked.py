"""Reads a TOML file against a model and reports every problem in it at once.

A problem names the file, the key's path, what was found and what is allowed; an unknown key names the nearest
known one. The checking itself is pydantic's; this module turns its findings into one form.
"""

from __future__ import annotations

import difflib
import json
import math
import tomllib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from types import NoneType, UnionType
from typing import Any, TypeVar, Union, get_args, get_origin

from pydantic import BaseModel, ConfigDict, ValidationError
from pydantic_core import ErrorDetails

from lanelift.errors import LaneliftError

SHOWN_CHARACTERS = 60  # of a value in a message
MIN_SIMILARITY = 0.6  # of a known key to an unknown one, to be suggested (difflib's ratio)


@dataclass(frozen=True, slots=True)
class ValidationProblem:
    """One thing that is wrong with a file.

    Attributes:
        place: The key's path (`upstream[2].address`); empty: the file as a whole.
        found: What stands there; empty: nothing that could be shown.
        allowed: What may stand there, in words.
    """

    place: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"{self.place}: " if self.place else ""
        found = f"found {self.found}; " if self.found else ""
        return f"{where}{found}{self.allowed}"


class Table(BaseModel):
    """A table of a file: no key but the known ones, no text taken for a number, and it stays as read."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)

    @classmethod
    def cross_field_problems(cls, raw: dict[str, Any]) -> Iterable[ValidationProblem]:
        """Problems that lie between several keys of the file.

        It gets the raw tables, since it is called also where single keys are wrong: whatever is no value of
        the right type is left to the checks of single keys.
        """
        return ()


T = TypeVar("T", bound=Table)


class FileValidationError(LaneliftError):
    """A file that can't be used.

    Attributes:
        file: How messages name it.
        problems: All that is wrong with it, in the order of its keys.
    """

    def __init__(self, file: str, problems: Sequence[ValidationProblem]) -> None:
        super().__init__(file, problems)
        self.file = file
        self.problems = list(problems)

    def __str__(self) -> str:
        return "\n".join(f"{self.file}: {problem}" for problem in self.problems)


def read_file(path: Path, model: type[T], changes: Mapping[str, Any] | None = None) -> T:
    """The file's content as a `model`.

    Raises:
        FileValidationError: It has problems, can't be read or is no TOML.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise FileValidationError(
            str(path), [ValidationProblem("", "", f"can't be read: {error.strerror}")]
        ) from None
    except UnicodeDecodeError as error:
        raise FileValidationError(
            str(path),
            [ValidationProblem("", f"byte {error.start} that is not UTF-8", "allowed: TOML in UTF-8")],
        ) from None
    return read_text(text, model, str(path), changes)


def read_text(text: str, model: type[T], file: str, changes: Mapping[str, Any] | None = None) -> T:
    """The content of a text as a `model`.

    Args:
        text: The TOML.
        model: What it must fit.
        file: How messages name it.
        changes: Values by the path of their key, in place of what the text says.

    Raises:
        FileValidationError: It has problems or is no TOML.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise FileValidationError(file, [ValidationProblem("", "", f"not TOML: {error}")]) from None
    for path, value in (changes or {}).items():
        *above, key = path.split(".")
        table = raw
        for name in above:
            table = table.setdefault(name, {})
        table[key] = value
    problems, read = [], None
    try:
        read = model.model_validate(raw)
    except ValidationError as error:
        problems = [_problem(e, model) for e in error.errors(include_url=False)]
    problems += model.cross_field_problems(raw)
    if problems or read is None:
        raise FileValidationError(file, problems)
    return read


def tables(raw: dict[str, Any], key: str) -> list[tuple[str, dict[str, Any]]]:
    """The tables of an array in raw input, each with its path; nothing where the input is something else."""
    rows = raw.get(key, [])
    return (
        [(f"{key}[{i}]", row) for i, row in enumerate(rows) if isinstance(row, dict)]
        if isinstance(rows, list)
        else []
    )


def number(row: dict[str, Any], key: str, default: float) -> float:
    """A number in raw input, or the default. Not-a-number for what is none: no comparison holds for it."""
    value = row.get(key, default)
    fits = isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
    return value if fits else math.nan


def order_problems(
    raw: dict[str, Any], key: str, low: str, high: str, model: type[Table]
) -> Iterable[ValidationProblem]:
    """Two figures of each table in an array, the first of which may not be above the second."""
    for path, row in tables(raw, key):
        found, most = (number(row, name, model.model_fields[name].get_default()) for name in (low, high))
        if found > most:
            yield ValidationProblem(f"{path}.{low}", f"{found:g}", f"allowed: up to {high} ({most:g})")


def duplicate_name_problems(raw: dict[str, Any], key: str) -> Iterable[ValidationProblem]:
    """Names that stand more than once in an array of tables."""
    seen: dict[str, str] = {}
    for path, row in tables(raw, key):
        name = row.get("name")
        if isinstance(name, str) and seen.setdefault(name, path) != path:
            yield ValidationProblem(
                f"{path}.name", _shown(name), f"{seen[name]} has it too; each must differ"
            )


def _problem(error: ErrorDetails, model: type[BaseModel]) -> ValidationProblem:
    """A finding of pydantic's as a problem."""
    # The tag of a union of tables stands in pydantic's path, and not in the file.
    path = _path([part for part in error["loc"] if not _is_tag(part, error["loc"], model)])
    kind, context = error["type"], error.get("ctx", {})
    if kind == "extra_forbidden":
        name = str(error["loc"][-1])
        known = _keys_at(model, error["loc"][:-1])
        near = difflib.get_close_matches(name, known, 1, MIN_SIMILARITY)
        hint = f"did you mean {near[0]}?" if near else f"allowed: {', '.join(known)}"
        return ValidationProblem(path, "", f"unknown key; {hint}")
    if kind == "missing":
        return ValidationProblem(path, "", "missing; it must be set")
    if kind == "value_error":  # a validator's own words, which say what is allowed
        message = str(context.get("error", error["msg"]))
        return ValidationProblem(path, _shown(error["input"]) if path else "", message)
    return ValidationProblem(
        path, _shown(error["input"]), "allowed: " + _allowed(kind, context, error["msg"])
    )


def _allowed(kind: str, context: dict[str, Any], message: str) -> str:
    if kind in ("literal_error", "union_tag_invalid"):
        return str(context.get("expected") or context.get("expected_tags"))
    if kind in ("union_tag_not_found",):
        return f"a table with the key {context.get('discriminator')}"
    return message.removeprefix("Input should be ").removeprefix("a valid ").removeprefix("Value ")


def _shown(value: object) -> str:
    """A value as messages show it."""
    try:
        text = json.dumps(value, ensure_ascii=False)
    except (TypeError, ValueError):  # dates and times, which TOML has and JSON has not
        text = str(value)
    return text if len(text) <= SHOWN_CHARACTERS else text[:SHOWN_CHARACTERS] + "…"


def _path(parts: Sequence[int | str]) -> str:
    text = ""
    for part in parts:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else str(part)
    return text


def _is_tag(part: int | str, loc: Sequence[int | str], model: type[BaseModel]) -> bool:
    """Is this word of the path the name of a union's member? It follows on a list's index, where the file
    has a table, and is no key of that table."""
    at = list(loc).index(part)
    return (
        isinstance(part, str)
        and at > 0
        and isinstance(loc[at - 1], int)
        and any(part == tag for tag in _tags(_annotation(model, loc[:at])))
    )


def _tags(annotation: Any) -> list[str]:
    tags = []
    for member in _members(annotation):
        kind = member.model_fields.get("kind")
        tags += [str(tag) for tag in get_args(kind.annotation)] if kind is not None else []
    return tags


def _members(annotation: Any) -> list[type[BaseModel]]:
    """The tables that an annotation may stand for."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return [annotation]
    return [m for argument in get_args(annotation) if argument is not NoneType for m in _members(argument)]


def _annotation(model: type[BaseModel], loc: Sequence[int | str]) -> Any:
    annotation: Any = model
    for part in loc:
        if isinstance(part, int):
            if get_origin(annotation) not in (Union, UnionType):
                annotation = next(iter(get_args(annotation)), annotation)
            continue
        members = _members(annotation)
        named = [
            m
            for m in members
            if "kind" in m.model_fields and part in get_args(m.model_fields["kind"].annotation)
        ]
        fields = [
            field for m in members for name, field in m.model_fields.items() if part == (field.alias or name)
        ]
        annotation = named[0] if named and len(members) > 1 else fields[0].annotation if fields else None
    return annotation


def _keys_at(model: type[BaseModel], loc: Sequence[int | str]) -> list[str]:
    members = _members(_annotation(model, loc))
    return sorted({field.alias or name for m in members for name, field in m.model_fields.items()})
