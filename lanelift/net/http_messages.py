"""HTTP/1.1 messages as values, and as they are written to a connection (RFC 9112)."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

from lanelift.errors import LaneliftError

Headers = Sequence[tuple[bytes, bytes]]


class MessageError(LaneliftError):
    """A message that can't be accepted.

    Attributes:
        status: The status with which a request like this is answered.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Request:
    """A request as it was read.

    Attributes:
        method: Its method, in capitals.
        target: Its request target, with the query.
        headers: Names in lower case, with their values.
        body: Its body; empty where that is streamed.
        keep_alive: Its connection can carry another request.
        accepts_chunks: Its sender reads responses with chunked coding (HTTP/1.1).
        streamed: Its body was taken piece by piece while it came in, and is not here.
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
    """A response as it was read.

    Attributes:
        status: Its status code.
        headers: Names in lower case, with their values.
        body: Its body; empty where that is streamed.
        keep_alive: Its connection can carry another request.
        streamed: Its body was taken piece by piece while it came in, and is not here.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool = True
    streamed: bool = False

    def header(self, name: bytes) -> bytes | None:
        """The first value of the header with this name in lower case; None: it has none."""
        return next((value for key, value in self.headers if key == name), None)


def decode_text(value: bytes) -> str:
    """A header's value as text: UTF-8, or else Latin-1, in which every byte has a meaning."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def encode_status(status: int) -> bytes:
    """The first line of a response, without its end."""
    return b"HTTP/1.1 %d %b" % (status, HTTPStatus(status).phrase.encode())


def encode_message(start_line: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """A message as it is written.

    Nothing is escaped: start line and headers were read by a parser, or are this program's own.
    """
    rows = b"".join(b"%b: %b\r\n" % row for row in headers)
    return b"%b\r\n%b\r\n%b" % (start_line, rows, body)
