"""Generates a schedule of faults from a seed. Pure.

The schedule of a seed depends on the order of the random draws. The tests contain digests of the traces of
many seeds; these digests have to be recorded again if a draw is added, removed or moved.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from lanelift.faults.schedule import Schedule, Step, StepKind

RESTART_MS = 40  # time from a kill to the restart with another list of voters


class RandomFault(StrEnum):
    """A kind of random fault, which results in one or more steps, including the steps that undo the fault."""

    KILL = "kill"
    STOP = "stop"
    CUT = "cut"
    ISOLATE = "isolate"  # one direction of all links of a node is cut
    DELAY = "delay"
    DROP = "drop"
    ALL = "all"  # all voters are killed at the same time
    ROLL = "roll"  # all voters are killed one after the other, at intervals shorter than a lease
    RELEASE = "release"
    ASK = "ask"


FAULT_WEIGHTS = (  # a fault that is listed twice is drawn twice as often
    RandomFault.KILL,
    RandomFault.KILL,
    RandomFault.STOP,
    RandomFault.STOP,
    RandomFault.CUT,
    RandomFault.CUT,
    RandomFault.ISOLATE,
    RandomFault.DELAY,
    RandomFault.DROP,
    RandomFault.ALL,
    RandomFault.ROLL,
    RandomFault.RELEASE,
    RandomFault.ASK,
)
GAP_LEASES = (0.2, 1.0, 3.0)  # mean times between two faults, in lengths of a lease
# Durations of faults, in lengths of a lease; some are close to 1, since errors appear near the end of a
# lease.
DURATION_LEASES = (0.05, 0.2, 0.5, 0.95, 1.0, 1.05, 1.5, 3.0)
# Maximum times between two restarts with another list of voters, in lengths of a lease.
RESTART_GAP_LEASES = (0.1, 0.5, 1.5)


@dataclass(frozen=True, slots=True)
class _Draw:
    """The parameters of one random fault.

    Attributes:
        at_ms: When the fault begins.
        duration_ms: How long the fault lasts.
        node: The node that the fault affects, or the sending end of a link.
        recipient: The receiving end of a link.
        members: All voters.
        contenders: All processes that compete for the lease.
        lease_ms: The length of a lease.
    """

    at_ms: int
    duration_ms: int
    node: str
    recipient: str
    members: Sequence[str]
    contenders: Sequence[str]
    lease_ms: int


def random_schedule(
    seed: int, voters: int, contenders: int, until_ms: int, lease_ms: int, drift: float, plans: bool = False
) -> Schedule:
    """Returns a schedule of randomly drawn faults, at intervals of about the length of a lease.

    Args:
        seed: Determines the schedule; the same arguments give the same schedule.
        voters: How many members vote, up to 9.
        contenders: How many processes compete for the lease.
        until_ms: The length of the schedule.
        lease_ms: The length of a lease.
        drift: The fraction by which each inexact clock runs slow or fast.
        plans: Whether the list of voters changes during the schedule.
    """
    rng = random.Random(seed)
    members = tuple("abcdefghi"[:voters])
    others = tuple(f"p{i}" for i in range(1, contenders + 1))
    everybody = members + others
    steps: list[Step] = []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(1 / (lease_ms * rng.choice(GAP_LEASES)))
        if at_ms >= until_ms:
            break
        steps += _random_fault(rng, int(at_ms), members, others, lease_ms)
    steps.sort(key=lambda step: step.at_ms)
    rates = tuple((node, rng.choice((-drift, 0.0, drift))) for node in everybody)
    loss, double = rng.choice((0.0, 0.0, 0.05, 0.3)), rng.choice((0.0, 0.1))
    schedule = Schedule(seed, members, others, until_ms, tuple(steps), rates, loss, double)
    return _with_voter_changes(rng, schedule, lease_ms) if plans else schedule


def _with_voter_changes(rng: random.Random, schedule: Schedule, lease_ms: int) -> Schedule:
    """Returns the same schedule with changes of the list of voters.

    Each change adds or removes one or more voters. The nodes are restarted in any order; some may keep the
    former list, and a later change may return to the former list.
    """
    members = schedule.voters
    new = f"{chr(ord(members[-1]) + 1)}"
    later = [(*members, new), members[1:], (*members[1:], new), (*members[2:], new, f"{new}{new}")]
    plans = tuple(rng.sample(later, 2))
    steps = list(schedule.steps)
    restarts_rest = False
    for number in rng.choice(([1], [1, 2], [1, 0], [1, 2, 0])):
        voters = (members, *plans)[number]
        half = rng.sample(schedule.contenders, (len(schedule.contenders) + 1) // 2)
        rest = [node for node in (*members, *schedule.contenders) if node not in (*voters, *half)]
        at_ms = rng.randrange(schedule.until_ms)
        for node in (*rng.sample([*voters, *half], len(voters) + len(half)), None, *rest):
            if node is None:  # the remaining nodes are restarted later, or not at all
                at_ms += rng.randrange(4 * lease_ms)
                restarts_rest = rng.random() < 0.5
            elif node not in rest or restarts_rest:
                at_ms += rng.randrange(max(1, int(lease_ms * rng.choice(RESTART_GAP_LEASES))))
                steps += _restart_under(number, node, at_ms)
    steps.sort(key=lambda step: step.at_ms)
    return replace(schedule, steps=tuple(steps), plans=plans)


def _restart_under(number: int, node: str, at_ms: int) -> list[Step]:
    """Returns the steps that restart a node with the list of voters that has this number."""
    return [
        Step(at_ms, StepKind.PLAN, node, ms=number),
        Step(at_ms, StepKind.KILL, node),
        Step(at_ms + RESTART_MS, StepKind.START, node),
    ]


def _random_fault(
    rng: random.Random, at_ms: int, members: Sequence[str], contenders: Sequence[str], lease_ms: int
) -> list[Step]:
    """Draws one fault; returns its steps."""
    node, recipient = rng.sample([*members, *contenders], 2)
    duration_ms = int(lease_ms * rng.choice(DURATION_LEASES))
    kind = rng.choice(FAULT_WEIGHTS)
    draw = _Draw(at_ms, duration_ms, node, recipient, members, contenders, lease_ms)
    if kind is RandomFault.KILL:
        return _fault_and_end(draw, StepKind.KILL, StepKind.START)
    if kind is RandomFault.STOP:
        return _fault_and_end(draw, StepKind.STOP, StepKind.GO)
    if kind is RandomFault.ALL:
        return _all_killed(draw)
    if kind is RandomFault.ROLL:
        return _rolling_restart(draw)
    if kind in (RandomFault.RELEASE, RandomFault.ASK):
        return [Step(at_ms, StepKind(kind), rng.choice(contenders))]
    return _link_fault(rng, kind, draw)


def _link_fault(rng: random.Random, kind: RandomFault, draw: _Draw) -> list[Step]:
    """Returns the steps of a network fault."""
    at_ms, node, recipient = draw.at_ms, draw.node, draw.recipient
    end_ms = at_ms + draw.duration_ms
    if kind is RandomFault.CUT:
        return [Step(at_ms, StepKind.CUT, node, recipient), Step(end_ms, StepKind.HEAL, node, recipient)]
    if kind is RandomFault.ISOLATE:
        return _isolation(rng, draw)
    if kind is RandomFault.DELAY:
        return [
            Step(at_ms, StepKind.DELAY, node, recipient, ms=draw.duration_ms),
            Step(at_ms + 2 * draw.duration_ms, StepKind.HEAL, node, recipient),
        ]
    return [
        Step(at_ms, StepKind.DROP, node, "", part=rng.choice((0.3, 0.8))),
        Step(end_ms, StepKind.HEAL, node),
    ]


def _fault_and_end(draw: _Draw, fault: StepKind, end: StepKind) -> list[Step]:
    """Returns the step that begins a node's fault and the step that ends it."""
    return [Step(draw.at_ms, fault, draw.node), Step(draw.at_ms + draw.duration_ms, end, draw.node)]


def _isolation(rng: random.Random, draw: _Draw) -> list[Step]:
    """Returns the steps that cut off either all outgoing or all incoming messages of a node."""
    if rng.random() < 0.5:
        ends = [(draw.node, "")]
    else:
        everybody = (*draw.members, *draw.contenders)
        ends = [(other, draw.node) for other in everybody if other != draw.node]
    end_ms = draw.at_ms + draw.duration_ms
    steps = []
    for sender, recipient in ends:
        steps.append(Step(draw.at_ms, StepKind.CUT, sender, recipient))
        steps.append(Step(end_ms, StepKind.HEAL, sender, recipient))
    return steps


def _all_killed(draw: _Draw) -> list[Step]:
    """Returns the steps that kill all voters at the same time, and restart them at the same time."""
    steps = []
    for member in draw.members:
        steps.append(Step(draw.at_ms, StepKind.KILL, member))
        steps.append(Step(draw.at_ms + draw.duration_ms // 4, StepKind.START, member))
    return steps


def _rolling_restart(draw: _Draw) -> list[Step]:
    """Returns the steps that restart all voters in turn, at intervals shorter than a lease."""
    gap_ms = max(1, draw.lease_ms // 8)
    steps = []
    for number, member in enumerate(draw.members):
        kill_ms = draw.at_ms + number * gap_ms
        steps.append(Step(kill_ms, StepKind.KILL, member))
        steps.append(Step(kill_ms + gap_ms // 2, StepKind.START, member))
    return steps
