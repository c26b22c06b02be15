"""How much of what peers send may be kept, and which clients give way."""

from __future__ import annotations

from dataclasses import dataclass

from lanelift.policy.memory import (
    CONNECTION_BYTES,
    GUARANTEED_BYTES,
    MIN_BUFFER_BYTES,
    READ_BYTES,
    READ_BYTES_UNDER_PRESSURE,
    buffer_limit_bytes,
    choose_evictions,
    read_size_bytes,
)

MB = 1024 * 1024


@dataclass
class Holder:
    buffered_bytes: int
    waiting_since_s: float


def test_the_limit_leaves_most_of_the_memory_to_the_rest_of_the_process() -> None:
    assert buffer_limit_bytes(32 * MB, 24 * MB, 0) == 2 * MB
    assert buffer_limit_bytes(192 * MB, 24 * MB, 0) == 42 * MB
    assert buffer_limit_bytes(192 * MB, 24 * MB, 1024) == 42 * MB - 256 * CONNECTION_BYTES
    assert buffer_limit_bytes(32 * MB, 24 * MB, 1024) >= MIN_BUFFER_BYTES
    assert buffer_limit_bytes(16 * MB, 24 * MB, 0) == MIN_BUFFER_BYTES


def test_reads_are_small_once_half_of_the_limit_is_used_up() -> None:
    assert read_size_bytes(MB - 1, 2 * MB) == READ_BYTES
    assert read_size_bytes(MB, 2 * MB) == READ_BYTES_UNDER_PRESSURE


def test_the_oldest_requests_give_way_and_no_more_than_needed() -> None:
    old, middle, young = Holder(50_000, 1.0), Holder(50_000, 2.0), Holder(50_000, 3.0)
    assert choose_evictions([young, old, middle], 60_000) == [old, middle]
    assert choose_evictions([young, old, middle], 0) == []


def test_a_client_that_keeps_little_never_gives_way() -> None:
    small = Holder(GUARANTEED_BYTES, 1.0)
    assert choose_evictions([small, Holder(5000, 2.0)], 1 * MB) == [Holder(5000, 2.0)]
