"""An emulated LDAP directory on a loopback socket: `ldap.Session` on asyncio, with fault injection.

Faults apply to every connection immediately and may be changed while clients are connected.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Mapping
from dataclasses import dataclass, field

from lanelift.standins.ldap import ServerFaults, Session, Tree

MAX_CLIENTS = 256  # limits the concurrent connections; further connections are closed, as a busy server does


@dataclass(slots=True)
class NetworkFaults:
    """Faults of the network and transport. The defaults inject none."""

    delay_s: float = 0.0  # wait before each answer
    silent: bool = False  # whether connections are accepted but no request is answered
    cut_after: int = -1  # a connection is closed after this many bytes of search answers; -1: never
    garbage: bytes = b""  # bytes that are sent instead of each answer
    trickle_s: float = 0.0  # wait between any two bytes of an answer


@dataclass(slots=True, eq=False)
class Directory:
    """A server. With `tls` it offers StartTLS or, if `ldaps` is set, expects TLS from the first byte."""

    tree: Tree
    users: Mapping[str, str] = field(default_factory=dict)
    tls: ssl.SSLContext | None = None
    ldaps: bool = False
    network_faults: NetworkFaults = field(default_factory=NetworkFaults)
    server_faults: ServerFaults = field(default_factory=ServerFaults)
    server: asyncio.Server | None = None
    clients: set[Connection] = field(default_factory=set)
    port: int = 0
    accepted: int = 0
    searches: int = 0
    entries: int = 0  # number of entries sent in answers

    async def start(self, port: int = 0) -> int:
        """Starts to listen. Returns the port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Connection(self),
            "127.0.0.1",
            port or self.port,
            ssl=self.tls if self.ldaps else None,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def stop(self) -> None:
        """Closes the listener and resets all connections. `start` listens on the same port again."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for client in list(self.clients):
            client.abort()


class Connection(asyncio.Protocol):
    """The connection of one client."""

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.session = Session(
            directory.tree,
            directory.users,
            directory.server_faults,
            directory.tls is not None and not directory.ldaps,
        )
        self.transport: asyncio.Transport | None = None
        self.answered = 0  # number of bytes of search answers that were sent
        self.task: asyncio.Task[None] | None = None  # performs the TLS handshake, or sends a slow answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        first, self.transport = self.transport is None, transport
        if first:
            self.directory.accepted += 1
            self.directory.clients.add(self)
            if len(self.directory.clients) > MAX_CLIENTS:
                self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.directory.clients.discard(self)
        if self.task is not None:
            self.task.cancel()

    def abort(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        directory, session = self.directory, self.session
        session.server_faults, session.tree = directory.server_faults, directory.tree
        searches, entries = session.searches, session.entries
        answers = session.receive(data)
        directory.searches += session.searches - searches
        directory.entries += session.entries - entries
        network_faults = directory.network_faults
        if network_faults.silent:
            return
        if network_faults.garbage and answers:
            answers = [network_faults.garbage]
        if network_faults.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(network_faults.delay_s, self._send, answers, session.searches > searches)
        else:
            self._send(answers, session.searches > searches)

    def _send(self, answers: list[bytes], is_search: bool) -> None:
        """Sends answers, as far as the network faults let it, and closes the connection if it has to end."""
        transport, network_faults = self.transport, self.directory.network_faults
        if transport is None or transport.is_closing():
            return
        data = b"".join(answers)
        if is_search and network_faults.cut_after >= 0:
            data = data[: max(0, network_faults.cut_after - self.answered)]
            self.answered += len(data)
        if network_faults.trickle_s:
            self.task = asyncio.get_running_loop().create_task(self._trickle(data))
            return
        transport.write(data)
        if is_search and 0 <= network_faults.cut_after <= self.answered:
            transport.close()
        elif self.session.wants_tls and self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._start_tls())
        elif self.session.closing:
            transport.close()

    async def _start_tls(self) -> None:
        """Performs the TLS handshake that follows the answer to StartTLS."""
        assert self.transport is not None and self.directory.tls is not None
        loop = asyncio.get_running_loop()
        self.transport.pause_reading()
        try:
            transport = await loop.start_tls(self.transport, self, self.directory.tls, server_side=True)
        except (OSError, ssl.SSLError):
            self.abort()
            return
        self.transport, self.session.wants_tls, self.task = transport, False, None

    async def _trickle(self, data: bytes) -> None:
        for byte in data:
            if self.transport is None or self.transport.is_closing():
                return
            self.transport.write(bytes((byte,)))
            await asyncio.sleep(self.directory.network_faults.trickle_s)
