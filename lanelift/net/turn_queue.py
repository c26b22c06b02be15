"""The queue of clients whose input waits for processing time (`lanelift.policy.turns`)."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

from lanelift.net.event_log import EventKind, EventLog
from lanelift.policy.turns import ITERATION_S, SERVING_S, ProcessingAccount, TurnPolicy


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
        fresh: The clients that wait and have used little processing time; each is in one of the two once.
        waiting: The other clients that wait.
    """

    def __init__(self, policy: TurnPolicy, events: EventLog) -> None:
        self.fresh: dict[TurnTaker, None] = {}
        self.waiting: dict[TurnTaker, None] = {}
        self._policy = policy
        self._events = events
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None  # of the next serving, or of the pause after one
        self._serves_fresh = False  # whether `_serve_fresh` is scheduled
        self._iteration_used_s = 0.0
        self._iteration_ends = False  # whether the end of this iteration resets the time used in it

    def may_handle_at_once(self, client: TurnTaker, input_bytes: int) -> bool:
        """Returns whether a client's input is handled now, and not in its turn."""
        if client in self.waiting or client in self.fresh:
            return False
        return self._policy.may_handle_at_once(
            client.account, input_bytes, self._iteration_used_s, time.monotonic()
        )

    def charge(self, client: TurnTaker, used_s: float, handled_bytes: int, requests: int) -> None:
        """Records the processing time that a client's input has taken (`TurnPolicy.charge`)."""
        self._policy.charge(client.account, used_s, handled_bytes, requests, time.monotonic())
        self._iteration_used_s += used_s
        if not self._iteration_ends:
            self._iteration_ends = True
            self._loop.call_soon(self._end_iteration)

    def _end_iteration(self) -> None:
        self._iteration_ends = False
        self._iteration_used_s = 0.0

    def join(self, client: TurnTaker) -> None:
        """Adds a client to the end of the queue."""
        others = len(self.waiting) + len(self.fresh)
        self._events.record(EventKind.CLIENT_WAITS_FOR_TURN, f"{others} others wait")
        if self._policy.is_fresh(client.account):
            self.fresh[client] = None
            if not self._serves_fresh:
                self._serves_fresh = True
                self._loop.call_soon(self._serve_fresh)
            return
        self.waiting[client] = None
        if self._timer is None:
            self._timer = self._loop.call_later(0, self._serve)

    def leave(self, client: TurnTaker) -> None:
        """Removes a client that has ended."""
        self.fresh.pop(client, None)
        self.waiting.pop(client, None)

    def _serve_fresh(self) -> None:
        """Serves fresh clients for `ITERATION_S`, and goes on in the next iteration of the loop."""
        self._serve_some(self.fresh, ITERATION_S)
        self._serves_fresh = bool(self.fresh)
        if self._serves_fresh:
            self._loop.call_soon(self._serve_fresh)

    def _serve(self) -> None:
        """Serves clients for `SERVING_S`, then pauses so that the queue keeps to its share."""
        if not self.waiting:
            self._timer = None
            return
        used_s = self._serve_some(self.waiting, SERVING_S)
        self._timer = self._loop.call_later(self._policy.pause_s(used_s), self._serve)

    @staticmethod
    def _serve_some(queue: dict[TurnTaker, None], seconds: float) -> float:
        """Serves the clients that are in a queue now, in order, and returns the time used."""
        started_s = time.monotonic()
        used_s = 0.0
        for client in list(queue):
            if used_s >= seconds:
                break
            if client in queue:
                del queue[client]
                client.take_turn()
            used_s = time.monotonic() - started_s
        return used_s

    def close(self) -> None:
        """Stops serving."""
        if self._timer is not None:
            self._timer.cancel()
