"""The balancer's side of tenants from directories: it keeps the reader's process, and hands on what that
tells.

Nothing here blocks, whatever the directories do: they are another process's business (`reader.py`), and what
it tells comes in lines that are taken in one a turn of the loop.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import sys
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

from lanelift.net.dispatch import Dispatcher
from lanelift.policy.events import TenantUpdate
from lanelift.policy.settings import Tenant, UnknownTenants
from lanelift.tenants.job import Job
from lanelift.tenants.names import folded

log = logging.getLogger(__name__)

LONGEST_LINE = 2**20  # of the reader's: 229 values of 256 characters (`reader.BATCH`), 12 bytes each in JSON
AGAIN_S = (0.2, 1.0, 5.0, 30.0)  # until a reader that ended is started again: it should not end at all
SHAPES = 4096  # sets of classes, and of limits, that tenants share: most have one of a few
LEVELS = {"info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


@dataclass(frozen=True, slots=True)
class TenantSource:
    """Stands in a configuration; `attach` puts it to work. `settings`: the tenants to begin with."""

    job: Job
    strangers: UnknownTenants
    wait_s: float  # that /ready waits for the first reading; 0: not at all
    settings: Mapping[str, Tenant] = field(default_factory=dict)

    def attach(self, dispatcher: Dispatcher) -> Feed:
        return Feed(dispatcher, self)


class Feed:
    """Keeps a reader for as long as the balancer lives."""

    def __init__(self, dispatcher: Dispatcher, source: TenantSource) -> None:
        self.dispatcher = dispatcher
        self.source = source
        self.process: asyncio.subprocess.Process | None = None
        self.task: asyncio.Task[None] | None = None
        self.complete = False
        self.frozen = False
        self.readings = 0  # lines that told of tenants
        dispatcher.tenant_name = folded

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        if self.source.wait_s > 0:
            self.dispatcher.awaits_tenants = True
            loop.call_later(self.source.wait_s, self._waited)
        self.task = loop.create_task(self._keep())

    def move(self, source: TenantSource) -> None:
        """Other directories, filter, map or words for strangers; tenants stay until these tell otherwise."""
        changed = source.strangers is not self.source.strangers
        self.source = source
        if changed and self.complete:
            self.dispatcher.post(TenantUpdate(unknown_tenants=source.strangers))
        if self.process is not None:
            self._tell(self.process, {"job": source.job.to_json()})

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.kill()

    def _waited(self) -> None:
        if self.dispatcher.awaits_tenants:
            self.dispatcher.end_tenant_wait()
            log.warning(
                "no directory was read within %g s: tenants are those of the settings", self.source.wait_s
            )

    async def _keep(self) -> None:
        ends = 0
        while True:
            told = self.readings
            try:
                await self._run()
            except Exception:  # whatever it is, tenants stay as they are, and it is tried again
                log.exception("the reader of directories failed")
            ends = 1 if self.readings > told else ends + 1
            log.error("the reader of directories has ended; tenants stay as they are until it is back")
            await asyncio.sleep(AGAIN_S[min(ends, len(AGAIN_S)) - 1])

    async def _run(self) -> None:
        """One life of the reader."""
        process = self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lanelift.tenants.reader",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LONGEST_LINE,
        )
        assert process.stdout is not None
        seed = [(t.name, t.denial_reason == "suspended", t.share) for t in self.dispatcher.tenants.values()]
        self._tell(process, {"job": self.source.job.to_json(), "seed": seed})
        try:
            while line := await process.stdout.readline():
                self._hear(json.loads(line))
                await asyncio.sleep(0)  # a line a turn: requests must not wait behind 50,000 tenants
        except ValueError as error:
            log.error("the reader of directories told what can't be read: %s", error)
        finally:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
            self.process = None

    def _tell(self, process: asyncio.subprocess.Process, message: dict[str, Any]) -> None:
        assert process.stdin is not None
        if not process.stdin.is_closing():
            process.stdin.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def _hear(self, message: dict[str, Any]) -> None:
        if "tenants" in message:
            self.readings += 1
            self.dispatcher.post(TenantUpdate([tenant(row) for row in message["tenants"]]))
        elif "gone" in message:
            self.readings += 1
            self.dispatcher.post(TenantUpdate(removed=message["gone"]))
        elif "complete" in message:
            self.readings += 1
            self.complete = True
            self.dispatcher.end_tenant_wait()
            log.info("tenants read from a directory: %d", message["complete"])
            self.dispatcher.post(TenantUpdate(unknown_tenants=self.source.strangers))
            if not self.frozen:
                # As at the start: what is there now stays, and a collection that walked through 50,000
                # tenants would stop the loop for 30 ms. Once only: garbage of this moment stays, too.
                self.frozen = True
                gc.freeze()
        elif "log" in message:
            level, text = message["log"]
            log.log(LEVELS[level], "tenants: %s", text)


def tenant(row: list[Any]) -> Tenant:
    """A tenant as the reader tells it (`register.Tenant`)."""
    name, barred, share, quota_per_s, classes, limits = row
    limits = _limits(quota_per_s, tuple((cls, rate) for cls, rate in limits))
    return Tenant(name, share, 0.0, barred, _classes(tuple(classes)), limits)


@lru_cache(SHAPES)
def _classes(names: tuple[str, ...]) -> frozenset[str]:
    return frozenset(names)


@lru_cache(SHAPES)
def _limits(
    quota_per_s: float | None, limits: tuple[tuple[str, float], ...]
) -> tuple[tuple[str, float], ...]:
    return limits if quota_per_s is None else (("", quota_per_s), *limits)
