"""During an upgrade, an id that is open in one process is refused by the other, until it is answered."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from tests.fakes import answer, run
from tests.robustness.clients import BODY
from tests.robustness.support import (
    Call,
    Daemon,
    Upstream,
    ask,
    daemon,
    head,
    in_chunks,
    read_answer,
    successor,
    with_length,
)

DEADLINE_MS = 3000


class GatedUpstream:
    """Answers the request `same` when the gate is opened, and others at once."""

    def __init__(self) -> None:
        self.gate = asyncio.Event()
        self.runs = Counter[str]()

    async def __call__(self, call: Call) -> None:
        await call.read_body()
        self.runs[call.id] += 1
        if call.id == "same":
            await self.gate.wait()
        await call.write(answer(200, call.id.encode()))


def request_of(kind: str, body: bytes = b"x") -> bytes:
    return (
        head("same", kind, DEADLINE_MS) if kind == "quote" else with_length("same", body, kind, DEADLINE_MS)
    )


REQUESTS: dict[str, Callable[[], bytes]] = {
    "safe": lambda: request_of("quote"),
    "keyed": lambda: request_of("fee"),
    "unsafe": lambda: request_of("pay"),
    "unsafe, long": lambda: request_of("pay", BODY[:100_000]),
    "keyed, long in chunks": lambda: in_chunks("same", BODY[:100_000], "fee", DEADLINE_MS),
}


@asynccontextmanager
async def upgrade(folder: Path, upstream: GatedUpstream) -> AsyncIterator[tuple[Daemon, Daemon]]:
    """Runs both processes of an upgrade; the block begins when both are ready."""
    upstreams = [Upstream(f"s-{number}", upstream) for number in range(3)]
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
        async with (
            daemon(folder, upstreams, listener=listener) as old,
            successor(folder, old, listener) as new,
        ):
            yield old, new


async def ask_one_of(balancer: Daemon, other: Daemon, request: bytes) -> int:
    """Sends a request that the first process accepts, as the other one is stopped; returns the status."""
    async with other.stopped():
        got = await ask(balancer.address, request)
    return got.status


async def open_in(
    balancer: Daemon, other: Daemon, request: bytes, upstream: GatedUpstream
) -> asyncio.Task[int]:
    """Opens a request in the first process; returns the task that reads its answer."""
    async with other.stopped():
        reader, writer = await asyncio.open_connection(*balancer.address)
        writer.write(request)
        async with asyncio.timeout(5.0):
            while not upstream.runs["same"]:
                await asyncio.sleep(0.005)

    async def status() -> int:
        got = await read_answer(reader)
        writer.close()
        return got.status

    return asyncio.create_task(status())


@pytest.mark.parametrize("in_new", [False, True], ids=["open in the old", "open in the new"])
@pytest.mark.parametrize("again", ["safe", "keyed", "unsafe"])
@pytest.mark.parametrize("first", REQUESTS)
def test_an_open_id_is_refused_by_the_other_process_whatever_the_classes(
    tmp_path: Path, first: str, again: str, in_new: bool
) -> None:
    """Ids of classes that are safe to repeat were known to their own process only: the other one served a bad
    client's request with the id of another client's open request."""
    upstream = GatedUpstream()

    async def test() -> None:
        async with upgrade(tmp_path, upstream) as processes:
            owner, other = processes[::-1] if in_new else processes
            answered = await open_in(owner, other, REQUESTS[first](), upstream)
            assert await ask_one_of(other, owner, REQUESTS[again]()) == 409
            assert await ask_one_of(owner, other, REQUESTS[again]()) == 409
            upstream.gate.set()
            assert await answered == 200
            assert upstream.runs["same"] == 1

    run(test())


def test_an_id_that_is_answered_is_free_again_in_both_processes(tmp_path: Path) -> None:
    upstream = GatedUpstream()
    upstream.gate.set()

    async def test() -> None:
        async with upgrade(tmp_path, upstream) as (old, new):
            for _ in range(3):
                assert await ask_one_of(old, new, REQUESTS["safe"]()) == 200
                assert await ask_one_of(new, old, REQUESTS["safe"]()) == 200
            assert upstream.runs["same"] == 6

    run(test())


def test_an_id_that_was_open_in_a_killed_process_is_free(tmp_path: Path) -> None:
    upstream = GatedUpstream()

    async def test() -> None:
        async with upgrade(tmp_path, upstream) as (old, new):
            answered = await open_in(old, new, REQUESTS["safe"](), upstream)
            old.process.kill()
            old.process.wait()
            assert await answered == 0
            upstream.gate.set()
            assert (await ask(new.address, REQUESTS["safe"]())).status == 200

    run(test())
