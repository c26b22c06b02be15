"""The process that hosts the stand-in directories, and does to them what the plan says."""

from __future__ import annotations

import asyncio
import time

from lanelift.rehearsal.boxes import at
from lanelift.rehearsal.plan import NEVER, Outage, Standing
from lanelift.rehearsal.records import Ruling, write_rows
from lanelift.rehearsal.serving import BASE
from lanelift.rehearsal.worker import Json, read_plan, rows_path
from lanelift.standins.directory import Directory, NetworkFaults
from lanelift.standins.ldap import Code, ServerFaults, Tree

GARBAGE = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n"
TRICKLE_S = 1.0  # between two bytes
CUT_AFTER = 200  # bytes of answers: within the first entry or two


def agent(name: str) -> str:
    return f"cn={name},{BASE}"


def stamp_now() -> str:
    return time.strftime("%Y%m%d%H%M%SZ", time.gmtime())


class Directories:
    """Replicas of one tree: what is changed in it, all of them show at once."""

    def __init__(self, job: Json) -> None:
        self.job = job
        self.plan = read_plan(job)
        table = self.plan.scenario.directory
        assert table is not None
        self.tree = Tree(BASE)
        self.servers = [Directory(self.tree) for _ in range(table.servers)]
        self.rulings: list[Ruling] = []

    async def prepare(self) -> Json:
        table = self.plan.scenario.directory
        assert table is not None
        shares = {t.name: t.share for t in self.plan.scenario.tenants}
        now = stamp_now()
        for number in range(table.more):
            shares[f"further-{number:05d}"] = 1.0
        for name, share in shares.items():
            rows = {
                "objectClass": "agent",
                "cn": name,
                "agentStanding": "active",
                "agentShare": f"{share:.6f}",
            }
            self.tree.put(agent(name), rows, now)
        return {"addresses": [f"127.0.0.1:{await server.start()}" for server in self.servers]}

    async def start(self, start_ns: int) -> None:
        async with asyncio.TaskGroup() as group:
            for standing in self.plan.standings:
                at(start_ns + standing.at_ns, self._rule, standing, "suspended")
                if standing.until_ns < NEVER:
                    at(start_ns + standing.until_ns, self._rule, standing, "active")
            for outage in self.plan.outages:
                at(start_ns + outage.at_ns, self._fail, outage)
                at(start_ns + outage.until_ns, self._mend, group, outage)
            await asyncio.Event().wait()

    def _rule(self, standing: Standing, what: str) -> None:
        self.tree.change(agent(standing.tenant), stamp_now(), agentStanding=what)
        self.rulings.append(Ruling(time.monotonic_ns(), standing.tenant, what))

    def _hit(self, outage: Outage) -> list[Directory]:
        return self.servers[:1] if outage.servers == "first" else self.servers

    def _fail(self, outage: Outage) -> None:
        for server in self._hit(outage):
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

    def _mend(self, group: asyncio.TaskGroup, outage: Outage) -> None:
        for server in self._hit(outage):
            server.network_faults, server.server_faults = NetworkFaults(), ServerFaults()
            if server.server is None:
                group.create_task(server.start())

    async def command(self, message: Json) -> None:
        """Nothing is asked of it."""

    def progress(self) -> Json:
        return {}

    async def finish(self) -> Json:
        write_rows(rows_path(self.job, "rulings"), self.rulings)
        return {"searches": sum(s.searches for s in self.servers)}

    async def close(self) -> None:
        for server in self.servers:
            server.stop()
