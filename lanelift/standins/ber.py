"""The part of BER that LDAP uses (RFC 4511, section 5.1): definite lengths, one-byte tags, primitive strings.

Performs no I/O: functions take and return bytes.
"""

from __future__ import annotations

from collections.abc import Iterator

# The longest accepted message, in bytes: larger than a page of entries, too small to exhaust the memory.
MAX_MESSAGE = 16 * 2**20
BOOLEAN, INTEGER, OCTETS, NULL, ENUMERATED, SEQUENCE, SET = 0x01, 0x02, 0x04, 0x05, 0x0A, 0x30, 0x31


class BerError(ValueError):
    """The bytes are not valid in the subset of BER that LDAP uses."""


def element(tag: int, content: bytes) -> bytes:
    """Encodes an element: tag, length and content."""
    size = len(content)
    if size < 0x80:
        return bytes((tag, size)) + content
    length = size.to_bytes((size.bit_length() + 7) // 8, "big")
    return bytes((tag, 0x80 | len(length))) + length + content


def integer(value: int, tag: int = INTEGER) -> bytes:
    """Encodes an integer in the shortest two's complement form."""
    size = (value if value >= 0 else ~value).bit_length() // 8 + 1
    return element(tag, value.to_bytes(size, "big", signed=True))


def boolean(value: bool, tag: int = BOOLEAN) -> bytes:
    """Encodes a boolean."""
    return element(tag, b"\xff" if value else b"\x00")


def octets(value: bytes, tag: int = OCTETS) -> bytes:
    """Encodes an octet string."""
    return element(tag, value)


def sequence(*parts: bytes, tag: int = SEQUENCE) -> bytes:
    """Encodes a sequence of elements that are already encoded."""
    return element(tag, b"".join(parts))


def content_span(data: bytes | bytearray, start: int = 0) -> tuple[int, int] | None:
    """Returns where the content of the element at `start` begins and ends, or None while its header is
    incomplete. Raises BerError."""
    if len(data) < start + 2:
        return None
    if data[start] & 0x1F == 0x1F:
        raise BerError("the tag has more than one byte")
    size = data[start + 1]
    if size < 0x80:
        return start + 2, start + 2 + size
    count = size & 0x7F
    if not 0 < count <= 4:
        raise BerError("the length is indefinite or has more than four bytes")
    begin = start + 2 + count
    if len(data) < begin:
        return None
    length = int.from_bytes(data[start + 2 : begin], "big")
    if length > MAX_MESSAGE:
        raise BerError(f"the element has {length} bytes; at most {MAX_MESSAGE} are allowed")
    return begin, begin + length


def elements(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yields the tag and content of each element. Raises BerError, also if an element is truncated."""
    at = 0
    while at < len(data):
        found = content_span(data, at)
        if found is None or found[1] > len(data):
            raise BerError("the element is truncated")
        yield data[at], data[found[0] : found[1]]
        at = found[1]


class FieldReader:
    """Reads the elements of one constructed value in order."""

    def __init__(self, content: bytes) -> None:
        self.remaining = list(elements(content))
        self.remaining.reverse()

    def __bool__(self) -> bool:
        return bool(self.remaining)

    def next_field(self) -> tuple[int, bytes]:
        """Returns the tag and content of the next element."""
        if not self.remaining:
            raise BerError("a field is missing")
        return self.remaining.pop()

    def expect(self, tag: int) -> bytes:
        """Returns the content of the next element, which must have this tag."""
        found, content = self.next_field()
        if found != tag:
            raise BerError(f"tag {found:#04x} found, {tag:#04x} expected")
        return content

    def optional(self, tag: int) -> bytes | None:
        """Returns the content of the next element if it has this tag, else None."""
        return self.remaining.pop()[1] if self.remaining and self.remaining[-1][0] == tag else None

    def integer(self, tag: int = INTEGER) -> int:
        """Decodes the next element as an integer."""
        content = self.expect(tag)
        if not 0 < len(content) <= 8:
            raise BerError("an integer must have one to eight bytes")
        return int.from_bytes(content, "big", signed=True)

    def boolean(self) -> bool:
        """Decodes the next element as a boolean."""
        content = self.expect(BOOLEAN)
        if len(content) != 1:
            raise BerError("a boolean must have one byte")
        return content != b"\x00"
