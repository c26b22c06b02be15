"""Reads a TOML file, validates it with a model, and reports all of its problems together.

A problem names the file, the path of the key, the value found and the values allowed; for an unknown key it
names the most similar known key. pydantic validates the file; this module converts its errors to problems.
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

SHOWN_CHARACTERS = 60  # limits the characters of a value that a message shows
# Minimum similarity (difflib's ratio) at which a message suggests a known key for an unknown key.
MIN_SIMILARITY = 0.6


@dataclass(frozen=True, slots=True)
class ValidationProblem:
    """One problem of a file.

    Attributes:
        place: The path of the key (`upstream[2].address`); empty if the problem concerns the whole file.
        found: The value found, as text; empty if there is no value to show.
        allowed: The values that are allowed, in words.
    """

    place: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f"{self.place}: " if self.place else ""
        found = f"found {self.found}; " if self.found else ""
        return f"{where}{found}{self.allowed}"


class Table(BaseModel):
    """A table of a file. It is immutable, refuses unknown keys and does not convert values."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)

    @classmethod
    def cross_field_problems(cls, raw: dict[str, Any]) -> Iterable[ValidationProblem]:
        """Return the problems that concern several keys of the file.

        The argument is raw input, as this method is called even if single keys are invalid. Values of the
        wrong type are ignored here; the checks of single keys report them.
        """
        return ()


T = TypeVar("T", bound=Table)


class FileValidationError(LaneliftError):
    """A file is invalid or can't be read.

    Attributes:
        file: The name of the file in messages.
        problems: All problems of the file, in the order of its keys.
    """

    def __init__(self, file: str, problems: Sequence[ValidationProblem]) -> None:
        super().__init__(file, problems)
        self.file = file
        self.problems = list(problems)

    def __str__(self) -> str:
        return "\n".join(f"{self.file}: {problem}" for problem in self.problems)


def read_file(path: Path, model: type[T], changes: Mapping[str, Any] | None = None) -> T:
    """Parse a TOML file, and return its content as an instance of `model`.

    Args:
        path: The file.
        model: The model that validates the file.
        changes: Values that replace those of the file, by the path of their key.

    Raises:
        FileValidationError: The file has problems, can't be read or is not TOML.
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
    """Parse a TOML text, and return its content as an instance of `model`.

    Args:
        text: The TOML.
        model: The model that validates the text.
        file: The name of the text's file in messages.
        changes: Values that replace those of the text, by the path of their key.

    Raises:
        FileValidationError: The text has problems or is not TOML.
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
    """Return an array's tables in raw input, each with its path; no tables if the value is not an array."""
    rows = raw.get(key, [])
    return (
        [(f"{key}[{i}]", row) for i, row in enumerate(rows) if isinstance(row, dict)]
        if isinstance(rows, list)
        else []
    )


def number(row: dict[str, Any], key: str, default: float) -> float:
    """Return a number of raw input, or the default if it is missing.

    For a value of another type, the function returns NaN. Comparisons with NaN are false, so such a value
    causes no second problem; the check of its key reports the value.
    """
    value = row.get(key, default)
    fits = isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
    return value if fits else math.nan


def order_problems(
    raw: dict[str, Any], key: str, low: str, high: str, model: type[Table]
) -> Iterable[ValidationProblem]:
    """Yield a problem for each table of an array in which the number `low` is greater than `high`."""
    for path, row in tables(raw, key):
        found, most = (number(row, name, model.model_fields[name].get_default()) for name in (low, high))
        if found > most:
            yield ValidationProblem(f"{path}.{low}", f"{found:g}", f"allowed: up to {high} ({most:g})")


def duplicate_name_problems(raw: dict[str, Any], key: str) -> Iterable[ValidationProblem]:
    """Yield a problem for each table of an array that has the name of an earlier one."""
    seen: dict[str, str] = {}
    for path, row in tables(raw, key):
        name = row.get("name")
        if isinstance(name, str) and seen.setdefault(name, path) != path:
            yield ValidationProblem(
                f"{path}.name", _shown(name), f"{seen[name]} has it too; each must differ"
            )


def _problem(error: ErrorDetails, model: type[BaseModel]) -> ValidationProblem:
    """Convert an error of pydantic to a problem."""
    # The tag of a union of tables is in pydantic's path, but not in the file.
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
    if kind == "value_error":  # the message of the validator that raised the error says what is allowed
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
    """Return a value as text for a message."""
    try:
        text = json.dumps(value, ensure_ascii=False)
    except (TypeError, ValueError):  # TOML has dates and times, which JSON can't express
        text = str(value)
    return text if len(text) <= SHOWN_CHARACTERS else text[:SHOWN_CHARACTERS] + "…"


def _path(parts: Sequence[int | str]) -> str:
    text = ""
    for part in parts:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else str(part)
    return text


def _is_tag(part: int | str, loc: Sequence[int | str], model: type[BaseModel]) -> bool:
    """Return whether a part of a path is the tag of a union's member.

    A tag follows the list index of a table, and is not a key of that table.
    """
    at = list(loc).index(part)
    return (
        isinstance(part, str)
        and at > 0
        and isinstance(loc[at - 1], int)
        and any(part == tag for tag in _tags(_annotation(model, loc[:at])))
    )


def _tags(annotation: Any) -> list[str]:
    """Return the tags of a tagged union of tables, which are the allowed values of the key `kind`."""
    tags = []
    for member in _members(annotation):
        kind = member.model_fields.get("kind")
        tags += [str(tag) for tag in get_args(kind.annotation)] if kind is not None else []
    return tags


def _members(annotation: Any) -> list[type[BaseModel]]:
    """Return the models that an annotation allows."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return [annotation]
    return [m for argument in get_args(annotation) if argument is not NoneType for m in _members(argument)]


def _annotation(model: type[BaseModel], loc: Sequence[int | str]) -> Any:
    """Return the annotation of the value at one of pydantic's paths, or None if there is no such field."""
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
    """Return the known keys of the table at one of pydantic's paths."""
    members = _members(_annotation(model, loc))
    return sorted({field.alias or name for m in members for name, field in m.model_fields.items()})
