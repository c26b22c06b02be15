"""How long a connection to an upstream rests before it is used again."""

from __future__ import annotations

from lanelift.policy.connection_reuse import (
    DISTRUST_NS,
    MIN_SLOW_RESPONSES,
    QUICK_RESPONSE_NS,
    SETTLE_NS,
    UNTRUSTED_SETTLE_NS,
    ResponseTimes,
    UpstreamTrust,
)


def test_an_upstream_is_trusted_less_for_a_while_after_unrequested_bytes() -> None:
    trust = UpstreamTrust()
    assert trust.is_trusted(0) and trust.settle_ns(0) == SETTLE_NS
    trust.unrequested_bytes_received(100)
    assert not trust.is_trusted(100) and trust.settle_ns(100) == UNTRUSTED_SETTLE_NS
    trust.unrequested_bytes_received(200)  # the time begins again
    assert not trust.is_trusted(199 + DISTRUST_NS)
    assert trust.is_trusted(200 + DISTRUST_NS) and trust.settle_ns(200 + DISTRUST_NS) == SETTLE_NS


def test_responses_count_as_slow_only_after_many_slow_ones_in_a_row() -> None:
    """A quick response on a connection that has not settled would be dropped, and its request run again."""
    times = ResponseTimes()
    assert not times.are_slow
    for _ in range(MIN_SLOW_RESPONSES - 1):
        times.record(QUICK_RESPONSE_NS)
    assert not times.are_slow
    times.record(QUICK_RESPONSE_NS)
    assert times.are_slow
    times.record(QUICK_RESPONSE_NS - 1)
    assert not times.are_slow
    assert QUICK_RESPONSE_NS > SETTLE_NS
