"""Both ends of a balancer's sockets, in raw bytes: an upstream with prepared answers, and a client."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from tests.pinned.processes import clean_environ

WAIT_S = 30
MOST = 1 << 20  # limits the size of a message, in bytes
SILENT = b""  # in place of a prepared answer, this value makes the upstream never answer
READY = b"GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n"
RESET = b"reset"  # in place of a prepared answer, this value makes the upstream close the connection


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(type=kind) as taken:
        taken.bind(("127.0.0.1", 0))
        port: int = taken.getsockname()[1]
        return port


async def read_whole(reader: asyncio.StreamReader) -> bytes:
    """Reads one message: its head, and its body by length, by chunks, or up to the connection's end."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"\r\ncontent-length: *(\d+)\r\n", head, re.IGNORECASE)
    if head.startswith(b"HTTP/1.1 100"):
        return head + await read_whole(reader)
    if length is not None:
        return head + await reader.readexactly(int(length[1]))
    if re.search(rb"\r\ntransfer-encoding: chunked\r\n", head, re.IGNORECASE):
        return head + await reader.readuntil(b"0\r\n\r\n")
    return head if re.match(rb"[A-Z]+ /", head) else head + await reader.read()


class Upstream:
    """Answers each request by its X-Request-Id, or else with 200, and keeps the requests received."""

    def __init__(self, answers: dict[str, bytes]) -> None:
        self.answers = answers
        self.seen: dict[str, bytes] = {}
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=MOST)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_whole(reader)
                named = re.search(rb"\r\nx-request-id: *(\S+)\r\n", request, re.IGNORECASE)
                name = named[1].decode() if named else request.split(b" ")[1].decode()
                self.seen[name] = request
                answer = self.answers.get(name, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                if answer == RESET:
                    return
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        assert self.server is not None
        self.server.close()


async def ask(address: tuple[str, int], *requests: bytes) -> list[str]:
    """Sends requests on one connection. Returns the answers, and whether the balancer then closed it."""
    async with asyncio.timeout(WAIT_S):
        reader, writer = await asyncio.open_connection(*address, limit=MOST)
        found = []
        for request in requests:
            writer.write(request)
            bodiless = request.startswith(b"HEAD ")
            answer = await (reader.readuntil(b"\r\n\r\n") if bodiless else read_whole(reader))
            found.append(answer.decode("latin-1"))
        try:
            async with asyncio.timeout(0.05):
                found.append("closed" if await reader.read(1) == b"" else "more bytes")
        except TimeoutError:
            found.append("open")
        except ConnectionError:
            found.append("reset")
        writer.close()
        return found


@asynccontextmanager
async def balancer(
    folder: Path, config: dict[str, Any], *command: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Runs `python -m lanelift` with this configuration; yields when its operators' address is ready."""
    path = folder / f"{free_port()}.json"
    path.write_text(json.dumps(config))
    words = command or (sys.executable, "-m", "lanelift")
    environ = clean_environ(BALANCER_CONFIG=str(path))
    process = await asyncio.create_subprocess_exec(
        *words, env=environ, cwd=folder, stderr=asyncio.subprocess.PIPE
    )
    host, _, port = config["operator"].rpartition(":")
    try:
        async with asyncio.timeout(WAIT_S):
            while True:
                try:
                    if "200" in (await ask((host, int(port)), READY))[0][:16]:
                        break
                except (OSError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.02)
        yield process
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT_S):
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
