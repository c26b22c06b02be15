"""A process of the kit: `python -m lanelift.rehearsal.worker`. Its first input line sets its role.

The process reads JSON lines from standard input, first its job and then commands, and writes messages as JSON
lines to standard output. The end of standard input means that the orchestrator has exited. The process then
ends everything that it has started and exits, so that no process remains after the orchestrator has crashed
or was killed.
"""

from __future__ import annotations

import asyncio
import gc
import json
import resource
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Protocol

from lanelift.rehearsal.plan import Plan, make_plan
from lanelift.rehearsal.scenario import Scenario

Json = dict[str, Any]
CHECK_INTERVAL_S = 0.02  # time between two checks of how late the process's event loop is
PROGRESS_INTERVAL_S = 0.5  # time between two progress reports of a process


class Role(Protocol):
    """The role of a process."""

    async def prepare(self) -> Json:
        """Prepares the role for the day. Returns what the orchestrator needs, such as addresses."""

    async def start(self, start_ns: int) -> None:
        """Runs the role's part of the day, which begins at `start_ns`, until it is over or cancelled."""

    async def command(self, message: Json) -> None:
        """Handles a command from the orchestrator, except start and finish."""
        ...

    def progress(self) -> Json:
        """Returns counts for the progress line; the result is empty if the role has nothing to report."""
        ...

    async def finish(self) -> Json:
        """Writes the records at the end of the day. Returns a summary."""

    async def close(self) -> None:
        """Immediately ends everything that the role has started."""


class LoopMonitor:
    """Measures how late the event loop runs, since a run is void if the kit itself was late."""

    def __init__(self) -> None:
        self.late_ms: list[float] = []

    async def run(self) -> None:
        """Measures until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.late_ms.append(1000 * max(0.0, loop.time() - due))

    def summary(self) -> Json:
        """Returns the 99th percentile and the maximum of the delays in ms."""
        late = sorted(self.late_ms) or [0.0]
        return {"p99_ms": round(late[int(0.99 * (len(late) - 1))], 3), "max_ms": round(late[-1], 3)}


def read_plan(job: Json) -> Plan:
    """Generates the plan from the scenario of a job."""
    return make_plan(Scenario.model_validate(job["scenario"]))


def _create_role(job: Json) -> Role:
    if job["role"] == "boxes":
        from lanelift.rehearsal.upstream_workers import UpstreamWorker

        return UpstreamWorker(job)
    if job["role"] == "discovery":
        from lanelift.rehearsal.upstream_workers import DiscoveryWorker

        return DiscoveryWorker(job)
    if job["role"] == "directories":
        from lanelift.rehearsal.directory_worker import DirectoryWorker

        return DirectoryWorker(job)
    if job["role"] == "load":
        from lanelift.rehearsal.generator import LoadGenerator

        return LoadGenerator(job)
    from lanelift.rehearsal.balancer_supervisor import BalancerSupervisor

    return BalancerSupervisor(job)


async def _open_stdin() -> Callable[[], Awaitable[bytes]]:
    """Returns a function that reads the next line of standard input, or b"" at its end."""
    reader = asyncio.StreamReader(limit=1 << 26)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader.readline


def send_message(message: Json) -> None:
    """Sends a message to the orchestrator."""
    sys.stdout.write(json.dumps(message, separators=(",", ":")) + "\n")
    sys.stdout.flush()


async def _main() -> None:
    readline = await _open_stdin()
    first = await readline()
    if not first:
        return
    job = json.loads(first)
    role = _create_role(job)
    monitor = LoopMonitor()

    async def run_day(start_ns: int) -> None:
        await role.start(start_ns)
        send_message({"over": job["name"]})

    async def report_progress() -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            send_message({"progress": role.progress()})

    async def receive_commands(group: asyncio.TaskGroup) -> None:
        while line := await readline():
            message = json.loads(line)
            if message["do"] == "start":
                for coroutine in (run_day(message["at_ns"]), monitor.run(), report_progress()):
                    running.append(group.create_task(coroutine))
            elif message["do"] == "finish":
                for task in running:  # the role must not act while the records are written
                    task.cancel()
                await asyncio.wait(running)
                late = monitor.summary()
                cpu = time.process_time()
                statistics = {
                    "lateness": late,
                    "cpu_s": round(cpu, 3),
                    "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
                }
                send_message({"finished": await role.finish() | statistics})
                return
            else:
                await role.command(message)

    running: list[asyncio.Task[None]] = []
    try:
        try:
            send_message({"ready": await role.prepare()})
        except OSError as error:  # raised, for example, if a port is in use or a command does not exist
            send_message({"failed": str(error)})
            return
        gc.collect()
        gc.freeze()  # the plan stays in memory: garbage collections during the day must not traverse it
        # An error in any task ends this process and is written to its log; the orchestrator notices the exit.
        async with asyncio.TaskGroup() as group:
            await receive_commands(group)
            for task in running:  # the tasks still run if the orchestrator has exited during the day
                task.cancel()
    finally:
        await role.close()


def rows_path(job: Json, name: str) -> Path:
    """Returns the path of the file to which this process writes its records of one kind."""
    return Path(job["folder"]) / f"{name}-{job.get('index', 0)}.jsonl"


if __name__ == "__main__":
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is handled by the orchestrator
    asyncio.run(_main())
