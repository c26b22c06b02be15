"""The clients' connections: their cap, and the phases in which they have no request open."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from lanelift.net.exchange import CLIENT_STALL_TIMEOUT_S


class Phase(Enum):
    """What a connection without an open request is doing."""

    READING_HEAD = "its request is not complete yet"
    READING_BODY = "its body is being received"
    IDLE = "between two requests"
    FLUSHING = "the rest of its response is being read"
    CLOSING = "its last response is being read"


# How long a phase may last. READING_HEAD counts from the connect, or from the first byte on a connection that
# was used before; READING_BODY begins anew when the body has made progress.
PHASE_TIMEOUT_S = {
    Phase.READING_HEAD: 2.5,
    Phase.READING_BODY: 2.5,
    Phase.IDLE: 10.0,
    Phase.FLUSHING: CLIENT_STALL_TIMEOUT_S,
    Phase.CLOSING: 1.0,
}
# At the cap one of these is closed for a newcomer: the first in this order that has been in its phase for so
# many seconds. Clients count on it that an idle connection is left 2 s, and an honest one sends its request
# in 1 s.
EVICTION_ORDER = (
    (Phase.CLOSING, 0.1),
    (Phase.READING_HEAD, 1.0),
    (Phase.IDLE, 2.0),
    (Phase.READING_HEAD, 0.05),
)


class TrackedConnection(Protocol):
    """A client's connection as the table needs it."""

    phase: Phase | None
    transport: asyncio.Transport | None

    @property
    def has_data(self) -> bool:
        """Part of a request has come."""

    def phase_timed_out(self) -> None:
        """It has been in its phase for as long as it may."""

    def abort(self) -> None:
        """Close at once."""


class ConnectionTable:
    """All connections of clients, under a cap.

    Attributes:
        clients: The connections, accepted or being set up.
        max_clients: The cap.
        by_phase: Those without an open request and since when (loop's clock), the longest first, so that one
            timer serves them all.
        timer: When the first of them will have been in its phase for too long.
    """

    def __init__(self, max_clients: int, on_evictable: Callable[[], None]) -> None:
        self.clients: set[TrackedConnection] = set()
        self.max_clients = max_clients
        self.by_phase: dict[Phase, dict[TrackedConnection, float]] = {phase: {} for phase in Phase}
        self.timer: asyncio.TimerHandle | None = None
        self._on_evictable = on_evictable  # called at the cap when a connection comes to rest
        self._loop = asyncio.get_running_loop()

    def is_filled(self, part: float) -> bool:
        """Whether at least this part of the cap is used."""
        return len(self.clients) >= part * self.max_clients

    def enter(self, client: TrackedConnection, phase: Phase) -> None:
        """A connection has no request open from now on, and can make room for others."""
        self.leave(client)
        client.phase = phase
        self.by_phase[phase][client] = self._loop.time()
        self._check_at(self._loop.time() + PHASE_TIMEOUT_S[phase])
        if len(self.clients) >= self.max_clients:
            self._on_evictable()

    def leave(self, client: TrackedConnection) -> None:
        """A connection has a request open, or ends."""
        if client.phase is not None:
            del self.by_phase[client.phase][client]
            client.phase = None

    def evict(self) -> tuple[bool, float | None]:
        """Close one connection to make room. Its place is free on the loop's next turn.

        Returns:
            Whether one was closed; if not, after how many seconds one can be (None: when one comes to rest).
        """
        now = self._loop.time()
        due_times = []
        for phase, min_phase_s in EVICTION_ORDER:
            client = next(iter(self.by_phase[phase]), None)
            if client is not None:
                due_s = self.by_phase[phase][client] + min_phase_s
                if due_s <= now:
                    client.abort()
                    return True, None
                due_times.append(due_s)
        return False, min(due_times) - now if due_times else None

    def _check_at(self, when: float) -> None:
        if self.timer is None or when < self.timer.when():
            if self.timer is not None:
                self.timer.cancel()
            self.timer = self._loop.call_at(when, self._end_expired)

    def _end_expired(self) -> None:
        """End what has been in its phase for too long, and set the timer for the next."""
        self.timer = None
        now = self._loop.time()
        for phase, clients in self.by_phase.items():
            expired = []
            for client, since in clients.items():
                if since + PHASE_TIMEOUT_S[phase] > now:
                    self._check_at(since + PHASE_TIMEOUT_S[phase])
                    break
                expired.append(client)
            for client in expired:
                client.phase_timed_out()

    def close(self) -> None:
        """Close all connections."""
        if self.timer is not None:
            self.timer.cancel()
        for client in list(self.clients):
            client.abort()
