"""Supervises the balancers: starts each as in production, signals them as planned, and samples their usage.

Balancers never outlive this process: on Linux the kernel kills them when the process exits for any reason
(`PR_SET_PDEATHSIG`, which each child sets for itself and which needs no privilege).
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import shlex
import signal
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import psutil

from lanelift.rehearsal.operator_config import operator_file
from lanelift.rehearsal.plan import Plan, balancer_settings
from lanelift.rehearsal.records import ProcessRun, ResourceSample, write_rows
from lanelift.rehearsal.worker import Json, read_plan, rows_path, send_message
from lanelift.standins.seeded_random import keyed_digest

READY_TIMEOUT_S = 30.0  # a balancer has failed if it takes longer to become ready (DEPLOY, 'Limits')
READY_POLL_S = 0.02  # time between two polls of /ready, since a balancer does not announce its readiness
SAMPLE_INTERVAL_S = 0.5  # time between two samples of the resource usage
# SIGKILL follows SIGTERM after this time plus the longest of the classes' deadlines (PROTOCOL, 'Figures').
TERMINATION_GRACE_S = 0.7
SERVE_CODE = "from lanelift.cli.main import main; main()"  # runs `lanelift` with the interpreter of the kit
PR_SET_PDEATHSIG = 1
# The C library is loaded before any fork, since nothing may be loaded between fork and exec.
LIBC = ctypes.CDLL(None)


def _kill_with_parent() -> None:
    if sys.platform == "linux":
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(slots=True, eq=False)
class RunningProcess:
    """A running process of a balancer."""

    process: asyncio.subprocess.Process
    started_ns: int
    expected_end: str = ""  # how the kit ends the process: kill, term or finish; "" until the kit ends it
    psutil_process: psutil.Process | None = None


@dataclass(slots=True, eq=False)
class Balancer:
    """A balancer and the process that runs it at present."""

    number: int
    address: str
    config: Json
    starts: int = 0
    run: RunningProcess | None = None
    watcher: asyncio.Task[None] | None = None


@dataclass(slots=True)
class BalancerSupervisor:
    """The role that runs all balancers of a rehearsal."""

    job: Json
    plan: Plan = field(init=False)
    balancers: list[Balancer] = field(default_factory=list)
    process_runs: list[ProcessRun] = field(default_factory=list)
    resource_samples: list[ResourceSample] = field(default_factory=list)
    group: asyncio.TaskGroup | None = None  # the tasks that execute commands during the day

    def __post_init__(self) -> None:
        self.plan = read_plan(self.job)
        for number, address in enumerate(self.job["listen"]):
            self.balancers.append(
                Balancer(
                    number,
                    address,
                    {
                        "name": f"n{number}",
                        "listen": address,
                        "discovery": self.job["discovery"][number],
                        "limits": {
                            "cores": 1.0,
                            "memory_mb": 192,
                            "sockets": self.plan.scenario.limits.sockets,
                        },
                        "known": self.job["known"],
                        "settings": balancer_settings(self.plan, number),
                    },
                )
            )

    async def prepare(self) -> Json:
        for balancer in self.balancers:
            await self._start(balancer)
        ready = await asyncio.gather(*(self._wait_ready(b, READY_TIMEOUT_S) for b in self.balancers))
        return {"ready": ready}

    async def start(self, start_ns: int) -> None:
        loop = asyncio.get_running_loop()
        for command in self.plan.commands:
            if command.balancer >= 0 and command.action in ("kill", "restart", "hup"):
                delay = max(0.0, (start_ns + command.at_ns - time.monotonic_ns()) / 1e9)
                loop.call_later(
                    delay,
                    self._execute,
                    self.balancers[command.balancer],
                    command.action,
                    command.back_ns / 1e9,
                )
        async with asyncio.TaskGroup() as self.group:
            while True:
                self._sample()
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def command(self, message: Json) -> None:
        """Does nothing: this role has no further commands."""

    def progress(self) -> Json:
        return {}

    async def finish(self) -> Json:
        self._sample()
        await asyncio.gather(*(self._stop(b, "finish") for b in self.balancers))
        write_rows(rows_path(self.job, "lives"), self.process_runs)
        write_rows(rows_path(self.job, "used"), self.resource_samples)
        return {}

    async def close(self) -> None:
        for balancer in self.balancers:
            if balancer.run is not None and balancer.run.process.returncode is None:
                balancer.run.expected_end = "finish"
                with suppress(ProcessLookupError):
                    balancer.run.process.kill()
        for balancer in self.balancers:
            if balancer.watcher is not None:
                await balancer.watcher

    # ---- one balancer -----------------------------------------------------------------------------------

    async def _start(self, balancer: Balancer) -> None:
        folder = Path(self.job["folder"])
        seed = keyed_digest(self.plan.scenario.seed, "balancer", balancer.number, balancer.starts)
        arguments = shlex.split(self.job["command"])
        if self.plan.scenario.directory is None:
            path = folder / f"balancer-{balancer.number}.json"
            balancer.config["seed"] = seed
            path.write_text(json.dumps(balancer.config))
            arguments = arguments or [sys.executable, "-m", "lanelift"]
        else:
            path = folder / f"balancer-{balancer.number}.toml"
            addresses = balancer.address, balancer.config["discovery"], self.job["directories"]
            path.write_text(operator_file(self.plan, balancer.number, seed, *addresses))
            arguments = arguments or [sys.executable, "-c", SERVE_CODE, "serve", "--config", str(path)]
        balancer.starts += 1
        environment = {
            **os.environ,
            "BALANCER_CONFIG": str(path),
            "BALANCER_NAME": balancer.config["name"],
            "BALANCER_LISTEN": balancer.address,
            "BALANCER_DISCOVERY": balancer.config["discovery"],
        }
        with (folder / f"balancer-{balancer.number}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *arguments,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=_kill_with_parent,
            )
        run = RunningProcess(process, time.monotonic_ns())
        with suppress(psutil.Error):
            run.psutil_process = psutil.Process(process.pid)
        balancer.run = run
        balancer.watcher = asyncio.create_task(self._watch(balancer, run))

    async def _watch(self, balancer: Balancer, run: RunningProcess) -> None:
        """Records the end of a process, and reports this event unless the day is over."""
        exit_code = await run.process.wait()
        self.process_runs.append(
            ProcessRun(
                balancer.number, run.started_ns, time.monotonic_ns(), run.expected_end or "crash", exit_code
            )
        )
        if run.expected_end != "finish":
            send_message({"event": "down", "balancer": balancer.number, "why": run.expected_end or "crash"})

    async def _wait_ready(self, balancer: Balancer, within_s: float) -> bool:
        """Waits until `GET /ready` answers 200. Returns False on a timeout or if the process has ended."""
        host, _, port = balancer.address.rpartition(":")
        until = time.monotonic() + within_s
        while (
            time.monotonic() < until and balancer.run is not None and balancer.run.process.returncode is None
        ):
            with suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    try:
                        writer.write(
                            b"GET /ready HTTP/1.1\r\nHost: rehearsal.local\r\nConnection: close\r\n\r\n"
                        )
                        if (await reader.readuntil(b"\r\n")).split()[1:2] == [b"200"]:
                            return True
                    finally:
                        writer.close()
            await asyncio.sleep(READY_POLL_S)
        return False

    def _execute(self, balancer: Balancer, action: str, restart_after_s: float) -> None:
        """Executes a command of the plan, unless the balancer is down."""
        if balancer.run is None or balancer.run.process.returncode is not None:
            return
        if action == "hup":
            balancer.run.process.send_signal(signal.SIGHUP)
            return
        assert self.group is not None
        self.group.create_task(
            self._restart(balancer, "kill" if action == "kill" else "term", restart_after_s)
        )

    async def _restart(self, balancer: Balancer, end_reason: str, restart_after_s: float) -> None:
        if end_reason == "term":
            send_message({"event": "leaving", "balancer": balancer.number})
        await self._stop(balancer, end_reason)
        await asyncio.sleep(restart_after_s)
        await self._start(balancer)
        if await self._wait_ready(balancer, READY_TIMEOUT_S):
            send_message({"event": "up", "balancer": balancer.number})

    async def _stop(self, balancer: Balancer, end_reason: str) -> None:
        """Ends the process of a balancer: with SIGKILL if `end_reason` is kill, else with SIGTERM."""
        run = balancer.run
        if run is None or run.process.returncode is not None:
            return
        run.expected_end = end_reason
        if end_reason == "kill":
            run.process.kill()
        else:
            run.process.terminate()
        longest_s = max(c.deadline_ms for c in self.plan.scenario.classes) / 1000
        try:
            async with asyncio.timeout(max(longest_s, 3.0) + TERMINATION_GRACE_S):
                await run.process.wait()
        except TimeoutError:
            run.process.kill()
            await run.process.wait()
        if balancer.watcher is not None:
            await balancer.watcher

    def _sample(self) -> None:
        now = time.monotonic_ns()
        for balancer in self.balancers:
            run = balancer.run
            if run is None or run.psutil_process is None or run.process.returncode is not None:
                continue
            with suppress(psutil.Error), run.psutil_process.oneshot():
                times = run.psutil_process.cpu_times()
                self.resource_samples.append(
                    ResourceSample(
                        now,
                        balancer.number,
                        times.user + times.system,
                        round(run.psutil_process.memory_info().rss / 2**20, 2),
                        run.psutil_process.num_fds(),
                    )
                )
