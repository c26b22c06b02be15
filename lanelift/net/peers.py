"""Messages between replicas, sent as UDP datagrams, which may be late or lost."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Sequence

from lanelift.net.addresses import Address
from lanelift.net.dispatch import Dispatcher

log = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 256


class Peers:
    """The socket for messages between replicas.

    The socket is read directly, as asyncio's datagram transport allocates 256 KiB for each message that it
    reads, and there are many messages.

    Attributes:
        peers: The replicas' addresses, in the order of their numbers.
        broadcast: The address for a message to all replicas; None if no such address is configured.
    """

    def __init__(
        self, dispatcher: Dispatcher, own: Address, peers: Sequence[Address], broadcast: Address | None
    ) -> None:
        self.peers = peers
        self.broadcast = broadcast
        self._dispatcher = dispatcher
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._socket = socket.socket(socket.AF_INET6 if ":" in own[0] else socket.AF_INET, socket.SOCK_DGRAM)
        # In a hot restart the next process binds the same address while this process still runs.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._socket.setblocking(False)
        self._socket.bind(own)
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def _read(self) -> None:
        try:
            data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except OSError:  # no message is waiting, or the peer to which the last message was sent is down
            return
        sender = self._numbers.get(address)
        if sender is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self._dispatcher.receive_peer_message(sender, data)

    def send(self, peer: int, data: bytes) -> None:
        """Sends a message, which may be lost, to a replica, or to all if `peer` is -1."""
        address = self.broadcast
        if peer >= 0:
            address = self.peers[peer] if peer < len(self.peers) else None
        if address is None or len(data) > MAX_DATAGRAM_BYTES:
            log.error("message of %d bytes for peer %d can't be sent", len(data), peer)
            return
        with contextlib.suppress(OSError):
            self._socket.sendto(data, address)

    def close(self) -> None:
        """Closes the socket."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
