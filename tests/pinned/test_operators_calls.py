"""The address for operators (docs/operating/on-call.md): the answer to each call, and all metric names."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import socket
from pathlib import Path

from tests.pinned.ends import Upstream, ask, balancer, free_port
from tests.pinned.processes import LANELIFT, as_lines, as_toml, same_as_kept

CALLS = [
    "GET /api/ready",
    "GET /api/ready?x=1",
    "GET /api/telemetry",
    "GET /api/leases",
    "POST /api/ready",
    "POST /api/telemetry",
    "GET /api/evacuate",
    "GET /api/rejoin",
    "POST /api/leases",
    "GET /api",
    "GET /ready",
]


def call(line: str, more: str = "") -> bytes:
    return f"{line} HTTP/1.1\r\nHost: o\r\n{more}\r\n".encode()


def figures_only(text: str) -> str:
    """Returns the metrics without their values, which depend on time and ports."""
    text = re.sub(r"^(lanelift_\S+|balancer_\S+) [-0-9.e+]+$", r"\1 N", text, flags=re.MULTILINE)
    text = re.sub(r"Content-Length: \d+", "Content-Length: N", text)
    text = re.sub(r'"plan":"[0-9a-f]+"', '"plan":"HEX"', text)
    return re.sub(r'("(?:token|left_ms|silent_ms)":)[0-9.]+', r"\1N", text)


def test_each_call_of_a_plain_balancer(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream({})
        await upstream.start()
        clients, operators = free_port(), ("127.0.0.1", free_port())
        server = {"id": "s", "addr": f"127.0.0.1:{upstream.port}"}
        config = {
            "listen": f"127.0.0.1:{clients}",
            "discovery": f"127.0.0.1:{free_port()}",
            "operator": f"127.0.0.1:{operators[1]}",
            "known": {"version": 1, "full": True, "servers": [server]},
            "settings": {"profiles": [{"name": "look", "repeat": "read_like"}, {"name": 'a"\\b'}]},
        }
        found = {}
        async with balancer(tmp_path, config) as process:
            for line in CALLS:
                found[line] = await ask(operators, call(line))
            found["no HTTP"] = await ask(operators, b"hello\r\n\r\n")
            found["a large head"] = await ask(operators, call("GET /api/ready", f"X: {'x' * 17000}\r\n"))
            found["a large call"] = await ask(
                operators, call("POST /api/evacuate", "Content-Length: 5000\r\n") + b"x" * 4500
            )
            request = b"GET /look HTTP/1.1\r\nHost: h\r\nX-Request-Id: %b\r\n\r\n"
            client = ("127.0.0.1", clients)
            found["client before"] = await ask(client, request % b"r1", call("GET /ready"))
            found["figures after one answer"] = await ask(operators, call("GET /api/telemetry"))
            for line in ("POST /api/evacuate", "POST /api/evacuate", "GET /api/ready"):
                found[f"then {line}"] = await ask(operators, call(line))
            found["client, evacuated"] = await ask(client, request % b"r2")
            found["/ready, evacuated"] = await ask(client, call("GET /ready"))
            found["then POST /api/rejoin"] = await ask(operators, call("POST /api/rejoin"))
            found["/ready, rejoined"] = await ask(client, call("GET /ready"))
            process.send_signal(signal.SIGTERM)
            while "503" not in (answer := await ask(operators, call("GET /api/ready")))[0][:16]:
                await asyncio.sleep(0.005)
            found["/api/ready after SIGTERM"] = answer
            found["rejoin after SIGTERM"] = await ask(operators, call("POST /api/rejoin"))
        upstream.stop()
        same_as_kept("golden/operators-calls.json", as_lines(found))

    asyncio.run(test())


def test_each_call_of_a_member_of_a_fleet(tmp_path: Path) -> None:
    async def test() -> None:
        operators = ("127.0.0.1", free_port())
        told = {
            "serve": {"listen": f"127.0.0.1:{free_port()}", "operator": f"127.0.0.1:{operators[1]}"},
            "class": [{"name": "look", "effect": "safe"}],
            "upstream": [{"name": "s", "address": "127.0.0.1:9"}],
            "fleet": {
                "name": "trust",
                "me": "a",
                "state": "state",
                "lease_ms": 500,
                "answer_ms": 40,
                "margin_ms": 100,
                "member": [{"id": "a", "address": f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"}],
                "task": [{"name": "nightly", "command": ["sleep", "60"], "every_s": 60}],
            },
        }
        path = tmp_path / "f.toml"
        path.write_text(as_toml(told))
        config = {"operator": f"127.0.0.1:{operators[1]}"}
        found = {}
        async with balancer(tmp_path, config, str(LANELIFT), "serve", "--config", str(path)):
            while "nightly" not in (leases := await ask(operators, call("GET /api/leases")))[0]:
                await asyncio.sleep(0.02)
            found["GET /api/leases"] = leases
            figures = await ask(operators, call("GET /api/telemetry"))
            found["GET /api/telemetry"] = figures
            found["POST /api/leases"] = await ask(operators, call("POST /api/leases"))
            found["GET /api"] = await ask(operators, call("GET /api"))
        body = json.loads(leases[0].partition("\r\n\r\n")[2])
        assert list(body) == ["member", "votes", "seated", "silent_ms", "plan", "leases"]
        assert list(body["leases"][0]) == ["lease", "holder", "token", "left_ms", "waiting"]
        kept = {name: [figures_only(text) for text in each] for name, each in found.items()}
        same_as_kept("golden/operators-calls-fleet.json", as_lines(kept))

    asyncio.run(test())
