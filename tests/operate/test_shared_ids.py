"""Ids of requests that the processes of an upgrade share by files."""

from __future__ import annotations

from pathlib import Path

import pytest

from lanelift.net.request_ids import RequestIds
from lanelift.net.shared_ids import MAX_OTHERS, SharedIds


def process(folder: Path) -> tuple[RequestIds, SharedIds]:
    ids, shared = RequestIds(), SharedIds(folder)
    shared.share(ids)
    return ids, shared


def test_an_id_that_one_process_has_taken_is_taken_for_the_other(tmp_path: Path) -> None:
    """Both processes run, and either takes ids before and after the other one starts."""
    old, _ = process(tmp_path)
    assert old.take("before")
    new, _ = process(tmp_path)
    assert not new.take("before")
    assert new.take("new") and not old.take("new")
    assert old.take("after") and not new.take("after")
    old.release("after")
    assert new.take("after")


def test_the_ids_of_a_process_that_has_ended_stay_taken_and_its_file_is_removed(tmp_path: Path) -> None:
    old, shared = process(tmp_path)
    assert old.take("ran")
    shared.close()
    new, _ = process(tmp_path)
    assert not new.take("ran") and not new.take("ran")
    assert len(list(tmp_path.iterdir())) == 1


def test_foreign_and_unfinished_files_are_passed_over(tmp_path: Path) -> None:
    (tmp_path / "lanelift-0.ids").write_bytes(b"short")
    (tmp_path / "lanelift-1.sock").write_bytes(b"")
    ids, _ = process(tmp_path)
    assert ids.take("a") and not ids.take("a")


def test_the_number_of_other_processes_is_bounded(tmp_path: Path) -> None:
    others = [process(tmp_path) for _ in range(MAX_OTHERS + 3)]
    ids, shared = process(tmp_path)
    assert ids.take("a")
    assert len(shared.others) == MAX_OTHERS
    assert len(others) == MAX_OTHERS + 3


def test_without_a_folder_a_process_has_its_own_ids(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    ids, shared = process(tmp_path / "missing")
    assert shared.path is None and "not shared" in caplog.text
    assert ids.take("a") and not ids.take("a")
