"""Parses and validates a directory entry according to the operator's attribute map. Pure.

A new tenant attribute needs a field in `AttributeMap`, a field in `Record`, and code in `parse`.
"""

from __future__ import annotations

import calendar
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime

from lanelift.tenants.names import folded

Attributes = Mapping[str, Sequence[bytes]]  # values by lower-case attribute name
MAX_CLASSES = 64  # limits the classes, and the limits, of one tenant; a larger number is considered a mistake
MAX_SHARE, MAX_LIMIT_PER_S = 1e6, 1e9  # upper bounds of a share and of a rate, as in the operator's file
MAX_VALUE_CHARACTERS = 256  # limits the length of a value, which is a name, a word, a number or a time
SHOWN_CHARACTERS = 40  # limits the part of an invalid value that its problem quotes
GENERALIZED_TIME = re.compile(
    r"(\d{8})(\d\d)(?:(\d\d)(\d\d)?)?(?:[.,](\d{1,9}))?(Z|[+-]\d\d(?:\d\d)?)", re.ASCII
)
DECIMAL_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?")


@dataclass(frozen=True, slots=True)
class AttributeMap:
    """Names of the LDAP attributes to read; an attribute whose name is empty is not read. The fields are keys
    of the operator's file.

    Attributes:
        name: The tenant's name.
        standing: A word that says whether the tenant is suspended.
        suspended: Values of `standing` that mean suspended, folded.
        good: Values of `standing` that mean not suspended, folded.
        share: The tenant's weight when capacity is divided among tenants.
        quota: Requests per second, over all classes.
        classes: The classes that the tenant may request, one per value.
        limits: `CLASS=REQUESTS_PER_S`, one per value.
        valid_from: When the tenant's validity begins.
        valid_until: When the tenant's validity ends.
        stamp: When the entry was last changed; set by the server (RFC 4512, 3.4).
        id: An identifier that never changes during the entry's life (RFC 4530).
    """

    name: str = "cn"
    standing: str = ""
    suspended: frozenset[str] = frozenset({"suspended"})
    good: frozenset[str] = frozenset({"active"})
    share: str = ""
    quota: str = ""
    classes: str = ""
    limits: str = ""
    valid_from: str = ""
    valid_until: str = ""
    stamp: str = "modifyTimestamp"
    id: str = "entryUUID"

    def attribute_names(self) -> list[str]:
        """Return the attributes to request from a directory."""
        described = (self.name, self.standing, self.share, self.quota, self.classes, self.limits)
        every = (*described, self.valid_from, self.valid_until, self.stamp, self.id)
        return [name for name in every if name]


@dataclass(frozen=True, slots=True)
class Record:
    """The validated content of an entry. Times are seconds since 1970 on the directory's clock.

    Attributes:
        id: The entry's identifier, which never changes.
        name: The tenant's folded name.
        suspended: Whether the entry suspends the tenant.
        share: The tenant's weight when capacity is divided among tenants.
        quota_per_s: Requests per second, over all classes; None: not limited.
        classes: The classes that the tenant may request; empty: any.
        limits: Requests per second by class, in the order of the classes' names.
        valid_from_s: When the tenant's validity begins; None: valid at any time before `valid_until_s`.
        valid_until_s: When the tenant's validity ends; None: never.
        stamp_us: When the entry was last changed, in microseconds since 1970; 0: the directory does not give
            this time.
        present: Mapped attributes that had a value, in lower case.
    """

    id: str
    name: str
    suspended: bool = False
    share: float = 1.0
    quota_per_s: float | None = None
    classes: frozenset[str] = frozenset()
    limits: tuple[tuple[str, float], ...] = ()
    valid_from_s: float | None = None
    valid_until_s: float | None = None
    stamp_us: int = 0
    present: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Parsed:
    """The result of parsing an entry.

    `name`, `suspended` and `stamp_us` are set even if other attributes are invalid.

    Attributes:
        dn: The entry's distinguished name.
        id: The entry's identifier; its folded distinguished name if it has none.
        name: The tenant's folded name; empty: it is missing or invalid.
        suspended: Whether the entry suspends the tenant.
        stamp_us: When the entry was last changed, in microseconds since 1970; 0: unknown.
        record: The validated content; None: the entry is invalid.
        problems: Descriptions of all invalid values.
    """

    dn: str
    id: str
    name: str
    suspended: bool
    stamp_us: int
    record: Record | None
    problems: list[str] = field(default_factory=list)


def parse(dn: str, attributes: Attributes, attribute_map: AttributeMap) -> Parsed:
    """Parse and validate one entry."""
    values = _EntryValues(attributes)
    name = _name(values, attribute_map)
    suspended = _is_suspended(values, attribute_map)
    share = _share(values, attribute_map)
    classes = _classes(values, attribute_map)
    quota_per_s = values.number(attribute_map.quota, MAX_LIMIT_PER_S)
    limits = values.limits(attribute_map.limits)
    stamp_us = round((values.time(attribute_map.stamp) or 0.0) * 1e6)
    valid_from_s, valid_until_s = _validity(values, attribute_map)
    entry_id = folded(values.single(attribute_map.id, "id") or "") or folded(dn)
    record = None
    if not values.problems:
        present = frozenset(
            attribute.lower() for attribute in attribute_map.attribute_names() if values.texts(attribute)
        )
        record = Record(
            id=entry_id,
            name=name,
            suspended=suspended,
            share=share,
            quota_per_s=quota_per_s,
            classes=classes,
            limits=limits,
            valid_from_s=valid_from_s,
            valid_until_s=valid_until_s,
            stamp_us=stamp_us,
            present=present,
        )
    return Parsed(dn, entry_id, name, suspended, stamp_us, record, values.problems)


def _name(values: _EntryValues, attribute_map: AttributeMap) -> str:
    name = folded(values.single(attribute_map.name, "name") or "")
    if not name and not values.problems:
        values.add_problem(attribute_map.name, "", "a name")
    return name


def _is_suspended(values: _EntryValues, attribute_map: AttributeMap) -> bool:
    """Return whether any value of the standing means suspended; a word that the map lacks is invalid."""
    standing = values.single(attribute_map.standing, "standing")
    suspended = any(folded(text) in attribute_map.suspended for text in values.texts(attribute_map.standing))
    if standing is not None and not suspended and folded(standing) not in attribute_map.good:
        words = " or ".join(sorted(attribute_map.suspended | attribute_map.good))
        values.add_problem(attribute_map.standing, standing, words)
    return suspended


def _share(values: _EntryValues, attribute_map: AttributeMap) -> float:
    share = values.number(attribute_map.share, MAX_SHARE)
    if share == 0:
        allowed = "more than 0 (a tenant is stopped by its standing, or by a quota of 0)"
        values.add_problem(attribute_map.share, "0", allowed)
    return 1.0 if share is None else share


def _classes(values: _EntryValues, attribute_map: AttributeMap) -> frozenset[str]:
    classes = values.texts(attribute_map.classes)
    if len(classes) > MAX_CLASSES:
        values.add_problem(attribute_map.classes, f"{len(classes)} values", f"at most {MAX_CLASSES}")
    return frozenset(classes)


def _validity(values: _EntryValues, attribute_map: AttributeMap) -> tuple[float | None, float | None]:
    """Return when the tenant's validity begins and ends."""
    from_s, until_s = values.time(attribute_map.valid_from), values.time(attribute_map.valid_until)
    if from_s is not None and until_s is not None and from_s >= until_s:
        found = values.texts(attribute_map.valid_until)[0]
        values.add_problem(
            attribute_map.valid_until, found, "a time after that of " + attribute_map.valid_from
        )
    return from_s, until_s


class _EntryValues:
    """The values of one entry, and the problems found in them."""

    def __init__(self, attributes: Attributes) -> None:
        self.problems: list[str] = []
        self._attributes = attributes
        self._texts: dict[str, list[str]] = {}  # cached, so that problems are added only once

    def add_problem(self, attribute: str, found: str, allowed: str) -> None:
        shown = found if len(found) <= SHOWN_CHARACTERS else found[:SHOWN_CHARACTERS] + "…"
        self.problems.append(f"{attribute}: found {shown!r}; allowed: {allowed}")

    def texts(self, attribute: str) -> list[str]:
        """Return the values of an attribute that are valid text, without those that are only spaces."""
        if attribute in self._texts:
            return self._texts[attribute]
        found = self._texts[attribute] = []
        for value in self._attributes.get(attribute.lower(), ()) if attribute else ():
            text = value.decode("utf-8", "replace").strip()
            if len(text) > MAX_VALUE_CHARACTERS:
                self.add_problem(attribute, text, f"at most {MAX_VALUE_CHARACTERS} characters")
            elif "\ufffd" in text:
                self.add_problem(attribute, text, "UTF-8")
            elif text:
                found.append(text)
        return found

    def single(self, attribute: str, what: str) -> str | None:
        """Return the only value of an attribute, or None without a value. Several values are a problem."""
        found = self.texts(attribute)
        if len(found) > 1:
            self.add_problem(attribute, ", ".join(found), f"one {what}")
        return found[0] if found else None

    def number(self, attribute: str, maximum: float) -> float | None:
        text = self.single(attribute, "number")
        return None if text is None else self._number(attribute, text, text, maximum)

    def _number(self, attribute: str, text: str, shown: str, maximum: float) -> float | None:
        value = float(text) if DECIMAL_NUMBER.fullmatch(text) else -1.0
        if not 0 <= value <= maximum:
            self.add_problem(attribute, shown, f"a decimal number from 0 to {maximum:g}")
            return None
        return value

    def limits(self, attribute: str) -> tuple[tuple[str, float], ...]:
        """Return requests per second by class, in the order of the classes' names."""
        found: dict[str, float] = {}
        for text in self.texts(attribute):
            class_name, equals, number = (part.strip() for part in text.partition("="))
            if not (class_name and equals):
                self.add_problem(attribute, text, "CLASS=REQUESTS_PER_S")
                continue
            limit_per_s = self._number(attribute, number, text, MAX_LIMIT_PER_S)
            if class_name in found:
                self.add_problem(attribute, text, "one limit for each class")
            elif limit_per_s is not None:
                found[class_name] = limit_per_s
        if len(found) > MAX_CLASSES:
            self.add_problem(attribute, f"{len(found)} values", f"at most {MAX_CLASSES}")
        return tuple(sorted(found.items()))

    def time(self, attribute: str) -> float | None:
        text = self.single(attribute, "time")
        if text is None:
            return None
        value_s = generalized_time(text)
        if value_s is None:
            self.add_problem(attribute, text, "a GeneralizedTime like 20261231235959Z")
        return value_s


def generalized_time(text: str) -> float | None:
    """Return a GeneralizedTime (RFC 4517, 3.3.13) in seconds since 1970, or None if it is invalid."""
    found = GENERALIZED_TIME.fullmatch(text)
    if found is None:
        return None
    date, hour, minute, second, fraction, zone = found.groups()
    try:
        day = datetime.strptime(date, "%Y%m%d")
    except ValueError:
        return None
    hours, minutes, seconds = int(hour), int(minute or 0), int(second or 0)
    if hours > 23 or minutes > 59 or seconds > 60 or day.year < 1970:
        return None
    offset_s = _zone_offset_s(zone)
    if offset_s is None:
        return None
    time_s = calendar.timegm(day.timetuple()) + hours * 3600 + minutes * 60 + min(seconds, 59)
    time_s -= offset_s
    unit_s = 1 if second else 60 if minute else 3600  # a fraction refers to the last unit that is given
    return time_s + (float(f"0.{fraction}") * unit_s if fraction else 0.0)


def _zone_offset_s(zone: str) -> int | None:
    """Return the offset of a zone ("Z", "+HH" or "+HHMM") from UTC in seconds, or None if it is invalid."""
    if zone == "Z":
        return 0
    hours, minutes = int(zone[1:3]), int(zone[3:5] or 0)
    if hours > 23 or minutes > 59:
        return None
    return (1 if zone[0] == "+" else -1) * (hours * 3600 + minutes * 60)
