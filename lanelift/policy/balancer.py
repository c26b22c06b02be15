"""The balancer: it routes each event to the rule that handles it, and collects the actions."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from lanelift.policy.actions import Action
from lanelift.policy.admission import Admission
from lanelift.policy.answers import FinalAnswers
from lanelift.policy.deadlines import Deadlines
from lanelift.policy.ejection import OutlierEjection
from lanelift.policy.events import (
    AttemptFinished,
    BodyReceived,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    LoadProbeFinished,
    PeerMessageReceived,
    RequestArrived,
    ResponseStarted,
    TenantUpdate,
    TimerFired,
)
from lanelift.policy.feedback import Feedback
from lanelift.policy.forwarding import Forwarding
from lanelift.policy.hedging import Hedging
from lanelift.policy.ordering import KeyOrdering
from lanelift.policy.outcomes import Outcomes
from lanelift.policy.placement import Placement
from lanelift.policy.probing import LoadProbing
from lanelift.policy.registry import UpstreamRegistry
from lanelift.policy.requests import PendingRequest
from lanelift.policy.retries import Retries
from lanelift.policy.settings import Settings, Tenant
from lanelift.policy.state import PolicyState
from lanelift.policy.subscription import EndpointSubscription


class Balancer:
    """One replica's decisions. Feed it events with `handle`; carry out the actions it returns, in order.

    Attributes:
        settings: The settings of the balancer.
        state: The state that the rules share.
    """

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.state = state = PolicyState(settings, seed, now)
        self.timers = state.timers
        self.ordering = KeyOrdering(state, self._admit_first_of_key)
        self.answers = FinalAnswers(state, self.ordering)
        self.probing = LoadProbing(state)
        self.ejection = OutlierEjection(state.rng, state.timers, state.registry.unrestricted_pool)
        self.forwarding = Forwarding(state)
        self.hedging = Hedging(state, self.forwarding, self.ejection)
        self.deadlines = Deadlines(state, self.answers, self.hedging)
        self.admission = Admission(state, self.ordering, self.answers, self.deadlines, self.probing)
        self.placement = Placement(state, self.probing, self.forwarding, self.hedging, self.answers)
        self.retries = Retries(state, self.answers, self.probing)
        self.outcomes = Outcomes(
            state, self.ordering, self.ejection, self.forwarding, self.answers, self.retries
        )
        self.subscription = EndpointSubscription(state, now)
        self.feedback = Feedback(state, self.admission, now)
        self.handlers: dict[type[Event], Callable[[Any, int], None]] = {
            RequestArrived: self.admission.request_arrived,
            BodyReceived: self.deadlines.body_received,
            ClientDisconnected: self.answers.client_disconnected,
            ResponseStarted: self.outcomes.response_started,
            AttemptFinished: self.outcomes.attempt_finished,
            LoadProbeFinished: self.probing.probe_finished,
            PeerMessageReceived: state.registry.peer_load.receive,
            EndpointUpdate: self.subscription.endpoints_changed,
            TenantUpdate: self.admission.tenants_changed,
            TimerFired: self.timers.timer_fired,
        }

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Handle events in order, make the scheduled calls that are due and serve the queues.

        Args:
            now: The clock time in nanoseconds; it never goes back.
            events: The events.

        Returns:
            The actions, in the order in which they are to be carried out.
        """
        actions: list[Action] = []
        self.state.actions = actions
        for event in events:
            self.handlers[type(event)](event, now)
        self.timers.run_due(now)
        self.placement.serve_queues(now)
        self.feedback.run_if_due(now)
        timer = self.timers.next_timer(now)
        if timer is not None:
            actions.append(timer)
        return actions

    def _admit_first_of_key(self, request: PendingRequest, now: int) -> None:
        """Admit a request that is now the first of its ordering key."""
        self.admission.take_token(request, now)

    @property
    def requests(self) -> Mapping[str, PendingRequest]:
        """Open requests by identifier."""
        return self.state.requests

    @property
    def registry(self) -> UpstreamRegistry:
        """Upstreams and pools."""
        return self.state.registry

    @property
    def rng(self) -> random.Random:
        """The only source of randomness."""
        return self.state.rng

    @property
    def known_tenants(self) -> Mapping[str, Tenant] | None:
        """All tenants by name; None until a directory has named some tenants."""
        return self.state.tenants.known_tenants

    def endpoints_out_of_rotation(self, now: int) -> int:
        """Return the number of listed upstreams that get no requests now, as they drain or are ejected."""
        return self.state.registry.out_of_rotation(now)
