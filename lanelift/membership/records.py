"""What one member remembers of another, and of a probe under way."""

from __future__ import annotations

from dataclasses import dataclass

from lanelift.membership.gossip import MemberUpdate


@dataclass(slots=True, eq=False)
class MemberRecord:
    """What is known of another member.

    Attributes:
        number: Its number in the settings.
        zone: Its zone.
        update: The latest that is known of it.
        since_ns: When it entered that state, on the own clock. Set anew where a suspicion ended while this
            member was isolated: it begins anew.
        accusers: The members that report a suspicion of it from a probe of their own.
        transmissions: How often the update was passed on.
    """

    number: int
    zone: str
    update: MemberUpdate
    since_ns: int
    accusers: frozenset[int] = frozenset()
    transmissions: int = 0


@dataclass(slots=True, eq=False)
class PendingProbe:
    """A probe that is not acknowledged yet: a ping, and then requests to others to ping the target.

    Attributes:
        target: The member that was pinged.
        deadline_ns: When it counts as unacknowledged, on the own clock.
        requester: For whom it was sent, and that member's sequence number; None: on the own account.
        indirect: Other members were asked to ping the target as well.
    """

    target: int
    deadline_ns: int
    requester: tuple[int, int] | None = None
    indirect: bool = False
