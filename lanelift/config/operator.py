"""The operator's file, `deploy/lanelift.toml`: its schema, and its conversion to the daemon's configuration.

The platform's configuration (JSON, `BALANCER_CONFIG`) does not use this module. Times are in milliseconds
here, as the names of the keys say; the daemon's times are in nanoseconds.

The names of the tables' fields, or their `alias`, are the file's keys and must not change, as existing files
have them. Only `OperatorFile.settings` maps them to the program's names.
"""

from __future__ import annotations

import importlib.util
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, Field

from lanelift.config.checked import (
    Table,
    ValidationProblem,
    duplicate_name_problems,
    number,
    order_problems,
    read_file,
)
from lanelift.config.directories import Tenants
from lanelift.config.fields import MAX_MS, Address, Milliseconds, Name, PriorityWeight
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

NS_PER_MS = 1_000_000
# Limits the listed upstreams, as each upstream has its own idle connections in the connection pool.
MAX_UPSTREAMS = 10_000


def _hexadecimal(text: str) -> str:
    try:
        int(text, 16)
    except ValueError:
        raise ValueError("allowed: hexadecimal digits") from None
    return text


class Serve(Table):
    """The balancer's addresses, its limit on open sockets, and its index among the balancers."""

    listen: Address
    sockets: Annotated[int, Field(ge=2 * RESERVED_SOCKETS, le=1_048_576)] = DEFAULT_SOCKETS
    seed: Annotated[str, AfterValidator(_hexadecimal)] = "0"
    zone: str = ""
    balancers: Annotated[int, Field(ge=1, le=10_000)] = 1
    number: Annotated[int, Field(ge=0, lt=10_000)] = 0
    operator: Address | None = None


class RequestClass(Table):
    """A class of requests, as named by the header `X-Class` and the first segment of the path.

    The program's names for the keys `aim_ms`, `worth` and `late_worth` are latency objective, priority weight
    and late weight.
    """

    name: Name
    effect: Literal["safe", "keyed", "unsafe"] = "unsafe"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: Milliseconds = 0.0
    aim_ms: Annotated[float, Field(gt=0, le=MAX_MS)] = 1000.0
    deadline_ms: Annotated[float, Field(gt=0, le=MAX_MS)] = 3000.0
    worth: PriorityWeight = 1.0
    late_worth: Annotated[float, Field(ge=0, le=1)] = 0.0


class Tenant(Table):
    """A listed tenant: its weight among tenants, and its quota in requests per second (0: none is set)."""

    name: Name
    share: Annotated[float, Field(gt=0, le=1e6)] = 1.0
    quota_per_s: Annotated[float, Field(ge=0, le=1e9)] = 0.0


class Limits(Table):
    """Limits and permissions for the attempts of a request, and for connections to upstreams."""

    max_attempts: Annotated[int, Field(ge=1, le=100)] = 1
    cancel: bool = False
    probes: bool = False
    retry_after: bool = True
    max_retry_after_ms: Milliseconds = 1000.0
    connect_timeout_ms: Annotated[float, Field(gt=0, le=MAX_MS)] = 250.0
    idle_ms: Annotated[float, Field(gt=0, le=MAX_MS)] = 15_000.0
    max_open: Annotated[int, Field(ge=1, le=1_000_000)] = 20_000


class Rules(Table):
    """Timings and thresholds for upstreams that drain, start or are overloaded."""

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
    """The source of the endpoint list, and whether an agent pushes its changes."""

    address: Address
    push: bool = True


class OperatorFile(Table):
    """The whole file. Upstreams come from `[[upstream]]` or from `[discovery]`, never from both."""

    serve: Serve
    classes: Annotated[list[RequestClass], Field(min_length=1, alias="class")]
    tenants: Annotated[list[Tenant], Field(alias="tenant")] = []  # noqa: RUF012  pydantic copies defaults
    limits: Limits = Limits()
    rules: Rules = Rules()
    upstreams: Annotated[list[UpstreamServer], Field(alias="upstream", max_length=MAX_UPSTREAMS)] = []  # noqa: RUF012  pydantic copies defaults
    discovery: Discovery | None = None
    tenant_directories: Annotated[Tenants | None, Field(alias="tenants")] = None
    fleet: Fleet | None = None

    @classmethod
    def cross_field_problems(cls, raw: dict[str, Any]) -> Iterable[ValidationProblem]:
        """Return the problems that concern several tables."""
        yield from Tenants.cross_field_problems(raw.get("tenants", {}))
        if "fleet" in raw:
            yield from Fleet.cross_field_problems(raw["fleet"])
        serve = raw.get("serve")
        if isinstance(serve, dict) and number(serve, "number", 0) >= number(serve, "balancers", 1):
            most = f"under balancers ({number(serve, 'balancers', 1):g}), counted from 0"
            yield ValidationProblem("serve.number", f"{number(serve, 'number', 0):g}", f"allowed: {most}")
        for key in ("class", "tenant", "upstream"):
            yield from duplicate_name_problems(raw, key)
        yield from order_problems(raw, "class", "aim_ms", "deadline_ms", RequestClass)
        if ("upstream" in raw) == ("discovery" in raw):
            yield ValidationProblem(
                "upstream", "", "servers come from [[upstream]] or [discovery]: set one of them"
            )

    def settings(self) -> policy.Settings:
        """Return the settings of the balancer, under the program's names."""
        effects = {effect.value: effect for effect in policy.Idempotency}
        return policy.Settings(
            replica=self.serve.number,
            replica_count=self.serve.balancers,
            zone=self.serve.zone,
            discovery_push=self.discovery is None or self.discovery.push,
            classes={
                row.name: policy.RequestClass(
                    row.name,
                    effects[row.effect],
                    SCOPES[row.group],
                    _ns(row.window_ms),
                    _ns(row.aim_ms),
                    _ns(row.deadline_ms),
                    row.worth,
                    row.late_worth,
                )
                for row in self.classes
            },
            tenants={tenant.name: tenant for tenant in self._tenants()},
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
        for row in self.tenants:
            # If directories list tenants, names are compared as directories compare them.
            name = row.name if self.tenant_directories is None else folded(row.name)
            yield policy.Tenant(name, row.share, row.quota_per_s)

    def endpoints(self) -> list[ResolvedEndpoint]:
        """Return the listed upstreams."""
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
        """Return the configuration with which the daemon starts or reloads.

        Raises:
            SettingsError: A package that the file's settings need is not installed.
        """
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
            None
            if self.tenant_directories is None
            else self.tenant_directories.source(dict(settings.tenants)),
            None if self.serve.operator is None else split_address(self.serve.operator),
            fleet=self.fleet_source(),
        )

    def fleet_source(self) -> Any:
        """Return the fleet's configuration for the daemon and `lanelift lease`, or None without a fleet.

        Raises:
            SettingsError: A package that the fleet needs is not installed.
        """
        if self.fleet is None:
            return None
        if importlib.util.find_spec("msgspec") is None or importlib.util.find_spec("structlog") is None:
            raise SettingsError("[fleet] needs msgspec and structlog: pip install 'lanelift[fleet]'")
        return self.fleet.source()


def _ns(ms: float) -> int:
    return round(ms * NS_PER_MS)


def read_operator_file(path: Path) -> OperatorFile:
    """Read and validate an operator's file. Raises FileValidationError with all of its problems."""
    return read_file(path, OperatorFile)
