"""The table of clients' connections: the cap on their number, and their phases with time-outs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from lanelift.net.memory import BufferingClient
from lanelift.policy.response_progress import CLIENT_STALL_TIMEOUT_S


class Phase(Enum):
    """What a connection is waiting for from its client.

    While a complete request waits for its response, its connection is in no phase.
    """

    READING_HEAD = "the head of a request is not complete yet"
    READING_BODY = "the body of a request is being received"
    IDLE = "no request has begun since the last response"
    FLUSHING = "the client is reading the rest of a response"
    CLOSING = "the client is reading the last response"


# How long a phase may last. READING_HEAD starts when the client connects, or with the first byte of a later
# request on the same connection; READING_BODY starts again whenever the body makes progress.
PHASE_TIMEOUT_S = {
    Phase.READING_HEAD: 2.5,
    Phase.READING_BODY: 2.5,
    Phase.IDLE: 10.0,
    Phase.FLUSHING: CLIENT_STALL_TIMEOUT_S,
    Phase.CLOSING: 1.0,
}
# At the cap a connection is closed to make room for a new one. The entries are tried in order: the connection
# that has been in an entry's phase for longest is closed if it has been there for at least the entry's number
# of seconds. Clients rely on an idle connection being kept for 2 s, and a well-behaved client sends its
# request within 1 s.
EVICTION_ORDER = (
    (Phase.CLOSING, 0.1),
    (Phase.READING_HEAD, 1.0),
    (Phase.IDLE, 2.0),
    (Phase.READING_HEAD, 0.05),
)


class TrackedConnection(BufferingClient, Protocol):
    """The part of a client's connection that the table uses."""

    phase: Phase | None
    transport: asyncio.Transport | None

    @property
    def has_data(self) -> bool:
        """Whether part of a request has been received."""

    def phase_timed_out(self) -> None:
        """Handles the time-out of the current phase."""

    def abort(self) -> None:
        """Closes the connection immediately."""


class ConnectionTable:
    """All clients' connections, and the cap on their number.

    Attributes:
        clients: The connections, including those that are being set up.
        max_clients: The cap.
        by_phase: The connections in each phase, with the time at which they entered it (loop's clock), the
            oldest first, so that one timer is enough for all connections.
        timer: The timer for the first phase time-out.
    """

    def __init__(self, max_clients: int, on_evictable: Callable[[], None]) -> None:
        self.clients: set[TrackedConnection] = set()
        self.max_clients = max_clients
        self.by_phase: dict[Phase, dict[TrackedConnection, float]] = {phase: {} for phase in Phase}
        self.timer: asyncio.TimerHandle | None = None
        # called when a connection enters a phase while the number of connections is at the cap
        self._on_evictable = on_evictable
        self._loop = asyncio.get_running_loop()

    def is_filled(self, fraction: float) -> bool:
        """Returns whether the number of clients is at least this fraction of the cap."""
        return len(self.clients) >= fraction * self.max_clients

    def enter(self, client: TrackedConnection, phase: Phase) -> None:
        """Records that a connection enters a phase, and starts the phase's time-out."""
        self.leave(client)
        client.phase = phase
        self.by_phase[phase][client] = self._loop.time()
        self._check_at(self._loop.time() + PHASE_TIMEOUT_S[phase])
        if len(self.clients) >= self.max_clients:
            self._on_evictable()

    def leave(self, client: TrackedConnection) -> None:
        """Records that a connection is in no phase, as its request is complete or it has ended."""
        if client.phase is not None:
            del self.by_phase[client.phase][client]
            client.phase = None

    def evict(self) -> tuple[bool, float | None]:
        """Closes one connection to make room. Its place is free in the next loop iteration.

        Returns:
            Whether a connection was closed; if not, also the number of seconds until a connection can be
            evicted. The number is None if no connection is in a phase of `EVICTION_ORDER`.
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
        """Times out the connections whose phase has lasted too long, and sets the timer for the next one."""
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
        """Closes all connections."""
        if self.timer is not None:
            self.timer.cancel()
        for client in list(self.clients):
            client.abort()
