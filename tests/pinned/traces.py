"""The recorded traces of seeded schedules: one digest for each seed, in `traces.json`.

    python -m tests.pinned.traces --write              record the digests of the present code
    python -m tests.pinned.traces --show leases 7      print one whole trace, to compare with another one

A digest covers every line of a trace: true times, senders, receivers, the bytes of each message and of each
state file, starts, kills, and holdings with their tokens. The digests are written again only if the behaviour
has changed: the commit that does so must say why.
"""

from __future__ import annotations

import argparse
import hashlib
import json
from collections.abc import Callable
from pathlib import Path

from tests.pinned import names

FILE = Path(__file__).with_name("traces.json")
PLAYS: dict[str, Callable[[int], list[str]]] = {
    "leases": names.play_lease_schedule,
    "membership": names.play_membership,
}
SEEDS = {"leases": 200, "membership": 60}


def digest(world: str, seed: int) -> str:
    """Returns the digest of all lines of a seed's trace: 16 bytes in hexadecimal."""
    lines = "\n".join(PLAYS[world](seed))
    return hashlib.blake2b(lines.encode(), digest_size=16).hexdigest()


def recorded() -> dict[str, list[str]]:
    """Returns the stored digests: by simulation, in the order of seeds from 0."""
    found: dict[str, list[str]] = json.loads(FILE.read_text())
    return found


def write() -> None:
    """Runs every seed and replaces the file."""
    found = {world: [digest(world, seed) for seed in range(count)] for world, count in SEEDS.items()}
    FILE.write_text(json.dumps(found, indent=1) + "\n")
    for world, digests in found.items():
        print(f"{FILE.name}: wrote the digests of {len(digests)} traces of {world}")


def main() -> None:
    parser = argparse.ArgumentParser(description="Digests of the traces of seeded schedules.")
    parser.add_argument("--write", action="store_true", help="record the present code's digests")
    parser.add_argument("--show", nargs=2, metavar=("WORLD", "SEED"), help="print one whole trace")
    arguments = parser.parse_args()
    if arguments.show:
        world, seed = arguments.show
        print("\n".join(PLAYS[world](int(seed))))
    elif arguments.write:
        write()
    else:
        parser.print_help()


if __name__ == "__main__":
    main()
