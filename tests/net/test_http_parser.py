"""The HTTP parsers, without connections."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.net.http_parser import RequestParser, ResponseParser
from lanelift.net.message_parser import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_FRAMING_FACTOR,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
)
from tests.net.support import (
    LONG_BODY,
    OK,
    chunked_request,
    chunked_response,
    request_with_length,
    response_with_length,
)

HEAD = b"POST /pay HTTP/1.1\r\nHost: h\r\n"


CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize("step", [1, 7, 1_000_000])
def test_requests_are_parsed_the_same_in_pieces_of_any_size(step: int) -> None:
    data = (
        HEAD
        + b"X-Odd:  a b\t\r\nContent-Length: 4\r\n\r\nbody"
        + CHUNKED
        + b"3;ext=1\r\nabc\r\n1\r\nd\r\n0\r\nHost: trailer\r\n\r\n"
        + HEAD
        + b"Connection: close\r\n\r\n"
    )
    reader = RequestParser()
    for at in range(0, len(data), step):
        reader.feed(data[at : at + step])
    assert reader.error is None and not reader.has_partial
    assert [(r.method, r.target, r.body, r.keep_alive) for r in reader.messages] == [
        (b"POST", b"/pay", b"body", True),
        (b"POST", b"/pay", b"abcd", True),
        (b"POST", b"/pay", b"", False),
    ]
    assert reader.messages[0].headers == [(b"host", b"h"), (b"x-odd", b"a b"), (b"content-length", b"4")]
    assert reader.messages[1].headers == [(b"host", b"h"), (b"transfer-encoding", b"chunked")]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /quote\r\n\r\n", 400),
        (b"GET /quote HTTP/2.0\r\nHost: h\r\n\r\n", 400),
        (b"GET /quote HTTP/1.1\nHost: h\n\n", 400),
        (b"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"GET /quote HTTP/1.1\r\n\r\n", 400),
        (b"BREW /quote HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"TRACE /quote HTTP/1.1\r\nHost: h\r\n\r\n", 405),
        (HEAD + b"Host: other\r\n\r\n", 400),
        (HEAD + b"X-Odd : a\r\n\r\n", 400),
        (HEAD + b"X-Odd: a\r\n folded\r\n\r\n", 400),
        (HEAD + b"X-Odd: a\rb\r\n\r\n", 400),
        (HEAD + b"X-Odd: \x00\r\n\r\n", 400),
        (HEAD + b"Content-Length: +2\r\n\r\nab", 400),
        (HEAD + b"Content-Length: 2, 2\r\n\r\nab", 400),
        (HEAD + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nab", 400),
        (HEAD + b"Content-Length: 99999999999999999999\r\n\r\n", 400),
        (HEAD + b"Content-Length: 60000000\r\n\r\n", 413),
        (HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (CHUNKED + b"0x3\r\nabc\r\n0\r\n\r\n", 400),
        (CHUNKED + b"3\nabc\n0\n\n", 400),
        (
            CHUNKED
            + b"1\r\nx\r\n" * (MAX_BUFFERED_BODY_BYTES - 1)
            + b"0\r\n"
            + b"X-T: t\r\n" * MAX_FRAMING_FACTOR * MAX_BUFFERED_BODY_BYTES,
            413,
        ),
        (HEAD + b"X-Odd: " + b"x" * MAX_HEAD_BYTES, 431),
        (HEAD + b"X-Odd: x\r\n" * (MAX_HEAD_BYTES // 6) + b"\r\n", 431),
        (b"GET /" + b"x" * MAX_HEAD_BYTES, 431),
        (HEAD + b"a:\r\n" * MAX_HEADERS + b"\r\n", 431),
    ],
)
def test_invalid_requests_are_rejected(data: bytes, status: int) -> None:
    """Requests are malformed, ambiguous, too large or of another protocol. Each is rejected with its
    status, and nothing after it is parsed.
    """
    for step in (1000, 1_000_000_000):
        reader = RequestParser()
        for at in range(0, len(data), step):
            reader.feed(data[at : at + step])
        assert reader.error is not None and reader.error.status == status
        reader.feed(HEAD + b"\r\n")
        assert not reader.messages  # nothing is parsed after the error


def test_an_upgrade_is_ignored_in_a_request_and_an_error_in_a_response() -> None:
    """A request asks for another protocol. The request is parsed as if it asked for no other protocol, and is
    the last on its connection. A response that claims to change the protocol is an error.
    """
    upgrade = b"Connection: upgrade\r\nUpgrade: h2c\r\n\r\n"
    reader = RequestParser()
    reader.feed(HEAD + upgrade)
    assert reader.error is None and [r.keep_alive for r in reader.messages] == [False]
    answers = ResponseParser()
    answers.feed(b"HTTP/1.1 101 X\r\n" + upgrade + OK + b"Content-Length: 0\r\n\r\n")
    assert answers.error is not None and not answers.messages


def test_expect_100_continue_is_recognized() -> None:
    reader = RequestParser()
    reader.feed(HEAD + b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
    assert reader.expects_continue and not reader.messages
    reader.feed(b"body")
    assert not reader.expects_continue and reader.messages[0].body == b"body"


@pytest.mark.parametrize(
    ("data", "body", "clean"),
    [
        (OK + b"Content-Length: 2\r\n\r\nok", b"ok", True),
        (b"HTTP/1.1 204 X\r\n\r\n", b"", True),
        (b"HTTP/1.1 103 X\r\nLink: a\r\n\r\n" + OK + b"Content-Length: 0\r\n\r\n", b"", True),
        (OK + b"Content-Length: 2\r\n\r\nokH", b"ok", False),
        (OK + b"Content-Length: 2\r\n\r\nok\x00", b"ok", False),
        (OK + b"Content-Length: 2\r\n\r\nok" + OK + b"Content-Length: 0\r\n\r\n", b"ok", False),
    ],
)
def test_bytes_after_a_response_are_detected(data: bytes, body: bytes, clean: bool) -> None:
    """Noise or a second response follows a response. The parser must detect these bytes, as they would be
    read as the next request's response.
    """
    reader = ResponseParser()
    reader.feed(data)
    assert reader.messages.popleft().body == body
    assert clean is not bool(reader.messages or reader.has_partial or reader.error)


def test_each_response_has_its_own_length_limit() -> None:
    long = OK + b"Content-Length: 70000\r\n\r\n" + b"x" * 70_000
    reader = ResponseParser()
    reader.expect_response(4 * MAX_BUFFERED_BODY_BYTES)
    reader.feed(long)
    assert len(reader.messages.popleft().body) == 70_000
    reader.expect_response(MAX_BUFFERED_BODY_BYTES)
    reader.feed(long)
    assert reader.error is not None and not reader.messages


@given(
    st.integers(0, 3 * MAX_BUFFERED_BODY_BYTES),
    st.lists(st.integers(1, 100_000), max_size=8),
    st.sampled_from([response_with_length, chunked_response]),
)
def test_a_streamed_body_does_not_depend_on_how_its_bytes_are_split(
    size: int, cuts: list[int], framed: Callable[[bytes], bytes]
) -> None:
    body = LONG_BODY[:size]
    data = framed(body)
    reader = ResponseParser()
    reader.expect_response(MAX_BUFFERED_BODY_BYTES, True)
    got, at = b"", 0
    for step in [*cuts, len(data)]:
        reader.feed(data[at : at + step])
        at += step
        assert reader.partial is None or len(reader.partial.body) <= MAX_BUFFERED_BODY_BYTES
        if reader.streamed_head is not None:
            got += reader.take_body()
    assert reader.error is None and not reader.has_partial
    whole = reader.messages.popleft()
    assert (reader.streamed_head is not None) == (size > MAX_BUFFERED_BODY_BYTES)
    assert (got or whole.body) == body and not (got and whole.body)


def test_a_chunked_response_truncated_at_any_byte_is_never_complete() -> None:
    """A connection ends in the middle of a chunked response, at each possible byte. The response never
    counts as complete.
    """
    data = chunked_response(LONG_BODY[:2000], 700)
    for at in range(len(data)):
        reader = ResponseParser()
        reader.expect_response(1000, True)
        reader.feed(data[:at])
        reader.connection_ended()
        assert not reader.messages, at
    reader.feed(data[at:])
    assert reader.messages


@pytest.mark.parametrize(
    ("head", "is_complete"),
    [
        (b"Connection: close\r\n", True),
        (b"Connection: Keep-Alive, Close\r\n", True),
        (b"", False),
        (b"Connection: keep-alive\r\n", False),
        (b"Connection: close\r\nContent-Length: 4\r\n", False),
    ],
)
def test_the_end_of_a_connection_ends_a_response_only_with_connection_close(
    head: bytes, is_complete: bool
) -> None:
    """A response has no length, and its connection ends. The response may be complete or truncated. It counts
    as complete only if it announced that the connection would close.
    """
    reader = ResponseParser()
    reader.expect_response(MAX_BUFFERED_BODY_BYTES, True)
    reader.feed(OK + head + b"\r\nabc")
    reader.connection_ended()
    assert [r.body for r in reader.messages] == ([b"abc"] if is_complete else [])


@given(
    st.lists(st.tuples(st.integers(0, 3 * MAX_BUFFERED_BODY_BYTES), st.booleans()), max_size=4),
    st.integers(500, 16_384),
)
def test_pipelined_messages_do_not_mix_whatever_their_length_and_split(
    wanted: list[tuple[int, bool]], step: int
) -> None:
    """Long and short requests are pipelined, and come in pieces of any size. Each parsed request has all of
    its own bytes and no others.
    """
    data = b"".join(
        (chunked_request if in_chunks else request_with_length)(
            f"r{number}", LONG_BODY[number : number + size]
        )
        for number, (size, in_chunks) in enumerate(wanted)
    )
    reader = RequestParser()
    got: list[bytes] = []
    long = b""
    for start in range(0, len(data), step):
        reader.feed(data[start : start + step])
        while True:
            if reader.messages and not reader.messages[0].streamed:
                got.append(reader.messages.popleft().body)
            elif reader.streamed_head is not None:
                long += reader.take_body()
                if not reader.messages:
                    break
                assert reader.messages.popleft().body == b""
                reader.finish_streamed()
                got.append(long)
                long = b""
            else:
                break
    assert reader.error is None
    assert got == [LONG_BODY[number : number + size] for number, (size, _) in enumerate(wanted)]
