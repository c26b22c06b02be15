"""The LDAP client, with an emulated directory that fails in many ways, or is cut off after any byte."""

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
from tests.tenants.town import MAP, READER, SECRET, agent, certificates, directory_config, read, search, town


def test_all_entries_page_by_page(tmp_path: Path) -> None:
    async def test() -> None:
        secret = tmp_path / "secret"
        secret.write_text(SECRET + "\n")
        directory = Directory(town(*(f"agent-{i:03}" for i in range(55))), {READER: SECRET})
        await directory.start()
        for page in (1, 10, 55, 500):
            found, failure = await read(directory_config(directory, secret), search(page))
            assert failure == "" and len({p.name for p in found}) == 55
            assert all(p.record and p.record.stamp_us for p in found)
        directory.stop()

    run(test())


def test_a_directory_that_ignores_paging() -> None:
    """A directory ignores the paging control. The client reads all entries as one page."""

    async def test() -> None:
        directory = Directory(town("ash", "elm"), server_faults=ServerFaults(pages=False))
        await directory.start()
        found, failure = await read(directory_config(directory), search(1))
        assert failure == "" and len(found) == 2
        directory.stop()

    run(test())


def test_changes_since_a_time() -> None:
    async def test() -> None:
        tree = town("ash", "elm")
        agent(tree, "oak", 120)
        directory = Directory(tree)
        await directory.start()
        whole, _ = await read(directory_config(directory))
        mark = max(p.stamp_us for p in whole)
        found, failure = await read(directory_config(directory), changed_since(search(), MAP, mark))
        assert failure == "" and [p.name for p in found] == ["oak"]
        directory.stop()

    run(test())


@pytest.mark.parametrize(("tls", "context"), [("ldaps", True), ("starttls", True), ("starttls", False)])
def test_tls_is_verified(tls: str, context: bool, tmp_path: Path) -> None:
    """A directory has a certificate for another host, no certificate, or one of an unknown CA. The client
    does not read the directory.
    """

    async def test() -> None:
        for name, works in (("127.0.0.1", True), ("elsewhere.example", False)):
            with certificates(tmp_path, name) as (server, ca):
                directory = Directory(town("ash"), tls=server if context else None, ldaps=tls == "ldaps")
                await directory.start()
                found, failure = await read(directory_config(directory, tls=tls, ca=ca))
                assert bool(found) == (works and context) and bool(failure) != bool(found)
                found, failure = await read(directory_config(directory, tls=tls))  # the CA is not trusted
                assert not found and failure
                directory.stop()

    run(test())


def test_the_verification_of_certificates_can_be_disabled(tmp_path: Path) -> None:
    async def test() -> None:
        with certificates(tmp_path, "elsewhere.example") as (server, _):
            directory = Directory(town("ash"), tls=server, ldaps=True)
            await directory.start()
            found, failure = await read(replace(directory_config(directory, tls="ldaps"), verify=False))
            assert len(found) == 1 and failure == ""
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
def test_an_incomplete_read_reports_the_reason(manners: ServerFaults, count: int, words: str) -> None:
    """A directory refuses a search, stops at a limit or refers to another directory. The entries received
    are returned, and so is the reason for the failure.
    """

    async def test() -> None:
        directory = Directory(town("ash", "elm", "oak"), server_faults=manners)
        await directory.start()
        found, failure = await read(directory_config(directory))
        assert len(found) == count and words in failure
        directory.stop()

    run(test())


def test_wrong_credentials_are_reported_without_the_password(tmp_path: Path) -> None:
    """The password file holds the wrong password. The error does not contain the password."""

    async def test() -> None:
        secret = tmp_path / "secret"
        secret.write_text("open barley")
        directory = Directory(town("ash"), {READER: SECRET})
        await directory.start()
        found, failure = await read(directory_config(directory, secret))
        assert not found and "invalidCredentials" in failure and "barley" not in failure
        directory.stop()

    run(test())


def test_refused_silent_and_invalid_connections_fail_in_time() -> None:
    """A directory is silent, closes the connection, sends bytes that are not LDAP or refuses the
    connection. The read fails within the timeout.
    """

    async def test() -> None:
        directory = Directory(town("ash"))
        await directory.start()
        bad = b"\x30\x84\xff\xff\xff\xff" + b"x" * 40
        faults = [NetworkFaults(silent=True), NetworkFaults(cut_after=0), NetworkFaults(garbage=bad)]
        for fault in [*faults, NetworkFaults(garbage=b"HTTP/1.1 400 Bad Request\r\n\r\n")]:
            directory.network_faults = fault
            found, failure = await read(directory_config(directory, timeout_s=0.2))
            assert not found and failure, fault
        directory.network_faults = NetworkFaults()
        directory.stop()
        found, failure = await read(directory_config(directory))
        assert not found and "connect" in failure

    run(test())


def test_a_read_that_is_cut_at_any_byte_is_never_complete(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection is cut after each byte of the answers of two pages. Entries of whole pages are returned,
    and the read is incomplete.
    """
    # ldap3 counts the messages of all connections of a process. From 1000 on, each message number has two
    # bytes.
    monkeypatch.setattr(ldap3.Server, "_message_counter", 1000)

    async def test() -> None:
        directory = Directory(town("ash", "elm", "oak"))
        await directory.start()
        directory.network_faults = NetworkFaults(cut_after=1_000_000)
        session = Session(directory_config(directory))
        await asyncio.to_thread(session.open)
        await asyncio.to_thread(lambda: list(session.pages(search(2))))
        size = max(client.answered for client in directory.clients)
        session.close()
        counts = []
        for cut in range(size):
            directory.network_faults = NetworkFaults(cut_after=cut)
            found, failure = await read(directory_config(directory), search(2))
            assert failure
            counts.append(len(found))
        assert counts == sorted(counts) and set(counts) == {0, 2} and size > 400
        # A cut directly after the last byte is not tested: the client may return before it notices the cut.
        directory.network_faults = NetworkFaults(cut_after=size + 1)
        found, failure = await read(directory_config(directory), search(2))
        assert failure == "" and len(found) == 3
        directory.stop()

    run(test())


def test_another_thread_can_close_a_session_while_bytes_trickle() -> None:
    """A directory sends single bytes slowly, so that no receive times out. The main thread closes the
    session, and the reading fails immediately.
    """

    async def test() -> None:
        directory = Directory(town("ash"), network_faults=NetworkFaults(trickle_s=0.02))
        await directory.start()
        session = Session(directory_config(directory))

        def read_all_pages() -> str:
            try:
                session.open()
                list(session.pages(search()))
            except DirectoryError as error:
                return str(error)
            return "read"

        failed = asyncio.ensure_future(asyncio.to_thread(read_all_pages))
        while not directory.clients or not directory.accepted:
            await asyncio.sleep(0)
        began = time.monotonic()
        session.close()
        assert await failed != "read" and time.monotonic() - began < 2
        directory.stop()

    run(test())


def test_a_refused_connection_names_the_failed_step() -> None:
    """Nothing listens at the directory's address. The error names the step that failed."""

    async def test() -> None:
        directory = Directory(town(), port=free_port())
        found, failure = await read(directory_config(directory, timeout_s=0.5))
        assert not found and failure.startswith("connect")

    run(test())


@pytest.mark.parametrize("content", [b"", b"a\nb\n", b"\xff\xfe", b"x" * 5000, None])
def test_password_files(content: bytes | None, tmp_path: Path) -> None:
    """A password file is empty, has two lines, is not UTF-8, is too long or is missing. The client refuses
    such a file, and reads a file of one line.
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
