"""What a look-up in the table of routes costs, by the number of rules: the index, and all rules in order.

    python -m benchmarks.routes [--rounds 9]

Sizes and ways take turns in one process; a round is 2,000 look-ups. The ratio is what counts: times are this
machine's.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time

from lanelift.routes.table import Request, Rule, Table

SIZES = (10, 100, 10_000)
LOOK_UPS = 2_000


def rules(count: int) -> list[Rule]:
    """Partners on hosts of their own, each with some paths, methods and tenants; one in ten is a wildcard."""
    made = []
    for i in range(count):
        partner, part = divmod(i, 10)
        name = f"p{partner}.example.org"
        if part == 0:
            made.append(Rule(f"r{i}", host=f"*.{name}", class_name="rate-lookup"))
        elif part < 6:
            made.append(Rule(f"r{i}", host=name, path=f"/v{part}/fee-quote", class_name="fee-quote"))
        else:
            made.append(Rule(f"r{i}", host=name, path="/v1", method="GET", tenant=f"t{part}"))
    return made


def requests(count: int, draw: random.Random) -> list[Request]:
    partners = max(1, count // 10)
    return [
        Request(
            f"{draw.choice(['', 'x.'])}p{draw.randrange(partners)}.example.org",
            (f"v{draw.randint(1, 6)}", draw.choice(["fee-quote", "history"]), "x"),
            draw.choice(["GET", "POST"]),
            tenant=f"t{draw.randint(1, 12)}",
        )
        for _ in range(LOOK_UPS)
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rounds", type=int, default=9)
    args = parser.parse_args()
    draw = random.Random(1)
    tables = {count: Table(rules(count)) for count in SIZES}
    asked = {count: requests(count, draw) for count in SIZES}
    spent: dict[tuple[int, str], list[float]] = {}
    for _ in range(args.rounds):
        for count, table in tables.items():
            for way, find, some in (("index", table.find, LOOK_UPS), ("in order", table.first_match, 20)):
                began = time.perf_counter()
                for one in asked[count][:some]:
                    find(one)
                spent.setdefault((count, way), []).append(1e6 * (time.perf_counter() - began) / some)
    base = statistics.median(spent[SIZES[0], "index"])
    for (count, way), values in spent.items():
        middle = statistics.median(values)
        print(
            f"{count:6} rules  {way:9} median {middle:9.2f} us  {min(values):9.2f} to {max(values):9.2f}"
            f"   x {middle / base:8.2f}"
        )


if __name__ == "__main__":
    main()
