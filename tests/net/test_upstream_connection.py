"""One connection to an upstream: what stands behind a response, and what a break proves."""

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
def test_what_stands_behind_an_answer_answers_no_other_request(recorded: EventRecorder, extra: bytes) -> None:
    """A second response, or noise, stands behind a response. The connection is closed, and the next request
    is answered by its own response.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            upstream = w.upstreams[0]
            upstream.script = [answer(200, b"first") + extra, answer(200, b"second")]
            assert (await w.request("r1")).body == b"first"
            assert (await w.request("r2")).body == b"second"
            assert [m.link for m in upstream.seen] == [1, 2]  # nothing more comes on the first connection
            assert recorded.results() == [R.OK, R.OK]

    run(test())


def test_what_comes_late_behind_an_answer_ends_the_connection() -> None:
    """A second response comes on an idle connection. Nobody asked for it: the connection is closed."""

    async def test() -> None:
        async with in_process_balancer() as w:
            upstream = w.upstreams[0]
            assert (await w.request("r1")).status == 200
            upstream.links[0].write(answer(200, b"again"))
            await upstream.until(lambda: upstream.ended == 1)
            assert (await w.request("r2")).body == b"s-0"

    run(test())


def test_interim_answers_are_let_pass() -> None:
    async def test() -> None:
        async with in_process_balancer() as w:
            hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
            w.upstreams[0].script = [hints + answer(200, b"at last")]
            assert (await w.request("r1")).body == b"at last"

    run(test())


@pytest.mark.parametrize(("size", "result"), [(10, R.RESET), (50_000_000, R.CONNECT_FAILED)])
def test_a_break_before_the_last_byte_was_written_is_no_reset(size: int, result: AttemptResult) -> None:
    """An upstream breaks off. If the last byte of the request had not been written it can't have run, and
    the outcome says so; else it may have run.
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
    """A connection is reset after it was looked at, and before the request is written. The write fails at
    once: the request never ran.
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
