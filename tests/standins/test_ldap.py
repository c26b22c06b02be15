"""The emulated directory, tested with raw bytes and with an independent client library (ldap3)."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from pathlib import Path
from typing import Any

import ldap3
import pytest
from hypothesis import given
from hypothesis import strategies as st
from pyasn1.codec.ber import decoder as their_decoder
from pyasn1.codec.ber import encoder as their_encoder
from pyasn1.type import univ

from lanelift.standins import ber, ldap
from lanelift.standins.directory import Directory, NetworkFaults
from lanelift.standins.ldap import Code, ServerFaults, Session, Tree
from tests.fakes import run
from tests.tenants.town import BASE, READER, SECRET, agent, at, certificates, dn, town

PAGED = "1.2.840.113556.1.4.319"


# ---- the encoding --------------------------------------------------------------------------------------


@given(st.integers(-(2**63), 2**63 - 1))
def test_integers_are_encoded_as_by_another_library(value: int) -> None:
    ours, theirs = ber.integer(value), their_encoder.encode(univ.Integer(value))
    assert int(their_decoder.decode(ours)[0]) == value
    assert ours == theirs or (value < 0 and len(ours) < len(theirs))  # X.690, 8.3.2: the shortest form
    assert ber.FieldReader(ber.integer(value)).integer() == value


@given(st.binary(max_size=70_000))
def test_strings_are_encoded_as_by_another_library(value: bytes) -> None:
    assert ber.octets(value) == their_encoder.encode(univ.OctetString(value))
    assert bytes(their_decoder.decode(ber.octets(value))[0]) == value


@given(st.lists(st.binary(max_size=300), max_size=20))
def test_sequences_are_decoded_as_they_were_encoded(values: list[bytes]) -> None:
    whole = ber.sequence(*(ber.octets(v) for v in values))
    ((tag, content),) = ber.elements(whole)
    assert tag == ber.SEQUENCE and [v for _, v in ber.elements(content)] == values


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_no_other_error(data: bytes) -> None:
    with contextlib.suppress(ber.BerError):
        list(ber.elements(data))
    session = Session(town("ash"), {})
    session.receive(data)
    assert len(session.buffer) <= len(data)


@pytest.mark.parametrize("cut", range(1, 8))
def test_truncated_elements_are_rejected(cut: int) -> None:
    whole = ber.sequence(ber.integer(5), ber.octets(b"ab"))
    with pytest.raises(ber.BerError):
        list(ber.elements(whole[:-cut]))


@pytest.mark.parametrize("data", [b"\x1f\x81\x01\x00", b"\x30\x80\x00\x00", b"\x30\x85\x01\x00\x00\x00\x00"])
def test_forms_that_ldap_forbids_are_rejected(data: bytes) -> None:
    with pytest.raises(ber.BerError):
        list(ber.elements(data))


# ---- a session with raw bytes --------------------------------------------------------------------------


def bind(number: int = 1, name: str = "", secret: str = "", version: int = 3) -> bytes:
    body = ber.integer(version) + ber.octets(name.encode()) + ber.octets(secret.encode(), 0x80)
    return ber.sequence(ber.integer(number), ber.element(ldap.BIND, body))


def results(answers: list[bytes]) -> list[tuple[int, int]]:
    """Returns the tag and the result code of each answer that has one."""
    found = []
    for answer in answers:
        fields = ber.FieldReader(next(ber.elements(answer))[1])
        fields.integer()
        tag, content = fields.next_field()
        found.append((tag, ber.FieldReader(content).integer(ber.ENUMERATED)))
    return found


def test_a_request_split_at_every_byte_gives_the_same_answer() -> None:
    whole = bind(1, READER, SECRET)
    expected = Session(town(), {READER: SECRET}).receive(whole)
    for cut in range(1, len(whole)):
        session = Session(town(), {READER: SECRET})
        assert session.receive(whole[:cut]) == []
        assert session.receive(whole[cut:]) == expected


@pytest.mark.parametrize(
    ("name", "secret", "code"),
    [
        (READER, SECRET, Code.SUCCESS),
        (READER.upper(), SECRET, Code.SUCCESS),
        (READER, "wrong", Code.INVALID_CREDENTIALS),
        (READER, "", Code.INVALID_CREDENTIALS),
        ("cn=nobody", SECRET, Code.INVALID_CREDENTIALS),
        ("", "", Code.SUCCESS),
    ],
)
def test_the_result_of_a_bind(name: str, secret: str, code: Code) -> None:
    session = Session(town(), {READER: SECRET})
    assert results(session.receive(bind(1, name, secret))) == [(ldap.BIND_DONE, code)]
    assert (session.user is not None) == (code is Code.SUCCESS and name != "")


def test_only_version_3_is_supported() -> None:
    assert results(Session(town(), {}).receive(bind(version=2))) == [(ldap.BIND_DONE, Code.PROTOCOL_ERROR)]


@pytest.mark.parametrize(("tag", "answer"), sorted(ldap.WRITE_RESPONSES.items()))
def test_write_requests_are_refused(tag: int, answer: int) -> None:
    request = ber.sequence(ber.integer(7), ber.element(tag, b""))
    assert results(Session(town(), {}).receive(request)) == [(answer, Code.UNWILLING)]


def test_an_unknown_request_ends_the_session_with_a_notice() -> None:
    session = Session(town(), {})
    answers = session.receive(ber.sequence(ber.integer(7), ber.element(0x7F - 2, b"")))
    assert results(answers) == [(ldap.EXTENDED_DONE, Code.PROTOCOL_ERROR)] and session.closing
    assert ldap.DISCONNECTION_NOTICE in answers[0]


# ---- with the client library ldap3 ---------------------------------------------------------------------


async def ask(directory: Directory, filter: str, **more: Any) -> tuple[list[dict[str, Any]], dict[str, Any]]:
    def go() -> tuple[list[dict[str, Any]], dict[str, Any]]:
        server = ldap3.Server("127.0.0.1", directory.port, get_info=ldap3.NONE)
        with ldap3.Connection(server, auto_referrals=False, check_names=False, receive_timeout=5) as c:
            given = {"search_base": BASE, "attributes": ["*", "+"]} | more
            c.search(search_filter=filter, **given)
            return [row for row in c.response or [] if row["type"] == "searchResEntry"], dict(c.result)

    return await asyncio.to_thread(go)


def pages(directory: Directory) -> tuple[set[str], list[int]]:
    """Reads all names, ten to a page. Returns the names and the size of each page."""
    names, sizes, cookie = set(), [], None
    server = ldap3.Server("127.0.0.1", directory.port, get_info=ldap3.NONE)
    with ldap3.Connection(server, check_names=False) as c:
        while True:
            c.search(BASE, "(cn=*)", attributes=["cn"], paged_size=10, paged_cookie=cookie)
            rows = c.response or []
            names |= {row["attributes"]["cn"][0] for row in rows}
            sizes.append(len(rows))
            cookie = c.result["controls"][PAGED]["value"]["cookie"]
            if not cookie:
                return names, sizes


FILTERS = {
    "(cn=ash)": {"ash"},
    "(CN=ASH)": {"ash"},
    "(cn=a*)": {"ash", "alder"},
    "(cn=*r)": {"alder", "cedar"},
    "(cn=*ed*)": {"cedar"},
    "(cn=c*d*r)": {"cedar"},
    "(!(cn=a*))": {"birch", "cedar"},
    "(&(cn=a*)(agentStanding=active))": {"ash"},
    "(|(cn=ash)(cn=birch))": {"ash", "birch"},
    "(agentShare=*)": {"birch"},
    "(!(agentShare=2))": set(),  # for an entry without the attribute, the test and its negation are undefined
    f"(modifyTimestamp>={at(5)})": {"alder"},
    f"(modifyTimestamp<={at(4)})": {"ash", "birch", "cedar"},
    "(cn~=Ash)": {"ash"},
    "(cn:caseExactMatch:=ash)": set(),
    "(objectClass=agent)": {"ash", "birch", "cedar", "alder"},
}


def test_filters_match_the_expected_entries() -> None:
    async def test() -> None:
        tree = town("ash", "cedar")
        agent(tree, "birch", agentShare="2")
        agent(tree, "alder", 5, agentStanding="suspended")
        directory = Directory(tree)
        await directory.start()
        for filter, names in FILTERS.items():
            rows, result = await ask(directory, filter)
            assert {row["attributes"]["cn"][0] for row in rows} == names, filter
            assert result["result"] == 0
        directory.stop()

    run(test())


def test_pages_limits_scopes_and_attributes() -> None:
    async def test() -> None:
        tree = town(*(f"agent-{i:03}" for i in range(23)))
        tree.put(BASE, {"objectClass": "organizationalUnit", "ou": "agents"}, at(0))
        directory = Directory(tree)
        await directory.start()
        names, sizes = await asyncio.to_thread(pages, directory)
        assert len(names) == 23 and sizes == [10, 10, 3]
        rows, result = await ask(directory, "(cn=*)", size_limit=5)
        assert len(rows) == 5 and result["result"] == Code.SIZE_LIMIT
        rows, _ = await ask(directory, "(objectClass=*)", search_scope=ldap3.BASE)
        assert [row["dn"] for row in rows] == [BASE]
        rows, _ = await ask(directory, "(objectClass=*)", search_scope=ldap3.LEVEL)
        assert len(rows) == 23
        rows, _ = await ask(directory, "(cn=agent-001)", attributes=["cn", "entryUUID"])
        assert {k.lower() for k in rows[0]["attributes"]} == {"cn", "entryuuid"}
        rows, _ = await ask(directory, "(cn=agent-001)", attributes=["1.1"])
        assert not rows[0]["attributes"]
        _, result = await ask(directory, "(cn=*)", search_base="ou=nothing,dc=trust,dc=example")
        assert result["result"] == Code.NO_SUCH_OBJECT
        rows, _ = await ask(directory, "(objectClass=*)", search_base="", search_scope=ldap3.BASE)
        assert rows[0]["attributes"]["supportedLDAPVersion"] == ["3"]
        directory.stop()

    run(test())


@pytest.mark.parametrize(
    ("manners", "code", "count"),
    [
        (ServerFaults(Code.BUSY), Code.BUSY, 0),
        (ServerFaults(Code.TIME_LIMIT, after=2), Code.TIME_LIMIT, 2),
        (ServerFaults(Code.SIZE_LIMIT, after=1), Code.SIZE_LIMIT, 1),
        (ServerFaults(most=3), Code.SIZE_LIMIT, 3),
        (ServerFaults(empty=True), Code.SUCCESS, 0),
        (ServerFaults(Code.REFERRAL, referral="ldap://elsewhere.example/"), Code.REFERRAL, 0),
    ],
)
def test_injected_faults_of_the_answers(manners: ServerFaults, code: Code, count: int) -> None:
    async def test() -> None:
        directory = Directory(town("ash", "birch", "cedar", "alder"), server_faults=manners)
        await directory.start()
        rows, result = await ask(directory, "(cn=*)")
        assert result["result"] == code and len(rows) == count
        if manners.referral:
            assert result["referrals"] == [manners.referral]
        directory.stop()

    run(test())


def test_hidden_attributes_are_withheld() -> None:
    async def test() -> None:
        directory = Directory(town("ash"), server_faults=ServerFaults(hidden=frozenset({"agentstanding"})))
        await directory.start()
        rows, _ = await ask(directory, "(cn=ash)")
        assert "agentStanding" not in rows[0]["attributes"] and "cn" in rows[0]["attributes"]
        directory.stop()

    run(test())


@pytest.mark.parametrize("how", ["ldaps", "starttls"])
def test_ldaps_and_starttls(how: str, tmp_path: Path) -> None:
    async def test() -> None:
        with certificates(tmp_path, "127.0.0.1") as (context, ca):
            directory = Directory(town("ash"), {READER: SECRET}, context, how == "ldaps")
            await directory.start()

            def go() -> int:
                tls = ldap3.Tls(validate=ssl.CERT_REQUIRED, ca_certs_file=ca)
                server = ldap3.Server(
                    "127.0.0.1", directory.port, use_ssl=how == "ldaps", tls=tls, get_info=ldap3.NONE
                )
                connection = ldap3.Connection(server, READER, SECRET, check_names=False)
                connection.open()
                if how == "starttls":
                    assert connection.start_tls()
                assert connection.bind()
                connection.search(BASE, "(cn=ash)")
                count = len(connection.response or [])
                connection.unbind()
                return count

            assert await asyncio.to_thread(go) == 1
            directory.stop()

    run(test())


def test_entries_keep_their_uuid_and_replicas_do_not_change() -> None:
    tree = Tree(BASE)
    agent(tree, "ash", 1)
    first = tree.entries[ldap.parse_dn(dn("ash"))].values("entryUUID")
    replica = tree.copy()
    tree.change(dn("ash"), at(2), agentStanding="suspended", cn=None)
    entry = tree.entries[ldap.parse_dn(dn("ASH"))]
    assert entry.values("entryUUID") == first and entry.values("agentstanding") == ["suspended"]
    assert entry.values("cn") == [] and entry.values("modifyTimestamp") == [at(2)]
    tree.rename(dn("ash"), dn("elm"), at(3))
    assert tree.entries[ldap.parse_dn(dn("elm"))].values("entryUUID") == first
    tree.remove(dn("elm"))
    assert not tree.entries and replica.entries[ldap.parse_dn(dn("ash"))].values("agentStanding") == [
        "active"
    ]


def test_injected_faults_of_the_network() -> None:
    async def test() -> None:
        directory = Directory(town("ash"))
        await directory.start()
        whole = b"".join(Session(town("ash"), {}).receive(bind()))

        async def exchange(faults: NetworkFaults, until_s: float = 0.5) -> bytes:
            directory.network_faults = faults
            reader, writer = await asyncio.open_connection("127.0.0.1", directory.port)
            writer.write(bind())
            try:
                async with asyncio.timeout(until_s):
                    return await reader.readexactly(len(whole))
            except TimeoutError:
                return b""
            except asyncio.IncompleteReadError as error:
                return error.partial
            finally:
                writer.close()

        assert await exchange(NetworkFaults()) == whole
        assert await exchange(NetworkFaults(silent=True), 0.05) == b""
        assert await exchange(NetworkFaults(garbage=b"\xff" * len(whole))) == b"\xff" * len(whole)
        assert await exchange(NetworkFaults(trickle_s=0.001), 5.0) == whole
        assert await exchange(NetworkFaults(delay_s=0.02), 5.0) == whole
        directory.stop()

    run(test())
