"""One open request: what is known of it, and where it waits. Its legal next steps are in `legality.py`."""

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

    NOWHERE = "nowhere"  # it has an attempt in flight, or is over
    KEY_QUEUE = "key queue"  # for the requests of its ordering key before it
    TOKEN_BUFFER = "token buffer"  # for a token of its tenant
    POOL_QUEUE = "pool queue"  # for an upstream


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request that has no final answer yet, or still has an attempt in flight.

    Attributes:
        id: Its identifier.
        request_class: Its class.
        tenant_name: Its tenant's name.
        token_bank: The bank that pays for it.
        pool: The upstreams that it may go to.
        deadline_ns: When its client gives up.
        objective_at_ns: An answer by then earns the full priority weight.
        cost_hint_ns: How long its client expects it to take; 0: not stated.
        client_retry: The client says that it repeats an earlier request.
        key_queue: The requests of its ordering key, where its class is ordered by key.
        attempts: Its attempts, in order.
        finished: It has its final answer.
        response_started: A response to it is being passed on.
        body_pending: Its body is still being received: its time does not run.
        body_consumed: Its body is gone: it can't be sent again.
        place: Where it waits.
        cooldown_until_ns: When the cooldown of its key is over.
        give_up_at_ns: To wait longer than this is of no use.
        probed_upstreams: Upstreams probed for their load on its behalf.
        probed_at_ns: When.
        busy_upstreams: Those of a first round of probes, all of which had work.
        denial_reason: Why its tenant may not make it any more: no further attempt. Empty: it may.
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
        """How many of its attempts have not ended."""
        return sum(attempt.result is None for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class KeyQueue:
    """Rule 5: the open requests of one ordering key, in the order in which they arrived.

    Attributes:
        key: The key.
        waiting: Its requests; only the first may have attempts.
        cooldown_until_ns: An attempt of an earlier request may run until then.
    """

    key: str
    waiting: deque[PendingRequest] = field(default_factory=deque)
    cooldown_until_ns: int = 0
