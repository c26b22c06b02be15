"""Peer load: each attempt is announced to the replicas that share its upstream.

Inputs: how many replicas share an upstream, the price of a message, the attempt's upstream and work, and
messages from other replicas. Attempts are announced if peer messages are allowed, load probes are not used,
an upstream is shared by at most `MAX_RECIPIENTS` other replicas, and the messages for one attempt cost at
most `MAX_ANNOUNCEMENT_PRICE` of a request's value. Reason: a replica's own attempts show little of an
upstream's queued work, but each message costs CPU time on both sides.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping, Sequence

from lanelift.policy.actions import Action, SendPeerMessage
from lanelift.policy.events import PeerMessageReceived
from lanelift.policy.settings import Settings
from lanelift.policy.upstreams import Upstream

ATTEMPT_STARTED = struct.Struct(">BQH")  # kind of message, upstream, work in units
KIND_ATTEMPT_STARTED = 1
WORK_UNIT_NS = 100_000
MAX_WORK_UNITS = 0xFFFF
MAX_RECIPIENTS = 12
# Largest price of the messages for one attempt, as a share of a request's value.
MAX_ANNOUNCEMENT_PRICE = 0.005
PRICED_MESSAGE_BYTES = 256  # message size, in bytes, that the price of a peer message is stated for


class PeerLoad:
    """Announces this replica's attempts, and records the announced attempts of other replicas.

    Attributes:
        enabled: Whether attempts are announced.
        upstreams: The registry's upstreams, by number.
    """

    __slots__ = ("enabled", "load_probing", "settings", "upstreams")

    def __init__(self, settings: Settings, load_probing: bool, upstreams: Mapping[int, Upstream]) -> None:
        self.settings = settings
        self.load_probing = load_probing
        self.upstreams = upstreams
        self.enabled = False

    def set_degree(self, degree: int) -> None:
        """Decide whether to announce attempts, given how many replicas share an upstream."""
        settings, recipients = self.settings, degree - 1
        self.enabled = (
            settings.limits.peer_messages
            and not self.load_probing
            and 0 < recipients <= MAX_RECIPIENTS
            and settings.prices.peer * recipients * ATTEMPT_STARTED.size / PRICED_MESSAGE_BYTES
            <= MAX_ANNOUNCEMENT_PRICE
        )

    def announce(self, upstream: Upstream, members: Sequence[int], work_ns: float) -> list[Action]:
        """Return the messages that announce an attempt to the other replicas that share its upstream."""
        units = max(1, min(MAX_WORK_UNITS, int(work_ns / WORK_UNIT_NS)))
        data = ATTEMPT_STARTED.pack(KIND_ATTEMPT_STARTED, upstream.id, units)
        return [SendPeerMessage(data, replica) for replica in members if replica != self.settings.replica]

    def receive(self, event: PeerMessageReceived, now: int) -> None:
        """Add the work of an attempt that another replica announced; ignore messages of other kinds."""
        if len(event.data) != ATTEMPT_STARTED.size:
            return
        kind, number, units = ATTEMPT_STARTED.unpack(event.data)
        upstream = self.upstreams.get(number)
        if kind == KIND_ATTEMPT_STARTED and upstream is not None:
            upstream.reserve(event.received_ns or now, units * WORK_UNIT_NS)
