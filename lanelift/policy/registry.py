"""Registry of the upstreams in the endpoint list, with one pool for each set of classes.

Inputs: snapshots and deltas of the endpoint list. An upstream that is missing from a snapshot is removed. An
upstream that has restarted is no longer ejected, and gets its first attempt after a random delay, so that the
first requests of all replicas do not reach it together. A removed upstream is forgotten when its last attempt
has ended.
"""

from __future__ import annotations

import random

from lanelift.policy.concurrency import ConcurrencyEstimator, initial_window
from lanelift.policy.eligibility import Eligibility
from lanelift.policy.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from lanelift.policy.peer_load import PeerLoad
from lanelift.policy.pool import UpstreamPool
from lanelift.policy.settings import RequestClass, Settings
from lanelift.policy.slow_start import SlowStart
from lanelift.policy.subsets import Subset, order_keys
from lanelift.policy.units import SECOND_NS
from lanelift.policy.upstreams import Upstream

# Metrics do not count ejections shorter than this, which are brief pauses.
MIN_REPORTED_EJECTION_NS = SECOND_NS // 2


class UpstreamRegistry:
    """All upstreams that are listed or still hold an attempt.

    Attributes:
        upstreams: Upstreams by number.
        load_probing: Whether load probes are sent before attempts; if so, there are no subsets.
        slow_start: The pacing of upstreams that are warming up.
        eligibility: The check of which upstreams may be chosen.
        peer_load: The announcements of attempts between replicas.
        pools: Pools by the zones and kinds of machines that their classes may use.
        unrestricted_pool: The pool of classes that may use all upstreams.
    """

    def __init__(
        self,
        settings: Settings,
        concurrency: ConcurrencyEstimator,
        rng: random.Random,
        load_probing: bool,
    ) -> None:
        self.settings = settings
        self.concurrency = concurrency
        self.rng = rng
        self.load_probing = load_probing
        self.upstreams: dict[int, Upstream] = {}
        sharing_replicas = settings.replica_count if load_probing else 1
        self.slow_start = SlowStart(settings.rules, concurrency, sharing_replicas)
        self.eligibility = Eligibility(concurrency, self.slow_start, load_probing)
        self.peer_load = PeerLoad(settings, load_probing, self.upstreams)
        self.pools: dict[tuple[frozenset[str], frozenset[str]], UpstreamPool] = {}
        self.unrestricted_pool = self.pool(RequestClass(""))

    def pool(self, request_class: RequestClass) -> UpstreamPool:
        """Return the pool of all classes that may use the same upstreams."""
        key = request_class.zones, request_class.machine_kinds
        if key not in self.pools:
            self.pools[key] = UpstreamPool(
                request_class,
                Subset(self.settings, self.load_probing, request_class),
                self.eligibility,
                self.peer_load,
                self.concurrency,
                self.rng,
            )
        return self.pools[key]

    def update(self, event: EndpointUpdate, now: int) -> None:
        """Apply a snapshot or delta of the endpoint list, and choose the subsets again."""
        if event.kind is not EndpointUpdateKind.DELTA:
            self._remove_unlisted(event)
        for endpoint in event.endpoints:
            self._update_endpoint(endpoint, now)
        for upstream in list(self.upstreams.values()):
            self.forget_if_removed(upstream)
        ready = sorted(
            (
                upstream
                for upstream in self.upstreams.values()
                if upstream.endpoint.state is EndpointState.READY
            ),
            key=lambda upstream: (upstream.common_order, upstream.id),
        )
        replicas = max(1, self.settings.replica_count)
        for pool in self.pools.values():
            pool.subset.arrange(ready, replicas)
        subset = self.unrestricted_pool.subset
        if not self.load_probing:
            self.slow_start.sharing_replicas = subset.degree
        self.peer_load.set_degree(subset.degree)
        self.concurrency.set_initial_window(initial_window(len(ready), replicas, subset.size))

    def _remove_unlisted(self, event: EndpointUpdate) -> None:
        listed = {endpoint.id for endpoint in event.endpoints}
        for upstream in self.upstreams.values():
            if upstream.id not in listed:
                upstream.endpoint = upstream.endpoint._replace(state=EndpointState.REMOVED)

    def _update_endpoint(self, endpoint: Endpoint, now: int) -> None:
        if endpoint.id not in self.upstreams:
            self.upstreams[endpoint.id] = Upstream(
                endpoint.id, endpoint, *order_keys(endpoint.id, self.settings.replica)
            )
        upstream = self.upstreams[endpoint.id]
        before, upstream.endpoint = upstream.endpoint, endpoint
        restarted = endpoint.started_ns != before.started_ns
        if restarted:
            upstream.consecutive_ejections = upstream.ejected_until_ns = upstream.paced_until_ns = 0
        newly_listed = before is endpoint
        if self.slow_start.is_warming_up(upstream, now) and (restarted or newly_listed):
            # Rule 4: the first requests of all replicas must not reach it together.
            interval_ns = self.slow_start.pacing_interval_ns(upstream, now)
            upstream.paced_until_ns = now + int(self.rng.random() * interval_ns)
            upstream.ejected_until_ns = upstream.paced_until_ns

    def forget_if_removed(self, upstream: Upstream) -> None:
        """Forget an upstream if it is removed and holds no attempt.

        No record of the upstream is needed later, as ids are never used twice.
        """
        if upstream.endpoint.state is EndpointState.REMOVED and not upstream.in_flight:
            self.upstreams.pop(upstream.id, None)

    def out_of_rotation(self, now: int) -> int:
        """Return the number of listed upstreams that get no requests now, as they drain or are ejected."""
        return sum(
            upstream.endpoint.state is EndpointState.DRAINING
            or upstream.ejected_until_ns > max(now, upstream.ejected_at_ns + MIN_REPORTED_EJECTION_NS)
            for upstream in self.upstreams.values()
            if upstream.endpoint.state is not EndpointState.REMOVED
        )
