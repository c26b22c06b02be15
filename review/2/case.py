"""Long answers, some of which bring noise right behind them."""

import asyncio
import random
import sys
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

CLASS = "rate-history"
UPSTREAMS = 3
CLIENTS, REQUESTS, REST_S = 4, 120, (0.02, 0.06)
WORK_S = (0.06, 0.09)
ANSWER_BYTES = (100_000, 400_000)
CHUNK_BYTES = 16_384
NOISE_SHARE, NOISE_BYTES = 0.1, 200
DEADLINE_S, HELD_BACK_S, SLACK_S = 0.661, 2.0, 0.05

given: dict[str, bytes] = {}  # by request: the body of the answer that an upstream gave
noisy: set[str] = set()


def chunked(body: bytes) -> bytes:
    """Returns a body in chunks."""
    pieces = [body[place : place + CHUNK_BYTES] for place in range(0, len(body), CHUNK_BYTES)]
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


async def serve(call: Call) -> None:
    """Gives a good, whole answer, in chunks or with a length; behind some comes noise, in the same write."""
    await asyncio.sleep(random.uniform(*WORK_S))
    size = random.randint(*ANSWER_BYTES)
    place = random.randrange(len(DATA) - size)
    body = given[call.id] = DATA[place : place + size]
    if random.random() < 0.5:
        message = encode("HTTP/1.1 200 OK", {"Transfer-Encoding": "chunked"}) + chunked(body)
    else:
        message = answer(200, body)
    if trouble() and random.random() < NOISE_SHARE:
        noisy.add(call.id)
        message += bytes(random.randrange(128, 256) for _ in range(NOISE_BYTES))
    call.writer.write(message)
    await call.writer.drain()


def judge(world: World, request_id: str, head: str, ended: str, body: bytes) -> None:
    """Compares what a client got with what an upstream gave."""
    right = given.get(request_id, b"")
    noise = "noise came behind it" if request_id in noisy else "no noise"
    line = (
        f"{request_id} {head}: {ended}, {len(body)} bytes ({digest(body)}) of {len(right)} ({digest(right)});"
        f" {noise}"
    )
    world.record(line)
    if ended == "ends as a whole answer" and body != right:
        world.broken(f"served with another body: {line}")
    elif ended == "held back":
        world.broken(f"lost: the rest was held back for {HELD_BACK_S} s: {line}")


async def client(world: World) -> None:
    """Asks again and again on a kept connection; opens another one when an answer was not whole."""
    reader, writer = await asyncio.open_connection(HOST, world.balancer.port)
    for _ in range(REQUESTS):
        request_id = new_id()
        headers = {
            "Host": "origin.svc",
            "X-Request-Id": request_id,
            "X-Class": CLASS,
            "X-Tenant": "brooklyn-desk",
            "X-Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
        }
        writer.write(encode(f"GET /{CLASS}?obj=1 HTTP/1.1", headers))
        head, ended, body = await read_head(reader), "broken off", bytearray()
        if head is not None and head.start.split(" ")[1] != "200":
            await read_body(reader, head)
            world.record(f"{request_id} {head.start}")
        elif head is not None:
            try:
                async with asyncio.timeout(HELD_BACK_S + SLACK_S):
                    await read_body(reader, head, body)
                ended = "ends as a whole answer"
            except TimeoutError:
                ended = "held back"
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            form = "in chunks" if "transfer-encoding" in head.headers else "with a length"
            judge(world, request_id, f"200 {form}", ended, bytes(body))
        if head is None or ended != "ends as a whole answer":
            writer.close()
            reader, writer = await asyncio.open_connection(HOST, world.balancer.port)
        await asyncio.sleep(random.uniform(*REST_S))
    writer.close()


async def play(world: World) -> None:
    """Runs the clients."""
    await asyncio.gather(*(client(world) for _ in range(CLIENTS)))
    world.record.say(f"answers given: {len(given)}, with noise behind them: {len(noisy)}")


main(__file__, UPSTREAMS, serve, settings([request_class(CLASS)]), play)
