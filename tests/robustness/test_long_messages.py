"""Long responses and requests, where a server or a client takes its time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.fakes import answer, run
from tests.robustness.clients import BODY
from tests.robustness.support import (
    DEADLINE_MS,
    OWN_BUFFER_BYTES,
    Answer,
    Call,
    Handler,
    Upstream,
    ask,
    connected,
    daemon,
    head,
    in_chunks,
    read_answer,
    with_length,
)

READ_SLOWLY_S = 2.5  # for a whole response
FRAMINGS = {
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n",
    "close": b"Connection: close\r\n\r\n",
    "length": b"Content-Length: %d\r\n\r\n",
}
# a late answer earns nothing, but is not lost until this long after its time
LATEST_S = DEADLINE_MS / 1000 + 0.5


def in_lumps(framing: str, total: int, lumps: int, pause_s: float) -> Handler:
    """Returns a handler that writes a response in equal parts with pauses between them."""

    async def handler(call: Call) -> None:
        await call.read_body()
        form = FRAMINGS[framing]
        await call.write(b"HTTP/1.1 200 OK\r\n" + (form % total if framing == "length" else form))
        for number in range(lumps):
            if number:
                await asyncio.sleep(pause_s)
            part = BODY[total * number // lumps : total * (number + 1) // lumps]
            await call.write(b"%x\r\n%b\r\n" % (len(part), part) if framing == "chunked" else part)
        if framing == "chunked":
            await call.write(b"0\r\n\r\n")
        elif framing == "close":
            call.writer.close()

    return handler


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize(
    ("total", "lumps", "pause_s"), [(184_560, 3, 0.8), (150_000, 4, 0.9), (90_000, 8, 0.3), (66_000, 2, 1.5)]
)
def test_a_long_response_that_pauses_after_the_deadline_is_not_cut_off(
    tmp_path: Path, framing: str, total: int, lumps: int, pause_s: float
) -> None:
    """An upstream writes a long response in parts, and the deadline passes between two of them."""

    async def test() -> None:
        upstreams = [Upstream("s-0", in_lumps(framing, total, lumps, pause_s))]
        async with daemon(tmp_path, upstreams) as balancer:
            got = await ask(balancer.address, head("lumps"))
            assert (got.status, got.whole, got.body == BODY[:total]) == (200, True, True), len(got.body)

    run(test())


def reads_slowly(bytes_per_s: int) -> Handler:
    """Returns a handler that reads the body at this rate and then answers; for 0 it stops reading."""

    async def handler(call: Call) -> None:
        left = int(call.headers.get("content-length", 1 << 40))
        while left and (piece := await call.reader.read(min(left, 4096))):
            left -= len(piece)
            await asyncio.sleep(len(piece) / bytes_per_s if bytes_per_s else 60)
        await call.write(answer(200, b"read"))

    return handler


@pytest.mark.parametrize("encode", [with_length, in_chunks])
@pytest.mark.parametrize(
    ("total", "bytes_per_s"),
    [(865_656, 85_000), (536_805, 104_000), (646_264, 0), (70_000, 0), (60_000, 0), (3_000_000, 400_000)],
)
def test_a_request_whose_upstream_reads_slowly_is_answered_in_time(
    tmp_path: Path, encode: Callable[[str, bytes], bytes], total: int, bytes_per_s: int
) -> None:
    """An upstream reads a large request slowly or not at all, and the client's answer comes seconds late."""

    async def test() -> None:
        upstreams = [Upstream("s-0", reads_slowly(bytes_per_s), OWN_BUFFER_BYTES)]
        async with daemon(tmp_path, upstreams) as balancer:
            started_s = time.monotonic()
            got = await ask(balancer.address, encode("slow", BODY[:total]))
            took_s = got.at_s - started_s
            assert got.whole and got.status in (200, 502, 503, 504) and took_s < LATEST_S, (got, took_s)

    run(test())


@pytest.mark.parametrize("encode", [with_length, in_chunks])
@pytest.mark.parametrize("pause_s", [0.05, 0.9])
def test_a_request_whose_client_writes_slowly_is_served(
    tmp_path: Path, pause_s: float, encode: Callable[[str, bytes], bytes]
) -> None:
    """A client pauses for longer than its deadline within a large request; its time has not begun."""

    async def test() -> None:
        async with daemon(tmp_path, [Upstream("s-0")]) as balancer:
            reader, writer = await asyncio.open_connection(*balancer.address)
            request = encode("slow", BODY[:200_000])
            for at in range(0, len(request), 50_000):
                writer.write(request[at : at + 50_000])
                await asyncio.sleep(pause_s)
            got = await read_answer(reader)
            writer.close()
            assert (got.status, got.body) == (200, b"slow")

    run(test())


@pytest.mark.parametrize("rows", [(), ("Connection: close",)])
@pytest.mark.parametrize("total", [60_000, 310_000])
def test_a_response_that_ends_its_connection_reaches_a_slow_reader(
    tmp_path: Path, rows: tuple[str, ...], total: int
) -> None:
    """A client reads its last response slowly, and the connection is closed while part of it is unread."""

    async def serve(call: Call) -> None:
        await call.write(answer(200, BODY[:total]))

    async def read_slowly(address: tuple[str, int]) -> Answer:
        sock = await connected(address, OWN_BUFFER_BYTES)
        loop, received = asyncio.get_running_loop(), b""
        await loop.sock_sendall(sock, head("slow", "quote", DEADLINE_MS, *rows))
        try:
            while len(received.partition(b"\r\n\r\n")[2]) < total:
                piece = await loop.sock_recv(sock, 16384)
                if not piece:
                    break
                received += piece
                await asyncio.sleep(READ_SLOWLY_S * len(piece) / total)
        except OSError:
            pass
        sock.close()
        body = received.partition(b"\r\n\r\n")[2]
        return Answer(200, body, len(body) == total, time.monotonic())

    async def test() -> None:
        async with daemon(tmp_path, [Upstream("s-0", serve)]) as balancer:
            got = await read_slowly(balancer.address)
            assert got.whole and got.body == BODY[:total], len(got.body)

    run(test())


def test_a_client_that_goes_on_writing_after_its_answer_can_read_it(tmp_path: Path) -> None:
    """A request is answered before its body is complete, and read only when all was written."""

    async def test() -> None:
        upstreams = [Upstream("s-0", reads_slowly(0), OWN_BUFFER_BYTES)]
        async with daemon(tmp_path, upstreams) as balancer:
            reader, writer = await asyncio.open_connection(*balancer.address)
            request = with_length("slow", BODY[:900_000])
            for at in range(0, len(request), 20_000):
                writer.write(request[at : at + 20_000])
                await asyncio.sleep(0.09)
            got = await read_answer(reader)
            writer.close()
            assert got.whole and got.status in (502, 503, 504), got

    run(test())
