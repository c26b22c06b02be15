"""Checks leases under faults: a small model in full, schedules in simulated time, and runs of processes.

    python -m benchmarks.leases model
    python -m benchmarks.leases mistakes
    python -m benchmarks.leases schedules [--count 20000] [--jobs 8]
    python -m benchmarks.leases processes [--count 200] [--jobs 4]
    python -m benchmarks.leases idle [--seconds 20]
    python -m benchmarks.leases play FILE [--world simulated|processes]

Each command prints its results. The exit code is 1 if two held the lease at the same time, a token decreased,
or a task acted too late; for `mistakes` it is the number of planted mistakes that were not found.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import psutil

from lanelift.faults.activity_log import overlapping_pairs, read_intervals, token_regressions
from lanelift.faults.model_checker import explore
from lanelift.faults.process_cluster import ClusterTimings, ProcessCluster
from lanelift.faults.random_schedule import random_schedule
from lanelift.faults.schedule import Schedule, ScheduleError, Step, from_json
from lanelift.faults.shrinking import shrink
from lanelift.fleet.cluster import MS, LeaseTiming
from lanelift.fleet.codec import encode
from lanelift.leases.client import ClientState
from lanelift.leases.member import VotingMember
from lanelift.leases.model import Model
from lanelift.leases.model_nodes import EVEN, FAST, SLOW, Bounds
from lanelift.leases.proposer import Proposer
from lanelift.leases.simulation import HolderNode, LeaseSimulation, simulate

TIMING = LeaseTiming(lease_ns=1000 * MS, response_timeout_ns=60 * MS, stop_margin_ns=200 * MS, drift=0.01)
UNTIL_MS = 15_000
RENEWS = Bounds(ticks=3, restarts=0, prepares=(1, 2), accepts=(2, 1))
BOUNDS = {
    "a restart, a second try": Bounds(ticks=3, restarts=1, prepares=(1, 2)),
    "a release": Bounds(ticks=2, restarts=0, releases=(1, 0)),
    "a renewal": RENEWS,
    "each voter reached by both": Bounds(ticks=2, restarts=0, reached=((0, 1, 2), (0, 1, 2))),
    "clocks apart the other way": Bounds(
        ticks=4, restarts=0, voter_rates=(SLOW, EVEN, FAST), proposer_rates=(SLOW, FAST)
    ),
}


def model() -> int:
    """Explores the small model within each of `BOUNDS`; returns 1 if it violates a rule."""
    wrong = 0
    for name, bounds in BOUNDS.items():
        began = time.monotonic()
        small = Model(bounds)
        found = explore(small.initial_states(), small.successors, small.violation_in, 4_000_000)
        print(
            f"{name:28}{found.states:10,} states {found.steps:12,} steps {time.monotonic() - began:7.1f} s  "
            f"{'complete' if found.complete else 'incomplete'}  {found.violation or 'no violation'}",
            flush=True,
        )
        wrong += bool(found.violation)
    return int(bool(wrong))


def mistakes() -> int:
    """Prints the shortest counterexample for each planted mistake; returns how many were not found."""
    from tests.leases.mistakes import MEMBERS, PROPOSERS
    from tests.leases.test_model import BOUNDS_BY_MISTAKE, HOLDS, NOT_EXPLORED_HERE

    missed = 0
    for name in (*MEMBERS, *PROPOSERS):
        bounds = RENEWS if name in NOT_EXPLORED_HERE else BOUNDS_BY_MISTAKE.get(name, HOLDS)
        planted = {
            "member_class": MEMBERS.get(name, VotingMember),
            "proposer_class": PROPOSERS.get(name, Proposer),
        }
        small = type("Planted", (Model,), planted)(bounds)
        found = explore(small.initial_states(), small.successors, small.violation_in, 4_000_000)
        print(
            f"{name}: {found.violation or 'not found'}, {found.states:,} states, "
            f"{len(found.counterexample)} steps",
            flush=True,
        )
        print("".join(f"    {step}\n" for step in found.counterexample), end="")
        missed += not found.violation
    return missed


def schedule(seed: int) -> Schedule:
    """Returns the schedule of a seed. In every fourth schedule, the list of voters changes."""
    return random_schedule(
        seed, 3 + 2 * (seed % 2), 2 + seed % 3, UNTIL_MS, 1000, TIMING.drift, plans=seed % 4 == 0
    )


def schedule_row(seed: int) -> tuple[int, list[str], int, int, int, int, int, float]:
    """Plays the schedule of a seed; returns the seed, the breaches, five counts and the length in seconds."""
    world = LeaseSimulation(schedule(seed), TIMING)
    world.play()
    found = world.findings
    return (
        seed,
        found.breaches,
        len(found.holdings),
        found.acts,
        found.late_acts,
        found.fenced,
        world.messages,
        UNTIL_MS / 1000,
    )


class HolderKillSimulation(LeaseSimulation):
    """Kills the holder when all other contenders are waiting for the lease; there are no other faults."""

    wait_timeouts = (None,)
    killed_ns = 0

    def after_event(self) -> None:
        super().after_event()
        if self.killed_ns or not self.held_tokens or self.now < 4_000 * MS:
            return
        (holder,) = self.held_tokens
        others = [self.slots[name].node for name in self.schedule.contenders if name != holder]
        if all(
            isinstance(n, HolderNode) and n.client.state is ClientState.ACQUIRING and n.client.attempts
            for n in others
        ):
            self.killed_ns = self.now
            self._apply_step(Step(self.now // MS, "kill", holder))


def failover_ns(seed: int) -> int | None:
    """Returns the time in ns from a holder's kill to the next holding; None if either did not occur."""
    world = HolderKillSimulation(Schedule(seed, tuple("abcde"), ("p1", "p2", "p3"), UNTIL_MS), TIMING)
    world.play()
    after = [at for at, *_ in world.findings.holdings if at > world.killed_ns]
    return after[0] - world.killed_ns if world.killed_ns and after else None


class SteadyHolderSimulation(LeaseSimulation):
    """One holder keeps the lease, without faults: measures the cost of holding."""

    wait_timeouts = (None,)
    task = (1e6, 1e6)
    bytes = 0

    def _send(self, sender: str, recipient: str, message: Any) -> None:
        self.bytes += len(encode(*message))
        super()._send(sender, recipient, message)


def holding_cost(voters: int, timing: LeaseTiming) -> tuple[float, float]:
    """Returns how many messages and bytes all nodes send per second while one node holds the lease."""
    lease_s = timing.lease_ns / 1e9
    world = SteadyHolderSimulation(
        Schedule(1, tuple("abcdefghi"[:voters]), ("p1",), int(40_000 * lease_s)), timing
    )
    world.schedule = replace(world.schedule, until_ms=int(10_000 * lease_s))
    world.play()
    messages, size = world.messages, world.bytes
    world.schedule = replace(world.schedule, until_ms=int(40_000 * lease_s))
    world.play()
    return (world.messages - messages) / (30 * lease_s), (world.bytes - size) / (30 * lease_s)


def schedules(count: int, jobs: int) -> int:
    """Runs seeded schedules, kills holders, measures the cost of holding; returns 1 if a rule was broken."""
    began = time.monotonic()
    with multiprocessing.Pool(jobs) as pool:
        rows = pool.map(schedule_row, range(count), chunksize=20)
        waits = sorted(
            w for w in pool.map(failover_ns, range(min(count, 2000)), chunksize=20) if w is not None
        )
    for voters in (3, 5):
        messages, size = holding_cost(voters, LeaseTiming())
        print(
            f"holding, {voters} voters, a lease of 10 s: {messages:.2f} messages, {size:.0f} bytes per second"
        )
    breached = [row for row in rows if row[1]]
    seconds = sum(row[7] for row in rows)
    print(
        f"{count:,} schedules of {UNTIL_MS / 1000:g} s in {time.monotonic() - began:.0f} s: "
        f"{sum(row[2] for row in rows):,} holdings, {len(breached)} schedules with a breach"
    )
    print(
        f"{sum(row[3] for row in rows):,} acts, {sum(row[4] for row in rows)} after the lease's end (stopped "
        f"between check and act), {sum(row[5] for row in rows)} of these refused because of their token"
    )
    print(f"{sum(row[6] for row in rows) / seconds:.1f} messages per second of all nodes, under faults")
    if waits:
        print(
            f"without a holder after {len(waits)} deaths: p50 {statistics.median(waits) / MS:.0f}, p99 "
            f"{waits[int(0.99 * (len(waits) - 1))] / MS:.0f}, max {waits[-1] / MS:.0f} ms; bound "
            f"{TIMING.failover_bound_ns / MS:.0f} ms"
        )
    for row in breached[:3]:
        print(
            shrink(schedule(row[0]), lambda s: bool(simulate(s, TIMING).breaches)).description(), row[1][:2]
        )
    return int(bool(breached))


def process_faults(rng: random.Random, voters: str, contenders: list[str], until_ms: int) -> Iterator[Step]:
    """Yields faults of processes, about two per lease duration; each is undone within three durations."""
    at = 2500
    while (at := at + int(rng.expovariate(1 / 500))) < until_ms:
        who, other = rng.choice([*voters, *contenders]), rng.choice(voters)
        duration_ms = int(1000 * rng.choice((0.1, 0.5, 0.95, 1.05, 2.0)))
        what = rng.choice(("kill", "stop", "stop", "cut", "isolate", "delay", "drop", "all", "roll"))
        if what == "kill":
            yield from (Step(at, "kill", who), Step(at + duration_ms, "start", who))
        elif what == "stop":
            yield from (Step(at, "stop", who), Step(at + duration_ms, "go", who))
        elif what in ("cut", "isolate"):
            other_node = other if what == "cut" else ""
            yield from (Step(at, "cut", who, other_node), Step(at + duration_ms, "heal", who, other_node))
        elif what == "delay":
            yield from (Step(at, "delay", who, ms=duration_ms // 2), Step(at + duration_ms, "heal", who))
        elif what == "drop":
            yield from (Step(at, "drop", who, part=0.5), Step(at + duration_ms, "heal", who))
        else:
            gap = 0 if what == "all" else 120
            for i, voter in enumerate(voters):
                yield from (Step(at + i * gap, "kill", voter), Step(at + i * gap + 60, "start", voter))


def run_processes(seed: int, until_ms: int) -> dict[str, object]:
    """Runs a cluster of processes once under random faults; returns the counts of what happened."""
    rng = random.Random(seed)
    voters, contenders = "abcde", [f"p{i}" for i in range(1, rng.randint(3, 8) + 1)]
    plan = tuple(sorted(process_faults(rng, voters, contenders, until_ms), key=lambda s: s.at_ms))

    async def whole(folder: Path) -> dict[str, object]:
        rates = {name: rng.choice((-1000, 0, 1000)) for name in (*voters, *contenders)}
        fleet = ProcessCluster(folder, voters, contenders, ClusterTimings(), seed, rates)
        async with fleet:
            await fleet.play(Schedule(seed, tuple(voters), tuple(contenders), until_ms, plan))
        intervals = read_intervals(folder)
        late = 0
        for log in folder.glob("p*.log"):
            for line in log.read_text().splitlines():
                if '"lease_task_ended"' in line:
                    row = json.loads(line)
                    beats = [
                        s for s in intervals if s.file == f"{log.stem}.beats" and s.token == row["token"]
                    ]
                    late += sum(s.last_ns > row["until_ns"] for s in beats)
        return {
            "seed": seed,
            "steps": len(plan),
            "stays": len(intervals),
            "beats": sum(s.actions for s in intervals),
            "overlaps": len(overlapping_pairs(intervals)),
            "falls": len(token_regressions(intervals)),
            "late": late,
        }

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(whole(Path(folder)))


def processes(count: int, jobs: int, until_ms: int, first: int) -> int:
    """Runs processes `count` times; returns 1 after an overlap, a decreased token, or a late act."""
    began = time.monotonic()
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        rows = pool.starmap(
            run_processes, [(seed, until_ms) for seed in range(first, first + count)], chunksize=1
        )
    total = {key: sum(row[key] for row in rows) for key in rows[0] if key != "seed"}  # type: ignore[misc]
    print(f"{count} runs of {until_ms / 1000:g} s in {time.monotonic() - began:.0f} s: {total}")
    bad = [row for row in rows if row["overlaps"] or row["falls"] or row["late"]]
    for row in bad:
        print(row)
    return int(bool(bad))


def idle(seconds: float) -> int:
    """Prints the CPU time of three idle members and the number of their messages."""

    async def whole(folder: Path) -> None:
        async with ProcessCluster(folder, "abc", ()) as fleet:
            for voter in fleet.voters:
                await fleet.start(voter)
            for voter in fleet.voters:
                await fleet.until(f"{voter} has a seat", lambda v=voter: fleet.logged(v, "fleet_seated"))  # type: ignore[misc]
            await asyncio.sleep(1)
            took = [psutil.Process(fleet.records[v].process.pid).cpu_times() for v in fleet.voters]
            passed = sum(
                link.passed for proxy in fleet.proxy_by_pair.values() for link in proxy.links.values()
            )
            await asyncio.sleep(seconds)
            after = [psutil.Process(fleet.records[v].process.pid).cpu_times() for v in fleet.voters]
            more = (
                sum(link.passed for proxy in fleet.proxy_by_pair.values() for link in proxy.links.values())
                - passed
            )
            cpu = [b.user + b.system - a.user - a.system for a, b in zip(took, after, strict=True)]
            print(f"idle for {seconds:g} s: {cpu} s of CPU, {more} messages between members")

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(whole(Path(folder)))
    return 0


def play(file: Path, world: str) -> int:
    """Plays a schedule from a file, in simulated time or with processes; returns 1 if a rule was broken."""
    given = from_json(file.read_bytes())
    if world == "simulated":
        leases = LeaseSimulation(given, TIMING, keep_trace=True)
        leases.play()
        print("\n".join(leases.trace or []))
        print(leases.findings.breaches or "no breach")
        return int(bool(leases.findings.breaches))

    async def whole(folder: Path) -> int:
        rates = {who: int(part * 1e6) for who, part in given.rates}
        async with ProcessCluster(
            folder, given.voters, given.contenders, ClusterTimings(), given.seed, rates
        ) as fleet:
            await fleet.play(given)
        intervals = read_intervals(folder)
        print("\n".join(map(str, intervals)))
        return int(bool(overlapping_pairs(intervals) or token_regressions(intervals)))

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(whole(Path(folder)))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=["model", "mistakes", "schedules", "processes", "idle", "play"])
    parser.add_argument("file", nargs="?", type=Path, help="a schedule, for the command play")
    parser.add_argument("--world", choices=["simulated", "processes"], default="simulated")
    parser.add_argument("--count", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=0)
    parser.add_argument("--first", type=int, default=0, help="seed of the first run of processes")
    parser.add_argument("--until-ms", type=int, default=12_000, help="length of a run of processes")
    parser.add_argument("--seconds", type=float, default=20)
    args = parser.parse_args()
    if args.what == "model":
        return model()
    if args.what == "mistakes":
        return mistakes()
    if args.what == "schedules":
        return schedules(args.count or 20_000, args.jobs or 8)
    if args.what == "play":
        if args.file is None:
            parser.error("play needs a FILE, a schedule as JSON")
        try:
            return play(args.file, args.world)
        except (OSError, ScheduleError) as error:
            parser.error(f"{args.file}: {error}")
    if args.what == "idle":
        return idle(args.seconds)
    return processes(args.count or 200, args.jobs or 4, args.until_ms, args.first)


if __name__ == "__main__":
    sys.exit(main())
