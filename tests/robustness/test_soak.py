"""A short seeded soak; `python -m tests.robustness.soak` plays more seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.fakes import run
from tests.robustness.soak import play

SEEDS, LOAD_S = (1, 2, 3), 3.0


@pytest.mark.parametrize("seed", SEEDS)
def test_sound_clients_are_answered_beside_a_random_mix_of_faults(tmp_path: Path, seed: int) -> None:
    """Faults of several kinds at once break a rule that each of them alone does not break."""

    async def test() -> None:
        judge, line = await play(seed, tmp_path, LOAD_S)
        assert not judge.breaks, line

    run(test())
