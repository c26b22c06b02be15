"""The table of open requests, each of which gets exactly one final answer.

The balancer's bookkeeping of requests is in `lanelift.policy.requests`.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from lanelift.net.event_log import EventKind
from lanelift.net.exchange import Exchange
from lanelift.net.http_messages import Headers
from lanelift.net.interfaces import Client
from lanelift.net.metrics import FAULTED, Metrics
from lanelift.net.request_ids import RequestIds
from lanelift.net.upload import Upload
from lanelift.policy.actions import Action
from lanelift.policy.events import AttemptResult, ClientDisconnected, Event, RequestArrived

log = logging.getLogger(__name__)

OVERDUE_S = 0.008  # a request that has no answer this long after its deadline is failed with 504
NS_PER_S = 1e9


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client's request, from its arrival until it is closed and its last attempt has ended.

    Attributes:
        arrival: The event that notified the balancer of the request.
        method: The method.
        target: The request target.
        headers: The headers that are forwarded.
        body: The body; empty if it is streamed.
        client: The receiver of the answer.
        upload: The streamed body.
        attempts: The exchanges of its attempts by number; None for an attempt that has ended or was never
            sent.
        unfinished_attempts: The number of attempts without an outcome.
        closed: Whether the request was answered or its client has disconnected.
        id_is_open: Whether its id counts as that of an open request.
        holds_id: Whether its id was taken for a request that must not run twice.
        writes_ns: When each attempt that may have run was written (monotonic clock), by the attempt's number.
        last_attempt_timed_out: Whether the most recently ended attempt ended by its time-out.
        streaming_attempt: The number of the attempt whose response is streamed.
        overdue_timer: The timer that fails the request if it has no answer soon after its deadline.
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
    id_is_open: bool = False
    holds_id: bool = False
    writes_ns: dict[int, int] = field(default_factory=dict)
    last_attempt_timed_out: bool = False
    streaming_attempt: int | None = None
    overdue_timer: asyncio.TimerHandle | None = None

    def first_write_ns(self, besides: int) -> int | None:
        """Returns when the first attempt that may have run was written, without the attempt of a number."""
        return min((ns for number, ns in self.writes_ns.items() if number != besides), default=None)


class RequestTable:
    """Open requests by identifier: at most `max_open_requests` of the settings, and closed requests that
    still have unfinished attempts.

    Attributes:
        by_id: The requests. Each stays until it is closed and has no unfinished attempt.
        awaiting_answer: The number of requests that are not closed yet.
        ids: The ids of open requests, and of those that must not run twice.
    """

    def __init__(self, metrics: Metrics, post: Callable[[Event], None]) -> None:
        self.by_id: dict[str, OpenRequest] = {}
        self.awaiting_answer = 0
        self.ids = RequestIds()
        self._metrics = metrics
        self._post = post
        self._loop = asyncio.get_running_loop()

    def start_deadline(self, request: OpenRequest) -> float:
        """Starts the timer for a request's deadline.

        Returns:
            The number of seconds left.
        """
        left_s = (request.arrival.deadline_ns - time.monotonic_ns()) / NS_PER_S
        request.overdue_timer = self._loop.call_later(
            max(0.0, left_s) + OVERDUE_S, self._defer_overdue, request
        )
        return left_s

    def answer(self, request: OpenRequest, outcome: str, write: Callable[[Client], None]) -> bool:
        """Closes a request with its final answer.

        If writing the answer raises an exception, it is logged and the connection is closed, so that the
        caller still handles the events that follow.

        Args:
            request: The request.
            outcome: The outcome that the metrics count.
            write: Writes the answer to the client.

        Returns:
            Whether this call closed the request; False, without an answer, if it was closed already.
        """
        if not self.close(request):
            return False
        self._metrics.requests_ended[request.arrival.class_name][outcome] += 1
        try:
            write(request.client)
        except Exception:
            log.exception("request %s: writing the answer failed", request.arrival.request)
            request.client.abort()
        return True

    def close(self, request: OpenRequest) -> bool:
        """Marks a request as closed; returns False if it was closed already.

        Attempts whose last byte was not written yet are given up, even if the settings do not allow attempts
        to be cancelled: these attempts have not run. If no attempt is left, the id is free from now on, and
        so before the client learns of the end.
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
        if not request.unfinished_attempts:
            self.release_id(request)
        return True

    def forget(self, request_id: str) -> None:
        """Removes a request that is closed and has no unfinished attempt."""
        request = self.by_id.get(request_id)
        if request is not None and request.closed and not request.unfinished_attempts:
            del self.by_id[request_id]
            self.release_id(request)

    def release_id(self, request: OpenRequest) -> None:
        """Gives back the id of a request that has ended; it stays taken if it may have run, and must not run
        twice.
        """
        if request.id_is_open:
            self.ids.end(request.arrival.request)
            request.id_is_open = False
        if request.holds_id and not request.writes_ns:
            self.ids.release(request.arrival.request)
            request.holds_id = False

    def fail_after_exception(self, message: str, concerned: Sequence[Event | Action]) -> None:
        """Logs the current exception and fails the requests of the given events or actions.

        Called in `except` blocks.
        """
        names = [name for name in (getattr(item, "request", None) for item in concerned) if name is not None]
        log.exception("%s; requests %s", message, " ".join(names) or "-")
        for name in names:
            request = self.by_id.get(name)
            if request is not None and self.answer(request, FAULTED, lambda client: client.fail(502)):
                self._post(ClientDisconnected(name))

    def fail_overdue_upload(self, request: OpenRequest) -> None:
        """Fails a request whose answer is due before its upstream has accepted the body.

        No attempt of it was written whole, so it has not run.
        """
        if request.streaming_attempt is None and self.answer(
            request, FAULTED, lambda client: client.fail(504)
        ):
            self._metrics.events.record(
                EventKind.UPLOAD_OVERDUE,
                f"request {request.arrival.request}: {len(request.attempts)} attempts",
            )
            self._post(ClientDisconnected(request.arrival.request))

    def fail_all(self) -> None:
        """Fails all open requests and resets streamed responses, as the process is about to end."""
        for request in list(self.by_id.values()):
            if request.streaming_attempt is None:
                answered = self.answer(request, FAULTED, lambda client: client.fail(504))
            else:
                answered = self.answer(request, FAULTED, lambda client: client.abort_response())
            if answered:
                self._post(ClientDisconnected(request.arrival.request))

    def _defer_overdue(self, request: OpenRequest) -> None:
        """Waits for one more loop iteration.

        Failure guarded against: after the loop was blocked, the attempt's time-out is due in the same loop
        iteration as this timer, and its event waits to be handed over. Without one more iteration the client
        would get a 504 instead of the balancer's rejection with a Retry-After.
        """
        self._loop.call_soon(self._end_overdue, request)

    def _end_overdue(self, request: OpenRequest) -> None:
        """Fails a request whose deadline passed without an answer from the balancer, and logs it."""
        if request.streaming_attempt is None and self.answer(
            request, FAULTED, lambda client: client.fail(504)
        ):
            log.error("request %s was not answered by its deadline", request.arrival.request)
            self._post(ClientDisconnected(request.arrival.request))
