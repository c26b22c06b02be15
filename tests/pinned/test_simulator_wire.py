"""The simulator's protocol, `python -m lanelift.wirehost`: each kind of event and of action, byte by byte."""

from __future__ import annotations

import base64
import functools
import json
import re
import struct
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.pinned.processes import Run, as_lines, run, run_many, same_as_kept

Json = dict[str, Any]
MS = 1_000_000
BEGIN = 2_000_000_000
SETTINGS: Json = {
    "me": 1,
    "replicas_of_me": 3,
    "locality": "north",
    "registry_mode": "push",
    "profiles": [
        {"name": "look", "repeat": "read_like", "aim_ns": 300 * MS, "hard_limit_ns": 900 * MS},
        {"name": "pay", "repeat": "non_idempotent", "aim_ns": 300 * MS, "hard_limit_ns": 900 * MS},
        {
            "name": "order",
            "repeat": "idempotency_key",
            "dedup_scope": "zone",
            "window_ns": 500 * MS,
            "aim_ns": 300 * MS,
            "hard_limit_ns": 900 * MS,
            "fifo_by_key": True,
        },
        {"name": "flow", "repeat": "read_like", "stream": True, "hard_limit_ns": 900 * MS},
    ],
    "realms": [{"name": "elm", "share": 0.6}, {"name": "fir", "share": 0.4, "quota_per_s": 50}],
    "limits": {
        "send_cap": 3,
        "may_cancel": True,
        "second_copies": True,
        "retry_after": True,
        "max_retry_after_ns": 700 * MS,
    },
    "rules": {"cold_from": 0.3, "cold_ns": 5000 * MS, "turn_gap_ns": 20 * MS},
}
PROBING: Json = {
    **SETTINGS,
    "limits": {**SETTINGS["limits"], "probes": True},
    "load_report": {"columns": ["inflight", "queue"], "how": "probes"},
}
TELLING: Json = {**SETTINGS, "limits": {**SETTINGS["limits"], "peers": True}}
SOLE: Json = {**SETTINGS, "registry_mode": "ask", "limits": {"retry_after": False}}
KINDS = {1: PROBING, 2: TELLING, 3: SOLE}
RESULTS = (
    "delivered",
    "app_error",
    "shed",
    "expired",
    "dial_failed",
    "dropped",
    "revoked",
    "unused",
)


def row(number: int, **more: Any) -> Json:
    return {
        "upstream": number,
        "locality": "north",
        "cohort": 1,
        "availability": 1,
        "scale": 1.0,
        "up_since_ns": 0,
        "class_of_host": "big",
        **more,
    }


def begin(number: int) -> list[Json]:
    return [
        {"t": "new_instance", "balancer": number, "seed": 5, "settings": KINDS[number]},
        {"t": "membership", "balancer": number, "form": 2, "stamp": 1, "buffer": 0},
    ]


def submit(ticket: str, now: int, **more: Any) -> Json:
    return {
        "t": "submit",
        "ticket": ticket,
        "kind": "look",
        "user_group": "elm",
        "deadline_ns": now + 800 * MS,
        "cost_guess_ns": 10 * MS,
        "entity": "",
        "resent": False,
        **more,
    }


def returned(ticket: str, upstream: int, result: str, attempt: int = 0, **more: Any) -> Json:
    return {
        "t": "returned",
        "ticket": ticket,
        "attempt": attempt,
        "upstream": upstream,
        "result": result,
        "took_ns": 10 * MS,
        **more,
    }


class Conversation:
    """The lines that a simulator sends, one batch of events each; they are the same in each run."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.now = BEGIN

    def say(self, *happened: Json, after: int = 10 * MS) -> None:
        self.now += after
        self.lines.append(
            json.dumps({"sim_time_ns": self.now, "round": len(self.lines), "happened": list(happened)})
        )


def conversation(sent: dict[tuple[int, str, int], int]) -> list[str]:
    """Returns a conversation with all kinds of events. `sent` has the upstream of each known attempt."""
    talk = Conversation()
    rows = [
        row(11),
        row(12),
        row(13, locality="south", cohort=2),
        row(14, availability=2),
        row(15, scale=0.5),
    ]
    talk.say({"t": "directory", "buffer": 0, "rows_in": rows}, *(e for n in KINDS for e in begin(n)))
    for number in KINDS:
        of = {"balancer": number}
        talk.say(submit("gone", talk.now + 10 * MS, **of))
        talk.say({"t": "dropped", **of, "ticket": "gone"})
        went = sent.get((number, "gone", 0))
        if went is not None:
            talk.say(returned("gone", went, "revoked", **of))
        now = talk.now + 10 * MS
        talk.say(
            *(
                submit(f"t{i}", now, **of, kind=kind, user_group=group, entity="k" if kind == "order" else "")
                for i, (kind, group) in enumerate(
                    [("look", "elm"), ("pay", "fir"), ("order", "elm"), ("order", "oak"), ("flow", "elm")]
                )
            )
        )
        talk.say(
            *(
                {
                    "t": "probe_result",
                    **of,
                    "upstream": u,
                    "result": "delivered",
                    "took_ns": MS,
                    "metrics": {"inflight": u - 10, "queue": 0},
                }
                for u in (11, 12, 15)
            )
        )
        talk.say({"t": "probe_result", **of, "upstream": 13, "result": "expired", "took_ns": 5 * MS})
        flows = sent.get((number, "t4", 0))
        if flows is not None:
            begun = {"t": "accepted", **of, "ticket": "t4", "attempt": 0, "upstream": flows}
            talk.say({**begun, "took_ns": 5 * MS})
        for i in range(5):
            went = sent.get((number, f"t{i}", 0))
            if went is not None:
                metrics = {"inflight": 1, "queue": 2}
                talk.say(returned(f"t{i}", went, RESULTS[i % 2], **of, metrics=metrics))
        for i, result in enumerate(RESULTS):
            for kind in ("look", "pay"):
                name = f"{kind}-{result}"
                begun = submit(name, talk.now + 200 * MS, **of, kind=kind, resent=i == 0)
                talk.say(begun, after=200 * MS)
                for attempt in range(3):
                    went = sent.get((number, name, attempt))
                    if went is not None:
                        more = {"complete": True} if result == "delivered" else {}
                        talk.say(returned(name, went, result, attempt, **of, **more))
        talk.say(*(submit(f"many{i}", talk.now + 10 * MS, **of) for i in range(40)))
        for _ in range(12):
            talk.say({"t": "timer", **of, "name": "1"}, {"t": "timer", **of, "name": "9"}, after=80 * MS)
        blob = base64.b64encode(struct.pack(">BQH", 1, 11, 250)).decode()
        talk.say({"t": "message", **of, "origin_peer": 0, "blob": blob})
        talk.say({"t": "directory", "buffer": 1, "rows_in": [row(16), row(11, availability=0)]})
        for form in (0, 1, 3):
            talk.say({"t": "membership", **of, "form": form, "stamp": 2, "buffer": 1})
            talk.say(submit(f"form{form}", talk.now + 10 * MS, **of))
    talk.say({"t": "power_off", "balancer": 2})
    talk.say(*begin(2))
    return talk.lines


@functools.cache
def played() -> tuple[list[str], list[str]]:
    """Plays the conversation, up to five times, until no answer is unknown. Returns its lines and replies."""
    sent: dict[tuple[int, str, int], int] = {}
    for _ in range(5):
        lines = conversation(sent)
        done = run(sys.executable, "-m", "lanelift.wirehost", stdin="".join(f"{x}\n" for x in lines))
        assert (done.code, done.err) == (0, "")
        replies = done.out.splitlines()
        found: dict[tuple[int, str, int], int] = {}
        counts: dict[tuple[int, str], int] = {}
        for reply in replies:
            for command in json.loads(reply)["cmds"]:
                if command["t"] == "submit_to":
                    of = command["balancer"], command["ticket"]
                    found[*of, counts.get(of, 0)] = command["upstream"]
                    counts[of] = counts.get(of, 0) + 1
        if found == sent:
            break
        sent = found
    return lines, replies


def test_a_conversation_to_the_byte() -> None:
    lines, replies = played()
    same_as_kept("golden/wire-said.jsonl", "".join(f"{line}\n" for line in lines))
    same_as_kept("golden/wire-heard.jsonl", "".join(f"{line}\n" for line in replies))


def test_the_conversation_has_every_kind() -> None:
    """The kinds `fetch`, `write_log` and `fault` are missing, as the balancers do not cause them here."""
    folder = Path(__file__).parent / "golden"
    said = [json.loads(line) for line in (folder / "wire-said.jsonl").read_text().splitlines()]
    heard = [json.loads(line) for line in (folder / "wire-heard.jsonl").read_text().splitlines()]
    assert {event["t"] for batch in said for event in batch["happened"]} == {
        "new_instance",
        "power_off",
        "directory",
        "membership",
        "submit",
        "returned",
        "timer",
        "dropped",
        "accepted",
        "probe_result",
        "message",
    }
    assert {e["result"] for b in said for e in b["happened"] if e["t"] == "returned"} == set(RESULTS)
    keys = {command["t"]: list(command) for batch in heard for command in batch["cmds"]}
    assert keys == {
        "track": ["t", "active", "balancer"],
        "submit_to": ["t", "ticket", "upstream", "timeout_ns", "balancer"],
        "schedule": ["t", "wait_ns", "name", "balancer"],
        "sample": ["t", "upstream", "balancer"],
        "announce": ["t", "dst", "blob", "balancer"],
        "retract": ["t", "ticket", "attempt", "balancer"],
        "push_back": ["t", "ticket", "backoff_ns", "balancer"],
        "finish_error": ["t", "ticket", "balancer"],
    }
    assert all(list(batch) == ["round", "cmds"] for batch in heard)


def test_a_fault_is_told_as_an_action() -> None:
    """A simulator reports the end of an attempt that was never made. The exception's place isn't pinned."""
    talk = Conversation()
    talk.say({"t": "directory", "buffer": 0, "rows_in": [row(11)]}, *begin(1))
    talk.say(submit("a", talk.now, balancer=1))
    talk.say(returned("a", 11, "delivered", attempt=7, balancer=1))
    done = run(sys.executable, "-m", "lanelift.wirehost", stdin="".join(f"{x}\n" for x in talk.lines))
    assert (done.code, done.err) == (0, "")
    assert re.sub(r" at \w+:\d+", " at PLACE", done.out.splitlines()[2]) == (
        '{"round":2,"cmds":[{"t":"fault","balancer":1,'
        '"message":"IndexError: list index out of range at PLACE"}]}'
    )


# Whatever the type of a value, at least one of these is wrong for it.
WRONG: tuple[Any, ...] = ("?", True, {})
WHOLE: dict[str, Json] = {
    "submit": {**submit("x", BEGIN), "balancer": 1},
    "returned": {**returned("x", 11, "delivered", complete=True, metrics={"inflight": 1}), "balancer": 1},
    "timer": {"t": "timer", "balancer": 1, "name": "1"},
    "dropped": {"t": "dropped", "balancer": 1, "ticket": "x"},
    "accepted": {"t": "accepted", "balancer": 1, "ticket": "x", "attempt": 0, "upstream": 11, "took_ns": 1},
    "probe_result": {
        "t": "probe_result",
        "balancer": 1,
        "upstream": 11,
        "result": "delivered",
        "took_ns": 1,
        "metrics": {"inflight": 1},
    },
    "message": {"t": "message", "balancer": 1, "origin_peer": 1, "blob": "AA=="},
    "membership": {"t": "membership", "balancer": 1, "form": 1, "buffer": 0},
    "directory": {"t": "directory", "buffer": 0, "rows_in": [row(11)]},
    "new_instance": {"t": "new_instance", "balancer": 1, "seed": 5, "settings": {}},
    "power_off": {"t": "power_off", "balancer": 1},
}


def test_what_is_said_of_each_key_that_is_wrong_or_missing(tmp_path: Path) -> None:
    """A refused value causes exit code 2 and one line of output; an allowed value causes 0 and no output."""
    start: list[Json] = [{"t": "directory", "buffer": 0, "rows_in": [row(11)]}, *begin(1)]
    cases: dict[str, Any] = {}
    for kind, event in WHOLE.items():
        for key in event:
            cases[f"{kind} without {key}"] = [{k: v for k, v in event.items() if k != key}]
            for value in WRONG:
                cases[f"{kind}.{key} = {json.dumps(value)}"] = [{**event, key: value}]
    for key in row(11):
        cases[f"row without {key}"] = [
            {**WHOLE["directory"], "rows_in": [{k: v for k, v in row(11).items() if k != key}]}
        ]
        for value in WRONG:
            cases[f"row.{key} = {json.dumps(value)}"] = [
                {**WHOLE["directory"], "rows_in": [row(11, **{key: value})]}
            ]
    cases["event = 7"] = [7]
    cases["an unknown kind"] = [{"t": "strange", "balancer": 1}]
    cases["a balancer that is not there"] = [{"t": "timer", "balancer": 9, "name": "1"}]
    texts = {
        name: json.dumps({"sim_time_ns": BEGIN, "round": 1, "happened": [*start, *events]})
        for name, events in cases.items()
    }
    texts |= {
        text: text
        for text in (
            "{",
            "[]",
            '{"round":1,"happened":[]}',
            '{"sim_time_ns":1,"happened":[]}',
            '{"sim_time_ns":1,"round":1}',
            '{"sim_time_ns":true,"round":1,"happened":[]}',
            '{"sim_time_ns":1,"round":1.5,"happened":[]}',
            '{"sim_time_ns":1,"round":1,"happened":{}}',
            '{"sim_time_ns":1,"round":1,"happened":[],"more":1}',
            '{"round": "\xff"}',
        )
    }
    done = run_many([Run(stdin=f"{text}\n") for text in texts.values()], tmp_path, module="lanelift.wirehost")
    assert {(each.code, each.err.count("\n")) for each in done} == {(0, 0), (2, 1)}
    found = {name: each.err.strip() or "good" for name, each in zip(texts, done, strict=True)}
    same_as_kept("golden/wire-errors.json", as_lines(found))


def test_the_message_that_balancers_send_each_other() -> None:
    """A message has eleven bytes: the kind, the upstream's number and the work in 0.1 ms, big-endian."""
    _, replies = played()
    told = [c for line in replies for c in json.loads(line)["cmds"] if c["t"] == "announce"]
    assert told and {c["balancer"] for c in told} == {2} and {c["dst"] for c in told} <= {0, 2}
    for command in told:
        data = base64.b64decode(command["blob"])
        kind, upstream, work = struct.unpack(">BQH", data)
        assert len(data) == 11 and kind == 1 and upstream in (11, 12, 13, 15, 16) and work >= 1
    same_as_kept("golden/wire-announced.txt", "".join(f"{c['dst']} {c['blob']}\n" for c in told))


@pytest.mark.parametrize(
    ("data", "heard"),
    [
        (struct.pack(">BQH", 1, 13, 0xFFFF), True),
        (struct.pack("<BQH", 1, 13, 0xFFFF), False),
        (struct.pack(">BQH", 2, 13, 0xFFFF), False),
        (struct.pack(">BQH", 1, 99, 0xFFFF), False),
        (struct.pack(">BQHB", 1, 13, 0xFFFF, 0), False),
        (b"", False),
    ],
)
def test_a_message_steers_requests_away_from_the_upstream_that_it_names(data: bytes, heard: bool) -> None:
    """A balancer avoids an upstream with 6.5 s of work in a message; an invalid message has no effect."""
    rows = [row(n) for n in (11, 12, 13, 15)]
    blob = base64.b64encode(data).decode()
    begun = [{"t": "directory", "buffer": 0, "rows_in": rows}, *begin(2)]
    told = [{"t": "message", "balancer": 2, "origin_peer": 0, "blob": blob} for _ in range(4)]

    def sent(*more: Json) -> list[int]:
        talk = Conversation()
        talk.say(*begun)
        talk.say(*more)
        talk.say(*(submit(f"t{i}", talk.now, balancer=2) for i in range(4)))
        done = run(sys.executable, "-m", "lanelift.wirehost", stdin="".join(f"{x}\n" for x in talk.lines))
        commands = [c for line in done.out.splitlines() for c in json.loads(line)["cmds"]]
        return [c["upstream"] for c in commands if c["t"] == "submit_to"]

    without = sent()
    assert 13 in without
    assert (13 not in sent(*told)) if heard else (sent(*told) == without)
