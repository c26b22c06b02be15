"""Outlier ejection: an upstream that fails gets no attempts for a while, and for longer each time.

Inputs: attempts that fail or are overdue, and responses. An upstream is ejected

- for an attempt that was rejected, timed out, could not connect or is overdue;
- for a connection that broke, unless the connections of at least `SHARED_RESET_RATE` of all attempts break
  (the network is then at fault) and fewer than `MIN_CONSECUTIVE_RESETS` broke in a row at this upstream;
- for an error response, if nearly all of its responses are errors (`ERROR_EJECTION_RATE`), unless most
  responses of all upstreams are errors (`SHARED_ERROR_RATE`): the requests or the network are then at fault.

If load may be the cause, the first ejection lasts as long as the attempt was expected to take; otherwise it
lasts `outcomes.FAILURE_EJECTION_NS`. Each further ejection lasts twice as long as the one before, at most
`MAX_EJECTION_NS` before jitter. If `MAX_EJECTED_SHARE` of the upstreams are already ejected, the failure is
only counted.

After its ejection, an upstream gets one attempt at a time until one succeeds (`eligibility.py`). Any success,
even of an earlier attempt, and a restart that the endpoint list reports (`registry.py`) end an ejection
immediately. Reason: an upstream that fails every request immediately looks like the least loaded of all.
"""

from __future__ import annotations

import random

from lanelift.policy.attempts import Attempt
from lanelift.policy.pool import UpstreamPool
from lanelift.policy.timers import TimerQueue
from lanelift.policy.units import SECOND_NS
from lanelift.policy.upstreams import Upstream

MAX_EJECTION_NS = 3 * SECOND_NS  # longest ejection, before jitter
MAX_DOUBLINGS = 5
# Lowest jitter factor of an ejection; the jitter keeps replicas from returning together.
MIN_LENGTH_FACTOR = 0.75
MAX_LENGTH_FACTOR = 1.25
# A failing upstream is ejected only if less than this share of the upstreams drawn from is ejected already.
MAX_EJECTED_SHARE = 0.7
ERROR_EJECTION_RATE = 0.95  # an upstream is ejected if its share of error responses is above this value
# If at least this share of all responses are errors, no upstream is ejected for errors.
SHARED_ERROR_RATE = 0.8
# If the connections of at least this share of all attempts break, a single break ejects no upstream.
SHARED_RESET_RATE = 0.05
# This many breaks in a row at an upstream eject it, whatever share of all attempts break.
MIN_CONSECUTIVE_RESETS = 3
OVERALL_RATE_SMOOTHING = 0.02  # weight of the latest response or break in the rates over all upstreams
UPSTREAM_RATE_SMOOTHING = 0.05  # weight of the latest response in the error rate of one upstream


class OutlierEjection:
    """Ejects upstreams, and ends their ejections.

    Attributes:
        error_rate: Errors as a share of all recent responses.
        reset_rate: Attempts whose connections broke, as a share of all recent attempts.
    """

    __slots__ = ("error_rate", "pool", "reset_rate", "rng", "timers")

    def __init__(self, rng: random.Random, timers: TimerQueue, pool: UpstreamPool) -> None:
        self.rng = rng
        self.timers = timers
        self.pool = pool  # the unrestricted pool
        self.error_rate = 0.0
        self.reset_rate = 0.0

    def eject(self, attempt: Attempt, now: int, base_ns: float) -> None:
        """Eject an attempt's upstream, and schedule a run of the queues for the end of the ejection.

        Args:
            attempt: The attempt that failed or is overdue.
            now: The time.
            base_ns: The length of the ejection if it is the first since the upstream's last success.
        """
        self._eject(attempt, now, base_ns)
        self.timers.wake_at(attempt.upstream.ejected_until_ns)

    def _eject(self, attempt: Attempt, now: int, base_ns: float) -> None:
        """Count the failure, and eject the upstream unless too many upstreams are ejected.

        If an upstream stops, the attempts in flight there fail one after another, so all attempts sent
        before the ejection count as one failure. Otherwise eight attempts would cause seven ejections in
        a row, the upstream would be idle for seconds, and its load would congest the next upstream. If the
        upstream does not recover, the first attempt after the ejection detects that.
        """
        upstream = attempt.upstream
        if upstream.ejected_until_ns > now or attempt.sent_ns < upstream.ejected_at_ns:
            return
        upstream.consecutive_ejections += 1
        upstream.ejected_at_ns = now
        subset = self.pool.subset
        drawn_from = subset.order[: subset.width]
        ejected = sum(other.ejected_until_ns > now for other in drawn_from)
        if ejected < MAX_EJECTED_SHARE * len(drawn_from):
            doublings = min(upstream.consecutive_ejections - 1, MAX_DOUBLINGS)
            length_ns = min(base_ns * 2**doublings, MAX_EJECTION_NS)
            upstream.ejected_until_ns = now + int(
                length_ns * self.rng.uniform(MIN_LENGTH_FACTOR, MAX_LENGTH_FACTOR)
            )

    def record_response(self, upstream: Upstream, is_error: bool) -> bool:
        """Record a response; return whether its upstream is to be ejected for it.

        An upstream that fails only part of its requests is not ejected, as it still serves the others.
        """
        self.error_rate += OVERALL_RATE_SMOOTHING * (is_error - self.error_rate)
        upstream.error_rate += UPSTREAM_RATE_SMOOTHING * (is_error - upstream.error_rate)
        return is_error and upstream.error_rate > ERROR_EJECTION_RATE and self.error_rate < SHARED_ERROR_RATE

    def record_success(self, upstream: Upstream) -> None:
        """Record a success, and end the ejection of its upstream, but not the pacing of its slow start."""
        self.record_response(upstream, False)
        self.reset_rate -= OVERALL_RATE_SMOOTHING * self.reset_rate
        upstream.consecutive_resets = 0
        if upstream.consecutive_ejections:
            upstream.consecutive_ejections = 0
            upstream.ejected_until_ns = upstream.paced_until_ns

    def record_reset(self, upstream: Upstream) -> bool:
        """Record a connection that broke; return whether its upstream is to be ejected for it.

        If the connections of at least `SHARED_RESET_RATE` of all attempts break, the network or a device in
        it is at fault. If half of the upstreams were ejected for such breaks, the others would be congested.
        """
        self.reset_rate += OVERALL_RATE_SMOOTHING * (1.0 - self.reset_rate)
        upstream.consecutive_resets += 1
        return self.reset_rate < SHARED_RESET_RATE or upstream.consecutive_resets >= MIN_CONSECUTIVE_RESETS
