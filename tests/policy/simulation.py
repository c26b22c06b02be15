"""Simulation of balancers, emulated upstreams and clients in simulated time.

`Simulation` holds the balancers of one deployment, emulators of their upstreams (the model of
`lanelift.standins`) and a heap of scheduled events. It uses no socket and no clock, and the same seed gives
the same run. Several test files and `benchmarks/decisions.py` use it.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from collections import Counter
from collections.abc import Iterable
from typing import Any

from lanelift.policy.actions import (
    CancelAttempt,
    Fail,
    ProbeLoad,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
)
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadProbeFinished,
    PeerMessageReceived,
    RequestArrived,
    TimerFired,
)
from lanelift.policy.settings import Settings
from lanelift.standins.box import Box, BoxSpec
from tests.policy.checked_balancer import MS

ONE_WAY_NS = MS // 4  # one-way delay between a balancer and an emulator
PEER_MESSAGE_NS = 10 * MS  # one-way delay between two balancers


class Simulation:
    """The balancers of one deployment and the emulators of their upstreams.

    Attributes:
        balancers: Balancers by replica.
        replica_of: The replica that each request arrived at.
        lost_share: The share of peer messages that is lost.
        messages: The number of peer messages that were sent.
        emulators: Emulators by upstream number.
        unresponsive: Upstreams that are cut off: attempts sent to these upstreams, and their responses, are
            lost.
        killed: Replicas that were killed: they handle no further events.
        due: Scheduled events: time, sequence number, name of the method, details.
        tenant: The tenant of each request.
        deadline: When the client of each request gives up.
        attempts: The number of attempts of each request.
        sent: The upstream and the time of sending of each attempt in flight.
        counts: The number of requests by tenant and answer; "requested" counts all requests of a tenant.
        answered: Requests that have their final answer.
        attempt_log: All attempts: time, replica, upstream.
    """

    def __init__(
        self,
        settings: Settings,
        emulator_count: int,
        seed: int = 1,
        spec: BoxSpec | None = None,
        lost: float = 0.0,
    ) -> None:
        spec = spec or BoxSpec()
        self.balancers = [
            Balancer(dataclasses.replace(settings, replica=replica), seed + replica, 0)
            for replica in range(settings.replica_count)
        ]
        self.replica_of: dict[str, int] = {}
        self.lost_share, self.rng, self.messages = lost, random.Random(seed), 0
        self.emulators = {i: Box(spec, 0) for i in range(1, emulator_count + 1)}
        self.unresponsive: set[int] = set()
        self.killed: set[int] = set()
        self.now = self.count = 0
        self.due: list[tuple[int, int, str, Any]] = []
        self.tenant: dict[str, str] = {}
        self.deadline: dict[str, int] = {}
        self.attempts: Counter[str] = Counter()
        self.sent: dict[tuple[str, int], tuple[int, int]] = {}
        self.counts: Counter[tuple[str, str]] = Counter()
        self.answered: set[str] = set()
        self.attempt_log: list[tuple[int, int, int]] = []
        for replica in range(len(self.balancers)):
            self._handle(
                [EndpointUpdate(EndpointUpdateKind.SNAPSHOT, [Endpoint(i) for i in self.emulators])], replica
            )

    def schedule(self, when: int, what: str, details: Any) -> None:
        """Schedule an event: the method `_what` is called at this time with the details."""
        self.count += 1
        heapq.heappush(self.due, (when, self.count, what, details))

    def schedule_request(
        self, when: int, tenant: str, work_ns: int, class_name: str, wait_ns: int, replica: int = 0
    ) -> None:
        """Schedule a request to a replica; its client waits for `wait_ns`."""
        self.schedule(when, "arrive", (tenant, work_ns, class_name, wait_ns, replica))

    def run_until(self, until: int) -> None:
        """Run all events up to this time."""
        while True:
            emulator_due = min(
                (due for emulator in self.emulators.values() if (due := emulator.next_ns()) is not None),
                default=None,
            )
            when = min(
                (t for t in (emulator_due, self.due[0][0] if self.due else None) if t is not None),
                default=None,
            )
            if when is None or when > until:
                return
            self.now = max(self.now, when)
            for number, emulator in self.emulators.items():
                for done in emulator.advance(self.now):
                    self.schedule(self.now + ONE_WAY_NS, "answered", (done.job, number))
            while self.due and self.due[0][0] <= self.now:
                _, _, what, details = heapq.heappop(self.due)
                getattr(self, f"_{what}")(details)

    def _arrive(self, details: tuple[str, int, str, int, int]) -> None:
        """Deliver a request to its replica."""
        tenant, work_ns, class_name, wait_ns, replica = details
        name = f"r{len(self.tenant)}/{work_ns}"
        self.tenant[name], self.deadline[name] = tenant, self.now + wait_ns
        self.counts[tenant, "requested"] += 1
        self.replica_of[name] = replica
        self._handle(
            [RequestArrived(name, class_name, tenant, self.now + wait_ns, cost_hint_ns=work_ns)], replica
        )

    def _tenant_update(self, event: Event) -> None:
        """Deliver an update from a directory to the first replica."""
        self._handle([event], 0)

    def _update(self, details: tuple[int, Event]) -> None:
        """Deliver an event to a replica."""
        self._handle([details[1]], details[0])

    def _timer(self, details: tuple[int, str]) -> None:
        """Fire a timer of a replica."""
        self._handle([TimerFired(details[1])], details[0])

    def _reach(self, details: tuple[str, int, int]) -> None:
        """Deliver an attempt to its upstream, which may reject it."""
        name, attempt, number = details
        if number in self.unresponsive:
            return  # the attempt is lost, and will time out
        if not self.emulators[number].offer(f"{name}#{attempt}", int(name.partition("/")[2]), self.now):
            self._ended(name, attempt, AttemptResult.REJECTED)

    def _answered(self, details: tuple[str, int]) -> None:
        """Deliver a response to its replica."""
        name, _, attempt = details[0].partition("#")
        if details[1] in self.unresponsive:
            return
        self._ended(name, int(attempt), AttemptResult.OK)

    def _expire(self, details: tuple[str, int]) -> None:
        """Time out an attempt, unless it has ended."""
        name, attempt = details
        if details in self.sent:
            self.emulators[self.sent[details][0]].drop(f"{name}#{attempt}", self.now)
            self._ended(name, attempt, AttemptResult.TIMEOUT)

    def _probe(self, details: tuple[int, int]) -> None:
        """Deliver a load probe to its upstream, which sends a load report."""
        replica, number = details
        if number in self.unresponsive:
            return
        report = {"inflight": float(self.emulators[number].held)}
        result = LoadProbeFinished(number, AttemptResult.OK, 2 * ONE_WAY_NS, report)
        self.schedule(self.now + ONE_WAY_NS, "update", (replica, result))

    def _cancel(self, details: tuple[str, int]) -> None:
        """Cancel an attempt, unless it has ended."""
        name, attempt = details
        if details in self.sent:
            self.emulators[self.sent[details][0]].drop(f"{name}#{attempt}", self.now)
            self._ended(name, attempt, AttemptResult.CANCELLED)

    def _ended(self, name: str, attempt: int, result: AttemptResult) -> None:
        """Record how an attempt ended, and report it to its replica."""
        number, since = self.sent.pop((name, attempt), (0, 0))
        if number:
            if result is AttemptResult.OK and name not in self.answered:
                self.answered.add(name)
                self.counts[self.tenant[name], "served"] += 1
            over = name in self.answered
            self._handle(
                [AttemptFinished(name, attempt, number, result, self.now - since, over)],
                self.replica_of[name],
            )

    def _handle(self, events: Iterable[Event], replica: int) -> None:
        """Make a replica handle events, and carry out its actions."""
        if replica in self.killed:
            return
        for action in self.balancers[replica].handle(self.now, list(events)):
            match action:
                case StartAttempt():
                    number = self.attempts[action.request]
                    self.attempts[action.request] += 1
                    self.sent[action.request, number] = action.upstream, self.now
                    self.attempt_log.append((self.now, replica, action.upstream))
                    self.schedule(self.now + ONE_WAY_NS, "reach", (action.request, number, action.upstream))
                    wait = action.timeout_ns or self.deadline[action.request] - self.now
                    self.schedule(self.now + wait, "expire", (action.request, number))
                case ProbeLoad():
                    self.schedule(self.now + ONE_WAY_NS, "probe", (replica, action.upstream))
                case CancelAttempt():
                    self.schedule(self.now, "cancel", (action.request, action.attempt))
                case SetTimer():
                    self.schedule(self.now + action.delay_ns, "timer", (replica, action.name))
                case SendPeerMessage():
                    self.messages += 1
                    if self.rng.random() >= self.lost_share:
                        self.schedule(
                            self.now + PEER_MESSAGE_NS,
                            "update",
                            (action.peer, PeerMessageReceived(replica, action.data)),
                        )
                case Reject() | Fail():
                    assert action.request not in self.answered, f"{action.request} answered twice"
                    self.answered.add(action.request)
                    kind = "rejected" if isinstance(action, Reject) else "failed"
                    self.counts[self.tenant[action.request], kind] += 1

    def share(self, tenant: str) -> float:
        """Return the share of a tenant's requests that were served."""
        return self.counts[tenant, "served"] / max(1, self.counts[tenant, "requested"])
