"""Settings, and helpers that force the order of events or frame messages, for several test modules."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest

from lanelift.net import (
    shutdown,
)
from lanelift.net.endpoint_list import upstream_number
from lanelift.net.shutdown import GracefulShutdown
from lanelift.policy.actions import Action, StartAttempt
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    Event,
    RequestArrived,
)
from lanelift.standins.http import Connection
from tests.fakes import SECOND, TEST_S, Client, FakeUpstream, answer
from tests.in_process import SETTINGS, EventRecorder, InProcessBalancer, in_process_balancer, script_balancer


@asynccontextmanager
async def shutting_down_balancer(
    monkeypatch: pytest.MonkeyPatch, **more: Any
) -> AsyncIterator[tuple[InProcessBalancer, asyncio.Event]]:
    """Runs a balancer in which SIGTERM stops the listener immediately; the event is set when it stops."""
    monkeypatch.setattr(shutdown, "ACCEPT_WHILE_DRAINING_S", 0.0)
    monkeypatch.setattr(shutdown, "EXIT_AFTER_DEADLINE_S", 2 * TEST_S)
    stopped = asyncio.Event()
    stop = GracefulShutdown.stop_listening

    def watched(graceful_shutdown: GracefulShutdown) -> None:
        stop(graceful_shutdown)
        stopped.set()

    monkeypatch.setattr(GracefulShutdown, "stop_listening", watched)
    async with in_process_balancer(**more) as lb:
        yield lb, stopped


def send_sigterm() -> None:
    os.kill(os.getpid(), signal.SIGTERM)


OK = b"HTTP/1.1 200 OK\r\n"


# half a megabyte; a piece taken from a wrong offset differs from the right piece
LONG_BODY = bytes(range(251)) * 2000


def response_with_length(body: bytes) -> bytes:
    return answer(200, body)


def chunked_response(body: bytes, size: int = 50_000) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    rows = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return OK + b"Transfer-Encoding: chunked\r\n\r\n" + rows + b"0\r\nX-Trailer: t\r\n\r\n"


async def read_response(client: Client) -> tuple[dict[str, str], bytes]:
    """Reads a response in any framing, as RFC 9112 describes it for a client."""
    head = (await client.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    assert first.split(" ")[1] == "200", first
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await client.reader.readline(), 16):
            body += await client.reader.readexactly(size)
            assert await client.reader.readexactly(2) == b"\r\n"
        assert await client.reader.readline() == b"\r\n"
        return headers, body
    if "content-length" in headers:
        return headers, await client.reader.readexactly(int(headers["content-length"]))
    return headers, await client.reader.read()


class StepwiseResponse:
    """A response that the first upstream writes step by step, on its newest connection `link`."""

    def __init__(self, lb: InProcessBalancer) -> None:
        self.lb = lb
        self.requested = asyncio.Event()
        lb.upstreams[0].script = [self._reply]

    async def _reply(self) -> bytes:
        self.requested.set()
        await asyncio.Event().wait()
        return b""

    @property
    def link(self) -> Connection:
        return self.lb.upstreams[0].links[-1]

    async def write(self, data: bytes) -> None:
        await self.requested.wait()
        assert self.link.transport is not None
        self.link.transport.write(data)

    async def end(self) -> None:
        assert self.link.transport is not None
        self.link.transport.close()


@asynccontextmanager
async def balancer_with_stepwise_response(
    **more: Any,
) -> AsyncIterator[tuple[InProcessBalancer, Client, StepwiseResponse]]:
    async with in_process_balancer(**more) as lb:
        steps = StepwiseResponse(lb)
        client = await lb.client()
        client.send("r1")
        yield lb, client, steps
        client.close()


R = AttemptResult


# Attempts may not be cancelled, and a handshake may take a minute.
LIMITS = replace(SETTINGS.limits, may_cancel=False, max_attempts=2, connect_timeout_ns=60 * SECOND)


NO_CANCEL = replace(SETTINGS, limits=LIMITS)


class Gate:
    """Holds back new connections to some upstreams until the gate is opened."""

    def __init__(self, *upstreams: FakeUpstream) -> None:
        loop = asyncio.get_running_loop()
        connect, ports = loop.create_connection, [u.port for u in upstreams]
        self.reached, self.open = asyncio.Event(), asyncio.Event()

        async def held(factory: Any, host: str, port: int, **more: Any) -> Any:
            if port in ports:
                self.reached.set()
                await self.open.wait()
            return await connect(factory, host, port, **more)

        loop.create_connection = held  # type: ignore[method-assign, assignment]


def retry_on_second_upstream(monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder) -> None:
    """Installs a balancer that sends each request to `s-0`, and to `s-1` if the first attempt fails."""

    def acts(event: Event, _: int) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [StartAttempt(event.request, upstream_number("s-0"))]
        if isinstance(event, AttemptFinished) and event.attempt == 0 and event.result is not R.OK:
            return [] if event.request_complete else [StartAttempt(event.request, upstream_number("s-1"))]
        return []

    script_balancer(monkeypatch, recorded, acts)


def request_ids(upstream: FakeUpstream) -> list[str]:
    return [m.headers["x-request-id"] for m in upstream.seen]


DISCONNECTS = {"end": lambda client: client.close(), "reset": lambda client: client.reset()}


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def request_head(name: str, kind: str = "pay", *rows: str) -> bytes:
    lines = ["Host: o", f"X-Request-Id: {name}", *rows]
    return f"POST /{kind} HTTP/1.1\r\n{''.join(line + chr(13) + chr(10) for line in lines)}\r\n".encode()


def request_with_length(name: str, body: bytes, kind: str = "pay") -> bytes:
    return request_head(name, kind, f"Content-Length: {len(body)}") + body


def chunked_request(name: str, body: bytes, kind: str = "pay", size: int = 30_000) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    rows = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return request_head(name, kind, "Transfer-Encoding: chunked") + rows + b"0\r\n\r\n"
