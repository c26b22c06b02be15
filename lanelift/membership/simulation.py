"""Membership in simulated time: what truly happened beside what each member thought."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from lanelift.faults.schedule import Schedule
from lanelift.faults.simulation import NodeSlot, Outgoing, Simulation
from lanelift.membership.detector import FailureDetector
from lanelift.membership.gossip import MemberState, MemberUpdate
from lanelift.membership.records import MemberRecord
from lanelift.membership.timing import ProbeTiming


class StateChange(NamedTuple):
    """One member changed what it thinks of another; `at_ns` is true time."""

    at_ns: int
    observer: int
    member: int
    state: MemberState


class RecordingDetector(FailureDetector):
    """Reports each change of its view to the simulation."""

    simulation: MembershipSimulation

    def _apply(self, record: MemberRecord, update: MemberUpdate, now: int) -> None:
        if update.state is not record.update.state:
            change = StateChange(self.simulation.now, self.me, record.number, update.state)
            self.simulation.changes.append(change)
        super()._apply(record, update, now)


class SimulatedMember:
    """One member as a node of the simulation, which knows members by name."""

    def __init__(self, detector: FailureDetector) -> None:
        self.detector = detector

    @property
    def due_ns(self) -> int | None:
        """When it is to be woken, on its own clock; None: never."""
        return self.detector.due_ns

    def receive(self, message: Any, source: str, now: int) -> Outgoing:
        """Hand over a message; returns the answers."""
        return [(str(to), data) for to, data in self.detector.receive(message, now)]

    def tick(self, now: int) -> Outgoing:
        """Do what is due; returns the messages."""
        return [(str(to), data) for to, data in self.detector.tick(now)]


class MembershipSimulation(Simulation):
    """So many members by number, their zones given in order.

    Attributes:
        changes: Each change of a view, in order.
        deaths: When each member that is dead now died, in true nanoseconds.
        bytes: Of all messages so far.
    """

    detector_class: type[RecordingDetector] = RecordingDetector

    def __init__(
        self, schedule: Schedule, zones: Sequence[str], timing: ProbeTiming, keep_trace: bool = False
    ) -> None:
        self.zones, self.timing = zones, timing
        self.changes: list[StateChange] = []
        self.deaths: dict[int, int] = {}
        self.bytes = 0
        super().__init__(schedule, keep_trace)

    def start_node(self, name: str, slot: NodeSlot, now: int) -> Any:
        """A member starts."""
        self.deaths.pop(int(name), None)
        seed = self.rng.getrandbits(60)
        detector = self.detector_class(int(name), self.zones, self.timing, seed, now)
        detector.simulation = self
        return SimulatedMember(detector)

    def node_killed(self, name: str, slot: NodeSlot, disk_lost: bool) -> None:
        """A member was killed."""
        self.deaths[int(name)] = self.now

    def _send(self, sender: str, recipient: str, message: Any) -> None:
        self.bytes += len(message)
        super()._send(sender, recipient, message)

    def detector(self, number: int) -> FailureDetector | None:
        """The detector of a member; None while it is not running."""
        node = self.slots[str(number)].node
        return node.detector if isinstance(node, SimulatedMember) else None

    def detection_delays_ns(self) -> list[int]:
        """For each death and each member that lives, how long until that one thought it unreachable (or knew
        that it left); -1: not yet.
        """
        detected: dict[tuple[int, int], int] = {}
        for change in self.changes:
            gone = change.state in (MemberState.UNREACHABLE, MemberState.LEFT)
            if gone and change.at_ns >= self.deaths.get(change.member, change.at_ns + 1):
                detected.setdefault((change.observer, change.member), change.at_ns)
        living = [number for number in range(len(self.zones)) if number not in self.deaths]
        return [
            detected[observer, dead] - died_ns if (observer, dead) in detected else -1
            for dead, died_ns in self.deaths.items()
            for observer in living
        ]

    def false_detections(self) -> int:
        """How often a member that lived was thought unreachable by another."""
        return sum(
            change.state is MemberState.UNREACHABLE
            and (change.member not in self.deaths or change.at_ns < self.deaths[change.member])
            for change in self.changes
        )


def membership_schedule(
    count: int, seed: int, until_ms: int, loss: float = 0.0, steps: Sequence[Any] = ()
) -> Schedule:
    """A schedule of faults for so many members, until so many milliseconds; `loss`: of all messages."""
    names = tuple(map(str, range(count)))
    return Schedule(seed, names, (), until_ms, tuple(steps), loss=loss)
