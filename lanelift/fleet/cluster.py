"""The configuration of a fleet: members and timings, which all members must have alike. Pure.

All times are whole nanoseconds. Clocks need not agree: only their rate is trusted, to within `drift`.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

MS = 1_000_000  # nanoseconds in a millisecond
MAX_DRIFT = 0.1  # a clock that is a tenth too fast is broken; real ones stay under 0.0005 even while slewed
RENEWALS_PER_VALIDITY = 4  # renewals in the time that a lease is held: three of them may get lost


@dataclass(frozen=True, slots=True)
class Member:
    """One balancer of the fleet.

    Attributes:
        id: Its name, unique in the fleet.
        address: Host and UDP port where the others reach it.
        zone: Where it stands.
        votes: Whether it is a voter.
    """

    id: str
    address: tuple[str, int]
    zone: str = ""
    votes: bool = True


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """How long things last, in nanoseconds.

    Attributes:
        lease_ns: How long a vote binds its voter, on the voter's clock.
        response_timeout_ns: How long a response is waited for.
        stop_margin_ns: What a holder keeps back of its lease to end its task.
        drift: The largest relative error of the rate of any clock, as a fraction of one.
    """

    lease_ns: int = 10_000 * MS
    response_timeout_ns: int = 250 * MS
    stop_margin_ns: int = 2_000 * MS
    drift: float = 0.001

    @property
    def validity_ns(self) -> int:
        """How long a holder holds, on its clock, from when it *sent* what was accepted.

        A voter is bound until `lease_ns` of its clock after it *received* that: in true time at least
        lease / (1 + drift) after the sending. The holder's own clock may be as slow as 1 - drift: it must
        stop at lease * (1 - drift) / (1 + drift) of it.
        """
        return int(self.lease_ns * (1 - self.drift) / (1 + self.drift))

    @property
    def restart_quiet_ns(self) -> int:
        """How long a voter that may have forgotten its votes gives none, on its clock.

        Whatever it had accepted was sent before it forgot, and is over by then: the same inequality as for
        `validity_ns`.
        """
        return self.lease_ns

    @property
    def renewal_interval_ns(self) -> int:
        """How often a holder renews."""
        return (self.validity_ns - self.stop_margin_ns) // RENEWALS_PER_VALIDITY

    @property
    def poll_interval_ns(self) -> int:
        """How often a waiter sends its request again, and keeps its queue position by that."""
        return max(self.response_timeout_ns, self.lease_ns // 4)

    @property
    def waiter_expiry_ns(self) -> int:
        """A waiter that sent nothing for so long loses its position: two requests may get lost."""
        return 3 * self.poll_interval_ns

    @property
    def queue_head_window_ns(self) -> int:
        """For so long after a lease became free only the first waiter gets it; then anybody does.

        The first one may reach too few voters, and must not keep the others from a majority.
        """
        return 2 * self.poll_interval_ns

    @property
    def failover_bound_ns(self) -> int:
        """True time from a holder's death until another one holds.

        This is where a majority and the waiters reach each other, no message is lost, and none takes longer
        than a quarter of `response_timeout_ns`: the rest of the votes, a poll that was sent just too early,
        and two rounds of two messages.
        """
        return int((self.lease_ns + self.poll_interval_ns + 2 * self.response_timeout_ns) / (1 - self.drift))

    def problems(self) -> Iterator[tuple[str, str, str]]:
        """Yields what does not fit together: the operator's key, what was found, what is allowed."""
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

    Who votes, and the timings, must be the same in each member: each message carries a digest of them, and a
    member ignores messages with another one.

    Attributes:
        name: The fleet's name.
        members: All members, voters and others.
        timing: The timings.
    """

    name: str
    members: tuple[Member, ...]
    timing: LeaseTiming = LeaseTiming()

    @property
    def voters(self) -> tuple[str, ...]:
        """The ids of those who vote, in order."""
        return tuple(sorted(member.id for member in self.members if member.votes))

    @property
    def digest(self) -> bytes:
        """Eight bytes over name, timings and voters.

        Addresses are not covered: members may reach each other by different ways. The text that is hashed
        must stay as it is, as members of earlier releases compute the same.
        """
        timing = self.timing
        numbers = (timing.lease_ns, timing.response_timeout_ns, timing.stop_margin_ns, timing.drift)
        text = "\n".join([self.name, *map(str, numbers), *self.voters])
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    def member(self, id: str) -> Member | None:
        """Returns the member with this id, or None."""
        return next((member for member in self.members if member.id == id), None)


def majority(voters: int) -> int:
    """Returns the size of a majority of so many voters: any two majorities share a voter."""
    return voters // 2 + 1
