"""Which upstreams of a list have gone, as a newer one is listed at their address.

Inputs: the listed upstreams with their addresses and start times, before and after an update. One address
belongs to one process. The process that started last has it; if that does not decide, the one that was listed
last has it, and then the one that is ready. Reason: work that is meant for the old upstream would reach the
new one, which is cold, and does not remember what the old one has done.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lanelift.policy.events import EndpointState


class ListedProcess(NamedTuple):
    """An upstream's entry, as far as it matters here.

    Attributes:
        id: The upstream's number.
        address: Where it listens.
        started_ns: When it started; 0 for long ago.
        state: Its state.
    """

    id: int
    address: tuple[str, int]
    started_ns: int
    state: EndpointState


def replaced_upstreams(
    before: Mapping[int, ListedProcess], updated: Iterable[ListedProcess], is_snapshot: bool
) -> dict[int, int]:
    """Return the numbers of the upstreams that have gone, each with that of the one that has its address.

    Args:
        before: The listed upstreams before the update.
        updated: The entries of the update.
        is_snapshot: Whether the update names all upstreams.
    """
    after = {} if is_snapshot else dict(before)
    for process in updated:
        after.pop(process.id, None)
        if process.state is not EndpointState.REMOVED:
            after[process.id] = process
    owners: dict[tuple[str, int], ListedProcess] = {}
    replaced: dict[int, int] = {}
    for process in after.values():
        other = owners.get(process.address)
        if other is None:
            owners[process.address] = process
            continue
        loser, winner = sorted((other, process), key=lambda each: _precedence(each, before))
        owners[process.address] = winner
        replaced[loser.id] = winner.id
    return replaced


def _precedence(process: ListedProcess, before: Mapping[int, ListedProcess]) -> tuple[int, bool, bool]:
    known = before.get(process.id)
    is_new = known is None or known.address != process.address
    return process.started_ns, is_new, process.state is EndpointState.READY
