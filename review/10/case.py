"""During an upgrade, a request with the id of another client's open request is served."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support2.stage import (
    HOST,
    Answer,
    CouldNotRunError,
    Discovery,
    Message,
    Platform,
    Record,
    Upstream,
    ask,
    free_port,
    main,
    request_bytes,
    request_class,
    response,
    settings,
)

DEADLINE_MS = 3000
SERVICE_S = 2.0
CLIENTS = 6  # usual clients, whose requests are open during the upgrade
ROUNDS = 24  # how often the bad client sends an id again
KILL_AFTER_S = DEADLINE_MS / 1000 + 0.7

SETTINGS = settings(request_class("quote", DEADLINE_MS, 1000))


class Fleet:
    """The upstreams, and which ids run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.running: set[str] = set()
        self.copies = 0

    async def handle(self, upstream: Upstream, message: Message, writer: asyncio.StreamWriter) -> None:
        """Serves a request; the request of a usual client takes long."""
        name = message.headers["x-request-id"]
        is_copy = name in self.running
        self.copies += is_copy
        self.record("run", f"{upstream.name} runs {name}{', which runs already' if is_copy else ''}")
        if is_copy:
            writer.write(response(200, f"answer to {name}".encode()))
            return
        self.running.add(name)
        await asyncio.sleep(SERVICE_S)
        self.running.discard(name)
        writer.write(response(200, f"answer to {name}".encode()))


async def send_again(record: Record, port: int, names: list[str], ends_s: float) -> list[str]:
    """Sends the ids of open requests again, as a bad client does; returns those that were served."""
    served = []
    for number in range(ROUNDS):
        name = names[number % len(names)]
        if time.monotonic() < ends_s:
            answer = await ask(port, request_bytes("GET", "quote", name, DEADLINE_MS), 3.0)
            record("bad", f"{name}, again: {answer}")
            await asyncio.sleep(0.02)
            if answer.status == 200:
                served.append(name)
    return served


async def case(record: Record) -> bool:
    """Returns whether the bad client was served."""
    fleet = Fleet(record)
    upstreams = [Upstream(f"s-{n}", fleet.handle, record) for n in range(4)]
    for upstream in upstreams:
        upstream.start()
    discovery = Discovery(record)
    await discovery.start()
    discovery.put(*(upstream.entry() for upstream in upstreams))
    platform = Platform(record, SETTINGS, discovery)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, 0))
    listener.listen(256)
    port = listener.getsockname()[1]
    try:
        admin = [free_port(), free_port()]
        old = platform.start("n0", listener=listener, operator=f"{HOST}:{admin[0]}")
        await platform.until_ready(old, admin[0], "/api/ready")
        new = platform.start("n0", listener=listener, operator=f"{HOST}:{admin[1]}")
        await platform.until_ready(new, admin[1], "/api/ready")
        # so many clients that it does not matter which process accepts which connection
        names = [f"quote-{number}" for number in range(CLIENTS)]
        started_s = time.monotonic()
        requests = [
            asyncio.create_task(ask(port, request_bytes("GET", "quote", name, DEADLINE_MS), 4.0))
            for name in names
        ]
        await asyncio.sleep(0.05)
        record("signal", "SIGTERM to the old process")
        old.send(signal.SIGTERM)
        served: list[str] = []
        if record.trouble:
            served = await send_again(record, port, names, started_s + SERVICE_S - 0.3)
        answers: list[Answer] = await asyncio.gather(*requests)
        for name, answer in zip(names, answers, strict=True):
            record("answer", f"{name}: {answer}")
        await asyncio.sleep(max(0.0, started_s + KILL_AFTER_S - time.monotonic()))
        old.send(signal.SIGKILL)
    finally:
        listener.close()
        platform.close()
        discovery.close()
        for upstream in upstreams:
            upstream.close()
    if not any(answer.status == 200 for answer in answers):
        raise CouldNotRunError("no usual client was served")
    for name in served:
        record("broken", f"the bad client was served with the id {name}, which another client's request has")
    record("count", f"{fleet.copies} requests were sent to an upstream while the same id ran")
    return bool(served)


if __name__ == "__main__":
    sys.exit(main(case, __file__))
