"""An attempt begins long after its client has left, as the end of a large request hides behind its body."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support2.stage import (
    HOST,
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

DEADLINE_MS = 3000
CONNECT_TIMEOUT_MS = 1500
LATE_FOR_S = 0.5
LEFT_SLACK_S = 0.1  # an attempt that begins later than this after the close is a break
ROUNDS = 6
BODY_BYTES = 600_000
LEAVES_AFTER_S = 0.1

SETTINGS = settings(
    request_class("rate", DEADLINE_MS, 1000),
    request_class("upload", DEADLINE_MS, 1000, repeat="non_idempotent"),
    connect_timeout_ns=CONNECT_TIMEOUT_MS * MS,
)


class Judge:
    """Compares when attempts begin with when their clients left."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.left_s: dict[str, float] = {}
        self.begun_s: dict[str, float] = {}
        self.whole: set[str] = set()

    async def begun(self, upstream: Upstream, head: Message) -> None:
        """Records the head of a request."""
        name = head.headers["x-request-id"]
        self.begun_s.setdefault(name, head.at_s)
        self.record("begin", f"{upstream.name} gets the head of {name}")

    async def handle(self, upstream: Upstream, message: Message, writer: asyncio.StreamWriter) -> None:
        """Serves a whole request; each connection is closed after its answer."""
        name = message.headers["x-request-id"]
        self.whole.add(name)
        self.record("run", f"{upstream.name} runs {name}, {len(message.body)} bytes")
        writer.write(response(200, name.encode(), "Connection: close"))
        writer.close()


def send_and_leave(port: int, name: str) -> tuple[int, float]:
    """Writes a request for a while, and closes the connection.

    Returns:
        How many bytes were written, and when the connection was closed.
    """
    data = request_bytes("POST", "upload", name, DEADLINE_MS, body=bytes(BODY_BYTES))
    until_s, written = time.monotonic() + LEAVES_AFTER_S, 0
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        sock.connect((HOST, port))
        sock.setblocking(False)
        while (left_s := until_s - time.monotonic()) > 0:
            with suppress(BlockingIOError):
                written += sock.send(data[written:]) if written < len(data) else 0
            time.sleep(min(0.005, left_s))
    return written, time.monotonic()


async def play(record: Record, judge: Judge, upstreams: list[Upstream], port: int) -> None:
    """Plays the rounds: some usual requests, and a large one whose client leaves."""

    def set_late(late: bool) -> None:
        record("network", "new connections come up late" if late else "new connections come up at once")
        for upstream in upstreams:
            upstream.set_late(late)

    def begin_late() -> None:
        if record.trouble:
            set_late(True)
            asyncio.get_running_loop().call_later(LATE_FOR_S, set_late, False)

    begin_late()
    for number in range(ROUNDS):
        for place in range(4):
            name = f"rate-{number}-{place}"
            answer = await ask(port, request_bytes("GET", "rate", name, DEADLINE_MS), 3.5)
            record("answer", f"{name}: {answer}")
        begin_late()
        name = f"upload-{number}"
        record("send", name)
        written, judge.left_s[name] = await asyncio.to_thread(send_and_leave, port, name)
        record("leave", f"the client of {name} wrote {written} bytes, and closed its connection")
        await asyncio.sleep(2.0)


async def case(record: Record) -> bool:
    """Returns whether an attempt began after its client had left."""
    judge = Judge(record)
    upstreams = [Upstream(f"s-{n}", judge.handle, record, judge.begun) for n in range(3)]
    for upstream in upstreams:
        upstream.start()
    discovery = Discovery(record)
    await discovery.start()
    discovery.put(*(upstream.entry() for upstream in upstreams))
    platform = Platform(record, SETTINGS, discovery)
    try:
        balancer = platform.start("n0")
        await platform.until_ready(balancer)
        await play(record, judge, upstreams, balancer.port)
    finally:
        platform.close()
        discovery.close()
        for upstream in upstreams:
            upstream.close()
    if not judge.begun_s:
        raise CouldNotRunError("no request reached an upstream")
    connections = sum(upstream.connections for upstream in upstreams)
    record("count", f"{connections} connections, of which {1 + ROUNDS} at most came up late")
    broken = 0
    for name, left_s in judge.left_s.items():
        after_s = judge.begun_s.get(name, 0.0) - left_s
        if after_s > LEFT_SLACK_S:
            broken += 1
            record("broken", f"the attempt of {name} began {after_s:.3f} s after its client had left")
    return bool(broken)


if __name__ == "__main__":
    sys.exit(main(case, __file__))
