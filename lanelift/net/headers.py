"""Selection of the headers that a proxy forwards (RFC 9110, 7.6.1)."""

from __future__ import annotations

from collections.abc import Iterable

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Returns the headers to forward: all but the headers that concern the connection or the body's
    framing."""
    rows = list(headers)
    named = {
        token.strip().lower() for name, value in rows if name == b"connection" for token in value.split(b",")
    }
    return [(name, value) for name, value in rows if name not in HOP_BY_HOP and name not in named]
