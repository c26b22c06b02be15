"""Overdue attempts: when they are waited for, and whose fault they are."""

from __future__ import annotations

from lanelift.policy.settings import Limits
from tests.policy.book import (
    MS,
    READ,
    Desk,
    arrival,
    settings,
)


def test_an_attempt_is_waited_for_past_the_latency_objective() -> None:
    """Refused at the aim, a fifth of all clients asked once more for work that their upstreams were doing."""
    desk = Desk(settings(limits=Limits(may_cancel=True)))
    desk.give(arrival(1, desk.now, READ, wait_ns=READ.latency_objective_ns + 200 * MS))
    desk.advance(READ.latency_objective_ns + 100 * MS)
    assert desk.out() == [("r1", 0)] and not desk.answer
    desk.finish("r1")
    assert desk.answer == {"r1": "served"}


def test_a_late_replica_does_not_eject_an_upstream_for_its_own_lateness() -> None:
    """The check of an overdue attempt comes late: the response may lie here unread, and its upstream is
    not ejected.
    """
    for step_ns, barred in ((5 * MS, 1), (120 * MS, 0)):  # in time, and on one turn that comes late
        desk = Desk()
        desk.give(arrival(1, desk.now))
        desk.advance(120 * MS, step_ns)
        assert sum(s.ejected_until_ns > desk.now for s in desk.balancer.registry.upstreams.values()) == barred
