"""A seeded soak: sound clients beside a random mix of faults, and a shutdown under load.

    python -m tests.robustness.soak --first 1 --seeds 50

Each seed draws limits, upstreams, misbehaving clients and signals. It is judged by what clients and upstreams
see: each request of a sound client gets one final answer in time and the right body, no request runs twice
unless it may, nothing begins for a client that has gone, and the process keeps to its limits. A response that
is still being written when the process has to end may be cut off.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path

from tests.fakes import answer
from tests.robustness import clients
from tests.robustness.clients import BODY, attacked, flood
from tests.robustness.support import (
    DEADLINE_MS,
    Call,
    Daemon,
    Upstream,
    daemon,
    head,
    in_chunks,
    read_answer,
    with_length,
)

LOAD_S = 5.0
# a late answer earns nothing but is not lost until this long after its time
LOST_AFTER_S = DEADLINE_MS / 1000 + 0.5
KILL_AFTER_S = DEADLINE_MS / 1000 + 0.7  # the earliest SIGKILL after SIGTERM
ACCEPTED_AFTER_SIGTERM_S = 0.4
MAX_STOP_S = 0.15
PROCESS_END_S = 0.2  # before SIGKILL the process has ended, or is about to
MAX_START_AFTER_CLOSE_S = 0.1
ATTACKS = [
    clients.head_of_short_fields,
    clients.long_head_written_slowly,
    clients.body_stopped_half_way,
    clients.chunked_body_stopped_half_way,
    clients.long_body_stopped_half_way,
    clients.body_in_chunks_of_one_byte,
    clients.requests_sent_ahead,
    clients.long_response_not_read,
    clients.long_response_read_slowly,
]
FLOODS: list[Callable[[int], bytes]] = [
    lambda number: b"GET /quote HTTP/1.1\r\nHost: a\r\n\r\n",
    lambda number: b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n",
    lambda number: b"GET /class-%d HTTP/1.1\r\nHost: a\r\nX-Request-Id: c%d\r\n\r\n" % (number, number),
]


@dataclass
class Plan:
    """What a seed draws."""

    memory_mb: int
    sockets: int
    upstreams: int
    attack_kinds: list[clients.Attack]
    attackers: int
    flooders: int
    stops: int
    reloads: int

    @classmethod
    def draw(cls, rng: random.Random) -> Plan:
        sockets = rng.choice([256, 544, 1024])
        crowd = rng.random() < 0.3
        return cls(
            rng.choice([32, 80, 192]),
            sockets,
            rng.randint(4, 8),
            rng.sample(ATTACKS, rng.randint(1, 4)),
            (sockets // 4) if crowd else rng.randint(5, 40),
            rng.choice([0, 0, 3, 6]),
            rng.randint(0, 3),
            rng.randint(0, 2),
        )


@dataclass
class Judge:
    """What clients and upstreams saw."""

    outcomes: Counter[str] = field(default_factory=Counter)
    breaks: list[str] = field(default_factory=list)
    executed: Counter[str] = field(default_factory=Counter)
    closed_s: dict[str, float] = field(default_factory=dict)

    def broken(self, text: str) -> None:
        self.breaks.append(text)


class SoakUpstream:
    """Serves sound requests, some of them slowly or in lumps, and records what it executes."""

    def __init__(self, judge: Judge, rng: random.Random) -> None:
        self.judge, self.rng = judge, rng

    async def __call__(self, call: Call) -> None:
        closed_s = self.judge.closed_s.get(call.id)
        if closed_s is not None and call.head_s > closed_s + MAX_START_AFTER_CLOSE_S:
            self.judge.broken(f"{call.id} began {call.head_s - closed_s:.3f} s after its client's close")
        body = await call.read_body()
        self.judge.executed[call.id] += 1
        if call.id.startswith(("slow", "unread")):
            await call.write(answer(200, BODY[:300_000]))
            return
        await asyncio.sleep(self.rng.uniform(0.002, 0.03))
        if call.id.startswith("lumps"):
            await self._write_in_lumps(call)
        else:
            await call.write(answer(200, f"{call.id} {len(body)}".encode()))

    async def _write_in_lumps(self, call: Call) -> None:
        chunked = self.rng.random() < 0.5
        framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: 120000"
        await call.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
        for at in range(0, 120_000, 40_000):
            if at:
                await asyncio.sleep(self.rng.uniform(0.0, 0.6))
            piece = BODY[at : at + 40_000]
            await call.write(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
        if chunked:
            await call.write(b"0\r\n\r\n")


class SoundClients:
    """Clients that keep to the protocol, each on a connection of its own."""

    def __init__(self, balancer: Daemon, judge: Judge, rng: random.Random) -> None:
        self.balancer, self.judge, self.rng = balancer, judge, rng
        self.sent = 0
        self.connects_until_s = float("inf")
        self.killed_s = float("inf")

    async def run(self) -> None:
        while time.monotonic() < self.connects_until_s:
            try:
                reader, writer = await asyncio.open_connection(*self.balancer.address)
            except OSError:
                if time.monotonic() < self.connects_until_s:
                    self.judge.broken("a connection was refused")
                return
            try:
                used = False
                while time.monotonic() < self.killed_s and await self._request(reader, writer, used):
                    used = True
                    await asyncio.sleep(self.rng.uniform(0.0, 0.05))
            finally:
                writer.close()

    def _draw_request(self) -> tuple[str, bytes, bytes | None]:
        """Returns an id, a request and the expected body."""
        self.sent += 1
        kind = self.rng.choices(["get", "pay", "fee", "big", "lumps"], [6, 2, 2, 1, 1])[0]
        name = f"{kind}-{self.sent}"
        if kind in ("get", "lumps"):
            return name, head(name), BODY[:120_000] if kind == "lumps" else f"{name} 0".encode()
        size = self.rng.randint(70_000, 400_000) if kind == "big" else self.rng.randint(0, 4000)
        encode = self.rng.choice([with_length, in_chunks])
        request = encode(name, BODY[:size], "fee" if kind == "fee" else "pay")
        return name, request, f"{name} {size}".encode()

    async def _request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, used: bool) -> bool:
        """Sends a request; returns whether the connection, used before or not, can carry another one."""
        name, request, expected = self._draw_request()
        leaves = self.rng.random() < 0.03
        started_s = time.monotonic()
        try:
            writer.write(request)
            await asyncio.wait_for(writer.drain(), LOST_AFTER_S)
            if leaves:
                await asyncio.sleep(self.rng.uniform(0.0, 0.05))
                self.judge.closed_s[name] = time.monotonic()
                return False
            got = await asyncio.wait_for(read_answer(reader), 4.0)
        except (TimeoutError, OSError) as error:
            return self._ended(name, started_s, used, repr(error))
        if not got.status:
            return self._ended(name, started_s, used, "no answer")
        took_s = got.at_s - started_s
        self.judge.outcomes[str(got.status)] += 1
        if not got.whole:
            # only a response that may take longer than the shutdown
            if not name.startswith("lumps") or time.monotonic() < self.killed_s - PROCESS_END_S:
                self.judge.broken(f"{name}: cut off after {len(got.body)} bytes, {took_s:.3f} s")
        elif got.status == 200 and got.body != expected:
            self.judge.broken(f"{name}: a wrong body of {len(got.body)} bytes")
        elif took_s > LOST_AFTER_S and not name.startswith("lumps"):
            self.judge.broken(f"{name}: {got.status} after {took_s:.3f} s")
        return got.whole and not got.closes

    def _ended(self, name: str, started_s: float, used: bool, why: str) -> bool:
        """Judges a connection that ended without an answer: a used one may end between two requests."""
        took_s = time.monotonic() - started_s
        if time.monotonic() >= self.killed_s:
            self.judge.outcomes["killed"] += 1
            return False
        self.judge.outcomes["ended"] += 1
        if not used or took_s >= 0.05 or self.judge.executed[name]:
            self.judge.broken(f"{name}: {why} after {took_s:.3f} s")
        return False


async def play(seed: int, folder: Path, load_s: float = LOAD_S) -> tuple[Judge, str]:
    """Plays a seed; returns what was seen, and a line that sums it up."""
    rng = random.Random(seed)
    plan, judge = Plan.draw(rng), Judge()
    upstreams = [Upstream(f"s-{i}", SoakUpstream(judge, rng)) for i in range(plan.upstreams)]
    async with daemon(folder, upstreams, memory_mb=plan.memory_mb, sockets=plan.sockets) as balancer:
        sound = SoundClients(balancer, judge, rng)
        tasks = [asyncio.create_task(sound.run()) for _ in range(8)]
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(attacked(balancer.address, plan.attack_kinds, plan.attackers))
            flooding = [
                asyncio.create_task(flood(balancer.address, rng.choice(FLOODS), rng.random() < 0.5, load_s))
                for _ in range(plan.flooders)
            ]
            await _signals(balancer, plan, rng, load_s)
            seen = f"peak {balancer.peak_mb:.1f} of {plan.memory_mb} MB, {balancer.descriptors} descriptors"
            if balancer.peak_mb >= plan.memory_mb or balancer.descriptors > plan.sockets:
                judge.broken(seen)
            await _shut_down(balancer, sound, judge)
            for task in (*tasks, *flooding):
                task.cancel()
            await asyncio.gather(*tasks, *flooding, return_exceptions=True)
    repeated = [
        name for name, times in judge.executed.items() if name.startswith(("pay", "big")) and times > 1
    ]
    if repeated:
        judge.broken(f"ran more than once: {repeated[:3]}")
    kinds = "+".join(kind.__name__ for kind in plan.attack_kinds)
    return judge, (
        f"seed {seed}: {dict(judge.outcomes)}; {seen}; {plan.attackers} x {kinds}, {plan.flooders} floods,"
        f" {plan.stops} stops, {plan.reloads} reloads; {len(judge.breaks)} breaks"
    )


async def _signals(balancer: Daemon, plan: Plan, rng: random.Random, load_s: float) -> None:
    """Stops the process and reloads its configuration at random times within the load."""
    actions: list[Callable[[], Awaitable[None]]] = []

    async def stop() -> None:
        async with balancer.stopped():
            await asyncio.sleep(rng.uniform(0.02, MAX_STOP_S))

    async def reload() -> None:
        balancer.process.send_signal(signal.SIGHUP)

    actions += [stop] * plan.stops + [reload] * plan.reloads
    rng.shuffle(actions)
    ends_s = time.monotonic() + load_s
    times = sorted(rng.uniform(1.0, load_s - 0.5) for _ in actions)
    for at_s, action in zip(times, actions, strict=True):
        await asyncio.sleep(max(0.0, ends_s - load_s + at_s - time.monotonic()))
        await action()
    await asyncio.sleep(max(0.0, ends_s - time.monotonic()))


async def _shut_down(balancer: Daemon, sound: SoundClients, judge: Judge) -> None:
    """Sends SIGTERM, twice; clients go on on open connections until SIGKILL."""
    if balancer.process.poll() is not None:
        judge.broken(f"the process ended by itself: {balancer.log[-500:]}")
        return
    term_s = time.monotonic()
    sound.connects_until_s = term_s + ACCEPTED_AFTER_SIGTERM_S - 0.05
    sound.killed_s = term_s + KILL_AFTER_S
    balancer.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.05)
    balancer.process.send_signal(signal.SIGTERM)
    while time.monotonic() < sound.killed_s and balancer.process.poll() is None:
        await asyncio.sleep(0.01)
    if balancer.process.poll() not in (None, 0):
        judge.broken(f"exit code {balancer.process.returncode}: {balancer.log[-500:]}")
    balancer.process.kill()


def main() -> int:
    """Plays seeds one after the other, and returns 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description="A seeded soak of the balancer.")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    words = parser.parse_args()
    broken = 0
    for seed in range(words.first, words.first + words.seeds):
        with tempfile.TemporaryDirectory(prefix="soak-") as folder, suppress(KeyboardInterrupt):
            judge, line = asyncio.run(play(seed, Path(folder)))
        print(line, *judge.breaks[:8], sep="\n    ", flush=True)
        broken += bool(judge.breaks)
    print(f"{words.seeds} seeds, {broken} with breaks")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
