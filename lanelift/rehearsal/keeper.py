"""The process that keeps the balancers: it starts each as in service, signals them as planned, and measures
them.

Balancers never outlive it: on Linux the kernel ends them when it goes, however it went (`PR_SET_PDEATHSIG`,
a wish of the child for itself that asks for no privilege).
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

from lanelift.rehearsal.plan import Plan, settings
from lanelift.rehearsal.records import Life, Used, write_rows
from lanelift.rehearsal.serving import operator_file
from lanelift.rehearsal.worker import Json, read_plan, rows_path, say
from lanelift.standins.seeded_random import keyed_digest

READY_S = 30.0  # clients come when all balancers are ready, or after this (DEPLOY, 'Limits')
LOOK_S = 0.02  # between two looks at /ready: nothing tells of it by itself
SAMPLE_S = 0.5
LEAVE_S = 0.7  # SIGKILL comes this much after the longest deadline that follows SIGTERM (PROTOCOL, 'Figures')
SERVE = "from lanelift.cli.main import main; main()"  # `lanelift`, by the interpreter that runs the kit
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)  # before any fork: nothing may be loaded between fork and exec


def _die_with_parent() -> None:
    if sys.platform == "linux":
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(slots=True, eq=False)
class Run:
    """One life of a balancer's process."""

    process: asyncio.subprocess.Process
    up_ns: int
    planned: str = ""  # why it will end: kill, term, finish
    watched: psutil.Process | None = None


@dataclass(slots=True, eq=False)
class Balancer:
    number: int
    address: str
    config: Json
    starts: int = 0
    run: Run | None = None
    watcher: asyncio.Task[None] | None = None


@dataclass(slots=True)
class Keeper:
    """All balancers of a rehearsal."""

    job: Json
    plan: Plan = field(init=False)
    balancers: list[Balancer] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    used: list[Used] = field(default_factory=list)
    group: asyncio.TaskGroup | None = None  # of what is done to balancers during the day

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
                        "settings": settings(self.plan, number),
                    },
                )
            )

    async def prepare(self) -> Json:
        for balancer in self.balancers:
            await self._start(balancer)
        ready = await asyncio.gather(*(self._ready(b, READY_S) for b in self.balancers))
        return {"ready": ready}

    async def start(self, start_ns: int) -> None:
        loop = asyncio.get_running_loop()
        for order in self.plan.orders:
            if order.balancer >= 0 and order.what in ("kill", "restart", "hup"):
                delay = max(0.0, (start_ns + order.at_ns - time.monotonic_ns()) / 1e9)
                loop.call_later(
                    delay, self._order, self.balancers[order.balancer], order.what, order.back_ns / 1e9
                )
        async with asyncio.TaskGroup() as self.group:
            while True:
                self._sample()
                await asyncio.sleep(SAMPLE_S)

    async def command(self, message: Json) -> None:
        """Nothing is asked of it."""

    def progress(self) -> Json:
        return {}

    async def finish(self) -> Json:
        self._sample()
        await asyncio.gather(*(self._stop(b, "finish") for b in self.balancers))
        write_rows(rows_path(self.job, "lives"), self.lives)
        write_rows(rows_path(self.job, "used"), self.used)
        return {}

    async def close(self) -> None:
        for balancer in self.balancers:
            if balancer.run is not None and balancer.run.process.returncode is None:
                balancer.run.planned = "finish"
                with suppress(ProcessLookupError):
                    balancer.run.process.kill()
        for balancer in self.balancers:
            if balancer.watcher is not None:
                await balancer.watcher

    # ---- one balancer -----------------------------------------------------------------------------------

    async def _start(self, balancer: Balancer) -> None:
        folder = Path(self.job["folder"])
        seed = keyed_digest(self.plan.scenario.seed, "balancer", balancer.number, balancer.starts)
        words = shlex.split(self.job["command"])
        if self.plan.scenario.directory is None:
            path = folder / f"balancer-{balancer.number}.json"
            balancer.config["seed"] = seed
            path.write_text(json.dumps(balancer.config))
            words = words or [sys.executable, "-m", "lanelift"]
        else:
            path = folder / f"balancer-{balancer.number}.toml"
            where = balancer.address, balancer.config["discovery"], self.job["directories"]
            path.write_text(operator_file(self.plan, balancer.number, seed, *where))
            words = words or [sys.executable, "-c", SERVE, "serve", "--config", str(path)]
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
                *words,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=_die_with_parent,
            )
        run = Run(process, time.monotonic_ns())
        with suppress(psutil.Error):
            run.watched = psutil.Process(process.pid)
        balancer.run = run
        balancer.watcher = asyncio.create_task(self._watch(balancer, run))

    async def _watch(self, balancer: Balancer, run: Run) -> None:
        code = await run.process.wait()
        self.lives.append(Life(balancer.number, run.up_ns, time.monotonic_ns(), run.planned or "crash", code))
        if run.planned != "finish":
            say({"event": "down", "balancer": balancer.number, "why": run.planned or "crash"})

    async def _ready(self, balancer: Balancer, within_s: float) -> bool:
        """Until `GET /ready` has answered 200; False: it did not in time, or has ended."""
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
            await asyncio.sleep(LOOK_S)
        return False

    def _order(self, balancer: Balancer, what: str, back_s: float) -> None:
        if balancer.run is None or balancer.run.process.returncode is not None:
            return
        if what == "hup":
            balancer.run.process.send_signal(signal.SIGHUP)
            return
        assert self.group is not None
        self.group.create_task(self._again(balancer, "kill" if what == "kill" else "term", back_s))

    async def _again(self, balancer: Balancer, how: str, back_s: float) -> None:
        if how == "term":
            say({"event": "leaving", "balancer": balancer.number})
        await self._stop(balancer, how)
        await asyncio.sleep(back_s)
        await self._start(balancer)
        if await self._ready(balancer, READY_S):
            say({"event": "up", "balancer": balancer.number})

    async def _stop(self, balancer: Balancer, how: str) -> None:
        run = balancer.run
        if run is None or run.process.returncode is not None:
            return
        run.planned = how
        if how == "kill":
            run.process.kill()
        else:
            run.process.terminate()
        longest_s = max(c.deadline_ms for c in self.plan.scenario.classes) / 1000
        try:
            async with asyncio.timeout(max(longest_s, 3.0) + LEAVE_S):
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
            if run is None or run.watched is None or run.process.returncode is not None:
                continue
            with suppress(psutil.Error), run.watched.oneshot():
                times = run.watched.cpu_times()
                self.used.append(
                    Used(
                        now,
                        balancer.number,
                        times.user + times.system,
                        round(run.watched.memory_info().rss / 2**20, 2),
                        run.watched.num_fds(),
                    )
                )
