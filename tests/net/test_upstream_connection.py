"""A connection to an upstream: bytes after a response, and what a broken connection proves."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from lanelift.net.exchange import Exchange
from lanelift.net.http_messages import encode_message
from lanelift.net.upstream_connection import UpstreamConnection
from lanelift.policy.events import (
    AttemptResult,
)
from tests.fakes import answer, run
from tests.in_process import EventRecorder, in_process_balancer
from tests.net.support import R


@pytest.mark.parametrize("extra", [answer(200, b"again"), b"\x00noise\r\n", b"H"])
def test_bytes_after_a_response_answer_no_other_request(recorded: EventRecorder, extra: bytes) -> None:
    """A second response, or noise, follows a response. The connection is closed, and the next request is
    answered by its own response.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            upstream = lb.upstreams[0]
            upstream.script = [answer(200, b"first") + extra, answer(200, b"second")]
            assert (await lb.request("r1")).body == b"first"
            assert (await lb.request("r2")).body == b"second"
            assert [m.link for m in upstream.seen] == [1, 2]  # the first connection is not used again
            assert recorded.results() == [R.OK, R.OK]

    run(test())


def test_bytes_on_an_idle_connection_close_it() -> None:
    """A second response comes on an idle connection. It belongs to no request: the connection is closed."""

    async def test() -> None:
        async with in_process_balancer() as lb:
            upstream = lb.upstreams[0]
            assert (await lb.request("r1")).status == 200
            upstream.links[0].write(answer(200, b"again"))
            await upstream.until(lambda: upstream.ended == 1)
            assert (await lb.request("r2")).body == b"s-0"

    run(test())


def test_interim_responses_are_skipped() -> None:
    async def test() -> None:
        async with in_process_balancer() as lb:
            hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
            lb.upstreams[0].script = [hints + answer(200, b"at last")]
            assert (await lb.request("r1")).body == b"at last"

    run(test())


@pytest.mark.parametrize(("size", "result"), [(10, R.RESET), (50_000_000, R.CONNECT_FAILED)])
def test_a_connection_that_breaks_before_the_last_byte_was_written_does_not_count_as_reset(
    size: int, result: AttemptResult
) -> None:
    """An upstream's connection breaks. If the last byte of the request was not written, the request can't
    have run, and the outcome is CONNECT_FAILED; else it may have run, and the outcome is RESET.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[AttemptResult] = loop.create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        connection = UpstreamConnection(lambda c: None, lambda c: None)
        await loop.create_connection(lambda: connection, *server.sockets[0].getsockname())
        request = encode_message(b"POST / HTTP/1.1", [(b"Content-Length", b"%d" % size)], b"x" * size)
        connection.start(Exchange(request, lambda r, response: ended.set_result(r)))
        assert await ended is result
        server.close()

    run(test())


def test_a_request_of_which_no_byte_could_be_written_never_ran() -> None:
    """A connection is reset after it was checked, and before the request is written. The write fails
    immediately, so the request never ran.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[AttemptResult] = loop.create_future()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            connection = UpstreamConnection(lambda c: None, lambda c: None)
            await loop.create_connection(lambda: connection, *listener.getsockname())
            server, _ = listener.accept()
            server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            server.close()
            connection.start(Exchange(b"GET / HTTP/1.1\r\n\r\n", lambda r, _: ended.set_result(r)))
            assert await ended is R.CONNECT_FAILED

    run(test())
