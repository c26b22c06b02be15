"""Load probing: a few upstreams drawn at random are probed before an attempt, while the request waits.

Inputs: the upstreams of the pool and load reports. A request waits for the reports for at most
`PROBE_TIMEOUT_SHARE` of the shortest latency objective. If all upstreams that reported have work queued and
little time has passed, a few other upstreams are probed, but only once. Reason: with many replicas, a
replica's own counts say little about an upstream.

Each upstream has at most one probe in flight, and its report serves all requests that wait for it. Otherwise,
if requests arrive faster than reports, the probes of each request would need further connections. An upstream
that has not reported within the timeout is skipped.
"""

from __future__ import annotations

from collections.abc import Sequence

from lanelift.policy.actions import ProbeLoad
from lanelift.policy.events import LoadProbeFinished
from lanelift.policy.load_probe_settings import IN_FLIGHT_FIELD, PROBES_PER_REQUEST
from lanelift.policy.requests import PendingRequest
from lanelift.policy.state import PolicyState
from lanelift.policy.units import SECOND_NS
from lanelift.policy.upstreams import Upstream

MIN_PROBE_TIMEOUT_NS = SECOND_NS // 333
MAX_PROBE_TIMEOUT_NS = SECOND_NS // 100
PROBE_TIMEOUT_SHARE = 0.04  # probe timeout as a share of the shortest latency objective
# Reports that arrive within a quarter (1 / this number) of the timeout leave time for a second round.
QUICK_REPORT_DIVISOR = 4


class LoadProbing:
    """Probes upstreams on behalf of requests.

    Attributes:
        timeout_ns: How long a request waits for load reports.
    """

    __slots__ = ("state", "timeout_ns")

    def __init__(self, state: PolicyState) -> None:
        self.state = state
        share_ns = PROBE_TIMEOUT_SHARE * state.shortest_objective_ns
        self.timeout_ns = int(max(MIN_PROBE_TIMEOUT_NS, min(MAX_PROBE_TIMEOUT_NS, share_ns)))

    def begin(self, request: PendingRequest, now: int) -> None:
        """Probe a few upstreams for a request that has just been queued, if load probes are used."""
        if not self.state.registry.load_probing:
            return
        drawn = dict.fromkeys(request.pool.draw(PROBES_PER_REQUEST, now))
        request.busy_upstreams = []
        answering = [
            upstream
            for upstream in drawn
            if not upstream.probe_sent_ns or now < upstream.probe_sent_ns + self.timeout_ns
        ]
        self._probe(request, answering, now)

    def _probe(self, request: PendingRequest, upstreams: list[Upstream], now: int) -> None:
        state = self.state
        request.probed_upstreams, request.probed_at_ns = upstreams, now
        for upstream in upstreams:
            if not upstream.probe_sent_ns:
                upstream.probe_sent_ns = now
                state.actions.append(ProbeLoad(upstream.id))
        state.timers.wake_at(now + self.timeout_ns, request)

    def is_waiting(self, request: PendingRequest, now: int) -> bool:
        """Return whether a request still waits for load reports."""
        probed_at_ns = request.probed_at_ns
        return now < probed_at_ns + self.timeout_ns and any(
            upstream.reported_at_ns < probed_at_ns for upstream in request.probed_upstreams
        )

    def candidates(self, request: PendingRequest, now: int) -> list[Upstream] | None:
        """Return the upstreams that reported (possibly an empty list), or None if a second round began."""
        is_eligible = self.state.registry.eligibility.is_eligible
        reported = [
            upstream
            for upstream in request.probed_upstreams
            if upstream.reported_at_ns >= request.probed_at_ns and is_eligible(upstream, now)
        ]
        # If the reports were not quick, a second round would take too much of the time that is left.
        quick = QUICK_REPORT_DIVISOR * (now - request.probed_at_ns) < self.timeout_ns
        if (
            quick
            and reported
            and not request.busy_upstreams
            and all(upstream.queued_work_ns(now, 0.0) > 0 for upstream in reported)
            and self._probe_others(request, reported, now)
        ):
            return None
        reported += [upstream for upstream in request.busy_upstreams if is_eligible(upstream, now)]
        request.probed_upstreams = []
        return reported

    def _probe_others(self, request: PendingRequest, busy: Sequence[Upstream], now: int) -> bool:
        """Probe a few upstreams other than the busy upstreams; return whether there are others."""
        subset, is_eligible = request.pool.subset, self.state.registry.eligibility.is_eligible
        others = [
            upstream
            for upstream in subset.order[: subset.width]
            if upstream not in busy and is_eligible(upstream, now)
        ]
        if not others:
            return False
        request.busy_upstreams = list(busy)
        count = min(PROBES_PER_REQUEST, len(others))
        self._probe(request, self.state.rng.sample(others, count), now)
        return True

    def probe_finished(self, event: LoadProbeFinished, now: int) -> None:
        """Record the load report of a probe, or the fact that the probe ended without one."""
        upstream = self.state.registry.upstreams.get(event.upstream)
        if upstream is None:
            return
        if event.report is not None:
            requests = event.report.get(IN_FLIGHT_FIELD, 0.0)
            mean_ns = self.state.concurrency.mean_service_time_ns
            upstream.load_reported(requests * mean_ns * upstream.service_time_factor, now)
        upstream.probe_sent_ns = 0
