"""The box model: it agrees with queueing theory, warms up along its specified curve and fails from overload
by its specified rule."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanelift.standins.box import SECOND, WARM_STEPS, Box, BoxSpec
from lanelift.standins.seeded_random import exponential, keyed_digest, lognormal, unit

MS = 1_000_000
ENDLESS = 1 << 62


def play(box: Box, jobs: list[tuple[int, int]]) -> dict[str, int]:
    """Offers jobs, given as (arrival, work). Returns how long each accepted job was in the system."""
    arrived: dict[str, int] = {}
    time_in_system: dict[str, int] = {}
    for i, (at, work) in enumerate(jobs):
        for done in box.advance(at):
            time_in_system[done.job] = done.at_ns - arrived[done.job]
        if box.offer(str(i), work, at):
            arrived[str(i)] = at
    for done in box.advance(ENDLESS):
        time_in_system[done.job] = done.at_ns - arrived[done.job]
    return time_in_system


def mean_wait(load: float, cv2: float, count: int, seed: int) -> float:
    """Returns mean wait divided by mean work, for one server, first come first served, Poisson arrivals."""
    rng = random.Random(seed)
    box = Box(BoxSpec(queue=10_000_000), 0)
    now, jobs = 0.0, []
    mean = 10 * MS
    for i in range(count):
        now += rng.expovariate(load / mean)
        work = rng.expovariate(1 / mean) if cv2 == 1 else lognormal(mean, cv2**0.5, seed, i)
        jobs.append((int(now), max(1, int(work))))
    time_in_system = play(box, jobs)
    assert len(time_in_system) == count
    return sum(time_in_system[str(i)] - work for i, (_, work) in enumerate(jobs)) / count / mean


@pytest.mark.parametrize(("load", "count"), [(0.5, 200_000), (0.7, 300_000), (0.9, 1_500_000)])
@pytest.mark.parametrize("cv2", [0.0, 1.0, 0.4])
def test_mean_waits_follow_pollaczek_khinchine(load: float, count: int, cv2: float, long_runs: bool) -> None:
    """The mean wait is W = rho (1 + cv^2) / (2 (1 - rho)) times the mean work (M/M/1 if cv = 1). The long run
    has to agree within 3%, and the short run, which has a tenth of the jobs, within 9%."""
    count, within = (count, 0.03) if long_runs else (count // 10, 0.09)
    expected = load * (1 + cv2) / (2 * (1 - load))
    waits = [mean_wait(load, cv2, count, seed) for seed in (1, 2)]
    assert sum(waits) / len(waits) == pytest.approx(expected, rel=within)


def test_jobs_share_the_cores_and_none_has_more_than_one() -> None:
    spec = BoxSpec(cores=2, slots=4, queue=0)
    assert play(Box(spec, 0), [(0, 10 * MS)]) == {"0": 10 * MS}
    assert play(Box(spec, 0), [(0, 10 * MS)] * 4) == {str(i): 20 * MS for i in range(4)}
    # The fifth job is rejected, as all slots are taken and the queue has no places.
    assert set(play(Box(spec, 0), [(0, 10 * MS)] * 5)) == set("0123")


def test_holding_many_jobs_lowers_the_capacity() -> None:
    spec = BoxSpec(queue=10, thrash=0.1, thrash_at=2)
    box = Box(spec, 0)
    for i in range(5):
        assert box.offer(str(i), 10 * MS, 0)
    assert box.capacity == pytest.approx(1 / 1.3)
    assert [d.at_ns for d in box.advance(ENDLESS)] == pytest.approx(
        [13 * MS, 25 * MS, 36 * MS, 46 * MS, 56 * MS], abs=10
    )


@pytest.mark.parametrize("held_when", ["before", "during"])
def test_a_freeze_delays_all_jobs_by_its_length(held_when: str) -> None:
    box = Box(BoxSpec(), 0)
    if held_when == "before":
        assert box.offer("a", 10 * MS, 0)
        box.freeze(104 * MS, 4 * MS)
        box.freeze(50 * MS, 8 * MS)  # this freeze lies within the first one and adds no delay
        assert box.advance(50 * MS) == [] and box.frozen
    else:
        box.freeze(104 * MS, 0)
        assert box.offer("a", 10 * MS, 6 * MS)
        assert box.next_ns() == 104 * MS
    end = 110 * MS if held_when == "before" else 114 * MS
    assert [(d.job, d.at_ns) for d in box.advance(ENDLESS)] == [("a", end)]


def test_another_program_takes_its_share_of_the_machine() -> None:
    box = Box(BoxSpec(), 0)
    box.offer("a", 10 * MS, 0)
    box.set_stolen_share(0.5, 5 * MS)
    assert [d.at_ns for d in box.advance(ENDLESS)] == [15 * MS]


def test_probes_delay_the_running_jobs() -> None:
    box = Box(BoxSpec(cores=2, slots=2), 0)
    box.charge(5 * MS, 0)  # the box is idle, so that the charged work delays no job
    box.offer("a", 10 * MS, 0)
    box.offer("b", 20 * MS, 0)
    box.charge(4 * MS, MS)
    assert [(d.job, d.at_ns) for d in box.advance(ENDLESS)] == [("a", 12 * MS), ("b", 22 * MS)]


def test_only_the_waiting_job_of_a_caller_that_disconnects_is_dropped() -> None:
    for drops in (True, False):
        box = Box(BoxSpec(drops_queued=drops), 0)
        for job in "abc":
            box.offer(job, 10 * MS, 0)
        assert box.drop("a", MS) is False  # a running job continues
        assert box.drop("b", MS) is drops
        assert [d.job for d in box.advance(ENDLESS)] == (["a", "c"] if drops else ["a", "b", "c"])


@pytest.mark.parametrize("busy", [False, True])
@pytest.mark.parametrize("by_work", [False, True])
def test_a_cold_box_warms_up_along_the_specified_curve(busy: bool, by_work: bool) -> None:
    """Warming by time is a linear ramp. Warming by work is never slower, and the same in an idle box."""
    spec = BoxSpec(
        queue=100_000, cold_from=0.4, cold_ns=8 * SECOND, warm_by_work=by_work, overload_multiple=1e9
    )
    box = Box(spec, 0, cold=True)
    if busy:
        for i in range(2000):
            box.offer(str(i), 10 * MS, 0)
    done = 0
    for tenth in range(1, 101):
        now = tenth * SECOND // 10
        done += len(box.advance(now))
        even = min(1.0, 0.4 + 0.6 * tenth / 80)
        if by_work and busy:
            assert box.warmth >= even - 0.6 / WARM_STEPS
        else:
            assert box.warmth == pytest.approx(even, abs=0.6 / WARM_STEPS)
    # The work done is the area under the curve: 8 s at 0.7 of the capacity, then 2 s at the full capacity.
    if busy and not by_work:
        assert done * 0.01 == pytest.approx(0.7 * 8 + 2, rel=0.01)
    if busy and by_work:
        assert 0.7 * 8 + 2 < done * 0.01 < 10


@pytest.mark.parametrize(("multiple", "fails"), [(2.4, False), (2.7, True)])
def test_a_cold_box_fails_when_overloaded(multiple: float, fails: bool) -> None:
    """The offered load is a steady multiple of the present capacity, for longer than the specified window."""
    spec = BoxSpec(cold_from=0.3, cold_ns=60 * SECOND, overload_multiple=2.5, overload_window_ns=1500 * MS)
    box = Box(spec, 0, cold=True)
    now = 0
    while now < 20 * SECOND and not box.overloaded_ns:
        box.advance(now)
        box.offer(str(now), 10 * MS, now)
        now += int(10 * MS / (multiple * box.warmth))
    assert bool(box.overloaded_ns) is fails
    if fails:
        assert 1000 * MS < box.overloaded_ns < 1800 * MS
        assert box.offer("late", MS, now + 60 * SECOND) is False and box.next_ns() is None


def test_a_warm_box_does_not_fail_from_overload() -> None:
    box = Box(BoxSpec(cold_ns=SECOND, queue=3), 0)
    assert sum(box.offer(str(i), SECOND, 0) for i in range(1000)) == 4 and not box.overloaded_ns


SPECS = st.builds(
    BoxSpec,
    cores=st.integers(1, 3),
    slots=st.integers(1, 4),
    queue=st.integers(0, 5),
    speed=st.sampled_from([0.5, 1.0, 2.0]),
    thrash=st.sampled_from([0.0, 0.1]),
    thrash_at=st.just(2.0),
    cold_from=st.just(0.3),
    cold_ns=st.sampled_from([0, 20 * MS, 200 * MS]),
    warm_by_work=st.booleans(),
    overload_multiple=st.just(1e9),
    drops_queued=st.booleans(),
)
KINDS = st.sampled_from(["offer", "drop", "freeze", "share", "look"])
GAPS, VALUES = st.integers(0, 20 * MS), st.integers(1, 30 * MS)
EVENTS = st.lists(st.tuples(KINDS, GAPS, VALUES), max_size=30)


@settings(max_examples=200, deadline=None)
@given(SPECS, st.booleans(), EVENTS)
def test_each_job_ends_once_and_no_faster_than_the_capacity_allows(
    spec: BoxSpec, cold: bool, events: list[tuple[str, int, int]]
) -> None:
    box = Box(spec, 0, cold)
    now = 0
    arrived: dict[str, tuple[int, int]] = {}
    dropped: set[str] = set()
    ended: dict[str, int] = {}

    def collect() -> None:
        for done in box.advance(now):
            assert done.job not in ended and arrived[done.job][0] <= done.at_ns <= now
            ended[done.job] = done.at_ns

    for i, (kind, gap, value) in enumerate(events):
        now += gap
        collect()
        if kind == "offer" and box.offer(str(i), value, now):
            arrived[str(i)] = (now, value)
        elif kind == "drop" and arrived:
            job = list(arrived)[value % len(arrived)]
            if job not in ended and box.drop(job, now):
                dropped.add(job)
        elif kind == "freeze":
            box.freeze(now + value, now)
        elif kind == "share":
            box.set_stolen_share(value / (60 * MS), now)
        assert len(box.running) <= spec.slots and len(box.waiting) <= spec.queue
        assert box.held == len(arrived) - len(ended) - len(dropped)
    now += 100 * SECOND
    collect()
    assert set(arrived) - dropped == set(ended)
    for job, at in ended.items():
        since, work = arrived[job]
        assert at - since >= int(work / spec.speed) - 2
    if ended:
        span = max(ended.values()) - min(since for since, _ in arrived.values())
        assert sum(arrived[job][1] for job in ended) <= spec.cores * spec.speed * span + 10 * len(ended)


@given(SPECS, st.lists(st.tuples(GAPS, VALUES), max_size=20), st.integers(1, 7))
@settings(max_examples=100, deadline=None)
def test_calling_advance_more_often_changes_nothing(
    spec: BoxSpec, gaps: list[tuple[int, int]], parts: int
) -> None:
    jobs, now = [], 0
    for gap, work in gaps:
        now += gap
        jobs.append((now, work))
    sampled = Box(spec, 0, cold=True)
    arrived: dict[str, int] = {}
    time_in_system: dict[str, int] = {}
    last = 0
    for i, (at, work) in enumerate([*jobs, (now + 100 * SECOND, 0)]):
        for part in range(1, parts + 1):
            for done in sampled.advance(last + (at - last) * part // parts):
                time_in_system[done.job] = done.at_ns - arrived[done.job]
        last = at
        if work and sampled.offer(str(i), work, at):
            arrived[str(i)] = at
    plain = play(Box(spec, 0, cold=True), jobs)
    assert time_in_system.keys() == plain.keys()
    for job, time in plain.items():
        assert abs(time_in_system[job] - time) <= 64 * 30  # each call rounds to whole ns


def test_random_values_depend_only_on_seed_and_name() -> None:
    assert unit(1, "a", 2) == unit(1, "a", 2) != unit(1, "a", 3)
    assert unit(1, "ab", "c") != unit(1, "a", "bc") and unit(1, "a") != unit(2, "a")
    assert keyed_digest(1, "a") != keyed_digest(2, "a") and len(keyed_digest(1, "a")) == 16
    n = 20_000
    assert sum(exponential(3, 1, i) for i in range(n)) / n == pytest.approx(3, rel=0.03)
    logs = [lognormal(3, 0.6, 1, i) for i in range(n)]
    mean = sum(logs) / n
    assert mean == pytest.approx(3, rel=0.03)
    assert (sum((x - mean) ** 2 for x in logs) / n) ** 0.5 / mean == pytest.approx(0.6, rel=0.05)
    assert lognormal(3, 0, 1, "x") == 3 and replace(BoxSpec(), cores=2).cores == 2
