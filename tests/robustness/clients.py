"""Clients that misbehave, each on a connection of its own, for the tests of this package."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from socket import socket

from tests.robustness.support import (
    OWN_BUFFER_BYTES,
    connected,
    head,
    in_chunks,
    read_answer,
    with_length,
)

BODY = bytes(range(251)) * 16_000  # 4 MB; a piece from a wrong offset differs from the right one
Attack = Callable[[socket, int], Awaitable[None]]


async def _send(sock: socket, data: bytes) -> None:
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def head_of_short_fields(sock: socket, number: int) -> None:
    await _send(sock, b"GET /quote HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 3900)


async def long_head_written_slowly(sock: socket, number: int) -> None:
    await _send(sock, b"GET /quote HTTP/1.1\r\nHost: a\r\n")
    for _ in range(14):
        await _send(sock, b"X-Padding: " + b"p" * 987 + b"\r\n")
        await asyncio.sleep(0.15)


async def body_stopped_half_way(sock: socket, number: int) -> None:
    await _send(sock, with_length(f"half-{number}", BODY[:64_000])[:60_000])


async def chunked_body_stopped_half_way(sock: socket, number: int) -> None:
    await _send(sock, in_chunks(f"half-{number}", BODY[:64_000])[:60_000])


async def long_body_stopped_half_way(sock: socket, number: int) -> None:
    await _send(sock, with_length(f"long-{number}", BODY[:1_000_000])[:400_000])


async def body_in_chunks_of_one_byte(sock: socket, number: int) -> None:
    coding = "Transfer-Encoding: chunked"
    await _send(sock, head(f"tiny-{number}", "pay", 661, coding) + b"1\r\na\r\n" * 20_000)


async def requests_sent_ahead(sock: socket, number: int) -> None:
    await _send(sock, b"".join(head(f"ahead-{number}-{each}") for each in range(400)))


async def long_response_not_read(sock: socket, number: int) -> None:
    await _send(sock, head(f"unread-{number}"))


async def long_response_read_slowly(sock: socket, number: int) -> None:
    await _send(sock, head(f"slow-{number}"))
    while await asyncio.get_running_loop().sock_recv(sock, 2048):
        await asyncio.sleep(0.1)


@asynccontextmanager
async def attacked(
    address: tuple[str, int], attacks: Sequence[Attack], clients: int
) -> AsyncIterator[list[socket]]:
    """Runs so many clients, the attacks in turn; within the block their connections stay open."""
    socks: list[socket] = []

    async def attack(number: int) -> None:
        with suppress(OSError):
            sock = await connected(address, OWN_BUFFER_BYTES)
            socks.append(sock)
            await attacks[number % len(attacks)](sock, number)

    tasks = [asyncio.create_task(attack(number)) for number in range(clients)]
    try:
        yield socks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for sock in socks:
            sock.close()


async def flood(
    address: tuple[str, int], request: Callable[[int], bytes], pipelined: bool, seconds: float
) -> int:
    """Sends small requests at full speed, on one connection while it lasts; returns how many."""
    until_s, sent = time.monotonic() + seconds, 0
    while time.monotonic() < until_s:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                if pipelined:
                    sent += await _flood_pipelined(reader, writer, request, sent, until_s)
                else:
                    sent += await _flood_in_turn(reader, writer, request, sent, until_s)
            finally:
                writer.close()
        await asyncio.sleep(0)
    return sent


async def _flood_pipelined(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    request: Callable[[int], bytes],
    first: int,
    until_s: float,
) -> int:
    async def discard() -> None:
        with suppress(OSError):
            while await reader.read(65536):
                pass

    reading, sent = asyncio.create_task(discard()), 0
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(until_s - time.monotonic()):
            while not reading.done():
                writer.write(b"".join(request(first + sent + each) for each in range(50)))
                sent += 50
                await writer.drain()
                await asyncio.sleep(0)
    reading.cancel()
    return sent


async def _flood_in_turn(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    request: Callable[[int], bytes],
    first: int,
    until_s: float,
) -> int:
    sent = 0
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(until_s - time.monotonic()):
            while True:
                writer.write(request(first + sent))
                sent += 1
                if not (await read_answer(reader)).whole:
                    break
    return sent
