"""The client against a directory that fails in every way, and cut at every byte."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import replace
from pathlib import Path

import ldap3
import pytest

from lanelift.standins.directory import Directory, NetworkFaults
from lanelift.standins.ldap import Code, ServerFaults
from lanelift.tenants.client import DirectoryError, Session, read_password
from lanelift.tenants.sync_config import changed_since
from tests.fakes import free_port, run
from tests.tenants.town import MAP, READER, SECRET, agent, certificates, read, search, town, where


def test_all_entries_page_by_page(tmp_path: Path) -> None:
    async def test() -> None:
        secret = tmp_path / "secret"
        secret.write_text(SECRET + "\n")
        directory = Directory(town(*(f"agent-{i:03}" for i in range(55))), {READER: SECRET})
        await directory.start()
        for page in (1, 10, 55, 500):
            found, why = await read(where(directory, secret), search(page))
            assert why == "" and len({p.name for p in found}) == 55
            assert all(p.record and p.record.stamp_us for p in found)
        directory.stop()

    run(test())


def test_a_directory_without_pages() -> None:
    """A directory ignores the control for pages. All its entries are read as one page."""

    async def test() -> None:
        directory = Directory(town("ash", "elm"), server_faults=ServerFaults(pages=False))
        await directory.start()
        found, why = await read(where(directory), search(1))
        assert why == "" and len(found) == 2
        directory.stop()

    run(test())


def test_changes_since_a_time() -> None:
    async def test() -> None:
        tree = town("ash", "elm")
        agent(tree, "oak", 120)
        directory = Directory(tree)
        await directory.start()
        whole, _ = await read(where(directory))
        mark = max(p.stamp_us for p in whole)
        found, why = await read(where(directory), changed_since(search(), MAP, mark))
        assert why == "" and [p.name for p in found] == ["oak"]
        directory.stop()

    run(test())


@pytest.mark.parametrize(("tls", "context"), [("ldaps", True), ("starttls", True), ("starttls", False)])
def test_tls_is_verified(tls: str, context: bool, tmp_path: Path) -> None:
    """A directory has a certificate of another host, none at all, or one of an unknown authority. It is
    not read.
    """

    async def test() -> None:
        for name, works in (("127.0.0.1", True), ("elsewhere.example", False)):
            with certificates(tmp_path, name) as (server, ca):
                directory = Directory(town("ash"), tls=server if context else None, ldaps=tls == "ldaps")
                await directory.start()
                found, why = await read(where(directory, tls=tls, ca=ca))
                assert bool(found) == (works and context) and bool(why) != bool(found)
                found, why = await read(where(directory, tls=tls))  # an authority that nobody knows
                assert not found and why
                directory.stop()

    run(test())


def test_a_certificate_is_not_verified_where_configured_so(tmp_path: Path) -> None:
    async def test() -> None:
        with certificates(tmp_path, "elsewhere.example") as (server, _):
            directory = Directory(town("ash"), tls=server, ldaps=True)
            await directory.start()
            found, why = await read(replace(where(directory, tls="ldaps"), verify=False))
            assert len(found) == 1 and why == ""
            directory.stop()

    run(test())


@pytest.mark.parametrize(
    ("manners", "count", "words"),
    [
        (ServerFaults(Code.BUSY), 0, "busy"),
        (ServerFaults(Code.UNAVAILABLE), 0, "unavailable"),
        (ServerFaults(Code.TIME_LIMIT, after=2), 2, "its time limit was reached"),
        (ServerFaults(Code.SIZE_LIMIT, after=1), 1, "its size limit was reached"),
        (ServerFaults(most=2), 2, "its size limit was reached"),
        (
            ServerFaults(Code.REFERRAL, referral="ldap://b.example/"),
            0,
            "ldap://b.example/, which is not followed",
        ),
        (ServerFaults(referral="ldap://b.example/", references=True), 3, "for a part, which is not followed"),
        (ServerFaults(Code.NO_SUCH_OBJECT), 0, "noSuchObject"),
        (ServerFaults(Code.ACCESS), 0, "insufficientAccessRights"),
    ],
)
def test_an_incomplete_read_says_why(manners: ServerFaults, count: int, words: str) -> None:
    """A directory refuses, stops at a limit or refers to another one. What it returned counts, and the
    failure is named.
    """

    async def test() -> None:
        directory = Directory(town("ash", "elm", "oak"), server_faults=manners)
        await directory.start()
        found, why = await read(where(directory))
        assert len(found) == count and words in why
        directory.stop()

    run(test())


def test_wrong_credentials_are_reported_without_the_password(tmp_path: Path) -> None:
    """The password file holds the wrong password. The failure is named, and the password is not in it."""

    async def test() -> None:
        secret = tmp_path / "secret"
        secret.write_text("open barley")
        directory = Directory(town("ash"), {READER: SECRET})
        await directory.start()
        found, why = await read(where(directory, secret))
        assert not found and "invalidCredentials" in why and "barley" not in why
        directory.stop()

    run(test())


def test_refused_silent_and_invalid_answers_fail_in_time() -> None:
    """A directory is silent, closes the connection, sends bytes that are no LDAP or refuses the
    connection. Each fails within its timeout.
    """

    async def test() -> None:
        directory = Directory(town("ash"))
        await directory.start()
        bad = b"\x30\x84\xff\xff\xff\xff" + b"x" * 40
        troubles = [NetworkFaults(silent=True), NetworkFaults(cut_after=0), NetworkFaults(garbage=bad)]
        for trouble in [*troubles, NetworkFaults(garbage=b"HTTP/1.1 400 Bad Request\r\n\r\n")]:
            directory.network_faults = trouble
            found, why = await read(where(directory, timeout_s=0.2))
            assert not found and why, trouble
        directory.network_faults = NetworkFaults()
        directory.stop()
        found, why = await read(where(directory))
        assert not found and "connect" in why

    run(test())


def test_cut_at_every_byte_a_read_never_counts_as_complete(monkeypatch: pytest.MonkeyPatch) -> None:
    """The answers of two pages, cut after each of their bytes: all that came counts, and it is not all."""
    # ldap3 numbers messages over all connections of a process: from here on each number has two bytes.
    monkeypatch.setattr(ldap3.Server, "_message_counter", 1000)

    async def test() -> None:
        directory = Directory(town("ash", "elm", "oak"))
        await directory.start()
        directory.network_faults = NetworkFaults(cut_after=1_000_000)
        session = Session(where(directory))
        await asyncio.to_thread(session.open)
        await asyncio.to_thread(lambda: list(session.pages(search(2))))
        size = max(client.answered for client in directory.clients)
        session.close()
        counts = []
        for cut in range(size):
            directory.network_faults = NetworkFaults(cut_after=cut)
            found, why = await read(where(directory), search(2))
            assert why
            counts.append(len(found))
        assert counts == sorted(counts) and set(counts) == {0, 2} and size > 400
        # Ended just behind its last byte it may pass for either: that is seen in time, or not.
        directory.network_faults = NetworkFaults(cut_after=size + 1)
        found, why = await read(where(directory), search(2))
        assert why == "" and len(found) == 3
        directory.stop()

    run(test())


def test_another_thread_can_close_a_session_while_bytes_trickle() -> None:
    """A directory sends a byte now and then, so that no receive times out. The main thread closes the
    session, and the reading ends at once.
    """

    async def test() -> None:
        directory = Directory(town("ash"), network_faults=NetworkFaults(trickle_s=0.02))
        await directory.start()
        session = Session(where(directory))

        def go() -> str:
            try:
                session.open()
                list(session.pages(search()))
            except DirectoryError as error:
                return str(error)
            return "read"

        failed = asyncio.ensure_future(asyncio.to_thread(go))
        while not directory.clients or not directory.accepted:
            await asyncio.sleep(0)
        began = time.monotonic()
        session.close()
        assert await failed != "read" and time.monotonic() - began < 2
        directory.stop()

    run(test())


def test_no_such_host() -> None:
    """Nothing listens at the directory's address. The failure names the step."""

    async def test() -> None:
        directory = Directory(town(), port=free_port())
        found, why = await read(where(directory, timeout_s=0.5))
        assert not found and why.startswith("connect")

    run(test())


@pytest.mark.parametrize("content", [b"", b"a\nb\n", b"\xff\xfe", b"x" * 5000, None])
def test_password_files(content: bytes | None, tmp_path: Path) -> None:
    """A password file is empty, has two lines, is no UTF-8, too long or missing. Each is refused, and a
    file of one line is read.
    """
    path = tmp_path / "secret"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(DirectoryError, match="password file"):
        read_password(str(path))
    path.write_bytes(b"open sesame\r\n")
    assert read_password(str(path)) == "open sesame"
    with contextlib.suppress(FileNotFoundError):
        path.unlink()
