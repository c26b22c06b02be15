"""When the answer to a request with a streamed body is due."""

from __future__ import annotations

from lanelift.policy.upload_deadline import MAX_HIDDEN_BYTES, OPEN_WINDOW_BYTES, UploadDeadline

MS = 1_000_000
WAIT = 600 * MS


def test_the_time_does_not_run_while_a_slow_client_has_not_finished() -> None:
    """A client pauses within its body, with nothing unread: its last byte is not written yet."""
    for length in (100_000, None):
        deadline = UploadDeadline(0, WAIT, length)
        for now in range(0, 5_000 * MS, 100 * MS):
            deadline.observe(now, 0, 10_000, 0, 0)
            assert deadline.due_ns == now + WAIT


def test_the_time_runs_from_the_arrival_of_a_last_byte_that_is_unread() -> None:
    """All of a body has arrived and part of it is unread, as the upstream accepts no more."""
    deadline = UploadDeadline(0, WAIT, 100_000)
    deadline.observe(900 * MS, 300 * MS, 90_000, 5_000, 5_000)
    assert deadline.due_ns == 300 * MS + WAIT
    deadline.observe(910 * MS, 300 * MS, 90_000, 4_000, 5_000)
    assert deadline.due_ns == 910 * MS + WAIT  # 1,000 bytes are still to come


def test_the_time_runs_from_when_the_client_may_have_been_held_up() -> None:
    """Much is unread, so the rest may be in the client's send buffer. Bytes that arrive later say nothing."""
    deadline = UploadDeadline(0, WAIT, 1_000_000)
    deadline.observe(100 * MS, 100 * MS, 0, 0, 1_000)
    for step in range(10):
        now = 200 * MS + step * 100 * MS
        deadline.observe(now, now, 10_000 * step, 0, OPEN_WINDOW_BYTES)
    assert deadline.due_ns == 100 * MS + WAIT
    deadline.complete(1_300 * MS)
    assert deadline.due_ns == 100 * MS + WAIT


def test_a_client_that_was_held_up_has_time_again_once_its_connection_stays_empty() -> None:
    """The upstream stalls for a while and then catches up: the client writes on at its own pace."""
    deadline = UploadDeadline(0, WAIT, 1_000_000)
    deadline.observe(100 * MS, 100 * MS, 0, 0, OPEN_WINDOW_BYTES)
    deadline.observe(200 * MS, 190 * MS, 500_000, 0, 0)
    assert deadline.due_ns == WAIT
    deadline.observe(225 * MS, 190 * MS, 500_000, 0, 0)
    assert deadline.due_ns == 225 * MS + WAIT


def test_a_body_larger_than_the_buffers_can_hold_is_still_being_written() -> None:
    """A client writes a huge body faster than it is read, and its buffer is always full."""
    deadline = UploadDeadline(0, WAIT, 32_000_000)
    for step in range(100):
        now = step * 50 * MS
        deadline.observe(now, now, step * MAX_HIDDEN_BYTES // 4, 0, OPEN_WINDOW_BYTES)
        assert deadline.due_ns > now
