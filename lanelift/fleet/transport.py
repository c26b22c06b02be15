"""The UDP socket of a member or a proposer. Datagrams that can't be decoded are counted and dropped."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import cast

from lanelift.fleet.codec import MessageDecodeError, decode, encode
from lanelift.fleet.messages import Message

Address = tuple[str, int]
MAX_LOGGED_ADDRESSES = 64  # addresses under another configuration that are remembered as logged


class DatagramTransport(asyncio.DatagramProtocol):
    """Sends and receives messages of one cluster.

    Attributes:
        counts: Datagrams by their outcome: sent, received or dropped. The words are those of the metric
            `lanelift_fleet_messages_total{what}`, which operators read: they stay as they are.
    """

    def __init__(
        self,
        digest: bytes,
        receive: Callable[[Message, Address], None],
        foreign_cluster: Callable[[Address], None] = lambda source: None,
    ) -> None:
        """Creates a transport that is not open yet.

        Args:
            digest: The `ClusterConfiguration.digest`.
            receive: Called for each message under this digest, with its source.
            foreign_cluster: Called once for each address that sends under another digest.
        """
        self.digest, self.receive, self.foreign_cluster = digest, receive, foreign_cluster
        self.counts: Counter[str] = Counter()
        self.foreign_addresses: set[Address] = set()
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Binds the socket.

        Raises:
            OSError: The socket can't be bound to this address.
        """
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)

    def close(self) -> None:
        """Closes the socket, if it is open."""
        if self.transport is not None:
            self.transport.close()

    def send(self, message: Message, address: Address) -> None:
        """Sends a message; it may be lost, as any datagram."""
        if self.transport is None or self.transport.is_closing():
            return
        try:
            data = encode(self.digest, message)
        except ValueError:  # names at their longest, after many changes of the voters: the same as a loss
            self.counts["too_large"] += 1
            return
        self.counts["sent"] += 1
        self.transport.sendto(data, address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open (asyncio)."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        """A datagram was received (asyncio)."""
        try:
            digest, message = decode(data)
        except MessageDecodeError as error:
            self.counts[f"dropped_{error.reason}"] += 1
            return
        source = address[:2]
        if digest != self.digest:
            self._drop_foreign(source)
            return
        self.counts["heard"] += 1
        self.receive(message, source)

    def error_received(self, error: Exception) -> None:
        """Nobody listened where an earlier datagram was sent (asyncio): the same as if it had been lost."""
        self.counts["refused"] += 1

    def _drop_foreign(self, source: Address) -> None:
        """Counts a message under another digest, and reports its source the first time."""
        self.counts["dropped_plan"] += 1
        if source not in self.foreign_addresses and len(self.foreign_addresses) < MAX_LOGGED_ADDRESSES:
            self.foreign_addresses.add(source)
            self.foreign_cluster(source)
