"""Streamed responses that stall, make too little progress or never end."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from dataclasses import replace

import pytest

from lanelift.net import exchange
from lanelift.net.exchange import Exchange
from lanelift.net.message_parser import MAX_STREAMED_BODY_BYTES
from lanelift.net.upstream_connection import UpstreamConnection
from lanelift.policy.actions import StartAttempt
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    ClientDisconnected,
    RequestArrived,
    ResponseStarted,
)
from lanelift.policy.response_progress import LATE_ANSWER_GRACE_S
from tests.fakes import TEST_S, run
from tests.in_process import SETTINGS, EventRecorder, in_process_balancer, script_balancer
from tests.net.support import (
    CHUNKED,
    LONG_BODY,
    NO_CANCEL,
    OK,
    R,
    StepwiseResponse,
    balancer_with_stepwise_response,
    chunked_response,
    read_response,
    response_with_length,
)


def test_a_stalled_response_is_given_up(monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder) -> None:
    """An upstream sends part of a response and then nothing more. The attempt is given up after a time-out,
    and the client can tell that its response is incomplete.
    """
    monkeypatch.setattr(exchange, "SILENCE_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with balancer_with_stepwise_response() as (_, client, steps):
            await steps.write(OK + b"Content-Length: 500000\r\n\r\n" + LONG_BODY[:100_000])
            with suppress(ConnectionError):
                while await client.reader.read(65536):
                    pass
            await recorded.until(lambda: recorded.of(AttemptFinished))
            assert recorded.results() == [R.TIMEOUT]

    run(test())


def test_the_deadline_does_not_abort_a_response_that_has_begun(recorded: EventRecorder) -> None:
    """A streamed response continues past its client's deadline. The deadline applies only to the beginning of
    the response, so the response is not aborted.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            steps = StepwiseResponse(lb)
            client = await lb.client()
            client.send("r1", X_Deadline_Ms=250)
            await steps.write(OK + b"Content-Length: 200000\r\n\r\n" + LONG_BODY[:100_000])
            await recorded.until(lambda: recorded.of(ResponseStarted))
            await asyncio.sleep(0.4)  # longer than the deadline plus OVERDUE_S
            await steps.write(LONG_BODY[100_000:200_000])
            assert (await read_response(client))[1] == LONG_BODY[:200_000]
            assert recorded.results() == [R.OK]

    run(test())


def test_a_response_beyond_the_streaming_limit_is_aborted(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """A response is longer than the limit of streamed bodies. If its length is stated, the attempt is an
    error and the client gets a 503; otherwise the response is aborted at the limit, and the client can tell
    that it is incomplete.
    """
    monkeypatch.setattr("lanelift.net.message_parser.MAX_STREAMED_BODY_BYTES", 300_000)

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [response_with_length(LONG_BODY), chunked_response(LONG_BODY)]
            assert (await lb.request("r1")).status == 503  # the response states its length
            client = await lb.client()
            client.send("r2")
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                await read_response(client)
                raise AssertionError("the response was complete")
            await recorded.until(lambda: len(recorded.of(AttemptFinished)) == 2)
            assert recorded.results() == [R.ERROR, R.ERROR]

    assert MAX_STREAMED_BODY_BYTES > 32_000_000
    run(test())


CLOSES = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize(
    "beginning", [CHUNKED + b"3\r\none\r\n", CHUNKED, CLOSES + b"one", CHUNKED + b"7d0\r\n" + b"x" * 2000]
)
@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_response_that_never_ends_is_aborted_after_its_timeout(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, beginning: bytes, may_cancel: bool
) -> None:
    """A response without a stated length begins and never ends. It is streamed like a long response, and its
    client would wait for ever. It is aborted when it makes no progress after the attempt's time-out.
    """
    monkeypatch.setattr(exchange, "SILENCE_TIMEOUT_S", 2 * TEST_S)
    assert 2 * LATE_ANSWER_GRACE_S < 0.5  # an answer counts if it is less than 0.5 s late

    async def test() -> None:
        settings = replace(SETTINGS, limits=replace(SETTINGS.limits, may_cancel=may_cancel))
        async with in_process_balancer(settings=settings) as lb:
            lb.upstreams[0].script = [beginning]
            client = await lb.client()
            client.send("r1", X_Deadline_Ms=150)
            with suppress(ConnectionError):
                while await client.reader.read(65536):
                    pass  # the end of the connection shows that the response is incomplete
            assert recorded.results() == [R.TIMEOUT]
            assert (await lb.request("r2")).status == 200

    run(test())


def test_a_response_with_too_little_progress_is_aborted_and_a_steady_one_is_not(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """Two responses without a stated length continue past their time-out, one with a few bytes at a time,
    one steadily. The first is aborted, the second is not.
    """
    script_balancer(
        monkeypatch,
        recorded,
        lambda event, to: [StartAttempt(event.request, to)] if isinstance(event, RequestArrived) else [],
    )

    async def test() -> None:
        async with in_process_balancer() as lb:
            upstream = lb.upstreams[0]
            upstream.script = [CHUNKED, CHUNKED]
            slow, steady = await lb.client(), await lb.client()
            steady.send("r1", X_Deadline_Ms=400)
            await upstream.until(lambda: len(upstream.seen) == 1)
            slow.send("r2", X_Deadline_Ms=400)
            await recorded.until(lambda: len(recorded.of(ResponseStarted)) == 2)

            async def send_chunks(link: int, size: int) -> None:
                while not upstream.links[link].closed:
                    upstream.links[link].write(b"%x\r\n%b\r\n" % (size, b"y" * size))
                    await asyncio.sleep(0.01)

            senders = [asyncio.create_task(send_chunks(0, 1000)), asyncio.create_task(send_chunks(1, 1))]
            await recorded.until(lambda: recorded.results() == [R.TIMEOUT])
            senders[0].cancel()
            upstream.links[0].write(b"0\r\n\r\n")
            await recorded.until(lambda: recorded.results() == [R.TIMEOUT, R.OK])
            assert recorded.of(AttemptFinished)[0].request == "r2"
            await senders[1]

    run(test())


def test_a_response_with_a_large_stated_length_is_not_aborted_after_its_timeout(
    recorded: EventRecorder,
) -> None:
    """A response with a large stated length stalls for a while after its time-out, as an upstream may do for
    a quarter of a second. Its first bytes were in time, so it is not aborted.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\none"]
            client = await lb.client()
            client.send("r1", X_Deadline_Ms=100)
            await recorded.until(lambda: recorded.of(ResponseStarted))
            began_s = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() < began_s + 0.1 + 3 * LATE_ANSWER_GRACE_S:
                await asyncio.sleep(0.02)
            lb.upstreams[0].links[0].write(b"x" * 899_997)
            assert len((await client.answer()).body) == 900_000

    run(test())


def test_a_response_that_was_paused_beyond_its_timeout_is_not_aborted_for_lack_of_progress() -> None:
    """A client does not read its response, so reading from the upstream is paused beyond the response's
    time-out. The response could make no progress meanwhile, and received bytes are still unread. The response
    is not aborted when reading resumes.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        ended: list[AttemptResult] = []
        paused = asyncio.Event()

        class PausingSink:
            def is_client_connected(self) -> bool:
                return True

            def start_response(self, head: object) -> None:
                exchange_.pause()
                paused.set()

            def forward(self, data: bytes) -> None:
                pass

        with socket.create_server(("127.0.0.1", 0)) as listener:
            connection = UpstreamConnection(lambda c: None, lambda c: None)
            await loop.create_connection(lambda: connection, *listener.getsockname())
            server, _ = listener.accept()
            with server:
                exchange_ = Exchange(
                    b"GET / HTTP/1.1\r\n\r\n", lambda r, _: ended.append(r), sink=PausingSink()
                )
                connection.start(exchange_)
                exchange_.expire_in(0.1)
                server.sendall(CHUNKED + b"3\r\none\r\n")
                await paused.wait()
                while loop.time() < exchange_.timeout_at_s + LATE_ANSWER_GRACE_S:
                    await asyncio.sleep(0.01)
                exchange_.resume()
                assert exchange_.on_finished is not None and not ended
                connection.abort()

    run(test())


def test_a_client_that_disconnects_from_an_endless_response_closes_the_upstreams_connection(
    recorded: EventRecorder,
) -> None:
    """A client disconnects during a response that never ends, where attempts may not be cancelled. The
    upstream's connection has no further use, and is closed.
    """

    async def test() -> None:
        async with in_process_balancer(settings=NO_CANCEL) as lb:
            lb.upstreams[0].script = [CHUNKED + b"3\r\none\r\n"]
            client = await lb.client()
            client.send("r1")
            await recorded.until(lambda: recorded.of(ResponseStarted))
            client.close()
            await recorded.until(
                lambda: recorded.of(ClientDisconnected) and recorded.results() == [R.CANCELLED]
            )
            await lb.upstreams[0].until(lambda: lb.upstreams[0].ended == 1)

    run(test())
