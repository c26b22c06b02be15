"""Keeps what all connections buffer under one limit (`lanelift.policy.memory`).

What is buffered is summed up each time that a part of the limit has been received. So between two sums it can
grow by that part at most, and no connection has to report how much it keeps. Only connections that have
received something since they were last found empty are summed up, as most connections are idle.
"""

from __future__ import annotations

import logging
from pathlib import Path
from resource import getpagesize
from typing import Protocol

from lanelift.net.event_log import EventKind, EventLog
from lanelift.policy.memory import BufferHolder, buffer_limit_bytes, choose_evictions, read_size_bytes

log = logging.getLogger(__name__)

DEFAULT_MEMORY_BYTES = 192 * 1024 * 1024
CHECKS_PER_LIMIT = 16
# Shared by all connections, as the bytes of each read are used before the next read.
READ_BUFFER = memoryview(bytearray(64 * 1024))


class BufferingClient(BufferHolder, Protocol):
    """A client's connection."""

    @property
    def may_give_way(self) -> bool:
        """Whether the client can be evicted without breaking off a request that may have been forwarded."""

    def evict(self) -> None:
        """Rejects the client's request and ends the connection, which frees what it keeps."""


class BufferingUpstream(Protocol):
    """A connection to an upstream."""

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes kept."""

    def pass_on_response(self) -> None:
        """Starts to stream a response that is being buffered, which frees what is kept of it."""


def resident_bytes() -> int:
    """Returns the resident memory of this process; 0 if the system does not tell."""
    try:
        pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * getpagesize()


class MemoryGuard:
    """Limits what all connections together buffer.

    Attributes:
        limit_bytes: The limit.
        buffered_bytes: What was buffered at the last check.
        read_bytes: The size of one read from a connection.
        clients: The clients' connections that may keep something.
        upstreams: The connections to upstreams that may keep something.
    """

    def __init__(self, memory_bytes: int, connections: int, events: EventLog) -> None:
        self.limit_bytes = buffer_limit_bytes(memory_bytes, resident_bytes(), connections)
        self.buffered_bytes = 0
        self.read_bytes = len(READ_BUFFER)
        self.clients: dict[BufferingClient, None] = {}
        self.upstreams: dict[BufferingUpstream, None] = {}
        self._events = events
        self._received_bytes = 0  # since the last check

    def client_received(self, client: BufferingClient, count: int) -> None:
        """Records that bytes were received from a client."""
        self.clients[client] = None
        self._received(count)

    def upstream_received(self, upstream: BufferingUpstream, count: int) -> None:
        """Records that bytes were received from an upstream."""
        self.upstreams[upstream] = None
        self._received(count)

    def client_keeps(self, client: BufferingClient) -> None:
        """Records that part of a response to a client could not be written."""
        self.clients[client] = None

    def upstream_keeps(self, upstream: BufferingUpstream) -> None:
        """Records that part of a request to an upstream could not be written."""
        self.upstreams[upstream] = None

    def client_lost(self, client: BufferingClient) -> None:
        """Forgets a client's connection that has ended."""
        self.clients.pop(client, None)

    def _received(self, count: int) -> None:
        """Checks the limit if it is time to."""
        self._received_bytes += count
        if self._received_bytes * CHECKS_PER_LIMIT >= self.limit_bytes:
            self.check()

    def check(self) -> None:
        """Sums up what is buffered, and frees memory if it is over the limit."""
        self._received_bytes = 0
        self.buffered_bytes = self._sum()
        if self.buffered_bytes > self.limit_bytes:
            self._free()
        self.read_bytes = read_size_bytes(self.buffered_bytes, self.limit_bytes)

    def _sum(self) -> int:
        clients = {client: client.buffered_bytes for client in self.clients}
        upstreams = {upstream: upstream.buffered_bytes for upstream in self.upstreams}
        self.clients = {client: None for client, count in clients.items() if count}
        self.upstreams = {upstream: None for upstream, count in upstreams.items() if count}
        return sum(clients.values()) + sum(upstreams.values())

    def _free(self) -> None:
        """Passes on responses that are being buffered, and then evicts clients."""
        before = self.buffered_bytes
        for upstream in sorted(self.upstreams, key=lambda upstream: -upstream.buffered_bytes):
            if self.buffered_bytes <= self.limit_bytes or not upstream.buffered_bytes:
                break
            self.buffered_bytes -= upstream.buffered_bytes
            upstream.pass_on_response()
        candidates = [client for client in self.clients if client.may_give_way]
        evicted = choose_evictions(candidates, self._sum() - self.limit_bytes)
        for client in evicted:
            client.evict()
        self.buffered_bytes = self._sum()
        self._events.record(
            EventKind.MEMORY_FREED,
            f"{before} bytes were buffered of {self.limit_bytes}; {len(evicted)} clients evicted,"
            f" {self.buffered_bytes} bytes are left",
        )
