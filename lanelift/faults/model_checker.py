"""A model checker that visits every reachable state, breadth first. Pure.

It reports a violation by its shortest counterexample, as explicit-state checkers like TLC do.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import TypeVar

State = TypeVar("State", bound=Hashable)


@dataclass(frozen=True, slots=True)
class Exploration:
    """The result of an exploration.

    Attributes:
        states: How many states were visited.
        steps: How many steps were followed.
        complete: Whether all reachable states were visited.
        violation: The rule that the last state violates; empty for none.
        counterexample: The names of the steps that lead to that state, in order.
    """

    states: int
    steps: int
    complete: bool
    violation: str = ""
    counterexample: tuple[str, ...] = ()


def explore(
    initial: Iterable[State],
    successors: Callable[[State], Iterable[tuple[str, State]]],
    violation_in: Callable[[State], str],
    max_states: int,
) -> Exploration:
    """Visits all reachable states, until one violates a rule or `max_states` were visited.

    Args:
        initial: The initial states.
        successors: Returns each step from a state: its name and the state that it leads to.
        violation_in: Returns the rule that a state violates; empty for none.
        max_states: The maximum number of visited states.
    """
    predecessors: dict[State, tuple[State, str] | None] = dict.fromkeys(initial)
    layer, steps = list(predecessors), 0
    for state in layer:
        if text := violation_in(state):
            return Exploration(len(predecessors), 0, False, text)
    while layer:
        next_layer: list[State] = []
        for state in layer:
            for name, successor in successors(state):
                steps += 1
                if successor in predecessors:
                    continue
                predecessors[successor] = state, name
                if text := violation_in(successor):
                    path = _path_to(successor, predecessors)
                    return Exploration(len(predecessors), steps, False, text, path)
                if len(predecessors) >= max_states:
                    return Exploration(len(predecessors), steps, False)
                next_layer.append(successor)
        layer = next_layer
    return Exploration(len(predecessors), steps, True)


def _path_to(state: State, predecessors: dict[State, tuple[State, str] | None]) -> tuple[str, ...]:
    """Returns the names of the steps from an initial state to this one."""
    names = []
    while (predecessor := predecessors[state]) is not None:
        state, name = predecessor
        names.append(name)
    return tuple(reversed(names))
