"""When a connection to an upstream may carry the next request.

Nothing in HTTP/1.1 says which request a response belongs to. A second copy of a response, or noise behind it,
that arrives after the next request was written would be read as that request's response. Such bytes come soon
after the response, so a connection rests for a while before it is used again: `SETTLE_NS`, and
`UNTRUSTED_SETTLE_NS` at an upstream that has sent bytes nobody asked for within the last `DISTRUST_NS`.

Under load this rest costs handshakes, as requests go to the upstream that has just answered. So a GET request
may be written to a connection that has not settled, if responses are slow: what comes before the connection
settles is then not its response, and ends the connection. A quick response would be lost to this rule, and
its request would run again. So after a quick response only settled connections are used, until
`MIN_SLOW_RESPONSES` slow ones have come in a row.

Inputs: when an upstream last sent unrequested bytes, how long responses took to begin, and the time.
"""

from __future__ import annotations

from lanelift.policy.units import MILLISECOND_NS, SECOND_NS

SETTLE_NS = 10 * MILLISECOND_NS
UNTRUSTED_SETTLE_NS = 50 * MILLISECOND_NS
DISTRUST_NS = 30 * SECOND_NS  # how long an upstream is trusted less after bytes that nobody asked for
# A response is quick if it may come before a connection has settled; this allows for a late event loop.
QUICK_RESPONSE_NS = 15 * MILLISECOND_NS
MIN_SLOW_RESPONSES = 64


class UpstreamTrust:
    """How far an upstream is trusted to send nothing but the responses to its requests.

    Attributes:
        distrusted_until_ns: When the upstream is trusted as before; 0 if it has always been.
    """

    __slots__ = ("distrusted_until_ns",)

    def __init__(self) -> None:
        self.distrusted_until_ns = 0

    def unrequested_bytes_received(self, now: int) -> None:
        """Trust the upstream less from now on, as it has sent bytes that nobody asked for."""
        self.distrusted_until_ns = now + DISTRUST_NS

    def is_trusted(self, now: int) -> bool:
        """Return whether the upstream has sent nothing unrequested lately."""
        return now >= self.distrusted_until_ns

    def settle_ns(self, now: int) -> int:
        """Return how long a connection to the upstream rests before it carries the next request."""
        return SETTLE_NS if self.is_trusted(now) else UNTRUSTED_SETTLE_NS


class ResponseTimes:
    """Whether responses are so slow that none comes before a connection has settled.

    Attributes:
        slow_in_a_row: The number of slow responses since the last quick one.
    """

    __slots__ = ("slow_in_a_row",)

    def __init__(self) -> None:
        self.slow_in_a_row = 0

    def record(self, duration_ns: int) -> None:
        """Record how long a response took to begin after its request was written."""
        self.slow_in_a_row = 0 if duration_ns < QUICK_RESPONSE_NS else self.slow_in_a_row + 1

    @property
    def are_slow(self) -> bool:
        """Whether a request may be written to a connection that has not settled."""
        return self.slow_in_a_row >= MIN_SLOW_RESPONSES
