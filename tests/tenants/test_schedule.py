"""When which directory is read: the two kinds in simulated time."""

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


def schedule(directories: int = 2, stamps: bool = True) -> Schedule:
    return Schedule(directories, 1.0, 60.0, 120.0, stamps)


def only(orders: list[ReadOrder]) -> ReadOrder:
    (order,) = orders
    return order


def begun(s: Schedule) -> Schedule:
    """With its first whole reading done at time 0."""
    s.done(only(s.orders(0.0, 0)), 0.0)
    return s


def test_first_a_whole_reading_then_changes() -> None:
    s = schedule()
    first = only(s.orders(0.0, 0))
    assert first == ReadOrder(ReadKind.FULL, 0, 120.0)
    assert s.orders(1.0, 0) == [] and s.next_s() == 120.0
    s.done(first, 5.0)
    assert s.next_s() == 6.0
    changes = only(s.orders(6.0, MARK_US))
    assert changes == ReadOrder(
        ReadKind.CHANGES, 0, 6.0 + PAGE_TIMEOUT_S, MARK_US - int(OVERLAP_S * 1e6), MARK_US
    )
    s.done(changes, 6.2)
    assert s.next_s() == 7.2


def test_a_long_whole_reading_holds_no_changes_up() -> None:
    s = begun(schedule())
    s.done(only(s.orders(1.0, 0)), 59.9)
    kinds = [order.kind for order in s.orders(60.9, 0)]
    assert kinds == [ReadKind.FULL, ReadKind.CHANGES]
    s.done(s.changes.order, 61.0)  # type: ignore[arg-type]
    assert only(s.orders(62.0, 0)).kind == ReadKind.CHANGES  # while the whole one goes on


def test_changes_go_on_to_the_next_directory_at_once_and_stay_there() -> None:
    s = begun(schedule())
    first = only(s.orders(1.0, 0))
    s.failed(first, 4.0)
    second = only(s.orders(4.0, 0))
    assert (first.source, second.source) == (0, 1)
    s.done(second, 4.1)
    assert only(s.orders(5.1, 0)).source == 1


def test_the_preferred_one_is_come_back_to_by_a_whole_reading() -> None:
    s = begun(schedule())
    s.failed(only(s.orders(1.0, 0)), 1.0)
    s.done(only(s.orders(1.0, 0)), 1.0)
    whole = next(order for order in s.orders(60.0, 0) if order.kind == ReadKind.FULL)
    assert whole.source == 0
    s.done(whole, 61.0)
    assert s.changes.source == 0


def test_all_directories_away() -> None:
    s = schedule(3)
    now, waits = 0.0, []
    for _ in range(8):
        for source in (0, 1, 2):
            order = only(s.orders(now, 0))
            assert order.source == source
            s.failed(order, now)
        due = s.next_s()
        assert due is not None
        waits.append(due - now)
        now = due
    assert waits == [*BACKOFF_S, *[BACKOFF_S[-1]] * 3]
    s.done(only(s.orders(now, 0)), now)
    assert s.full.failed_rounds == 0


def test_a_reading_that_takes_too_long_is_given_up() -> None:
    s = schedule()
    order = only(s.orders(0.0, 0))
    assert s.overdue(119.9) == [] and s.overdue(120.0) == [order]
    s.failed(order, 120.0)
    s.done(order, 121.0)  # its thread comes back after all: nobody listens
    assert only(s.orders(121.0, 0)).source == 1


def test_without_stamps_every_reading_is_whole() -> None:
    s = schedule(stamps=False)
    s.done(only(s.orders(0.0, 0)), 0.0)
    assert only(s.orders(1.0, 0)).kind == ReadKind.FULL


def test_a_directory_that_does_not_order_times_is_read_whole() -> None:
    s = begun(schedule())
    order = only(s.orders(1.0, 0))
    s.done(order, 1.0)
    assert not s.invalidate(order, 1.0, False)
    whole = only(s.orders(1.0, 0))  # at once: it may have been a removal
    assert whole.kind == ReadKind.FULL
    s.done(whole, 1.1)
    order = only(s.orders(2.1, 0))
    s.done(order, 2.1)
    assert s.invalidate(order, 2.1, False)
    s.done(only(s.orders(2.1, 0)), 2.2)
    assert [o.kind for o in s.orders(3.2, 0)] == [ReadKind.FULL]


def test_a_doubt_that_was_removed_leaves_nothing() -> None:
    s = begun(schedule())
    order = only(s.orders(1.0, 0))
    s.invalidate(order, 1.0, False)
    s.invalidate(order, 1.0, True)
    assert not s.invalidations


def test_a_mark_that_has_stood_is_not_read_again() -> None:
    s = begun(schedule())
    now = 1.0
    while (order := next(o for o in s.orders(now, MARK_US) if o.kind == ReadKind.CHANGES)).since_us < MARK_US:
        s.done(order, now)
        now += 1.0
    assert now == 1.0 + OVERLAP_S and order.since_us == MARK_US + 1_000_000
    s.done(order, now)
    order = next(o for o in s.orders(now + 1, 2 * MARK_US) if o.kind == ReadKind.CHANGES)  # a change
    assert order.since_us == 2 * MARK_US - int(OVERLAP_S * 1e6)


def test_a_stamp_from_the_future_is_no_mark() -> None:
    s = begun(schedule())
    for now in (1.0, 2.0, 100.0):
        order = next(o for o in s.orders(now, 10**18, MARK_US + int(now * 1e6)) if o.kind == ReadKind.CHANGES)
        assert order.since_us == MARK_US + int((now - OVERLAP_S) * 1e6)
        s.done(order, now)


def test_a_mass_of_changes_is_read_twice_and_no_more() -> None:
    s = begun(schedule())
    for now, any_new, since in ((1.0, True, 0), (2.0, False, 0), (3.0, False, MARK_US + 1_000_000)):
        order = only(s.orders(now, MARK_US))
        assert order.since_us == (since or MARK_US - int(OVERLAP_S * 1e6))
        s.done(order, now, LARGE_OVERLAP_ENTRIES + 1, any_new)


def test_each_page_of_changes_has_its_own_time() -> None:
    s = begun(schedule())
    order = only(s.orders(1.0, MARK_US))
    s.page_received(order, 10.0)
    assert s.overdue(1.0 + PAGE_TIMEOUT_S) == []
    (late,) = s.overdue(10.0 + PAGE_TIMEOUT_S)
    s.failed(late, 20.0)
    assert s.changes.order is None
    s.page_received(order, 21.0)  # it comes back after all
    s.done(order, 22.0)
    assert only(s.orders(22.0, 0)).source == 1


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 20.0)), max_size=60), st.integers(1, 4))
def test_whatever_happens_there_is_always_something_due(steps: list[tuple[bool, float]], count: int) -> None:
    s, now = schedule(count), 0.0
    for well, takes_s in steps:
        orders = s.orders(now, MARK_US)
        assert len({order.kind for order in orders}) == len(orders)
        now += takes_s
        for order in [o for o in (s.full.order, s.changes.order) if o]:
            if order.until_s <= now:
                assert order in s.overdue(now)
            (s.done if well else s.failed)(order, now)
        due = s.next_s()
        assert due is not None and due <= now + 60.0
        now = max(now, due)
