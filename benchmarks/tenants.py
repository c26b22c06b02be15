"""Measures tenants from directories: `python benchmarks/tenants.py COMMAND --out FILE.json`. The commands are
suspensions, outage, large and change.

The machine should do nothing else. The findings are in benchmarks/tenants.md.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import queue
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from statistics import mean, median
from typing import Any

import click
import psutil
from rehearsal import out_option, run_rehearsal, write_json

from lanelift.net.dispatch import Dispatcher
from lanelift.net.upstreams import Upstreams
from lanelift.policy.events import TenantUpdate
from lanelift.policy.settings import RequestClass, Settings, Tenant, UnknownTenants
from lanelift.standins.directory import Directory as StandIn
from lanelift.standins.ldap import Tree
from lanelift.tenants.entries import AttributeMap
from lanelift.tenants.sync_config import Directory, Search, SyncConfig
from lanelift.tenants.sync_messages import Configure, SyncMessage, decoded, encoded
from lanelift.tenants.sync_process import SyncProcess, TenantSource

BASE = "ou=agents,dc=trust,dc=example"
MAP = AttributeMap(standing="agentStanding", share="agentShare", quota="agentQuota", classes="agentClass")
TICK_S = 0.001  # time between two measurements of the event loop's lateness
STEADY_S = 10.0
IDLE_S = 20.0  # idle time, as long as a first reading, which shows the lateness that the machine alone causes
# Wait after the first reading, during which entries that were loaded within one second are read again.
SETTLE_S = 45.0


@click.group()
def main() -> None:
    """Measure tenants from directories."""


# ---- rehearsals ------------------------------------------------------------------------------------------


@main.command()
@out_option
@click.option("--times", default=2)
def suspensions(out: Path, times: int) -> None:
    """Measure 50 suspensions under load, while the preferred directory fails twice."""
    found = []
    for seed in range(1, times + 1):
        v = run_rehearsal("suspension", "--seed", str(seed))["verdict"]
        found.append({key: v[key] for key in ("void", "worth", "suspensions", "rules", "requests")})
        s = v["suspensions"]
        click.echo(
            f"seed {seed}: {s['count']} suspensions, last request sent after {s['median_s']:.2f} s in the "
            f"median, {s['max_s']:.2f} s at most; void {bool(v['void'])}, rules kept {v['rules']['kept']}, "
            f"{v['requests']}"
        )
    write_json(out, found)


DAY = """
name = "outage"
length_s = 40
[fleet]
boxes = 20
balancers = 2
[load]
rate = 100
[clients]
walk_off = 0.0
[directory]
unknown = "deny"
"""
FAULT = '[[fault]]\nkind = "directory"\nat_s = 5\nlen_s = 30\nhow = "{}"\n'


@main.command()
@out_option
@click.option("--at-once", default=2, help="Number of concurrent rehearsals.")
def outage(out: Path, at_once: int) -> None:
    """Run the same day twice with directories that answer, and with ones that fail for 30 of its 40 s."""
    kinds = ["none", "none again", "refused", "silent", "slow", "garbage", "trickle", "empty"]
    with tempfile.TemporaryDirectory() as folder:

        def one(kind: str) -> dict[str, Any]:
            path = Path(folder, f"{kind.replace(' ', '-')}.toml")
            path.write_text(DAY + ("" if kind.startswith("none") else FAULT.format(kind)))
            return run_rehearsal(path)

        with ThreadPoolExecutor(at_once) as pool:
            reports = dict(zip(kinds, pool.map(one, kinds), strict=True))
    first, found = reports["none"]["outcomes"], {}
    for kind, report in reports.items():
        v = report["verdict"]
        differ = sum(a != b for a, b in zip(first, report["outcomes"], strict=True))
        counts = {letter: report["outcomes"].count(letter) for letter in sorted(set(report["outcomes"]))}
        found[kind] = {"differ": differ, "outcomes": counts, "void": v["void"], "kept": v["rules"]["kept"]}
        click.echo(f"{kind:12}{differ:5} of {len(first)} outcomes differ from the first run's; {counts}; "
                   f"void {bool(v['void'])}, rules kept {v['rules']['kept']}")  # fmt: skip
    write_json(out, found)


# ---- 50,000 tenants --------------------------------------------------------------------------------------


def stamp() -> str:
    return time.strftime("%Y%m%d%H%M%SZ", time.gmtime())


@main.command(hidden=True)
@click.argument("count", type=int)
def standin(count: int) -> None:
    """Run a stand-in directory with COUNT agents. Each line of its input suspends that number of them."""

    async def serve() -> None:
        tree = Tree(BASE)
        for i in range(count):
            rows = {
                "objectClass": "agent",
                "cn": f"agent-{i:05d}",
                "agentStanding": "active",
                "agentShare": "1.5",
                "agentQuota": "40",
                "agentClass": ["fee-quote", "rate-lookup"],
            }
            tree.put(f"cn=agent-{i:05d},{BASE}", rows, "20260101000000Z")
        directory = StandIn(tree)
        print(await directory.start(), flush=True)
        loop = asyncio.get_running_loop()
        while line := await loop.run_in_executor(None, sys.stdin.readline):
            for i in range(int(line)):
                tree.change(f"cn=agent-{i:05d},{BASE}", stamp(), agentStanding="suspended")
            print("changed", flush=True)
        directory.stop()

    asyncio.run(serve())


class EventLoopProbe:
    """Measures how late the event loop's ticks are, and the processor time of its thread between two ticks.
    The processor time does not depend on the machine's other work."""

    def __init__(self) -> None:
        self.late_ms: list[float] = []
        self.work_ms: list[float] = []
        self.skip = False  # whether to leave out the current tick, because `summary` has delayed it

    async def measure_ticks(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, worked = loop.time() + TICK_S, time.thread_time()
            await asyncio.sleep(TICK_S)
            if self.skip:
                self.skip = False
                continue
            self.late_ms.append(1000 * max(0.0, loop.time() - due))
            self.work_ms.append(1000 * (time.thread_time() - worked))

    def summary(self) -> dict[str, float]:
        late, self.late_ms = sorted(self.late_ms), []
        work, self.work_ms = sorted(self.work_ms), []
        self.skip = True  # the sorting above takes ten milliseconds, which delays the current tick
        return {
            "late_max_ms": round(late[-1], 2),
            "late_p99_ms": round(late[int(0.99 * len(late))], 2),
            "work_max_ms": round(work[-1], 2),
        }


def sync_config(port: int) -> SyncConfig:
    at = Directory("127.0.0.1", port, "none", True, "", "", "", 10.0)
    search = Search(BASE, "(objectClass=agent)", tuple(MAP.attribute_names()), 500)
    return SyncConfig((at,), search, MAP, 1.0, 3600.0, 300.0, 0.1, frozenset())


class InThreadSync(SyncProcess):
    """The alternative design, for comparison: the sync worker runs as a thread of the balancer's process."""

    def start(self) -> None:
        from lanelift.tenants.sync_worker import SyncWorker

        loop = asyncio.get_running_loop()
        lines: queue.SimpleQueue[bytes] = queue.SimpleQueue()

        def take() -> None:
            with suppress(queue.Empty):
                self._receive(decoded(lines.get_nowait()))

        def send(message: SyncMessage) -> None:
            lines.put(encoded(message))
            loop.call_soon_threadsafe(take)

        worker = SyncWorker(send)
        worker.events.put(lambda: worker.configure(Configure(self.source.config)))

        def work() -> None:
            while not worker.stopping:
                worker.step()

        threading.Thread(target=work, daemon=True).start()


async def measure_large(count: int, changed: int, kind: type[SyncProcess], settle_s: float) -> dict[str, Any]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, __file__, "standin", str(count),
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert process.stdout and process.stdin
    port = int(await process.stdout.readline())
    me = psutil.Process()
    settings = Settings(classes={"fee-quote": RequestClass("fee-quote")})
    dispatcher = Dispatcher(settings, 1, Upstreams(settings.limits, 100, ()))
    gc.collect()
    gc.freeze()  # the balancer also freezes its objects at its start
    before = me.memory_info().rss
    sync = kind(dispatcher, TenantSource(sync_config(port), UnknownTenants.DENY, 0.0))
    probe = EventLoopProbe()
    task = asyncio.create_task(probe.measure_ticks())
    await asyncio.sleep(IDLE_S)
    found: dict[str, Any] = {"idle": probe.summary()}
    began = time.monotonic()
    sync.start()
    while not sync.first_read_complete:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.2)
    found["first_reading_s"] = round(time.monotonic() - began - 0.2, 2)
    found["first_reading"] = probe.summary()
    found["memory_kb_per_10000"] = round((me.memory_info().rss - before) / 1024 / count * 10_000)
    reader = psutil.Process(sync.process.pid) if sync.process else None
    await asyncio.sleep(settle_s + 0.1)
    found["after"] = probe.summary()
    if reader:
        found["reader_mb"] = round(reader.memory_info().rss / 2**20, 1)
    task.cancel()  # stopped, as the probe's ticks would be counted as work of the balancer
    used = (me.cpu_times(), reader.cpu_times() if reader else None)
    await asyncio.sleep(STEADY_S)
    later = (me.cpu_times(), reader.cpu_times() if reader else None)
    found["steady_cpu_part"] = {
        name: round((b.user + b.system - a.user - a.system) / STEADY_S, 4)
        for name, a, b in zip(("balancer", "reader"), used, later, strict=True)
        if a and b
    }
    task = asyncio.create_task(probe.measure_ticks())
    process.stdin.write(b"%d\n" % changed)
    await process.stdout.readline()
    began = time.monotonic()
    while sum(t.denial_reason != "" for t in dispatcher.tenants.values()) < changed:
        await asyncio.sleep(0.05)
    found["change_s"] = round(time.monotonic() - began, 2)
    found["change"] = probe.summary()
    task.cancel()
    sync.close()
    process.kill()
    await process.wait()
    return found


@main.command()
@out_option
@click.option("--count", default=50_000)
@click.option("--changed", default=5_000)
@click.option("--times", default=3)
@click.option("--settle-s", default=SETTLE_S)
@click.option("--thread", is_flag=True, help="Run the sync worker as a thread of the same process.")
def large(out: Path, count: int, changed: int, times: int, thread: bool, settle_s: float) -> None:
    """Measure the event loop during a first reading, in a steady state, and while some tenants change."""
    logging.disable(logging.WARNING)
    found = []
    for _ in range(times):
        if thread:  # use `--times 1` and a new process for each run, as memory is measured
            found.append(asyncio.run(measure_large(count, changed, InThreadSync, settle_s)))
        else:
            found.append(asyncio.run(measure_large(count, changed, SyncProcess, settle_s)))
        click.echo(json.dumps(found[-1]))
    write_json(out, found)
    os._exit(0)  # the threads of the alternative design still run


# ---- effect of changes on other tenants ------------------------------------------------------------------


@main.command()
@out_option
@click.option("--seeds", default=10)
def change(out: Path, seeds: int) -> None:
    """Simulate two tenants beside one that is added, removed, changed and suspended; compare their shares."""
    sys.path.insert(0, str(Path(__file__).parents[1]))
    from tests.policy.test_directory import simulate as day
    from tests.policy.test_directory import tenant_update

    news: dict[float, TenantUpdate] = {0.5: tenant_update(deny=True)}
    for i in range(1, 59):
        news[float(i)] = [
            tenant_update(removed=("cedar",)),
            tenant_update(Tenant("cedar", 5.0)),
            tenant_update(Tenant("cedar", 0.2, denial_reason="suspended")),
            tenant_update(Tenant("cedar", 1.0)),
        ][i % 4]
    found = []
    for seed in range(1, seeds + 1):
        calm, busy = day({}, seed, 60.0), day(news, seed, 60.0)
        found.append({name: [calm.share(name), busy.share(name)] for name in ("ash", "birch")})
    for name in ("ash", "birch"):
        changes = [row[name][1] - row[name][0] for row in found]
        click.echo(
            f"{name}: {mean(row[name][0] for row in found):.4f} without, "
            f"{mean(row[name][1] for row in found):.4f} with; change {min(changes):+.4f} to "
            f"{max(changes):+.4f}, median {median(changes):+.4f}"
        )
    write_json(out, found)


if __name__ == "__main__":
    main()
