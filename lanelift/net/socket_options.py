"""What the kernel knows of a TCP connection and the event loop does not tell, and options of its socket."""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import socket
import struct
import sys
import termios
from typing import Protocol

# Of Linux's `struct tcp_info`: the connection's state, and the milliseconds since data last came.
TCP_INFO = struct.Struct("B51xI")
TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8  # linux/tcp_states.h: the peer has reset it, or ended its sending
ENDED_STATES = (TCP_CLOSE, TCP_CLOSE_WAIT)
NS_PER_MS = 1_000_000
KERNEL_BUFFER_BYTES = 128 * 1024  # of a connection with a streamed body; the kernel doubles it for itself


class Socket(Protocol):
    """The part of a socket, or of asyncio's wrapper of one, that is needed here."""

    def getsockopt(self, level: int, option: int, length: int, /) -> bytes:
        """An option of the socket, as bytes."""


def peer_state(sock: Socket) -> tuple[bool, int]:
    """Whether the peer has ended the connection, and how many ns ago data last came in.

    A late loop sees both only afterwards: it would take a request for fresh, and its client for connected.
    The kernel counts in ticks of about 4 ms.

    Returns:
        (False, 0) where the kernel does not tell: the peer is connected, and has only just sent.
    """
    if sys.platform != "linux":
        return False, 0
    try:
        state, ago_ms = TCP_INFO.unpack(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size))
    except (OSError, struct.error):
        return False, 0
    return state in ENDED_STATES, ago_ms * NS_PER_MS


def has_unread_data(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the peer has sent what is not read yet; closing over it would reset the connection."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    count = array.array("i", [0])
    try:
        if sock is not None:
            fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except OSError:
        return False  # it is closed already
    return count[0] > 0


def is_quiescent(transport: asyncio.BaseTransport) -> bool:
    """Whether nothing has come on this connection since it was last read: no byte and no end.

    The loop reports both only on its next turn. What is written before that may be lost, and may be answered
    by what lies there already.
    """
    return not peer_state(transport.get_extra_info("socket"))[0] and not has_unread_data(transport)


def bound_kernel_buffers(transport: asyncio.BaseTransport) -> None:
    """Bound what the kernel buffers of a connection in each direction.

    Left to itself it lets that grow to some megabytes, which many streamed bodies would fill at once.
    """
    sock = transport.get_extra_info("socket")
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)


def shut_down_now(transport: asyncio.Transport) -> None:
    """End a connection's sending and receiving now, not on the loop's next turn."""
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):  # it is broken or closed already
        if sock is not None:
            sock.shutdown(socket.SHUT_RDWR)


def abort_with_reset(transport: asyncio.Transport) -> None:
    """End a connection by a reset: to a peer that reads to its end, a plain close would look like the end."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
