"""The policy's record of one attempt, with the estimates for its upstream when it started.

`lanelift/net/attempts.py` carries attempts out.
"""

from __future__ import annotations

from dataclasses import dataclass

from lanelift.policy.events import NOT_EXECUTED, AttemptResult
from lanelift.policy.upstreams import Upstream


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request.

    Attributes:
        upstream: The upstream that the attempt was sent to.
        sent_ns: When the attempt was sent; for a request whose body was pending, when the body was complete.
        expected_ns: How long the attempt is expected to take.
        assumed_queue_length: The number of requests that the upstream was assumed to hold, including this
            one.
        queued_work_ns: The estimated work that the upstream had queued before this attempt.
        work_ns: The estimated work of this attempt.
        opens_connection: Whether the attempt raised the number of attempts in flight at the upstream to a new
            peak, so that a connection had to be opened for the attempt.
        result: How the attempt ended; None while the attempt is in flight.
        response_started: Whether the response is being passed on, so that the upstream has done the work.
        overdue: Whether the attempt was found to take much longer than expected (`hedging.py`).
    """

    upstream: Upstream
    sent_ns: int
    expected_ns: float
    assumed_queue_length: float
    queued_work_ns: float = 0.0
    work_ns: float = 0.0
    opens_connection: bool = False
    result: AttemptResult | None = None
    response_started: bool = False
    overdue: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt's upstream may have executed the request, or may still execute it."""
        return self.result not in NOT_EXECUTED
