"""Measures lookups in the table of routes, by number of rules: with the index, and by testing all rules.

    python -m benchmarks.routes [--rounds 9]

Sizes and methods alternate in one process; a round has 2,000 lookups. Compare the ratios, as the times depend
on the machine.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time

from lanelift.routes.table import Request, Rule, Table

SIZES = (10, 100, 10_000)
LOOKUPS = 2_000


def rules(count: int) -> list[Rule]:
    """Return rules for partners. Each partner has one host and ten rules, one of them with a wildcard."""
    found = []
    for i in range(count):
        partner, part = divmod(i, 10)
        name = f"p{partner}.example.org"
        if part == 0:
            found.append(Rule(f"r{i}", host=f"*.{name}", class_name="rate-lookup"))
        elif part < 6:
            found.append(Rule(f"r{i}", host=name, path=f"/v{part}/fee-quote", class_name="fee-quote"))
        else:
            found.append(Rule(f"r{i}", host=name, path="/v1", method="GET", tenant=f"t{part}"))
    return found


def requests(count: int, rng: random.Random) -> list[Request]:
    """Return random requests for the hosts of a table with this number of rules."""
    partners = max(1, count // 10)
    return [
        Request(
            f"{rng.choice(['', 'x.'])}p{rng.randrange(partners)}.example.org",
            (f"v{rng.randint(1, 6)}", rng.choice(["fee-quote", "history"]), "x"),
            rng.choice(["GET", "POST"]),
            tenant=f"t{rng.randint(1, 12)}",
        )
        for _ in range(LOOKUPS)
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rounds", type=int, default=9)
    args = parser.parse_args()
    rng = random.Random(1)
    tables = {count: Table(rules(count)) for count in SIZES}
    requests_by_size = {count: requests(count, rng) for count in SIZES}
    times_us: dict[tuple[int, str], list[float]] = {}
    for _ in range(args.rounds):
        for count, table in tables.items():
            for method, find, lookups in (
                ("index", table.find, LOOKUPS),
                ("in order", table.first_match, 20),
            ):
                began = time.perf_counter()
                for request in requests_by_size[count][:lookups]:
                    find(request)
                times_us.setdefault((count, method), []).append(1e6 * (time.perf_counter() - began) / lookups)
    base = statistics.median(times_us[SIZES[0], "index"])
    for (count, method), values in times_us.items():
        median = statistics.median(values)
        print(
            f"{count:6} rules  {method:9} median {median:9.2f} us  {min(values):9.2f} to {max(values):9.2f}"
            f"   x {median / base:8.2f}"
        )


if __name__ == "__main__":
    main()
