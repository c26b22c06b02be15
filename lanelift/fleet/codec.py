"""Messages as bytes, one datagram each.

    "LF"  version (1)  digest of the cluster (8)  CRC-32 of what follows (4)  MessagePack

Datagrams and not streams: only who still wants something sends it again, a member that is gone holds no
connection and no buffer, and a late message is judged by its ballot and not by its order.
"""

from __future__ import annotations

import struct
import zlib

import msgspec

from lanelift.errors import LaneliftError
from lanelift.fleet.messages import Message

MAGIC, VERSION = b"LF", 1
HEADER = struct.Struct("!2sB8sI")
MAX_DATAGRAM_BYTES = 1200  # fits any path without being fragmented

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class MessageDecodeError(LaneliftError):
    """Bytes that are no message.

    Attributes:
        reason: One word: "size", "magic", "version", "checksum", "kind" or "encoding". The metric
            `lanelift_fleet_messages_total` counts it under `what="dropped_REASON"`.
    """

    def __init__(self, reason: str) -> None:
        """Creates the error; the reason is its message as well."""
        super().__init__(reason)
        self.reason = reason


class UnknownMessageError(MessageDecodeError):
    """A message of another version, or of a kind that this release does not know: it is skipped.

    Its reason is "kind" as well for a kind that this release knows whose fields have values that are not
    allowed: a later release may have allowed them.
    """


def encode(digest: bytes, message: Message) -> bytes:
    """Returns the datagram of a message.

    Args:
        digest: The sender's `ClusterConfiguration.digest`.
        message: What is sent.

    Raises:
        ValueError: It does not fit a datagram.
    """
    body = _encoder.encode(message)
    if HEADER.size + len(body) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"{len(body)} bytes do not fit a datagram of {MAX_DATAGRAM_BYTES}")
    return HEADER.pack(MAGIC, VERSION, digest, zlib.crc32(body)) + body


def decode(data: bytes) -> tuple[bytes, Message]:
    """Returns the sender's digest, and the message.

    Raises:
        MessageDecodeError: These bytes are no message.
        UnknownMessageError: It may be a message of a later release.
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
