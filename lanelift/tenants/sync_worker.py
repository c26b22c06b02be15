"""The process that reads directories for one balancer: `python -m lanelift.tenants.sync_worker`.

The process receives its configuration as a line of JSON on standard input, and another line when the
configuration changes; it sends the changes of tenants as lines of JSON on standard output
(`sync_messages.py`). All work that takes long or may block runs here: the threads that use `ldap3`, DNS
lookups, and the processing of 50,000 entries. The process exits when its input ends.
"""

from __future__ import annotations

import json
import os
import queue
import random
import sys
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Any, BinaryIO

from lanelift.tenants.entries import Parsed
from lanelift.tenants.replica_reader import Events, ReadResult, ReplicaReader
from lanelift.tenants.schedule import ReadKind, ReadOrder, Schedule
from lanelift.tenants.store import Reading, TenantStore
from lanelift.tenants.sync_config import SyncConfig
from lanelift.tenants.sync_messages import (
    Configure,
    FirstReadComplete,
    LogRecord,
    SyncMessage,
    change_messages,
    encoded,
)
from lanelift.tenants.tenant_state import Changes

MAX_LOG_CHARACTERS = 1000  # limits a log message, as texts from directories may have any length
MAX_HUNG_THREADS = 4  # the process exits once this many threads hang (in a DNS lookup)
# An interval is shortened by up to this random fraction, so that balancers do not all search at once.
INTERVAL_JITTER = 0.1
JOIN_TIMEOUT_S = 0.2  # longest wait for a thread to end after its connection was closed


class SyncWorker:
    """The main thread of the sync process, which alone uses the store and the schedule, and sends messages.

    Attributes:
        events: Functions to be run by the main thread, from the readers' threads and from standard input.
        store: The state of each tenant.
        config: The configuration; None until it is received.
        schedule: The schedule of readings; None until the configuration is received.
        readers: The thread for each kind of reading.
        began_revision: By kind: the store's revision when the running reading began.
        hung_threads: Number of abandoned threads.
        awaiting_first_read: Whether no full read that found entries has been completed yet.
        stopping: Whether the process is to exit.
        faults: By directory: why it can't be read.
        changes_found: Whether the running read of changes has changed a tenant.
    """

    def __init__(
        self,
        send: Callable[[SyncMessage], None],
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create a worker without a configuration.

        Args:
            send: Sends a message to the balancer.
            clock: Returns the seconds of a monotonic clock.
            wall_clock: Returns the seconds since 1970.
        """
        self.send = send
        self.clock = clock
        self.wall_clock = wall_clock
        self.events: Events = queue.SimpleQueue()
        self.store = TenantStore(notify=self._log)
        self.config: SyncConfig | None = None
        self.schedule: Schedule | None = None
        self.readers: dict[ReadKind, ReplicaReader] = {}
        self.began_revision: dict[ReadKind, int] = {}
        self.hung_threads = 0
        self.awaiting_first_read = True
        self.stopping = False
        self.faults: dict[str, str] = {}
        self.changes_found = False

    def receive(self, raw: dict[str, Any]) -> None:
        """Handle one line of standard input, which is decoded JSON.

        Raises:
            KeyError: A key is missing.
            TypeError: A part of the configuration has an unknown or a missing key.
        """
        self.configure(Configure.from_json(raw))

    def configure(self, message: Configure) -> None:
        """Apply a new configuration; readings of the previous one are given up."""
        config = message.config
        self.store.guard.removal_part = config.removal_part
        self.store.guard.confirmed = config.confirmed
        if message.known is not None:
            self.store.seed(message.known)
        if self.config is not None:
            self.store.reconfigure()
        self.config = config
        self.schedule = self._new_schedule(config)
        self.faults.clear()
        for reader in self.readers.values():
            reader.stop()
        self.readers = {kind: self._start_reader(kind) for kind in (ReadKind.FULL, ReadKind.CHANGES)}

    def _new_schedule(self, config: SyncConfig) -> Schedule:
        schedule = Schedule(
            len(config.directories),
            config.change_interval_s * random.uniform(1 - INTERVAL_JITTER, 1),
            config.full_interval_s * random.uniform(1 - INTERVAL_JITTER, 1),
            config.full_timeout_s,
            bool(config.map.stamp),
            self.clock(),
        )
        if not self.awaiting_first_read:
            schedule.changes.due_s = self.clock()
        return schedule

    def _start_reader(self, kind: ReadKind) -> ReplicaReader:
        assert self.config is not None
        reader = ReplicaReader(kind, self.config, self.events, self._page_received, self._result_received)
        reader.start()
        return reader

    def step(self) -> None:
        """Begin the readings that are due, give up overdue ones, and wait for the next event."""
        now_s = self.clock()
        if self.schedule is not None:
            for order in self.schedule.overdue(now_s):
                self._give_up(order)
            clock_us = round(self.wall_clock() * 1e6)
            for order in self.schedule.start_due(now_s, self.store.latest_stamp_us(), clock_us):
                self._begin(order)
        self._send_changes(self.store.tick(self.wall_clock()))
        try:
            event = self.events.get(timeout=self._wait_s())
        except queue.Empty:
            return
        event()

    def _wait_s(self) -> float | None:
        """Return the seconds until something is due, or None if nothing is due before the next event."""
        waits = []
        if self.schedule is not None and (due_s := self.schedule.next_s()) is not None:
            waits.append(due_s - self.clock())
        if (boundary_s := self.store.next_s()) is not None:
            waits.append(boundary_s - self.wall_clock())
        return max(0.0, min(waits)) if waits else None

    def _begin(self, order: ReadOrder) -> None:
        self.began_revision[order.kind] = self.store.revision
        if order.kind is ReadKind.CHANGES:
            self.changes_found = False
        self.readers[order.kind].orders.put(order)

    def _give_up(self, order: ReadOrder) -> None:
        """Close the connection of an overdue reading, abandon its thread and start another."""
        assert self.schedule is not None
        reader = self.readers[order.kind]
        reader.stop()
        reader.join(JOIN_TIMEOUT_S)
        self.hung_threads += reader.is_alive()
        if self.hung_threads >= MAX_HUNG_THREADS:
            self._log("error", "DNS lookups of directories hang: the reader of directories is restarted")
            self.stopping = True
        self.readers[order.kind] = self._start_reader(order.kind)
        self._report_fault(order, "it was not read in time")
        self.schedule.failed(order, self.clock())

    def _is_current(self, reader: ReplicaReader, order: ReadOrder) -> bool:
        """Return whether a thread still performs the readings of its kind.

        The readings of an abandoned thread are ignored: they belong to an earlier configuration, or
        another thread has been ordered to perform them.
        """
        return self.schedule is not None and reader is self.readers.get(order.kind)

    def _page_received(self, reader: ReplicaReader, order: ReadOrder, page: list[Parsed]) -> None:
        """Merge a page of changes, so that a suspension on it does not wait for the other pages."""
        if not self._is_current(reader, order):
            return
        assert self.schedule is not None
        self.schedule.page_received(order, self.clock())
        changes = self.store.merge(Reading(order.source, page, complete=False), self.wall_clock())
        self.changes_found = self.changes_found or bool(changes)
        self._send_changes(changes)

    def _result_received(self, reader: ReplicaReader, order: ReadOrder, result: ReadResult) -> None:
        """Handle the end of a reading: merge a full read, and plan the next reading of this kind."""
        if not self._is_current(reader, order):
            return
        assert self.schedule is not None
        now_s = self.clock()
        is_full = order.kind is ReadKind.FULL
        complete = is_full and not result.failure
        changes = Changes()
        if is_full:
            began = self.began_revision[order.kind]
            reading = Reading(order.source, result.entries, complete, began)
            changes = self.store.merge(reading, self.wall_clock())
        if result.failure:
            self._report_fault(order, result.failure)
            self.schedule.failed(order, now_s)
        else:
            self._read_succeeded(order, len(result.entries), now_s)
        self._send_changes(changes)
        if complete and self.awaiting_first_read and result.entries:
            # From now on a tenant that was not sent is unknown. So an empty reading does not count, as it
            # would make all tenants unknown.
            self.awaiting_first_read = False
            self.send(FirstReadComplete(len(self.store.sent)))

    def _read_succeeded(self, order: ReadOrder, found: int, now_s: float) -> None:
        assert self.schedule is not None
        if found or order.kind is ReadKind.CHANGES:
            self._clear_fault(order)
        else:
            self._report_fault(order, "it shows no entry at all (a wrong base or filter, a lost permission?)")
        self.schedule.done(order, now_s, found, self.changes_found)
        if order.kind is ReadKind.FULL or order.since_us > self.store.marks_us.get(order.source, 0):
            return
        # The directory has an entry with a stamp in this range, so a read of changes must return one.
        if self.schedule.validate_changes(order, now_s, bool(found)):
            server = self.config.directories[order.source] if self.config else "?"
            self._log("warning", f"{server} does not find changes by their time: it is read in full")

    def _server(self, order: ReadOrder) -> str:
        assert self.config is not None
        return str(self.config.directories[order.source])

    def _report_fault(self, order: ReadOrder, reason: str) -> None:
        """Log why a directory can't be read, unless the reason is the same as before."""
        server = self._server(order)
        if self.faults.get(server) != reason:
            self.faults[server] = reason
            self._log("warning", f"directory {server}: {reason}")

    def _clear_fault(self, order: ReadOrder) -> None:
        server = self._server(order)
        if self.faults.pop(server, None) is not None:
            self._log("info", f"directory {server} is read again")

    def _send_changes(self, changes: Changes) -> None:
        for message in change_messages(changes):
            self.send(message)

    def _log(self, level: str, text: str) -> None:
        self.send(LogRecord(level, text[:MAX_LOG_CHARACTERS]))


def receive_lines(lines: BinaryIO, worker: SyncWorker) -> None:
    """Pass each line of standard input, and its end, to the worker as an event."""

    def stop() -> None:
        worker.stopping = True

    for line in lines:
        worker.events.put(partial(worker.receive, json.loads(line)))
    worker.events.put(stop)


def main() -> int:
    """Run the process until its input ends or its output is closed."""
    output = sys.stdout.buffer

    def send(message: SyncMessage) -> None:
        output.write(encoded(message))
        output.flush()

    worker = SyncWorker(send)
    threading.Thread(target=receive_lines, args=(sys.stdin.buffer, worker), daemon=True).start()
    try:
        while not worker.stopping:
            worker.step()
    except BrokenPipeError:  # the balancer has ended
        pass
    os._exit(0)  # threads that hang in a DNS lookup must not keep the process running


if __name__ == "__main__":
    sys.exit(main())
