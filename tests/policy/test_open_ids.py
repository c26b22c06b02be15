"""The table of ids of open requests."""

from __future__ import annotations

from lanelift.policy.executed_ids import DIGEST_BYTES, digest_of
from lanelift.policy.open_ids import BUCKET_PLACES, FREE, TABLE_BYTES, OpenIds


def test_ids_are_kept_until_they_are_removed() -> None:
    ids = OpenIds(memoryview(bytearray(TABLE_BYTES)))
    digests = [digest_of(f"r{number}") for number in range(2_000)]
    for digest in digests:
        ids.add(digest)
    assert all(map(ids.contains, digests))
    for digest in digests[::2]:
        ids.remove(digest)
    assert not any(map(ids.contains, digests[::2])) and all(map(ids.contains, digests[1::2]))
    for digest in digests[1::2]:
        ids.remove(digest)
    assert bytes(ids.buffer) == bytes(TABLE_BYTES)


def test_a_full_bucket_keeps_what_it_has() -> None:
    """The table is bounded: an id for which there is no place is not kept, and takes no other's place."""
    ids = OpenIds(memoryview(bytearray(TABLE_BYTES)))
    digests = [bytes(4) + bytes([number] * 4) for number in range(1, BUCKET_PLACES + 2)]
    for digest in digests:
        ids.add(digest)
    assert all(map(ids.contains, digests[:-1])) and not ids.contains(digests[-1])
    ids.remove(digests[-1])
    ids.remove(digests[0])
    ids.add(digests[-1])
    assert ids.contains(digests[-1])


def test_a_digest_that_lies_across_two_places_is_not_found() -> None:
    ids = OpenIds(memoryview(bytearray(TABLE_BYTES)))
    wanted = bytes(4) + b"\x01\x02\x03\x04"
    half = DIGEST_BYTES // 2
    ids.buffer[: 2 * DIGEST_BYTES] = bytes(half) + wanted + bytes(half)
    assert not ids.contains(wanted)
    ids.buffer[: 2 * DIGEST_BYTES] = FREE + wanted
    assert ids.contains(wanted)
