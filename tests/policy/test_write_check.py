"""The last check of an attempt, at the moment of its write."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from lanelift.policy.settings import Idempotency, RequestClass
from lanelift.policy.units import MILLISECOND_NS as MS
from lanelift.policy.write_check import (
    MAX_WRITE_DELAY_NS,
    WriteConditions,
    WriteRefusal,
    is_window_open,
    write_refusal,
)

WINDOW_NS = 800 * MS
KEYED = RequestClass("fee", Idempotency.IDEMPOTENCY_KEY, deduplication_window_ns=WINDOW_NS)
SAFE = RequestClass("quote", Idempotency.IDEMPOTENT)
UNSAFE = RequestClass("pay", Idempotency.NON_IDEMPOTENT)
SOUND = WriteConditions(upstream_ready=True, client_connected=True, left_ns=MS, first_write_ns=None)
NOW = 5_000 * MS


@pytest.mark.parametrize("request_class", [KEYED, SAFE, UNSAFE])
@pytest.mark.parametrize(
    ("change", "refusal"),
    [
        ({}, None),
        ({"upstream_ready": False}, WriteRefusal.UPSTREAM_NOT_READY),
        ({"client_connected": False}, WriteRefusal.CLIENT_LEFT),
        ({"left_ns": 0}, WriteRefusal.DEADLINE_PASSED),
        ({"left_ns": -MS}, WriteRefusal.DEADLINE_PASSED),
    ],
)
def test_each_condition_must_hold_for_every_class(
    request_class: RequestClass, change: dict[str, Any], refusal: WriteRefusal | None
) -> None:
    assert write_refusal(request_class, replace(SOUND, **change), NOW) is refusal


def test_a_repeat_is_refused_unless_it_is_harmless() -> None:
    """An attempt that waited for its connection may have been overtaken by one that may have run."""
    repeat = replace(SOUND, first_write_ns=NOW - MS)
    assert write_refusal(SAFE, repeat, NOW) is None
    assert write_refusal(KEYED, repeat, NOW) is None
    assert write_refusal(UNSAFE, repeat, NOW) is WriteRefusal.MAY_HAVE_RUN
    late = replace(SOUND, first_write_ns=NOW - WINDOW_NS)
    assert write_refusal(SAFE, late, NOW) is None
    assert write_refusal(KEYED, late, NOW) is WriteRefusal.WINDOW_CLOSED


def test_a_balancer_that_is_stopped_before_its_write_stays_within_the_window() -> None:
    """The operators' pages allow a stop of 0.15 s between reading the clock and writing."""
    assert MAX_WRITE_DELAY_NS >= 150 * MS
    last_ns = NOW + WINDOW_NS - 150 * MS
    assert is_window_open(KEYED, NOW, last_ns - 1) and not is_window_open(KEYED, NOW, last_ns)
    short = replace(KEYED, deduplication_window_ns=150 * MS)
    assert not is_window_open(short, NOW, NOW)
