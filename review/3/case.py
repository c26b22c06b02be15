"""Requests on a kept connection, after requests with a long body in chunks."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    DATA,
    HOST,
    Call,
    World,
    answer,
    digest,
    encode,
    main,
    new_id,
    read_body,
    read_head,
    request_class,
    settings,
    trouble,
)

CLASS = "fee-quote"
UPSTREAMS = 3
CLIENTS, REQUESTS, REST_S = 8, 20, (0.05, 0.2)
WORK_S = (0.06, 0.09)
LONG_BYTES, SHORT_BYTES = (66_000, 78_000), (40_000, 60_000)  # 64 KiB are 65,536
CHUNK_BYTES = 8_192
DEADLINE_S, LATE_S, SLACK_S = 0.661, 0.5, 0.05
WATCH_S = 3.0  # how long a client waits for an answer

ran: set[str] = set()


async def serve(call: Call) -> None:
    """Works on the request and answers with the digest of its body."""
    ran.add(call.id)
    await asyncio.sleep(random.uniform(*WORK_S))
    call.writer.write(answer(200, digest(call.body).encode()))


def chunked(body: bytes) -> bytes:
    """Returns a body in chunks."""
    pieces = [body[place : place + CHUNK_BYTES] for place in range(0, len(body), CHUNK_BYTES)]
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


async def ask(world: World, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, before: str) -> str:
    """Sends one request, waits for its answer and judges it; returns the answer's status."""
    request_id = new_id()
    body = DATA[: random.randint(*(LONG_BYTES if trouble() else SHORT_BYTES))]
    headers = {
        "Host": "origin.svc",
        "X-Request-Id": request_id,
        "X-Class": CLASS,
        "X-Tenant": "brooklyn-desk",
        "X-Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
        "Idempotency-Key": new_id() + new_id(),
        "Transfer-Encoding": "chunked",
    }
    writer.write(encode(f"POST /{CLASS}?obj=1 HTTP/1.1", headers) + chunked(body))
    await writer.drain()
    sent_s = time.monotonic()
    status, text = "no answer", b""
    try:
        async with asyncio.timeout(WATCH_S):
            head = await read_head(reader)
            if head is not None:
                status, text = head.start.split(" ")[1], await read_body(reader, head)
                if head.headers.get("connection", "").lower() == "close":
                    status += " and close"
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        status += f" ({error!r})"
    took_s = time.monotonic() - sent_s
    where = "an upstream got it" if request_id in ran else "no upstream got it"
    line = f"{request_id} of {len(body)} bytes, {before}: {status} after {took_s:.3f} s; {where}"
    world.record(line)
    if status.startswith("no answer") or took_s > DEADLINE_S + LATE_S + SLACK_S:
        world.broken(f"lost: {line}")
    elif status.startswith("200") and text != digest(body).encode():
        world.broken(f"another answer: {line}")
    return status


async def client(world: World) -> None:
    """Sends one request after the other and keeps its connection for as long as it serves."""
    reader, writer = await asyncio.open_connection(HOST, world.balancer.port)
    before = "first on its connection"
    for _ in range(REQUESTS):
        status = await ask(world, reader, writer, before)
        before = "on a kept connection"
        if status not in ("200", "503"):
            writer.close()
            reader, writer = await asyncio.open_connection(HOST, world.balancer.port)
            before = "first on its connection"
        await asyncio.sleep(random.uniform(*REST_S))
    writer.close()


async def play(world: World) -> None:
    """Runs the clients."""
    await asyncio.gather(*(client(world) for _ in range(CLIENTS)))
    world.record.say(f"requests at upstreams: {len(ran)} of {CLIENTS * REQUESTS}")


main(__file__, UPSTREAMS, serve, settings([request_class(CLASS, "idempotency_key")]), play)
