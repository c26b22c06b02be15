"""How long a response may take: who is timed, by what, and from when.

================================= ======================== ===================================================
Response                          Timed until              Limit
================================= ======================== ===================================================
buffered                          its last byte, or the    the attempt's time-out
                                  start of streaming
streamed, more than               its last byte            SILENCE_TIMEOUT_S without a byte
SHORT_RESPONSE_BYTES so far, or
such a length is stated
streamed, a shorter length is     its last byte            the attempt's time-out and LATE_ANSWER_GRACE_S
stated
streamed, up to that, and no      its last byte, or more   as in the line above; or the time that its bytes
length is stated                  bytes than that          take at MIN_RATE_BYTES_PER_S and
                                                           LATE_ANSWER_GRACE_S, if that is later
streamed, its client reads none   the client reads on      CLIENT_STALL_TIMEOUT_S without progress; nothing
                                                           else
================================= ======================== ===================================================

A response without a stated length may be a short one that never ends, because its upstream is stuck, or a
long one that pauses. The bytes received so far tell them apart: the more there are, the longer it may pause.
"""

from __future__ import annotations

import math

SHORT_RESPONSE_BYTES = 64 * 1024
MIN_RATE_BYTES_PER_S = 8000.0
LATE_ANSWER_GRACE_S = 0.2
SILENCE_TIMEOUT_S = 10.0
CLIENT_STALL_TIMEOUT_S = 30.0


def response_due_s(received_bytes: int, length: int | None, started_s: float, timeout_at_s: float) -> float:
    """Returns when a streamed response must have ended, or have brought more bytes.

    Args:
        received_bytes: The number of bytes of the body received so far.
        length: The stated length; None if it is not stated.
        started_s: When the response began to be streamed, moved on by the time in which its client did not
            read.
        timeout_at_s: The attempt's time-out; infinite if the response is not limited by it.
    """
    if max(received_bytes, length or 0) > SHORT_RESPONSE_BYTES or timeout_at_s == math.inf:
        return math.inf
    if length is not None:
        return timeout_at_s + LATE_ANSWER_GRACE_S
    return max(timeout_at_s, started_s + received_bytes / MIN_RATE_BYTES_PER_S) + LATE_ANSWER_GRACE_S
