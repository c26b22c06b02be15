"""The common base of the HTTP/1.1 request and response parsers, which do no I/O.

`httptools` (llhttp) does the parsing, and is strict: bare line feeds, folded headers, two lengths, a length
together with a coding, and bad chunks are errors. Ambiguous or unbounded input that `httptools` accepts is
checked here.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import httptools

from lanelift.net.http_messages import MessageError, Request, Response
from lanelift.policy.memory import HEADER_OVERHEAD_BYTES

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # longest body that is buffered; a longer body is streamed or rejected
MAX_STREAMED_BODY_BYTES = 40 * 1024 * 1024
MAX_HEAD_BYTES = 16 * 1024  # longest head that is accepted; httptools has no limit of its own
# A message, including the framing of its chunks, may be this many times as long as the longest body: small
# chunks consist mostly of framing.
MAX_FRAMING_FACTOR = 8
MAX_NUMBER_DIGITS = 15
# Most headers that a message may have. Small headers take many times their size once they are parsed.
MAX_HEADERS = 100
TYPICAL_HEAD_BYTES = 2048  # memory that the parsed head of a usual message takes

Message = TypeVar("Message", Request, Response)


@dataclass(slots=True)
class PartialMessage:
    """A message of which part has been parsed.

    Attributes:
        target: The part of the request target that was received so far.
        headers: The headers that were received so far.
        body: The part of the body that was received so far, if the body is buffered.
        size_bytes: The number of bytes read for the message, not counting a read that also held the end of
            the previous message.
        head_complete: Whether all headers were received; a later header is a trailer.
        head_bytes: The memory that the received part of the head takes, roughly.
    """

    target: bytearray = field(default_factory=bytearray)
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    size_bytes: int = 0
    head_complete: bool = False
    head_bytes: int = TYPICAL_HEAD_BYTES // 4


class MessageParser(Generic[Message]):
    """Builds messages from httptools' callbacks, in both directions.

    An invalid message is the last one: it sets `error`, and no further input is parsed.

    A body that is too long to be buffered can be streamed. `streamed_head` is then the message without its
    body, `take_body` returns the body as it is received, and the complete message in `messages` has no body.
    No other message is streamed until `finish_streamed` is called.

    Attributes:
        messages: Complete messages, the oldest first.
        error: The error after which nothing more is parsed.
        partial: The message that is being parsed.
        may_stream: Whether bodies that are too long to be buffered may be streamed.
        streamed_head: The message whose body is streamed, without the body.
    """

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.messages: deque[Message] = deque()
        self.error: MessageError | None = None
        self.partial: PartialMessage | None = None
        self.may_stream = False
        self.streamed_head: Message | None = None
        # the message whose body is being streamed, until the message is complete
        self._streamed_partial: PartialMessage | None = None
        self._body_parts: list[bytes] = []
        self._streamed_bytes = 0

    @property
    def has_partial(self) -> bool:
        """Whether part of a message has been parsed."""
        return self.partial is not None

    def feed(self, data: bytes) -> None:
        """Parses bytes from the connection."""
        if self.error is not None or self.parser is None:
            return
        before = self.partial
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.messages:
                # A request to change the protocol may be ignored, but httptools parses no further.
                self.messages[-1].keep_alive = False
            else:
                self._fail(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self._fail(400, str(error))
        partial = self.partial
        if partial is not None and (partial is before or not self.messages):
            self._check_size(partial, len(data))
        if self.error is not None:
            self.partial = None  # it has no further use, and its connection may last for seconds

    def _check_size(self, partial: PartialMessage, read_bytes: int) -> None:
        partial.size_bytes += read_bytes
        streamed_bytes = self._streamed_bytes if partial is self._streamed_partial else 0
        if not partial.head_complete and partial.size_bytes > MAX_HEAD_BYTES:
            self._fail(431, "the head is too large")
        elif partial.size_bytes > MAX_FRAMING_FACTOR * max(self.max_body_bytes, streamed_bytes):
            self._fail(413, "the message is too large")

    @property
    def body_limit_bytes(self) -> int:
        """The longest body that is accepted."""
        return MAX_STREAMED_BODY_BYTES if self.may_stream else self.max_body_bytes

    @property
    def head_complete(self) -> bool:
        """Whether the head of the message that is being parsed is complete."""
        return self.partial is not None and self.partial.head_complete

    @property
    def buffered_bytes(self) -> int:
        """The memory that parsed messages take, roughly."""
        total = sum(map(len, self._body_parts))
        if self.partial is not None:
            total += self.partial.head_bytes + len(self.partial.body)
        return total + sum(TYPICAL_HEAD_BYTES + len(message.body) for message in self.messages)

    def start_streaming(self) -> None:
        """Starts to stream the body of the message that is being parsed."""
        assert self.partial is not None
        partial = self._streamed_partial = self.partial
        self.streamed_head = self._build(partial, b"")
        if partial.body:
            self._body_parts.append(bytes(partial.body))
            self._streamed_bytes = len(partial.body)
            partial.body.clear()
            if self._streamed_bytes > MAX_STREAMED_BODY_BYTES:
                self._fail(413, "the body is too large")

    @property
    def streamed_bytes(self) -> int:
        """The number of bytes of the streamed body received so far."""
        return self._streamed_bytes

    def take_body(self) -> bytes:
        """Returns the part of the streamed body that was received since the last call."""
        parts, self._body_parts = self._body_parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def finish_streamed(self) -> None:
        """Ends the streaming of a message, and starts to stream the next one if its body is too long."""
        self.streamed_head, self._streamed_bytes = None, 0
        if self.partial is not None and self.partial.head_complete and self._needs_streaming():
            self.start_streaming()

    def drop_partial(self) -> None:
        """Frees the message that is being parsed; nothing more is parsed."""
        self._fail(503, "refused")
        self.partial = None
        self._body_parts.clear()

    def close(self) -> None:
        """Breaks the reference cycle with httptools, so that memory is freed without garbage collection."""
        self.parser = None

    def _fail(self, status: int, reason: str) -> None:
        self.error = self.error or MessageError(status, reason)

    # ---- called by httptools -----------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Starts a new message."""
        self.partial = PartialMessage()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers are dropped."""
        assert self.partial is not None
        if self.partial.head_complete or self.error is not None:
            return
        if len(self.partial.headers) >= MAX_HEADERS:
            self._fail(431, "there are too many headers")
        else:
            self.partial.headers.append((name.lower(), value.strip(b" \t")))
            self.partial.head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES

    def on_headers_complete(self) -> None:
        """Checks the complete head."""
        assert self.partial is not None and self.parser is not None
        self.partial.head_complete = True
        headers = self.partial.headers
        head_bytes = sum(len(name) + len(value) for name, value in headers) + len(self.partial.target)
        if head_bytes > MAX_HEAD_BYTES:
            self._fail(431, "the head is too large")
        if self.parser.get_http_version() not in ("1.0", "1.1"):
            self._fail(400, "not HTTP/1.1")
        codings = [value.lower() for name, value in headers if name == b"transfer-encoding"]
        if codings and codings != [b"chunked"]:
            self._fail(400, "no such transfer coding")
        length = next((value for name, value in headers if name == b"content-length"), b"0")
        if not length.isdigit() or len(length) > MAX_NUMBER_DIGITS:
            self._fail(400, "Content-Length is not a whole number")
        elif int(length) > self.body_limit_bytes:
            self._fail(413, "the body is too large")

    def on_body(self, data: bytes) -> None:
        """Buffers or streams a piece of the body."""
        assert self.partial is not None
        if self.error is not None:
            return
        if self.partial is self._streamed_partial:
            self._streamed_bytes += len(data)
            if self._streamed_bytes > MAX_STREAMED_BODY_BYTES:
                self._fail(413, "the body is too large")
            else:
                self._body_parts.append(data)
            return
        self.partial.body += data
        if len(self.partial.body) > self.max_body_bytes:
            if self.may_stream and self.streamed_head is None:
                self.start_streaming()
            else:
                self._fail(413, "the body is too large")

    def _needs_streaming(self) -> bool:
        """Returns whether the body must be streamed, by its stated length or by the part received."""
        assert self.partial is not None
        if self.error is not None or not self.may_stream:
            return False
        stated = next((int(value) for name, value in self.partial.headers if name == b"content-length"), 0)
        return max(stated, len(self.partial.body)) > self.max_body_bytes

    def on_message_complete(self) -> None:
        """Completes the message after its last byte."""
        partial, self.partial = self.partial, None
        assert partial is not None
        if self.error is None:
            self._complete(partial)

    def _complete(self, partial: PartialMessage) -> None:
        message = self._build(partial, bytes(partial.body))
        if partial is self._streamed_partial:
            self._streamed_partial, message.streamed = None, True
        self.messages.append(message)

    def _build(self, partial: PartialMessage, body: bytes) -> Message:
        raise NotImplementedError
