"""Whether an attempt may still be written: the last check, made when its bytes are about to be written.

An attempt is decided at one time and written at a later one: it may wait for a connection, for another
attempt, or for a process that gets no CPU time. What held when it was decided must hold when it is written.

Inputs: the state of the client, of the upstream and of the request's other attempts, and the time. A balancer
may be stopped between reading its clock and writing, so the window of an idempotency key is treated as if it
ended `MAX_WRITE_DELAY_NS` earlier; `legality.py` decides about retries by the same window.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lanelift.policy.settings import Idempotency, RequestClass
from lanelift.policy.units import MILLISECOND_NS

MAX_WRITE_DELAY_NS = 150 * MILLISECOND_NS  # longest stop of a balancer between reading its clock and writing


class WriteRefusal(Enum):
    """Why an attempt may not be written any more."""

    UPSTREAM_NOT_READY = "its upstream drains or is gone"
    CLIENT_LEFT = "its client has left"
    DEADLINE_PASSED = "its deadline has passed"
    MAY_HAVE_RUN = "an earlier attempt may have run"
    WINDOW_CLOSED = "an earlier attempt may have run, and its deduplication window is over"


@dataclass(frozen=True, slots=True)
class WriteConditions:
    """What an attempt depends on, at the time of its write.

    Attributes:
        upstream_ready: Whether the upstream is listed as ready.
        client_connected: Whether the client is known to be connected.
        left_ns: How long the client still waits.
        first_write_ns: When the first of the request's other attempts that may have run was written; None if
            none of them may have run.
    """

    upstream_ready: bool
    client_connected: bool
    left_ns: int
    first_write_ns: int | None


def write_refusal(request_class: RequestClass, conditions: WriteConditions, now: int) -> WriteRefusal | None:
    """Return why an attempt may not be written now; None if it may be."""
    if not conditions.upstream_ready:
        return WriteRefusal.UPSTREAM_NOT_READY
    if not conditions.client_connected:
        return WriteRefusal.CLIENT_LEFT
    if conditions.left_ns <= 0:
        return WriteRefusal.DEADLINE_PASSED
    if conditions.first_write_ns is None or request_class.idempotency is Idempotency.IDEMPOTENT:
        return None
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return WriteRefusal.MAY_HAVE_RUN
    if not is_window_open(request_class, conditions.first_write_ns, now):
        return WriteRefusal.WINDOW_CLOSED
    return None


def is_window_open(request_class: RequestClass, first_write_ns: int, now: int) -> bool:
    """Return whether a repeat that is written after this moment still falls into the deduplication window.

    Args:
        request_class: The class of the request, which has an idempotency key.
        first_write_ns: When the first attempt that may have run was written.
        now: The time.
    """
    return now - first_write_ns < request_class.deduplication_window_ns - MAX_WRITE_DELAY_NS
