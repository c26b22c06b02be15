"""Datagram proxies: the faults of a link, and the steps that can't be applied to processes."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from lanelift.faults.datagram_proxy import LOOPBACK, DatagramProxy, ProxyEndpoint
from lanelift.faults.process_cluster import ProcessCluster
from lanelift.faults.schedule import Link, Schedule, ScheduleError, Step
from tests.fakes import run


class End:
    """One end of a link, which records the datagrams that it receives and their sources."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.sources: set[tuple[str, int]] = set()
        self.endpoint = ProxyEndpoint(self._received)

    def _received(self, data: bytes, source: tuple[str, int]) -> None:
        self.received.append(data)
        self.sources.add(source)

    async def open(self) -> None:
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self.endpoint, local_addr=(LOOPBACK, 0)
        )

    async def until(self, count: int) -> None:
        async with asyncio.timeout(10):
            while len(self.received) < count:
                await asyncio.sleep(0.005)


def test_each_direction_has_its_own_faults() -> None:
    async def scenario() -> None:
        a, b = End(), End()
        await a.open()
        await b.open()
        # the address of end `a` is not known beforehand: datagrams for `a` go to the address from which `a`
        # sent its last datagram
        proxy = DatagramProxy("a", "b", {"b": b.endpoint.address}, random.Random(1))
        await proxy.open()
        address_of_a, address_of_b = proxy.address_of("a"), proxy.address_of("b")
        a.endpoint.send(b"1", address_of_b)
        await b.until(1)
        # the proxy sends from the address that end `b` knows as the address of end `a`
        assert b.sources == {address_of_a}
        b.endpoint.send(b"2", address_of_a)
        await a.until(1)
        proxy.links["a", "b"].change(Step(0, "cut", "a", "b"))
        a.endpoint.send(b"lost", address_of_b)
        b.endpoint.send(b"3", address_of_a)
        await a.until(2)
        async with asyncio.timeout(10):
            while not proxy.links["a", "b"].lost:
                await asyncio.sleep(0.005)
        proxy.links["a", "b"].change(Step(0, "heal", "a", "b"))
        proxy.links["a", "b"].change(Step(0, "double", "a", "b", ms=20, part=1.0))
        a.endpoint.send(b"4", address_of_b)
        await b.until(3)
        assert b.received == [b"1", b"4", b"4"] and a.received == [b"2", b"3"]
        proxy.close()
        for end in (a, b):
            assert end.endpoint.transport is not None
            end.endpoint.transport.close()

    run(scenario())


def test_heal_undoes_the_faults_of_its_link() -> None:
    link = Link()
    for step in (Step(0, "delay", "a", ms=5), Step(0, "drop", "a", part=0.5), Step(0, "cut", "a")):
        link.change(step)
    assert (link.delay_ms, link.loss, link.cut) == (5, 0.5, True)
    link.change(Step(0, "heal", "a"))
    assert link == Link()
    with pytest.raises(ScheduleError, match="kill: not a step of a link; allowed: cut, heal"):
        link.change(Step(0, "kill", "a"))


@pytest.mark.parametrize("what", ["plan", "rate", "step", "ask"])
def test_a_step_not_playable_among_processes_is_rejected_before_any_is_started(
    what: str, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with ProcessCluster(tmp_path) as fleet:
            with pytest.raises(
                ScheduleError, match=rf"steps\[1\].what: found '{what}'; allowed among processes: kill"
            ):
                await fleet.play(Schedule(1, ("a",), (), 100, (Step(0, "kill", "a"), Step(1, what, "a"))))
            assert not fleet.records

    run(scenario())
