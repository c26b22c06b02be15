"""Which clients' input is handled at once, and which waits for a turn."""

from __future__ import annotations

import pytest

from lanelift.policy.turns import (
    CLIENT_BURST_S,
    CLIENT_SHARE,
    ITERATION_S,
    QUEUE_SHARE,
    SMALL_INPUT_BYTES,
    TURN_S,
    ProcessingAccount,
    TurnPolicy,
)


def test_a_client_that_uses_more_than_its_share_waits_until_it_is_paid_back() -> None:
    policy, account = TurnPolicy(1.0), ProcessingAccount()
    assert policy.may_handle_at_once(account, 100, 0.0, 1.0)
    for _ in range(3):
        policy.charge(account, CLIENT_BURST_S * 0.5, 0, 0, 1.0)
    assert not policy.may_handle_at_once(account, 100, 0.0, 1.0)
    paid_back_s = 1.0 + CLIENT_BURST_S * 0.5 / CLIENT_SHARE
    assert not policy.may_handle_at_once(account, 100, 0.0, paid_back_s - 0.01)
    assert policy.may_handle_at_once(account, 100, 0.0, paid_back_s + 0.01)


def test_a_client_within_its_share_never_waits() -> None:
    policy, account = TurnPolicy(1.0), ProcessingAccount()
    for number in range(10_000):
        now_s = number * 0.01
        assert policy.may_handle_at_once(account, 300, 0.0, now_s)
        policy.charge(account, 0.01 * CLIENT_SHARE, 300, 0, now_s)


def test_long_bodies_are_not_charged_and_chunks_of_one_byte_are() -> None:
    policy, body, chunks = TurnPolicy(1.0), ProcessingAccount(), ProcessingAccount()
    for _ in range(1000):
        policy.charge(body, 100e-6, 64 * 1024, 0, 1.0)
        policy.charge(chunks, 100e-6, 600, 0, 1.0)
    assert policy.may_handle_at_once(body, 64 * 1024, 0.0, 1.0)
    assert not policy.may_handle_at_once(chunks, 600, 0.0, 1.0)


def test_only_small_input_is_handled_at_once_late_in_an_iteration() -> None:
    policy = TurnPolicy(1.0)
    assert policy.may_handle_at_once(ProcessingAccount(), SMALL_INPUT_BYTES, ITERATION_S, 1.0)
    assert not policy.may_handle_at_once(ProcessingAccount(), SMALL_INPUT_BYTES + 1, ITERATION_S, 1.0)


def test_a_stop_of_this_process_is_not_blamed_on_a_client() -> None:
    """The process is stopped for 150 ms while it handles a client's input, or serves the queue."""
    policy, account = TurnPolicy(1.0), ProcessingAccount()
    policy.charge(account, 0.15, 300, 0, 1.0)
    assert policy.may_handle_at_once(account, 300, 0.0, 1.0)
    assert policy.pause_s(0.15) < 0.03


def test_a_client_with_much_input_is_not_fresh_after_a_turn() -> None:
    policy, account = TurnPolicy(1.0), ProcessingAccount()
    assert policy.is_fresh(account)
    policy.charge(account, TURN_S, 300, 0, 1.0)
    policy.charge(account, TURN_S, 300, 0, 1.0)
    assert not policy.is_fresh(account)


@pytest.mark.parametrize("cores", [0.35, 1.0, 4.0])
def test_the_queue_keeps_to_its_share_of_the_cores_up_to_one(cores: float) -> None:
    pause_s = TurnPolicy(cores).pause_s(0.002)
    assert 0.002 / (0.002 + pause_s) == pytest.approx(QUEUE_SHARE * min(1.0, cores))


def test_requests_that_are_forwarded_are_not_charged_and_those_answered_here_are() -> None:
    policy, forwarded, answered = TurnPolicy(1.0), ProcessingAccount(), ProcessingAccount()
    for _ in range(1000):
        policy.charge(forwarded, 150e-6, 300, 1, 1.0)
        policy.charge(answered, 150e-6, 300, 0, 1.0)
    assert policy.may_handle_at_once(forwarded, 300, 0.0, 1.0)
    assert not policy.may_handle_at_once(answered, 300, 0.0, 1.0)
