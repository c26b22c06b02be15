"""A schedule of faults is data: what happens to whom at which millisecond. Pure.

As JSON (`to_json`, `from_json`): `{"seed": 7, "voters": ["a", "b", "c"], "contenders": ["p1"], "until_ms":
9000, "steps": [{"at_ms": 1200, "what": "kill", "who": "b"}]}`. Every member and every contender has a name.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from lanelift.errors import LaneliftError


class StepKind(StrEnum):
    """What a step does; the values are the words of schedule files."""

    KILL = "kill"  # its memory is gone
    LOSE = "lose"  # killed, and its disk is gone as well
    START = "start"  # after it was killed
    STOP = "stop"  # it stands still: SIGSTOP
    GO = "go"  # it goes on: SIGCONT
    CUT = "cut"  # nothing passes from who to whom
    HEAL = "heal"  # all that was cut, delayed or lost from who to whom passes again
    DELAY = "delay"  # what goes from who to whom takes `ms` longer
    DROP = "drop"  # this `part` of what goes from who to whom is lost
    DOUBLE = "double"  # this `part` of it arrives twice, the second time up to `ms` later
    RATE = "rate"  # its clock goes faster by this `part` from now on
    STEP = "step"  # its wall clock is set by `ms`; nothing should care
    PLAN = "plan"  # its next start is under the list of voters number `ms`
    RELEASE = "release"  # a holder releases its lease
    ASK = "ask"  # a contender that has ended begins anew


LINK_STEPS = (StepKind.CUT, StepKind.HEAL, StepKind.DELAY, StepKind.DROP, StepKind.DOUBLE)


class ScheduleError(LaneliftError, ValueError):
    """Not a schedule, or not one that can be played here.

    Attributes:
        key: The key that is wrong, such as `steps[0].what`; empty where the text is no schedule at all.
        found: What stands there; empty where the text is no schedule at all.
    """

    def __init__(self, message: str, key: str = "", found: str = "") -> None:
        super().__init__(message)
        self.key, self.found = key, found


@dataclass(frozen=True, slots=True)
class Step:
    """One fault, or the end of one.

    Attributes:
        at_ms: When, in milliseconds from the start.
        what: A `StepKind`, or any other word until it is checked.
        who: The node that it happens to, or the sending end of a link.
        whom: The receiving end of a link; empty for all others.
        ms: A time, or the number of a list of voters; see `StepKind`.
        part: A part of 1; see `StepKind`.
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
    """One direction between two ends, in the simulation and among processes.

    Attributes:
        cut: Whether nothing passes.
        delay_ms: How much longer each message takes.
        loss: The part of all messages that is lost.
        double: The part of all messages that arrives twice.
        double_ms: How long after the first a repeated one arrives at most; 0 for the default.
        passed: Messages that passed so far, where they are counted.
        lost: Messages that were lost so far, where they are counted.
    """

    cut: bool = False
    delay_ms: int = 0
    loss: float = 0.0
    double: float = 0.0
    double_ms: int = 0
    passed: int = 0
    lost: int = 0

    def change(self, step: Step) -> None:
        """Carries out a step of `LINK_STEPS`. Raises ScheduleError for any other."""
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
            text = f"{step.what}: found between two ends; allowed: {', '.join(LINK_STEPS)}"
            raise ScheduleError(text, "what", step.what)


@dataclass(frozen=True, slots=True)
class Schedule:
    """Nodes and their faults.

    Attributes:
        seed: Decides what the network does to each message; the steps are the same for every seed.
        voters: The members that vote.
        contenders: The processes that want the lease.
        until_ms: How long it lasts.
        steps: The faults, by time.
        rates: Whose clock differs from true time from the start, by which part.
        loss: The part of all messages that is lost.
        double: The part of all messages that arrives twice.
        plans: Other lists of voters that a `plan` step names, from 1.
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
        """Returns for people what it begins with, and a line for each step."""
        rates = ", ".join(f"{who} {part:+g}" for who, part in self.rates if part)
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
        raise ScheduleError(str(error)) from None  # its text says where; the decoder's frames say no more
    names = {*schedule.voters, *schedule.contenders, *(name for plan in schedule.plans for name in plan)}
    for number, step in enumerate(schedule.steps):
        _check_step(f"steps[{number}]", step, names)
    return schedule


def _check_step(key: str, step: Step, names: set[str]) -> None:
    """Raises ScheduleError for a step of no kind, or one that names no node of the schedule."""
    if step.what not in tuple(StepKind):
        text = f"{key}.what: found {step.what!r}; allowed: {', '.join(StepKind)}"
        raise ScheduleError(text, f"{key}.what", step.what)
    for field, name in (("who", step.who), ("whom", step.whom)):
        if name not in names and (field == "who" or name):
            text = f"{key}.{field}: found {name!r}; allowed: {', '.join(sorted(names))}"
            raise ScheduleError(text, f"{key}.{field}", name)
