"""Subscription to the endpoint list, if discovery does not push it.

Inputs: whether discovery pushes the list, updates and failures of calls, and the notification deadline. The
first call is made at a random time in the first quarter of that deadline, within `MAX_DELAY_NS`. Calls after
failures are made with exponential backoff and jitter, within `MAX_DELAY_SHARE` of the deadline and
`MAX_DELAY_NS`. Reason: replicas that start or fail together must not call together, so that the load on
discovery has no bursts that grow with the number of replicas. A change counts as known 6 s after discovery
could be reached again, whatever failed before, so the next call must come and be answered within that time.
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
MIN_BACKOFF_FACTOR = 0.5  # lowest jitter factor of a delay; the jitter keeps replicas from calling together
MAX_BACKOFF_FACTOR = 1.5
MAX_DELAY_SHARE = 0.8  # longest delay before a call, as a share of the notification deadline
MAX_DELAY_NS = 3 * SECOND_NS


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
            longest_ns = min(deadline_ns / FIRST_CALL_DIVISOR, MAX_DELAY_NS)
            state.timers.call_at(now + int(state.rng.random() * longest_ns), self._subscribe)

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
        deadline_ns = state.settings.rules.notification_deadline_ns
        longest_ns = min(deadline_ns * MAX_DELAY_SHARE, MAX_DELAY_NS)
        backoff_ns = min(
            FIRST_BACKOFF_NS * BACKOFF_BASE ** (self.failures - 1), longest_ns / MAX_BACKOFF_FACTOR
        )
        delay_ns = backoff_ns * state.rng.uniform(MIN_BACKOFF_FACTOR, MAX_BACKOFF_FACTOR)
        state.timers.call_at(now + int(delay_ns), self._subscribe)

    def _subscribe(self, now: int) -> None:
        if not self.subscribed:
            self.subscribed = True
            self.state.actions.append(Subscribe(True))
