"""The state file of a voter: small, replaced atomically, and locked while the member runs.

Only this module knows the file's JSON. Its keys must not change, as a member of an earlier release may read
them.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from types import TracebackType

import msgspec

from lanelift.fleet.recovery import PersistentState, VoterStateError


class _StoredState(
    msgspec.Struct,
    frozen=True,
    rename={
        "cluster_digest": "digest",
        "quiet_ns": "silence_ns",
        "ballot_ceiling": "ceiling",
        "former_voter_sets": "left",
        "lost_state": "blank",
    },
):
    """`PersistentState` with the file's keys; the fields are in the order of the file."""

    cluster_digest: str
    voters: tuple[str, ...]
    quiet_ns: int
    ballot_ceiling: int
    former_voter_sets: tuple[tuple[str, ...], ...] = ()
    lost_state: bool = False


class StateFile:
    """The state file of one member, `FOLDER/ID.json`. A context manager that unlocks the file on exit.

    Attributes:
        path: Path of the file.
    """

    def __init__(self, folder: Path, member: str) -> None:
        """Locks the file for this process.

        Args:
            folder: Folder of the file, which is created if it does not exist.
            member: The member's id.

        Raises:
            VoterStateError: The folder is not writable, or another process runs as this member.
        """
        self.path = folder / f"{member}.json"
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(folder / f"{member}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError as error:
            raise VoterStateError(
                f"{folder}: {error.strerror}; allowed: a folder that can be written", folder
            ) from error
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise VoterStateError(
                f"{self.path}: another process runs as {member}; each needs its own id", self.path
            ) from error

    def __enter__(self) -> StateFile:
        """Returns this file, which is already locked."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Unlocks the file."""
        self.close()

    def read(self) -> PersistentState | None:
        """Returns the state that was written last, or None if the file does not exist.

        Raises:
            VoterStateError: The file can't be read, or is damaged.
        """
        try:
            stored = msgspec.json.decode(self.path.read_bytes(), type=_StoredState)
        except FileNotFoundError:
            return None
        except OSError as error:
            raise VoterStateError(f"{self.path}: {error.strerror}", self.path) from error
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise VoterStateError(
                f"{self.path}: {error}; allowed: what this program wrote there, or no file at all, as after a"
                " loss: the member then waits for the others before it votes",
                self.path,
            ) from error
        return PersistentState(**msgspec.structs.asdict(stored))

    def write(self, state: PersistentState) -> None:
        """Replaces the file atomically; the state is on disk when this returns.

        Raises:
            OSError: The state could not be written; the file still holds the former state.
        """
        stored = _StoredState(
            state.cluster_digest,
            state.voters,
            state.quiet_ns,
            state.ballot_ceiling,
            state.former_voter_sets,
            state.lost_state,
        )
        new = self.path.with_suffix(".new")
        with open(new, "wb") as file:
            file.write(msgspec.json.encode(stored))
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, self.path)
        folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        """Unlocks the file."""
        os.close(self._lock)
