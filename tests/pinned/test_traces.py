"""Seeded schedules of faults give the same events at the same times as when they were recorded."""

from __future__ import annotations

import pytest

from tests.pinned import traces

IN_SHORT = {"leases": 40, "membership": 15}  # number of seeds checked in the default run; --long checks all


@pytest.mark.parametrize("world", ["leases", "membership"])
def test_each_seed_gives_the_recorded_trace(world: str, long_runs: bool) -> None:
    expected = traces.recorded()[world]
    assert len(expected) == traces.SEEDS[world]
    seeds = range(len(expected) if long_runs else IN_SHORT[world])
    changed = [seed for seed in seeds if traces.digest(world, seed) != expected[seed]]
    assert not changed, f"python -m tests.pinned.traces --show {world} SEED prints each of them"


def test_a_trace_has_what_an_observer_sees() -> None:
    """Fails if a rename has disconnected a hook, as the digests of empty traces would never change again."""
    leases, membership = traces.PLAYS["leases"](0), traces.PLAYS["membership"](1)
    for lines, whats in (
        (leases, {"send", "come", "start", "step", "write", "written", "act", "token"}),
        (membership, {"send", "come", "start", "step", "died", "leave", "view"}),
    ):
        assert {line.split(" ")[1] for line in lines[1:-1]} == whats
        assert lines[0].startswith('{\n "seed"') and lines[-1].startswith("counts ")
