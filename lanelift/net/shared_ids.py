"""Shares the ids that a process has taken with the other processes of an upgrade, by files in a folder.

Each process writes a file of its own and reads those of the others. A file holds the table of ids that must
not run again (`lanelift.policy.executed_ids`), and behind it that of the ids of open requests
(`lanelift.policy.open_ids`), which the files of older releases lack. A process holds a lock on its file for
as long as it lives, so that others can tell whether the file is still in use, and whether its requests may
still be open.
"""

from __future__ import annotations

import fcntl
import logging
import mmap
import os
import secrets
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from lanelift.net.request_ids import RequestIds
from lanelift.policy import executed_ids, open_ids
from lanelift.policy.executed_ids import REMEMBERED_NS, ExecutedIds
from lanelift.policy.open_ids import OpenIds

log = logging.getLogger(__name__)

FILE_PREFIX, FILE_SUFFIX = "lanelift-", ".ids"
EXECUTED_BYTES = executed_ids.TABLE_BYTES
FILE_BYTES = EXECUTED_BYTES + open_ids.TABLE_BYTES
MAX_OTHERS = 8  # most other processes whose ids are known, the newest ones


@dataclass(slots=True)
class OtherTable:
    """The tables of another process.

    Attributes:
        executed: The ids that the process has taken for requests that must not run twice.
        open: The ids of its open requests; None if its release does not tell them.
        mapping: The mapped file.
        opened_ns: When the file was mapped (monotonic clock).
    """

    executed: ExecutedIds
    open: OpenIds | None
    mapping: mmap.mmap
    opened_ns: int


class SharedIds:
    """The tables of the other processes, found again whenever the folder changes.

    Attributes:
        folder: The folder.
        path: The file of this process; None if it could not be made.
        others: The tables of the other processes, by the name of the file.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path: Path | None = None
        self._file: int | None = None
        self.others: dict[str, OtherTable] = {}
        self._scanned_ns = -1  # the folder's time of change at the last scan

    def share(self, ids: RequestIds) -> None:
        """Moves this process's tables to a file. If that fails, ids are not shared, which is logged."""
        path = self.folder / f"{FILE_PREFIX}{secrets.token_hex(8)}{FILE_SUFFIX}"
        try:
            file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_EXCL, 0o600)
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.ftruncate(file, FILE_BYTES)
            buffer = memoryview(mmap.mmap(file, FILE_BYTES))
        except OSError as error:
            log.warning("%s: %s: ids are not shared in a hot restart", path, error)
            return
        buffer[:EXECUTED_BYTES] = ids.executed.buffer
        self.path, self._file = path, file
        ids.executed = ExecutedIds(buffer[:EXECUTED_BYTES])
        ids.open = OpenIds(buffer[EXECUTED_BYTES:])
        ids.others = self

    def is_open(self, digest: bytes, now_ns: int) -> bool:
        """Returns whether another process that still runs has an open request with this id."""
        self._scan(now_ns)
        return any(
            other.open is not None and other.open.contains(digest) and self._is_running(name)
            for name, other in self.others.items()
        )

    def may_have_run(self, digest: bytes, now_ns: int) -> bool:
        """Returns whether another process has taken an id for a request that must not run twice."""
        self._scan(now_ns)
        return any(other.executed.contains(digest, now_ns) for other in self.others.values())

    def _is_running(self, name: str) -> bool:
        """Returns whether the process of a file may still run: it holds a lock on the file until it ends."""
        try:
            file = os.open(self.folder / name, os.O_RDONLY)
        except FileNotFoundError:
            return False  # removed after the process had ended
        except OSError:
            return True
        try:
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(file)
        return False

    def _scan(self, now_ns: int) -> None:
        """Opens the files of processes that have started since the last scan."""
        try:
            changed_ns = os.stat(self.folder).st_mtime_ns
        except OSError:
            return
        if changed_ns == self._scanned_ns:
            return
        # A file that is made within the clock's resolution leaves the time of change as it is.
        is_settled = time.time_ns() - changed_ns > 50_000_000
        self._scanned_ns = changed_ns if is_settled else -1
        for path in self.folder.glob(f"{FILE_PREFIX}*{FILE_SUFFIX}"):
            if path != self.path and path.name not in self.others:
                self._open(path, now_ns)
        self._forget(now_ns)

    def _open(self, path: Path, now_ns: int) -> None:
        """Maps a file; removes it if its process has ended, as its ids are known here from now on."""
        try:
            file = os.open(path, os.O_RDONLY)
        except OSError:
            return
        try:
            tells_open = os.fstat(file).st_size >= FILE_BYTES
            mapping = mmap.mmap(file, FILE_BYTES if tells_open else EXECUTED_BYTES, prot=mmap.PROT_READ)
            buffer = memoryview(mapping)
            open_requests = OpenIds(buffer[EXECUTED_BYTES:]) if tells_open else None
            self.others[path.name] = OtherTable(
                ExecutedIds(buffer[:EXECUTED_BYTES]), open_requests, mapping, now_ns
            )
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            path.unlink()
        except (OSError, ValueError):
            pass  # the process runs, or has not written its file yet
        finally:
            os.close(file)

    def _forget(self, now_ns: int) -> None:
        """Forgets removed files whose ids have expired, and the oldest ones beyond `MAX_OTHERS`."""
        for name, other in list(self.others.items()):
            is_expired = now_ns - other.opened_ns >= REMEMBERED_NS and not (self.folder / name).exists()
            if is_expired or len(self.others) > MAX_OTHERS:
                del self.others[name]

    def close(self) -> None:
        """Unlocks this process's file, which another process removes once it knows the ids."""
        if self._file is not None:
            with suppress(OSError):
                # the mapping holds the file open
                fcntl.flock(self._file, fcntl.LOCK_UN)
                os.close(self._file)
            self._file = None
