"""Messages between balancers: UDP datagrams, late or lost as it happens."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Sequence

from lanelift.net.driver import Driver

log = logging.getLogger(__name__)

MAX_DATAGRAM = 256
Address = tuple[str, int]


class Peers:
    """The socket is read and written as it is: a datagram transport takes 256 KiB for each message it reads,
    and where each request tells a few others of itself, that was a third of what the messages cost."""

    def __init__(
        self, driver: Driver, own: Address, peers: Sequence[Address], everyone: Address | None
    ) -> None:
        self.driver = driver
        self.peers = peers
        self.everyone = everyone
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.socket = socket.socket(socket.AF_INET6 if ":" in own[0] else socket.AF_INET, socket.SOCK_DGRAM)
        # Shared: in an upgrade the next process binds it while this one still runs.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.socket.setblocking(False)
        self.socket.bind(own)
        asyncio.get_running_loop().add_reader(self.socket, self._readable)

    def _readable(self) -> None:
        try:
            data, address = self.socket.recvfrom(MAX_DATAGRAM + 1)
        except OSError:  # a peer that is down refused the last one sent, or there is nothing after all
            return
        sender = self.numbers.get(address)
        if sender is not None and len(data) <= MAX_DATAGRAM:
            self.driver.hear(sender, data)

    def tell(self, peer: int, data: bytes) -> None:
        to = self.everyone
        if peer >= 0:
            to = self.peers[peer] if peer < len(self.peers) else None
        if to is None or len(data) > MAX_DATAGRAM:
            log.error("message of %d bytes for peer %d can't be sent", len(data), peer)
            return
        with contextlib.suppress(OSError):  # a datagram may be lost
            self.socket.sendto(data, to)

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()
