"""The time-out of TCP handshakes, after which a request goes to another upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# The lower bound of a handshake's time-out, which applies however fast earlier handshakes were.
MIN_HANDSHAKE_TIMEOUT_S = 0.03
# If a handshake's timer fires at least this long after it was due, this process is short of CPU time, and the
# time-out says nothing about the upstream.
LATE_TIMER_S = 0.01


class HandshakeEstimator:
    """Estimates the time-out of a handshake from earlier handshakes, by RFC 6298 (2.2, 2.3).

    A lost segment delays a handshake by a second (RFC 6298, 2.1). A request need not wait for that second:
    nothing of the request has been written, so it can go to another upstream. The handshake itself continues
    up to the limit in the settings; if the handshake succeeds late, its duration is recorded and its
    connection is kept.

    Attributes:
        limit_s: The upper bound from the settings, in seconds.
        mean_s: The smoothed handshake time in seconds; None if none was measured.
        deviation_s: The smoothed deviation of the handshake time, in seconds.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self.mean_s: float | None = None
        self.deviation_s = 0.0

    def record(self, seconds: float) -> None:
        """Records the time that a handshake took."""
        if self.mean_s is None:
            self.mean_s, self.deviation_s = seconds, seconds / 2
        else:
            self.deviation_s += (abs(seconds - self.mean_s) - self.deviation_s) / 4
            self.mean_s += (seconds - self.mean_s) / 8

    @property
    def timeout_s(self) -> float:
        """How long a request waits for its handshake, in seconds."""
        if self.mean_s is None:
            return self.limit_s
        return min(self.limit_s, max(MIN_HANDSHAKE_TIMEOUT_S, self.mean_s + 4 * self.deviation_s))


class HandshakeTimer:
    """Ends the wait for a handshake at its time-out.

    Failure guarded against: this process may be stopped for longer than the time-out. The handshake may be
    complete by then, but the loop does not know that yet. So a timer that fires late waits again, for as long
    as it was late. The limit of the settings bounds these waits: it ends the handshake itself.
    """

    def __init__(self, timeout_s: float, on_overdue: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_overdue = on_overdue
        self._handle = self._loop.call_later(timeout_s, self._fired)

    def cancel(self) -> None:
        """Cancels the timer, as the handshake has ended."""
        self._handle.cancel()

    def _fired(self) -> None:
        late_s = self._loop.time() - self._handle.when()
        if late_s > LATE_TIMER_S:
            self._handle = self._loop.call_later(late_s, self._fired)
        else:
            self._on_overdue()
