"""The operator's file: its keys, their defaults, and the problems of misspelt keys and wrong values."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest

from tests.pinned.processes import ROOT, Run, as_lines, as_toml, changed, run_many, same_as_kept, with_keys
from tests.pinned.settings_names import of_operator, of_operator_as_read

Table = dict[str, Any]
# All keys, each with a value that is not its default.
EVERY: Table = {
    "serve": {
        "listen": "127.0.0.1:8000",
        "sockets": 2048,
        "seed": "1f",
        "zone": "east",
        "balancers": 3,
        "number": 2,
        "operator": "127.0.0.1:8400",
    },
    "class": [
        {
            "name": "quote",
            "effect": "keyed",
            "group": "cell",
            "window_ms": 1500.5,
            "aim_ms": 264,
            "deadline_ms": 661.5,
            "worth": 5,
            "late_worth": 0.25,
        }
    ],
    "tenant": [{"name": "ash", "share": 0.6, "quota_per_s": 7}],
    "limits": {
        "max_attempts": 2,
        "cancel": True,
        "probes": True,
        "retry_after": False,
        "max_retry_after_ms": 700,
        "connect_timeout_ms": 120,
        "idle_ms": 9000,
        "max_open": 300,
    },
    "rules": {
        "drain_grace_ms": 400,
        "cold_from": 0.2,
        "cold_ms": 6000,
        "fall_multiple": 2.5,
        "fall_ms": 1500,
    },
    "upstream": [
        {
            "name": "box-1",
            "address": "127.0.0.1:9001",
            "zone": "west",
            "cell": 4,
            "weight": 1.5,
            "kind": "big",
            "draining": True,
        }
    ],
}
# The sections that have no counterpart among the platform's keys.
TENANTS: Table = {
    "base": "ou=agents",
    "filter": "(objectClass=agent)",
    "unknown": "deny",
    "start": "wait",
    "wait_s": 20,
    "every_s": 2,
    "whole_s": 40,
    "reading_s": 80,
    "page": 100,
    "removal_part": 0.2,
    "confirm": ["0123abcd"],
    "map": {
        "name": "uid",
        "standing": "agentStanding",
        "suspended": ["blocked"],
        "good": ["fine"],
        "share": "agentShare",
        "quota": "agentQuota",
        "classes": "agentClass",
        "limits": "agentLimit",
        "valid_from": "agentFrom",
        "valid_until": "agentUntil",
        "stamp": "changed",
        "id": "uuid",
    },
    "directory": [
        {
            "url": "ldaps://127.0.0.1:636",
            "tls": "unverified",
            "ca_file": "ca.pem",
            "user": "cn=reader",
            "password_file": "secret",
            "timeout_s": 1.5,
        }
    ],
}
FLEET: Table = {
    "name": "trust",
    "me": "a",
    "state": "/var/lib/lanelift",
    "lease_ms": 6000,
    "answer_ms": 200,
    "margin_ms": 1000,
    "drift_ppm": 500,
    "log": "json",
    "clock_ahead_ms": 5,
    "clock_ppm": 10,
    "member": [{"id": "a", "address": "127.0.0.1:7001", "zone": "east", "votes": True}],
    "task": [{"name": "nightly", "command": ["true"], "every_s": 60}],
}
WHOLE: Table = {**EVERY, "tenants": TENANTS, "fleet": FLEET}
LEAST: Table = {
    "serve": {"listen": "127.0.0.1:8000"},
    "class": [{"name": "quote"}],
    "tenant": [{"name": "ash"}],
    "upstream": [{"name": "box-1", "address": "127.0.0.1:9001"}],
    "tenants": {"base": "ou=agents", "directory": [{"url": "ldaps://127.0.0.1:636"}]},
    "fleet": {
        "name": "trust",
        "me": "a",
        "state": "s",
        "member": [{"id": "a", "address": "127.0.0.1:7001"}],
    },
}
DISCOVERED: Table = {key: value for key, value in EVERY.items() if key != "upstream"} | {
    "discovery": {"address": "127.0.0.1:9300", "push": False}
}
FILES: dict[str, Table] = {
    "every key": WHOLE,
    "least": LEAST,
    "discovery": DISCOVERED,
    "each key misspelt": with_keys(WHOLE, None),
    "discovery misspelt": with_keys(DISCOVERED, None),
    "an unknown key in each table": with_keys({**WHOLE, "discovery": DISCOVERED["discovery"]}, {"q9": 1}),
    "a table in the place of each value": changed(WHOLE, {}),
    "a date's text in the place of each value": changed(WHOLE, "2026-12-03"),
    "a number below all in the place of each value": changed(WHOLE, -1e12),
    "a number above all in the place of each value": changed(WHOLE, 1e12),
    "true in the place of each value": changed(WHOLE, True),
    "nothing in each table": {
        "serve": {},
        "class": [{}],
        "tenant": [{}],
        "upstream": [{}],
        "tenants": {"directory": [{}], "map": {}},
        "fleet": {"member": [{}], "task": [{}]},
    },
    "no table": {},
    "what does not go together": {
        **WHOLE,
        "serve": {**EVERY["serve"], "number": 3},
        "class": [{**EVERY["class"][0], "aim_ms": 700}, EVERY["class"][0]],
        "discovery": DISCOVERED["discovery"],
        "tenants": {**TENANTS, "map": {"suspended": ["x"], "good": ["x"]}},
        "fleet": {**FLEET, "me": "b", "margin_ms": 7000},
    },
}


def test_what_the_check_says_of_each_file(tmp_path: Path) -> None:
    runs = []
    for number, table in enumerate(FILES.values()):
        (tmp_path / f"{number}.toml").write_text(as_toml(table))
        runs.append(Run(("config", "check", f"{number}.toml")))
    done = run_many(runs, tmp_path, script="lanelift", warm=["config check -h"])
    found = {
        name: {
            "code": each.code,
            "out": re.sub(r"\b\d+\.toml", "FILE", each.out).splitlines(),
            "err": re.sub(r"\b\d+\.toml", "FILE", each.err).splitlines(),
        }
        for name, each in zip(FILES, done, strict=True)
    }
    assert [found[name]["code"] for name in ("every key", "least", "discovery")] == [0, 0, 0]
    same_as_kept("golden/operator-file-check.json", as_lines(found))


def with_file(tmp_path: Path, table: Table) -> Path:
    path = tmp_path / "f.toml"
    path.write_text(as_toml(table))
    return path


def test_the_shipped_file_is_good(tmp_path: Path) -> None:
    path = str(ROOT / "deploy" / "lanelift.toml")
    (done,) = run_many([Run(("config", "check", path))], tmp_path, script="lanelift")
    told = "good. Listens on 127.0.0.1:8000; 4 classes, 2 tenants, 2 upstreams listed.\n"
    assert (done.code, done.out, done.err) == (0, f"{path}: {told}", "")


def test_each_key_is_read_with_its_value_or_default(tmp_path: Path) -> None:
    read = of_operator_as_read(with_file(tmp_path, WHOLE))
    assert read == {**WHOLE, "discovery": None}
    same_as_kept(
        "golden/operator-file-defaults.json", as_lines(of_operator_as_read(with_file(tmp_path, LEAST)))
    )


@pytest.mark.parametrize("name", ["every", "least", "discovered"])
def test_what_the_balancer_is_told(tmp_path: Path, name: str) -> None:
    least = {key: value for key, value in LEAST.items() if key not in ("tenants", "fleet")}
    table = {"every": EVERY, "least": least, "discovered": DISCOVERED}[name]
    told = of_operator(with_file(tmp_path, table))
    same_as_kept(f"golden/operator-file-told-{name}.json", as_lines(told))
