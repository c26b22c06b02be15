"""The sync worker without its process: a store, two readers and an emulated directory."""

from __future__ import annotations

import time
from dataclasses import replace

import pytest

from lanelift.standins.directory import NetworkFaults
from lanelift.standins.ldap import Code, ServerFaults
from lanelift.tenants.sync_worker import MAX_LOG_CHARACTERS
from tests.fakes import run
from tests.tenants.town import BASE, MAP, agent, at, dn, search, sync_config, town, where
from tests.tenants.worker_fixtures import directory, reading


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
    """A balancer starts while its directory is silent. Nothing is sent, so that the tenants of the
    settings hold; when the directory answers, it is read.
    """

    async def test() -> None:
        async with directory(town("ash", "elm"), network_faults=NetworkFaults(silent=True)) as d:
            first = sync_config(where(d, timeout_s=0.1))
            async with reading(first, seed=[["ash", True, 1.0], ["oak", False, 1.0]]) as (received, _):
                await received.until(lambda: received.logged("timed out"))
                assert not received.holds and not received.complete  # nothing new: what was known goes on
                d.network_faults = NetworkFaults()
                await received.until(lambda: received.complete == [2])
                await received.until(lambda: received.logged("is read again"))
                assert received.holds == {"ash": "", "elm": ""} and received.logged("1 tenants removed: oak")

    run(test())


def test_an_empty_tree_is_no_first_reading() -> None:
    """The first full read finds no entry. It does not count as the first reading, as that would make
    every tenant unknown.
    """

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
    """The preferred directory stops, is silent, sends invalid bytes, breaks off or is busy. A suspension
    that its replica shows is sent.
    """

    async def test() -> None:
        tree = town("ash", "elm")
        async with directory(tree) as first, directory(tree.copy()) as second:
            both = sync_config(where(first, timeout_s=0.2), where(second))
            async with reading(both) as (received, _):
                await received.until(lambda: received.complete == [2])
                if how == "stop":
                    first.stop()
                first.network_faults = {
                    "silent": NetworkFaults(silent=True),
                    "garbage": NetworkFaults(garbage=b"\x00" * 50),
                    "cut": NetworkFaults(cut_after=30),
                }.get(how, NetworkFaults())
                if how == "busy":
                    first.server_faults = ServerFaults(Code.BUSY)
                second.tree.change(dn("elm"), at(50), agentStanding="suspended")
                await received.until(lambda: received.holds["elm"] == "suspended")
                assert received.holds["ash"] == ""

    run(test())


def test_a_directory_that_trickles_is_given_up() -> None:
    """A directory sends a byte now and then: no receive takes too long, and the reading never ends. It is
    given up, and the next directory is read.
    """

    async def test() -> None:
        tree = town("ash", "elm")
        async with directory(tree) as first, directory(tree.copy()) as second:
            both = sync_config(where(first), where(second), full_timeout_s=0.5)
            async with reading(both) as (received, _):
                await received.until(lambda: received.complete == [2])
                first.network_faults = NetworkFaults(trickle_s=0.05)
                second.tree.change(dn("elm"), at(50), agentStanding="suspended")
                await received.until(lambda: received.holds["elm"] == "suspended")
                assert received.logged("it was not read in time")

    run(test())


def test_a_page_that_never_comes_removes_nobody() -> None:
    """The connection breaks in the middle of a full read, each time. Nobody is removed, and a suspension
    on a page that was received counts.
    """

    async def test() -> None:
        tree = town(*(f"agent-{i}" for i in range(8)))
        async with directory(tree, network_faults=NetworkFaults(cut_after=1_000_000)) as d:
            first = sync_config(
                where(d, timeout_s=0.2), search=search(3), removal_part=1.0, full_interval_s=0.2
            )
            async with reading(first) as (received, _):
                await received.until(lambda: received.complete == [8])
                size = max(client.answered for client in d.clients)
                d.network_faults = NetworkFaults(cut_after=size * 2 // 3)
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
        async with directory(tree) as d, reading(sync_config(where(d))) as (received, send):
            await received.until(lambda: received.complete == [3])
            map = replace(MAP, standing="businessCategory", suspended=frozenset({"closed"}))
            send({"job": sync_config(where(d), map=map, search=search(map=map)).to_json()})
            await received.until(lambda: received.holds["oak"] == "suspended")
            send({"job": sync_config(where(d)).to_json()})
            await received.until(lambda: received.holds["oak"] == "")
            wrong = sync_config(where(d), search=search(filter="(objectClass=nothing)"))
            send({"job": wrong.to_json()})
            await received.until(lambda: received.logged("3 of 3 tenants are missing"))
            assert len(received.holds) == 3

    run(test())


def test_removals_wait_until_they_are_confirmed() -> None:
    """Most entries vanish. All tenants stay until the operator confirms, and a suspension counts
    meanwhile.
    """

    async def test() -> None:
        tree = town(*(f"agent-{i}" for i in range(20)))
        async with directory(tree) as d:
            first = sync_config(where(d), full_interval_s=0.1)
            async with reading(first) as (received, send):
                await received.until(lambda: received.complete == [20])
                for i in range(15):
                    tree.remove(dn(f"agent-{i}"))
                await received.until(lambda: received.logged("15 of 20 tenants are missing"))
                assert len(received.holds) == 20
                tree.change(dn("agent-17"), at(50), agentStanding="suspended")
                await received.until(lambda: received.holds["agent-17"] == "suspended")
                mark = next(text for text in received.log if "confirm" in text).split('"')[1]
                send(
                    {"job": sync_config(where(d), full_interval_s=0.1, confirmed=frozenset({mark})).to_json()}
                )
                await received.until(lambda: len(received.holds) == 5)

    run(test())


def test_a_directory_that_does_not_order_times_gets_full_reads() -> None:
    """A directory does not find changes by their time. It is logged and read in full instead, and a
    suspension there is found.
    """

    async def test() -> None:
        tree = town("ash")
        async with directory(tree) as d:
            d.server_faults = ServerFaults(ordering=False)
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
    """The configured base does not exist. The failure is logged, and the tenants of the settings hold."""

    async def test() -> None:
        async with directory(town("ash")) as d:
            first = sync_config(where(d), search=replace(search(), base=f"ou=x,{BASE}"))
            async with reading(first, seed=[["ash", False, 1.0]]) as (received, _):
                await received.until(lambda: received.logged("noSuchObject"))
                assert not received.complete and not received.holds

    run(test())


def test_a_mass_of_changes_is_sent_page_by_page() -> None:
    """All tenants are suspended, and pages are slow. A suspension on the first page does not wait for the
    last one.
    """

    async def test() -> None:
        names = [f"agent-{i:02d}" for i in range(30)]
        tree = town(*names)
        async with directory(tree) as d, reading(sync_config(where(d), search=search(5))) as (received, _):
            await received.until(lambda: received.complete == [30])
            for name in names:
                tree.change(dn(name), at(3600), agentStanding="suspended")
            d.network_faults = NetworkFaults(delay_s=0.1)
            await received.until(lambda: "suspended" in received.holds.values())
            assert "" in received.holds.values()
            d.network_faults = NetworkFaults()
            await received.until(lambda: set(received.holds.values()) == {"suspended"})

    run(test())


def test_a_stamp_from_the_future_hides_no_later_change() -> None:
    """The clock of a master is ahead, and one entry has a stamp of a far year. It must not push the mark
    beyond what the others write: a suspension is still found.
    """

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


def test_an_oversized_entry_harms_no_other() -> None:
    """An entry has a class of 5 MB, one a very long name, one 20,000 invalid limits. They would fill a
    line to the balancer or to the log; the other tenants are read, and lines stay within their bounds.
    """

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
