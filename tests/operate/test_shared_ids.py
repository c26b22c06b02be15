"""Ids of requests that the processes of an upgrade share by files."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from lanelift.net.request_ids import RequestIds
from lanelift.net.shared_ids import EXECUTED_BYTES, MAX_OTHERS, SharedIds


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


@pytest.mark.parametrize("other_runs_once", [False, True])
@pytest.mark.parametrize("runs_once", [False, True])
def test_an_id_that_is_open_in_one_process_is_taken_for_the_other_in_every_class(
    tmp_path: Path, runs_once: bool, other_runs_once: bool
) -> None:
    """Only ids of classes that must not run twice were shared, and others were served twice."""
    old, _ = process(tmp_path)
    assert old.take("before", runs_once)
    new, _ = process(tmp_path)
    assert not new.take("before", other_runs_once)
    assert new.take("after", runs_once) and not old.take("after", other_runs_once)


def test_the_id_of_a_request_that_has_ended_is_free_unless_it_must_not_run_twice(tmp_path: Path) -> None:
    old, _ = process(tmp_path)
    new, _ = process(tmp_path)
    for name, runs_once in (("safe", False), ("unsafe", True)):
        assert old.take(name, runs_once) and not new.take(name, False)
        old.end(name)
    assert new.take("safe", False) and not new.take("unsafe", True)
    new.end("safe")
    assert old.take("safe", True)
    old.release("safe")
    assert new.take("safe", True)


@pytest.mark.parametrize("removed", [False, True])
def test_the_requests_of_a_process_that_has_ended_are_not_open(tmp_path: Path, removed: bool) -> None:
    """A process that was killed leaves its table as it was."""
    old, shared = process(tmp_path)
    assert old.take("open", False)
    new, _ = process(tmp_path)
    assert not new.take("open", False)
    shared.close()
    if removed:
        process(tmp_path)[0].take("other")  # a further process removes the file
        assert shared.path is not None and not shared.path.exists()
    assert new.take("open", False)


def test_the_file_of_an_older_release_tells_what_must_not_run_again(tmp_path: Path) -> None:
    """Such a file has no table of open requests."""
    old, shared = process(tmp_path)
    assert old.take("ran") and shared.path is not None
    os.truncate(shared.path, EXECUTED_BYTES)
    new, _ = process(tmp_path)
    assert not new.take("ran") and new.take("ran", False)
