"""A sound long answer is cut off, as the rest of it is taken for bytes of the answer before."""

from __future__ import annotations

import asyncio
import random
import sys
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
    read_head,
    read_message,
    request_bytes,
    request_class,
    response,
    settings,
)

DEADLINE_MS = 661
QUOTE_TAKES_S = 0.15
HISTORY_TAKES_S = (0.008, 0.012)
LONG_BYTES, SHORT_BYTES = 300_000, 60_000
READ_PAUSE_S = 0.02  # after each part of an answer: a client reads 64 kB a second at least
THINK_S = 0.03
WARM_UP = 12
ROUNDS = 150
BALANCERS = 3

SETTINGS = settings(
    request_class("fee-quote", DEADLINE_MS, 264),
    request_class("rate-history", DEADLINE_MS, 264),
)


class Judge:
    """Serves as the upstream, and compares what it sends with what clients get."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.history_bytes = LONG_BYTES if record.trouble else SHORT_BYTES
        self.served = 0
        self.whole = 0
        self.refused = 0
        self.wrong = 0
        self.cut: list[str] = []

    async def handle(self, upstream: Upstream, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answers a request; it never ends a connection."""
        name = message.headers["x-request-id"]
        self.record("run", f"{upstream.name} runs {name}")
        if message.start[1].startswith("/fee-quote"):
            await asyncio.sleep(QUOTE_TAKES_S)
            writer.write(response(200, name.encode()))
            return
        await asyncio.sleep(random.uniform(*HISTORY_TAKES_S))
        self.served += 1
        writer.write(response(200, self.history(name)))

    def history(self, name: str) -> bytes:
        """Returns the answer to a request of the class rate-history."""
        return name.encode().ljust(self.history_bytes, b".")

    async def ask_history(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Asks for a history, and reads it in parts.

        Returns:
            Whether the connection can be used again.
        """
        writer.write(request_bytes("GET", "rate-history", name, DEADLINE_MS))
        head: Message | None = None
        body = bytearray()
        ended = ""
        try:
            head = await read_head(reader)
            length = int(head.headers["content-length"])
            while len(body) < length and (data := await reader.read(64 * 1024)):
                body += data
                await asyncio.sleep(READ_PAUSE_S)
        except (OSError, asyncio.IncompleteReadError) as error:
            ended = type(error).__name__
        status = int(head.start[1]) if head is not None else 0
        self.record("answer", f"{name}: {status}, {len(body)} bytes {ended}".rstrip())
        if status == 200 and len(body) < self.history_bytes:
            self.cut.append(name)
            self.record(
                "broken", f"{name}: {len(body)} of {self.history_bytes} bytes, then {ended or 'the end'}"
            )
        elif status == 200:
            self.whole += 1
            self.wrong += bytes(body) != self.history(name)
        else:
            self.refused += 1
        return status == 200 and not ended and head is not None and head.headers.get("connection") != "close"


async def visit(judge: Judge, number: int, port: int) -> None:
    """A client: it asks for a quote, at once for a history, pauses, and starts again."""
    await warm_up(number, port)
    connection = None
    for place in range(ROUNDS):
        if connection is None:
            connection = await asyncio.open_connection(HOST, port)
        reader, writer = connection
        writer.write(request_bytes("GET", "fee-quote", f"{number:02x}{place:02x}-quote", DEADLINE_MS))
        quote = await read_message(reader)
        judge.record("quote", f"{number:02x}{place:02x}-quote: {quote.start[1]}")
        if not await judge.ask_history(f"{number:02x}{place:02x}-history", reader, writer):
            writer.close()
            connection = None
        await asyncio.sleep(THINK_S)
    if connection is not None:
        connection[1].close()


async def warm_up(number: int, port: int) -> None:
    """Asks for some quotes."""
    reader, writer = await asyncio.open_connection(HOST, port)
    for place in range(WARM_UP):
        writer.write(request_bytes("GET", "fee-quote", f"{number:02x}{place:02x}-first", DEADLINE_MS))
        await read_message(reader)
        await asyncio.sleep(THINK_S)
    writer.close()


async def case(record: Record) -> bool:
    """Returns whether a sound answer was cut off."""
    judge = Judge(record)
    upstream = Upstream("s-0", judge.handle, record)
    upstream.start()
    discovery = Discovery(record)
    await discovery.start()
    discovery.put(upstream.entry())
    platform = Platform(record, {**SETTINGS, "replicas_of_me": BALANCERS}, discovery)
    try:
        balancers = [
            platform.start(f"n{number}", known=[upstream.entry()], me=number) for number in range(BALANCERS)
        ]
        for balancer in balancers:
            await platform.until_ready(balancer)
        async with asyncio.TaskGroup() as group:
            for number, balancer in enumerate(balancers):
                group.create_task(visit(judge, number, balancer.port))
    finally:
        platform.close()
        discovery.close()
        upstream.close()
    record(
        "count",
        f"the upstream sent {judge.served} histories of {judge.history_bytes} bytes; clients got"
        f" {judge.whole} whole, {len(judge.cut)} cut off, {judge.wrong} wrong, {judge.refused} other answers",
    )
    if not judge.whole + len(judge.cut):
        raise CouldNotRunError("no history was answered")
    return bool(judge.cut or judge.wrong)


if __name__ == "__main__":
    sys.exit(main(case, __file__))
