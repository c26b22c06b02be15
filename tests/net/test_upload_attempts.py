"""Attempts of a request whose body is streamed: the body can be sent only once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from lanelift.net.endpoint_list import upstream_number
from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES
from lanelift.policy.actions import Action, StartAttempt
from lanelift.policy.events import AttemptFinished, Event, RequestArrived
from lanelift.policy.settings import Idempotency
from tests.fakes import SECOND, Client, Message, answer, never, read_message, run
from tests.in_process import (
    CLASSES,
    SETTINGS,
    EventRecorder,
    InProcessBalancer,
    in_process_balancer,
    script_balancer,
)
from tests.net.support import LONG_BODY, Gate, R, chunked_request, request_ids, request_with_length

FRAMINGS = [request_with_length, chunked_request]
# A body just over the limit may be complete before it is sent; of a long one part is still to come.
SIZES = [MAX_BUFFERED_BODY_BYTES + 1, 8 * len(LONG_BODY)]
HEDGING = replace(
    SETTINGS,
    classes={
        **CLASSES,
        "book": replace(
            CLASSES["quote"],
            name="book",
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            deduplication_window_ns=60 * SECOND,
        ),
    },
    limits=replace(SETTINGS.limits, max_attempts=3, hedging=True),
)


def long_body(size: int) -> bytes:
    return (LONG_BODY * (1 + size // len(LONG_BODY)))[:size]


async def hang_at_the_next_request(lb: InProcessBalancer) -> None:
    """Makes the upstream that gets the next request never answer it; the others answer.

    Some requests before it show how long an answer takes, so that the next one is soon overdue.
    """
    for number in range(8):
        await lb.request(f"before-{number}")
    for upstream in lb.upstreams:
        upstream.seen.clear()
    received: list[Message] = []

    async def reply(message: Message) -> bytes | None:
        received.append(message)
        return await never() if len(received) == 1 else answer(200, b"hedged")

    for upstream in lb.upstreams:
        upstream.reply = reply


@pytest.mark.parametrize("size", [100, *SIZES])
@pytest.mark.parametrize("framed", FRAMINGS)
def test_an_overdue_request_is_hedged_only_with_its_whole_body(
    recorded: EventRecorder, framed: Callable[[str, bytes, str], bytes], size: int
) -> None:
    """The upstream of a request with an idempotency key hangs. A hedged attempt was sent without the body,
    which the first attempt had taken, and the client got the response to the empty request. A body that is
    buffered is sent again; a request with a streamed body is not hedged.
    """
    body = long_body(size)

    async def test() -> None:
        async with in_process_balancer(3, settings=HEDGING) as lb:
            await hang_at_the_next_request(lb)
            recorded.events.clear()
            client = await lb.client()
            client.writer.write(framed("r1", body, "book").replace(b"Host", b"X-Deadline-Ms: 900\r\nHost", 1))
            got = await read_message(client.reader)
            seen = [message for upstream in lb.upstreams for message in upstream.seen]
            if size > MAX_BUFFERED_BODY_BYTES:
                assert got.status == 503
                assert [message.body for message in seen] == [body]
                assert recorded.results() == [R.TIMEOUT]
            else:
                assert got.body == b"hedged"
                assert [message.body for message in seen] == [body, body]

    run(test())


def start_at_arrival_and_after(*upstreams: str) -> Callable[[Event, int], list[Action]]:
    """Returns decisions: attempts at all upstreams when a request arrives."""

    def acts(event: Event, _: int) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [StartAttempt(event.request, upstream_number(name)) for name in upstreams]
        return []

    return acts


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("framed", FRAMINGS)
def test_a_second_attempt_of_a_streamed_body_is_not_sent_while_the_first_is_in_flight(
    monkeypatch: pytest.MonkeyPatch,
    recorded: EventRecorder,
    framed: Callable[[str, bytes, str], bytes],
    size: int,
) -> None:
    """The decisions ask for two attempts at once, and the first waits for its connection. Whichever attempt
    were connected first would take the body, and the other would be sent without one.
    """
    script_balancer(monkeypatch, recorded, start_at_arrival_and_after("s-0", "s-1"))

    async def test() -> None:
        async with in_process_balancer(2, settings=HEDGING) as lb:
            gate = Gate(lb.upstreams[0])
            client = await lb.client()
            client.writer.write(framed("r1", long_body(size), "book"))
            await recorded.until(lambda: recorded.of(AttemptFinished))
            gate.open.set()
            assert (await read_message(client.reader)).body == b"s-0"
            assert recorded.results() == [R.NOT_SENT, R.OK]
            assert [message.body for message in lb.upstreams[0].seen] == [long_body(size)]
            assert not lb.upstreams[1].seen

    run(test())


@pytest.mark.parametrize("framed", FRAMINGS)
def test_a_retry_of_a_streamed_body_that_was_sent_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, framed: Callable[[str, bytes, str], bytes]
) -> None:
    """The upstream of a request with a long body resets the connection, and the decisions ask for a retry."""

    def acts(event: Event, _: int) -> list[Action]:
        if isinstance(event, RequestArrived) or (isinstance(event, AttemptFinished) and not event.attempt):
            return [StartAttempt(event.request, upstream_number(f"s-{isinstance(event, AttemptFinished):d}"))]
        return []

    script_balancer(monkeypatch, recorded, acts)

    async def test() -> None:
        async with in_process_balancer(2, settings=HEDGING) as lb:
            lb.upstreams[0].script = [None]
            client: Client = await lb.client()
            client.writer.write(framed("r1", LONG_BODY, "book"))
            await recorded.until(lambda: len(recorded.of(AttemptFinished)) == 2)
            assert recorded.results() == [R.RESET, R.NOT_SENT]
            await asyncio.sleep(0.05)
            assert request_ids(lb.upstreams[0]) == ["r1"] and not lb.upstreams[1].links
            client.close()

    run(test())
