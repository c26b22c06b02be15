"""Leases in simulated time, and the judge of what truly happened there.

The judge sees true time and all of the nodes. It holds, whatever the schedule does within the assumptions:

- at no instant do two contenders believe that they hold the same lease;
- each new holding has a token above all earlier ones.

What a contender does between looking at its lease and acting is counted apart: who stands still there acts
late, and only the token tells. That is shown, and is no breach.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from lanelift.faults.schedule import Schedule, Step
from lanelift.faults.simulated import MS, Node, Place, Said, World
from lanelift.fleet.messages import Answer, Message
from lanelift.fleet.plan import Member, Plan, Timing
from lanelift.fleet.seat import Kept
from lanelift.leases.booth import Booth
from lanelift.leases.seeker import Seeker, State
from lanelift.standins.fenced import Fenced, Refused

DISK_NS = (200_000, 8 * MS)  # a write takes so long
TASK = (0.3, 4.0)  # in leases: how long a task lasts
REST = 0.3  # of a lease, at most, until a contender begins anew
ACT = 0.02  # of a lease, at most, between a look at the lease and the act


@dataclass
class Findings:
    """What the judge saw. `breaches`: in words, with their true time."""

    breaches: list[str] = field(default_factory=list)
    holdings: list[tuple[int, str, str, int]] = field(default_factory=list)  # since (ns), lease, who, token
    acts: int = 0
    late_acts: int = 0  # after the lease had ended, or passed to another
    fenced: int = 0  # of these, refused for their token


class Votes:
    """A voter's node. Its disk is the world's."""

    def __init__(self, world: Leases, name: str, kept: Kept | None, now: int) -> None:
        self.world, self.name, self.plan = world, name, world.plans[world.plan_of[name]]
        self.booth = world.booth_class(self.plan, name, world.rng.getrandbits(60), kept, now)
        self.writing: Kept | None = None
        self._write()

    @property
    def due_ns(self) -> int | None:
        return self.booth.due_ns

    def receive(self, message: Any, source: str, now: int) -> Said:
        digest, message = message
        if digest != self.plan.digest:
            return []
        said = self.booth.hear(message, source, now)
        self._write()
        return [(whom, (digest, m)) for whom, m in said]

    def tick(self, now: int) -> Said:
        return [(whom, (self.plan.digest, m)) for whom, m in self.booth.tick(now)]

    def _write(self) -> None:
        if self.booth.store is not None and self.booth.store is not self.writing:
            self.writing = self.booth.store
            self.world.write(self)


class Idle:
    """A member that does not vote under its plan."""

    due_ns = None

    def receive(self, message: Any, source: str, now: int) -> Said:
        return []

    def tick(self, now: int) -> Said:
        return []


class Seeks:
    """A contender's node: it seeks, does its task, gives back, rests, and begins anew."""

    def __init__(self, world: Leases, name: str, now: int) -> None:
        self.world, self.name, self.plan = world, name, world.plans[world.plan_of[name]]
        self.rng = random.Random(world.rng.getrandbits(60))
        self.seeker = self._seeker(now)
        self.ends_ns: int | None = None  # its task's end; or its rest's
        self.looked: int | None = None  # it found that it holds, under this token, and acts next
        self.act_ns = 0

    def _seeker(self, now: int) -> Seeker:
        lease = self.world.timing.lease_ns
        patience = self.rng.choice(self.world.patiences)
        patience_ns = None if patience is None else int(patience * lease)
        nonce = self.rng.getrandbits(60) | 1
        return self.world.seeker_class(
            self.world.lease,
            self.name,
            nonce,
            self.world.timing,
            len(self.plan.voters),
            self.rng,
            now,
            patience_ns,
        )

    @property
    def due_ns(self) -> int | None:
        due = [at for at in (self.seeker.due_ns, self.ends_ns) if at is not None]
        if self.looked is not None or self.seeker.state is State.HOLDS:
            due.append(self.act_ns)
        return min(due, default=None)

    def receive(self, message: Any, source: str, now: int) -> Said:
        digest, message = message
        if digest != self.plan.digest or not isinstance(message, Answer):
            return []
        return self._sent(self.seeker.hear(message, now))

    def tick(self, now: int) -> Said:
        lease = self.world.timing.lease_ns
        if self.looked is not None and now >= self.act_ns:
            self.world.acted(self.name, self.looked)
            self.looked = None
        was = self.seeker.state
        said = self._sent(self.seeker.tick(now)) if _due(self.seeker.due_ns, now) else []
        if self.seeker.state is State.HOLDS:
            if self.ends_ns is None:
                self.ends_ns = now + int(lease * self.rng.uniform(*self.world.task))
            elif now >= self.ends_ns:
                return said + self.release(now)
            if self.looked is None and now >= self.act_ns:
                if self.seeker.holds(now + self.world.timing.margin_ns):
                    self.looked = self.seeker.contender.token
                self.act_ns = now + 1 + self.rng.randrange(int(ACT * lease))
        elif self.seeker.state is not State.SEEKING:
            if was is not self.seeker.state or self.ends_ns is None:
                self.ends_ns = now + self.rng.randrange(int(REST * lease))
            elif now >= self.ends_ns:
                self.anew(now)
        return said

    def anew(self, now: int) -> None:
        self.ends_ns, self.seeker = None, self._seeker(now)

    def release(self, now: int) -> Said:
        if self.seeker.state is not State.HOLDS:
            return []
        self.ends_ns = now + self.rng.randrange(int(REST * self.world.timing.lease_ns))
        return self._sent([(None, self.seeker.release())])

    def _sent(self, said: Iterable[tuple[str | None, Message]]) -> Said:
        voters, digest = self.plan.voters, self.plan.digest
        return [(voter, (digest, m)) for whom, m in said for voter in voters if whom in (None, voter)]


def _due(at: int | None, now: int) -> bool:
    return at is not None and now >= at


class Leases(World):
    """One lease, its voters and contenders, under a schedule."""

    lease = "nightly"
    booth_class: type[Booth] = Booth
    seeker_class: type[Seeker] = Seeker
    task: tuple[float, float] = TASK
    patiences: tuple[float | None, ...] = (None, None, 0, 1)  # in leases; None: for ever

    def __init__(self, schedule: Schedule, timing: Timing, keep_trace: bool = False) -> None:
        self.timing = timing
        lists = (schedule.voters, *schedule.plans)
        self.plans = [
            Plan("rehearsed", tuple(Member(v, ("", 0)) for v in voters), timing) for voters in lists
        ]
        self.disks: dict[str, Kept] = {}
        self.found = Findings()
        self.holders: dict[str, int] = {}  # who holds now, under which token
        self.highest = 0  # token so far
        self.store = Fenced()
        super().__init__(schedule, keep_trace)

    def made(self, name: str, place: Place, now: int) -> Node:
        if name in self.schedule.contenders:
            return Seeks(self, name, now)
        if name in self.plans[self.plan_of[name]].voters:
            return Votes(self, name, self.disks.get(name), now)
        return Idle()

    def write(self, votes: Votes) -> None:
        """A disk takes its time; a kill in between leaves the old state, or the new one."""
        life = self.places[votes.name].lives
        self.at(self.now + self.rng.randint(*DISK_NS), "written", votes, votes.writing, life)

    def _written(self, votes: Votes, kept: Kept, life: int) -> None:
        place = self.places[votes.name]
        alive = place.lives == life and place.node is votes
        if alive or (place.node is None and place.lives == life and self.rng.random() < 0.5):
            self.disks[votes.name] = kept
        if alive:
            votes.booth.stored(kept, self.local(votes.name))
            votes.writing = None
            votes._write()
            self._due(votes.name)

    def died(self, name: str, place: Place, disk: bool) -> None:
        if disk:
            self.disks.pop(name, None)

    def asked(self, step: Step) -> None:
        place = self.places[step.who]
        if isinstance(place.node, Seeks) and not place.stopped:
            if step.what == "release":
                self.say(step.who, place.node.release(self.local(step.who)))
            elif place.node.seeker.state not in (State.SEEKING, State.HOLDS):
                place.node.anew(self.local(step.who))
                self._due(step.who)

    def acted(self, name: str, token: int) -> None:
        """A task has done something that counts, at the resource, under a token."""
        self.found.acts += 1
        if self.holders.get(name) != token:
            self.found.late_acts += 1
        try:
            self.store.write(token, name)
        except Refused:
            self.found.fenced += 1

    def after(self) -> None:
        holders: dict[str, int] = {}
        for name in self.schedule.contenders:
            node = self.places[name].node
            if isinstance(node, Seeks) and node.seeker.holds(self.local(name)):
                holders[name] = node.seeker.contender.token
        if holders == self.holders:
            return
        for name, token in holders.items():
            if self.holders.get(name) != token:
                self.note(f"{name} holds under {token}")
                self.found.holdings.append((self.now, self.lease, name, token))
                if token <= self.highest:
                    self._breach(f"{name} holds under {token}, after a token of {self.highest}")
                self.highest = max(self.highest, token)
        if len(holders) > 1:
            self._breach(" and ".join(f"{n} (token {t})" for n, t in holders.items()) + " hold at once")
        self.holders = holders

    def _breach(self, text: str) -> None:
        self.note(text)
        self.found.breaches.append(f"{self.now / MS:.3f} ms: {text}")


def played(schedule: Schedule, timing: Timing, world: type[Leases] = Leases) -> Findings:
    leases = world(schedule, timing)
    leases.play()
    return leases.found
