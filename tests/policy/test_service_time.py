"""Service time estimates of classes, from durations that may be too short to be measured."""

from __future__ import annotations

import pytest

from lanelift.policy.events import AttemptResult
from tests.policy.checked_balancer import MS, READ, CheckedBalancer, arrival


def serve(checked: CheckedBalancer, number: int, duration_ns: int) -> None:
    """Let a request arrive and be served, with the given duration in the report."""
    checked.handle(arrival(number, checked.now))
    checked.handle(checked.result(f"r{number}", 0, AttemptResult.OK)._replace(duration_ns=duration_ns))


def test_the_estimate_of_a_class_grows_after_a_first_response_that_took_no_measurable_time() -> None:
    """The duration of a fast response is 0 where the kernel's clock ticks while the response is read. The
    estimate stayed 0 for ever, as a sample counts as at most a multiple of the estimate.
    """
    checked = CheckedBalancer(upstream_count=1)
    serve(checked, 0, 0)
    for number in range(1, 100):
        serve(checked, number, 20 * MS)
    estimate_ns = checked.balancer.state.service_times.estimate_ns(READ, 0)
    assert estimate_ns == pytest.approx(20 * MS, rel=0.1)


def test_an_upstream_is_not_ejected_at_once_after_a_response_that_took_no_measurable_time() -> None:
    """With an estimate of 0 each attempt was overdue as soon as it had started. Such ejections were counted,
    so that a single failure then ejected the upstream for three seconds in place of a quarter of a second.
    """
    checked = CheckedBalancer(upstream_count=1)
    serve(checked, 0, 0)
    (upstream,) = checked.balancer.registry.upstreams.values()
    for number in range(1, 5):
        checked.handle(arrival(number, checked.now))
        checked.advance(MS // 2, MS // 4)
        assert upstream.consecutive_ejections == 0
        checked.finish(f"r{number}", AttemptResult.ERROR)
