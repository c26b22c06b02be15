"""What held when an attempt was decided must hold when it is written, on each path to the write."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from lanelift.net import handshakes
from lanelift.net.connection_pool import ConnectionPool
from lanelift.net.endpoint_list import upstream_number
from lanelift.net.exchange import Exchange
from lanelift.policy.actions import Action, StartAttempt
from lanelift.policy.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointState,
    Event,
    RequestArrived,
)
from lanelift.policy.settings import Idempotency, RequestClass
from tests.fakes import SECOND, answer, run
from tests.in_process import (
    CLASSES,
    SETTINGS,
    EventRecorder,
    in_process_balancer,
    script_balancer,
)
from tests.net.support import DISCONNECTS, Gate, R, request_ids, request_with_length

WINDOW_S = 0.5
MAX_STOP_S = 0.15  # the operators' pages: between reading the clock and writing
TOLD_SLACK_S = 0.15  # the operators' pages: the time that an attempt tells may exceed what is left by this
KEYED = RequestClass(
    "fee",
    Idempotency.IDEMPOTENCY_KEY,
    deduplication_window_ns=int(WINDOW_S * SECOND),
    latency_objective_ns=2 * SECOND,
    deadline_ns=3 * SECOND,
)
LIMITS = replace(SETTINGS.limits, max_attempts=2, connect_timeout_ns=60 * SECOND)
LATE = replace(SETTINGS, classes={**CLASSES, "fee": KEYED}, limits=LIMITS)
HEDGED = replace(LATE, limits=replace(LIMITS, hedging=True))
SIZES = {"buffered body": 100, "streamed body": 300_000}


@pytest.fixture(autouse=True)
def _patient_handshakes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets an attempt wait for its connection for as long as the test holds it back."""
    monkeypatch.setattr(handshakes, "MIN_HANDSHAKE_TIMEOUT_S", 60.0)


def start_at(*names: str) -> Callable[[Event, int], list[Action]]:
    """Returns decisions: attempts at all these upstreams when a request arrives."""

    def acts(event: Event, _: int) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [StartAttempt(event.request, upstream_number(name)) for name in names]
        return []

    return acts


def retry_at(first: str, second: str) -> Callable[[Event, int], list[Action]]:
    """Returns decisions: an attempt at the first upstream, and one at the second when it fails."""

    def acts(event: Event, _: int) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [StartAttempt(event.request, upstream_number(first))]
        if isinstance(event, AttemptFinished) and not event.attempt and not event.request_complete:
            return [StartAttempt(event.request, upstream_number(second))]
        return []

    return acts


@pytest.mark.parametrize("late_s", [WINDOW_S - MAX_STOP_S, 2 * WINDOW_S], ids=["just", "long"])
def test_a_keyed_retry_is_not_written_after_its_window(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, late_s: float
) -> None:
    """The retry of a keyed request is decided inside the window, and its connection comes up after it. It was
    written then, and ran twice."""
    script_balancer(monkeypatch, recorded, retry_at("s-0", "s-1"))

    async def test() -> None:
        async with in_process_balancer(2, settings=LATE) as lb:
            first, second = lb.upstreams
            first.script = [answer(500)]
            gate = Gate(second)
            client = await lb.client()
            client.send("r1", "fee", "POST", b"x")
            await gate.reached.wait()
            await asyncio.sleep(late_s)
            gate.open.set()
            await recorded.until(lambda: len(recorded.results()) == 2)
            assert recorded.results() == [R.ERROR, R.NOT_SENT]
            assert not second.seen
            client.close()

    run(test())


@pytest.mark.parametrize("first", ["buffered", "late"])
def test_a_keyed_retry_is_written_inside_its_window(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, first: str
) -> None:
    """The check refuses no retry that is in time, and counts from the first attempt that may have run."""
    script_balancer(monkeypatch, recorded, retry_at("s-0", "s-1"))

    async def test() -> None:
        async with in_process_balancer(2, settings=LATE) as lb:
            lb.upstreams[0].script = [answer(503, b"", "X-Not-Run: 1") if first == "late" else answer(500)]
            gate = Gate(lb.upstreams[1])
            client = await lb.client()
            client.send("r1", "fee", "POST", b"x")
            await gate.reached.wait()
            if first == "late":  # the first attempt never ran, so that no window is open
                await asyncio.sleep(WINDOW_S)
            gate.open.set()
            assert (await client.answer()).body == b"s-1"

    run(test())


def test_a_first_attempt_is_not_written_after_the_window_of_a_hedged_one_that_ran(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """The first attempt of a keyed request waits for its connection, and a hedged one runs meanwhile. No
    attempt came before the first one when it was decided."""
    script_balancer(monkeypatch, recorded, start_at("s-0", "s-1"))

    async def test() -> None:
        async with in_process_balancer(2, settings=HEDGED) as lb:
            late, hedged = lb.upstreams
            hedged.script = [answer(500)]
            gate = Gate(late)
            client = await lb.client()
            client.send("r1", "fee", "POST", b"x")
            await recorded.until(recorded.results)
            await asyncio.sleep(WINDOW_S)
            gate.open.set()
            await recorded.until(lambda: len(recorded.results()) == 2)
            assert recorded.results() == [R.ERROR, R.NOT_SENT]
            assert request_ids(hedged) == ["r1"] and not late.seen
            client.close()

    run(test())


@pytest.mark.parametrize("size", SIZES.values(), ids=SIZES)
def test_a_connection_that_was_not_begun_before_its_upstream_drained_is_not_written_to(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, size: int
) -> None:
    """An upstream drains after an attempt was given to the pool, and before the task that opens its
    connection has begun. The pool did not know of the attempt yet, and wrote it whenever the connection came
    up."""

    async def test() -> None:
        async with in_process_balancer(settings=LATE) as lb:
            upstream = lb.upstreams[0]
            start = ConnectionPool.start

            def start_and_drain(pool: ConnectionPool, target: Any, exchange: Exchange, *rest: Any) -> None:
                start(pool, target, exchange, *rest)
                entry = target.endpoint.entry._replace(state=EndpointState.DRAINING)
                drained = replace(target.endpoint, entry=entry)
                pool.update_endpoints([drained], is_snapshot=False)

            monkeypatch.setattr(ConnectionPool, "start", start_and_drain)
            client = await lb.client()
            client.writer.write(request_with_length("r1", b"x" * size))
            await recorded.until(recorded.results)
            assert recorded.results() == [R.NOT_SENT]
            await asyncio.sleep(0.05)
            assert not upstream.seen
            client.close()

    script_balancer(monkeypatch, recorded, start_at("s-0"))
    run(test())


@pytest.mark.usefixtures("settled")
def test_a_pooled_connection_to_an_upstream_that_drains_is_not_written_to(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """A change of the list and a request are handed over together, the request first: the decision is that of
    a moment at which the upstream was ready."""
    script_balancer(monkeypatch, recorded, start_at("s-0"))

    async def test() -> None:
        async with in_process_balancer(settings=LATE) as lb:
            upstream = lb.upstreams[0]
            assert (await lb.request("r1")).status == 200
            await lb.change_endpoints(upstream.row("Terminating"))
            client = await lb.client()
            client.send("r2")
            await recorded.until(lambda: len(recorded.results()) == 2)
            assert recorded.results() == [R.OK, R.NOT_SENT]
            assert request_ids(upstream) == ["r1"]
            client.close()

    run(test())


@pytest.mark.parametrize("size", SIZES.values(), ids=SIZES)
def test_a_late_attempt_tells_its_upstream_what_is_left_to_the_client(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, size: int
) -> None:
    """The time that an attempt tells its upstream was that of the decision, also if its connection came up a
    second later."""
    script_balancer(monkeypatch, recorded, start_at("s-0"))
    late_s, wait_s = 0.6, 2.0

    async def test() -> None:
        async with in_process_balancer(settings=LATE) as lb:
            gate = Gate(lb.upstreams[0])
            client = await lb.client()
            row = f"X-Deadline-Ms: {int(wait_s * 1000)}\r\nHost".encode()
            client.writer.write(request_with_length("r1", b"x" * size).replace(b"Host", row, 1))
            sent_s = time.monotonic()
            await gate.reached.wait()
            await asyncio.sleep(late_s)
            gate.open.set()
            await client.answer()
            (seen,) = lb.upstreams[0].seen
            left_s = sent_s + wait_s - time.monotonic()
            assert 0 < int(seen.headers["x-deadline-ms"]) / 1000 <= left_s + TOLD_SLACK_S

    run(test())


@pytest.mark.parametrize("disconnect", DISCONNECTS.values(), ids=DISCONNECTS)
@pytest.mark.parametrize("path", ["retry", "hedge"])
def test_a_late_retry_or_hedged_attempt_is_not_written_for_a_client_that_has_left(
    monkeypatch: pytest.MonkeyPatch,
    recorded: EventRecorder,
    path: str,
    disconnect: Callable[[Any], None],
) -> None:
    acts = retry_at("s-0", "s-1") if path == "retry" else start_at("s-0", "s-1")
    script_balancer(monkeypatch, recorded, acts)

    async def test() -> None:
        async with in_process_balancer(2, settings=HEDGED) as lb:
            lb.upstreams[0].script = [answer(500)]
            gate = Gate(lb.upstreams[1])
            client = await lb.client()
            client.send("r1", "fee", "POST", b"x")
            await gate.reached.wait()
            await recorded.until(recorded.results)
            disconnect(client)
            await recorded.until(lambda: recorded.of(ClientDisconnected))
            gate.open.set()
            await recorded.until(lambda: len(recorded.results()) == 2)
            assert recorded.results() == [R.ERROR, R.NOT_SENT]
            assert not lb.upstreams[1].seen

    run(test())
