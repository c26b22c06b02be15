"""Noise or a second response right behind a response that is streamed, or that is short."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES
from lanelift.policy.events import ResponseStarted
from tests.fakes import answer, run
from tests.in_process import EventRecorder, in_process_balancer
from tests.net.support import (
    LONG_BODY,
    OK,
    R,
    StepwiseResponse,
    chunked_response,
    read_response,
    response_with_length,
)


def response_that_closes(body: bytes) -> bytes:
    return OK + b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def response_in_small_chunks(body: bytes) -> bytes:
    return chunked_response(body, 1000)


FRAMINGS = [response_with_length, response_that_closes, chunked_response, response_in_small_chunks]
SIZES = [MAX_BUFFERED_BODY_BYTES + 1, len(LONG_BODY), 16 * len(LONG_BODY)]
LONG_HEAD = OK + b"Content-Length: 100000\r\n\r\n"
EXTRAS = {
    "noise": bytes(range(128, 256)),
    "one byte of noise": b"\xff",
    "one byte of a response": b"H",
    "a short response": answer(200, b"again"),
    "a long response's head": LONG_HEAD + b"part",
    "a long response": response_with_length(LONG_BODY),
    "a long response in chunks": chunked_response(LONG_BODY),
}


def body_of(size: int) -> bytes:
    return (LONG_BODY * (1 + size // len(LONG_BODY)))[:size]


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("framed", FRAMINGS)
@pytest.mark.parametrize("extra", EXTRAS.values(), ids=EXTRAS)
def test_bytes_right_behind_a_streamed_response_take_nothing_of_it(
    recorded: EventRecorder, framed: Callable[[bytes], bytes], size: int, extra: bytes
) -> None:
    """Bytes follow a long response in the same read. They made its last part be dropped, and a response in
    chunks still ended as a complete one. The response is forwarded completely, and its connection closed.
    """
    body = body_of(size)

    async def test() -> None:
        async with in_process_balancer() as lb:
            upstream = lb.upstreams[0]
            upstream.script = [framed(body) + extra, answer(200, b"second")]
            client = await lb.client()
            client.send("r1")
            assert (await read_response(client))[1] == body
            assert (await client.request("r2")).body == b"second"
            assert [m.link for m in upstream.seen] == [1, 2]  # the first connection is not used again
            assert recorded.results() == [R.OK, R.OK]

    run(test())


@pytest.mark.parametrize("framed", FRAMINGS)
@pytest.mark.parametrize("extra", [EXTRAS["noise"], EXTRAS["one byte of noise"]], ids=["noise", "one byte"])
def test_noise_behind_the_last_of_several_reads_takes_nothing_of_a_response(
    recorded: EventRecorder, framed: Callable[[bytes], bytes], extra: bytes
) -> None:
    """As above, with a response that is being forwarded when its end and noise are read."""
    response = framed(LONG_BODY)

    async def test() -> None:
        async with in_process_balancer() as lb:
            steps = StepwiseResponse(lb)
            client = await lb.client()
            client.send("r1")
            received = asyncio.create_task(read_response(client))
            await steps.write(response[:-100])
            await recorded.until(lambda: recorded.of(ResponseStarted))
            await steps.write(response[-100:] + extra)
            assert (await received)[1] == LONG_BODY
            await recorded.until(recorded.results)
            assert recorded.results() == [R.OK]

    run(test())


@pytest.mark.parametrize("extra", EXTRAS.values(), ids=EXTRAS)
@pytest.mark.parametrize("framed", FRAMINGS)
def test_bytes_right_behind_a_short_response_are_not_streamed(
    recorded: EventRecorder, framed: Callable[[bytes], bytes], extra: bytes
) -> None:
    """A response that would be streamed follows a short one in the same read. Its head was sent to the client
    in place of the short response.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            upstream = lb.upstreams[0]
            upstream.script = [framed(b"first") + extra, answer(200, b"second")]
            client = await lb.client()
            client.send("r1")
            assert (await read_response(client))[1] == b"first"
            assert (await client.request("r2")).body == b"second"
            assert [m.link for m in upstream.seen] == [1, 2]
            assert recorded.results() == [R.OK, R.OK]

    run(test())


@pytest.mark.parametrize("extra", [b"\xff", bytes(range(128, 256))], ids=["one byte", "noise"])
def test_a_client_of_http_1_0_gets_the_complete_response_before_noise(extra: bytes) -> None:
    """To such a client the end of the connection is the end of a response in chunks, so that a part which is
    dropped would never be missed.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [chunked_response(LONG_BODY) + extra]
            client = await lb.client()
            client.writer.write(b"GET /quote HTTP/1.0\r\nHost: o\r\nX-Request-Id: r1\r\n\r\n")
            assert (await read_response(client))[1] == LONG_BODY

    run(test())


@pytest.mark.parametrize("extra", [b"zz\r\n", b"\xff"], ids=["no chunk", "one byte"])
def test_noise_within_a_response_that_was_not_begun_is_a_failed_attempt(
    recorded: EventRecorder, extra: bytes
) -> None:
    """Noise comes between the chunks of a long response, in the read with which it becomes too long to be
    buffered. Nothing of it was sent to the client, so the client gets an answer and not a broken response.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            body = LONG_BODY[: MAX_BUFFERED_BODY_BYTES + 1]
            chunk = b"%x\r\n%b\r\n" % (len(body), body)
            lb.upstreams[0].script = [OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + extra]
            assert (await lb.request("r1")).status == 503  # the settings allow only one attempt
            assert recorded.results() == [R.ERROR]

    run(test())
