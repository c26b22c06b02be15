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


def test_more_open_requests_than_allowed_are_refused() -> None:
    """More requests come than may be open at once. Those above the limit are rejected at once with a
    Retry-After, and the balancer's decisions never see them.
    """

    async def test() -> None:
        settings = replace(SETTINGS, limits=replace(SETTINGS.limits, max_open_requests=1))
        async with in_process_balancer(settings=settings) as w:
            client = await w.held("r1")
            got = await w.request("r2")
            assert got.status == 503 and 0 < float(got.headers["retry-after"]) <= 1
            client.close()

    run(test())


def test_after_a_stall_the_module_still_has_the_last_word(recorded: EventRecorder) -> None:
    """The whole loop stands still past every timer of a request. The attempt's time-out and the check for
    overdue requests are then due on the same turn. The rejection with its Retry-After goes out, not a 504.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            client = await w.held("r1", X_Deadline_Ms=300)
            time.sleep(0.4)  # the whole loop stands still, past every timer of the request
            got = await read_message(client.reader)
            assert got.status == 503 and "retry-after" in got.headers
            assert recorded.results() == [R.TIMEOUT] and not recorded.of(ClientDisconnected)

    run(test())


def test_a_module_that_forgets_a_request(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The decisions never answer a request. Its client would wait for ever, so it is answered with 504 just
    after its deadline, the error is logged, and the decisions are notified that it is over.
    """
    recorded = EventRecorder()
    script_balancer(monkeypatch, recorded, lambda event, upstream: [])

    async def test() -> None:
        async with in_process_balancer() as w:
            assert (await w.request("r1", X_Deadline_Ms=100)).status == 504
            await recorded.until(lambda: recorded.of(ClientDisconnected))
        assert "r1" in caplog.text

    run(test())


def test_an_answer_that_cannot_be_given_harms_no_other(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """Writing one answer raises an exception. That client's connection is closed; the events behind it are
    handled, and other clients are answered.
    """
    from lanelift.net.client_connection import ClientConnection

    served = ClientConnection.respond

    def fails(self: ClientConnection, response: Response) -> None:
        if response.body == b"bad":
            raise RuntimeError("no")
        served(self, response)

    monkeypatch.setattr(ClientConnection, "respond", fails)

    async def test() -> None:
        async with in_process_balancer() as w:
            w.upstreams[0].script = [answer(200, b"bad")]
            client = await w.client()
            client.send("r1")
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_message(client.reader)
            assert (await w.request("r2")).status == 200
            assert recorded.results() == [R.OK, R.OK]

    run(test())
