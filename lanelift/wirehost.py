"""The adapter: hosts many balancers on the simulator's wire. It translates and decides nothing.

    python -m lanelift.wirehost < batches > replies

One JSON object a line each way. A line that is not a batch ends the process with a message on standard
error and exit status 2; an exception inside a balancer is reported as that balancer's `fault`.
"""

from __future__ import annotations

import base64
import dataclasses
import json
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from lanelift import interface as api
from lanelift.decide import Balancer

Json = dict[str, Any]

EFFECTS = {"read_like": api.Effect.SAFE, "idempotency_key": api.Effect.KEYED,
           "non_idempotent": api.Effect.UNSAFE}
RESULTS = {"delivered": api.Result.OK, "app_error": api.Result.ERROR, "shed": api.Result.FULL,
           "expired": api.Result.TIMEOUT, "dial_failed": api.Result.CONNECT_FAILED,
           "dropped": api.Result.RESET, "revoked": api.Result.CANCELLED, "unused": api.Result.MOOT}
STATES = {0: api.State.GONE, 1: api.State.READY, 2: api.State.DRAINING}
KINDS = {int: "a whole number", float: "a number", str: "text", bool: "true or false", dict: "an object",
         list: "an array"}
SCOPES = {scope.value: scope for scope in api.Scope}
LISTS = {0: api.ListKind.DELTA, 1: api.ListKind.FULL, 2: api.ListKind.CACHED, 3: api.ListKind.FAILED}


class Malformed(Exception):
    """The input is not what the wire allows."""


def need(row: Json, key: str, kind: type) -> Any:
    """A field that must be there, of this type; a whole number is no bool."""
    if key not in row:
        raise Malformed(f"{row.get('t', 'entry')} lacks {key}")
    return _typed(row[key], key, kind)


def maybe(row: Json, key: str, kind: type, default: Any) -> Any:
    """A field that may be absent."""
    return default if row.get(key) is None else _typed(row[key], key, kind)


def _typed(value: Any, key: str, kind: type) -> Any:
    fits = isinstance(value, (int, float) if kind is float else kind)
    if not fits or (isinstance(value, bool) and kind is not bool):
        raise Malformed(f"{key} must be {KINDS[kind]}, not {json.dumps(value)[:80]}")
    return value


def word(row: Json, key: str, words: Mapping[Any, Any], default: Any = None) -> Any:
    """A field whose value is one of a few."""
    value = row.get(key, default)
    if not isinstance(value, (str, int)) or isinstance(value, bool) or value not in words:
        raise Malformed(f"{row.get('t', 'entry')} has unknown {key} {json.dumps(value)[:80]}")
    return words[value]


def _pick(known: Json, like: type, names: Mapping[str, str]) -> Json:
    """The known settings among those sent, under the interface's names; the rest keep their defaults."""
    types = {f.name: type(f.default) for f in dataclasses.fields(like)}
    return {ours: _typed(known[theirs], theirs, types[ours])
            for theirs, ours in names.items() if known.get(theirs) is not None}


def _same(*names: str) -> dict[str, str]:
    return {name: name for name in names}


def _names(row: Json, key: str) -> frozenset[str]:
    return frozenset(_typed(name, key, str) for name in maybe(row, key, list, ()))


def read_class(row: Json) -> api.RequestClass:
    given = _pick(row, api.RequestClass, {**_same("window_ns", "aim_ns", "worth", "late_worth", "stream"),
                                          "fifo_by_key": "in_order"})
    return api.RequestClass(
        need(row, "name", str), word(row, "repeat", EFFECTS, "non_idempotent"),
        word(row, "dedup_scope", SCOPES, "all"), zones=_names(row, "runs_in"),
        kinds=_names(row, "allowed_on"), **given)


def read_settings(raw: Json) -> api.Settings:
    classes = [read_class(_typed(row, "profiles", dict)) for row in maybe(raw, "profiles", list, ())]
    tenants = [api.Tenant(need(_typed(row, "realms", dict), "name", str),
                          **_pick(row, api.Tenant, _same("share", "quota_per_s")))
               for row in maybe(raw, "realms", list, ())]
    limits = _pick(maybe(raw, "limits", dict, {}), api.Limits, {
        "send_cap": "max_attempts",
        **_same("second_copies", "may_cancel", "probes", "peers", "retry_after", "max_retry_after_ns",
                "connect_timeout_ns")})
    rules = _pick(maybe(raw, "rules", dict, {}), api.Rules, _same(
        "stop_sending_within_ns", "ask_within_ns", "cold_from", "cold_ns", "fall_multiple",
        "overload_for_ns", "turn_gap_ns"))
    prices = _pick(maybe(raw, "prices", dict, {}), api.Prices, _same(
        "cross_zone", "waste", "probe", "peer", "connection", "handshake"))
    reports = maybe(raw, "load_report", dict, {})
    return api.Settings(
        me=maybe(raw, "me", int, 0), replicas_of_me=maybe(raw, "replicas_of_me", int, 1),
        zone=maybe(raw, "locality", str, ""),
        discovery_push=word(raw, "registry_mode", {"push": True, "ask": False}, "push"),
        classes={c.name: c for c in classes}, tenants={t.name: t for t in tenants},
        limits=api.Limits(**limits), rules=api.Rules(**rules), prices=api.Prices(**prices),
        report_columns=tuple(_typed(c, "columns", str) for c in maybe(reports, "columns", list, ())),
        reports_in_answers=reports.get("how") == "answers")


def read_upstream(row: Any) -> api.Upstream:
    row = _typed(row, "rows_in", dict)
    return api.Upstream(
        need(row, "upstream", int), word(row, "availability", STATES, 1), maybe(row, "locality", str, ""),
        maybe(row, "cohort", int, 0), maybe(row, "scale", float, 1.0), maybe(row, "up_since_ns", int, 0),
        maybe(row, "class_of_host", str, ""))


def _arrival(e: Json) -> api.Event:
    group = e.get("user_group") or ""  # a site with no tenants may send 0
    return api.Arrival(need(e, "ticket", str), need(e, "kind", str), _typed(group, "user_group", str),
                       need(e, "deadline_ns", int), maybe(e, "cost_guess_ns", int, 0),
                       maybe(e, "entity", str, ""), maybe(e, "resent", bool, False))


def _report(e: Json) -> Mapping[str, float] | None:
    report = maybe(e, "metrics", dict, None)
    return report and {name: _typed(value, "metrics", float) for name, value in report.items()}


def _outcome(e: Json) -> api.Event:
    return api.Outcome(need(e, "ticket", str), need(e, "attempt", int), need(e, "upstream", int),
                       word(e, "result", RESULTS), maybe(e, "took_ns", int, 0),
                       maybe(e, "complete", bool, False), _report(e))


def _begun(e: Json) -> api.Event:
    return api.AnswerBegun(need(e, "ticket", str), need(e, "attempt", int), need(e, "upstream", int),
                           maybe(e, "took_ns", int, 0))


def _probed(e: Json) -> api.Event:
    return api.ProbeResult(need(e, "upstream", int), word(e, "result", RESULTS),
                           maybe(e, "took_ns", int, 0), _report(e))


def _message(e: Json) -> api.Event:
    try:
        data = base64.b64decode(need(e, "blob", str), validate=True)
    except ValueError:
        raise Malformed("message with a blob that is not base64") from None
    return api.PeerMessage(need(e, "origin_peer", int), data)


READ: dict[str, Callable[[Json], api.Event]] = {
    "submit": _arrival,
    "returned": _outcome,
    "timer": lambda e: api.Wake(need(e, "name", str)),
    "dropped": lambda e: api.ClientGone(need(e, "ticket", str)),
    "accepted": _begun,
    "probe_result": _probed,
    "message": _message,
}
WRITE: dict[type, Callable[[Any], Json]] = {
    api.Send: lambda a: {"t": "submit_to", "ticket": a.request, "upstream": a.upstream,
                         "timeout_ns": a.timeout_ns},
    api.Refuse: lambda a: {"t": "push_back", "ticket": a.request, "backoff_ns": a.retry_after_ns},
    api.Fail: lambda a: {"t": "finish_error", "ticket": a.request},
    api.Cancel: lambda a: {"t": "retract", "ticket": a.request, "attempt": a.attempt},
    api.Probe: lambda a: {"t": "sample", "upstream": a.upstream},
    api.Tell: lambda a: {"t": "announce", "dst": a.peer, "blob": base64.b64encode(a.data).decode()},
    api.Subscribe: lambda a: {"t": "track", "active": a.on},
    api.FetchList: lambda a: {"t": "fetch"},
    api.SetTimer: lambda a: {"t": "schedule", "wait_ns": a.delay_ns, "name": a.name},
    api.Note: lambda a: {"t": "write_log", "message": a.text},
}


class Host:
    """The balancers of one process, and the numbered upstream lists that they share on the wire."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, Sequence[api.Upstream]] = {}

    def batch(self, line: str | bytes) -> str:
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise Malformed(f"not JSON: {error}") from None
        if not isinstance(batch, dict):
            raise Malformed("a batch must be an object")
        now, number, happened = (batch.get(k) for k in ("sim_time_ns", "round", "happened"))
        if not isinstance(now, int) or isinstance(now, bool):
            raise Malformed("batch without a whole-number sim_time_ns")
        if not isinstance(number, int) or isinstance(number, bool):
            raise Malformed("batch without a whole-number round")
        if not isinstance(happened, list):
            raise Malformed("batch without the array happened")
        # A balancer's events are gathered and handed over together, so that it sees all that a batch brings.
        waiting: dict[int, list[api.Event]] = {}
        commands: list[Json] = []
        for event in happened:
            self._take(_typed(event, "event", dict), now, waiting, commands)
        for number_of, events in waiting.items():
            self._run(number_of, now, events, commands)
        return json.dumps({"round": number, "cmds": commands}, separators=(",", ":"))

    def _take(self, event: Json, now: int, waiting: dict[int, list[api.Event]], commands: list[Json]) -> None:
        kind = need(event, "t", str)
        if kind == "directory":
            rows = need(event, "rows_in", list)
            self.lists[need(event, "buffer", int)] = [read_upstream(row) for row in rows]
            return
        number = need(event, "balancer", int)
        if kind == "new_instance":
            waiting.pop(number, None)
            settings, seed = read_settings(need(event, "settings", dict)), need(event, "seed", int)
            try:
                self.balancers[number] = Balancer(settings, seed, now)
            except Exception as error:
                commands.append(_fault(number, error))
            return
        if kind == "power_off":
            self.balancers.pop(number, None)
            waiting.pop(number, None)
            return
        if number not in self.balancers:
            raise Malformed(f"event {kind} for balancer {number}, which was not started")
        if kind == "membership":
            form = word(event, "form", LISTS)
            entries = () if form is api.ListKind.FAILED else word(event, "buffer", self.lists)
            waiting.setdefault(number, []).append(api.ListUpdate(form, entries))
        elif kind in READ:
            waiting.setdefault(number, []).append(READ[kind](event))
        else:
            raise Malformed(f"unknown event {kind!r}")

    def _run(self, number: int, now: int, events: list[api.Event], commands: list[Json]) -> None:
        try:
            for action in self.balancers[number].handle(now, events):
                command = WRITE[type(action)](action)
                command["balancer"] = number
                commands.append(command)
        except Exception as error:
            commands.append(_fault(number, error))


def _fault(number: int, error: Exception) -> Json:
    """A failure of the decision code, told to the simulator with the place where it happened."""
    place = error.__traceback__
    while place is not None and place.tb_next is not None:
        place = place.tb_next
    where = f" at {place.tb_frame.f_code.co_name}:{place.tb_lineno}" if place is not None else ""
    return {"t": "fault", "balancer": number, "message": f"{type(error).__name__}: {error}{where}"}


def main() -> int:
    host = Host()
    for count, line in enumerate(sys.stdin.buffer, 1):  # bytes: bad UTF-8 is bad input, too
        try:
            reply = host.batch(line)
        except Malformed as error:
            print(f"wirehost: line {count}: {error}", file=sys.stderr)
            return 2
        sys.stdout.write(reply + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
