"""Compares failure detectors in simulated time, by size and loss: delays, false detections and cost.

    python -m benchmarks.membership [--sizes 8 40 200 1000] [--seeds 3] [--jobs 4]

A tenth of the members is killed after 20 s of 90; all others stay reachable. The baseline is plain
heartbeats: each member sends a message to all others in each period, and a member that sent none for three
periods counts as unreachable. The baseline is run with up to 200 members, as its messages grow with the
square of their number.
"""

from __future__ import annotations

import argparse
import multiprocessing
import sys
import time
from typing import Any, NamedTuple

from lanelift.faults.schedule import Step
from lanelift.faults.simulation import MS, NodeSlot, Outgoing
from lanelift.membership.gossip import MemberState
from lanelift.membership.simulation import MembershipSimulation, StateChange, membership_schedule
from lanelift.membership.timing import ProbeTiming

UNTIL_S, KILLED_S = 90, 20
LOSSES = (0.0, 0.05, 0.3)
MAX_HEARTBEAT_MEMBERS, MISSED_PERIODS = 200, 3
FIGURES = ("messages", "bytes", "cpu_us")


class HeartbeatSender:
    """A member that sends plain heartbeats: the baseline."""

    def __init__(self, world: HeartbeatSimulation, me: int, now: int) -> None:
        self.world, self.me, self.period_ns = world, me, world.timing.period_ns
        self.due_ns = now + int(world.rng.random() * self.period_ns)
        self.received_ns = dict.fromkeys((n for n in range(len(world.zones)) if n != me), now)
        self.unreachable: set[int] = set()

    def receive(self, message: Any, source: str, now: int) -> Outgoing:
        self.received_ns[int(source)] = now
        self.unreachable.discard(int(source))
        return []

    def tick(self, now: int) -> Outgoing:
        self.due_ns = now + self.period_ns
        for n, at in self.received_ns.items():
            if n not in self.unreachable and now - at > MISSED_PERIODS * self.period_ns:
                self.unreachable.add(n)
                change = StateChange(self.world.now, self.me, n, MemberState.UNREACHABLE)
                self.world.changes.append(change)
        return [(str(n), b"beat" * 4) for n in self.received_ns]


class HeartbeatSimulation(MembershipSimulation):
    """A simulation whose members send plain heartbeats."""

    def start_node(self, name: str, slot: NodeSlot, now: int) -> Any:
        self.deaths.pop(int(name), None)
        return HeartbeatSender(self, int(name), now)


class Row(NamedTuple):
    """The result of one run; `messages` and `bytes` are rates per second and member."""

    detector: str
    count: int
    loss: float
    noticed_ns: list[int]
    accusations: int
    messages: float
    bytes: float
    cpu_us: float


def play(detector: str, count: int, loss: float, seed: int) -> Row:
    """Run one simulation."""
    steps = [Step(KILLED_S * 1000, "kill", str(n)) for n in range(max(1, count // 10))]
    world_class = HeartbeatSimulation if detector == "heartbeats" else MembershipSimulation
    schedule = membership_schedule(count, seed, UNTIL_S * 1000, loss, steps)
    world = world_class(schedule, ["abc"[i % 3] for i in range(count)], ProbeTiming())
    began = time.process_time()
    world.play()
    cpu_us = (time.process_time() - began) * 1e6 / max(1, world.messages)
    member_seconds = UNTIL_S * count
    found = world.detection_delays_ns()
    return Row(
        detector,
        count,
        loss,
        found,
        world.false_detections(),
        world.messages / member_seconds,
        world.bytes / member_seconds,
        cpu_us,
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--sizes", type=int, nargs="+", default=[8, 40, 200, 1000])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    runs = [
        (detector, count, loss, seed)
        for count in args.sizes
        for loss in LOSSES
        for detector in ("swim", "heartbeats")
        if detector == "swim" or count <= MAX_HEARTBEAT_MEMBERS
        for seed in range(args.seeds)
    ]
    with multiprocessing.Pool(args.jobs) as pool:
        rows = pool.starmap(play, runs, chunksize=1)
    print(
        "| detector | members | loss | detected after s: p50, p99, max | not within 70 s | false detections "
        "per member-hour | messages per second and member | bytes | us of CPU per message |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for key in dict.fromkeys((r.detector, r.count, r.loss) for r in rows):
        mine = [r for r in rows if (r.detector, r.count, r.loss) == key]
        times = sorted(t for r in mine for t in r.noticed_ns if t >= 0)
        missing = sum(t < 0 for r in mine for t in r.noticed_ns)
        hours = len(mine) * key[1] * UNTIL_S / 3600
        seconds = (
            [times[int(part * (len(times) - 1))] / 1000 / MS for part in (0.5, 0.99, 1)] if times else []
        )
        noticed = ", ".join(f"{s:.1f}" for s in seconds)
        wrong = sum(r.accusations for r in mine) / hours
        messages, size, cpu = (sum(getattr(r, f) for r in mine) / len(mine) for f in FIGURES)
        print(
            f"| {key[0]} | {key[1]} | {key[2]:g} | {noticed} | {missing} | {wrong:.2f} | {messages:.2f} | "
            f"{size:.0f} | {cpu:.0f} |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
