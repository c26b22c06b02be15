"""One balancer process: starts its parts, and closes them in order."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from lanelift.daemon_config import Config, connection_caps
from lanelift.lifecycle import Lifecycle
from lanelift.net.admin import AdminServer
from lanelift.net.discovery import Discovery
from lanelift.net.dispatch import Dispatcher
from lanelift.net.frontend import Frontend
from lanelift.net.peers import Peers
from lanelift.net.upstreams import Upstreams
from lanelift.reload import Reloader

if TYPE_CHECKING:
    from lanelift.net.hot_restart import HotRestart
    from lanelift.net.shared_ids import SharedIds

# The environment variable that names the folder through which the processes of a hot restart find each other.
HOT_RESTART_FOLDER_VARIABLE = "TMPDIR"


class Daemon:
    """Owns the parts of one process. A part that is not configured is None."""

    def __init__(self, config: Config, listener: socket.socket) -> None:
        self._config = config
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._max_clients, max_connections = connection_caps(config.sockets, 1)
        settings = config.settings
        self._upstreams = Upstreams(
            settings.limits,
            max_connections,
            settings.load_report_fields,
            config.memory_bytes,
            config.sockets,
        )
        self._dispatcher = Dispatcher(settings, config.seed, self._upstreams)
        self._fleet: Any = None
        self._discovery: Any = None
        self._tenants: Any = None
        self._frontend: Frontend
        self._hot_restart: HotRestart | None = None
        self._shared_ids: SharedIds | None = None
        self._admin: AdminServer | None = None

    async def start(self, read: Callable[[], Config], admin_socket: socket.socket | None) -> None:
        """Starts all parts: sources first, then the frontend, then the operators' calls and reloads."""
        await self._start_sources()
        self._share_ids()
        self._start_frontend()
        await self._start_hot_restart()
        if admin_socket is not None:
            self._admin = AdminServer(self._dispatcher, self._frontend, self._fleet)
            await self._admin.listen(admin_socket)
        reloader = Reloader(self._config, self._discovery, self._tenants, read)
        self._loop.add_signal_handler(signal.SIGHUP, reloader.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    async def _start_sources(self) -> None:
        """Starts the parts that notify the balancer. The fleet comes first, as its failure aborts the
        start."""
        config, dispatcher = self._config, self._dispatcher
        self._fleet = config.fleet.attach(dispatcher) if config.fleet is not None else None
        if self._fleet is not None:
            await self._fleet.start()
        if config.peer_listen is not None and config.settings.limits.peer_messages:
            dispatcher.peers = Peers(dispatcher, config.peer_listen, config.peers, config.peers_all)
        source = config.discovery
        self._discovery = dispatcher.discovery = (
            Discovery(dispatcher, source, config.seed)
            if isinstance(source, tuple)
            else source.attach(dispatcher)
        )
        self._discovery.start(config.cached_endpoints)
        self._tenants = config.tenants.attach(dispatcher) if config.tenants is not None else None
        if self._tenants is not None:
            self._tenants.start()

    def _share_ids(self) -> None:
        """Shares the ids of requests with the other process of a hot restart, before any is received."""
        folder = os.environ.get(HOT_RESTART_FOLDER_VARIABLE)
        if self._config.inherited is not None and folder:
            from lanelift.net.shared_ids import SharedIds  # only loaded if a hot restart is possible

            self._shared_ids = SharedIds(Path(folder))
            self._shared_ids.share(self._dispatcher.requests.ids)

    def _start_frontend(self) -> None:
        """Starts to serve clients. Signal handlers are installed first: once the frontend exists, clients may
        wait for answers, and a signal without a handler would end the process before they get them.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, lambda: self._frontend.shutdown.shut_down())
        lifecycle = Lifecycle(shared_address=self._config.inherited is not None)
        self._frontend = Frontend(
            self._dispatcher, self._listener, self._max_clients, lifecycle, self._config.cores
        )

    async def _start_hot_restart(self) -> None:
        folder = os.environ.get(HOT_RESTART_FOLDER_VARIABLE)
        if self._config.inherited is not None and folder:
            from lanelift.net.hot_restart import HotRestart  # only loaded if a hot restart is possible

            self._hot_restart = HotRestart(Path(folder), self._apply_connection_caps)
            await self._hot_restart.start()

    def _apply_connection_caps(self, processes: int) -> None:
        max_clients, max_connections = connection_caps(self._config.sockets, processes)
        self._frontend.set_max_clients(max_clients)
        self._upstreams.pool.set_max_connections(max_connections)

    async def run(self) -> None:
        """Serves until SIGTERM was received and no connection is open, or the shutdown has timed out."""
        shutdown = self._frontend.shutdown
        try:
            await shutdown.started.wait()
            async with asyncio.timeout_at(shutdown.ends_s):
                await shutdown.finished.wait()
        except TimeoutError:
            logging.error("shutdown timed out: %d requests open", self._dispatcher.requests.awaiting_answer)
        finally:
            await self._close()

    async def _close(self) -> None:
        self._frontend.close()
        if self._admin is not None:
            self._admin.close()
        if self._hot_restart is not None:
            self._hot_restart.close()
        if self._shared_ids is not None:
            self._shared_ids.close()
        if self._tenants is not None:
            self._tenants.close()
        if self._fleet is not None:
            await self._fleet.close()
        if self._dispatcher.peers is not None:
            self._dispatcher.peers.close()
        self._discovery.close()
        self._upstreams.close()


async def serve(
    config: Config,
    listener: socket.socket,
    read: Callable[[], Config],
    admin_socket: socket.socket | None = None,
) -> None:
    """Serves clients until SIGTERM was received and the balancer has shut down.

    Args:
        config: The configuration at the start.
        listener: The bound socket for clients.
        read: Reads the configuration again, on SIGHUP.
        admin_socket: The bound socket for operators' calls, if they are enabled.
    """
    daemon = Daemon(config, listener)
    await daemon.start(read, admin_socket)
    gc.collect()
    gc.freeze()  # the objects that exist now are permanent: keep them out of later collections
    await daemon.run()
