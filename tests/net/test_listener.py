"""The listener does not serve clients that have disconnected in its backlog."""

from __future__ import annotations

import asyncio

import pytest

from lanelift.daemon_config import RESERVED_SOCKETS
from lanelift.policy.events import (
    RequestArrived,
)
from tests.fakes import answer, run
from tests.in_process import EventRecorder, in_process_balancer
from tests.net.support import DISCONNECTS, NO_CANCEL


@pytest.mark.parametrize("how", DISCONNECTS)
def test_a_request_whose_client_disconnects_in_the_backlog_is_not_begun(
    recorded: EventRecorder, how: str
) -> None:
    """The number of clients is at its cap, and a client that waits in the backlog has sent its request. The
    client disconnects before it is accepted. Its request is not begun, and the next client in the backlog is
    served.
    """

    async def test() -> None:
        async with in_process_balancer(
            settings=NO_CANCEL, sockets=RESERVED_SOCKETS + 2 * 2
        ) as lb:  # the cap is two clients
            go_on = asyncio.Event()

            async def slow() -> bytes:
                await go_on.wait()
                return answer(200, b"slow")

            lb.upstreams[0].script = [slow, slow]
            busy = [await lb.client() for _ in range(2)]
            for number, client in enumerate(busy):
                client.send(f"b{number}")
            await recorded.until(lambda: len(recorded.of(RequestArrived)) == 2)
            disconnects, stays = await lb.client(), await lb.client()
            disconnects.send("gone")
            DISCONNECTS[how](disconnects)
            stays.send("last")
            go_on.set()
            assert (await stays.answer()).status == 200
            assert [e.request for e in recorded.of(RequestArrived)] == ["b0", "b1", "last"]

    run(test())
