"""Parsing of endpoint lists, which discovery sends as JSON with the platform's keys."""

from __future__ import annotations

import hashlib
import ipaddress
import logging
import math
import time
from dataclasses import dataclass
from typing import Any

from lanelift.net.addresses import split_address
from lanelift.net.endpoints import ResolvedEndpoint
from lanelift.policy.events import Endpoint, EndpointState
from lanelift.settings import SettingsError, check_type, choice, optional, require

log = logging.getLogger(__name__)

STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}
NS_PER_MS = 1_000_000
MAX_STARTED_MS = 1 << 53
# Difference of the monotonic clock and Unix time, in ns; computed once so that an upstream's start time does
# not change between lists.
UNIX_TO_MONOTONIC_NS = time.monotonic_ns() - time.time_ns()


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A parsed endpoint list.

    Attributes:
        version: The list's version; versions increase.
        is_snapshot: Whether the list has all upstreams; otherwise it has only upstreams that changed.
        endpoints: The list's valid entries.
    """

    version: int
    is_snapshot: bool
    endpoints: list[ResolvedEndpoint]


def upstream_number(name: str) -> int:
    """Returns the number that the balancer uses for an upstream's id; the number is the same on every
    replica."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def read_endpoint(row: Any) -> ResolvedEndpoint:
    """Parses an entry of a list. Host names are rejected, as a look-up needs a thread and may take long.

    Raises:
        SettingsError: The entry is invalid.
    """
    row = check_type(row, "server", dict)
    state = choice(row, "state", STATES, "Ready")
    # A removed upstream needs no address.
    host, port = split_address(require(row, "addr", str)) if state is not EndpointState.REMOVED else ("", 0)
    try:
        ipaddress.ip_address(host or "::")
    except ValueError as error:
        raise SettingsError(f"addr: {error}") from None
    started_ms = optional(row, "started_ms", float, 0)
    weight = float(optional(row, "weight", float, 1.0))
    if not (math.isfinite(weight) and 0 <= started_ms <= MAX_STARTED_MS):
        raise SettingsError("weight or started_ms is out of range")
    started_ms = int(started_ms)
    started_ns = started_ms * NS_PER_MS + UNIX_TO_MONOTONIC_NS if started_ms else 0
    return ResolvedEndpoint(
        Endpoint(
            upstream_number(require(row, "id", str)),
            state,
            optional(row, "zone", str, ""),
            optional(row, "cell", int, 0),
            weight,
            started_ns,
            optional(row, "kind", str, ""),
        ),
        host,
        port,
    )


def read_endpoint_list(raw: Any) -> EndpointList:
    """Parses a list; invalid entries are skipped and logged in one line.

    Raises:
        SettingsError: The list as a whole is invalid.
    """
    raw = check_type(raw, "list", dict)
    endpoints, skipped = [], []
    for row in require(raw, "servers", list):
        try:
            endpoints.append(read_endpoint(row))
        except SettingsError as error:
            skipped.append(error)
    if skipped:
        log.warning("discovery: entries skipped: %d; the first: %s", len(skipped), skipped[0])
    return EndpointList(require(raw, "version", int), optional(raw, "full", bool, False), endpoints)
