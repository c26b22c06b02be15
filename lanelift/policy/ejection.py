"""Outlier ejection: an upstream that fails gets no attempts for a while, longer each time.

Inputs: attempts that fail or are overdue, and responses. An upstream is ejected

- for an attempt that was rejected, timed out, could not connect or is overdue;
- for a connection that broke, unless more than `SHARED_RESET_RATE` of all break: the way there is at fault
  then, unless so many broke at it in a row;
- for an error response, when nearly all of its responses are errors (`ERROR_EJECTION_RATE`), and not those of
  all upstreams (`SHARED_ERROR_RATE`): then the requests or the way there are at fault.

The first ejection lasts as long as the attempt was expected to take, where load may be the cause, else
`outcomes.FAILURE_EJECTION_NS`; each further one twice as long, at most `MAX_EJECTION_NS` before jitter. Where
`MAX_EJECTED_SHARE` of the upstreams are ejected already, only the failure is counted.

It returns when its time is over, to one attempt at a time until one succeeds (`eligibility.py`); any success,
also of an earlier attempt, and a restart that the endpoint list reports (`registry.py`) end an ejection at
once. Reason: an upstream that only fails, and at once, looks the least loaded of all.
"""

from __future__ import annotations

import random

from lanelift.policy.attempts import Attempt
from lanelift.policy.pool import UpstreamPool
from lanelift.policy.timers import TimerQueue
from lanelift.policy.units import SECOND_NS
from lanelift.policy.upstreams import Upstream

MAX_EJECTION_NS = 3 * SECOND_NS  # before jitter
MAX_DOUBLINGS = 5
MIN_LENGTH_FACTOR = 0.75  # of the drawn length: replicas must not return in step
MAX_LENGTH_FACTOR = 1.25
MAX_EJECTED_SHARE = 0.7  # of the upstreams that are drawn from; beyond, no more are ejected
ERROR_EJECTION_RATE = 0.95  # share of an upstream's responses that are errors above which it is ejected
# Share of all responses that are errors from which on no upstream is ejected for them.
SHARED_ERROR_RATE = 0.8
SHARED_RESET_RATE = 0.05  # share of all attempts that break from which on one break ejects no upstream
MIN_CONSECUTIVE_RESETS = 3  # breaks in a row at one upstream that eject it all the same
SMOOTHING_OF_ALL = 0.02  # weight of the latest response or break in the rates of all upstreams
SMOOTHING_OF_ONE = 0.05  # and in those of one


class OutlierEjection:
    """Ejects upstreams, and takes them back.

    Attributes:
        error_rate: The share of all responses that were errors lately.
        reset_rate: The share of all attempts whose connections broke lately.
    """

    __slots__ = ("error_rate", "pool", "reset_rate", "rng", "timers")

    def __init__(self, rng: random.Random, timers: TimerQueue, pool: UpstreamPool) -> None:
        self.rng = rng
        self.timers = timers
        self.pool = pool  # the one that may use all upstreams
        self.error_rate = 0.0
        self.reset_rate = 0.0

    def eject(self, attempt: Attempt, now: int, base_ns: float) -> None:
        """Eject an attempt's upstream, and schedule a run of the queues for its return.

        Args:
            attempt: The attempt that failed or is overdue.
            now: The time.
            base_ns: How long the first ejection is.
        """
        self._eject(attempt, now, base_ns)
        self.timers.wake_at(attempt.upstream.ejected_until_ns)

    def _eject(self, attempt: Attempt, now: int, base_ns: float) -> None:
        """Eject an upstream, unless that would leave hardly any.

        What was in flight there when it stopped fails together, though not at once: all that was sent before
        the ejection counts as one failure. Eight attempts would else be seven ejections in a row, the
        upstream would be left idle for seconds, and its load would congest the next. A stall that lasts is
        seen by the next attempt.
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
        """Note a response; return whether its upstream is to be ejected for it.

        An upstream that fails in part still does its share of the work.
        """
        self.error_rate += SMOOTHING_OF_ALL * (is_error - self.error_rate)
        upstream.error_rate += SMOOTHING_OF_ONE * (is_error - upstream.error_rate)
        return is_error and upstream.error_rate > ERROR_EJECTION_RATE and self.error_rate < SHARED_ERROR_RATE

    def record_success(self, upstream: Upstream) -> None:
        """Note a success: its upstream is taken back."""
        self.record_response(upstream, False)
        self.reset_rate -= SMOOTHING_OF_ALL * self.reset_rate
        upstream.consecutive_resets = 0
        if upstream.consecutive_ejections:
            upstream.consecutive_ejections = upstream.ejected_until_ns = 0

    def record_reset(self, upstream: Upstream) -> bool:
        """Note a connection that broke; return whether its upstream is to be ejected for it.

        Where connections break all the time, the way there or what stands on it is at fault: with half the
        upstreams ejected for it, the others would be congested.
        """
        self.reset_rate += SMOOTHING_OF_ALL * (1.0 - self.reset_rate)
        upstream.consecutive_resets += 1
        return self.reset_rate < SHARED_RESET_RATE or upstream.consecutive_resets >= MIN_CONSECUTIVE_RESETS
