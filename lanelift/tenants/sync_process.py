"""The balancer's side of tenants from directories.

`SyncProcess` keeps the sync process (`sync_worker.py`) running, and posts the changes that it receives from
that process to the dispatcher, as `TenantUpdate`. Nothing here blocks, whatever the directories do: only the
sync process connects to them, and each iteration of the event loop handles at most one line from it.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import sys
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from functools import lru_cache

from lanelift.net.dispatch import Dispatcher
from lanelift.policy.events import TenantUpdate
from lanelift.policy.settings import Tenant, UnknownTenants
from lanelift.tenants.names import folded
from lanelift.tenants.sync_config import SyncConfig
from lanelift.tenants.sync_messages import (
    MAX_LINE_BYTES,
    Configure,
    FirstReadComplete,
    LogRecord,
    SyncMessage,
    TenantsChanged,
    TenantsRemoved,
    decoded,
    encoded,
)
from lanelift.tenants.tenant_state import TenantState

log = logging.getLogger(__name__)

# Seconds to wait before the process is restarted, by the number of consecutive times that the process ended
# without an update. Normally the process does not end.
RESTART_BACKOFF_S = (0.2, 1.0, 5.0, 30.0)
# Limits the entries of the cache of class sets, and of the cache of limits; most tenants share a few of each.
MAX_SHARED_SETS = 4096
LOG_LEVELS = {"info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


@dataclass(frozen=True, slots=True)
class TenantSource:
    """The directories of a configuration; `attach` creates the object that reads them.

    Attributes:
        config: The configuration of the sync process.
        unknown_tenants: How the requests of a tenant that no directory shows are treated.
        wait_s: How long /ready waits for the first reading, in seconds; 0: it does not wait.
        configured_tenants: The tenants of the settings, by name, which apply until a directory is read.
    """

    config: SyncConfig
    unknown_tenants: UnknownTenants
    wait_s: float
    configured_tenants: Mapping[str, Tenant] = field(default_factory=dict)

    def attach(self, dispatcher: Dispatcher) -> SyncProcess:
        """Return a `SyncProcess`, not yet started, that reads these directories for a dispatcher."""
        return SyncProcess(dispatcher, self)


class SyncProcess:
    """Keeps a sync process running for as long as the balancer runs.

    Attributes:
        dispatcher: Receives the updates.
        source: The directories to read.
        process: The running process, if any.
        task: Starts the process, and restarts it when it ends.
        first_read_complete: Whether a directory has been read completely.
        gc_frozen: Whether the objects of the first reading have been exempted from garbage collection.
        updates: Number of messages that led to a `TenantUpdate`.
    """

    def __init__(self, dispatcher: Dispatcher, source: TenantSource) -> None:
        """Set up without starting; from now on the dispatcher compares tenant names as directories do."""
        self.dispatcher = dispatcher
        self.source = source
        self.process: asyncio.subprocess.Process | None = None
        self.task: asyncio.Task[None] | None = None
        self.first_read_complete = False
        self.gc_frozen = False
        self.updates = 0
        dispatcher.resolve_tenant = folded

    def start(self) -> None:
        """Start the process, and the wait for the first reading if one is configured."""
        loop = asyncio.get_running_loop()
        if self.source.wait_s > 0:
            self.dispatcher.awaits_tenants = True
            loop.call_later(self.source.wait_s, self._wait_ended)
        self.task = loop.create_task(self._keep_running())

    def reconfigure(self, source: TenantSource) -> None:
        """Apply another configuration; tenants stay as they are until its directories show other states."""
        changed = source.unknown_tenants is not self.source.unknown_tenants
        self.source = source
        if changed and self.first_read_complete:
            self.dispatcher.post(TenantUpdate(unknown_tenants=source.unknown_tenants))
        if self.process is not None:
            self._send(self.process, Configure(source.config))

    def close(self) -> None:
        """End the process."""
        if self.task is not None:
            self.task.cancel()
        if self.process is not None:
            _kill(self.process)

    def _wait_ended(self) -> None:
        if self.dispatcher.awaits_tenants:
            self.dispatcher.end_tenant_wait()
            log.warning(
                "no directory was read within %g s: tenants are those of the settings", self.source.wait_s
            )

    async def _keep_running(self) -> None:
        ends_in_a_row = 0
        while True:
            updates = self.updates
            try:
                await self._run()
            except Exception:  # after any error tenants stay as they are, and the process is restarted
                log.exception("the reader of directories failed")
            ends_in_a_row = 1 if self.updates > updates else ends_in_a_row + 1
            log.error("the reader of directories has ended; tenants stay as they are until it runs again")
            await asyncio.sleep(RESTART_BACKOFF_S[min(ends_in_a_row, len(RESTART_BACKOFF_S)) - 1])

    async def _run(self) -> None:
        """Start the process, and handle its messages until it ends."""
        process = self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lanelift.tenants.sync_worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        assert process.stdout is not None
        tenants = self.dispatcher.tenants.values()
        known = [(tenant.name, tenant.denial_reason == "suspended", tenant.share) for tenant in tenants]
        self._send(process, Configure(self.source.config, known))
        try:
            while line := await process.stdout.readline():
                self._receive(decoded(line))
                # One line per iteration: requests must not wait for 50,000 tenants' lines.
                await asyncio.sleep(0)
        except ValueError as error:
            log.error("the reader of directories sent an invalid line: %s", error)
        finally:
            _kill(process)
            self.process = None

    def _send(self, process: asyncio.subprocess.Process, message: Configure) -> None:
        assert process.stdin is not None
        if not process.stdin.is_closing():
            process.stdin.write(encoded(message))

    def _receive(self, message: SyncMessage | None) -> None:
        match message:
            case TenantsChanged(tenants):
                self.updates += 1
                self.dispatcher.post(TenantUpdate([policy_tenant(state) for state in tenants]))
            case TenantsRemoved(names):
                self.updates += 1
                self.dispatcher.post(TenantUpdate(removed=names))
            case FirstReadComplete(count):
                self.updates += 1
                self._complete_first_read(count)
            case LogRecord(level, text):
                log.log(LOG_LEVELS[level], "tenants: %s", text)

    def _complete_first_read(self, count: int) -> None:
        self.first_read_complete = True
        self.dispatcher.end_tenant_wait()
        log.info("tenants read from a directory: %d", count)
        self.dispatcher.post(TenantUpdate(unknown_tenants=self.source.unknown_tenants))
        if not self.gc_frozen:
            # The present objects are long-lived, and a collection that visits 50,000 tenants would block the
            # event loop for 30 ms. So they are frozen, as at the balancer's start; but only once, because
            # garbage that exists at this time is never collected.
            self.gc_frozen = True
            gc.freeze()


def policy_tenant(state: TenantState) -> Tenant:
    """Return a tenant's state as a tenant of the policy; equal sets of classes or limits share an object."""
    limits = _limits(state.quota_per_s, state.limits)
    return Tenant(state.name, state.share, 0.0, state.denial_reason, _classes(state.classes), limits)


def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        with suppress(ProcessLookupError):
            process.kill()


@lru_cache(MAX_SHARED_SETS)
def _classes(names: tuple[str, ...]) -> frozenset[str]:
    return frozenset(names)


@lru_cache(MAX_SHARED_SETS)
def _limits(
    quota_per_s: float | None, limits: tuple[tuple[str, float], ...]
) -> tuple[tuple[str, float], ...]:
    """Return the limits with the quota before them, as a limit of the empty class."""
    return limits if quota_per_s is None else (("", quota_per_s), *limits)
