"""Memory for what peers send: how much of it may be kept, and which clients give way when it is used up.

Inputs: the process's limit, its resident memory at the start, and what each connection keeps. The system ends
a process that is over its limit. So what is kept has a limit far below it; connections, other objects and
fragmentation have the rest. A client gives way if its request is not forwarded yet, the oldest request first:
a slow client holds its memory for longest, and a sound one needs it for milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

BUFFER_SHARE = 0.25  # of the memory that is left at the start
MIN_BUFFER_BYTES = 512 * 1024
CONNECTION_BYTES = 6 * 1024  # memory that a connection and its request take besides what they buffer
# The size of one read from a connection. The smaller one is used once half of the limit is used up, as each
# connection may keep one read.
READ_BYTES = 64 * 1024
READ_BYTES_UNDER_PRESSURE = 4 * 1024
# A client that keeps no more than this never gives way: it has little to give, and most sound requests fit.
GUARANTEED_BYTES = 2 * 1024
# Memory that a parsed header takes besides its text: a tuple, two objects and a place in a list.
HEADER_OVERHEAD_BYTES = 200


class BufferHolder(Protocol):
    """A connection that keeps bytes of its peer.

    Attributes:
        waiting_since_s: When the connection's oldest unfinished request began.
    """

    waiting_since_s: float

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes kept."""


Holder = TypeVar("Holder", bound=BufferHolder)


def buffer_limit_bytes(memory_bytes: int, resident_bytes: int, connections: int) -> int:
    """Return how many bytes of all peers together may be kept.

    Args:
        memory_bytes: The process's limit.
        resident_bytes: Its resident memory at the start.
        connections: The most connections that it may have.
    """
    free_bytes = memory_bytes - resident_bytes - connections * CONNECTION_BYTES
    return max(MIN_BUFFER_BYTES, int(free_bytes * BUFFER_SHARE))


def read_size_bytes(buffered_bytes: int, limit_bytes: int) -> int:
    """Return how many bytes to read from a connection at once."""
    return READ_BYTES if buffered_bytes < limit_bytes // 2 else READ_BYTES_UNDER_PRESSURE


def choose_evictions(holders: Iterable[Holder], excess_bytes: int) -> list[Holder]:
    """Return the clients that give way, so that at least `excess_bytes` become free."""
    chosen: list[Holder] = []
    candidates = [holder for holder in holders if holder.buffered_bytes > GUARANTEED_BYTES]
    for holder in sorted(candidates, key=lambda holder: holder.waiting_since_s):
        if excess_bytes <= 0:
            break
        excess_bytes -= holder.buffered_bytes
        chosen.append(holder)
    return chosen
