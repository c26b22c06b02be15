"""Simulates membership in virtual time, and compares each member's view with what happened."""

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
    """A change of one member's state in the view of another; `at_ns` is true time."""

    at_ns: int
    observer: int
    member: int
    state: MemberState


class RecordingDetector(FailureDetector):
    """A failure detector that reports each change of its view to the simulation."""

    simulation: MembershipSimulation

    def _apply(self, record: MemberRecord, update: MemberUpdate, now: int) -> None:
        if update.state is not record.update.state:
            change = StateChange(self.simulation.now, self.me, record.number, update.state)
            self.simulation.changes.append(change)
        super()._apply(record, update, now)


class SimulatedMember:
    """One member as a node of the simulation, which identifies members by name."""

    def __init__(self, detector: FailureDetector) -> None:
        self.detector = detector

    @property
    def due_ns(self) -> int | None:
        """When `tick` is due, on the member's own clock; None for never."""
        return self.detector.due_ns

    def receive(self, message: Any, source: str, now: int) -> Outgoing:
        """Passes a message to the detector; returns the responses."""
        return [(str(to), data) for to, data in self.detector.receive(message, now)]

    def tick(self, now: int) -> Outgoing:
        """Runs the detector's `tick`; returns the messages to send."""
        return [(str(to), data) for to, data in self.detector.tick(now)]


class MembershipSimulation(Simulation):
    """A fleet of numbered members in simulated time; `zones` contains the zone of each member.

    Attributes:
        changes: Each change of a view, in order.
        deaths: When each presently dead member died, in nanoseconds of true time.
        bytes: The total size of all messages so far.
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
        """Returns a member that starts."""
        self.deaths.pop(int(name), None)
        seed = self.rng.getrandbits(60)
        detector = self.detector_class(int(name), self.zones, self.timing, seed, now)
        detector.simulation = self
        return SimulatedMember(detector)

    def node_killed(self, name: str, slot: NodeSlot, disk_lost: bool) -> None:
        """Records the death of a member."""
        self.deaths[int(name)] = self.now

    def _send(self, sender: str, recipient: str, message: Any) -> None:
        self.bytes += len(message)
        super()._send(sender, recipient, message)

    def detector(self, number: int) -> FailureDetector | None:
        """Returns the detector of a member; None while the member is not running."""
        node = self.slots[str(number)].node
        return node.detector if isinstance(node, SimulatedMember) else None

    def detection_delays_ns(self) -> list[int]:
        """Returns, for each death and each living member, how long that member took to detect the death.

        A death is detected when the dead member becomes unreachable, or is known to have left. The delay is
        -1 if the death is not detected yet.
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
        """Returns how often a member became unreachable in another member's view while it was alive."""
        return sum(
            change.state is MemberState.UNREACHABLE
            and (change.member not in self.deaths or change.at_ns < self.deaths[change.member])
            for change in self.changes
        )


def membership_schedule(
    count: int, seed: int, until_ms: int, loss: float = 0.0, steps: Sequence[Any] = ()
) -> Schedule:
    """Returns a schedule of faults for `count` members; `loss` is the share of all messages that is lost."""
    names = tuple(map(str, range(count)))
    return Schedule(seed, names, (), until_ms, tuple(steps), loss=loss)
