"""Ids of open requests, so that no other process of the balancer serves one of them a second time.

Inputs: digests of ids (`executed_ids.digest_of`). The table has a fixed size and may lie in memory that other
processes read. Each id has a place in one of `BUCKETS` buckets; an id for which no place is left is not kept.
"""

from __future__ import annotations

from lanelift.policy.executed_ids import DIGEST_BYTES

BUCKET_PLACES, BUCKETS = 16, 1024
BUCKET_BYTES = BUCKET_PLACES * DIGEST_BYTES
TABLE_BYTES = BUCKETS * BUCKET_BYTES
FREE = bytes(DIGEST_BYTES)


class OpenIds:
    """A table of digests in a buffer of `TABLE_BYTES` bytes; only its owner writes to it.

    Attributes:
        buffer: The buffer, zero at first.
    """

    def __init__(self, buffer: memoryview) -> None:
        self.buffer = buffer

    def add(self, digest: bytes) -> None:
        """Add an id, unless its bucket is full."""
        place = self._find(digest, FREE)
        if place is not None:
            self.buffer[place : place + DIGEST_BYTES] = digest

    def contains(self, digest: bytes) -> bool:
        """Return whether an id was added and not removed."""
        return self._find(digest, digest) is not None

    def remove(self, digest: bytes) -> None:
        """Remove an id, as its request has ended."""
        place = self._find(digest, digest)
        if place is not None:
            self.buffer[place : place + DIGEST_BYTES] = FREE

    def _find(self, digest: bytes, wanted: bytes) -> int | None:
        """Return the first place in an id's bucket whose content is as wanted; None if there is none."""
        first = int.from_bytes(digest[:4], "little") % BUCKETS * BUCKET_BYTES
        bucket = bytes(self.buffer[first : first + BUCKET_BYTES])
        at = bucket.find(wanted)
        while at >= 0 and at % DIGEST_BYTES:  # across two places
            at = bucket.find(wanted, at + 1)
        return first + at if at >= 0 else None
