"""The discovery client: fetches the endpoint list, watches for changes and retries failed calls.

An update "counts as delivered" once the platform treats this balancer as notified of the change, even if the
balancer has not received the update (`Rules.notification_deadline_ns`).
"""

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
    """The time limits of a watch call.

    Attributes:
        hold_ms: How long discovery may hold the call while nothing changes, in milliseconds.
        response_s: How long the response may take after that, in seconds.
    """

    hold_ms: int
    response_s: float


# An agent that pushes changes runs on this machine, so calls to it are fast and cheap; a polled discovery
# server serves all replicas. With these limits a silent watch is noticed early enough to fetch the snapshot
# before the updates that the watch missed count as delivered.
PUSH_TIMING = WatchTiming(hold_ms=1_000, response_s=0.5)
POLL_TIMING = WatchTiming(hold_ms=3_000, response_s=1.5)
SNAPSHOT_TIMEOUT_S = 2.5  # time limit of a snapshot call; discovery answers it without holding the call
# An agent does not respond while discovery is down. The updates that it receives when discovery returns
# count as delivered immediately, and calls that were made before are never answered. So a new call is made at
# least this often, each on its own connection: the return is noticed well within the shortest drain grace
# period, 500 ms. Older calls stay open, as a slow agent may still answer them.
RETRY_INTERVAL_S = 0.25
START_TIMEOUT_S = 0.25  # without an answer after this time, a starting process serves from the cached list
# at this number of open calls the oldest is cancelled; a working agent responds before the number is reached
MAX_PARALLEL_CALLS = 4
# shortest time between a response and the next call; well below the longest pause that is allowed
MIN_CALL_INTERVAL_S = 0.02
MAX_LIST_BYTES = 4 * 1024 * 1024
LIST_TARGET = b"/v1/endpoints"


class DiscoveryError(LaneliftError):
    """A call failed: discovery is down, or its response is invalid."""


class DiscoveryTimeoutError(DiscoveryError):
    """A call had no response within its time-out.

    Calls to a discovery server that is down end before their time-out. So after a time-out the server may be
    up, with only the watch broken.
    """


class Discovery:
    """Watches the endpoint list of the discovery server at an address.

    Attributes:
        dispatcher: The dispatcher that receives the updates.
        address: The server's address.
        push: Whether an agent pushes changes; otherwise the server is polled.
        version: The newest version received; -1 if none was received from this address.
        connection: The connection for calls, which are made one at a time.
        watch_task: The task of the watch.
        fetch_task: The task of a snapshot fetch.
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
        """Applies the cached list, and starts the watch if changes are pushed.

        The server that responds may number versions differently from the source of the cached list, so the
        server's first snapshot is always accepted. Updates that an agent has sent count as delivered from the
        start of the process on, so no request is forwarded before the agent has sent its list or
        `START_TIMEOUT_S` is over.
        """
        if cached is not None:
            self.dispatcher.update_endpoints(EndpointUpdateKind.CACHED, read_endpoint_list(cached).endpoints)
        if self.push:
            self.dispatcher.await_endpoint_list(START_TIMEOUT_S)
            self.subscribe(True)

    def subscribe(self, enabled: bool) -> None:
        """Starts or ends the watch."""
        if self.watch_task is not None:
            self.watch_task.cancel()
        self.watch_task = asyncio.get_running_loop().create_task(self._watch()) if enabled else None

    def change_source(self, address: Address) -> None:
        """Changes the discovery server's address.

        Pending calls to the old address, and waits before a retry, must not delay calls to the new one. The
        new server numbers versions independently, so its first snapshot is accepted. The watch is restarted
        even after its failure was reported, as the balancer may wait for seconds before it subscribes again.
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
        """Fetches a snapshot, unless a fetch is in progress."""
        if self.fetch_task is None or self.fetch_task.done():
            self.fetch_task = asyncio.get_running_loop().create_task(self._fetch())

    def close(self) -> None:
        """Ends the watch and any fetch, and closes the connection."""
        for task in (self.watch_task, self.fetch_task):
            if task is not None:
                task.cancel()
        self._drop_connection()

    # ---- the watch ---------------------------------------------------------------------------------------

    async def _watch(self) -> None:
        """Runs the watch: fetches the snapshot, then makes each call right after the previous response.

        After a failure the old list stays in use. A polled watch that times out after its snapshot is
        reopened here; after any other failure of polling the balancer is notified, and decides when to
        subscribe again. An agent's updates count as delivered already, so a watch that an agent has answered
        is reopened immediately.
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
                is_immediate = self.push and has_update
                await asyncio.sleep(
                    MIN_CALL_INTERVAL_S if is_immediate else self._random.uniform(0.0, RETRY_INTERVAL_S)
                )

    async def _reach_agent(self) -> None:
        """Requests the snapshot from the agent, with several calls in parallel, until the agent responds."""
        loop = asyncio.get_running_loop()
        calls: list[asyncio.Task[tuple[UpstreamConnection, Response]]] = []
        try:
            while True:
                if len(calls) == MAX_PARALLEL_CALLS:
                    calls.pop(0).cancel()
                calls.append(loop.create_task(self._call_on_new_connection()))
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
                await asyncio.sleep(next_call_s - loop.time())  # all calls have failed: wait before the next
        finally:
            for call in calls:
                if not call.cancel() and not call.cancelled() and call.exception() is None:
                    call.result()[0].abort()  # the call has just succeeded, but its connection is not needed

    async def _fetch(self) -> None:
        try:
            await self._call(LIST_TARGET, SNAPSHOT_TIMEOUT_S)
        except Exception as error:
            self._log_failure(error)
            self.dispatcher.update_endpoints(EndpointUpdateKind.FAILED, [])

    def _log_failure(self, error: BaseException) -> None:
        """Logs one line for an outage. An unexpected error is logged each time with its traceback, as an
        error must not end the watch silently.
        """
        expected = isinstance(error, DiscoveryError | SettingsError)
        if expected and self._failure_logged:
            return
        self._failure_logged = expected
        log.warning("discovery: %s", error or type(error).__name__, exc_info=None if expected else error)

    def _apply(self, response: Response) -> None:
        """Passes the update in a response to the dispatcher.

        A list older than the known version, or a partial list that is not newer, is ignored.
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
        """Makes a call on `connection`, one at a time, and applies the response.

        The connect time-out is short for an agent: if the agent does not accept soon, this call fails and is
        followed by several parallel calls (`_reach_agent`), which reach the agent earlier.
        """
        async with self._lock:
            if self.connection is None or self.connection.closed:
                self.connection = await self._connect(RETRY_INTERVAL_S if self.push else SNAPSHOT_TIMEOUT_S)
            response = await self._get(self.connection, target, timeout_s)
        self._apply(response)

    async def _call_on_new_connection(self) -> tuple[UpstreamConnection, Response]:
        """Fetches the snapshot on a new connection, and returns the connection with the response."""
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
