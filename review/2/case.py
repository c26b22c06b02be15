"""Keyed requests are sent again near the end of the window for repeats while the balancer is held up."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    HOST,
    Call,
    World,
    answer,
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
DEADLINE_S = 0.661
WINDOW_S = 0.2  # upstreams drop repeats of a key for this long after the first copy
SLACK_S = 0.05  # each time limit is 50 ms longer on sockets
OWN_LAG_S = 0.02  # how late these stand-ins may notice a request's last byte
ERROR_BEFORE_END_S = 0.045  # the error of a first attempt comes this long before the end of the window
HOLD_S = 0.135  # the pages allow 0.15 s; the signals themselves take some milliseconds
LONGEST_HOLD_S = 0.15
ROUNDS, REQUESTS = 20, 20
PLAIN_REQUESTS, PLAIN_INTERVAL_S = 30, 0.04  # between two rounds; these are served at once

copies: dict[str, list[tuple[float, str]]] = {}  # by key: when each copy's last byte came, and where
second_copy = asyncio.Event()  # set when a second copy of this round has come


async def serve(call: Call) -> None:
    """Answers the first copy with an error near the end of the window, and serves a second one at once."""
    key = call.head.headers["idempotency-key"]
    seen = copies.setdefault(key, [])
    seen.append((call.last_byte_s, call.upstream.name))
    if len(seen) == 1 and not key.startswith("plain"):
        await asyncio.sleep(seen[0][0] + WINDOW_S - ERROR_BEFORE_END_S - time.monotonic())
        call.writer.write(answer(500, Connection="close"))
    else:
        if len(seen) > 1:
            second_copy.set()
        call.writer.write(answer(200, key.encode(), Connection="close"))


async def client(world: World, key: str) -> None:
    """Sends one request, and judges what ran for it."""
    reader, writer = await asyncio.open_connection(HOST, world.balancer.port)
    headers = {
        "Host": "origin.svc",
        "X-Request-Id": new_id(),
        "X-Class": CLASS,
        "X-Tenant": "brooklyn-desk",
        "X-Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
        "Idempotency-Key": key,
        "Content-Length": "5",
    }
    writer.write(encode(f"POST /{CLASS}?obj={key[:6]} HTTP/1.1", headers, b"100.0"))
    status = "no answer"
    try:
        async with asyncio.timeout(2.0):
            head = await read_head(reader)
            if head is not None:
                status = head.start.split(" ")[1]
                await read_body(reader, head)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        status += f", {error!r}"
    writer.close()
    seen = copies.get(key, [])
    later = [(at_s - seen[0][0], name) for at_s, name in seen[1:]]
    first = f"first copy at {seen[0][1]}" if seen else "no copy"
    line = f"key {key[:13]} answered {status}; {first}" + "".join(
        f"; again +{after_s:.4f} s at {name}" for after_s, name in later
    )
    world.record(line)
    if any(after_s > WINDOW_S + SLACK_S + OWN_LAG_S for after_s, _ in later):
        world.broken(f"run again after the window of {WINDOW_S} s: {line}")


async def hold(world: World) -> None:
    """Holds the balancer up once, while it starts second attempts."""
    await second_copy.wait()
    await asyncio.sleep(random.uniform(0.0, 0.002))
    started_s = time.monotonic()
    world.balancer.signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(HOLD_S)
    finally:
        world.balancer.signal(signal.SIGCONT)
    held_s = time.monotonic() - started_s
    world.record(f"balancer held up for {held_s:.4f} s")
    if held_s > LONGEST_HOLD_S:
        world.outside(f"the balancer was held up for {held_s:.4f} s, longer than the pages allow")


async def play(world: World) -> None:
    """Plays rounds of requests; in each the balancer is held up once."""
    for _ in range(ROUNDS):
        second_copy.clear()
        verdicts = len(world.verdicts)
        holding = asyncio.create_task(hold(world)) if trouble() else None
        await asyncio.gather(*(client(world, new_id() + new_id()) for _ in range(REQUESTS)))
        if holding is not None:
            if not second_copy.is_set():
                holding.cancel()
            await asyncio.gather(holding, return_exceptions=True)
            if world.take_outside():
                del world.verdicts[verdicts:]  # the round was outside the pages' limit and does not count
        plain = []
        for _ in range(PLAIN_REQUESTS):
            plain.append(asyncio.create_task(client(world, f"plain{new_id()}")))
            await asyncio.sleep(PLAIN_INTERVAL_S)
        await asyncio.gather(*plain)
    twice = sum(len(seen) > 1 for seen in copies.values())
    world.record.say(f"keys at upstreams: {len(copies)}, sent again: {twice}")


main(
    __file__,
    4,
    serve,
    settings([request_class(CLASS, "idempotency_key", window_ns=int(WINDOW_S * 1e9))]),
    play,
)
