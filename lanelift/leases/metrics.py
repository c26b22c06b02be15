"""Renders the metrics of one member's leases in Prometheus' text exposition format.

Operators read the names of metrics and labels (docs/operating/leases.md): they must not change.
"""

from __future__ import annotations

from collections.abc import Mapping

from lanelift.leases.acceptor import LeaseRecord
from lanelift.leases.member import VotingMember

MAX_LEASES_IN_METRICS = 64  # limits the leases in a scrape to keep it small; `lease list` shows all leases


def render(
    member: VotingMember | None,
    changes: int,
    rejections: int,
    datagrams: Mapping[str, int],
    now: int,
) -> str:
    """Returns the text of the metrics.

    Args:
        member: The voting member; None if this member does not vote.
        changes: Number of changes of a lease's holder that this voter saw.
        rejections: Number of requests that this voter rejected.
        datagrams: `DatagramTransport.counts`.
        now: This member's time in nanoseconds.
    """
    acceptor = member.acceptor if member is not None else None
    records = sorted(acceptor.leases.items()) if acceptor is not None else []
    held = [(name, record) for name, record in records if record.vote is not None]
    totals = {
        "lanelift_fleet_seated": int(member is not None and member.recovery.may_vote),
        "lanelift_lease_votes": len(held),
        "lanelift_lease_changes_total": changes,
        "lanelift_lease_refused_total": rejections,
    }
    lines = [f"{name} {value}" for name, value in totals.items()]
    for name, record in held[:MAX_LEASES_IN_METRICS]:
        lines += _lease_lines(name, record, now)
    lines += [
        f'lanelift_fleet_messages_total{{what="{what}"}} {count}' for what, count in sorted(datagrams.items())
    ]
    return "\n".join(lines) + "\n"


def _lease_lines(name: str, record: LeaseRecord, now: int) -> list[str]:
    vote = record.vote
    assert vote is not None
    label = f'{{lease="{_escaped(name)}",holder="{_escaped(vote.holder)}"}}'
    return [
        f"lanelift_lease_token{label} {vote.ballot}",
        f"lanelift_lease_held_seconds{label} {(now - vote.since_ns) / 1e9:.3f}",
        f"lanelift_lease_left_seconds{label} {max(0, vote.until_ns - now) / 1e9:.3f}",
        f"lanelift_lease_waiting{label} {len(record.queue)}",
    ]


def _escaped(text: str) -> str:
    """Returns a label's value with the escapes of the text format."""
    return text.replace("\\", "\\\\").replace('"', '\\"')
