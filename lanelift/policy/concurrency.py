"""Concurrency window: how many attempts this replica may have in flight.

Inputs: the latency ratio of each response (its duration as a share of its class's latency objective), whether
requests are queued, and how many upstreams the pool draws from. Upstreams are congested if the smoothed ratio
is above a threshold: `CONGESTION_MULTIPLE` times the baseline ratio without congestion, but at least
`MIN_CONGESTION_THRESHOLD` and at most `MAX_CONGESTION_THRESHOLD`. The window narrows under congestion, and
widens while requests wait. Reason: with hundreds of replicas, a replica's own counts say little about an
upstream, but every replica sees congestion. Requests beyond the window wait in the pool's queue.
"""

from __future__ import annotations

from lanelift.policy.attempts import Attempt
from lanelift.policy.units import SECOND_NS

MIN_CONGESTION_THRESHOLD = 0.35  # lowest congestion threshold, as a latency ratio
MAX_CONGESTION_THRESHOLD = 0.8  # highest congestion threshold, as a latency ratio
CONGESTION_MULTIPLE = 3.0  # congestion threshold as a multiple of the baseline latency ratio
# Time constants with which the latency ratio is smoothed and the baseline rises. If the smoothing counted
# responses instead of time, congestion would become the baseline within a second at a high response rate, and
# one slow response would count as congestion.
CONGESTION_SEEN_NS = SECOND_NS // 4
BASELINE_RISE_NS = 60 * SECOND_NS
MAX_RATIO_SMOOTHING = 0.1  # largest weight of the latest latency ratio in the smoothed ratio
MAX_BASELINE_RISE = 0.002  # largest weight of the smoothed ratio in a rising baseline
BASELINE_FALL = 0.05  # weight of the smoothed ratio in a falling baseline
INTERVAL_SMOOTHING = 0.05  # weight of the latest interval between outcomes in the mean interval
MAX_LATENCY_RATIO = 1.5  # larger latency ratios are clamped to this value
# With each outcome, the window changes by this number of attempts, multiplied by the distance of the latency
# ratio from the congestion threshold and divided by the width of the subset.
WINDOW_STEP = 0.5
DEFAULT_WINDOW = 0.5  # window, in attempts for each upstream, before the first endpoint list is received
INITIAL_MEAN_SERVICE_TIME_NS = SECOND_NS / 50
# Largest initial mean service time, as a share of the shortest latency objective.
MAX_INITIAL_SERVICE_TIME_SHARE = 0.08
# Least weight of the latest sample in the mean service time; the first samples weigh more.
MIN_SERVICE_TIME_SMOOTHING = 0.05
INITIAL_REQUESTS_PER_UPSTREAM = 8  # requests that all replicas together may initially send to one upstream


def initial_window(upstreams: int, replicas: int, subset_size: int) -> float:
    """Return the initial window.

    The window lets all replicas together begin with a few requests for each upstream.
    """
    own_requests = max(1.0, INITIAL_REQUESTS_PER_UPSTREAM * upstreams / replicas)
    return own_requests / max(1, subset_size)


class ConcurrencyEstimator:
    """Estimates the concurrency window and the mean service time of a queued request.

    Attributes:
        initial_window: The window before any attempt has ended. A narrower window may widen up to the initial
            window even if no request waits.
        window: How many attempts this replica may have in flight for each upstream that a pool draws from.
        latency_ratio: The smoothed latency ratio of recent responses.
        baseline_ratio: The latency ratio without congestion.
        response_interval_ns: The mean time from one outcome to the next.
        observed_at_ns: When the last outcome was observed.
        congestion_threshold: The latency ratio above which upstreams are congested.
        samples: The number of samples of the mean service time.
        mean_service_time_ns: The mean of the duration of an attempt divided by the number of requests that
            the upstream was assumed to hold.
    """

    __slots__ = (
        "baseline_ratio",
        "congestion_threshold",
        "initial_window",
        "latency_ratio",
        "mean_service_time_ns",
        "observed_at_ns",
        "response_interval_ns",
        "samples",
        "window",
    )

    def __init__(self, shortest_objective_ns: int) -> None:
        self.initial_window = self.window = DEFAULT_WINDOW
        self.latency_ratio = 0.0
        self.baseline_ratio = MIN_CONGESTION_THRESHOLD / CONGESTION_MULTIPLE
        self.response_interval_ns, self.observed_at_ns = float(SECOND_NS), 0
        self.congestion_threshold = MIN_CONGESTION_THRESHOLD
        self.samples = 0
        self.mean_service_time_ns = min(
            INITIAL_MEAN_SERVICE_TIME_NS, MAX_INITIAL_SERVICE_TIME_SHARE * shortest_objective_ns
        )

    def observe_service_time(self, attempt: Attempt, duration_ns: int) -> None:
        """Update the mean service time.

        An attempt that opened a connection is skipped: its duration includes the handshake, and would look
        like congestion whenever a replica starts. The first samples weigh more than later ones, as a replica
        with little traffic would need too long to collect twenty samples.
        """
        if attempt.opens_connection:
            return
        self.samples += 1
        sample_ns = max(1, duration_ns) / attempt.assumed_queue_length
        self.mean_service_time_ns += max(MIN_SERVICE_TIME_SMOOTHING, 1 / self.samples) * (
            sample_ns - self.mean_service_time_ns
        )

    def set_initial_window(self, window: float) -> None:
        """Set the initial window after an update of the endpoint list."""
        self.initial_window = window
        if not self.samples:
            self.window = window

    def is_congested(self) -> bool:
        """Return whether the recent latency ratio is above the congestion threshold."""
        return self.latency_ratio > self.congestion_threshold

    def observe(self, latency_ratio: float, requests_wait: bool, width: int, now: int) -> None:
        """Update the estimates from an outcome: widen the window while requests wait, or narrow it.

        Args:
            latency_ratio: The duration of an attempt as a share of its latency objective.
            requests_wait: Whether requests are queued; a wider window is useful only then.
            width: How many upstreams the pool draws from.
            now: The time.
        """
        latency_ratio = min(latency_ratio, MAX_LATENCY_RATIO)
        interval_ns = min(SECOND_NS, now - self.observed_at_ns)
        self.response_interval_ns += INTERVAL_SMOOTHING * (interval_ns - self.response_interval_ns)
        self.observed_at_ns = now
        rise = min(MAX_BASELINE_RISE, self.response_interval_ns / BASELINE_RISE_NS)
        smoothing = min(MAX_RATIO_SMOOTHING, self.response_interval_ns / CONGESTION_SEEN_NS)
        self.latency_ratio += smoothing * (latency_ratio - self.latency_ratio)
        baseline_smoothing = BASELINE_FALL if self.latency_ratio < self.baseline_ratio else rise
        self.baseline_ratio += baseline_smoothing * (self.latency_ratio - self.baseline_ratio)
        self.congestion_threshold = min(
            MAX_CONGESTION_THRESHOLD, max(MIN_CONGESTION_THRESHOLD, CONGESTION_MULTIPLE * self.baseline_ratio)
        )
        step = WINDOW_STEP * (self.congestion_threshold - latency_ratio) / max(1, width)
        if requests_wait or step < 0 or self.window < self.initial_window:
            self.window = max(1 / max(1, width), self.window + step)
