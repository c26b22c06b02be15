"""Ids of requests that may have run, so that none of them runs again when its id returns.

Inputs: digests of ids, and the time. The table has a fixed size and may lie in memory that other processes
read. An id is forgotten after `REMEMBERED_NS`, or when its bucket is full and it is the oldest there.
"""

from __future__ import annotations

import struct
from hashlib import blake2b

from lanelift.policy.units import SECOND_NS

DIGEST_BYTES = 8
ENTRY = struct.Struct(f"<{DIGEST_BYTES}sQ")  # digest, when it was added (monotonic clock); 0 if unused
BUCKET_ENTRIES, BUCKETS = 8, 1024
TABLE_BYTES = BUCKETS * BUCKET_ENTRIES * ENTRY.size
REMEMBERED_NS = 30 * SECOND_NS


def digest_of(request_id: str) -> bytes:
    """Return the digest of a request's id, which is the same in all processes."""
    return blake2b(request_id.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES).digest()


class ExecutedIds:
    """A table of digests in a buffer of `TABLE_BYTES` bytes; only its owner writes to it.

    Attributes:
        buffer: The buffer.
    """

    def __init__(self, buffer: memoryview) -> None:
        self.buffer = buffer

    def contains(self, digest: bytes, now: int) -> bool:
        """Return whether an id was added and is still remembered."""
        return any(
            found == digest and now - added_ns < REMEMBERED_NS
            for _, found, added_ns in self._bucket(digest)
            if added_ns
        )

    def add(self, digest: bytes, now: int) -> None:
        """Add an id, in place of the oldest of its bucket."""
        place = min(self._bucket(digest), key=lambda entry: entry[2])[0]
        ENTRY.pack_into(self.buffer, place, digest, max(1, now))

    def remove(self, digest: bytes) -> None:
        """Remove an id, as its request has not run."""
        for place, found, _ in self._bucket(digest):
            if found == digest:
                ENTRY.pack_into(self.buffer, place, bytes(DIGEST_BYTES), 0)

    def _bucket(self, digest: bytes) -> list[tuple[int, bytes, int]]:
        """Return the place, the digest and the time of each entry of an id's bucket."""
        bucket = int.from_bytes(digest[:4], "little") % BUCKETS
        first = bucket * BUCKET_ENTRIES * ENTRY.size
        places = range(first, first + BUCKET_ENTRIES * ENTRY.size, ENTRY.size)
        return [(place, *ENTRY.unpack_from(self.buffer, place)) for place in places]
