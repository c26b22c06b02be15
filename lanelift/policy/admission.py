"""Admission: how a new request is handled, in this order.

1. If its tenant is denied or over a rate limit, it is answered immediately, without a token (`tenants.py`).
2. If it is hopeless, it is shed: it is expected to take more than `HOPELESS_FACTOR` times as long as its
   client waits. This step applies only if replicas announce attempts to one another (`peer_load.py`) and the
   estimate by cost hint has at least `MIN_HINT_SAMPLES` samples; with fewer, the estimate is too rough. The
   step does not apply to streaming classes, or while the body is being received.
3. If it was received so long ago that its answer would miss the latency objective, it is shed, unless a late
   answer earns something or the class streams.
4. If it is not the first request of its ordering key, it waits until it is the first (`ordering.py`).
5. If no upstream that it may use is listed, or its tenant's token bank and buffer are exhausted, it is shed.
   A client's retry takes only spare tokens, so that retries do not starve fresh requests (`token_bank.py`).
6. If its pool is saturated, and serving the requests that are queued there would take more than
   `QUEUE_TIME_SHARE` of the request's spare time (`OVER_SHARE_QUEUE_TIME_SHARE` if its tenant is over its
   share), it is shed.
7. Otherwise it joins the queue of its pool (`placement.py`).

Inputs: the event, service time estimates, and the state of its tenant's bank and its pool. Reason: a request
that can't be served in time costs least if it is rejected immediately.
"""

from __future__ import annotations

from lanelift.policy.actions import Fail
from lanelift.policy.answers import FinalAnswers
from lanelift.policy.deadlines import Deadlines
from lanelift.policy.events import RequestArrived, TenantUpdate
from lanelift.policy.legality import is_first_of_its_key
from lanelift.policy.ordering import KeyOrdering
from lanelift.policy.probing import LoadProbing
from lanelift.policy.requests import PendingRequest, WaitingPlace
from lanelift.policy.settings import Idempotency, RequestClass
from lanelift.policy.state import PolicyState
from lanelift.policy.token_bank import TokenBank, TokenResult
from lanelift.policy.units import SECOND_NS

# A request is shed immediately if it is expected to take more than this multiple of its remaining time.
HOPELESS_FACTOR = 1.3
MIN_HINT_SAMPLES = 8  # fewest samples of the estimate by cost hint before hopeless requests are shed
QUEUE_TIME_SHARE = 0.5  # largest share of a request's spare time that serving the queue may take
OVER_SHARE_QUEUE_TIME_SHARE = 0.1  # used instead of QUEUE_TIME_SHARE if the tenant is over its share


class Admission:
    """Admits requests to the queues of their pools, or sheds them."""

    __slots__ = ("answers", "deadlines", "ordering", "probing", "state")

    def __init__(
        self,
        state: PolicyState,
        ordering: KeyOrdering,
        answers: FinalAnswers,
        deadlines: Deadlines,
        probing: LoadProbing,
    ) -> None:
        self.state = state
        self.ordering = ordering
        self.answers = answers
        self.deadlines = deadlines
        self.probing = probing

    def request_arrived(self, event: RequestArrived, now: int) -> None:
        """Admit or shed a new request, or answer it immediately if its tenant is denied or over a limit."""
        state = self.state
        answer = state.tenants.immediate_answer(event, now)
        if answer is not None:
            state.actions.append(answer)
            return
        request = self._new_request(event, now)
        state.requests[request.id] = request
        request_class = request.request_class
        expected_ns = state.service_times.estimate_ns(request_class, request.cost_hint_ns)
        if self._is_hopeless(request, expected_ns, now) or self._is_too_old(
            request, expected_ns, now - (event.received_ns or now)
        ):
            self.answers.reject_or_fail(request, now)
            return
        self.deadlines.set_wait_timeout(request, now)
        if request_class.ordered_by_key and event.key:
            self.ordering.join(request, event.key)
        if is_first_of_its_key(request, now):
            self.take_token(request, now)
        else:
            self.ordering.wait(request)

    def _new_request(self, event: RequestArrived, now: int) -> PendingRequest:
        """Return the pending request for an event.

        A request of an unknown class is treated as non-idempotent.
        """
        state = self.state
        token_bank = state.tenants.bank(event.tenant, now)
        request_class = state.settings.classes.get(event.class_name) or RequestClass(
            event.class_name, Idempotency.NON_IDEMPOTENT
        )
        objective_at_ns = (event.received_ns or now) + request_class.latency_objective_ns
        return PendingRequest(
            event.request,
            request_class,
            event.tenant,
            token_bank,
            state.registry.pool(request_class),
            event.deadline_ns,
            min(objective_at_ns, event.deadline_ns),
            # A far too large hint must not keep the request's timers for years.
            min(event.cost_hint_ns, request_class.deadline_ns),
            event.retry,
            body_pending=event.body_pending,
            body_streamed=event.body_pending,
        )

    def _is_hopeless(self, request: PendingRequest, expected_ns: float, now: int) -> bool:
        """Return whether a request is expected to take longer than its client waits.

        An upstream would work on such a request in vain, and delay other requests.
        """
        state = self.state
        return (
            state.registry.peer_load.enabled
            and state.service_times.by_hint.samples >= MIN_HINT_SAMPLES
            and not (request.request_class.streaming or request.body_pending)
            and expected_ns > HOPELESS_FACTOR * (request.deadline_ns - now)
        )

    @staticmethod
    def _is_too_old(request: PendingRequest, expected_ns: float, age_ns: int) -> bool:
        """Return whether a request was received so long ago that its answer would come too late.

        Such a request has waited unread, because this replica itself is late. If all such requests were
        served in order, serving them would make later requests late as well. If `expected_ns` is far too
        high, too many requests are shed.
        """
        request_class = request.request_class
        return expected_ns < request_class.latency_objective_ns < age_ns + expected_ns and not (
            request_class.late_weight or request_class.streaming
        )

    def take_token(self, request: PendingRequest, now: int) -> None:
        """Take a token for a request from its tenant's bank; without a token, buffer or shed the request."""
        request.place = WaitingPlace.NOWHERE
        result = self._request_token(request, now)
        if result is TokenResult.OVERFLOW:
            self.answers.reject_or_fail(request, now)
        elif result is TokenResult.BUFFERED:
            request.place = WaitingPlace.TOKEN_BUFFER
            self.release_buffered(request.token_bank, now)
        else:
            self._join_queue(request, now)

    @staticmethod
    def _request_token(request: PendingRequest, now: int) -> TokenResult:
        if not request.pool.subset.order:
            return (
                TokenResult.OVERFLOW
            )  # no upstream that it may use is listed, and a rejection needs no token
        if request.client_retry:
            spare = request.token_bank.take_spare_token(now)
            return TokenResult.ADMITTED if spare else TokenResult.OVERFLOW
        return request.token_bank.offer(request, now)

    def release_buffered(self, bank: TokenBank, now: int) -> None:
        """Queue the buffered requests for which tokens have become available.

        The bank is checked again when its next token becomes available.
        """
        for request in bank.release_buffered(now):
            self._join_queue(request, now)
        if bank.buffered and now >= bank.wake_at_ns:
            bank.wake_at_ns = now + int((1 - bank.partial_token) / bank.rate_per_s * SECOND_NS) + 1
            self.state.timers.call_at(bank.wake_at_ns, self.release_buffered, bank)

    def _join_queue(self, request: PendingRequest, now: int) -> None:
        """Add a request to its pool's queue, or shed it if the queue is too long already."""
        request.place = WaitingPlace.NOWHERE
        pool = request.pool
        if pool.saturated and self._queue_is_too_long(request, now):
            self.state.rate.unplaceable += 1
            self.answers.reject_or_fail(request, now)
            return
        pool.queue.append(request)
        request.place = WaitingPlace.POOL_QUEUE
        self.probing.begin(request, now)

    def _queue_is_too_long(self, request: PendingRequest, now: int) -> bool:
        """Return whether serving the queue would take more than the allowed share of a request's spare time.

        Spare time beyond the shortest objective is not counted, so that requests with much spare time do not
        make the queue too long for requests with little spare time.
        """
        state = self.state
        share = OVER_SHARE_QUEUE_TIME_SHARE if request.token_bank.over_share else QUEUE_TIME_SHARE
        spare_ns = min(request.give_up_at_ns - now, state.shortest_objective_ns)
        return len(request.pool.queue) * SECOND_NS > state.rate.goodput_per_s * spare_ns * share

    def tenants_changed(self, event: TenantUpdate, now: int) -> None:
        """Apply an update from a directory.

        Requests that the update denies fail immediately if they have no attempt in flight.
        """
        state = self.state
        names = state.tenants.update(event, now)
        for request in list(state.requests.values()):
            if (names is not None and request.tenant_name not in names) or request.finished:
                continue
            request.denial_reason = state.tenants.denial_reason(
                request.tenant_name, request.request_class.name
            )
            if request.denial_reason and not request.attempts_in_flight and not request.response_started:
                state.actions.append(Fail(request.id, request.denial_reason))
                self.answers.finish(request, now)
