"""An emulated discovery service (PROTOCOL, 'Discovery'): the list of boxes, watches, and outages.

Each balancer has its own agent, a listener that serves the updates that the agent has received. In ask mode
all agents also share one service, which processes their calls one after the other. The agents record when
each balancer was told that a box drains or is gone, because the time limit of the drain rule starts then.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import NamedTuple
from urllib.parse import parse_qs

from lanelift.standins.http import Connection, Request, Server, Timer

MAX_HOLD_MS = 60_000  # longest hold time of a watch
# Limits the changes kept; a watch that needs an older change gets the full list.
CHANGE_HISTORY = 1000
MAX_QUEUE_NS = 2_000_000_000  # in ask mode, a call that would have to wait longer than this is rejected


@dataclass(frozen=True, slots=True)
class Entry:
    """A box as it appears in the list. Times are Unix time in ms; 0 means long ago."""

    id: str
    addr: str
    zone: str = ""
    state: str = "Ready"
    kind: str = "box"
    cell: int = 0
    weight: float = 1.0
    started_ms: int = 0


class DrainNotice(NamedTuple):
    """Records that a balancer was told that a box is draining or gone, at `at_ns` of the monotonic clock."""

    at_ns: int
    balancer: int
    box: str
    state: str


class SerialService:
    """The service that all agents share in ask mode: calls are processed one after the other."""

    def __init__(self, call_ns: int) -> None:
        self.call_ns = call_ns
        self.busy_until_ns = 0

    def reserve(self, now: int) -> int | None:
        """Returns when a call that arrives now will end, or None if the call would wait too long."""
        start = max(now, self.busy_until_ns)
        if start - now > MAX_QUEUE_NS:
            return None
        self.busy_until_ns = start + self.call_ns
        return self.busy_until_ns


class Agent(Server):
    """The agent of one balancer: discovery as this balancer sees it."""

    def __init__(
        self, balancer: int, drain_notices: list[DrainNotice], service: SerialService | None = None
    ) -> None:
        super().__init__()
        self.balancer, self.drain_notices, self.service = balancer, drain_notices, service
        self.version = 1
        self.entries: dict[str, Entry] = {}
        self.changed: dict[str, tuple[int, Entry]] = {}  # by box id: version and entry of the last change
        self.oldest_version = 1  # a watch from an earlier version gets the full list
        self.silent = False
        # For each connection: the request, the version from which it watches, and the timer of the hold time.
        self.watches: dict[Connection, tuple[Request, int, Timer]] = {}
        # Requests received during an outage, which are answered at its end.
        self.held_requests: list[Request] = []

    # ---- updates ----------------------------------------------------------------------------------------

    def set_entries(self, entries: list[Entry]) -> None:
        """Sets the initial list."""
        self.entries = {entry.id: entry for entry in entries}

    def update(self, entry: Entry) -> None:
        """Applies a change and answers the watches that wait for it."""
        if entry.state == "Gone" and entry.id not in self.entries:
            return
        self.version += 1
        self.changed[entry.id] = (self.version, entry)
        if entry.state == "Gone":
            del self.entries[entry.id]
        else:
            self.entries[entry.id] = entry
        if len(self.changed) > CHANGE_HISTORY:
            oldest_id, (version, _) = min(self.changed.items(), key=lambda item: item[1][0])
            del self.changed[oldest_id]
            self.oldest_version = version
        self._answer_watches()

    def set_silent(self, silent: bool) -> None:
        """Starts or ends an outage. Calls and watches hang during an outage, and are answered at its end."""
        self.silent = silent
        if not silent:
            held_requests, self.held_requests = self.held_requests, []
            for request in held_requests:
                if not request.disconnected_ns:
                    self.requested(request)
            self._answer_watches()

    def snapshot(self) -> dict[str, object]:
        """Returns the full list, in the form that `known` has in a balancer's configuration."""
        return {"version": self.version, "full": True, "servers": [asdict(e) for e in self.entries.values()]}

    # ---- calls ------------------------------------------------------------------------------------------

    def requested(self, request: Request) -> None:
        if self.silent:
            self.held_requests = [r for r in self.held_requests if not r.disconnected_ns] + [request]
            return
        path, _, query = request.target.partition("?")
        if path != "/v1/endpoints" or request.method != "GET":
            request.answer(404)
            return
        parameters = parse_qs(query)
        try:
            since = int(parameters["from"][0]) if "from" in parameters else None
            hold_ms = min(MAX_HOLD_MS, max(0, int(parameters.get("hold_ms", ["0"])[0])))
        except ValueError:
            request.answer(400)
            return
        if self.service is None:
            self._handle(request, since, hold_ms)
            return
        due = self.service.reserve(time.monotonic_ns())
        if due is None:
            request.answer(503)
        else:
            Timer(lambda: self._handle(request, since, hold_ms)).at(due)

    def _handle(self, request: Request, since: int | None, hold_ms: int) -> None:
        """Answers a request, or holds it as a watch until there is a change after the version `since`."""
        if request.disconnected_ns:
            return
        if since is None or not self.oldest_version <= since <= self.version:
            self._send_list(request, None)
        elif since < self.version or hold_ms == 0:
            self._send_list(request, since)
        else:
            timer = Timer(lambda: self._end_watch(request.connection, since))
            self.watches[request.connection] = (request, since, timer)
            timer.at(time.monotonic_ns() + hold_ms * 1_000_000)

    def _end_watch(self, connection: Connection, since: int) -> None:
        request, _, _ = self.watches.pop(connection)
        if self.silent:
            self.held_requests.append(request)
        else:
            self._send_list(request, since)

    def _answer_watches(self) -> None:
        if self.silent:
            return
        for connection, (request, since, timer) in list(self.watches.items()):
            if self.version > since:
                timer.at(None)
                del self.watches[connection]
                self._send_list(request, since)

    def _send_list(self, request: Request, since: int | None) -> None:
        """Sends the changes after version `since`, or the full list if it is None. Records drain notices."""
        if since is None:
            body = self.snapshot()
            # A full list also tells the balancer which boxes are gone, since they are not in it.
            drained = [entry for _, entry in self.changed.values() if entry.state != "Ready"]
        else:
            rows = [entry for version, entry in self.changed.values() if version > since]
            body = {"version": self.version, "full": False, "servers": [asdict(entry) for entry in rows]}
            drained = [entry for entry in rows if entry.state != "Ready"]
        request.answer(200, json.dumps(body, separators=(",", ":")).encode())
        now = time.monotonic_ns()
        self.drain_notices.extend(DrainNotice(now, self.balancer, entry.id, entry.state) for entry in drained)

    def lost(self, connection: Connection) -> None:
        super().lost(connection)
        watch = self.watches.pop(connection, None)
        if watch is not None:
            watch[2].at(None)


async def start_agents(
    count: int, call_ns: int | None, port: Callable[[int], int] = lambda number: 0
) -> tuple[list[Agent], list[DrainNotice]]:
    """Starts an agent for each balancer. If `call_ns` is given, the agents share a service whose calls take
    that long. Returns the agents and the list to which they add their drain notices."""
    drain_notices: list[DrainNotice] = []
    service = SerialService(call_ns) if call_ns is not None else None
    agents = [Agent(number, drain_notices, service) for number in range(count)]
    for agent in agents:
        await agent.listen(port(agent.balancer))
    return agents, drain_notices
