"""Orchestrates a rehearsal: starts the kit's processes (one of them runs the balancers), starts the day, and
collects the records.

Each process reads commands from its standard input, which closes when the orchestrator exits, whether by
Ctrl-C, a crash or a kill. The process then ends everything that it has started and exits, so that the cleanup
does not depend on the orchestrator.
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
from lanelift.rehearsal.records import BoxSample, ProcessRun, ResourceSample, StandingChange, Try, read_rows
from lanelift.rehearsal.scenario import Scenario
from lanelift.rehearsal.verdict import Attempt, Day, DrainNotice
from lanelift.standins.seeded_random import uniform

Json = dict[str, Any]
# The day starts this long after the start command is sent, so that all processes have received it.
START_DELAY_S = 0.5
SETTLE_S = 0.3  # time to wait after the load processes are done, so that attempts in flight reach their boxes
FRONT_LEAVE_S = 0.3  # how long the front still uses a balancer that is leaving (PROTOCOL: 0.2 to 0.4 s)
# Limits the preparation of a process. The balancers may take 30 s to start, and a large plan takes time to
# generate.
READY_TIMEOUT_S = 60.0
FINISH_TIMEOUT_S = 30.0  # a process that takes longer than this to write its records is killed
# Limits the boxes of a box process and the requests per second of a load process. At its limit, each uses
# well under one core.
BOXES_PER_WORKER, RATE_PER_WORKER = 22, 400
PORT_RANGE = (20_000, 32_000)  # range of the balancers' ports, below the ephemeral ports of the kernel


class RehearsalError(Exception):
    """The rehearsal could not be run."""


@dataclass(frozen=True, slots=True)
class Options:
    """The options of a run."""

    folder: Path
    command: str = ""  # the command that starts a balancer; "" for the one used in production
    # Address of an external balancer; if given, the kit starts no balancer.
    target: tuple[str, int] | None = None
    base_port: int | None = None  # the first port of boxes and discovery; None for any free ports
    box_workers: int = 0  # number of processes for boxes; 0 for as many as needed
    load_workers: int = 0


@dataclass(slots=True, eq=False)
class WorkerProcess:
    """A process of the kit, as the orchestrator sees it. `on_message` receives the events of balancers."""

    name: str
    process: asyncio.subprocess.Process
    on_message: Callable[[Json], None]
    ready: asyncio.Future[Json]
    # Set when the process's part of the day is over, or the process exits.
    day_over: asyncio.Event = field(default_factory=asyncio.Event)
    # Its result is the summary, set once the records are written.
    finished: asyncio.Future[Json] | None = None
    progress: Json = field(default_factory=dict)
    reader: asyncio.Task[None] | None = None
    failure: str = ""  # why the process could not start

    async def wait_ready(self) -> Json:
        """Waits until the process is ready. Returns its message. Raises RehearsalError."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                return await self.ready
        except TimeoutError:
            raise RehearsalError(
                f"the kit's process {self.name} was not ready within {READY_TIMEOUT_S:g} s"
            ) from None

    def send(self, message: Json) -> None:
        """Sends a command to the process."""
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(json.dumps(message).encode() + b"\n")

    async def read(self) -> None:
        """Reads the messages of the process until it exits."""
        assert self.process.stdout is not None and self.finished is not None
        while line := await self.process.stdout.readline():
            message = json.loads(line)
            if "ready" in message:
                self.ready.set_result(message["ready"])
            elif "progress" in message:
                self.progress = message["progress"]
            elif "over" in message:
                self.day_over.set()
            elif "failed" in message:
                self.failure = message["failed"]
            elif "finished" in message:
                self.finished.set_result(message["finished"])
            else:
                self.on_message(message)
        error = RehearsalError(f"the kit's process {self.name} ended early: {self.failure or 'see its log'}")
        for future in (self.ready, self.finished):
            if not future.done():
                future.set_exception(error)
                # Marks the exception as retrieved, since no task may be waiting for the future.
                future.exception()
        self.day_over.set()


class Orchestrator:
    """Runs one rehearsal."""

    def __init__(
        self, scenario: Scenario, options: Options, progress: Callable[[float, Counter[str]], None]
    ) -> None:
        self.scenario, self.options, self.progress = scenario, options, progress
        self.plan: Plan = make_plan(scenario)
        self.workers: list[WorkerProcess] = []
        self.load: list[WorkerProcess] = []

    async def run(self) -> Day:
        """Runs the rehearsal from start to end. Raises RehearsalError if it cannot be run."""
        self.options.folder.mkdir(parents=True, exist_ok=True)
        try:
            return await self._run()
        finally:
            await self._stop_workers()

    async def _run(self) -> Day:
        options, fleet = self.options, self.scenario.fleet
        box_workers = options.box_workers or -(-fleet.boxes // BOXES_PER_WORKER)
        boxes = [
            await self._start(
                f"boxes-{i}", role="boxes", index=i, count=box_workers, base_port=options.base_port
            )
            for i in range(box_workers)
        ]
        addresses: dict[str, str] = {}
        for worker in boxes:
            addresses |= (await worker.wait_ready())["addresses"]
        discovery = await self._start(
            "discovery",
            role="discovery",
            addresses=addresses,
            base_port=options.base_port and options.base_port + fleet.boxes,
        )
        endpoints = await discovery.wait_ready()
        directories: list[str] = []
        if self.scenario.directory is not None and options.target is None:
            directory_worker = await self._start("directories", role="directories")
            directories = (await directory_worker.wait_ready())["addresses"]
        if options.target is None:
            listen = [f"127.0.0.1:{port}" for port in free_ports(fleet.balancers)]
            supervisor = await self._start(
                "balancers",
                role="balancers",
                listen=listen,
                command=options.command,
                discovery=endpoints["addresses"],
                known=endpoints["known"],
                directories=directories,
            )
            ready = (await supervisor.wait_ready())["ready"]
            if not all(ready):
                raise RehearsalError(
                    f"balancers {[i for i, r in enumerate(ready) if not r]} were not ready in time; "
                    f"see their logs in {options.folder}"
                )
            balancers = [(host, int(port)) for host, _, port in (a.rpartition(":") for a in listen)]
        else:
            balancers = [options.target]
        load_workers = options.load_workers or -(-round(self.scenario.load.rate) // RATE_PER_WORKER)
        self.load = [
            await self._start(f"load-{i}", role="load", index=i, count=load_workers, balancers=balancers)
            for i in range(load_workers)
        ]
        for worker in self.load:
            await worker.wait_ready()
        start_ns = time.monotonic_ns() + round(START_DELAY_S * 1e9)
        for worker in self.workers:
            worker.send({"do": "start", "at_ns": start_ns})
        await self._wait_for_load(start_ns)
        await asyncio.sleep(SETTLE_S)
        # The balancers finish first: boxes have to receive the attempts that balancers send while stopping.
        finished: dict[str, Json] = {}
        lost_workers = []
        for worker in sorted(self.workers, key=lambda w: w.name != "balancers"):
            try:
                finished[worker.name] = await self._finish(worker)
            except (RehearsalError, TimeoutError):
                lost_workers.append(worker.name)
        return self._collect(start_ns, finished, lost_workers)

    async def _start(self, name: str, **job: Any) -> WorkerProcess:
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
        worker = WorkerProcess(
            name, process, self._on_balancer_event, loop.create_future(), finished=loop.create_future()
        )
        worker.reader = asyncio.create_task(worker.read())
        self.workers.append(worker)
        worker.send(job)
        return worker

    def _on_balancer_event(self, message: Json) -> None:
        """Forwards the up, leaving or down event of a balancer to the load processes.

        `in_s` is the delay after which the front in these processes acts on the event. The delay of a down
        event is random, from the range `front_notice_s`."""
        number = message["balancer"]
        in_s = {
            "down": uniform(*self.scenario.discovery.front_notice_s, self.scenario.seed, "front", number),
            "leaving": FRONT_LEAVE_S,
            "up": 0.0,
        }[message["event"]]
        for worker in self.load:
            worker.send({"do": "front", "balancer": number, "alive": message["event"] == "up", "in_s": in_s})

    async def _wait_for_load(self, start_ns: int) -> None:
        """Waits until the load processes have played their part of the day, and reports the progress."""
        day_over = asyncio.gather(*(worker.day_over.wait() for worker in self.load))
        while not day_over.done():
            await asyncio.wait([day_over], timeout=0.5)
            counts: Counter[str] = Counter()
            for worker in self.load:
                counts.update(worker.progress)
            self.progress((time.monotonic_ns() - start_ns) / 1e9, counts)
        for worker in self.load:
            if worker.finished is not None and worker.finished.done():
                await worker.finished  # raises RehearsalError, as the process exited early

    async def _finish(self, worker: WorkerProcess) -> Json:
        """Makes a process end what it runs, such as balancers, and write its records. Returns its summary."""
        worker.send({"do": "finish"})
        assert worker.finished is not None
        async with asyncio.timeout(FINISH_TIMEOUT_S):
            return await worker.finished

    async def _stop_workers(self) -> None:
        """Ends all processes: closes their standard input, and kills each that has not exited after 5 s."""
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

    def _collect(self, start_ns: int, finished: dict[str, Json], lost_workers: Sequence[str]) -> Day:
        """Builds the day from the summaries of the processes and the files of records."""
        folder = self.options.folder
        boxes = [row for name, row in finished.items() if name.startswith("boxes")]
        load = [row for name, row in finished.items() if name.startswith("load")]
        late = [row["due_late_ms"] for row in load]
        # The kit does not know which drain notices an external balancer has received.
        own_balancers = self.options.target is None
        return Day(
            self.plan,
            start_ns,
            list(read_rows(folder, "tries", Try)),
            list(read_rows(folder, "attempts", Attempt)),
            box_samples=list(read_rows(folder, "samples", BoxSample)),
            cold_overloads=[tuple(overload) for row in boxes for overload in row["falls"]],
            complaints=[text for row in boxes for text in row["complaints"]],
            lateness={name: row["lateness"] for name, row in finished.items()},
            due_late_ms={key: max(row[key] for row in late) for key in late[0]} if late else {},
            offered=f"{functools.reduce(operator.xor, (int(row['offered'], 16) for row in load), 0):032x}",
            connect_shortages=sum(row["short"] for row in load),
            kit_cpu_s=sum(row["cpu_s"] for row in finished.values()),
            lost_workers=lost_workers,
            drain_notices=list(read_rows(folder, "told", DrainNotice)) if own_balancers else [],
            process_runs=list(read_rows(folder, "lives", ProcessRun)),
            resource_samples=list(read_rows(folder, "used", ResourceSample)),
            standing_changes=list(read_rows(folder, "rulings", StandingChange)),
        )


def free_ports(count: int) -> list[int]:
    """Returns free loopback ports. They are chosen at random, so that rehearsals can run concurrently."""
    rng, found = random.Random(os.urandom(8)), []
    for port in rng.sample(range(*PORT_RANGE), len(range(*PORT_RANGE))):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise RehearsalError(f"no {count} ports are free between {PORT_RANGE[0]} and {PORT_RANGE[1]}")


def rehearse(scenario: Scenario, options: Options, progress: Callable[[float, Counter[str]], None]) -> Day:
    """Runs a rehearsal. Raises RehearsalError, or KeyboardInterrupt after all processes have ended."""
    return asyncio.run(Orchestrator(scenario, options, progress).run())
