"""Sets of requests, and the one request that decides a question about all of them. Pure.

A region is what a rule's conditions describe: a host pattern, a path pattern, and at most one value for the
method, each header and the tenant. The *generic* request of a region satisfies its conditions and nothing
more: below a wildcard, under a prefix, and wherever nothing is asked, it has a value that no rule names.

    A rule that holds for a region's generic request holds for the whole region.

For each condition of that rule holds for a value that it cannot have named, so it holds for every value that
the region leaves open; and what the region fixes is the same for all its requests. So a region belongs to one
rule altogether if, and only if, a single rule takes it: several that only together would cover it leave its
generic request out, since there are always more names, paths and methods than rules. `docs/design/routes.md`
has the argument in full; `tests/routes/test_regions.py` tries it on random tables.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lanelift.routes.table import Entry, Request

# Words that no configuration may use: an expectation or a rule that names one is refused where it is read.
FRESH = "zz--any"
FRESH_METHOD = "ZZ-ANY"


@dataclass(frozen=True, slots=True)
class Region:
    """Requests that have all of this in common; empty conditions hold for all."""

    host: str = ""
    wildcard: bool = False  # any name below `host`
    segments: tuple[str, ...] = ()
    exact: bool = False  # `segments` is the whole path, not its beginning
    method: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)
    tenant: str = ""

    @classmethod
    def of(cls, entry: Entry) -> Region:
        """The requests for which a rule holds, whichever others do."""
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

    def meet(self, other: Region) -> Region | None:
        """What both hold; None: nothing."""
        host = _meet_hosts(self, other)
        path = _meet_paths(self, other)
        method = _meet_values(self.method, other.method)
        tenant = _meet_values(self.tenant, other.tenant)
        if host is None or path is None or method is None or tenant is None:
            return None
        if any(other.headers.get(name, value) != value for name, value in self.headers.items()):
            return None
        return Region(*host, *path, method, {**self.headers, **other.headers}, tenant)

    def generic(self) -> Request:
        """The request that stands for all of them."""
        below = self.wildcard or not self.host
        host = f"{FRESH}.{self.host or FRESH}" if below else self.host
        segments = self.segments if self.exact else (*self.segments, FRESH)
        return Request(host, segments, self.method or FRESH_METHOD, dict(self.headers), self.tenant or FRESH)

    def holds(self, asked: Request) -> bool:
        if self.wildcard and not asked.host.endswith(f".{self.host}"):
            return False
        if self.host and not self.wildcard and asked.host != self.host:
            return False
        path = asked.segments if self.exact else asked.segments[: len(self.segments)]
        return (
            path == self.segments
            and self.method in ("", asked.method)
            and self.tenant in ("", asked.tenant)
            and all(asked.headers.get(name) == value for name, value in self.headers.items())
        )


def _meet_hosts(a: Region, b: Region) -> tuple[str, bool] | None:
    if not a.host or not b.host:
        return (a.host, a.wildcard) if a.host else (b.host, b.wildcard)
    if not a.wildcard and not b.wildcard:
        return (a.host, False) if a.host == b.host else None
    if a.wildcard and b.wildcard:
        narrow, wide = (a.host, b.host) if len(a.host) >= len(b.host) else (b.host, a.host)
        return (narrow, True) if narrow == wide or narrow.endswith(f".{wide}") else None
    name, below = (a.host, b.host) if b.wildcard else (b.host, a.host)
    return (name, False) if name.endswith(f".{below}") else None


def _meet_paths(a: Region, b: Region) -> tuple[tuple[str, ...], bool] | None:
    if a.exact and b.exact:
        return (a.segments, True) if a.segments == b.segments else None
    if a.exact or b.exact:
        whole, start = (a, b) if a.exact else (b, a)
        return (whole.segments, True) if whole.segments[: len(start.segments)] == start.segments else None
    long, short = (a, b) if len(a.segments) >= len(b.segments) else (b, a)
    return (long.segments, False) if long.segments[: len(short.segments)] == short.segments else None


def _meet_values(a: str, b: str) -> str | None:
    return a or b if not a or not b or a == b else None


def shown(asked: Request) -> str:
    """A request as people would write it; what it leaves open is not named."""
    host = asked.host.replace(FRESH, "any")
    path = "/" + "/".join(asked.segments).replace(FRESH, "any")
    method = "" if asked.method == FRESH_METHOD else f"{asked.method} "
    tenant = "" if asked.tenant in ("", FRESH) else f", tenant {asked.tenant}"
    headers = "".join(f", {name}: {value}" for name, value in sorted(asked.headers.items()))
    return f"{method}{host}{path}{headers}{tenant}"
