"""Simulator host: runs many balancers on the simulator's wire. It only translates, and makes no decisions.

    python -m lanelift.wirehost < batches > replies

Each line, in both directions, is one JSON object. A line that is not a batch ends the process with a message
on standard error and exit status 2; an exception inside a balancer is reported as that balancer's `fault`.
"""

from __future__ import annotations

import base64
import json
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from lanelift.policy.actions import (
    CancelAttempt,
    Fail,
    FetchEndpoints,
    Log,
    ProbeLoad,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadProbeFinished,
    PeerMessageReceived,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from lanelift.settings import Json, SettingsError, check_type, choice, optional, read_settings, require

RESULTS = {
    "delivered": AttemptResult.OK,
    "app_error": AttemptResult.ERROR,
    "shed": AttemptResult.REJECTED,
    "expired": AttemptResult.TIMEOUT,
    "dial_failed": AttemptResult.CONNECT_FAILED,
    "dropped": AttemptResult.RESET,
    "revoked": AttemptResult.CANCELLED,
    "unused": AttemptResult.NOT_SENT,
}
STATES = {0: EndpointState.REMOVED, 1: EndpointState.READY, 2: EndpointState.DRAINING}
UPDATE_KINDS = {
    0: EndpointUpdateKind.DELTA,
    1: EndpointUpdateKind.SNAPSHOT,
    2: EndpointUpdateKind.CACHED,
    3: EndpointUpdateKind.FAILED,
}


def read_upstream(row: Any) -> Endpoint:
    """Read one entry of an upstream list. Raises SettingsError."""
    row = check_type(row, "rows_in", dict)
    return Endpoint(
        require(row, "upstream", int),
        choice(row, "availability", STATES, 1),
        optional(row, "locality", str, ""),
        optional(row, "cohort", int, 0),
        optional(row, "scale", float, 1.0),
        optional(row, "up_since_ns", int, 0),
        optional(row, "class_of_host", str, ""),
    )


def _read_request(row: Json) -> Event:
    tenant = row.get("user_group") or ""  # a deployment without tenants may send 0
    return RequestArrived(
        require(row, "ticket", str),
        require(row, "kind", str),
        check_type(tenant, "user_group", str),
        require(row, "deadline_ns", int),
        optional(row, "cost_guess_ns", int, 0),
        optional(row, "entity", str, ""),
        optional(row, "resent", bool, False),
    )


def _read_load_report(row: Json) -> Mapping[str, float] | None:
    report = optional(row, "metrics", dict, None)
    return report and {name: check_type(value, "metrics", float) for name, value in report.items()}


def _read_outcome(row: Json) -> Event:
    return AttemptFinished(
        require(row, "ticket", str),
        require(row, "attempt", int),
        require(row, "upstream", int),
        choice(row, "result", RESULTS),
        optional(row, "took_ns", int, 0),
        optional(row, "complete", bool, False),
        _read_load_report(row),
    )


def _read_response_start(row: Json) -> Event:
    return ResponseStarted(
        require(row, "ticket", str),
        require(row, "attempt", int),
        require(row, "upstream", int),
        optional(row, "took_ns", int, 0),
    )


def _read_probe_outcome(row: Json) -> Event:
    return LoadProbeFinished(
        require(row, "upstream", int),
        choice(row, "result", RESULTS),
        optional(row, "took_ns", int, 0),
        _read_load_report(row),
    )


def _read_peer_message(row: Json) -> Event:
    try:
        data = base64.b64decode(require(row, "blob", str), validate=True)
    except ValueError:
        raise SettingsError("message with a blob that is not base64") from None
    return PeerMessageReceived(require(row, "origin_peer", int), data)


# The function that reads each kind of event on the wire.
READERS: dict[str, Callable[[Json], Event]] = {
    "submit": _read_request,
    "returned": _read_outcome,
    "timer": lambda row: TimerFired(require(row, "name", str)),
    "dropped": lambda row: ClientDisconnected(require(row, "ticket", str)),
    "accepted": _read_response_start,
    "probe_result": _read_probe_outcome,
    "message": _read_peer_message,
}
# The function that writes each kind of action.
WRITERS: dict[type, Callable[[Any], Json]] = {
    StartAttempt: lambda action: {
        "t": "submit_to",
        "ticket": action.request,
        "upstream": action.upstream,
        "timeout_ns": action.timeout_ns,
    },
    Reject: lambda action: {"t": "push_back", "ticket": action.request, "backoff_ns": action.retry_after_ns},
    Fail: lambda action: {"t": "finish_error", "ticket": action.request},
    CancelAttempt: lambda action: {"t": "retract", "ticket": action.request, "attempt": action.attempt},
    ProbeLoad: lambda action: {"t": "sample", "upstream": action.upstream},
    SendPeerMessage: lambda action: {
        "t": "announce",
        "dst": action.peer,
        "blob": base64.b64encode(action.data).decode(),
    },
    Subscribe: lambda action: {"t": "track", "active": action.enabled},
    FetchEndpoints: lambda action: {"t": "fetch"},
    SetTimer: lambda action: {"t": "schedule", "wait_ns": action.delay_ns, "name": action.name},
    Log: lambda action: {"t": "write_log", "message": action.text},
}


class Host:
    """The balancers of one process, and the numbered upstream lists that they share on the wire.

    Attributes:
        balancers: Balancers by their number on the wire.
        lists: Upstream lists by their number on the wire.
    """

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, Sequence[Endpoint]] = {}

    def run_batch(self, line: str | bytes) -> str:
        """Handle one batch.

        The events of each balancer are collected and handled together, so that each balancer sees the whole
        batch.

        Returns:
            The reply, as one line without the line break.

        Raises:
            SettingsError: The line is not a batch.
        """
        now, number, batch_events = _read_batch(line)
        waiting: dict[int, list[Event]] = {}
        commands: list[Json] = []
        for event in batch_events:
            self._handle_event(check_type(event, "event", dict), now, waiting, commands)
        for balancer, events in waiting.items():
            self._run(balancer, now, events, commands)
        return json.dumps({"round": number, "cmds": commands}, separators=(",", ":"))

    def _handle_event(
        self, event: Json, now: int, waiting: dict[int, list[Event]], commands: list[Json]
    ) -> None:
        """Handle an event that concerns the host, or add a balancer's event to `waiting`."""
        kind = require(event, "t", str)
        if kind == "directory":
            rows = require(event, "rows_in", list)
            self.lists[require(event, "buffer", int)] = [read_upstream(row) for row in rows]
            return
        number = require(event, "balancer", int)
        if kind == "new_instance":
            waiting.pop(number, None)
            self._start(event, number, now, commands)
            return
        if kind == "power_off":
            self.balancers.pop(number, None)
            waiting.pop(number, None)
            return
        if number not in self.balancers:
            raise SettingsError(f"event {kind} for balancer {number}, which was not started")
        if kind == "membership":
            form = choice(event, "form", UPDATE_KINDS)
            entries = () if form is EndpointUpdateKind.FAILED else choice(event, "buffer", self.lists)
            waiting.setdefault(number, []).append(EndpointUpdate(form, entries))
        elif kind in READERS:
            waiting.setdefault(number, []).append(READERS[kind](event))
        else:
            raise SettingsError(f"unknown event {kind!r}")

    def _start(self, event: Json, number: int, now: int, commands: list[Json]) -> None:
        settings, seed = read_settings(require(event, "settings", dict)), require(event, "seed", int)
        try:
            self.balancers[number] = Balancer(settings, seed, now)
        except Exception as error:
            commands.append(_fault(number, error))

    def _run(self, number: int, now: int, events: list[Event], commands: list[Json]) -> None:
        try:
            for action in self.balancers[number].handle(now, events):
                command = WRITERS[type(action)](action)
                command["balancer"] = number
                commands.append(command)
        except Exception as error:
            commands.append(_fault(number, error))


def _read_batch(line: str | bytes) -> tuple[int, int, list[Any]]:
    """Return the batch's time in ns, its number and its unread events. Raises SettingsError."""
    try:
        batch = json.loads(line)
    except ValueError as error:
        raise SettingsError(f"not JSON: {error}") from None
    if not isinstance(batch, dict):
        raise SettingsError("a batch must be an object")
    now, number, batch_events = (batch.get(key) for key in ("sim_time_ns", "round", "happened"))
    if not isinstance(now, int) or isinstance(now, bool):
        raise SettingsError("batch without a whole-number sim_time_ns")
    if not isinstance(number, int) or isinstance(number, bool):
        raise SettingsError("batch without a whole-number round")
    if not isinstance(batch_events, list):
        raise SettingsError("batch without the array happened")
    return now, number, batch_events


def _fault(number: int, error: Exception) -> Json:
    """Return the command that reports a balancer's exception, with the function and line that raised it."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    where = f" at {traceback.tb_frame.f_code.co_name}:{traceback.tb_lineno}" if traceback is not None else ""
    return {"t": "fault", "balancer": number, "message": f"{type(error).__name__}: {error}{where}"}


def main() -> int:
    """Handle the batches on standard input, and return the exit status."""
    host = Host()
    for count, line in enumerate(sys.stdin.buffer, 1):  # bytes: invalid UTF-8 is bad input, too
        try:
            reply = host.run_batch(line)
        except SettingsError as error:
            print(f"wirehost: line {count}: {error}", file=sys.stderr)
            return 2
        sys.stdout.write(reply + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
