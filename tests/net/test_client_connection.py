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
from tests.net.support import DISCONNECTS, NO_CANCEL, R, request_ids


def test_ready_succeeds_only_while_the_balancer_can_serve() -> None:
    async def test() -> None:
        async with in_process_balancer(cached_endpoints=None) as lb:
            await lb.until_watching()
            assert (await lb.request("r", path="/ready")).status == 200
            await lb.change_endpoints(lb.upstreams[0].row("Terminating"))
            assert (await lb.request("r", path="/ready")).status == 503

    run(test())


def test_invalid_input_is_answered_and_other_clients_are_served() -> None:
    """Clients send bytes that are not HTTP, or invalid requests. Each gets an answer with the right status,
    and another client is served.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            other = await lb.client()
            other.send("r0")
            for junk, status in [
                (b"\x00\x01\r\n\r\n", 400),
                (b"GET /quote HTTP/1.1\r\nno colon\r\n\r\n", 400),
                (b"GET /quote HTTP/1.1\r\n\r\n", 400),
                (b"GET /" + b"x" * 70_000, 431),
                (raw_request("Content-Length: -4"), 400),
            ]:
                bad = await lb.client()
                assert (await bad.raw(junk)).status == status, junk[:40]
                await bad.ended()
            client = await lb.client()
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


def test_a_connection_carries_pipelined_requests_in_order() -> None:
    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            client.send("r1")
            client.send("r2")
            for _ in range(2):
                assert (await read_message(client.reader)).body == b"s-0"
            assert [m.headers["x-request-id"] for m in lb.upstreams[0].seen] == ["r1", "r2"]

    run(test())


def test_invalid_input_right_behind_a_request_is_answered_after_it() -> None:
    """A request and bytes that are not HTTP arrive together. Both are answered, though the error was found
    while the request was open.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            client.send("r1", "pay", "POST", Transfer_Encoding="chunked")
            client.writer.write(b"1\r\nx\r\n0\r\n\r\nno HTTP at all\r\n\r\n")
            assert [(await client.answer()).status for _ in range(2)] == [200, 400]
            await client.ended()

    run(test())


def test_a_flood_of_bytes_after_an_open_request_closes_the_connection() -> None:
    """A client sends a flood of bytes while its request is open. Buffering them would fill the memory, so
    its connection is closed, and other clients are served.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client_with_open_request("r1")
            client.writer.write(b"x" * 1_000_000)
            await client.ended()
            assert (await lb.request("r2")).status == 200

    run(test())


@pytest.mark.skipif(sys.platform != "linux", reason="only Linux has this TCP_INFO")
def test_a_client_that_disconnected_before_its_request_was_read_is_not_served(
    recorded: EventRecorder,
) -> None:
    """A client sends a request and disconnects before the loop reads it, on a new connection or one that
    was used before. Serving a disconnected client would delay other clients, so the balancer does not begin
    the request.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            used = await lb.client()
            assert (await used.request("r0")).status == 200
            # The loop does not run between a client's request and its disconnection, so the balancer finds
            # both together, on a connection that is still in the backlog and on one that was used before.
            for client in (used, await lb.client()):
                client.send("gone")
                client.close()
            with socket.create_connection(lb.address) as early:
                early.sendall(b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: early\r\n\r\n")
            assert (await lb.request("r1")).status == 200
            assert [e.request for e in recorded.of(RequestArrived)] == ["r0", "r1"]
            assert [m.headers["x-request-id"] for m in lb.upstreams[0].seen] == ["r0", "r1"]

    run(test())


@pytest.mark.skipif(sys.platform != "linux", reason="only Linux has this TCP_INFO")
def test_a_deadline_counts_from_when_the_request_came_not_from_when_it_was_read(
    recorded: EventRecorder,
) -> None:
    """The loop is late, and requests wait in the kernel for a while. The deadlines count from when the
    requests reached the kernel, not from when the loop read them.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            late = 0.2
            used = await lb.client()
            assert (await used.request("r0")).status == 200
            used.send("r1")
            with socket.create_connection(lb.address) as new:
                new.sendall(b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n\r\n")
                sent_ns = time.monotonic_ns()
                time.sleep(late)  # blocks the event loop
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
        # A server that follows the chunked coding would read the bytes after the empty chunk as another
        # request.
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
def test_an_ambiguous_request_is_rejected(data: bytes, status: int) -> None:
    """A request is ambiguous: it has two lengths, a length and a coding, or a repeated header. An upstream
    might parse it differently from this balancer (request smuggling). It is rejected, and nothing of it
    reaches an upstream.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            client = await lb.client()
            assert (await client.raw(data)).status == status
            await client.ended()
            assert (await lb.request("r3")).status == 200
            assert [m.headers["x-request-id"] for m in lb.upstreams[0].seen] == ["r3"]

    run(test())


def test_a_request_of_a_client_that_reset_its_connection_is_not_begun(recorded: EventRecorder) -> None:
    """A client sends a request and resets its connection, and the loop finds both in one iteration. The
    balancer queries the kernel, and does not begin the request.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            assert (await lb.request("r0")).status == 200
            client = await lb.client()
            await recorded.until(lambda: recorded.results() == [R.OK])
            client.send("r1")
            client.reset()
            assert (await lb.request("r2")).status == 200
            assert [e.request for e in recorded.of(RequestArrived)] == ["r0", "r2"]

    run(test())


@pytest.mark.parametrize("how", DISCONNECTS)
def test_a_pipelined_request_is_not_begun_once_its_client_has_disconnected(
    recorded: EventRecorder, how: str
) -> None:
    """A client sends two requests and disconnects while the first is open. Attempts may not be cancelled,
    so the first continues at its upstream. When the first ends, the second must not be begun.
    """

    async def test() -> None:
        async with in_process_balancer(settings=NO_CANCEL) as lb:
            go_on = asyncio.Event()

            async def slow() -> bytes:
                await go_on.wait()
                return answer(200, b"slow")

            lb.upstreams[0].script = [slow]
            client = await lb.client()
            client.send("first")
            client.send("ahead")
            await lb.upstreams[0].until(lambda: len(lb.upstreams[0].seen) == 1)
            DISCONNECTS[how](client)
            await recorded.until(lambda: recorded.of(ClientDisconnected))
            go_on.set()
            await recorded.until(lambda: recorded.results() == [R.OK])
            assert (await lb.request("last")).status == 200
            assert request_ids(lb.upstreams[0]) == ["first", "last"]

    run(test())
