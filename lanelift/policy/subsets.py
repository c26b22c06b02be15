"""Subsetting: each replica draws from a few upstreams, each of which it shares with few other replicas.

Inputs: the ready upstreams, the number of replicas and this replica's own number, whether replicas may send
messages to one another, and whether load probes are used (if so, there is no subset, and all upstreams are
drawn from). A subset is widened by one upstream for each member that can't be reached, and by one in each
feedback interval while requests wait. Reason: a replica's own attempts, and the attempts that other replicas
announce to it, say something about an upstream only if few replicas share that upstream.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from lanelift.policy.restrictions import class_may_use
from lanelift.policy.settings import RequestClass, Settings
from lanelift.policy.units import SECOND_NS
from lanelift.policy.upstreams import Upstream

MIN_SUBSET_SIZE = 4  # fewest upstreams in a subset, unless fewer are ready
PAUSE_TOLERANT_SIZE = 10  # size with which a subset still serves while a few of its upstreams pause
# Subsets are enlarged up to PAUSE_TOLERANT_SIZE only while at most this many replicas share an upstream.
# More replicas may share an upstream if subsets would otherwise be smaller than MIN_SUBSET_SIZE.
MAX_DEGREE = 6
MAX_DEGREE_WITH_PEER_MESSAGES = 4  # used instead of MAX_DEGREE if replicas may send messages to one another
UNREACHABLE_REMEMBERED_NS = SECOND_NS  # time after its ejection for which an upstream counts as unreachable


def stable_hash(number: int, salt: int) -> int:
    """Return a 64-bit hash of an id that is the same on every replica, whatever Python's hash seed is."""
    mask = 0xFFFFFFFFFFFFFFFF
    x = (number * 0x9E3779B97F4A7C15 + salt * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019) & mask
    x = ((x ^ (x >> 29)) * 0xBF58476D1CE4E5B9) & mask
    return x ^ (x >> 32)


def order_keys(number: int, replica: int) -> tuple[int, int]:
    """Return an upstream's sort keys in the order of all replicas and in this replica's own order."""
    return stable_hash(number, 0), stable_hash(number, replica + 1)


def subset_members(upstream: Upstream, replicas: int, count: int) -> list[int]:
    """Return the replicas that have an upstream in their subset.

    The members are drawn by a hash of the upstream's id, so all replicas compute the same members, and adding
    or removing another upstream does not change them. Computed members are kept, so that a change of a long
    list costs little.
    """
    if count >= replicas:
        return list(range(replicas))
    salt = 0
    while len(upstream.subset_members) < count:
        salt += 1
        replica = stable_hash(upstream.id, salt) % replicas
        if replica not in upstream.subset_members:
            upstream.subset_members.append(replica)
    return upstream.subset_members[:count]


class Subset:
    """The part of a pool's upstreams that this replica draws from.

    Attributes:
        order: The ready upstreams: this replica's subset, then the others in this replica's own order.
        size: The number of upstreams in the subset.
        degree: The number of replicas that have each upstream in their subset.
        members: The replicas that have each upstream in their subset, by upstream number.
        width: How many upstreams of `order` are drawn from now: the subset, or more.
    """

    __slots__ = (
        "degree",
        "load_probing",
        "members",
        "order",
        "request_class",
        "settings",
        "size",
        "width",
    )

    def __init__(self, settings: Settings, load_probing: bool, request_class: RequestClass) -> None:
        self.settings = settings
        self.load_probing = load_probing
        self.request_class = request_class
        self.order: list[Upstream] = []
        self.size = 0
        self.degree = 1
        self.members: dict[int, list[int]] = {}
        self.width = 0

    def arrange(self, ready: Sequence[Upstream], replicas: int) -> None:
        """Choose the subset from the ready upstreams, which are in the order that all replicas share."""
        ready = [upstream for upstream in ready if class_may_use(upstream.endpoint, self.request_class)]
        count, own_number = len(ready), self.settings.replica
        own = ready
        if count and not self.load_probing:
            peers = self.settings.limits.peer_messages
            degree = MAX_DEGREE_WITH_PEER_MESSAGES if peers else MAX_DEGREE
            size = max(
                count / replicas, MIN_SUBSET_SIZE, min(PAUSE_TOLERANT_SIZE, degree * count // replicas)
            )
            self.degree = min(replicas, math.ceil(size * replicas / count))
            self.members = {
                upstream.id: subset_members(upstream, replicas, self.degree) for upstream in ready
            }
            own = [upstream for upstream in ready if own_number in self.members[upstream.id]]
        own_ids = {upstream.id for upstream in own}
        others = sorted(
            (upstream for upstream in ready if upstream.id not in own_ids),
            key=lambda upstream: (upstream.own_order, upstream.id),
        )
        self.order = own + others
        self.size = min(count, max(len(own), MIN_SUBSET_SIZE))
        self.width = min(count, max(self.width, self.size))

    def widen_or_narrow(self, requests_wait: bool, now: int) -> None:
        """Widen the subset to replace unreachable upstreams and while requests wait, or narrow it again.

        Upstreams become unreachable, for example, if their zone is cut off. Congested upstreams are not
        replaced, as a replica knows nothing of the load of upstreams outside its subset.
        """
        unreachable = sum(
            upstream.unreachable and now < upstream.ejected_until_ns + UNREACHABLE_REMEMBERED_NS
            for upstream in self.order[: self.width]
        )
        target = min(len(self.order), self.size + unreachable)
        if requests_wait or self.width < target:
            self.width = min(len(self.order), max(self.width + 1, target))
        elif self.width > target:
            self.width -= 1

    def in_rotation(self, now: int) -> int:
        """Return how many of the upstreams that are drawn from are not ejected.

        The concurrency window is multiplied by this number, so that the load of ejected upstreams does not
        all move to the others.
        """
        return sum(upstream.ejected_until_ns <= now for upstream in self.order[: self.width])
