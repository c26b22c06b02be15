"""Chooses the member updates that are piggybacked on the next message: those that were sent least often, each
a bounded number of times (SWIM: Das, Gupta, Motivala, 2002, section 4.1).
"""

from __future__ import annotations

import heapq
import math

from lanelift.membership.gossip import MemberUpdate
from lanelift.membership.records import MemberRecord

# An update is sent RETRANSMISSION_FACTOR * log2(members + 2) times, which is enough to reach all members with
# high probability.
RETRANSMISSION_FACTOR = 4.0


class Dissemination:
    """The updates that one member still has to pass on, at most one about each member.

    Args:
        member_count: How many other members there are, which determines how often an update is sent.
    """

    def __init__(self, member_count: int) -> None:
        self.max_transmissions = int(RETRANSMISSION_FACTOR * math.log2(member_count + 2))
        self.pending: dict[int, MemberRecord] = {}
        self.own_announcements = 0  # how many more times "this member is alive" is to be sent

    def __bool__(self) -> bool:
        return bool(self.pending or self.own_announcements)

    def enqueue(self, record: MemberRecord) -> None:
        """Passes on this record's update from now on, in place of any earlier one about the same member."""
        record.transmissions = 0
        self.pending[record.number] = record

    def announce_self(self) -> None:
        """Enqueues the update that this member is alive, which is sent as often as any other update.

        The update refutes a suspicion of this member.
        """
        self.own_announcements = self.max_transmissions

    def take(self, capacity: int, own: MemberUpdate) -> list[MemberUpdate]:
        """Returns at most `capacity` updates for one message, the least often sent first.

        `own`, the update that this member is alive, comes first while it has to be announced.
        """
        taken: list[MemberUpdate] = []
        if self.own_announcements:
            self.own_announcements -= 1
            taken.append(own)
        least_sent = heapq.nsmallest(
            capacity - len(taken), self.pending.values(), key=lambda record: record.transmissions
        )
        for record in least_sent:
            taken.append(record.update)
            record.transmissions += 1
            if record.transmissions >= self.max_transmissions:
                del self.pending[record.number]
        return taken
