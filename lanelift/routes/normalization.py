"""Normalization of hosts and paths, so that rules and requests are unambiguous. Pure.

Text that servers interpret differently is refused, not corrected: a rule that matches `/a/../b` here, while
the upstream serves `/b`, protects nothing.
"""

from __future__ import annotations

import re

MAX_HOST = 253  # limits the characters of a host name (RFC 1035, 2.3.4)
# Limits the segments of a rule's path, and so the cost of a lookup. A longer path of a request matches only
# rules for a prefix of this path.
MAX_SEGMENTS = 32
PORTS = range(65536)

_LABEL = re.compile(r"[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?\Z")
_UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
# Characters that a path may contain unescaped (RFC 3986, pchar and the slash).
_PLAIN = re.compile(r"[A-Za-z0-9\-._~!$&'()*+,;=:@/%]*\Z")


class NormalizationError(ValueError):
    """A host or path is invalid or ambiguous; the message says what was found and why it is refused."""


def host(text: str) -> str:
    """Return a normalized host: in lower case, without port and trailing dot. Raises NormalizationError."""
    name, port = text, ""
    if text.startswith("["):
        name, bracket, rest = text.partition("]")
        if not bracket or (rest and not rest.startswith(":")):
            raise NormalizationError(f"host {text!r}: not an address in brackets")
        port = rest[1:] if rest else ""
        _port(text, rest[:1], port)
        return f"{name.lower()}]"
    name, colon, port = text.partition(":")
    _port(text, colon, port)
    name = name.removesuffix(".").lower()
    if len(name) > MAX_HOST:
        raise NormalizationError(f"host {text[:40]!r}...: longer than {MAX_HOST} characters")
    if not name or not all(_LABEL.match(label) for label in name.split(".")):
        raise NormalizationError(f"host {text!r}: not a name of letters, digits and hyphens between dots")
    return name


def _port(text: str, colon: str, port: str) -> None:
    if not colon:
        return
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and int(port) in PORTS):
        raise NormalizationError(f"host {text!r}: {port!r} is not a port")


def path(target: str) -> tuple[str, ...]:
    """Return the segments of a request target's path, without its query: `/a/b/` gives `("a", "b", "")`.

    Escapes of unreserved characters are decoded, others are in upper case. Raises NormalizationError.
    """
    text = target.partition("?")[0]
    if not text.startswith("/"):
        raise NormalizationError(f"path {text[:60]!r}: does not begin with a slash")
    if not _PLAIN.match(text):
        raise NormalizationError(f"path {text[:60]!r}: a character that has to be escaped")
    if text.count("%") != len(_ESCAPE.findall(text)):
        raise NormalizationError(f"path {text[:60]!r}: a % without two hexadecimal digits")
    segments = tuple(_ESCAPE.sub(_decoded, text[1:]).split("/"))
    for segment in segments[:-1]:
        if not segment:
            raise NormalizationError(f"path {text[:60]!r}: an empty segment, which only some servers drop")
    if any(segment in (".", "..") for segment in segments):
        raise NormalizationError(f"path {text[:60]!r}: a segment . or ..")
    return segments


def _decoded(escape: re.Match[str]) -> str:
    code = int(escape[1], 16)
    if code < 0x20 or code == 0x7F:
        raise NormalizationError(f"path: {escape[0]} is a control character")
    if chr(code) in "/\\":
        raise NormalizationError(f"path: {escape[0]} is a separator for some servers and not for others")
    return chr(code) if chr(code) in _UNRESERVED else escape[0].upper()
