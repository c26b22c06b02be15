"""Which request ids are taken: by a request that may have run, here or in another process of an upgrade."""

from __future__ import annotations

import time
from typing import Protocol

from lanelift.policy.executed_ids import TABLE_BYTES, ExecutedIds, digest_of


class OtherProcesses(Protocol):
    """The ids of the other processes of this balancer."""

    def contains(self, digest: bytes, now_ns: int) -> bool:
        """Returns whether another process has taken an id."""


class RequestIds:
    """The ids of requests that must not run twice, open or ended.

    Attributes:
        own: The ids that this process has taken.
        others: The ids of other processes; None if there can be none.
    """

    def __init__(self) -> None:
        self.own = ExecutedIds(memoryview(bytearray(TABLE_BYTES)))
        self.others: OtherProcesses | None = None

    def take(self, request_id: str) -> bool:
        """Takes an id; returns False if it is taken already.

        The id is added before the other processes are asked. So if two processes take it at the same time, at
        least one of them learns of the other.
        """
        digest, now_ns = digest_of(request_id), time.monotonic_ns()
        if self.own.contains(digest, now_ns):
            return False
        self.own.add(digest, now_ns)
        if self.others is not None and self.others.contains(digest, now_ns):
            self.own.remove(digest)
            return False
        return True

    def release(self, request_id: str) -> None:
        """Gives back an id whose request has certainly not run."""
        self.own.remove(digest_of(request_id))
