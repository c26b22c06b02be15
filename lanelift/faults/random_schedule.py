"""A schedule of faults drawn from a seed. Pure.

The order of draws is part of the result: digests of the traces of many seeds are kept with the tests, so that
no draw may be added, left out or moved without recording them anew.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from lanelift.faults.schedule import Schedule, Step, StepKind

RESTART_MS = 40  # from a kill to the start under another list of voters


class RandomFault(StrEnum):
    """A fault that is drawn: each gives one or more steps, with those that undo it."""

    KILL = "kill"
    STOP = "stop"
    CUT = "cut"
    ISOLATE = "isolate"  # one direction of all links of a node is cut
    DELAY = "delay"
    DROP = "drop"
    ALL = "all"  # all voters are killed at once
    ROLL = "roll"  # all voters are killed one after the other, faster than a lease
    RELEASE = "release"
    ASK = "ask"


FAULT_WEIGHTS = (  # one that stands twice is drawn twice as often
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
GAP_LEASES = (0.2, 1.0, 3.0)  # the mean time between two faults
# Long and short, and just about a lease: what is wrong is wrong at its edges.
DURATION_LEASES = (0.05, 0.2, 0.5, 0.95, 1.0, 1.05, 1.5, 3.0)
MOVE_GAP_LEASES = (0.1, 0.5, 1.5)  # between two restarts under another list of voters


@dataclass(frozen=True, slots=True)
class _Draw:
    """What one random fault was drawn with.

    Attributes:
        at_ms: When it begins.
        duration_ms: How long it lasts.
        who: The node that it happens to, or the sending end of a link.
        whom: The receiving end of a link.
        members: All voters.
        contenders: All that want the lease.
        lease_ms: How long a lease is.
    """

    at_ms: int
    duration_ms: int
    who: str
    whom: str
    members: Sequence[str]
    contenders: Sequence[str]
    lease_ms: int


def random_schedule(
    seed: int, voters: int, contenders: int, until_ms: int, lease_ms: int, drift: float, plans: bool = False
) -> Schedule:
    """Returns a schedule by its seed alone: faults of every kind, as close to each other as a lease is long.

    Args:
        seed: Gives the same schedule each time.
        voters: How many members vote, up to 9.
        contenders: How many processes want the lease.
        until_ms: How long it lasts.
        lease_ms: How long a lease is.
        drift: The bound of clocks: each goes right, or slower or faster by this part.
        plans: Whether the list of voters changes on the way.
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
    rates = tuple((who, rng.choice((-drift, 0.0, drift))) for who in everybody)
    loss, double = rng.choice((0.0, 0.0, 0.05, 0.3)), rng.choice((0.0, 0.1))
    schedule = Schedule(seed, members, others, until_ms, tuple(steps), rates, loss, double)
    return _with_voter_changes(rng, schedule, lease_ms) if plans else schedule


def _with_voter_changes(rng: random.Random, schedule: Schedule, lease_ms: int) -> Schedule:
    """Returns the same schedule with the list of voters changed on the way.

    It changes by one or by more than one, in any order of starts; perhaps not for all nodes, and perhaps back
    again.
    """
    members = schedule.voters
    new = f"{chr(ord(members[-1]) + 1)}"
    later = [(*members, new), members[1:], (*members[1:], new), (*members[2:], new, f"{new}{new}")]
    plans = tuple(rng.sample(later, 2))
    steps = list(schedule.steps)
    rest_moves = False
    for number in rng.choice(([1], [1, 2], [1, 0], [1, 2, 0])):
        voters = (members, *plans)[number]
        half = rng.sample(schedule.contenders, (len(schedule.contenders) + 1) // 2)
        rest = [who for who in (*members, *schedule.contenders) if who not in (*voters, *half)]
        at_ms = rng.randrange(schedule.until_ms)
        for who in (*rng.sample([*voters, *half], len(voters) + len(half)), None, *rest):
            if who is None:  # those that are left out follow later, or not at all
                at_ms += rng.randrange(4 * lease_ms)
                rest_moves = rng.random() < 0.5
            elif who not in rest or rest_moves:
                at_ms += rng.randrange(max(1, int(lease_ms * rng.choice(MOVE_GAP_LEASES))))
                steps += _restart_under(number, who, at_ms)
    steps.sort(key=lambda step: step.at_ms)
    return replace(schedule, steps=tuple(steps), plans=plans)


def _restart_under(number: int, who: str, at_ms: int) -> list[Step]:
    """Restarts a node under the list of voters with this number."""
    return [
        Step(at_ms, StepKind.PLAN, who, ms=number),
        Step(at_ms, StepKind.KILL, who),
        Step(at_ms + RESTART_MS, StepKind.START, who),
    ]


def _random_fault(
    rng: random.Random, at_ms: int, members: Sequence[str], contenders: Sequence[str], lease_ms: int
) -> list[Step]:
    """Draws one fault; returns its steps."""
    who, whom = rng.sample([*members, *contenders], 2)
    duration_ms = int(lease_ms * rng.choice(DURATION_LEASES))
    kind = rng.choice(FAULT_WEIGHTS)
    draw = _Draw(at_ms, duration_ms, who, whom, members, contenders, lease_ms)
    if kind is RandomFault.KILL:
        return _until_undone(draw, StepKind.KILL, StepKind.START)
    if kind is RandomFault.STOP:
        return _until_undone(draw, StepKind.STOP, StepKind.GO)
    if kind is RandomFault.ALL:
        return _all_killed(draw)
    if kind is RandomFault.ROLL:
        return _rolling_restart(draw)
    if kind in (RandomFault.RELEASE, RandomFault.ASK):
        return [Step(at_ms, StepKind(kind), rng.choice(contenders))]
    return _link_fault(rng, kind, draw)


def _link_fault(rng: random.Random, kind: RandomFault, draw: _Draw) -> list[Step]:
    """Returns the steps of a fault of the network."""
    at_ms, who, whom = draw.at_ms, draw.who, draw.whom
    end_ms = at_ms + draw.duration_ms
    if kind is RandomFault.CUT:
        return [Step(at_ms, StepKind.CUT, who, whom), Step(end_ms, StepKind.HEAL, who, whom)]
    if kind is RandomFault.ISOLATE:
        return _isolation(rng, draw)
    if kind is RandomFault.DELAY:
        return [
            Step(at_ms, StepKind.DELAY, who, whom, ms=draw.duration_ms),
            Step(at_ms + 2 * draw.duration_ms, StepKind.HEAL, who, whom),
        ]
    return [
        Step(at_ms, StepKind.DROP, who, "", part=rng.choice((0.3, 0.8))),
        Step(end_ms, StepKind.HEAL, who),
    ]


def _until_undone(draw: _Draw, fault: StepKind, end: StepKind) -> list[Step]:
    """One node's fault and its end."""
    return [Step(draw.at_ms, fault, draw.who), Step(draw.at_ms + draw.duration_ms, end, draw.who)]


def _isolation(rng: random.Random, draw: _Draw) -> list[Step]:
    """A node receives and nobody receives it, or the other way round."""
    if rng.random() < 0.5:
        ends = [(draw.who, "")]
    else:
        everybody = (*draw.members, *draw.contenders)
        ends = [(other, draw.who) for other in everybody if other != draw.who]
    end_ms = draw.at_ms + draw.duration_ms
    steps = []
    for sender, recipient in ends:
        steps.append(Step(draw.at_ms, StepKind.CUT, sender, recipient))
        steps.append(Step(end_ms, StepKind.HEAL, sender, recipient))
    return steps


def _all_killed(draw: _Draw) -> list[Step]:
    """All voters are killed at once, and restarted at once."""
    steps = []
    for member in draw.members:
        steps.append(Step(draw.at_ms, StepKind.KILL, member))
        steps.append(Step(draw.at_ms + draw.duration_ms // 4, StepKind.START, member))
    return steps


def _rolling_restart(draw: _Draw) -> list[Step]:
    """All voters are restarted one after the other, faster than a lease."""
    gap_ms = max(1, draw.lease_ms // 8)
    steps = []
    for number, member in enumerate(draw.members):
        kill_ms = draw.at_ms + number * gap_ms
        steps.append(Step(kill_ms, StepKind.KILL, member))
        steps.append(Step(kill_ms + gap_ms // 2, StepKind.START, member))
    return steps
