"""The table of routes: rules with an order of precedence, and a look-up whose cost does not grow with them.

A request belongs to the rule that holds for it and stands first in this order, each step deciding only
between rules that are alike in the steps before it (the order of the Kubernetes Gateway API, and tenants):

1. host: a name before a wildcard, a longer wildcard before a shorter one, any host last;
2. path: a whole path before a prefix, a longer prefix before a shorter one;
3. a method named, before none;
4. more headers named, before fewer;
5. a tenant named, before none;
6. the order in the file.

Pure. `Table.find` looks up what `first_match` would find by trying all rules in that order.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lanelift.routes.normal import MAX_SEGMENTS, Ambiguous, host, path

MAX_RULES = 20_000  # some tens of megabytes; far above what people keep in order by hand
# Different sets of conditions beside one host and path (a method; two headers and a tenant; ...): each costs
# a look-up of its own.
MAX_SHAPES = 16


class Unusable(ValueError):
    """A table that can't be used: every mistake, each naming its rule."""

    def __init__(self, mistakes: Sequence[str]) -> None:
        super().__init__("\n".join(mistakes))
        self.mistakes = list(mistakes)


@dataclass(frozen=True, slots=True)
class Rule:
    """Conditions, all of which must hold, and where a request then belongs. What is empty holds for all."""

    name: str
    host: str = ""  # a name, or `*.` and a name: any below it
    path: str = "/"  # and all below it
    exact: bool = False  # the path itself alone
    method: str = ""
    headers: tuple[tuple[str, str], ...] = ()  # name in lower case, value as it stands
    tenant: str = ""
    class_name: str = ""
    pool: str = ""


@dataclass(frozen=True, slots=True)
class Request:
    """What the rules ask of a request, in normal form."""

    host: str
    segments: tuple[str, ...]
    method: str = "GET"
    headers: Mapping[str, str] = field(default_factory=dict)  # names in lower case
    tenant: str = ""


def request(
    host_header: str, target: str, method: str, headers: Iterable[tuple[str, str]], tenant: str
) -> Request:
    """A request as it came, in normal form. Of a header that comes twice, the values are joined by a comma
    (RFC 9110, 5.3). Raises Ambiguous."""
    joined: dict[str, str] = {}
    for name, value in headers:
        key = name.lower()
        joined[key] = f"{joined[key]}, {value}" if key in joined else value
    return Request(host(host_header), path(target), method, joined, tenant)


Place = tuple[int, int]  # how much a host or path pattern says: kind, length
Key = tuple[Place, Place, bool, int, bool, int]


@dataclass(frozen=True, slots=True)
class Entry:
    """A rule with its patterns in normal form."""

    rule: Rule
    position: int  # in the file, from 0
    host: str  # without `*.`
    wildcard: bool
    segments: tuple[str, ...]  # of a prefix without the last slash

    @property
    def precedence(self) -> Key:
        """The largest goes first."""
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
        return (
            bool(self.rule.method),
            tuple(sorted(name for name, _ in self.rule.headers)),
            bool(self.rule.tenant),
        )

    def holds(self, asked: Request) -> bool:
        """Do all of its conditions hold? The definition that `Table.find` must agree with."""
        if self.host:
            if self.wildcard and not asked.host.endswith("." + self.host):
                return False
            if not self.wildcard and asked.host != self.host:
                return False
        if self.rule.exact:
            if asked.segments != self.segments:
                return False
        elif asked.segments[: len(self.segments)] != self.segments:
            return False
        if self.rule.method and asked.method != self.rule.method:
            return False
        if self.rule.tenant and asked.tenant != self.rule.tenant:
            return False
        return all(asked.headers.get(name) == value for name, value in self.rule.headers)


Shape = tuple[bool, tuple[str, ...], bool]  # a method, which headers, a tenant
Values = tuple[str, tuple[str, ...], str]


class Beside:
    """The rules of one host and one path pattern, by the shape of their other conditions."""

    __slots__ = ("shapes",)

    def __init__(self) -> None:
        self.shapes: dict[Shape, dict[Values, Entry]] = {}

    def add(self, entry: Entry) -> Entry | None:
        """Take in a rule; the one that it repeats, if there is one."""
        values = dict(entry.rule.headers)
        key = (entry.rule.method, tuple(values[name] for name in entry.shape[1]), entry.rule.tenant)
        there = self.shapes.setdefault(entry.shape, {}).setdefault(key, entry)
        return None if there is entry else there

    def find(self, asked: Request) -> Entry | None:
        best: Entry | None = None
        for (method, names, tenant), entries in self.shapes.items():
            values = tuple(asked.headers.get(name, "") for name in names)
            if not all(name in asked.headers for name in names):
                continue
            entry = entries.get((asked.method if method else "", values, asked.tenant if tenant else ""))
            if entry is not None and (best is None or entry.precedence > best.precedence):
                best = entry
        return best


class Paths:
    """The rules of one host pattern, by path."""

    __slots__ = ("exact", "longest", "prefix")

    def __init__(self) -> None:
        self.exact: dict[tuple[str, ...], Beside] = {}
        self.prefix: dict[tuple[str, ...], Beside] = {}
        self.longest = 0  # prefix, in segments

    def beside(self, entry: Entry) -> Beside:
        if not entry.rule.exact:
            self.longest = max(self.longest, len(entry.segments))
        return (self.exact if entry.rule.exact else self.prefix).setdefault(entry.segments, Beside())

    def find(self, asked: Request) -> Entry | None:
        beside = self.exact.get(asked.segments)
        found = beside.find(asked) if beside is not None else None
        for count in range(min(self.longest, len(asked.segments)), -1, -1):
            if found is not None:
                break
            beside = self.prefix.get(asked.segments[:count])
            found = beside.find(asked) if beside is not None else None
        return found


class Table:
    """Rules, indexed: a look-up costs a few dictionary reads for each label of the host and segment of the
    path. Raises Unusable."""

    def __init__(self, rules: Sequence[Rule]) -> None:
        self.entries: list[Entry] = []
        self.names: dict[str, Paths] = {}
        self.wildcards: dict[str, Paths] = {}
        self.any = Paths()
        mistakes = [] if len(rules) <= MAX_RULES else [f"{len(rules)} rules; at most {MAX_RULES} are allowed"]
        seen: set[str] = set()
        for position, rule in enumerate(rules[:MAX_RULES]):
            if rule.name in seen:
                mistakes.append(f"rule {rule.name!r}: the name is used twice")
            seen.add(rule.name)
            try:
                entry = _entry(rule, position)
            except Ambiguous as error:
                mistakes.append(f"rule {rule.name!r}: {error}")
                continue
            self.entries.append(entry)
            beside = self._paths(entry).beside(entry)
            repeated = beside.add(entry)
            if repeated is not None:
                mistakes.append(
                    f"rule {rule.name!r}: never reached, rule {repeated.rule.name!r} above has its conditions"
                )
            if len(beside.shapes) > MAX_SHAPES:
                mistakes.append(
                    f"rule {rule.name!r}: more than {MAX_SHAPES} sets of conditions beside one host and path"
                )
        if mistakes:
            raise Unusable(mistakes)
        self.entries.sort(key=lambda entry: entry.precedence, reverse=True)

    def _paths(self, entry: Entry) -> Paths:
        if not entry.host:
            return self.any
        return (self.wildcards if entry.wildcard else self.names).setdefault(entry.host, Paths())

    def find(self, asked: Request) -> Rule | None:
        """The rule that a request belongs to."""
        paths = self.names.get(asked.host)
        found = paths.find(asked) if paths is not None else None
        below = asked.host
        while found is None and self.wildcards and "." in below:
            below = below.partition(".")[2]
            paths = self.wildcards.get(below)
            found = paths.find(asked) if paths is not None else None
        found = found or self.any.find(asked)
        return found.rule if found is not None else None

    def first_match(self, asked: Request) -> Rule | None:
        """The same by the definition: all rules in the order of precedence. For tests and explanations."""
        return next((entry.rule for entry in self.entries if entry.holds(asked)), None)


def _entry(rule: Rule, position: int) -> Entry:
    wildcard = rule.host.startswith("*.")
    name = host(rule.host.removeprefix("*.")) if rule.host else ""
    if ":" in rule.host.rpartition("]")[2]:
        raise Ambiguous(f"host {rule.host!r}: a port, which no rule can ask for")
    segments = path(rule.path)
    if "?" in rule.path:
        raise Ambiguous(f"path {rule.path!r}: a query, which no rule can ask for")
    if not rule.exact and segments[-1] == "":
        segments = segments[:-1]
    if len(segments) > MAX_SEGMENTS:
        raise Ambiguous(f"path {rule.path[:60]!r}: more than {MAX_SEGMENTS} segments")
    names = [header for header, _ in rule.headers]
    if len(set(names)) < len(names) or any(header != header.lower() or not header for header in names):
        raise Ambiguous("headers: each name once, in lower case")
    return Entry(rule, position, name, wildcard, segments)
