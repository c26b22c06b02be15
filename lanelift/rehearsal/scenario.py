"""The schema of scenario files. The suffix of a key says whether a time is in seconds or milliseconds.

A value that a file gives as a range `[low, high]` is drawn separately for each box, request or fault, from
the seed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, Field

from lanelift.config.checked import (
    FileValidationError,
    Table,
    ValidationProblem,
    duplicate_name_problems,
    number,
    order_problems,
    read_file,
    read_text,
    tables,
)

# A rehearsal runs on one machine, where each box is a listener and each balancer a process.
MAX_BOXES, MAX_BALANCERS = 500, 64
MAX_LENGTH_S, MAX_RATE = 3600.0, 20_000.0
# Requests are generated in advance and kept until the verdict; each takes a few hundred bytes of memory.
MAX_REQUESTS = 1_000_000


def _check_range(values: tuple[float, float]) -> tuple[float, float]:
    if values[0] > values[1]:
        raise ValueError("allowed: [low, high] with low not above high")
    return values


# A range, given as a list of two numbers. Strict validation would require a tuple, which TOML lacks.
Pair = Annotated[
    tuple[Annotated[float, Field(ge=0, le=1e6)], Annotated[float, Field(ge=0, le=1e6)]],
    Field(strict=False),
    AfterValidator(_check_range),
]
Part = Annotated[float, Field(ge=0, le=1)]
PartPair = Annotated[tuple[Part, Part], Field(strict=False), AfterValidator(_check_range)]
Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
Seconds = Annotated[float, Field(ge=0, le=MAX_LENGTH_S)]


class Fleet(Table):
    """The numbers of boxes and balancers, which are assigned to the rooms round-robin."""

    boxes: Annotated[int, Field(ge=1, le=MAX_BOXES)] = 9
    balancers: Annotated[int, Field(ge=1, le=MAX_BALANCERS)] = 2
    rooms: Annotated[list[Name], Field(min_length=1, max_length=8)] = ["woodbrook", "st-james"]


class BoxTable(Table):
    """The parameters of a box and of its sockets (PROTOCOL, 'Balancers to upstreams')."""

    cores: Annotated[int, Field(ge=1, le=256)] = 1
    slots: Annotated[int, Field(ge=1, le=10_000)] = 1
    queue: Annotated[int, Field(ge=0, le=10_000)] = 8
    speed: Annotated[float, Field(gt=0, le=100)] = 1.0
    speed_cv: Part = 0.08
    thrash: Part = 0.1
    thrash_at: Annotated[float, Field(gt=0, le=1000)] = 5.5
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.4
    cold_s: Seconds = 6.0
    warm_by: Literal["time", "work"] = "work"
    error_part: Part = 0.0
    drops_queued: bool = True
    handshake_us: Annotated[float, Field(ge=0, le=1e6)] = 100.0
    connections: Annotated[int, Field(ge=1, le=100_000)] = 500
    idle_s: Annotated[float, Field(gt=0, le=3600)] = 15.0
    probe_us: Annotated[float, Field(ge=0, le=1e6)] = 40.0
    report_ms: Annotated[float, Field(ge=0, le=10_000)] = 2.0


class Load(Table):
    """The load: the request rate over the day (open loop), the cost hints, and the quotas of tenants."""

    rate: Annotated[float, Field(gt=0, le=MAX_RATE)]
    shape: Literal["steady", "ramp", "wave", "bursty"] = "steady"
    swing: Part = 0.0
    hints: Literal["none", "good", "rough"] = "rough"
    room_skew: Part = 0.0
    over_share_worth: Part = 0.05
    quota_part: Annotated[float, Field(gt=0, le=10)] = 0.8
    worth_by: Literal["work", "request"] = "work"


class ClassTable(Table):
    """A class of requests."""

    name: Name
    share: Annotated[float, Field(gt=0, le=1e6)] = 1.0
    work_ms: Annotated[float, Field(gt=0, le=1e6)]
    cv: Annotated[float, Field(ge=0, le=20)] = 0.6
    aim_ms: Annotated[float, Field(gt=0, le=1e6)] = 264.0
    deadline_ms: Annotated[float, Field(gt=0, le=1e6)] = 661.0
    worth: Annotated[float, Field(ge=0, le=1e6)] = 1.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    body_bytes: Annotated[int, Field(ge=0, le=65_536)] = 0


class TenantTable(Table):
    """A tenant, its share, and its usage relative to the share."""

    name: Name
    share: Annotated[float, Field(gt=0, le=1e6)] = 1.0
    usage: Annotated[float, Field(ge=0, le=1000)] = 1.0


# The default classes and tenants are those of rate-quotes-pos (the brief, 'Work' and 'Who shares it').
CLASSES = [
    ClassTable(name="rate-lookup", share=36, work_ms=75, cv=0.62, worth=3),
    ClassTable(name="fee-quote", share=27, work_ms=78, cv=0.68, worth=5),
    ClassTable(name="rate-history", share=24, work_ms=76, cv=0.63, worth=3),
    ClassTable(name="corridor-list", share=13, work_ms=81, cv=0.66, worth=1),
]
TENANTS = [
    TenantTable(name=name, share=share)
    for name, share in {
        "brooklyn-desk": 20.0,
        "toronto-desk": 16.0,
        "miami-desk": 13.0,
        "london-desk": 13.0,
        "fort-lauderdale": 13.0,
        "montreal-desk": 10.0,
        "caracas-desk": 9.0,
        "bridgetown-desk": 3.0,
        "halifax-desk": 3.0,
    }.items()
]


class Clients(Table):
    """The behaviour of clients: they abandon a try after a part of the class's deadline and then retry.

    `honour` is the share of requests whose client waits for a Retry-After, and `walk_off` is the share of
    requests that the client abandons early."""

    retries: Annotated[int, Field(ge=0, le=10)] = 3
    try_part: PartPair = (0.33, 0.55)
    backoff_ms: Pair = (0.0, 160.0)
    honour: Part = 0.2
    walk_off: Part = 0.005
    marks_retry: bool = True


class DiscoveryTable(Table):
    """The mode and the delays of discovery, and of the front that clients connect through."""

    mode: Literal["push", "ask"] = "push"
    notice_s: Pair = (0.7, 3.0)
    silent_notice_s: Pair = (5.4, 10.0)
    call_ms: Annotated[float, Field(ge=0, le=10_000)] = 5.0
    front_notice_s: Pair = (1.5, 3.8)


class Limits(Table):
    """The limits in the configuration of the balancers."""

    max_attempts: Annotated[int, Field(ge=1, le=100)] = 5
    retry_after: bool = True
    max_retry_after_ms: Annotated[float, Field(ge=0, le=1e6)] = 2000.0
    connect_timeout_ms: Annotated[float, Field(gt=0, le=1e6)] = 200.0
    sockets: Annotated[int, Field(ge=64, le=1_048_576)] = 1024


class Rules(Table):
    """The parameters of the rules that the verdict checks."""

    drain_grace_ms: Annotated[float, Field(ge=0, le=60_000)] = 500.0
    fall_multiple: Annotated[float, Field(gt=0, le=1000)] = 2.5
    fall_ms: Annotated[float, Field(gt=0, le=60_000)] = 1500.0


class DirectoryTable(Table):
    """The LDAP directories that list the tenants. `more` counts further tenants, without requests."""

    servers: Annotated[int, Field(ge=1, le=4)] = 2
    unknown: Literal["share", "deny"] = "deny"
    every_s: Annotated[float, Field(ge=0.1, le=600)] = 1.0
    whole_s: Annotated[float, Field(ge=1, le=3600)] = 20.0
    timeout_s: Annotated[float, Field(gt=0, le=60)] = 1.5
    more: Annotated[int, Field(ge=0, le=100_000)] = 0


class _Fault(Table):
    at_s: Seconds


class Die(_Fault):
    """Boxes die and lose their requests. After `back_after_s` new cold instances start at their addresses."""

    kind: Literal["die"]
    part: Part = 0.25
    back_after_s: Pair | None = (5.7, 22.0)


class Deploy(_Fault):
    """A rolling deploy: batch after batch is drained, stopped and replaced by cold instances."""

    kind: Literal["deploy"]
    len_s: Annotated[float, Field(gt=0, le=MAX_LENGTH_S)]
    part: Part = 0.98
    batch: Annotated[float, Field(gt=0, le=1)] = 0.12
    drain_s: Pair = (2.3, 5.1)


class Freeze(_Fault):
    """Boxes freeze repeatedly, each independently of the others."""

    kind: Literal["freeze"]
    len_s: Annotated[float, Field(gt=0, le=MAX_LENGTH_S)]
    part: Part = 0.41
    pause_ms: Pair = (66.0, 240.0)
    every_s: Pair = (1.0, 2.6)


class Slow(_Fault):
    """Another program uses a part of the machine intermittently."""

    kind: Literal["slow"]
    len_s: Annotated[float, Field(gt=0, le=MAX_LENGTH_S)]
    part: Part = 0.5
    taken: PartPair = (0.3, 0.62)
    turn_s: Pair = (1.3, 4.3)


class Heavy(_Fault):
    """A share of the requests of one class costs a multiple of the usual work."""

    kind: Literal["heavy"]
    len_s: Annotated[float, Field(gt=0, le=MAX_LENGTH_S)]
    name: Name
    part: Part = 0.02
    times: Annotated[float, Field(ge=1, le=1000)] = 15.0


class Vanish(_Fault):
    """Machines vanish: open connections stay open, and nothing is answered."""

    kind: Literal["vanish"]
    part: Part = 0.1


class Drain(_Fault):
    """Boxes finish their present requests and stop."""

    kind: Literal["drain"]
    part: Part = 0.1
    drain_s: Pair = (2.3, 5.1)


class Silent(_Fault):
    """Discovery is silent: calls and watches hang."""

    kind: Literal["silent"]
    len_s: Annotated[float, Field(gt=0, le=MAX_LENGTH_S)]


class Signal(_Fault):
    """Balancers receive SIGKILL and are restarted, receive SIGTERM and are restarted, or receive SIGHUP."""

    kind: Literal["kill", "restart", "hup"]
    balancers: Annotated[int, Field(ge=1, le=MAX_BALANCERS)] = 1
    back_after_s: Annotated[float, Field(ge=0, le=600)] = 1.0


class Suspend(_Fault):
    """`count` random tenants, or the named one, are suspended at random times within `len_s`. Each suspension
    lasts for a time from the range `for_s` or, without `for_s`, until the end of the day."""

    kind: Literal["suspend"]
    len_s: Seconds = 0.0
    count: Annotated[int, Field(ge=1, le=10_000)] = 1
    tenant: Name | None = None
    for_s: Pair | None = None


class DirectoryFails(_Fault):
    """The preferred directory or all directories fail."""

    kind: Literal["directory"]
    len_s: Annotated[float, Field(gt=0, le=MAX_LENGTH_S)]
    how: Literal["refused", "silent", "slow", "garbage", "trickle", "cut", "busy", "empty"]
    servers: Literal["first", "all"] = "all"
    delay_s: Annotated[float, Field(gt=0, le=600)] = 2.0


Fault = Annotated[
    Die | Deploy | Freeze | Slow | Heavy | Vanish | Drain | Silent | Signal | Suspend | DirectoryFails,
    Field(discriminator="kind"),
]


class Scenario(Table):
    """A complete scenario file."""

    name: Name
    about: str = ""
    length_s: Annotated[float, Field(ge=1, le=MAX_LENGTH_S)] = 20.0
    seed: Annotated[int, Field(ge=0, lt=1 << 63)] = 1
    fleet: Fleet = Fleet()
    box: BoxTable = BoxTable()
    load: Load
    classes: Annotated[list[ClassTable], Field(min_length=1, max_length=64, alias="class")] = CLASSES
    tenants: Annotated[list[TenantTable], Field(min_length=1, max_length=10_000, alias="tenant")] = TENANTS
    clients: Clients = Clients()
    discovery: DiscoveryTable = DiscoveryTable()
    limits: Limits = Limits()
    rules: Rules = Rules()
    directory: DirectoryTable | None = None
    faults: Annotated[list[Fault], Field(alias="fault", max_length=1000)] = []

    @classmethod
    def cross_field_problems(cls, raw: dict[str, Any]) -> Iterable[ValidationProblem]:
        for key in ("class", "tenant"):
            yield from duplicate_name_problems(raw, key)
        length_s = number(raw, "length_s", cls.model_fields["length_s"].default)
        class_names = [row.get("name") for _, row in tables(raw, "class")] or [c.name for c in CLASSES]
        yield from order_problems(raw, "class", "aim_ms", "deadline_ms", ClassTable)
        for path, row in tables(raw, "fault"):
            if number(row, "at_s", 0) >= length_s:
                yield ValidationProblem(
                    f"{path}.at_s", f"{row['at_s']:g}", f"allowed: under length_s ({length_s:g})"
                )
            if (
                row.get("kind") == "heavy"
                and isinstance(row.get("name"), str)
                and row["name"] not in class_names
            ):
                yield ValidationProblem(
                    f"{path}.name", repr(row["name"]), "allowed: the name of one of the classes"
                )
            if row.get("kind") in ("suspend", "directory") and "directory" not in raw:
                yield ValidationProblem(
                    f"{path}.kind", repr(row["kind"]), "allowed: where the file has [directory]"
                )
            tenant_names = [t.get("name") for _, t in tables(raw, "tenant")] or [t.name for t in TENANTS]
            if row.get("kind") == "suspend" and row.get("tenant", tenant_names[0]) not in tenant_names:
                yield ValidationProblem(
                    f"{path}.tenant", repr(row["tenant"]), "allowed: the name of one of the tenants"
                )
        load = raw.get("load")
        rate = number(load, "rate", 0) if isinstance(load, dict) else 0
        if rate * length_s > MAX_REQUESTS:
            yield ValidationProblem(
                "load.rate", f"{rate:g} for {length_s:g} s", f"allowed: {MAX_REQUESTS:,} requests a day"
            )


def shipped() -> dict[str, str]:
    """Returns the text of each scenario that comes with the kit, by name."""
    folder = resources.files("lanelift.rehearsal") / "scenarios"
    return {
        file.name.removesuffix(".toml"): file.read_text(encoding="utf-8")
        for file in sorted(folder.iterdir(), key=lambda f: f.name)
        if file.name.endswith(".toml")
    }


def read_scenario(name: str, changes: Mapping[str, Any] | None = None) -> Scenario:
    """Reads a scenario by the name of a shipped one or by the path of a file. `changes` override values of
    the file by the path of their key (`load.rate`) and are checked with it. Raises FileValidationError."""
    known = shipped()
    if name in known:
        return read_text(known[name], Scenario, f"{name} (shipped)", changes)
    if "/" not in name and not name.endswith(".toml"):
        allowed = f"shipped: {', '.join(known)}; or a path, FILE.toml"
        raise FileValidationError(name, [ValidationProblem("", "", f"no such scenario; {allowed}")])
    return read_file(Path(name), Scenario, changes)
