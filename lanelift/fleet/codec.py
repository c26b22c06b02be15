"""Encodes messages as datagrams and decodes them, one message per datagram.

    "LF"  version (1)  digest of the cluster (8)  CRC-32 of what follows (4)  MessagePack

Messages are datagrams rather than streams for three reasons: a request is retransmitted only by a sender
that still wants a response, a member that has died holds no connection and no buffer, and a late message is
judged by its ballot rather than by its order.
"""

from __future__ import annotations

import struct
import zlib

import msgspec

from lanelift.errors import LaneliftError
from lanelift.fleet.messages import Message

MAGIC, VERSION = b"LF", 1
HEADER = struct.Struct("!2sB8sI")
MAX_DATAGRAM_BYTES = 1200  # a datagram of this size passes any path without being fragmented

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class MessageDecodeError(LaneliftError):
    """A datagram that is not a valid message.

    Attributes:
        reason: One word: "size", "magic", "version", "checksum", "kind" or "encoding". The metric
            `lanelift_fleet_messages_total` counts the datagram under `what="dropped_REASON"`.
    """

    def __init__(self, reason: str) -> None:
        """Creates the error with the reason as its message."""
        super().__init__(reason)
        self.reason = reason


class UnknownMessageError(MessageDecodeError):
    """A message of another version, or of a kind that this release does not know; receivers skip the message.

    The reason is also "kind" if the kind is known but a field has a value that is not allowed: a later
    release may allow the value.
    """


def encode(digest: bytes, message: Message) -> bytes:
    """Returns the datagram of a message.

    Args:
        digest: The sender's `ClusterConfiguration.digest`.
        message: The message to be sent.

    Raises:
        ValueError: The message does not fit in a datagram.
    """
    body = _encoder.encode(message)
    if HEADER.size + len(body) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"{len(body)} bytes do not fit a datagram of {MAX_DATAGRAM_BYTES}")
    return HEADER.pack(MAGIC, VERSION, digest, zlib.crc32(body)) + body


def decode(data: bytes) -> tuple[bytes, Message]:
    """Returns the sender's digest and the message.

    Raises:
        MessageDecodeError: The bytes are not a valid message.
        UnknownMessageError: The bytes may be a message of a later release.
    """
    if len(data) < HEADER.size or len(data) > MAX_DATAGRAM_BYTES:
        raise MessageDecodeError("size")
    magic, version, digest, checksum = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if magic != MAGIC:
        raise MessageDecodeError("magic")
    if version != VERSION:
        raise UnknownMessageError("version")
    if checksum != zlib.crc32(body):
        raise MessageDecodeError("checksum")
    try:
        return digest, _decoder.decode(body)
    except msgspec.ValidationError as error:
        raise UnknownMessageError("kind") from error
    except msgspec.DecodeError as error:
        raise MessageDecodeError("encoding") from error
