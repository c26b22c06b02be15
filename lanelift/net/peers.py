"""Messages between balancers: UDP datagrams, late or lost as it happens."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from typing import cast

from lanelift import interface as api
from lanelift.net.driver import Driver

log = logging.getLogger(__name__)

MAX_DATAGRAM = 256
Address = tuple[str, int]


class Peers(asyncio.DatagramProtocol):
    def __init__(self, driver: Driver, peers: Sequence[Address], everyone: Address | None) -> None:
        self.driver = driver
        self.peers = peers
        self.everyone = everyone
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        sender = self.numbers.get(address)
        if sender is not None and len(data) <= MAX_DATAGRAM:
            self.driver.post(api.PeerMessage(sender, data))

    def error_received(self, error: Exception) -> None:
        """A datagram may be lost; a peer that is down refuses it."""

    def tell(self, peer: int, data: bytes) -> None:
        to = self.everyone
        if peer >= 0:
            to = self.peers[peer] if peer < len(self.peers) else None
        if to is None or len(data) > MAX_DATAGRAM or self.transport is None:
            log.error("message of %d bytes for peer %d can't be sent", len(data), peer)
            return
        self.transport.sendto(data, to)
