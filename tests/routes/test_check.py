"""The checker's verdicts on statements, and their agreement with the routing of random requests."""

from __future__ import annotations

import random

import pytest

from lanelift.routes.check import Checker, Finding, Verdict
from lanelift.routes.expect import ExpectationSyntaxError, parse_statements
from lanelift.routes.pools import Box, Pool, Split
from lanelift.routes.routing import Routing, explain
from lanelift.routes.table import Request, RouteValidationError, Rule, normalized_request

CLASSES = ("fee-quote", "rate-history", "rate-lookup")
BOXES = [
    *(Box(f"w{i}", "west", "m1", i // 2, frozenset({"stable"})) for i in range(1, 5)),
    *(Box(f"e{i}", "east", "m2", i // 2, frozenset({"stable"})) for i in range(1, 4)),
    Box("c1", "east", "m2", 9, frozenset({"canary"})),
    Box("d1", "west", "m1", 9, frozenset({"stable"}), draining=True),
]
POOLS = [
    Pool("main", zones=frozenset({"west"}), spill="spare", spill_below=0.5),
    Pool("spare", zones=frozenset({"east"}), labels=frozenset({"stable"})),
    Pool("new", labels=frozenset({"canary"})),
    Pool("history", boxes=frozenset({"e3"})),
]
SPLITS = [Split("trial", (("main", 0.9), ("new", 0.1)))]
RULES = [
    Rule("partner", host="woodbrook.example.org", path="/fee-quote", class_name="fee-quote", pool="main"),
    Rule("quotes", path="/fee-quote", class_name="fee-quote", pool="trial"),
    Rule("history", path="/rate-history", class_name="rate-history", pool="history"),
    Rule("lookup", path="/rate-lookup", method="GET", class_name="rate-lookup", pool="spare"),
]


def routing(
    rules: list[Rule] | None = None, pools: list[Pool] | None = None, boxes: list[Box] | None = None
) -> Routing:
    return Routing(rules or RULES, pools or POOLS, SPLITS, boxes or BOXES, CLASSES)


def finding(text: str, routing_: Routing | None = None) -> Finding:
    (statement,) = parse_statements(text)
    return Checker(routing_ or routing()).check(statement)


@pytest.mark.parametrize(
    "text",
    [
        'fee-quote from "woodbrook.example.org" never reaches label canary',
        "fee-quote never reaches a draining box",
        "rate-history always reaches box e3",
        "rate-lookup always reaches zone east",
        "rate-lookup when pool main is well never shares a box with fee-quote",
        "fee-quote from woodbrook.example.org when pool main is well always reaches zone west",
        "fee-quote from woodbrook.example.org has at least 4 boxes",
        "fee-quote from woodbrook.example.org when any 2 boxes are down has at least 2 boxes",
        "fee-quote from woodbrook.example.org when zone west is lost has at least 3 boxes",
        "rate-history has at most 1 box",
        "rate-lookup when any 2 boxes are down is never refused",
        'any request at "/nowhere" has no route',
        "rate-history when box w1 is cold never reaches a cold box",
        "fee-quote by ash never reaches pool history",
        "rate-lookup POST has no route",
        "fee-quote from woodbrook.example.org when any 3 boxes are down has at least 40% of its boxes",
    ],
)
def test_statements_that_hold(text: str) -> None:
    found = finding(text)
    assert found.verdict is Verdict.HOLDS, str(found)


@pytest.mark.parametrize(
    ("text", "rule", "expected"),
    [
        ("fee-quote never reaches label canary", "quotes", "box c1"),
        ("fee-quote always reaches pool main", "partner", "spare"),
        ("fee-quote when zone west is lost always reaches zone west", "partner", "zone 'west'"),
        ("fee-quote never shares a box with rate-history", "partner", "e3"),
        ("rate-history when any 1 box is down is never refused", "history", "with e3 down"),
        ("rate-history has at least 2 boxes", "history", "1 of 1 box is left"),
        ("any request is never refused", "", "no rule matches it"),
        ("any request never reaches a cold box", "partner", "cold"),
        ("rate-lookup has no route", "lookup", "a rule matches them"),
        ("fee-quote by ash has at most 3 boxes", "partner", "4 of 5"),
        ("rate-lookup when any zone is lost has at least 1 box", "lookup", "0 of 3"),
        # With two boxes down in the west, the pool spills to the three in the east, of which one is down.
        (
            "fee-quote from woodbrook.example.org when any 3 boxes are down has at least 3 boxes",
            "partner",
            "with w1, w2, e1 down",
        ),
    ],
)
def test_a_failure_names_the_rule_and_an_example(text: str, rule: str, expected: str) -> None:
    found = finding(text)
    assert found.verdict is Verdict.FAILS, str(found)
    assert found.rule == rule and expected in str(found)
    assert found.example is not None


def test_statements_that_are_not_decided() -> None:
    assert finding("fee-quote never reaches a down box").verdict is Verdict.NOT_DECIDED
    assert finding("fee-quote always reaches a cold box").verdict is Verdict.NOT_DECIDED
    many = [Box(f"b{i}", "west", labels=frozenset({"stable"})) for i in range(60)]
    both = [Pool("main", zones=frozenset({"west"}), spill="spare", spill_below=0.5), Pool("spare")]
    routing_ = Routing([Rule("all", pool="main")], both, (), many, CLASSES)
    assert finding("any request when any 20 boxes are down has at least 30 boxes", routing_).verdict is (
        Verdict.NOT_DECIDED
    )


def test_a_statement_fails_for_a_new_box_of_another_kind() -> None:
    text = "fee-quote from woodbrook.example.org when pool main is well always reaches kind m1"
    assert finding(text).verdict is Verdict.HOLDS
    found = finding(text, routing(boxes=[*BOXES, Box("w5", "west", "m3", labels=frozenset({"stable"}))]))
    assert found.verdict is Verdict.FAILS and found.example is not None and found.example.box == "w5"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("fee-quote never reaches pool nowhere", "there is no pool 'nowhere'"),
        ("fee-qoute never reaches pool main", "there is no class 'fee-qoute'"),
        ("fee-quote never reaches box x9", "there is no box 'x9'"),
        ("fee-quote when zone north is lost has at least 1 box", "there is no zone 'north'"),
        ('any request at "/nowhere" always reaches pool main', "it has no effect"),
        ("fee-quote always reaches pool main\nfee-quote never reaches pool main", "can't both hold"),
        ("fee-quote has at least 3 boxes\nfee-quote has at most 2 boxes", "can't both hold"),
    ],
)
def test_invalid_statements_are_reported(text: str, expected: str) -> None:
    assert any(expected in problem for problem in Checker(routing()).problems(parse_statements(text)))


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("fee-quote never reaches", "ends early"),
        ("fee-quote sometimes reaches pool main", ":1:11: found 'sometimes'"),
        ("any request at nowhere has no route", "does not begin with a slash"),
        ('any request at "/a/../b" has no route', "a segment . or .."),
        ("fee-quote from a..b has no route", "not a name"),
        ("fee-quote has at least 101% of its boxes", "0 to 100"),
        ("fee-quote by ash by birch has no route", "given twice"),
        ('fee-quote with x="1" with X="2" has no route', "header is given twice"),
        ("a: fee-quote has no route\na: fee-quote has no route", "is in line 1, too"),
        ("fee-quote when pool main is short and pool main is well has no route", "both short and well"),
    ],
)
def test_syntax_errors_are_reported(text: str, expected: str) -> None:
    with pytest.raises(ExpectationSyntaxError) as caught:
        parse_statements(text)
    assert expected in str(caught.value)


@pytest.mark.parametrize(
    ("pools", "expected"),
    [
        (
            [Pool("a", spill="b", spill_below=0.5), Pool("b", spill="a", spill_below=0.5)],
            "in a cycle, a -> b",
        ),
        ([Pool("a", boxes=frozenset({"x1"}))], "box 'x1' is not listed"),
        ([Pool("a", zones=frozenset({"north"}))], "no listed box"),
        ([Pool("a", spill="z", spill_below=0.1)], "which is not a pool"),
        ([Pool("a", spill_below=0.1)], "must be set together"),
        ([Pool("a"), Pool("a")], "used twice"),
    ],
)
def test_invalid_pools_are_refused(pools: list[Pool], expected: str) -> None:
    with pytest.raises(RouteValidationError) as caught:
        Routing([Rule("all")], pools, (), BOXES, CLASSES)
    assert expected in str(caught.value)


def test_shares_must_sum_to_one_and_keys_move_only_to_the_growing_share() -> None:
    with pytest.raises(RouteValidationError, match=r"sum to 0\.9, not to 1"):
        Routing([Rule("all")], POOLS, [Split("s", (("main", 0.5), ("new", 0.4)))], BOXES, CLASSES)
    before, after = Split("s", (("a", 0.8), ("b", 0.2))), Split("s", (("a", 0.7), ("b", 0.3)))
    keys = [f"k{i}" for i in range(2000)]
    moved = [key for key in keys if before.pool(key) != after.pool(key)]
    assert 0.06 < len(moved) / len(keys) < 0.14 and all(after.pool(key) == "b" for key in moved)


def test_an_explanation_has_the_rule_the_split_and_the_mismatches() -> None:
    request_ = normalized_request("other.example.org", "/fee-quote", "GET", [], "ash")
    lines = list(explain(routing(), request_))
    assert "rule 'partner' does not match: host 'woodbrook.example.org' is required" in lines[0]
    assert any("rule 'quotes' matches" in line for line in lines)
    assert any("split 'trial' by tenant (main 0.9, new 0.1)" in line for line in lines)


@pytest.mark.parametrize("seed", range(20))
def test_the_routing_of_random_requests_agrees_with_the_checker(seed: int) -> None:
    """Random requests are routed by random rules, and the checker agrees: each pool that a request is sent to
    counts as reached, and the request of each example is matched by the rule in the finding.
    """
    rng = random.Random(seed)
    rules = [
        Rule(
            f"r{i}",
            host=rng.choice(["", "a.example", "*.a.example", "*.example"]),
            path=rng.choice(["/", "/q", "/q/r"]),
            exact=rng.random() < 0.3,
            method=rng.choice(["", "GET"]),
            tenant=rng.choice(["", "ash"]),
            class_name=rng.choice(["", *CLASSES]),
            pool=rng.choice(["", "main", "spare", "new", "history", "trial"]),
        )
        for i in range(6)
    ]
    try:
        routing_ = routing(rules)
    except RouteValidationError:
        return
    checker = Checker(routing_)
    for name in ("main", "spare", "new", "history"):
        (statement,) = parse_statements(f"any request never reaches pool {name}")
        found = checker.check(statement)
        reached_pools = {
            pool.name
            for _ in range(200)
            for request_ in [_random_request(rng)]
            if routing_.decide(request_).rule is not None
            for pool in routing_.chain(routing_.pools[routing_.decide(request_).pool])
        }
        assert name not in reached_pools or found.verdict is Verdict.FAILS
        if found.example is not None:
            rule = routing_.decide(found.example.request).rule
            assert rule is not None and rule.name == found.rule


def _random_request(rng: random.Random) -> Request:
    return Request(
        rng.choice(["a.example", "b.a.example", "c.example", "other"]),
        rng.choice([("q",), ("q", "r"), ("q", "r", "s"), ("",)]),
        rng.choice(["GET", "POST"]),
        tenant=rng.choice(["ash", "birch"]),
    )
