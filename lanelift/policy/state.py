"""State that the rules of one balancer share."""

from __future__ import annotations

import random

from lanelift.policy.actions import Action
from lanelift.policy.concurrency import ConcurrencyEstimator
from lanelift.policy.load_probe_settings import load_probing_enabled
from lanelift.policy.registry import UpstreamRegistry
from lanelift.policy.requests import PendingRequest
from lanelift.policy.service_time import ServiceTimeEstimator
from lanelift.policy.settings import Settings
from lanelift.policy.tenants import TenantRegistry
from lanelift.policy.timers import TimerQueue
from lanelift.policy.units import SECOND_NS


class PolicyState:
    """The tables, estimates and counts of one balancer.

    Attributes:
        settings: The settings of the balancer.
        rng: The only source of randomness: all draws come from it, in the order of events.
        timers: Scheduled calls.
        actions: The actions for the events that are being handled, in order.
        tenants: Tenants with their token banks and buckets.
        rate: The controller of the rate R.
        concurrency: The concurrency window.
        service_times: The service time estimates.
        registry: Upstreams and pools.
        requests: Open requests by identifier.
        shortest_objective_ns: The shortest latency objective of any class.
        attempts_in_flight: Attempts that count against the window.
        overdue_attempts: The number of those attempts that are overdue.
    """

    __slots__ = (
        "actions",
        "attempts_in_flight",
        "concurrency",
        "overdue_attempts",
        "rate",
        "registry",
        "requests",
        "rng",
        "service_times",
        "settings",
        "shortest_objective_ns",
        "tenants",
        "timers",
    )

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.timers = TimerQueue()
        self.actions: list[Action] = []
        self.tenants = TenantRegistry(settings, self.rng, now)
        self.rate = self.tenants.rate
        self.shortest_objective_ns = min(
            (request_class.latency_objective_ns for request_class in settings.classes.values()),
            default=SECOND_NS,
        )
        self.concurrency = ConcurrencyEstimator(self.shortest_objective_ns)
        self.service_times = ServiceTimeEstimator()
        self.registry = UpstreamRegistry(settings, self.concurrency, self.rng, load_probing_enabled(settings))
        for request_class in settings.classes.values():
            self.registry.pool(request_class)
        self.requests: dict[str, PendingRequest] = {}
        self.attempts_in_flight = 0
        self.overdue_attempts = 0
