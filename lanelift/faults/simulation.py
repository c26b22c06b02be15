"""Simulates nodes in virtual time, with clocks of their own and an unreliable network.

The simulation runs the same pure code as the processes. The same seed gives exactly the same trace. Times
are true time in nanoseconds unless stated otherwise. A node sees only its own clock, which starts at a random
time and may run too fast or too slow.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVarTuple

from lanelift.faults.schedule import Link, Schedule, Step, StepKind

Arguments = TypeVarTuple("Arguments")

MS = 1_000_000  # nanoseconds in a millisecond
LATENCY_NS = (100_000, 3 * MS)  # range of a message's latency without faults
# Maximum delay of a repeated message; the copy may arrive while another proposer holds the lease.
MAX_COPY_DELAY_NS = 600 * MS
# Limits the messages queued for a stopped node, as in a socket's buffer; further messages are lost.
MAX_INBOX_MESSAGES = 256
MAX_CLOCK_START_NS = 10**15

Outgoing = list[tuple[Any, Any]]
"""Messages that a node sends, each with its recipient."""


class Node(Protocol):
    """A process between its start and its kill, which sees only its own clock."""

    @property
    def due_ns(self) -> int | None:
        """When `tick` is due on the node's clock; None for never."""
        ...

    def receive(self, message: Any, source: str, now: int) -> Outgoing:
        """Handles a message at the node's own time `now` (ns); returns the messages to send."""
        ...

    def tick(self, now: int) -> Outgoing:
        """Performs the actions due at the node's own time `now` (ns); returns the messages to send."""
        ...


@dataclass(slots=True)
class Clock:
    """A node's clock.

    Attributes:
        base_ns: The clock's time at `since_ns`.
        rate: The fraction by which the clock runs faster than true time.
        since_ns: The true time from which `rate` applies.
    """

    base_ns: int
    rate: float
    since_ns: int = 0

    def local(self, true_ns: int) -> int:
        """Returns the time that the clock shows at a true time."""
        return self.base_ns + int((true_ns - self.since_ns) * (1 + self.rate))

    def true(self, local_ns: int) -> int:
        """Returns a true time at which the clock shows at least `local_ns`."""
        return self.since_ns + int((local_ns - self.base_ns) / (1 + self.rate)) + 1

    def set_rate(self, rate: float, true_ns: int) -> None:
        """Sets the rate that applies from the true time `true_ns` on."""
        self.base_ns, self.since_ns, self.rate = self.local(true_ns), true_ns, rate


@dataclass(slots=True)
class NodeSlot:
    """The state that the simulation keeps for a node, also across its restarts.

    Attributes:
        clock: The node's clock, which a restart does not change.
        node: The running node; None after a kill.
        stopped: Whether the node is stopped.
        inbox: Senders and messages queued while the node is stopped, up to `MAX_INBOX_MESSAGES`.
        incarnation: How often the node was started so far.
        tick_ns: The true time of the node's pending tick; None if none is pending.
    """

    clock: Clock
    node: Node | None = None
    stopped: bool = False
    inbox: list[tuple[str, Any]] = field(default_factory=list)
    incarnation: int = 0
    tick_ns: int | None = None


class Simulation:
    """Plays a schedule. A subclass starts the nodes (`start_node`), and checks them (`after_event`).

    Attributes:
        schedule: The schedule that is played.
        rng: Determines the behaviour of the network; the order of its draws is part of the trace.
        now: True time in nanoseconds.
        messages: How many messages were sent so far.
        plan_of: The number of the list of voters for each node's next start, by the node's name.
        slots: The state of each node, by name.
        links: The state of each link direction that a step has changed, by sender and recipient.
        trace: A line for each event, or None if no trace is kept.
    """

    def __init__(self, schedule: Schedule, keep_trace: bool = False) -> None:
        """Prepares a run; `play` runs it."""
        self.schedule = schedule
        self.rng = random.Random(schedule.seed)
        self.now = 0
        self.messages = 0
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_count = 0
        rates = dict(schedule.rates)
        names = tuple(dict.fromkeys([*schedule.voters, *schedule.contenders, *sum(schedule.plans, ())]))
        self.plan_of = dict.fromkeys(names, 0)
        self.slots = {
            name: NodeSlot(Clock(self.rng.randrange(MAX_CLOCK_START_NS), rates.get(name, 0.0)))
            for name in names
        }
        self.links: dict[tuple[str, str], Link] = {}
        self.trace: list[str] | None = [] if keep_trace else None
        for step in schedule.steps:
            self.call_at(step.at_ms * MS, self._apply_step, step)
        for name in names:
            self.call_at(0, self._start, name)

    # Hooks for subclasses.

    def start_node(self, name: str, slot: NodeSlot, now: int) -> Node:
        """Returns a node that starts at its own time `now` (ns)."""
        raise NotImplementedError

    def after_event(self) -> None:
        """Called after each event, at true time `now`; subclasses check their rules here."""

    def node_killed(self, name: str, slot: NodeSlot, disk_lost: bool) -> None:
        """Called after a node was killed; `disk_lost` says whether its disk is lost as well."""

    def node_step(self, step: Step) -> None:
        """Applies a step that concerns the work of a node: `release` or `ask`."""

    # For subclasses and tests.

    def play(self) -> None:
        """Runs events by time until the schedule ends; simultaneous events run in the order of scheduling."""
        until_ns = self.schedule.until_ms * MS
        while self._events and self._events[0][0] <= until_ns:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
            self.after_event()

    def call_at(self, when_ns: int, callback: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Schedules a function call as an event at a true time."""
        self._event_count += 1
        heapq.heappush(self._events, (when_ns, self._event_count, callback, arguments))

    def note(self, text: str) -> None:
        """Adds a line to the trace, if one is kept."""
        if self.trace is not None:
            self.trace.append(f"{self.now / MS:10.3f} {text}")

    def local(self, name: str) -> int:
        """Returns the present time of a node's clock, in nanoseconds."""
        return self.slots[name].clock.local(self.now)

    def send_all(self, name: str, outgoing: Iterable[tuple[Any, Any]]) -> None:
        """Sends a node's outgoing messages, and schedules its next tick."""
        for recipient, message in outgoing:
            self._send(name, str(recipient), message)
        self._schedule_tick(name)

    # The network.

    def _send(self, sender: str, recipient: str, message: Any) -> None:
        """Sends a message, which is lost, or delivered once or twice."""
        self.messages += 1
        link = self.links.get((sender, recipient)) or Link()
        if link.cut or self.rng.random() < 1 - (1 - self.schedule.loss) * (1 - link.loss):
            self.note(f"{sender} -> {recipient} lost {message}")
            return
        deliveries = 1 + (self.rng.random() < max(self.schedule.double, link.double))
        for copy in range(deliveries):
            copy_delay_ns = self.rng.randrange(link.double_ms * MS or MAX_COPY_DELAY_NS) if copy else 0
            arrival_ns = self.now + link.delay_ms * MS + self.rng.randint(*LATENCY_NS) + copy_delay_ns
            self.call_at(arrival_ns, self._deliver, sender, recipient, message)

    def _deliver(self, sender: str, recipient: str, message: Any) -> None:
        """Delivers a message to its recipient, or queues it while the recipient is stopped."""
        slot = self.slots.get(recipient)
        if slot is None or slot.node is None:
            return
        if slot.stopped:
            if len(slot.inbox) < MAX_INBOX_MESSAGES:
                slot.inbox.append((sender, message))
            return
        self.note(f"{sender} -> {recipient} {message}")
        self.send_all(recipient, slot.node.receive(message, sender, self.local(recipient)))

    def _links_of(self, step: Step) -> Iterable[Link]:
        """Yields the links that a step changes."""
        recipients = [step.whom] if step.whom else [name for name in self.slots if name != step.who]
        for recipient in recipients:
            yield self.links.setdefault((step.who, recipient), Link())

    # Timers.

    def _schedule_tick(self, name: str) -> None:
        """Schedules a node's next tick, unless a pending tick is due at that time or earlier."""
        slot = self.slots[name]
        if slot.node is None or slot.stopped or slot.node.due_ns is None:
            return
        when_ns = max(self.now, slot.clock.true(slot.node.due_ns))
        if slot.tick_ns is None or when_ns < slot.tick_ns:
            slot.tick_ns = when_ns
            self.call_at(when_ns, self._tick, name, slot.incarnation)

    def _tick(self, name: str, incarnation: int) -> None:
        """Runs a node's tick; does nothing if the node was restarted or stopped in the meantime."""
        slot = self.slots[name]
        if slot.incarnation != incarnation or slot.node is None or slot.stopped:
            return
        slot.tick_ns = None
        now = self.local(name)
        if slot.node.due_ns is not None and slot.node.due_ns <= now:
            self.send_all(name, slot.node.tick(now))
        else:
            self._schedule_tick(name)

    # Steps of the schedule.

    def _start(self, name: str) -> None:
        """Starts a node, unless it is running."""
        slot = self.slots[name]
        if slot.node is not None:
            return
        slot.incarnation += 1
        slot.stopped, slot.inbox, slot.tick_ns = False, [], None
        self.note(f"{name} starts")
        slot.node = self.start_node(name, slot, self.local(name))
        self._schedule_tick(name)

    def _apply_step(self, step: Step) -> None:
        """Applies one step of the schedule."""
        self.note(str(step).strip())
        slot = self.slots[step.who]
        if step.what in (StepKind.KILL, StepKind.LOSE):
            self._kill(step.who, slot, disk_lost=step.what == StepKind.LOSE)
        elif step.what == StepKind.START:
            self._start(step.who)
        elif step.what == StepKind.STOP:
            slot.stopped = True
        elif step.what == StepKind.GO:
            self._resume(step.who, slot)
        elif step.what == StepKind.RATE:
            slot.clock.set_rate(step.part, self.now)
        elif step.what == StepKind.PLAN:
            self.plan_of[step.who] = step.ms
        elif step.what in (StepKind.RELEASE, StepKind.ASK):
            self.node_step(step)
        elif step.what != StepKind.STEP:  # simulated nodes have no wall clock
            for link in self._links_of(step):
                link.change(step)

    def _kill(self, name: str, slot: NodeSlot, disk_lost: bool) -> None:
        """Kills a node, if it is running, and drops the messages queued for it."""
        if slot.node is not None:
            slot.node, slot.inbox = None, []
            self.node_killed(name, slot, disk_lost)

    def _resume(self, name: str, slot: NodeSlot) -> None:
        """Resumes a stopped node; whether its tick runs before or after the queued messages is random."""
        if not slot.stopped:
            return
        slot.stopped, slot.tick_ns = False, None
        waiting, slot.inbox = slot.inbox, []
        if slot.node is not None and self.rng.random() < 0.5:
            self.send_all(name, slot.node.tick(self.local(name)))
        for sender, message in waiting:
            self._deliver(sender, name, message)
        self._schedule_tick(name)
