"""Starts of voters, and the state files that they left on disk, in `state/`.

    python -m tests.pinned.state_files --write     record the files that the present code writes

The files were written by the code of commit e44f7ed. A later release must start from them, and write the same
bytes, because a member may be put back to the previous release. If the files have to be written again, their
format has changed.
"""

from __future__ import annotations

import argparse
import shutil
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.pinned import names

FOLDER = Path(__file__).with_name("state")
MEMBER = "a"
BLOCK = 65_536  # one write of the state file reserves this many ballots


def heard(
    voter: str, voting: bool, blank: bool, floor: int = 0, left: tuple[tuple[str, ...], ...] = ()
) -> dict[str, Any]:
    """Returns the answer of another voter."""
    return {"voter": voter, "voting": voting, "blank": blank, "floor": floor, "left": left}


@dataclass(frozen=True)
class Start:
    """One start of voter `a`. `before` and `after` are files of the folder; "" is an empty disk.

    `votes` is whether the voter may vote afterwards, `silent_ns` how long it is silent after its start, and
    `base` the ballot above which it votes.
    """

    before: str
    after: str
    voters: str
    lease_ms: int
    heard: tuple[dict[str, Any], ...]
    votes: bool
    silent_ns: int | None
    base: int
    wanted: int = 0  # a ballot for which the voter finally reserves a block; 0 for none


S = 1_000_000_000
STARTS = [
    # The disk is empty and no voter answers: the voter has its plan, and knows no ballot.
    Start("", "blank", "abc", 1000, (), False, None, 0),
    # All other voters answer, and they are new as well.
    Start("", "fresh", "abc", 1000, (heard("b", False, True), heard("c", False, True)), True, S, 0),
    Start("blank", "fresh", "abc", 1000, (heard("b", False, True), heard("c", False, True)), True, S, 0),
    # The disk was lost, and two voters know the highest ballot.
    Start(
        "blank",
        "recovered",
        "abc",
        1000,
        (heard("b", True, False, 5 * BLOCK), heard("c", True, False, 7 * BLOCK)),
        True,
        S,
        7 * BLOCK,
    ),
    # A restart under the same plan: the voter begins above all ballots that it may have promised.
    Start("fresh", "restarted", "abc", 1000, (), True, S, BLOCK),
    # After a change of the list of voters, the voter waits for a majority of the former voters.
    Start("fresh", "moved", "abcde", 1000, (), False, None, 0),
    Start("moved", "moved", "abcde", 1000, (heard("d", False, True),), False, None, 0),
    Start("moved", "arrived", "abcde", 1000, (heard("b", True, False, 3 * BLOCK),), True, S, 3 * BLOCK),
    # The answering voter b has a former list of b and f; a majority of that list may still exist.
    Start(
        "moved",
        "moved",
        "abcde",
        1000,
        (heard("b", False, False, 3 * BLOCK, (("b", "f"),)),),
        False,
        None,
        0,
    ),
    # While the voter still waits, the list of voters changes to a third list, and then back to the first.
    Start("moved", "moved-twice", "abd", 1000, (), False, None, 0),
    Start("moved-twice", "moved-back", "abc", 1000, (), False, None, 0),
    # A blank voter changes its list: it knows no ballot under either list.
    Start("blank", "blank-moved", "abd", 1000, (), False, None, 0),
    # Leases last 5 s at first, then 1 s: the voter is still silent for 5 s, even if it restarts in between.
    Start("", "long", "abc", 5000, (heard("b", False, True), heard("c", False, True)), True, 5 * S, 0),
    Start(
        "long",
        "shortened",
        "abc",
        1000,
        (heard("b", False, False, BLOCK),),
        True,
        5 * S,
        BLOCK,
    ),
    Start("shortened", "shortened-restarted", "abc", 1000, (), True, 5 * S, 2 * BLOCK),
    # When the ballots of a block are used up, the voter reserves another block. It then drops from the file
    # a longer silence that it has kept.
    Start("fresh", "next-block", "abc", 1000, (), True, S, BLOCK, wanted=200_000),
    Start("shortened", "shortened-next-block", "abc", 1000, (), True, 5 * S, 2 * BLOCK, wanted=200_000),
]

# Contents that no short run writes to a file: the largest values, and names that JSON must escape.
LONGEST = "x" * 64
VALUES: dict[str, dict[str, Any]] = {
    "largest": {
        "digest": "ff" * 8,
        "voters": tuple(f"{n:03}{LONGEST[3:]}" for n in range(64)),
        "silence_ns": 2**62 - 1,
        "ceiling": 2**63 - 1,
        "left": tuple((f"{n}{LONGEST[1:]}", LONGEST) for n in range(8)),
        "blank": True,
    },
    "smallest": {
        "digest": "",
        "voters": (),
        "silence_ns": 0,
        "ceiling": 0,
        "left": (),
        "blank": False,
    },
    "escaped": {
        "digest": "00" * 8,
        "voters": ('quote"', "back\\slash", "a/b", "<&>"),
        "silence_ns": 1,
        "ceiling": 65_536,
        "left": (),
        "blank": False,
    },
}


def file(name: str) -> Path:
    return FOLDER / f"{name}.json"


def play(start: Start, folder: Path) -> tuple[bytes, tuple[bool, int | None, int]]:
    """Starts the voter on its file in an empty folder; returns the file written and the voter's state."""
    if start.before:
        shutil.copy(file(start.before), folder / f"{MEMBER}.json")
    stands = names.voter_start(folder, MEMBER, start.voters, start.lease_ms, start.heard, start.wanted)
    return (folder / f"{MEMBER}.json").read_bytes(), stands


def write() -> None:
    """Performs all starts in their order, and stores the file that each has written."""
    for start in STARTS:
        with tempfile.TemporaryDirectory() as folder:
            data, stands = play(start, Path(folder))
        file(start.after).write_bytes(data)
        print(f"{start.before or 'nothing'} -> {start.after}: {stands} {data.decode()}")
    for name, values in VALUES.items():
        with tempfile.TemporaryDirectory() as folder:
            names.write_state(Path(folder), MEMBER, values)
            file(name).write_bytes((Path(folder) / f"{MEMBER}.json").read_bytes())
        print(f"{name}: written")


def main() -> None:
    parser = argparse.ArgumentParser(description="State files that voters left on disk.")
    parser.add_argument("--write", action="store_true", help="record what the present code writes")
    if parser.parse_args().write:
        write()
    else:
        parser.print_help()


if __name__ == "__main__":
    main()
