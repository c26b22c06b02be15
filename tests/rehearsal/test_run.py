"""Whole rehearsals, short ones: the daemon, and a bad balancer whose sins the kit must name."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import resource
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil
import pytest

from lanelift.rehearsal.page import make_page

LANELIFT = Path(sys.executable).with_name("lanelift")
RELAY = f"{sys.executable} -m tests.rehearsal.relay"
AT_ONCE = 3  # rehearsals side by side: each keeps a part of a core busy
TIMEOUT_S = 120

SMALL = """
name = "small"
length_s = 4
[fleet]
boxes = 6
balancers = 1
[load]
rate = 40
"""
DEPLOY = """
[[fault]]
kind = "deploy"
at_s = 0.2
len_s = 1
part = 0.5
batch = 0.5
drain_s = [2.5, 2.5]
[discovery]
notice_s = [0.0, 0.1]
"""
COLD = """
[box]
cold_from = 0.1
cold_s = 60
[discovery]
notice_s = [0.0, 0.1]
[[fault]]
kind = "die"
at_s = 0.2
part = 0.2
back_after_s = [0.3, 0.4]
"""
FAULTS = """
[discovery]
notice_s = [0.1, 0.4]
front_notice_s = [0.2, 0.4]
[[fault]]
kind = "kill"
at_s = 0.8
back_after_s = 0.2
[[fault]]
kind = "restart"
at_s = 2.2
back_after_s = 0.1
[[fault]]
kind = "hup"
at_s = 0.4
[[fault]]
kind = "die"
at_s = 1.0
part = 0.3
back_after_s = [0.5, 1.0]
[[fault]]
kind = "freeze"
at_s = 0.5
len_s = 3
[[fault]]
kind = "slow"
at_s = 0.1
len_s = 3
[[fault]]
kind = "vanish"
at_s = 2.0
part = 0.17
[[fault]]
kind = "silent"
at_s = 1.5
len_s = 1
"""


STANDING = """
[directory]
every_s = 0.2
more = 20
[[fault]]
kind = "suspend"
at_s = 1.0
tenant = "brooklyn-desk"
[[fault]]
kind = "suspend"
at_s = 1.2
len_s = 0.5
count = 3
for_s = [0.8, 1.0]
[[fault]]
kind = "directory"
at_s = 1.9
len_s = 1.0
how = "refused"
servers = "first"
"""


@dataclass
class Run:
    """One rehearsal that was played: exit code, what it said, its report."""

    code: int
    said: str
    report: dict[str, Any]

    def broken(self) -> dict[str, Any]:
        found: dict[str, Any] = self.report["verdict"]["rules"]["breaches"]
        return found


# Name: what is added to the small scenario, the sin, further words of the command line.
RUNS: dict[str, tuple[str, str, list[str]]] = {
    "calm": ("", "", []),
    "faults": (FAULTS.replace("balancers = 1", ""), "", ["--balancers", "3"]),
    "standing": (STANDING, "", []),
    "silent": ("", "silent", ["--command", RELAY]),
    "garbage": ("", "garbage", ["--command", RELAY]),
    "forge": ("", "forge", ["--command", RELAY]),
    "extra": ("", "extra", ["--command", RELAY]),
    "twice": ("", "twice", ["--command", RELAY]),
    "deaf": (DEPLOY, "deaf", ["--command", RELAY]),
    "push": (COLD, "push", ["--command", RELAY]),
    "crash": ("", "crash", ["--command", RELAY]),
}


async def play(folder: Path, name: str) -> Run:
    more, sin, words = RUNS[name]
    path = folder / f"{name}.toml"
    path.write_text(SMALL + more)
    out = folder / name
    process = await asyncio.create_subprocess_exec(
        LANELIFT,
        "rehearse",
        "run",
        str(path),
        "--out",
        str(out),
        "--no-html",
        *words,
        env={**os.environ, "SIN": sin},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    said, _ = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    assert process.returncode is not None
    report = out / "report.json"
    return Run(process.returncode, said.decode(), json.loads(report.read_text()) if report.exists() else {})


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Run]:
    """All of them, a few at a time."""
    folder = tmp_path_factory.mktemp("rehearsals")

    async def all_of_them() -> dict[str, Run]:
        gate = asyncio.Semaphore(AT_ONCE)

        async def one(name: str) -> tuple[str, Run]:
            async with gate:
                return name, await play(folder, name)

        return dict(await asyncio.gather(*(one(name) for name in RUNS)))

    return asyncio.run(all_of_them())


def test_a_calm_day_with_the_daemon(runs: dict[str, Run]) -> None:
    run = runs["calm"]
    verdict = run.report["verdict"]
    assert run.broken() == {}, run.said
    assert run.code == (1 if verdict["void"] else 0)  # a busy machine voids it, and then it must say so
    assert verdict["requests"]["asked"] > 100 and verdict["complaints"] == []
    assert verdict["requests"]["served"] > 0.8 * verdict["requests"]["asked"]
    assert verdict["balancers"]["memory_mb_max"] > 10 and verdict["kit"]["cpu_s"] > 0
    page = make_page(run.report)
    assert page.count("<svg") == 3
    assert not re.search(
        r'<script|<link|src=|href="(?!#|data:)|url\((?!#)', page
    )  # it needs nothing beside it


def test_a_day_with_all_kinds_of_faults_breaks_no_rule(runs: dict[str, Run]) -> None:
    """The kill and the boxes that die are the kit's doing: nothing is charged for them."""
    run = runs["faults"]
    assert run.broken() == {}, run.said
    requests = run.report["verdict"]["requests"]
    assert requests["tries"] > requests["asked"] and requests["served"] > 0.5 * requests["asked"]


def test_suspensions_take_effect_and_directories_that_fail_break_no_rule(runs: dict[str, Run]) -> None:
    run = runs["standing"]
    assert run.broken() == {}, run.said
    verdict, letters = run.report["verdict"], run.report["outcomes"]
    assert verdict["suspensions"]["count"] == 4 and verdict["suspensions"]["max_s"] < 5
    assert letters.count("d") == verdict["requests"]["denied"] > 5
    assert len(letters) == verdict["requests"]["asked"] and letters.count("s") > 0.5 * len(letters)
    assert "4 suspensions" in run.said or verdict["void"]


@pytest.mark.parametrize(
    ("sin", "rule", "said"),
    [
        ("silent", "1", "no whole answer before its client's time was over"),
        ("garbage", "1", "what came is no answer"),
        ("forge", "1", "served with what no box made for it"),
        ("extra", "1", "bytes behind the final answer"),
        ("twice", "2", "while an attempt was out"),
        ("deaf", "3", "after it was told that this drains or is gone"),
        ("push", "4", "was pushed over while cold"),
        ("crash", "0", "ended by itself, exit code 3"),
    ],
)
def test_each_sin_is_found_and_named(runs: dict[str, Run], sin: str, rule: str, said: str) -> None:
    run = runs[sin]
    assert run.code == 1
    # A crash also loses what it held; no other rule is charged for a sin against one.
    assert set(run.broken()) <= {rule, "1"} if rule == "0" else set(run.broken()) == {rule}, run.said
    breach = run.broken()[rule]["first"][0]
    assert said in breach["what"] and (breach["request"] or rule == "0")


# ---- nothing is left behind ------------------------------------------------------------------------------


def family(pid: int) -> list[psutil.Process]:
    return psutil.Process(pid).children(recursive=True)


def start(folder: Path, *words: str, **more: Any) -> subprocess.Popen[str]:
    path = folder / "small.toml"
    path.write_text(SMALL)
    return subprocess.Popen(
        [LANELIFT, "rehearse", "run", str(path), "--length", "30", "--out", str(folder / "out"), *words],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        **more,
    )


@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGKILL])
def test_whatever_ends_the_kit_nothing_stays(tmp_path: Path, how: signal.Signals) -> None:
    kit = start(tmp_path)
    assert kit.stderr is not None
    for line in kit.stderr:
        if " of 30 s" in line:  # the day is on: all processes run
            break
    children = family(kit.pid)
    assert len(children) == 5  # boxes, discovery, the keeper and its balancer, load
    kit.send_signal(how)
    said = kit.communicate(timeout=TIMEOUT_S)[1]
    assert kit.returncode == (1 if how is signal.SIGINT else -how)
    assert ("interrupted" in said) == (how is signal.SIGINT)
    _, alive = psutil.wait_procs(children, timeout=TIMEOUT_S)
    assert alive == []


def consecutive_ports(count: int) -> int:
    """The first of so many free ports in a row."""
    for first in range(21_000 + os.getpid() % 5000, 32_000, count):
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + count):
                stack.enter_context(socket.socket()).bind(("127.0.0.1", port))
            return first
    raise AssertionError("no free ports")


def test_against_a_balancer_that_somebody_else_started(tmp_path: Path) -> None:
    """Ours, by its own file and its embedded list: no discovery at all."""
    base = consecutive_ports(8)
    listen = base + 7  # six boxes, discovery, and this
    boxes = "".join(f'[[upstream]]\nname = "b{i}"\naddress = "127.0.0.1:{base + i}"\n' for i in range(6))
    classes = "".join(
        f'[[class]]\nname = "{name}"\neffect = "safe"\naim_ms = 264\ndeadline_ms = 661\n'
        for name in ("rate-lookup", "fee-quote", "rate-history", "corridor-list")
    )
    file = tmp_path / "lanelift.toml"
    file.write_text(
        f'[serve]\nlisten = "127.0.0.1:{listen}"\n[limits]\nmax_attempts = 5\nprobes = true\n{classes}{boxes}'
    )
    with subprocess.Popen([LANELIFT, "serve", "-c", str(file)], stderr=subprocess.PIPE) as balancer:
        try:
            kit = start(
                tmp_path,
                "--length",
                "3",
                "--target",
                f"127.0.0.1:{listen}",
                "--base-port",
                str(base),
                "--no-html",
            )
            said = "".join(kit.communicate(timeout=TIMEOUT_S))
            report = json.loads((tmp_path / "out" / "report.json").read_text())
            assert report["verdict"]["rules"]["kept"], said
            requests = report["verdict"]["requests"]
            assert requests["served"] > 0.7 * requests["asked"] > 50
            assert report["verdict"]["balancers"] == {}
        finally:
            balancer.terminate()
    assert balancer.returncode == 0


def test_want_of_descriptors_voids_the_run_and_says_so(tmp_path: Path) -> None:
    def few() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (24, 24))

    kit = start(tmp_path, "--length", "2", "--rate", "100", "--no-html", preexec_fn=few)
    said = "".join(kit.communicate(timeout=TIMEOUT_S))
    assert kit.returncode == 1
    assert "VOID" in said or "could not be played" in said
    assert "worth answered in time" not in said


def test_a_port_that_is_taken_is_told(tmp_path: Path) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        kit = start(tmp_path, "--base-port", str(port))
        said = kit.communicate(timeout=TIMEOUT_S)[1]
    assert kit.returncode == 1 and "ended early" in said and str(port) in said and "Traceback" not in said


def test_a_command_that_is_not_there_is_told(tmp_path: Path) -> None:
    kit = start(tmp_path, "--command", "no-such-balancer")
    said = kit.communicate(timeout=TIMEOUT_S)[1]
    assert kit.returncode == 1 and "No such file or directory: 'no-such-balancer'" in said


def test_a_part_of_the_kit_that_dies_is_no_balancers_fault(tmp_path: Path) -> None:
    kit = start(tmp_path, "--no-html", "--length", "4")
    assert kit.stderr is not None
    for line in kit.stderr:
        if " of 4 s" in line:
            break
    boxes = next(
        p for p in family(kit.pid) if (tmp_path / "out" / "boxes-0.log").samefile(f"/proc/{p.pid}/fd/2")
    )
    boxes.kill()
    said = kit.communicate(timeout=TIMEOUT_S)[0]
    assert kit.returncode == 1 and "VOID" in said and "boxes-0 ended early" in said


def test_bad_input_starts_nothing(tmp_path: Path) -> None:
    (tmp_path / "there").write_text("")
    for words in (
        ["run", "clam"],
        ["run", "calm", "--boxes", "0"],
        ["run", "calm", "--out", str(tmp_path)],
        ["run", "calm", "--target", "nowhere"],
        ["run", "calm", "--base-port", "65000", "--boxes", "500", "--balancers", "60"],
        ["compare", "a.json", "b.json"],
        ["check", "none.toml"],
    ):
        done = subprocess.run(
            [LANELIFT, "rehearse", *words], capture_output=True, text=True, timeout=60, check=False
        )
        assert done.returncode == 2 and done.stderr and "Traceback" not in done.stderr
