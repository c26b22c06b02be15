"""Retries: a request whose attempts have all ended without a response is retried, or gets its final answer.

Inputs: the request's attempts, whether another attempt is legal at any upstream (`legality.py`), and its wait
timeout. A retry goes to the head of its pool's queue and takes no further token. Reason: the request has
already waited, and has taken a token.
"""

from __future__ import annotations

from lanelift.policy.answers import FinalAnswers
from lanelift.policy.legality import allowed_upstreams, may_start_attempt
from lanelift.policy.probing import LoadProbing
from lanelift.policy.requests import PendingRequest, WaitingPlace
from lanelift.policy.state import PolicyState


class Retries:
    """Queues requests for another attempt."""

    __slots__ = ("answers", "probing", "state")

    def __init__(self, state: PolicyState, answers: FinalAnswers, probing: LoadProbing) -> None:
        self.state = state
        self.answers = answers
        self.probing = probing

    def retry_or_answer(self, request: PendingRequest, now: int) -> None:
        """Queue a request for another attempt if one is legal and in time, else give its final answer."""
        if self._may_retry(request, now) and now < request.give_up_at_ns:
            request.pool.queue.appendleft(request)
            request.place = WaitingPlace.POOL_QUEUE
            self.probing.begin(request, now)
        else:
            self.answers.reject_or_fail(request, now)

    def _may_retry(self, request: PendingRequest, now: int) -> bool:
        """Return whether another attempt is legal at any upstream that the request may use."""
        limits = self.state.settings.limits
        targets = allowed_upstreams(request) or request.pool.subset.order[:1]
        return bool(request.attempts) and any(
            may_start_attempt(request, upstream, now, limits) for upstream in targets
        )
