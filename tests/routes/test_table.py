"""Lookups in the table agree with testing all rules in their order, and invalid tables are refused."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.routes.normalization import NormalizationError
from lanelift.routes.table import MAX_SHAPES, Request, RouteValidationError, Rule, Table, normalized_request

HOSTS = ["", "a.example", "b.a.example", "*.example", "*.a.example", "c.b.a.example"]
PATHS = ["/", "/q", "/q/", "/q/r", "/q/r/s", "/t"]


def make_request(
    host: str = "a.example", target: str = "/q", tenant: str = "", method: str = "GET", **headers: str
) -> Request:
    return normalized_request(host, target, method, headers.items(), tenant)


def found(request_: Request, *rules: Rule) -> str:
    rule = Table(rules).find(request_)
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
    request_ = make_request("b.a.example", "/q/r", "ash", x="1", y="2")
    rules = [stronger, weaker]
    assert found(request_, *rules) == stronger.name
    if stronger.name != "first":  # the order of rules in the file is the last criterion
        assert found(request_, *reversed(rules)) == stronger.name


def test_a_less_specific_rule_applies_if_the_more_specific_one_does_not_match() -> None:
    rules = [Rule("post", host="a.example", path="/q", method="POST"), Rule("rest")]
    assert [found(make_request(method=m), *rules) for m in ("POST", "GET")] == ["post", "rest"]


@pytest.mark.parametrize(
    ("rule", "host", "target", "matches"),
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
def test_hosts_and_paths(rule: Rule, host: str, target: str, matches: bool) -> None:
    assert bool(found(make_request(host, target), rule)) is matches


def test_the_values_of_a_repeated_header_are_joined() -> None:
    twice = normalized_request("a.example", "/", "GET", [("X", "1"), ("x", "2")], "")
    assert found(twice, Rule("one", headers=(("x", "1"),))) == ""
    assert found(twice, Rule("both", headers=(("x", "1, 2"),))) == "both"
    assert found(make_request(), Rule("empty", headers=(("x", ""),))) == ""  # the header is missing


def test_an_ambiguous_request_is_refused() -> None:
    with pytest.raises(NormalizationError):
        make_request(target="/q/%2e%2e/admin")


@pytest.mark.parametrize(
    ("rules", "expected"),
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
def test_invalid_rules_are_reported(rules: list[Rule], expected: str) -> None:
    with pytest.raises(RouteValidationError) as caught:
        Table(rules)
    assert expected in str(caught.value)


def test_all_problems_are_reported_together() -> None:
    with pytest.raises(RouteValidationError) as caught:
        Table([Rule("a", host="-"), Rule("b", path="q"), Rule("c"), Rule("c", path="/q")])
    assert len(caught.value.problems) == 3


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
def test_the_index_agrees_with_the_definition(rule_list: list[Rule], seed: int) -> None:
    table = None
    kept: list[Rule] = []
    # Leaves out each rule whose conditions equal those of an earlier rule.
    for i, rule in enumerate(rule_list):
        try:
            table = Table([*kept, dataclasses.replace(rule, name=f"r{i}")])
        except RouteValidationError:
            continue
        kept.append(dataclasses.replace(rule, name=f"r{i}"))
    if table is None:
        return
    table, rng = Table(kept), random.Random(seed)
    for _ in range(40):
        request_ = make_request(
            rng.choice(["a.example", "b.a.example", "d.b.a.example", "x.example", "other"]),
            rng.choice(["/", "/q", "/q/", "/q/r", "/q/r/", "/q/r/s", "/q/r/s/u", "/t/x"]),
            rng.choice(["", "ash", "birch", "cedar"]),
            rng.choice(["GET", "POST", "PUT"]),
            **{name: rng.choice("123") for name in "xyz" if rng.random() < 0.5},
        )
        assert table.find(request_) == table.first_match(request_)
