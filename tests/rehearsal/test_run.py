"""Short complete rehearsals of the daemon, and of a bad balancer whose violations the kit must report."""

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

from lanelift.rehearsal.html_report import render_html

LANELIFT = Path(sys.executable).with_name("lanelift")
RELAY = f"{sys.executable} -m tests.rehearsal.relay"
CONCURRENT_RUNS = 3  # number of rehearsals that run at the same time; each keeps a part of a core busy
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
    """A finished rehearsal: its exit code, output and report."""

    code: int
    output: str
    report: dict[str, Any]

    def breaches(self) -> dict[str, Any]:
        found: dict[str, Any] = self.report["verdict"]["rules"]["breaches"]
        return found


# For each run: the text added to the small scenario, the violation, and further arguments of the command.
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
    more, violation, arguments = RUNS[name]
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
        *arguments,
        env={**os.environ, "SIN": violation},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    assert process.returncode is not None
    report = out / "report.json"
    return Run(process.returncode, output.decode(), json.loads(report.read_text()) if report.exists() else {})


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Run]:
    """Runs all rehearsals, a few at a time."""
    folder = tmp_path_factory.mktemp("rehearsals")

    async def all_of_them() -> dict[str, Run]:
        limit = asyncio.Semaphore(CONCURRENT_RUNS)

        async def one(name: str) -> tuple[str, Run]:
            async with limit:
                return name, await play(folder, name)

        return dict(await asyncio.gather(*(one(name) for name in RUNS)))

    return asyncio.run(all_of_them())


def test_a_calm_day_with_the_daemon_breaks_no_rule(runs: dict[str, Run]) -> None:
    run = runs["calm"]
    verdict = run.report["verdict"]
    assert run.breaches() == {}, run.output
    # On a busy machine the run may be void; the exit code must then be 1.
    assert run.code == (1 if verdict["void"] else 0)
    assert verdict["requests"]["asked"] > 100 and verdict["complaints"] == []
    assert verdict["requests"]["served"] > 0.8 * verdict["requests"]["asked"]
    assert verdict["balancers"]["memory_mb_max"] > 10 and verdict["kit"]["cpu_s"] > 0
    page = render_html(run.report)
    assert page.count("<svg") == 3
    # The page is self-contained: it loads nothing from elsewhere.
    assert not re.search(r'<script|<link|src=|href="(?!#|data:)|url\((?!#)', page)


def test_a_day_with_all_kinds_of_faults_breaks_no_rule(runs: dict[str, Run]) -> None:
    """The kit itself kills balancers and boxes, so that the requests lost by these kills are not breaches."""
    run = runs["faults"]
    assert run.breaches() == {}, run.output
    requests = run.report["verdict"]["requests"]
    assert requests["tries"] > requests["asked"] and requests["served"] > 0.5 * requests["asked"]


def test_suspensions_take_effect_and_failing_directories_break_no_rule(runs: dict[str, Run]) -> None:
    run = runs["standing"]
    assert run.breaches() == {}, run.output
    verdict, letters = run.report["verdict"], run.report["outcomes"]
    assert verdict["suspensions"]["count"] == 4 and verdict["suspensions"]["max_s"] < 5
    assert letters.count("d") == verdict["requests"]["denied"] > 5
    assert len(letters) == verdict["requests"]["asked"] and letters.count("s") > 0.5 * len(letters)
    assert "4 suspensions" in run.output or verdict["void"]


@pytest.mark.parametrize(
    ("violation", "rule", "message"),
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
def test_each_violation_is_reported_under_its_rule(
    runs: dict[str, Run], violation: str, rule: str, message: str
) -> None:
    run = runs[violation]
    assert run.code == 1
    # A crash also loses the requests in flight; any other violation breaks only its own rule.
    assert set(run.breaches()) <= {rule, "1"} if rule == "0" else set(run.breaches()) == {rule}, run.output
    breach = run.breaches()[rule]["first"][0]
    assert message in breach["what"] and (breach["request"] or rule == "0")


# ---- cleanup and errors ----------------------------------------------------------------------------------


def child_processes(pid: int) -> list[psutil.Process]:
    return psutil.Process(pid).children(recursive=True)


def start(folder: Path, *arguments: str, **more: Any) -> subprocess.Popen[str]:
    path = folder / "small.toml"
    path.write_text(SMALL)
    return subprocess.Popen(
        [LANELIFT, "rehearse", "run", str(path), "--length", "30", "--out", str(folder / "out"), *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        **more,
    )


@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGKILL])
def test_no_process_remains_when_the_kit_is_interrupted_or_killed(
    tmp_path: Path, how: signal.Signals
) -> None:
    kit = start(tmp_path)
    assert kit.stderr is not None
    for line in kit.stderr:
        if " of 30 s" in line:  # the day has started, so that all processes run
            break
    children = child_processes(kit.pid)
    assert len(children) == 5  # the processes for boxes, discovery and load, the supervisor, and its balancer
    kit.send_signal(how)
    output = kit.communicate(timeout=TIMEOUT_S)[1]
    assert kit.returncode == (1 if how is signal.SIGINT else -how)
    assert ("interrupted" in output) == (how is signal.SIGINT)
    _, alive = psutil.wait_procs(children, timeout=TIMEOUT_S)
    assert alive == []


def consecutive_ports(count: int) -> int:
    """Returns the first of `count` consecutive free ports."""
    for first in range(21_000 + os.getpid() % 5000, 32_000, count):
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + count):
                stack.enter_context(socket.socket()).bind(("127.0.0.1", port))
            return first
    raise AssertionError("no free ports")


def test_a_rehearsal_against_an_external_balancer(tmp_path: Path) -> None:
    """The daemon runs with an operator's file that lists the upstreams, without discovery."""
    base = consecutive_ports(8)
    listen = base + 7  # the port after the seven ports of six boxes and discovery
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
            output = "".join(kit.communicate(timeout=TIMEOUT_S))
            report = json.loads((tmp_path / "out" / "report.json").read_text())
            assert report["verdict"]["rules"]["kept"], output
            requests = report["verdict"]["requests"]
            assert requests["served"] > 0.7 * requests["asked"] > 50
            assert report["verdict"]["balancers"] == {}
        finally:
            balancer.terminate()
    assert balancer.returncode == 0


def test_a_shortage_of_descriptors_voids_the_run_and_is_reported(tmp_path: Path) -> None:
    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (24, 24))

    kit = start(tmp_path, "--length", "2", "--rate", "100", "--no-html", preexec_fn=limit_descriptors)
    output = "".join(kit.communicate(timeout=TIMEOUT_S))
    assert kit.returncode == 1
    assert "VOID" in output or "could not be played" in output
    assert "worth answered in time" not in output


def test_a_port_in_use_is_reported(tmp_path: Path) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        kit = start(tmp_path, "--base-port", str(port))
        output = kit.communicate(timeout=TIMEOUT_S)[1]
    assert (
        kit.returncode == 1 and "ended early" in output and str(port) in output and "Traceback" not in output
    )


def test_a_command_that_does_not_exist_is_reported(tmp_path: Path) -> None:
    kit = start(tmp_path, "--command", "no-such-balancer")
    output = kit.communicate(timeout=TIMEOUT_S)[1]
    assert kit.returncode == 1 and "No such file or directory: 'no-such-balancer'" in output


def test_the_death_of_a_kit_process_voids_the_run(tmp_path: Path) -> None:
    kit = start(tmp_path, "--no-html", "--length", "4")
    assert kit.stderr is not None
    for line in kit.stderr:
        if " of 4 s" in line:
            break
    boxes = next(
        p
        for p in child_processes(kit.pid)
        if (tmp_path / "out" / "boxes-0.log").samefile(f"/proc/{p.pid}/fd/2")
    )
    boxes.kill()
    output = kit.communicate(timeout=TIMEOUT_S)[0]
    assert kit.returncode == 1 and "VOID" in output and "boxes-0 ended early" in output


def test_bad_input_is_rejected_before_the_start(tmp_path: Path) -> None:
    (tmp_path / "there").write_text("")
    for arguments in (
        ["run", "clam"],
        ["run", "calm", "--boxes", "0"],
        ["run", "calm", "--out", str(tmp_path)],
        ["run", "calm", "--target", "nowhere"],
        ["run", "calm", "--base-port", "65000", "--boxes", "500", "--balancers", "60"],
        ["compare", "a.json", "b.json"],
        ["check", "none.toml"],
    ):
        done = subprocess.run(
            [LANELIFT, "rehearse", *arguments], capture_output=True, text=True, timeout=60, check=False
        )
        assert done.returncode == 2 and done.stderr and "Traceback" not in done.stderr
