"""Subscription to the endpoint list, if discovery does not push it.

Inputs: whether discovery pushes the list, updates and failures of calls, and the notification deadline. The
first call is made at a random time in the first quarter of that deadline. Calls after failures are made with
exponential backoff and jitter, within `MAX_BACKOFF_SHARE` of the deadline. Reason: replicas that start or
fail together must not call together, so that the load on discovery has no bursts that grow with the number of
replicas.
"""

from __future__ import annotations

from lanelift.policy.actions import Subscribe
from lanelift.policy.events import EndpointUpdate, EndpointUpdateKind
from lanelift.policy.state import PolicyState
from lanelift.policy.units import SECOND_NS

# The first call is made within a quarter (1 / this number) of the notification deadline.
FIRST_CALL_DIVISOR = 4
FIRST_BACKOFF_NS = SECOND_NS
BACKOFF_BASE = 2.0  # the delay before the next call is multiplied by this after each further failure
MAX_BACKOFF_MULTIPLE = 8.0  # longest delay before jitter, as a multiple of FIRST_BACKOFF_NS
MIN_BACKOFF_FACTOR = 0.5  # lowest jitter factor of a delay; the jitter keeps replicas from calling together
MAX_BACKOFF_FACTOR = 1.5
MAX_BACKOFF_SHARE = 0.8  # longest delay before the next call, as a share of the notification deadline


class EndpointSubscription:
    """Subscribes to the endpoint list, and subscribes again after failures.

    Attributes:
        subscribed: Whether the subscription is open, or the list is pushed.
        failures: The number of failures in a row.
    """

    __slots__ = ("failures", "state", "subscribed")

    def __init__(self, state: PolicyState, now: int) -> None:
        self.state = state
        self.failures = 0
        self.subscribed = state.settings.discovery_push
        if not self.subscribed:
            deadline_ns = state.settings.rules.notification_deadline_ns
            delay_ns = int(state.rng.random() * deadline_ns / FIRST_CALL_DIVISOR)
            state.timers.call_at(now + delay_ns, self._subscribe)

    def endpoints_changed(self, event: EndpointUpdate, now: int) -> None:
        """Apply an update of the endpoint list, or back off after a failure."""
        if event.kind is EndpointUpdateKind.FAILED:
            self._back_off(now)
            return
        if event.kind is not EndpointUpdateKind.CACHED:
            self.failures = 0
        self.state.registry.update(event, now)

    def _back_off(self, now: int) -> None:
        state = self.state
        self.subscribed = False
        self.failures += 1
        multiple = min(MAX_BACKOFF_MULTIPLE, BACKOFF_BASE ** (self.failures - 1))
        delay_ns = FIRST_BACKOFF_NS * multiple * state.rng.uniform(MIN_BACKOFF_FACTOR, MAX_BACKOFF_FACTOR)
        longest_ns = state.settings.rules.notification_deadline_ns * MAX_BACKOFF_SHARE
        state.timers.call_at(now + int(min(delay_ns, longest_ns)), self._subscribe)

    def _subscribe(self, now: int) -> None:
        if not self.subscribed:
            self.subscribed = True
            self.state.actions.append(Subscribe(True))
