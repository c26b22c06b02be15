"""The records that one member keeps of the other members and of pending probes."""

from __future__ import annotations

from dataclasses import dataclass

from lanelift.membership.gossip import MemberUpdate


@dataclass(slots=True, eq=False)
class MemberRecord:
    """The record of another member.

    Attributes:
        number: The member's number in the settings.
        zone: The member's zone.
        update: The latest known update about the member.
        since_ns: When the member entered its state, on this member's clock. Reset if a suspicion ended while
            this member was isolated, so that the suspicion starts over.
        accusers: The members that report a suspicion of the member from a probe of their own.
        transmissions: How often `update` was passed on.
    """

    number: int
    zone: str
    update: MemberUpdate
    since_ns: int
    accusers: frozenset[int] = frozenset()
    transmissions: int = 0


@dataclass(slots=True, eq=False)
class PendingProbe:
    """A probe that is not acknowledged yet: a ping, followed by requests to others to ping the target.

    Attributes:
        target: The member that was pinged.
        deadline_ns: When the probe times out, on this member's clock.
        requester: The member that requested the probe, and the sequence number of its request; None if no
            member requested the probe.
        indirect: Whether other members were asked to ping the target as well.
    """

    target: int
    deadline_ns: int
    requester: tuple[int, int] | None = None
    indirect: bool = False
