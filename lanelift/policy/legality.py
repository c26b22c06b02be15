"""Protocol rules for one request; every attempt and rejection is checked here.

The numbers are those of the platform's protocol page ("rules"; docs/glossary.md lists them).

Rule 1: a request gets one final answer, by its deadline unless it is streamed, and nothing after it.
Rule 2: a request gets no more attempts than allowed. If it may have run, a further attempt must do no harm.
Rule 3: an upstream that drains or is removed gets no attempt.
Rule 5: the requests of an ordering key run one at a time (`ordering.py`).
Rule 6: a class uses only the zones and kinds of machines that it is restricted to (`restrictions.py`).
Rule 4, slow start, limits a rate and not a single attempt: see `slow_start.py`.
"""

from __future__ import annotations

from lanelift.policy.events import EndpointState
from lanelift.policy.requests import PendingRequest
from lanelift.policy.restrictions import class_may_use
from lanelift.policy.settings import DeduplicationScope, Idempotency, Limits
from lanelift.policy.upstreams import Upstream
from lanelift.policy.write_check import is_window_open

MAX_IN_FLIGHT = 1
MAX_IN_FLIGHT_WITH_HEDGING = 2


def may_start_attempt(request: PendingRequest, upstream: Upstream, now: int, limits: Limits) -> bool:
    """Return whether an attempt of this request at this upstream is legal now."""
    return (
        _is_open(request, now)
        and _has_attempts_left(request, limits)
        and upstream.endpoint.state is EndpointState.READY  # rule 3
        and class_may_use(upstream.endpoint, request.request_class)  # rule 6
        and is_first_of_its_key(request, now)
        and not request.denial_reason
        and _has_whole_body(request)
        and _repeat_is_harmless(request, upstream, now)
    )


def _is_open(request: PendingRequest, now: int) -> bool:
    """Rule 1: the request has no final answer, no response is being passed on, and its client still waits."""
    return not request.finished and not request.response_started and now < request.deadline_ns


def _has_attempts_left(request: PendingRequest, limits: Limits) -> bool:
    """Rule 2: the request has fewer attempts than the limits allow, both in all and in flight."""
    if len(request.attempts) >= limits.max_attempts:
        return False
    return request.attempts_in_flight < (MAX_IN_FLIGHT_WITH_HEDGING if limits.hedging else MAX_IN_FLIGHT)


def _has_whole_body(request: PendingRequest) -> bool:
    """Return whether the whole body is there to be sent.

    A streamed body is sent only once: an attempt in flight has taken it, or takes it when its connection is
    established.
    """
    return not request.body_consumed and not (request.body_streamed and request.attempts_in_flight)


def _repeat_is_harmless(request: PendingRequest, upstream: Upstream, now: int) -> bool:
    """Rule 2: the request has not run yet, or may be repeated at this upstream without harm.

    An idempotent request may be repeated. A request with an idempotency key may be repeated within its
    deduplication window at upstreams that drop its repeats. A non-idempotent request may not be repeated. The
    window is checked once more when the attempt is written (`write_check.py`).
    """
    may_have_run = [attempt for attempt in request.attempts if attempt.may_have_run]
    request_class = request.request_class
    if not may_have_run or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return False
    first_sent_ns = min(attempt.sent_ns for attempt in may_have_run)
    return is_window_open(request_class, first_sent_ns, now) and all(
        _share_deduplication(request, attempt.upstream, upstream) for attempt in may_have_run
    )


def is_first_of_its_key(request: PendingRequest, now: int) -> bool:
    """Rule 5: return whether a request may run now: it must be the first of its key.

    The cooldown after an earlier request of the key must be over. A request without a key never waits.
    """
    queue = request.key_queue
    return queue is None or (queue.waiting[0] is request and now >= request.cooldown_until_ns)


def may_reject(request: PendingRequest) -> bool:
    """Rule 2: return whether a request may be rejected: a retry by its client must be harmless.

    A retry of a request that may have run is harmless only if a repeat does no harm at any upstream.
    """
    request_class = request.request_class
    deduplicated_everywhere = (
        request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        and request_class.deduplication_scope is DeduplicationScope.ALL
    )
    return (
        request_class.idempotency is Idempotency.IDEMPOTENT
        or deduplicated_everywhere
        or not any(attempt.may_have_run for attempt in request.attempts)
    )


def allowed_upstreams(request: PendingRequest) -> list[Upstream] | None:
    """Return the upstreams where a request that may have run may be repeated; None means all of its pool."""
    first = next((attempt for attempt in request.attempts if attempt.may_have_run), None)
    request_class = request.request_class
    if (
        first is None
        or request_class.idempotency is Idempotency.IDEMPOTENT
        or request_class.deduplication_scope is DeduplicationScope.ALL
    ):
        return None
    return [
        upstream
        for upstream in request.pool.subset.order
        if _share_deduplication(request, upstream, first.upstream)
    ]


def _share_deduplication(request: PendingRequest, one: Upstream, other: Upstream) -> bool:
    """Return whether both upstreams drop repeats of the same idempotency keys."""
    scope = request.request_class.deduplication_scope
    if scope is DeduplicationScope.ALL:
        return True
    return one.endpoint.zone == other.endpoint.zone and (
        scope is DeduplicationScope.ZONE or one.endpoint.cell == other.endpoint.cell
    )
