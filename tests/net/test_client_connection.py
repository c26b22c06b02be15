"""The reading half of a client's connection."""

from __future__ import annotations

import asyncio
import socket
import sys
import time

import pytest

from lanelift.policy.events import (
    ClientDisconnected,
    RequestArrived,
)
from tests.fakes import SECOND, answer, read_message, run
from tests.in_process import CLASSES, EventRecorder, in_process_balancer
from tests.net.support import LEAVES, PATIENT, R, ids


def test_ready_once_the_module_can_serve() -> None:
    async def test() -> None:
        async with in_process_balancer(cached_endpoints=None) as w:
            await w.watching()
            assert (await w.request("r", path="/ready")).status == 200
            await w.tell(w.upstreams[0].row("Terminating"))
            assert (await w.request("r", path="/ready")).status == 503

    run(test())


def test_bad_input_gets_an_answer_and_harms_nobody() -> None:
    """Clients send what is no HTTP, or what a request must not be. Each gets an answer with the right
    status, and a client beside them is served.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            other = await w.client()
            other.send("r0")
            for junk, status in [
                (b"\x00\x01\r\n\r\n", 400),
                (b"GET /quote HTTP/1.1\r\nno colon\r\n\r\n", 400),
                (b"GET /quote HTTP/1.1\r\n\r\n", 400),
                (b"GET /" + b"x" * 70_000, 431),
                (raw_request("Content-Length: -4"), 400),
            ]:
                bad = await w.client()
                assert (await bad.raw(junk)).status == status, junk[:40]
                await bad.ended()
            client = await w.client()
            assert (await client.request("r1", path="/nowhere")).status == 404
            assert (await client.request("r2", "unheard-of")).status == 404
            assert (await client.request("", X_Request_Id=None)).status == 400
            assert (await client.request("r3", X_Deadline_Ms="soon")).status == 400
            assert (await client.request("r4", X_Cost_Hint="-1")).status == 400
            assert (await client.request("r5", X_Tenant="stranger")).status == 200
            assert (await client.request("r6", X_Deadline_Ms=0)).status == 503
            assert (await read_message(other.reader)).status == 200
            assert (await other.request("r7")).status == 200

    run(test())


def test_requests_follow_each_other_on_a_connection_also_when_sent_ahead() -> None:
    async def test() -> None:
        async with in_process_balancer() as w:
            client = await w.client()
            client.send("r1")
            client.send("r2")
            for _ in range(2):
                assert (await read_message(client.reader)).body == b"s-0"
            assert [m.headers["x-request-id"] for m in w.upstreams[0].seen] == ["r1", "r2"]

    run(test())


def test_a_flood_behind_an_open_request_is_cut_off() -> None:
    """A client sends a flood of bytes while its request is open. It would fill the memory, so its
    connection is closed, and others are served.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            client = await w.held("r1")
            client.writer.write(b"x" * 1_000_000)
            await client.ended()
            assert (await w.request("r2")).status == 200

    run(test())


@pytest.mark.skipif(sys.platform != "linux", reason="other kernels do not tell")
def test_a_client_that_left_before_it_was_read_is_not_served(recorded: EventRecorder) -> None:
    """A client sends a request and disconnects before the loop reads it, on a new connection or one that
    was used before. Work for it would make those behind it late. Its request is not begun.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            used = await w.client()
            assert (await used.request("r0")).status == 200
            # No turn of the loop between a client's request and its leaving: the balancer finds both at once,
            # on a connection that is still in the backlog and on one that was used before.
            for client in (used, await w.client()):
                client.send("gone")
                client.close()
            with socket.create_connection(w.address) as early:
                early.sendall(b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: early\r\n\r\n")
            assert (await w.request("r1")).status == 200
            assert [e.request for e in recorded.of(RequestArrived)] == ["r0", "r1"]
            assert [m.headers["x-request-id"] for m in w.upstreams[0].seen] == ["r0", "r1"]

    run(test())


@pytest.mark.skipif(sys.platform != "linux", reason="other kernels do not tell")
def test_a_request_counts_from_when_it_came_not_from_when_it_was_read(recorded: EventRecorder) -> None:
    """The loop is late, and requests lie in the kernel for a while. Their deadlines count from when they
    came, not from when they were read.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            late = 0.2
            used = await w.client()
            assert (await used.request("r0")).status == 200
            used.send("r1")
            with socket.create_connection(w.address) as new:
                new.sendall(b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n\r\n")
                sent_ns = time.monotonic_ns()
                time.sleep(late)  # the loop stands still
                await recorded.until(lambda: len(recorded.of(RequestArrived)) == 3)
            for arrival in recorded.of(RequestArrived)[1:]:
                assert arrival.received_ns < sent_ns + late / 2 * SECOND
                assert arrival.deadline_ns < sent_ns + CLASSES["quote"].deadline_ns + late / 2 * SECOND

    run(test())


def raw_request(*headers: str, start: str = "POST /pay HTTP/1.1", body: bytes = b"") -> bytes:
    rows = ["Host: h", "X-Request-Id: r1", "X-Class: pay", *headers]
    return "\r\n".join([start, *rows, "", ""]).encode() + body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        # What stands behind the chunk without length would be read as a request by whoever goes by the
        # coding.
        (
            raw_request(
                "Content-Length: 60",
                "Transfer-Encoding: chunked",
                body=b"0\r\n\r\nGET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n\r\n",
            ),
            400,
        ),
        (raw_request("Content-Length: 4", "Content-Length: 5", body=b"body!"), 400),
        (raw_request("Content-Length: 60000000"), 413),
        (raw_request("Content-Length: -4", body=b"body"), 400),
        (raw_request("X-Request-Id: r2"), 400),
        (raw_request("X-Class: quote"), 400),
        (raw_request("X-Deadline-Ms: 10", "X-Deadline-Ms: 3000"), 400),
        (raw_request(start="CONNECT /pay HTTP/1.1"), 405),
        (raw_request("X-Pad: " + "p" * 20_000), 431),
    ],
)
def test_a_request_that_could_be_read_in_two_ways_is_turned_away(data: bytes, status: int) -> None:
    """A request is ambiguous: with two lengths, a length and a coding, or a repeated header. An upstream
    might read it otherwise than this balancer (request smuggling). It is rejected, and nothing of it
    reaches an upstream.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            client = await w.client()
            assert (await client.raw(data)).status == status
            await client.ended()
            assert (await w.request("r3")).status == 200
            assert [m.headers["x-request-id"] for m in w.upstreams[0].seen] == ["r3"]

    run(test())


def test_a_request_of_a_client_that_reset_its_connection_is_not_begun(recorded: EventRecorder) -> None:
    """A client sends a request and resets its connection, and the loop finds both in one turn. The kernel
    is asked, and the request is not begun.
    """

    async def test() -> None:
        async with in_process_balancer() as w:
            assert (await w.request("r0")).status == 200
            client = await w.client()
            await recorded.until(lambda: recorded.results() == [R.OK])
            client.send("r1")
            client.reset()
            assert (await w.request("r2")).status == 200
            assert [e.request for e in recorded.of(RequestArrived)] == ["r0", "r2"]

    run(test())


@pytest.mark.parametrize("how", LEAVES)
def test_what_a_client_sent_ahead_is_not_begun_once_it_has_left(recorded: EventRecorder, how: str) -> None:
    """A client sends two requests and disconnects while the first is open. Attempts may not be cancelled,
    so the first goes on at its upstream. Its end must not begin the second.
    """

    async def test() -> None:
        async with in_process_balancer(settings=PATIENT) as w:
            go_on = asyncio.Event()

            async def slow() -> bytes:
                await go_on.wait()
                return answer(200, b"slow")

            w.upstreams[0].script = [slow]
            client = await w.client()
            client.send("first")
            client.send("ahead")
            await w.upstreams[0].until(lambda: len(w.upstreams[0].seen) == 1)
            LEAVES[how](client)
            await recorded.until(lambda: recorded.of(ClientDisconnected))
            go_on.set()
            await recorded.until(lambda: recorded.results() == [R.OK])
            assert (await w.request("last")).status == 200
            assert ids(w.upstreams[0]) == ["first", "last"]

    run(test())
