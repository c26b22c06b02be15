"""The platform's file, named by BALANCER_CONFIG: its keys, the values that they set, and the errors."""

from __future__ import annotations

import copy
import json
import re
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.pinned.processes import Run, as_lines, clean_environ, run_many, same_as_kept
from tests.pinned.settings_names import of_platform

Json = dict[str, Any]
# All keys, each with a value that is not its default.
SETTINGS: Json = {
    "me": 1,
    "replicas_of_me": 3,
    "locality": "north",
    "registry_mode": "ask",
    "profiles": [
        {
            "name": "order",
            "repeat": "idempotency_key",
            "dedup_scope": "cell",
            "window_ns": 5_000_000,
            "aim_ns": 264_000_000,
            "hard_limit_ns": 661_000_000,
            "worth": 5.5,
            "late_worth": 0.25,
            "stream": True,
            "fifo_by_key": True,
            "runs_in": ["north"],
            "allowed_on": ["big"],
        }
    ],
    "realms": [{"name": "elm", "share": 0.6, "quota_per_s": 7.5}],
    "limits": {
        "send_cap": 3,
        "second_copies": True,
        "may_cancel": True,
        "probes": True,
        "peers": True,
        "retry_after": True,
        "max_retry_after_ns": 700_000_000,
        "connect_timeout_ns": 120_000_000,
        "conn_idle_ns": 9_000_000_000,
        "max_open": 300,
    },
    "rules": {
        "stop_sending_within_ns": 400_000_000,
        "ask_within_ns": 9_000_000_000,
        "cold_from": 0.2,
        "cold_ns": 6_000_000_000,
        "fall_multiple": 2.5,
        "overload_for_ns": 1_500_000_000,
        "turn_gap_ns": 3_000_000,
    },
    "prices": {
        "cross_zone": 0.1,
        "waste": 0.2,
        "probe": 0.3,
        "peer": 0.4,
        "connection": 0.5,
        "handshake": 0.6,
    },
    "load_report": {"columns": ["inflight", "queue"], "how": "answers"},
}
SERVER: Json = {
    "id": "s-0",
    "addr": "127.0.0.1:9001",
    "zone": "east",
    "kind": "m",
    "cell": 1,
    "state": "Ready",
    "weight": 1.0,
    "started_ms": 5,
}
CONFIG: Json = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "peer_listen": "127.0.0.1:3",
    "peers": ["127.0.0.1:4"],
    "peers_all": "127.0.0.1:5",
    "operator": "127.0.0.1:6",
    "seed": "8c1f",
    "known": {"version": 1, "full": True, "servers": [SERVER]},
    "limits": {"sockets": 512},
    "settings": SETTINGS,
}
# Whatever the type of a key's value, at least one of these is wrong for it.
WRONG: list[Any] = ["?", True, {}]


def leaves(value: Any, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    """Yields the paths of all values, including tables."""
    rows = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, each in rows:
        yield (*path, key)
        yield from leaves(each, (*path, key))


def with_value(path: tuple[str | int, ...], value: Any, whole: Json = CONFIG) -> Json:
    whole = copy.deepcopy(whole)
    at: Any = whole
    for key in path[:-1]:
        at = at[key]
    at[path[-1]] = value
    return whole


def test_what_is_said_of_each_key_with_a_wrong_value(tmp_path: Path) -> None:
    """If a value is allowed, the daemon fails only because its address is in use."""
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        good = {**CONFIG, "listen": f"127.0.0.1:{taken.getsockname()[1]}"}
        configs = {"good": good, "only settings": {"settings": {}}, "not an object": []}
        for path in leaves(CONFIG):
            for value in [*WRONG, None] if len(path) == 1 else WRONG:
                name = f"{'.'.join(map(str, path))} = {json.dumps(value)}"
                configs[name] = with_value(path, value, good)
        runs = []
        for number, config in enumerate(configs.values()):
            (tmp_path / f"{number}.json").write_text(json.dumps(config))
            runs.append(Run(environ={"BALANCER_CONFIG": f"{number}.json"}))
        (tmp_path / "x.json").write_text("{not json")
        runs.append(Run(environ={"BALANCER_CONFIG": "x.json"}))
        done = run_many(runs, tmp_path, module="lanelift")
    assert {(each.code, each.out) for each in done} == {(2, "")}
    used = "lanelift: [Errno 98] Address already in use"
    said = [re.sub(r"\b\d+\.json", "FILE", each.err.strip()).replace(used, "good") for each in done]
    assert said[0] == "good"
    found = dict(zip([*configs, "{not json"], said, strict=True))
    same_as_kept("golden/balancer-config-said.json", as_lines(found))


def test_each_key_reaches_what_it_is_for() -> None:
    named = {
        "registry_mode": False,
        "profiles": [{**SETTINGS["profiles"][0], "repeat": "keyed"}],
        "load_report": {"columns": ["inflight", "queue"], "how": True},
    }
    assert of_platform(SETTINGS) == {**SETTINGS, **named}


@pytest.mark.parametrize("path", list(leaves(SETTINGS)), ids=lambda path: ".".join(map(str, path)))
def test_a_key_under_another_name_is_skipped(path: tuple[str | int, ...]) -> None:
    """Unknown keys are ignored: the key that is renamed has its default, and all others keep their values."""
    if isinstance(path[-1], int) or path[-1] == "name":
        return  # an index of a list can't be misspelt, and `name` is required
    misspelt = copy.deepcopy(SETTINGS)
    at: Any = misspelt
    for key in path[:-1]:
        at = at[key]
    at[f"{path[-1]}_x"] = at.pop(path[-1])
    changed = of_platform(misspelt)
    assert changed != of_platform(SETTINGS)
    if (len(path) == 2 and path[0] == "load_report") or len(path) == 1:
        return
    kept = copy.deepcopy(of_platform(SETTINGS))
    for part in (kept, changed):
        at = part
        for key in path[:-1]:
            at = at[key]
        del at[path[-1]]
    assert kept == changed


def test_defaults_and_words() -> None:
    least = {"profiles": [{"name": "order"}], "realms": [{"name": "elm"}]}
    found = {"nothing": of_platform({}), "least": of_platform(least)}
    for key, words in {
        "repeat": ("read_like", "idempotency_key", "non_idempotent"),
        "dedup_scope": ("all", "zone", "cell"),
    }.items():
        for word in words:
            row = of_platform({"profiles": [{"name": "order", key: word}]})["profiles"][0]
            found[f"{key} = {word}"] = row[key]
    for word in ("push", "ask"):
        found[f"registry_mode = {word}"] = of_platform({"registry_mode": word})["registry_mode"]
    for word in ("answers", "probes", ""):
        found[f"how = {word}"] = of_platform({"load_report": {"how": word}})["load_report"]["how"]
    same_as_kept("golden/balancer-config-defaults.json", as_lines(found))


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(type=kind) as taken:
        taken.bind(("127.0.0.1", 0))
        port: int = taken.getsockname()[1]
        return port


@pytest.mark.parametrize("by", ["file", "variables"])
def test_a_balancer_that_is_told_every_key_serves(tmp_path: Path, by: str) -> None:
    operators = f"127.0.0.1:{free_port()}"
    addresses = {
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
        "peer_listen": f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}",
        "peers_all": "127.0.0.1:9",
        "operator": operators,
    }
    config = {**CONFIG, **addresses}
    variables = {}
    if by == "variables":
        config = {key: value for key, value in CONFIG.items() if key not in addresses}
        variables = {f"BALANCER_{key.upper()}": value for key, value in addresses.items()}
    else:  # these variables have no effect, as the keys of the file take precedence
        variables = {f"BALANCER_{key.upper()}": "nowhere" for key in addresses}
    path = tmp_path / "c.json"
    path.write_text(json.dumps(config))
    environ = clean_environ(BALANCER_CONFIG=str(path), **variables)
    served = subprocess.Popen([sys.executable, "-m", "lanelift"], env=environ, stderr=subprocess.PIPE)
    try:
        ends = time.monotonic() + 30
        while time.monotonic() < ends:
            try:
                with urllib.request.urlopen(f"http://{operators}/api/ready", timeout=5) as answer:
                    assert (answer.status, answer.read()) == (200, b"ready\n")
                break
            except OSError:
                time.sleep(0.02)
        served.send_signal(signal.SIGTERM)
        _, err = served.communicate(timeout=30)
        assert served.returncode == 0, err
    finally:
        served.kill()
        served.wait()
