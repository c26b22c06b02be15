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
from tests.net.support import LONG_BODY, R, chunked_request, request_head, request_with_length


@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_that_is_too_large_is_rejected(chunked: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """A body is longer than the limit, by its stated length or in a chunk. The request is answered with 413,
    and no upstream gets a complete request.
    """
    monkeypatch.setattr("lanelift.net.message_parser.MAX_STREAMED_BODY_BYTES", 69_000)

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            if chunked:
                client.send("r1", "pay", "POST", Transfer_Encoding="chunked")
                client.writer.write(b"11170\r\n" + b"x" * 0x11170)
            else:
                client.send("r1", "pay", "POST", b"x" * 70_000)
            assert (await read_message(client.reader)).status == 413
            await client.ended()
            assert not lb.upstreams[0].seen  # no upstream gets a complete request

    run(test())


@pytest.mark.parametrize("framed", [request_with_length, chunked_request])
@pytest.mark.parametrize("size", [len(LONG_BODY), MAX_BUFFERED_BODY_BYTES + 1, MAX_BUFFERED_BODY_BYTES])
def test_a_body_of_any_length_is_forwarded_completely_and_once(
    recorded: EventRecorder, framed: Any, size: int
) -> None:
    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            client.writer.write(framed("r1", LONG_BODY[:size]) + framed("r2", b"short"))  # pipelined
            for _ in range(2):
                assert (await read_message(client.reader)).body == b"s-0"
            seen = lb.upstreams[0].seen
            assert [m.body for m in seen] == [LONG_BODY[:size], b"short"]
            assert seen[0].headers["x-request-id"] == "r1" and int(seen[0].headers["x-deadline-ms"]) > 0
            assert len(recorded.of(BodyReceived)) == (size > MAX_BUFFERED_BODY_BYTES)
            assert recorded.results() == [R.OK, R.OK]

    run(test())


def test_the_deadline_counts_from_the_last_byte_of_the_body(recorded: EventRecorder) -> None:
    """A client sends a long body slowly, for longer than it waits for an answer. Its deadline counts from the
    last byte, and the time before that is not counted as the upstream's response time.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            rows = (f"Content-Length: {len(LONG_BODY)}", "X-Deadline-Ms: 200")
            client.writer.write(request_head("r1", "pay", *rows) + LONG_BODY[:100_000])
            await recorded.until(lambda: recorded.of(RequestArrived))
            await asyncio.sleep(0.4)  # twice the time that the client waits for an answer
            client.writer.write(LONG_BODY[100_000:])
            assert (await read_message(client.reader)).status == 200
            (outcome,) = recorded.of(AttemptFinished)
            # the duration does not include the time that the client took to send the body
            assert outcome.duration_ns < 200_000_000

    run(test())


def test_the_deadline_applies_once_the_body_is_complete(recorded: EventRecorder) -> None:
    """A long body is complete, and its upstream never answers. The deadline applies from then on. The client
    gets a 504, as the request may have run.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [asyncio.Event().wait]
            client = await lb.client()
            rows = (f"Content-Length: {len(LONG_BODY)}", "X-Deadline-Ms: 200")
            client.writer.write(request_head("r1", "pay", *rows) + LONG_BODY)
            # the request is not rejected, as it may have run
            assert (await read_message(client.reader)).status == 504
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
def test_a_rejected_request_with_a_long_body_is_answered_immediately(request_: bytes, status: int) -> None:
    """A request with a long body is not accepted. The client is answered immediately, not after the whole
    body, and the connection is closed.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            client.writer.write(request_ + LONG_BODY[:70_000])
            got = await read_message(client.reader)
            assert (got.status, got.headers["connection"]) == (status, "close")
            assert (await lb.request("r2")).status == 200

    run(test())


def test_a_client_that_expects_100_continue_gets_it() -> None:
    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            rows = (f"Content-Length: {len(LONG_BODY)}", "Expect: 100-continue")
            client.writer.write(request_head("r1", "pay", *rows))
            assert b" 100 " in await client.reader.readuntil(b"\r\n\r\n")
            client.writer.write(LONG_BODY)
            assert (await read_message(client.reader)).status == 200
            assert lb.upstreams[0].seen[0].body == LONG_BODY

    run(test())


def test_a_slow_body_does_not_time_out_while_it_makes_progress(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client sends a long body in small pieces, for several times the time-out of a body without progress.
    The body makes progress, so it is not timed out.
    """
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.READING_BODY, 0.2)

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            data = request_with_length("r1", LONG_BODY[:150_000])
            for start in range(0, len(data), 25_000):
                client.writer.write(data[start : start + 25_000])
                await asyncio.sleep(0.1)  # the pieces take several times the time-out in total
            assert (await read_message(client.reader)).status == 200

    run(test())


def test_without_an_upstream_a_request_is_rejected_before_its_body_has_come(recorded: EventRecorder) -> None:
    """No upstream is available for a request with a long body. The request is rejected immediately, before
    its body is received.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            await lb.change_endpoints(lb.upstreams[0].row("Gone"))
            client = await lb.client()
            client.writer.write(request_with_length("r1", LONG_BODY)[:100_000])
            got = await read_message(client.reader)
            assert (got.status, got.headers["connection"]) == (503, "close")
            assert "retry-after" in got.headers

    run(test())


@pytest.mark.usefixtures("settled")
def test_one_connection_carries_bodies_of_all_lengths() -> None:
    async def test() -> None:
        async with in_process_balancer() as lb:
            client: Client = await lb.client()
            for number, size in enumerate(
                [0, 1, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1, 3 * MAX_BUFFERED_BODY_BYTES]
            ):
                client.writer.write(request_with_length(f"r{number}", LONG_BODY[:size]))
                assert (await read_message(client.reader)).status == 200
            assert len(lb.upstreams[0].links) == 1  # one connection serves all requests

    run(test())
