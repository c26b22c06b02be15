"""Service time estimates, learned for each request class or from the cost hints of clients.

Inputs: the durations of responses from upstreams that had no work queued, the class, and the cost hint; all
times are in nanoseconds. Reason: queued work is the sum of these estimates, and a request that takes longer
than its client waits is shed.

The service time need not be proportional to the hint. If it is not, a sum of the hints themselves differs
from the queued work, and requests that can be served in time would be shed. The estimate by hint is therefore
a regression.
"""

from __future__ import annotations

import math

from lanelift.policy.attempts import Attempt
from lanelift.policy.settings import RequestClass
from lanelift.policy.units import MILLISECOND_NS

# A request is late if it takes longer than its expected time multiplied by the sum of this margin and a
# multiple of the relative deviation.
DURATION_MARGIN = 1.3
MIN_SAMPLE_WEIGHT = 0.01  # least weight of a new sample in the regression
PRIOR_SAMPLES = 8.0  # the prior slope weighs as much as this many samples
PRIOR_SLOPE = 0.5  # prior slope, used with few samples; with a slope of 1, time is proportional to the hint
# A class without samples is assumed to take an eighth (1 / this number) of its objective.
UNKNOWN_CLASS_DIVISOR = 8
# A shorter duration counts as this long: the time for which a response waited unread is subtracted from it,
# and is known only to a tick of the kernel's clock.
MIN_DURATION_NS = MILLISECOND_NS
CLASS_SMOOTHING = 0.05  # weight of the latest sample in the estimate of a class
MAX_CLASS_GROWTH = 8  # a sample of a class counts as at most this multiple of its estimate
INITIAL_DEVIATION = 0.5  # relative deviation that is assumed before there are samples
DEVIATION_SMOOTHING = 0.05  # weight of the latest sample in the relative deviation
MAX_DEVIATION = 3.0  # upper bound of each sample of the relative deviation
FACTOR_SMOOTHING = 0.2  # weight of the latest sample in an upstream's service time factor
MIN_FACTOR = 0.1  # lower bound of each sample of an upstream's service time factor
MAX_FACTOR = 10.0  # upper bound of each sample of an upstream's service time factor


class HintRegression:
    """Service time by hint: a least-squares regression of the logarithms, with more weight on recent samples.

    Attributes:
        samples: The number of samples.
        mean_log_hint: The mean of the logarithms of hints.
        mean_log_duration: The mean of the logarithms of durations.
        variance: The variance of the logarithms of hints.
        covariance: The covariance of the logarithms of hints and durations.
    """

    __slots__ = ("covariance", "mean_log_duration", "mean_log_hint", "samples", "variance")

    def __init__(self) -> None:
        self.samples = 0
        self.mean_log_hint = self.mean_log_duration = 0.0
        self.variance = self.covariance = 0.0

    def observe(self, hint_ns: int, duration_ns: float) -> None:
        """Add a sample."""
        weight = max(MIN_SAMPLE_WEIGHT, 1 / (self.samples + 1))
        hint_change = math.log(hint_ns) - self.mean_log_hint
        duration_change = math.log(max(1.0, duration_ns)) - self.mean_log_duration
        self.samples += 1
        self.mean_log_hint += weight * hint_change
        self.mean_log_duration += weight * duration_change
        self.variance = (1 - weight) * (self.variance + weight * hint_change * hint_change)
        self.covariance = (1 - weight) * (self.covariance + weight * hint_change * duration_change)

    def estimate_ns(self, hint_ns: int) -> float:
        """Return the estimated time of a request with this hint; before any sample, the hint itself."""
        if not self.samples:
            return hint_ns
        prior_weight = PRIOR_SAMPLES / self.samples
        slope = (self.covariance + PRIOR_SLOPE * prior_weight) / (self.variance + prior_weight)
        return math.exp(
            self.mean_log_duration + min(1.0, max(0.0, slope)) * (math.log(hint_ns) - self.mean_log_hint)
        )


class ServiceTimeEstimator:
    """Estimates how long requests take if no work is queued before them.

    Attributes:
        by_class_ns: Estimated time by class name, for requests without a cost hint.
        by_hint: Estimated time by cost hint, for requests with a hint.
        relative_deviation: The mean deviation of durations from the expected times, as a share of the
            expected times.
    """

    __slots__ = ("by_class_ns", "by_hint", "relative_deviation")

    def __init__(self) -> None:
        self.by_class_ns: dict[str, float] = {}
        self.by_hint = HintRegression()
        self.relative_deviation = INITIAL_DEVIATION

    def estimate_ns(self, request_class: RequestClass, hint_ns: int) -> float:
        """Return the estimated time of a request, without the work that is queued before it."""
        if hint_ns:
            return self.by_hint.estimate_ns(hint_ns)
        return self.by_class_ns.get(
            request_class.name, request_class.latency_objective_ns / UNKNOWN_CLASS_DIVISOR
        )

    def observe(self, request_class: RequestClass, hint_ns: int, attempt: Attempt, duration_ns: int) -> None:
        """Update the estimate of a class or hint, and the upstream's service time factor, from a response."""
        upstream = attempt.upstream
        duration_ns = max(MIN_DURATION_NS, duration_ns)
        if not attempt.queued_work_ns:
            if hint_ns:
                self.by_hint.observe(hint_ns, duration_ns)
            else:
                before = self.by_class_ns.setdefault(request_class.name, float(duration_ns))
                self.by_class_ns[request_class.name] += CLASS_SMOOTHING * (
                    min(duration_ns, MAX_CLASS_GROWTH * before) - before
                )
        expected_ns = attempt.queued_work_ns + self.estimate_ns(request_class, hint_ns)
        ratio = duration_ns / max(1.0, expected_ns)
        deviation = min(MAX_DEVIATION, abs(ratio / upstream.service_time_factor - 1))
        self.relative_deviation += DEVIATION_SMOOTHING * (deviation - self.relative_deviation)
        upstream.service_time_factor += FACTOR_SMOOTHING * (
            min(MAX_FACTOR, max(MIN_FACTOR, ratio)) - upstream.service_time_factor
        )
