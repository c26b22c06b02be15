"""A stand-in LDAP directory on a loopback socket: `ldap.Session` on asyncio's transports, and its troubles.

Troubles apply at once to every connection; they may change while clients are connected.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Mapping
from dataclasses import dataclass, field

from lanelift.standins.ldap import ServerFaults, Session, Tree

MAX_CLIENTS = 256  # connections at once: further ones are closed, as a crowded server does


@dataclass(slots=True)
class NetworkFaults:
    """What goes wrong on the way; the defaults are nothing."""

    delay_s: float = 0.0  # before each answer
    silent: bool = False  # connections are taken, and nothing is answered
    cut_after: int = -1  # bytes of answers to searches, on each connection, after which it ends; -1: never
    garbage: bytes = b""  # sent instead of each answer
    trickle_s: float = 0.0  # between any two bytes


@dataclass(slots=True, eq=False)
class Directory:
    """The server. `tls`: offered by StartTLS, or, with `ldaps`, spoken from the first byte."""

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
    entries: int = 0  # given in answers

    async def start(self, port: int = 0) -> int:
        """Listen; the port."""
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
        """Away: connections end, new ones are refused. `start` brings it back at the same port."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for client in list(self.clients):
            client.abort()


class Connection(asyncio.Protocol):
    """One client."""

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.session = Session(
            directory.tree,
            directory.users,
            directory.server_faults,
            directory.tls is not None and not directory.ldaps,
        )
        self.transport: asyncio.Transport | None = None
        self.answered = 0  # bytes of answers to searches
        self.task: asyncio.Task[None] | None = None  # shakes hands, or trickles

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
            loop.call_later(network_faults.delay_s, self._answer, answers, session.searches > searches)
        else:
            self._answer(answers, session.searches > searches)

    def _answer(self, answers: list[bytes], found: bool) -> None:
        transport, network_faults = self.transport, self.directory.network_faults
        if transport is None or transport.is_closing():
            return
        data = b"".join(answers)
        if found and network_faults.cut_after >= 0:
            data = data[: max(0, network_faults.cut_after - self.answered)]
            self.answered += len(data)
        if network_faults.trickle_s:
            self.task = asyncio.get_running_loop().create_task(self._trickle(data))
            return
        transport.write(data)
        if found and 0 <= network_faults.cut_after <= self.answered:
            transport.close()
        elif self.session.wants_tls and self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._secure())
        elif self.session.over:
            transport.close()

    async def _secure(self) -> None:
        """StartTLS was answered: what comes next is the handshake."""
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
