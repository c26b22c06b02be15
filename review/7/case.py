"""A second copy of an answer, which its sender's kernel holds back, is given to the next request."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support2.stage import (
    HOST,
    CouldNotRunError,
    Discovery,
    Message,
    Platform,
    Record,
    Upstream,
    main,
    read_message,
    request_bytes,
    request_class,
    response,
    settings,
    unread_bytes_of,
)

DEADLINE_MS = 661
UPSTREAMS, CLIENTS = 4, 4
SERVICE_S = 0.005
PAUSE_S = (0.005, 0.04)  # between an answer and the next request of a client
COPIES = 0.1  # the share of the answers that come twice
RUN_S = 15.0

SETTINGS = settings(request_class("fee-quote", DEADLINE_MS, 264))


class Fleet:
    """Upstreams some of whose answers come twice, the second right behind the first."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.copies = 0
        self.random = random.Random(61)

    async def handle(self, upstream: Upstream, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answers with the request's id, and now and then once more, if nothing else waits."""
        sock = writer.get_extra_info("socket")
        # asyncio sets this option, which an ordinary server does not have
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        name = message.headers["x-request-id"]
        await asyncio.sleep(SERVICE_S)
        answer = response(200, f"quote for {name}".encode())
        writer.write(answer)
        if self.record.trouble and self.random.random() < COPIES and not unread_bytes_of(sock):
            self.copies += 1
            self.record("copy", f"{upstream.name} writes the answer to {name} again; nothing else waits")
            writer.write(answer)


async def send_steadily(record: Record, port: int, number: int, ends_s: float) -> tuple[int, list[str]]:
    """Sends one request after the other; returns how many were served, and which answers were wrong."""
    reader, writer = await asyncio.open_connection(HOST, port)
    served, wrong = 0, []
    draws = random.Random(number)
    place = 0
    while time.monotonic() < ends_s:
        place += 1
        name = f"client-{number}-{place}"
        writer.write(request_bytes("GET", "fee-quote", name, DEADLINE_MS))
        message = await read_message(reader)
        if message.start[1] == "200":
            served += 1
            if message.body != f"quote for {name}".encode():
                wrong.append(f"{name} was answered 200 with {message.body.decode()!r}")
                record("wrong", wrong[-1])
        else:
            record("answer", f"{name}: {message.start[1]}")
        if message.headers.get("connection") == "close":
            writer.close()
            reader, writer = await asyncio.open_connection(HOST, port)
        await asyncio.sleep(draws.uniform(*PAUSE_S))
    writer.close()
    return served, wrong


async def case(record: Record) -> bool:
    """Returns whether a client got the answer to another request."""
    fleet = Fleet(record)
    upstreams = [Upstream(f"s-{n}", fleet.handle, record) for n in range(UPSTREAMS)]
    for upstream in upstreams:
        upstream.start()
    discovery = Discovery(record)
    await discovery.start()
    discovery.put(*(upstream.entry() for upstream in upstreams))
    platform = Platform(record, SETTINGS, discovery)
    try:
        balancer = platform.start("n0")
        await platform.until_ready(balancer)
        ends_s = time.monotonic() + RUN_S
        results = await asyncio.gather(
            *(send_steadily(record, balancer.port, number, ends_s) for number in range(CLIENTS))
        )
    finally:
        platform.close()
        discovery.close()
        for upstream in upstreams:
            upstream.close()
    served = sum(count for count, _ in results)
    wrong = [text for _, texts in results for text in texts]
    if not served:
        raise CouldNotRunError("no request was served")
    record("count", f"{served} served, {fleet.copies} second copies, {len(wrong)} wrong answers")
    for text in wrong:
        record("broken", text)
    return bool(wrong)


if __name__ == "__main__":
    sys.exit(main(case, __file__))
