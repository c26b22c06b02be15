"""The load process, which sends its part of the plan's requests when they are due."""

from __future__ import annotations

import asyncio
import resource

from lanelift.rehearsal.client import Clients, Front
from lanelift.rehearsal.records import write_rows
from lanelift.rehearsal.worker import Json, read_plan, rows_path


class LoadGenerator:
    """The role that sends every n-th request of the plan, where n is the number of load processes."""

    def __init__(self, job: Json) -> None:
        self.job = job
        plan = read_plan(job)
        requests = [request for request in plan.requests if request.number % job["count"] == job["index"]]
        self.front = Front(plan, [(host, port) for host, port in job["balancers"]])
        self.clients = Clients(plan, requests, self.front)

    async def prepare(self) -> Json:
        return {"asks": len(self.clients.requests)}

    async def start(self, start_ns: int) -> None:
        await self.clients.run(start_ns)

    async def command(self, message: Json) -> None:
        """Tells the front, after a delay, whether a balancer is alive."""
        if message["do"] == "front":
            loop = asyncio.get_running_loop()
            loop.call_later(message["in_s"], self._set_alive, message["balancer"], message["alive"])

    def _set_alive(self, balancer: int, alive: bool) -> None:
        self.front.alive[balancer] = alive

    def progress(self) -> Json:
        return dict(self.clients.counts)

    async def finish(self) -> Json:
        write_rows(rows_path(self.job, "tries"), self.clients.tries)
        late = sorted(self.clients.start_delays_ns) or [0]
        return {
            "short": self.clients.connect_shortages,
            "offered": f"{self.clients.offered:032x}",
            "descriptors": resource.getrlimit(resource.RLIMIT_NOFILE)[0],
            "due_late_ms": {
                "p50": _percentile_ms(late, 0.5),
                "p99": _percentile_ms(late, 0.99),
                "max": _percentile_ms(late, 1.0),
            },
        }

    async def close(self) -> None:
        for connections in self.clients.idle:
            for connection in connections:
                connection.abort()


def _percentile_ms(ordered: list[int], part: float) -> float:
    return round(ordered[int(part * (len(ordered) - 1))] / 1e6, 3)
