"""The representative request of a match set decides for the whole set, for random tables and requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lanelift.routes.match_sets import MatchSet, format_request
from lanelift.routes.table import Request, RouteValidationError, Rule, Table

HOSTS = ["", "a.example", "b.a.example", "*.example", "*.a.example"]
PATHS = ["/", "/q", "/q/r", "/t"]
HEADERS = [(), (("x", "1"),), (("y", "2"),), (("x", "1"), ("y", "2"))]

rules = st.lists(
    st.builds(
        Rule,
        name=st.uuids().map(str),
        host=st.sampled_from(HOSTS),
        path=st.sampled_from(PATHS),
        exact=st.booleans(),
        method=st.sampled_from(["", "GET", "POST"]),
        headers=st.sampled_from(HEADERS),
        tenant=st.sampled_from(["", "ash"]),
    ),
    min_size=1,
    max_size=8,
)
requests = st.builds(
    Request,
    host=st.sampled_from(["a.example", "b.a.example", "c.b.a.example", "example", "other"]),
    segments=st.sampled_from([("",), ("q",), ("q", "r"), ("q", "r", "s"), ("t",), ("u", "v")]),
    method=st.sampled_from(["GET", "POST", "PUT"]),
    headers=st.sampled_from([dict(h) for h in HEADERS]),
    tenant=st.sampled_from(["ash", "birch"]),
)


def table(rule_list: list[Rule]) -> Table | None:
    try:
        return Table(rule_list)
    except RouteValidationError:  # two rules have the same conditions
        return None


@given(rules)
def test_every_rule_of_a_table_is_reached(rule_list: list[Rule]) -> None:
    # Of two rules, the one with precedence is more specific in the first condition in which they differ, so
    # it never matches all requests of the other. A rule is never reached only if it has the same conditions
    # as another one, and such a table is refused.
    table_ = table(rule_list)
    for entry in table_.entries if table_ is not None else ():
        assert table_ is not None and table_.find(MatchSet.from_entry(entry).representative()) is entry.rule


@given(rules, requests)
def test_a_rule_that_matches_a_request_is_found_for_its_representative(
    rule_list: list[Rule], request_: Request
) -> None:
    table_ = table(rule_list)
    rule = table_.find(request_) if table_ is not None else None
    if table_ is not None and rule is not None:
        entry = next(e for e in table_.entries if e.rule is rule)
        assert table_.find(MatchSet.from_entry(entry).representative()) is rule


@given(rules, requests)
def test_an_intersection_has_the_requests_of_both_sets(rule_list: list[Rule], request_: Request) -> None:
    table_ = table(rule_list)
    match_sets = [MatchSet.from_entry(entry) for entry in table_.entries] if table_ is not None else []
    for a in match_sets:
        for b in match_sets:
            both = a.intersection(b)
            assert (a.matches(request_) and b.matches(request_)) is (
                both is not None and both.matches(request_)
            )
            if both is not None:
                assert a.matches(both.representative()) and b.matches(both.representative())


def test_unused_values_are_not_shown() -> None:
    entry = Table([Rule("r", host="*.a.example", path="/q", headers=(("x", "1"),))]).entries[0]
    assert format_request(MatchSet.from_entry(entry).representative()) == "any.a.example/q/any, x: 1"
