"""World one: members and contenders in simulated time, with clocks of their own and a network that fails.

The same pure code as in the processes; one seed gives the same trace to the letter. Time here is true time in
nanoseconds; what each node is told is its own clock, which began anywhere and may go too fast or too slow.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol

from lanelift.faults.schedule import Link, Schedule, Step

MS = 1_000_000
WAY_NS = (100_000, 3 * MS)  # a message is under way for so long, where nothing is wrong
LATE_NS = 600 * MS  # at most, until a copy comes: late enough for another one's term
INBOX = 256  # messages that wait for a node that stands still, as in a socket's buffer; more are lost
Said = list[tuple[Any, Any]]  # to whom, what


class Node(Protocol):
    """One process: it lives from a start to a kill, and knows nothing of true time."""

    @property
    def due_ns(self) -> int | None: ...

    def receive(self, message: Any, source: str, now: int) -> Said: ...

    def tick(self, now: int) -> Said: ...


@dataclass(slots=True)
class Clock:
    """true time -> a node's own."""

    base_ns: int
    rate: float
    since_ns: int = 0

    def local(self, true_ns: int) -> int:
        return self.base_ns + int((true_ns - self.since_ns) * (1 + self.rate))

    def true(self, local_ns: int) -> int:
        return self.since_ns + int((local_ns - self.base_ns) / (1 + self.rate)) + 1

    def set_rate(self, rate: float, true_ns: int) -> None:
        self.base_ns, self.since_ns, self.rate = self.local(true_ns), true_ns, rate


@dataclass(slots=True)
class Place:
    """Where a node runs: what outlives it, and what stands still with it."""

    clock: Clock
    node: Node | None = None
    stopped: bool = False
    inbox: list[tuple[str, Any]] = field(default_factory=list)
    lives: int = 0  # starts so far
    ticking_ns: int | None = None  # true time of the tick that is under way


class World:
    """Plays a schedule. A subclass tells what a node is (`made`), and watches (`after`)."""

    def __init__(self, schedule: Schedule, keep_trace: bool = False) -> None:
        self.schedule = schedule
        self.rng = random.Random(schedule.seed)
        self.now = self.count = 0
        self.messages = 0
        self.events: list[tuple[int, int, str, tuple[Any, ...]]] = []
        rates = dict(schedule.rates)
        names = tuple(dict.fromkeys([*schedule.voters, *schedule.contenders, *sum(schedule.plans, ())]))
        self.plan_of = dict.fromkeys(names, 0)  # which list of voters its next start knows
        self.places = {name: Place(Clock(self.rng.randrange(10**15), rates.get(name, 0.0))) for name in names}
        self.links: dict[tuple[str, str], Link] = {}
        self.trace: list[str] | None = [] if keep_trace else None
        for step in schedule.steps:
            self.at(step.at_ms * MS, "step", step)
        for name in names:
            self.at(0, "start", name)

    # What a subclass says.

    def made(self, name: str, place: Place, now: int) -> Node:
        raise NotImplementedError

    def after(self) -> None:
        """Called after each event: the judge looks here, at true time `now`."""

    def died(self, name: str, place: Place, disk: bool) -> None:
        """A node was killed; `disk`: its disk is lost as well."""

    def asked(self, step: Step) -> None:
        """A step that concerns what the nodes do: "release", "ask"."""

    # The world.

    def play(self) -> None:
        until = self.schedule.until_ms * MS
        while self.events and self.events[0][0] <= until:
            self.now, _, what, about = heapq.heappop(self.events)
            getattr(self, f"_{what}")(*about)
            self.after()

    def at(self, when: int, what: str, *about: Any) -> None:
        self.count += 1
        heapq.heappush(self.events, (when, self.count, what, about))

    def note(self, text: str) -> None:
        if self.trace is not None:
            self.trace.append(f"{self.now / MS:10.3f} {text}")

    def local(self, name: str) -> int:
        return self.places[name].clock.local(self.now)

    def say(self, name: str, said: Iterable[tuple[Any, Any]]) -> None:
        """What a node says goes on its way; then it is ticked when it is due."""
        for whom, message in said:
            self._send(name, str(whom), message)
        self._due(name)

    def _send(self, who: str, whom: str, message: Any) -> None:
        self.messages += 1
        link = self.links.get((who, whom)) or Link()
        if link.cut or self.rng.random() < 1 - (1 - self.schedule.loss) * (1 - link.loss):
            self.note(f"{who} -> {whom} lost {message}")
            return
        times = 1 + (self.rng.random() < max(self.schedule.double, link.double))
        for copy in range(times):
            late = self.rng.randrange(link.double_ms * MS or LATE_NS) if copy else 0
            self.at(
                self.now + link.delay_ms * MS + self.rng.randint(*WAY_NS) + late, "come", who, whom, message
            )

    def _come(self, who: str, whom: str, message: Any) -> None:
        place = self.places.get(whom)
        if place is None or place.node is None:
            return
        if place.stopped:
            if len(place.inbox) < INBOX:
                place.inbox.append((who, message))
            return
        self.note(f"{who} -> {whom} {message}")
        self.say(whom, place.node.receive(message, who, self.local(whom)))

    def _due(self, name: str) -> None:
        place = self.places[name]
        if place.node is None or place.stopped or place.node.due_ns is None:
            return
        when = max(self.now, place.clock.true(place.node.due_ns))
        if place.ticking_ns is None or when < place.ticking_ns:
            place.ticking_ns = when
            self.at(when, "tick", name, place.lives)

    def _tick(self, name: str, life: int) -> None:
        place = self.places[name]
        if place.lives != life or place.node is None or place.stopped:
            return
        place.ticking_ns = None
        now = self.local(name)
        if place.node.due_ns is not None and place.node.due_ns <= now:
            self.say(name, place.node.tick(now))
        else:
            self._due(name)

    def _start(self, name: str) -> None:
        place = self.places[name]
        if place.node is not None:
            return
        place.lives += 1
        place.stopped, place.inbox, place.ticking_ns = False, [], None
        self.note(f"{name} starts")
        place.node = self.made(name, place, self.local(name))
        self._due(name)

    def _step(self, step: Step) -> None:
        self.note(str(step).strip())
        place = self.places[step.who]
        if step.what in ("kill", "lose"):
            if place.node is not None:
                place.node, place.inbox = None, []
                self.died(step.who, place, step.what == "lose")
        elif step.what == "start":
            self._start(step.who)
        elif step.what == "stop":
            place.stopped = True
        elif step.what == "go":
            self._go(step.who, place)
        elif step.what == "rate":
            place.clock.set_rate(step.part, self.now)
        elif step.what == "plan":
            self.plan_of[step.who] = step.ms
        elif step.what in ("release", "ask"):
            self.asked(step)
        elif step.what != "step":  # nobody here has a wall clock
            for link in self._between(step):
                link.change(step)

    def _go(self, name: str, place: Place) -> None:
        if not place.stopped:
            return
        place.stopped, place.ticking_ns = False, None
        waiting, place.inbox = place.inbox, []
        if place.node is not None and self.rng.random() < 0.5:  # its timers come first, or what it received
            self.say(name, place.node.tick(self.local(name)))
        for who, message in waiting:
            self._come(who, name, message)
        self._due(name)

    def _between(self, step: Step) -> Iterable[Link]:
        for whom in [step.whom] if step.whom else [n for n in self.places if n != step.who]:
            yield self.links.setdefault((step.who, whom), Link())
