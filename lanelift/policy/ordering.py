"""Ordering by key, rule 5 of the protocol: the requests of one key run one at a time, in order of arrival.

Inputs: the key of each request whose class is ordered by key, the ends of attempts, and the cooldown of a key
(`Rules.key_cooldown_ns`). A request waits until all earlier requests of its key have finished with no attempt
in flight, and until the cooldown after an attempt that may still be running has passed. A waiting request
holds no token, and delays only requests of the same key.
"""

from __future__ import annotations

from collections.abc import Callable

from lanelift.policy.events import AttemptResult
from lanelift.policy.legality import is_first_of_its_key
from lanelift.policy.requests import KeyQueue, PendingRequest, WaitingPlace
from lanelift.policy.state import PolicyState

MAY_STILL_RUN = frozenset({AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED})


class KeyOrdering:
    """The queues of all ordering keys in use.

    Attributes:
        queues: Queues by key.
    """

    __slots__ = ("admit", "queues", "state")

    def __init__(self, state: PolicyState, admit: Callable[[PendingRequest, int], None]) -> None:
        self.state = state
        self.admit = admit  # function that is called with each request that becomes the first of its key
        self.queues: dict[str, KeyQueue] = {}

    def join(self, request: PendingRequest, key: str) -> None:
        """Add a new request to its key's queue."""
        queue = self.queues.setdefault(key, KeyQueue(key))
        request.key_queue = queue
        queue.waiting.append(request)
        request.cooldown_until_ns = queue.cooldown_until_ns

    def wait(self, request: PendingRequest) -> None:
        """Make a request wait, as it is not the first of its key or arrived in a cooldown of its key."""
        request.place = WaitingPlace.KEY_QUEUE
        self.state.timers.call_at(request.cooldown_until_ns, self._check, request.key_queue)

    def attempt_finished(self, request: PendingRequest, result: AttemptResult, now: int) -> None:
        """Begin a cooldown after an attempt that may still be running."""
        if request.key_queue and result in MAY_STILL_RUN:
            request.key_queue.cooldown_until_ns = now + self.state.settings.rules.key_cooldown_ns

    def advance(self, queue: KeyQueue, now: int) -> None:
        """Remove finished requests with no attempt in flight from the head of a queue.

        The request that becomes the first is scheduled for a check.
        """
        waiting = queue.waiting
        while waiting and waiting[0].finished and not waiting[0].attempts_in_flight:
            waiting.popleft()
            if waiting:
                waiting[0].cooldown_until_ns = queue.cooldown_until_ns
                self.state.timers.call_at(queue.cooldown_until_ns, self._check, queue)
        if not waiting:
            # An unused key is forgotten once its cooldown is over.
            self.state.timers.call_at(queue.cooldown_until_ns, self._check, queue)

    def _check(self, queue: KeyQueue, now: int) -> None:
        """Admit a queue's first request if it may be forwarded now, or forget an unused key."""
        waiting = queue.waiting
        if not waiting:
            if now >= queue.cooldown_until_ns:
                self.queues.pop(queue.key, None)
        elif waiting[0].place is WaitingPlace.KEY_QUEUE and is_first_of_its_key(waiting[0], now):
            self.admit(waiting[0], now)
