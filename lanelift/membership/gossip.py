"""Gossip between members, as values and as bytes: small enough to ride on messages that are sent anyway.

    version (1)  kind (1)  sender (2)  its incarnation (2)  sequence (2)  subject (2)

then updates of 7 bytes each:

    member (2)  state (1)  incarnation (2)  reported by (2)

All numbers are unsigned and in network order. Members go by their numbers in the settings. A message that
can't be decoded is None; an unknown kind or state is skipped, and so is whatever a later version appends in
units of another size.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

MAX_MESSAGE_BYTES = 256  # the most that the platform's messages hold
VERSION = 1
HEADER = struct.Struct("!BBHHHH")
UPDATE = struct.Struct("!HBHH")
MAX_UPDATES = (MAX_MESSAGE_BYTES - HEADER.size) // UPDATE.size
INCARNATION_COUNT = 1 << 16  # incarnations wrap around after so many


class MemberState(IntEnum):
    """What is thought of a member. Of two updates for one incarnation the higher state holds."""

    ALIVE = 0
    SUSPECT = 1  # it did not acknowledge a probe, and has not refuted that yet
    UNREACHABLE = 2  # suspected for too long: it is passed over, and may live beyond a network partition
    LEFT = 3  # it said itself that it leaves


class MessageKind(IntEnum):
    """What a message asks for."""

    PING = 1  # acknowledge this
    ACK = 2  # `subject` acknowledged the ping of that sequence number
    PING_REQUEST = 3  # ping `subject` for the sender
    UPDATES = 4  # only the updates that it carries


class MemberUpdate(NamedTuple):
    """One statement about a member; `reported_by` is the member that saw it itself.

    Several members that suspect the same one count for more than one suspicion that was passed around: that
    is why an update names who reported it.
    """

    member: int
    state: MemberState
    incarnation: int
    reported_by: int = 0

    @property
    def statement(self) -> tuple[int, int, int]:
        """What it says, whoever reported it."""
        return self.member, self.state, self.incarnation


class GossipMessage(NamedTuple):
    """One message between two members.

    Attributes:
        kind: What it asks for.
        sender: The member that sent it.
        incarnation: The sender's own incarnation.
        sequence: Ties an acknowledgement to its ping.
        subject: The member that it is about.
        updates: Member updates that ride along, at most `MAX_UPDATES`.
    """

    kind: MessageKind
    sender: int
    incarnation: int
    sequence: int
    subject: int
    updates: tuple[MemberUpdate, ...] = ()


def is_later(incarnation: int, than: int) -> bool:
    """Returns whether one incarnation follows another, across the wrap-around (serial numbers, RFC 1982)."""
    return incarnation != than and (incarnation - than) % INCARNATION_COUNT < INCARNATION_COUNT // 2


def supersedes(update: MemberUpdate, known: MemberUpdate) -> bool:
    """Returns whether an update replaces what is known of the same member."""
    if is_later(update.incarnation, known.incarnation):
        return True
    return update.incarnation == known.incarnation and update.state > known.state


def encode(message: GossipMessage) -> bytes:
    """Returns the message in at most MAX_MESSAGE_BYTES bytes; updates that do not fit are left out."""
    header = HEADER.pack(
        VERSION,
        message.kind,
        message.sender,
        message.incarnation,
        message.sequence,
        message.subject,
    )
    return header + b"".join(UPDATE.pack(*update) for update in message.updates[:MAX_UPDATES])


def decode(data: bytes) -> GossipMessage | None:
    """Returns the message that these bytes hold; None for none of this version and of a known kind."""
    if len(data) < HEADER.size or len(data) > MAX_MESSAGE_BYTES:
        return None
    version, kind, sender, incarnation, sequence, subject = HEADER.unpack_from(data)
    if version != VERSION or kind not in MessageKind.__members__.values():
        return None
    updates = tuple(_decode_updates(data))
    return GossipMessage(MessageKind(kind), sender, incarnation, sequence, subject, updates)


def _decode_updates(data: bytes) -> Iterable[MemberUpdate]:
    for offset in range(HEADER.size, len(data) - UPDATE.size + 1, UPDATE.size):
        member, state, incarnation, reported_by = UPDATE.unpack_from(data, offset)
        if state in MemberState.__members__.values():
            yield MemberUpdate(member, MemberState(state), incarnation, reported_by)
