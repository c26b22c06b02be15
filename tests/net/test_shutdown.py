"""Drain and SIGTERM, with the orders of events in which a request could be lost."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from lanelift.net import connection_phases, shutdown
from lanelift.net.connection_phases import Phase
from lanelift.net.frontend import Frontend
from lanelift.net.shutdown import LONGEST_DEADLINE_S, GracefulShutdown
from tests.fakes import SECOND, TEST_S, free_port, never, run
from tests.in_process import SETTINGS, EventRecorder, InProcessBalancer, in_process_balancer
from tests.net.support import CHUNKED, R, send_sigterm


@pytest.mark.parametrize("begun", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 70_000])
def test_a_request_with_a_deadline_beyond_the_end_is_answered_before_it(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder, begun: bytes
) -> None:
    """SIGTERM arrives, and a client's deadline is later than the end of the process: deadlines above 3 s
    count as 3 s for the time of SIGKILL, and the process must end before that. Before the end the client gets
    a 504; if its response is in progress, it gets a reset, which shows that the response is incomplete.
    """
    monkeypatch.setattr(shutdown, "EXIT_AFTER_DEADLINE_S", 0.1 - LONGEST_DEADLINE_S)
    quote = replace(SETTINGS.classes["quote"], deadline_ns=90 * SECOND)

    async def test() -> None:
        async with in_process_balancer(settings=replace(SETTINGS, classes={"quote": quote})) as lb:
            client = await lb.client_with_open_request("r1", X_Deadline_Ms=90_000)
            if begun:
                lb.upstreams[0].links[0].write(begun)
                await client.reader.readexactly(70_000)
            send_sigterm()
            if begun:
                with pytest.raises(ConnectionError):
                    while await client.reader.read(65536):
                        pass
            else:
                assert (await client.answer()).status == 504

    run(test())


@pytest.mark.usefixtures("settled")
def test_a_connection_whose_response_ends_after_idle_ones_were_closed_is_not_kept(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """A balancer drains while a response is being streamed. The response's head was written before the drain,
    and did not say that the response is the last. Idle connections are closed meanwhile. The connection is
    closed after the response, and connections are kept again after a rejoin.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_WHILE_DRAINING_S", 0.0)
    monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, Phase.IDLE, 2 * TEST_S)
    idle_closed: list[GracefulShutdown] = []
    close_idle, frontends = GracefulShutdown.close_idle, []
    init = Frontend.__init__

    def watched(graceful_shutdown: GracefulShutdown) -> None:
        close_idle(graceful_shutdown)
        idle_closed.append(graceful_shutdown)
        recorded.notify()

    def recording_init(frontend: Frontend, *args: Any, **more: Any) -> None:
        init(frontend, *args, **more)
        frontends.append(frontend)

    monkeypatch.setattr(GracefulShutdown, "close_idle", watched)
    monkeypatch.setattr(Frontend, "__init__", recording_init)

    async def test() -> None:
        async with in_process_balancer() as lb:
            lb.upstreams[0].script = [CHUNKED + b"3\r\none\r\n"]
            client = await lb.client()
            client.send("r1")
            await client.reader.readuntil(b"one\r\n")
            frontends[0].shutdown.drain()
            await recorded.until(lambda: idle_closed)
            lb.upstreams[0].links[0].write(b"0\r\n\r\n")
            assert await client.reader.readuntil(b"0\r\n\r\n") == b"0\r\n\r\n"
            await client.ended()
            assert frontends[0].shutdown.rejoin()
            kept = await lb.client()
            assert (await kept.request("r2")).status == 200
            assert (await kept.request("r3")).status == 200

    run(test())


SIGTERM_AT_THE_LISTENER = """
import os, signal, socket, sys
from lanelift.net.frontend import Frontend
import lanelift.__main__ as main
init = Frontend.__init__
def init_and_sigterm(frontend, dispatcher, listener, *args, **more):
    init(frontend, dispatcher, listener, *args, **more)
    with socket.create_connection(listener.getsockname()) as early:
        early.sendall(b"GET /ready HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n")
        kept.append(early.dup())
    os.kill(os.getpid(), signal.SIGTERM)
kept = []
Frontend.__init__ = init_and_sigterm
code = main.main()
if kept:
    print(kept[0].recv(12).decode(), flush=True)
sys.exit(code)
"""


def test_sigterm_as_the_listener_opens_loses_no_request(tmp_path: Path) -> None:
    """SIGTERM arrives just when the listener opens, while a client is connected. Without a handler the signal
    would end the process before that client is answered. The client is answered, and the exit code is 0.
    """

    async def test() -> None:
        async with in_process_balancer() as lb:
            path = tmp_path / "config.json"
            code, said = 2, b""
            while code == 2:  # the start failed: another process had taken the port
                path.write_text(config_text(f"127.0.0.1:{free_port()}", lb))
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-c",
                    SIGTERM_AT_THE_LISTENER,
                    stdout=asyncio.subprocess.PIPE,
                    env={**os.environ, "BALANCER_CONFIG": str(path)},
                )
                said, _ = await process.communicate()
                assert process.returncode is not None
                code = process.returncode
            assert (code, said) == (0, b"HTTP/1.1 503\n")

    run(test())


def config_text(listen: str, lb: InProcessBalancer) -> str:
    return json.dumps(
        {
            "listen": listen,
            "discovery": f"127.0.0.1:{lb.discovery.port}",
            "seed": "7",
            "settings": {"profiles": [{"name": "quote", "repeat": "read_like"}]},
        }
    )


@asynccontextmanager
async def balancer_with_exit_time(
    monkeypatch: pytest.MonkeyPatch, exit_s: float
) -> AsyncIterator[InProcessBalancer]:
    """Runs a balancer in which SIGTERM stops the listener immediately; the process ends `exit_s` + 3 s after
    SIGTERM."""
    monkeypatch.setattr(shutdown, "ACCEPT_WHILE_DRAINING_S", 0.0)
    monkeypatch.setattr(shutdown, "EXIT_AFTER_DEADLINE_S", exit_s)
    async with in_process_balancer() as lb:
        yield lb


def test_a_request_that_comes_long_after_sigterm_is_answered_before_the_end(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """SIGTERM arrives when half of a request has been received, and the client sends the rest later. The
    request's own deadline is later than the end of the process. The request is answered before the process
    ends.
    """

    async def test() -> None:
        async with balancer_with_exit_time(monkeypatch, -2.0) as lb:
            lb.upstreams[0].script = [never]
            client = await lb.client()
            client.writer.write(b"GET /quote HTTP/1.1\r\nHost: origin.svc\r\n")
            await lb.until_watching()
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(0)
            assert (await client.raw(b"X-Request-Id: r1\r\nX-Deadline-Ms: 3000\r\n\r\n")).status in (503, 504)
            assert recorded.results() == [R.TIMEOUT]

    run(test())


@pytest.mark.usefixtures("settled")
def test_a_connection_whose_last_answer_began_before_sigterm_is_not_kept(
    monkeypatch: pytest.MonkeyPatch, recorded: EventRecorder
) -> None:
    """SIGTERM arrives while a response is being streamed. The response's head did not say that the response
    is the last, and the response ends after idle connections have been closed. The connection is closed after
    the response: otherwise requests could arrive on it until the process ends.
    """

    async def test() -> None:
        monkeypatch.setitem(connection_phases.PHASE_TIMEOUT_S, connection_phases.Phase.IDLE, 2 * TEST_S)
        async with balancer_with_exit_time(monkeypatch, 2 * TEST_S) as lb:
            lb.upstreams[0].script = [CHUNKED + b"3\r\none\r\n"]
            client = await lb.client()
            client.send("r1")
            await client.reader.readuntil(b"one\r\n")
            closed = asyncio.Event()
            close_idle = shutdown.GracefulShutdown.close_idle

            def watched(graceful_shutdown: shutdown.GracefulShutdown) -> None:
                close_idle(graceful_shutdown)
                closed.set()

            monkeypatch.setattr(shutdown.GracefulShutdown, "close_idle", watched)
            os.kill(os.getpid(), signal.SIGTERM)
            await closed.wait()
            lb.upstreams[0].links[0].write(b"0\r\n\r\n")
            assert await client.reader.readuntil(b"0\r\n\r\n") == b"0\r\n\r\n"
            await client.ended()

    run(test())
