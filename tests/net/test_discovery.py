"""The watch of the endpoint list, and outages of discovery."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from lanelift.net import discovery, dispatch
from lanelift.net.endpoint_list import upstream_number
from lanelift.policy.actions import Action, Subscribe
from lanelift.policy.events import (
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
)
from lanelift.policy.settings import Rules
from tests.fakes import SECOND, FakeDiscovery, answer, never, run
from tests.in_process import SETTINGS, EventRecorder, in_process_balancer, script_balancer


def test_an_outage_keeps_the_old_list_until_a_snapshot_comes(recorded: EventRecorder) -> None:
    """Discovery is down, and the list changes meanwhile. The old list stays in use, calls are repeated, and
    the snapshot that comes when discovery returns contains the missed change.
    """

    async def test() -> None:
        async with in_process_balancer(2) as lb:
            await lb.until_watching()
            lb.discovery.down = True
            lb.discovery.close_links()
            gone, stays = lb.upstreams
            assert (await lb.request("r1")).status == 200
            lb.discovery.change(gone.row("Gone"))
            calls = len(lb.discovery.seen)
            # the balancer calls again, and again
            await lb.discovery.until(lambda: len(lb.discovery.seen) > calls + 1)
            lb.discovery.down = False
            await lb.until_watching()
            last = [e for e in recorded.of(EndpointUpdate) if e.kind is EndpointUpdateKind.SNAPSHOT][-1]
            assert [u.id for u in last.endpoints] == [upstream_number(stays.name)]
            assert (await lb.request("r2")).body == stays.name.encode()

    run(test())


def test_a_silent_watch_is_given_up_before_its_changes_count_as_delivered(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """A watch call hangs, and its update never arrives. After some seconds updates count as delivered,
    whether or not they have arrived. The balancer gives up the watch before that time, and fetches a snapshot
    that contains the update.
    """
    for hold_ms, answer_s in (discovery.PUSH_TIMING, discovery.POLL_TIMING):
        # one second is left for reopening the watch before the update counts as delivered
        assert hold_ms / 1000 + answer_s < 5
    monkeypatch.setattr(discovery, "PUSH_TIMING", discovery.WatchTiming(100, 0.1))

    async def test() -> None:
        async with in_process_balancer(2) as lb:
            await lb.until_watching()
            gone = lb.discovery.rows.pop(0)
            lb.discovery.version += 1  # the watch call that is held gets no notification
            await recorded.until(lambda: any(len(e.endpoints) == 1 for e in recorded.of(EndpointUpdate)))
            assert (await lb.request("r1")).body != gone["id"].encode()

    run(test())


@pytest.mark.parametrize("how", ["reset", "503", "silent", "garbage"])
def test_a_start_without_discovery_serves_from_the_cached_list(how: str, recorded: EventRecorder) -> None:
    """A balancer starts while discovery is down, silent, or sends invalid answers. It serves from the cached
    list.
    """

    async def test() -> None:
        async with in_process_balancer(2) as lb:

            async def reply(message: object) -> bytes | None:
                if how == "silent":
                    return await never()
                return {"503": answer(503), "garbage": answer(200, b"{")}.get(how)

            lb.discovery.reply = reply
            assert (await lb.request("r1")).status == 200
            assert [e.kind for e in recorded.of(EndpointUpdate)] == [EndpointUpdateKind.CACHED]

    run(test())


def test_a_failed_call_of_polled_discovery_notifies_the_balancer_which_tries_again(
    recorded: EventRecorder,
) -> None:
    """Polled discovery fails. The balancer is notified, and decides when to try again; when discovery
    returns, its list is used.
    """

    async def test() -> None:
        settings = replace(SETTINGS, discovery_push=False, rules=Rules(notification_deadline_ns=SECOND // 2))
        async with in_process_balancer(settings=settings) as lb:
            lb.discovery.down = True
            await recorded.until(
                lambda: EndpointUpdateKind.FAILED in [e.kind for e in recorded.of(EndpointUpdate)]
            )
            lb.discovery.down = False
            await lb.until_watching()
            assert (await lb.request("r1")).status == 200

    run(test())


def install_balancer_that_only_subscribes(monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder) -> None:
    """Installs a balancer that subscribes once and does nothing else, so that it requests no further
    calls."""
    events: list[Event] = []

    def acts(event: Event, _: int) -> list[Action]:
        events.append(event)
        return [Subscribe(True)] if len(events) == 1 else []

    script_balancer(monkeypatch, recorded, acts)


POLLED = replace(SETTINGS, discovery_push=False)


def test_a_silent_watch_of_polled_discovery_is_reopened_immediately(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """A watch call of polled discovery hangs. The balancer would wait for up to 1.5 s, as when discovery is
    down, and by then the update would count as delivered. So the watch is reopened immediately.
    """
    hold_ms, answer_s = discovery.POLL_TIMING
    assert hold_ms / 1000 + answer_s + discovery.RETRY_INTERVAL_S + 1.25 <= 6
    monkeypatch.setattr(discovery, "POLL_TIMING", discovery.WatchTiming(100, 0.1))
    install_balancer_that_only_subscribes(monkeypatch, recorded)

    async def test() -> None:
        async with in_process_balancer(2, settings=POLLED) as lb:
            await lb.until_watching()
            lb.discovery.rows.pop(0)
            lb.discovery.version += 1  # the watch call that is held gets no notification
            await recorded.until(lambda: any(len(e.endpoints) == 1 for e in recorded.of(EndpointUpdate)))
            assert all(e.kind is not EndpointUpdateKind.FAILED for e in recorded.of(EndpointUpdate))

    run(test())


def test_discovery_at_a_new_address_is_called_immediately_though_the_old_one_was_down(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """Discovery is down, and its address changes. The balancer waits for seconds before it retries a failed
    server, but it calls the new server immediately.
    """
    install_balancer_that_only_subscribes(monkeypatch, recorded)
    watchers: list[discovery.Discovery] = []
    start = discovery.Discovery.start

    def recording_start(watcher: discovery.Discovery, known: Any) -> None:
        watchers.append(watcher)
        start(watcher, known)

    monkeypatch.setattr(discovery.Discovery, "start", recording_start)

    async def test() -> None:
        async with in_process_balancer(settings=POLLED) as lb:
            await lb.until_watching()
            lb.discovery.down = True
            lb.discovery.close_links()
            await recorded.until(
                lambda: any(e.kind is EndpointUpdateKind.FAILED for e in recorded.of(EndpointUpdate))
            )
            new = FakeDiscovery([lb.upstreams[0].row("Terminating")])
            await new.start()
            watchers[0].change_source(new.socket_address)
            await recorded.until(
                lambda: (
                    recorded.of(EndpointUpdate)[-1].kind is EndpointUpdateKind.SNAPSHOT
                    and recorded.of(EndpointUpdate)[-1].endpoints[0].state is EndpointState.DRAINING
                )
            )
            new.stop()

    run(test())


def test_an_unexpected_exception_does_not_end_the_watch(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Handling a response of discovery raises an unexpected exception, which would silently end the watch.
    It is logged with its traceback, and the watch is restarted with the snapshot.
    """

    async def test() -> None:
        async with in_process_balancer(2) as lb:
            await lb.until_watching()

            def fails(*args: object) -> None:
                monkeypatch.undo()
                raise ZeroDivisionError

            monkeypatch.setattr(dispatch.Dispatcher, "update_endpoints", fails)
            gone, stays = lb.upstreams
            lb.discovery.change(gone.row("Gone"))
            await lb.until_watching()  # the watch has been restarted with the snapshot
            assert (await lb.request("r1")).body == stays.name.encode()
        assert "ZeroDivisionError" in caplog.text

    run(test())
