"""What the kernel knows of a TCP connection and the event loop does not tell."""

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
BUFFER = 128 * 1024  # of a connection with a long answer; the kernel doubles it for its own needs
ENDED = (7, 8)  # of the states, CLOSE and CLOSE_WAIT: the peer has reset it, or ended its sending


class Socket(Protocol):
    def getsockopt(self, level: int, option: int, length: int, /) -> bytes: ...


def received(sock: Socket) -> tuple[bool, int]:
    """Has the peer ended the connection behind what it sent, and how many ns ago did data last come? A loop
    that is late reads both only afterwards: it would take a request for fresh, and its client for there.
    Where the kernel does not tell: that it is there, and has only just sent. It counts in ticks of some 4 ms.
    """
    if sys.platform != "linux":
        return False, 0
    try:
        state, ago_ms = TCP_INFO.unpack(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size))
    except (OSError, struct.error):
        return False, 0
    return state in ENDED, ago_ms * 1_000_000


def unread(transport: asyncio.BaseTransport | None) -> bool:
    """Has its peer sent what the loop has not read yet? Closing on it would reset the connection."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    count = array.array("i", [0])
    try:
        if sock is not None:
            fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except OSError:
        return False  # it is closed already
    return count[0] > 0


def at_rest(transport: asyncio.BaseTransport) -> bool:
    """Has nothing come on this connection since it was last read, no byte and no end? The loop tells of both
    on its next turn: what is written before that may be lost, and may be answered by what lies there."""
    return not received(transport.get_extra_info("socket"))[0] and not unread(transport)


def bound_buffers(transport: asyncio.BaseTransport) -> None:
    """Bound what the kernel holds of a connection in each direction: left to itself it lets that grow to some
    megabytes, which many long answers would fill at once."""
    sock = transport.get_extra_info("socket")
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, BUFFER)


def end(transport: asyncio.Transport) -> None:
    """End a connection's sending and receiving now, not on the loop's next turn."""
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):  # it is broken or closed already
        if sock is not None:
            sock.shutdown(socket.SHUT_RDWR)


def reset(transport: asyncio.Transport) -> None:
    """End a connection by a reset: to a peer that reads to its end, a plain close would look like the end."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
