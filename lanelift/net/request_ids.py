"""Which request ids are taken: by an open request, or by one that may have run and must not run twice.

An id may be taken here or in another process of an upgrade: what one process refuses, the others refuse too.
"""

from __future__ import annotations

import time
from typing import Protocol

from lanelift.policy import executed_ids
from lanelift.policy.executed_ids import ExecutedIds, digest_of
from lanelift.policy.open_ids import OpenIds


class OtherProcesses(Protocol):
    """The ids of the other processes of this balancer."""

    def is_open(self, digest: bytes, now_ns: int) -> bool:
        """Returns whether another process has an open request with this id."""

    def may_have_run(self, digest: bytes, now_ns: int) -> bool:
        """Returns whether another process has taken an id for a request that must not run twice."""


class RequestIds:
    """The ids of open requests, and of those that must not run twice.

    The ids of this process's own open requests are known from its table of requests; here they are only kept
    for the other processes.

    Attributes:
        executed: The ids that this process has taken for requests that must not run twice, open or ended.
        open: The ids of its open requests; None if there can be no other process.
        others: The ids of other processes; None if there can be none.
    """

    def __init__(self) -> None:
        self.executed = ExecutedIds(memoryview(bytearray(executed_ids.TABLE_BYTES)))
        self.open: OpenIds | None = None
        self.others: OtherProcesses | None = None

    def take(self, request_id: str, runs_once: bool = True) -> bool:
        """Takes an id for a request that is about to be opened; returns False if the id is taken already.

        The id is added before the other processes are asked. So if two processes take it at the same time, at
        least one of them learns of the other.

        Args:
            request_id: The id.
            runs_once: Whether the request must not run twice.
        """
        if not runs_once and self.others is None:
            return True
        digest, now_ns = digest_of(request_id), time.monotonic_ns()
        if runs_once and self.executed.contains(digest, now_ns):
            return False
        if self.open is not None:
            self.open.add(digest)
        if runs_once:
            self.executed.add(digest, now_ns)
        if not self._is_taken_elsewhere(digest, now_ns, runs_once):
            return True
        if self.open is not None:
            self.open.remove(digest)
        if runs_once:
            self.executed.remove(digest)
        return False

    def _is_taken_elsewhere(self, digest: bytes, now_ns: int, runs_once: bool) -> bool:
        others = self.others
        return others is not None and (
            others.is_open(digest, now_ns) or (runs_once and others.may_have_run(digest, now_ns))
        )

    def end(self, request_id: str) -> None:
        """Records that the request with this id is no longer open."""
        if self.open is not None:
            self.open.remove(digest_of(request_id))

    def release(self, request_id: str) -> None:
        """Gives back the id of a request that is no longer open and has certainly not run."""
        self.end(request_id)
        self.executed.remove(digest_of(request_id))
