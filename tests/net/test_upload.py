"""Request bodies that are streamed."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from lanelift.net import connection_phases
from lanelift.net.connection_phases import Phase
from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES
from lanelift.policy.events import AttemptFinished, BodyReceived, RequestArrived
from tests.fakes import Client, read_message, run
from tests.in_process import EventRecorder, in_process_balancer
from tests.net.support import LONG, R, chunked_request, request_head, request_with_length


@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_that_is_too_large(chunked: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """A body is longer than any may be, by its stated length or in a chunk. It is answered with 413, and no
    upstream gets a complete request.
    """
    monkeypatch.setattr("lanelift.net.message_parser.MAX_STREAMED_BODY_BYTES", 69_000)

    async def test() -> None:
        async with in_process_balancer() as w:
            client = await w.client()
            if chunked:
                client.send("r1", "pay", "POST", Transfer_Encoding="chunked")
                client.writer.write(b"11170\r\n" + b"x" * 0x11170)
            else:
                client.send("r1", "pay", "POST", b"x" * 70_000)
            assert (await read_message(client.reader)).status == 413
            await client.ended()
            assert not w.upstreams[0].seen  # none that was whole

    run(test())


@pytest.mark.parametrize("framed", [request_with_length, chunked_request])
@pytest.mark.parametrize("size", [len(LONG), MAX_BUFFERED_BODY_BYTES + 1, MAX_BUFFERED_BODY_BYTES])
def test_a_body_of_any_length_arrives_whole_and_once(recorded: EventRecorder, framed: Any, size: int) -> None:
    async def test() -> None:
        async with in_process_balancer() as w:
            client = await w.client()
            client.writer.write(framed("r1", LONG[:size]) + framed("r2", b"short"))  # and one sent ahead
            for _ in range(2):
                assert (await read_message(client.reader)).body == b"s-0"
            seen = w.upstreams[0].seen
            assert [m.body for m in seen] == [LONG[:size], b"short"]
            assert seen[0].headers["x-request-id"] == "r1" and int(seen[0].headers["x-deadline-ms"]) > 0
            assert len(recorded.of(BodyReceived)) == (size > MAX_BUFFERED_BODY_BYTES)
            assert recorded.results() == [R.OK, R.OK]

    run(test())


def test_time_counts_from_the_last_byte(recorded: EventRecorder) -> None:
    """A client sends a long body slowly, for longer than it would wait for an answer. Its time counts from
    the last byte on, and its upstream is not charged for its slowness.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            client = await w.client()
            rows = (f"Content-Length: {len(LONG)}", "X-Deadline-Ms: 200")
            client.writer.write(request_head("r1", "pay", *rows) + LONG[:100_000])
            await recorded.until(lambda: recorded.of(RequestArrived))
            await asyncio.sleep(0.4)  # twice what it would wait
            client.writer.write(LONG[100_000:])
            assert (await read_message(client.reader)).status == 200
            (outcome,) = recorded.of(AttemptFinished)
            assert outcome.duration_ns < 200_000_000  # not the time that its client took

    run(test())


def test_the_deadline_runs_once_it_is_whole(recorded: EventRecorder) -> None:
    """A long body is complete, and its upstream never answers. The deadline applies from then on, and the
    client gets a 504, as the request may have run.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            w.upstreams[0].script = [asyncio.Event().wait]
            client = await w.client()
            rows = (f"Content-Length: {len(LONG)}", "X-Deadline-Ms: 200")
            client.writer.write(request_head("r1", "pay", *rows) + LONG)
            assert (await read_message(client.reader)).status == 504  # it may have run: no promise
            assert recorded.results() == [R.TIMEOUT]

    run(test())


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (b"GET /quote HTTP/1.1\r\nHost: o\r\nX-Request-Id: r\r\nContent-Length: 500000\r\n\r\n", 400),
        (request_head("r", "nowhere", "Content-Length: 500000"), 404),
        (request_head("r", "ready", "Content-Length: 500000"), 404),
        (request_head("r", "pay", "Content-Length: 60000000"), 413),
    ],
)
def test_a_long_body_that_is_not_taken_is_answered_at_once(request_: bytes, status: int) -> None:
    """A long body belongs to a request that is not accepted. The client is answered at once, not after the
    whole body, and the connection ends.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            client = await w.client()
            client.writer.write(request_ + LONG[:70_000])
            got = await read_message(client.reader)
            assert (got.status, got.headers["connection"]) == (status, "close")
            assert (await w.request("r2")).status == 200

    run(test())


def test_a_client_that_waits_to_be_told_to_go_on_is_told() -> None:
    async def test() -> None:
        async with in_process_balancer() as w:
            client = await w.client()
            rows = (f"Content-Length: {len(LONG)}", "Expect: 100-continue")
            client.writer.write(request_head("r1", "pay", *rows))
            assert b" 100 " in await client.reader.readuntil(b"\r\n\r\n")
            client.writer.write(LONG)
            assert (await read_message(client.reader)).status == 200
            assert w.upstreams[0].seen[0].body == LONG

    run(test())


def test_a_slow_body_is_waited_for_as_long_as_it_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client sends a long body in small pieces, for several times the time that a body may stand still.
    It makes progress, so it is waited for.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.READING_BODY, 0.2)

    async def test() -> None:
        async with in_process_balancer() as w:
            client = await w.client()
            data = request_with_length("r1", LONG[:150_000])
            for start in range(0, len(data), 25_000):
                client.writer.write(data[start : start + 25_000])
                await asyncio.sleep(0.1)  # in all several times its limit
            assert (await read_message(client.reader)).status == 200

    run(test())


def test_no_place_is_a_refusal_at_once_though_the_body_has_not_come(recorded: EventRecorder) -> None:
    """No upstream is there for a request with a long body. It is rejected at once, before its body has
    come.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            await w.tell(w.upstreams[0].row("Gone"))
            client = await w.client()
            client.writer.write(request_with_length("r1", LONG)[:100_000])
            got = await read_message(client.reader)
            assert (got.status, got.headers["connection"]) == (503, "close")
            assert "retry-after" in got.headers

    run(test())


@pytest.mark.usefixtures("settled")
def test_client_protocol_is_the_same_for_all_lengths() -> None:
    async def test() -> None:
        async with in_process_balancer() as w:
            client: Client = await w.client()
            for number, size in enumerate(
                [0, 1, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1, 3 * MAX_BUFFERED_BODY_BYTES]
            ):
                client.writer.write(request_with_length(f"r{number}", LONG[:size]))
                assert (await read_message(client.reader)).status == 200
            assert len(w.upstreams[0].links) == 1  # and one connection serves them all

    run(test())
