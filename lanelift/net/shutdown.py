"""Drain (`evacuate`) and graceful shutdown (SIGTERM) of a balancer, without losing a request.

The steps after SIGTERM, in order:

1. Each connection is closed after its next answer. `/ready` answers 503, but still 200 if another process
   shares the address (`Lifecycle.reports_ready`).
2. After `ACCEPT_WHILE_DRAINING_S` the listener stops: it accepts the rest of its backlog, and then closes. On
   a shared address it closes immediately, and leaves the rest to the other process.
3. Idle connections are closed `CLOSE_IDLE_DELAY_S` after the listener has stopped, and again
   `CLOSE_IDLE_DELAY_S` after it has closed. Connections with an open request are closed after the answer.
4. When the listener is closed and no connection is open, `finished` is set and the process ends.
5. The process ends at the latest at `ends_s`: `EXIT_AFTER_DEADLINE_S` after the longest deadline of any
   class, which counts as `LONGEST_DEADLINE_S` at most. Half of `FINAL_ANSWER_MARGIN_S` before `ends_s`,
   requests that are still open get a 504, and streamed responses are reset.

SIGINT has the same effect as SIGTERM.
"""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING

from lanelift.lifecycle import Stage
from lanelift.net.connection_phases import Phase
from lanelift.net.socket_options import has_unread_data

if TYPE_CHECKING:
    from lanelift.net.frontend import Frontend

log = logging.getLogger(__name__)

# New connections may arrive for this long after `/ready` has begun to fail: the front tier, which routes
# clients to balancers, takes this long to notice the failure. Idle connections are closed only after that, as
# their clients would reconnect immediately.
ACCEPT_WHILE_DRAINING_S = 0.5
LONGEST_DEADLINE_S = 3.0  # in computing when the process ends, longer deadlines count as this long
# The process ends this long after the longest deadline; SIGKILL follows 0.7 s after it.
EXIT_AFTER_DEADLINE_S = 0.6
# requests received after SIGTERM get deadlines at least this long before the process ends
FINAL_ANSWER_MARGIN_S = 0.03
CLOSE_IDLE_DELAY_S = 0.02  # time between the listener's stop and the closing of idle connections


class GracefulShutdown:
    """Performs the drain, rejoin and shutdown of one balancer.

    Attributes:
        started: Set at SIGTERM.
        finished: Set when the listener is closed and no connection is open.
        ends_s: The latest time at which the process ends, on the loop's clock.
        idle_closed: Whether idle connections have been closed. From then on, each connection that becomes
            idle is closed as well.
    """

    def __init__(self, frontend: Frontend) -> None:
        self.started = asyncio.Event()
        self.finished = asyncio.Event()
        self.ends_s = math.inf
        self.idle_closed = False
        self._frontend = frontend
        self._loop = asyncio.get_running_loop()
        self._close_idle_timer: asyncio.TimerHandle | None = None

    @property
    def shutting_down(self) -> bool:
        """Whether SIGTERM was received."""
        return self._frontend.lifecycle.stage is Stage.SHUTTING_DOWN

    def drain(self) -> None:
        """Drains the balancer without ending the process.

        New connections are still accepted; each connection is closed after its next answer, and idle
        connections are closed after `ACCEPT_WHILE_DRAINING_S`.
        """
        frontend = self._frontend
        if frontend.lifecycle.drain():
            open_requests = frontend.dispatcher.requests.awaiting_answer
            log.info("evacuating: %d connections, %d requests", len(frontend.table.clients), open_requests)
            self._close_idle_timer = self._loop.call_later(ACCEPT_WHILE_DRAINING_S, self.close_idle)

    def rejoin(self) -> bool:
        """Ends a drain; returns False if the balancer shuts down."""
        if not self._frontend.lifecycle.rejoin():
            return False
        if self._close_idle_timer is not None:
            self._close_idle_timer.cancel()
            self._close_idle_timer = None
        self.idle_closed = False
        log.info("rejoined")
        return True

    def shut_down(self) -> None:
        """Starts the shutdown (SIGTERM): drains the balancer, and later sets `finished`."""
        dispatcher = self._frontend.dispatcher
        if self._frontend.lifecycle.shut_down():
            classes = dispatcher.settings.classes.values()
            longest_s = max((c.deadline_ns for c in classes), default=0) / 1e9
            self.ends_s = self._loop.time() + min(longest_s, LONGEST_DEADLINE_S) + EXIT_AFTER_DEADLINE_S
            # This runs one loop iteration after the ordinary time-outs that are due at the same time: for the
            # client, a rejection (503) after a time-out is better than the failure (504) that is sent here.
            self._loop.call_at(
                self.ends_s - FINAL_ANSWER_MARGIN_S / 2, self._loop.call_soon, dispatcher.requests.fail_all
            )
            self.started.set()
            self._loop.call_later(ACCEPT_WHILE_DRAINING_S, self.stop_listening)

    def stop_listening(self) -> None:
        """Closes the listener once its backlog is empty, however long that takes.

        Failure guarded against: the kernel has established the connections in the backlog, and closing the
        listener would reset them. On a shared address another process accepts them.
        """
        listener = self._frontend.listener
        if listener.closed:
            return
        if not listener.stopping:
            listener.pause()
            listener.stopping = True
            self._loop.call_later(CLOSE_IDLE_DELAY_S, self.close_idle)
        if listener.accept() or self._frontend.lifecycle.shared_address:
            listener.close()
            self._loop.call_later(CLOSE_IDLE_DELAY_S, self.close_idle)

    def close_idle(self) -> None:
        """Closes the connections on which no part of a request was received, so that no request is lost."""
        self.idle_closed = True
        for phase in (Phase.READING_HEAD, Phase.IDLE):
            for client in list(self._frontend.table.by_phase[phase]):
                if not client.has_data and not has_unread_data(client.transport):
                    client.abort()
        self.check_finished()

    def check_finished(self) -> None:
        """Sets `finished` if the listener is closed and no connection is open."""
        if self._frontend.listener.closed and not self._frontend.table.clients:
            self.finished.set()
