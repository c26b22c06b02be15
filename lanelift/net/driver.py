"""The driver: the one caller of `Balancer.handle`.

Events go in as they came, on the monotonic clock; what one turn of the loop brings is handed over together.
Actions are carried out in order. The driver owns timers, attempts and the table of requests.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from lanelift.net.figures import FAULTED, FULFILLED, THROTTLED, Figures
from lanelift.net.http import Exchange, Upload
from lanelift.net.parse import Headers, Response
from lanelift.net.upstream import Report, ResolvedEndpoint, Upstreams, attempt_request
from lanelift.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    FetchEndpoints,
    Log,
    ProbeLoad,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    BodyReceived,
    ClientDisconnected,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadProbeFinished,
    PeerMessageReceived,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from lanelift.policy.settings import Settings, Tenant

log = logging.getLogger(__name__)

MAX_TOLD = 256  # messages of others that may wait for an event: some seconds' worth, a few tens of kB
MAX_BACK_NS = 1_000_000_000  # the longest that the one who finds all places taken is asked to stay away
OVERDUE_S = 0.008  # after its deadline a request that the module has not ended is ended here


class Client(Protocol):
    """Whoever waits for the one final answer."""

    def served(self, response: Response) -> None: ...

    def refused(self, retry_after_ns: int, limited: bool = False) -> None: ...

    def failed(self, status: int, why: str = "failed") -> None: ...

    def began(self, head: Response, source: Exchange) -> None:
        """An answer that is passed on as it comes: its head. `source` is held while there is no room."""

    def passed(self, data: bytes) -> None: ...

    def whole(self) -> None:
        """All of it has come."""

    def cut(self) -> None:
        """The rest of it never will: the client must be able to tell."""

    def abort(self) -> None: ...


class Discovery(Protocol):
    def subscribe(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class Peers(Protocol):
    def tell(self, peer: int, data: bytes) -> None: ...

    def close(self) -> None: ...


@dataclass(slots=True, eq=False)
class OpenRequest:
    arrival: RequestArrived
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    client: Client
    upload: Upload | None = None  # its body, where that is longer than what is held; `body` is empty then
    attempts: list[Exchange | None] = field(default_factory=list)  # None: over, or never sent
    sent: int = 0  # attempts without an outcome
    over: bool = False  # answered, or its client has gone
    timed_out: bool = False  # the last outcome was a time-out
    passing: int | None = None  # the attempt whose answer is being passed on
    overdue: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One Send under way: the sockets tell it what becomes of it, and it tells the driver."""

    driver: Driver
    request: OpenRequest
    number: int
    upstream: int
    sent_ns: int

    def took_ns(self) -> int:
        """What an answer lay unread here is this program's time, not its upstream's."""
        exchange = self.request.attempts[self.number]
        unread_ns = exchange.unread_ns if exchange is not None else 0
        return max(0, time.monotonic_ns() - self.sent_ns - unread_ns)

    def began(self, head: Response) -> None:
        self.driver.answer_began(self, head)

    def came(self, data: bytes) -> None:
        self.request.client.passed(data)

    def ended(self, result: AttemptResult, response: Response | None = None, report: Report = None) -> None:
        self.driver.attempt_ended(self, result, response, report)


class Driver:
    def __init__(self, settings: Settings, seed: int, upstreams: Upstreams) -> None:
        self.settings = settings
        self.upstreams = upstreams
        self.discovery: Discovery | None = None
        self.peers: Peers | None = None
        self.loop = asyncio.get_running_loop()
        self.balancer = Balancer(settings, seed, time.monotonic_ns())
        self.rng = random.Random(seed)
        self.requests: dict[str, OpenRequest] = {}
        self.open = 0  # requests that are owed an answer
        self.figures = Figures(settings.classes)
        self.learned: Callable[[], None] = lambda: None  # told when `ready` may have changed
        self.waiting: list[Event] = []
        self.told: list[Event] = []  # by other balancers, since the last hand-over
        self.timer: asyncio.TimerHandle | None = None
        self.tenant_name: Callable[[str], str] = str  # what an X-Tenant names
        self.tenants_awaited = False  # it is to wait for a directory before it serves
        self.list_awaited: asyncio.TimerHandle | None = None  # and for discovery, until then

    @property
    def ready(self) -> bool:
        """Can the module serve? It can once a list has named an upstream that is ready."""
        return (
            not self.tenants_awaited
            and self.list_awaited is None
            and any(t.endpoint.entry.state is EndpointState.READY for t in self.upstreams.targets.values())
        )

    @property
    def tenants(self) -> Mapping[str, Tenant]:
        """As the module has them."""
        known = self.balancer.known_tenants
        return self.settings.tenants if known is None else known

    def telemetry(self) -> str:
        """The figures, as text."""
        now = time.monotonic_ns()
        return self.figures.text(
            {
                "open_requests": self.open,
                "registry_entries": len(self.upstreams.targets),
                "out_of_rotation": self.balancer.endpoints_out_of_rotation(now),
            }
        )

    def tenants_awaited_no_more(self) -> None:
        """Nothing is waited for any more: directories have told of tenants, or have taken too long."""
        self.tenants_awaited = False
        self.learned()

    def await_list(self, seconds: float) -> None:
        """Serve nothing before discovery has told its list, for so many seconds at the most."""
        self.list_awaited = self.loop.call_later(seconds, self._list_awaited_no_more)

    def _list_awaited_no_more(self) -> None:
        if self.list_awaited is not None:
            self.list_awaited.cancel()
            self.list_awaited = None
            self.learned()

    # ---- events ------------------------------------------------------------------------------------------

    def post(self, event: Event) -> None:
        if not self.waiting:
            self.loop.call_soon(self._hand_over)
        self.waiting.append(event)

    def hear(self, sender: int, data: bytes) -> None:
        """A message of another balancer. It calls for no decision of its own, and goes in before the next
        event that does: with a turn of the loop for each, messages cost more than what they tell is worth."""
        self.told.append(PeerMessageReceived(sender, data, time.monotonic_ns()))
        if len(self.told) == MAX_TOLD and not self.waiting:  # once: else a hand-over is under way already
            self.loop.call_soon(self._hand_over)

    def arrive(self, request: OpenRequest) -> None:
        """Take a client's request. Where too many are open it is refused at once, and never the module's."""
        limits = self.settings.limits
        if self.open >= limits.max_open_requests:
            self.figures.ended[request.arrival.class_name][THROTTLED] += 1
            back = self.rng.uniform(0.25, 1.0) * min(limits.max_retry_after_ns, MAX_BACK_NS)
            request.client.refused(int(back) if limits.retry_after else 0)
            return
        self.requests[request.arrival.request] = request
        self.open += 1
        if not request.arrival.body_pending:
            self._due(request)
        self.post(request.arrival)

    def _due(self, request: OpenRequest) -> float:
        """Its time runs: how many seconds are left."""
        left = (request.arrival.deadline_ns - time.monotonic_ns()) / 1e9
        request.overdue = self.loop.call_later(max(0.0, left) + OVERDUE_S, self._soon_overdue, request)
        return left

    def body_came(self, request: OpenRequest, deadline_ns: int) -> None:
        """The last byte of a body that goes on as it comes."""
        if request.over or request.upload is None:
            return
        request.arrival = request.arrival._replace(deadline_ns=deadline_ns, body_pending=False)
        left = self._due(request)
        request.upload.end()
        for exchange in request.attempts:
            if exchange is not None and not exchange.begun:
                if isinstance(exchange.passing, Attempt):
                    exchange.passing.sent_ns = time.monotonic_ns()
                exchange.expire_in(max(0.0, left))
        self.post(BodyReceived(request.arrival.request, deadline_ns))

    def client_gone(self, request: OpenRequest) -> None:
        if self._end(request):
            self.post(ClientDisconnected(request.arrival.request))
        for exchange in request.attempts:
            if exchange is not None and exchange.begun:  # the rest of its answer is passed on to nobody
                exchange.give_up(AttemptResult.CANCELLED)

    def learn(self, kind: EndpointUpdateKind, endpoints: list[ResolvedEndpoint]) -> None:
        if kind is not EndpointUpdateKind.FAILED:
            self.upstreams.learn(endpoints, full=kind is not EndpointUpdateKind.DELTA)
        self.post(EndpointUpdate(kind, [e.entry for e in endpoints]))
        if kind is EndpointUpdateKind.SNAPSHOT:
            self._list_awaited_no_more()
        self.learned()

    def _hand_over(self) -> None:
        events, self.waiting, self.told = self.told + self.waiting, [], []
        now = time.monotonic_ns()
        try:
            actions = self.balancer.handle(now, events)
        except Exception:
            self._blame("the decision module failed", events)
            actions = []
        for action in actions:
            try:
                self._carry_out(action, now)
            except Exception:
                self._blame("an action failed", [action])
        for event in events:  # only now: the module may act for a request until it has heard of its end
            if isinstance(event, AttemptFinished | ClientDisconnected):
                self._forget(event.request)

    def _blame(self, what: str, about: Sequence[Event | Action]) -> None:
        """Called in an exception's handler: log it with its requests, and end these as failed."""
        names = [name for name in (getattr(item, "request", None) for item in about) if name is not None]
        log.exception("%s; requests %s", what, " ".join(names) or "-")
        for name in names:
            request = self.requests.get(name)
            if request is not None and self._answer(request, FAULTED, lambda client: client.failed(502)):
                self.post(ClientDisconnected(name))

    def _answer(self, request: OpenRequest, ended: str, how: Callable[[Client], None]) -> bool:
        """End a request with its final answer; False, and no answer, if it was over already. An answer that
        can't be given must not take the events behind it along."""
        if not self._end(request):
            return False
        self.figures.ended[request.arrival.class_name][ended] += 1
        try:
            how(request.client)
        except Exception:
            log.exception("request %s: its answer failed", request.arrival.request)
            request.client.abort()
        return True

    def _soon_overdue(self, request: OpenRequest) -> None:
        # When the loop has stood still, the attempt's time-out is due on the same turn as this, and waits to
        # be handed over: without one more turn a refusal with its Retry-After would come out as a failure.
        self.loop.call_soon(self._overdue, request)

    def _overdue(self, request: OpenRequest) -> None:
        """The module owes an answer and the client's time is over: the rule is kept here, and logged."""
        if request.passing is None and self._answer(request, FAULTED, lambda client: client.failed(504)):
            log.error("request %s was not answered by its deadline", request.arrival.request)
            self.post(ClientDisconnected(request.arrival.request))

    def end_all(self) -> None:
        """The process ends: whoever waits beyond that is told, and who is being served can see it."""
        for request in list(self.requests.values()):
            if request.passing is None:
                ended = self._answer(request, FAULTED, lambda client: client.failed(504))
            else:
                ended = self._answer(request, FAULTED, lambda client: client.cut())
            if ended:
                self.post(ClientDisconnected(request.arrival.request))

    # ---- actions -----------------------------------------------------------------------------------------

    def _carry_out(self, action: Action, now: int) -> None:
        match action:
            case StartAttempt():
                self._send(action, now)
            case Reject():
                request = self.requests.get(action.request)
                if request is not None and self._answer(
                    request,
                    THROTTLED,
                    lambda client: client.refused(action.retry_after_ns, action.rate_limited),
                ):
                    self._forget(action.request)
            case Fail():
                request = self.requests.get(action.request)
                if request is not None:
                    status = 403 if action.denial_reason else 504 if request.timed_out else 502
                    why = action.denial_reason or "failed"
                    if self._answer(request, FAULTED, lambda client: client.failed(status, why)):
                        self._forget(action.request)
            case CancelAttempt():
                request = self.requests.get(action.request)
                exchange = request.attempts[action.attempt] if request is not None else None
                if exchange is not None:
                    exchange.give_up(AttemptResult.CANCELLED)
            case ProbeLoad():
                self._probe(action.upstream, now)
            case SetTimer():
                if self.timer is not None:
                    self.timer.cancel()
                self.timer = self.loop.call_later(action.delay_ns / 1e9, self.post, TimerFired(action.name))
            case SendPeerMessage():
                if self.peers is not None:
                    self.peers.tell(action.peer, action.data)
            case Subscribe():
                if self.discovery is not None:
                    self.discovery.subscribe(action.enabled)
            case FetchEndpoints():
                if self.discovery is not None:
                    self.discovery.fetch()
            case Log():
                log.info("%s", action.text)

    def _send(self, action: StartAttempt, now: int) -> None:
        request = self.requests.get(action.request)
        if request is None:
            log.error("send for request %s, which is not open", action.request)
            return
        number = len(request.attempts)
        request.attempts.append(None)
        request.sent += 1
        limits = self.settings.limits
        left = request.arrival.deadline_ns - now
        legal = (
            not request.over
            and left > 0
            and number < limits.max_attempts
            and request.sent <= (2 if limits.hedging else 1)
        )

        attempt = Attempt(self, request, number, action.upstream, now)
        if legal and action.timeout_ns < 0:
            attempt.ended(AttemptResult.TIMEOUT)
            return
        if legal:
            wait = min(action.timeout_ns or left, left)
            try:
                outgoing = attempt_request(
                    request.method,
                    request.target,
                    request.headers,
                    request.body,
                    max(1, wait // 1_000_000),
                    request.upload,
                )
                wait_s = None if request.arrival.body_pending else wait / 1e9
                request.attempts[number] = self.upstreams.send(
                    action.upstream, outgoing, wait_s, attempt.ended, self._relayed, attempt, request.upload
                )
            except Exception:  # it still has its one outcome, below
                self._blame("an attempt could not start", [action])
        if request.attempts[number] is None:
            attempt.ended(AttemptResult.NOT_SENT)

    def _relayed(self) -> None:
        self.figures.relayed += 1

    def answer_began(self, attempt: Attempt, head: Response) -> None:
        """The answer is longer than what is held: it goes on as it comes, and its request's time does not run
        any more."""
        request = attempt.request
        exchange = request.attempts[attempt.number]
        assert exchange is not None
        if request.over or request.passing is not None:
            exchange.give_up(AttemptResult.CANCELLED)
            return
        request.passing = attempt.number
        if request.overdue is not None:
            request.overdue.cancel()
        if self.settings.classes[request.arrival.class_name].streaming:
            exchange.owed_s = math.inf  # it has no end to be told before it comes
        name = request.arrival.request
        self.post(ResponseStarted(name, attempt.number, attempt.upstream, attempt.took_ns()))
        try:
            request.client.began(head, exchange)
        except Exception:
            log.exception("request %s: its answer failed", name)
            request.client.abort()

    def attempt_ended(
        self, attempt: Attempt, result: AttemptResult, response: Response | None, report: Report
    ) -> None:
        request, number, took_ns = attempt.request, attempt.number, attempt.took_ns()
        request.attempts[number] = None
        request.sent -= 1
        request.timed_out = result is AttemptResult.TIMEOUT
        if request.passing == number:
            if result is AttemptResult.OK:
                self._answer(request, FULFILLED, lambda client: client.whole())
            else:
                self._answer(request, FAULTED, lambda client: client.cut())
        elif result is AttemptResult.OK and response is not None and request.passing is None:
            self._answer(request, FULFILLED, lambda client: client.served(response))
        name = request.arrival.request
        spent = request.upload is not None and request.upload.spent
        self.post(
            AttemptFinished(name, number, attempt.upstream, result, took_ns, request.over, report, spent)
        )

    def _probe(self, upstream: int, now: int) -> None:
        def ended(result: AttemptResult, report: Report) -> None:
            self.post(LoadProbeFinished(upstream, result, time.monotonic_ns() - now, report))

        try:
            started = self.upstreams.probe(upstream, ended)
        except Exception:  # it still has its one result: the module waits for it
            self._blame("a probe could not start", [])
            started = False
        if not started:
            ended(AttemptResult.CONNECT_FAILED, None)

    def _end(self, request: OpenRequest) -> bool:
        """Mark a request as over; False if it was already. What has not been written to its last byte is not
        sent any more: it never ran, so to call that off the settings need allow nothing."""
        if request.over:
            return False
        request.over = True
        self.open -= 1
        if request.overdue is not None:
            request.overdue.cancel()
        for exchange in request.attempts:
            if exchange is not None and not exchange.written:
                exchange.give_up(
                    AttemptResult.NOT_SENT if exchange.connection is None else AttemptResult.CANCELLED
                )
        return True

    def _forget(self, name: str) -> None:
        request = self.requests.get(name)
        if request is not None and request.over and not request.sent:
            del self.requests[name]
