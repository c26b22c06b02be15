"""The time-out of TCP handshakes, after which a request goes to another upstream."""

from __future__ import annotations

# The lower bound of a handshake's time-out, which applies however fast earlier handshakes were.
MIN_HANDSHAKE_TIMEOUT_S = 0.03


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
