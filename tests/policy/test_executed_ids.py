"""The table of ids of requests that may have run."""

from __future__ import annotations

from lanelift.policy.executed_ids import (
    BUCKET_ENTRIES,
    BUCKETS,
    REMEMBERED_NS,
    TABLE_BYTES,
    ExecutedIds,
    digest_of,
)


def table() -> ExecutedIds:
    return ExecutedIds(memoryview(bytearray(TABLE_BYTES)))


def test_an_id_is_known_until_it_expires_or_is_removed() -> None:
    ids, digest = table(), digest_of("a")
    assert not ids.contains(digest, 1)
    ids.add(digest, 1)
    assert ids.contains(digest, REMEMBERED_NS)
    assert not ids.contains(digest, REMEMBERED_NS + 1)
    ids.add(digest, REMEMBERED_NS + 1)
    ids.remove(digest)
    assert not ids.contains(digest, REMEMBERED_NS + 2)


def test_the_newest_ids_are_known_however_many_there_are() -> None:
    ids = table()
    digests = [digest_of(str(number)) for number in range(3 * BUCKETS * BUCKET_ENTRIES)]
    for now, digest in enumerate(digests, 1):
        ids.add(digest, now)
    newest = digests[-BUCKETS:]
    assert all(ids.contains(digest, len(digests)) for digest in newest)
    assert len(ids.buffer) == TABLE_BYTES


def test_an_id_that_is_not_ascii_has_a_digest() -> None:
    assert digest_of("\u00e9\udc80") != digest_of("e")
