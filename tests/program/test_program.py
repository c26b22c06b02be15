"""The program as the platform starts it: configuration, signals and exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.fakes import Client, FakeDiscovery, FakeUpstream, Message, free_port, read_message, run

SETTINGS = {
    "profiles": [
        {"name": "quote", "repeat": "read_like", "aim_ns": 2_000_000_000, "hard_limit_ns": 2_500_000_000}
    ]
}


def config(**changes: Any) -> dict[str, Any]:
    return {
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "8c1f",
        "settings": SETTINGS,
        **changes,
    }


@pytest.mark.parametrize(
    "text",
    [
        None,
        "{not json",
        "[]",
        json.dumps(config(listen="nowhere")),
        json.dumps(config(seed="not hex")),
        json.dumps(config(settings={"profiles": [{"name": 3}]})),
        json.dumps(config(settings=None)),
        json.dumps(config(limits={"sockets": 3})),
        json.dumps(config(known={"version": 1})),
    ],
)
def test_an_invalid_configuration_ends_the_process_with_one_line_and_exit_code_2(
    tmp_path: Path, text: str | None
) -> None:
    """The configuration can't be read or is invalid. The process reports the error in one line and exits with
    code 2."""
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "lanelift"],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr.startswith("lanelift: ") and done.stderr.count("\n") == 1


def test_a_missing_configuration_ends_the_process_with_one_line_and_exit_code_2() -> None:
    """BALANCER_CONFIG is not set. The process reports that in one line and exits with code 2."""
    environ = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    done = subprocess.run(
        [sys.executable, "-m", "lanelift"],
        capture_output=True,
        text=True,
        timeout=60,
        env=environ,
        check=False,
    )
    assert (done.returncode, done.stderr) == (2, "lanelift: BALANCER_CONFIG is not set\n")


@asynccontextmanager
async def program(path: Path, raw_config: dict[str, Any]) -> AsyncIterator[asyncio.subprocess.Process]:
    path.write_text(json.dumps(raw_config))
    async with started(sys.executable, "-m", "lanelift", BALANCER_CONFIG=str(path)) as process:
        yield process


@asynccontextmanager
async def started(
    *command: str | Path, fds: Sequence[int] = (), **environ: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Runs a process that does not outlive the test and inherits the descriptors `fds`."""
    process = await asyncio.create_subprocess_exec(
        *command, stderr=asyncio.subprocess.PIPE, pass_fds=fds, env={**os.environ, **environ}
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def listen_address(raw_config: dict[str, Any]) -> tuple[str, int]:
    return "127.0.0.1", int(raw_config["listen"].rpartition(":")[2])


def test_after_sigterm_open_and_new_requests_are_answered(tmp_path: Path) -> None:
    """SIGTERM arrives while a request is open, and clients still open connections and send requests. All
    requests are answered, each connection is closed after its answer, and the process then exits with code 0.
    """

    async def test() -> None:
        upstream = FakeUpstream("s-0")
        await upstream.start()
        discovery = FakeDiscovery([upstream.row()])
        await discovery.start()
        go_on = asyncio.Event()

        async def slow() -> bytes:
            await go_on.wait()
            return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow"

        upstream.script = [slow]
        raw_config = config(discovery=f"127.0.0.1:{discovery.port}", known=discovery.snapshot())
        async with program(tmp_path / "config.json", raw_config) as process:
            address = listen_address(raw_config)
            # The process has called discovery, so it listens or is about to listen.
            await discovery.until(lambda: any("from=" in m.start[1] for m in discovery.seen))
            open_one, kept = await connect(address), await connect(address)
            assert (await kept.request("r", path="/ready")).status == 200
            open_one.send("r1")
            await upstream.until(lambda: len(upstream.seen) == 1)
            process.send_signal(signal.SIGTERM)
            late = await (await connect(address)).request("r2")  # new connections are still accepted
            check_closing(late, b"s-0")
            ready = await kept.request("r", path="/ready")  # and old connections are still served
            assert (ready.status, ready.headers["connection"]) == (503, "close")
            go_on.set()
            check_closing(await read_message(open_one.reader), b"slow")
            assert await process.wait() == 0
            assert process.stderr is not None and await process.stderr.read() == b""
        upstream.stop()
        discovery.stop()

    run(test())


@pytest.mark.parametrize("old", ["holds a watch", "holds its first call", "refuses"])
def test_sighup_changes_the_discovery_address(tmp_path: Path, old: str) -> None:
    """Discovery moves, and the old server hangs or refuses connections. After SIGHUP the new server is used
    immediately, though its versions are lower. An invalid file changes nothing and is logged.
    """

    async def test() -> None:
        first, second = FakeUpstream("s-0"), FakeUpstream("s-1")
        await first.start()
        await second.start()
        before, after = FakeDiscovery([first.row()]), FakeDiscovery([second.row()])
        before.version = 41  # the new server's versions are lower
        before.silent = old == "holds its first call"
        if old != "refuses":
            await before.start()
        await after.start()
        raw_config = config(known=before.snapshot())
        if old != "refuses":
            raw_config["discovery"] = f"127.0.0.1:{before.port}"
        path = tmp_path / "config.json"
        async with program(path, raw_config) as process:
            assert process.stderr is not None
            address = listen_address(raw_config)
            if old == "refuses":
                assert b"no connection" in await process.stderr.readline()
            else:
                target = "from=41&" if old == "holds a watch" else "/v1/endpoints"
                await before.until(lambda: any(target in m.start[1] for m in before.seen))
            assert (await (await connect(address)).request("r1")).body == b"s-0"
            # An invalid file changes nothing, and is logged.
            path.write_text("{not json")
            process.send_signal(signal.SIGHUP)
            while b"not reloaded" not in (line := await process.stderr.readline()):
                assert line
            assert (await (await connect(address)).request("r2")).body == b"s-0"
            path.write_text(json.dumps({**raw_config, "discovery": f"127.0.0.1:{after.port}"}))
            process.send_signal(signal.SIGHUP)
            await asyncio.wait_for(after.until(lambda: any("from=1&" in m.start[1] for m in after.seen)), 4)
            assert (await (await connect(address)).request("r3")).body == b"s-1"
            process.send_signal(signal.SIGTERM)
            late = await connect(address)
            process.send_signal(signal.SIGHUP)  # a reload neither ends nor restarts the drain
            check_closing(await late.request("r4"), b"s-1")
            assert await process.wait() == 0
        for server in (first, second, before, after):
            server.stop()

    run(test())


@pytest.mark.parametrize("descriptor", ["seven", "-1", "99", "0", "datagrams"])
def test_a_descriptor_that_is_not_a_tcp_socket_ends_the_process_with_one_line_and_exit_code_2(
    tmp_path: Path, descriptor: str
) -> None:
    """BALANCER_FD is not the descriptor of a TCP socket. The process reports that in one line and exits
    with code 2.
    """
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
        number = datagrams.fileno()
        done = subprocess.run(
            [sys.executable, "-m", "lanelift"],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
            pass_fds=[number],
            stdin=subprocess.DEVNULL,
            env={
                **os.environ,
                "BALANCER_CONFIG": str(path),
                "BALANCER_FD": str(number) if descriptor == "datagrams" else descriptor,
            },
        )
    assert done.returncode == 2
    assert done.stderr.startswith("lanelift: BALANCER_FD") and done.stderr.count("\n") == 1


def test_a_hot_restart_loses_no_request(tmp_path: Path) -> None:
    """Two processes share one inherited socket during a hot restart. The new process accepts no connection
    until it can serve; the old process gets SIGTERM while clients send request after request, on connections
    to both processes and on new connections. Every request is answered.
    """

    async def test() -> None:
        upstream = FakeUpstream("s-0")
        await upstream.start()
        discovery = FakeDiscovery([upstream.row()])
        await discovery.start()
        with socket.socket() as shared:
            shared.bind(("127.0.0.1", 0))
            shared.listen(64)
            fd = shared.fileno()
            address = shared.getsockname()
            sent = 0

            async def send_requests(stop: asyncio.Event) -> None:
                nonlocal sent
                client: Client | None = None
                while not stop.is_set():
                    client = client or await Client.to(address)
                    sent += 1
                    got = await client.request(f"r{sent}")
                    assert (got.status, got.body) == (200, b"s-0")
                    if got.headers.get("connection") == "close":
                        client.close()
                        client = None
                if client is not None:
                    client.close()

            def write_config(path: Path, **more: Any) -> dict[str, str]:
                raw = config(discovery=f"127.0.0.1:{discovery.port}", peer_listen=peers, **more)
                raw["settings"] = {**SETTINGS, "limits": {"peers": True}}
                raw["operator"] = f"127.0.0.1:{free_port()}"
                path.write_text(json.dumps(raw))
                return {"BALANCER_CONFIG": str(path), "BALANCER_FD": str(fd), "TMPDIR": str(tmp_path)}

            peers = f"127.0.0.1:{free_port()}"  # both processes use the same address
            command = (sys.executable, "-m", "lanelift")
            old_environ = write_config(tmp_path / "old.json", known=discovery.snapshot())
            async with started(*command, fds=[fd], **old_environ) as old:
                stop = asyncio.Event()
                clients = [asyncio.create_task(send_requests(stop)) for _ in range(8)]
                await upstream.until(lambda: len(upstream.seen) > 20)
                discovery.silent = True  # the new process can't serve yet
                async with started(*command, fds=[fd], **write_config(tmp_path / "new.json")) as new:
                    operators = (
                        "127.0.0.1",
                        int(json.loads((tmp_path / "new.json").read_text())["operator"].rpartition(":")[2]),
                    )
                    assert await ready(operators) == 503
                    # the old process accepts all connections: the new process would answer 503
                    for _ in range(20):
                        fresh = await Client.to(address)
                        assert (await fresh.request("front", path="/ready")).status == 200
                        fresh.close()
                    discovery.silent = False
                    discovery.close_links()
                    while await ready(operators) != 200:
                        await asyncio.sleep(0.02)
                    assert len(list(tmp_path.glob("lanelift-*.sock"))) == 2  # each process has one socket
                    old.send_signal(signal.SIGTERM)
                    assert await old.wait() == 0
                    count = len(upstream.seen)
                    await upstream.until(lambda: len(upstream.seen) > count + 20)
                    fresh = await Client.to(address)
                    assert (await fresh.request("front", path="/ready")).status == 200
                    fresh.close()
                    stop.set()
                    await asyncio.gather(*clients)
                    new.send_signal(signal.SIGTERM)
                    assert await new.wait() == 0
        upstream.stop()
        discovery.stop()

    run(test())


async def ready(operators: tuple[str, int]) -> int:
    client = await connect(operators)
    got = await client.raw(b"GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n")
    client.close()
    return got.status


def check_closing(message: Message, body: bytes) -> None:
    assert (message.status, message.body, message.headers["connection"]) == (200, body, "close")


async def connect(address: tuple[str, int]) -> Client:
    while True:
        try:
            return await Client.to(address)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)
