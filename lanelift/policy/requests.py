"""The policy's record of one open request: its attempts, its deadlines, and where it waits.

`legality.py` decides which steps are legal for it. `lanelift/net/requests.py` has the daemon's table of open
requests.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from lanelift.policy.attempts import Attempt
from lanelift.policy.pool import UpstreamPool
from lanelift.policy.settings import RequestClass
from lanelift.policy.token_bank import TokenBank
from lanelift.policy.upstreams import Upstream


class WaitingPlace(Enum):
    """Where a request waits."""

    NOWHERE = "nowhere"  # the request has an attempt in flight, or is finished
    KEY_QUEUE = "key queue"  # the request waits for earlier requests of its ordering key
    TOKEN_BUFFER = "token buffer"  # the request waits for a token of its tenant
    POOL_QUEUE = "pool queue"  # the request waits for an upstream


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final answer yet, or still has an attempt in flight.

    Attributes:
        id: The request's identifier.
        request_class: The request's class.
        tenant_name: The name of the request's tenant.
        token_bank: The bank from which the request's token is taken.
        pool: The pool of upstreams that the request may be sent to.
        deadline_ns: When the request's client gives up.
        objective_at_ns: The end of the latency objective: an answer by this time earns the full priority
            weight.
        cost_hint_ns: How long the client expects the request to take; 0 means not stated.
        client_retry: Whether the client says that this request repeats an earlier request.
        key_queue: The queue of the request's ordering key, if the request's class is ordered by key.
        attempts: The request's attempts, in order.
        finished: Whether the request has its final answer, or its client has disconnected.
        response_started: Whether a response to the request is being passed on.
        body_pending: Whether the request's body is still being received, so that the request's time is not
            counted yet.
        body_streamed: Whether the body is not buffered, and can be sent only once.
        body_consumed: Whether an attempt that has ended consumed part of a streamed body, so that the request
            can't be sent again.
        place: Where the request waits.
        cooldown_until_ns: When the cooldown of the request's ordering key is over.
        give_up_at_ns: The time at which the request is given up if it still waits.
        probed_upstreams: The upstreams that were probed for their load on behalf of the request.
        probed_at_ns: When the load probes for the request were sent.
        busy_upstreams: The upstreams of a first round of probes, if all these upstreams had work queued.
        denial_reason: Why the tenant may no longer make this request, which then gets no further attempt;
            empty if the tenant may make the request.
    """

    id: str
    request_class: RequestClass
    tenant_name: str
    token_bank: TokenBank
    pool: UpstreamPool
    deadline_ns: int
    objective_at_ns: int
    cost_hint_ns: int
    client_retry: bool = False
    key_queue: KeyQueue | None = None
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False
    response_started: bool = False
    body_pending: bool = False
    body_streamed: bool = False
    body_consumed: bool = False
    place: WaitingPlace = WaitingPlace.NOWHERE
    cooldown_until_ns: int = 0
    give_up_at_ns: int = 0
    probed_upstreams: list[Upstream] = field(default_factory=list)
    probed_at_ns: int = 0
    busy_upstreams: list[Upstream] = field(default_factory=list)
    denial_reason: str = ""

    @property
    def attempts_in_flight(self) -> int:
        """The number of the request's attempts that have not ended."""
        return sum(attempt.result is None for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The open requests of one ordering key, in the order in which they arrived (rule 5 of `legality.py`).

    Attributes:
        key: The key.
        waiting: The requests of this key; only the first request may have attempts.
        cooldown_until_ns: The time after which no attempt of an earlier request can still be running.
    """

    key: str
    waiting: deque[PendingRequest] = field(default_factory=deque)
    cooldown_until_ns: int = 0
