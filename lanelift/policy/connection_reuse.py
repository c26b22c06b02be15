"""When a connection to an upstream may carry the next request.

Nothing in HTTP/1.1 says which request a response belongs to. A second copy of a response, or noise behind it,
that arrives after the next request was written would be read as that request's response. Such bytes come soon
after the response, so a connection rests for a while before it is used again: `SETTLE_NS`, and
`UNTRUSTED_SETTLE_NS` at an upstream that has sent bytes nobody asked for within the last `DISTRUST_NS`.

Inputs: when an upstream last sent such bytes, and the time.
"""

from __future__ import annotations

from lanelift.policy.units import MILLISECOND_NS, SECOND_NS

SETTLE_NS = 10 * MILLISECOND_NS
UNTRUSTED_SETTLE_NS = 50 * MILLISECOND_NS
DISTRUST_NS = 30 * SECOND_NS  # how long an upstream is trusted less after bytes that nobody asked for


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
