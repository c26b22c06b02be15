"""Which listed upstreams have gone because a newer one has their address."""

from __future__ import annotations

import pytest

from lanelift.policy.address_takeover import ListedProcess, replaced_upstreams
from lanelift.policy.events import EndpointState

READY, DRAINING, REMOVED = EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED
HERE, THERE = ("10.0.0.1", 80), ("10.0.0.2", 80)
OLD = ListedProcess(1, HERE, 0, READY)


@pytest.mark.parametrize("is_snapshot", [False, True])
@pytest.mark.parametrize("started_ns", [0, 5])
@pytest.mark.parametrize("old_state", [READY, DRAINING])
def test_the_newer_process_has_the_address(
    old_state: EndpointState, started_ns: int, is_snapshot: bool
) -> None:
    new = ListedProcess(2, HERE, started_ns, READY)
    old = OLD._replace(state=old_state)
    assert replaced_upstreams({1: OLD}, [new, old], is_snapshot) == {1: 2}


def test_an_old_process_does_not_return_with_a_later_list() -> None:
    new = ListedProcess(2, HERE, 5, READY)
    assert replaced_upstreams({2: new}, [OLD], False) == {1: 2}
    assert replaced_upstreams({2: new}, [OLD, new], True) == {1: 2}


def test_upstreams_that_exchange_their_addresses_are_both_kept() -> None:
    before = {1: OLD, 2: ListedProcess(2, THERE, 0, READY)}
    swapped = [OLD._replace(address=THERE), ListedProcess(2, HERE, 0, READY)]
    assert replaced_upstreams(before, swapped, False) == {}


def test_a_removed_upstream_has_no_address() -> None:
    new = ListedProcess(2, HERE, 0, READY)
    gone = ListedProcess(1, ("", 0), 0, REMOVED)
    also_gone = ListedProcess(3, ("", 0), 0, REMOVED)
    assert replaced_upstreams({1: OLD}, [gone, new, also_gone], False) == {}
