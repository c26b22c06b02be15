"""The sync worker in a thread of the test, with a store, two readers and an emulated directory."""

from __future__ import annotations

import time
from dataclasses import replace

import pytest

from lanelift.standins.directory import NetworkFaults
from lanelift.standins.ldap import Code, ServerFaults
from lanelift.tenants.sync_worker import MAX_LOG_CHARACTERS
from tests.fakes import run
from tests.tenants.town import BASE, MAP, agent, at, directory_config, dn, search, sync_config, town
from tests.tenants.worker_fixtures import directory, running_worker


def test_a_full_read_then_changes_then_removals_are_sent() -> None:
    async def test() -> None:
        tree = town("ash", "elm", "oak")
        async with (
            directory(tree) as d,
            running_worker(sync_config(directory_config(d), removal_part=1.0)) as (received, _),
        ):
            await received.until(lambda: received.complete == [3])
            assert received.tenants == {"ash": "", "elm": "", "oak": ""}
            tree.change(dn("elm"), at(50), agentStanding="suspended")
            await received.until(lambda: received.tenants["elm"] == "suspended")
            tree.remove(dn("ash"))
            await received.until(lambda: "ash" not in received.tenants)
            agent(tree, "yew", 60)
            await received.until(lambda: "yew" in received.tenants)
            assert received.tenants == {"elm": "suspended", "oak": "", "yew": ""}
            assert received.complete == [3]

    run(test())


def test_the_settings_apply_while_no_directory_answers() -> None:
    """A balancer starts while its directory is silent. No changes are sent, so that the tenants of the
    settings apply. When the directory answers, it is read.
    """

    async def test() -> None:
        async with directory(town("ash", "elm"), network_faults=NetworkFaults(silent=True)) as d:
            first = sync_config(directory_config(d, timeout_s=0.1))
            async with running_worker(first, seed=[["ash", True, 1.0], ["oak", False, 1.0]]) as (received, _):
                await received.until(lambda: received.logged("timed out"))
                assert not received.tenants and not received.complete  # the known tenants stay as they are
                d.network_faults = NetworkFaults()
                await received.until(lambda: received.complete == [2])
                await received.until(lambda: received.logged("is read again"))
                assert received.tenants == {"ash": "", "elm": ""} and received.logged(
                    "1 tenants removed: oak"
                )

    run(test())


def test_an_empty_tree_does_not_count_as_the_first_reading() -> None:
    """The first full read finds no entry. The read does not count as the first reading: if it did, every
    tenant would become unknown.
    """

    async def test() -> None:
        tree = town()
        async with directory(tree) as d, running_worker(sync_config(directory_config(d))) as (received, _):
            await received.until(lambda: received.logged("it shows no entry at all"))
            assert not received.complete
            agent(tree, "ash")
            await received.until(lambda: received.complete == [1])

    run(test())


@pytest.mark.parametrize("failure", ["stop", "silent", "garbage", "cut", "busy"])
def test_a_suspension_is_read_from_the_next_directory(failure: str) -> None:
    """The preferred directory stops, is silent, sends invalid bytes, breaks off a response or is busy. A
    suspension in its replica is sent to the balancer.
    """

    async def test() -> None:
        tree = town("ash", "elm")
        async with directory(tree) as first, directory(tree.copy()) as second:
            both = sync_config(directory_config(first, timeout_s=0.2), directory_config(second))
            async with running_worker(both) as (received, _):
                await received.until(lambda: received.complete == [2])
                if failure == "stop":
                    first.stop()
                first.network_faults = {
                    "silent": NetworkFaults(silent=True),
                    "garbage": NetworkFaults(garbage=b"\x00" * 50),
                    "cut": NetworkFaults(cut_after=30),
                }.get(failure, NetworkFaults())
                if failure == "busy":
                    first.server_faults = ServerFaults(Code.BUSY)
                second.tree.change(dn("elm"), at(50), agentStanding="suspended")
                await received.until(lambda: received.tenants["elm"] == "suspended")
                assert received.tenants["ash"] == ""

    run(test())


def test_a_directory_that_sends_slowly_is_given_up() -> None:
    """A directory sends single bytes slowly, so that no receive times out and the reading does not end. The
    reading is given up, and the next directory is read.
    """

    async def test() -> None:
        tree = town("ash", "elm")
        async with directory(tree) as first, directory(tree.copy()) as second:
            both = sync_config(directory_config(first), directory_config(second), full_timeout_s=0.5)
            async with running_worker(both) as (received, _):
                await received.until(lambda: received.complete == [2])
                first.network_faults = NetworkFaults(trickle_s=0.05)
                second.tree.change(dn("elm"), at(50), agentStanding="suspended")
                await received.until(lambda: received.tenants["elm"] == "suspended")
                assert received.logged("it was not read in time")

    run(test())


def test_a_missing_page_removes_no_tenant() -> None:
    """The connection breaks in the middle of each full read. No tenant is removed, and a suspension on a page
    that was received takes effect.
    """

    async def test() -> None:
        tree = town(*(f"agent-{i}" for i in range(8)))
        async with directory(tree, network_faults=NetworkFaults(cut_after=1_000_000)) as d:
            first = sync_config(
                directory_config(d, timeout_s=0.2), search=search(3), removal_part=1.0, full_interval_s=0.2
            )
            async with running_worker(first) as (received, _):
                await received.until(lambda: received.complete == [8])
                size = max(client.answered for client in d.clients)
                d.network_faults = NetworkFaults(cut_after=size * 2 // 3)
                for client in list(d.clients):
                    client.abort()
                await received.until(lambda: received.logged("search:"))
                tree.change(dn("agent-0"), at(3600), agentStanding="suspended")
                await received.until(lambda: received.tenants["agent-0"] == "suspended")
                assert len(received.tenants) == 8

    run(test())


def test_sighup_changes_the_filter_and_the_map() -> None:
    async def test() -> None:
        tree = town("ash", "elm")
        agent(tree, "oak", 1, businessCategory="closed")
        async with directory(tree) as d, running_worker(sync_config(directory_config(d))) as (received, send):
            await received.until(lambda: received.complete == [3])
            map = replace(MAP, standing="businessCategory", suspended=frozenset({"closed"}))
            send({"job": sync_config(directory_config(d), map=map, search=search(map=map)).to_json()})
            await received.until(lambda: received.tenants["oak"] == "suspended")
            send({"job": sync_config(directory_config(d)).to_json()})
            await received.until(lambda: received.tenants["oak"] == "")
            wrong = sync_config(directory_config(d), search=search(filter="(objectClass=nothing)"))
            send({"job": wrong.to_json()})
            await received.until(lambda: received.logged("3 of 3 tenants are missing"))
            assert len(received.tenants) == 3

    run(test())


def test_removals_wait_until_they_are_confirmed() -> None:
    """Most entries are removed. All tenants stay until the operator confirms the removal, and a suspension
    takes effect meanwhile.
    """

    async def test() -> None:
        tree = town(*(f"agent-{i}" for i in range(20)))
        async with directory(tree) as d:
            first = sync_config(directory_config(d), full_interval_s=0.1)
            async with running_worker(first) as (received, send):
                await received.until(lambda: received.complete == [20])
                for i in range(15):
                    tree.remove(dn(f"agent-{i}"))
                await received.until(lambda: received.logged("15 of 20 tenants are missing"))
                assert len(received.tenants) == 20
                tree.change(dn("agent-17"), at(50), agentStanding="suspended")
                await received.until(lambda: received.tenants["agent-17"] == "suspended")
                removal_id = next(text for text in received.log if "confirm" in text).split('"')[1]
                send(
                    {
                        "job": sync_config(
                            directory_config(d), full_interval_s=0.1, confirmed=frozenset({removal_id})
                        ).to_json()
                    }
                )
                await received.until(lambda: len(received.tenants) == 5)

    run(test())


def test_a_directory_that_finds_no_changes_by_time_gets_full_reads() -> None:
    """A directory does not find changes by their time. This is logged, the directory is read in full instead,
    and a suspension in it is found.
    """

    async def test() -> None:
        tree = town("ash")
        async with directory(tree) as d:
            d.server_faults = ServerFaults(ordering=False)
            async with running_worker(sync_config(directory_config(d), full_interval_s=0.1)) as (received, _):
                await received.until(lambda: received.logged("does not find changes by their time"))
                tree.change(dn("ash"), at(50), agentStanding="suspended")
                await received.until(lambda: received.tenants["ash"] == "suspended")

    run(test())


def test_validity_ends_without_a_reading() -> None:
    async def test() -> None:
        tree = town()
        agent(tree, "ash", agentUntil="20200101000000Z")
        agent(tree, "elm", agentFrom="20990101000000Z")
        async with directory(tree) as d, running_worker(sync_config(directory_config(d))) as (received, _):
            await received.until(lambda: received.complete == [2])
            assert received.tenants == {"ash": "no longer valid", "elm": "not valid yet"}

    run(test())


def test_a_search_under_a_missing_base_is_reported() -> None:
    """The configured base does not exist. The failure is logged, and the tenants of the settings stay."""

    async def test() -> None:
        async with directory(town("ash")) as d:
            first = sync_config(directory_config(d), search=replace(search(), base=f"ou=x,{BASE}"))
            async with running_worker(first, seed=[["ash", False, 1.0]]) as (received, _):
                await received.until(lambda: received.logged("noSuchObject"))
                assert not received.complete and not received.tenants

    run(test())


def test_a_mass_of_changes_is_sent_page_by_page() -> None:
    """All tenants are suspended, and pages are slow. A suspension on the first page is sent before the last
    page is received.
    """

    async def test() -> None:
        names = [f"agent-{i:02d}" for i in range(30)]
        tree = town(*names)
        async with (
            directory(tree) as d,
            running_worker(sync_config(directory_config(d), search=search(5))) as (received, _),
        ):
            await received.until(lambda: received.complete == [30])
            for name in names:
                tree.change(dn(name), at(3600), agentStanding="suspended")
            d.network_faults = NetworkFaults(delay_s=0.1)
            await received.until(lambda: "suspended" in received.tenants.values())
            assert "" in received.tenants.values()
            d.network_faults = NetworkFaults()
            await received.until(lambda: set(received.tenants.values()) == {"suspended"})

    run(test())


def test_a_stamp_from_the_future_hides_no_later_change() -> None:
    """The clock of a master is ahead, and one entry has a stamp far in the future. This stamp must not move
    the mark beyond later changes: a suspension is still found.
    """

    async def test() -> None:
        tree = town("ash")
        tree.put(dn("oak"), {"objectClass": "agent", "cn": "oak"}, "20990101000000Z")
        async with (
            directory(tree) as d,
            running_worker(sync_config(directory_config(d), full_interval_s=3600.0)) as (received, _),
        ):
            await received.until(lambda: received.complete == [2])
            tree.change(dn("ash"), time.strftime("%Y%m%d%H%M%SZ", time.gmtime()), agentStanding="suspended")
            await received.until(lambda: received.tenants["ash"] == "suspended")

    run(test())


def test_an_oversized_entry_affects_no_other_tenant() -> None:
    """One entry has a class name of 5 MB, one a very long name, and one has 20,000 invalid limits. Each could
    exceed the limit of a line to the balancer or of a log message. The other tenants are read, and lines stay
    short.
    """

    async def test() -> None:
        tree = town("ash", "elm")
        agent(tree, "oak", agentClass="x" * 5_000_000)
        agent(tree, "yew" * 100_000)
        agent(tree, "fir", agentLimit=[f"nonsense {i}" for i in range(20_000)])
        async with directory(tree) as d, running_worker(sync_config(directory_config(d))) as (received, _):
            await received.until(lambda: received.complete == [2])
            assert (
                received.tenants == {"ash": "", "elm": ""}
                and max(map(len, received.log)) <= MAX_LOG_CHARACTERS
            )

    run(test())
