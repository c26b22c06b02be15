"""Members and contenders as processes of the program, on loopback, with the same faults as in the simulation.

A member is a `lanelift serve` process. A contender is a `lanelift lease run` process, whose task logs when it
acts (`activity_log.py`). All their messages pass through datagram proxies in this process. A schedule is
played in real time.
"""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sys
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from lanelift.faults.activity_log import LOG_SUFFIX
from lanelift.faults.datagram_proxy import LOOPBACK, Address, DatagramProxy
from lanelift.faults.schedule import LINK_STEPS, Link, Schedule, ScheduleError, Step, StepKind

LANELIFT = [sys.executable, "-c", "from lanelift.cli.main import main; main()"]
SIGNALS = {
    StepKind.STOP: signal.SIGSTOP,
    StepKind.GO: signal.SIGCONT,
    StepKind.RELEASE: signal.SIGTERM,
}
PLAYABLE_STEPS = (StepKind.KILL, StepKind.LOSE, StepKind.START, *SIGNALS, *LINK_STEPS)
POLL_S = 0.01  # interval at which this module polls the processes' output, without delaying the processes
DEFAULT_WAIT_S = 20.0
TASK_LEASES = (0.2, 4.0)  # range of a task's duration, in lengths of a lease
IGNORES_SIGTERM_PART = 0.3  # share of tasks that ignore SIGTERM
MAX_REST_S = 0.2  # maximum pause before a contender that has ended is started again


@dataclass(frozen=True, slots=True)
class ClusterTimings:
    """A cluster's timings, with the names and units of the operator's file."""

    lease_ms: int = 1000
    answer_ms: int = 60
    margin_ms: int = 300
    drift_ppm: int = 1000


@dataclass
class ProcessRecord:
    """The process of a node in the schedule.

    Attributes:
        process: The process, which may have ended.
        log: The file that contains the output of the process.
    """

    process: asyncio.subprocess.Process
    log: Path

    @property
    def running(self) -> bool:
        """Whether the process still runs; its end may not have been reported to asyncio yet."""
        return self.process.returncode is None


def free_port(kind: socket.SocketKind) -> int:
    """Returns a port on loopback that is free now; another process may still take it."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        return port


class ProcessCluster:
    """A cluster of processes. An asynchronous context manager, which ends all its processes on exit.

    Attributes:
        folder: The folder of the cluster's configuration files, state, logs and activity logs.
        voters: The names of the members, all of which vote.
        contenders: The names of the processes that compete for the lease.
        records: The present or last process of each node, by name.
        starts: How often each node was started, by name.
        proxy_by_pair: The proxy between each pair of nodes that exchange messages.
        admin_ports: Each voter's port for operators.
    """

    def __init__(
        self,
        folder: Path,
        voters: Iterable[str] = "abc",
        contenders: Iterable[str] = ("p1", "p2"),
        timings: ClusterTimings = ClusterTimings(),
        seed: int = 1,
        rates_ppm: dict[str, int] | None = None,
        environment: dict[str, str] | None = None,
    ) -> None:
        """Prepares a cluster; entering its context opens the proxies and writes the files.

        Args:
            folder: An empty folder.
            voters: The names of the members.
            contenders: The names of the processes that compete for the lease.
            timings: The timings of all processes.
            seed: Seed of the network's faults and of the contenders' tasks.
            rates_ppm: How much faster than true time each node's clock runs, in millionths, by name.
            environment: The environment of all processes; None for the environment of this process.
        """
        self.folder, self.timings = folder, timings
        self.voters, self.contenders = tuple(voters), tuple(contenders)
        self.rng = random.Random(seed)
        self.rates_ppm = rates_ppm or {}
        self.environment = environment
        self.records: dict[str, ProcessRecord] = {}
        self.starts: dict[str, int] = {}
        self.proxy_by_pair: dict[frozenset[str], DatagramProxy] = {}
        self.addresses: dict[str, Address] = {
            voter: (LOOPBACK, free_port(socket.SOCK_DGRAM)) for voter in self.voters
        }
        self.admin_ports: dict[str, int] = {voter: free_port(socket.SOCK_STREAM) for voter in self.voters}
        self.tasks: set[asyncio.Task[None]] = set()
        self.closing = False

    async def __aenter__(self) -> ProcessCluster:
        for name in (*self.voters, *self.contenders):
            for voter in self.voters:
                pair = frozenset((name, voter))
                if name != voter and pair not in self.proxy_by_pair:
                    proxy = DatagramProxy(name, voter, self.addresses, self.rng)
                    self.proxy_by_pair[pair] = proxy
                    await proxy.open()
        for name in (*self.voters, *self.contenders):
            self._write_file(name)
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.closing = True
        while not all(task.done() for task in self.tasks):  # a task may be starting a process right now
            for record in self.records.values():
                if record.running:
                    record.process.kill()
            await asyncio.wait(self.tasks, timeout=POLL_S)
        for record in self.records.values():
            if record.running:
                record.process.kill()  # the watchdog ends the task of a killed holder
                await record.process.wait()
        for proxy in self.proxy_by_pair.values():
            proxy.close()
        await asyncio.sleep(0)

    def file(self, name: str) -> Path:
        """Returns the path of a node's configuration file."""
        return self.folder / f"{name}.toml"

    def _write_file(self, name: str) -> None:
        """Writes a node's configuration file, in which the other members have the addresses of proxies."""
        rows = []
        for voter in self.voters:
            if voter == name:
                host, port = self.addresses[voter]
            else:
                host, port = self.proxy_by_pair[frozenset((name, voter))].address_of(voter)
            rows.append(f'[[fleet.member]]\nid = "{voter}"\naddress = "{host}:{port}"\n')
        me = name if name in self.voters else self.voters[0]
        timings = "\n".join(
            f"{key} = {getattr(self.timings, key)}" for key in ClusterTimings.__dataclass_fields__
        )
        operator = f'operator = "{LOOPBACK}:{self.admin_ports[me]}"\n' if name in self.voters else ""
        self.file(name).write_text(
            f'[serve]\nlisten = "{LOOPBACK}:{free_port(socket.SOCK_STREAM)}"\n{operator}'
            f'[[class]]\nname = "quote"\n[[upstream]]\nname = "box"\naddress = "{LOOPBACK}:9"\n'
            f'[fleet]\nname = "rehearsed"\nme = "{me}"\nstate = "{self.folder / "state"}"\nlog = "json"\n'
            f"clock_ahead_ms = {self.rng.randrange(10**9)}\n"
            f"clock_ppm = {self.rates_ppm.get(name, 0)}\n{timings}\n" + "".join(rows)
        )

    async def start(self, name: str, *task_arguments: str) -> ProcessRecord:
        """Starts a voter, or a contender whose task has these arguments (`activity_log.main`)."""
        number = self.starts[name] = self.starts.get(name, 0) + 1
        log = self.folder / f"{name}-{number}.log"
        if name in self.voters:
            command = [*LANELIFT, "serve", "--config", str(self.file(name))]
        else:
            lease_run = ["lease", "run", "nightly", "--config", str(self.file(name)), "--who", name]
            activity_log = str(self.activity_log(name))
            task = [sys.executable, "-m", "lanelift.faults.activity_log", activity_log, *task_arguments]
            command = [*LANELIFT, *lease_run, "--log", "json", "--", *task]
        with log.open("wb") as out:
            process = await asyncio.create_subprocess_exec(
                *command, stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out, env=self.environment
            )
        record = self.records[name] = ProcessRecord(process, log)
        return record

    async def until(self, what: str, done: Callable[[], bool], within_s: float = DEFAULT_WAIT_S) -> None:
        """Waits for an event. Raises TimeoutError, with the name of the event in its message."""
        try:
            async with asyncio.timeout(within_s):
                while not done():
                    await asyncio.sleep(POLL_S)
        except TimeoutError:  # `from None`: the traceback of the wait says nothing about the event
            raise TimeoutError(f"not within {within_s:g} s: {what}\n{self.logs()}") from None

    def logs(self) -> str:
        """Returns the output of all processes so far."""
        return "\n".join(f"--- {path.name}\n{path.read_text()}" for path in sorted(self.folder.glob("*.log")))

    def logged(self, name: str, event: str) -> bool:
        """Returns whether the log of a node's present process contains this event."""
        return f'"event": "{event}"' in self.records[name].log.read_text()

    def activity_log(self, name: str) -> Path:
        """Returns the activity log of a contender's present task."""
        return self.folder / f"{name}-{self.starts.get(name, 0)}{LOG_SUFFIX}"

    def has_acted(self, name: str) -> bool:
        """Returns whether a contender's present task has acted."""
        path = self.activity_log(name)
        return path.exists() and path.stat().st_size > 0

    async def apply_step(self, step: Step) -> None:
        """Applies one step. Raises ScheduleError for a step that is not in `PLAYABLE_STEPS`."""
        record = self.records.get(step.who)
        if step.what in (StepKind.KILL, StepKind.LOSE):
            if record is not None and record.running:
                record.process.kill()
            if step.what == StepKind.LOSE:
                with suppress(FileNotFoundError):
                    (self.folder / "state" / f"{step.who}.json").unlink()
        elif step.what == StepKind.START:
            if record is None or not record.running:
                await self.start(step.who, *self._random_task())
        elif step.what in SIGNALS:
            if record is not None and record.running:
                record.process.send_signal(SIGNALS[StepKind(step.what)])
        else:
            for link in self.links(step):
                link.change(step)

    def links(self, step: Step) -> Iterable[Link]:
        """Yields the links that a step changes."""
        for pair, proxy in self.proxy_by_pair.items():
            others = pair - {step.who}
            if step.who in pair and (not step.whom or step.whom in others):
                yield proxy.links[step.who, next(iter(others))]

    async def play(self, schedule: Schedule) -> None:
        """Plays a schedule in real time; a contender that has ended is started again.

        Raises:
            ScheduleError: A step can't be applied to processes on one machine; nothing was started.
        """
        _check_playable(schedule)
        for proxy in self.proxy_by_pair.values():
            proxy.loss, proxy.double = schedule.loss, schedule.double
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        for name in (*self.voters, *self.contenders):
            await self.start(name, *self._random_task())
        self.tasks.update([loop.create_task(self._restart_when_ended(name)) for name in self.contenders])
        for step in schedule.steps:
            await asyncio.sleep(max(0.0, start_s + step.at_ms / 1000 - loop.time()))
            await self.apply_step(step)
        await asyncio.sleep(max(0.0, start_s + schedule.until_ms / 1000 - loop.time()))

    def _random_task(self) -> tuple[str, ...]:
        """Draws the arguments of a task: its duration, and whether it ignores SIGTERM."""
        duration_s = self.rng.uniform(*TASK_LEASES) * self.timings.lease_ms / 1000
        ignores_sigterm = self.rng.random() < IGNORES_SIGTERM_PART
        return (f"{duration_s:.3f}", *(["stubborn"] if ignores_sigterm else []))

    async def _restart_when_ended(self, name: str) -> None:
        """Starts a contender again whenever it has ended, until the cluster closes."""
        while not self.closing:
            await self.records[name].process.wait()
            await asyncio.sleep(self.rng.random() * MAX_REST_S)
            if not self.records[name].running and not self.closing:
                await self.start(name, *self._random_task())


def _check_playable(schedule: Schedule) -> None:
    """Raises ScheduleError for the first step that can't be applied to processes on one machine."""
    for number, step in enumerate(schedule.steps):
        if step.what not in PLAYABLE_STEPS:
            key, found = f"steps[{number}].what", str(step.what)
            text = f"{key}: found {found!r}; allowed among processes: {', '.join(PLAYABLE_STEPS)}"
            raise ScheduleError(text, key, found)
