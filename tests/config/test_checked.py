"""Validation of files: all problems are reported, each with its place, the value and what is allowed."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.config.checked import FileValidationError, read_text
from lanelift.config.operator import OperatorFile, read_operator_file
from lanelift.net.static_endpoints import StaticEndpoints
from lanelift.policy.events import EndpointState
from lanelift.policy.settings import Idempotency

VALID = """
[serve]
listen = "127.0.0.1:8000"
[[class]]
name = "quote"
effect = "safe"
aim_ms = 264
deadline_ms = 661.5
[[upstream]]
name = "a"
address = "127.0.0.1:9001"
"""
# A line of the valid file, the invalid line that replaces it, and the expected problem.
INVALID_LINES = [
    ('listen = "127.0.0.1:8000"', 'listen = "box.example:80"', 'serve.listen: found "box.example:80"; allo'),
    ('listen = "127.0.0.1:8000"', 'listen = "127.0.0.1:0"', "serve.listen"),
    ('listen = "127.0.0.1:8000"', "listen = 8000", "serve.listen: found 8000; allowed: string"),
    ('listen = "127.0.0.1:8000"', "", "serve.listen: missing"),
    ("[serve]", "[serve]\nsockets = 3", "serve.sockets: found 3; allowed: greater than or equal to 64"),
    ("[serve]", "[serve]\nsokets = 300", "serve.sokets: unknown key; did you mean sockets?"),
    (
        "[serve]",
        "[serve]\nxyz = 300",
        "serve.xyz: unknown key; allowed: balancers, listen, number, operator, seed, sockets, zone",
    ),
    ("[serve]", '[serve]\nseed = "xyz"', 'serve.seed: found "xyz"; allowed: hexadecimal digits'),
    ("[serve]", "[server]\n[serve]", "server: unknown key; did you mean serve?"),
    ('effect = "safe"', 'effect = "saef"', "class[0].effect: found \"saef\"; allowed: 'safe', 'keyed' or"),
    ("aim_ms = 264", "aim_ms = 700", "class[0].aim_ms: found 700; allowed: up to deadline_ms (661.5)"),
    ("aim_ms = 264", "aim_ms = inf", "class[0].aim_ms"),
    ("aim_ms = 264", 'aim_ms = "264"', 'class[0].aim_ms: found "264"; allowed: number'),
    ("aim_ms = 264", "aim_ms = 2026-12-01", "class[0].aim_ms: found 2026-12-01"),
    ("[[upstream]]", '[discovery]\naddress="127.0.0.1:1"\n[[upstream]]', "upstream: servers come from"),
    (
        'name = "a"',
        'name = "a"\naddress = "127.0.0.1:1"\n[[upstream]]\nname = "a"',
        'upstream[1].name: found "a"',
    ),
]


@pytest.mark.parametrize(("line", "replacement", "expected"), INVALID_LINES)
def test_each_problem_is_reported_with_its_place(line: str, replacement: str, expected: str) -> None:
    """One line of a valid file is replaced by an invalid one. Exactly one problem is reported, with its
    place, the value found and the values allowed.
    """
    assert_only_problem(VALID, line, replacement, expected)


def assert_only_problem(valid: str, line: str, replacement: str, expected: str) -> None:
    """Assert that a file with one line replaced has exactly one problem, with the expected text."""
    assert line in valid
    with pytest.raises(FileValidationError) as caught:
        read_text(valid.replace(line, replacement, 1), OperatorFile, "f.toml")
    assert f"f.toml: {expected}" in str(caught.value)
    assert len(caught.value.problems) == 1


def test_all_problems_are_reported_together() -> None:
    """A file has several problems. They are reported together, so that a single start shows all of them."""
    text = (
        VALID.replace("listen", "lisen")
        .replace('"safe"', '"saef"')
        .replace("264", "700")
        .replace("127.0.0.1:9001", "nowhere")
        + "colour = 3\n"
    )
    with pytest.raises(FileValidationError) as caught:
        read_text(text, OperatorFile, "f.toml")
    assert sorted(m.place for m in caught.value.problems) == [
        "class[0].aim_ms",
        "class[0].effect",
        "serve.lisen",
        "serve.listen",
        "upstream[0].address",
        "upstream[0].colour",
    ]


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        (None, "can't be read: No such file"),
        (b"\xff", "byte 0 that is not UTF-8"),
        (b"[serve", "not TOML"),
        (b"", "serve: missing"),
    ],
)
def test_an_unreadable_file_is_one_problem(tmp_path: Path, content: bytes | None, expected: str) -> None:
    """A file can't be read, or is not UTF-8 or not TOML. This is reported as a problem of the whole file."""
    path = tmp_path / "f.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(FileValidationError) as caught:
        read_operator_file(path)
    assert expected in str(caught.value) and str(path) in str(caught.value)


PLAIN = st.none() | st.booleans() | st.integers() | st.floats() | st.sampled_from(["", "a"])
ROW = st.dictionaries(st.sampled_from(["name", "aim_ms", "x"]), PLAIN, max_size=2)
ROWS = st.lists(PLAIN | ROW, max_size=2)
TABLES = st.sampled_from(["serve", "class", "tenant", "upstream", "discovery"])


@given(st.dictionaries(TABLES, PLAIN | ROWS, max_size=3))
def test_cross_field_checks_accept_any_raw_input(raw: dict[str, object]) -> None:
    """Checks of several keys get raw input of any type, even if single keys are invalid. They report problems
    or none, and raise no exception.
    """
    for problem in OperatorFile.cross_field_problems(raw):
        assert problem.place and problem.allowed


def test_the_daemons_configuration() -> None:
    read = read_text(VALID, OperatorFile, "f.toml").config()
    assert read.listen == ("127.0.0.1", 8000) and isinstance(read.discovery, StaticEndpoints)
    cls = read.settings.classes["quote"]
    assert (cls.idempotency, cls.latency_objective_ns, cls.deadline_ns) == (
        Idempotency.IDEMPOTENT,
        264_000_000,
        661_500_000,
    )
    (endpoint,) = read.discovery.endpoints
    assert (endpoint.host, endpoint.port, endpoint.entry.state) == ("127.0.0.1", 9001, EndpointState.READY)


def test_the_shipped_file_is_valid() -> None:
    read_operator_file(Path(__file__).parents[2] / "deploy" / "lanelift.toml")
