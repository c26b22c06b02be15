"""The table finds what trying all rules in their order would find, and says what it can't use."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.routes.normal import Ambiguous
from lanelift.routes.table import MAX_SHAPES, Request, Rule, Table, Unusable, request

HOSTS = ["", "a.example", "b.a.example", "*.example", "*.a.example", "c.b.a.example"]
PATHS = ["/", "/q", "/q/", "/q/r", "/q/r/s", "/t"]


def ask(
    host: str = "a.example", target: str = "/q", tenant: str = "", method: str = "GET", **headers: str
) -> Request:
    return request(host, target, method, headers.items(), tenant)


def found(asked: Request, *rules: Rule) -> str:
    rule = Table(rules).find(asked)
    return rule.name if rule is not None else ""


@pytest.mark.parametrize(
    ("weaker", "stronger"),
    [
        (Rule("any"), Rule("wild", host="*.example")),
        (Rule("short", host="*.example"), Rule("long", host="*.a.example")),
        (Rule("wild", host="*.a.example", path="/q/r", exact=True), Rule("name", host="b.a.example")),
        (Rule("root"), Rule("prefix", path="/q")),
        (Rule("prefix", path="/q/r"), Rule("whole", path="/q/r", exact=True)),
        (Rule("many", headers=(("x", "1"), ("y", "2")), tenant="ash"), Rule("method", method="GET")),
        (Rule("one", headers=(("x", "1"),), tenant="ash"), Rule("two", headers=(("x", "1"), ("y", "2")))),
        (Rule("none"), Rule("tenant", tenant="ash")),
        (Rule("later", headers=(("y", "2"),)), Rule("first", headers=(("x", "1"),))),
    ],
)
def test_the_order_of_precedence(weaker: Rule, stronger: Rule) -> None:
    asked = ask("b.a.example", "/q/r", "ash", x="1", y="2")
    rules = [stronger, weaker]
    assert found(asked, *rules) == stronger.name
    if stronger.name != "first":  # the order in the file comes last of all
        assert found(asked, *reversed(rules)) == stronger.name


def test_what_matches_less_closely_is_used_where_the_closer_one_does_not_hold() -> None:
    rules = [Rule("post", host="a.example", path="/q", method="POST"), Rule("rest")]
    assert [found(ask(method=m), *rules) for m in ("POST", "GET")] == ["post", "rest"]


@pytest.mark.parametrize(
    ("rule", "host", "target", "holds"),
    [
        (Rule("r", host="*.example"), "example", "/", False),
        (Rule("r", host="*.example"), "notexample", "/", False),
        (Rule("r", host="*.example"), "x.y.example", "/", True),
        (Rule("r", host="A.Example."), "a.example:80", "/", True),
        (Rule("r", path="/q"), "a.example", "/q/r", True),
        (Rule("r", path="/q"), "a.example", "/quote", False),
        (Rule("r", path="/q/"), "a.example", "/q", True),
        (Rule("r", path="/q", exact=True), "a.example", "/q/", False),
        (Rule("r", path="/%71"), "a.example", "/q", True),
        (Rule("r", path="/q"), "a.example", "/Q", False),
    ],
)
def test_hosts_and_paths(rule: Rule, host: str, target: str, holds: bool) -> None:
    assert bool(found(ask(host, target), rule)) is holds


def test_a_header_that_comes_twice_is_one_value() -> None:
    twice = request("a.example", "/", "GET", [("X", "1"), ("x", "2")], "")
    assert found(twice, Rule("one", headers=(("x", "1"),))) == ""
    assert found(twice, Rule("both", headers=(("x", "1, 2"),))) == "both"
    assert found(ask(), Rule("empty", headers=(("x", ""),))) == ""  # it is not there


def test_a_request_that_means_two_things_has_no_route() -> None:
    with pytest.raises(Ambiguous):
        ask(target="/q/%2e%2e/admin")


@pytest.mark.parametrize(
    ("rules", "says"),
    [
        ([Rule("a", path="/q/../r")], "rule 'a': path '/q/../r': a segment . or .."),
        ([Rule("a", host="b c")], "rule 'a': host 'b c'"),
        ([Rule("a", host="b.example:80")], "rule 'a': host 'b.example:80': a port"),
        ([Rule("a", path="/q?x=1")], "rule 'a': path '/q?x=1': a query"),
        ([Rule("a", path="/a" * 40)], "more than 32 segments"),
        ([Rule("a", headers=(("X", "1"),))], "rule 'a': headers: each name once, in lower case"),
        ([Rule("a"), Rule("a", path="/q")], "rule 'a': the name is used twice"),
        ([Rule("a", path="/q/"), Rule("b", path="/%71")], "rule 'b': never reached, rule 'a' above"),
        (
            [Rule(f"r{i}", headers=((f"x{i}", "1"),)) for i in range(MAX_SHAPES + 1)],
            f"more than {MAX_SHAPES} sets of conditions",
        ),
    ],
)
def test_what_cant_be_used_is_named(rules: list[Rule], says: str) -> None:
    with pytest.raises(Unusable) as caught:
        Table(rules)
    assert says in str(caught.value)


def test_all_mistakes_come_at_once() -> None:
    with pytest.raises(Unusable) as caught:
        Table([Rule("a", host="-"), Rule("b", path="q"), Rule("c"), Rule("c", path="/q")])
    assert len(caught.value.mistakes) == 3


headers = st.dictionaries(st.sampled_from("xyz"), st.sampled_from("12"), max_size=2)
rules = st.builds(
    Rule,
    name=st.just(""),
    host=st.sampled_from(HOSTS),
    path=st.sampled_from(PATHS),
    exact=st.booleans(),
    method=st.sampled_from(["", "GET", "POST"]),
    headers=headers.map(lambda rows: tuple(rows.items())),
    tenant=st.sampled_from(["", "ash", "birch"]),
)


@given(st.lists(rules, max_size=30), st.integers(0, 2**32))
def test_the_index_finds_what_the_definition_finds(made: list[Rule], seed: int) -> None:
    table = None
    kept: list[Rule] = []
    for i, rule in enumerate(made):  # without those that repeat another
        try:
            table = Table([*kept, dataclasses.replace(rule, name=f"r{i}")])
        except Unusable:
            continue
        kept.append(dataclasses.replace(rule, name=f"r{i}"))
    if table is None:
        return
    table, draw = Table(kept), random.Random(seed)
    for _ in range(40):
        asked = ask(
            draw.choice(["a.example", "b.a.example", "d.b.a.example", "x.example", "other"]),
            draw.choice(["/", "/q", "/q/", "/q/r", "/q/r/", "/q/r/s", "/q/r/s/u", "/t/x"]),
            draw.choice(["", "ash", "birch", "cedar"]),
            draw.choice(["GET", "POST", "PUT"]),
            **{name: draw.choice("123") for name in "xyz" if draw.random() < 0.5},
        )
        assert table.find(asked) == table.first_match(asked)
