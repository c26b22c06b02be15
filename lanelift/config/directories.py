"""`[tenants]` of the operator's file: directories that list tenants, and how their entries are read.

The names of the tables' fields are the file's keys and must not change, as existing files have them. Times
are in seconds.
"""

from __future__ import annotations

import importlib.util
import re
from collections.abc import Iterable
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, Field

from lanelift.config.checked import Table, ValidationProblem, tables
from lanelift.config.fields import Fraction
from lanelift.policy import settings as policy
from lanelift.settings import SettingsError
from lanelift.tenants.names import folded

_ATTRIBUTE = re.compile(r"[A-Za-z][A-Za-z0-9-]*|[0-9]+(\.[0-9]+)*")  # name or OID (RFC 4512, 2.5)
_REMOVAL_ID = re.compile("[0-9a-f]{8}")  # the id of a pending removal, as the log shows it
MAX_PORT = 65_535


def _ldap_url(text: str) -> str:
    scheme, slashes, rest = text.partition("://")
    host, colon, port = rest.rpartition(":")
    number = int(port) if port.isdecimal() and len(port) < 6 else 0
    if scheme not in ("ldap", "ldaps") or not slashes or not colon or not host or not 0 < number <= MAX_PORT:
        raise ValueError(
            "allowed: ldaps://HOST:PORT, or ldap://HOST:PORT (which is then secured by StartTLS)"
        )
    return text


def _ldap_filter(text: str) -> str:
    depth, is_enclosed = 0, len(text) > 2
    for at, char in enumerate(text):
        depth += (char == "(") - (char == ")")
        # One pair of parentheses must enclose the whole filter.
        is_enclosed = is_enclosed and (depth > 0 or at == len(text) - 1)
    if depth or not is_enclosed:
        raise ValueError("allowed: one filter in parentheses (RFC 4515), like (objectClass=person)")
    return text


def _attribute(text: str) -> str:
    if text and not _ATTRIBUTE.fullmatch(text):
        raise ValueError('allowed: an attribute (letters, digits and "-"), its OID, or "" for none')
    return text


def _removal_id(text: str) -> str:
    if not _REMOVAL_ID.fullmatch(text):
        raise ValueError("allowed: ids of removals as in the log, 8 hexadecimal digits")
    return text


Attribute = Annotated[str, Field(max_length=128), AfterValidator(_attribute)]
Words = Annotated[list[Annotated[str, Field(min_length=1, max_length=128)]], Field(max_length=32)]


class TenantMap(Table):
    """Names of the LDAP attributes to read. An attribute whose name is empty is not read."""

    name: Annotated[Attribute, Field(min_length=1)] = "cn"
    standing: Attribute = ""
    suspended: Words = ["suspended"]  # noqa: RUF012  pydantic copies defaults
    good: Words = ["active"]  # noqa: RUF012  pydantic copies defaults
    share: Attribute = ""
    quota: Attribute = ""
    classes: Attribute = ""
    limits: Attribute = ""
    valid_from: Attribute = ""
    valid_until: Attribute = ""
    stamp: Attribute = "modifyTimestamp"
    id: Attribute = "entryUUID"


class LdapDirectory(Table):
    """One directory server. The file lists the servers in the order of preference."""

    url: Annotated[str, AfterValidator(_ldap_url)]
    tls: Literal["verify", "unverified", "off"] = "verify"
    ca_file: str = ""
    user: Annotated[str, Field(max_length=1024)] = ""
    password_file: str = ""
    timeout_s: Annotated[float, Field(gt=0, le=60)] = 3.0


class Tenants(Table):
    """`[tenants]`: the directories that list tenants, how they are read, and how their entries apply."""

    directories: Annotated[list[LdapDirectory], Field(min_length=1, max_length=8, alias="directory")]
    base: Annotated[str, Field(max_length=1024)]
    filter: Annotated[str, AfterValidator(_ldap_filter)] = "(objectClass=*)"
    map: TenantMap = TenantMap()
    unknown: Literal["share", "deny"] = "share"
    start: Literal["settings", "wait"] = "settings"
    wait_s: Annotated[float, Field(gt=0, le=3600)] = 30.0
    every_s: Annotated[float, Field(ge=0.1, le=3600)] = 1.0
    whole_s: Annotated[float, Field(ge=1, le=86_400)] = 60.0
    reading_s: Annotated[float, Field(ge=1, le=3600)] = 120.0
    page: Annotated[int, Field(ge=1, le=10_000)] = 500
    removal_part: Fraction = 0.1
    confirm: Annotated[list[Annotated[str, AfterValidator(_removal_id)]], Field(max_length=32)] = []  # noqa: RUF012  pydantic copies defaults

    @classmethod
    def cross_field_problems(cls, raw: dict[str, Any]) -> Iterable[ValidationProblem]:
        """Return the problems that concern several keys of the table."""
        raw = raw if isinstance(raw, dict) else {}
        yield from cls._words_in_common(raw)
        for path, row in tables(raw, "directory"):
            for key, other in (("user", "password_file"), ("password_file", "user")):
                if row.get(key) and not row.get(other):
                    yield ValidationProblem(
                        f"tenants.{path}.{other}", "", f"missing; {key} is set, and it needs both"
                    )
            if row.get("tls") == "off" and str(row.get("url")).startswith("ldaps:"):
                allowed = 'allowed: "verify" or "unverified", as the URL is ldaps'
                yield ValidationProblem(f"tenants.{path}.tls", '"off"', allowed)

    @classmethod
    def _words_in_common(cls, raw: dict[str, Any]) -> Iterable[ValidationProblem]:
        map_raw = raw.get("map")
        words = map_raw if isinstance(map_raw, dict) else {}
        by_key = {
            key: {
                folded(word)
                for word in words.get(key, TenantMap.model_fields[key].default)
                if isinstance(word, str)
            }
            for key in ("suspended", "good")
            if isinstance(words.get(key, []), list)
        }
        if len(by_key) == 2 and (common := by_key["suspended"] & by_key["good"]):
            found = ", ".join(sorted(common))
            yield ValidationProblem("tenants.map.good", found, "allowed: words that are not among suspended")

    def source(self, known: dict[str, policy.Tenant]) -> Any:
        """Return the `TenantSource` that the daemon attaches. The call imports the source's modules.

        Args:
            known: The tenants of the settings, by name.

        Raises:
            SettingsError: The LDAP client is not installed.
        """
        if importlib.util.find_spec("ldap3") is None:
            raise SettingsError("[tenants] needs the LDAP client: pip install 'lanelift[tenants]'")
        from lanelift.tenants.entries import AttributeMap
        from lanelift.tenants.sync_config import Search, SyncConfig
        from lanelift.tenants.sync_process import TenantSource

        words = self.map.model_dump()
        words["suspended"], words["good"] = (
            frozenset(folded(word) for word in words[key]) for key in ("suspended", "good")
        )
        attributes = AttributeMap(**words)
        config = SyncConfig(
            tuple(_directory(row) for row in self.directories),
            Search(self.base, self.filter, tuple(attributes.attribute_names()), self.page),
            attributes,
            self.every_s,
            self.whole_s,
            self.reading_s,
            self.removal_part,
            frozenset(self.confirm),
        )
        wait_s = self.wait_s if self.start == "wait" else 0.0
        return TenantSource(config, policy.UnknownTenants(self.unknown), wait_s, known)


def _directory(row: LdapDirectory) -> Any:
    from lanelift.tenants.sync_config import Directory

    scheme, _, rest = row.url.partition("://")
    host, _, port = rest.rpartition(":")
    security = "ldaps" if scheme == "ldaps" else "none" if row.tls == "off" else "starttls"
    return Directory(
        host.strip("[]"),
        int(port),
        security,
        row.tls == "verify",
        row.ca_file,
        row.user,
        row.password_file,
        row.timeout_s,
    )
