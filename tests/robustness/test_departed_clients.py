"""Nothing is sent for a client that has gone, and no id runs twice."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from pathlib import Path

import pytest

from tests.fakes import answer, run
from tests.robustness.clients import BODY
from tests.robustness.support import (
    Call,
    Daemon,
    Upstream,
    ask,
    connected,
    daemon,
    head,
    in_chunks,
    read_answer,
    successor,
    with_length,
)

HELD_UP_S = 0.3
MAX_START_AFTER_CLOSE_S = 0.1


class Recorder:
    """Records when the requests of an upstream were whole, and answers them after a while."""

    def __init__(self, takes_s: float = 0.02) -> None:
        self.takes_s = takes_s
        self.executed: list[tuple[str, float]] = []

    async def __call__(self, call: Call) -> None:
        await call.read_body()
        self.executed.append((call.id, time.monotonic()))
        await asyncio.sleep(self.takes_s)
        await call.write(answer(200, call.id.encode()))

    def times(self, name: str) -> int:
        return sum(executed == name for executed, _ in self.executed)


async def leave_while_stopped(balancer: Daemon, requests: bytes, clients: int = 6) -> float:
    """Clients send and close while the balancer is stopped; returns when they closed."""
    socks = [await connected(balancer.address, 0, 4 << 20) for _ in range(clients)]
    await asyncio.sleep(0.2)
    async with balancer.stopped():
        for number, sock in enumerate(socks):
            with suppress(TimeoutError):
                async with asyncio.timeout(0.1):
                    data = requests.replace(b"gone", b"gone%d" % number)
                    await asyncio.get_running_loop().sock_sendall(sock, data)
        for sock in socks:
            sock.close()
        closed_s = time.monotonic()
        await asyncio.sleep(HELD_UP_S)
    await asyncio.sleep(1.0)
    return closed_s


@pytest.mark.parametrize(
    "requests",
    [
        head("gone"),
        b"".join(head(f"gone-{each}") for each in range(200)),
        b"".join(head(f"gone-{each}") for each in range(16_000)),
        in_chunks("gone", BODY[:100_000]) + b"".join(head(f"gone-{each}") for each in range(16_000)),
        with_length("gone", BODY[:1_000_000]),
    ],
    ids=["one", "some", "more than the kernel holds", "behind a long body", "long body"],
)
def test_requests_of_a_client_that_closed_with_much_unread_are_not_forwarded(
    tmp_path: Path, requests: bytes
) -> None:
    """A client sends more than the kernel holds and closes; its close is hidden behind unread requests."""
    recorder = Recorder()

    async def test() -> None:
        async with daemon(tmp_path, [Upstream(f"s-{i}", recorder) for i in range(4)]) as balancer:
            await asyncio.gather(*(ask(balancer.address, head(f"warm-{i}")) for i in range(40)))
            closed_s = await leave_while_stopped(balancer, requests)
            late = [
                name
                for name, at_s in recorder.executed
                if name.startswith("gone") and at_s > closed_s + MAX_START_AFTER_CLOSE_S
            ]
            assert not late

    run(test())


@pytest.mark.parametrize("kind", ["pay", "fee"])
@pytest.mark.parametrize("returns_after_s", [0.01, 0.6])
@pytest.mark.parametrize("body", [b"x" * 10, BODY[:100_000]], ids=["short", "long"])
def test_an_id_that_returns_after_its_client_left_does_not_run_again(
    tmp_path: Path, kind: str, returns_after_s: float, body: bytes
) -> None:
    """A client leaves while its request runs, and another client sends the same id again."""
    recorder = Recorder(0.3)

    async def test() -> None:
        async with daemon(tmp_path, [Upstream(f"s-{i}", recorder) for i in range(4)]) as balancer:
            _, writer = await asyncio.open_connection(*balancer.address)
            writer.write(with_length("same", body, kind))
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(returns_after_s)
            again = await ask(balancer.address, with_length("same", body, kind))
            assert (recorder.times("same"), again.status) == (1, 409)

    run(test())


@pytest.mark.parametrize("starts_after", [False, True], ids=["both run", "starts after"])
@pytest.mark.parametrize("leaves", [False, True], ids=["stays", "leaves"])
@pytest.mark.parametrize("kind", ["pay", "fee"])
def test_an_id_that_is_open_in_the_other_process_of_an_upgrade_does_not_run_again(
    tmp_path: Path, kind: str, leaves: bool, starts_after: bool
) -> None:
    """A request runs for the old process of an upgrade, and the same id is sent to the new process."""
    recorder = Recorder(0.3)

    async def test() -> None:
        upstreams = [Upstream(f"s-{i}", recorder) for i in range(4)]
        with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
            async with daemon(tmp_path, upstreams, listener=listener) as old:
                reader, writer = await asyncio.open_connection(*old.address)
                writer.write(head("warm"))
                await read_answer(reader)
                if starts_after:
                    writer.write(with_length("same", b"x", kind))
                    await asyncio.sleep(0.1)
                async with successor(tmp_path, old, listener):
                    if not starts_after:
                        writer.write(with_length("same", b"x", kind))
                        await asyncio.sleep(0.1)
                    if leaves:
                        writer.close()
                    async with old.stopped():  # so that the new process accepts the connection
                        again = await ask(old.address, with_length("same", b"x", kind))
                    assert (recorder.times("same"), again.status) == (1, 409)
                writer.close()

    run(test())
