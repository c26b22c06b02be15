"""Long answers, read slowly by clients that ask for `Connection: close`."""

import asyncio
import socket
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
    read_head,
    request_class,
    settings,
    trouble,
)

CLASS = "rate-history"
CLIENTS = 40
SLOW_BYTES_PER_S = 64_000
PIECE_BYTES = 1_600  # read every 25 ms
GIVEN: dict[str, bytes] = {}  # by request: the answer that an upstream has written whole


async def serve(call: Call) -> None:
    """Answers at once, with a length; the size comes from the request's key."""
    size = int(call.head.target.rpartition("=")[2])
    body = DATA[:size]
    call.writer.write(answer(200, body))
    await call.writer.drain()
    GIVEN[call.id] = body


async def client(world: World, number: int) -> None:
    """Asks once and reads the answer, slowly if there is trouble."""
    size = 500_000 + 7_919 * number
    request_id = new_id()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (HOST, world.balancer.port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=2 * PIECE_BYTES if trouble() else 1 << 20)
    headers = {
        "Host": "origin.svc", "X-Request-Id": request_id, "X-Class": CLASS, "X-Tenant": "brooklyn-desk",
        "X-Deadline-Ms": "661", "Connection": "close",
    }  # fmt: skip
    started_s = loop.time()
    writer.write(encode(f"GET /{CLASS}?obj={size} HTTP/1.1", headers))
    head = await read_head(reader)
    first_s = loop.time() - started_s
    if head is None or head.start.split(" ")[1] != "200":
        world.record(f"{request_id} {size} bytes: {head.start if head else 'no answer'}")
        writer.close()
        return
    body, ended = bytearray(), "end"
    length = int(head.headers.get("content-length", -1))
    body_s = loop.time()
    try:
        while len(body) < length:
            piece = await reader.read(PIECE_BYTES if trouble() else 1 << 16)
            if not piece:
                break
            body += piece
            if trouble():
                await asyncio.sleep(max(0.0, body_s + len(body) / SLOW_BYTES_PER_S - loop.time()))
    except ConnectionError as error:
        ended = repr(error)
    took_s = loop.time() - started_s
    writer.close()
    whole = bytes(body) == GIVEN.get(request_id)
    line = (
        f"{request_id} answer of {size} bytes, stated {length}: first bytes after {first_s:.3f} s,"
        f" got {len(body)} ({digest(bytes(body))}) in {took_s:.2f} s, {ended};"
        f" upstream gave all: {request_id in GIVEN}"
    )
    world.record(line)
    if request_id in GIVEN and first_s <= 0.661 and not whole:
        world.broken(f"lost: cut off: {line}")


async def play(world: World) -> None:
    """Lets the clients ask, a few at a time."""
    tasks = []
    for number in range(CLIENTS):
        tasks.append(asyncio.create_task(client(world, number)))
        await asyncio.sleep(0.4)
    await asyncio.gather(*tasks)
    world.record.say(f"answers given whole by upstreams: {len(GIVEN)} of {CLIENTS}")


main(__file__, 3, serve, settings([request_class(CLASS)]), play)
