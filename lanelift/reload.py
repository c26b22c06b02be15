"""Reload on SIGHUP: reads the configuration again and applies what may change in a running balancer."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Callable
from typing import Any

from lanelift.daemon_config import Config

APPLIED_FIELDS = frozenset({"discovery", "tenants"})
# These fields are used at the start only; a change of these fields needs no warning, as they may differ each
# time the configuration is read.
START_FIELDS = frozenset({"seed", "cached_endpoints"})


class Reloader:
    """Reads the configuration in a thread and applies it. An invalid configuration changes nothing."""

    def __init__(self, config: Config, discovery: Any, tenants: Any, read: Callable[[], Config]) -> None:
        self._config = config
        self._discovery = discovery
        self._tenants = tenants
        self._read = read
        # a reload may be requested during another reload, as the file may be replaced while it is read
        self._requested = False
        self._task: asyncio.Task[None] | None = None

    def reload(self) -> None:
        """Reads the configuration again, now or after the reload in progress."""
        self._requested = True
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._reload())

    async def _reload(self) -> None:
        while self._requested:
            self._requested = False
            try:
                self._apply(await asyncio.to_thread(self._read))
            except Exception as error:
                logging.error("configuration not reloaded: %s", error)

    def _apply(self, new: Config) -> None:
        old = self._config
        changed = {
            field.name
            for field in dataclasses.fields(Config)
            if getattr(new, field.name) != getattr(old, field.name)
        } - START_FIELDS
        applied = changed & APPLIED_FIELDS
        if type(new.discovery) is not type(old.discovery):
            applied -= {"discovery"}  # static endpoints and a discovery server need different parts
        if self._tenants is None or new.tenants is None:
            applied -= {"tenants"}
        if changed - applied:
            logging.warning("reload: a change of %s needs a restart", ", ".join(sorted(changed - applied)))
        if "discovery" in applied:
            self._discovery.change_source(new.discovery)
            self._config = dataclasses.replace(self._config, discovery=new.discovery)
        if "tenants" in applied:
            self._tenants.reconfigure(new.tenants)
            self._config = dataclasses.replace(self._config, tenants=new.tenants)
        source = self._config.discovery
        logging.info(
            "configuration reloaded: %s",
            f"discovery at {source[0]}:{source[1]}" if isinstance(source, tuple) else source,
        )
