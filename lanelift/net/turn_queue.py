"""The queue of clients whose input waits for processing time (`lanelift.policy.turns`)."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from lanelift.net.event_log import EventKind, EventLog
from lanelift.policy.turns import SERVING_S, ProcessingAccount, TurnPolicy


class TurnTaker(Protocol):
    """A client's connection.

    Attributes:
        account: The processing time that its input has used.
    """

    account: ProcessingAccount

    def take_turn(self) -> None:
        """Handles some of the input that waits; joins the queue again if some is left."""


class TurnQueue:
    """Serves the clients that wait for a turn, in order and at a limited share of the processing time.

    Attributes:
        waiting: The clients that wait; each is there once.
    """

    def __init__(self, policy: TurnPolicy, events: EventLog) -> None:
        self.waiting: dict[TurnTaker, None] = {}
        self._policy = policy
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None  # of the next serving, or of the pause after one
        self._iteration_used_s = 0.0
        self._iteration_ends = False  # whether the end of this iteration resets the time used in it

    def may_handle_at_once(self, client: TurnTaker, input_bytes: int) -> bool:
        """Returns whether a client's input is handled now, and not in its turn."""
        if client in self.waiting:
            return False
        return self._policy.may_handle_at_once(
            client.account, input_bytes, self._iteration_used_s, time.monotonic()
        )

    def charge(self, client: TurnTaker, used_s: float, handled_bytes: int) -> None:
        """Records the processing time that a client's input has taken."""
        self._policy.charge(client.account, used_s, handled_bytes, time.monotonic())
        self._iteration_used_s += used_s
        if not self._iteration_ends:
            self._iteration_ends = True
            self._loop.call_soon(self._end_iteration)

    def _end_iteration(self) -> None:
        self._iteration_ends = False
        self._iteration_used_s = 0.0

    def join(self, client: TurnTaker) -> None:
        """Adds a client to the end of the queue."""
        self._events.record(EventKind.CLIENT_WAITS_FOR_TURN, f"{len(self.waiting)} others wait")
        self.waiting[client] = None
        if self._timer is None:
            self._timer = self._loop.call_later(0, self._serve)

    def leave(self, client: TurnTaker) -> None:
        """Removes a client that has ended."""
        self.waiting.pop(client, None)

    def _serve(self) -> None:
        """Serves clients for `SERVING_S`, then pauses so that the queue keeps to its share."""
        if not self.waiting:
            self._timer = None
            return
        started_s = time.monotonic()
        used_s = 0.0
        for client in list(self.waiting):
            if used_s >= SERVING_S:
                break
            if client in self.waiting:
                del self.waiting[client]
                client.take_turn()
            used_s = time.monotonic() - started_s
        self._timer = self._loop.call_later(self._policy.pause_s(used_s), self._serve)

    def close(self) -> None:
        """Stops serving."""
        if self._timer is not None:
            self._timer.cancel()
