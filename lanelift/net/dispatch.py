"""The dispatcher, the only caller of `Balancer.handle`.

Events are handed over in the order in which they occurred, with times of the monotonic clock; all events of
one loop iteration are handed over together. Actions are executed in order.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

from lanelift.net.attempts import Attempt, AttemptRunner
from lanelift.net.endpoints import ResolvedEndpoint
from lanelift.net.event_log import EventKind
from lanelift.net.interfaces import Discovery, PeerChannel
from lanelift.net.metrics import FAULTED, THROTTLED, Metrics
from lanelift.net.requests import OpenRequest, RequestTable
from lanelift.net.upstreams import Upstreams
from lanelift.policy.actions import (
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
from lanelift.policy.address_takeover import replaced_upstreams
from lanelift.policy.answers import MAX_RETRY_AFTER_NS, MIN_RETRY_AFTER_SHARE
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
    PeerMessageReceived,
    TimerFired,
)
from lanelift.policy.settings import Idempotency, Settings, Tenant

log = logging.getLogger(__name__)

# at this number, queued messages of other replicas are handed over without waiting for an event
MAX_PENDING_PEER_MESSAGES = 256
NS_PER_S = 1e9


class Dispatcher:
    """Hands events to the balancer and executes its actions.

    Attributes:
        settings: The balancer's settings.
        upstreams: Sends attempts and load probes to upstreams.
        discovery: The source of the endpoint list.
        peers: Sends messages to other replicas; None if there are none.
        balancer: The balancer, which makes all decisions.
        metrics: The counters.
        requests: The table of open requests.
        attempts: Executes the actions on attempts and load probes.
        on_ready_changed: Called when `ready` may have changed.
        pending_events: The events that wait for the next hand-over.
        pending_peer_messages: The messages of other replicas since the last hand-over.
        timer: The balancer's one timer.
        resolve_tenant: Returns the name of the tenant for the value of an `X-Tenant` header.
        awaits_tenants: Whether this process is not ready because no directory has listed tenants yet.
        endpoint_list_timer: Limits the wait for discovery's first list, during which no connection is
            accepted; None if there is no wait.
    """

    def __init__(self, settings: Settings, seed: int, upstreams: Upstreams) -> None:
        self.settings = settings
        self.upstreams = upstreams
        self.discovery: Discovery | None = None
        self.peers: PeerChannel | None = None
        self.loop = asyncio.get_running_loop()
        self.balancer = Balancer(settings, seed, time.monotonic_ns())
        self.metrics = Metrics(settings.classes, upstreams.events)
        self.requests = RequestTable(self.metrics, self.post)
        self.attempts = AttemptRunner(settings, upstreams, self.requests, self.metrics, self.post)
        self.on_ready_changed: Callable[[], None] = lambda: None
        self.pending_events: list[Event] = []
        self.pending_peer_messages: list[Event] = []
        self.timer: asyncio.TimerHandle | None = None
        self.resolve_tenant: Callable[[str], str] = str
        self.awaits_tenants = False
        self.endpoint_list_timer: asyncio.TimerHandle | None = None
        self._random = random.Random(seed)
        self._executors: Mapping[type, Callable[[Any, int], None]] = {
            StartAttempt: self.attempts.start,
            Reject: self._reject,
            Fail: self._fail,
            CancelAttempt: self.attempts.cancel,
            ProbeLoad: self.attempts.probe_load,
            SetTimer: self._set_timer,
            SendPeerMessage: self._send_peer_message,
            Subscribe: self._subscribe,
            FetchEndpoints: self._fetch_endpoints,
            Log: self._log,
        }

    # ---- state for other parts ---------------------------------------------------------------------------

    @property
    def ready(self) -> bool:
        """Whether requests can be served: an upstream is listed as ready, and the start's waits are over."""
        return (
            not self.awaits_tenants
            and self.endpoint_list_timer is None
            and any(
                target.endpoint.entry.state is EndpointState.READY
                for target in self.upstreams.pool.targets.values()
            )
        )

    @property
    def tenants(self) -> Mapping[str, Tenant]:
        """The tenants as the balancer knows them."""
        known = self.balancer.known_tenants
        return self.settings.tenants if known is None else known

    def metrics_text(self) -> str:
        """Returns the metrics in their text format."""
        now = time.monotonic_ns()
        return self.metrics.text(
            {
                "open_requests": self.requests.awaiting_answer,
                "registry_entries": len(self.upstreams.pool.targets),
                "out_of_rotation": self.balancer.endpoints_out_of_rotation(now),
            }
        )

    # ---- waits at the start ------------------------------------------------------------------------------

    def end_tenant_wait(self) -> None:
        """Ends the wait for tenants: the directories have listed them or taken too long."""
        self.awaits_tenants = False
        self.on_ready_changed()

    def await_endpoint_list(self, seconds: float) -> None:
        """Delays the accepting of connections until discovery has sent its list or the given time is over."""
        self.endpoint_list_timer = self.loop.call_later(seconds, self._end_endpoint_list_wait)

    def _end_endpoint_list_wait(self) -> None:
        if self.endpoint_list_timer is not None:
            self.endpoint_list_timer.cancel()
            self.endpoint_list_timer = None
            self.on_ready_changed()

    # ---- events ------------------------------------------------------------------------------------------

    def post(self, event: Event) -> None:
        """Hands an event over in the next loop iteration, together with all others until then."""
        if not self.pending_events:
            self.loop.call_soon(self._hand_over)
        self.pending_events.append(event)

    def receive_peer_message(self, sender: int, data: bytes) -> None:
        """Queues a message of another replica.

        A message needs no decision by itself. It waits for the next event and is handed over just before
        that event: a hand-over for each message would cost more than the message's information is worth. At
        `MAX_PENDING_PEER_MESSAGES` the messages are handed over without an event; the check is for equality,
        as with more messages a hand-over is already scheduled.
        """
        self.pending_peer_messages.append(PeerMessageReceived(sender, data, time.monotonic_ns()))
        if len(self.pending_peer_messages) == MAX_PENDING_PEER_MESSAGES and not self.pending_events:
            self.loop.call_soon(self._hand_over)

    def take_id(self, request: OpenRequest) -> bool:
        """Takes the id of a request that is about to be opened.

        Returns:
            False if another process has an open request with this id, or if the request must not run twice
            and may have run already.
        """
        request_class = self.settings.classes[request.arrival.class_name]
        runs_once = request_class.idempotency is not Idempotency.IDEMPOTENT
        request.id_is_open = self.requests.ids.take(request.arrival.request, runs_once)
        request.holds_id = request.id_is_open and runs_once
        return request.id_is_open

    def receive_request(self, request: OpenRequest) -> None:
        """Opens a client's request, or rejects it without notifying the balancer if too many are open."""
        limits = self.settings.limits
        requests = self.requests
        if requests.awaiting_answer >= limits.max_open_requests:
            self.metrics.requests_ended[request.arrival.class_name][THROTTLED] += 1
            longest_ns = min(limits.max_retry_after_ns, MAX_RETRY_AFTER_NS)
            retry_after_ns = self._random.uniform(MIN_RETRY_AFTER_SHARE, 1.0) * longest_ns
            requests.release_id(request)
            request.client.reject(int(retry_after_ns) if limits.retry_after else 0)
            return
        requests.by_id[request.arrival.request] = request
        requests.awaiting_answer += 1
        if not request.arrival.body_pending:
            requests.start_deadline(request)
        self.post(request.arrival)

    def body_received(self, request: OpenRequest, deadline_ns: int) -> None:
        """Starts a request's deadline after the last byte of its streamed body."""
        if request.closed or request.upload is None:
            return
        request.arrival = request.arrival._replace(deadline_ns=deadline_ns, body_pending=False)
        left_s = self.requests.start_deadline(request)
        request.upload.finish()
        for exchange in request.attempts:
            if exchange is not None and not exchange.streaming:
                if isinstance(exchange.sink, Attempt):
                    exchange.sink.started_ns = time.monotonic_ns()
                exchange.expire_in(max(0.0, left_s))
        self.post(BodyReceived(request.arrival.request, deadline_ns))

    def client_disconnected(self, request: OpenRequest) -> None:
        """Closes a request whose client has disconnected, and cancels a streamed response."""
        if self.requests.close(request):
            self.post(ClientDisconnected(request.arrival.request))
        for exchange in request.attempts:
            if exchange is not None and exchange.streaming:
                exchange.give_up(AttemptResult.CANCELLED)

    def update_endpoints(self, kind: EndpointUpdateKind, endpoints: list[ResolvedEndpoint]) -> None:
        """Applies an update of the endpoint list, and notifies the balancer of it."""
        if kind is not EndpointUpdateKind.FAILED:
            is_snapshot = kind is not EndpointUpdateKind.DELTA
            endpoints = self._without_replaced(endpoints, is_snapshot)
            self.upstreams.pool.update_endpoints(endpoints, is_snapshot=is_snapshot)
        self.post(EndpointUpdate(kind, [endpoint.entry for endpoint in endpoints]))
        if kind is EndpointUpdateKind.SNAPSHOT:
            self._end_endpoint_list_wait()
        self.on_ready_changed()

    def _without_replaced(
        self, endpoints: list[ResolvedEndpoint], is_snapshot: bool
    ) -> list[ResolvedEndpoint]:
        """Returns an update in which upstreams whose address a newer one has are removed."""
        pool = self.upstreams.pool
        concerned = {endpoint.entry.id for endpoint in endpoints}
        concerned.update(
            pool.numbers_by_address[endpoint.host, endpoint.port]
            for endpoint in endpoints
            if (endpoint.host, endpoint.port) in pool.numbers_by_address
        )
        before = {number: pool.targets[number].endpoint for number in concerned if number in pool.targets}
        replaced = replaced_upstreams(
            {number: endpoint.listed_process for number, endpoint in before.items()},
            [endpoint.listed_process for endpoint in endpoints],
            is_snapshot,
        )
        if not replaced:
            return endpoints
        for number, successor in replaced.items():
            detail = f"upstream {number:x} was replaced by {successor:x}"
            self.metrics.events.record(EventKind.ADDRESS_TAKEN_OVER, detail)
        kept = [endpoint for endpoint in endpoints if endpoint.entry.id not in replaced]
        return kept + [before[number].removed() for number in replaced if number in before]

    def _hand_over(self) -> None:
        events, self.pending_events, self.pending_peer_messages = (
            self.pending_peer_messages + self.pending_events,
            [],
            [],
        )
        now = time.monotonic_ns()
        try:
            actions = self.balancer.handle(now, events)
        except Exception:
            self.requests.fail_after_exception("the decision module failed", events)
            actions = []
        for action in actions:
            try:
                self._executors[type(action)](action, now)
            except Exception:
                self.requests.fail_after_exception("an action failed", [action])
        # Ended requests are forgotten only after the actions are executed: the balancer may act on a request
        # until it is notified of the request's end.
        for event in events:
            if isinstance(event, AttemptFinished | ClientDisconnected):
                self.requests.forget(event.request)

    # ---- actions -----------------------------------------------------------------------------------------

    def _reject(self, action: Reject, now_ns: int) -> None:
        requests = self.requests
        request = requests.by_id.get(action.request)
        if request is not None and requests.answer(
            request, THROTTLED, lambda client: client.reject(action.retry_after_ns, action.rate_limited)
        ):
            requests.forget(action.request)

    def _fail(self, action: Fail, now_ns: int) -> None:
        requests = self.requests
        request = requests.by_id.get(action.request)
        if request is not None:
            status = 403 if action.denial_reason else 504 if request.last_attempt_timed_out else 502
            reason = action.denial_reason or "failed"
            if requests.answer(request, FAULTED, lambda client: client.fail(status, reason)):
                requests.forget(action.request)

    def _set_timer(self, action: SetTimer, now_ns: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(action.delay_ns / NS_PER_S, self.post, TimerFired(action.name))

    def _send_peer_message(self, action: SendPeerMessage, now_ns: int) -> None:
        if self.peers is not None:
            self.peers.send(action.peer, action.data)

    def _subscribe(self, action: Subscribe, now_ns: int) -> None:
        if self.discovery is not None:
            self.discovery.subscribe(action.enabled)

    def _fetch_endpoints(self, action: FetchEndpoints, now_ns: int) -> None:
        if self.discovery is not None:
            self.discovery.fetch()

    def _log(self, action: Log, now_ns: int) -> None:
        log.info("%s", action.text)
