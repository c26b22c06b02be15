"""Threads of the sync process, each of which reads one replica of the directory at a time.

The main thread makes all decisions: it sends orders to these threads, and they return the entries read in
events that the main thread runs.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from lanelift.tenants.client import DirectoryError, Session
from lanelift.tenants.entries import AttributeMap, Parsed, parse
from lanelift.tenants.schedule import ReadKind, ReadOrder
from lanelift.tenants.store import MAX_TENANTS
from lanelift.tenants.sync_config import Search, SyncConfig, changed_since

Event = Callable[[], None]
Events = queue.SimpleQueue[Event]
NO_SOURCE = -1


class ReadResult(NamedTuple):
    """The result of a reading.

    Attributes:
        entries: The entries received.
        failure: Why the reading is incomplete; empty: it is complete.
    """

    entries: list[Parsed]
    failure: str


def read_all(
    session: Session,
    search: Search,
    attribute_map: AttributeMap,
    on_page: Callable[[list[Parsed]], None] | None = None,
) -> ReadResult:
    """Read all entries that a search finds; stop after the page that brings them above `MAX_TENANTS`.

    Args:
        session: An open session.
        search: The search to perform.
        attribute_map: Names of the attributes to parse.
        on_page: Called with each page as it is received.
    """
    found: list[Parsed] = []
    try:
        for rows in session.pages(search):
            page = [parse(dn, attributes, attribute_map) for dn, attributes in rows]
            found += page
            if on_page is not None:
                on_page(page)
            if len(found) > MAX_TENANTS:
                return ReadResult(found, f"it shows more than {MAX_TENANTS} entries: the others are not read")
    except DirectoryError as error:
        return ReadResult(found, str(error))
    return ReadResult(found, "")


class ReplicaReader(threading.Thread):
    """Performs the readings of one kind one by one, over a connection that stays open between them."""

    def __init__(
        self,
        kind: ReadKind,
        config: SyncConfig,
        events: Events,
        on_page: Callable[[ReplicaReader, ReadOrder, list[Parsed]], None],
        on_result: Callable[[ReplicaReader, ReadOrder, ReadResult], None],
    ) -> None:
        """Prepare the thread.

        Args:
            kind: The kind of the readings.
            config: The configuration of the sync process.
            events: The queue of events that the main thread runs.
            on_page: Called in the main thread with each page of changes.
            on_result: Called in the main thread when a reading has ended.
        """
        super().__init__(name=kind, daemon=True)
        self.config = config
        self.events = events
        self.on_page = on_page
        self.on_result = on_result
        # At most one order is queued, as the schedule starts no reading while another of the same kind runs.
        # An order of None ends the thread.
        self.orders: queue.SimpleQueue[ReadOrder | None] = queue.SimpleQueue()
        self.session: Session | None = None
        self.source = NO_SOURCE

    def run(self) -> None:
        """Perform the reading of each order, until an order is None."""
        while (order := self.orders.get()) is not None:
            result = self._read(order)
            self.events.put(partial(self.on_result, self, order, result))

    def stop(self) -> None:
        """End the thread; a running reading fails immediately."""
        self.orders.put(None)
        self.disconnect()

    def disconnect(self) -> None:
        """Close the connection. Any thread may call this; a running reading fails immediately."""
        session, self.session = self.session, None
        if session is not None:
            session.close()

    def _read(self, order: ReadOrder) -> ReadResult:
        search, on_page = self.config.search, None
        if order.kind is ReadKind.CHANGES:
            search = changed_since(search, self.config.map, order.since_us)
            on_page = partial(self._page_received, order)
        # The main thread may disconnect at any time, which sets `self.session` to None. A reading that used
        # `self.session` again would fail with an AttributeError and end the thread, so it uses a local name.
        session = self.session
        if session is None or self.source != order.source:
            self.disconnect()
            self.source = order.source
            session = self.session = Session(self.config.directories[order.source])
            try:
                session.open()
            except DirectoryError as error:
                self._drop(session)
                return ReadResult([], str(error))
        result = read_all(session, search, self.config.map, on_page)
        if result.failure:
            self._drop(session)
        return result

    def _drop(self, session: Session) -> None:
        session.close()
        self.session = None

    def _page_received(self, order: ReadOrder, page: list[Parsed]) -> None:
        self.events.put(partial(self.on_page, self, order, page))
