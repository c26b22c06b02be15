"""Responses that are streamed: framing, breaks, progress and slow clients."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES
from lanelift.net.socket_options import KERNEL_BUFFER_BYTES
from lanelift.net.upstream_connection import READ_BUFFER
from lanelift.policy.events import AttemptFinished, ClientDisconnected, ResponseStarted
from tests.fakes import answer, read_message, run
from tests.in_process import EventRecorder, in_process_balancer
from tests.net.support import LONG, OK, R, Steps, body_of, chunked_response, response_with_length, stepwise


def response_until_close(body: bytes) -> bytes:
    return OK + b"Connection: close\r\n\r\n" + body


@pytest.mark.usefixtures("settled")
@pytest.mark.parametrize("framed", [response_with_length, chunked_response, response_until_close])
@pytest.mark.parametrize(
    "body", [LONG, LONG[: MAX_BUFFERED_BODY_BYTES + 1], LONG[:MAX_BUFFERED_BODY_BYTES], b"short", b""]
)
def test_an_answer_of_any_length_and_framing_arrives_whole(
    recorded: EventRecorder, framed: Callable[[bytes], bytes], body: bytes
) -> None:
    async def test() -> None:
        async with in_process_balancer() as w:
            if framed is response_until_close:

                async def reply() -> bytes:
                    link = w.upstreams[0].links[-1]
                    assert link.transport is not None
                    link.transport.write(response_until_close(body))
                    link.transport.close()
                    return b""

                w.upstreams[0].script = [reply]
            else:
                w.upstreams[0].script = [framed(body)]
            client = await w.client()
            client.send("r1")
            headers, got = await body_of(client)
            assert got == body and "x-trailer" not in headers
            await recorded.until(lambda: recorded.of(AttemptFinished))
            (outcome,) = recorded.of(AttemptFinished)
            assert (outcome.result, outcome.request_complete) == (R.OK, True)
            begun = recorded.of(ResponseStarted)
            assert len(begun) == (len(body) > MAX_BUFFERED_BODY_BYTES)
            assert all(e.duration_ns <= outcome.duration_ns for e in begun)
            # The connections go on: the client's, and the upstream's unless it ended the answer.
            assert (await client.request("r2")).body == b"s-0"
            assert len(w.upstreams[0].links) == (2 if framed is response_until_close else 1)

    run(test())


@pytest.mark.parametrize("framed", [response_with_length, chunked_response])
def test_a_client_of_http_1_0_reads_to_the_end_of_its_connection(framed: Callable[[bytes], bytes]) -> None:
    async def test() -> None:
        async with in_process_balancer() as w:
            w.upstreams[0].script = [framed(LONG)]
            client = await w.client()
            client.writer.write(b"GET /quote HTTP/1.0\r\nHost: o\r\nX-Request-Id: r1\r\n\r\n")
            headers, got = await body_of(client)
            assert got == LONG and "transfer-encoding" not in headers
            assert headers["connection"] == "close"

    run(test())


def test_a_slow_answer_without_a_length_goes_on_before_it_is_whole() -> None:
    async def test() -> None:
        async with stepwise() as (_, client, steps):
            await steps.write(OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n")
            assert b"chunked" in await client.reader.readuntil(b"\r\n\r\n")
            assert await client.reader.readexactly(8) == b"3\r\none\r\n"
            await steps.write(b"5\r\nthree\r\n0\r\n\r\n")
            assert await client.reader.readuntil(b"0\r\n\r\n") == b"5\r\nthree\r\n0\r\n\r\n"

    run(test())


@pytest.mark.parametrize(
    ("how", "ending"),  # noise: in a body that is counted anything is body
    [(how, ending) for how in ("told", "chunked", "1.0") for ending in ("reset", "end")]
    + [("chunked", "noise")],
)
def test_a_break_behind_the_beginning_shows_and_is_no_whole_answer(
    recorded: EventRecorder, how: str, ending: str
) -> None:
    """An upstream breaks off in the middle of a response that is being streamed. The client's connection
    ends by a reset: a plain end would look like the end of the response to some. Nothing is sent again.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            steps = Steps(w)
            client = await w.client()
            version = b"1.0" if how == "1.0" else b"1.1"
            client.writer.write(b"GET /quote HTTP/%b\r\nHost: o\r\nX-Request-Id: r1\r\n\r\n" % version)
            if how == "chunked":
                await steps.write(
                    OK + b"Transfer-Encoding: chunked\r\n\r\n11170\r\n" + LONG[:0x11170] + b"\r\n"
                )
            else:
                await steps.write(OK + b"Content-Length: 500000\r\n\r\n" + LONG[:100_000])
            await client.reader.readuntil(b"\r\n\r\n")
            if ending == "reset":
                steps.link.abort()
            elif ending == "end":
                await steps.end()
            else:
                await steps.write(b"zz\r\n")
            with pytest.raises(
                ConnectionError
            ):  # a reset: the end of what is read to the end looks otherwise
                while await client.reader.read(65536):
                    pass
                raise AssertionError("it ended as if it were whole")
            await recorded.until(lambda: recorded.of(AttemptFinished))
            assert recorded.results() == [R.ERROR if ending == "noise" else R.RESET]
            assert recorded.of(AttemptFinished)[0].request_complete  # nothing is sent again
            assert (await w.request("r2")).body == b"s-0"

    run(test())


def test_a_client_that_does_not_read_holds_its_upstream_and_little_memory(recorded: EventRecorder) -> None:
    """A client does not read a long response. 32 MB wait at the upstream; of them no more than the buffers
    on the way have left it. The rest comes once the client reads.
    """
    size = 32_000_000

    async def test() -> None:
        async with in_process_balancer() as w:
            steps = Steps(w)
            with socket.socket() as slow:
                slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
                slow.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(slow, w.address)
                await loop.sock_sendall(slow, b"GET /quote HTTP/1.1\r\nHost: o\r\nX-Request-Id: r1\r\n\r\n")
                await steps.write(OK + b"Content-Length: %d\r\n\r\n" % size)
                transport = steps.link.transport
                assert isinstance(transport, asyncio.Transport)
                sent = 0

                def room() -> bool:
                    return transport.get_write_buffer_size() == 0

                piece = LONG[:50_000]
                while room():
                    transport.write(piece)
                    sent += len(piece)
                    for _ in range(50):  # turns of the loop, in which everything that can move does
                        await asyncio.sleep(0)
                    await asyncio.sleep(0.001)
                left = sent - transport.get_write_buffer_size()
                # The upstream's own buffer for sending is not ours to bound, and may grow to 4 MB. Beyond it:
                # two connections with both their buffers (doubled by the kernel), a read, the write's mark.
                assert left < 4_194_304 + 2 * 2 * 2 * KERNEL_BUFFER_BYTES + 2 * len(READ_BUFFER)
                got = b""
                while got.count(piece) < sent // len(piece):  # what was written comes once it reads
                    got += await loop.sock_recv(slow, 1 << 20)
            await recorded.until(lambda: recorded.of(ClientDisconnected))
            await recorded.until(lambda: recorded.of(AttemptFinished))
            assert recorded.results() == [R.CANCELLED]
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)

    run(test())


def test_a_client_that_leaves_while_it_reads_ends_the_attempt(recorded: EventRecorder) -> None:
    """A client disconnects in the middle of a streamed response. Its attempt is cancelled, and its
    upstream's connection is closed.
    """

    async def test() -> None:
        async with stepwise() as (w, client, steps):
            await steps.write(OK + b"Content-Length: 500000\r\n\r\n" + LONG[:100_000])
            await client.reader.readexactly(1000)
            client.writer.transport.abort()
            await recorded.until(lambda: recorded.of(AttemptFinished))
            assert recorded.results() == [R.CANCELLED]
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)
            assert (await w.request("r2")).status == 200

    run(test())


@pytest.mark.parametrize("status", [500, 404])
def test_a_long_error_is_an_error_and_is_not_read_on(recorded: EventRecorder, status: int) -> None:
    """An upstream answers with an error of many megabytes. The status says all that is needed: its body is
    not read, and its connection is closed.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            w.upstreams[0].script = [b"HTTP/1.1 %d X\r\nContent-Length: 9000000\r\n\r\n" % status + LONG]
            assert (await w.request("r1")).status == 503  # tried once, which is all that is allowed
            assert recorded.results() == [R.ERROR]
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)

    run(test())


def test_requests_sent_ahead_wait_for_a_long_answer() -> None:
    async def test() -> None:
        async with in_process_balancer() as w:
            w.upstreams[0].script = [response_with_length(LONG), answer(200, b"second")]
            client = await w.client()
            client.send("r1")
            client.send("r2")
            assert (await body_of(client))[1] == LONG
            assert (await read_message(client.reader)).body == b"second"

    run(test())
