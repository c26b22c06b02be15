"""Long bodies in chunks, while one of eight upstreams hangs now and then in the middle of its work."""

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

CLASS = "stock-update"
DEADLINE_S = 4.0
WORK_S = (0.054, 0.097)  # the site's mean work of this class
UPSTREAMS = 8
HANG_S, CALM_S = 1.0, 1.0  # the same upstream each time
REQUESTS, INTERVAL_S = 1000, 0.025
BODY_BYTES, CHUNK_BYTES = 100_000, 8_192

ran: dict[str, list[tuple[str, int, str]]] = {}  # by request: where it ran, with how long a body, its digest
hanging: dict[str, asyncio.Event] = {}  # by upstream: set at the end of its hang


async def serve(call: Call) -> None:
    """Works on the request and answers with the digest of its body; a hang lengthens the work."""
    await asyncio.sleep(random.uniform(*WORK_S))
    while call.upstream.name in hanging:
        await hanging[call.upstream.name].wait()
    ran.setdefault(call.id, []).append((call.upstream.name, len(call.body), digest(call.body)))
    call.writer.write(answer(200, digest(call.body).encode()))


def chunked(body: bytes) -> bytes:
    """Returns a body in chunks."""
    pieces = [body[place : place + CHUNK_BYTES] for place in range(0, len(body), CHUNK_BYTES)]
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


async def client(world: World, number: int) -> None:
    """Sends one request, and judges what ran for it and what came back."""
    request_id, body = new_id(), DATA[number : number + BODY_BYTES]
    reader, writer = await asyncio.open_connection(HOST, world.balancer.port)
    headers = {
        "Host": "origin.svc",
        "X-Request-Id": request_id,
        "X-Class": CLASS,
        "X-Tenant": "balti-jaama",
        "X-Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
        "Idempotency-Key": new_id() + new_id(),
        "Transfer-Encoding": "chunked",
    }
    writer.write(encode(f"POST /{CLASS}?obj={number} HTTP/1.1", headers) + chunked(body))
    status, text = "no answer", b""
    try:
        async with asyncio.timeout(DEADLINE_S + 1.0):
            head = await read_head(reader)
            if head is not None:
                status, text = head.start.split(" ")[1], await read_body(reader, head)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        status += f", {error!r}"
    writer.close()
    await asyncio.sleep(0.3)  # what is out for it may still run
    copies = ran.get(request_id, [])
    line = (
        f"request {request_id}, body of {len(body)} bytes ({digest(body)}): answered {status}"
        f" {text.decode() if status == '200' else ''}; ran: {copies}"
    )
    world.record(line)
    if any(sum_ != digest(body) for _, _, sum_ in copies):
        world.broken(f"run with a body that nobody sent: {line}")
    elif status == "200" and text != digest(body).encode():
        world.broken(f"answered with another request's answer: {line}")


async def hang(world: World) -> None:
    """Lets one upstream hang for a second, each time in the middle of its work."""
    upstream = world.upstreams[0]
    while True:
        await asyncio.sleep(CALM_S)
        while not upstream.inflight:
            await asyncio.sleep(0.001)
        world.record(f"upstream {upstream.name} hangs with {upstream.inflight} requests")
        ended = hanging[upstream.name] = asyncio.Event()
        await asyncio.sleep(HANG_S)
        del hanging[upstream.name]
        ended.set()
        world.record(f"upstream {upstream.name} goes on")


async def play(world: World) -> None:
    """Sends requests at a steady rate."""
    troubles = asyncio.create_task(hang(world)) if trouble() else None
    clients = []
    for number in range(REQUESTS):
        clients.append(asyncio.create_task(client(world, number)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*clients)
    if troubles is not None:
        troubles.cancel()
    twice = sum(len(copies) > 1 for copies in ran.values())
    world.record.say(f"requests: {REQUESTS}, run: {len(ran)}, run by two upstreams: {twice}")


main(
    __file__,
    UPSTREAMS,
    serve,
    settings(
        [
            request_class(
                CLASS,
                "idempotency_key",
                aim_ns=1_000_000_000,
                hard_limit_ns=4_000_000_000,
                late_worth=0.3,
                worth=5.0,
            )
        ],
        kinds=["big-box", "small-box", "slow-box"],
        limits={
            "conn_idle_ns": 60_000_000_000,
            "connect_timeout_ns": 120_000_000,
            "second_copies": True,
            "send_cap": 4,
        },
        load_report={"columns": ["inflight", "queue"], "how": "answers"},
        prices={"cross_zone": 0.03, "late_fail": 0.053, "peer": 0.0, "probe": 0.01, "waste": 0.02},
        realms=[
            {"name": "balti-jaama", "quota_per_s": 100.0, "share": 0.48},
            {"name": "tartu-turg", "quota_per_s": 90.0, "share": 0.45},
            {"name": "parnu-turg", "quota_per_s": 15.0, "share": 0.07},
        ],
    ),
    play,
)
