"""Two processes of one balancer, in an upgrade: they know of each other, and share its descriptors.

Each listens on a Unix socket in the folder that both are given (`$TMPDIR`), and a new one connects to those
it finds there. Nothing is said on these connections: that one is open means that the other process runs, and
the kernel ends it with the process, however that ends. No file has to be believed or removed in time.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import cast

log = logging.getLogger(__name__)

PREFIX, SUFFIX = "lanelift-", ".sock"
CONNECT_S = 0.2  # the kernel connects at once; a backlog that is full must not hold up the start
MAX_PATH = 100  # bytes: of 108 that a Unix socket's address has (unix(7))


class Succession:
    """`changed` hears how many processes there are, this one among them, whenever that changes."""

    def __init__(self, folder: Path, changed: Callable[[int], None], number: int | None = None) -> None:
        self.path = folder / f"{PREFIX}{number or os.getpid()}{SUFFIX}"
        self.changed = changed
        self.links: set[Link] = set()
        self.server: asyncio.Server | None = None

    @property
    def processes(self) -> int:
        return 2 if self.links else 1  # an upgrade has two; of more, all but one are leaving

    async def start(self) -> None:
        """Find the one before, and be found by the next. What fails costs only the knowledge of it."""
        loop = asyncio.get_running_loop()
        if len(os.fsencode(self.path)) > MAX_PATH:
            log.warning("%s is too long for a socket: in an upgrade limits will not be shared", self.path)
            return
        for other in self.path.parent.glob(f"{PREFIX}*{SUFFIX}"):
            try:
                async with asyncio.timeout(CONNECT_S):
                    await loop.create_unix_connection(lambda: Link(self), str(other))
            except ConnectionRefusedError:
                with suppress(OSError):
                    other.unlink()  # its process is no more
            except OSError as error:
                log.warning("%s: %s", other, error or "timed out")
        try:
            self.server = await loop.create_unix_server(lambda: Link(self), str(self.path))
        except OSError as error:
            log.warning("%s: %s: in an upgrade limits will not be shared", self.path, error)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            with suppress(OSError):
                self.path.unlink()
        for link in list(self.links):
            link.abort()

    def met(self, link: Link) -> None:
        self.links.add(link)
        if len(self.links) == 1:
            log.info("another process of this balancer runs: limits are shared")
            self.changed(self.processes)

    def parted(self, link: Link) -> None:
        self.links.discard(link)
        if not self.links:
            log.info("no other process of this balancer runs any more")
            self.changed(self.processes)


class Link(asyncio.Protocol):
    """A connection with another process of this balancer. What comes on it is not read for anything."""

    def __init__(self, succession: Succession) -> None:
        self.succession = succession
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.succession.met(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.succession.parted(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
