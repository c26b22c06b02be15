"""Socket options, and the kernel's state of a TCP connection, which the event loop does not expose."""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import socket
import struct
import sys
import termios
from typing import NamedTuple, Protocol

# Fields of Linux's `struct tcp_info`: the connection's state, the number of sent segments that the peer has
# not acknowledged, and the milliseconds since data last arrived.
TCP_INFO = struct.Struct("B23xI24xI")
# states in linux/tcp_states.h: the peer has reset the connection, or has ended its sending
TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8
ENDED_STATES = (TCP_CLOSE, TCP_CLOSE_WAIT)
NS_PER_MS = 1_000_000
# size of each buffer of a connection with a streamed body; the kernel doubles this size
KERNEL_BUFFER_BYTES = 128 * 1024


class Socket(Protocol):
    """The part of a socket, or of asyncio's wrapper around one, that this module uses."""

    def getsockopt(self, level: int, option: int, length: int, /) -> bytes:
        """Returns an option of the socket, as bytes."""


class PeerState(NamedTuple):
    """The kernel's view of a connection's peer.

    Attributes:
        ended: Whether the peer has ended the connection, or its sending.
        last_data_ns: How long ago data last arrived from it. The kernel's resolution is about 4 ms.
        all_acknowledged: Whether it has acknowledged all that was sent to it.
    """

    ended: bool
    last_data_ns: int
    all_acknowledged: bool = True


def peer_state(sock: Socket) -> PeerState:
    """Returns the kernel's view of a connection's peer.

    A late event loop learns of received data and of a disconnection only after a delay: to the loop an old
    request looks new, and a disconnected client looks connected. If the kernel does not provide the state,
    the peer counts as connected, its data as just arrived, and all that was sent as acknowledged.
    """
    if sys.platform != "linux":
        return PeerState(False, 0)
    try:
        state, unacknowledged, ago_ms = TCP_INFO.unpack(
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
        )
    except (OSError, struct.error):
        return PeerState(False, 0)
    return PeerState(state in ENDED_STATES, ago_ms * NS_PER_MS, not unacknowledged)


def acknowledge_now(transport: asyncio.BaseTransport) -> None:
    """Acknowledges all received data now.

    By default Linux waits for up to 40 ms, or for data to send. Until then a peer without TCP_NODELAY holds
    back a small write that follows one which is not acknowledged (RFC 9293, 3.7.4).
    """
    if sys.platform == "linux":
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # the connection is broken or closed already
            if sock is not None:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)


def has_unread_data(transport: asyncio.BaseTransport | None) -> bool:
    """Returns whether received data is unread; closing the socket then would reset the connection."""
    return unread_bytes(transport) > 0


def unread_bytes(transport: asyncio.BaseTransport | None) -> int:
    """Returns how many received bytes wait in the kernel; 0 if the socket is closed."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    count = array.array("i", [0])
    try:
        if sock is not None:
            fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except OSError:
        return 0  # the socket is closed already
    return count[0]


def is_quiescent(transport: asyncio.BaseTransport) -> bool:
    """Returns whether the connection has no unread data and the peer has not ended it.

    The loop reports unread data and the peer's end only in its next iteration. A request that is written
    before that may be lost, or the unread data may be read as its response.
    """
    return not peer_state(transport.get_extra_info("socket")).ended and not has_unread_data(transport)


def limit_kernel_buffers(transport: asyncio.BaseTransport) -> None:
    """Limits the kernel's buffers of a connection in each direction.

    By default they grow to some megabytes, which many streamed bodies would fill at the same time.
    """
    sock = transport.get_extra_info("socket")
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)


def shut_down_now(transport: asyncio.Transport) -> None:
    """Ends a connection's sending and receiving now, not in the next loop iteration."""
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):  # the connection is broken or closed already
        if sock is not None:
            sock.shutdown(socket.SHUT_RDWR)


def abort_with_reset(transport: asyncio.Transport) -> None:
    """Ends a connection by a reset; an ordinary close could look like the regular end of the response."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
