"""The writing half of a client's connection: last responses, and clients that do not read them."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import pytest

from lanelift.net import connection_phases, exchange
from lanelift.net.client_connection import ClientConnection
from lanelift.net.connection_phases import Phase
from lanelift.policy.events import (
    RequestArrived,
)
from tests.fakes import Client, answer, run
from tests.in_process import EventRecorder, in_process_balancer
from tests.net.support import LONG_BODY, response_with_length


@pytest.mark.parametrize("when", ["before", "behind"])
def test_bytes_that_come_as_a_connection_is_closed_do_not_lose_its_last_answer(
    monkeypatch: pytest.MonkeyPatch, when: str
) -> None:
    """Bytes from a client arrive while the balancer closes the client's connection. Closing a socket with
    unread bytes resets the connection, and the last response is lost. So only the sending side is closed, and
    the client reads its response whether the bytes come before or after the sending side is closed.
    """
    close_after_response = ClientConnection._close_after_response
    peers: list[socket.socket] = []

    def send_while_closing(client: ClientConnection) -> None:
        if when == "before":
            peers[0].send(b"GET /quote HTTP/1.1\r\n")
        close_after_response(client)
        if when == "behind":
            peers[0].send(b"GET /quote HTTP/1.1\r\n")

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with in_process_balancer() as lb:
            monkeypatch.setattr(ClientConnection, "_close_after_response", send_while_closing)
            with socket.create_connection(lb.address) as sock:
                peers.append(sock)
                sock.setblocking(False)
                await loop.sock_sendall(sock, b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                received = b""
                while data := await loop.sock_recv(sock, 65536):
                    received += data
                assert received.startswith(b"HTTP/1.1 200 ") and received.endswith(b"ready\n")

    run(test())


def test_a_client_that_stays_connected_after_its_last_answer_is_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client keeps its connection open after its last response, and continues to send. A half-closed
    connection would accept the bytes for ever, so the connection is closed after a time-out.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.CLOSING, 0.0)

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            client.writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            assert (await client.answer()).status == 200
            await client.ended()
            with pytest.raises(ConnectionError):
                while True:  # a half-closed connection would accept these bytes for ever
                    client.writer.write(b"x" * 65536)
                    await client.writer.drain()

    run(test())


def test_answers_do_not_accumulate_for_a_client_that_does_not_read(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """A client sends request after request and reads no responses, which would accumulate in memory.
    The client's further requests are not begun, and the client's connection is closed.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.IDLE, 0.5)

    async def test() -> None:
        async with in_process_balancer() as lb:
            body = b"x" * 60_000
            lb.upstreams[0].script = [answer(200, body) for _ in range(1000)]
            reader, writer = await asyncio.open_connection(*lb.address, limit=1)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            client = Client(reader, writer)
            for number in range(1000):
                client.send(f"r{number}")
            # No more answers are written, and no more requests begun; then the connection ends.
            with suppress(ConnectionError):
                while True:
                    writer.write(b"\r\n")
                    await asyncio.sleep(0.01)
                    if writer.transport.is_closing():
                        break
            assert len(recorded.of(RequestArrived)) < 900
            assert (await lb.request("last")).status == 200

    run(test())


def test_a_client_may_read_its_last_answer_slowly_to_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client reads its last response slowly. The connection is closed after the response, but the part
    that is still in the buffers is not discarded, however long the client takes.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.CLOSING, 0.05)

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [response_with_length(LONG_BODY)]
            loop = asyncio.get_running_loop()
            with socket.socket() as slow:
                slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                slow.setblocking(False)
                await loop.sock_connect(slow, lb.address)
                await loop.sock_sendall(slow, b"GET /quote HTTP/1.0\r\nHost: o\r\nX-Request-Id: r1\r\n\r\n")
                await asyncio.sleep(0.3)  # longer than the time-out of the CLOSING phase
                got = b""
                while piece := await loop.sock_recv(slow, 65536):
                    got += piece
                assert got.partition(b"\r\n\r\n")[2] == LONG_BODY

    run(test())


def test_a_client_that_stops_reading_its_response_is_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client stops reading a long response. The client's connection would stay open for ever, so the
    balancer resets it, and the reset shows that the response is incomplete.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.FLUSHING, 0.1)
    monkeypatch.setattr(exchange, "SILENCE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(exchange, "CLIENT_STALL_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [response_with_length(LONG_BODY * 4)]
            loop = asyncio.get_running_loop()
            with socket.socket() as stalled:
                stalled.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                stalled.setblocking(False)
                await loop.sock_connect(stalled, lb.address)
                await loop.sock_sendall(
                    stalled, b"GET /quote HTTP/1.1\r\nHost: o\r\nX-Request-Id: r1\r\n\r\n"
                )
                await asyncio.sleep(0.5)
                with pytest.raises(ConnectionError):
                    while await loop.sock_recv(stalled, 65536):
                        pass
                    raise AssertionError("the response ended as if it were complete")

    run(test())
