"""The simulator host as a subprocess: round trip, bad input, and the same actions whatever the hash seed."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

import pytest

from lanelift import wirehost
from lanelift.policy import actions
from lanelift.policy.actions import Action
from lanelift.policy.balancer import Balancer
from lanelift.policy.settings import DeduplicationScope
from lanelift.settings import read_settings
from lanelift.wirehost import Host, read_upstream

Json = dict[str, Any]
SETTINGS: Json = {
    "me": 0,
    "replicas_of_me": 2,
    "locality": "north",
    "unknown_key": {"deep": 1},
    "registry_mode": "ask",
    "profiles": [{"name": "look", "repeat": "read_like", "aim_ns": 300_000_000}],
    "realms": [{"name": "elm", "share": 0.6}, {"name": "fir", "share": 0.4}],
    "limits": {"send_cap": 3, "may_cancel": True, "second_copies": True, "retry_after": True},
    "rules": {"ask_within_ns": 10_000_000_000, "cold_from": 0.3, "cold_ns": 5_000_000_000},
    "load_report": {"columns": ["util", "strange"], "how": "answers"},
}
ROWS = [
    {"upstream": i, "locality": "north", "cohort": 1, "availability": 1, "extra": 3} for i in (11, 12, 13)
]


def run(lines: list[str], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "lanelift.wirehost"],
        input="".join(f"{x}\n" for x in lines),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )


def batch(number: int, now: int, *happened: Any) -> str:
    return json.dumps({"sim_time_ns": now, "round": number, "happened": list(happened)})


def start(balancer: int = 0) -> list[Json]:
    return [
        {"t": "new_instance", "balancer": balancer, "seed": 5, "settings": SETTINGS},
        {"t": "directory", "buffer": 0, "rows_in": ROWS},
        {"t": "membership", "balancer": balancer, "form": 2, "stamp": 1, "buffer": 0},
    ]


def submit(ticket: str, now: int, balancer: int = 0) -> Json:
    return {
        "t": "submit",
        "balancer": balancer,
        "ticket": ticket,
        "kind": "look",
        "user_group": "elm",
        "deadline_ns": now + 400_000_000,
    }


def two_balancer_batches() -> list[str]:
    lines = [batch(1, 10**9), batch(2, 2 * 10**9, *start(0), *start(1))]
    for i in range(40):
        now = 2 * 10**9 + i * 10**7
        lines.append(batch(3 + i, now, *(submit(f"t{i}-{j}-{b}", now, b) for j in range(3) for b in (0, 1))))
    return lines


def test_round_trip() -> None:
    now = 2 * 10**9
    done = run(
        [
            batch(1, now, *start(), submit("t1", now)),
            batch(
                2,
                now + 10**7,
                {
                    "t": "returned",
                    "balancer": 0,
                    "ticket": "t1",
                    "attempt": 0,
                    "upstream": 11,
                    "result": "delivered",
                    "took_ns": 10**7,
                    "complete": True,
                    "metrics": {"util": 0.2, "strange": 1},
                },
            ),
        ]
    )
    assert done.returncode == 0 and not done.stderr
    first, second = (json.loads(line) for line in done.stdout.splitlines())
    sends = [c for c in first["cmds"] if c["t"] == "submit_to"]
    assert len(sends) == 1 and sends[0]["upstream"] in (11, 12, 13) and sends[0]["balancer"] == 0
    assert second["round"] == 2


def test_same_actions_whatever_the_hash_seed() -> None:
    assert run(two_balancer_batches(), "1").stdout == run(two_balancer_batches(), "2").stdout != ""


def test_each_action_has_its_command(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each kind of action is written, with each of its fields.

    If a field of an action is renamed and the host still reads it by its former name, nothing fails before
    such an action is written. The balancer is then reported as faulty, and its other commands are lost.
    """

    class ScriptedBalancer(Balancer):
        def handle(self, now: int, events: object) -> list[Action]:
            return [
                actions.StartAttempt("r1", 11, 7),
                actions.Reject("r2", 8),
                actions.Fail("r3"),
                actions.CancelAttempt("r1", 1),
                actions.ProbeLoad(12),
                actions.SendPeerMessage(b"hi", 2),
                actions.Subscribe(False),
                actions.FetchEndpoints(),
                actions.SetTimer(9, "t"),
                actions.Log("said"),
            ]

    monkeypatch.setattr(wirehost, "Balancer", ScriptedBalancer)
    reply = json.loads(Host().run_batch(batch(1, 1, *start())))
    assert [command.pop("balancer") for command in reply["cmds"]] == [0] * 10
    assert reply["cmds"] == [
        {"t": "submit_to", "ticket": "r1", "upstream": 11, "timeout_ns": 7},
        {"t": "push_back", "ticket": "r2", "backoff_ns": 8},
        {"t": "finish_error", "ticket": "r3"},
        {"t": "retract", "ticket": "r1", "attempt": 1},
        {"t": "sample", "upstream": 12},
        {"t": "announce", "dst": 2, "blob": "aGk="},
        {"t": "track", "active": False},
        {"t": "fetch"},
        {"t": "schedule", "wait_ns": 9, "name": "t"},
        {"t": "write_log", "message": "said"},
    ]


def test_power_off_forgets_the_balancer() -> None:
    """The host receives an event for a balancer that was powered off: the host does not know this balancer,
    and ends with a plain message.
    """
    now = 2 * 10**9
    done = run(
        [
            batch(1, now, *start(), submit("t1", now)),
            batch(2, now + 1, {"t": "power_off", "balancer": 0}),
            batch(3, now + 2, {"t": "timer", "balancer": 0, "name": "1"}),
        ]
    )
    assert done.returncode == 2 and "not started" in done.stderr


@pytest.mark.parametrize(
    ("line", "says"),
    [
        ("{", "not JSON"),
        ("[]", "must be an object"),
        ('{"round":1,"happened":[]}', "sim_time_ns"),
        ('{"sim_time_ns":1,"happened":[]}', "round"),
        ('{"sim_time_ns":1,"round":1}', "happened"),
        (batch(1, 1, {"t": "strange", "balancer": 0}), "not started"),
        (batch(1, 1, {"balancer": 0}), "lacks t"),
        (batch(1, 1, 7), "event must be an object"),
        (batch(1, 1, *start(), {"t": "strange", "balancer": 0}), "unknown event 'strange'"),
        (batch(1, 1, *start(), {"t": "submit", "balancer": 0, "ticket": "t1"}), "submit lacks kind"),
        (
            batch(1, 1, *start(), {**submit("t1", 1), "deadline_ns": "soon"}),
            "deadline_ns must be a whole number",
        ),
        (
            batch(1, 1, *start(), {**submit("t1", 1), "deadline_ns": True}),
            "deadline_ns must be a whole number",
        ),
        (batch(1, 1, *start(), {"t": "membership", "balancer": 0, "form": 7, "buffer": 0}), "unknown form 7"),
        (
            batch(1, 1, *start(), {"t": "membership", "balancer": 0, "form": 1, "buffer": 9}),
            "unknown buffer 9",
        ),
        (
            batch(
                1,
                1,
                *start(),
                {
                    "t": "returned",
                    "balancer": 0,
                    "ticket": "t1",
                    "attempt": 0,
                    "upstream": 11,
                    "result": "great",
                },
            ),
            "unknown result",
        ),
        (batch(1, 1, *start(), {"t": "message", "balancer": 0, "origin_peer": 1, "blob": "?"}), "not base64"),
        (
            batch(
                1,
                1,
                {
                    "t": "new_instance",
                    "balancer": 0,
                    "seed": 5,
                    "settings": {"rules": {"ask_within_ns": "soon"}},
                },
            ),
            "ask_within_ns must be a whole",
        ),
    ],
)
def test_malformed_input_stops_with_a_plain_message(line: str, says: str) -> None:
    """A line is not a batch, or an event in it can't be read: the host ends with a plain message and exit
    status 2.
    """
    done = run([line])
    assert done.returncode == 2 and says in done.stderr and "Traceback" not in done.stderr


def test_invalid_utf_8_is_reported_like_other_bad_input() -> None:
    """A line is not UTF-8: the host reports the line like any other bad input, without a traceback."""
    done = subprocess.run(
        [sys.executable, "-m", "lanelift.wirehost"],
        input=b'{"round": "\xff"}\n',
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2 and b"line 1: not JSON" in done.stderr and b"Traceback" not in done.stderr


def test_an_exception_in_a_balancer_is_reported_as_its_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    """A balancer raises an exception: the host reports the exception as that balancer's fault, with the
    function that raised the exception, and goes on.
    """

    def broken(self: Balancer, now: int, events: object) -> list[Action]:
        raise IndexError("no such place")

    host = Host()
    host.run_batch(batch(1, 1, *start(3)))
    monkeypatch.setattr(Balancer, "handle", broken)
    reply = json.loads(host.run_batch(batch(2, 2, {"t": "timer", "balancer": 3, "name": "1"})))
    fault = reply["cmds"][0]
    assert fault["t"] == "fault" and fault["balancer"] == 3
    assert "IndexError: no such place at broken:" in fault["message"]


def test_settings_on_the_wire_reach_the_policy() -> None:
    row = {
        "name": "order",
        "repeat": "idempotency_key",
        "dedup_scope": "cell",
        "fifo_by_key": True,
        "runs_in": ["north"],
        "allowed_on": ["big"],
        "window_ns": 5,
    }
    read = read_settings({"profiles": [row], "rules": {"turn_gap_ns": 7}})
    cls = read.classes["order"]
    assert (
        cls.ordered_by_key
        and cls.zones == {"north"}
        and cls.machine_kinds == {"big"}
        and cls.deduplication_scope is DeduplicationScope.CELL
    )
    assert read.rules.key_cooldown_ns == 7
    assert read_upstream({"upstream": 1, "class_of_host": "big"}).kind == "big"


def test_events_for_ended_requests_are_ignored() -> None:
    """Events for requests and attempts that have ended, and for old timers, are ignored."""
    now = 2 * 10**9
    gone = {"t": "dropped", "balancer": 0, "ticket": "t1"}
    late = {
        "t": "returned",
        "balancer": 0,
        "ticket": "t1",
        "attempt": 0,
        "upstream": 99,
        "result": "delivered",
    }
    stale = {"t": "timer", "balancer": 0, "name": "77"}
    done = run([batch(1, now, *start(), submit("t1", now)), batch(2, now + 1, gone, gone, late, stale)])
    assert done.returncode == 0 and not done.stderr
