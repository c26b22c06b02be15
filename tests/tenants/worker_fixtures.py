"""A sync worker in a thread of the test, what it has sent, and an emulated directory for it to read."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from lanelift.standins.directory import Directory
from lanelift.standins.ldap import Tree
from lanelift.tenants.sync_config import SyncConfig
from lanelift.tenants.sync_messages import (
    FirstReadComplete,
    LogRecord,
    SyncMessage,
    TenantsChanged,
    TenantsRemoved,
    decoded,
    encoded,
)
from lanelift.tenants.sync_worker import SyncWorker
from tests.fakes import Observable

Json = dict[str, Any]


class Received(Observable):
    """What a worker has sent, put together as a balancer would."""

    def __init__(self) -> None:
        super().__init__()
        self.holds: dict[str, str] = {}  # name: why it is denied
        self.log: list[str] = []
        self.complete: list[int] = []
        self.loop = asyncio.get_running_loop()

    def send(self, message: SyncMessage) -> None:
        self.loop.call_soon_threadsafe(self._take, decoded(encoded(message)))

    def _take(self, message: SyncMessage | None) -> None:
        match message:
            case TenantsChanged(tenants):
                self.holds.update((tenant.name, tenant.denial_reason) for tenant in tenants)
            case TenantsRemoved(names):
                for name in names:
                    self.holds.pop(name, None)
            case FirstReadComplete(count):
                self.complete.append(count)
            case LogRecord(_, text):
                self.log.append(text)
        self.notify()

    def logged(self, words: str) -> bool:
        """Tell whether a line of the log has these words."""
        return any(words in text for text in self.log)


@asynccontextmanager
async def reading(first: SyncConfig, **more: Any) -> AsyncIterator[tuple[Received, Callable[[Json], None]]]:
    """Run a worker; yield what it has sent, and a function that sends it another message."""
    received = Received()
    worker = SyncWorker(received.send)

    def send(message: Json) -> None:
        worker.events.put(lambda: worker.receive(message))

    def run_worker() -> None:
        while not worker.stopping:
            worker.step()

    def stop() -> None:
        worker.stopping = True
        for reader in worker.readers.values():
            reader.stop()

    send({"job": first.to_json(), **more})
    thread = threading.Thread(target=run_worker)
    thread.start()
    try:
        yield received, send
    finally:
        worker.events.put(stop)
        await asyncio.to_thread(thread.join)


@asynccontextmanager
async def directory(tree: Tree, **more: Any) -> AsyncIterator[Directory]:
    """Run an emulated directory."""
    found = Directory(tree, **more)
    await found.start()
    try:
        yield found
    finally:
        found.stop()
