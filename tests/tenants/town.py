"""Helpers for the tests of directories.

An agent is the entry of a tenant. `town` and `agent` build a tree of agents; `directory_config`, `search` and
`sync_config` build the configurations of an emulated directory, a search and the sync process. There is also
a builder of certificates, and `read`, which performs one full read of a directory.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import trustme

from lanelift.standins.directory import Directory as StandIn
from lanelift.standins.ldap import Tree
from lanelift.tenants.client import DirectoryError, Session
from lanelift.tenants.entries import AttributeMap, Parsed
from lanelift.tenants.replica_reader import read_all
from lanelift.tenants.sync_config import Directory, Search, SyncConfig

BASE = "ou=agents,dc=trust,dc=example"
READER, SECRET = "cn=reader,dc=trust,dc=example", "open sesame"
MAP = AttributeMap(
    name="cn",
    standing="agentStanding",
    share="agentShare",
    quota="agentQuota",
    classes="agentClass",
    limits="agentLimit",
    valid_from="agentFrom",
    valid_until="agentUntil",
)


def dn(name: str) -> str:
    """Return the distinguished name of an agent."""
    return f"cn={name},{BASE}"


def agent(tree: Tree, name: str, stamp: int = 1, **values: Any) -> None:
    """Put an agent into the tree; `stamp` is the second of its last change."""
    rows: dict[str, Any] = {"objectClass": "agent", "cn": name, "agentStanding": "active"}
    tree.put(dn(name), rows | values, at(stamp))


def at(second: int) -> str:
    """Return the GeneralizedTime of a second of 2026-12-01."""
    return f"20261201{second // 3600:02}{second // 60 % 60:02}{second % 60:02}Z"


def town(*names: str) -> Tree:
    """Return a tree with these agents."""
    tree = Tree(BASE)
    for name in names:
        agent(tree, name)
    return tree


def directory_config(
    stand_in: StandIn, password_file: Path | str = "", tls: str = "none", ca: str = "", timeout_s: float = 5.0
) -> Directory:
    """Return the configuration of an emulated directory, with a bind if there is a password file."""
    user = READER if password_file else ""
    return Directory("127.0.0.1", stand_in.port, tls, True, ca, user, str(password_file), timeout_s)


def search(page: int = 500, filter: str = "(objectClass=agent)", map: AttributeMap = MAP) -> Search:
    """Return the search for all agents."""
    return Search(BASE, filter, tuple(map.attribute_names()), page)


def sync_config(*directories: Directory, **changes: Any) -> SyncConfig:
    """Return a configuration of the sync process for these directories, with short intervals."""
    given: dict[str, Any] = {
        "search": search(),
        "map": MAP,
        "change_interval_s": 0.1,
        "full_interval_s": 1.0,
        "full_timeout_s": 30.0,
        "removal_part": 0.1,
        "confirmed": frozenset(),
    }
    return SyncConfig(directories, **(given | changes))


async def read(config: Directory, given: Search | None = None) -> tuple[list[Parsed], str]:
    """Read a directory with the client, in a thread, as the emulated directory runs in this event loop."""

    def read_once() -> tuple[list[Parsed], str]:
        session = Session(config)
        try:
            session.open()
            return read_all(session, given or search(), MAP)
        except DirectoryError as error:
            return [], str(error)
        finally:
            session.close()

    return await asyncio.to_thread(read_once)


@contextmanager
def certificates(folder: Path, *names: str) -> Iterator[tuple[ssl.SSLContext, str]]:
    """Yield a TLS context for a server with these names, and the certificate file of the CA."""
    authority = trustme.CA()
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authority.issue_cert(*names).configure_cert(context)
    path = folder / "ca.pem"
    authority.cert_pem.write_to_path(str(path))
    yield context, str(path)
