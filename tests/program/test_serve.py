"""The command `lanelift`, and the daemon configured by the operator's file."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.fakes import Client, FakeUpstream, answer, free_port, run
from tests.program.test_program import connect, started

LANELIFT = Path(sys.executable).with_name("lanelift")
PRINT_PACKAGES = "import sys, lanelift.__main__; print(*sorted(m.partition('.')[0] for m in sys.modules))"


def lanelift(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([LANELIFT, *words], capture_output=True, text=True, timeout=60, check=False)


def operator_file(path: Path, port: int, *upstreams: FakeUpstream, more: str = "") -> Path:
    rows = "".join(f'[[upstream]]\nname = "{u.name}"\naddress = "127.0.0.1:{u.port}"\n' for u in upstreams)
    path.write_text(
        f'[serve]\nlisten = "127.0.0.1:{port}"\n{more}\n[[class]]\nname = "quote"\n'
        f'effect = "safe"\naim_ms = 2000\n{rows}'
    )
    return path


def test_the_daemon_loads_no_package_of_the_command_line() -> None:
    done = subprocess.run([sys.executable, "-c", PRINT_PACKAGES], capture_output=True, text=True, check=True)
    loaded = done.stdout.split()
    assert "httptools" in loaded
    assert not {"click", "pydantic", "tomllib", "rich", "psutil", "matplotlib"} & set(loaded)


def test_check_names_mistakes_and_serve_does_not_start(tmp_path: Path) -> None:
    """The operator's file has mistakes. `config check` names them, and `serve` does not start."""
    path = tmp_path / "f.toml"
    path.write_text("[serve]\nlisten = 3\n")
    for words in (("config", "check", str(path)), ("serve", "--config", str(path))):
        done = lanelift(*words)
        assert (done.returncode, done.stdout) == (2, "")
        assert done.stderr.splitlines() == [
            f"{path}: serve.listen: found 3; allowed: string",
            f"{path}: class: missing; it must be set",
            f"{path}: upstream: servers come from [[upstream]] or [discovery]: set one of them",
        ]


def test_help_lists_the_commands_and_an_unknown_one_is_an_error() -> None:
    assert all(word in lanelift("--help").stdout for word in ("serve", "config"))
    assert lanelift("srve").returncode == 2


@pytest.mark.parametrize("mistake", [False, True])
def test_sighup_applies_a_changed_list(tmp_path: Path, mistake: bool) -> None:
    """The file's list of upstreams changes, or the file gets a mistake. After SIGHUP a removed upstream
    finishes its open requests and gets no new requests; a file with a mistake changes nothing.
    """

    async def test() -> None:
        old, new = FakeUpstream("old"), FakeUpstream("new")
        await old.start()
        await new.start()
        go_on = asyncio.Event()

        async def slow() -> bytes:
            await go_on.wait()
            return answer(200, b"slow")

        old.script = [slow]
        port = free_port()
        path = operator_file(tmp_path / "f.toml", port, old)
        async with started(LANELIFT, "serve", "--config", path) as process:
            assert process.stderr is not None
            held = await connect(("127.0.0.1", port))
            assert (await held.request("r", path="/ready")).status == 200
            held.send("r0")
            await old.until(lambda: old.seen)
            if mistake:
                path.write_text("[serve")
            else:
                operator_file(path, port, new, more='zone = "east"')
            process.send_signal(signal.SIGHUP)
            line = (await process.stderr.readline()).decode()
            if mistake:
                assert "not reloaded" in line and "not TOML" in line
            else:
                assert "a change of settings needs a restart" in line
                assert b"1 upstreams listed" in await process.stderr.readline()
            client = await Client.to(("127.0.0.1", port))
            assert (await client.request("r1")).body == (b"old" if mistake else b"new")
            go_on.set()
            assert (await held.answer()).body == b"slow"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        old.stop()
        new.stop()

    run(test())


def test_a_change_of_the_kind_of_source_needs_a_restart(tmp_path: Path) -> None:
    """The file is changed to name a discovery server in place of a list of upstreams. A running balancer does
    not apply this change: it logs the change, and the old list stays in use.
    """

    async def test() -> None:
        upstream = FakeUpstream("box")
        await upstream.start()
        port = free_port()
        path = operator_file(tmp_path / "f.toml", port, upstream)
        async with started(LANELIFT, "serve", "--config", path) as process:
            assert process.stderr is not None
            client = await connect(("127.0.0.1", port))
            operator_file(path, port, more=f'[discovery]\naddress = "127.0.0.1:{free_port()}"')
            process.send_signal(signal.SIGHUP)
            assert b"a change of discovery needs a restart" in await process.stderr.readline()
            assert (await client.request("r1")).body == b"box"
        upstream.stop()

    run(test())
