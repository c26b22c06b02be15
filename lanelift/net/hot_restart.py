"""Hot restart: two processes of one balancer know of each other, and share its descriptors.

Each listens on a Unix socket in the folder that both are given (`$TMPDIR`), and a new one connects to those
it finds there. Nothing is sent on these connections: that one is open means that the other process runs, and
the kernel ends it with the process, however that ends. No file has to be trusted or removed in time.
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

SOCKET_PREFIX, SOCKET_SUFFIX = "lanelift-", ".sock"
CONNECT_TIMEOUT_S = 0.2  # the kernel connects at once; a backlog at capacity must not hold up the start
MAX_PATH_BYTES = 100  # of 108 that a Unix socket's address has (unix(7))


class HotRestart:
    """Knows how many processes of this balancer run.

    Attributes:
        path: Where this process listens.
        links: Connections with the others.
        server: Where the next process connects; None: it could not listen.
        on_processes_changed: Called with the number of processes, this one among them, when that changes.
    """

    def __init__(
        self, folder: Path, on_processes_changed: Callable[[int], None], process_id: int | None = None
    ) -> None:
        self.path = folder / f"{SOCKET_PREFIX}{process_id or os.getpid()}{SOCKET_SUFFIX}"
        self.on_processes_changed = on_processes_changed
        self.links: set[ProcessLink] = set()
        self.server: asyncio.Server | None = None

    @property
    def processes(self) -> int:
        """How many processes share the limits: a hot restart has two; of more, all but one are leaving."""
        return 2 if self.links else 1

    async def start(self) -> None:
        """Connect to the process before, and listen for the next. What fails is logged."""
        loop = asyncio.get_running_loop()
        if len(os.fsencode(self.path)) > MAX_PATH_BYTES:
            log.warning("%s is too long for a socket: in an upgrade limits will not be shared", self.path)
            return
        for other in self.path.parent.glob(f"{SOCKET_PREFIX}*{SOCKET_SUFFIX}"):
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_unix_connection(lambda: ProcessLink(self), str(other))
            except ConnectionRefusedError:
                with suppress(OSError):
                    other.unlink()  # its process has ended
            except OSError as error:
                log.warning("%s: %s", other, error or "timed out")
        try:
            self.server = await loop.create_unix_server(lambda: ProcessLink(self), str(self.path))
        except OSError as error:
            log.warning("%s: %s: in an upgrade limits will not be shared", self.path, error)

    def close(self) -> None:
        """Stop listening, remove the socket, and close all links."""
        if self.server is not None:
            self.server.close()
            with suppress(OSError):
                self.path.unlink()
        for link in list(self.links):
            link.abort()

    def link_opened(self, link: ProcessLink) -> None:
        """Another process runs."""
        self.links.add(link)
        if len(self.links) == 1:
            log.info("another process of this balancer runs: limits are shared")
            self.on_processes_changed(self.processes)

    def link_closed(self, link: ProcessLink) -> None:
        """Another process has ended."""
        self.links.discard(link)
        if not self.links:
            log.info("no other process of this balancer runs any more")
            self.on_processes_changed(self.processes)


class ProcessLink(asyncio.Protocol):
    """A connection with another process of this balancer. What comes on it is ignored."""

    def __init__(self, hot_restart: HotRestart) -> None:
        self._hot_restart = hot_restart
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self._transport = cast(asyncio.Transport, transport)
        self._hot_restart.link_opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        """It has ended."""
        self._hot_restart.link_closed(self)

    def abort(self) -> None:
        """Close it at once."""
        if self._transport is not None:
            self._transport.abort()
