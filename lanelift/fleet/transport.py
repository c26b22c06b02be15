"""The UDP socket of a member or a proposer. It counts and drops datagrams that can't be decoded."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import cast

from lanelift.fleet.codec import MessageDecodeError, decode, encode
from lanelift.fleet.messages import Message

Address = tuple[str, int]
# Maximum number of foreign senders whose addresses are remembered; each address is logged only once.
MAX_LOGGED_ADDRESSES = 64


class DatagramTransport(asyncio.DatagramProtocol):
    """Sends and receives messages of one cluster.

    Attributes:
        counts: Number of datagrams by outcome, such as sent or dropped. The keys are the values of `what`
            in the metric `lanelift_fleet_messages_total`, which operators read: they must not change.
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
            receive: Called with each message that has this digest, and its source.
            foreign_cluster: Called once for each address that sends messages with another digest, for at most
                `MAX_LOGGED_ADDRESSES` addresses.
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
        """Sends a message, which may be lost like any datagram."""
        if self.transport is None or self.transport.is_closing():
            return
        try:
            data = encode(self.digest, message)
        except ValueError:
            # a status that lists many former voters with long names does not fit: it is treated as lost
            self.counts["too_large"] += 1
            return
        self.counts["sent"] += 1
        self.transport.sendto(data, address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the socket, which is now open (called by asyncio)."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Decodes a datagram and passes its message to `receive` (called by asyncio)."""
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
        """Counts a datagram whose destination had no open socket; it is lost (called by asyncio)."""
        self.counts["refused"] += 1

    def _drop_foreign(self, source: Address) -> None:
        """Counts a message with another digest, and reports its source the first time."""
        self.counts["dropped_plan"] += 1
        if source not in self.foreign_addresses and len(self.foreign_addresses) < MAX_LOGGED_ADDRESSES:
            self.foreign_addresses.add(source)
            self.foreign_cluster(source)
