"""The failure detector of one member: SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's awareness of one's
own health (Dadgar, Phillips, Currey, 2017).

Pure: it is given messages and the time, and returns messages; `due_ns` says when to call `tick`. Times are
nanoseconds of its own clock; randomness comes from the seed.

In each period one member is pinged, in an order that is shuffled anew for each round. A member that does not
acknowledge in time is pinged through a few others; one that does not acknowledge those either is suspected,
and counts as unreachable once the suspicion has lasted long enough (`suspicion.py`). A member that learns of
its own suspicion refutes it under a new incarnation.

Unreachable is not dead: a network partition looks the same from either side. So two questions have two
answers:

- `is_reachable(member)`: is it worth sending to? Not to members that are unreachable.
- `count_alive(now)`: among how many is a common budget divided? Every member counts that may be alive: all
  but those that said they leave, or were unreachable for longer than any partition is assumed to last.
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

MAX_MEMBERS = 4096  # bounds the tables of one member; numbers on the wire could be 16 times as high
INDIRECT_PROBES = 3  # members that are asked to ping in one's place: one lossy path is no suspicion
MAX_HEALTH_PENALTY = 4  # an unhealthy member waits up to five times as long before it accuses (Lifeguard)
MAX_PROBES_FOR_OTHERS = 64  # pings under way; further requests are ignored
ISOLATION_PERIODS = 3  # without any message for so many periods, it is this member that is cut off
ABSENT_STATES = (MemberState.SUSPECT, MemberState.UNREACHABLE)
SEQUENCE_COUNT = 1 << 16  # sequence numbers wrap around after so many

Outgoing = list[tuple[int, bytes]]  # messages: to which member, and their bytes


class FailureDetector:
    """One member's view of all others.

    Args:
        me: This member's number.
        zones: The zone of each member by number, this one's among them.
        timing: How long things take.
        seed: For the order of probes.
        now: Nanoseconds of the own clock.

    Raises:
        ValueError: `me` is not among the members, or there are too many of them.
    """

    def __init__(self, me: int, zones: Sequence[str], timing: ProbeTiming, seed: int, now: int) -> None:
        if not 0 <= me < len(zones) <= MAX_MEMBERS:
            raise ValueError(f"member {me} of {len(zones)}; allowed: up to {MAX_MEMBERS} members")
        self.me, self.timing, self.rng = me, timing, random.Random(seed)
        # Drawn at each start. Where it lies behind that of the start before, the others' older updates win,
        # and are refuted as a suspicion is.
        self.incarnation = self.rng.randrange(INCARNATION_COUNT)
        self.members = {
            number: MemberRecord(number, zone, MemberUpdate(number, MemberState.ALIVE, 0), now)
            for number, zone in enumerate(zones)
            if number != me
        }
        self.zone_sizes = Counter(record.zone for record in self.members.values())
        self.zone_absent: Counter[str] = Counter()  # suspected or unreachable members of each zone
        self.suspects: dict[int, MemberRecord] = {}
        self.unknown_incarnations = set(self.members)  # members that nothing was received about yet
        self.probe_order: list[int] = []  # the rest of this round
        self.probes: dict[int, PendingProbe] = {}  # by sequence number
        self.sequence = 0
        self.health_penalty = 0
        self.last_received_ns = now
        self.left = False
        self.dissemination = Dissemination(len(self.members))
        # All members may start at one moment: the first probe comes at a random point of the period.
        self.next_probe_ns = now + int(self.rng.random() * timing.period_ns)

    # What the rest of the program asks.

    def state(self, member: int) -> MemberState:
        """Returns what is thought of another member."""
        return self.members[member].update.state

    def is_reachable(self, member: int) -> bool:
        """Returns whether it is worth sending to a member."""
        return member == self.me or self.state(member) < MemberState.UNREACHABLE

    def count_alive(self, now: int) -> int:
        """Returns how many members may be alive, this one among them.

        The count is never below the number that are alive, under two assumptions: no partition lasts longer
        than `ProbeTiming.dead_after_ns` less one round of probes, and no member returns after it was counted
        as dead. In service members do return, so the second assumption does not hold there yet
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
        """When `tick` is to be called next; None: never again."""
        if self.left:
            return None
        suspicions = [self._suspicion_ends_ns(record) for record in self.suspects.values()]
        deadlines = [probe.deadline_ns for probe in self.probes.values()]
        return min([self.next_probe_ns, *suspicions, *deadlines])

    def tick(self, now: int) -> Outgoing:
        """Returns what is due: requests for unacknowledged probes, and the next probe; ends suspicions."""
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
        """Takes a message of another member, or any bytes; returns the responses."""
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
        """Returns updates for a message that is sent anyway and has so much room; empty for none."""
        if room_bytes < HEADER.size + UPDATE.size or not self.dissemination:
            return b""
        return encode(self._compose(MessageKind.UPDATES, 0, self.me, room_bytes))

    def leave(self) -> Outgoing:
        """Returns messages to a few members that this one leaves (graceful shutdown); they pass it on."""
        self.left = True
        updates = (MemberUpdate(self.me, MemberState.LEFT, self.incarnation, self.me),)
        reachable = [r.number for r in self.members.values() if self.is_reachable(r.number)]
        chosen = self.rng.sample(reachable, min(len(reachable), 2 * INDIRECT_PROBES))
        message = GossipMessage(MessageKind.UPDATES, self.me, self.incarnation, 0, self.me, updates)
        return [(member, encode(message)) for member in chosen]

    # Probes.

    def _next_target(self) -> int | None:
        """Returns whom to probe: each member once a round.

        Unreachable members are among them, so that the end of a partition is seen; members that left are not.
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
        if record.update.state is MemberState.ALIVE:  # no acknowledgement of a suspect was to be expected
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
        """Returns a longer time while acknowledgements are missed: the fault may be its own (Lifeguard)."""
        return duration_ns * (1 + self.health_penalty)

    def _is_isolated(self, now: int) -> bool:
        """Returns whether this member is cut off. It then accuses nobody: all others would seem dead."""
        return now - self.last_received_ns > ISOLATION_PERIODS * self.timing.period_ns

    # Updates.

    def _sender_is_alive(self, sender: int, incarnation: int, now: int) -> None:
        """Notes that a member sent a message under that incarnation: it is alive, whatever was said of an
        earlier one.
        """
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
        """Answers a suspicion of oneself, under an incarnation later than the one it names."""
        if update.state is MemberState.ALIVE or is_later(self.incarnation, update.incarnation):
            return
        self.incarnation = (update.incarnation + 1) % INCARNATION_COUNT
        self.dissemination.announce_self()
        self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)

    def _first_contact(self, record: MemberRecord, update: MemberUpdate) -> bool:
        """Returns whether an update is the first about its member, and says only that it is alive.

        That was assumed: nothing is passed on, or each start of a fleet would be a storm of updates.
        """
        if record.number not in self.unknown_incarnations:
            return False
        self.unknown_incarnations.discard(record.number)
        record.update = record.update._replace(incarnation=update.incarnation)
        return update.state is MemberState.ALIVE and record.update.state is MemberState.ALIVE

    def _suspect(self, record: MemberRecord, update: MemberUpdate, now: int) -> None:
        """Suspects a member that missed a probe; a further accuser shortens the suspicion."""
        if record.update.state is not MemberState.SUSPECT:
            self._apply(record, update, now)
        elif update.reported_by not in record.accusers and len(record.accusers) <= CONFIRMATIONS_NEEDED:
            record.accusers |= {update.reported_by}
            record.update = update
            self.dissemination.enqueue(record)

    def _apply(self, record: MemberRecord, update: MemberUpdate, now: int) -> None:
        """Makes an update what is known of its member, and passes it on."""
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
            record.since_ns = now  # what was seen while cut off says nothing about others: it begins anew
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
            # A member that is suspected, or is back, has to learn of it to refute it.
            message = message._replace(updates=(about_receiver, *message.updates[: MAX_UPDATES - 1]))
        return to, encode(message)

    def _compose(self, kind: MessageKind, sequence: int, subject: int, room_bytes: int) -> GossipMessage:
        """Returns a message with as many updates as there is room for."""
        capacity = (room_bytes - HEADER.size) // UPDATE.size
        own = MemberUpdate(self.me, MemberState.ALIVE, self.incarnation, self.me)
        updates = tuple(self.dissemination.take(capacity, own))
        return GossipMessage(kind, self.me, self.incarnation, sequence, subject, updates)
