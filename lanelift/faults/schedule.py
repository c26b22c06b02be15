"""A schedule of faults as data: each step names a fault, a node and a time in milliseconds. Pure.

An example of the JSON (`to_json`, `from_json`): `{"seed": 7, "voters": ["a", "b", "c"], "contenders": ["p1"],
"until_ms": 9000, "steps": [{"at_ms": 1200, "what": "kill", "who": "b"}]}`. Every member and every contender
has a name.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from lanelift.errors import LaneliftError


class StepKind(StrEnum):
    """The kind of a step that affects the node `who`. The values are the words in schedule files."""

    KILL = "kill"  # the node is killed and loses its memory
    LOSE = "lose"  # the node is killed and loses its disk as well
    START = "start"  # the killed node is started
    STOP = "stop"  # the node is stopped (SIGSTOP)
    GO = "go"  # the stopped node continues (SIGCONT)
    CUT = "cut"  # no message passes from `who` to `whom`
    HEAL = "heal"  # all faults of the link from `who` to `whom` end
    DELAY = "delay"  # messages from `who` to `whom` take `ms` longer
    DROP = "drop"  # a share `part` of the messages from `who` to `whom` is lost
    DOUBLE = "double"  # a share `part` of messages from `who` to `whom` arrives twice, up to `ms` apart
    RATE = "rate"  # the node's clock runs faster by the fraction `part` from now on
    STEP = "step"  # the node's wall clock is moved by `ms`, to which the node should not react
    PLAN = "plan"  # the node's next start uses the list of voters with the number `ms`
    RELEASE = "release"  # the holder releases its lease
    ASK = "ask"  # a contender that has ended starts to acquire the lease again


LINK_STEPS = (StepKind.CUT, StepKind.HEAL, StepKind.DELAY, StepKind.DROP, StepKind.DOUBLE)


class ScheduleError(LaneliftError, ValueError):
    """A text that is not a schedule, or a schedule that can't be played here.

    Attributes:
        key: The key with the wrong value, such as `steps[0].what`; empty if the text is not a schedule.
        found: The value that was found; empty if the text is not a schedule.
    """

    def __init__(self, message: str, key: str = "", found: str = "") -> None:
        super().__init__(message)
        self.key, self.found = key, found


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a schedule: a fault, or the end of a fault.

    Attributes:
        at_ms: The time of the step, in milliseconds from the start.
        what: A `StepKind`; any word until the step is checked.
        who: The node that the step affects, or the sending end of a link.
        whom: The receiving end of a link; empty if the step does not affect a link.
        ms: A time, or the number of a list of voters; see `StepKind`.
        part: A fraction of 1; see `StepKind`.
    """

    at_ms: int
    what: str
    who: str
    whom: str = ""
    ms: int = 0
    part: float = 0.0

    def __str__(self) -> str:
        more = [f"-> {self.whom}"] if self.whom else []
        more += [f"{self.ms} ms"] if self.ms else []
        more += [f"{self.part:g}"] if self.part else []
        return " ".join([f"{self.at_ms:>7} ms  {self.what:8}{self.who}", *more])


@dataclass(slots=True)
class Link:
    """One direction of the link between two ends, in the simulation and among processes.

    Attributes:
        cut: Whether no message passes.
        delay_ms: How much longer each message takes.
        loss: The share of messages that is lost.
        double: The share of messages that arrives twice.
        double_ms: The maximum delay of a message's second copy; 0 for the default.
        passed: Number of messages that have passed, if they are counted.
        lost: Number of messages that were lost, if they are counted.
    """

    cut: bool = False
    delay_ms: int = 0
    loss: float = 0.0
    double: float = 0.0
    double_ms: int = 0
    passed: int = 0
    lost: int = 0

    def change(self, step: Step) -> None:
        """Applies a step of `LINK_STEPS`. Raises ScheduleError for any other step."""
        if step.what == StepKind.CUT:
            self.cut = True
        elif step.what == StepKind.HEAL:
            self.cut, self.delay_ms, self.loss, self.double = False, 0, 0.0, 0.0
        elif step.what == StepKind.DELAY:
            self.delay_ms = step.ms
        elif step.what == StepKind.DROP:
            self.loss = step.part
        elif step.what == StepKind.DOUBLE:
            self.double, self.double_ms = step.part, step.ms
        else:
            text = f"{step.what}: not a step of a link; allowed: {', '.join(LINK_STEPS)}"
            raise ScheduleError(text, "what", step.what)


@dataclass(frozen=True, slots=True)
class Schedule:
    """A set of nodes and the faults that they are subjected to.

    Attributes:
        seed: Seed of the random choices while the schedule is played, such as each message's latency. The
            steps are the same with any seed.
        voters: The members that vote.
        contenders: The processes that compete for the lease.
        until_ms: The length of the schedule.
        steps: The faults, ordered by time.
        rates: Nodes and the fraction by which their clocks run faster than true time from the start.
        loss: The share of all messages that is lost.
        double: The share of all messages that arrives twice.
        plans: Other lists of voters, which `plan` steps refer to by number, from 1.
    """

    seed: int
    voters: tuple[str, ...]
    contenders: tuple[str, ...]
    until_ms: int
    steps: tuple[Step, ...] = ()
    rates: tuple[tuple[str, float], ...] = ()
    loss: float = 0.0
    double: float = 0.0
    plans: tuple[tuple[str, ...], ...] = ()

    def description(self) -> str:
        """Returns a description for people: the initial conditions, and a line for each step."""
        rates = ", ".join(f"{name} {part:+g}" for name, part in self.rates if part)
        head = f"seed {self.seed}: voters {' '.join(self.voters)}; contenders {' '.join(self.contenders)}"
        more = f"; clocks {rates}" if rates else ""
        more += f"; {self.loss:g} lost" if self.loss else ""
        more += f"; {self.double:g} doubled" if self.double else ""
        more += "".join(f"; plan {i}: {' '.join(plan)}" for i, plan in enumerate(self.plans, 1))
        return "\n".join([head + more, *map(str, self.steps)])


def to_json(schedule: Schedule) -> bytes:
    """Returns a schedule as the text of its file."""
    return msgspec.json.format(msgspec.json.encode(schedule), indent=1)


def from_json(data: bytes) -> Schedule:
    """Reads the text of a schedule file. Raises ScheduleError."""
    try:
        schedule = msgspec.json.decode(data, type=Schedule)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        # the message names the place of the error; the traceback would add nothing
        raise ScheduleError(str(error)) from None
    names = {*schedule.voters, *schedule.contenders, *(name for plan in schedule.plans for name in plan)}
    for number, step in enumerate(schedule.steps):
        _check_step(f"steps[{number}]", step, names)
    return schedule


def _check_step(key: str, step: Step, names: set[str]) -> None:
    """Raises ScheduleError for a step of an unknown kind, or with an unknown node."""
    if step.what not in tuple(StepKind):
        text = f"{key}.what: found {step.what!r}; allowed: {', '.join(StepKind)}"
        raise ScheduleError(text, f"{key}.what", step.what)
    for field, name in (("who", step.who), ("whom", step.whom)):
        if name not in names and (field == "who" or name):
            text = f"{key}.{field}: found {name!r}; allowed: {', '.join(sorted(names))}"
            raise ScheduleError(text, f"{key}.{field}", name)
