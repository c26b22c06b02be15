"""The failure detector of one member: SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's local health
awareness (Dadgar, Phillips, Currey, 2017).

Pure: the caller passes in messages and the time, and sends the returned messages; `due_ns` says when to call
`tick`. Times are nanoseconds of the member's own clock; randomness comes from the seed.

In each period the detector pings one member, in an order that is shuffled for each round. A member that does
not acknowledge in time is pinged through a few others; if it does not acknowledge those pings either, it is
suspected, and counts as unreachable once the suspicion has lasted long enough (`suspicion.py`). A member that
learns that it is suspected refutes the suspicion under a new incarnation.

Unreachable does not mean dead: a network partition looks the same from either side. Two methods therefore
treat unreachable members differently:

- `is_reachable(member)` decides whether to send to a member: not while it is unreachable.
- `count_alive(now)` counts the members among which a common budget is divided: every member that may be
  alive. Only members that announced that they leave, or were unreachable for longer than any partition is
  assumed to last, are left out.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence

from lanelift.membership.dissemination import Dissemination
from lanelift.membership.gossip import (
    HEADER,
    INCARNATION_COUNT,
    MAX_MESSAGE_BYTES,
    MAX_UPDATES,
    UPDATE,
    GossipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
    decode,
    encode,
    is_later,
    supersedes,
)
from lanelift.membership.records import MemberRecord, PendingProbe
from lanelift.membership.suspicion import CONFIRMATIONS_NEEDED, suspicion_timeout_ns, zone_is_partitioned
from lanelift.membership.timing import ProbeTiming

# Limits the entries of one member's tables; the encoding has room for 16 times this number.
MAX_MEMBERS = 4096
# Number of other members that are asked to ping a target, so that one lossy path causes no suspicion.
INDIRECT_PROBES = 3
# Limit of the health penalty: an unhealthy member waits up to five times as long before it accuses another
# member (Lifeguard).
MAX_HEALTH_PENALTY = 4
MAX_PROBES_FOR_OTHERS = 64  # while this many probes are pending, requests to ping for others are ignored
ISOLATION_PERIODS = 3  # a member that received no message for this many periods counts itself as cut off
ABSENT_STATES = (MemberState.SUSPECT, MemberState.UNREACHABLE)
SEQUENCE_COUNT = 1 << 16  # sequence numbers wrap around at this number

Outgoing = list[tuple[int, bytes]]  # messages as bytes, each with its recipient


class FailureDetector:
    """One member's view of all others.

    Args:
        me: This member's number.
        zones: The zone of each member by number, including this member's.
        timing: The timings of probes.
        seed: Seed of the order of probes, and of all other random choices.
        now: The time of this member's clock in nanoseconds.

    Raises:
        ValueError: `me` is not among the members, or there are too many members.
    """

    def __init__(self, me: int, zones: Sequence[str], timing: ProbeTiming, seed: int, now: int) -> None:
        if not 0 <= me < len(zones) <= MAX_MEMBERS:
            raise ValueError(f"member {me} of {len(zones)}; allowed: up to {MAX_MEMBERS} members")
        self.me, self.timing, self.rng = me, timing, random.Random(seed)
        # Drawn at each start. If the new incarnation is behind that of the last start, the older updates that
        # the others hold take precedence; this member refutes them like a suspicion.
        self.incarnation = self.rng.randrange(INCARNATION_COUNT)
        self.members = {
            number: MemberRecord(number, zone, MemberUpdate(number, MemberState.ALIVE, 0), now)
            for number, zone in enumerate(zones)
            if number != me
        }
        self.zone_sizes = Counter(record.zone for record in self.members.values())
        self.zone_absent: Counter[str] = Counter()  # number of suspected or unreachable members of each zone
        self.suspects: dict[int, MemberRecord] = {}
        self.unknown_incarnations = set(self.members)  # members about which no update was received
        self.probe_order: list[int] = []  # members still to be probed in this round
        self.probes: dict[int, PendingProbe] = {}  # pending probes by sequence number
        self.sequence = 0
        self.health_penalty = 0
        self.last_received_ns = now
        self.left = False
        self.dissemination = Dissemination(len(self.members))
        # All members may start at the same moment, so the first probe is sent at a random time of the period.
        self.next_probe_ns = now + int(self.rng.random() * timing.period_ns)

    # Queries.

    def state(self, member: int) -> MemberState:
        """Returns the present state of another member in this member's view."""
        return self.members[member].update.state

    def is_reachable(self, member: int) -> bool:
        """Returns whether messages should be sent to a member."""
        return member == self.me or self.state(member) < MemberState.UNREACHABLE

    def count_alive(self, now: int) -> int:
        """Returns how many members may be alive, including this one.

        The count is never below the number of living members, under two assumptions: no partition lasts
        longer than `ProbeTiming.dead_after_ns` less one round of probes, and no member returns after it was
        counted as dead. In service members do return, so the second assumption does not hold there yet
        (docs/design/membership.md).
        """
        return 1 + sum(not self._is_dead(record, now) for record in self.members.values())

    def _is_dead(self, record: MemberRecord, now: int) -> bool:
        state = record.update.state
        if state is MemberState.LEFT:
            return True
        return state is MemberState.UNREACHABLE and now - record.since_ns >= self.timing.dead_after_ns

    # Time and messages.

    @property
    def due_ns(self) -> int | None:
        """When `tick` is to be called next; None once this member has left."""
        if self.left:
            return None
        suspicions = [self._suspicion_ends_ns(record) for record in self.suspects.values()]
        deadlines = [probe.deadline_ns for probe in self.probes.values()]
        return min([self.next_probe_ns, *suspicions, *deadlines])

    def tick(self, now: int) -> Outgoing:
        """Ends suspicions that timed out; returns ping requests for unanswered probes, and the next probe."""
        if self.left:
            return []
        outgoing: Outgoing = []
        for sequence, probe in list(self.probes.items()):
            if now >= probe.deadline_ns:
                outgoing += self._probe_timed_out(sequence, probe, now)
        for record in list(self.suspects.values()):
            if now >= self._suspicion_ends_ns(record):
                self._suspicion_ended(record, now)
        if now >= self.next_probe_ns:
            self.next_probe_ns = now + self._stretched(self.timing.period_ns)
            target = self._next_target()
            if target is not None:
                outgoing.append(self._ping(target, now))
        return outgoing

    def receive(self, data: bytes, now: int) -> Outgoing:
        """Handles a message from another member; ignores any other bytes. Returns the responses."""
        message = decode(data)
        if message is None or message.sender not in self.members or self.left:
            return []
        self.last_received_ns = now
        self._sender_is_alive(message.sender, message.incarnation, now)
        for update in message.updates:
            self._receive_update(update, now)
        if message.kind is MessageKind.PING:
            return [self._message(message.sender, MessageKind.ACK, message.sequence, self.me)]
        if message.kind is MessageKind.PING_REQUEST:
            if message.subject in self.members and len(self.probes) < MAX_PROBES_FOR_OTHERS:
                return [self._ping(message.subject, now, (message.sender, message.sequence))]
            return []
        if message.kind is MessageKind.ACK:
            return self._acknowledged(message)
        return []

    def piggyback(self, room_bytes: int) -> bytes:
        """Returns the updates that fit in this many bytes of another message; empty for none."""
        if room_bytes < HEADER.size + UPDATE.size or not self.dissemination:
            return b""
        return encode(self._compose(MessageKind.UPDATES, 0, self.me, room_bytes))

    def leave(self) -> Outgoing:
        """Returns messages that tell a few members of this member's leaving; those members tell others."""
        self.left = True
        updates = (MemberUpdate(self.me, MemberState.LEFT, self.incarnation, self.me),)
        reachable = [r.number for r in self.members.values() if self.is_reachable(r.number)]
        chosen = self.rng.sample(reachable, min(len(reachable), 2 * INDIRECT_PROBES))
        message = GossipMessage(MessageKind.UPDATES, self.me, self.incarnation, 0, self.me, updates)
        return [(member, encode(message)) for member in chosen]

    # Probes.

    def _next_target(self) -> int | None:
        """Returns the member to probe next, or None; each member is probed once in a round.

        Unreachable members are probed so that the end of a partition is detected; members that left are not.
        """
        while True:
            if not self.probe_order:
                self.probe_order = [
                    number
                    for number, record in self.members.items()
                    if record.update.state is not MemberState.LEFT
                ]
                self.rng.shuffle(self.probe_order)
                if not self.probe_order:
                    return None
            target = self.probe_order.pop()
            if self.members[target].update.state is not MemberState.LEFT:
                return target

    def _ping(self, target: int, now: int, requester: tuple[int, int] | None = None) -> tuple[int, bytes]:
        self.sequence = (self.sequence + 1) % SEQUENCE_COUNT
        deadline_ns = now + self._stretched(self.timing.ack_timeout_ns)
        self.probes[self.sequence] = PendingProbe(target, deadline_ns, requester)
        return self._message(target, MessageKind.PING, self.sequence, target)

    def _probe_timed_out(self, sequence: int, probe: PendingProbe, now: int) -> Outgoing:
        record = self.members[probe.target]
        if probe.requester is not None:
            del self.probes[sequence]
            return []
        if not probe.indirect:
            probe.indirect = True
            probe.deadline_ns = now + 2 * self._stretched(self.timing.ack_timeout_ns)
            others = [n for n in self.members if n != probe.target and self.is_reachable(n)]
            chosen = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
            return [self._message(n, MessageKind.PING_REQUEST, sequence, probe.target) for n in chosen]
        del self.probes[sequence]
        if record.update.state is MemberState.ALIVE:  # no acknowledgement is expected of a suspect
            self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)
        if not self._is_isolated(now) and record.update.state in (MemberState.ALIVE, MemberState.SUSPECT):
            incarnation = record.update.incarnation
            self._suspect(record, MemberUpdate(record.number, MemberState.SUSPECT, incarnation, self.me), now)
        return []

    def _acknowledged(self, message: GossipMessage) -> Outgoing:
        probe = self.probes.pop(message.sequence, None)
        if probe is None or probe.target != message.subject:
            return []
        if probe.requester is not None:
            member, sequence = probe.requester
            return [self._message(member, MessageKind.ACK, sequence, probe.target)]
        self.health_penalty = max(0, self.health_penalty - 1)
        return []

    def _stretched(self, duration_ns: int) -> int:
        """Returns the duration, lengthened after missed acknowledgements (Lifeguard).

        This member itself may be the cause of the missed acknowledgements.
        """
        return duration_ns * (1 + self.health_penalty)

    def _is_isolated(self, now: int) -> bool:
        """Returns whether this member is cut off; it then accuses no other member, as all would seem dead."""
        return now - self.last_received_ns > ISOLATION_PERIODS * self.timing.period_ns

    # Updates.

    def _sender_is_alive(self, sender: int, incarnation: int, now: int) -> None:
        """Records that a sender is alive under this incarnation, which supersedes all earlier ones."""
        record = self.members[sender]
        update = MemberUpdate(sender, MemberState.ALIVE, incarnation, sender)
        if self._first_contact(record, update):
            return
        if is_later(incarnation, record.update.incarnation):
            self._apply(record, update, now)

    def _receive_update(self, update: MemberUpdate, now: int) -> None:
        if update.member == self.me:
            self._refute(update)
            return
        record = self.members.get(update.member)
        if record is None or self._first_contact(record, update):
            return
        if update.state is MemberState.SUSPECT and update.statement == record.update.statement:
            self._suspect(record, update, now)
        elif supersedes(update, record.update):
            self._apply(record, update, now)

    def _refute(self, update: MemberUpdate) -> None:
        """Refutes a suspicion of this member, under an incarnation later than the suspected one."""
        if update.state is MemberState.ALIVE or is_later(self.incarnation, update.incarnation):
            return
        self.incarnation = (update.incarnation + 1) % INCARNATION_COUNT
        self.dissemination.announce_self()
        self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)

    def _first_contact(self, record: MemberRecord, update: MemberUpdate) -> bool:
        """Records the incarnation if an update is the first about its member.

        Returns whether the update needs no further handling, as it only confirms that its member is alive,
        which is assumed at first. Such an update is not passed on, since each start of a fleet would
        otherwise cause a storm of updates.
        """
        if record.number not in self.unknown_incarnations:
            return False
        self.unknown_incarnations.discard(record.number)
        record.update = record.update._replace(incarnation=update.incarnation)
        return update.state is MemberState.ALIVE and record.update.state is MemberState.ALIVE

    def _suspect(self, record: MemberRecord, update: MemberUpdate, now: int) -> None:
        """Suspects a member that missed a probe; further accusers shorten the suspicion."""
        if record.update.state is not MemberState.SUSPECT:
            self._apply(record, update, now)
        elif update.reported_by not in record.accusers and len(record.accusers) <= CONFIRMATIONS_NEEDED:
            record.accusers |= {update.reported_by}
            record.update = update
            self.dissemination.enqueue(record)

    def _apply(self, record: MemberRecord, update: MemberUpdate, now: int) -> None:
        """Stores an update in the record of its member, and enqueues it for dissemination."""
        if update.state is not record.update.state:
            record.since_ns = now
            was_absent = record.update.state in ABSENT_STATES
            self.zone_absent[record.zone] += (update.state in ABSENT_STATES) - was_absent
        record.update = update
        if update.state is MemberState.SUSPECT:
            self.suspects[record.number] = record
            record.accusers = frozenset({update.reported_by})
        else:
            self.suspects.pop(record.number, None)
            record.accusers = frozenset()
        self.dissemination.enqueue(record)

    def _suspicion_ended(self, record: MemberRecord, now: int) -> None:
        if self._is_isolated(now):
            record.since_ns = now  # restarts the suspicion, which may only be due to this member's isolation
            return
        incarnation = record.update.incarnation
        update = MemberUpdate(record.number, MemberState.UNREACHABLE, incarnation, self.me)
        self._apply(record, update, now)

    def _suspicion_ends_ns(self, record: MemberRecord) -> int:
        zone = record.zone
        partitioned = bool(zone) and zone_is_partitioned(self.zone_sizes[zone], self.zone_absent[zone])
        timeout_ns = suspicion_timeout_ns(
            self.timing.period_ns, len(self.members), len(record.accusers), partitioned
        )
        return record.since_ns + timeout_ns

    # Messages.

    def _message(self, to: int, kind: MessageKind, sequence: int, subject: int) -> tuple[int, bytes]:
        message = self._compose(kind, sequence, subject, MAX_MESSAGE_BYTES)
        about_receiver = self.members[to].update
        if about_receiver.state is not MemberState.ALIVE and about_receiver not in message.updates:
            # A member that is suspected, or has returned, must learn of the recorded state to refute it.
            message = message._replace(updates=(about_receiver, *message.updates[: MAX_UPDATES - 1]))
        return to, encode(message)

    def _compose(self, kind: MessageKind, sequence: int, subject: int, room_bytes: int) -> GossipMessage:
        """Returns a message with as many updates as fit in this many bytes."""
        capacity = (room_bytes - HEADER.size) // UPDATE.size
        own = MemberUpdate(self.me, MemberState.ALIVE, self.incarnation, self.me)
        updates = tuple(self.dissemination.take(capacity, own))
        return GossipMessage(kind, self.me, self.incarnation, sequence, subject, updates)
