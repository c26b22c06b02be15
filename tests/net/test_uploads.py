"""Bodies that are longer than what is held: sent on as they come, held back, broken off, and sent once."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.net import connection_phases, exchange
from lanelift.net.connection_phases import Phase
from lanelift.net.http_parser import RequestParser
from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES
from lanelift.net.socket_options import KERNEL_BUFFER_BYTES
from lanelift.policy.events import AttemptFinished, AttemptResult, BodyReceived, RequestArrived
from lanelift.policy.settings import Idempotency
from tests.fakes import CLASSES, SETTINGS, Client, Heard, World, answer, read_message, run, world

R = AttemptResult
LONG = bytes(range(251)) * 2000  # half a megabyte
KEYED = replace(
    SETTINGS,
    classes={
        **CLASSES,
        "book": replace(CLASSES["quote"], name="book", idempotency=Idempotency.IDEMPOTENCY_KEY),
    },
    limits=replace(SETTINGS.limits, max_attempts=3),
)


def head(name: str, kind: str = "pay", *rows: str) -> bytes:
    lines = ["Host: o", f"X-Request-Id: {name}", *rows]
    return f"POST /{kind} HTTP/1.1\r\n{''.join(line + chr(13) + chr(10) for line in lines)}\r\n".encode()


def told(name: str, body: bytes, kind: str = "pay") -> bytes:
    return head(name, kind, f"Content-Length: {len(body)}") + body


def chunked(name: str, body: bytes, kind: str = "pay", size: int = 30_000) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    rows = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return head(name, kind, "Transfer-Encoding: chunked") + rows + b"0\r\n\r\n"


@pytest.mark.parametrize("framed", [told, chunked])
@pytest.mark.parametrize("size", [len(LONG), MAX_BUFFERED_BODY_BYTES + 1, MAX_BUFFERED_BODY_BYTES])
def test_a_body_of_any_length_arrives_whole_and_once(heard: Heard, framed: Any, size: int) -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.writer.write(framed("r1", LONG[:size]) + framed("r2", b"short"))  # and one sent ahead
            for _ in range(2):
                assert (await read_message(client.reader)).body == b"s-0"
            seen = w.upstreams[0].seen
            assert [m.body for m in seen] == [LONG[:size], b"short"]
            assert seen[0].headers["x-request-id"] == "r1" and int(seen[0].headers["x-deadline-ms"]) > 0
            assert len(heard.of(BodyReceived)) == (size > MAX_BUFFERED_BODY_BYTES)
            assert heard.results() == [R.OK, R.OK]

    run(test())


def test_time_counts_from_the_last_byte(heard: Heard) -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            rows = (f"Content-Length: {len(LONG)}", "X-Deadline-Ms: 200")
            client.writer.write(head("r1", "pay", *rows) + LONG[:100_000])
            await heard.until(lambda: heard.of(RequestArrived))
            await asyncio.sleep(0.4)  # twice what it would wait
            client.writer.write(LONG[100_000:])
            assert (await read_message(client.reader)).status == 200
            (outcome,) = heard.of(AttemptFinished)
            assert outcome.duration_ns < 200_000_000  # not the time that its client took

    run(test())


def test_the_deadline_runs_once_it_is_whole(heard: Heard) -> None:
    async def test() -> None:
        async with world() as w:
            w.upstreams[0].script = [asyncio.Event().wait]
            client = await w.client()
            rows = (f"Content-Length: {len(LONG)}", "X-Deadline-Ms: 200")
            client.writer.write(head("r1", "pay", *rows) + LONG)
            assert (await read_message(client.reader)).status == 504  # it may have run: no promise
            assert heard.results() == [R.TIMEOUT]

    run(test())


@pytest.mark.parametrize("what", ["leaves", "noise", "silence"])
def test_a_body_that_is_never_whole_is_never_run(
    monkeypatch: pytest.MonkeyPatch, heard: Heard, what: str
) -> None:
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.READING_BODY, 0.2)

    async def test() -> None:
        async with world(settings=replace(SETTINGS, limits=replace(SETTINGS.limits, may_cancel=False))) as w:
            client = await w.client()
            client.writer.write(chunked("r1", LONG)[: 200_000 if what != "noise" else 3000 + 3 * 30_000])
            await w.upstreams[0].until(lambda: w.upstreams[0].links)
            if what == "leaves":
                client.writer.transport.abort()
            else:
                if what == "noise":
                    client.writer.write(b"\r\nno chunk\r\n" * 3000)
                got = await read_message(client.reader)
                assert got.status == (400 if what == "noise" else 408)
            await heard.until(lambda: heard.of(AttemptFinished))
            assert heard.results() == [R.CANCELLED]
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)
            assert not w.upstreams[0].seen
            assert (await w.ask("r2")).status == 200

    run(test())


@asynccontextmanager
async def deaf() -> AsyncIterator[tuple[str, int]]:
    """A server that takes connections and reads nothing."""
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


async def at(w: World, address: tuple[str, int]) -> None:
    row = w.upstreams[0].row() | {"addr": f"{address[0]}:{address[1]}"}
    await w.tell(row)


def test_an_upstream_that_takes_nothing_holds_its_client_back_and_is_given_up(
    monkeypatch: pytest.MonkeyPatch, heard: Heard
) -> None:
    monkeypatch.setattr(exchange, "UPSTREAM_SILENCE_TIMEOUT_S", 0.5)

    async def test() -> None:
        async with world() as w, deaf() as address:
            await at(w, address)
            client = await w.client()
            size = 30_000_000
            client.writer.write(head("r1", "pay", f"Content-Length: {size}"))
            client.writer.transport.set_write_buffer_limits(high=0)
            sent = 0
            while sent < size and not heard.of(AttemptFinished):
                client.writer.write(LONG)
                sent += len(LONG)
                drained = asyncio.ensure_future(client.writer.drain())
                ended = asyncio.ensure_future(heard.until(lambda: heard.of(AttemptFinished)))
                await asyncio.wait((drained, ended), return_when=asyncio.FIRST_COMPLETED)
                drained.cancel()
                ended.cancel()
            # The client's own buffer may grow to 4 MB, the deaf server's too; between them stand ours.
            assert sent < 2 * 4_194_304 + 2 * 2 * 2 * KERNEL_BUFFER_BYTES + 2_000_000
            assert heard.results() == [R.CONNECT_FAILED]  # its last byte was never written: it never ran
            assert heard.of(AttemptFinished)[0].body_consumed

    run(test())


def test_what_has_not_left_yet_can_go_elsewhere_and_what_has_can_not(heard: Heard) -> None:
    async def test() -> None:
        async with world(2, settings=KEYED) as w:
            w.upstreams[0].stop()  # nobody listens there
            number = 0
            while R.CONNECT_FAILED not in heard.results():  # until it was drawn
                number += 1
                got = await w.ask(f"r{number}", "book", "POST", LONG, Idempotency_Key=f"k{number}")
                assert (got.status, got.body) == (200, b"s-1")
            assert not any(o.body_consumed for o in heard.of(AttemptFinished) if o.result is R.CONNECT_FAILED)
            # And one that breaks when some has gone: refused, since it never ran, and not sent again.
            client = await w.client()
            client.writer.write(chunked("last", LONG, "book")[:200_000])
            links = w.upstreams[1].links
            while not any(link.coming is not None for link in links):  # nothing tells of part of a request
                await asyncio.sleep(0.001)
            before = len(heard.results())
            next(link for link in links if link.coming is not None).abort()
            got = await read_message(client.reader)
            assert (got.status, got.headers["connection"]) == (503, "close")
            assert (
                heard.results()[before:] == [R.CONNECT_FAILED] and heard.of(AttemptFinished)[-1].body_consumed
            )

    run(test())


def test_an_answer_before_the_end_is_given_and_the_rest_is_not_read(heard: Heard) -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.writer.write(told("r1", LONG)[:200_000])
            upstream = w.upstreams[0]
            await upstream.until(lambda: upstream.links)
            transport = upstream.links[0].transport
            assert isinstance(transport, asyncio.Transport)
            transport.write(answer(500))
            got = await read_message(client.reader)
            assert (got.status, got.headers["connection"]) == (502, "close")
            await client.ended()
            assert heard.results() == [R.ERROR]

    run(test())


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (b"GET /quote HTTP/1.1\r\nHost: o\r\nX-Request-Id: r\r\nContent-Length: 500000\r\n\r\n", 400),
        (head("r", "nowhere", "Content-Length: 500000"), 404),
        (head("r", "ready", "Content-Length: 500000"), 404),
        (head("r", "pay", "Content-Length: 60000000"), 413),
    ],
)
def test_a_long_body_that_is_not_taken_is_answered_at_once(request_: bytes, status: int) -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.writer.write(request_ + LONG[:70_000])
            got = await read_message(client.reader)
            assert (got.status, got.headers["connection"]) == (status, "close")
            assert (await w.ask("r2")).status == 200

    run(test())


def test_a_client_that_waits_to_be_told_to_go_on_is_told() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            rows = (f"Content-Length: {len(LONG)}", "Expect: 100-continue")
            client.writer.write(head("r1", "pay", *rows))
            assert b" 100 " in await client.reader.readuntil(b"\r\n\r\n")
            client.writer.write(LONG)
            assert (await read_message(client.reader)).status == 200
            assert w.upstreams[0].seen[0].body == LONG

    run(test())


def test_a_slow_body_is_waited_for_as_long_as_it_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.READING_BODY, 0.2)

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            data = told("r1", LONG[:150_000])
            for start in range(0, len(data), 25_000):
                client.writer.write(data[start : start + 25_000])
                await asyncio.sleep(0.1)  # in all several times its limit
            assert (await read_message(client.reader)).status == 200

    run(test())


def test_no_place_is_a_refusal_at_once_though_the_body_has_not_come(heard: Heard) -> None:
    async def test() -> None:
        async with world() as w:
            await w.tell(w.upstreams[0].row("Gone"))
            client = await w.client()
            client.writer.write(told("r1", LONG)[:100_000])
            got = await read_message(client.reader)
            assert (got.status, got.headers["connection"]) == (503, "close")
            assert "retry-after" in got.headers

    run(test())


@given(
    st.lists(st.tuples(st.integers(0, 3 * MAX_BUFFERED_BODY_BYTES), st.booleans()), max_size=4),
    st.integers(500, 16_384),
)
def test_messages_do_not_mix_however_long_and_however_they_are_cut(
    wanted: list[tuple[int, bool]], step: int
) -> None:
    data = b"".join(
        (chunked if in_chunks else told)(f"r{number}", LONG[number : number + size])
        for number, (size, in_chunks) in enumerate(wanted)
    )
    reader = RequestParser()
    got: list[bytes] = []
    long = b""
    for start in range(0, len(data), step):
        reader.feed(data[start : start + step])
        while True:
            if reader.messages and not reader.messages[0].streamed:
                got.append(reader.messages.popleft().body)
            elif reader.streaming is not None:
                long += reader.take_body()
                if not reader.messages:
                    break
                assert reader.messages.popleft().body == b""
                reader.finish_streamed()
                got.append(long)
                long = b""
            else:
                break
    assert reader.error is None
    assert got == [LONG[number : number + size] for number, (size, _) in enumerate(wanted)]


@pytest.mark.usefixtures("settled")
def test_client_protocol_is_the_same_for_all_lengths() -> None:
    async def test() -> None:
        async with world() as w:
            client: Client = await w.client()
            for number, size in enumerate(
                [0, 1, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1, 3 * MAX_BUFFERED_BODY_BYTES]
            ):
                client.writer.write(told(f"r{number}", LONG[:size]))
                assert (await read_message(client.reader)).status == 200
            assert len(w.upstreams[0].links) == 1  # and one connection serves them all

    run(test())
