"""One attempt of a request, with what was known of its upstream as it started."""

from __future__ import annotations

from dataclasses import dataclass

from lanelift.policy.events import NOT_EXECUTED, AttemptResult
from lanelift.policy.upstreams import Upstream


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt.

    Attributes:
        upstream: Where it went.
        sent_ns: When; for a request whose body was pending, when that was complete.
        expected_ns: How long it should take.
        assumed_queue_length: Requests that the upstream was thought to hold, this one included.
        queued_work_ns: Work that the upstream had before this one, as far as known.
        work_ns: The work of this one.
        opens_connection: More attempts were there than ever before: it had to open a connection.
        result: How it ended; None: it is in flight.
        response_started: Its response is being passed on: its upstream has done its work.
        overdue: It is in flight for longer than its upstream should take.
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
        """Whether its upstream may have executed the request, or may still."""
        return self.result not in NOT_EXECUTED
