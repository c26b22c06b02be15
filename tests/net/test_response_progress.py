"""Streamed responses that stand still, dribble or never end."""

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
from tests.fakes import TEST_S, run
from tests.in_process import SETTINGS, EventRecorder, in_process_balancer, script_balancer
from tests.net.support import (
    CHUNKED,
    LONG,
    OK,
    PATIENT,
    R,
    Steps,
    body_of,
    chunked_response,
    response_with_length,
    stepwise,
)


def test_an_answer_that_stands_still_is_given_up(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """An upstream sends part of a response and then nothing more. The attempt is given up after a while,
    and the client can see that its response is incomplete.
    """
    monkeypatch.setattr(exchange, "UPSTREAM_SILENCE_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with stepwise() as (_, client, steps):
            await steps.write(OK + b"Content-Length: 500000\r\n\r\n" + LONG[:100_000])
            with suppress(ConnectionError):
                while await client.reader.read(65536):
                    pass
            await recorded.until(lambda: recorded.of(AttemptFinished))
            assert recorded.results() == [R.TIMEOUT]

    run(test())


def test_the_deadline_does_not_cut_an_answer_that_has_begun(recorded: EventRecorder) -> None:
    """A streamed response goes on past its client's deadline. The deadline applies to its beginning, so it
    is not cut.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            steps = Steps(w)
            client = await w.client()
            client.send("r1", X_Deadline_Ms=250)
            await steps.write(OK + b"Content-Length: 200000\r\n\r\n" + LONG[:100_000])
            await recorded.until(lambda: recorded.of(ResponseStarted))
            await asyncio.sleep(0.4)  # past the deadline, and what the driver adds to it
            await steps.write(LONG[100_000:200_000])
            assert (await body_of(client))[1] == LONG[:200_000]
            assert recorded.results() == [R.OK]

    run(test())


def test_more_than_may_be_passed_on_is_cut(monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder) -> None:
    """A response is longer than what may be streamed. It is an error if it says so beforehand; else it is
    cut at the limit, and the client can tell.
    """
    monkeypatch.setattr("lanelift.net.message_parser.MAX_STREAMED_BODY_BYTES", 300_000)

    async def test() -> None:
        async with in_process_balancer() as w:
            w.upstreams[0].script = [response_with_length(LONG), chunked_response(LONG)]
            assert (await w.request("r1")).status == 503  # said beforehand
            client = await w.client()
            client.send("r2")
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                await body_of(client)
                raise AssertionError("it came whole")
            await recorded.until(lambda: len(recorded.of(AttemptFinished)) == 2)
            assert recorded.results() == [R.ERROR, R.ERROR]

    assert MAX_STREAMED_BODY_BYTES > 32_000_000
    run(test())


CLOSES = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize(
    "begins", [CHUNKED + b"3\r\none\r\n", CHUNKED, CLOSES + b"one", CHUNKED + b"7d0\r\n" + b"x" * 2000]
)
@pytest.mark.parametrize("may_cancel", [True, False])
def test_an_answer_that_never_ends_is_cut_when_it_is_owed(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, begins: bytes, may_cancel: bool
) -> None:
    """A response does not state its length, begins, and never ends. It is streamed as a long one would be,
    and its client would wait for ever. It is cut when its time is over and it makes no progress.
    """
    monkeypatch.setattr(exchange, "UPSTREAM_SILENCE_TIMEOUT_S", 2 * TEST_S)
    assert 2 * exchange.MIN_PROGRESS_INTERVAL_S < 0.5  # in which an answer that is late still counts as one

    async def test() -> None:
        settings = replace(SETTINGS, limits=replace(SETTINGS.limits, may_cancel=may_cancel))
        async with in_process_balancer(settings=settings) as w:
            w.upstreams[0].script = [begins]
            client = await w.client()
            client.send("r1", X_Deadline_Ms=150)
            with suppress(ConnectionError):
                while await client.reader.read(65536):
                    pass  # the end shows that it is not whole
            assert recorded.results() == [R.TIMEOUT]
            assert (await w.request("r2")).status == 200

    run(test())


def test_an_answer_that_dribbles_is_cut_and_one_that_goes_on_is_not(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """Two responses without a stated length go on past their time, one with some bytes now and then, one
    steadily. The first is cut, the second is not.
    """
    script_balancer(
        monkeypatch,
        recorded,
        lambda event, to: [StartAttempt(event.request, to)] if isinstance(event, RequestArrived) else [],
    )

    async def test() -> None:
        async with in_process_balancer() as w:
            box = w.upstreams[0]
            box.script = [CHUNKED, CHUNKED]
            slow, steady = await w.client(), await w.client()
            steady.send("r1", X_Deadline_Ms=400)
            await box.until(lambda: len(box.seen) == 1)
            slow.send("r2", X_Deadline_Ms=400)
            await recorded.until(lambda: len(recorded.of(ResponseStarted)) == 2)

            async def bring(link: int, size: int) -> None:
                while not box.links[link].closed:
                    box.links[link].write(b"%x\r\n%b\r\n" % (size, b"y" * size))
                    await asyncio.sleep(0.01)

            brings = [asyncio.create_task(bring(0, 1000)), asyncio.create_task(bring(1, 1))]
            await recorded.until(lambda: recorded.results() == [R.TIMEOUT])
            brings[0].cancel()
            box.links[0].write(b"0\r\n\r\n")
            await recorded.until(lambda: recorded.results() == [R.TIMEOUT, R.OK])
            assert recorded.of(AttemptFinished)[0].request == "r2"
            await brings[1]

    run(test())


def test_an_answer_that_tells_a_great_length_is_not_cut_when_its_time_is_over(
    recorded: EventRecorder,
) -> None:
    """A response states a great length, and stands still for a while when its time is over: an upstream may
    do that for a quarter of a second and go on. Its first bytes were in time, so it is not cut.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            w.upstreams[0].script = [b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\none"]
            client = await w.client()
            client.send("r1", X_Deadline_Ms=100)
            await recorded.until(lambda: recorded.of(ResponseStarted))
            began_s = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() < began_s + 0.1 + 3 * exchange.MIN_PROGRESS_INTERVAL_S:
                await asyncio.sleep(0.02)
            w.upstreams[0].links[0].write(b"x" * 899_997)
            assert len((await client.answer()).body) == 900_000

    run(test())


def test_an_answer_that_was_held_back_beyond_its_time_is_not_cut_for_having_brought_nothing() -> None:
    """A response's client takes nothing, so reading from the upstream is paused beyond the response's time.
    It made no progress because of that, and what lies there has yet to be read: it is not cut when reading
    resumes.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        ended: list[AttemptResult] = []
        held = asyncio.Event()

        class Held:
            def start_response(self, head: object) -> None:
                attempt.pause()
                held.set()

            def forward(self, data: bytes) -> None:
                pass

        with socket.create_server(("127.0.0.1", 0)) as listener:
            connection = UpstreamConnection(lambda c: None, lambda c: None)
            await loop.create_connection(lambda: connection, *listener.getsockname())
            server, _ = listener.accept()
            with server:
                attempt = Exchange(b"GET / HTTP/1.1\r\n\r\n", lambda r, _: ended.append(r), sink=Held())
                connection.start(attempt)
                attempt.expire_in(0.1)
                server.sendall(CHUNKED + b"3\r\none\r\n")
                await held.wait()
                while loop.time() < attempt.progress_due_s:
                    await asyncio.sleep(0.01)
                attempt.resume()
                assert attempt.on_finished is not None and not ended
                connection.abort()

    run(test())


def test_a_client_that_leaves_an_answer_that_never_ends_leaves_nothing_behind(
    recorded: EventRecorder,
) -> None:
    """A client disconnects from a response that never ends, where attempts may not be cancelled. The
    upstream's connection is of use to nobody any more, and is closed.
    """

    async def test() -> None:
        async with in_process_balancer(settings=PATIENT) as w:
            w.upstreams[0].script = [CHUNKED + b"3\r\none\r\n"]
            client = await w.client()
            client.send("r1")
            await recorded.until(lambda: recorded.of(ResponseStarted))
            client.close()
            await recorded.until(
                lambda: recorded.of(ClientDisconnected) and recorded.results() == [R.CANCELLED]
            )
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)

    run(test())
