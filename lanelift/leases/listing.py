"""Requests the lists of leases that the voters know."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from lanelift.fleet.cluster import ClusterConfiguration
from lanelift.fleet.messages import LeaseList, ListLeases, Message
from lanelift.fleet.transport import Address, DatagramTransport

LISTING_TIMEOUT_FACTOR = 4  # all pages must arrive within this many response timeouts


async def list_leases(cluster: ClusterConfiguration, after: str = "") -> dict[str, list[LeaseList]]:
    """Returns each voter's pages, by the voter's id; voters that do not respond in time are left out.

    Args:
        cluster: The fleet.
        after: Only leases whose names come after this name are listed.

    Raises:
        OSError: The socket can't be opened.
    """
    found: dict[str, list[LeaseList]] = {}
    changed = asyncio.Event()
    voter_ids = {member.address: member.id for member in cluster.members if member.votes}

    def receive(message: Message, source: Address) -> None:
        if not isinstance(message, LeaseList) or voter_ids.get(source) != message.voter:
            return
        pages = found.setdefault(message.voter, [])
        if message.request_id == len(pages):  # the next page, not a duplicate of an earlier one
            pages.append(message)
            if message.more:
                transport.send(ListLeases(len(pages), message.leases[-1].lease), source)
        changed.set()

    transport = DatagramTransport(cluster.digest, receive)
    await transport.open(("0.0.0.0", 0))
    try:
        with suppress(TimeoutError):
            async with asyncio.timeout(LISTING_TIMEOUT_FACTOR * cluster.timing.response_timeout_ns / 1e9):
                for address in voter_ids:
                    transport.send(ListLeases(0, after), address)
                while len(found) < len(voter_ids) or any(pages[-1].more for pages in found.values()):
                    changed.clear()
                    await changed.wait()
    finally:
        transport.close()
    return found
