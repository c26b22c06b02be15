"""Gossip messages between members and their encoding, small enough to be piggybacked on other messages.

    version (1)  kind (1)  sender (2)  its incarnation (2)  sequence (2)  subject (2)

then updates of 7 bytes each:

    member (2)  state (1)  incarnation (2)  reported by (2)

All numbers are unsigned and in network order. Members are identified by their numbers in the settings. A
message that can't be decoded, or has an unknown kind, is decoded as None. Updates with an unknown state are
skipped, and so are trailing bytes of a later version that do not fill an update.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

MAX_MESSAGE_BYTES = 256  # the platform's maximum message size
VERSION = 1
HEADER = struct.Struct("!BBHHHH")
UPDATE = struct.Struct("!HBHH")
MAX_UPDATES = (MAX_MESSAGE_BYTES - HEADER.size) // UPDATE.size
INCARNATION_COUNT = 1 << 16  # incarnations wrap around at this number


class MemberState(IntEnum):
    """The state of a member. Of two updates for one incarnation, the higher state takes precedence."""

    ALIVE = 0
    SUSPECT = 1  # the member did not acknowledge a probe, and has not refuted the suspicion yet
    UNREACHABLE = 2  # suspected for too long: it is sent no messages, but may be alive behind a partition
    LEFT = 3  # the member itself announced that it was leaving


class MessageKind(IntEnum):
    """The kind of a message."""

    PING = 1  # requests an acknowledgement
    ACK = 2  # `subject` has acknowledged the ping with this sequence number
    PING_REQUEST = 3  # requests a ping of `subject` on behalf of the sender
    UPDATES = 4  # carries only updates


class MemberUpdate(NamedTuple):
    """One statement about a member; `reported_by` is the member that made the observation itself.

    A suspicion is shortened if several members report it independently, but not if a report is only passed
    on. Each update therefore names its reporter.
    """

    member: int
    state: MemberState
    incarnation: int
    reported_by: int = 0

    @property
    def statement(self) -> tuple[int, int, int]:
        """The content of the update without its reporter."""
        return self.member, self.state, self.incarnation


class GossipMessage(NamedTuple):
    """One message between two members.

    Attributes:
        kind: The kind of the message.
        sender: The member that sent the message.
        incarnation: The sender's own incarnation.
        sequence: A number by which an acknowledgement is matched to its ping.
        subject: The member that the message is about.
        updates: The piggybacked member updates, at most `MAX_UPDATES`.
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
    """Returns whether an update replaces the known update about the same member."""
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
    """Returns the decoded message, or None if it is not of this version and a known kind."""
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
