"""Normalization of hosts and paths, and refusal of ambiguous ones."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.routes.normalization import NormalizationError, host, path


@pytest.mark.parametrize(
    ("text", "normal"),
    [
        ("Woodbrook.Example.org", "woodbrook.example.org"),
        ("woodbrook.example.org.", "woodbrook.example.org"),
        ("woodbrook.example.org:8080", "woodbrook.example.org"),
        ("WOODBROOK.example.org.:80", "woodbrook.example.org"),
        ("127.0.0.1:1", "127.0.0.1"),
        ("[2001:DB8::1]:443", "[2001:db8::1]"),
        ("[::1]", "[::1]"),
        ("a_b.example", "a_b.example"),
    ],
)
def test_hosts(text: str, normal: str) -> None:
    assert host(text) == normal
    assert host(normal) == normal


@pytest.mark.parametrize(
    "text",
    ["", ".", ":80", "a..b", "a.b..", "-a.example", "a-.example", "a b", "a/b", "a@b", "bücher.example",
     "a:b", "a:80:80", "a:", "a:99999", "a:٣", "[::1", "[::1]x", "[::1]:x", "a" * 64, "a." * 127 + "ab"],
)  # fmt: skip
def test_invalid_hosts_are_refused(text: str) -> None:
    with pytest.raises(NormalizationError):
        host(text)


@pytest.mark.parametrize(
    ("target", "segments"),
    [
        ("/", ("",)),
        ("/quote", ("quote",)),
        ("/quote/", ("quote", "")),
        ("/quote?x=/../y", ("quote",)),
        ("/%71uote", ("quote",)),
        ("/a%2db", ("a-b",)),
        ("/caf%c3%a9", ("caf%C3%A9",)),
        ("/a%20b/c", ("a%20b", "c")),
        ("/Quote", ("Quote",)),  # paths are case-sensitive
        ("/a.b/...", ("a.b", "...")),
    ],
)
def test_paths(target: str, segments: tuple[str, ...]) -> None:
    assert path(target) == segments
    assert path("/" + "/".join(segments)) == segments


@pytest.mark.parametrize(
    "target",
    ["", "*", "quote", "http://a/b", "/a//b", "//", "/a/../b", "/a/./b", "/..", "/%2e%2E/b", "/a/.%2e",
     "/a%2fb", "/a%5Cb", "/a\\b", "/a%", "/a%2", "/a%zz", "/a%00", "/a%7f", "/a b", "/é", "/a#b", "/a\tb"],
)  # fmt: skip
def test_invalid_paths_are_refused(target: str) -> None:
    with pytest.raises(NormalizationError):
        path(target)


@given(st.text(max_size=40))
def test_normalization_is_idempotent(text: str) -> None:
    for normal in (host, lambda t: "/" + "/".join(path(t))):
        try:
            once = normal(text)
        except NormalizationError as error:
            assert str(error)
            continue
        assert normal(once) == once


@given(st.lists(st.sampled_from(["a", "%2e", "..", ".", "%2f", "b%41", "%", ""]), max_size=5))
def test_no_escape_leads_out_of_a_prefix(parts: list[str]) -> None:
    try:
        segments = path("/safe/" + "/".join(parts))
    except NormalizationError:
        return
    assert segments[0] == "safe" and not {".", ".."} & set(segments)
    assert not any("/" in segment or "\\" in segment for segment in segments)
