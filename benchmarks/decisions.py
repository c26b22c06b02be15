"""Compares the decisions of two revisions: digests of all actions over the same simulated days.

    python -m benchmarks.decisions [--before REV]

Prints a line for each day: the number of actions, and a digest of them with their times and replicas. With
`--before`, that revision plays the same days in a process of its own. The lines that differ are printed, and
the exit code is 1 if there are any. A change that is meant to keep the behaviour must pass this comparison;
no weaker check is enough.
"""

from __future__ import annotations

import argparse
import hashlib
import io
import os
import random
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Iterable
from typing import Any

from benchmarks.revisions import ROOT, revision
from lanelift.policy import actions
from lanelift.policy.actions import Action
from lanelift.policy.events import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind, Event
from lanelift.policy.settings import Idempotency, Limits, RequestClass
from tests.policy.checked_balancer import MS, SECOND, settings
from tests.policy.simulation import Simulation
from tests.policy.test_churn import Churn

TWO_CLASSES = {
    "quote": RequestClass("quote", latency_objective_ns=150 * MS, deadline_ns=500 * MS),
    "pay": RequestClass(
        "pay", Idempotency.NON_IDEMPOTENT, latency_objective_ns=150 * MS, deadline_ns=500 * MS
    ),
}
CHEAP_PROBES = {"limits": Limits(3, False, True, True, retry_after=True), "load_report_fields": ("inflight",)}
PEERS = {"limits": Limits(3, False, True, peer_messages=True, retry_after=True)}
# The names of the days must not change, as the output is compared line by line with the output of older
# revisions. Balancers know the load of upstreams from messages of their peers ("told"), from load probes
# ("asked"), or from their own counts alone; on the last day listed here, a request has one attempt. The load
# is a share of the upstreams' capacity.
DAYS: dict[str, tuple[dict[str, Any], int, int, float]] = {  # settings, replicas, upstreams, load
    "told": (PEERS, 12, 18, 0.6),
    "told, crowded": (PEERS, 12, 12, 1.1),
    "asked": (CHEAP_PROBES, 8, 10, 0.7),
    "asked, crowded": (CHEAP_PROBES, 8, 10, 1.2),
    "own counts": ({"limits": Limits(3, True, True)}, 3, 9, 0.8),
    "one attempt": ({"limits": Limits()}, 3, 9, 1.3),
}


# The names of actions and their fields in revisions up to e44f7ed. Digests are made with these names, so that
# they can be compared with the digests of any revision.
FORMER_NAMES: dict[type, tuple[str, tuple[str, ...]]] = {
    actions.StartAttempt: ("Send", ("request", "upstream", "timeout_ns")),
    actions.Reject: ("Refuse", ("request", "retry_after_ns", "limited")),
    actions.Fail: ("Fail", ("request", "denied")),
    actions.CancelAttempt: ("Cancel", ("request", "attempt")),
    actions.ProbeLoad: ("Probe", ("upstream",)),
    actions.SendPeerMessage: ("Tell", ("data", "peer")),
    actions.Subscribe: ("Subscribe", ("on",)),
    actions.FetchEndpoints: ("FetchList", ()),
    actions.SetTimer: ("SetTimer", ("delay_ns", "name")),
    actions.Log: ("Note", ("text",)),
}


def former_text(action: Any) -> str:
    """Return an action as text with its former names."""
    name, fields = FORMER_NAMES[type(action)]
    values = ", ".join(f"{field}={value!r}" for field, value in zip(fields, action, strict=True))
    return f"{name}({values})"


class RecordingBalancer:
    """Wraps a balancer, and adds its actions to a digest."""

    def __init__(self, balancer: Any, name: object, digest: Any) -> None:
        self.balancer, self.name, self.digest, self.actions = balancer, name, digest, 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.balancer, name)

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        found: list[Action] = self.balancer.handle(now, events)
        self.actions += len(found)
        if found:
            text = ", ".join(map(former_text, found))
            self.digest.update(f"{now} {self.name} [{text}]\n".encode())
        return found


def play_day(changes: dict[str, Any], replicas: int, upstream_count: int, load: float) -> tuple[int, str]:
    """Play ten seconds in which a third of the upstreams stops, drains or restarts.

    Returns the count of actions and a digest.
    """
    config = settings(classes=TWO_CLASSES, replica_count=replicas, **changes)
    simulation, rng, digest = (
        Simulation(config, upstream_count, 1, lost=0.1),
        random.Random(2),
        hashlib.sha256(),
    )
    recorded = [
        RecordingBalancer(balancer, replica, digest) for replica, balancer in enumerate(simulation.balancers)
    ]
    simulation.balancers = recorded  # type: ignore[assignment]
    now = 0.0
    while now < 10:
        now += rng.expovariate(load * upstream_count / 0.040)
        work, name = max(1, int(rng.lognormvariate(3.5, 0.6) * MS)), rng.choice(("quote", "quote", "pay"))
        simulation.schedule_request(
            int(now * SECOND), rng.choice(("ash", "birch")), work, name, 500 * MS, rng.randrange(replicas)
        )
    updates = [
        (4, [Endpoint(1, EndpointState.DRAINING), Endpoint(2, EndpointState.REMOVED)]),
        (6, [Endpoint(1, EndpointState.REMOVED), Endpoint(2, started_ns=6 * SECOND)]),
    ]
    for second, entries in updates:
        for replica in range(replicas):
            simulation.schedule(
                second * SECOND + replica * MS,
                "update",
                (replica, EndpointUpdate(EndpointUpdateKind.DELTA, entries)),
            )
    simulation.run_until(2 * SECOND)
    simulation.unresponsive = {3, 4, 5}
    simulation.run_until(5 * SECOND)
    simulation.unresponsive = set()
    simulation.run_until(11 * SECOND)
    return sum(one.actions for one in recorded), digest.hexdigest()[:16]


def play_churn() -> tuple[int, str]:
    """Play four hours of the churn of `tests/policy/test_churn.py`. Returns the action count and a digest."""
    churn, digest = Churn(5), hashlib.sha256()
    recorded = RecordingBalancer(churn.balancer, 0, digest)
    churn.balancer = recorded  # type: ignore[assignment]
    for _ in range(240):
        churn.run_minute()
    return recorded.actions, digest.hexdigest()[:16]


def lines() -> list[str]:
    """Play all days. Returns a line for each."""
    found = {name: play_day(*day) for name, day in DAYS.items()} | {"churn": play_churn()}
    return [f"{name:16}{count:9} actions  {digest}" for name, (count, digest) in found.items()]


def lines_of_revision(revision: str) -> list[str]:
    """Return the lines that a revision's own copy of this program prints for the same days."""
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(
            ["git", "archive", revision, "lanelift", "tests", "benchmarks"],
            cwd=ROOT,
            check=True,
            stdout=subprocess.PIPE,
        )
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
            tar.extractall(folder, filter="data")
        run = subprocess.run(
            [sys.executable, "-m", "benchmarks.decisions"],
            cwd=folder,
            env={**os.environ, "PYTHONPATH": folder},
            check=True,
            stdout=subprocess.PIPE,
            text=True,
        )
    return run.stdout.splitlines()


def main() -> int:
    """Print the digests; return 1 if those of the revision given with `--before` differ."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--before", metavar="REV", type=revision, help="a revision to compare with")
    args = parser.parse_args()
    now = lines()
    print("\n".join(now))
    if args.before is None:
        return 0
    differ = [(a, b) for a, b in zip(now, lines_of_revision(args.before), strict=True) if a != b]
    for here, there in differ:
        print(f"{args.before} differs: {there}\n{'':>{len(args.before)}}    not as: {here}")
    print(f"{len(now) - len(differ)} of {len(now)} days have the same decisions in {args.before}")
    return int(bool(differ))


if __name__ == "__main__":
    sys.exit(main())
