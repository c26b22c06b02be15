"""After an outage of discovery, a balancer goes on sending to an upstream that drains."""

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

DEADLINE_MS = 661
BALANCERS, UPSTREAMS = 14, 5
TOLD_AFTER_S = 6.0  # a change counts as told so long after discovery had it and could be reached
GRACE_S = 0.5  # `stop_sending_within_ns`
# each time limit is 0.05 s longer on sockets, and a balancer may be held up for 0.15 s before it writes
SLACK_S = 0.2
OUTAGE_S = 8.0
WATCHED_S = 9.0  # how long the upstream that drains is watched after the outage
OUTAGES = 4
PAUSE_S = 0.1  # between the requests of one client

SETTINGS = {
    **settings(request_class("rate", DEADLINE_MS, 264)),
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
        self.broken: list[str] = []

    async def handle(self, upstream: Upstream, message: Message, writer: asyncio.StreamWriter) -> None:
        """Serves a request; an upstream that drains still answers, as it stays up."""
        since_s = self.drains_since_s.get(upstream.name)
        name = message.headers["x-request-id"]
        if since_s is not None:
            age_s = message.at_s - since_s
            self.record("run", f"{upstream.name}, which drains, runs {name}, {age_s:.3f} s after the change")
            if age_s > TOLD_AFTER_S + GRACE_S + SLACK_S:
                self.broken.append(f"{upstream.name} got {name} {age_s:.3f} s after it began to drain")
        await asyncio.sleep(0.02)
        writer.write(response(200, name.encode()))


async def send_steadily(record: Record, balancer: Balancer, ends: asyncio.Event) -> None:
    """Sends one request after the other, until the end."""
    number = 0
    while not ends.is_set():
        number += 1
        name = f"{balancer.name}-{number}"
        answer = await ask(balancer.port, request_bytes("GET", "rate", name, DEADLINE_MS), 2.0)
        if answer.status != 200:
            record("answer", f"{name}: {answer}")
        await asyncio.sleep(PAUSE_S)


async def outage(record: Record, discovery: Discovery, fleet: Fleet, upstream: Upstream) -> None:
    """Discovery is down for a while; an upstream begins to drain at its return, and stays up."""
    if record.trouble:
        record("network", "discovery is down")
        discovery.set_down(True)
        await asyncio.sleep(OUTAGE_S)
        record("network", "discovery is up")
        discovery.set_down(False)
    discovery.put(upstream.entry("Terminating"))
    fleet.drains_since_s[upstream.name] = time.monotonic()
    record("drain", f"{upstream.name} begins to drain")
    await asyncio.sleep(WATCHED_S)


async def case(record: Record) -> bool:
    """Returns whether an upstream that drains got a request after the grace."""
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
        clients = [asyncio.create_task(send_steadily(record, balancer, ends)) for balancer in balancers]
        await asyncio.sleep(4.0)  # each balancer watches by now
        for number in range(OUTAGES if record.trouble else 1):
            if not fleet.broken:
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
    for text in fleet.broken:
        record("broken", text)
    return bool(fleet.broken)


if __name__ == "__main__":
    sys.exit(main(case, __file__))
