"""A balancer that is told to end closes connections on which it has read requests, and never answers them."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from support2.stage import (
    HOST,
    Balancer,
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
)

DEADLINE_MS = 3000
SERVICE_S = 0.2
CLIENTS, AT_ONCE = 6, 4
SIGTERM_AFTER_S = 0.1
# the platform's: SIGKILL comes no sooner than the longest deadline and this after SIGTERM
KILL_AFTER_S = DEADLINE_MS / 1000 + 0.7
LATE_S = 0.5  # an answer that is later than this after its time is lost

SETTINGS = settings(request_class("quote", DEADLINE_MS, 2500))


async def serve(upstream: Upstream, message: Message, writer: asyncio.StreamWriter) -> None:
    """Answers with the request's id."""
    request_id = message.headers["x-request-id"]
    upstream.record("run", f"{upstream.name} runs {request_id}")
    await asyncio.sleep(SERVICE_S)
    writer.write(response(200, request_id.encode()))


class Client:
    """A client that sends several requests at once on one connection, and reads the answers in order."""

    def __init__(self, number: int, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.names = [f"client-{number}-{place}" for place in range(AT_ONCE)]
        self.answers: dict[str, int] = {}
        self.sent_s = 0.0
        self.local_port = 0

    async def run(self) -> None:
        """Sends the requests, and reads until all are answered, the connection ends or their time is up."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.local_port = writer.get_extra_info("sockname")[1]
        writer.write(b"".join(request_bytes("GET", "quote", name, DEADLINE_MS) for name in self.names))
        await writer.drain()
        self.sent_s = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + LATE_S):
                for name in self.names:
                    message = await read_message(reader)
                    self.answers[name] = int(message.start[1])
                    closes = message.headers.get("connection", "")
                    self.record("answer", f"{name}: {message.start[1]} {closes}")
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            missing = " ".join(self.names[len(self.answers) :])
            self.record("end", f"{type(error).__name__}: no answer to {missing}")
        finally:
            writer.close()


def unread_bytes(balancer_port: int, client_ports: set[int]) -> int:
    """Returns how many bytes of these clients the balancer has not read yet, as the kernel says."""
    total = 0
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        columns = line.split()
        local, remote = (int(columns[place].split(":")[1], 16) for place in (1, 2))
        if local == balancer_port and remote in client_ports:
            total += int(columns[4].split(":")[1], 16)
    return total


async def end_balancer(record: Record, balancer: Balancer, clients: list[Client]) -> int:
    """Plays a planned restart; returns how many bytes of the requests were unread when it began."""
    unread = unread_bytes(balancer.port, {client.local_port for client in clients})
    record("signal", f"SIGTERM; of the requests {unread} bytes are unread")
    balancer.send(signal.SIGTERM)
    until_s = time.monotonic() + KILL_AFTER_S
    while balancer.process.poll() is None and time.monotonic() < until_s:
        await asyncio.sleep(0.02)
    record("signal", "the balancer ended" if balancer.process.poll() is not None else "SIGKILL")
    balancer.send(signal.SIGKILL)
    return unread


async def case(record: Record) -> bool:
    """Returns whether a request that was read has no answer."""
    upstreams = [Upstream(f"s-{n}", serve, record) for n in range(4)]
    for upstream in upstreams:
        upstream.start()
    discovery = Discovery(record)
    await discovery.start()
    discovery.put(*(upstream.entry() for upstream in upstreams))
    platform = Platform(record, SETTINGS, discovery)
    try:
        balancer = platform.start("n0")
        await platform.until_ready(balancer)
        clients = [Client(number, record, balancer.port) for number in range(CLIENTS)]
        runs = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(SIGTERM_AFTER_S)
        unread = await end_balancer(record, balancer, clients) if record.trouble else 0
        await asyncio.gather(*runs)
    finally:
        platform.close()
        discovery.close()
        for upstream in upstreams:
            upstream.close()
    if unread:
        raise CouldNotRunError("the balancer had not read all requests when it was told to end")
    lost = [name for client in clients for name in client.names if name not in client.answers]
    record("count", f"{CLIENTS * AT_ONCE} requests, {len(lost)} lost")
    for name in lost:
        record("broken", f"{name} was read before SIGTERM, and has no answer")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(main(case, __file__))
