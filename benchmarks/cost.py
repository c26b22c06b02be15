"""Compares two revisions: processor time of the plain daemon for its start and for each request.

    python -m benchmarks.cost --before REV [--rounds 7] [--requests 1500]

Each round starts the daemon of both revisions, against stand-ins that run in this process: alone, or as one
of forty balancers, which receives three messages of peers for each request. Only the processor time of the
daemon is counted, without the load that this process causes. The order of the revisions alternates, so that a
slow minute of the machine affects both.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import socket
import statistics
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil

from benchmarks.revisions import ROOT, revision
from tests.fakes import Client, FakeDiscovery, FakeUpstream, free_port

UPSTREAMS, CLIENTS, PEERS = 8, 4, 40
SETTINGS = {
    "profiles": [
        {"name": "quote", "repeat": "read_like", "aim_ns": 100_000_000, "hard_limit_ns": 400_000_000}
    ],
    "limits": {"send_cap": 5, "may_cancel": True, "peers": True, "conn_idle_ns": 15_000_000_000},
    "prices": {"peer": 0.01, "probe": 0.08},
    "load_report": {"columns": ["inflight"], "how": "probe"},
    "registry_mode": "push",
}


async def measure(tree: Path, folder: Path, requests: int, fleet: bool) -> tuple[float, float]:
    """Return the processor time from a start until readiness, in ms, and that of one request, in us."""
    boxes = [FakeUpstream(f"s-{i}") for i in range(UPSTREAMS)]
    for box in boxes:
        await box.start()
    discovery = FakeDiscovery(box.row() for box in boxes)
    await discovery.start()
    sockets = [socket.socket(type=socket.SOCK_DGRAM) for _ in range(PEERS - 1)] if fleet else []
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    own_peer_address, port = f"127.0.0.1:{free_port()}", free_port()
    peers = [own_peer_address, *(f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets)]
    settings = {**SETTINGS, "me": 0, "replicas_of_me": PEERS if fleet else 1}
    config = {
        "listen": f"127.0.0.1:{port}",
        "discovery": "{}:{}".format(*discovery.socket_address),
        "seed": "7",
        "peer_listen": own_peer_address,
        "peers": peers,
        "known": discovery.snapshot(),
        "settings": settings,
    }
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    process = subprocess.Popen(
        [sys.executable, "-m", "lanelift"],
        cwd=tree,
        stderr=subprocess.DEVNULL,
        env={"BALANCER_CONFIG": str(path), "PATH": "/usr/bin:/bin"},
    )
    try:
        until = time.monotonic() + 10
        while True:  # polling for readiness is acceptable here, as it adds few requests
            try:
                client = await Client.to(("127.0.0.1", port))
                if (await client.raw(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")).status == 200:
                    break
            except OSError:
                if time.monotonic() > until:
                    raise
            await asyncio.sleep(0.01)
        cpu_times = psutil.Process(process.pid).cpu_times
        start = sum(cpu_times()[:2])
        peer_message = struct.Struct(">BQH").pack(1, 1, 300)
        peer_address = ("127.0.0.1", int(own_peer_address.rpartition(":")[2]))

        async def send_requests(number: int) -> None:
            client = await Client.to(("127.0.0.1", port))
            for i in range(requests // CLIENTS):
                await client.request(f"r{number}-{i}", X_Cost_Hint=30_000)
                for sock in sockets[:3]:
                    sock.sendto(peer_message, peer_address)
            client.close()

        await asyncio.gather(*map(send_requests, range(CLIENTS)))
        return 1e3 * start, 1e6 * (sum(cpu_times()[:2]) - start) / requests
    finally:
        process.kill()
        process.wait()
        for server in (*boxes, discovery):
            server.stop()
        for sock in sockets:
            sock.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument(
        "--before", metavar="REV", type=revision, required=True, help="a revision of this repository"
    )
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--requests", type=int, default=1500)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder, old = Path(name), Path(name) / "before"
        subprocess.run(
            ["git", "worktree", "add", "-q", "--detach", str(old), args.before], cwd=ROOT, check=True
        )
        try:
            for fleet in (False, True):
                rows: dict[str, list[tuple[float, float]]] = {"before": [], "after": []}
                for i in range(args.rounds + 1):
                    for tree_name, tree in [("before", old), ("after", ROOT)][:: 1 if i % 2 else -1]:
                        row = asyncio.run(measure(tree, folder, args.requests, fleet))
                        if i:  # the first round is not counted, as it also compiles the bytecode
                            rows[tree_name].append(row)
                for tree_name, measured in rows.items():
                    for what, column in (("start, ms", 0), ("request, us", 1)):
                        values = sorted(row[column] for row in measured)
                        print(
                            f"{'one of forty' if fleet else 'alone':14}{tree_name:8}{what:13}"
                            f"median {statistics.median(values):8.1f}   {values[0]:8.1f} to {values[-1]:8.1f}"
                        )
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(old)], cwd=ROOT, check=True)


if __name__ == "__main__":
    main()
