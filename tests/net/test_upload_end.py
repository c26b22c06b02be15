"""The end of a streamed request body, and the next requests on its connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from lanelift.net.client_input import PARSE_SLICE_BYTES
from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES
from lanelift.net.upstream_connection import UpstreamConnection
from lanelift.policy.events import ClientDisconnected, RequestArrived
from tests.fakes import Client, never, read_message, run
from tests.in_process import EventRecorder, InProcessBalancer, in_process_balancer
from tests.net.support import (
    LONG_BODY,
    NO_CANCEL,
    Gate,
    R,
    chunked_request,
    request_with_length,
    retry_on_second_upstream,
)

FRAMINGS = [request_with_length, chunked_request]
SIZES = [
    MAX_BUFFERED_BODY_BYTES + 1,
    MAX_BUFFERED_BODY_BYTES + PARSE_SLICE_BYTES // 2,  # ends in the slice in which it becomes too long
    16 * len(LONG_BODY),
]
NEXT_ANSWER_S = 2.5  # far more than a request takes here
Framing = Callable[[str, bytes], bytes]


def body_of(size: int) -> bytes:
    return (LONG_BODY * (1 + size // len(LONG_BODY)))[:size]


async def check_requests_on_one_connection(
    lb: InProcessBalancer, framed: Framing, size: int, served_by: int = 0
) -> None:
    """Sends two long requests and a short one on one connection, each after the answer to the one before."""
    client: Client = await lb.client()
    for name in ("r1", "r2"):
        client.writer.write(framed(name, body_of(size)))
        assert (await asyncio.wait_for(read_message(client.reader), NEXT_ANSWER_S)).status == 200
    got = await asyncio.wait_for(client.request("r3"), NEXT_ANSWER_S)
    assert (got.status, got.headers.get("connection")) == (200, None)
    seen = lb.upstreams[served_by].seen
    assert [message.body for message in seen] == [body_of(size), body_of(size), b""]
    client.close()


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("framed", FRAMINGS)
@pytest.mark.parametrize("late", [False, True], ids=["connected", "late connection"])
def test_requests_after_a_long_body_are_answered(
    recorded: EventRecorder, framed: Framing, size: int, late: bool
) -> None:
    """A body ended while reading from its client was paused, as no connection to an upstream was attached
    yet. Reading was never resumed, and the next request on the connection was never answered.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            gate = Gate(lb.upstreams[0])
            if not late:
                gate.open.set()
            checked = asyncio.create_task(check_requests_on_one_connection(lb, framed, size))
            await recorded.until(lambda: recorded.of(RequestArrived))
            await asyncio.sleep(0.05)  # what can be read of the body is read before the connection is there
            gate.open.set()
            await checked

    run(test())


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("framed", FRAMINGS)
def test_requests_after_a_long_body_that_was_retried_are_answered(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, framed: Framing, size: int
) -> None:
    """As above, with a first attempt that gets no connection: reading stays paused until the retry."""
    retry_on_second_upstream(monkeypatch, recorded)

    async def test() -> None:
        async with in_process_balancer(2, settings=NO_CANCEL) as lb:
            lb.upstreams[0].stop()  # the upstream's port refuses connections
            await check_requests_on_one_connection(lb, framed, size, served_by=1)
            assert recorded.results() == [R.CONNECT_FAILED, R.OK] * 3

    run(test())


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("framed", FRAMINGS)
def test_requests_after_a_long_body_that_filled_the_write_buffer_are_answered(
    monkeypatch: pytest.MonkeyPatch, framed: Framing, size: int
) -> None:
    """As above, with a connection whose write buffer is full after each write, so that reading is paused
    because of the last piece of the body.
    """
    connection_made = UpstreamConnection.connection_made

    def fill_buffer_with_each_write(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        write = transport.write

        def write_and_fill(data: bytes) -> None:
            write(data)
            connection.pause_writing()
            asyncio.get_running_loop().call_soon(connection.resume_writing)

        monkeypatch.setattr(transport, "write", write_and_fill)
        connection_made(connection, transport)

    monkeypatch.setattr(UpstreamConnection, "connection_made", fill_buffer_with_each_write)

    async def test() -> None:
        async with in_process_balancer() as lb:
            await check_requests_on_one_connection(lb, framed, size)

    run(test())


@pytest.mark.parametrize("framed", FRAMINGS)
@pytest.mark.parametrize("size", SIZES)
def test_a_client_that_disconnects_after_its_long_body_is_noticed(
    recorded: EventRecorder, framed: Framing, size: int
) -> None:
    """A client disconnects while its request with a long body awaits the response. While reading was paused,
    this was not noticed.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            upstream = lb.upstreams[0]
            upstream.script = [never]
            client = await lb.client()
            client.writer.write(framed("r1", body_of(size)))
            await upstream.until(lambda: upstream.seen)
            client.close()
            await asyncio.wait_for(recorded.until(lambda: recorded.of(ClientDisconnected)), NEXT_ANSWER_S)

    run(test())


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("framed", FRAMINGS)
def test_a_pipelined_request_behind_a_long_body_is_answered(framed: Framing, size: int) -> None:
    """The next request comes with the last bytes of the body, or right behind them."""

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            client.writer.write(framed("r1", body_of(size)) + framed("r2", b"short"))
            client.send("r3")
            for _ in range(3):
                assert (await asyncio.wait_for(read_message(client.reader), NEXT_ANSWER_S)).status == 200
            assert [message.body for message in lb.upstreams[0].seen] == [body_of(size), b"short", b""]

    run(test())
