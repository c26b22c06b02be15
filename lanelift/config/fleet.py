"""`[fleet]` of the operator's file: the members, the timings, and the checks of their combinations."""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, Literal

from pydantic import AfterValidator, Field

from lanelift.config.checked import Table, ValidationProblem, duplicate_name_problems, number, tables
from lanelift.config.fields import Address
from lanelift.net.addresses import split_address

if TYPE_CHECKING:
    from lanelift.leases.node import FleetSource

MS = 1_000_000
# Limits the members of a fleet; only this module checks the limit. As each request goes to all voters, more
# members would cost too many messages.
MAX_MEMBERS = 256


def _printable_id(text: str) -> str:
    if not re.fullmatch(r"[!-.0-~]+", text) or text.startswith("."):
        raise ValueError('allowed: printable ASCII without spaces and "/", not beginning with "."')
    return text


Id = Annotated[str, Field(min_length=1, max_length=64), AfterValidator(_printable_id)]


class FleetMember(Table):
    """One member of the fleet. `votes` says whether it is a voter; three or five voters suffice."""

    id: Id
    address: Address
    zone: str = ""
    votes: bool = True


class FleetTask(Table):
    """A command that is run periodically, by one member at a time."""

    name: Id
    command: Annotated[list[Annotated[str, Field(min_length=1)]], Field(min_length=1, max_length=64)]
    every_s: Annotated[float, Field(ge=1, le=604_800)]


class Fleet(Table):
    """`[fleet]`: members that agree on leases. The field names are the file's keys and must not change."""

    name: Id
    me: Id
    members: Annotated[list[FleetMember], Field(min_length=1, max_length=MAX_MEMBERS, alias="member")]
    tasks: Annotated[list[FleetTask], Field(max_length=64, alias="task")] = []  # noqa: RUF012  pydantic copies defaults
    state: str = ""
    lease_ms: Annotated[float, Field(ge=100, le=3_600_000)] = 10_000.0
    answer_ms: Annotated[float, Field(ge=1, le=60_000)] = 250.0
    margin_ms: Annotated[float, Field(ge=1, le=600_000)] = 2_000.0
    drift_ppm: Annotated[float, Field(ge=0, le=100_000)] = 1_000.0
    log: Literal["console", "json"] = "console"
    clock_ahead_ms: Annotated[float, Field(ge=0, le=1e12)] = 0.0
    clock_ppm: Annotated[float, Field(ge=-500_000, le=500_000)] = 0.0

    @classmethod
    def cross_field_problems(cls, raw: dict[str, Any]) -> Iterable[ValidationProblem]:
        """Return the problems that concern several keys of the table."""
        raw = raw if isinstance(raw, dict) else {}
        rows = tables(raw, "member")
        for key in ("id", "address"):
            seen: dict[str, str] = {}
            for path, row in rows:
                value = row.get(key)
                if isinstance(value, str) and seen.setdefault(value, path) != path:
                    yield ValidationProblem(
                        f"fleet.{path}.{key}",
                        f'"{value}"',
                        f"fleet.{seen[value]} has it too; each must differ",
                    )
        for problem in duplicate_name_problems(raw, "task"):
            yield ValidationProblem(f"fleet.{problem.place}", problem.found, problem.allowed)
        me = next((row for _, row in rows if row.get("id") == raw.get("me")), None)
        if rows and isinstance(raw.get("me"), str) and me is None:
            ids = ", ".join(str(row.get("id")) for _, row in rows)
            yield ValidationProblem("fleet.me", f'"{raw["me"]}"', f"allowed: one of the members ({ids})")
        if rows and not any(row.get("votes", True) for _, row in rows):
            yield ValidationProblem(
                "fleet.member", "", "nobody votes; allowed: one voter at the least, three or five better"
            )
        if me is not None and me.get("votes", True) and not raw.get("state"):
            yield ValidationProblem(
                "fleet.state", "", "missing; a voter keeps its number there, lest tokens fall back"
            )
        yield from cls._timings(raw)

    @classmethod
    def _timings(cls, raw: dict[str, Any]) -> Iterable[ValidationProblem]:
        from lanelift.fleet.cluster import LeaseTiming

        keys = ("lease_ms", "answer_ms", "margin_ms", "drift_ppm")
        values = [number(raw, key, cls.model_fields[key].get_default()) for key in keys]
        if any(value != value for value in values):
            return  # a value that is not a number is reported by the check of its key
        lease, answer, margin, drift = values
        for key, found, allowed in LeaseTiming(_ns(lease), _ns(answer), _ns(margin), drift / 1e6).problems():
            yield ValidationProblem(f"fleet.{key}", found, allowed)

    @property
    def voters(self) -> int:
        """Number of voters."""
        return sum(m.votes for m in self.members)

    def warnings(self) -> Iterable[str]:
        """Yield warnings about settings that are valid but probably not intended."""
        if self.voters % 2 == 0:
            yield (
                f"fleet.member: {self.voters} voters bear the loss of {(self.voters - 1) // 2}, no more than"
                f" {self.voters - 1} do, and one more can fail; an odd number is better"
            )
        if self.clock_ahead_ms or self.clock_ppm:
            yield "fleet: clock_ahead_ms and clock_ppm are for rehearsals; this clock is wrong by them"

    def summary(self) -> str:
        """Return the fleet's majority and timings, in one line."""
        from lanelift.fleet.cluster import majority

        timing = self._timing()
        return (
            f"Fleet {self.name}: {len(self.members)} members, {self.voters} vote, "
            f"{majority(self.voters)} decide; a lease is held for {timing.validity_ns / 1e9:g} s, "
            f"renewed every {timing.renewal_interval_ns / 1e9:g} s, and given to another within "
            f"{timing.failover_bound_ns / 1e9:.3g} s of its holder's death."
        )

    def source(self) -> FleetSource:
        """Return the fleet source that the daemon attaches. The call imports the fleet's modules."""
        from lanelift.fleet.clocks import Clock
        from lanelift.fleet.cluster import ClusterConfiguration, Member
        from lanelift.leases.node import FleetSource
        from lanelift.leases.supervisor import FleetTask as Task

        members = tuple(Member(m.id, split_address(m.address), m.zone, m.votes) for m in self.members)
        clock = Clock(_ns(self.clock_ahead_ms), 1 + self.clock_ppm / 1e6)
        state = Path(self.state) if self.state else None
        tasks = tuple(Task(t.name, tuple(t.command), t.every_s) for t in self.tasks)
        cluster = ClusterConfiguration(self.name, members, self._timing())
        return FleetSource(cluster, self.me, state, clock, self.log, tasks)

    def _timing(self) -> Any:
        from lanelift.fleet.cluster import LeaseTiming

        return LeaseTiming(_ns(self.lease_ms), _ns(self.answer_ms), _ns(self.margin_ms), self.drift_ppm / 1e6)


def _ns(ms: float) -> int:
    return round(ms * MS)
