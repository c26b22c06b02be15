"""The bytes of membership messages, which members of other releases read and write as well.

A message has a version, a kind, the sender, its incarnation, a number and a subject, then updates of seven
bytes: a member, its state, its incarnation and the observer.
"""

from __future__ import annotations

from typing import Any

import pytest

from tests.pinned import names

PING, ACK, ASK, TELL = 1, 2, 3, 4
ALIVE, SUSPECT, SILENT, LEFT = 0, 1, 2, 3
MOST = 65_535

FULL_HEAD = "0101" + "0001" + "0002" + "0003" + "0004"
FULL_UPDATES = (
    "000000006400c8000101006500c9000202006600ca000303006700cb000400006800cc000501006900cd000602006a00ce"
    "000703006b00cf000800006c00d0000901006d00d1000a02006e00d2000b03006f00d3000c00007000d4000d01007100d5"
    "000e02007200d6000f03007300d7001000007400d8001101007500d9001202007600da001303007700db001400007800dc"
    "001501007900dd001602007a00de001703007b00df001800007c00e0001901007d00e1001a02007e00e2001b03007f00e3"
    "001c00008000e4001d01008100e5001e02008200e6001f03008300e7002000008400e8002101008500e9002202008600ea"
)
# 35 updates: member n in state n % 4, under incarnation n + 100, seen by n + 200
FULL = tuple((n, n % 4, n + 100, n + 200) for n in range(35))

# kind, sender, incarnation, number, subject, updates; and the bytes
MESSAGES: list[tuple[tuple[Any, ...], str]] = [
    ((PING, 0, 0, 0, 0, ()), "01010000000000000000"),
    ((PING, 3, 4, 5, 6, ()), "01010003000400050006"),
    ((ACK, 3, MOST, 1, 4095, ((7, ALIVE, 8, 9),)), "01020003ffff00010fff" + "00070000080009"),
    (
        (
            ASK,
            258,
            772,
            1286,
            1800,
            ((1, ALIVE, 2, 3), (4, SUSPECT, 5, 6), (7, SILENT, 8, 9), (10, LEFT, 11, 12)),
        ),
        "01030102030405060708" + "00010000020003" + "00040100050006" + "00070200080009" + "000a03000b000c",
    ),
    ((TELL, MOST, MOST, MOST, MOST, ((MOST, LEFT, MOST, MOST),)), "0104" + "ffff" * 4 + "ffff03ffffffff"),
    ((PING, 1, 2, 3, 4, FULL), FULL_HEAD + FULL_UPDATES),
]


@pytest.mark.parametrize(("values", "data"), MESSAGES)
def test_a_message_is_written_as_these_bytes(values: tuple[Any, ...], data: str) -> None:
    assert names.encode_gossip(*values).hex() == data


@pytest.mark.parametrize(("values", "data"), MESSAGES)
def test_these_bytes_are_read_as_this_message(values: tuple[Any, ...], data: str) -> None:
    assert names.decode_gossip(bytes.fromhex(data)) == values


def test_there_are_no_other_kinds_and_states() -> None:
    assert names.gossip_words() == ({PING, ACK, ASK, TELL}, {ALIVE, SUSPECT, SILENT, LEFT})


def test_updates_that_do_not_fit_are_left_out_from_the_last() -> None:
    more = (*FULL, (35, ALIVE, 1, 2), (36, LEFT, 1, 2))
    data = names.encode_gossip(PING, 1, 2, 3, 4, more)
    assert data.hex() == FULL_HEAD + FULL_UPDATES and len(data) == 255


@pytest.mark.parametrize(
    "data",
    [
        "",
        "010100030004000500",  # one byte shorter than the head of a message
        "00010003000400050006",  # version 0
        "02010003000400050006",  # version 2
        "01000003000400050006",  # kind 0
        "01050003000400050006",  # kind 5
        "01ff0003000400050006",
        "01010003000400050006" + "00" * 247,  # 257 bytes
    ],
)
def test_what_can_not_be_read_is_nothing(data: str) -> None:
    assert names.decode_gossip(bytes.fromhex(data)) is None


@pytest.mark.parametrize("tail", ["00", "00070000080009"[:-2], "000704000800ff", "0007ff00080009"])
def test_unknown_states_and_cut_updates_are_skipped(tail: str) -> None:
    head, known = "01040003000400050006", "00010100020003"
    read = (TELL, 3, 4, 5, 6, ((1, SUSPECT, 2, 3),))
    assert names.decode_gossip(bytes.fromhex(head + known + tail)) == read
    if len(tail) == 14:  # an update that is complete but invalid does not affect the next update
        assert names.decode_gossip(bytes.fromhex(head + tail + known)) == read


def test_a_message_of_the_largest_size_is_read() -> None:
    """The message has 256 bytes: the head, 35 updates, and one byte that belongs to no update."""
    data = bytes.fromhex(FULL_HEAD + FULL_UPDATES + "00")
    assert len(data) == 256
    assert names.decode_gossip(data) == (PING, 1, 2, 3, 4, FULL)


@pytest.mark.parametrize(
    ("update", "known", "replaces"),
    [
        ((1, ALIVE, 5, 1), (1, LEFT, 4, 1), True),
        ((1, LEFT, 4, 1), (1, ALIVE, 5, 1), False),
        ((1, SUSPECT, 5, 1), (1, ALIVE, 5, 1), True),
        ((1, SILENT, 5, 1), (1, SUSPECT, 5, 1), True),
        ((1, LEFT, 5, 1), (1, SILENT, 5, 1), True),
        ((1, ALIVE, 5, 1), (1, ALIVE, 5, 2), False),
        ((1, ALIVE, 0, 1), (1, LEFT, MOST, 1), True),  # incarnations wrap around
        ((1, ALIVE, 32_767, 1), (1, ALIVE, 0, 1), True),
        ((1, ALIVE, 32_768, 1), (1, ALIVE, 0, 1), False),
    ],
)
def test_which_of_two_updates_holds(update: tuple[int, ...], known: tuple[int, ...], replaces: bool) -> None:
    assert names.update_replaces(update, known) is replaces
