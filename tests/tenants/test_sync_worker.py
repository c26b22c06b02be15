"""The sync worker without its process: a store, two readers and an emulated directory."""

from __future__ import annotations

import asyncio
import json
import threading
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest

from lanelift.standins.directory import Directory, Trouble
from lanelift.standins.ldap import Code, Manners, Tree
from lanelift.tenants.sync_config import SyncConfig
from lanelift.tenants.sync_messages import (
    FirstReadComplete,
    LogLine,
    SyncMessage,
    TenantsChanged,
    TenantsRemoved,
    batches,
    decoded,
    encoded,
)
from lanelift.tenants.sync_worker import MAX_LOG_CHARACTERS, SyncWorker
from lanelift.tenants.tenant_state import TenantState
from tests.fakes import Watched, run
from tests.tenants.town import BASE, MAP, agent, at, dn, search, sync_config, town, where

Json = dict[str, Any]


class Received(Watched):
    """What a worker has sent, put together as a balancer would."""

    def __init__(self) -> None:
        super().__init__()
        self.holds: dict[str, str] = {}  # name: why it is denied
        self.log: list[str] = []
        self.complete: list[int] = []
        self.loop = asyncio.get_running_loop()

    def send(self, message: SyncMessage) -> None:
        self.loop.call_soon_threadsafe(self._take, decoded(encoded(message)))

    def _take(self, message: SyncMessage | None) -> None:
        match message:
            case TenantsChanged(tenants):
                self.holds.update((tenant.name, tenant.denial_reason) for tenant in tenants)
            case TenantsRemoved(names):
                for name in names:
                    self.holds.pop(name, None)
            case FirstReadComplete(count):
                self.complete.append(count)
            case LogLine(_, text):
                self.log.append(text)
        self.poke()

    def logged(self, words: str) -> bool:
        return any(words in text for text in self.log)


@asynccontextmanager
async def reading(first: SyncConfig, **more: Any) -> AsyncIterator[tuple[Received, Callable[[Json], None]]]:
    """A worker at work; what it sent, and a way to tell it more."""
    received = Received()
    worker = SyncWorker(received.send)

    def say(message: Json) -> None:
        worker.events.put(lambda: worker.receive(message))

    def work() -> None:
        while not worker.stopping:
            worker.step()

    def leave() -> None:
        worker.stopping = True
        for reader in worker.readers.values():
            reader.stop()

    say({"job": first.to_json(), **more})
    thread = threading.Thread(target=work)
    thread.start()
    try:
        yield received, say
    finally:
        worker.events.put(leave)
        await asyncio.to_thread(thread.join)


@asynccontextmanager
async def directory(tree: Tree, **more: Any) -> AsyncIterator[Directory]:
    found = Directory(tree, **more)
    await found.start()
    try:
        yield found
    finally:
        found.stop()


def test_a_job_is_told_whole() -> None:
    given = sync_config(where(Directory(town())), confirmed=frozenset({"0a0b0c0d"}))
    assert SyncConfig.from_json(given.to_json()) == given


def test_first_all_then_changes_then_removals() -> None:
    async def test() -> None:
        tree = town("ash", "elm", "oak")
        async with directory(tree) as d, reading(sync_config(where(d), removal_part=1.0)) as (received, _):
            await received.until(lambda: received.complete == [3])
            assert received.holds == {"ash": "", "elm": "", "oak": ""}
            tree.change(dn("elm"), at(50), agentStanding="suspended")
            await received.until(lambda: received.holds["elm"] == "suspended")
            tree.remove(dn("ash"))
            await received.until(lambda: "ash" not in received.holds)
            agent(tree, "yew", 60)
            await received.until(lambda: "yew" in received.holds)
            assert received.holds == {"elm": "suspended", "oak": "", "yew": ""}
            assert received.complete == [3]

    run(test())


def test_the_settings_hold_while_no_directory_answers() -> None:
    async def test() -> None:
        async with directory(town("ash", "elm"), trouble=Trouble(silent=True)) as d:
            first = sync_config(where(d, timeout_s=0.1))
            async with reading(first, seed=[["ash", True, 1.0], ["oak", False, 1.0]]) as (received, _):
                await received.until(lambda: received.logged("timed out"))
                assert not received.holds and not received.complete  # nothing new: what was known goes on
                d.trouble = Trouble()
                await received.until(lambda: received.complete == [2])
                await received.until(lambda: received.logged("is read again"))
                assert received.holds == {"ash": "", "elm": ""} and received.logged("1 tenants removed: oak")

    run(test())


def test_an_empty_tree_is_no_first_reading() -> None:
    async def test() -> None:
        tree = town()
        async with directory(tree) as d, reading(sync_config(where(d))) as (received, _):
            await received.until(lambda: received.logged("it shows no entry at all"))
            assert not received.complete
            agent(tree, "ash")
            await received.until(lambda: received.complete == [1])

    run(test())


@pytest.mark.parametrize("how", ["stop", "silent", "garbage", "cut", "busy"])
def test_a_suspension_is_learned_from_the_next_directory(how: str) -> None:
    """The preferred one fails in some way; its replica is received of a suspension."""

    async def test() -> None:
        tree = town("ash", "elm")
        async with directory(tree) as first, directory(tree.copy()) as second:
            both = sync_config(where(first, timeout_s=0.2), where(second))
            async with reading(both) as (received, _):
                await received.until(lambda: received.complete == [2])
                if how == "stop":
                    first.stop()
                first.trouble = {
                    "silent": Trouble(silent=True),
                    "garbage": Trouble(garbage=b"\x00" * 50),
                    "cut": Trouble(cut_after=30),
                }.get(how, Trouble())
                if how == "busy":
                    first.manners = Manners(Code.BUSY)
                second.tree.change(dn("elm"), at(50), agentStanding="suspended")
                await received.until(lambda: received.holds["elm"] == "suspended")
                assert received.holds["ash"] == ""

    run(test())


def test_a_directory_that_trickles_is_given_up() -> None:
    """A byte now and then: no single receive takes too long, and the reading never ends."""

    async def test() -> None:
        tree = town("ash", "elm")
        async with directory(tree) as first, directory(tree.copy()) as second:
            both = sync_config(where(first), where(second), full_timeout_s=0.5)
            async with reading(both) as (received, _):
                await received.until(lambda: received.complete == [2])
                first.trouble = Trouble(trickle_s=0.05)
                second.tree.change(dn("elm"), at(50), agentStanding="suspended")
                await received.until(lambda: received.holds["elm"] == "suspended")
                assert received.logged("it was not read in time")

    run(test())


def test_a_page_that_never_comes_removes_nobody() -> None:
    async def test() -> None:
        tree = town(*(f"agent-{i}" for i in range(8)))
        async with directory(tree, trouble=Trouble(cut_after=1_000_000)) as d:
            first = sync_config(
                where(d, timeout_s=0.2), search=search(3), removal_part=1.0, full_interval_s=0.2
            )
            async with reading(first) as (received, _):
                await received.until(lambda: received.complete == [8])
                size = max(client.answered for client in d.clients)
                d.trouble = Trouble(cut_after=size * 2 // 3)
                for client in list(d.clients):
                    client.abort()
                await received.until(lambda: received.logged("search:"))
                tree.change(dn("agent-0"), at(3600), agentStanding="suspended")
                await received.until(lambda: received.holds["agent-0"] == "suspended")
                assert len(received.holds) == 8

    run(test())


def test_sighup_changes_filter_and_map_under_way() -> None:
    async def test() -> None:
        tree = town("ash", "elm")
        agent(tree, "oak", 1, businessCategory="closed")
        async with directory(tree) as d, reading(sync_config(where(d))) as (received, say):
            await received.until(lambda: received.complete == [3])
            map = replace(MAP, standing="businessCategory", suspended=frozenset({"closed"}))
            say({"job": sync_config(where(d), map=map, search=search(map=map)).to_json()})
            await received.until(lambda: received.holds["oak"] == "suspended")
            say({"job": sync_config(where(d)).to_json()})
            await received.until(lambda: received.holds["oak"] == "")
            wrong = sync_config(where(d), search=search(filter="(objectClass=nothing)"))
            say({"job": wrong.to_json()})
            await received.until(lambda: received.logged("3 of 3 tenants are missing"))
            assert len(received.holds) == 3

    run(test())


def test_removals_wait_until_they_are_confirmed() -> None:
    async def test() -> None:
        tree = town(*(f"agent-{i}" for i in range(20)))
        async with directory(tree) as d:
            first = sync_config(where(d), full_interval_s=0.1)
            async with reading(first) as (received, say):
                await received.until(lambda: received.complete == [20])
                for i in range(15):
                    tree.remove(dn(f"agent-{i}"))
                await received.until(lambda: received.logged("15 of 20 tenants are missing"))
                assert len(received.holds) == 20
                tree.change(dn("agent-17"), at(50), agentStanding="suspended")
                await received.until(lambda: received.holds["agent-17"] == "suspended")
                mark = next(text for text in received.log if "confirm" in text).split('"')[1]
                say(
                    {"job": sync_config(where(d), full_interval_s=0.1, confirmed=frozenset({mark})).to_json()}
                )
                await received.until(lambda: len(received.holds) == 5)

    run(test())


def test_a_directory_that_does_not_order_times_is_read_whole() -> None:
    async def test() -> None:
        tree = town("ash")
        async with directory(tree) as d:
            d.manners = Manners(ordering=False)
            async with reading(sync_config(where(d), full_interval_s=0.1)) as (received, _):
                await received.until(lambda: received.logged("does not find changes by their time"))
                tree.change(dn("ash"), at(50), agentStanding="suspended")
                await received.until(lambda: received.holds["ash"] == "suspended")

    run(test())


def test_validity_ends_without_a_reading() -> None:
    async def test() -> None:
        tree = town()
        agent(tree, "ash", agentUntil="20200101000000Z")
        agent(tree, "elm", agentFrom="20990101000000Z")
        async with directory(tree) as d, reading(sync_config(where(d))) as (received, _):
            await received.until(lambda: received.complete == [2])
            assert received.holds == {"ash": "no longer valid", "elm": "not valid yet"}

    run(test())


def test_a_search_under_a_base_that_is_not_there() -> None:
    async def test() -> None:
        async with directory(town("ash")) as d:
            first = sync_config(where(d), search=replace(search(), base=f"ou=x,{BASE}"))
            async with reading(first, seed=[["ash", False, 1.0]]) as (received, _):
                await received.until(lambda: received.logged("noSuchObject"))
                assert not received.complete and not received.holds

    run(test())


def test_a_mass_of_changes_is_told_page_by_page() -> None:
    """A suspension on the first page does not wait for the last one."""

    async def test() -> None:
        names = [f"agent-{i:02d}" for i in range(30)]
        tree = town(*names)
        async with directory(tree) as d, reading(sync_config(where(d), search=search(5))) as (received, _):
            await received.until(lambda: received.complete == [30])
            for name in names:
                tree.change(dn(name), at(3600), agentStanding="suspended")
            d.trouble = Trouble(delay_s=0.1)
            await received.until(lambda: "suspended" in received.holds.values())
            assert "" in received.holds.values()
            d.trouble = Trouble()
            await received.until(lambda: set(received.holds.values()) == {"suspended"})

    run(test())


def test_a_stamp_from_the_future_hides_no_later_change() -> None:
    """A master whose clock is ahead must not push the mark beyond what the others write."""

    async def test() -> None:
        tree = town("ash")
        tree.put(dn("oak"), {"objectClass": "agent", "cn": "oak"}, "20990101000000Z")
        async with (
            directory(tree) as d,
            reading(sync_config(where(d), full_interval_s=3600.0)) as (received, _),
        ):
            await received.until(lambda: received.complete == [2])
            tree.change(dn("ash"), time.strftime("%Y%m%d%H%M%SZ", time.gmtime()), agentStanding="suspended")
            await received.until(lambda: received.holds["ash"] == "suspended")

    run(test())


def test_a_monstrous_entry_harms_no_other() -> None:
    """Its values would fill a line to the balancer, its name one of the log."""

    async def test() -> None:
        tree = town("ash", "elm")
        agent(tree, "oak", agentClass="x" * 5_000_000)
        agent(tree, "yew" * 100_000)
        agent(tree, "fir", agentLimit=[f"nonsense {i}" for i in range(20_000)])
        async with directory(tree) as d, reading(sync_config(where(d))) as (received, _):
            await received.until(lambda: received.complete == [2])
            assert (
                received.holds == {"ash": "", "elm": ""} and max(map(len, received.log)) <= MAX_LOG_CHARACTERS
            )

    run(test())


def test_a_directory_without_end_is_not_read_to_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr("lanelift.tenants.replica_reader.MAX_TENANTS", 10)
        tree = town(*(f"agent-{i:02d}" for i in range(40)))
        async with directory(tree) as d, reading(sync_config(where(d), search=search(5))) as (received, _):
            await received.until(lambda: received.logged("more than 10 entries"))
            assert not received.complete

    run(test())


def test_lines_to_the_balancer_are_short_whatever_tenants_have() -> None:
    rows = [TenantState(f"t{i}", "", 1.0, None, tuple("c" * 128 for _ in range(64)), ()) for i in range(100)]
    found = list(batches(rows))
    assert [t for batch in found for t in batch] == rows
    assert max(len(json.dumps(batch)) for batch in found) < 64 * 1024
