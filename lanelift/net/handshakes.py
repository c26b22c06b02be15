"""How long a connection may take to come up before its request goes elsewhere."""

from __future__ import annotations

# Not less than this, however fast others came up.
MIN_HANDSHAKE_TIMEOUT_S = 0.03


class HandshakeEstimator:
    """The time-out of a handshake, by those that came up: the estimator of RFC 6298 (2.2, 2.3).

    A segment that is lost on the way costs a second (RFC 6298, 2.1). A request need not wait for that:
    nothing of it was written, so that it can go to another upstream. The handshake itself goes on to the
    settings' limit; what comes up late is learned from, and its connection is kept.

    Attributes:
        limit_s: The longest that the settings allow, in seconds.
        mean_s: The smoothed handshake time in seconds; None: none was measured.
        deviation_s: Its smoothed deviation in seconds.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self.mean_s: float | None = None
        self.deviation_s = 0.0

    def record(self, seconds: float) -> None:
        """A handshake took so long."""
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
