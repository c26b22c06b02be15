"""Streamed responses: framing, broken connections, progress and slow clients."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from lanelift.net.memory import READ_BUFFER
from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES
from lanelift.net.socket_options import KERNEL_BUFFER_BYTES
from lanelift.policy.events import AttemptFinished, ClientDisconnected, ResponseStarted
from tests.fakes import answer, read_message, run
from tests.in_process import EventRecorder, in_process_balancer
from tests.net.support import (
    LONG_BODY,
    OK,
    R,
    StepwiseResponse,
    balancer_with_stepwise_response,
    chunked_response,
    read_response,
    response_with_length,
)


def response_until_close(body: bytes) -> bytes:
    return OK + b"Connection: close\r\n\r\n" + body


@pytest.mark.usefixtures("settled")
@pytest.mark.parametrize("framed", [response_with_length, chunked_response, response_until_close])
@pytest.mark.parametrize(
    "body",
    [LONG_BODY, LONG_BODY[: MAX_BUFFERED_BODY_BYTES + 1], LONG_BODY[:MAX_BUFFERED_BODY_BYTES], b"short", b""],
)
def test_a_response_of_any_length_and_framing_is_forwarded_completely(
    recorded: EventRecorder, framed: Callable[[bytes], bytes], body: bytes
) -> None:
    async def test() -> None:
        async with in_process_balancer() as lb:
            if framed is response_until_close:

                async def reply() -> bytes:
                    link = lb.upstreams[0].links[-1]
                    assert link.transport is not None
                    link.transport.write(response_until_close(body))
                    link.transport.close()
                    return b""

                lb.upstreams[0].script = [reply]
            else:
                lb.upstreams[0].script = [framed(body)]
            client = await lb.client()
            client.send("r1")
            headers, got = await read_response(client)
            assert got == body and "x-trailer" not in headers
            await recorded.until(lambda: recorded.of(AttemptFinished))
            (outcome,) = recorded.of(AttemptFinished)
            assert (outcome.result, outcome.request_complete) == (R.OK, True)
            begun = recorded.of(ResponseStarted)
            assert len(begun) == (len(body) > MAX_BUFFERED_BODY_BYTES)
            assert all(e.duration_ns <= outcome.duration_ns for e in begun)
            # Both connections are reused, unless the end of the upstream's connection ended the response.
            assert (await client.request("r2")).body == b"s-0"
            assert len(lb.upstreams[0].links) == (2 if framed is response_until_close else 1)

    run(test())


@pytest.mark.parametrize("framed", [response_with_length, chunked_response])
def test_a_client_of_http_1_0_reads_to_the_end_of_its_connection(framed: Callable[[bytes], bytes]) -> None:
    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [framed(LONG_BODY)]
            client = await lb.client()
            client.writer.write(b"GET /quote HTTP/1.0\r\nHost: o\r\nX-Request-Id: r1\r\n\r\n")
            headers, got = await read_response(client)
            assert got == LONG_BODY and "transfer-encoding" not in headers
            assert headers["connection"] == "close"

    run(test())


def test_a_slow_response_without_a_length_is_forwarded_before_it_is_complete() -> None:
    async def test() -> None:
        async with balancer_with_stepwise_response() as (_, client, steps):
            await steps.write(OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n")
            assert b"chunked" in await client.reader.readuntil(b"\r\n\r\n")
            assert await client.reader.readexactly(8) == b"3\r\none\r\n"
            await steps.write(b"5\r\nthree\r\n0\r\n\r\n")
            assert await client.reader.readuntil(b"0\r\n\r\n") == b"5\r\nthree\r\n0\r\n\r\n"

    run(test())


@pytest.mark.parametrize(
    ("how", "ending"),  # noise, that is, invalid bytes, can be detected only between chunks
    [(how, ending) for how in ("told", "chunked", "1.0") for ending in ("reset", "end")]
    + [("chunked", "noise")],
)
def test_a_broken_connection_during_a_streamed_response_resets_the_client(
    recorded: EventRecorder, how: str, ending: str
) -> None:
    """An upstream's connection breaks in the middle of a streamed response. The client's connection is
    reset, as an ordinary close could look like the end of the response. The request is not retried.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            steps = StepwiseResponse(lb)
            client = await lb.client()
            version = b"1.0" if how == "1.0" else b"1.1"
            client.writer.write(b"GET /quote HTTP/%b\r\nHost: o\r\nX-Request-Id: r1\r\n\r\n" % version)
            if how == "chunked":
                await steps.write(
                    OK + b"Transfer-Encoding: chunked\r\n\r\n11170\r\n" + LONG_BODY[:0x11170] + b"\r\n"
                )
            else:
                await steps.write(OK + b"Content-Length: 500000\r\n\r\n" + LONG_BODY[:100_000])
            await client.reader.readuntil(b"\r\n\r\n")
            if ending == "reset":
                steps.link.abort()
            elif ending == "end":
                await steps.end()
            else:
                await steps.write(b"zz\r\n")
            # the client sees a reset, not the regular end of the connection
            with pytest.raises(ConnectionError):
                while await client.reader.read(65536):
                    pass
                raise AssertionError("the response ended as if it were complete")
            await recorded.until(lambda: recorded.of(AttemptFinished))
            assert recorded.results() == [R.ERROR if ending == "noise" else R.RESET]
            assert recorded.of(AttemptFinished)[0].request_complete  # the request was not retried
            assert (await lb.request("r2")).body == b"s-0"

    run(test())


def test_a_client_that_does_not_read_pauses_its_upstream_and_uses_little_memory(
    recorded: EventRecorder,
) -> None:
    """A client does not read a long response. The upstream can send no more of the response's 32 MB than the
    buffers on the way hold. The rest is sent once the client reads.
    """
    size = 32_000_000

    async def test() -> None:
        async with in_process_balancer() as lb:
            steps = StepwiseResponse(lb)
            with socket.socket() as slow:
                slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
                slow.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(slow, lb.address)
                await loop.sock_sendall(slow, b"GET /quote HTTP/1.1\r\nHost: o\r\nX-Request-Id: r1\r\n\r\n")
                await steps.write(OK + b"Content-Length: %d\r\n\r\n" % size)
                transport = steps.link.transport
                assert isinstance(transport, asyncio.Transport)
                sent = 0

                def room() -> bool:
                    return transport.get_write_buffer_size() == 0

                piece = LONG_BODY[:50_000]
                while room():
                    transport.write(piece)
                    sent += len(piece)
                    for _ in range(50):  # enough loop iterations to forward all data that can be forwarded
                        await asyncio.sleep(0)
                    await asyncio.sleep(0.001)
                left = sent - transport.get_write_buffer_size()
                # The upstream's own send buffer is not limited here, and may grow to 4 MB. In addition there
                # are both buffers of two connections (doubled by the kernel), one read and the write limit.
                assert left < 4_194_304 + 2 * 2 * 2 * KERNEL_BUFFER_BYTES + 2 * len(READ_BUFFER)
                got = b""
                # all data that was written arrives once the client reads
                while got.count(piece) < sent // len(piece):
                    got += await loop.sock_recv(slow, 1 << 20)
            await recorded.until(lambda: recorded.of(ClientDisconnected))
            await recorded.until(lambda: recorded.of(AttemptFinished))
            assert recorded.results() == [R.CANCELLED]
            await lb.upstreams[0].until(lambda: lb.upstreams[0].ended == 1)

    run(test())


def test_a_client_that_disconnects_during_a_streamed_response_cancels_the_attempt(
    recorded: EventRecorder,
) -> None:
    """A client disconnects in the middle of a streamed response. The attempt is cancelled, and the
    upstream's connection is closed.
    """

    async def test() -> None:
        async with balancer_with_stepwise_response() as (lb, client, steps):
            await steps.write(OK + b"Content-Length: 500000\r\n\r\n" + LONG_BODY[:100_000])
            await client.reader.readexactly(1000)
            client.writer.transport.abort()
            await recorded.until(lambda: recorded.of(AttemptFinished))
            assert recorded.results() == [R.CANCELLED]
            await lb.upstreams[0].until(lambda: lb.upstreams[0].ended == 1)
            assert (await lb.request("r2")).status == 200

    run(test())


@pytest.mark.parametrize("status", [500, 404])
def test_the_body_of_a_long_error_is_not_read(recorded: EventRecorder, status: int) -> None:
    """An upstream answers with an error of many megabytes. The status is sufficient: the body is not read,
    and the connection is closed.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [
                b"HTTP/1.1 %d X\r\nContent-Length: 9000000\r\n\r\n" % status + LONG_BODY
            ]
            # the settings allow only one attempt for each request
            assert (await lb.request("r1")).status == 503
            assert recorded.results() == [R.ERROR]
            await lb.upstreams[0].until(lambda: lb.upstreams[0].ended == 1)

    run(test())


def test_pipelined_requests_wait_for_a_long_response() -> None:
    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [response_with_length(LONG_BODY), answer(200, b"second")]
            client = await lb.client()
            client.send("r1")
            client.send("r2")
            assert (await read_response(client))[1] == LONG_BODY
            assert (await read_message(client.reader)).body == b"second"

    run(test())
