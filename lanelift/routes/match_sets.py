"""Match sets: sets of requests, each with a representative request that decides for the whole set. Pure.

A match set is described like the conditions of a rule: by a host pattern, a path pattern, and at most one
value for the method, each header and the tenant. The *representative* request of a set matches these
conditions. Wherever the set leaves a value open (below a wildcard, under a prefix, or without a condition),
the request has a value that no rule names.

    A rule that matches the representative request of a set matches the whole set.

Wherever the set leaves a value open, each condition of such a rule matches a value that the rule cannot name,
so it matches every value; the values that the set fixes are the same for all of its requests. So a whole set
belongs to one rule if and only if a single rule matches it. Several rules can't cover a set together unless
one of them covers it alone, since there are always more names, paths and methods than rules.
`docs/design/routes.md` has the full argument; `tests/routes/test_match_sets.py` checks it with random tables.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lanelift.routes.table import Entry, Request

# Reserved names. `expect.py` refuses an expectation with UNUSED_NAME, and the grammar of expectations has no
# UNUSED_METHOD.
UNUSED_NAME = "zz--any"
UNUSED_METHOD = "ZZ-ANY"


@dataclass(frozen=True, slots=True)
class MatchSet:
    """The requests that match all of these conditions; an empty condition matches all requests."""

    host: str = ""
    wildcard: bool = False  # whether `host` stands for all of its subdomains, without `host` itself
    segments: tuple[str, ...] = ()
    exact: bool = False  # whether `segments` is the whole path and not only a prefix
    method: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)
    tenant: str = ""

    @classmethod
    def from_entry(cls, entry: Entry) -> MatchSet:
        """Return the set of requests that a rule matches, regardless of other rules."""
        rule = entry.rule
        return cls(
            entry.host,
            entry.wildcard,
            entry.segments,
            rule.exact,
            rule.method,
            dict(rule.headers),
            rule.tenant,
        )

    def intersection(self, other: MatchSet) -> MatchSet | None:
        """Return the set of requests that are in both sets, or None if no request is in both."""
        host = _intersect_hosts(self, other)
        path = _intersect_paths(self, other)
        method = _intersect_values(self.method, other.method)
        tenant = _intersect_values(self.tenant, other.tenant)
        if host is None or path is None or method is None or tenant is None:
            return None
        if any(other.headers.get(name, value) != value for name, value in self.headers.items()):
            return None
        return MatchSet(*host, *path, method, {**self.headers, **other.headers}, tenant)

    def representative(self) -> Request:
        """Return the representative request of the set."""
        below = self.wildcard or not self.host
        host = f"{UNUSED_NAME}.{self.host or UNUSED_NAME}" if below else self.host
        segments = self.segments if self.exact else (*self.segments, UNUSED_NAME)
        return Request(
            host, segments, self.method or UNUSED_METHOD, dict(self.headers), self.tenant or UNUSED_NAME
        )

    def matches(self, request: Request) -> bool:
        """Return whether a request is in the set."""
        if self.wildcard and not request.host.endswith(f".{self.host}"):
            return False
        if self.host and not self.wildcard and request.host != self.host:
            return False
        path = request.segments if self.exact else request.segments[: len(self.segments)]
        return (
            path == self.segments
            and self.method in ("", request.method)
            and self.tenant in ("", request.tenant)
            and all(request.headers.get(name) == value for name, value in self.headers.items())
        )


def _intersect_hosts(a: MatchSet, b: MatchSet) -> tuple[str, bool] | None:
    if not a.host or not b.host:
        return (a.host, a.wildcard) if a.host else (b.host, b.wildcard)
    if not a.wildcard and not b.wildcard:
        return (a.host, False) if a.host == b.host else None
    if a.wildcard and b.wildcard:
        narrow, wide = (a.host, b.host) if len(a.host) >= len(b.host) else (b.host, a.host)
        return (narrow, True) if narrow == wide or narrow.endswith(f".{wide}") else None
    name, below = (a.host, b.host) if b.wildcard else (b.host, a.host)
    return (name, False) if name.endswith(f".{below}") else None


def _intersect_paths(a: MatchSet, b: MatchSet) -> tuple[tuple[str, ...], bool] | None:
    if a.exact and b.exact:
        return (a.segments, True) if a.segments == b.segments else None
    if a.exact or b.exact:
        whole, start = (a, b) if a.exact else (b, a)
        return (whole.segments, True) if whole.segments[: len(start.segments)] == start.segments else None
    long, short = (a, b) if len(a.segments) >= len(b.segments) else (b, a)
    return (long.segments, False) if long.segments[: len(short.segments)] == short.segments else None


def _intersect_values(a: str, b: str) -> str | None:
    return a or b if not a or not b or a == b else None


def format_request(request: Request) -> str:
    """Return a request as text for people, with `any` or nothing in place of unused values."""
    host = request.host.replace(UNUSED_NAME, "any")
    path = "/" + "/".join(request.segments).replace(UNUSED_NAME, "any")
    method = "" if request.method == UNUSED_METHOD else f"{request.method} "
    tenant = "" if request.tenant in ("", UNUSED_NAME) else f", tenant {request.tenant}"
    headers = "".join(f", {name}: {value}" for name, value in sorted(request.headers.items()))
    return f"{method}{host}{path}{headers}{tenant}"
