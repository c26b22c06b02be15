"""A complete balancer in the test's process, with scripted upstreams and discovery.

`in_process_balancer` starts and ends one. The fixture `recorded` records the events that the `Balancer`
receives; with `script_balancer` a test makes the decisions in place of the `Balancer`.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from typing import Any

import pytest

from lanelift.__main__ import listening_socket
from lanelift.daemon import serve
from lanelift.daemon_config import Config
from lanelift.net import dispatch
from lanelift.policy.actions import Action
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import AttemptFinished, AttemptResult, EndpointUpdate, Event
from lanelift.policy.settings import Idempotency, Limits, RequestClass, Settings, Tenant
from lanelift.settings import Json
from tests.fakes import SECOND, Client, FakeDiscovery, FakeUpstream, Message, Observable, never

CLASSES = {
    "quote": RequestClass(
        "quote", Idempotency.IDEMPOTENT, latency_objective_ns=2 * SECOND, deadline_ns=3 * SECOND
    ),
    "pay": RequestClass(
        "pay", Idempotency.NON_IDEMPOTENT, latency_objective_ns=2 * SECOND, deadline_ns=3 * SECOND
    ),
}


SETTINGS = Settings(
    classes=CLASSES,
    tenants={"ash": Tenant("ash")},
    limits=Limits(max_attempts=1, may_cancel=True, retry_after=True, peer_messages=True),
)


class EventRecorder(Observable):
    """Records the events that the balancer receives."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[Event] = []

    def of(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]

    def results(self) -> list[AttemptResult]:
        return [event.result for event in self.of(AttemptFinished)]

    def recording_subclass(self, base: type[Balancer]) -> type[Balancer]:
        recorded = self

        class Recording(base):  # type: ignore[misc, valid-type]
            def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
                handled = list(events)
                actions: list[Action] = super().handle(now, handled)
                recorded.events += handled
                recorded.notify()
                return actions

        return Recording


class ScriptedBalancer(Balancer):
    """A balancer whose actions are chosen by a test."""

    acts: Callable[[Event], list[Action]]

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        return [action for event in events for action in type(self).acts(event)]


def script_balancer(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, acts: Callable[[Event, int], list[Action]]
) -> None:
    """Installs a balancer for which `acts` chooses the actions.

    `acts` is called with each event and the number of the first listed upstream.
    """
    known: list[int] = []

    def decide(event: Event) -> list[Action]:
        if isinstance(event, EndpointUpdate):
            known.extend(u.id for u in event.endpoints)
        return acts(event, known[0]) if known else []

    monkeypatch.setattr(ScriptedBalancer, "acts", staticmethod(decide), raising=False)
    monkeypatch.setattr(dispatch, "Balancer", recorded.recording_subclass(ScriptedBalancer))


class InProcessBalancer:
    """A balancer in the test's process, with its upstreams and discovery."""

    def __init__(self, upstreams: Sequence[FakeUpstream], discovery: FakeDiscovery) -> None:
        self.upstreams = upstreams
        self.discovery = discovery
        self.address = ("127.0.0.1", 0)

    async def client(self) -> Client:
        return await Client.to(self.address)

    async def client_with_open_request(self, name: str, **more: Any) -> Client:
        """Returns a client whose request was received by the first upstream, which does not answer it."""
        upstream = self.upstreams[0]
        upstream.script, before = [never], len(upstream.seen)
        client = await self.client()
        client.send(name, **more)
        await upstream.until(lambda: len(upstream.seen) > before)
        return client

    async def change_endpoints(self, *rows: Json) -> None:
        """Changes entries of discovery's list, and waits until the balancer watches from the new version."""
        await self.until_watching()
        self.discovery.change(*rows)
        await self.until_watching()

    async def until_watching(self) -> None:
        target = f"from={self.discovery.version}&"
        await self.discovery.until(lambda: any(target in m.start[1] for m in self.discovery.seen))

    async def request(self, name: str, *args: Any, **more: Any) -> Message:
        client = await self.client()
        try:
            return await client.request(name, *args, **more)
        finally:
            client.close()


@asynccontextmanager
async def in_process_balancer(
    count: int = 1,
    settings: Settings = SETTINGS,
    sockets: int = 1024,
    operators: socket.socket | None = None,
    **config: Any,
) -> AsyncIterator[InProcessBalancer]:
    upstreams = [FakeUpstream(f"s-{i}") for i in range(count)]
    for upstream in upstreams:
        await upstream.start()
    discovery = FakeDiscovery(upstream.row() for upstream in upstreams)
    await discovery.start()
    lb = InProcessBalancer(upstreams, discovery)
    listener = listening_socket(("127.0.0.1", 0))
    listener.listen()  # clients can connect before the balancer has started
    lb.address = listener.getsockname()
    default_config = Config(
        lb.address, discovery.socket_address, 7, sockets, settings, discovery.snapshot(), None, [], None
    )
    task = asyncio.create_task(
        serve(replace(default_config, **config), listener, lambda: default_config, operators)
    )
    try:
        yield lb
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        for server in (*upstreams, discovery):
            server.stop()
