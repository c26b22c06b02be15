"""Discovery: the first endpoint list, the watch for changes, and what to do when it does not respond."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from typing import NamedTuple

from lanelift.errors import LaneliftError
from lanelift.net.addresses import Address
from lanelift.net.dispatch import Dispatcher
from lanelift.net.endpoint_list import read_endpoint_list
from lanelift.net.exchange import Exchange
from lanelift.net.http_messages import Response, encode_message
from lanelift.net.upstream_connection import UpstreamConnection
from lanelift.policy.events import AttemptResult, EndpointUpdateKind
from lanelift.settings import Json, SettingsError

log = logging.getLogger(__name__)


class WatchTiming(NamedTuple):
    """How long a watch call waits.

    Attributes:
        hold_ms: How long discovery may hold it while nothing changes, in milliseconds.
        response_s: How long its response may take after that, in seconds.
    """

    hold_ms: int
    response_s: float


# Where an agent on this machine pushes changes it answers at once and at no cost; discovery that is polled
# works for all replicas. A watch that fell silent is noticed early enough for a fetch of the snapshot before
# the updates that it missed count as notified.
PUSH_TIMING = WatchTiming(hold_ms=1_000, response_s=0.5)
POLL_TIMING = WatchTiming(hold_ms=3_000, response_s=1.5)
SNAPSHOT_TIMEOUT_S = 2.5  # a call for the snapshot, which discovery does not hold
# An agent is silent while discovery is down; what it receives at the return counts as notified at once, and
# calls that came before are never answered. So it is called anew this often, at the latest, on connections of
# their own: a return is noticed well within the shortest drain grace, 500 ms. Older calls may still be
# answered.
RETRY_INTERVAL_S = 0.25
START_TIMEOUT_S = 0.25  # a start waits so long for the agent; then it serves from the cached list
MAX_PARALLEL_CALLS = 4  # an agent that responds at all needs no longer than these leave it
MIN_CALL_INTERVAL_S = 0.02  # whatever comes back: well within what a watch may pause
MAX_LIST_BYTES = 4 * 1024 * 1024
LIST_TARGET = b"/v1/endpoints"


class DiscoveryError(LaneliftError):
    """A call failed: discovery is down, or sent what can't be read."""


class DiscoveryTimeoutError(DiscoveryError):
    """A call had no response in its time.

    Discovery that is down ends its calls: this one may run, and the watch be broken.
    """


class Discovery:
    """Watches the endpoint list of discovery at an address.

    Attributes:
        dispatcher: Gets the updates.
        address: Where discovery is.
        push: An agent pushes changes; else discovery is polled.
        version: The newest version received; -1: none from this address.
        connection: The connection for calls, one at a time.
        watch_task: The watch.
        fetch_task: A fetch of the snapshot.
    """

    def __init__(self, dispatcher: Dispatcher, address: Address, seed: int) -> None:
        self.dispatcher = dispatcher
        self.address = address
        self.push = dispatcher.settings.discovery_push
        self.version = -1
        self.connection: UpstreamConnection | None = None
        self.watch_task: asyncio.Task[None] | None = None
        self.fetch_task: asyncio.Task[None] | None = None
        self._random = random.Random(seed)
        self._lock = asyncio.Lock()
        self._failure_logged = False

    def start(self, cached: Json | None) -> None:
        """Begin from the cached list, and watch at once where changes are pushed.

        Whoever responds may count versions otherwise than the source of the cached list: the first snapshot
        stands. What an agent has sent counts as notified from a process's first moment on, so nothing is
        forwarded by an old list.
        """
        if cached is not None:
            self.dispatcher.update_endpoints(EndpointUpdateKind.CACHED, read_endpoint_list(cached).endpoints)
        if self.push:
            self.dispatcher.await_endpoint_list(START_TIMEOUT_S)
            self.subscribe(True)

    def subscribe(self, enabled: bool) -> None:
        """Open or end the watch."""
        if self.watch_task is not None:
            self.watch_task.cancel()
        self.watch_task = asyncio.get_running_loop().create_task(self._watch()) if enabled else None

    def change_source(self, address: Address) -> None:
        """Discovery is elsewhere from now on.

        Pending calls to the old address, and waits before a retry, must not delay the new one. That one
        counts its versions for itself: its first snapshot stands. The watch begins anew also where its end
        was reported: the balancer may wait for seconds until it subscribes again.
        """
        self.address = address
        self.version = -1
        self._drop_connection()
        if self.watch_task is not None:
            self.subscribe(True)
        if self.fetch_task is not None and not self.fetch_task.done():
            self.fetch_task.cancel()
            self.fetch_task = None
            self.fetch()

    def fetch(self) -> None:
        """Fetch a snapshot, unless that is under way."""
        if self.fetch_task is None or self.fetch_task.done():
            self.fetch_task = asyncio.get_running_loop().create_task(self._fetch())

    def close(self) -> None:
        """End watch, fetch and connection."""
        for task in (self.watch_task, self.fetch_task):
            if task is not None:
                task.cancel()
        self._drop_connection()

    # ---- the watch ---------------------------------------------------------------------------------------

    async def _watch(self) -> None:
        """Without a gap: each call follows on the response before it, the snapshot comes first.

        When it fails the old list stands. Where discovery is polled the balancer is notified, and says when
        to try again; a poll that timed out behind others that worked is repeated here. What an agent has
        counts already, so a watch of one that has worked is opened anew at once.
        """
        timing = PUSH_TIMING if self.push else POLL_TIMING
        while True:
            has_snapshot = has_update = False
            try:
                await (self._reach_agent() if self.push else self._call(LIST_TARGET, SNAPSHOT_TIMEOUT_S))
                has_snapshot = True
                while True:
                    await asyncio.sleep(MIN_CALL_INTERVAL_S)
                    await self._call(
                        b"%b?from=%d&hold_ms=%d" % (LIST_TARGET, self.version, timing.hold_ms),
                        timing.hold_ms / 1000 + timing.response_s,
                    )
                    has_update = True
            except Exception as error:
                self._log_failure(error)
                if not self.push and not (has_snapshot and isinstance(error, DiscoveryTimeoutError)):
                    self.dispatcher.update_endpoints(EndpointUpdateKind.FAILED, [])
                    return
                at_once = self.push and has_update
                await asyncio.sleep(
                    MIN_CALL_INTERVAL_S if at_once else self._random.uniform(0.0, RETRY_INTERVAL_S)
                )

    async def _reach_agent(self) -> None:
        """Ask the agent for the snapshot until it responds, with several calls at once."""
        loop = asyncio.get_running_loop()
        calls: list[asyncio.Task[tuple[UpstreamConnection, Response]]] = []
        try:
            while True:
                if len(calls) == MAX_PARALLEL_CALLS:
                    calls.pop(0).cancel()
                calls.append(loop.create_task(self._call_anew()))
                next_call_s = loop.time() + self._random.uniform(0.5, 1.0) * RETRY_INTERVAL_S
                while calls and loop.time() < next_call_s:
                    done, _ = await asyncio.wait(
                        calls, timeout=next_call_s - loop.time(), return_when=asyncio.FIRST_COMPLETED
                    )
                    for call in done:
                        error = call.exception()
                        calls.remove(call)
                        if error is None:
                            self._drop_connection()
                            self.connection, response = call.result()
                            calls += done - {call}
                            self._apply(response)
                            return
                        self._log_failure(error)
                await asyncio.sleep(next_call_s - loop.time())  # all have failed: not at once again
        finally:
            for call in calls:
                if not call.cancel() and not call.cancelled() and call.exception() is None:
                    call.result()[0].abort()  # responded to at the same time as another

    async def _fetch(self) -> None:
        try:
            await self._call(LIST_TARGET, SNAPSHOT_TIMEOUT_S)
        except Exception as error:
            self._log_failure(error)
            self.dispatcher.update_endpoints(EndpointUpdateKind.FAILED, [])

    def _log_failure(self, error: BaseException) -> None:
        """One line for an outage. An error that nobody foresaw is logged with its traceback, as it must not
        end the watch for good, unseen.
        """
        expected = isinstance(error, DiscoveryError | SettingsError)
        if expected and self._failure_logged:
            return
        self._failure_logged = expected
        log.warning("discovery: %s", error or type(error).__name__, exc_info=None if expected else error)

    def _apply(self, response: Response) -> None:
        """Pass on what a response says.

        A list that is older than what is known, or no newer and partial, says nothing.
        """
        if response.status != 200:
            raise DiscoveryError(f"answered {response.status}")
        try:
            raw = json.loads(response.body)
        except (ValueError, RecursionError) as error:
            raise DiscoveryError(f"not JSON: {error}") from None
        received = read_endpoint_list(raw)
        if self._failure_logged:
            log.info("discovery answers again")
            self._failure_logged = False
        version, is_snapshot, endpoints = received.version, received.is_snapshot, received.endpoints
        if version < self.version or (version == self.version and not is_snapshot):
            endpoints, is_snapshot = [], False
        self.version = max(self.version, version)
        if endpoints or is_snapshot or not self.push:
            kind = EndpointUpdateKind.SNAPSHOT if is_snapshot else EndpointUpdateKind.DELTA
            self.dispatcher.update_endpoints(kind, endpoints)

    # ---- calls -------------------------------------------------------------------------------------------

    async def _call(self, target: bytes, timeout_s: float) -> None:
        """One call on the watch's own connection, one at a time; an update that it brings is passed on.

        An agent is reachable at once, or is better called several times (`_reach_agent`).
        """
        async with self._lock:
            if self.connection is None or self.connection.closed:
                self.connection = await self._connect(RETRY_INTERVAL_S if self.push else SNAPSHOT_TIMEOUT_S)
            response = await self._get(self.connection, target, timeout_s)
        self._apply(response)

    async def _call_anew(self) -> tuple[UpstreamConnection, Response]:
        """A call for the snapshot on a connection of its own, which is kept if it is responded to."""
        connection = await self._connect(SNAPSHOT_TIMEOUT_S)
        try:
            return connection, await self._get(connection, LIST_TARGET, SNAPSHOT_TIMEOUT_S)
        except BaseException:
            connection.abort()
            raise

    async def _connect(self, seconds: float) -> UpstreamConnection:
        connection = UpstreamConnection(lambda connection: None, lambda connection: None)
        try:
            async with asyncio.timeout(seconds):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
        except OSError as error:
            raise DiscoveryError(f"no connection: {error or 'timed out'}") from None
        return connection

    async def _get(self, connection: UpstreamConnection, target: bytes, timeout_s: float) -> Response:
        outcome: asyncio.Future[tuple[AttemptResult, Response | None]] = (
            asyncio.get_running_loop().create_future()
        )

        def finished(result: AttemptResult, response: Response | None) -> None:
            if not outcome.done():
                outcome.set_result((result, response))

        host = f"{self.address[0]}:{self.address[1]}".encode()
        request = encode_message(b"GET %b HTTP/1.1" % target, [(b"Host", host)])
        exchange = Exchange(request, finished, MAX_LIST_BYTES)
        exchange.expire_in(timeout_s)
        connection.start(exchange)
        try:
            result, response = await outcome
        finally:
            exchange.give_up(AttemptResult.CANCELLED)
        if result is AttemptResult.TIMEOUT:
            raise DiscoveryTimeoutError("no answer in time")
        if response is None:
            raise DiscoveryError(f"no answer: {result.value}")
        return response

    def _drop_connection(self) -> None:
        if self.connection is not None:
            self.connection.abort()
