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


def test_an_outage_keeps_the_old_list_and_the_whole_one_comes_after_it(recorded: EventRecorder) -> None:
    """Discovery is down, and the list changes meanwhile. The old list stands, calls are tried again, and
    the snapshot at its return brings what was missed.
    """

    async def test() -> None:
        async with in_process_balancer(2) as w:
            await w.watching()
            w.discovery.down = True
            w.discovery.close_links()
            gone, stays = w.upstreams
            assert (await w.request("r1")).status == 200
            w.discovery.change(gone.row("Gone"))
            calls = len(w.discovery.seen)
            await w.discovery.until(lambda: len(w.discovery.seen) > calls + 1)  # it tries again, and again
            w.discovery.down = False
            await w.watching()
            last = [e for e in recorded.of(EndpointUpdate) if e.kind is EndpointUpdateKind.SNAPSHOT][-1]
            assert [u.id for u in last.endpoints] == [upstream_number(stays.name)]
            assert (await w.request("r2")).body == stays.name.encode()

    run(test())


def test_a_watch_that_fell_silent_is_given_up_before_its_changes_count_as_told(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """A watch call hangs, and its update never comes. After some seconds updates count as notified, whether
    or not they came. The watch is given up before, and a fetch of the snapshot brings it.
    """
    for hold_ms, answer_s in (discovery.PUSH_TIMING, discovery.POLL_TIMING):
        assert hold_ms / 1000 + answer_s < 5  # and a second to open it anew
    monkeypatch.setattr(discovery, "PUSH_TIMING", discovery.WatchTiming(100, 0.1))

    async def test() -> None:
        async with in_process_balancer(2) as w:
            await w.watching()
            gone = w.discovery.rows.pop(0)
            w.discovery.version += 1  # and nobody is told: the watch that is held hears nothing of it
            await recorded.until(lambda: any(len(e.endpoints) == 1 for e in recorded.of(EndpointUpdate)))
            assert (await w.request("r1")).body != gone["id"].encode()

    run(test())


@pytest.mark.parametrize("how", ["reset", "503", "silent", "garbage"])
def test_a_start_without_discovery_serves_from_the_list_as_last_known(
    how: str, recorded: EventRecorder
) -> None:
    """A balancer starts while discovery is down, silent, or answers what can't be read. It serves from the
    cached list.
    """

    async def test() -> None:
        async with in_process_balancer(2) as w:

            async def reply(message: object) -> bytes | None:
                if how == "silent":
                    return await never()
                return {"503": answer(503), "garbage": answer(200, b"{")}.get(how)

            w.discovery.reply = reply
            assert (await w.request("r1")).status == 200
            assert [e.kind for e in recorded.of(EndpointUpdate)] == [EndpointUpdateKind.CACHED]

    run(test())


def test_where_discovery_is_asked_a_failed_call_is_told_and_the_module_asks_again(
    recorded: EventRecorder,
) -> None:
    """Discovery that is polled fails. The decisions are notified, and say when to try again; at its return
    the list is used.
    """

    async def test() -> None:
        settings = replace(SETTINGS, discovery_push=False, rules=Rules(notification_deadline_ns=SECOND // 2))
        async with in_process_balancer(settings=settings) as w:
            w.discovery.down = True
            await recorded.until(
                lambda: EndpointUpdateKind.FAILED in [e.kind for e in recorded.of(EndpointUpdate)]
            )
            w.discovery.down = False
            await w.watching()
            assert (await w.request("r1")).status == 200

    run(test())


def obeying_nobody(monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder) -> None:
    """A module that subscribes once and says no more: what else is asked, the balancer asks by itself."""
    asked: list[Event] = []

    def acts(event: Event, _: int) -> list[Action]:
        asked.append(event)
        return [Subscribe(True)] if len(asked) == 1 else []

    script_balancer(monkeypatch, recorded, acts)


ASKED = replace(SETTINGS, discovery_push=False)


def test_a_watch_that_fell_silent_where_discovery_is_asked_is_opened_anew_at_once(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """A watch call of polled discovery hangs. The decisions would wait for up to 1.5 s, as for discovery
    that is down, and the update count as notified by then. The watch is opened anew at once.
    """
    hold_ms, answer_s = discovery.POLL_TIMING
    assert hold_ms / 1000 + answer_s + discovery.RETRY_INTERVAL_S + 1.25 <= 6
    monkeypatch.setattr(discovery, "POLL_TIMING", discovery.WatchTiming(100, 0.1))
    obeying_nobody(monkeypatch, recorded)

    async def test() -> None:
        async with in_process_balancer(2, settings=ASKED) as w:
            await w.watching()
            w.discovery.rows.pop(0)
            w.discovery.version += 1  # and the watch that is held hears nothing of it
            await recorded.until(lambda: any(len(e.endpoints) == 1 for e in recorded.of(EndpointUpdate)))
            assert all(e.kind is not EndpointUpdateKind.FAILED for e in recorded.of(EndpointUpdate))

    run(test())


def test_discovery_that_has_moved_is_asked_at_once_though_the_old_one_was_given_up(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """Discovery is down, and its address changes. The decisions wait for seconds before they try one that
    is down, but not for the new one: it is called at once.
    """
    obeying_nobody(monkeypatch, recorded)
    watchers: list[discovery.Discovery] = []
    start = discovery.Discovery.start

    def seen(watcher: discovery.Discovery, known: Any) -> None:
        watchers.append(watcher)
        start(watcher, known)

    monkeypatch.setattr(discovery.Discovery, "start", seen)

    async def test() -> None:
        async with in_process_balancer(settings=ASKED) as w:
            await w.watching()
            w.discovery.down = True
            w.discovery.close_links()
            await recorded.until(
                lambda: any(e.kind is EndpointUpdateKind.FAILED for e in recorded.of(EndpointUpdate))
            )
            new = FakeDiscovery([w.upstreams[0].row("Terminating")])
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


def test_an_answer_of_discovery_that_nobody_foresaw_does_not_end_the_watch(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Handling a response of discovery raises an exception that nobody foresaw. It would end the watch for
    good, unseen. It is logged with its traceback, and the watch begins anew with the snapshot.
    """

    async def test() -> None:
        async with in_process_balancer(2) as w:
            await w.watching()

            def fails(*args: object) -> None:
                monkeypatch.undo()
                raise ZeroDivisionError

            monkeypatch.setattr(dispatch.Dispatcher, "update_endpoints", fails)
            gone, stays = w.upstreams
            w.discovery.change(gone.row("Gone"))
            await w.watching()  # it has come back, and begun with the whole list
            assert (await w.request("r1")).body == stays.name.encode()
        assert "ZeroDivisionError" in caplog.text

    run(test())
