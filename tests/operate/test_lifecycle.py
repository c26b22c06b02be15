"""Where a balancer is in its life: every call in every stage, and random walks."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.lifecycle import Lifecycle, Stage

CALLS = ("evacuate", "rejoin", "leave")


@pytest.mark.parametrize(
    ("stage", "call", "after", "said"),
    [
        (Stage.SERVING, "evacuate", Stage.EVACUATED, True),
        (Stage.SERVING, "rejoin", Stage.SERVING, True),
        (Stage.SERVING, "leave", Stage.LEAVING, True),
        (Stage.EVACUATED, "evacuate", Stage.EVACUATED, False),
        (Stage.EVACUATED, "rejoin", Stage.SERVING, True),
        (Stage.EVACUATED, "leave", Stage.LEAVING, True),
        (Stage.LEAVING, "evacuate", Stage.LEAVING, False),
        (Stage.LEAVING, "rejoin", Stage.LEAVING, False),
        (Stage.LEAVING, "leave", Stage.LEAVING, False),
    ],
)
def test_every_call_in_every_stage(stage: Stage, call: str, after: Stage, said: bool) -> None:
    life = Lifecycle()
    life.stage = stage
    assert getattr(life, call)() is said
    assert life.stage is after


@given(st.lists(st.sampled_from(CALLS)), st.booleans(), st.booleans())
def test_there_is_no_way_back_from_leaving_and_ready_is_never_said_of_one_that_cannot_serve(
    calls: list[str], shared: bool, serves: bool
) -> None:
    life = Lifecycle(shared)
    for number, call in enumerate(calls):
        getattr(life, call)()
        assert (life.stage is Stage.LEAVING) == ("leave" in calls[: number + 1])
        assert serves or not life.wanted(serves)
        # An answer keeps its connection exactly while the front may go on dealing it out.
        assert life.last == (life.stage is not Stage.SERVING)
        if not shared:
            assert life.wanted(True) != life.last


def test_on_a_shared_address_the_successor_answers_for_the_one_that_leaves() -> None:
    for shared in (False, True):
        life = Lifecycle(shared)
        assert life.takes(True) and life.takes(False) is not shared
        life.leave()
        assert life.wanted(True) is shared
    life = Lifecycle(True)
    life.evacuate()
    assert not life.wanted(True)
