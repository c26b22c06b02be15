"""Scenario files of rehearsals and schedules of faults: their keys, defaults and error messages."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

import pytest

from tests.pinned.processes import Run, as_lines, as_toml, changed, run_many, same_as_kept, with_keys
from tests.pinned.settings_names import of_scenario_as_read, schedule_again, schedule_values

Table = dict[str, Any]
FAULTS: list[Table] = [
    {"kind": "die", "at_s": 1, "part": 0.5, "back_after_s": [1, 2]},
    {"kind": "deploy", "at_s": 1, "len_s": 5, "part": 0.5, "batch": 0.25, "drain_s": [1, 2]},
    {"kind": "freeze", "at_s": 1, "len_s": 5, "part": 0.5, "pause_ms": [10, 20], "every_s": [1, 2]},
    {"kind": "slow", "at_s": 1, "len_s": 5, "part": 0.25, "taken": [0.1, 0.2], "turn_s": [1, 2]},
    {"kind": "heavy", "at_s": 1, "len_s": 5, "name": "quote", "part": 0.5, "times": 3},
    {"kind": "vanish", "at_s": 1, "part": 0.5},
    {"kind": "drain", "at_s": 1, "part": 0.5, "drain_s": [1, 2]},
    {"kind": "silent", "at_s": 1, "len_s": 5},
    {"kind": "kill", "at_s": 1, "balancers": 2, "back_after_s": 3},
    {"kind": "restart", "at_s": 1, "balancers": 2, "back_after_s": 3},
    {"kind": "hup", "at_s": 1, "balancers": 2, "back_after_s": 3},
    {"kind": "suspend", "at_s": 1, "len_s": 5, "count": 2, "tenant": "ash", "for_s": [1, 2]},
    {"kind": "directory", "at_s": 1, "len_s": 5, "how": "slow", "servers": "first", "delay_s": 1},
]
# All keys, each with a value that is not its default.
EVERY: Table = {
    "name": "whole",
    "about": "all of it",
    "length_s": 30,
    "seed": 7,
    "fleet": {"boxes": 4, "balancers": 3, "rooms": ["a", "b"]},
    "box": {
        "cores": 2,
        "slots": 3,
        "queue": 4,
        "speed": 1.5,
        "speed_cv": 0.1,
        "thrash": 0.2,
        "thrash_at": 4,
        "cold_from": 0.5,
        "cold_s": 3,
        "warm_by": "time",
        "error_part": 0.01,
        "drops_queued": False,
        "handshake_us": 50,
        "connections": 100,
        "idle_s": 10,
        "probe_us": 20,
        "report_ms": 1,
    },
    "load": {
        "rate": 10,
        "shape": "wave",
        "swing": 0.5,
        "hints": "good",
        "room_skew": 0.1,
        "over_share_worth": 0.1,
        "quota_part": 0.5,
        "worth_by": "request",
    },
    "class": [
        {
            "name": "quote",
            "share": 2,
            "work_ms": 20,
            "cv": 0.5,
            "aim_ms": 200,
            "deadline_ms": 600,
            "worth": 3,
            "effect": "keyed",
            "body_bytes": 10,
        }
    ],
    "tenant": [{"name": "ash", "share": 2, "usage": 1.5}],
    "clients": {
        "retries": 2,
        "try_part": [0.2, 0.3],
        "backoff_ms": [1, 2],
        "honour": 0.5,
        "walk_off": 0.1,
        "marks_retry": False,
    },
    "discovery": {
        "mode": "ask",
        "notice_s": [1, 2],
        "silent_notice_s": [3, 4],
        "call_ms": 1,
        "front_notice_s": [1, 2],
    },
    "limits": {
        "max_attempts": 2,
        "retry_after": False,
        "max_retry_after_ms": 100,
        "connect_timeout_ms": 50,
        "sockets": 512,
    },
    "rules": {"drain_grace_ms": 100, "fall_multiple": 3, "fall_ms": 1000},
    "directory": {
        "servers": 1,
        "unknown": "share",
        "every_s": 2,
        "whole_s": 10,
        "timeout_s": 1,
        "more": 5,
    },
    "fault": FAULTS,
}
NO_FAULT = {key: value for key, value in EVERY.items() if key != "fault"}
FILES: dict[str, Table] = {
    "every key": EVERY,
    "least": {"name": "least", "load": {"rate": 1}},
    "each key misspelt": with_keys(EVERY, None),
    "an unknown key in each table": with_keys(EVERY, {"q9": 1}),
    "a table in the place of each value": changed(NO_FAULT, {}),
    "a number below all in the place of each value": changed(NO_FAULT, -1e12),
    "a number above all in the place of each value": changed(NO_FAULT, 1e12),
    "text in the place of each value": changed(NO_FAULT, "?"),
    "faults: only their kinds": {**NO_FAULT, "fault": [{"kind": fault["kind"]} for fault in FAULTS]},
    "faults: text in the place of each value": {
        **NO_FAULT,
        "fault": [{**changed(fault, "?"), "kind": fault["kind"]} for fault in FAULTS],
    },
    "faults: of no kind": {**NO_FAULT, "fault": [{"at_s": 1}, {"kind": "flood", "at_s": 1}]},
    "nothing": {},
    "what does not go together": {
        **{key: value for key, value in EVERY.items() if key != "directory"},
        "class": [{**EVERY["class"][0], "aim_ms": 700}, EVERY["class"][0]],
        "fault": [
            {**fault, "at_s": 99, "name": "none"} if fault["kind"] == "heavy" else fault for fault in FAULTS
        ],
    },
}


def test_what_the_check_says_of_each_file(tmp_path: Path) -> None:
    runs = []
    for number, table in enumerate(FILES.values()):
        (tmp_path / f"{number}.toml").write_text(as_toml(table))
        runs.append(Run(("rehearse", "check", f"{number}.toml")))
    done = run_many(runs, tmp_path, script="lanelift", warm=["rehearse check -h"])
    found = {
        name: {
            "code": each.code,
            "out": each.out.splitlines(),
            "err": re.sub(r"\b\d+\.toml", "FILE", each.err).splitlines(),
        }
        for name, each in zip(FILES, done, strict=True)
    }
    assert [found[name]["code"] for name in ("every key", "least")] == [0, 0]
    same_as_kept("golden/scenario-check.json", as_lines(found))


def test_each_key_is_read_with_its_value_or_default(tmp_path: Path) -> None:
    path = tmp_path / "f.toml"
    path.write_text(as_toml(EVERY))
    assert of_scenario_as_read(path) == EVERY
    found = {}
    path.write_text(as_toml(FILES["least"]))
    found["file"] = of_scenario_as_read(path)
    needed = ("kind", "at_s", "len_s", "name", "how")
    faults = [{key: fault[key] for key in fault if key in needed} for fault in FAULTS]
    path.write_text(as_toml({**NO_FAULT, "fault": faults}))
    found["faults"] = of_scenario_as_read(path)["fault"]
    path.write_text(as_toml({**FILES["least"], "directory": {}}))
    found["directory"] = of_scenario_as_read(path)["directory"]
    path.write_text(
        as_toml({**FILES["least"], "class": [{"name": "a", "work_ms": 1}], "tenant": [{"name": "a"}]})
    )
    found["rows"] = {key: of_scenario_as_read(path)[key] for key in ("class", "tenant")}
    same_as_kept("golden/scenario-defaults.json", as_lines(found))


SCHEDULE = """{
 "seed": 7,
 "voters": [
  "a",
  "b",
  "c"
 ],
 "contenders": [
  "p1"
 ],
 "until_ms": 9000,
 "steps": [
  {
   "at_ms": 1200,
   "what": "cut",
   "who": "b",
   "whom": "p1",
   "ms": 30,
   "part": 0.5
  }
 ],
 "rates": [
  [
   "a",
   0.001
  ]
 ],
 "loss": 0.05,
 "double": 0.1,
 "plans": [
  [
   "a",
   "d"
  ]
 ]
}"""
LEAST = '{"seed":1,"voters":["a"],"contenders":[],"until_ms":5}'
WHATS = (
    "kill",
    "lose",
    "start",
    "stop",
    "go",
    "cut",
    "heal",
    "delay",
    "drop",
    "double",
    "rate",
    "step",
    "plan",
    "release",
    "ask",
)


def test_a_schedule_is_the_same_text_both_ways() -> None:
    assert schedule_again(SCHEDULE.encode()).decode() == SCHEDULE
    assert schedule_values(SCHEDULE.encode()) == json.loads(SCHEDULE)
    same_as_kept("golden/schedule-least.json", schedule_again(LEAST.encode()).decode() + "\n")


@pytest.mark.parametrize("what", WHATS)
def test_every_step_is_known(what: str) -> None:
    text = SCHEDULE.replace('"cut"', f'"{what}"')
    assert schedule_again(text.encode()).decode() == text


def test_what_is_said_of_a_schedule_that_is_none() -> None:
    texts = [
        "{",
        "[]",
        "{}",
        SCHEDULE.replace('"cut"', '"flood"'),
        SCHEDULE.replace('"b",\n   "whom"', '"z",\n   "whom"'),
    ]
    texts.append(SCHEDULE.replace('"p1",\n   "ms"', '"z",\n   "ms"'))
    texts += [SCHEDULE.replace(f'"{key}"', f'"{key}x"') for key in json.loads(SCHEDULE)]
    texts += [SCHEDULE.replace(f'"{key}"', f'"{key}x"') for key in json.loads(SCHEDULE)["steps"][0]]
    texts += [json.dumps({**json.loads(SCHEDULE), key: {}}) for key in json.loads(SCHEDULE)]
    said = [schedule_again(text.encode()).decode() for text in texts]
    same_as_kept("golden/schedule-said.json", as_lines(said))
