"""Bytes in, whole HTTP/1.1 messages out; no socket.

`httptools` (llhttp) reads them, and is strict: bare line feeds, folded headers, two lengths or a length and a
coding, and bad chunks are errors. What it lets pass is seen to here.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Generic, TypeVar

import httptools

MAX_BODY = 64 * 1024  # held whole
MAX_PASSED = 40 * 1024 * 1024  # of one that is passed on as it comes: those of 32 MB occur
MAX_HEAD = 16 * 1024  # bytes ahead of a body; the parser sets no bound of its own
OVERHEAD = 8  # times the longest body, a message may have in all: small chunks are mostly framing
MAX_INTERIM = 8  # 1xx answers ahead of the one that counts: more are no answer that will ever end
Headers = Sequence[tuple[bytes, bytes]]

# Of these one decides and the other might be believed further on: a request that repeats one is ambiguous.
SINGLE = frozenset(
    {
        b"host",
        b"content-length",
        b"transfer-encoding",
        b"idempotency-key",
        b"x-request-id",
        b"x-class",
        b"x-tenant",
        b"x-deadline-ms",
        b"x-retry",
        b"x-cost-hint",
    }
)


class Unacceptable(Exception):
    """What came can't be taken; of a request, with what status it is answered."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Request:
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool  # its connection goes on behind it
    chunks: bool = True  # its sender reads answers in chunks
    passed: bool = False  # its body was passed on while it came, and is not here


@dataclass(slots=True)
class Response:
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool = True
    passed: bool = False  # its body was passed on while it came, and is not here

    def header(self, name: bytes) -> bytes | None:
        return next((value for key, value in self.headers if key == name), None)


Message = TypeVar("Message", Request, Response)


@dataclass(slots=True)
class Head:
    """A message under way."""

    target: bytearray = field(default_factory=bytearray)
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    size: int = 0  # bytes read for it; those that also held another message's end are not counted
    complete: bool = False  # its headers are: what comes as a header now is a trailer


class Reader(Generic[Message]):
    """What both directions share: it collects what the parser calls out. A message that can't be taken is the
    last: `fault` says why, and nothing is read behind it.

    One whose body is longer than what is held can be passed on while it comes: `passing` is then its head,
    `take` gives what has come of its body, and in `ready` it stands without one. Nothing else is passed on
    before `next` says that this one is done with."""

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None

    def __init__(self, max_body: int) -> None:
        self.max_body = max_body
        self.ready: deque[Message] = deque()
        self.fault: Unacceptable | None = None
        self.head: Head | None = None
        self.may_pass = False
        self.passing: Message | None = None
        self.flowing: Head | None = None  # the same, while it is not whole
        self.pieces: list[bytes] = []
        self.passed = 0  # bytes of body so far

    @property
    def begun(self) -> bool:
        """Part of a message has come."""
        return self.head is not None

    def feed(self, data: bytes) -> None:
        if self.fault is not None or self.parser is None:
            return
        before = self.head
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.ready:
                self.ready[-1].keep_alive = False  # the wish may be ignored, but the parser reads no further
            else:
                self._fail(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self._fail(400, str(error))
        head = self.head
        if head is not None and (head is before or not self.ready):
            head.size += len(data)
            if not head.complete and head.size > MAX_HEAD:
                self._fail(431, "the head is too large")
            elif head.size > OVERHEAD * max(self.max_body, self.passed if head is self.flowing else 0):
                self._fail(413, "the message is too large")

    @property
    def longest(self) -> int:
        """Bytes of body that are let in."""
        return MAX_PASSED if self.may_pass else self.max_body

    def pass_on(self) -> None:
        """From here on its body is not held."""
        assert self.head is not None
        head = self.flowing = self.head
        self.passing = self._message(head, b"")
        if head.body:
            self.pieces.append(bytes(head.body))
            self.passed = len(head.body)
            head.body.clear()
            if self.passed > MAX_PASSED:
                self._fail(413, "the body is too large")

    def take(self) -> bytes:
        """What has come of its body since this was asked last."""
        pieces, self.pieces = self.pieces, []
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def next(self) -> None:
        """What was passed on is done with."""
        self.passing, self.passed = None, 0
        if self.head is not None and self.head.complete and self._is_long():
            self.pass_on()  # it came close behind the one before it

    def close(self) -> None:
        """Parser and reader hold each other: without this, memory waits for the collector."""
        self.parser = None

    def _fail(self, status: int, why: str) -> None:
        self.fault = self.fault or Unacceptable(status, why)

    # ---- called by the parser ----------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        self.head = Head()

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.head is not None
        if not self.head.complete:
            self.head.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        assert self.head is not None and self.parser is not None
        self.head.complete = True
        headers = self.head.headers
        if sum(len(name) + len(value) for name, value in headers) + len(self.head.target) > MAX_HEAD:
            self._fail(431, "the head is too large")
        if self.parser.get_http_version() not in ("1.0", "1.1"):
            self._fail(400, "not HTTP/1.1")
        coding = [value.lower() for name, value in headers if name == b"transfer-encoding"]
        if coding and coding != [b"chunked"]:
            self._fail(400, "no such transfer coding")
        length = next((value for name, value in headers if name == b"content-length"), b"0")
        if not length.isdigit() or len(length) > 15:
            self._fail(400, "Content-Length is not a whole number")
        elif int(length) > self.longest:
            self._fail(413, "the body is too large")

    def on_body(self, data: bytes) -> None:
        assert self.head is not None
        if self.fault is not None:
            return
        if self.head is self.flowing:
            self.passed += len(data)
            if self.passed > MAX_PASSED:
                self._fail(413, "the body is too large")
            else:
                self.pieces.append(data)
            return
        self.head.body += data
        if len(self.head.body) > self.max_body:
            if self.may_pass and self.passing is None:
                self.pass_on()
            else:
                self._fail(413, "the body is too large")

    def _is_long(self) -> bool:
        """Is its body, as far as it is told or has come, longer than what is held?"""
        assert self.head is not None
        if self.fault is not None or not self.may_pass:
            return False
        told = next((int(value) for name, value in self.head.headers if name == b"content-length"), 0)
        return max(told, len(self.head.body)) > self.max_body

    def on_message_complete(self) -> None:
        head, self.head = self.head, None
        assert head is not None
        if self.fault is None:
            self._complete(head)

    def _complete(self, head: Head) -> None:
        message = self._message(head, bytes(head.body))
        if head is self.flowing:
            self.flowing, message.passed = None, True
        self.ready.append(message)

    def _message(self, head: Head, body: bytes) -> Message:
        raise NotImplementedError


class RequestReader(Reader[Request]):
    parser: httptools.HttpRequestParser | None

    def __init__(self) -> None:
        super().__init__(MAX_BODY)
        self.parser = httptools.HttpRequestParser(self)
        self.continues = False  # the client waits to be told to go on
        self.may_pass = True

    def on_url(self, target: bytes) -> None:
        assert self.head is not None
        self.head.target += target

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        assert self.head is not None and self.parser is not None
        counts = Counter(name for name, _ in self.head.headers)
        twice = next((name for name in counts if counts[name] > 1 and name in SINGLE), None)
        if twice is not None:
            self._fail(400, f"{twice.decode()} stands there twice")
        if not counts[b"host"] and self.parser.get_http_version() == "1.1":
            self._fail(400, "no Host")
        if self.parser.get_method() in (b"CONNECT", b"TRACE"):
            self._fail(405, "no such method here")
        self.continues = (b"expect", b"100-continue") in self.head.headers and self.fault is None
        if self.passing is None and self._is_long():
            self.pass_on()

    def _complete(self, head: Head) -> None:
        self.continues = False
        super()._complete(head)

    def _message(self, head: Head, body: bytes) -> Request:
        assert self.parser is not None
        chunks = self.parser.get_http_version() == "1.1"
        keep = self.parser.should_keep_alive() and chunks
        return Request(self.parser.get_method(), bytes(head.target), head.headers, body, keep, chunks)


class ResponseReader(Reader[Response]):
    """`ready` holds at most the answer and what should not have come behind it."""

    parser: httptools.HttpResponseParser | None

    def __init__(self) -> None:
        super().__init__(MAX_BODY)
        self.parser = httptools.HttpResponseParser(self)
        self.interim = 0
        self.unbounded = False  # it ends with its connection

    def expect(self, max_body: int, may_pass: bool = False) -> None:
        """The next answer may be so long, or longer if it may be passed on."""
        self.max_body = max_body
        self.may_pass = may_pass
        self.interim = 0
        self.next()

    @property
    def untold(self) -> bool:
        """A whole head is there, of an answer whose length can't be known before its end."""
        head = self.head
        return (
            head is not None
            and head.complete
            and self.fault is None
            and self.passing is None
            and not any(name == b"content-length" for name, _ in head.headers)
        )

    def end(self) -> None:
        """The connection has ended: with it an answer that is told no other way."""
        if self.unbounded and self.head is not None and self.head.complete:
            self.on_message_complete()

    def on_headers_complete(self) -> None:
        """Only an answer that tells its own end, and in one way, can be told from one that was cut off. One
        that is said to be too large is not read to find out. Without a length it ends with its connection, by
        RFC 9112, 6.3; believed only of one that says so, as a spoilt one may stay open and never end."""
        super().on_headers_complete()
        assert self.head is not None and self.parser is not None
        status = self.parser.get_status_code()
        if status < 200 or status in (204, 304):
            return
        framed, closes = 0, False
        for name, value in self.head.headers:
            framed += name in (b"content-length", b"transfer-encoding")
            closes = closes or (name == b"connection" and b"close" in value.lower())
        self.unbounded = not framed and closes
        if framed != 1 and not self.unbounded:
            self._fail(502, "no length, or two")
        elif self.passing is None and self._is_long():
            self.pass_on()

    def _complete(self, head: Head) -> None:
        assert self.parser is not None
        if self.parser.get_status_code() >= 200:
            super()._complete(head)
            return
        self.interim += 1
        if self.interim > MAX_INTERIM:
            self._fail(502, "1xx answers without end")

    def _message(self, head: Head, body: bytes) -> Response:
        assert self.parser is not None
        keep = self.parser.should_keep_alive() and not self.unbounded
        return Response(self.parser.get_status_code(), head.headers, body, keep)


def text(value: bytes) -> str:
    """What a header's value says: UTF-8, or else Latin-1, of which any byte is some."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %b" % (status, HTTPStatus(status).phrase.encode())


def message(start: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """A message as it is written. What stands in it has been read by a parser, or is this program's own."""
    rows = b"".join(b"%b: %b\r\n" % row for row in headers)
    return b"%b\r\n%b\r\n%b" % (start, rows, body)
