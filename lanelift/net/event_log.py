"""Counts and logs why requests, connections and attempts are ended early.

Peers can cause any number of these events, so each kind is logged once an interval at most. The counters have
all of them; a kind appears in the metrics once it has occurred.
"""

from __future__ import annotations

import logging
import time
from collections import Counter
from dataclasses import dataclass
from enum import Enum

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 1.0


class EventKind(Enum):
    """Why something was ended early; the value is the label in the metrics."""

    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    INVALID_REQUEST = "invalid_request"
    ADDRESS_TAKEN_OVER = "address_taken_over"  # an upstream is listed at the address of another
    REPEATED_ID = "repeated_id"  # its request may have run already
    SENT_AHEAD = "sent_ahead"  # a client sent too much before it got its answer
    CLIENT_WAITS_FOR_TURN = "client_waits_for_turn"  # its input takes much processing time
    CLIENT_EVICTED = "client_evicted"  # to make room for a new connection
    CLIENT_STALLED = "client_stalled"  # a client did not read its response
    MEMORY_FREED = "memory_freed"  # more was buffered than the limit allows
    UPLOAD_OVERDUE = "upload_overdue"  # an upstream took a streamed body too slowly
    UNREQUESTED_BYTES = "unrequested_bytes"  # an upstream sent bytes that belong to no request
    WRITE_REFUSED = "write_refused"  # an attempt's conditions no longer held when it was to be written
    RESPONSE_ABORTED = "response_aborted"  # part of a streamed response was passed on


@dataclass(slots=True)
class _LogState:
    next_log_s: float = 0.0
    suppressed: int = 0


class EventLog:
    """Counts events by kind, and logs them at a limited rate.

    Attributes:
        counts: The number of events of each kind since the start of the process.
    """

    def __init__(self) -> None:
        self.counts: Counter[EventKind] = Counter()
        self._states = {kind: _LogState() for kind in EventKind}

    def record(self, kind: EventKind, detail: str = "") -> None:
        """Counts an event; logs it unless an event of its kind was logged within `LOG_INTERVAL_S`."""
        self.counts[kind] += 1
        state, now_s = self._states[kind], time.monotonic()
        if now_s < state.next_log_s:
            state.suppressed += 1
            return
        more = f" ({state.suppressed} more since the last line)" if state.suppressed else ""
        log.info("%s: %s%s", kind.value, detail or "-", more)
        state.next_log_s, state.suppressed = now_s + LOG_INTERVAL_S, 0
