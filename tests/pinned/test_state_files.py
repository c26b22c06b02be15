"""Voters read and write state files byte by byte as the previous release does, and refuse unusable ones."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest

from tests.pinned import names
from tests.pinned.state_files import FOLDER, MEMBER, STARTS, VALUES, Start, file, play

ALLOWED = (
    "; allowed: what this program wrote there, or no file at all, as after a loss: the member then waits for"
    " the others before it votes"
)


@pytest.mark.parametrize("start", STARTS, ids=lambda start: f"{start.before or 'nothing'}-{start.after}")
def test_a_voter_starts_from_its_file_and_writes_the_same_bytes(start: Start, tmp_path: Path) -> None:
    data, stands = play(start, tmp_path)
    assert data == file(start.after).read_bytes()
    assert stands == (start.votes, start.silent_ns, start.base)


@pytest.mark.parametrize("name", VALUES)
def test_edge_values_are_written_as_these_bytes_and_read_again(name: str, tmp_path: Path) -> None:
    names.write_state(tmp_path, MEMBER, VALUES[name])
    path = tmp_path / f"{MEMBER}.json"
    assert path.read_bytes() == file(name).read_bytes()
    assert names.read_state(tmp_path, MEMBER) == VALUES[name]


def test_what_lies_beside_the_state_is_the_lock_alone(tmp_path: Path) -> None:
    names.write_state(tmp_path / "new" / "folder", "member-7", VALUES["smallest"])
    assert sorted(os.listdir(tmp_path / "new" / "folder")) == ["member-7.json", "member-7.lock"]


def test_no_file_is_no_state(tmp_path: Path) -> None:
    assert names.read_state(tmp_path, MEMBER) is None


def test_every_file_of_the_folder_is_in_use() -> None:
    assert {path.stem for path in FOLDER.iterdir()} == {start.after for start in STARTS} | set(VALUES)


WHOLE = b'{"digest":"0011","voters":["a"],"silence_ns":1,"ceiling":2,"left":[["b"]],"blank":true}'


@pytest.mark.parametrize(
    ("data", "values"),
    [
        (
            b'{"digest":"0011","voters":["a"],"silence_ns":1,"ceiling":2}',
            {"left": (), "blank": False},
        ),  # written by a release without these two keys
        (WHOLE, {"left": (("b",),), "blank": True}),
        (WHOLE[:-1] + b',"later":[1]}', {"left": (("b",),), "blank": True}),  # a key of a later release
        (WHOLE.replace(b",", b",\n ") + b"\n", {"left": (("b",),), "blank": True}),  # edited by hand
    ],
)
def test_other_files_that_are_read(data: bytes, values: dict[str, Any], tmp_path: Path) -> None:
    (tmp_path / "a.json").write_bytes(data)
    common = {"digest": "0011", "voters": ("a",), "silence_ns": 1, "ceiling": 2}
    assert names.read_state(tmp_path, "a") == {**common, **values}


@pytest.mark.parametrize(
    ("data", "wrong"),
    [
        (b"", "Input data was truncated"),
        (WHOLE[:-1], "Input data was truncated"),
        (WHOLE + b"x", "JSON is malformed: trailing characters (byte 88)"),
        (b"\0" * 20, "JSON is malformed: invalid character (byte 0)"),
        (b"[]", "Expected `object`, got `array`"),
        (b"{}", "Object missing required field `digest`"),
        (b'{"digest":"00"}', "Object missing required field `voters`"),
        (b'{"digest":"00","voters":["a"]}', "Object missing required field `silence_ns`"),
        (b'{"digest":"00","voters":["a"],"silence_ns":1}', "Object missing required field `ceiling`"),
        (WHOLE.replace(b'"0011"', b"11"), "Expected `str`, got `int` - at `$.digest`"),
        (WHOLE.replace(b'["a"]', b'"a"'), "Expected `array`, got `str` - at `$.voters`"),
        (WHOLE.replace(b'["a"]', b"[1]"), "Expected `str`, got `int` - at `$.voters[0]`"),
        (WHOLE.replace(b":1,", b":1.5,"), "Expected `int`, got `float` - at `$.silence_ns`"),
        (WHOLE.replace(b":2,", b":null,"), "Expected `int`, got `null` - at `$.ceiling`"),
        (WHOLE.replace(b'[["b"]]', b'["b"]'), "Expected `array`, got `str` - at `$.left[0]`"),
        (WHOLE.replace(b"true", b"1"), "Expected `bool`, got `int` - at `$.blank`"),
        (WHOLE.replace(b"0011", b"\xff"), "Invalid UTF-8 encoded string"),
    ],
)
def test_what_can_not_be_read_is_refused_in_these_words(data: bytes, wrong: str, tmp_path: Path) -> None:
    (tmp_path / "a.json").write_bytes(data)
    assert names.state_refusal(tmp_path, "a") == f"{tmp_path}/a.json: {wrong}{ALLOWED}"
    with pytest.raises(ValueError, match="allowed: what this program wrote there"):
        names.voter_start(tmp_path, "a", "abc", 1000)
    assert (tmp_path / "a.json").read_bytes() == data  # the file is unchanged


def test_a_folder_in_place_of_the_file_is_refused(tmp_path: Path) -> None:
    (tmp_path / "a.json").mkdir()
    assert names.state_refusal(tmp_path, "a") == f"{tmp_path}/a.json: Is a directory"


def test_a_folder_that_can_not_be_had_is_refused(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    folder = tmp_path / "file"
    text = f"{folder}: File exists; allowed: a folder that can be written"
    assert names.state_refusal(folder, "a") == text


def test_a_second_process_under_one_id_is_refused(tmp_path: Path) -> None:
    text = f"{tmp_path}/a.json: another process runs as a; each needs its own id"
    assert names.locked_state(tmp_path, "a") == text


def test_a_ninth_plan_in_a_row_is_refused(tmp_path: Path) -> None:
    values: dict[str, Any] = {
        "digest": "00",
        "voters": ("a", "z"),
        "silence_ns": 1,
        "ceiling": 1,
        "left": tuple((f"v{n}",) for n in range(8)),
        "blank": False,
    }
    names.write_state(tmp_path, "a", values)
    with pytest.raises(ValueError, match=r"^9 plans in a row without a seat; allowed: 8$"):
        names.voter_start(tmp_path, "a", "abc", 1000)
    names.write_state(tmp_path, "a", {**values, "left": values["left"][1:]})
    assert names.voter_start(tmp_path, "a", "abc", 1000) == (False, None, 0)
