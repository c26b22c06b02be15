"""The table of open requests: each has one final answer."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from lanelift.net.http_messages import Response
from lanelift.policy.events import (
    ClientDisconnected,
)
from tests.fakes import answer, read_message, run
from tests.in_process import SETTINGS, EventRecorder, in_process_balancer, script_balancer
from tests.net.support import R


def test_requests_above_the_limit_of_open_requests_are_rejected() -> None:
    """More requests arrive than may be open at the same time. The requests in excess of the limit are
    rejected immediately with a Retry-After, and the balancer is not notified of them.
    """

    async def test() -> None:
        settings = replace(SETTINGS, limits=replace(SETTINGS.limits, max_open_requests=1))
        async with in_process_balancer(settings=settings) as lb:
            client = await lb.client_with_open_request("r1")
            got = await lb.request("r2")
            assert got.status == 503 and 0 < float(got.headers["retry-after"]) <= 1
            client.close()

    run(test())


def test_after_the_loop_was_blocked_the_balancers_rejection_is_the_answer(recorded: EventRecorder) -> None:
    """The event loop is blocked until every timer of a request is due. The attempt's time-out and the check
    for overdue requests are then due in the same iteration. The client gets the rejection with its
    Retry-After, not a 504.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client_with_open_request("r1", X_Deadline_Ms=300)
            time.sleep(0.4)  # blocks the event loop until every timer of the request is due
            got = await read_message(client.reader)
            assert got.status == 503 and "retry-after" in got.headers
            assert recorded.results() == [R.TIMEOUT] and not recorded.of(ClientDisconnected)

    run(test())


def test_a_request_that_the_balancer_never_answers_gets_a_504(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The balancer never answers a request. Its client would wait for ever, so it gets a 504 just after the
    deadline, the error is logged, and the balancer is notified that the request is over.
    """
    recorded = EventRecorder()
    script_balancer(monkeypatch, recorded, lambda event, upstream: [])

    async def test() -> None:
        async with in_process_balancer() as lb:
            assert (await lb.request("r1", X_Deadline_Ms=100)).status == 504
            await recorded.until(lambda: recorded.of(ClientDisconnected))
        assert "r1" in caplog.text

    run(test())


def test_an_exception_while_writing_an_answer_affects_no_other_client(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """Writing an answer raises an exception. That client's connection is closed; later events are handled,
    and other clients are answered.
    """
    from lanelift.net.client_connection import ClientConnection

    respond = ClientConnection.respond

    def fails(self: ClientConnection, response: Response) -> None:
        if response.body == b"bad":
            raise RuntimeError("no")
        respond(self, response)

    monkeypatch.setattr(ClientConnection, "respond", fails)

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [answer(200, b"bad")]
            client = await lb.client()
            client.send("r1")
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_message(client.reader)
            assert (await lb.request("r2")).status == 200
            assert recorded.results() == [R.OK, R.OK]

    run(test())
