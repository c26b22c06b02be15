"""How a balancer drains (`evacuate`) and shuts down (SIGTERM) without losing a request.

At SIGTERM, in this order:

1. Each answer from now on is the last on its connection, and `/ready` says no, unless another process shares
   the address (`Lifecycle`). SIGINT does the same.
2. After `ACCEPT_WHILE_DRAINING_S` the listener stops: it closes once nobody waits in its backlog.
3. `CLOSE_IDLE_DELAY_S` after it stopped, and again after it closed, idle connections are closed; those with a
   request after their answer.
4. When no connection is left, `finished` is set and the process ends.
5. It ends at the latest `EXIT_AFTER_DEADLINE_S` after the longest deadline, which counts as
   `LONGEST_DEADLINE_S` at most; requests that would still wait then get a 504 shortly before.
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

# Connections keep coming for this long after `/ready` first said no, until the front has noticed. Idle ones
# are closed after that and not before: their clients would come straight back.
ACCEPT_WHILE_DRAINING_S = 0.5
LONGEST_DEADLINE_S = 3.0  # longer deadlines count as this at SIGTERM
# The process ends this long after the longest deadline; SIGKILL comes 0.7 s after it.
EXIT_AFTER_DEADLINE_S = 0.6
FINAL_ANSWER_MARGIN_S = 0.03  # requests that would wait beyond the end are answered this long before it
CLOSE_IDLE_DELAY_S = 0.02  # between the listener's stop and the end of idle connections


class GracefulShutdown:
    """Drain, rejoin and shutdown of one balancer.

    Attributes:
        started: SIGTERM has come.
        finished: The listener is closed and no connection is open.
        ends_s: When the process ends at the latest, on the loop's clock.
        idle_closed: Idle connections have been closed: what comes to rest from now on is closed, too.
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
        """SIGTERM has come."""
        return self._frontend.lifecycle.stage is Stage.SHUTTING_DOWN

    def drain(self) -> None:
        """Empty the balancer, and run on.

        It accepts on; each answer is the last on its connection, and idle connections are closed after
        `ACCEPT_WHILE_DRAINING_S`.
        """
        frontend = self._frontend
        if frontend.lifecycle.drain():
            open_requests = frontend.dispatcher.requests.awaiting_answer
            log.info("evacuating: %d connections, %d requests", len(frontend.table.clients), open_requests)
            self._close_idle_timer = self._loop.call_later(ACCEPT_WHILE_DRAINING_S, self.close_idle)

    def rejoin(self) -> bool:
        """End of `drain`; False where it shuts down."""
        if not self._frontend.lifecycle.rejoin():
            return False
        if self._close_idle_timer is not None:
            self._close_idle_timer.cancel()
            self._close_idle_timer = None
        self.idle_closed = False
        log.info("rejoined")
        return True

    def shut_down(self) -> None:
        """SIGTERM: as `drain`, and once it is empty it has `finished`."""
        dispatcher = self._frontend.dispatcher
        if self._frontend.lifecycle.shut_down():
            classes = dispatcher.settings.classes.values()
            longest_s = max((c.deadline_ns for c in classes), default=0) / 1e9
            self.ends_s = self._loop.time() + min(longest_s, LONGEST_DEADLINE_S) + EXIT_AFTER_DEADLINE_S
            # One turn of the loop later than the ordinary time-outs of that moment: their rejections (503)
            # are better than these failures (504).
            self._loop.call_at(
                self.ends_s - FINAL_ANSWER_MARGIN_S / 2, self._loop.call_soon, dispatcher.requests.fail_all
            )
            self.started.set()
            self._loop.call_later(ACCEPT_WHILE_DRAINING_S, self.stop_listening)

    def stop_listening(self) -> None:
        """Close the listener once nobody waits in its backlog, however long that takes.

        Failure guarded against: the kernel has completed the connections in the backlog, and closing the
        listener resets them. On a shared address another process takes them.
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
        """Close connections on which nothing has come: no request is lost with them."""
        self.idle_closed = True
        for phase in (Phase.READING_HEAD, Phase.IDLE):
            for client in list(self._frontend.table.by_phase[phase]):
                if not client.has_data and not has_unread_data(client.transport):
                    client.abort()
        self.check_finished()

    def check_finished(self) -> None:
        """Set `finished` if that is so."""
        if self._frontend.listener.closed and not self._frontend.table.clients:
            self.finished.set()
