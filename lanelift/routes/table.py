"""The table of routes: rules by precedence, and a lookup whose cost does not depend on their number.

Of the rules that match a request, the first one in this order applies; each step decides only between rules
that are equal in all previous steps (the order of the Kubernetes Gateway API, extended by tenants):

1. host: an exact name before a wildcard, a longer wildcard before a shorter one, any host last;
2. path: an exact path before a prefix, a longer prefix before a shorter one;
3. a rule with a method before one without;
4. more headers before fewer;
5. a rule with a tenant before one without;
6. the order in the file.

Pure. `Table.find` returns the same rule as `first_match`, which tests all rules in that order.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lanelift.routes.normalization import MAX_SEGMENTS, NormalizationError, host, path

# Limits the rules of a table: this many take some tens of megabytes, and nobody maintains so many by hand.
MAX_RULES = 20_000
# Limits the combinations of kinds of conditions (a method; two headers and a tenant; ...) that the rules for
# one host and path have: each combination costs a lookup of its own.
MAX_SHAPES = 16


class RouteValidationError(ValueError):
    """A configuration of routes is invalid; `problems` has all problems, each with the name of its rule."""

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = list(problems)


@dataclass(frozen=True, slots=True)
class Rule:
    """Conditions that must all match (an empty one matches all), and the class and pool of the requests."""

    name: str
    host: str = ""  # an exact name, or `*.` and a name for all of its subdomains
    path: str = "/"  # this path and all paths below it
    exact: bool = False  # only the path itself
    method: str = ""
    headers: tuple[tuple[str, str], ...] = ()  # pairs of a name in lower case and the exact value
    tenant: str = ""
    class_name: str = ""
    pool: str = ""


@dataclass(frozen=True, slots=True)
class Request:
    """The normalized parts of a request that rules can match."""

    host: str
    segments: tuple[str, ...]
    method: str = "GET"
    headers: Mapping[str, str] = field(default_factory=dict)  # values by header name in lower case
    tenant: str = ""


def normalized_request(
    host_header: str, target: str, method: str, headers: Iterable[tuple[str, str]], tenant: str
) -> Request:
    """Normalize a received request. Raises NormalizationError.

    The values of a header that occurs several times are joined by a comma (RFC 9110, 5.3).
    """
    joined: dict[str, str] = {}
    for name, value in headers:
        key = name.lower()
        joined[key] = f"{joined[key]}, {value}" if key in joined else value
    return Request(host(host_header), path(target), method, joined, tenant)


Specificity = tuple[int, int]  # the kind and the length of a host or path pattern
Key = tuple[Specificity, Specificity, bool, int, bool, int]  # host, path, method, headers, tenant, position


@dataclass(frozen=True, slots=True)
class Entry:
    """A rule with normalized patterns."""

    rule: Rule
    position: int  # index of the rule in the file, from 0
    host: str  # the host pattern without `*.`
    wildcard: bool
    segments: tuple[str, ...]  # a path prefix has no empty last segment

    @property
    def precedence(self) -> Key:
        """The sort key of the entry; the largest key has precedence."""
        labels = self.host.count(".") + 1 if self.host else 0
        return (
            (int(bool(self.host) and not self.wildcard), labels),
            (int(self.rule.exact), len(self.segments)),
            bool(self.rule.method),
            len(self.rule.headers),
            bool(self.rule.tenant),
            -self.position,
        )

    @property
    def shape(self) -> Shape:
        """The kinds of conditions that the rule has, besides its host and path."""
        return (
            bool(self.rule.method),
            tuple(sorted(name for name, _ in self.rule.headers)),
            bool(self.rule.tenant),
        )

    def matches(self, request: Request) -> bool:
        """Return whether all conditions match a request. `Table.find` must agree with this definition."""
        if self.host:
            if self.wildcard and not request.host.endswith("." + self.host):
                return False
            if not self.wildcard and request.host != self.host:
                return False
        if self.rule.exact:
            if request.segments != self.segments:
                return False
        elif request.segments[: len(self.segments)] != self.segments:
            return False
        if self.rule.method and request.method != self.rule.method:
            return False
        if self.rule.tenant and request.tenant != self.rule.tenant:
            return False
        return all(request.headers.get(name) == value for name, value in self.rule.headers)


# Whether a method is set, the headers' names, whether a tenant is set.
Shape = tuple[bool, tuple[str, ...], bool]
Values = tuple[str, tuple[str, ...], str]  # the method, the values of these headers, the tenant


class ShapeIndex:
    """The rules with one host pattern and one path pattern, by the shape of their other conditions."""

    __slots__ = ("shapes",)

    def __init__(self) -> None:
        self.shapes: dict[Shape, dict[Values, Entry]] = {}

    def add(self, entry: Entry) -> Entry | None:
        """Add a rule; return an earlier rule with the same conditions, if there is one."""
        values = dict(entry.rule.headers)
        key = (entry.rule.method, tuple(values[name] for name in entry.shape[1]), entry.rule.tenant)
        existing = self.shapes.setdefault(entry.shape, {}).setdefault(key, entry)
        return None if existing is entry else existing

    def find(self, request: Request) -> Entry | None:
        """Return the matching entry with the highest precedence, if any."""
        best: Entry | None = None
        for (method, names, tenant), entries in self.shapes.items():
            values = tuple(request.headers.get(name, "") for name in names)
            if not all(name in request.headers for name in names):
                continue
            entry = entries.get((request.method if method else "", values, request.tenant if tenant else ""))
            if entry is not None and (best is None or entry.precedence > best.precedence):
                best = entry
        return best


class PathIndex:
    """The rules with one host pattern, by path."""

    __slots__ = ("exact", "longest", "prefix")

    def __init__(self) -> None:
        self.exact: dict[tuple[str, ...], ShapeIndex] = {}
        self.prefix: dict[tuple[str, ...], ShapeIndex] = {}
        self.longest = 0  # number of segments of the longest prefix

    def shape_index(self, entry: Entry) -> ShapeIndex:
        """Return the index to which an entry belongs by its path; create it if necessary."""
        if not entry.rule.exact:
            self.longest = max(self.longest, len(entry.segments))
        return (self.exact if entry.rule.exact else self.prefix).setdefault(entry.segments, ShapeIndex())

    def find(self, request: Request) -> Entry | None:
        """Return the matching entry with the highest precedence, if any."""
        shape_index = self.exact.get(request.segments)
        found = shape_index.find(request) if shape_index is not None else None
        for count in range(min(self.longest, len(request.segments)), -1, -1):
            if found is not None:
                break
            shape_index = self.prefix.get(request.segments[:count])
            found = shape_index.find(request) if shape_index is not None else None
        return found


class Table:
    """An index of rules. Raises RouteValidationError.

    A lookup costs a few dictionary reads for each label of the host and each segment of the path.
    """

    def __init__(self, rules: Sequence[Rule]) -> None:
        self.entries: list[Entry] = []
        self.names: dict[str, PathIndex] = {}
        self.wildcards: dict[str, PathIndex] = {}
        self.any = PathIndex()
        problems = [] if len(rules) <= MAX_RULES else [f"{len(rules)} rules; at most {MAX_RULES} are allowed"]
        seen: set[str] = set()
        for position, rule in enumerate(rules[:MAX_RULES]):
            if rule.name in seen:
                problems.append(f"rule {rule.name!r}: the name is used twice")
            seen.add(rule.name)
            try:
                entry = _entry(rule, position)
            except NormalizationError as error:
                problems.append(f"rule {rule.name!r}: {error}")
                continue
            self.entries.append(entry)
            shape_index = self._path_index(entry).shape_index(entry)
            repeated = shape_index.add(entry)
            if repeated is not None:
                problems.append(
                    f"rule {rule.name!r}: never reached, rule {repeated.rule.name!r} above has its conditions"
                )
            if len(shape_index.shapes) > MAX_SHAPES:
                problems.append(
                    f"rule {rule.name!r}: more than {MAX_SHAPES} sets of conditions for one host and path"
                )
        if problems:
            raise RouteValidationError(problems)
        self.entries.sort(key=lambda entry: entry.precedence, reverse=True)

    def _path_index(self, entry: Entry) -> PathIndex:
        if not entry.host:
            return self.any
        return (self.wildcards if entry.wildcard else self.names).setdefault(entry.host, PathIndex())

    def find(self, request: Request) -> Rule | None:
        """Return the rule that applies to a request, if any."""
        path_index = self.names.get(request.host)
        found = path_index.find(request) if path_index is not None else None
        suffix = request.host
        while found is None and self.wildcards and "." in suffix:
            suffix = suffix.partition(".")[2]
            path_index = self.wildcards.get(suffix)
            found = path_index.find(request) if path_index is not None else None
        found = found or self.any.find(request)
        return found.rule if found is not None else None

    def first_match(self, request: Request) -> Rule | None:
        """Return the same rule as `find`, by testing all rules in order. Used by tests and benchmarks."""
        return next((entry.rule for entry in self.entries if entry.matches(request)), None)


def _entry(rule: Rule, position: int) -> Entry:
    wildcard = rule.host.startswith("*.")
    name = host(rule.host.removeprefix("*.")) if rule.host else ""
    if ":" in rule.host.rpartition("]")[2]:
        raise NormalizationError(f"host {rule.host!r}: a port, which no rule can match")
    segments = path(rule.path)
    if "?" in rule.path:
        raise NormalizationError(f"path {rule.path!r}: a query, which no rule can match")
    if not rule.exact and segments[-1] == "":
        segments = segments[:-1]
    if len(segments) > MAX_SEGMENTS:
        raise NormalizationError(f"path {rule.path[:60]!r}: more than {MAX_SEGMENTS} segments")
    names = [header for header, _ in rule.headers]
    if len(set(names)) < len(names) or any(header != header.lower() or not header for header in names):
        raise NormalizationError("headers: each name once, in lower case")
    return Entry(rule, position, name, wildcard, segments)
