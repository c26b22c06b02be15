"""A region's generic request decides for all of it: tried on random tables and requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lanelift.routes.regions import Region, shown
from lanelift.routes.table import Request, Rule, Table, Unusable

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


def table(some: list[Rule]) -> Table | None:
    try:
        return Table(some)
    except Unusable:  # a rule that repeats another
        return None


@given(rules)
def test_every_rule_of_a_table_is_reached(some: list[Rule]) -> None:
    # What goes first is closer on the first point in which two rules differ, so it never holds for all of the
    # other's requests: the only rule that is never reached repeats another, and such a table is refused.
    made = table(some)
    for entry in made.entries if made is not None else ():
        assert made is not None and made.find(Region.of(entry).generic()) is entry.rule


@given(rules, requests)
def test_a_rule_is_found_for_its_own_generic_request_where_it_is_found_at_all(
    some: list[Rule], asked: Request
) -> None:
    made = table(some)
    rule = made.find(asked) if made is not None else None
    if made is not None and rule is not None:
        entry = next(e for e in made.entries if e.rule is rule)
        assert made.find(Region.of(entry).generic()) is rule


@given(rules, requests)
def test_a_meet_holds_what_both_hold(some: list[Rule], asked: Request) -> None:
    made = table(some)
    regions = [Region.of(entry) for entry in made.entries] if made is not None else []
    for a in regions:
        for b in regions:
            both = a.meet(b)
            assert (a.holds(asked) and b.holds(asked)) is (both is not None and both.holds(asked))
            if both is not None:
                assert a.holds(both.generic()) and b.holds(both.generic())


def test_what_a_region_leaves_open_is_not_named() -> None:
    entry = Table([Rule("r", host="*.a.example", path="/q", headers=(("x", "1"),))]).entries[0]
    assert shown(Region.of(entry).generic()) == "any.a.example/q/any, x: 1"
