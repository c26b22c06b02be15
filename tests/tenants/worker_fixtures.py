"""A sync worker that runs in a thread of the test, its messages, and an emulated directory."""

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
    """The state that a balancer would have after the messages of a worker."""

    def __init__(self) -> None:
        super().__init__()
        self.tenants: dict[str, str] = {}  # denial reason by tenant
        self.log: list[str] = []
        self.complete: list[int] = []
        self.loop = asyncio.get_running_loop()

    def send(self, message: SyncMessage) -> None:
        self.loop.call_soon_threadsafe(self._handle, decoded(encoded(message)))

    def _handle(self, message: SyncMessage | None) -> None:
        match message:
            case TenantsChanged(tenants):
                self.tenants.update((tenant.name, tenant.denial_reason) for tenant in tenants)
            case TenantsRemoved(names):
                for name in names:
                    self.tenants.pop(name, None)
            case FirstReadComplete(count):
                self.complete.append(count)
            case LogRecord(_, text):
                self.log.append(text)
        self.notify()

    def logged(self, words: str) -> bool:
        """Return whether a log message contains these words."""
        return any(words in text for text in self.log)


@asynccontextmanager
async def running_worker(
    first: SyncConfig, **more: Any
) -> AsyncIterator[tuple[Received, Callable[[Json], None]]]:
    """Run a worker; yield the state that it has sent, and a function that sends it a message."""
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
