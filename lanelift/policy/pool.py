"""Choice of an upstream: among a few random draws and the previous choice, the one that becomes free first.

Inputs: the eligible upstreams of the subset, and the work that each has queued (nanoseconds). There are
`DRAWS` draws if a replica knows only its own attempts, and `DRAWS_WITH_PEER_LOAD` if replicas announce their
attempts. Reason: random draws keep replicas from all choosing the same upstream. The previous choice adds
memory to the random draws at no cost.

Source: the power of two choices (Mitzenmacher 2001), with memory (Mitzenmacher, Prabhakar, Shah 2002).
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from typing import Any

from lanelift.policy.concurrency import ConcurrencyEstimator
from lanelift.policy.eligibility import Eligibility
from lanelift.policy.peer_load import PeerLoad
from lanelift.policy.restrictions import class_may_use
from lanelift.policy.settings import RequestClass
from lanelift.policy.subsets import Subset
from lanelift.policy.upstreams import Upstream

DRAWS = 2  # random draws in addition to the previous choice
DRAWS_WITH_PEER_LOAD = 8  # random draws in addition to the previous choice; they cover most of a subset
TRIES_PER_DRAW = 4  # random tries for each draw; if no try succeeds, all eligible upstreams are listed


class UpstreamPool:
    """The upstreams that a set of request classes may use, and the queue of requests that wait for one.

    Attributes:
        request_class: One of the classes that the pool serves; all of them may use the same upstreams.
        subset: The upstreams that this replica draws from.
        previous: The upstream that was chosen last.
        queue: Requests that wait for an upstream, in order.
        blocked_since_ns: When the head of the queue first found no upstream; 0 if it is not blocked, or the
            queue is empty.
        saturated: Whether the head of the queue waits for capacity, and not for a load report.
    """

    __slots__ = (
        "blocked_since_ns",
        "concurrency",
        "eligibility",
        "peer_load",
        "previous",
        "queue",
        "request_class",
        "rng",
        "saturated",
        "subset",
    )

    def __init__(
        self,
        request_class: RequestClass,
        subset: Subset,
        eligibility: Eligibility,
        peer_load: PeerLoad,
        concurrency: ConcurrencyEstimator,
        rng: random.Random,
    ) -> None:
        self.request_class = request_class
        self.subset = subset
        self.eligibility = eligibility
        self.peer_load = peer_load
        self.concurrency = concurrency
        self.rng = rng
        self.previous: Upstream | None = None
        self.queue: deque[Any] = deque()
        self.blocked_since_ns = 0
        self.saturated = False

    def draw(self, count: int, now: int) -> list[Upstream]:
        """Return up to `count` random draws from the eligible upstreams, and the previous choice.

        The previous choice is left out if it is not eligible. The cost depends on the `width` upstreams of
        the subset, and not on the number of listed ones.
        """
        order, width = self.subset.order, self.subset.width
        is_eligible, random_number = self.eligibility.is_eligible, self.rng.random
        candidates: list[Upstream] = []
        for _ in range(TRIES_PER_DRAW * count if width else 0):
            upstream = order[int(random_number() * width)]
            if is_eligible(upstream, now):
                candidates.append(upstream)
                if len(candidates) == count:
                    break
        if not candidates:
            eligible = [upstream for upstream in order[:width] if is_eligible(upstream, now)]
            if eligible:
                candidates = [eligible[int(random_number() * len(eligible))] for _ in range(count)]
        previous = self.previous
        if (
            previous is not None
            and is_eligible(previous, now)
            and class_may_use(previous.endpoint, self.request_class)
        ):
            candidates.append(previous)
        return candidates

    def pick(self, now: int, allowed: Iterable[Upstream] | None = None) -> Upstream | None:
        """Return the upstream that becomes free first, among a few draws or the allowed upstreams.

        Return None if no upstream is eligible.

        Args:
            now: The time.
            allowed: The only upstreams to choose from; None means any upstream that this replica draws from.
        """
        if allowed is None:
            candidates = self.draw(DRAWS_WITH_PEER_LOAD if self.peer_load.enabled else DRAWS, now)
        else:
            is_eligible = self.eligibility.is_eligible
            candidates = [upstream for upstream in allowed if is_eligible(upstream, now)]
        if not candidates:
            return None
        mean_ns = self.concurrency.mean_service_time_ns
        self.previous = min(
            candidates,
            key=lambda upstream: (
                upstream.queued_work_ns(now, mean_ns) + mean_ns * upstream.service_time_factor
            ),
        )
        return self.previous
