"""What comes back from an upstream, as the module hears it and as the client is answered."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from typing import Any

import pytest

from lanelift.net.exchange import Exchange
from lanelift.net.http_messages import Response, encode_message
from lanelift.net.load_reports import read_load_report
from lanelift.net.upstream_connection import UpstreamConnection
from lanelift.policy.actions import Action, StartAttempt
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    ClientDisconnected,
    Event,
    LoadProbeFinished,
    RequestArrived,
)
from tests.fakes import (
    CLASSES,
    SETTINGS,
    Heard,
    answer,
    deaf,
    free_port,
    never,
    puppet,
    read_message,
    run,
    world,
)

R = AttemptResult
OK = b"HTTP/1.1 200 OK\r\n"
AIM_NS = CLASSES["quote"].latency_objective_ns


def test_a_request_goes_on_unchanged_and_its_answer_comes_back(heard: Heard) -> None:
    async def test() -> None:
        async with world(settings=replace(SETTINGS, load_report_fields=("inflight", "util"))) as w:
            body = bytes(range(256)) * 256  # 64 KiB
            load = "X-Load: inflight=7,util=0.5"
            w.upstreams[0].script = [answer(200, body[::-1], "Content-Type: text/x", load)]
            got = await w.ask(
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
            seen = w.upstreams[0].seen[-1]
            assert seen.start[:2] == ["POST", "/pay/a%20b?x=1&obj=7f&y="] and seen.body == body
            assert seen.headers["x-request-id"] == "r1" and seen.headers["idempotency-key"] == "k1"
            assert 0 < int(seen.headers["x-deadline-ms"]) <= 3000
            (arrived,) = heard.of(RequestArrived)
            assert (arrived.cost_hint_ns, arrived.key, arrived.retry) == (12_000_000, "7f", True)
            await heard.until(lambda: heard.of(AttemptFinished))
            (outcome,) = heard.of(AttemptFinished)
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
        (answer(200, b"whole")[:-2], R.TIMEOUT),  # begun, and silent from then on
        (b"not HTTP at all\r\n\r\n", R.ERROR),  # it has run, and no connection broke
        (OK + b"\r\nbody", R.ERROR),  # no length: whether it is whole can't be known
        (OK + b"Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody", R.ERROR),
        (OK + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", R.ERROR),
        (OK + b"Content-Length: 3000000000\r\n\r\nbody", R.ERROR),
        (OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nzz\r\nbody\r\n0\r\n\r\n", R.ERROR),
        (OK + b"X-Pad: p\r\n" * 10_000, R.ERROR),  # a head without end
        (OK + b"no colon here\r\nContent-Length: 4\r\n\r\nbody", R.ERROR),
        (b"HTTP/1.1 102 Processing\r\n\r\n" * 100, R.ERROR),
        (never, R.TIMEOUT),
    ],
)
@pytest.mark.parametrize("kind", ["quote", "pay"])
def test_outcomes(heard: Heard, reply: Any, result: AttemptResult, kind: str) -> None:
    async def test() -> None:
        async with world() as w:
            w.upstreams[0].script = [reply]
            got = await w.ask(
                "r1",
                kind,
                "GET" if kind == "quote" else "POST",
                X_Deadline_Ms=400 if result is R.TIMEOUT else 3000,
            )
            await heard.until(lambda: heard.of(AttemptFinished))
            (outcome,) = heard.of(AttemptFinished)
            assert (outcome.request, outcome.attempt, outcome.result) == ("r1", 0, result)
            assert not outcome.request_complete
            if kind == "quote" or result is R.REJECTED:
                assert got.status == 503 and 0 < float(got.headers["retry-after"]) <= 1
            else:  # it may have run: no promise
                assert got.status == (504 if result is R.TIMEOUT else 502)
                assert "retry-after" not in got.headers

    run(test())


@pytest.mark.parametrize("extra", [answer(200, b"again"), b"\x00noise\r\n", b"H"])
def test_what_stands_behind_an_answer_answers_no_other_request(heard: Heard, extra: bytes) -> None:
    async def test() -> None:
        async with world() as w:
            upstream = w.upstreams[0]
            upstream.script = [answer(200, b"first") + extra, answer(200, b"second")]
            assert (await w.ask("r1")).body == b"first"
            assert (await w.ask("r2")).body == b"second"
            assert [m.link for m in upstream.seen] == [1, 2]  # nothing more comes on the first connection
            assert heard.results() == [R.OK, R.OK]

    run(test())


def test_what_comes_late_behind_an_answer_ends_the_connection() -> None:
    async def test() -> None:
        async with world() as w:
            upstream = w.upstreams[0]
            assert (await w.ask("r1")).status == 200
            upstream.links[0].write(answer(200, b"again"))
            await upstream.until(lambda: upstream.ended == 1)
            assert (await w.ask("r2")).body == b"s-0"

    run(test())


def test_interim_answers_are_let_pass() -> None:
    async def test() -> None:
        async with world() as w:
            hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
            w.upstreams[0].script = [hints + answer(200, b"at last")]
            assert (await w.ask("r1")).body == b"at last"

    run(test())


@pytest.mark.parametrize(
    ("text", "report"),
    [
        (b"inflight=7,queue=2", {"inflight": 7.0, "queue": 2.0}),
        (b'{"', None),
        (b"", None),
        (None, None),
        (b"inflight=nan,queue=inf", None),
        (b"inflight=-1,queue=1e999", None),
        (b"inflight=3,other=1,=2,queue", {"inflight": 3.0}),
        (b"\xff\xfe=1", None),
    ],
)
def test_a_load_report_is_believed_as_far_as_it_can_be(text: bytes | None, report: Any) -> None:
    assert read_load_report(text, ("inflight", "queue")) == report


def test_refused_connection(heard: Heard) -> None:
    async def test() -> None:
        async with world() as w:
            w.upstreams[0].port = free_port()
            await w.tell(w.upstreams[0].row())
            assert (await w.ask("r1", "pay", "POST")).status == 503  # never ran: it may be refused
            assert heard.results() == [R.CONNECT_FAILED]

    run(test())


def test_a_connection_that_never_comes_up(heard: Heard) -> None:
    async def test() -> None:
        limits = replace(SETTINGS.limits, connect_timeout_ns=100_000_000)
        with deaf() as address:
            async with world(settings=replace(SETTINGS, limits=limits)) as w:
                w.upstreams[0].port = address[1]
                await w.tell(w.upstreams[0].row())
                assert (await w.ask("r1", "pay", "POST")).status == 503
                assert heard.results() == [R.CONNECT_FAILED]

    run(test())


@pytest.mark.parametrize(("size", "result"), [(10, R.RESET), (50_000_000, R.CONNECT_FAILED)])
def test_a_break_before_the_last_byte_was_written_is_no_reset(size: int, result: AttemptResult) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[AttemptResult] = loop.create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        connection = UpstreamConnection(lambda c: None, lambda c: None)
        await loop.create_connection(lambda: connection, *server.sockets[0].getsockname())
        request = encode_message(b"POST / HTTP/1.1", [(b"Content-Length", b"%d" % size)], b"x" * size)
        connection.start(Exchange(request, lambda r, response: ended.set_result(r)))
        assert await ended is result
        server.close()

    run(test())


def test_the_deadline_cuts_the_attempt_and_the_answer_comes_in_time(heard: Heard) -> None:
    async def test() -> None:
        async with world() as w:
            w.upstreams[0].script = [never]
            got = await w.ask("r1", X_Deadline_Ms=300)
            assert got.status == 503
            assert int(w.upstreams[0].seen[-1].headers["x-deadline-ms"]) < 300
            (outcome,) = heard.of(AttemptFinished)
            assert outcome.result is R.TIMEOUT and outcome.duration_ns < AIM_NS
            # Giving up an attempt closes its connection: the upstream knows, and a late answer hits nobody.
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)

    run(test())


def test_after_a_stall_the_module_still_has_the_last_word(heard: Heard) -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.held("r1", X_Deadline_Ms=300)
            time.sleep(0.4)  # the whole loop stands still, past every timer of the request
            got = await read_message(client.reader)
            assert got.status == 503 and "retry-after" in got.headers
            assert heard.results() == [R.TIMEOUT] and not heard.of(ClientDisconnected)

    run(test())


def test_a_client_that_leaves(heard: Heard) -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.held("r1")
            client.close()
            await heard.until(lambda: heard.of(ClientDisconnected) and heard.of(AttemptFinished))
            (outcome,) = heard.of(AttemptFinished)
            assert (outcome.result, outcome.request_complete) == (R.CANCELLED, True)
            await w.upstreams[0].until(lambda: w.upstreams[0].ended == 1)

    run(test())


def test_a_send_that_cannot_start_is_moot(monkeypatch: pytest.MonkeyPatch) -> None:
    heard = Heard()

    def acts(event: Event, upstream: int) -> list[Action]:
        if isinstance(event, RequestArrived):  # a second copy is not allowed, nor an upstream nobody listed
            return [StartAttempt("r1", upstream), StartAttempt("r1", upstream), StartAttempt("r1", 99)]
        return []

    puppet(monkeypatch, heard, acts)

    async def test() -> None:
        limits = replace(SETTINGS.limits, max_attempts=5)
        async with world(settings=replace(SETTINGS, limits=limits)) as w:
            assert (await w.ask("r1")).status == 200
            await heard.until(lambda: len(heard.of(AttemptFinished)) == 3)
            assert {o.attempt: o.result for o in heard.of(AttemptFinished)} == {
                0: R.OK,
                1: R.NOT_SENT,
                2: R.NOT_SENT,
            }
            assert len(w.upstreams[0].seen) == 1

    run(test())


def test_a_failing_module_fails_the_request_and_is_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def acts(event: Event, upstream: int) -> list[Action]:
        if isinstance(event, RequestArrived) and event.request == "bad":
            raise RuntimeError("out of its mind")
        return [StartAttempt(event.request, upstream)] if isinstance(event, RequestArrived) else []

    puppet(monkeypatch, Heard(), acts)

    async def test() -> None:
        async with world() as w:
            assert (await w.ask("bad")).status == 502
            assert (await w.ask("good")).status == 200
        (record,) = [r for r in caplog.records if r.exc_info]
        assert "bad" in record.getMessage()

    run(test())


def test_a_module_that_forgets_a_request(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    heard = Heard()
    puppet(monkeypatch, heard, lambda event, upstream: [])

    async def test() -> None:
        async with world() as w:
            assert (await w.ask("r1", X_Deadline_Ms=100)).status == 504
            await heard.until(lambda: heard.of(ClientDisconnected))
        assert "r1" in caplog.text

    run(test())


def test_each_probe_has_one_result(heard: Heard) -> None:
    async def test() -> None:
        settings = replace(
            SETTINGS,
            limits=replace(SETTINGS.limits, load_probes=True),
            load_report_fields=("inflight", "queue"),
        )
        async with world(settings=settings) as w:
            assert (await w.ask("r1")).status == 200
            probes = [m for m in w.upstreams[0].seen if m.start[1] == "/status/load"]
            assert probes and "x-request-id" not in probes[0].headers
            results = heard.of(LoadProbeFinished)
            assert len(results) == len(probes)
            assert results[0].result is R.OK and results[0].report == {"inflight": 3.0, "queue": 1.0}

    run(test())


def test_an_answer_that_cannot_be_given_harms_no_other(monkeypatch: pytest.MonkeyPatch, heard: Heard) -> None:
    from lanelift.net.client_connection import ClientConnection

    served = ClientConnection.respond

    def fails(self: ClientConnection, response: Response) -> None:
        if response.body == b"bad":
            raise RuntimeError("no")
        served(self, response)

    monkeypatch.setattr(ClientConnection, "respond", fails)

    async def test() -> None:
        async with world() as w:
            w.upstreams[0].script = [answer(200, b"bad")]
            client = await w.client()
            client.send("r1")
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_message(client.reader)
            assert (await w.ask("r2")).status == 200
            assert heard.results() == [R.OK, R.OK]

    run(test())
