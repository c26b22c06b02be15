"""The process that runs the emulated directories, with the suspensions and outages of the plan."""

from __future__ import annotations

import asyncio
import time

from lanelift.rehearsal.operator_config import BASE
from lanelift.rehearsal.plan import NEVER, Outage, SuspensionPeriod
from lanelift.rehearsal.records import StandingChange, write_rows
from lanelift.rehearsal.upstream_workers import call_at
from lanelift.rehearsal.worker import Json, read_plan, rows_path
from lanelift.standins.directory import Directory, NetworkFaults
from lanelift.standins.ldap import Code, ServerFaults, Tree

GARBAGE = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n"
TRICKLE_S = 1.0  # time between two bytes of an answer
# The connection is cut after this many bytes of search answers, within the first or second entry.
CUT_AFTER = 200


def tenant_dn(name: str) -> str:
    """Returns the distinguished name of the entry of a tenant."""
    return f"cn={name},{BASE}"


def timestamp_now() -> str:
    """Returns the present time as GeneralizedTime."""
    return time.strftime("%Y%m%d%H%M%SZ", time.gmtime())


class DirectoryWorker:
    """The role that runs the directories. They share one tree, so that all show a change immediately."""

    def __init__(self, job: Json) -> None:
        self.job = job
        self.plan = read_plan(job)
        table = self.plan.scenario.directory
        assert table is not None
        self.tree = Tree(BASE)
        self.servers = [Directory(self.tree) for _ in range(table.servers)]
        self.standing_changes: list[StandingChange] = []

    async def prepare(self) -> Json:
        table = self.plan.scenario.directory
        assert table is not None
        shares = {t.name: t.share for t in self.plan.scenario.tenants}
        now = timestamp_now()
        for number in range(table.more):
            shares[f"further-{number:05d}"] = 1.0
        for name, share in shares.items():
            rows = {
                "objectClass": "agent",
                "cn": name,
                "agentStanding": "active",
                "agentShare": f"{share:.6f}",
            }
            self.tree.put(tenant_dn(name), rows, now)
        return {"addresses": [f"127.0.0.1:{await server.start()}" for server in self.servers]}

    async def start(self, start_ns: int) -> None:
        async with asyncio.TaskGroup() as group:
            for period in self.plan.suspension_periods:
                call_at(start_ns + period.at_ns, self._set_standing, period, "suspended")
                if period.until_ns < NEVER:
                    call_at(start_ns + period.until_ns, self._set_standing, period, "active")
            for outage in self.plan.outages:
                call_at(start_ns + outage.at_ns, self._inject, outage)
                call_at(start_ns + outage.until_ns, self._clear, group, outage)
            await asyncio.Event().wait()

    def _set_standing(self, period: SuspensionPeriod, standing: str) -> None:
        self.tree.change(tenant_dn(period.tenant), timestamp_now(), agentStanding=standing)
        self.standing_changes.append(StandingChange(time.monotonic_ns(), period.tenant, standing))

    def _affected(self, outage: Outage) -> list[Directory]:
        return self.servers[:1] if outage.servers == "first" else self.servers

    def _inject(self, outage: Outage) -> None:
        for server in self._affected(outage):
            match outage.how:
                case "refused":
                    server.stop()
                case "silent":
                    server.network_faults = NetworkFaults(silent=True)
                case "slow":
                    server.network_faults = NetworkFaults(delay_s=outage.delay_s)
                case "garbage":
                    server.network_faults = NetworkFaults(garbage=GARBAGE)
                case "trickle":
                    server.network_faults = NetworkFaults(trickle_s=TRICKLE_S)
                case "cut":
                    server.network_faults = NetworkFaults(cut_after=CUT_AFTER)
                case "busy":
                    server.server_faults = ServerFaults(Code.BUSY)
                case "empty":
                    server.server_faults = ServerFaults(empty=True)

    def _clear(self, group: asyncio.TaskGroup, outage: Outage) -> None:
        for server in self._affected(outage):
            server.network_faults, server.server_faults = NetworkFaults(), ServerFaults()
            if server.server is None:
                group.create_task(server.start())

    async def command(self, message: Json) -> None:
        """Does nothing: this role has no further commands."""

    def progress(self) -> Json:
        return {}

    async def finish(self) -> Json:
        write_rows(rows_path(self.job, "rulings"), self.standing_changes)
        return {"searches": sum(s.searches for s in self.servers)}

    async def close(self) -> None:
        for server in self.servers:
            server.stop()
