"""HTTP/1.1 messages and their encoding (RFC 9112)."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

from lanelift.errors import LaneliftError

Headers = Sequence[tuple[bytes, bytes]]


class MessageError(LaneliftError):
    """A message is invalid or not acceptable.

    Attributes:
        status: The status code with which such a request is answered.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Request:
    """A parsed request.

    Attributes:
        method: The method, in upper case.
        target: The request target, with the query.
        headers: Names in lower case, with their values.
        body: The body; empty if it is streamed.
        keep_alive: Whether the connection can carry another request.
        accepts_chunks: Whether the sender accepts responses with chunked coding (HTTP/1.1).
        streamed: Whether the body was passed on in pieces as it was received, and is not in `body`.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    accepts_chunks: bool = True
    streamed: bool = False


@dataclass(slots=True)
class Response:
    """A parsed response.

    Attributes:
        status: The status code.
        headers: Names in lower case, with their values.
        body: The body; empty if it is streamed.
        keep_alive: Whether the connection can carry another request.
        streamed: Whether the body was passed on in pieces as it was received, and is not in `body`.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool = True
    streamed: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None; `name` is in lower case."""
        return next((value for key, value in self.headers if key == name), None)


def decode_text(value: bytes) -> str:
    """Decodes a header's value as UTF-8, or else as Latin-1, in which every byte is valid."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def encode_status(status: int) -> bytes:
    """Returns the first line of a response, without the line break."""
    return b"HTTP/1.1 %d %b" % (status, HTTPStatus(status).phrase.encode())


def encode_message(start_line: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """Encodes a message.

    Nothing is escaped, as start line and headers come from a parser or from this program itself.
    """
    rows = b"".join(b"%b: %b\r\n" % row for row in headers)
    return b"%b\r\n%b\r\n%b" % (start_line, rows, body)
