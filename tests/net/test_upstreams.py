"""Attempts at unreachable upstreams, and load probes."""

from __future__ import annotations

from dataclasses import replace

from lanelift.policy.events import (
    LoadProbeFinished,
)
from tests.fakes import free_port, run, unresponsive_listener
from tests.in_process import SETTINGS, EventRecorder, in_process_balancer
from tests.net.support import R


def test_a_request_is_rejected_if_its_upstream_refuses_the_connection(recorded: EventRecorder) -> None:
    """An upstream's port refuses connections. The request never ran, so it is rejected, whatever its
    class."""

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].port = free_port()
            await lb.change_endpoints(lb.upstreams[0].row())
            assert (await lb.request("r1", "pay", "POST")).status == 503  # rejected: the request never ran
            assert recorded.results() == [R.CONNECT_FAILED]

    run(test())


def test_a_handshake_that_is_never_answered_is_given_up(recorded: EventRecorder) -> None:
    """A handshake is never answered. The attempt is given up at the limit in the settings, and the request is
    rejected, as the request never ran.
    """

    async def test() -> None:
        limits = replace(SETTINGS.limits, connect_timeout_ns=100_000_000)
        with unresponsive_listener() as address:
            async with in_process_balancer(settings=replace(SETTINGS, limits=limits)) as lb:
                lb.upstreams[0].port = address[1]
                await lb.change_endpoints(lb.upstreams[0].row())
                assert (await lb.request("r1", "pay", "POST")).status == 503
                assert recorded.results() == [R.CONNECT_FAILED]

    run(test())


def test_each_probe_has_one_result(recorded: EventRecorder) -> None:
    async def test() -> None:
        settings = replace(
            SETTINGS,
            limits=replace(SETTINGS.limits, load_probes=True),
            load_report_fields=("inflight", "queue"),
        )
        async with in_process_balancer(settings=settings) as lb:
            assert (await lb.request("r1")).status == 200
            probes = [m for m in lb.upstreams[0].seen if m.start[1] == "/status/load"]
            assert probes and "x-request-id" not in probes[0].headers
            results = recorded.of(LoadProbeFinished)
            assert len(results) == len(probes)
            assert results[0].result is R.OK and results[0].report == {"inflight": 3.0, "queue": 1.0}

    run(test())
