"""The encoding of messages: decoding returns the sent message, and rejects other bytes with a reason."""

from __future__ import annotations

import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.fleet.codec import (
    HEADER,
    MAGIC,
    MAX_DATAGRAM_BYTES,
    MessageDecodeError,
    UnknownMessageError,
    decode,
    encode,
)
from lanelift.fleet.messages import (
    MAX_LEASES_PER_PAGE,
    Accept,
    LeaseList,
    LeaseStatus,
    ListLeases,
    Message,
    Prepare,
    Release,
    Response,
    VoterStatus,
)

DIGEST = b"12345678"
MESSAGES: list[Message] = [
    Prepare("nightly", 7, 8, "p1", 9, 10, True),
    Accept("nightly", 7, 8, "p1", 9),
    Release("nightly", 7, 8, 9, "p2"),
    Response("nightly", 8, 9, "a", "held", 0, "p2", 6, 5, 4),
    ListLeases(1, "m"),
    LeaseList(1, "a", 0, [LeaseStatus("nightly", "p1", 7, 8, 9)], True),
    VoterStatus("a", 1, True, False, 65_536, True),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_decoding_returns_the_encoded_message(message: Message) -> None:
    assert decode(encode(DIGEST, message)) == (DIGEST, message)


def test_the_largest_message_fits_in_a_datagram() -> None:
    name, most = "x" * 64, 2**62 - 1
    seen = [LeaseStatus(name, name, most, most, 64) for _ in range(MAX_LEASES_PER_PAGE)]
    assert len(encode(DIGEST, LeaseList(most, name, most, seen, True))) > MAX_DATAGRAM_BYTES // 2
    with pytest.raises(ValueError, match="do not fit"):
        encode(DIGEST, LeaseList(most, name, most, seen * 2, True))


@given(st.binary(max_size=200))
def test_bytes_that_are_not_a_message_are_rejected(data: bytes) -> None:
    """The port may receive any datagram: decoding bytes that are not a message raises one error class."""
    with pytest.raises(MessageDecodeError):
        decode(data)


@given(st.sampled_from(MESSAGES), st.integers(0, 10_000), st.integers(1, 255))
def test_a_changed_byte_is_detected(message: Message, at: int, change: int) -> None:
    """A datagram is damaged by the network.

    The checksum detects it. If the digest of the cluster was changed, the transport drops the message as a
    message of another cluster.
    """
    data = bytearray(encode(DIGEST, message))
    at %= len(data)
    data[at] ^= change
    try:
        digest, same = decode(bytes(data))
    except MessageDecodeError:
        return
    assert digest != DIGEST and same == message  # the transport drops messages with another digest


def framed(body: bytes, version: int = 1) -> bytes:
    return HEADER.pack(MAGIC, version, DIGEST, zlib.crc32(body)) + body


def test_unknown_parts_of_messages_of_a_later_release_are_skipped() -> None:
    """Half of the members were upgraded, and send fields and kinds that this release does not know.

    Additional fields at the end are skipped; unknown kinds and versions raise an error class of their own.
    """
    longer = msgspec.msgpack.encode(["look", 5, "m", "more"])
    assert decode(framed(longer)) == (DIGEST, ListLeases(5, "m"))
    for data in (framed(msgspec.msgpack.encode(["rumour", 1])), framed(longer, version=2)):
        with pytest.raises(UnknownMessageError):
            decode(data)


@pytest.mark.parametrize("row", [["look", -1], ["look", 2**62], ["look", "1"], ["ask", "", 1, 1, "p", 1]])
def test_values_out_of_bounds_are_rejected(row: list[object]) -> None:
    """A message is well formed, but its numbers or names are out of bounds."""
    with pytest.raises(UnknownMessageError):
        decode(framed(msgspec.msgpack.encode(row)))
