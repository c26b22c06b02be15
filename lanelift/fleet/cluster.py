"""The configuration of a fleet: its members and timings, which must be the same in all members. Pure.

All times are whole nanoseconds. Clocks need not agree: only their rate is trusted, to within `drift`.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

MS = 1_000_000  # nanoseconds in a millisecond
# Upper limit of `LeaseTiming.drift`: a larger error means a broken clock; real clocks stay under 0.0005 even
# while slewed.
MAX_DRIFT = 0.1
# Number of renewals before the stop margin of a lease begins; three of these may be lost.
RENEWALS_PER_VALIDITY = 4


@dataclass(frozen=True, slots=True)
class Member:
    """One balancer of the fleet.

    Attributes:
        id: The member's name, unique in the fleet.
        address: Host and UDP port at which the other members reach this member.
        zone: The zone that the member runs in.
        votes: Whether the member is a voter.
    """

    id: str
    address: tuple[str, int]
    zone: str = ""
    votes: bool = True


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """The timings of leases, in nanoseconds.

    Attributes:
        lease_ns: How long a vote binds its voter, on the voter's clock.
        response_timeout_ns: How long a proposer waits for a response.
        stop_margin_ns: The time at the end of its lease that a holder reserves for ending its task.
        drift: The largest relative error of any clock's rate, as a fraction of one.
    """

    lease_ns: int = 10_000 * MS
    response_timeout_ns: int = 250 * MS
    stop_margin_ns: int = 2_000 * MS
    drift: float = 0.001

    @property
    def validity_ns(self) -> int:
        """How long a holder holds the lease, on its clock, from when it *sent* the accepted request.

        A voter is bound until `lease_ns` on its clock after it *received* the request: in true time at least
        lease / (1 + drift) after the request was sent. The holder's own clock may be as slow as 1 - drift, so
        the holder must stop after lease * (1 - drift) / (1 + drift) on that clock.
        """
        return int(self.lease_ns * (1 - self.drift) / (1 + self.drift))

    @property
    def restart_quiet_ns(self) -> int:
        """How long, on its clock, a restarted voter does not vote, as it may have forgotten its votes.

        Any request that the voter had accepted was sent before the voter forgot its votes, so the lease that
        the request gave ends before the quiet period does, by the inequality shown for `validity_ns`.
        """
        return self.lease_ns

    @property
    def renewal_interval_ns(self) -> int:
        """The interval at which a holder renews its lease."""
        return (self.validity_ns - self.stop_margin_ns) // RENEWALS_PER_VALIDITY

    @property
    def poll_interval_ns(self) -> int:
        """The interval at which a waiter repeats its request, in order to keep its queue position."""
        return max(self.response_timeout_ns, self.lease_ns // 4)

    @property
    def waiter_expiry_ns(self) -> int:
        """How long a waiter that sends no request keeps its queue position; two requests may be lost."""
        return 3 * self.poll_interval_ns

    @property
    def queue_head_window_ns(self) -> int:
        """How long only the first waiter may get a lease that became free; then any proposer may get it.

        The time is limited: a first waiter that reaches too few voters must not block the others for ever.
        """
        return 2 * self.poll_interval_ns

    @property
    def failover_bound_ns(self) -> int:
        """The longest true time from a holder's death until another proposer holds the lease.

        The bound applies while a majority and the waiters reach each other, no message is lost, and none
        takes longer than a quarter of `response_timeout_ns`. The bound is the sum of the time until the votes
        expire, one poll interval (a poll may be sent just too early), and two response timeouts for two
        rounds of two messages.
        """
        return int((self.lease_ns + self.poll_interval_ns + 2 * self.response_timeout_ns) / (1 - self.drift))

    def problems(self) -> Iterator[tuple[str, str, str]]:
        """Yields each inconsistent timing: the operator's key, the value found, and what is allowed."""
        if not 0 <= self.drift <= MAX_DRIFT:
            yield "drift_ppm", f"{self.drift * 1e6:g}", f"allowed: 0 to {MAX_DRIFT * 1e6:g}"
            return
        if self.stop_margin_ns > self.validity_ns // 2:
            most_ms = self.validity_ns // 2 / MS
            yield (
                "margin_ms",
                f"{self.stop_margin_ns / MS:g}",
                (
                    f"allowed: up to {most_ms:g}, half of what a lease of {self.lease_ns / MS:g} is held for"
                    f" under a drift of {self.drift * 1e6:g} ppm"
                ),
            )
        elif self.response_timeout_ns > self.renewal_interval_ns:
            yield (
                "answer_ms",
                f"{self.response_timeout_ns / MS:g}",
                (
                    f"allowed: up to {self.renewal_interval_ns / MS:g},"
                    f" as {RENEWALS_PER_VALIDITY} renewals come before the margin"
                ),
            )


@dataclass(frozen=True, slots=True)
class ClusterConfiguration:
    """The fleet as the operator's file describes it.

    The voters and the timings must be the same in each member: each message carries a digest of them, and a
    member ignores messages with a different digest.

    Attributes:
        name: The fleet's name.
        members: All members, both voters and non-voters.
        timing: The timings.
    """

    name: str
    members: tuple[Member, ...]
    timing: LeaseTiming = LeaseTiming()

    @property
    def voters(self) -> tuple[str, ...]:
        """The ids of the voters, sorted."""
        return tuple(sorted(member.id for member in self.members if member.votes))

    @property
    def digest(self) -> bytes:
        """An eight-byte hash of the fleet's name, timings and voters.

        Addresses are left out: members may reach the same member at different addresses. The hashed text
        must not change, as members that run earlier releases compute the same digest.
        """
        timing = self.timing
        numbers = (timing.lease_ns, timing.response_timeout_ns, timing.stop_margin_ns, timing.drift)
        text = "\n".join([self.name, *map(str, numbers), *self.voters])
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    def member(self, id: str) -> Member | None:
        """Returns the member with this id, or None."""
        return next((member for member in self.members if member.id == id), None)


def majority(voters: int) -> int:
    """Returns the size of a majority of this number of voters: any two majorities share a voter."""
    return voters // 2 + 1
