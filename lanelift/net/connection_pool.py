"""The pool of connections to upstreams, which gives each exchange an idle connection or a new one."""

from __future__ import annotations

import asyncio
import errno
import logging
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field

from lanelift.net.endpoints import ResolvedEndpoint
from lanelift.net.event_log import EventKind, EventLog
from lanelift.net.exchange import Exchange
from lanelift.net.handshakes import HandshakeEstimator, HandshakeTimer
from lanelift.net.memory import MemoryGuard
from lanelift.net.socket_options import is_quiescent
from lanelift.net.upstream_connection import UpstreamConnection
from lanelift.policy.connection_reuse import ResponseTimes, UpstreamTrust
from lanelift.policy.events import AttemptResult, EndpointState
from lanelift.policy.settings import Limits

log = logging.getLogger(__name__)

# Idle connections are closed after this fraction of the upstreams' own idle time-out.
IDLE_TIMEOUT_FRACTION = 0.6
NS_PER_S = 1e9
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)
SHORTAGE_LOG_INTERVAL_S = 5.0


@dataclass(slots=True, eq=False)
class UpstreamTarget:
    """An upstream's address and the connections to it.

    Attributes:
        endpoint: The upstream's entry in the endpoint list.
        idle: Its idle connections in the order in which they were released, the newest last.
        connecting: Exchanges that wait for a new connection.
        idle_timer: The timer that closes the connection that has been idle for longest.
        is_ready: Whether the upstream is listed as ready: requests may be written, and released connections
            are kept.
        trust: How far the upstream is trusted to send nothing but the responses to its requests.
    """

    endpoint: ResolvedEndpoint
    idle: list[UpstreamConnection] = field(default_factory=list)
    connecting: set[Exchange] = field(default_factory=set)
    idle_timer: asyncio.TimerHandle | None = None
    is_ready: bool = True
    trust: UpstreamTrust = field(default_factory=UpstreamTrust)


class ConnectionPool:
    """Connections to all upstreams, with one cap on their number.

    Attributes:
        connect_timeout_s: How long a handshake may take, in seconds.
        handshakes: The estimator of how long a request waits for a handshake.
        idle_timeout_s: The idle time after which a connection is closed, in seconds.
        max_connections: The cap.
        targets: The listed upstreams by number.
        numbers_by_address: The number of the upstream at each address.
        response_times: Whether responses are slow enough for connections that have not settled.
        open_connections: The number of connections, including those that are being opened.
        connect_tasks: The tasks of handshakes in progress.
        memory: Limits what the connections buffer.
        events: Counts the bytes that upstreams sent to no request.
    """

    def __init__(
        self,
        limits: Limits,
        max_connections: int,
        memory: MemoryGuard | None = None,
        events: EventLog | None = None,
    ) -> None:
        self.connect_timeout_s = limits.connect_timeout_ns / 1e9
        self.handshakes = HandshakeEstimator(self.connect_timeout_s)
        self.idle_timeout_s = limits.upstream_idle_timeout_ns * IDLE_TIMEOUT_FRACTION / 1e9
        self.max_connections = max_connections
        self.targets: dict[int, UpstreamTarget] = {}
        self.numbers_by_address: dict[tuple[str, int], int] = {}
        self.response_times = ResponseTimes()
        self.open_connections = 0
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.memory = memory
        self.events = events
        self._shortage_logged_until = 0.0

    # ---- the endpoint list -------------------------------------------------------------------------------

    def update_endpoints(self, endpoints: Iterable[ResolvedEndpoint], is_snapshot: bool) -> None:
        """Applies an update of the endpoint list.

        Idle connections to an upstream that drains, restarted, moved or was removed are closed immediately.
        Exchanges that wait for a new connection to such an upstream are given up, so that their requests go
        to other upstreams: the handshake could outlast the drain's grace period.
        """
        listed = set()
        for new in endpoints:
            listed.add(new.entry.id)
            target = self.targets.get(new.entry.id)
            if new.entry.state is EndpointState.REMOVED:
                self._remove(new.entry.id)
                continue
            if target is None or target.endpoint.process != new.process:
                # The upstream's process was replaced: connections to the old process that are in use now are
                # not kept after their exchange.
                self._remove(new.entry.id)
                target = self.targets[new.entry.id] = UpstreamTarget(new)
            target.endpoint = new
            self.numbers_by_address[new.host, new.port] = new.entry.id
            target.is_ready = new.entry.state is EndpointState.READY
            if not target.is_ready:
                self._drop(target)
        if is_snapshot:
            for number in self.targets.keys() - listed:
                self._remove(number)

    def _remove(self, number: int) -> None:
        target = self.targets.pop(number, None)
        if target is not None:
            address = target.endpoint.host, target.endpoint.port
            if self.numbers_by_address.get(address) == number:
                del self.numbers_by_address[address]
            target.is_ready = False
            self._drop(target)

    def _drop(self, target: UpstreamTarget) -> None:
        for connection in list(target.idle):
            connection.abort()
        for exchange in list(target.connecting):
            exchange.give_up(AttemptResult.NOT_SENT)
        if target.idle_timer is not None:
            target.idle_timer.cancel()
            target.idle_timer = None

    # ---- a connection for an exchange --------------------------------------------------------------------

    def start(self, target: UpstreamTarget, exchange: Exchange, is_probe: bool = False) -> None:
        """Starts an exchange on an idle or a new connection. Its outcome is never reported within this call.

        If its request may not be written any more, or the cap is reached and no connection to any upstream is
        idle, the exchange ends with NOT_SENT.
        """
        loop = asyncio.get_running_loop()
        connection = self._take_idle(target, exchange, is_probe)
        if connection is not None:
            if not self._write(target, connection, exchange):
                loop.call_soon(exchange.give_up, AttemptResult.NOT_SENT)
            return
        if not target.is_ready or _client_left(exchange):
            loop.call_soon(exchange.give_up, AttemptResult.NOT_SENT)
            return
        if self.open_connections >= self.max_connections and not self._close_longest_idle():
            self._log_shortage()
            loop.call_soon(exchange.give_up, AttemptResult.NOT_SENT)
            return
        self.open_connections += 1
        # recorded now and not when the task begins, so that a drain in between gives the exchange up
        target.connecting.add(exchange)
        task = loop.create_task(self._connect(target, exchange))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    def _take_idle(
        self, target: UpstreamTarget, exchange: Exchange, is_probe: bool
    ) -> UpstreamConnection | None:
        """Takes the newest settled idle connection, if there is one, so that older connections can time out.

        Failure guarded against: bytes that a server sends after a response, such as a second copy or noise,
        would be read as the answer to the next request. They arrive within milliseconds, so a connection is
        used only after it has settled (`lanelift.policy.connection_reuse`). If none has, and the upstream is
        trusted, the oldest may serve a load probe, whose wrong result would reach no client. The oldest may
        also serve a GET request if responses are slow; bytes that come before it settles are not accepted as
        the response.
        """
        idle = target.idle
        now_s = asyncio.get_running_loop().time()
        now_ns = int(now_s * NS_PER_S)
        settle_s = target.trust.settle_ns(now_ns) / NS_PER_S
        settled_s = now_s - settle_s
        # A binary search, as under a high load most idle connections have not settled.
        settled = bisect_right(idle, settled_s, key=lambda connection: connection.idle_since)
        for place in range(settled - 1, -1, -1):
            if _is_usable(idle[place]):
                return idle.pop(place)
        may_be_unsettled = target.trust.is_trusted(now_ns) and (
            is_probe or (exchange.is_get and self.response_times.are_slow)
        )
        if idle and not settled and may_be_unsettled and _is_usable(idle[0]):
            exchange.settles_s = 0.0 if is_probe else idle[0].idle_since + settle_s
            return idle.pop(0)
        return None

    def _log_shortage(self) -> None:
        """Logs that the cap is reached, but only at intervals: during a shortage each request would cause a
        line."""
        now = asyncio.get_running_loop().time()
        if now >= self._shortage_logged_until:
            self._shortage_logged_until = now + SHORTAGE_LOG_INTERVAL_S
            log.warning("no upstream connection available: %d open", self.open_connections)

    async def _connect(self, target: UpstreamTarget, exchange: Exchange) -> None:
        connection = UpstreamConnection(
            lambda connection: self._release(target, connection),
            lambda connection: self._forget(target, connection),
            self.memory,
            lambda: self._distrust(target),
            self.response_times,
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        timer = HandshakeTimer(
            self.handshakes.timeout_s, lambda: exchange.give_up(AttemptResult.CONNECT_FAILED)
        )
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await loop.create_connection(lambda: connection, target.endpoint.host, target.endpoint.port)
        except Exception as error:  # an OSError, or any error that an invalid address raises
            if connection.transport is None:  # in the other case `abort` calls `_forget`, which does the same
                self.open_connections -= 1
            connection.abort()
            # A shortage of descriptors in this process is no fault of the upstream.
            is_local = isinstance(error, OSError) and error.errno in OUT_OF_DESCRIPTORS
            exchange.give_up(AttemptResult.NOT_SENT if is_local else AttemptResult.CONNECT_FAILED)
            return
        finally:
            timer.cancel()
            target.connecting.discard(exchange)
        self.handshakes.record(loop.time() - started_s)
        self._connected(target, connection, exchange)

    def _connected(self, target: UpstreamTarget, connection: UpstreamConnection, exchange: Exchange) -> None:
        """Starts an exchange on its new connection, unless its request may not be written any more."""
        if connection.closed:
            exchange.give_up(AttemptResult.CONNECT_FAILED)
        elif not self._write(target, connection, exchange):
            exchange.give_up(AttemptResult.NOT_SENT)

    def _write(self, target: UpstreamTarget, connection: UpstreamConnection, exchange: Exchange) -> bool:
        """Writes the request of an exchange, or releases the connection if that is not allowed any more.

        Failure guarded against: an attempt is decided at one time and written at a later one, for example
        when its connection comes up late. By then its client may have left, its upstream may drain, or the
        time for it may be over. So each request to an upstream is written here, where this is checked again.

        Returns:
            Whether the request was written.
        """
        if exchange.prepare(target.is_ready):
            connection.start(exchange)
            return True
        self._release(target, connection)  # another exchange can use the connection
        return False

    def _distrust(self, target: UpstreamTarget) -> None:
        """Trusts an upstream less for a while, as it has sent bytes that belong to no request."""
        target.trust.unrequested_bytes_received(int(asyncio.get_running_loop().time() * NS_PER_S))
        if self.events is not None:
            self.events.record(EventKind.UNREQUESTED_BYTES, f"upstream {target.endpoint.entry.id:x}")

    # ---- idle connections --------------------------------------------------------------------------------

    def _release(self, target: UpstreamTarget, connection: UpstreamConnection) -> None:
        if not target.is_ready or self.open_connections > self.max_connections:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        target.idle.append(connection)
        if target.idle_timer is None:
            self._watch_idle(target)

    def _watch_idle(self, target: UpstreamTarget) -> None:
        """Sets the upstream's idle timer to when its oldest idle connection expires."""
        target.idle_timer = asyncio.get_running_loop().call_at(
            target.idle[0].idle_since + self.idle_timeout_s, self._close_expired, target
        )

    def _close_expired(self, target: UpstreamTarget) -> None:
        """Closes the connections that have been idle for too long.

        Failure guarded against: a request that is written while the upstream closes the idle connection ends
        in a reset, and may have run. So connections are closed well before the upstream's own idle limit.
        """
        target.idle_timer = None
        now = asyncio.get_running_loop().time()
        for connection in [c for c in target.idle if c.idle_since + self.idle_timeout_s <= now]:
            connection.abort()
        if target.idle:
            self._watch_idle(target)

    def _forget(self, target: UpstreamTarget, connection: UpstreamConnection) -> None:
        if connection.transport is not None:
            self.open_connections -= 1
        if connection in target.idle:
            target.idle.remove(connection)

    def _close_longest_idle(self) -> bool:
        """Makes room at the cap; returns False if no connection is idle."""
        longest_idle = min(
            (target.idle[0] for target in self.targets.values() if target.idle),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if longest_idle is None:
            return False
        longest_idle.abort()
        return True

    def set_max_connections(self, connections: int) -> None:
        """Changes the cap. Excess connections are closed: idle connections now, others on their release."""
        self.max_connections = connections
        while self.open_connections > connections and self._close_longest_idle():
            pass

    def close(self) -> None:
        """Cancels handshakes and closes idle connections."""
        for task in self.connect_tasks:
            task.cancel()
        for number in list(self.targets):
            self._remove(number)


def _is_usable(connection: UpstreamConnection) -> bool:
    """Returns whether a connection is open and has no unread data, as far as the kernel knows."""
    transport = connection.transport
    return transport is not None and not transport.is_closing() and is_quiescent(transport)


def _client_left(exchange: Exchange) -> bool:
    """Returns whether the client has disconnected; the loop may not have reported it yet."""
    return exchange.sink is not None and not exchange.sink.is_client_connected()
