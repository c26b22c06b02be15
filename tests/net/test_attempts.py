"""Attempts: each has one outcome, which decides the client's answer."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from lanelift.net.exchange import Exchange
from lanelift.net.socket_options import peer_state
from lanelift.net.upstream_connection import UpstreamConnection
from lanelift.policy.actions import Action, StartAttempt
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    ClientDisconnected,
    Event,
    RequestArrived,
)
from tests.fakes import answer, never, run
from tests.in_process import CLASSES, SETTINGS, EventRecorder, in_process_balancer, script_balancer
from tests.net.support import NO_CANCEL, OK, Gate, R, request_ids, retry_on_second_upstream

AIM_NS = CLASSES["quote"].latency_objective_ns


def test_a_request_is_forwarded_unchanged_and_its_answer_returned(recorded: EventRecorder) -> None:
    async def test() -> None:
        async with in_process_balancer(
            settings=replace(SETTINGS, load_report_fields=("inflight", "util"))
        ) as lb:
            body = bytes(range(256)) * 256  # 64 KiB
            load = "X-Load: inflight=7,util=0.5"
            lb.upstreams[0].script = [answer(200, body[::-1], "Content-Type: text/x", load)]
            got = await lb.request(
                "r1",
                "pay",
                "POST",
                body,
                "/pay/a%20b?x=1&obj=7f&y=",
                Idempotency_Key="k1",
                X_Cost_Hint=12000,
                X_Retry=1,
            )
            assert (got.status, got.body, got.headers["content-type"]) == (200, body[::-1], "text/x")
            seen = lb.upstreams[0].seen[-1]
            assert seen.start[:2] == ["POST", "/pay/a%20b?x=1&obj=7f&y="] and seen.body == body
            assert seen.headers["x-request-id"] == "r1" and seen.headers["idempotency-key"] == "k1"
            assert 0 < int(seen.headers["x-deadline-ms"]) <= 3000
            (arrived,) = recorded.of(RequestArrived)
            assert (arrived.cost_hint_ns, arrived.key, arrived.retry) == (12_000_000, "7f", True)
            await recorded.until(lambda: recorded.of(AttemptFinished))
            (outcome,) = recorded.of(AttemptFinished)
            assert (outcome.result, outcome.request_complete) == (R.OK, True)
            assert outcome.report == {"inflight": 7.0, "util": 0.5}

    run(test())


@pytest.mark.parametrize(
    ("reply", "result"),
    [
        (answer(500), R.ERROR),
        (answer(503, b"", "X-Not-Run: 1"), R.REJECTED),
        (answer(504, b"", "X-Not-Run: 1"), R.REJECTED),
        (answer(503), R.ERROR),
        (None, R.RESET),
        (answer(200, b"whole")[:-2], R.TIMEOUT),  # an incomplete response
        # the request has run, and the upstream's connection did not break
        (b"not HTTP at all\r\n\r\n", R.ERROR),
        (OK + b"\r\nbody", R.ERROR),  # a response without a length can't be known to be complete
        (OK + b"Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody", R.ERROR),
        (OK + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", R.ERROR),
        (OK + b"Content-Length: 3000000000\r\n\r\nbody", R.ERROR),
        (OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nzz\r\nbody\r\n0\r\n\r\n", R.ERROR),
        (OK + b"X-Pad: p\r\n" * 10_000, R.ERROR),  # the head never ends
        (OK + b"no colon here\r\nContent-Length: 4\r\n\r\nbody", R.ERROR),
        (b"HTTP/1.1 102 Processing\r\n\r\n" * 100, R.ERROR),
        (never, R.TIMEOUT),
    ],
)
@pytest.mark.parametrize("kind", ["quote", "pay"])
def test_each_attempt_has_one_outcome_that_decides_the_answer(
    recorded: EventRecorder, reply: Any, result: AttemptResult, kind: str
) -> None:
    """An upstream answers with an error, breaks the connection, sends an invalid response, or does not
    answer. Each attempt has exactly one outcome. The client gets a rejection if the request is idempotent or
    can't have run, else a failure.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [reply]
            got = await lb.request(
                "r1",
                kind,
                "GET" if kind == "quote" else "POST",
                X_Deadline_Ms=400 if result is R.TIMEOUT else 3000,
            )
            await recorded.until(lambda: recorded.of(AttemptFinished))
            (outcome,) = recorded.of(AttemptFinished)
            assert (outcome.request, outcome.attempt, outcome.result) == ("r1", 0, result)
            assert not outcome.request_complete
            if kind == "quote" or result is R.REJECTED:
                assert got.status == 503 and 0 < float(got.headers["retry-after"]) <= 1
            else:  # the request may have run, so no retry is suggested
                assert got.status == (504 if result is R.TIMEOUT else 502)
                assert "retry-after" not in got.headers

    run(test())


def test_an_attempt_ends_at_the_deadline_and_the_answer_is_in_time(recorded: EventRecorder) -> None:
    """An upstream never answers. The attempt ends at its client's deadline and its connection is closed, so
    that the upstream notices, and a late response can't answer another request.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [never]
            got = await lb.request("r1", X_Deadline_Ms=300)
            assert got.status == 503
            assert int(lb.upstreams[0].seen[-1].headers["x-deadline-ms"]) < 300
            (outcome,) = recorded.of(AttemptFinished)
            assert outcome.result is R.TIMEOUT and outcome.duration_ns < AIM_NS
            # Giving up an attempt closes its connection.
            await lb.upstreams[0].until(lambda: lb.upstreams[0].ended == 1)

    run(test())


def test_a_client_that_disconnects_cancels_its_attempt(recorded: EventRecorder) -> None:
    """A client disconnects while its request is at an upstream. The attempt is cancelled, and the
    upstream's connection is closed.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client_with_open_request("r1")
            client.close()
            await recorded.until(lambda: recorded.of(ClientDisconnected) and recorded.of(AttemptFinished))
            (outcome,) = recorded.of(AttemptFinished)
            assert (outcome.result, outcome.request_complete) == (R.CANCELLED, True)
            await lb.upstreams[0].until(lambda: lb.upstreams[0].ended == 1)

    run(test())


def test_an_attempt_that_is_not_allowed_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """The balancer starts attempts that are not allowed: a second one in parallel to the first, and one at
    an upstream that is not listed. Nothing is sent, and each of them has the outcome NOT_SENT.
    """
    recorded = EventRecorder()

    def acts(event: Event, upstream: int) -> list[Action]:
        # neither a second attempt in parallel nor an attempt at an unlisted upstream is allowed
        if isinstance(event, RequestArrived):
            return [StartAttempt("r1", upstream), StartAttempt("r1", upstream), StartAttempt("r1", 99)]
        return []

    script_balancer(monkeypatch, recorded, acts)

    async def test() -> None:
        limits = replace(SETTINGS.limits, max_attempts=5)
        async with in_process_balancer(settings=replace(SETTINGS, limits=limits)) as lb:
            assert (await lb.request("r1")).status == 200
            await recorded.until(lambda: len(recorded.of(AttemptFinished)) == 3)
            assert {o.attempt: o.result for o in recorded.of(AttemptFinished)} == {
                0: R.OK,
                1: R.NOT_SENT,
                2: R.NOT_SENT,
            }
            assert len(lb.upstreams[0].seen) == 1

    run(test())


@pytest.mark.usefixtures("settled")
def test_a_request_whose_client_disconnects_during_the_handshake_is_not_sent(
    recorded: EventRecorder,
) -> None:
    """A client disconnects while the connection for its request is being opened. The request is not sent
    when the connection is established, no upstream is blamed, and the next request uses the connection.
    """

    async def test() -> None:
        async with in_process_balancer(settings=NO_CANCEL) as lb:
            gate = Gate(lb.upstreams[0])
            client = await lb.client()
            client.send("r1")
            await gate.reached.wait()
            client.close()
            await recorded.until(lambda: recorded.of(ClientDisconnected))
            gate.open.set()
            assert (await lb.request("r2")).status == 200
            assert request_ids(lb.upstreams[0]) == ["r2"]
            assert recorded.results() == [R.NOT_SENT, R.OK]  # the disconnection is not the upstream's fault

    run(test())


@pytest.mark.usefixtures("settled")
@pytest.mark.parametrize(
    "invalid_response",
    [
        b"\x00noise",
        b"HTTP/1.1 500 X\r\nContent-Length: 900000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
    ],
)
def test_an_attempts_connection_is_closed_before_the_next_attempt_is_sent(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, invalid_response: bytes
) -> None:
    """An upstream's response is invalid, and the request is retried at another upstream. The failed attempt
    may run for as long as its connection is open, and then two attempts would run at the same time. So its
    connection is closed before the next attempt is sent.
    """
    retry_on_second_upstream(monkeypatch, recorded)
    ended: list[bool] = []
    start = UpstreamConnection.start

    async def test() -> None:
        async with in_process_balancer(2, settings=NO_CANCEL) as lb:
            first, second = lb.upstreams
            first.script = [b"\x00", invalid_response]
            # the upstream `second` has a connection now
            assert (await lb.request("r1")).body == second.name.encode()

            def watched(connection: UpstreamConnection, exchange: Exchange) -> None:
                if b"X-Request-Id: r2" in exchange.request or b"x-request-id: r2" in exchange.request:
                    transport = first.links[-1].transport
                    assert transport is not None
                    ended.append(peer_state(transport.get_extra_info("socket"))[0])
                start(connection, exchange)

            monkeypatch.setattr(UpstreamConnection, "start", watched)
            assert (await lb.request("r2")).body == second.name.encode()
            # before each attempt of r2: whether the connection to `first` had ended
            assert ended == [False, True]

    run(test())
