"""What the kernel knows of a TCP connection and the event loop does not tell."""

from __future__ import annotations

import socket
import struct
import sys
from typing import Protocol

# Of Linux's `struct tcp_info`: the connection's state, and the milliseconds since data last came.
TCP_INFO = struct.Struct("B51xI")
CLOSE_WAIT = 8  # of the states: the peer has ended its sending


class Socket(Protocol):
    def getsockopt(self, level: int, option: int, length: int, /) -> bytes: ...


def received(sock: Socket) -> tuple[bool, int]:
    """Has the peer closed its side behind what it sent, and how many ns ago did data last come? A loop that
    is late reads both only afterwards: it would take a request for fresh, and its client for there. Where
    the kernel does not tell: that it is there, and has only just sent. It counts in ticks of some 4 ms."""
    if sys.platform != "linux":
        return False, 0
    try:
        state, ago_ms = TCP_INFO.unpack(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size))
    except (OSError, struct.error):
        return False, 0
    return state == CLOSE_WAIT, ago_ms * 1_000_000
