"""The schedule of full reads and reads of changes, in simulated time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lanelift.tenants.schedule import (
    BACKOFF_S,
    LARGE_OVERLAP_ENTRIES,
    OVERLAP_S,
    PAGE_TIMEOUT_S,
    ReadKind,
    ReadOrder,
    Schedule,
)

MARK_US = 1_000_000_000


def new_schedule(directories: int = 2, stamps: bool = True) -> Schedule:
    return Schedule(directories, 1.0, 60.0, 120.0, stamps)


def only(orders: list[ReadOrder]) -> ReadOrder:
    (order,) = orders
    return order


def changes_among(orders: list[ReadOrder]) -> ReadOrder:
    return next(order for order in orders if order.kind == ReadKind.CHANGES)


def after_first_full_read(schedule: Schedule) -> Schedule:
    """Return a schedule after its first full read, which was done at time 0."""
    schedule.done(only(schedule.start_due(0.0, 0)), 0.0)
    return schedule


def test_changes_are_read_after_the_first_full_read() -> None:
    schedule = new_schedule()
    first = only(schedule.start_due(0.0, 0))
    assert first == ReadOrder(ReadKind.FULL, 0, 120.0)
    assert schedule.start_due(1.0, 0) == [] and schedule.next_s() == 120.0
    schedule.done(first, 5.0)
    assert schedule.next_s() == 6.0
    changes = only(schedule.start_due(6.0, MARK_US))
    assert changes == ReadOrder(
        ReadKind.CHANGES, 0, 6.0 + PAGE_TIMEOUT_S, MARK_US - int(OVERLAP_S * 1e6), MARK_US
    )
    schedule.done(changes, 6.2)
    assert schedule.next_s() == 7.2


def test_a_long_full_read_does_not_delay_changes() -> None:
    """A full read takes a minute. Changes are read concurrently, at their own interval."""
    schedule = after_first_full_read(new_schedule())
    schedule.done(only(schedule.start_due(1.0, 0)), 59.9)
    kinds = [order.kind for order in schedule.start_due(60.9, 0)]
    assert kinds == [ReadKind.FULL, ReadKind.CHANGES]
    schedule.done(schedule.changes.order, 61.0)  # type: ignore[arg-type]
    assert only(schedule.start_due(62.0, 0)).kind == ReadKind.CHANGES  # while the full read goes on


def test_changes_go_on_to_the_next_directory_immediately_and_stay_there() -> None:
    """The preferred directory fails. Changes are read from the next directory without a wait, and from that
    directory from then on.
    """
    schedule = after_first_full_read(new_schedule())
    first = only(schedule.start_due(1.0, 0))
    schedule.failed(first, 4.0)
    second = only(schedule.start_due(4.0, 0))
    assert (first.source, second.source) == (0, 1)
    schedule.done(second, 4.1)
    assert only(schedule.start_due(5.1, 0)).source == 1


def test_a_full_read_returns_to_the_preferred_directory() -> None:
    schedule = after_first_full_read(new_schedule())
    schedule.failed(only(schedule.start_due(1.0, 0)), 1.0)
    schedule.done(only(schedule.start_due(1.0, 0)), 1.0)
    full_read = next(order for order in schedule.start_due(60.0, 0) if order.kind == ReadKind.FULL)
    assert full_read.source == 0
    schedule.done(full_read, 61.0)
    assert schedule.changes.source == 0


def test_all_directories_fail() -> None:
    """All directories fail in every round. Each round tries each directory once, and the wait between rounds
    grows to its maximum.
    """
    schedule = new_schedule(3)
    now, waits = 0.0, []
    for _ in range(8):
        for source in (0, 1, 2):
            order = only(schedule.start_due(now, 0))
            assert order.source == source
            schedule.failed(order, now)
        due = schedule.next_s()
        assert due is not None
        waits.append(due - now)
        now = due
    assert waits == [*BACKOFF_S, *[BACKOFF_S[-1]] * 3]
    schedule.done(only(schedule.start_due(now, 0)), now)
    assert schedule.full.failed_rounds == 0


def test_a_reading_that_takes_too_long_is_given_up() -> None:
    """A full read does not end in time. The schedule gives up the read, and ignores its late result."""
    schedule = new_schedule()
    order = only(schedule.start_due(0.0, 0))
    assert schedule.overdue(119.9) == [] and schedule.overdue(120.0) == [order]
    schedule.failed(order, 120.0)
    schedule.done(order, 121.0)  # the thread ends late: its result is ignored
    assert only(schedule.start_due(121.0, 0)).source == 1


def test_without_stamps_every_reading_is_full() -> None:
    schedule = new_schedule(stamps=False)
    schedule.done(only(schedule.start_due(0.0, 0)), 0.0)
    assert only(schedule.start_due(1.0, 0)).kind == ReadKind.FULL


def test_a_directory_that_finds_no_changes_by_time_gets_full_reads() -> None:
    """A directory accepts the search for changes and returns none, though it has matching entries. After the
    second such search the directory is always read in full.
    """
    schedule = after_first_full_read(new_schedule())
    order = only(schedule.start_due(1.0, 0))
    schedule.done(order, 1.0)
    assert not schedule.validate_changes(order, 1.0, False)
    # The full read is due now, as the last change may have been a removal.
    full_read = only(schedule.start_due(1.0, 0))
    assert full_read.kind == ReadKind.FULL
    schedule.done(full_read, 1.1)
    order = only(schedule.start_due(2.1, 0))
    schedule.done(order, 2.1)
    assert schedule.validate_changes(order, 2.1, False)
    schedule.done(only(schedule.start_due(2.1, 0)), 2.2)
    assert [o.kind for o in schedule.start_due(3.2, 0)] == [ReadKind.FULL]


def test_a_read_that_returns_an_entry_clears_the_invalid_reads() -> None:
    schedule = after_first_full_read(new_schedule())
    order = only(schedule.start_due(1.0, 0))
    schedule.validate_changes(order, 1.0, False)
    schedule.validate_changes(order, 1.0, True)
    assert not schedule.invalid_reads


def test_entries_at_an_old_mark_are_not_read_again() -> None:
    schedule = after_first_full_read(new_schedule())
    now = 1.0
    while (order := changes_among(schedule.start_due(now, MARK_US))).since_us < MARK_US:
        schedule.done(order, now)
        now += 1.0
    assert now == 1.0 + OVERLAP_S and order.since_us == MARK_US + 1_000_000
    schedule.done(order, now)
    order = changes_among(schedule.start_due(now + 1, 2 * MARK_US))  # after a change
    assert order.since_us == 2 * MARK_US - int(OVERLAP_S * 1e6)


def test_a_stamp_from_the_future_is_no_mark() -> None:
    """An entry has a stamp far in the future. Changes are still read from a time before the present."""
    schedule = after_first_full_read(new_schedule())
    for now in (1.0, 2.0, 100.0):
        order = next(
            o for o in schedule.start_due(now, 10**18, MARK_US + int(now * 1e6)) if o.kind == ReadKind.CHANGES
        )
        assert order.since_us == MARK_US + int((now - OVERLAP_S) * 1e6)
        schedule.done(order, now)


def test_a_mass_of_changes_is_read_only_twice() -> None:
    """Thousands of entries change in one second. The entries are read a second time because of late
    replication, and not again if the second read finds nothing new.
    """
    schedule = after_first_full_read(new_schedule())
    for now, any_new, since in ((1.0, True, 0), (2.0, False, 0), (3.0, False, MARK_US + 1_000_000)):
        order = only(schedule.start_due(now, MARK_US))
        assert order.since_us == (since or MARK_US - int(OVERLAP_S * 1e6))
        schedule.done(order, now, LARGE_OVERLAP_ENTRIES + 1, any_new)


def test_each_page_of_changes_has_its_own_timeout() -> None:
    """A read of changes has many pages. Each page has its own timeout. The result of a reading that was given
    up is ignored.
    """
    schedule = after_first_full_read(new_schedule())
    order = only(schedule.start_due(1.0, MARK_US))
    schedule.page_received(order, 10.0)
    assert schedule.overdue(1.0 + PAGE_TIMEOUT_S) == []
    (late,) = schedule.overdue(10.0 + PAGE_TIMEOUT_S)
    schedule.failed(late, 20.0)
    assert schedule.changes.order is None
    schedule.page_received(order, 21.0)  # the reading continues late
    schedule.done(order, 22.0)
    assert only(schedule.start_due(22.0, 0)).source == 1


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 20.0)), max_size=60), st.integers(1, 4))
def test_something_is_always_due_after_random_outcomes(steps: list[tuple[bool, float]], count: int) -> None:
    """Readings succeed and fail in any order, and take any time. The next reading is always due within a
    minute.
    """
    schedule, now = new_schedule(count), 0.0
    for succeeds, takes_s in steps:
        orders = schedule.start_due(now, MARK_US)
        assert len({order.kind for order in orders}) == len(orders)
        now += takes_s
        for order in [o for o in (schedule.full.order, schedule.changes.order) if o]:
            if order.until_s <= now:
                assert order in schedule.overdue(now)
            (schedule.done if succeeds else schedule.failed)(order, now)
        due = schedule.next_s()
        assert due is not None and due <= now + 60.0
        now = max(now, due)
