"""Final answers to requests that are not served, and the cleanup of finished requests.

Inputs: the request, whether it may be rejected (`legality.may_reject`), and the limits on Retry-After. The
request is rejected (503) if a retry is harmless, even after failed attempts; otherwise it fails (502, or 504
if its last attempt timed out). Retry-After is drawn at random, so that clients do not return together.
"""

from __future__ import annotations

from lanelift.policy.actions import CancelAttempt, Fail, Reject
from lanelift.policy.attempts import Attempt
from lanelift.policy.events import ClientDisconnected
from lanelift.policy.legality import may_reject
from lanelift.policy.ordering import KeyOrdering
from lanelift.policy.requests import PendingRequest, WaitingPlace
from lanelift.policy.state import PolicyState
from lanelift.policy.units import SECOND_NS

MAX_RETRY_AFTER_NS = SECOND_NS  # longest Retry-After; the limits may set a shorter one
MIN_RETRY_AFTER_SHARE = 0.25  # shortest Retry-After, as a share of the longest Retry-After


class FinalAnswers:
    """Gives final answers, and forgets finished requests that have no attempt in flight."""

    __slots__ = ("ordering", "state")

    def __init__(self, state: PolicyState, ordering: KeyOrdering) -> None:
        self.state = state
        self.ordering = ordering

    def reject_or_fail(self, request: PendingRequest, now: int) -> None:
        """Give the final answer to a request that is not served.

        The answer is a failure with the denial reason if the request is denied, a rejection if that is legal,
        and otherwise a failure.
        """
        state = self.state
        if request.denial_reason:
            state.actions.append(Fail(request.id, request.denial_reason))
        elif may_reject(request):
            limits = state.settings.limits
            longest_ns = min(limits.max_retry_after_ns, MAX_RETRY_AFTER_NS)
            retry_after_ns = state.rng.uniform(MIN_RETRY_AFTER_SHARE, 1.0) * longest_ns
            state.actions.append(Reject(request.id, int(retry_after_ns) if limits.retry_after else 0))
        else:
            state.actions.append(Fail(request.id))
        self.finish(request, now)

    def finish(self, request: PendingRequest, now: int) -> None:
        """End a request that has its final answer, or whose client has disconnected."""
        if request.place is WaitingPlace.TOKEN_BUFFER:
            request.token_bank.remove_buffered(request)
        elif request.place is WaitingPlace.POOL_QUEUE:
            request.pool.queue.remove(request)
        request.place = WaitingPlace.NOWHERE
        request.finished = True
        self.cancel_attempts(request)
        self.forget_if_over(request, now)

    def client_disconnected(self, event: ClientDisconnected, now: int) -> None:
        """End a request whose client has closed its connection."""
        request = self.state.requests.get(event.request)
        if request is not None:
            self.finish(request, now)

    def cancel_attempts(self, request: PendingRequest, except_for: Attempt | None = None) -> None:
        """Cancel all of a request's attempts in flight, or all but one, if cancelling is allowed."""
        if self.state.settings.limits.may_cancel:
            self.state.actions += [
                CancelAttempt(request.id, number)
                for number, attempt in enumerate(request.attempts)
                if attempt.result is None and attempt is not except_for
            ]

    def forget_if_over(self, request: PendingRequest, now: int) -> None:
        """Forget a finished request with no attempt in flight, and advance the queue of its key."""
        if request.finished and not request.attempts_in_flight and request.id in self.state.requests:
            del self.state.requests[request.id]
            if request.key_queue:
                self.ordering.advance(request.key_queue, now)
