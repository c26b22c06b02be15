"""Conducts a rehearsal: starts the kit's processes and the balancers, gives the day its start, gathers what
they saw.

Processes hang on their standard input: when the conductor goes, by Ctrl-C, a crash or a kill, they end what
they started and leave. Nothing has to be cleaned up by a conductor that still lives.
"""

from __future__ import annotations

import asyncio
import functools
import json
import operator
import os
import random
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lanelift.rehearsal.plan import Plan, make_plan
from lanelift.rehearsal.records import Life, Load, Ruling, Try, Used, read_rows
from lanelift.rehearsal.scenario import Scenario
from lanelift.rehearsal.verdict import Attempt, Day, Told
from lanelift.standins.seeded_random import uniform

Json = dict[str, Any]
LEAD_S = 0.5  # between the word to start and the start of the day: all have it by then
SETTLE_S = 0.3  # after the last request: what is still under way reaches its box
FRONT_LEAVE_S = 0.3  # a front deals to a balancer that is leaving for so long (PROTOCOL: 0.2 to 0.4 s)
READY_S = 60.0  # for a process to be ready: balancers have 30 s of it, and a large plan takes some to draw
FINISH_S = 30.0  # for writing down what was seen; a process that takes longer is ended
BOXES_EACH, RATE_EACH = 22, 400  # for one box process and one load process: well within a part of a core
PORTS = (20_000, 32_000)  # for balancers: below those that the kernel deals out to whoever connects


class Failed(Exception):
    """The rehearsal could not be played."""


@dataclass(frozen=True, slots=True)
class Options:
    folder: Path
    command: str = ""  # how a balancer is started; "": as in service
    target: tuple[str, int] | None = None  # somebody else's balancer; none are started
    base_port: int | None = None  # boxes and discovery listen from here on; None: anywhere
    box_workers: int = 0  # 0: as many as it takes
    load_workers: int = 0


@dataclass(slots=True, eq=False)
class Worker:
    """One process of the kit, and the latest that it told."""

    name: str
    process: asyncio.subprocess.Process
    hear: Callable[[Json], None]
    ready: asyncio.Future[Json]
    over: asyncio.Event = field(default_factory=asyncio.Event)
    finished: asyncio.Future[Json] | None = None
    progress: Json = field(default_factory=dict)
    reader: asyncio.Task[None] | None = None
    why: str = ""  # it could not start

    async def until_ready(self) -> Json:
        """What it told when it was. Raises Failed."""
        try:
            async with asyncio.timeout(READY_S):
                return await self.ready
        except TimeoutError:
            raise Failed(f"the kit's process {self.name} was not ready within {READY_S:g} s") from None

    def tell(self, message: Json) -> None:
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(json.dumps(message).encode() + b"\n")

    async def read(self) -> None:
        assert self.process.stdout is not None and self.finished is not None
        while line := await self.process.stdout.readline():
            message = json.loads(line)
            if "ready" in message:
                self.ready.set_result(message["ready"])
            elif "progress" in message:
                self.progress = message["progress"]
            elif "over" in message:
                self.over.set()
            elif "failed" in message:
                self.why = message["failed"]
            elif "finished" in message:
                self.finished.set_result(message["finished"])
            else:
                self.hear(message)
        gone = Failed(f"the kit's process {self.name} ended early: {self.why or 'see its log'}")
        for future in (self.ready, self.finished):
            if not future.done():
                future.set_exception(gone)
                future.exception()  # looked at: nobody may wait for it any more
        self.over.set()


class Conductor:
    def __init__(
        self, scenario: Scenario, options: Options, progress: Callable[[float, Counter[str]], None]
    ) -> None:
        self.scenario, self.options, self.progress = scenario, options, progress
        self.plan: Plan = make_plan(scenario)
        self.workers: list[Worker] = []
        self.load: list[Worker] = []

    async def play(self) -> Day:
        """The whole day. Raises Failed where it could not be played."""
        self.options.folder.mkdir(parents=True, exist_ok=True)
        try:
            return await self._play()
        finally:
            await self._end()

    async def _play(self) -> Day:
        options, fleet = self.options, self.scenario.fleet
        box_workers = options.box_workers or -(-fleet.boxes // BOXES_EACH)
        boxes = [
            await self._start(
                f"boxes-{i}", role="boxes", index=i, count=box_workers, base_port=options.base_port
            )
            for i in range(box_workers)
        ]
        addresses: dict[str, str] = {}
        for worker in boxes:
            addresses |= (await worker.until_ready())["addresses"]
        news = await self._start(
            "discovery",
            role="discovery",
            addresses=addresses,
            base_port=options.base_port and options.base_port + fleet.boxes,
        )
        told = await news.until_ready()
        directories: list[str] = []
        if self.scenario.directory is not None and options.target is None:
            hosts = await self._start("directories", role="directories")
            directories = (await hosts.until_ready())["addresses"]
        if options.target is None:
            listen = [f"127.0.0.1:{port}" for port in free_ports(fleet.balancers)]
            keeper = await self._start(
                "balancers",
                role="balancers",
                listen=listen,
                command=options.command,
                discovery=told["addresses"],
                known=told["known"],
                directories=directories,
            )
            ready = (await keeper.until_ready())["ready"]
            if not all(ready):
                raise Failed(
                    f"balancers {[i for i, r in enumerate(ready) if not r]} were not ready in time; "
                    f"see their logs in {options.folder}"
                )
            balancers = [(host, int(port)) for host, _, port in (a.rpartition(":") for a in listen)]
        else:
            balancers = [options.target]
        load_workers = options.load_workers or -(-round(self.scenario.load.rate) // RATE_EACH)
        self.load = [
            await self._start(f"load-{i}", role="load", index=i, count=load_workers, balancers=balancers)
            for i in range(load_workers)
        ]
        for worker in self.load:
            await worker.until_ready()
        start_ns = time.monotonic_ns() + round(LEAD_S * 1e9)
        for worker in self.workers:
            worker.tell({"do": "start", "at_ns": start_ns})
        await self._watch(start_ns)
        await asyncio.sleep(SETTLE_S)
        # Balancers first: what they still send while they leave must find its box.
        finished: dict[str, Json] = {}
        lost = []
        for worker in sorted(self.workers, key=lambda w: w.name != "balancers"):
            try:
                finished[worker.name] = await self._finish(worker)
            except (Failed, TimeoutError):
                lost.append(worker.name)
        return self._day(start_ns, finished, lost)

    async def _start(self, name: str, **job: Any) -> Worker:
        job |= {
            "name": name,
            "folder": str(self.options.folder),
            "scenario": self.scenario.model_dump(mode="json", by_alias=True),
        }
        with (self.options.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lanelift.rehearsal.worker",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                start_new_session=True,
                limit=1 << 26,
            )
        loop = asyncio.get_running_loop()
        worker = Worker(name, process, self._hear, loop.create_future(), finished=loop.create_future())
        worker.reader = asyncio.create_task(worker.read())
        self.workers.append(worker)
        worker.tell(job)
        return worker

    def _hear(self, message: Json) -> None:
        """A balancer has come or gone: the front learns of it, of a death late."""
        number = message["balancer"]
        in_s = {
            "down": uniform(*self.scenario.discovery.front_notice_s, self.scenario.seed, "front", number),
            "leaving": FRONT_LEAVE_S,
            "up": 0.0,
        }[message["event"]]
        for worker in self.load:
            worker.tell({"do": "front", "balancer": number, "alive": message["event"] == "up", "in_s": in_s})

    async def _watch(self, start_ns: int) -> None:
        """Until each load process has come to its end."""
        over = asyncio.gather(*(worker.over.wait() for worker in self.load))
        while not over.done():
            await asyncio.wait([over], timeout=0.5)
            counts: Counter[str] = Counter()
            for worker in self.load:
                counts.update(worker.progress)
            self.progress((time.monotonic_ns() - start_ns) / 1e9, counts)
        for worker in self.load:
            if worker.finished is not None and worker.finished.done():
                await worker.finished  # it ended early

    async def _finish(self, worker: Worker) -> Json:
        worker.tell({"do": "finish"})
        assert worker.finished is not None
        async with asyncio.timeout(FINISH_S):
            return await worker.finished

    async def _end(self) -> None:
        """Whatever became of the day: no process stays."""
        for worker in self.workers:
            if worker.process.stdin is not None:
                worker.process.stdin.close()
        for worker in self.workers:
            try:
                async with asyncio.timeout(5):
                    await worker.process.wait()
            except TimeoutError:
                with suppress(ProcessLookupError):
                    worker.process.kill()
                await worker.process.wait()
            if worker.reader is not None:
                worker.reader.cancel()

    def _day(self, start_ns: int, finished: dict[str, Json], lost: Sequence[str]) -> Day:
        folder = self.options.folder
        boxes = [told for name, told in finished.items() if name.startswith("boxes")]
        load = [told for name, told in finished.items() if name.startswith("load")]
        late = [told["due_late_ms"] for told in load]
        ours = self.options.target is None  # what somebody else's balancer was told is not known
        return Day(
            self.plan,
            start_ns,
            list(read_rows(folder, "tries", Try)),
            list(read_rows(folder, "attempts", Attempt)),
            samples=list(read_rows(folder, "samples", Load)),
            falls=[tuple(fall) for told in boxes for fall in told["falls"]],
            complaints=[text for told in boxes for text in told["complaints"]],
            lateness={name: told["lateness"] for name, told in finished.items()},
            due_late_ms={key: max(row[key] for row in late) for key in late[0]} if late else {},
            offered=f"{functools.reduce(operator.xor, (int(told['offered'], 16) for told in load), 0):032x}",
            short=sum(told["short"] for told in load),
            kit_cpu_s=sum(told["cpu_s"] for told in finished.values()),
            lost_workers=lost,
            told=list(read_rows(folder, "told", Told)) if ours else [],
            lives=list(read_rows(folder, "lives", Life)),
            used=list(read_rows(folder, "used", Used)),
            rulings=list(read_rows(folder, "rulings", Ruling)),
        )


def free_ports(count: int) -> list[int]:
    """Ports of loopback where nobody listens now, drawn anew each time: two rehearsals may run side by
    side."""
    rng, found = random.Random(os.urandom(8)), []
    for port in rng.sample(range(*PORTS), len(range(*PORTS))):
        with socket.socket() as trial:
            trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                trial.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise Failed(f"no {count} ports are free between {PORTS[0]} and {PORTS[1]}")


def rehearse(scenario: Scenario, options: Options, progress: Callable[[float, Counter[str]], None]) -> Day:
    """Play the day and wait for its end. Raises Failed, or KeyboardInterrupt once all is ended."""
    return asyncio.run(Conductor(scenario, options, progress).play())
