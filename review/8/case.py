"""After an outage of discovery, work is sent to an upstream that drains, and is lost when that one ends."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support2.stage import (
    MS,
    Balancer,
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

DEADLINE_MS, OBJECTIVE_MS = 3000, 1000
BALANCERS, UPSTREAMS, CLIENTS = 14, 5, 4  # clients of each balancer
TOLD_AFTER_S = 6.0  # a change counts as told so long after discovery had it and could be reached
GRACE_S = 0.5  # `stop_sending_within_ns`
# each time limit is 0.05 s longer on sockets, and a balancer may be held up for 0.15 s before it writes
SLACK_S = 0.2
LAST_SEND_S = TOLD_AFTER_S + GRACE_S + SLACK_S
SERVICE_S = 0.15
# By then an upstream that drains has finished all that may be sent to it, and ends.
ENDS_AFTER_S = LAST_SEND_S + SERVICE_S + 0.1
OUTAGE_S = 8.0
WATCHED_S = 9.0  # from the end of an outage to the next one
OUTAGES = 4
PAUSE_S = 0.05  # between the requests of one client

SETTINGS = {
    **settings(request_class("pay", DEADLINE_MS, OBJECTIVE_MS, repeat="non_idempotent")),
    "registry_mode": "ask",
    "replicas_of_me": BALANCERS,
    "rules": {
        "ask_within_ns": 10_000 * MS,
        "cold_from": 0.31,
        "cold_ns": 8700 * MS,
        "fall_multiple": 2.5,
        "grace_to_answer_ns": 5 * MS,
        "overload_for_ns": 1500 * MS,
        "stop_sending_within_ns": int(GRACE_S * 1000) * MS,
    },
}


class Fleet:
    """The upstreams, and since when each of them drains."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.drains_since_s: dict[str, float] = {}
        self.late: dict[str, str] = {}  # requests that came after the last moment, and what they are called
        self.lost: list[str] = []

    async def handle(self, upstream: Upstream, message: Message, writer: asyncio.StreamWriter) -> None:
        """Serves a request; an upstream that drains still answers, until it ends."""
        since_s = self.drains_since_s.get(upstream.name)
        name = message.headers["x-request-id"]
        if since_s is not None and message.at_s - since_s > LAST_SEND_S:
            self.late[name] = f"{upstream.name} got {name} {message.at_s - since_s:.3f} s after the change"
            self.record("late", self.late[name])
        await asyncio.sleep(SERVICE_S)
        writer.write(response(200, name.encode()))

    async def send_steadily(self, balancer: Balancer, number: int, ends: asyncio.Event) -> None:
        """Sends one request after the other, until the end; notes those whose work is lost."""
        place = 0
        while not ends.is_set():
            place += 1
            name = f"{balancer.name}-{number}-{place}"
            data = request_bytes("POST", "pay", name, DEADLINE_MS, body=b"amount=100")
            answer = await ask(balancer.port, data, 4.0)
            if answer.status not in (200, 429, 503):
                self.record("answer", f"{name}: {answer}")
                if name in self.late:
                    self.lost.append(f"{self.late[name]}, and its client was answered {answer}")
            await asyncio.sleep(PAUSE_S)


async def outage(record: Record, discovery: Discovery, fleet: Fleet, upstream: Upstream) -> None:
    """Discovery is down for a while; an upstream begins to drain at its return, and ends later."""
    if record.trouble:
        record("network", "discovery is down")
        discovery.set_down(True)
        await asyncio.sleep(OUTAGE_S)
        record("network", "discovery is up")
        discovery.set_down(False)
    discovery.put(upstream.entry("Terminating"))
    fleet.drains_since_s[upstream.name] = time.monotonic()
    record("drain", f"{upstream.name} begins to drain")
    await asyncio.sleep(ENDS_AFTER_S)
    record("end", f"{upstream.name} ends, {ENDS_AFTER_S:.2f} s after it began to drain")
    upstream.end()
    discovery.put(upstream.entry("Gone"))
    await asyncio.sleep(WATCHED_S - ENDS_AFTER_S)


async def case(record: Record) -> bool:
    """Returns whether an upstream that drains got a request after the grace, whose work was lost."""
    fleet = Fleet(record)
    upstreams = [Upstream(f"s-{n}", fleet.handle, record) for n in range(UPSTREAMS)]
    for upstream in upstreams:
        upstream.start()
    discovery = Discovery(record)
    await discovery.start()
    discovery.put(*(upstream.entry() for upstream in upstreams))
    platform = Platform(record, SETTINGS, discovery)
    ends = asyncio.Event()
    try:
        known = [upstream.entry() for upstream in upstreams]
        balancers = [platform.start(f"n{n}", known, me=n) for n in range(BALANCERS)]
        for balancer in balancers:
            await platform.until_ready(balancer)
        clients = [
            asyncio.create_task(fleet.send_steadily(balancer, number, ends))
            for balancer in balancers
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(4.0)  # each balancer watches by now
        for number in range(OUTAGES if record.trouble else 1):
            if not fleet.lost:
                await outage(record, discovery, fleet, upstreams[number])
        ends.set()
        await asyncio.gather(*clients)
    finally:
        platform.close()
        discovery.close()
        for upstream in upstreams:
            upstream.close()
    if not fleet.drains_since_s:
        raise CouldNotRunError("no upstream began to drain")
    record("count", f"{len(fleet.late)} requests came too late, {len(fleet.lost)} of them were lost")
    for text in fleet.lost:
        record("broken", text)
    return bool(fleet.lost)


if __name__ == "__main__":
    sys.exit(main(case, __file__))
