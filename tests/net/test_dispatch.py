"""Events that are handed to the balancer, and the execution of its actions."""

from __future__ import annotations

from typing import Any

import pytest

from lanelift import daemon
from lanelift.net.dispatch import Dispatcher
from lanelift.policy.actions import Action, StartAttempt
from lanelift.policy.events import (
    Event,
    RequestArrived,
)
from tests.fakes import run
from tests.in_process import EventRecorder, in_process_balancer, script_balancer


def test_an_exception_in_the_balancer_fails_the_request_and_is_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The balancer raises an exception while it handles a request. The request is answered with 502 and
    logged with its identifier, and later requests are served.
    """

    def acts(event: Event, upstream: int) -> list[Action]:
        if isinstance(event, RequestArrived) and event.request == "bad":
            raise RuntimeError("a fault in the balancer")
        return [StartAttempt(event.request, upstream)] if isinstance(event, RequestArrived) else []

    script_balancer(monkeypatch, EventRecorder(), acts)

    async def test() -> None:
        async with in_process_balancer() as lb:
            assert (await lb.request("bad")).status == 502
            assert (await lb.request("good")).status == 200
        (record,) = [r for r in caplog.records if r.exc_info]
        assert "bad" in record.getMessage()

    run(test())


def test_nothing_is_kept_of_removed_upstreams(monkeypatch: pytest.MonkeyPatch) -> None:
    """Upstreams are added and removed all the time, each with a new identifier. If anything were kept of
    removed upstreams, memory and connections would grow without bound.
    """
    dispatchers: list[Dispatcher] = []

    def build(*args: Any) -> Dispatcher:
        dispatchers.append(Dispatcher(*args))
        return dispatchers[-1]

    monkeypatch.setattr(daemon, "Dispatcher", build)

    async def test() -> None:
        async with in_process_balancer() as lb:
            upstream = lb.upstreams[0]
            for number in range(30):  # a new identifier at the same address, with its own connections
                assert (await lb.request(f"r{number}", obj=number)).status == 200
                before, upstream.name = upstream.row("Gone"), f"new-{number}"
                await lb.change_endpoints(before, upstream.row())
            (balancer,) = dispatchers
            await upstream.until(lambda: upstream.ended >= 30)
            assert (await lb.request("last")).status == 200
            assert len(balancer.upstreams.pool.targets) == len(balancer.balancer.registry.upstreams) == 1
            pool = balancer.upstreams.pool
            assert pool.open_connections <= 2 and not pool.connect_tasks
            assert (
                not balancer.requests.by_id
                and not balancer.requests.awaiting_answer
                and not balancer.balancer.requests
            )

    run(test())
