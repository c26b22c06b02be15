"""Parsers of HTTP/1.1 requests and responses, which turn bytes into messages without any I/O."""

from __future__ import annotations

from collections import Counter

import httptools

from lanelift.net.http_messages import MessageError, Request, Response
from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES, MessageParser, PartialMessage

# largest number of 1xx responses before the final one; more of them count as a response that never ends
MAX_INTERIM_RESPONSES = 8
# A request that repeats one of these is ambiguous: this balancer would use one value, and the upstream might
# use the other (request smuggling, RFC 9112, 11.2).
UNIQUE_HEADERS = frozenset(
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


class RequestParser(MessageParser[Request]):
    """Parses the requests of one connection.

    Attributes:
        expects_continue: Whether the client waits for `100 Continue` before it sends the body.
    """

    parser: httptools.HttpRequestParser | None

    def __init__(self) -> None:
        super().__init__(MAX_BUFFERED_BODY_BYTES)
        self.parser = httptools.HttpRequestParser(self)
        self.expects_continue = False
        self.may_stream = True

    def on_url(self, target: bytes) -> None:
        """Receives a piece of the request target."""
        assert self.partial is not None
        self.partial.target += target

    def on_headers_complete(self) -> None:
        """Checks the complete head of a request."""
        super().on_headers_complete()
        assert self.partial is not None and self.parser is not None
        counts = Counter(name for name, _ in self.partial.headers)
        repeated = next((name for name in counts if counts[name] > 1 and name in UNIQUE_HEADERS), None)
        if repeated is not None:
            self._fail(400, f"{repeated.decode()} stands there twice")
        if not counts[b"host"] and self.parser.get_http_version() == "1.1":
            self._fail(400, "no Host")
        if self.parser.get_method() in (b"CONNECT", b"TRACE"):
            self._fail(405, "no such method here")
        self.expects_continue = (b"expect", b"100-continue") in self.partial.headers and self.error is None
        if self.streamed_head is None and self._needs_streaming():
            self.start_streaming()

    def _complete(self, partial: PartialMessage) -> None:
        self.expects_continue = False
        super()._complete(partial)

    def _build(self, partial: PartialMessage, body: bytes) -> Request:
        assert self.parser is not None
        is_http_1_1 = self.parser.get_http_version() == "1.1"
        keep_alive = self.parser.should_keep_alive() and is_http_1_1
        method, target = self.parser.get_method(), bytes(partial.target)
        return Request(method, target, partial.headers, body, keep_alive, is_http_1_1)


class ResponseParser(MessageParser[Response]):
    """Parses the responses of one connection.

    `messages` holds the response, and any messages that wrongly follow it.
    """

    parser: httptools.HttpResponseParser | None

    def __init__(self) -> None:
        super().__init__(MAX_BUFFERED_BODY_BYTES)
        self.parser = httptools.HttpResponseParser(self)
        self._interim_responses = 0
        self._ends_with_connection = False

    def expect_response(self, max_body_bytes: int, may_stream: bool = False) -> None:
        """Prepares for the next response.

        Args:
            max_body_bytes: The longest body that is buffered.
            may_stream: Whether a longer body is streamed; if not, it is an error.
        """
        self.max_body_bytes = max_body_bytes
        self.may_stream = may_stream
        self._interim_responses = 0
        self.finish_streamed()

    @property
    def length_unknown(self) -> bool:
        """Whether the head of a response is complete, and does not state the length of the response."""
        partial = self.partial
        return (
            partial is not None
            and partial.head_complete
            and self.error is None
            and self.streamed_head is None
            and not any(name == b"content-length" for name, _ in partial.headers)
        )

    @property
    def response_error(self) -> MessageError | None:
        """The error of the response itself. An error of bytes behind a complete response is not returned."""
        return None if self.messages else self.error

    def connection_ended(self) -> None:
        """Completes a response whose end is marked by the end of the connection."""
        if self._ends_with_connection and self.partial is not None and self.partial.head_complete:
            self.on_message_complete()

    def on_headers_complete(self) -> None:
        """Checks that the end of the response can be recognized.

        Only a response that states its end, and in one way only, can be distinguished from a truncated one.
        The body of a response is not read if its stated length is too large. A response without a length
        ends with its connection (RFC 9112, 6.3). Such a response is accepted only with `Connection: close`:
        a corrupt response without this header may leave its connection open, and never end.
        """
        super().on_headers_complete()
        assert self.partial is not None and self.parser is not None
        status = self.parser.get_status_code()
        if status < 200 or status in (204, 304):
            return
        framings, closes = 0, False
        for name, value in self.partial.headers:
            framings += name in (b"content-length", b"transfer-encoding")
            closes = closes or (name == b"connection" and b"close" in value.lower())
        self._ends_with_connection = not framings and closes
        if framings != 1 and not self._ends_with_connection:
            self._fail(502, "the length is missing or ambiguous")
        elif self.streamed_head is None and self._needs_streaming():
            self.start_streaming()

    def _complete(self, partial: PartialMessage) -> None:
        assert self.parser is not None
        if self.parser.get_status_code() >= 200:
            super()._complete(partial)
            # A long message that wrongly follows the response is not streamed in its place.
            self.may_stream = False
            return
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            self._fail(502, "too many 1xx responses")

    def _build(self, partial: PartialMessage, body: bytes) -> Response:
        assert self.parser is not None
        keep_alive = self.parser.should_keep_alive() and not self._ends_with_connection
        return Response(self.parser.get_status_code(), partial.headers, body, keep_alive)
