"""A process of `lanelift serve` that reads tenants from directories: standing, limits and outages."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import psutil
import pytest

from lanelift.standins.directory import Directory, NetworkFaults
from tests.fakes import Client, FakeUpstream, Message, answer, free_port, run
from tests.program.test_program import connect, started
from tests.tenants.town import BASE, READER, SECRET, agent, at, certificates, dn, town

LANELIFT = Path(sys.executable).with_name("lanelift")


def operator_file(
    path: Path, port: int, upstream: FakeUpstream, *urls: str, more: str = "", top: str = ""
) -> Path:
    secret = path.parent / "secret"
    secret.write_text(SECRET)
    path.write_text(f"""
[serve]
listen = "127.0.0.1:{port}"
[limits]
retry_after = true
[[class]]
name = "quote"
effect = "safe"
[[class]]
name = "history"
effect = "safe"
[[tenant]]
name = "Ash"
[[upstream]]
name = "box"
address = "127.0.0.1:{upstream.port}"
[tenants]
base = "{BASE}"
every_s = 0.1
whole_s = 1
{top}
[tenants.map]
standing = "agentStanding"
quota = "agentQuota"
classes = "agentClass"
{"".join(_directory(url, secret) for url in urls)}

""")
    return path


def _directory(url: str, secret: Path) -> str:
    ca = secret.parent / "ca.pem"
    tls = f'ca_file = "{ca}"' if url.startswith("ldaps") else 'tls = "off"'
    return f"""
[[tenants.directory]]
url = "{url}"
user = "{READER}"
password_file = "{secret}"
timeout_s = 0.3
{tls}
"""


@dataclass
class ServeProcess:
    """A balancer process with one upstream, and a client's connection to it."""

    process: asyncio.subprocess.Process
    client: Client
    upstream: FakeUpstream
    path: Path  # path of the operator's file
    port: int
    count: int = 0

    async def until_logged(self, words: str) -> None:
        await read_log_until(self.process, words)

    async def request(self, tenant: str, kind: str = "quote") -> Message:
        self.count += 1
        return await self.client.request(f"r{self.count}", kind, **{"X-Tenant": tenant})

    async def status_and_body(self, tenant: str, kind: str = "quote") -> tuple[int, str]:
        message = await self.request(tenant, kind)
        return message.status, message.body.decode().strip()

    async def until_not_served(self, tenant: str) -> tuple[int, str]:
        """Sends requests until an answer has a status other than 200; returns that answer's status and
        body."""
        while (found := await self.status_and_body(tenant))[0] == 200:
            pass
        return found


@asynccontextmanager
async def shop(
    folder: Path, *directories: Directory, top: str = "", begun: str = "tenants read from a directory"
) -> AsyncIterator[ServeProcess]:
    """Runs a balancer process, and yields it once its log contains `begun`. Without `directories` the
    process's file names a directory that is unreachable.
    """
    upstream = FakeUpstream("box")
    await upstream.start()
    for directory in directories:
        await directory.start()
    urls = [address(directory) for directory in directories] or [f"ldap://127.0.0.1:{free_port()}"]
    port = free_port()
    path = operator_file(folder / "f.toml", port, upstream, *urls, top=top)
    async with started(LANELIFT, "serve", "--config", path) as process:
        await read_log_until(process, begun)
        yield ServeProcess(process, await connect(("127.0.0.1", port)), upstream, path, port)
        children = psutil.Process(process.pid).children()
        process.send_signal(signal.SIGTERM)
        await process.wait()
        _, alive = await asyncio.to_thread(psutil.wait_procs, children, 10)
        assert not alive  # the process that reads the directories has ended with its balancer
    for directory in directories:
        directory.stop()
    upstream.stop()


async def read_log_until(process: asyncio.subprocess.Process, words: str) -> None:
    """Reads the process's log until a line contains `words`."""
    assert process.stderr is not None
    while words.encode() not in (line := await process.stderr.readline()):
        assert line, f"the process ended before it logged {words!r}"


def address(directory: Directory) -> str:
    return f"ldap{'s' * directory.ldaps}://127.0.0.1:{directory.port}"


def test_standing_classes_and_limits_reach_the_answers(tmp_path: Path) -> None:
    async def test() -> None:
        tree = town("ash", "elm")
        agent(tree, "oak", agentClass="history")
        agent(tree, "yew", agentQuota="1")
        with certificates(tmp_path, "127.0.0.1") as (context, _):
            directory = Directory(tree, {READER: SECRET}, context, ldaps=True)
            async with shop(tmp_path, directory, top='unknown = "deny"\nstart = "wait"') as s:
                assert (await s.status_and_body("ASH"))[0] == 200  # names are compared without case
                assert await s.status_and_body("oak") == (403, "class not allowed")
                assert (await s.status_and_body("oak", "history"))[0] == 200
                assert await s.status_and_body("nobody") == (403, "unknown tenant")
                assert (await s.status_and_body("yew"))[0] == 200
                over = await s.request("yew")
                assert over.status == 429 and 0 < float(over.headers["retry-after"]) <= 1
                tree.change(dn("elm"), at(50), agentStanding="suspended")
                assert await s.until_not_served("elm") == (403, "suspended")

    run(test())


@pytest.mark.parametrize("trouble", ["refused", "silent", "garbage"])
def test_requests_are_served_during_an_outage_of_the_directory(trouble: str, tmp_path: Path) -> None:
    """The directory refuses calls, is silent or sends garbage. Tenants are served by what was read before."""

    async def test() -> None:
        directory = Directory(town("ash", "elm"), {READER: SECRET})
        async with shop(tmp_path, directory, top='unknown = "deny"') as s:
            if trouble == "refused":
                directory.stop()
            else:
                directory.network_faults = NetworkFaults(silent=trouble == "silent", garbage=b"\x00garbage")
            for _ in range(50):
                assert (await s.status_and_body("elm"))[0] == 200
            await s.until_logged(f"directory {address(directory)}")
            assert (await s.status_and_body("ash"))[0] == 200

    run(test())


def test_a_start_without_a_directory_serves_the_tenants_in_the_settings(tmp_path: Path) -> None:
    """A balancer starts while its directory is down. It serves the tenants in its settings."""

    async def test() -> None:
        async with shop(tmp_path, top='unknown = "deny"', begun="connect") as s:
            for name in ("ash", "nobody"):
                # an outage of the directory must not deny all tenants
                assert (await s.status_and_body(name))[0] == 200

    run(test())


def test_a_start_that_waits_is_not_ready_until_tenants_are_read_or_the_wait_times_out(tmp_path: Path) -> None:
    """A balancer is configured to wait for its directory, which is unreachable. `/ready` fails until tenants
    have been read or the wait has timed out; requests that arrive before that are served.
    """

    async def test() -> None:
        async with shop(tmp_path, top='start = "wait"\nwait_s = 1.0', begun="connect") as s:
            assert (await s.client.request("r", path="/ready")).status == 503
            assert (await s.status_and_body("ash"))[0] == 200  # requests are served nevertheless
            await s.until_logged("no directory was read within 1 s")
            assert (await s.client.request("r", path="/ready")).status == 200

    run(test())


def test_a_killed_reader_is_restarted_and_requests_are_served(tmp_path: Path) -> None:
    """The process that reads directories is killed. It is restarted, and requests are served meanwhile."""

    async def test() -> None:
        tree = town("ash", "elm")
        tree.change(dn("elm"), at(50), agentStanding="suspended")
        async with shop(tmp_path, Directory(tree, {READER: SECRET}), top='unknown = "deny"') as s:
            (reader,) = psutil.Process(s.process.pid).children()
            reader.kill()
            await s.until_logged("the reader of directories has ended")
            assert (await s.status_and_body("ash"))[0] == 200
            assert await s.status_and_body("elm") == (403, "suspended")
            await s.until_logged("tenants read from a directory: 2")
            assert await s.status_and_body("elm") == (403, "suspended")

    run(test())


def test_sighup_changes_the_directory_and_the_rule_for_unknown_tenants(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = (Directory(town("ash", name), {READER: SECRET}) for name in ("elm", "oak"))
        await new.start()
        async with shop(tmp_path, old) as s:
            assert (await s.status_and_body("nobody"))[0] == 200
            top = 'unknown = "deny"\nremoval_part = 1.0'
            operator_file(s.path, s.port, s.upstream, address(new), top=top)
            s.process.send_signal(signal.SIGHUP)
            assert await s.until_not_served("elm") == (403, "unknown tenant")
            await s.until_logged("1 tenants removed: elm")
            assert (await s.status_and_body("oak"))[0] == 200
        new.stop()

    run(test())


def test_a_request_sent_before_a_suspension_gets_its_own_answer(tmp_path: Path) -> None:
    """A tenant is suspended while one of its requests is at an upstream. That request gets the upstream's
    answer; the tenant's next request is rejected.
    """

    async def test() -> None:
        go_on = asyncio.Event()

        async def slow() -> bytes:
            await go_on.wait()
            return answer(200, b"late")

        tree = town("ash")
        async with shop(tmp_path, Directory(tree, {READER: SECRET})) as s:
            s.upstream.script = [slow]
            first = await connect(("127.0.0.1", s.port))
            first.send("first")
            await s.upstream.until(lambda: s.upstream.seen)
            tree.change(dn("ash"), at(50), agentStanding="suspended")
            await s.until_not_served("ash")
            go_on.set()
            assert (await first.answer()).body == b"late"

    run(test())


# ---- lanelift tenants ------------------------------------------------------------------------------------


async def command(*words: str | Path) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        LANELIFT, "tenants", *words, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    out, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, out.decode()


def test_the_show_and_check_commands(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = FakeUpstream("box")
        await upstream.start()
        tree = town("ash", "elm")
        agent(tree, "oak", agentQuota="2.5", agentStanding="suspended")
        directory = Directory(tree, {READER: SECRET})
        await directory.start()
        url = f"ldap://127.0.0.1:{directory.port}"
        path = operator_file(tmp_path / "f.toml", free_port(), upstream, url)
        code, text = await command("show", "--config", path)
        assert code == 0 and "3 tenants, 1 of them not served" in text and "at most 2.5/s" in text
        code, text = await command("show", "--config", path, "--json")
        assert code == 0 and len(json.loads(text)["tenants"]) == 3
        (tmp_path / "before.json").write_text(text)
        code, text = await command("check", "--config", path)
        assert code == 0 and "+ elm" in text and "3 entries" in text
        agent(tree, "yew", agentQuota="lots")
        tree.change(dn("elm"), at(50), agentStanding="suspended")
        code, text = await command("check", "--config", path, "--against", tmp_path / "before.json")
        assert code == 1 and "~ elm: served" in text and "cn=yew" in text and "'lots'" in text
        assert "+ oak" not in text
        directory.stop()
        code, text = await command("show", "--config", path)
        assert code == 1 and "connect" in text
        code, text = await command("check", "--config", path, "--against", path)
        assert code == 2 and "tenants show --json" in text
        upstream.stop()

    run(test())


def test_show_rejects_a_file_without_directories(tmp_path: Path) -> None:
    async def test() -> None:
        code, text = await command("show", "--config", Path("deploy/lanelift.toml"))
        assert code == 2 and "names no directory" in text

    run(test())
