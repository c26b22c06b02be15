"""The stages of a balancer's lifecycle: every call in every stage, and random sequences of calls."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.lifecycle import Lifecycle, Stage

CALLS = ("drain", "rejoin", "shut_down")


@pytest.mark.parametrize(
    ("stage", "call", "after", "result"),
    [
        (Stage.SERVING, "drain", Stage.DRAINING, True),
        (Stage.SERVING, "rejoin", Stage.SERVING, True),
        (Stage.SERVING, "shut_down", Stage.SHUTTING_DOWN, True),
        (Stage.DRAINING, "drain", Stage.DRAINING, False),
        (Stage.DRAINING, "rejoin", Stage.SERVING, True),
        (Stage.DRAINING, "shut_down", Stage.SHUTTING_DOWN, True),
        (Stage.SHUTTING_DOWN, "drain", Stage.SHUTTING_DOWN, False),
        (Stage.SHUTTING_DOWN, "rejoin", Stage.SHUTTING_DOWN, False),
        (Stage.SHUTTING_DOWN, "shut_down", Stage.SHUTTING_DOWN, False),
    ],
)
def test_every_call_in_every_stage(stage: Stage, call: str, after: Stage, result: bool) -> None:
    lifecycle = Lifecycle()
    lifecycle.stage = stage
    assert getattr(lifecycle, call)() is result
    assert lifecycle.stage is after


@given(st.lists(st.sampled_from(CALLS)), st.booleans(), st.booleans())
def test_a_shutdown_is_final_and_ready_never_succeeds_if_the_balancer_cannot_serve(
    calls: list[str], shared: bool, serves: bool
) -> None:
    """Operators' calls and SIGTERM come in any order. A shutdown is never undone, and `/ready` never succeeds
    if the balancer can't serve.
    """
    lifecycle = Lifecycle(shared)
    for number, call in enumerate(calls):
        getattr(lifecycle, call)()
        assert (lifecycle.stage is Stage.SHUTTING_DOWN) == ("shut_down" in calls[: number + 1])
        assert serves or not lifecycle.reports_ready(serves)
        # A connection is kept after an answer exactly while the front tier may use it further.
        assert lifecycle.closes_connections == (lifecycle.stage is not Stage.SERVING)
        if not shared:
            assert lifecycle.reports_ready(True) != lifecycle.closes_connections


def test_on_a_shared_address_ready_succeeds_during_shutdown() -> None:
    """Two processes share the clients' address. `/ready` still succeeds in the process that shuts down, as
    its successor serves there. A process that can't serve accepts no connections.
    """
    for shared in (False, True):
        lifecycle = Lifecycle(shared)
        assert lifecycle.accepts_connections(True) and lifecycle.accepts_connections(False) is not shared
        lifecycle.shut_down()
        assert lifecycle.reports_ready(True) is shared
    lifecycle = Lifecycle(True)
    lifecycle.drain()
    assert not lifecycle.reports_ready(True)
