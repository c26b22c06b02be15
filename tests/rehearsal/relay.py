"""A deliberately bad balancer for the tests, which sends requests to the boxes round-robin.

It implements PROTOCOL's wire format and nothing else: it does not limit the requests to a box, never makes a
second attempt and refuses no request. The environment variable SIN names a violation that the kit must find:
silent (no answer), garbage (no HTTP), forge (an answer that no box made), extra (bytes after an answer),
twice (two attempts at a time), deaf (ignores drains), push (overloads the newest box) or crash.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from contextlib import suppress
from typing import Any

VIOLATE_EVERY = 10  # the violations silent, garbage, forge, extra and twice affect every tenth request
OVERLOAD_NEWEST = "push"  # the violation in which all requests go to the box that started last


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes], bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head[:-4].split(b"\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines)}
    return start, headers, await reader.readexactly(int(headers.get(b"content-length", b"0")))


def write_message(start: bytes, headers: dict[bytes, bytes], body: bytes) -> bytes:
    rows = b"".join(name + b": " + value + b"\r\n" for name, value in headers.items())
    return start + b"\r\n" + rows + b"\r\n" + body


class Relay:
    def __init__(self, config: dict[str, Any], violation: str) -> None:
        self.config, self.violation = config, violation
        self.boxes = {row["id"]: row for row in config["known"]["servers"]}
        self.turn = self.count = 0
        self.idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def watch(self) -> None:
        host, _, port = self.config["discovery"].rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                path = "/v1/endpoints"
                while True:
                    writer.write(f"GET {path} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
                    _, _, body = await read_message(reader)
                    update = json.loads(body)
                    rows = {row["id"]: row for row in update["servers"]}
                    self.boxes = rows if update["full"] else self.boxes | rows
                    path = f"/v1/endpoints?from={update['version']}&hold_ms=4000"
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)

    def pick(self) -> str:
        rows = [row for row in self.boxes.values() if self.violation == "deaf" or row["state"] == "Ready"]
        self.turn += 1
        if self.violation == OVERLOAD_NEWEST:
            return str(max(rows, key=lambda row: row["started_ms"])["addr"])
        return str(rows[self.turn % len(rows)]["addr"])

    async def exchange(self, address: str, request: bytes) -> bytes:
        idle = self.idle.setdefault(address, [])
        while idle and idle[-1][0].at_eof():
            idle.pop()[1].close()
        host, _, port = address.rpartition(":")
        reader, writer = idle.pop() if idle else await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            start, headers, body = await read_message(reader)
        except BaseException:
            writer.close()
            raise
        idle.append((reader, writer))
        return write_message(start, headers, body)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                start, headers, body = await read_message(reader)
                if start.split()[1] == b"/ready":
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.count += 1
                violate = self.count % VIOLATE_EVERY == 0
                answer = b"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n"
                with suppress(TimeoutError):
                    timeout_s = (
                        None
                        if violate and self.violation == "silent"
                        else int(headers[b"x-deadline-ms"]) / 1000
                    )
                    async with asyncio.timeout(timeout_s and 0.9 * timeout_s):
                        answer = await self.answer(write_message(start, headers, body), violate)
                writer.write(answer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request: bytes, violate: bool) -> bytes:
        if violate and self.violation == "silent":
            await asyncio.Event().wait()
        if violate and self.violation == "garbage":
            return b"\x00\x01 what is this\r\n\r\n"
        if violate and self.violation == "forge":
            return b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nbox-000-0 1 abc"
        if self.violation == "crash" and self.count == 5 * VIOLATE_EVERY:
            os._exit(3)
        try:
            if violate and self.violation == "twice":
                both = [asyncio.ensure_future(self.exchange(self.pick(), request)) for _ in range(2)]
                return (await asyncio.gather(*both))[0]
            answer = await self.exchange(self.pick(), request)
        except (OSError, asyncio.IncompleteReadError):
            return b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
        return answer + b"and more" if violate and self.violation == "extra" else answer


async def main() -> None:
    with open(os.environ["BALANCER_CONFIG"], encoding="utf-8") as file:
        config = json.load(file)
    relay = Relay(config, os.environ.get("SIN", ""))
    watching = asyncio.create_task(relay.watch())
    host, _, port = config["listen"].rpartition(":")
    server = await asyncio.start_server(relay.serve, host, int(port))
    async with server:
        await server.serve_forever()
    watching.cancel()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
