"""An LDAPv3 directory without its sockets: a tree of entries, and one client's session with it.

From RFC 4511 (protocol), 4512 (operational attributes), 4517 and 4518 (matching, in the part that is needed
here) and 2696 (pages). Read only: whoever writes changes the tree itself. Pure: bytes in, bytes out.
"""

from __future__ import annotations

import unicodedata
import uuid
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from lanelift.standins import ber
from lanelift.standins.ber import BadBer, Fields

BIND, UNBIND, SEARCH, ABANDON, EXTENDED = 0x60, 0x42, 0x63, 0x50, 0x77
BIND_DONE, ENTRY, SEARCH_DONE, REFERENCE, EXTENDED_DONE = 0x61, 0x64, 0x65, 0x73, 0x78
# Requests that a read-only directory refuses, and the tag of the answer to each.
REFUSED = {0x66: 0x67, 0x68: 0x69, 0x4A: 0x6B, 0x6C: 0x6D, 0x6E: 0x6F}
CONTROLS = 0xA0
PAGED = b"1.2.840.113556.1.4.319"  # RFC 2696
START_TLS = b"1.3.6.1.4.1.1466.20037"  # RFC 4511, 4.14
NOTICE = b"1.3.6.1.4.1.1466.20036"  # of disconnection, RFC 4511, 4.4.1
MAX_DEPTH = 50  # of filters in filters: deeper ones are refused
MAX_PAGED = 16  # paged searches that one session may have open; the oldest is given up for another
STAMP, UUID = "modifytimestamp", "entryuuid"
OPERATIONAL = frozenset({STAMP, UUID, "createtimestamp", "entrydn"})  # returned only where asked for by name


class Code(IntEnum):
    """Result codes (RFC 4511, appendix A)."""

    SUCCESS = 0
    OPERATIONS_ERROR = 1
    PROTOCOL_ERROR = 2
    TIME_LIMIT = 3
    SIZE_LIMIT = 4
    AUTH_METHOD = 7
    REFERRAL = 10
    CRITICAL_EXTENSION = 12
    CONFIDENTIALITY = 13
    NO_SUCH_OBJECT = 32
    INVALID_DN = 34
    INVALID_CREDENTIALS = 49
    ACCESS = 50
    BUSY = 51
    UNAVAILABLE = 52
    UNWILLING = 53


def prepared(text: str) -> str:
    """Text as caseIgnoreMatch compares it (RFC 4518): Unicode form, case and runs of spaces do not matter."""
    return " ".join(unicodedata.normalize("NFKC", unicodedata.normalize("NFKC", text).casefold()).split())


def rdns(dn: str) -> tuple[str, ...]:
    """The parts of a name, the entry's own first. Commas in values are written `\\,`."""
    parts, part, escaped = [], "", False
    for char in dn:
        if char == "," and not escaped:
            parts.append(part)
            part = ""
        else:
            part += char
        escaped = char == "\\" and not escaped
    parts = [*parts, part] if dn.strip() else []
    if any("=" not in p for p in parts):
        raise BadBer(f"not a name: {dn[:80]!r}")
    return tuple("=".join(prepared(side) for side in p.split("=", 1)) for p in parts)


@dataclass(slots=True, eq=False)
class Entry:
    """One entry. `attributes`: by lower-case name, the name as given and its values."""

    dn: str
    attributes: dict[str, tuple[str, list[str]]]
    path: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        self.path = rdns(self.dn)

    def values(self, name: str) -> list[str]:
        return self.attributes.get(name.lower(), (name, []))[1]


class Tree:
    """The entries under one base, in the order they were put there.

    `put` stamps an entry with the given second (GeneralizedTime, `20261201093000Z`), as a server does with
    its own clock; an entry keeps its UUID for its life, also when it is renamed (RFC 4530)."""

    def __init__(self, base: str) -> None:
        self.base = base
        self.path = rdns(base)
        self.entries: dict[tuple[str, ...], Entry] = {}

    def put(self, dn: str, attributes: Mapping[str, str | Sequence[str]], stamp: str) -> Entry:
        """A new entry, or new content of an old one."""
        rows = {
            name.lower(): (name, [values] if isinstance(values, str) else list(values))
            for name, values in attributes.items()
        }
        entry = Entry(dn, rows)
        was = self.entries.get(entry.path)
        identity = was.values(UUID) if was else [str(uuid.uuid5(uuid.NAMESPACE_X500, f"{dn} {stamp}"))]
        rows.setdefault(UUID, ("entryUUID", identity))
        rows[STAMP] = ("modifyTimestamp", [stamp])
        self.entries[entry.path] = entry
        return entry

    def change(self, dn: str, stamp: str, **values: str | Sequence[str] | None) -> None:
        """Replace some attributes' values; None takes an attribute away. `_` in a name stands for `-`."""
        entry = self.entries[rdns(dn)]
        kept = {name: list(found) for name, found in entry.attributes.values()}
        for name, found in values.items():
            name = name.replace("_", "-")
            kept = {k: v for k, v in kept.items() if k.lower() != name.lower()}
            if found is not None:
                kept[name] = [found] if isinstance(found, str) else list(found)
        self.put(dn, kept, stamp)

    def rename(self, dn: str, new: str, stamp: str) -> None:
        """ModifyDN: the entry and its identity stay."""
        entry = self.entries.pop(rdns(dn))
        self.put(new, {name: values for name, values in entry.attributes.values()}, stamp)

    def remove(self, dn: str) -> None:
        del self.entries[rdns(dn)]

    def copy(self) -> Tree:
        """A replica as of now: later changes here do not reach it."""
        other = Tree(self.base)
        other.entries = dict(self.entries)
        return other

    def under(self, base: tuple[str, ...], scope: int) -> Iterator[Entry] | None:
        """Entries in a search's reach: base, one level or whole subtree (0, 1, 2); None: no such base."""
        depth = len(base)
        if base != self.path and base not in self.entries and not (self.path[-depth:] == base and depth):
            return None
        return (
            e
            for e in list(self.entries.values())
            if e.path[len(e.path) - depth :] == base
            and (scope == 2 or len(e.path) - depth == scope)
            and len(e.path) >= depth
        )


Test = Callable[[Entry], bool | None]  # None: undefined, which neither matches nor, negated, does


def read_filter(tag: int, content: bytes, ordering: bool = True, depth: int = 0) -> Test:
    """A search's filter (RFC 4511, 4.5.1.7). `ordering`: it knows how to compare by order. Raises BadBer."""
    if depth > MAX_DEPTH:
        raise BadBer("filters too deep in each other")
    if tag in (0xA0, 0xA1):
        tests = [read_filter(t, c, ordering, depth + 1) for t, c in ber.elements(content)]
        return _all(tests) if tag == 0xA0 else _any(tests)
    if tag == 0xA2:
        inner = Fields(content)
        negated = read_filter(*inner.any(), ordering, depth + 1)
        return lambda e: None if (found := negated(e)) is None else not found
    if tag == 0x87:
        name = _text(content)
        return lambda e: bool(e.values(name))
    fields = Fields(content)
    if tag == 0xA4:
        return _substrings(_text(fields.of(ber.OCTETS)), fields.of(ber.SEQUENCE))
    if tag not in (0xA3, 0xA5, 0xA6, 0xA8) or (tag in (0xA5, 0xA6) and not ordering):
        return lambda e: None  # extensible matching, or a choice that is not known
    name, value = _text(fields.of(ber.OCTETS)), prepared(_text(fields.of(ber.OCTETS)))
    if tag in (0xA3, 0xA8):
        return lambda e: any(prepared(v) == value for v in e.values(name)) if e.values(name) else None
    above = tag == 0xA5

    def ordered(e: Entry) -> bool | None:
        # GeneralizedTime in one zone, which is what is ordered here, compares as text does.
        found = [prepared(v) for v in e.values(name)]
        return any(v >= value if above else v <= value for v in found) if found else None

    return ordered


def _all(tests: list[Test]) -> Test:
    def test(e: Entry) -> bool | None:
        found = [t(e) for t in tests]
        return False if False in found else None if None in found else True

    return test


def _any(tests: list[Test]) -> Test:
    def test(e: Entry) -> bool | None:
        found = [t(e) for t in tests]
        return True if True in found else None if None in found else False

    return test


def _substrings(name: str, content: bytes) -> Test:
    parts = [(tag & 0x7F, prepared(_text(part))) for tag, part in ber.elements(content)]

    def fits(value: str) -> bool:
        at = 0
        for kind, part in parts:
            if kind == 0:  # initial
                if not value.startswith(part):
                    return False
                at = len(part)
            elif kind == 2:  # final
                return len(value) - len(part) >= at and value.endswith(part)
            else:
                found = value.find(part, at)
                if found < 0:
                    return False
                at = found + len(part)
        return True

    return lambda e: any(fits(prepared(v)) for v in e.values(name)) if e.values(name) else None


def _text(content: bytes) -> str:
    try:
        return content.decode()
    except UnicodeDecodeError:
        raise BadBer("text that is not UTF-8") from None


@dataclass(slots=True)
class ServerFaults:
    """What a directory does otherwise than it should; the defaults are a good one's. `after`: entries that
    are still given before the result `code`."""

    code: Code = Code.SUCCESS
    after: int = 0
    referral: str = ""  # where searches are sent on to, or, with `references`, parts of them
    references: bool = False
    empty: bool = False  # it finds nothing, and says that all is well
    hidden: frozenset[str] = frozenset()  # attributes (lower case) that it withholds: a lost permission
    most: int = 0  # entries in one answer, its administrator's limit; 0: none
    pages: bool = True  # it knows paged results
    ordering: bool = True  # it orders times in filters


@dataclass(slots=True, eq=False)
class Session:
    """One client's connection. `receive` gives the bytes to answer with.

    After StartTLS was answered, `wants_tls` is set: the bytes that follow are the handshake's. `over`: the
    connection is to be closed once the answer is sent."""

    tree: Tree
    users: Mapping[str, str]  # name to password; none: everybody may read
    server_faults: ServerFaults = field(default_factory=ServerFaults)
    offers_tls: bool = False
    wants_tls: bool = False
    over: bool = False
    searches: int = 0
    entries: int = 0
    user: str | None = None
    buffer: bytearray = field(default_factory=bytearray)
    paged: dict[bytes, list[Entry]] = field(default_factory=dict)
    cookies: int = 0

    def receive(self, data: bytes) -> list[bytes]:
        """The answers to what is whole now, a message each."""
        self.buffer += data
        answers: list[bytes] = []
        while not self.over and not self.wants_tls:
            try:
                found = ber.span(self.buffer)
                if found is None or len(self.buffer) < found[1]:
                    break
                if self.buffer[0] != ber.SEQUENCE:
                    raise BadBer("a message that is no sequence")
                message = bytes(self.buffer[found[0] : found[1]])
                del self.buffer[: found[1]]
                answers += self._message(Fields(message))
            except BadBer as error:
                # RFC 4511, 4.1.1: what can't be parsed ends the session, with a notice.
                body = _result(Code.PROTOCOL_ERROR, str(error)) + ber.octets(NOTICE, 0x8A)
                answers.append(_message(0, ber.element(EXTENDED_DONE, body)))
                self.over = True
        return answers

    def _message(self, fields: Fields) -> Iterable[bytes]:
        number = fields.integer()
        tag, content = fields.any()
        controls = _controls(fields.maybe(CONTROLS))
        if tag == UNBIND:
            self.over = True
            return []
        if tag == ABANDON:
            return []  # each search is answered before the next message is read
        if tag == BIND:
            return [_message(number, ber.element(BIND_DONE, self._bind(Fields(content))))]
        if tag == SEARCH:
            return self._search(number, Fields(content), controls)
        if tag == EXTENDED:
            return [_message(number, ber.element(EXTENDED_DONE, self._extended(Fields(content))))]
        if tag in REFUSED:
            return [_message(number, ber.element(REFUSED[tag], _result(Code.UNWILLING, "read only")))]
        raise BadBer(f"no request has the tag {tag:#04x}")

    def _bind(self, fields: Fields) -> bytes:
        version, name = fields.integer(), _text(fields.of(ber.OCTETS))
        method, secret = fields.any()
        self.user = None
        if version != 3:
            return _result(Code.PROTOCOL_ERROR, "only version 3 is spoken")
        if method != 0x80:
            return _result(Code.AUTH_METHOD, "only simple binds are taken")
        if not name and not secret:
            return _result(Code.SUCCESS)  # anonymous (RFC 4513, 5.1.1)
        known = {rdns(user): password for user, password in self.users.items()}
        if not secret or known.get(rdns(name)) != _text(secret):
            return _result(Code.INVALID_CREDENTIALS)
        self.user = name
        return _result(Code.SUCCESS)

    def _extended(self, fields: Fields) -> bytes:
        name = fields.of(0x80)
        if name != START_TLS:
            return _result(Code.PROTOCOL_ERROR, "this extension is not known")
        if not self.offers_tls:
            return _result(Code.UNAVAILABLE, "no certificate is set up") + ber.octets(START_TLS, 0x8A)
        self.wants_tls = True
        return _result(Code.SUCCESS) + ber.octets(START_TLS, 0x8A)

    def _search(
        self, number: int, fields: Fields, controls: dict[bytes, tuple[bool, bytes]]
    ) -> Iterable[bytes]:
        self.searches += 1
        base, scope = _text(fields.of(ber.OCTETS)), fields.integer(ber.ENUMERATED)
        fields.integer(ber.ENUMERATED)  # aliases: there are none
        size_limit, _, types_only = fields.integer(), fields.integer(), fields.boolean()
        test = read_filter(*fields.any(), self.server_faults.ordering)
        wanted = [_text(content) for _, content in ber.elements(fields.of(ber.SEQUENCE))]

        def done(code: Code, why: str = "", extra: bytes = b"") -> bytes:
            return _message(number, ber.element(SEARCH_DONE, _result(code, why, referral)), extra)

        server_faults = self.server_faults
        referral = server_faults.referral if server_faults.code is Code.REFERRAL else ""
        if any(
            critical for oid, (critical, _) in controls.items() if oid != PAGED or not server_faults.pages
        ):
            return [done(Code.CRITICAL_EXTENSION)]
        if self.users and self.user is None:
            return [done(Code.ACCESS, "bind first")]
        if server_faults.code is not Code.SUCCESS and not server_faults.after:
            return [done(server_faults.code, "as told")]
        page, cookie = None, b""
        if PAGED in controls and server_faults.pages:
            inner = Fields(ber.Fields(controls[PAGED][1]).of(ber.SEQUENCE))
            page, cookie = inner.integer(), inner.of(ber.OCTETS)
        if cookie:
            found = self.paged.pop(cookie, None)
            if found is None:
                return [done(Code.UNWILLING, "the cookie is not known")]
        else:
            if not base and not scope:
                reach: Iterable[Entry] | None = [self._root()]
            else:
                reach = self.tree.under(rdns(base), scope)
            if reach is None:
                return [done(Code.NO_SUCH_OBJECT)]
            found = [] if server_faults.empty else [e for e in reach if test(e) is True]
        limit = min(n for n in (size_limit, server_faults.most, len(found)) if n or n == len(found))
        code = Code.SIZE_LIMIT if limit < len(found) else Code.SUCCESS
        extra = b""
        if page is not None:
            rest, found = (found[page:], found[:page]) if page else ([], [])
            next_cookie = b""
            if rest:
                self.cookies += 1
                next_cookie = b"page %d" % self.cookies
                self.paged[next_cookie] = rest
                if len(self.paged) > MAX_PAGED:
                    del self.paged[next(iter(self.paged))]
            value = ber.sequence(ber.integer(0), ber.octets(next_cookie))
            extra = ber.sequence(ber.octets(PAGED), ber.octets(value))
            code = Code.SUCCESS if limit >= len(found) else code
        found = found[:limit]
        if server_faults.after:
            found, code = found[: server_faults.after], server_faults.code
        answers = [_message(number, self._entry(e, wanted, types_only)) for e in found]
        self.entries += len(found)
        if server_faults.references and server_faults.referral:
            answers.append(
                _message(number, ber.sequence(ber.octets(server_faults.referral.encode()), tag=REFERENCE))
            )
        answers.append(done(code, "", extra))
        return answers

    def _root(self) -> Entry:
        """What a server says of itself (RFC 4512, 5.1)."""
        return Entry(
            "",
            {
                "objectclass": ("objectClass", ["top"]),
                "supportedldapversion": ("supportedLDAPVersion", ["3"]),
                "namingcontexts": ("namingContexts", [self.tree.base]),
                "supportedcontrol": (
                    "supportedControl",
                    [PAGED.decode()] if self.server_faults.pages else [],
                ),
                "supportedextension": (
                    "supportedExtension",
                    [START_TLS.decode()] if self.offers_tls else [],
                ),
            },
        )

    def _entry(self, entry: Entry, wanted: list[str], types_only: bool) -> bytes:
        names = {w.lower() for w in wanted}
        every, operational = not names or "*" in names, "+" in names
        rows = []
        for key, (name, values) in entry.attributes.items():
            asked = key in names or (operational if key in OPERATIONAL else every)
            if asked and values and key not in self.server_faults.hidden and "1.1" not in names:
                held = [] if types_only else [ber.octets(v.encode()) for v in values]
                rows.append(ber.sequence(ber.octets(name.encode()), ber.sequence(*held, tag=ber.SET)))
        return ber.sequence(ber.octets(entry.dn.encode()), ber.sequence(*rows), tag=ENTRY)


def _message(number: int, operation: bytes, control: bytes = b"") -> bytes:
    return ber.sequence(ber.integer(number), operation, ber.element(CONTROLS, control) if control else b"")


def _result(code: Code, why: str = "", referral: str = "") -> bytes:
    """The fields of an LDAPResult (RFC 4511, 4.1.9)."""
    body = ber.integer(code, ber.ENUMERATED) + ber.octets(b"") + ber.octets(why.encode())
    return body + (ber.sequence(ber.octets(referral.encode()), tag=0xA3) if referral else b"")


def _controls(content: bytes | None) -> dict[bytes, tuple[bool, bytes]]:
    found = {}
    for tag, row in ber.elements(content or b""):
        if tag != ber.SEQUENCE:
            raise BadBer("a control that is no sequence")
        fields = Fields(row)
        name = fields.of(ber.OCTETS)
        critical = fields.boolean() if fields and fields.left[-1][0] == ber.BOOLEAN else False
        found[name] = critical, fields.maybe(ber.OCTETS) or b""
    return found
