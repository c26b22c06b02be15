"""The bytes of each message between the members of a fleet and the clients of leases.

While a fleet is upgraded, two releases run together, and each must be able to read the messages of the other.
A datagram is "LF", a version, the digest of the plan, a CRC-32 and a MessagePack array.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec
import pytest

from tests.pinned import names

DIGEST = b"12345678"
HEAD = "4c46" + "01" + "3132333435363738"  # magic, version, digest
LONGEST, MOST = "x" * 64, 2**62 - 1  # the longest name, the largest count
N, C = "d940" + "78" * 64, "cf3fffffffffffffff"  # LONGEST and MOST as MessagePack
SEEN = f"96a47365656e{N}{N}{C}{C}{C}"  # one lease in the largest view message
LEFT = f"92{N}a161"  # one former list of voters in the largest hello message

# kind, values in the order of fields, CRC-32, MessagePack
MESSAGES: list[tuple[str, tuple[Any, ...], str, str]] = [
    ("ask", ("nightly", 7, 8, "p1", 9, 10, True), "0e01f368", "98a361736ba76e696768746c790708a27031090ac3"),
    ("ask", ("n", 0, 0, "p", 0, 0, False), "3161cc41", "98a361736ba16e0000a1700000c2"),
    ("ask", (LONGEST, MOST, MOST, LONGEST, MOST, MOST, True), "84d40bc2", f"98a361736b{N}{C}{C}{N}{C}{C}c3"),
    ("take", ("nightly", 7, 8, "p1", 9), "d2eb7970", "96a474616b65a76e696768746c790708a2703109"),
    ("take", (LONGEST, MOST, MOST, LONGEST, MOST), "8e009a52", f"96a474616b65{N}{C}{C}{N}{C}"),
    ("release", ("nightly", 7, 8, 9, "p2"), "ebf94a2a", "96a772656c65617365a76e696768746c79070809a27032"),
    (
        "release",
        ("nightly", 127, 128, 65536, ""),
        "1ed9ab90",
        "96a772656c65617365a76e696768746c797fcc80ce00010000a0",
    ),
    ("release", (LONGEST, MOST, MOST, MOST, LONGEST), "134a3bcd", f"96a772656c65617365{N}{C}{C}{C}{N}"),
    (
        "answer",
        ("nightly", 8, 9, "a", "promised", 65535, "p2", 6, 5, 4),
        "0e79e4a0",
        "9ba6616e73776572a76e696768746c790809a161a870726f6d69736564cdffffa27032060504",
    ),
    (
        "answer",
        ("nightly", 8, 9, "a", "taken", 65535, "p2", 6, 5, 4),
        "0d9ff886",
        "9ba6616e73776572a76e696768746c790809a161a574616b656ecdffffa27032060504",
    ),
    (
        "answer",
        ("nightly", 8, 9, "a", "released", 65535, "p2", 6, 5, 4),
        "b9bc15ae",
        "9ba6616e73776572a76e696768746c790809a161a872656c6561736564cdffffa27032060504",
    ),
    (
        "answer",
        ("nightly", 8, 9, "a", "held", 65535, "p2", 6, 5, 4),
        "9c0410ab",
        "9ba6616e73776572a76e696768746c790809a161a468656c64cdffffa27032060504",
    ),
    (
        "answer",
        ("nightly", 8, 9, "a", "turn", 65535, "p2", 6, 5, 4),
        "55039d72",
        "9ba6616e73776572a76e696768746c790809a161a47475726ecdffffa27032060504",
    ),
    (
        "answer",
        ("nightly", 8, 9, "a", "behind", 65535, "p2", 6, 5, 4),
        "31dcd4b9",
        "9ba6616e73776572a76e696768746c790809a161a6626568696e64cdffffa27032060504",
    ),
    (
        "answer",
        ("nightly", 8, 9, "a", "silent", 65535, "p2", 6, 5, 4),
        "04ada7cc",
        "9ba6616e73776572a76e696768746c790809a161a673696c656e74cdffffa27032060504",
    ),
    (
        "answer",
        ("nightly", 8, 9, "a", "full", 65535, "p2", 6, 5, 4),
        "792db113",
        "9ba6616e73776572a76e696768746c790809a161a466756c6ccdffffa27032060504",
    ),
    (
        "answer",
        ("nightly", 8, 9, "a", "free", 65535, "p2", 6, 5, 4),
        "8aed4dd3",
        "9ba6616e73776572a76e696768746c790809a161a466726565cdffffa27032060504",
    ),
    (
        "answer",
        ("nightly", 8, 9, "a", "silent", 0, "", 0, 0, 0),
        "9b4a1a1b",
        "9ba6616e73776572a76e696768746c790809a161a673696c656e7400a0000000",
    ),
    (
        "answer",
        (LONGEST, MOST, MOST, LONGEST, "released", MOST, LONGEST, MOST, MOST, MOST),
        "d5565265",
        f"9ba6616e73776572{N}{C}{C}{N}a872656c6561736564{C}{N}{C}{C}{C}",
    ),
    ("look", (1, "m"), "fc3a72d9", "93a46c6f6f6b01a16d"),
    ("look", (0, ""), "e28cd4c7", "93a46c6f6f6b00a0"),
    ("look", (MOST, LONGEST), "2fa45801", f"93a46c6f6f6b{C}{N}"),
    (
        "view",
        (1, "a", 0, (("nightly", "p1", 7, 8, 9), ("weekly", "", 0, 0, 0)), True),
        "c866d5b5",
        "96a47669657701a161009296a47365656ea76e696768746c79a2703107080996a47365656ea67765656b6c79a0000000c3",
    ),
    ("view", (1, "a", 1000000000, (), False), "c14378e9", "96a47669657701a161ce3b9aca0090c2"),
    (
        "view",
        (MOST, LONGEST, MOST, ((LONGEST, LONGEST, MOST, MOST, MOST),) * 6, True),
        "7befe4be",
        f"96a476696577{C}{N}{C}96{SEEN * 6}c3",
    ),
    ("hello", ("a", 1, True, False, 65536, True, ()), "8638c256", "98a568656c6c6fa16101c3c2ce00010000c390"),
    (
        "hello",
        ("a", 1, False, True, 0, False, (("a", "b", "c"), ("b",))),
        "e1dee115",
        "98a568656c6c6fa16101c2c300c29293a161a162a16391a162",
    ),
    (
        "hello",
        (LONGEST, MOST, True, True, MOST, True, ((LONGEST, "a"),) * 6),
        "2eb11739",
        f"98a568656c6c6f{N}{C}c3c3{C}c396{LEFT * 6}",
    ),
]

# Messages whose last fields are omitted, as an earlier release may do, and all values with the defaults.
DEFAULTS: list[tuple[list[Any], tuple[Any, ...]]] = [
    (["ask", "n", 1, 2, "p", 3], ("n", 1, 2, "p", 3, 0, False)),
    (["ask", "n", 1, 2, "p", 3, 4], ("n", 1, 2, "p", 3, 4, False)),
    (["release", "n", 1, 2, 3], ("n", 1, 2, 3, "")),
    (["answer", "n", 1, 2, "a", "held"], ("n", 1, 2, "a", "held", 0, "", 0, 0, 0)),
    (["answer", "n", 1, 2, "a", "held", 3], ("n", 1, 2, "a", "held", 3, "", 0, 0, 0)),
    (["answer", "n", 1, 2, "a", "held", 3, "p"], ("n", 1, 2, "a", "held", 3, "p", 0, 0, 0)),
    (["answer", "n", 1, 2, "a", "held", 3, "p", 4], ("n", 1, 2, "a", "held", 3, "p", 4, 0, 0)),
    (["answer", "n", 1, 2, "a", "held", 3, "p", 4, 5], ("n", 1, 2, "a", "held", 3, "p", 4, 5, 0)),
    (["look", 1], (1, "")),
    (["view", 1, "a", 2, []], (1, "a", 2, (), False)),
    (["hello", "a", 1, True, False, 2], ("a", 1, True, False, 2, False, ())),
    (["hello", "a", 1, True, False, 2, True], ("a", 1, True, False, 2, True, ())),
]


def framed(row: object, version: int = 1, magic: bytes = b"LF") -> bytes:
    """Returns MessagePack in a frame of the given version."""
    body = msgspec.msgpack.encode(row)
    return magic + bytes([version]) + DIGEST + zlib.crc32(body).to_bytes(4, "big") + body


def hexes(row: tuple[str, tuple[Any, ...], str, str]) -> bytes:
    return bytes.fromhex(HEAD + row[2] + row[3])


@pytest.mark.parametrize("row", MESSAGES, ids=lambda row: f"{row[0]}-{row[2]}")
def test_a_message_is_written_as_these_bytes(row: tuple[str, tuple[Any, ...], str, str]) -> None:
    kind, values, *_ = row
    assert names.encode_fleet(DIGEST, kind, *values).hex() == hexes(row).hex()


@pytest.mark.parametrize("row", MESSAGES, ids=lambda row: f"{row[0]}-{row[2]}")
def test_these_bytes_are_read_as_this_message(row: tuple[str, tuple[Any, ...], str, str]) -> None:
    kind, values, *_ = row
    assert names.decode_fleet(hexes(row)) == (DIGEST, kind, values)


def test_every_kind_and_every_verdict_is_among_them() -> None:
    assert {kind for kind, *_ in MESSAGES} == names.message_kinds()
    verdicts = {values[4] for kind, values, *_ in MESSAGES if kind == "answer"}
    assert verdicts == set(names.verdict_words())
    assert verdicts == {
        *("promised", "taken", "released", "held", "turn", "behind", "silent", "full", "free"),
    }


@pytest.mark.parametrize(("row", "values"), DEFAULTS, ids=lambda row: f"{row[0]}-{len(row)}")
def test_fields_that_are_left_out_at_the_end_have_defaults(row: list[Any], values: tuple[Any, ...]) -> None:
    assert names.decode_fleet(framed(row)) == (DIGEST, row[0], values)
    # This release writes these fields even if they have their defaults.
    assert names.encode_fleet(DIGEST, *row) == framed([row[0], *values])


@pytest.mark.parametrize("row", MESSAGES, ids=lambda row: f"{row[0]}-{row[2]}")
def test_fields_that_a_later_release_adds_are_skipped(row: tuple[str, tuple[Any, ...], str, str]) -> None:
    kind, values, *_ = row
    longer = framed([*msgspec.msgpack.decode(bytes.fromhex(row[3])), "later", 1])
    assert names.decode_fleet(longer) == (DIGEST, kind, values)


def test_a_verdict_of_a_later_release_is_read_as_its_word() -> None:
    """An answer with an unknown verdict is still decoded; its receiver finds that the verdict is unknown."""
    row = ["answer", "nightly", 8, 9, "a", "postponed", 1, "p", 2, 3, 4]
    assert names.decode_fleet(framed(row)) == (DIGEST, "answer", tuple(row[1:]))


GOOD = framed(["look", 1, "m"])
BODY = msgspec.msgpack.encode(["look", 1, "m"])


def unchecked(body: bytes) -> bytes:
    """Returns a frame with the right checksum around a body of any bytes."""
    return b"LF\x01" + DIGEST + zlib.crc32(body).to_bytes(4, "big") + body


REFUSED: list[tuple[str, bytes, tuple[str, str]]] = [
    ("nothing", b"", ("garbage", "size")),
    ("a byte short of a head", GOOD[:14], ("garbage", "size")),
    ("a byte too many", GOOD.ljust(1201, b"\0"), ("garbage", "size")),
    ("the largest size", GOOD.ljust(1200, b"\0"), ("garbage", "checksum")),
    ("a head alone", unchecked(b""), ("garbage", "encoding")),
    ("other magic", framed(["look", 1, "m"], magic=b"LG"), ("garbage", "magic")),
    ("other magic and version", framed(["look", 1, "m"], 2, b"LG"), ("garbage", "magic")),
    ("version 0", framed(["look", 1, "m"], 0), ("unknown", "version")),
    ("version 2", framed(["look", 1, "m"], 2), ("unknown", "version")),
    ("version 2 and a wrong checksum", framed(["look"], 2)[:-1] + b"X", ("unknown", "version")),
    ("a wrong checksum", GOOD[:-1] + b"X", ("garbage", "checksum")),
    ("cut short", GOOD[:-1], ("garbage", "checksum")),
    ("cut short under its own checksum", unchecked(BODY[:-1]), ("garbage", "encoding")),
    ("bytes that follow", unchecked(BODY + b"\0"), ("garbage", "encoding")),
    ("no MessagePack", unchecked(b"\xc1"), ("garbage", "encoding")),
    ("another kind", framed(["rumour", 1]), ("unknown", "kind")),
    ("a kind in capitals", framed(["Look", 1]), ("unknown", "kind")),
    ("a lease's row alone", framed(["seen", "n", "p", 1, 2, 3]), ("unknown", "kind")),
    ("a map", framed({"type": "look", "number": 1}), ("unknown", "kind")),
    ("an empty array", framed([]), ("unknown", "kind")),
    ("a number", framed(7), ("unknown", "kind")),
    ("too few fields", framed(["take", "n", 1, 2, "p"]), ("unknown", "kind")),
    ("a count below 0", framed(["look", -1]), ("unknown", "kind")),
    ("a count too large", framed(["look", 2**62]), ("unknown", "kind")),
    ("a count as text", framed(["look", "1"]), ("unknown", "kind")),
    ("an empty name", framed(["take", "", 1, 2, "p", 3]), ("unknown", "kind")),
    ("a name too long", framed(["take", "x" * 65, 1, 2, "p", 3]), ("unknown", "kind")),
    ("a name with a space", framed(["take", "a b", 1, 2, "p", 3]), ("unknown", "kind")),
    ("a name with a new line", framed(["take", "a\n", 1, 2, "p", 3]), ("unknown", "kind")),
    ("a name that is not ASCII", framed(["take", "n\u00e4", 1, 2, "p", 3]), ("unknown", "kind")),
    ("an empty contender", framed(["ask", "n", 1, 2, "", 3]), ("unknown", "kind")),
    ("an empty voter", framed(["answer", "n", 1, 2, "", "held"]), ("unknown", "kind")),
    ("a verdict that is no text", framed(["answer", "n", 1, 2, "a", 3]), ("unknown", "kind")),
    ("seven leases", framed(["view", 1, "a", 0, [["seen", "n", "p", 1, 2, 3]] * 7]), ("unknown", "kind")),
    ("17 former lists", framed(["hello", "a", 1, True, True, 0, True, [["a"]] * 17]), ("unknown", "kind")),
    ("65 former voters", framed(["hello", "a", 1, True, True, 0, True, [["a"] * 65]]), ("unknown", "kind")),
    ("a flag as a number", framed(["hello", "a", 1, 1, False, 0]), ("unknown", "kind")),
]


@pytest.mark.parametrize(("data", "why"), [row[1:] for row in REFUSED], ids=[row[0] for row in REFUSED])
def test_what_is_no_message_is_dropped_under_this_word(data: bytes, why: tuple[str, str]) -> None:
    assert names.fleet_refusal(data) == why


def test_what_does_not_fit_a_datagram_is_not_written() -> None:
    row = (LONGEST, LONGEST, MOST, MOST, MOST)
    with pytest.raises(ValueError, match=r"^2072 bytes do not fit a datagram of 1200$"):
        names.encode_fleet(DIGEST, "view", MOST, LONGEST, MOST, (row,) * 12, True)


@pytest.mark.parametrize(
    ("voters", "about", "digest"),
    [
        ("abc", {}, "70ad1fe084793671"),
        ("cab", {}, "70ad1fe084793671"),  # the order of the voters does not change the digest
        ("abc", {"others": "de"}, "70ad1fe084793671"),  # members that do not vote do not change the digest
        ("abcd", {}, "3b21d47eb677e5f6"),
        (["ab", "c"], {}, "596747c0d435dabf"),
        ("abc", {"name": "trusu"}, "63afa4762cf3fadf"),
        ("abc", {"lease_ns": 10_000_000_001}, "48e8273aa61ed1c6"),
        ("abc", {"answer_ns": 250_000_001}, "cd03cc1cc148696e"),
        ("abc", {"margin_ns": 2_000_000_001}, "de993f91aef184b4"),
        ("abc", {"drift": 0.0}, "4702e27bff41d62e"),
        ("abc", {"drift": 1e-05}, "c081258d790f3fe7"),
        ([chr(33 + i) * 64 for i in range(64)], {"name": "x" * 64}, "a9c412567ff98cbd"),
    ],
)
def test_the_digest_of_a_plan(voters: Any, about: dict[str, Any], digest: str) -> None:
    """Members ignore messages with another digest, so that a changed digest would split a mixed fleet."""
    assert names.plan_digest(voters, **about).hex() == digest


def test_the_digest_of_a_plan_with_timings_by_default() -> None:
    assert names.default_plan_digest("trust", "abc").hex() == "70ad1fe084793671"
