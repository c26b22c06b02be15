"""One normal form for hosts and paths, so that a rule and a request can mean only one thing.

What servers read differently is refused, not repaired: a rule that holds for `/a/../b` here and for `/b` at
the upstream protects nothing. Pure: text in, text out.
"""

from __future__ import annotations

import re

MAX_HOST = 253  # characters of a host name (RFC 1035, 2.3.4)
MAX_SEGMENTS = 32  # of a path: bounds what a look-up costs; longer paths match by their beginning alone
PORTS = range(65536)

_LABEL = re.compile(r"[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?\Z")
_UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
# What a path may hold as it stands (RFC 3986, pchar and the slash); all else comes as an escape.
_PLAIN = re.compile(r"[A-Za-z0-9\-._~!$&'()*+,;=:@/%]*\Z")


class Ambiguous(ValueError):
    """What servers would read in different ways, or not at all: says what was found and why it is refused."""


def host(text: str) -> str:
    """A request's host: lower case, with neither port nor trailing dot. Raises Ambiguous."""
    name, port = text, ""
    if text.startswith("["):
        name, bracket, rest = text.partition("]")
        if not bracket or (rest and not rest.startswith(":")):
            raise Ambiguous(f"host {text!r}: no address in brackets")
        port = rest[1:] if rest else ""
        _port(text, rest[:1], port)
        return f"{name.lower()}]"
    name, colon, port = text.partition(":")
    _port(text, colon, port)
    name = name.removesuffix(".").lower()
    if len(name) > MAX_HOST:
        raise Ambiguous(f"host {text[:40]!r}...: longer than {MAX_HOST} characters")
    if not name or not all(_LABEL.match(label) for label in name.split(".")):
        raise Ambiguous(f"host {text!r}: not a name of letters, digits and hyphens with dots between")
    return name


def _port(text: str, colon: str, port: str) -> None:
    if not colon:
        return
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and int(port) in PORTS):
        raise Ambiguous(f"host {text!r}: {port!r} is no port")


def path(target: str) -> tuple[str, ...]:
    """The segments of a request target's path, its query cut off: `/a/b/` is `("a", "b", "")`. Escapes of
    unreserved characters are decoded, others stand in upper case. Raises Ambiguous."""
    text = target.partition("?")[0]
    if not text.startswith("/"):
        raise Ambiguous(f"path {text[:60]!r}: does not begin with a slash")
    if not _PLAIN.match(text):
        raise Ambiguous(f"path {text[:60]!r}: a character that has to be escaped")
    if text.count("%") != len(_ESCAPE.findall(text)):
        raise Ambiguous(f"path {text[:60]!r}: a % without two hexadecimal digits")
    segments = tuple(_ESCAPE.sub(_decoded, text[1:]).split("/"))
    for segment in segments[:-1]:
        if not segment:
            raise Ambiguous(f"path {text[:60]!r}: an empty segment, which some servers drop and some keep")
    if any(segment in (".", "..") for segment in segments):
        raise Ambiguous(f"path {text[:60]!r}: a segment . or ..")
    return segments


def _decoded(escape: re.Match[str]) -> str:
    code = int(escape[1], 16)
    if code < 0x20 or code == 0x7F:
        raise Ambiguous(f"path: {escape[0]} is a control character")
    if chr(code) in "/\\":
        raise Ambiguous(f"path: {escape[0]} is a separator to some servers and a letter to others")
    return chr(code) if chr(code) in _UNRESERVED else escape[0].upper()
