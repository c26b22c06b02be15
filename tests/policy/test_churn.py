"""Memory use of a balancer over days of changing upstreams, peers, clients, tenants and keys."""

from __future__ import annotations

import gc
import heapq
import random
from collections import Counter
from types import FunctionType, ModuleType

import pytest

from lanelift.policy.actions import Fail, Reject, SetTimer, StartAttempt
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    PeerMessageReceived,
    RequestArrived,
    TenantUpdate,
    TimerFired,
)
from lanelift.policy.settings import Limits, Tenant
from tests.policy.checked_balancer import KEYED_IN_CELL, ORDERED, PAY, READ, SECOND, settings

MINUTE = 60 * SECOND
UPSTREAM_COUNT, REPLICA_COUNT, REPLACED_PER_MINUTE = 200, 200, 10
LIMITS = Limits(max_attempts=3, may_cancel=True, peer_messages=True, retry_after=True)
ATTEMPT_STARTED = b"\x01%b\x00\x64"  # announces an attempt with 10 ms of work (docs/design/fleet.md)


def reachable_objects(root: object) -> Counter[str]:
    """Return the number of objects that can be reached from `root`, by the name of their type."""
    seen, todo, found = {id(root)}, [root], Counter[str]()
    while todo:
        one = todo.pop()
        found[type(one).__name__] += 1
        for other in gc.get_referents(one):
            if id(other) not in seen and not isinstance(other, type | ModuleType | FunctionType):
                seen.add(id(other))
                todo.append(other)
    return found


class Churn:
    """One balancer under churn.

    Each minute a twentieth of its upstreams is replaced; all new clients, keys, tenants and upstreams have
    unused names.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = SECOND
        config = settings(replica_count=REPLICA_COUNT, limits=LIMITS)
        self.balancer = Balancer(config, seed, self.now)
        self.due: list[tuple[int, int, Event]] = []
        self.timer: tuple[int, str] | None = None
        self.count = 0
        self.listed = list(range(1, UPSTREAM_COUNT + 1))
        self.attempts: Counter[str] = Counter()
        self.over: set[str] = set()
        self.handle(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, [Endpoint(i) for i in self.listed]))

    def handle(self, *events: Event) -> None:
        for action in self.balancer.handle(self.now, events):
            if isinstance(action, SetTimer):
                self.timer = self.now + action.delay_ns, action.name
            elif isinstance(action, StartAttempt):
                self._sent(action)
            elif isinstance(action, Reject | Fail):
                self.over.add(action.request)

    def _sent(self, send: StartAttempt) -> None:
        number = self.attempts[send.request]
        self.attempts[send.request] += 1
        result = self.rng.choices(list(AttemptResult)[:6], [85, 3, 3, 3, 3, 3])[0]
        took = 600_000_000 if result is AttemptResult.TIMEOUT else int(self.rng.uniform(0.01, 0.4) * SECOND)
        outcome = AttemptFinished(send.request, number, send.upstream, result, took)
        self.schedule(took, outcome)

    def schedule(self, after_ns: int, event: Event) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.now + after_ns, self.count, event))

    def run_until(self, until: int) -> None:
        while True:
            at = min([until, *(d[0] for d in (self.timer, *self.due[:1]) if d is not None)])
            if at >= until:
                break
            self.now = max(self.now, at)
            if self.timer is not None and self.timer[0] <= self.now:
                name, self.timer = self.timer[1], None
                self.handle(TimerFired(name))
            while self.due and self.due[0][0] <= self.now:
                event = heapq.heappop(self.due)[2]
                if isinstance(event, AttemptFinished):
                    if event.result is AttemptResult.OK:
                        self.over.add(event.request)
                    event = event._replace(request_complete=event.request in self.over)
                self.handle(event)
        self.now = until

    def run_minute(self) -> None:
        """Run the events of one minute, and all that follow from them."""
        start, self.count = self.now, self.count + 1
        removed, self.listed = self.listed[:REPLACED_PER_MINUTE], self.listed[REPLACED_PER_MINUTE:]
        new = [(self.count + 1) * UPSTREAM_COUNT + 1 + i for i in range(REPLACED_PER_MINUTE)]
        self.listed += new
        self.handle(
            EndpointUpdate(
                EndpointUpdateKind.DELTA,
                [Endpoint(i, EndpointState.REMOVED) for i in removed]
                + [Endpoint(i, started_ns=self.now) for i in new],
            )
        )
        tenant = f"tenant-{self.count}"
        self.handle(TenantUpdate([Tenant(tenant, 0.1, rate_limits=(("", 50.0),))]))
        for i, cls in enumerate((READ, PAY, KEYED_IN_CELL, ORDERED) * 6):
            name = f"{self.count}-{i}"
            tenant_name = (tenant, "ash", f"stranger-{name}")[i % 3]
            wait = 600_000_000
            self.schedule(
                i * SECOND,
                RequestArrived(
                    name, cls.name, tenant_name, self.now + i * SECOND + wait, 10_000_000, f"key-{name}"
                ),
            )
            if i % 7 == 0:
                self.schedule(i * SECOND + wait // 3, ClientDisconnected(name))
                self.over.add(name)
            number = self.rng.choice([*removed, *self.listed])
            self.schedule(i * SECOND, PeerMessageReceived(i, ATTEMPT_STARTED % number.to_bytes(8, "big")))
        self.run_until(start + MINUTE - SECOND)
        self.handle(TenantUpdate(removed=[tenant]))
        self.run_until(start + MINUTE)
        self.attempts.clear()
        self.over.clear()


def simulate_days(count: int, per_day: int) -> list[Counter[str]]:
    """Simulate days of `per_day` minutes of churn and a pause. Return the number of objects of each type at
    the end of each day.
    """
    churn, found = Churn(5), []
    for _ in range(count):
        for _ in range(per_day):
            churn.run_minute()
        churn.run_until(churn.now + 5 * MINUTE)
        assert not churn.balancer.requests and not churn.balancer.ordering.queues
        assert len(churn.balancer.registry.upstreams) == UPSTREAM_COUNT
        found.append(reachable_objects(churn.balancer))
    return found


def growing_types(found: list[Counter[str]]) -> dict[str, list[int]]:
    """Return the types that have clearly more objects after every later day than after the first day."""
    return {
        kind: [day[kind] for day in found]
        for kind in found[0] | found[-1]
        if all(day[kind] > 1.1 * found[0][kind] + 20 for day in found[1:])
    }


def test_no_type_of_object_grows_in_number_over_days_of_churn() -> None:
    """In three days of churn, no type of object may grow in number from day to day."""
    assert not growing_types(simulate_days(3, 240))


@pytest.mark.parametrize("what", ["upstreams", "clients"])
def test_the_object_count_detects_a_leak(what: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Upstreams or requests that are kept forever must be detected, or the test above would always pass."""
    # Imported here, as `benchmarks/decisions.py` also runs the churn of this file with older revisions.
    from lanelift.policy.answers import FinalAnswers
    from lanelift.policy.registry import UpstreamRegistry
    from lanelift.policy.requests import PendingRequest

    # A list keeps all upstreams, also those that the registry has forgotten.
    if what == "upstreams":
        leaked: list[object] = []
        update = UpstreamRegistry.update

        def updated(self: UpstreamRegistry, event: EndpointUpdate, now: int) -> None:
            update(self, event, now)
            leaked.extend(self.upstreams.values())
            self.leak = leaked  # type: ignore[attr-defined]

        monkeypatch.setattr(UpstreamRegistry, "update", updated)
    else:
        finish = FinalAnswers.finish
        ended: list[object] = []

        def end(self: FinalAnswers, request: PendingRequest, now: int) -> None:
            finish(self, request, now)
            ended.append(request)
            self.state.registry.leak = ended  # type: ignore[attr-defined]

        monkeypatch.setattr(FinalAnswers, "finish", end)
    assert growing_types(simulate_days(3, 20))
