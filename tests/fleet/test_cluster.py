"""The inequalities of the timings, and the digest of the configuration that members must share."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.fleet.cluster import MAX_DRIFT, MS, ClusterConfiguration, LeaseTiming, Member, majority

ABC = tuple(Member(name, ("127.0.0.1", i + 1)) for i, name in enumerate("abc"))


@given(st.integers(1, 10**13), st.floats(0, MAX_DRIFT))
def test_a_holder_stops_before_any_voter_is_free(lease_ns: int, drift: float) -> None:
    """In true time a lease ends before the votes that gave the lease.

    The holder's clock is the slowest that is allowed, and the voters' clocks are the fastest.
    """
    timing = LeaseTiming(lease_ns=lease_ns, drift=drift)
    rounding = 1 + 1e-15 * lease_ns
    assert timing.validity_ns / (1 - drift) <= lease_ns / (1 + drift) + rounding
    assert timing.validity_ns / (1 - drift) <= timing.restart_quiet_ns / (1 + drift) + rounding


@pytest.mark.parametrize(
    ("timing", "key"),
    [
        (LeaseTiming(), ""),
        (LeaseTiming(drift=0.2), "drift_ppm"),
        (LeaseTiming(lease_ns=3000 * MS), "margin_ms"),
        (LeaseTiming(response_timeout_ns=3000 * MS), "answer_ms"),
    ],
)
def test_inconsistent_timings_are_named(timing: LeaseTiming, key: str) -> None:
    """An operator sets a margin or a timeout that leaves no time for renewals."""
    assert [found for found, *_ in timing.problems()] == ([key] if key else [])


def test_the_digest_covers_what_members_must_share() -> None:
    cluster = ClusterConfiguration("trust", ABC)
    moved = tuple(replace(m, address=("127.0.0.1", 99), zone="east") for m in reversed(ABC))
    assert (
        cluster.digest == ClusterConfiguration("trust", moved).digest
    )  # the digest leaves out addresses, zones and the order of members
    listed = ClusterConfiguration("trust", (*ABC[:2], replace(ABC[2], votes=False)))
    assert (
        listed.digest == ClusterConfiguration("trust", ABC[:2]).digest
    )  # the digest leaves out members that do not vote
    others = [
        ClusterConfiguration("bank", ABC),
        ClusterConfiguration("trust", ABC[:2]),
        ClusterConfiguration("trust", ABC, LeaseTiming(lease_ns=9000 * MS)),
        ClusterConfiguration("trust", ABC, LeaseTiming(drift=0.002)),
    ]
    assert len({cluster.digest, *(other.digest for other in others)}) == 1 + len(others)


def test_two_majorities_share_a_voter() -> None:
    assert all(2 * majority(n) > n and majority(n) <= n for n in range(1, 40))
