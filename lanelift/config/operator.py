"""The operator's own file, `deploy/lanelift.toml`: its schema, and what the daemon is told by it.

The platform's configuration (JSON, `BALANCER_CONFIG`) is another matter and needs none of this. Here times
are in milliseconds and named so; the daemon's are nanoseconds.
"""

from __future__ import annotations

import importlib.util
import re
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, Field

from lanelift.config.checked import Mistake, Table, named_twice, not_above, number, read_file, tables
from lanelift.config.fields import Address
from lanelift.config.fleet import Fleet
from lanelift.daemon_config import DEFAULT_SOCKETS, RESERVED_SOCKETS, Config
from lanelift.net.addresses import split_address
from lanelift.net.endpoint_list import upstream_number
from lanelift.net.endpoints import ResolvedEndpoint
from lanelift.net.static_endpoints import StaticEndpoints
from lanelift.policy import events
from lanelift.policy import settings as policy
from lanelift.settings import SCOPES, SettingsError
from lanelift.tenants.names import folded

MS = 1_000_000
LONGEST_MS = 3_600_000  # an hour: more is a slip of the unit
ATTRIBUTE = re.compile(r"[A-Za-z][A-Za-z0-9-]*|[0-9]+(\.[0-9]+)*")  # RFC 4512, 2.5
MARK = re.compile("[0-9a-f]{8}")  # `Register.pending`
MAX_UPSTREAMS = 10_000  # each keeps a target and its idle connections


def _hexadecimal(text: str) -> str:
    try:
        int(text, 16)
    except ValueError:
        raise ValueError("allowed: hexadecimal digits") from None
    return text


Name = Annotated[str, Field(min_length=1, max_length=128)]
Milliseconds = Annotated[float, Field(ge=0, le=LONGEST_MS)]
Worth = Annotated[float, Field(ge=0, le=1e9)]
Part = Annotated[float, Field(ge=0, le=1)]


class Serve(Table):
    """Where it listens and what it may hold."""

    listen: Address
    sockets: Annotated[int, Field(ge=2 * RESERVED_SOCKETS, le=1_048_576)] = DEFAULT_SOCKETS
    seed: Annotated[str, AfterValidator(_hexadecimal)] = "0"
    zone: str = ""
    balancers: Annotated[int, Field(ge=1, le=10_000)] = 1
    number: Annotated[int, Field(ge=0, lt=10_000)] = 0
    operator: Address | None = None


class RequestClass(Table):
    """A class of requests, as `X-Class` and the path's first part name it."""

    name: Name
    effect: Literal["safe", "keyed", "unsafe"] = "unsafe"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: Milliseconds = 0.0
    aim_ms: Annotated[float, Field(gt=0, le=LONGEST_MS)] = 1000.0
    deadline_ms: Annotated[float, Field(gt=0, le=LONGEST_MS)] = 3000.0
    worth: Worth = 1.0
    late_worth: Annotated[float, Field(ge=0, le=1)] = 0.0


class Tenant(Table):
    name: Name
    share: Annotated[float, Field(gt=0, le=1e6)] = 1.0
    quota_per_s: Annotated[float, Field(ge=0, le=1e9)] = 0.0


class Limits(Table):
    max_attempts: Annotated[int, Field(ge=1, le=100)] = 1
    cancel: bool = False
    probes: bool = False
    retry_after: bool = True
    max_retry_after_ms: Milliseconds = 1000.0
    connect_timeout_ms: Annotated[float, Field(gt=0, le=LONGEST_MS)] = 250.0
    idle_ms: Annotated[float, Field(gt=0, le=LONGEST_MS)] = 15_000.0
    max_open: Annotated[int, Field(ge=1, le=1_000_000)] = 20_000


class Rules(Table):
    drain_grace_ms: Milliseconds = 500.0
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.3
    cold_ms: Milliseconds = 0.0
    fall_multiple: Annotated[float, Field(gt=0, le=1000)] = 3.0
    fall_ms: Milliseconds = 2000.0


class UpstreamServer(Table):
    """One server of the embedded list."""

    name: Name
    address: Address
    zone: str = ""
    cell: int = 0
    weight: Annotated[float, Field(ge=0, le=1e6)] = 1.0
    kind: str = ""
    draining: bool = False


class Discovery(Table):
    address: Address
    push: bool = True


def _ldap_url(text: str) -> str:
    scheme, slashes, rest = text.partition("://")
    host, colon, port = rest.rpartition(":")
    number = int(port) if port.isdecimal() and len(port) < 6 else 0
    if scheme not in ("ldap", "ldaps") or not slashes or not colon or not host or not 0 < number < 65_536:
        raise ValueError(
            "allowed: ldaps://HOST:PORT, or ldap://HOST:PORT (which is then secured by StartTLS)"
        )
    return text


def _ldap_filter(text: str) -> str:
    depth, whole = 0, len(text) > 2
    for at, char in enumerate(text):
        depth += (char == "(") - (char == ")")
        whole = whole and (depth > 0 or at == len(text) - 1)  # one pair of parentheses round all of it
    if depth or not whole:
        raise ValueError("allowed: one filter in parentheses (RFC 4515), like (objectClass=person)")
    return text


def _attribute(text: str) -> str:
    if text and not ATTRIBUTE.fullmatch(text):
        raise ValueError('allowed: an attribute (letters, digits and "-"), its OID, or "" for none')
    return text


def _mark(text: str) -> str:
    if not MARK.fullmatch(text):
        raise ValueError("allowed: marks as the log names them, 8 hexadecimal digits")
    return text


Attribute = Annotated[str, Field(max_length=128), AfterValidator(_attribute)]
Words = Annotated[list[Annotated[str, Field(min_length=1, max_length=128)]], Field(max_length=32)]


class TenantMap(Table):
    """Which attribute of an entry holds what; "" for what is not read."""

    name: Annotated[Attribute, Field(min_length=1)] = "cn"
    standing: Attribute = ""
    suspended: Words = ["suspended"]
    good: Words = ["active"]
    share: Attribute = ""
    quota: Attribute = ""
    classes: Attribute = ""
    limits: Attribute = ""
    valid_from: Attribute = ""
    valid_until: Attribute = ""
    stamp: Attribute = "modifyTimestamp"
    id: Attribute = "entryUUID"


class LdapDirectory(Table):
    """One directory; several stand in the order of preference."""

    url: Annotated[str, AfterValidator(_ldap_url)]
    tls: Literal["verify", "unverified", "off"] = "verify"
    ca_file: str = ""
    user: Annotated[str, Field(max_length=1024)] = ""
    password_file: str = ""
    timeout_s: Annotated[float, Field(gt=0, le=60)] = 3.0


class Tenants(Table):
    """Tenants from directories: `[tenants]`. Times are seconds here."""

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
    removal_part: Part = 0.1
    confirm: Annotated[list[Annotated[str, AfterValidator(_mark)]], Field(max_length=32)] = []

    @classmethod
    def across(cls, raw: dict[str, Any]) -> Iterable[Mistake]:
        raw = raw if isinstance(raw, dict) else {}
        map_raw = raw.get("map")
        words = map_raw if isinstance(map_raw, dict) else {}
        both = {
            key: {
                folded(w) for w in words.get(key, TenantMap.model_fields[key].default) if isinstance(w, str)
            }
            for key in ("suspended", "good")
            if isinstance(words.get(key, []), list)
        }
        if len(both) == 2 and (twice := both["suspended"] & both["good"]):
            found = ", ".join(sorted(twice))
            yield Mistake("tenants.map.good", found, "allowed: words that are not among suspended")
        for path, row in tables(raw, "directory"):
            for key, other in (("user", "password_file"), ("password_file", "user")):
                if row.get(key) and not row.get(other):
                    yield Mistake(f"tenants.{path}.{other}", "", f"missing; {key} is set, and it needs both")
            if row.get("tls") == "off" and str(row.get("url")).startswith("ldaps:"):
                allowed = 'allowed: "verify" or "unverified", as the URL is ldaps'
                yield Mistake(f"tenants.{path}.tls", '"off"', allowed)

    def source(self, known: dict[str, policy.Tenant]) -> Any:
        """What the daemon attaches. The reading's own modules are imported here: only where this is set."""
        if importlib.util.find_spec("ldap3") is None:
            raise SettingsError("[tenants] needs the LDAP client: pip install 'lanelift[tenants]'")
        from lanelift.tenants.entries import AttributeMap
        from lanelift.tenants.feed import TenantSource
        from lanelift.tenants.job import Directory, Job, Search

        directories = []
        for row in self.directories:
            scheme, _, rest = row.url.partition("://")
            host, _, port = rest.rpartition(":")
            how = "ldaps" if scheme == "ldaps" else "none" if row.tls == "off" else "starttls"
            directories.append(
                Directory(
                    host.strip("[]"),
                    int(port),
                    how,
                    row.tls == "verify",
                    row.ca_file,
                    row.user,
                    row.password_file,
                    row.timeout_s,
                )
            )
        words = self.map.model_dump()
        words["suspended"], words["good"] = (
            frozenset(folded(w) for w in words[key]) for key in ("suspended", "good")
        )
        map = AttributeMap(**words)
        job = Job(
            tuple(directories),
            Search(self.base, self.filter, tuple(map.wanted()), self.page),
            map,
            self.every_s,
            self.whole_s,
            self.reading_s,
            self.removal_part,
            frozenset(self.confirm),
        )
        wait_s = self.wait_s if self.start == "wait" else 0.0
        return TenantSource(job, policy.UnknownTenants(self.unknown), wait_s, known)


class OperatorFile(Table):
    """The whole file. Upstreams come from `[[upstream]]` or from `[discovery]`, never from both."""

    serve: Serve
    classes: Annotated[list[RequestClass], Field(min_length=1, alias="class")]
    tenants: Annotated[list[Tenant], Field(alias="tenant")] = []
    limits: Limits = Limits()
    rules: Rules = Rules()
    upstreams: Annotated[list[UpstreamServer], Field(alias="upstream", max_length=MAX_UPSTREAMS)] = []
    discovery: Discovery | None = None
    directory: Annotated[Tenants | None, Field(alias="tenants")] = None
    fleet: Fleet | None = None

    @classmethod
    def across(cls, raw: dict[str, Any]) -> Iterable[Mistake]:
        yield from Tenants.across(raw.get("tenants", {}))
        if "fleet" in raw:
            yield from Fleet.across(raw["fleet"])
        serve = raw.get("serve")
        if isinstance(serve, dict) and number(serve, "number", 0) >= number(serve, "balancers", 1):
            most = f"under balancers ({number(serve, 'balancers', 1):g}), counted from 0"
            yield Mistake("serve.number", f"{number(serve, 'number', 0):g}", f"allowed: {most}")
        for key in ("class", "tenant", "upstream"):
            yield from named_twice(raw, key)
        yield from not_above(raw, "class", "aim_ms", "deadline_ms", RequestClass)
        if ("upstream" in raw) == ("discovery" in raw):
            yield Mistake("upstream", "", "servers come from [[upstream]] or [discovery]: set one of them")

    def settings(self) -> policy.Settings:
        effects = {effect.value: effect for effect in policy.Idempotency}
        return policy.Settings(
            replica=self.serve.number,
            replica_count=self.serve.balancers,
            zone=self.serve.zone,
            discovery_push=self.discovery is None or self.discovery.push,
            classes={
                c.name: policy.RequestClass(
                    c.name,
                    effects[c.effect],
                    SCOPES[c.group],
                    _ns(c.window_ms),
                    _ns(c.aim_ms),
                    _ns(c.deadline_ms),
                    c.worth,
                    c.late_worth,
                )
                for c in self.classes
            },
            tenants={t.name: t for t in self._tenants()},
            limits=policy.Limits(
                max_attempts=self.limits.max_attempts,
                may_cancel=self.limits.cancel,
                load_probes=self.limits.probes,
                retry_after=self.limits.retry_after,
                max_retry_after_ns=_ns(self.limits.max_retry_after_ms),
                connect_timeout_ns=_ns(self.limits.connect_timeout_ms),
                upstream_idle_timeout_ns=_ns(self.limits.idle_ms),
                max_open_requests=self.limits.max_open,
            ),
            rules=policy.Rules(
                drain_grace_ns=_ns(self.rules.drain_grace_ms),
                slow_start_initial_share=self.rules.cold_from,
                slow_start_ns=_ns(self.rules.cold_ms),
                overload_multiple=self.rules.fall_multiple,
                overload_window_ns=_ns(self.rules.fall_ms),
            ),
            load_report_fields=("inflight", "queue") if self.limits.probes else (),
        )

    def _tenants(self) -> Iterable[policy.Tenant]:
        for t in self.tenants:
            # Where directories tell of tenants, names are compared as they compare them.
            name = t.name if self.directory is None else folded(t.name)
            yield policy.Tenant(name, t.share, t.quota_per_s)

    def endpoints(self) -> list[ResolvedEndpoint]:
        found = []
        for row in self.upstreams:
            host, port = split_address(row.address)
            state = events.EndpointState.DRAINING if row.draining else events.EndpointState.READY
            found.append(
                ResolvedEndpoint(
                    events.Endpoint(
                        upstream_number(row.name), state, row.zone, row.cell, row.weight, kind=row.kind
                    ),
                    host,
                    port,
                )
            )
        return found

    def config(self) -> Config:
        """What the daemon is started and reloaded with."""
        source = (
            StaticEndpoints(tuple(self.endpoints()))
            if self.discovery is None
            else split_address(self.discovery.address)
        )
        settings = self.settings()
        return Config(
            split_address(self.serve.listen),
            source,
            int(self.serve.seed, 16),
            self.serve.sockets,
            settings,
            None,
            None,
            [],
            None,
            None if self.directory is None else self.directory.source(dict(settings.tenants)),
            None if self.serve.operator is None else split_address(self.serve.operator),
            fleet=self.fleet_source(),
        )

    def fleet_source(self) -> Any:
        """What the fleet's part of the daemon, and `lanelift lease`, are told; None where there is no
        fleet."""
        if self.fleet is None:
            return None
        if importlib.util.find_spec("msgspec") is None or importlib.util.find_spec("structlog") is None:
            raise SettingsError("[fleet] needs msgspec and structlog: pip install 'lanelift[fleet]'")
        return self.fleet.source()


def _ns(ms: float) -> int:
    return round(ms * MS)


def read_operator_file(path: Path) -> OperatorFile:
    """Raises `checked.Mistakes` with all that is wrong."""
    return read_file(path, OperatorFile)
