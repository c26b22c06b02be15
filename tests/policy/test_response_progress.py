"""When a streamed response must have ended, or have brought more bytes."""

from __future__ import annotations

import math

from lanelift.policy.response_progress import (
    LATE_ANSWER_GRACE_S,
    MIN_RATE_BYTES_PER_S,
    SHORT_RESPONSE_BYTES,
    response_due_s,
)

STARTED_S, TIMEOUT_S = 10.0, 10.6


def test_a_response_that_has_brought_little_is_due_soon_after_the_timeout() -> None:
    due_s = response_due_s(500, None, STARTED_S, TIMEOUT_S)
    assert due_s == TIMEOUT_S + LATE_ANSWER_GRACE_S


def test_the_more_a_response_of_unknown_length_has_brought_the_longer_it_may_pause() -> None:
    received = 50_000
    due_s = response_due_s(received, None, STARTED_S, TIMEOUT_S)
    assert due_s == STARTED_S + received / MIN_RATE_BYTES_PER_S + LATE_ANSWER_GRACE_S


def test_a_response_known_to_be_short_is_due_soon_after_the_timeout_whatever_it_has_brought() -> None:
    due_s = response_due_s(60_000, 64_000, STARTED_S, TIMEOUT_S)
    assert due_s == TIMEOUT_S + LATE_ANSWER_GRACE_S


def test_a_long_response_and_one_without_a_timeout_are_not_limited() -> None:
    assert response_due_s(SHORT_RESPONSE_BYTES + 1, None, STARTED_S, TIMEOUT_S) == math.inf
    assert response_due_s(0, SHORT_RESPONSE_BYTES + 1, STARTED_S, TIMEOUT_S) == math.inf
    assert response_due_s(500, None, STARTED_S, math.inf) == math.inf
