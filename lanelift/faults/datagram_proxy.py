"""A proxy for the datagrams between two processes, which injects faults in each direction independently.

Each pair of ends has its own proxy, which can cut the link, and delay, lose or repeat datagrams. Loopback
only.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import cast

from lanelift.faults.schedule import Link

Address = tuple[str, int]
LOOPBACK = "127.0.0.1"
MAX_COPY_DELAY_MS = 600  # default maximum delay of a repeated datagram, the same as in `simulation`


class ProxyEndpoint(asyncio.DatagramProtocol):
    """The socket to which one end sends the datagrams for the other end.

    Attributes:
        received: Called with each datagram and its source address.
        transport: The transport of the socket, once it is open.
    """

    def __init__(self, received: Callable[[bytes, Address], None]) -> None:
        self.received = received
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the open socket (called by asyncio)."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Passes a datagram to `received` (called by asyncio)."""
        self.received(data, address[:2])

    @property
    def address(self) -> Address:
        """The address of the open socket."""
        assert self.transport is not None
        host, port = self.transport.get_extra_info("sockname")[:2]
        return host, port

    def send(self, data: bytes, address: Address | None) -> None:
        """Sends a datagram; drops it if the address is unknown or the socket is closed."""
        if address is not None and self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, address)


class DatagramProxy:
    """The proxy between two ends, `a` and `b`.

    `a` is configured with `address_of(b)` as the address of `b`, and vice versa. Datagrams for an end whose
    own address is not known beforehand are sent to the source address of the last datagram from that end.

    Attributes:
        links: The state of each direction, by sender and recipient.
        loss: The share of all datagrams that is lost, in addition to the loss of each direction.
        double: The share of all datagrams that is repeated.
    """

    def __init__(self, a: str, b: str, known_addresses: dict[str, Address], rng: random.Random) -> None:
        """Prepares a proxy; `open` opens its sockets.

        Args:
            a: One end.
            b: The other end.
            known_addresses: The known addresses of ends; may include other ends.
            rng: Decides which datagrams are lost and repeated.
        """
        self.ends, self.rng = (a, b), rng
        self.addresses: dict[str, Address | None] = {a: known_addresses.get(a), b: known_addresses.get(b)}
        self.fixed_ends = {end for end in self.ends if end in known_addresses}
        self.links = {(a, b): Link(), (b, a): Link()}
        self.endpoints: dict[str, ProxyEndpoint] = {}
        self.loss = self.double = 0.0

    async def open(self) -> None:
        """Opens both sockets. Raises OSError."""
        loop = asyncio.get_running_loop()
        for end, other in (self.ends, self.ends[::-1]):
            endpoint = ProxyEndpoint(partial(self._received, end, other))
            await loop.create_datagram_endpoint(
                lambda endpoint=endpoint: endpoint,  # type: ignore[misc]
                local_addr=(LOOPBACK, 0),
            )
            self.endpoints[end] = endpoint

    def address_of(self, end: str) -> Address:
        """Returns the proxy's address to which the opposite end sends datagrams for this end."""
        opposite = self.ends[0] if end == self.ends[1] else self.ends[1]
        return self.endpoints[opposite].address

    def close(self) -> None:
        """Closes both sockets; delayed datagrams are dropped."""
        for endpoint in self.endpoints.values():
            if endpoint.transport is not None:
                endpoint.transport.close()

    def _received(self, sender: str, recipient: str, data: bytes, source: Address) -> None:
        """Forwards a datagram, subject to the faults of its link."""
        if sender not in self.fixed_ends:
            self.addresses[sender] = source
        link = self.links[sender, recipient]
        if link.cut or self.rng.random() < 1 - (1 - self.loss) * (1 - link.loss):
            link.lost += 1
            return
        link.passed += 1
        delays_s = [link.delay_ms / 1000]
        if self.rng.random() < max(self.double, link.double):
            copy_delay_s = self.rng.random() * (link.double_ms or MAX_COPY_DELAY_MS) / 1000
            delays_s.append(link.delay_ms / 1000 + copy_delay_s)
        for delay_s in delays_s:
            if delay_s:
                asyncio.get_running_loop().call_later(delay_s, self._forward, recipient, data)
            else:
                self._forward(recipient, data)

    def _forward(self, recipient: str, data: bytes) -> None:
        """Sends a datagram from the socket that the recipient knows as the sender's address."""
        self.endpoints[recipient].send(data, self.addresses[recipient])
