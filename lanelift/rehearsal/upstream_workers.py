"""The processes that run the emulated boxes and discovery and apply the faults of the plan to them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from lanelift.rehearsal.plan import Place, Plan, request_id_of
from lanelift.rehearsal.records import BoxSample, write_rows
from lanelift.rehearsal.worker import Json, read_plan, rows_path
from lanelift.standins.discovery import Agent, DrainNotice, Entry, start_agents
from lanelift.standins.upstream_emulator import SocketOptions, UpstreamEmulator

SAMPLE_INTERVAL_S = 0.25  # time between two samples of the load of each box


def call_at(when_ns: int, call: Callable[..., object], *args: Any) -> None:
    """Schedules a call for this time of the monotonic clock."""
    delay = max(0.0, (when_ns - time.monotonic_ns()) / 1e9)
    asyncio.get_running_loop().call_later(delay, call, *args)


class UpstreamWorker:
    """The role that runs the boxes at every n-th place, where n is the number of box processes."""

    def __init__(self, job: Json) -> None:
        self.job = job
        self.plan = read_plan(job)
        work_by_id = self.plan.work_by_id()
        box, seed = self.plan.scenario.box, self.plan.scenario.seed
        sockets = SocketOptions(
            box.connections,
            round(box.idle_s * 1e9),
            round(box.handshake_us * 1e3),
            round(box.probe_us * 1e3),
            round(box.report_ms * 1e6),
            box.error_part,
        )
        self.emulators = {
            place.number: UpstreamEmulator(
                place.spec,
                sockets,
                seed,
                place.instance_id,
                lambda try_id: work_by_id.get(request_id_of(try_id)),
            )
            for place in self.plan.places
            if place.number % job["count"] == job["index"]
        }
        self.samples: list[BoxSample] = []

    async def prepare(self) -> Json:
        base = self.job.get("base_port")
        for number, emulator in self.emulators.items():
            await emulator.start(False, base + number if base else 0)
        return {"addresses": {number: emulator.address for number, emulator in self.emulators.items()}}

    async def start(self, start_ns: int) -> None:
        async with asyncio.TaskGroup() as group:
            for step in self.plan.steps:
                if step.place in self.emulators:
                    call_at(
                        start_ns + step.at_ns,
                        self._apply,
                        group,
                        step.action,
                        self.emulators[step.place],
                        step.value,
                    )
            while True:
                await asyncio.sleep(SAMPLE_INTERVAL_S)
                now = time.monotonic_ns()
                for number, emulator in self.emulators.items():
                    is_down = emulator.box.frozen or emulator.listener is None or emulator.vanished
                    capacity = 0.0 if is_down else emulator.box.capacity
                    self.samples.append(BoxSample(now, number, emulator.box.held, capacity))

    def _apply(self, group: asyncio.TaskGroup, action: str, emulator: UpstreamEmulator, value: float) -> None:
        """Applies a step of the plan to the emulator at its place."""
        match action:
            case "die" | "stop":
                emulator.die()
            case "start":
                group.create_task(emulator.start(True))
            case "drain":
                emulator.drain()
            case "vanish":
                emulator.vanish()
            case "freeze":
                emulator.freeze(int(value))
            case "share":
                emulator.set_stolen_share(value)

    async def command(self, message: Json) -> None:
        """Does nothing: this role has no further commands."""

    def progress(self) -> Json:
        return {}

    async def finish(self) -> Json:
        write_rows(
            rows_path(self.job, "attempts"),
            (row for emulator in self.emulators.values() for row in emulator.finish_attempts()),
        )
        write_rows(rows_path(self.job, "samples"), self.samples)
        return {
            "falls": [
                overload for emulator in self.emulators.values() for overload in emulator.cold_overloads
            ],
            "complaints": [text for emulator in self.emulators.values() for text in emulator.complaints],
        }

    async def close(self) -> None:
        for emulator in self.emulators.values():
            emulator.close()


def entry_of(plan: Plan, place: Place, instance: int, address: str, state: str, started_ms: int) -> Entry:
    """Returns the entry of an instance in discovery's list."""
    return Entry(
        place.instance_id(instance),
        address,
        plan.scenario.fleet.rooms[place.room],
        state,
        started_ms=started_ms,
    )


class DiscoveryWorker:
    """The role that runs discovery. Each balancer has an agent, which sends it the plan's notifications."""

    def __init__(self, job: Json) -> None:
        self.job = job
        self.plan = read_plan(job)
        self.agents: list[Agent] = []
        self.drain_notices: list[DrainNotice] = []

    async def prepare(self) -> Json:
        table = self.plan.scenario.discovery
        call_ns = round(table.call_ms * 1e6) if table.mode == "ask" else None
        base = self.job.get("base_port")
        self.agents, self.drain_notices = await start_agents(
            self.plan.scenario.fleet.balancers, call_ns, lambda number: base + number if base else 0
        )
        places = self.plan.places
        for agent in self.agents:
            agent.set_entries(
                [entry_of(self.plan, p, 0, self._address(p.number), "Ready", 0) for p in places]
            )
        return {"addresses": [agent.address for agent in self.agents], "known": self.agents[0].snapshot()}

    def _address(self, place: int) -> str:
        address: str = self.job["addresses"][str(place)]
        return address

    async def start(self, start_ns: int) -> None:
        unix_offset_ns = time.time_ns() - time.monotonic_ns()
        instances = [0] * len(self.plan.places)
        started: dict[tuple[int, int], int] = {}
        for step in self.plan.steps:
            if step.action == "start":
                instances[step.place] += 1
                started[step.place, instances[step.place]] = (
                    unix_offset_ns + start_ns + step.at_ns
                ) // 1_000_000
        for notification in self.plan.notifications:
            entry = entry_of(
                self.plan,
                self.plan.places[notification.place],
                notification.instance,
                self._address(notification.place),
                notification.state,
                started.get((notification.place, notification.instance), 0),
            )
            call_at(start_ns + notification.at_ns, self.agents[notification.balancer].update, entry)
        for command in self.plan.commands:
            if command.action in ("silent", "heard"):
                for agent in self.agents:
                    call_at(start_ns + command.at_ns, agent.set_silent, command.action == "silent")
        await asyncio.Event().wait()

    async def command(self, message: Json) -> None:
        """Does nothing: this role has no further commands."""

    def progress(self) -> Json:
        return {}

    async def finish(self) -> Json:
        write_rows(rows_path(self.job, "told"), self.drain_notices)
        return {}

    async def close(self) -> None:
        for agent in self.agents:
            agent.close()
