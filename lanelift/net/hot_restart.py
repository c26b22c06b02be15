"""Hot restart: two processes of one balancer detect each other and share its limit on descriptors.

Each process listens on a Unix socket in a folder that both know (`$TMPDIR`), and a new process connects to
the sockets that it finds there. Nothing is sent on these connections: an open connection means that the other
process runs, and the kernel closes the connection when that process ends, for whatever reason. So there is no
state file that might be stale or not be removed in time.
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
CONNECT_TIMEOUT_S = 0.2  # the kernel connects immediately; a full backlog must not delay the start
MAX_PATH_BYTES = 100  # longest path of a socket, in bytes; a Unix socket's address has room for 108 (unix(7))


class HotRestart:
    """Keeps track of how many processes of this balancer run.

    Attributes:
        path: The path of this process's socket.
        links: The connections with other processes.
        server: The server to which the next process connects; None if it could not be started.
        on_processes_changed: Called with the number of processes, including this one, when it changes.
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
        """The number of processes that share the limits: two in a hot restart. If more than two run, all but
        one are shutting down, and the value is still two.
        """
        return 2 if self.links else 1

    async def start(self) -> None:
        """Connects to the previous process and listens for the next one. Failures are logged."""
        loop = asyncio.get_running_loop()
        if len(os.fsencode(self.path)) > MAX_PATH_BYTES:
            log.warning("%s is too long for a socket: limits will not be shared in a hot restart", self.path)
            return
        for other in self.path.parent.glob(f"{SOCKET_PREFIX}*{SOCKET_SUFFIX}"):
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_unix_connection(lambda: ProcessLink(self), str(other))
            except ConnectionRefusedError:
                with suppress(OSError):
                    other.unlink()  # the process that created this socket has ended
            except OSError as error:
                log.warning("%s: %s", other, error or "timed out")
        try:
            self.server = await loop.create_unix_server(lambda: ProcessLink(self), str(self.path))
        except OSError as error:
            log.warning("%s: %s: limits will not be shared in a hot restart", self.path, error)

    def close(self) -> None:
        """Stops listening, removes the socket and closes all links."""
        if self.server is not None:
            self.server.close()
            with suppress(OSError):
                self.path.unlink()
        for link in list(self.links):
            link.abort()

    def link_opened(self, link: ProcessLink) -> None:
        """Adds a link to another process; from the first link on, the limits are shared."""
        self.links.add(link)
        if len(self.links) == 1:
            log.info("another process of this balancer is running: limits are shared")
            self.on_processes_changed(self.processes)

    def link_closed(self, link: ProcessLink) -> None:
        """Removes a link; if none is left, this process no longer shares the limits."""
        self.links.discard(link)
        if not self.links:
            log.info("no other process of this balancer is running: limits are not shared")
            self.on_processes_changed(self.processes)


class ProcessLink(asyncio.Protocol):
    """A connection with another process of this balancer. Received bytes are ignored."""

    def __init__(self, hot_restart: HotRestart) -> None:
        self._hot_restart = hot_restart
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the link."""
        self._transport = cast(asyncio.Transport, transport)
        self._hot_restart.link_opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregisters the link, as the other process has ended."""
        self._hot_restart.link_closed(self)

    def abort(self) -> None:
        """Closes the connection immediately."""
        if self._transport is not None:
            self._transport.abort()
