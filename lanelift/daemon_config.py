"""The daemon's configuration, read from the file that `BALANCER_CONFIG` names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from lanelift.net.addresses import Address, split_address
from lanelift.net.dispatch import Dispatcher
from lanelift.net.endpoint_list import read_endpoint_list
from lanelift.net.memory import DEFAULT_MEMORY_BYTES
from lanelift.policy.settings import Settings
from lanelift.settings import Json, SettingsError, check_type, optional, read_settings, require

DEFAULT_SOCKETS = 1024
BYTES_PER_MB = 1024 * 1024
MIN_CORES, MAX_CORES = 0.01, 1024.0
MIN_MEMORY_MB, MAX_MEMORY_MB = 1, 1 << 20
# Descriptors reserved for the listener, discovery (an old and a new connection), peers, the configuration and
# the interpreter, and for sockets that were closed in this loop iteration and still count as open.
RESERVED_SOCKETS = 32
CLIENT_FRACTION = 0.55  # clients' share of the descriptors that are not reserved; upstreams get the rest


class Source(Protocol):
    """The configuration of a source of upstreams, tenants or leases.

    A discovery server is configured by its address alone, and needs no `Source`.
    """

    def attach(self, dispatcher: Dispatcher) -> Any:
        """Returns the part of the daemon that serves this source, connected to the dispatcher."""


@dataclass(frozen=True)
class Config:
    """The configuration of one process. The names of these fields appear in the log line of a reload.

    Attributes:
        listen: Where clients connect.
        discovery: The source of the endpoint list: a discovery server's address, or the operator's own file.
        seed: Seed of all random choices.
        sockets: The largest number of descriptors that the process may have.
        cores: The number of cores that the process may use.
        memory_bytes: The largest memory that the process may have; it is ended if it has more.
        settings: The balancer's settings.
        cached_endpoints: The last known endpoint list, in discovery's format.
        peer_listen: The address at which messages from other replicas arrive.
        peers: The replicas' addresses, by number.
        peers_all: The destination of a message to all replicas.
        tenants: The directories that list tenants.
        operator: The address for operators' calls.
        inherited: The descriptor of the clients' socket, if the socket was bound before this process started.
        fleet: The fleet that this process is a member of; never set on the platform.
    """

    listen: Address
    discovery: Address | Source
    seed: int
    sockets: int
    settings: Settings
    cached_endpoints: Json | None
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None
    tenants: Source | None = None
    operator: Address | None = None
    inherited: int | None = None
    fleet: Source | None = None
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    cores: float = 1.0


def read_config(environ: Mapping[str, str]) -> Config:
    """Reads the configuration from the `BALANCER_*` environment variables and the file that they name.

    Raises:
        SettingsError: The configuration is invalid.
    """
    raw = _read_file(environ.get("BALANCER_CONFIG"))

    def address(key: str) -> Address | None:
        text = optional(raw, key, str, environ.get(f"BALANCER_{key.upper()}"))
        return split_address(text) if text else None

    listen, discovery = address("listen"), address("discovery")
    if listen is None or discovery is None:
        raise SettingsError(f"{'listen' if listen is None else 'discovery'} is not set")
    try:
        seed = int(optional(raw, "seed", str, "0"), 16)
    except ValueError:
        raise SettingsError("seed must be hexadecimal") from None
    cached_endpoints = optional(raw, "known", dict, None)
    if cached_endpoints is not None:
        read_endpoint_list(cached_endpoints)
    peers = [split_address(check_type(peer, "peers", str)) for peer in optional(raw, "peers", list, [])]
    limits = optional(raw, "limits", dict, {})
    sockets = optional(limits, "sockets", int, DEFAULT_SOCKETS)
    if sockets < 2 * RESERVED_SOCKETS:
        raise SettingsError(f"limits.sockets must be {2 * RESERVED_SOCKETS} or more")
    memory_mb = optional(limits, "memory_mb", float, DEFAULT_MEMORY_BYTES / BYTES_PER_MB)
    if not MIN_MEMORY_MB <= memory_mb <= MAX_MEMORY_MB:
        raise SettingsError(f"limits.memory_mb must be from {MIN_MEMORY_MB} to {MAX_MEMORY_MB}")
    cores = optional(limits, "cores", float, 1.0)
    if not MIN_CORES <= cores <= MAX_CORES:
        raise SettingsError(f"limits.cores must be from {MIN_CORES} to {MAX_CORES}")
    inherited = environ.get("BALANCER_FD")
    if inherited is not None and not inherited.isdecimal():
        raise SettingsError(f"BALANCER_FD is {inherited!r}, and must be the number of a descriptor")
    return Config(
        listen,
        discovery,
        seed,
        sockets,
        read_settings(require(raw, "settings", dict)),
        cached_endpoints,
        address("peer_listen"),
        peers,
        address("peers_all"),
        None,
        address("operator"),
        int(inherited) if inherited else None,
        memory_bytes=int(memory_mb * BYTES_PER_MB),
        cores=cores,
    )


def _read_file(path: str | None) -> Json:
    if not path:
        raise SettingsError("BALANCER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from None
    content: Json = check_type(raw, "configuration", dict)
    return content


def connection_caps(sockets: int, processes: int) -> tuple[int, int]:
    """Returns how many connections to clients and how many to upstreams each of `processes` processes may
    have."""
    available = max(2, sockets // processes - RESERVED_SOCKETS)
    clients = max(1, int(available * CLIENT_FRACTION))
    return clients, available - clients
