"""What the reader of messages takes, and what it turns away: no sockets."""

from __future__ import annotations

import pytest

from lanelift.net.http_parser import RequestParser, ResponseParser
from lanelift.net.message_parser import MAX_BUFFERED_BODY_BYTES, MAX_FRAMING_FACTOR, MAX_HEAD_BYTES

HEAD = b"POST /pay HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("step", [1, 7, 1_000_000])
def test_requests_are_read_alike_in_whatever_pieces_they_come(step: int) -> None:
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
    ],
)
def test_requests_that_are_turned_away(data: bytes, status: int) -> None:
    for step in (1000, 1_000_000_000):
        reader = RequestParser()
        for at in range(0, len(data), step):
            reader.feed(data[at : at + step])
        assert reader.error is not None and reader.error.status == status
        reader.feed(HEAD + b"\r\n")
        assert not reader.messages  # nothing is read behind it


def test_a_wish_for_another_protocol_is_ignored_in_a_request_and_not_believed_in_an_answer() -> None:
    wish = b"Connection: upgrade\r\nUpgrade: h2c\r\n\r\n"
    reader = RequestParser()
    reader.feed(HEAD + wish)
    assert reader.error is None and [r.keep_alive for r in reader.messages] == [False]
    answers = ResponseParser()
    answers.feed(b"HTTP/1.1 101 X\r\n" + wish + OK + b"Content-Length: 0\r\n\r\n")
    assert answers.error is not None and not answers.messages


def test_a_client_that_waits_to_be_told_to_go_on() -> None:
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
def test_an_answer_and_whether_anything_stands_behind_it(data: bytes, body: bytes, clean: bool) -> None:
    reader = ResponseParser()
    reader.feed(data)
    assert reader.messages.popleft().body == body
    assert clean is not bool(reader.messages or reader.has_partial or reader.error)


def test_how_long_an_answer_may_be_is_told_for_each() -> None:
    long = OK + b"Content-Length: 70000\r\n\r\n" + b"x" * 70_000
    reader = ResponseParser()
    reader.expect_response(4 * MAX_BUFFERED_BODY_BYTES)
    reader.feed(long)
    assert len(reader.messages.popleft().body) == 70_000
    reader.expect_response(MAX_BUFFERED_BODY_BYTES)
    reader.feed(long)
    assert reader.error is not None and not reader.messages
