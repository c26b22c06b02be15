"""An LDAPv3 directory without sockets: a tree of entries, and the session of one client.

Implements RFC 4511 (protocol), 4512 (operational attributes), 4517 and 4518 (matching, as far as it is needed
here) and 2696 (paged results). It is read only: callers change the tree directly. Performs no I/O: a session
takes and returns bytes.
"""

from __future__ import annotations

import unicodedata
import uuid
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from lanelift.standins import ber
from lanelift.standins.ber import BerError, FieldReader

BIND, UNBIND, SEARCH, ABANDON, EXTENDED = 0x60, 0x42, 0x63, 0x50, 0x77
BIND_DONE, ENTRY, SEARCH_DONE, REFERENCE, EXTENDED_DONE = 0x61, 0x64, 0x65, 0x73, 0x78
# The tags of write requests, which a read-only directory refuses, and of the response to each.
WRITE_RESPONSES = {0x66: 0x67, 0x68: 0x69, 0x4A: 0x6B, 0x6C: 0x6D, 0x6E: 0x6F}
CONTROLS = 0xA0
PAGED = b"1.2.840.113556.1.4.319"  # control for paged results (RFC 2696)
START_TLS = b"1.3.6.1.4.1.1466.20037"  # RFC 4511, 4.14
DISCONNECTION_NOTICE = b"1.3.6.1.4.1.1466.20036"  # RFC 4511, 4.4.1
MAX_DEPTH = 50  # limits the nesting depth of filters; a filter that is nested deeper is refused
MAX_PAGED = 16  # limits the open paged searches of a session; a further search discards the oldest
MODIFY_TIMESTAMP, ENTRY_UUID = "modifytimestamp", "entryuuid"
# Attributes that are returned only if requested by name.
OPERATIONAL = frozenset({MODIFY_TIMESTAMP, ENTRY_UUID, "createtimestamp", "entrydn"})


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


def normalized(text: str) -> str:
    """Normalizes text for caseIgnoreMatch (RFC 4518), which ignores Unicode form, case and runs of spaces."""
    return " ".join(unicodedata.normalize("NFKC", unicodedata.normalize("NFKC", text).casefold()).split())


def parse_dn(dn: str) -> tuple[str, ...]:
    """Returns the RDNs of a distinguished name, beginning with the entry's own. Commas in values are written
    `\\,`."""
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
        raise BerError(f"not a name: {dn[:80]!r}")
    return tuple("=".join(normalized(side) for side in p.split("=", 1)) for p in parts)


@dataclass(slots=True, eq=False)
class Entry:
    """An entry. `attributes` maps lower-case names to the name as given and the values."""

    dn: str
    attributes: dict[str, tuple[str, list[str]]]
    path: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        self.path = parse_dn(self.dn)

    def values(self, name: str) -> list[str]:
        """Returns the values of an attribute, or an empty list."""
        return self.attributes.get(name.lower(), (name, []))[1]


class Tree:
    """The entries under one base, in the order in which they were added.

    Each change sets the modification time of the entry to `stamp` (GeneralizedTime in whole seconds,
    `20261201093000Z`), where a server would use its own clock. An entry keeps its UUID for as long as it
    exists, also when it is renamed (RFC 4530)."""

    def __init__(self, base: str) -> None:
        self.base = base
        self.path = parse_dn(base)
        self.entries: dict[tuple[str, ...], Entry] = {}

    def put(self, dn: str, attributes: Mapping[str, str | Sequence[str]], stamp: str) -> Entry:
        """Adds an entry, or replaces the content of an existing one."""
        rows = {
            name.lower(): (name, [values] if isinstance(values, str) else list(values))
            for name, values in attributes.items()
        }
        entry = Entry(dn, rows)
        existing = self.entries.get(entry.path)
        identity = (
            existing.values(ENTRY_UUID)
            if existing
            else [str(uuid.uuid5(uuid.NAMESPACE_X500, f"{dn} {stamp}"))]
        )
        rows.setdefault(ENTRY_UUID, ("entryUUID", identity))
        rows[MODIFY_TIMESTAMP] = ("modifyTimestamp", [stamp])
        self.entries[entry.path] = entry
        return entry

    def change(self, dn: str, stamp: str, **values: str | Sequence[str] | None) -> None:
        """Replaces the values of some attributes; None removes an attribute. `_` in a name stands for `-`."""
        entry = self.entries[parse_dn(dn)]
        kept = {name: list(found) for name, found in entry.attributes.values()}
        for name, found in values.items():
            name = name.replace("_", "-")
            kept = {k: v for k, v in kept.items() if k.lower() != name.lower()}
            if found is not None:
                kept[name] = [found] if isinstance(found, str) else list(found)
        self.put(dn, kept, stamp)

    def rename(self, dn: str, new: str, stamp: str) -> None:
        """Renames an entry (ModifyDN). The entry keeps its content and its UUID."""
        entry = self.entries.pop(parse_dn(dn))
        self.put(new, {name: values for name, values in entry.attributes.values()}, stamp)

    def remove(self, dn: str) -> None:
        """Removes an entry."""
        del self.entries[parse_dn(dn)]

    def copy(self) -> Tree:
        """Returns a copy of the present tree; later changes of this tree do not affect the copy."""
        other = Tree(self.base)
        other.entries = dict(self.entries)
        return other

    def entries_in_scope(self, base: tuple[str, ...], scope: int) -> Iterator[Entry] | None:
        """Returns the entries in the scope of a search (0: base, 1: one level, 2: subtree), or None if the
        base does not exist."""
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


# A test of an entry; the result None means undefined: neither the test nor its negation matches.
FilterTest = Callable[[Entry], bool | None]


def read_filter(tag: int, content: bytes, ordering: bool = True, depth: int = 0) -> FilterTest:
    """Decodes a search filter (RFC 4511, 4.5.1.7) into a test of entries. Without `ordering`, the results of
    `>=` and `<=` are undefined. Raises BerError."""
    if depth > MAX_DEPTH:
        raise BerError("the filter is nested too deeply")
    if tag in (0xA0, 0xA1):
        tests = [read_filter(t, c, ordering, depth + 1) for t, c in ber.elements(content)]
        return _and_test(tests) if tag == 0xA0 else _or_test(tests)
    if tag == 0xA2:
        inner = FieldReader(content)
        negated = read_filter(*inner.next_field(), ordering, depth + 1)
        return lambda e: None if (found := negated(e)) is None else not found
    if tag == 0x87:
        name = _decode(content)
        return lambda e: bool(e.values(name))
    fields = FieldReader(content)
    if tag == 0xA4:
        return _substrings(_decode(fields.expect(ber.OCTETS)), fields.expect(ber.SEQUENCE))
    if tag not in (0xA3, 0xA5, 0xA6, 0xA8) or (tag in (0xA5, 0xA6) and not ordering):
        return lambda e: None  # undefined, as for extensible matching and unknown kinds of filters
    name, value = _decode(fields.expect(ber.OCTETS)), normalized(_decode(fields.expect(ber.OCTETS)))
    if tag in (0xA3, 0xA8):
        return lambda e: any(normalized(v) == value for v in e.values(name)) if e.values(name) else None
    at_least = tag == 0xA5

    def ordered(e: Entry) -> bool | None:
        # All values compared here are GeneralizedTime in one time zone, and these sort correctly as text.
        found = [normalized(v) for v in e.values(name)]
        return any(v >= value if at_least else v <= value for v in found) if found else None

    return ordered


def _and_test(tests: list[FilterTest]) -> FilterTest:
    def test(e: Entry) -> bool | None:
        found = [t(e) for t in tests]
        return False if False in found else None if None in found else True

    return test


def _or_test(tests: list[FilterTest]) -> FilterTest:
    def test(e: Entry) -> bool | None:
        found = [t(e) for t in tests]
        return True if True in found else None if None in found else False

    return test


def _substrings(name: str, content: bytes) -> FilterTest:
    parts = [(tag & 0x7F, normalized(_decode(part))) for tag, part in ber.elements(content)]

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

    return lambda e: any(fits(normalized(v)) for v in e.values(name)) if e.values(name) else None


def _decode(content: bytes) -> str:
    try:
        return content.decode()
    except UnicodeDecodeError:
        raise BerError("the text is not UTF-8") from None


@dataclass(slots=True)
class ServerFaults:
    """Faults in a directory's answers. The defaults inject none. `after` is the number of entries that are
    sent before the result `code`."""

    code: Code = Code.SUCCESS
    after: int = 0
    referral: str = ""  # URL sent with the code REFERRAL or, with `references`, as a search result reference
    references: bool = False
    empty: bool = False  # whether searches succeed but return no entries
    # Attributes (lower case) that are withheld, as when the client's permission was revoked.
    hidden: frozenset[str] = frozenset()
    most: int = 0  # the administrator's limit of entries in one answer; 0: no limit
    pages: bool = True  # whether paged results are supported
    ordering: bool = True  # whether >= and <= are supported in filters


@dataclass(slots=True, eq=False)
class Session:
    """The session of one client connection. `receive` returns the answers to send.

    `wants_tls` is set once StartTLS has been answered: the bytes that follow belong to the TLS handshake.
    `closing` is set when the connection has to be closed after the answers are sent."""

    tree: Tree
    users: Mapping[str, str]  # passwords by distinguished name; if there are none, anonymous clients may read
    server_faults: ServerFaults = field(default_factory=ServerFaults)
    offers_tls: bool = False
    wants_tls: bool = False
    closing: bool = False
    searches: int = 0
    entries: int = 0
    user: str | None = None
    buffer: bytearray = field(default_factory=bytearray)
    paged_searches: dict[bytes, list[Entry]] = field(default_factory=dict)
    cookie_count: int = 0

    def receive(self, data: bytes) -> list[bytes]:
        """Processes received bytes. Returns the answers to all complete requests, one message each."""
        self.buffer += data
        answers: list[bytes] = []
        while not self.closing and not self.wants_tls:
            try:
                found = ber.content_span(self.buffer)
                if found is None or len(self.buffer) < found[1]:
                    break
                if self.buffer[0] != ber.SEQUENCE:
                    raise BerError("the message is not a sequence")
                message = bytes(self.buffer[found[0] : found[1]])
                del self.buffer[: found[1]]
                answers += self._handle(FieldReader(message))
            except BerError as error:
                # RFC 4511, 4.1.1: a message that can't be parsed ends the session with a notice.
                body = _result(Code.PROTOCOL_ERROR, str(error)) + ber.octets(DISCONNECTION_NOTICE, 0x8A)
                answers.append(_encode_message(0, ber.element(EXTENDED_DONE, body)))
                self.closing = True
        return answers

    def _handle(self, fields: FieldReader) -> Iterable[bytes]:
        message_id = fields.integer()
        tag, content = fields.next_field()
        controls = _controls(fields.optional(CONTROLS))
        if tag == UNBIND:
            self.closing = True
            return []
        if tag == ABANDON:
            return []  # no search is left to abandon, as each is answered before the next message is read
        if tag == BIND:
            return [_encode_message(message_id, ber.element(BIND_DONE, self._bind(FieldReader(content))))]
        if tag == SEARCH:
            return self._search(message_id, FieldReader(content), controls)
        if tag == EXTENDED:
            return [
                _encode_message(message_id, ber.element(EXTENDED_DONE, self._extended(FieldReader(content))))
            ]
        if tag in WRITE_RESPONSES:
            return [
                _encode_message(
                    message_id, ber.element(WRITE_RESPONSES[tag], _result(Code.UNWILLING, "read only"))
                )
            ]
        raise BerError(f"unknown request tag {tag:#04x}")

    def _bind(self, fields: FieldReader) -> bytes:
        version, name = fields.integer(), _decode(fields.expect(ber.OCTETS))
        method, secret = fields.next_field()
        self.user = None
        if version != 3:
            return _result(Code.PROTOCOL_ERROR, "only LDAP version 3 is supported")
        if method != 0x80:
            return _result(Code.AUTH_METHOD, "only simple binds are supported")
        if not name and not secret:
            return _result(Code.SUCCESS)  # anonymous (RFC 4513, 5.1.1)
        known = {parse_dn(user): password for user, password in self.users.items()}
        if not secret or known.get(parse_dn(name)) != _decode(secret):
            return _result(Code.INVALID_CREDENTIALS)
        self.user = name
        return _result(Code.SUCCESS)

    def _extended(self, fields: FieldReader) -> bytes:
        name = fields.expect(0x80)
        if name != START_TLS:
            return _result(Code.PROTOCOL_ERROR, "unknown extended operation")
        if not self.offers_tls:
            return _result(Code.UNAVAILABLE, "no certificate is configured") + ber.octets(START_TLS, 0x8A)
        self.wants_tls = True
        return _result(Code.SUCCESS) + ber.octets(START_TLS, 0x8A)

    def _search(
        self, message_id: int, fields: FieldReader, controls: dict[bytes, tuple[bool, bytes]]
    ) -> Iterable[bytes]:
        """Returns the answers to a search: its entries, one page of them, or an error."""
        self.searches += 1
        base, scope = _decode(fields.expect(ber.OCTETS)), fields.integer(ber.ENUMERATED)
        fields.integer(ber.ENUMERATED)  # derefAliases is ignored, as this tree has no aliases
        size_limit, _, types_only = fields.integer(), fields.integer(), fields.boolean()
        test = read_filter(*fields.next_field(), self.server_faults.ordering)
        wanted = [_decode(content) for _, content in ber.elements(fields.expect(ber.SEQUENCE))]

        def search_done(code: Code, why: str = "", extra: bytes = b"") -> bytes:
            return _encode_message(message_id, ber.element(SEARCH_DONE, _result(code, why, referral)), extra)

        server_faults = self.server_faults
        referral = server_faults.referral if server_faults.code is Code.REFERRAL else ""
        if any(
            critical for oid, (critical, _) in controls.items() if oid != PAGED or not server_faults.pages
        ):
            return [search_done(Code.CRITICAL_EXTENSION)]
        if self.users and self.user is None:
            return [search_done(Code.ACCESS, "bind first")]
        if server_faults.code is not Code.SUCCESS and not server_faults.after:
            return [search_done(server_faults.code, "injected fault")]
        page, cookie = None, b""
        if PAGED in controls and server_faults.pages:
            inner = FieldReader(ber.FieldReader(controls[PAGED][1]).expect(ber.SEQUENCE))
            page, cookie = inner.integer(), inner.expect(ber.OCTETS)
        if cookie:
            found = self.paged_searches.pop(cookie, None)
            if found is None:
                return [search_done(Code.UNWILLING, "unknown cookie")]
        else:
            if not base and not scope:
                in_scope: Iterable[Entry] | None = [self._root()]
            else:
                in_scope = self.tree.entries_in_scope(parse_dn(base), scope)
            if in_scope is None:
                return [search_done(Code.NO_SUCH_OBJECT)]
            found = [] if server_faults.empty else [e for e in in_scope if test(e) is True]
        limit = min(n for n in (size_limit, server_faults.most, len(found)) if n or n == len(found))
        code = Code.SIZE_LIMIT if limit < len(found) else Code.SUCCESS
        extra = b""
        if page is not None:
            rest, found = (found[page:], found[:page]) if page else ([], [])
            next_cookie = b""
            if rest:
                self.cookie_count += 1
                next_cookie = b"page %d" % self.cookie_count
                self.paged_searches[next_cookie] = rest
                if len(self.paged_searches) > MAX_PAGED:
                    del self.paged_searches[next(iter(self.paged_searches))]
            value = ber.sequence(ber.integer(0), ber.octets(next_cookie))
            extra = ber.sequence(ber.octets(PAGED), ber.octets(value))
            code = Code.SUCCESS if limit >= len(found) else code
        found = found[:limit]
        if server_faults.after:
            found, code = found[: server_faults.after], server_faults.code
        answers = [_encode_message(message_id, self._entry(e, wanted, types_only)) for e in found]
        self.entries += len(found)
        if server_faults.references and server_faults.referral:
            answers.append(
                _encode_message(
                    message_id, ber.sequence(ber.octets(server_faults.referral.encode()), tag=REFERENCE)
                )
            )
        answers.append(search_done(code, "", extra))
        return answers

    def _root(self) -> Entry:
        """Returns the root DSE, which describes the server (RFC 4512, 5.1)."""
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
        """Encodes an entry with its attributes that are in `wanted`."""
        names = {w.lower() for w in wanted}
        every, operational = not names or "*" in names, "+" in names
        rows = []
        for key, (name, values) in entry.attributes.items():
            is_wanted = key in names or (operational if key in OPERATIONAL else every)
            if is_wanted and values and key not in self.server_faults.hidden and "1.1" not in names:
                encoded = [] if types_only else [ber.octets(v.encode()) for v in values]
                rows.append(ber.sequence(ber.octets(name.encode()), ber.sequence(*encoded, tag=ber.SET)))
        return ber.sequence(ber.octets(entry.dn.encode()), ber.sequence(*rows), tag=ENTRY)


def _encode_message(message_id: int, operation: bytes, control: bytes = b"") -> bytes:
    return ber.sequence(
        ber.integer(message_id), operation, ber.element(CONTROLS, control) if control else b""
    )


def _result(code: Code, why: str = "", referral: str = "") -> bytes:
    """Encodes the fields of an LDAPResult (RFC 4511, 4.1.9)."""
    body = ber.integer(code, ber.ENUMERATED) + ber.octets(b"") + ber.octets(why.encode())
    return body + (ber.sequence(ber.octets(referral.encode()), tag=0xA3) if referral else b"")


def _controls(content: bytes | None) -> dict[bytes, tuple[bool, bytes]]:
    """Decodes the controls of a message. Returns, by OID, whether each is critical, and its value."""
    found = {}
    for tag, row in ber.elements(content or b""):
        if tag != ber.SEQUENCE:
            raise BerError("the control is not a sequence")
        fields = FieldReader(row)
        name = fields.expect(ber.OCTETS)
        critical = fields.boolean() if fields and fields.remaining[-1][0] == ber.BOOLEAN else False
        found[name] = critical, fields.optional(ber.OCTETS) or b""
    return found
