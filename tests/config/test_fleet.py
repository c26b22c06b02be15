"""`[fleet]` of the operator's file: problems are reported with the place, the value and what is allowed."""

from __future__ import annotations

from pathlib import Path

import pytest

from lanelift.config.checked import FileValidationError
from lanelift.config.operator import OperatorFile, read_operator_file
from lanelift.fleet.cluster import MS

HEAD = """
[serve]
listen = "127.0.0.1:8000"
[[class]]
name = "quote"
[[upstream]]
name = "box"
address = "127.0.0.1:9001"
"""
FLEET = """
[fleet]
name = "trust"
me = "a"
state = "/var/lib/lanelift"
"""


def member(id: str, port: int, more: str = "") -> str:
    return f'\n[[fleet.member]]\nid = "{id}"\naddress = "127.0.0.1:{port}"\n{more}\n'


ABC = member("a", 1) + member("b", 2) + member("c", 3)


def read(tmp_path: Path, text: str) -> OperatorFile:
    path = tmp_path / "f.toml"
    path.write_text(HEAD + text)
    return read_operator_file(path)


def test_without_the_section_there_is_no_fleet(tmp_path: Path) -> None:
    file = read(tmp_path, "")
    assert file.fleet is None and file.config().fleet is None


def test_the_daemons_configuration(tmp_path: Path) -> None:
    source = read(tmp_path, FLEET + "lease_ms = 6000\nmargin_ms = 500" + ABC).fleet_source()
    assert source.cluster.voters == ("a", "b", "c") and source.member_id == "a"
    assert source.cluster.timing.lease_ns == 6000 * MS and source.state_folder == Path("/var/lib/lanelift")


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        (
            FLEET + ABC + member("a", 4),
            'fleet.member[3].id: found "a"; fleet.member[0] has it too; each must differ',
        ),
        (FLEET + ABC + member("d", 3), "fleet.member[3].address: found"),
        (
            FLEET.replace('me = "a"', 'me = "z"') + ABC,
            'fleet.me: found "z"; allowed: one of the members (a, b, c)',
        ),
        (FLEET.replace('state = "/var/lib/lanelift"', "") + ABC, "fleet.state: missing; a voter keeps"),
        (FLEET + member("a", 1, "votes = false"), "fleet.member: nobody votes"),
        (FLEET + "margin_ms = 6000" + ABC, "fleet.margin_ms: found 6000; allowed: up to 4990.01"),
        (FLEET + "answer_ms = 3000" + ABC, "fleet.answer_ms: found 3000; allowed: up to"),
        (FLEET + "drift_ppm = 2e5" + ABC, "fleet.drift_ppm: found 200000"),
        (FLEET + 'lease_ms = "long"' + ABC, "fleet.lease_ms: found"),
        (FLEET + "leese_ms = 1" + ABC, "fleet.leese_ms: unknown key; did you mean lease_ms?"),
        (FLEET + ABC.replace('id = "a"', 'id = "../a"'), "fleet.member[0].id: found"),
    ],
)
def test_problems_are_reported_with_their_place(tmp_path: Path, text: str, problem: str) -> None:
    """`[fleet]` has invalid values or combinations of values. The problem names its place."""
    with pytest.raises(FileValidationError) as found:
        read(tmp_path, text)
    assert problem in str(found.value)


@pytest.mark.parametrize(("members", "warned"), [(ABC, False), (ABC + member("d", 4), True)])
def test_an_even_number_of_voters_gives_a_warning(tmp_path: Path, members: str, warned: bool) -> None:
    """The number of voters is even. The fleet works, but tolerates no more failures than with one voter
    fewer, so the file is valid with a warning.
    """
    fleet = read(tmp_path, FLEET + members).fleet
    assert fleet is not None
    assert any("an odd number is better" in text for text in fleet.warnings()) == warned
    assert "a lease is held for 9.98" in fleet.summary()
