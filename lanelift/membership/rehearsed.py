"""Membership in simulated time, and what truly happened beside what each member thought."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from lanelift.faults.schedule import Schedule
from lanelift.faults.simulated import Place, Said, World
from lanelift.membership.detector import Detector, Member, Pace
from lanelift.membership.news import News, State


class Watched(Detector):
    """Tells the world of each change of its view."""

    world: Members

    def _learn(self, m: Member, news: News, now: int) -> None:
        if news.state is not m.news.state:
            self.world.views.append((self.world.now, self.me, m.number, news.state))
        super()._learn(m, news, now)


class Node:
    """One member: its numbers go by name in the world."""

    def __init__(self, detector: Detector) -> None:
        self.detector = detector

    @property
    def due_ns(self) -> int | None:
        return self.detector.due_ns

    def receive(self, message: Any, source: str, now: int) -> Said:
        return [(str(to), data) for to, data in self.detector.hear(message, now)]

    def tick(self, now: int) -> Said:
        return [(str(to), data) for to, data in self.detector.tick(now)]


class Members(World):
    """So many members by number, in zones in turn. `views`: (when, who, of whom, which state), as it
    changed."""

    detector_class: type[Watched] = Watched

    def __init__(
        self, schedule: Schedule, zones: Sequence[str], pace: Pace, keep_trace: bool = False
    ) -> None:
        self.zones, self.pace = zones, pace
        self.views: list[tuple[int, int, int, State]] = []
        self.deaths: dict[int, int] = {}
        self.bytes = 0
        super().__init__(schedule, keep_trace)

    def made(self, name: str, place: Place, now: int) -> Node:
        self.deaths.pop(int(name), None)
        detector = self.detector_class(int(name), self.zones, self.pace, self.rng.getrandbits(60), now)
        detector.world = self
        return Node(detector)

    def died(self, name: str, place: Place, disk: bool) -> None:
        self.deaths[int(name)] = self.now

    def _send(self, who: str, whom: str, message: Any) -> None:
        self.bytes += len(message)
        super()._send(who, whom, message)

    def detector(self, number: int) -> Detector | None:
        node = self.places[str(number)].node
        return node.detector if isinstance(node, Node) else None

    def noticed_ns(self) -> list[int]:
        """For each death and each one who lives, how long until that one thought it silent (or knew that it
        left)."""
        noticed: dict[tuple[int, int], int] = {}
        for t, me, whom, state in self.views:
            if state in (State.SILENT, State.LEFT) and t >= self.deaths.get(whom, t + 1):
                noticed.setdefault((me, whom), t)
        living = [who for who in range(len(self.zones)) if who not in self.deaths]
        return [
            noticed[who, dead] - at if (who, dead) in noticed else -1
            for dead, at in self.deaths.items()
            for who in living
        ]

    def accusations(self) -> int:
        """Members that lived and were thought silent by another, each time."""
        return sum(
            state is State.SILENT and (whom not in self.deaths or t < self.deaths[whom])
            for t, _, whom, state in self.views
        )


def members(count: int, seed: int, until_ms: int, loss: float = 0.0, steps: Sequence[Any] = ()) -> Schedule:
    names = tuple(map(str, range(count)))
    return Schedule(seed, names, (), until_ms, tuple(steps), loss=loss)
