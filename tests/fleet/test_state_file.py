"""The state file of a voter: written atomically, and locked by one process at a time."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from lanelift.fleet.recovery import PersistentState, VoterStateError
from lanelift.fleet.state_file import StateFile

STATE = PersistentState("0123", ("a", "b"), 10**10, 65_536, (("a",),))


def test_the_written_state_is_read(tmp_path: Path) -> None:
    file = StateFile(tmp_path / "new", "a")
    assert file.read() is None
    file.write(STATE)
    assert file.read() == STATE
    file.close()


def test_a_file_truncated_at_any_byte_is_rejected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A crash of the machine leaves only a part of the file.

    A file truncated anywhere raises an error that names the file, and is never read as another state.
    """
    file = StateFile(tmp_path, "a")
    file.write(STATE)
    whole = file.path.read_bytes()
    for size in range(len(whole)):
        monkeypatch.setattr(Path, "read_bytes", lambda path, size=size: whole[:size])
        with pytest.raises(VoterStateError, match="no file at all"):
            file.read()
    file.close()


def test_a_write_that_fails_leaves_the_old_state(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The disk is full while the state is written.

    The file still holds the complete former state.
    """
    file = StateFile(tmp_path, "a")
    file.write(STATE)

    def full(file: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    with pytest.raises(OSError, match="No space"):
        file.write(PersistentState("4567", ("a",), 1, 131_072))
    assert file.read() == STATE
    file.close()


def test_two_processes_under_one_id_are_rejected(tmp_path: Path) -> None:
    """A member is started twice by mistake.

    Each process would vote without knowing the other's promises, so the second process fails with an error.
    """
    file = StateFile(tmp_path, "a")
    with pytest.raises(VoterStateError, match="another process runs as a"):
        StateFile(tmp_path, "a")
    StateFile(tmp_path, "b").close()
    file.close()
    StateFile(tmp_path, "a").close()


def test_a_folder_that_can_not_be_created_is_named(tmp_path: Path) -> None:
    """The operator's file names a file as the state folder."""
    (tmp_path / "file").write_text("")
    with pytest.raises(VoterStateError, match="file"):
        StateFile(tmp_path / "file", "a")
