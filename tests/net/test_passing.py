"""Answers that are longer than what is held: passed on as they come, slowly read, broken, given up."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.net import connection_phases, exchange
from lanelift.net.connection_phases import Phase
from lanelift.net.http_parser import ResponseParser
from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES, MAX_STREAMED_BODY_BYTES
from lanelift.net.socket_options import KERNEL_BUFFER_BYTES
from lanelift.net.upstream_connection import READ_BUFFER
from lanelift.policy.events import AttemptFinished, AttemptResult, ClientDisconnected, ResponseStarted
from lanelift.standins.http import Connection
from tests.fakes import Client, Heard, World, answer, read_message, run, world

R = AttemptResult
OK = b"HTTP/1.1 200 OK\r\n"
LONG = bytes(range(251)) * 2000  # half a megabyte, no piece of it like the next


def told(body: bytes) -> bytes:
    return answer(200, body)


def chunked(body: bytes, size: int = 50_000) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    rows = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return OK + b"Transfer-Encoding: chunked\r\n\r\n" + rows + b"0\r\nX-Trailer: t\r\n\r\n"


def untold(body: bytes) -> bytes:
    return OK + b"Connection: close\r\n\r\n" + body


async def body_of(client: Client) -> tuple[dict[str, str], bytes]:
    """An answer in any framing, as RFC 9112 tells a client to read it."""
    head = (await client.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    assert first.split(" ")[1] == "200", first
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await client.reader.readline(), 16):
            body += await client.reader.readexactly(size)
            assert await client.reader.readexactly(2) == b"\r\n"
        assert await client.reader.readline() == b"\r\n"
        return headers, body
    if "content-length" in headers:
        return headers, await client.reader.readexactly(int(headers["content-length"]))
    return headers, await client.reader.read()


class Steps:
    """An upstream's answer that is written step by step; `link` is the connection that it goes to."""

    def __init__(self, w: World) -> None:
        self.w = w
        self.asked = asyncio.Event()
        w.upstreams[0].script = [self._reply]

    async def _reply(self) -> bytes:
        self.asked.set()
        await asyncio.Event().wait()
        return b""

    @property
    def link(self) -> Connection:
        return self.w.upstreams[0].links[-1]

    async def write(self, data: bytes) -> None:
        await self.asked.wait()
        assert self.link.transport is not None
        self.link.transport.write(data)

    async def end(self) -> None:
        assert self.link.transport is not None
        self.link.transport.close()


@asynccontextmanager
async def stepwise(**more: Any) -> AsyncIterator[tuple[World, Client, Steps]]:
    async with world(**more) as w:
        steps = Steps(w)
        client = await w.client()
        client.send("r1")
        yield w, client, steps
        client.close()


@pytest.mark.usefixtures("settled")
@pytest.mark.parametrize("framed", [told, chunked, untold])
@pytest.mark.parametrize(
    "body", [LONG, LONG[: MAX_BUFFERED_BODY_BYTES + 1], LONG[:MAX_BUFFERED_BODY_BYTES], b"short", b""]
)
def test_an_answer_of_any_length_and_framing_arrives_whole(
    heard: Heard, framed: Callable[[bytes], bytes], body: bytes
) -> None:
    async def test() -> None:
        async with world() as w:
            if framed is untold:

                async def reply() -> bytes:
                    link = w.upstreams[0].links[-1]
                    assert link.transport is not None
                    link.transport.write(untold(body))
                    link.transport.close()
                    return b""

                w.upstreams[0].script = [reply]
            else:
                w.upstreams[0].script = [framed(body)]
            client = await w.client()
            client.send("r1")
            headers, got = await body_of(client)
            assert got == body and "x-trailer" not in headers
            await heard.until(lambda: heard.of(AttemptFinished))
            (outcome,) = heard.of(AttemptFinished)
            assert (outcome.result, outcome.request_complete) == (R.OK, True)
            begun = heard.of(ResponseStarted)
            assert len(begun) == (len(body) > MAX_BUFFERED_BODY_BYTES)
            assert all(e.duration_ns <= outcome.duration_ns for e in begun)
            # The connections go on: the client's, and the upstream's unless it ended the answer.
            assert (await client.ask("r2")).body == b"s-0"
            assert len(w.upstreams[0].links) == (2 if framed is untold else 1)

    run(test())


@pytest.mark.parametrize("framed", [told, chunked])
def test_a_client_of_http_1_0_reads_to_the_end_of_its_connection(framed: Callable[[bytes], bytes]) -> None:
    async def test() -> None:
        async with world() as w:
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
    heard: Heard, how: str, ending: str
) -> None:
    async def test() -> None:
        async with world() as w:
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
            await heard.until(lambda: heard.of(AttemptFinished))
            assert heard.results() == [R.ERROR if ending == "noise" else R.RESET]
            assert heard.of(AttemptFinished)[0].request_complete  # nothing is sent again
            assert (await w.ask("r2")).body == b"s-0"

    run(test())


def test_a_client_that_does_not_read_holds_its_upstream_and_little_memory(heard: Heard) -> None:
    """32 MB wait at the upstream; of them no more than the buffers on the way have left it."""
    size = 32_000_000

    async def test() -> None:
        async with world() as w:
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
            await heard.until(lambda: heard.of(ClientDisconnected))
            await heard.until(lambda: heard.of(AttemptFinished))
            assert heard.results() == [R.CANCELLED]
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)

    run(test())


def test_a_client_that_leaves_while_it_reads_ends_the_attempt(heard: Heard) -> None:
    async def test() -> None:
        async with stepwise() as (w, client, steps):
            await steps.write(OK + b"Content-Length: 500000\r\n\r\n" + LONG[:100_000])
            await client.reader.readexactly(1000)
            client.writer.transport.abort()
            await heard.until(lambda: heard.of(AttemptFinished))
            assert heard.results() == [R.CANCELLED]
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)
            assert (await w.ask("r2")).status == 200

    run(test())


def test_an_answer_that_stands_still_is_given_up(monkeypatch: pytest.MonkeyPatch, heard: Heard) -> None:
    monkeypatch.setattr(exchange, "UPSTREAM_SILENCE_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with stepwise() as (_, client, steps):
            await steps.write(OK + b"Content-Length: 500000\r\n\r\n" + LONG[:100_000])
            with suppress(ConnectionError):
                while await client.reader.read(65536):
                    pass
            await heard.until(lambda: heard.of(AttemptFinished))
            assert heard.results() == [R.TIMEOUT]

    run(test())


def test_the_deadline_does_not_cut_an_answer_that_has_begun(heard: Heard) -> None:
    async def test() -> None:
        async with world() as w:
            steps = Steps(w)
            client = await w.client()
            client.send("r1", X_Deadline_Ms=250)
            await steps.write(OK + b"Content-Length: 200000\r\n\r\n" + LONG[:100_000])
            await heard.until(lambda: heard.of(ResponseStarted))
            await asyncio.sleep(0.4)  # past the deadline, and what the driver adds to it
            await steps.write(LONG[100_000:200_000])
            assert (await body_of(client))[1] == LONG[:200_000]
            assert heard.results() == [R.OK]

    run(test())


@pytest.mark.parametrize("status", [500, 404])
def test_a_long_error_is_an_error_and_is_not_read_on(heard: Heard, status: int) -> None:
    async def test() -> None:
        async with world() as w:
            w.upstreams[0].script = [b"HTTP/1.1 %d X\r\nContent-Length: 9000000\r\n\r\n" % status + LONG]
            assert (await w.ask("r1")).status == 503  # tried once, which is all that is allowed
            assert heard.results() == [R.ERROR]
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)

    run(test())


def test_more_than_may_be_passed_on_is_cut(monkeypatch: pytest.MonkeyPatch, heard: Heard) -> None:
    monkeypatch.setattr("lanelift.net.message_parser.MAX_STREAMED_BODY_BYTES", 300_000)

    async def test() -> None:
        async with world() as w:
            w.upstreams[0].script = [told(LONG), chunked(LONG)]
            assert (await w.ask("r1")).status == 503  # said beforehand
            client = await w.client()
            client.send("r2")
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                await body_of(client)
                raise AssertionError("it came whole")
            await heard.until(lambda: len(heard.of(AttemptFinished)) == 2)
            assert heard.results() == [R.ERROR, R.ERROR]

    assert MAX_STREAMED_BODY_BYTES > 32_000_000
    run(test())


def test_a_last_answer_is_read_to_its_end_however_slowly(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection ends behind it, and what is still in the buffers is not thrown away with it."""
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.CLOSING, 0.05)

    async def test() -> None:
        async with world() as w:
            w.upstreams[0].script = [told(LONG)]
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
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.FLUSHING, 0.1)
    monkeypatch.setattr(exchange, "UPSTREAM_SILENCE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(exchange, "CLIENT_STALL_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with world() as w:
            w.upstreams[0].script = [told(LONG * 4)]
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


def test_requests_sent_ahead_wait_for_a_long_answer() -> None:
    async def test() -> None:
        async with world() as w:
            w.upstreams[0].script = [told(LONG), answer(200, b"second")]
            client = await w.client()
            client.send("r1")
            client.send("r2")
            assert (await body_of(client))[1] == LONG
            assert (await read_message(client.reader)).body == b"second"

    run(test())


# ---- the reader by itself ------------------------------------------------------------------------------


@given(
    st.integers(0, 3 * MAX_BUFFERED_BODY_BYTES),
    st.lists(st.integers(1, 100_000), max_size=8),
    st.sampled_from([told, chunked]),
)
def test_what_is_passed_on_does_not_depend_on_where_it_was_cut(
    size: int, cuts: list[int], framed: Callable[[bytes], bytes]
) -> None:
    body = LONG[:size]
    data = framed(body)
    reader = ResponseParser()
    reader.expect_response(MAX_BUFFERED_BODY_BYTES, True)
    got, at = b"", 0
    for step in [*cuts, len(data)]:
        reader.feed(data[at : at + step])
        at += step
        assert reader.partial is None or len(reader.partial.body) <= MAX_BUFFERED_BODY_BYTES
        if reader.streaming is not None:
            got += reader.take_body()
    assert reader.error is None and not reader.has_partial
    whole = reader.messages.popleft()
    assert (reader.streaming is not None) == (size > MAX_BUFFERED_BODY_BYTES)
    assert (got or whole.body) == body and not (got and whole.body)


def test_cut_at_every_byte_a_long_answer_in_chunks_is_never_whole() -> None:
    data = chunked(LONG[:2000], 700)
    for at in range(len(data)):
        reader = ResponseParser()
        reader.expect_response(1000, True)
        reader.feed(data[:at])
        reader.connection_ended()
        assert not reader.messages, at
    reader.feed(data[at:])
    assert reader.messages


@pytest.mark.parametrize(
    ("head", "believed"),
    [
        (b"Connection: close\r\n", True),
        (b"Connection: Keep-Alive, Close\r\n", True),
        (b"", False),
        (b"Connection: keep-alive\r\n", False),
        (b"Connection: close\r\nContent-Length: 4\r\n", False),
    ],
)
def test_an_end_of_connection_ends_an_answer_only_where_it_says_so(head: bytes, believed: bool) -> None:
    reader = ResponseParser()
    reader.expect_response(MAX_BUFFERED_BODY_BYTES, True)
    reader.feed(OK + head + b"\r\nabc")
    reader.connection_ended()
    assert [r.body for r in reader.messages] == ([b"abc"] if believed else [])
