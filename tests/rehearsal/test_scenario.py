"""Scenario files: the shipped ones are valid, and all mistakes of a file are reported together."""

from __future__ import annotations

from pathlib import Path

import pytest

from lanelift.config.checked import FileValidationError
from lanelift.rehearsal.scenario import Scenario, read_scenario, shipped

FIVE = """
name = "carni val"
length_s = 10
[load]
rate = "fast"
shape = "wavy"
[clients]
try_part = [0.5, 0.3]
[[fault]]
kind = "freeze"
at_s = 10
len_s = 5
prt = 0.3
[[fault]]
kind = "frieze"
at_s = 1
"""


def test_the_shipped_scenarios_are_valid() -> None:
    assert set(shipped()) == {
        "calm",
        "month-end",
        "quarter-dies",
        "carnival",
        "back-to-school",
        "suspension",
    }
    for name in shipped():
        read = read_scenario(name)
        assert read.name == name and read.about
        assert [c.name for c in read.classes] == ["rate-lookup", "fee-quote", "rate-history", "corridor-list"]
        assert len(read.tenants) == (60 if name == "suspension" else 9)


def test_all_mistakes_are_reported_together(tmp_path: Path) -> None:
    path = tmp_path / "five.toml"
    path.write_text(FIVE)
    with pytest.raises(FileValidationError) as caught:
        read_scenario(str(path))
    messages = {m.place: str(m) for m in caught.value.problems}
    assert set(messages) == {
        "name",
        "load.rate",
        "load.shape",
        "clients.try_part",
        "fault[0].prt",
        "fault[0].at_s",
        "fault[1]",
    }
    assert "did you mean part?" in messages["fault[0].prt"]
    assert "'steady', 'ramp', 'wave' or 'bursty'" in messages["load.shape"]
    assert "'die', 'deploy', 'freeze'" in messages["fault[1]"]
    assert "allowed: under length_s (10)" in messages["fault[0].at_s"]


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ("[load]\nrate = 20000\n", "load.rate"),
        ('[load]\nrate = 1\n[[fault]]\nkind = "heavy"\nat_s = 1\nlen_s = 1\nname = "tea"\n', "fault[0].name"),
        ('[load]\nrate = 1\n[[class]]\nname = "a"\nwork_ms = 5\naim_ms = 900\n', "class[0].aim_ms"),
        ('[load]\nrate = 1\n[[fault]]\nkind = "suspend"\nat_s = 1\n', "fault[0].kind"),
        (
            '[load]\nrate = 1\n[directory]\n[[fault]]\nkind = "suspend"\nat_s = 1\ntenant = "x"\n',
            "fault[0].tenant",
        ),
    ],
)
def test_mistakes_that_involve_several_keys(tmp_path: Path, text: str, path: str) -> None:
    file = tmp_path / "x.toml"
    file.write_text('name = "x"\nlength_s = 100\n' + text)
    with pytest.raises(FileValidationError) as caught:
        read_scenario(str(file))
    assert [m.place for m in caught.value.problems] == [path]


def test_overrides_are_checked_with_the_file() -> None:
    assert read_scenario("calm", {"load.rate": 50.0, "seed": 9}).load.rate == 50
    with pytest.raises(FileValidationError, match=r"fleet\.boxes: found 0"):
        read_scenario("calm", {"fleet.boxes": 0})
    with pytest.raises(FileValidationError, match="no such scenario; shipped: back-to-school, calm"):
        read_scenario("clam")


def test_a_scenario_survives_serialization_for_the_processes() -> None:
    for name in shipped():
        read = read_scenario(name)
        assert Scenario.model_validate(read.model_dump(mode="json", by_alias=True)) == read
