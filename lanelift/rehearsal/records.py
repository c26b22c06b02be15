"""The records of a day, which the kit's processes write as one JSON array per line for the verdict.

Times are ns of the monotonic clock, which all processes of a machine share.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

GRACE_NS = 50_000_000  # added to each time limit on sockets (PROTOCOL, 'The rules on sockets')
Row = TypeVar("Row", bound=tuple[Any, ...])


class Try(NamedTuple):
    """One try as its client saw it. `result` is one of:

    answer       a complete answer with `status` came; `box` is the id of the instance that made it, proved by
                 its digest, or "" if no box made it
    late         a complete answer came after the client's deadline, within the grace time
    silent       no complete answer came by the end of the grace time
    walked off   the client abandoned the request before the deadline of the try
    broken       the connection ended after the request was written, without a complete answer
    garbage      the received bytes are not an HTTP response
    extra        unexpected bytes followed a complete answer
    crossed      a reused connection was closed while the request was sent, which was then sent again on a new
                 connection
    unconnected  no connection to the balancer could be established
    """

    request_number: int
    number: int
    id: str
    balancer: int
    began_ns: int
    sent_ns: int  # when the last byte of the request was written; 0 if that byte was not written
    ended_ns: int
    deadline_ns: int  # when the client abandons the try
    result: str
    status: int = 0
    box: str = ""


class ProcessRun(NamedTuple):
    """One run of a balancer's process. `end_reason` is kill or term if the kit ended it during the day,
    finish if the kit ended it after the day, and crash otherwise."""

    balancer: int
    started_ns: int
    ended_ns: int
    end_reason: str
    exit_code: int


class ResourceSample(NamedTuple):
    """The resource usage of a balancer: CPU seconds since its start, resident MB, open descriptors."""

    at_ns: int
    balancer: int
    cpu_s: float
    memory_mb: float
    descriptors: int


class StandingChange(NamedTuple):
    """A change of a tenant's standing in the directories. `standing` is the new one: suspended or active."""

    at_ns: int
    tenant: str
    standing: str


class BoxSample(NamedTuple):
    """The state of the box at a place: the requests that it holds, and its capacity in seconds of work per
    second. The capacity is 0 while the box is down, frozen or vanished."""

    at_ns: int
    place: int
    held: int
    capacity: float


def write_rows(path: Path, rows: Iterable[tuple[Any, ...]]) -> None:
    """Writes records to a file."""
    with path.open("w", encoding="utf-8") as file:
        for row in rows:
            file.write(json.dumps(row, separators=(",", ":")) + "\n")


def read_rows(folder: Path, name: str, row: type[Row]) -> Iterator[Row]:
    """Yields all records of one kind, from the files of all processes: `name-0.jsonl`, `name-1.jsonl`, ..."""
    make: Any = row
    for path in sorted(folder.glob(f"{name}-*.jsonl")):
        with path.open(encoding="utf-8") as file:
            for line in file:
                yield make(*json.loads(line))
