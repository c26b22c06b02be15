"""The writing half of a client's connection: last responses, and clients that do not read."""

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
from tests.net.support import LONG, response_with_length


@pytest.mark.parametrize("when", ["before", "behind"])
def test_bytes_that_come_as_a_connection_is_ended_do_not_take_its_last_answer_along(
    monkeypatch: pytest.MonkeyPatch, when: str
) -> None:
    """A client's bytes come as its connection is being ended. A close over unread bytes resets the
    connection and takes the last response along. Only the sending ends, so the client reads its response
    whether they come before or behind that.
    """
    leave = ClientConnection._close_after_response
    peers: list[socket.socket] = []

    def crossed(client: ClientConnection) -> None:
        if when == "before":
            peers[0].send(b"GET /quote HTTP/1.1\r\n")
        leave(client)
        if when == "behind":
            peers[0].send(b"GET /quote HTTP/1.1\r\n")

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with in_process_balancer() as w:
            monkeypatch.setattr(ClientConnection, "_close_after_response", crossed)
            with socket.create_connection(w.address) as sock:
                peers.append(sock)
                sock.setblocking(False)
                await loop.sock_sendall(sock, b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                came = b""
                while data := await loop.sock_recv(sock, 65536):
                    came += data
                assert came.startswith(b"HTTP/1.1 200 ") and came.endswith(b"ready\n")

    run(test())


def test_a_client_that_does_not_close_behind_its_last_answer_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client does not close its connection behind its last response, and sends on. A half-closed
    connection would take that for ever, so it is closed after a while.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.CLOSING, 0.0)

    async def test() -> None:
        async with in_process_balancer() as w:
            client = await w.client()
            client.writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            assert (await client.answer()).status == 200
            await client.ended()
            with pytest.raises(ConnectionError):
                while True:  # a half-closed one would take this for ever
                    client.writer.write(b"x" * 65536)
                    await client.writer.drain()

    run(test())


def test_a_client_that_does_not_read_gets_no_more_answers_piled_up(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """A client sends request after request and reads no responses. They would pile up in memory. Its
    requests are not begun any more, and its connection is ended.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.IDLE, 0.5)

    async def test() -> None:
        async with in_process_balancer() as w:
            body = b"x" * 60_000
            w.upstreams[0].script = [answer(200, body) for _ in range(1000)]
            reader, writer = await asyncio.open_connection(*w.address, limit=1)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            client = Client(reader, writer)
            for number in range(1000):
                client.send(f"r{number}")
            # Answers stop going out, and with them the requests behind them; then the connection ends.
            with suppress(ConnectionError):
                while True:
                    writer.write(b"\r\n")
                    await asyncio.sleep(0.01)
                    if writer.transport.is_closing():
                        break
            assert len(recorded.of(RequestArrived)) < 900
            assert (await w.request("last")).status == 200

    run(test())


def test_a_last_answer_is_read_to_its_end_however_slowly(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client reads its last response slowly. The connection ends behind the response, and what is still
    in the buffers is not thrown away with it, however long the client takes.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.CLOSING, 0.05)

    async def test() -> None:
        async with in_process_balancer() as w:
            w.upstreams[0].script = [response_with_length(LONG)]
            loop = asyncio.get_running_loop()
            with socket.socket() as slow:
                slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                slow.setblocking(False)
                await loop.sock_connect(slow, w.address)
                await loop.sock_sendall(slow, b"GET /quote HTTP/1.0\r\nHost: o\r\nX-Request-Id: r1\r\n\r\n")
                await asyncio.sleep(0.3)  # longer than a last answer is left for
                got = b""
                while piece := await loop.sock_recv(slow, 65536):
                    got += piece
                assert got.partition(b"\r\n\r\n")[2] == LONG

    run(test())


def test_a_client_that_never_reads_the_rest_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client reads no more of a long response. Its connection would stay for ever, so it is ended by a
    reset, which shows that the response is incomplete.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.FLUSHING, 0.1)
    monkeypatch.setattr(exchange, "UPSTREAM_SILENCE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(exchange, "CLIENT_STALL_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with in_process_balancer() as w:
            w.upstreams[0].script = [response_with_length(LONG * 4)]
            loop = asyncio.get_running_loop()
            with socket.socket() as deaf:
                deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                deaf.setblocking(False)
                await loop.sock_connect(deaf, w.address)
                await loop.sock_sendall(deaf, b"GET /quote HTTP/1.1\r\nHost: o\r\nX-Request-Id: r1\r\n\r\n")
                await asyncio.sleep(0.5)
                with pytest.raises(ConnectionError):
                    while await loop.sock_recv(deaf, 65536):
                        pass
                    raise AssertionError("it ended as if it were whole")

    run(test())
