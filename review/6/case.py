"""A keyed request is sent again after its window, as the connection of the retry comes up late."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support2.stage import (
    MS,
    CouldNotRunError,
    Discovery,
    Message,
    Platform,
    Record,
    Upstream,
    ask,
    main,
    request_bytes,
    request_class,
    response,
    settings,
)

WINDOW_S = 0.8  # for so long the group of upstreams drops repeats of a key
# each time limit is 0.05 s longer on sockets, and a balancer may be held up for 0.15 s before it writes
SLACK_S = 0.2
DEADLINE_MS = 3000
CONNECT_TIMEOUT_MS = 1500
FAILS_AFTER_S = 0.4
LATE_FOR_S = 0.5
PAYOUTS = 10

SETTINGS = settings(
    request_class("rate", DEADLINE_MS, 1000),
    request_class(
        "payout",
        DEADLINE_MS,
        1000,
        repeat="idempotency_key",
        dedup_scope="all",
        window_ns=int(WINDOW_S * 1000) * MS,
    ),
    connect_timeout_ns=CONNECT_TIMEOUT_MS * MS,
)


class Group:
    """The upstreams' common memory of keys, and what ran."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.upstreams: list[Upstream] = []
        self.ran: dict[str, list[float]] = {}
        self.remembered_until_s: dict[str, float] = {}
        self.late_connections = 0

    async def handle(self, upstream: Upstream, message: Message, writer: asyncio.StreamWriter) -> None:
        """Serves a request; each connection is closed after its answer, as either side may do."""
        request_id = message.headers.get("x-request-id", "")
        if message.start[0] == "GET":
            await asyncio.sleep(0.02)
            writer.write(response(200, request_id.encode(), "Connection: close"))
            writer.close()
            return
        key = message.headers["idempotency-key"]
        if message.at_s < self.remembered_until_s.get(key, 0.0):
            self.record("repeat", f"{upstream.name} drops the repeat of {key}, and answers as before")
            writer.write(response(200, key.encode(), "Connection: close"))
            writer.close()
            return
        self.ran.setdefault(key, []).append(message.at_s)
        self.remembered_until_s[key] = message.at_s + WINDOW_S + SLACK_S
        first = len(self.ran[key]) == 1
        self.record("run", f"{upstream.name} runs {key}, for the {len(self.ran[key])}. time")
        if not first:
            writer.write(response(200, key.encode(), "Connection: close"))
            writer.close()
            return
        await asyncio.sleep(FAILS_AFTER_S)
        if self.record.trouble:
            self.set_late(True)
            asyncio.get_running_loop().call_later(LATE_FOR_S, self.set_late, False)
        self.record("error", f"{upstream.name} answers 500 to {key}")
        writer.write(response(500, b"failed\n", "Connection: close"))
        writer.close()

    def set_late(self, late: bool) -> None:
        """Lets new connections come up late, or at once again."""
        self.record("network", "new connections come up late" if late else "new connections come up at once")
        for upstream in self.upstreams:
            upstream.set_late(late)


async def case(record: Record) -> bool:
    """Returns whether a payout ran twice."""
    group = Group(record)
    group.upstreams = [Upstream(f"s-{n}", group.handle, record) for n in range(3)]
    for upstream in group.upstreams:
        upstream.start()
    discovery = Discovery(record)
    await discovery.start()
    discovery.put(*(upstream.entry() for upstream in group.upstreams))
    platform = Platform(record, SETTINGS, discovery)
    try:
        balancer = platform.start("n0")
        await platform.until_ready(balancer)

        async def get(name: str) -> None:
            answer = await ask(balancer.port, request_bytes("GET", "rate", name, DEADLINE_MS), 4.0)
            record("answer", f"{name}: {answer}")

        if record.trouble:
            group.set_late(True)
            asyncio.get_running_loop().call_later(LATE_FOR_S, group.set_late, False)
        await get("rate-first")
        answered = 0
        for number in range(PAYOUTS):
            for place in range(3):
                await get(f"rate-{number}-{place}")
            key = f"payout-{number}"
            data = request_bytes("POST", "payout", f"id-{key}", DEADLINE_MS, key, b"amount=100")
            record("send", key)
            answer = await ask(balancer.port, data, 4.0)
            answered += answer.status != 0
            record("answer", f"{key}: {answer}")
            await asyncio.sleep(0.1)
    finally:
        platform.close()
        discovery.close()
        for upstream in group.upstreams:
            upstream.close()
    if not answered or not group.ran:
        raise CouldNotRunError("no payout was answered")
    twice = {key: times for key, times in group.ran.items() if len(times) > 1}
    connections = sum(upstream.connections for upstream in group.upstreams)
    record("count", f"{connections} connections, of which {1 + PAYOUTS} at most came up late")
    for key, times in twice.items():
        record("broken", f"{key} ran twice, {times[1] - times[0]:.3f} s apart")
    return bool(twice)


if __name__ == "__main__":
    sys.exit(main(case, __file__))
