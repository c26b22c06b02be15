"""Configuration of the sync process: the directories, the search, the attribute map and the times.

This module is pure and does not import the LDAP client, as the balancer's process imports this module, too.
The configuration is sent to the sync process as JSON with the keys of the operator's file; only this module
maps them to fields.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

from lanelift.tenants.entries import AttributeMap

Json = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Directory:
    """Address and credentials of one directory server.

    Attributes:
        host: Name or address.
        port: TCP port.
        tls: "ldaps", "starttls" or "none".
        verify: Whether to verify the server's certificate and its host name.
        ca_file: File with the certificates of trusted authorities; empty: the system's.
        user: Distinguished name for the simple bind; empty: anonymous.
        password_file: File that has the password as its only line; empty: none.
        timeout_s: Timeout of the connection attempt, and of each receive, in seconds.
    """

    host: str
    port: int
    tls: str
    verify: bool
    ca_file: str
    user: str
    password_file: str
    timeout_s: float

    def __str__(self) -> str:
        return f"{'ldaps' if self.tls == 'ldaps' else 'ldap'}://{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Search:
    """One search over a whole subtree.

    Attributes:
        base: Distinguished name of the subtree's root.
        filter: Search filter (RFC 4515).
        attributes: The attributes to return.
        page: Number of entries on a page (RFC 2696).
    """

    base: str
    filter: str
    attributes: tuple[str, ...]
    page: int


@dataclass(frozen=True, slots=True)
class SyncConfig:
    """The directories to read, how to read them, and how often.

    Attributes:
        directories: The directory servers, in order of preference.
        search: The search that finds every tenant's entry.
        map: Names of the attributes to parse.
        change_interval_s: Interval between two reads of changes, in seconds.
        full_interval_s: Interval between two full reads, in seconds.
        full_timeout_s: Longest duration of a full read, in seconds.
        removal_part: Part of all tenants, 0 to 1, that may be removed within the guard's window without
            confirmation (`removals.py`).
        confirmed: Ids of the removals that the operator has confirmed.
    """

    directories: tuple[Directory, ...]
    search: Search
    map: AttributeMap
    change_interval_s: float
    full_interval_s: float
    full_timeout_s: float
    removal_part: float
    confirmed: frozenset[str]

    def to_json(self) -> Json:
        """Return the JSON object that is sent to the sync process."""
        return {
            "directories": [_fields(directory) for directory in self.directories],
            "search": _fields(self.search),
            "map": _fields(self.map),
            "every_s": self.change_interval_s,
            "whole_s": self.full_interval_s,
            "reading_s": self.full_timeout_s,
            "removal_part": self.removal_part,
            "confirm": sorted(self.confirmed),
        }

    @classmethod
    def from_json(cls, raw: Json) -> SyncConfig:
        """Build the configuration from the result of `to_json`.

        Raises:
            KeyError: A key is missing.
            TypeError: A directory, the search or the map has an unknown or a missing key.
        """
        return cls(
            directories=tuple(Directory(**row) for row in raw["directories"]),
            search=Search(**{**raw["search"], "attributes": tuple(raw["search"]["attributes"])}),
            map=_attribute_map(raw["map"]),
            change_interval_s=raw["every_s"],
            full_interval_s=raw["whole_s"],
            full_timeout_s=raw["reading_s"],
            removal_part=raw["removal_part"],
            confirmed=frozenset(raw["confirm"]),
        )


def changed_since(search: Search, attribute_map: AttributeMap, since_us: int) -> Search:
    """Return this search, restricted to entries that changed at a given time or later.

    Args:
        search: The search for all entries.
        attribute_map: Names the attribute that holds the time of an entry's last change.
        since_us: The time in microseconds since 1970; the filter contains the time rounded down to whole
            seconds.
    """
    stamp = time.strftime("%Y%m%d%H%M%SZ", time.gmtime(since_us // 1_000_000))
    filter_since = f"(&{search.filter}({attribute_map.stamp}>={stamp}))"
    return Search(search.base, filter_since, search.attributes, search.page)


def _fields(row: Directory | Search | AttributeMap) -> Json:
    values = {name: getattr(row, name) for name in type(row).__dataclass_fields__}
    return {name: sorted(value) if isinstance(value, frozenset) else value for name, value in values.items()}


def _attribute_map(raw: Json) -> AttributeMap:
    words = {name: frozenset(raw[name]) for name in ("suspended", "good")}
    return AttributeMap(**{**raw, **words})
