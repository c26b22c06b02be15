"""Simulated days: balancers, emulated upstreams and arrivals, all in simulated time.

`Simulation` holds the balancers of one deployment, the emulators of their upstreams (the model of
`lanelift.standins`) and a heap of what happens when. There is no socket and no clock; the same seed gives the
same day. Several test files and `benchmarks/decisions.py` play days with it.
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

ONE_WAY_NS = MS // 4  # one way between a balancer and an emulator
PEER_MESSAGE_NS = 10 * MS  # and between two balancers


class Simulation:
    """Balancers and the emulators of their upstreams.

    Attributes:
        balancers: By replica.
        owner: The replica that has a request.
        lost_share: The share of peer messages that is lost.
        messages: How many peer messages were sent.
        emulators: By upstream.
        unresponsive: Upstreams that are cut off: what is sent there and what they answer is lost.
        dead: Replicas that were killed: nothing reaches them any more.
        due: What happens when: time, number, name of the method, details.
        tenant: The tenant of each request.
        deadline: When the client of each request gives up.
        attempts: How many attempts each request has had.
        sent: Attempts in flight: the upstream, and when.
        answers: What became of the requests, by tenant.
        answered: Requests that have their answer.
        sends: All attempts: when, the replica, the upstream.
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
        self.owner: dict[str, int] = {}
        self.lost_share, self.rng, self.messages = lost, random.Random(seed), 0
        self.emulators = {i: Box(spec, 0) for i in range(1, emulator_count + 1)}
        self.unresponsive: set[int] = set()
        self.dead: set[int] = set()
        self.now = self.count = 0
        self.due: list[tuple[int, int, str, Any]] = []
        self.tenant: dict[str, str] = {}
        self.deadline: dict[str, int] = {}
        self.attempts: Counter[str] = Counter()
        self.sent: dict[tuple[str, int], tuple[int, int]] = {}
        self.answers: Counter[tuple[str, str]] = Counter()
        self.answered: set[str] = set()
        self.sends: list[tuple[int, int, int]] = []
        for replica in range(len(self.balancers)):
            self._handle(
                [EndpointUpdate(EndpointUpdateKind.SNAPSHOT, [Endpoint(i) for i in self.emulators])], replica
            )

    def schedule(self, when: int, what: str, details: Any) -> None:
        """Let something happen then: the method `_what` is called with the details."""
        self.count += 1
        heapq.heappush(self.due, (when, self.count, what, details))

    def schedule_request(
        self, when: int, tenant: str, work_ns: int, class_name: str, wait_ns: int, replica: int = 0
    ) -> None:
        """Let a request arrive then at a replica; its client waits for `wait_ns`."""
        self.schedule(when, "arrive", (tenant, work_ns, class_name, wait_ns, replica))

    def run_until(self, until: int) -> None:
        """Play all that happens up to then."""
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
        """A request arrives at its replica."""
        tenant, work_ns, class_name, wait_ns, replica = details
        name = f"r{len(self.tenant)}/{work_ns}"
        self.tenant[name], self.deadline[name] = tenant, self.now + wait_ns
        self.answers[tenant, "requested"] += 1
        self.owner[name] = replica
        self._handle(
            [RequestArrived(name, class_name, tenant, self.now + wait_ns, cost_hint_ns=work_ns)], replica
        )

    def _tenant_update(self, event: Event) -> None:
        """A directory notifies the first replica."""
        self._handle([event], 0)

    def _update(self, details: tuple[int, Event]) -> None:
        """An event reaches a replica."""
        self._handle([details[1]], details[0])

    def _timer(self, details: tuple[int, str]) -> None:
        """A timer of a replica fires."""
        self._handle([TimerFired(details[1])], details[0])

    def _reach(self, details: tuple[str, int, int]) -> None:
        """An attempt reaches its upstream, which may reject it."""
        name, attempt, number = details
        if number in self.unresponsive:
            return  # its timeout follows
        if not self.emulators[number].offer(f"{name}#{attempt}", int(name.partition("/")[2]), self.now):
            self._ended(name, attempt, AttemptResult.REJECTED)

    def _answered(self, details: tuple[str, int]) -> None:
        """A response reaches its replica."""
        name, _, attempt = details[0].partition("#")
        if details[1] in self.unresponsive:
            return
        self._ended(name, int(attempt), AttemptResult.OK)

    def _expire(self, details: tuple[str, int]) -> None:
        """An attempt times out, unless it has ended."""
        name, attempt = details
        if details in self.sent:
            self.emulators[self.sent[details][0]].drop(f"{name}#{attempt}", self.now)
            self._ended(name, attempt, AttemptResult.TIMEOUT)

    def _probe(self, details: tuple[int, int]) -> None:
        """A load probe reaches its upstream, which reports."""
        replica, number = details
        if number in self.unresponsive:
            return
        report = {"inflight": float(self.emulators[number].held)}
        result = LoadProbeFinished(number, AttemptResult.OK, 2 * ONE_WAY_NS, report)
        self.schedule(self.now + ONE_WAY_NS, "update", (replica, result))

    def _cancel(self, details: tuple[str, int]) -> None:
        """An attempt is cancelled, unless it has ended."""
        name, attempt = details
        if details in self.sent:
            self.emulators[self.sent[details][0]].drop(f"{name}#{attempt}", self.now)
            self._ended(name, attempt, AttemptResult.CANCELLED)

    def _ended(self, name: str, attempt: int, result: AttemptResult) -> None:
        """Note how an attempt ended, and notify its replica."""
        number, since = self.sent.pop((name, attempt), (0, 0))
        if number:
            if result is AttemptResult.OK and name not in self.answered:
                self.answered.add(name)
                self.answers[self.tenant[name], "served"] += 1
            over = name in self.answered
            self._handle(
                [AttemptFinished(name, attempt, number, result, self.now - since, over)], self.owner[name]
            )

    def _handle(self, events: Iterable[Event], replica: int) -> None:
        """Let a replica handle events, and carry out its actions."""
        if replica in self.dead:
            return
        for action in self.balancers[replica].handle(self.now, list(events)):
            match action:
                case StartAttempt():
                    number = self.attempts[action.request]
                    self.attempts[action.request] += 1
                    self.sent[action.request, number] = action.upstream, self.now
                    self.sends.append((self.now, replica, action.upstream))
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
                    self.answers[self.tenant[action.request], kind] += 1

    def share(self, tenant: str) -> float:
        """Return the share of a tenant's requests that were served."""
        return self.answers[tenant, "served"] / max(1, self.answers[tenant, "requested"])
