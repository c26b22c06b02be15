"""Streamed request bodies whose client or upstream breaks its connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import replace

import pytest

from lanelift.net import connection_phases, exchange
from lanelift.net.connection_phases import Phase
from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES
from lanelift.net.socket_options import KERNEL_BUFFER_BYTES
from lanelift.net.upstream_connection import UpstreamConnection
from lanelift.policy.events import (
    AttemptFinished,
    ClientDisconnected,
)
from lanelift.policy.settings import Idempotency
from tests.fakes import answer, read_message, run
from tests.in_process import CLASSES, SETTINGS, EventRecorder, InProcessBalancer, in_process_balancer
from tests.net.support import (
    LONG_BODY,
    NO_CANCEL,
    Gate,
    R,
    chunked_request,
    request_head,
    request_ids,
    request_with_length,
)

BODY = b"x" * (2 * MAX_BUFFERED_BODY_BYTES)


def test_a_client_that_disconnects_while_paused_is_noticed_before_its_request_is_sent(
    recorded: EventRecorder,
) -> None:
    """A client with a long body disconnects while the upstream's connection is being established. Reading
    from the client is paused, so the client's disconnection is not reported. The kernel is queried before the
    request would be sent, and the request is not sent.
    """

    async def test() -> None:
        async with in_process_balancer(settings=NO_CANCEL) as lb:
            gate = Gate(lb.upstreams[0])
            client = await lb.client()
            client.send("r1", "pay", "POST", BODY)
            await gate.reached.wait()
            client.writer.transport.abort()
            gate.open.set()
            await recorded.until(lambda: recorded.of(ClientDisconnected) and recorded.of(AttemptFinished))
            assert recorded.results() == [R.NOT_SENT]
            assert (await lb.request("r2")).status == 200
            assert request_ids(lb.upstreams[0]) == ["r2"]

    run(test())


def test_a_request_whose_client_disconnects_before_its_last_byte_is_written_stays_incomplete(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """A client disconnects while its upstream accepts no more of the request. The last byte has not been
    written, so the request never ran, and its attempt is given up even if attempts may not be cancelled.
    """
    connection_made = UpstreamConnection.connection_made

    def limit_send_buffer(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        connection_made(connection, transport)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as busy:
            busy.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            busy.bind(("127.0.0.1", 0))
            busy.listen()
            busy.setblocking(False)
            async with in_process_balancer(settings=NO_CANCEL) as lb:
                lb.upstreams[0].port = busy.getsockname()[1]
                await lb.change_endpoints(lb.upstreams[0].row())
                monkeypatch.setattr(UpstreamConnection, "connection_made", limit_send_buffer)
                client = await lb.client()
                client.send("r1", "pay", "POST", b"x" * MAX_BUFFERED_BODY_BYTES)
                taken, _ = await loop.sock_accept(busy)
                with taken:
                    came = await loop.sock_recv(taken, 1)
                    client.close()
                    await recorded.until(
                        lambda: recorded.of(ClientDisconnected) and recorded.of(AttemptFinished)
                    )
                    with suppress(ConnectionError):
                        while data := await loop.sock_recv(taken, 65536):
                            came += data
                    assert len(came) < MAX_BUFFERED_BODY_BYTES
                    assert recorded.results() == [R.CANCELLED]

    run(test())


KEYED = replace(
    SETTINGS,
    classes={
        **CLASSES,
        "book": replace(CLASSES["quote"], name="book", idempotency=Idempotency.IDEMPOTENCY_KEY),
    },
    limits=replace(SETTINGS.limits, max_attempts=3),
)


@pytest.mark.parametrize("what", ["leaves", "noise", "silence"])
def test_a_request_with_an_incomplete_body_never_runs(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, what: str
) -> None:
    """A client disconnects in the middle of a long body, sends invalid chunks, or sends nothing more. The
    attempt is cancelled, and no upstream gets a complete request.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.READING_BODY, 0.2)

    async def test() -> None:
        async with in_process_balancer(
            settings=replace(SETTINGS, limits=replace(SETTINGS.limits, may_cancel=False))
        ) as lb:
            client = await lb.client()
            client.writer.write(
                chunked_request("r1", LONG_BODY)[: 200_000 if what != "noise" else 3000 + 3 * 30_000]
            )
            await lb.upstreams[0].until(lambda: lb.upstreams[0].links)
            if what == "leaves":
                client.writer.transport.abort()
            else:
                if what == "noise":
                    client.writer.write(b"\r\nno chunk\r\n" * 3000)
                got = await read_message(client.reader)
                assert got.status == (400 if what == "noise" else 408)
            await recorded.until(lambda: recorded.of(AttemptFinished))
            assert recorded.results() == [R.CANCELLED]
            await lb.upstreams[0].until(lambda: lb.upstreams[0].ended == 1)
            assert not lb.upstreams[0].seen
            assert (await lb.request("r2")).status == 200

    run(test())


@asynccontextmanager
async def server_that_never_reads() -> AsyncIterator[tuple[str, int]]:
    """Runs a server that accepts connections and reads nothing."""
    links = []

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        links.append(writer)

    server = await asyncio.start_server(hold, "127.0.0.1", 0, limit=1024)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()
        for link in links:
            link.transport.abort()


async def move_upstream(lb: InProcessBalancer, address: tuple[str, int]) -> None:
    row = lb.upstreams[0].row() | {"addr": f"{address[0]}:{address[1]}"}
    await lb.change_endpoints(row)


def test_an_upstream_that_does_not_read_pauses_its_client_and_is_given_up(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """An upstream reads nothing of a long body. Reading from the client is paused, so that memory is
    bounded, and the attempt is given up after a time-out.
    """
    monkeypatch.setattr(exchange, "SILENCE_TIMEOUT_S", 0.5)

    async def test() -> None:
        async with in_process_balancer() as lb, server_that_never_reads() as address:
            await move_upstream(lb, address)
            client = await lb.client()
            size = 30_000_000
            client.writer.write(request_head("r1", "pay", f"Content-Length: {size}"))
            client.writer.transport.set_write_buffer_limits(high=0)
            sent = 0
            while sent < size and not recorded.of(AttemptFinished):
                client.writer.write(LONG_BODY)
                sent += len(LONG_BODY)
                drained = asyncio.ensure_future(client.writer.drain())
                ended = asyncio.ensure_future(recorded.until(lambda: recorded.of(AttemptFinished)))
                await asyncio.wait((drained, ended), return_when=asyncio.FIRST_COMPLETED)
                drained.cancel()
                ended.cancel()
            # The client's and the server's buffers may grow to 4 MB each; between them are the balancer's.
            assert sent < 2 * 4_194_304 + 2 * 2 * 2 * KERNEL_BUFFER_BYTES + 2_000_000
            # the last byte was not written, so the request never ran
            assert recorded.results() == [R.CONNECT_FAILED]
            assert recorded.of(AttemptFinished)[0].body_consumed

    run(test())


def test_a_body_is_sent_to_another_upstream_only_if_none_of_it_was_written(recorded: EventRecorder) -> None:
    """An upstream refuses the connection on which a long body was to be sent: nothing was written, and the
    request goes to another upstream. A connection breaks after part of a body was written: the request can't
    be sent again, and is rejected, as the request never ran.
    """

    async def test() -> None:
        async with in_process_balancer(2, settings=KEYED) as lb:
            lb.upstreams[0].stop()  # the upstream's port refuses connections
            number = 0
            # sends requests until the balancer picks the stopped upstream
            while R.CONNECT_FAILED not in recorded.results():
                number += 1
                got = await lb.request(f"r{number}", "book", "POST", LONG_BODY, Idempotency_Key=f"k{number}")
                assert (got.status, got.body) == (200, b"s-1")
            assert not any(
                o.body_consumed for o in recorded.of(AttemptFinished) if o.result is R.CONNECT_FAILED
            )
            # The connection breaks after part of the body: the request never ran, and is rejected, not
            # retried.
            client = await lb.client()
            client.writer.write(chunked_request("last", LONG_BODY, "book")[:200_000])
            links = lb.upstreams[1].links
            while not any(
                link.partial_request is not None for link in links
            ):  # polled, as no event reports that an upstream received part of a request
                await asyncio.sleep(0.001)
            before = len(recorded.results())
            next(link for link in links if link.partial_request is not None).abort()
            got = await read_message(client.reader)
            assert (got.status, got.headers["connection"]) == (503, "close")
            assert (
                recorded.results()[before:] == [R.CONNECT_FAILED]
                and recorded.of(AttemptFinished)[-1].body_consumed
            )

    run(test())


def test_an_answer_before_the_end_of_the_body_is_returned_and_the_rest_is_not_read(
    recorded: EventRecorder,
) -> None:
    """An upstream answers before a long body is complete. The client gets the answer immediately, as the
    last on its connection, and the rest of the body is not read.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            client.writer.write(request_with_length("r1", LONG_BODY)[:200_000])
            upstream = lb.upstreams[0]
            await upstream.until(lambda: upstream.links)
            transport = upstream.links[0].transport
            assert isinstance(transport, asyncio.Transport)
            transport.write(answer(500))
            got = await read_message(client.reader)
            assert (got.status, got.headers["connection"]) == (502, "close")
            await client.ended()
            assert recorded.results() == [R.ERROR]

    run(test())
