"""The table of open requests. Each gets exactly one final answer."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from lanelift.net.exchange import Exchange
from lanelift.net.http_messages import Headers
from lanelift.net.interfaces import Client
from lanelift.net.metrics import FAULTED, Metrics
from lanelift.net.upload import Upload
from lanelift.policy.actions import Action
from lanelift.policy.events import AttemptResult, ClientDisconnected, Event, RequestArrived

log = logging.getLogger(__name__)

OVERDUE_S = 0.008  # after its deadline: a request without an answer gets a 504 here
NS_PER_S = 1e9


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client's request from its arrival until its last attempt has ended.

    Attributes:
        arrival: What the balancer was notified of.
        method: Its method.
        target: Its request target.
        headers: The headers that are forwarded.
        body: Its body; empty where that is streamed.
        client: Who gets the answer.
        upload: Its streamed body.
        attempts: Its attempts by number; None: it is over, or was never sent.
        unfinished_attempts: Attempts without an outcome.
        closed: It was answered, or its client has disconnected.
        last_attempt_timed_out: Its latest attempt to end timed out.
        streaming_attempt: The attempt whose response is streamed.
        overdue_timer: When it is ended if nobody has answered it.
    """

    arrival: RequestArrived
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    client: Client
    upload: Upload | None = None
    attempts: list[Exchange | None] = field(default_factory=list)
    unfinished_attempts: int = 0
    closed: bool = False
    last_attempt_timed_out: bool = False
    streaming_attempt: int | None = None
    overdue_timer: asyncio.TimerHandle | None = None


class RequestTable:
    """Open requests by identifier; at most as many as the settings allow (`max_open_requests`) and their
    unfinished attempts hold.

    Attributes:
        by_id: The requests. One stays until it is closed and has no unfinished attempt.
        awaiting_answer: How many are owed an answer.
    """

    def __init__(self, metrics: Metrics, post: Callable[[Event], None]) -> None:
        self.by_id: dict[str, OpenRequest] = {}
        self.awaiting_answer = 0
        self._metrics = metrics
        self._post = post
        self._loop = asyncio.get_running_loop()

    def start_deadline(self, request: OpenRequest) -> float:
        """A request's time starts to run.

        Returns:
            How many seconds are left.
        """
        left_s = (request.arrival.deadline_ns - time.monotonic_ns()) / NS_PER_S
        request.overdue_timer = self._loop.call_later(
            max(0.0, left_s) + OVERDUE_S, self._defer_overdue, request
        )
        return left_s

    def answer(self, request: OpenRequest, outcome: str, give: Callable[[Client], None]) -> bool:
        """Close a request with its final answer.

        An answer that can't be given (its connection fails while it is written) is logged and the connection
        closed: the events behind it must not be lost with it.

        Returns:
            False, and nothing is answered, if it was closed already.
        """
        if not self.close(request):
            return False
        self._metrics.requests_ended[request.arrival.class_name][outcome] += 1
        try:
            give(request.client)
        except Exception:
            log.exception("request %s: its answer failed", request.arrival.request)
            request.client.abort()
        return True

    def close(self, request: OpenRequest) -> bool:
        """Mark a request as closed; False if it was already.

        What has not been written to its last byte is not sent any more: it never ran, so that to cancel it
        the settings need allow nothing.
        """
        if request.closed:
            return False
        request.closed = True
        self.awaiting_answer -= 1
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
        for exchange in request.attempts:
            if exchange is not None and not exchange.written:
                exchange.give_up(
                    AttemptResult.NOT_SENT if exchange.connection is None else AttemptResult.CANCELLED
                )
        return True

    def forget(self, request_id: str) -> None:
        """Remove a request that is closed and has no unfinished attempt."""
        request = self.by_id.get(request_id)
        if request is not None and request.closed and not request.unfinished_attempts:
            del self.by_id[request_id]

    def fail_after_exception(self, what: str, about: Sequence[Event | Action]) -> None:
        """Called in an exception's handler: log it with its requests, and end these as failed."""
        names = [name for name in (getattr(item, "request", None) for item in about) if name is not None]
        log.exception("%s; requests %s", what, " ".join(names) or "-")
        for name in names:
            request = self.by_id.get(name)
            if request is not None and self.answer(request, FAULTED, lambda client: client.fail(502)):
                self._post(ClientDisconnected(name))

    def fail_all(self) -> None:
        """The process ends: answer requests that would wait beyond that, and reset streamed responses."""
        for request in list(self.by_id.values()):
            if request.streaming_attempt is None:
                answered = self.answer(request, FAULTED, lambda client: client.fail(504))
            else:
                answered = self.answer(request, FAULTED, lambda client: client.abort_response())
            if answered:
                self._post(ClientDisconnected(request.arrival.request))

    def _defer_overdue(self, request: OpenRequest) -> None:
        """Wait for one more turn of the loop.

        Failure guarded against: when the loop has stood still, the attempt's time-out is due on the same turn
        as this, and waits to be handed over. Without one more turn a rejection with its Retry-After would
        come out as a 504.
        """
        self._loop.call_soon(self._end_overdue, request)

    def _end_overdue(self, request: OpenRequest) -> None:
        """The balancer owes an answer and the client's time is over: answer here, and log it."""
        if request.streaming_attempt is None and self.answer(
            request, FAULTED, lambda client: client.fail(504)
        ):
            log.error("request %s was not answered by its deadline", request.arrival.request)
            self._post(ClientDisconnected(request.arrival.request))
