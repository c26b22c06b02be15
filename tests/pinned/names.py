"""The only module of this package that uses classes, modules, functions and fields of lanelift.

All arguments and results are plain data: words, numbers, bytes, tuples and dicts. Apply renames of lanelift
here, and never change arguments or results.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from lanelift.faults.random_schedule import random_schedule
from lanelift.faults.schedule import Schedule, Step, to_json
from lanelift.faults.simulation import NodeSlot
from lanelift.fleet import codec, messages
from lanelift.fleet.cluster import MS, ClusterConfiguration, LeaseTiming, Member
from lanelift.fleet.recovery import PersistentState, VoterRecovery, VoterStateError
from lanelift.fleet.state_file import StateFile
from lanelift.leases.simulation import LeaseSimulation, VoterNode
from lanelift.membership import gossip
from lanelift.membership.simulation import MembershipSimulation, membership_schedule
from lanelift.membership.timing import ProbeTiming

# A module that other releases start by its path: the path must not change.
WARDEN_MODULE = "lanelift.leases.warden"

# Fleet messages.

FLEET_KINDS: dict[str, type[msgspec.Struct]] = {
    "ask": messages.Prepare,
    "take": messages.Accept,
    "release": messages.Release,
    "answer": messages.Response,
    "look": messages.ListLeases,
    "seen": messages.LeaseStatus,  # an entry in a view message, not a message itself
    "view": messages.LeaseList,
    "hello": messages.VoterStatus,
}
# The fields of each kind of message, in the order of the wire. A rename changes a word here, not the order.
FLEET_FIELDS: dict[str, tuple[str, ...]] = {
    "ask": ("lease", "ballot", "nonce", "proposer", "request_id", "waited_ns", "wants_queue"),
    "take": ("lease", "ballot", "nonce", "proposer", "request_id"),
    "release": ("lease", "ballot", "nonce", "request_id", "successor"),
    "answer": (
        *("lease", "nonce", "request_id", "voter", "verdict"),
        *("ballot", "holder", "token", "remaining_ns", "queue_position"),
    ),
    "look": ("request_id", "after"),
    "seen": ("lease", "holder", "token", "remaining_ns", "waiters"),
    "view": ("request_id", "voter", "quiet_ns", "leases", "more"),
    "hello": (
        *("voter", "nonce", "may_vote", "lost_state", "ballot_ceiling"),
        *("is_reply", "former_voter_sets"),
    ),
}
VERDICTS = tuple(messages.Verdict)


def plain(value: Any) -> Any:
    """Converts structs, lists and named tuples to tuples, and enums to their values."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, msgspec.Struct):
        return tuple(plain(getattr(value, field)) for field in FLEET_FIELDS[kind_of(value)])
    if isinstance(value, list | tuple):
        return tuple(map(plain, value))
    return value


def kind_of(message: msgspec.Struct) -> str:
    """Returns the word for a message's kind."""
    return next(word for word, struct in FLEET_KINDS.items() if type(message) is struct)


def message_kinds() -> set[str]:
    """Returns the words for all kinds of messages."""
    return set(FLEET_KINDS) - {"seen"}


def verdict_words() -> tuple[str, ...]:
    """Returns the words for all verdicts that this release sends."""
    return tuple(plain(verdict) for verdict in VERDICTS)


def made_message(kind: str, *values: Any) -> Any:
    """Returns a message with these values, in the order of the wire; missing ones at the end are defaults."""
    about = dict(zip(FLEET_FIELDS[kind], values, strict=False))
    if kind == "view":
        about["leases"] = [made_message("seen", *row) for row in about["leases"]]
    return FLEET_KINDS[kind](**about)


def encode_fleet(digest: bytes, kind: str, *values: Any) -> bytes:
    """Encodes a fleet message as a datagram."""
    return codec.encode(digest, made_message(kind, *values))


def decode_fleet(data: bytes) -> tuple[bytes, str, tuple[Any, ...]]:
    """Decodes a datagram: the digest of the plan, the kind, and the values of all fields with defaults."""
    digest, message = codec.decode(data)
    return digest, kind_of(message), plain(message)


def fleet_refusal(data: bytes) -> tuple[str, str]:
    """Returns why a datagram is dropped, "garbage" or "unknown" (of a later release), and the error text."""
    try:
        codec.decode(data)
    except codec.MessageDecodeError as error:
        return ("unknown" if isinstance(error, codec.UnknownMessageError) else "garbage"), str(error)
    raise AssertionError(f"this was read: {data.hex()}")


def made_plan(
    voters: Iterable[str],
    name: str = "trust",
    lease_ns: int = 10_000 * MS,
    answer_ns: int = 250 * MS,
    margin_ns: int = 2_000 * MS,
    drift: float = 0.001,
    others: Iterable[str] = (),
) -> ClusterConfiguration:
    """Returns a plan; `others` are members that do not vote."""
    rows = [Member(id, ("127.0.0.1", 7000)) for id in voters]
    rows += [Member(id, ("127.0.0.1", 7000), "west", votes=False) for id in others]
    timing = LeaseTiming(
        lease_ns=lease_ns, response_timeout_ns=answer_ns, stop_margin_ns=margin_ns, drift=drift
    )
    return ClusterConfiguration(name, tuple(rows), timing)


def plan_digest(voters: Iterable[str], **about: Any) -> bytes:
    return made_plan(voters, **about).digest


def default_plan_digest(name: str, voters: Iterable[str]) -> bytes:
    """Returns the digest of a plan with the default timings of the operator's file."""
    return ClusterConfiguration(name, tuple(Member(id, ("127.0.0.1", 7000)) for id in voters)).digest


# Membership messages.


def encode_gossip(
    kind: int, sender: int, incarnation: int, number: int, about: int, updates: Iterable[Sequence[int]] = ()
) -> bytes:
    """Encodes a membership message; an update is a member, its state, its incarnation, and the observer."""
    message = gossip.GossipMessage(
        kind=gossip.MessageKind(kind),
        sender=sender,
        incarnation=incarnation,
        sequence=number,
        subject=about,
        updates=tuple(_update(row) for row in updates),
    )
    return gossip.encode(message)


def _update(row: Sequence[int]) -> gossip.MemberUpdate:
    whom, state, incarnation, by = row
    return gossip.MemberUpdate(
        member=whom, state=gossip.MemberState(state), incarnation=incarnation, reported_by=by
    )


def decode_gossip(data: bytes) -> tuple[Any, ...] | None:
    """Decodes a message: kind, sender, incarnation, number, subject, updates; None if it is invalid."""
    said = gossip.decode(data)
    if said is None:
        return None
    rows = tuple((u.member, u.state.value, u.incarnation, u.reported_by) for u in said.updates)
    return said.kind.value, said.sender, said.incarnation, said.sequence, said.subject, rows


def gossip_words() -> tuple[set[int], set[int]]:
    """Returns the numbers of all kinds of messages and of all states of members."""
    return {kind.value for kind in gossip.MessageKind}, {state.value for state in gossip.MemberState}


def update_replaces(update: Sequence[int], known: Sequence[int]) -> bool:
    """Returns whether an update replaces the known state of the same member."""
    return gossip.supersedes(_update(update), _update(known))


# A voter's state file.


def _kept(values: Mapping[str, Any]) -> PersistentState:
    return PersistentState(
        cluster_digest=values["digest"],
        voters=tuple(values["voters"]),
        quiet_ns=values["silence_ns"],
        ballot_ceiling=values["ceiling"],
        former_voter_sets=tuple(map(tuple, values["left"])),
        lost_state=values["blank"],
    )


def _values(kept: PersistentState) -> dict[str, Any]:
    return {
        "digest": kept.cluster_digest,
        "voters": kept.voters,
        "silence_ns": kept.quiet_ns,
        "ceiling": kept.ballot_ceiling,
        "left": kept.former_voter_sets,
        "blank": kept.lost_state,
    }


def write_state(folder: Path, member: str, values: Mapping[str, Any]) -> None:
    """Writes a voter's state, given by the keys of the file."""
    state_file = StateFile(folder, member)
    try:
        state_file.write(_kept(values))
    finally:
        state_file.close()


def read_state(folder: Path, member: str) -> dict[str, Any] | None:
    """Returns the content of a voter's state file, by its keys; None if there is no file."""
    state_file = StateFile(folder, member)
    try:
        kept = state_file.read()
    finally:
        state_file.close()
    return None if kept is None else _values(kept)


def state_refusal(folder: Path, member: str) -> str:
    """Returns the error text for a state file, or a folder, that is refused."""
    try:
        state_file = StateFile(folder, member)
    except VoterStateError as error:
        return str(error)
    try:
        state_file.read()
    except VoterStateError as error:
        return str(error)
    finally:
        state_file.close()
    raise AssertionError(f"{folder}/{member}.json was read")


def locked_state(folder: Path, member: str) -> str:
    """Returns the error text that a second process gets if it uses the id of a running voter."""
    state_file = StateFile(folder, member)
    try:
        return state_refusal(folder, member)
    finally:
        state_file.close()


def voter_start(
    folder: Path,
    member: str,
    voters: str,
    lease_ms: int,
    heard: Iterable[Mapping[str, Any]] = (),
    wanted: int = 0,
) -> tuple[bool, int | None, int]:
    """Starts a voter on its state file, to which it writes, and passes answers of other voters to it.

    `heard` has the answers, as dicts with the keys voter, voting, blank, floor and left. `wanted` is a ballot
    for which the voter then reserves a block in the file, or 0 for none. Returns whether the voter may vote,
    until when it is silent (ns after its start), and the ballot above which it votes. Raises ValueError with
    the error text if the file is refused.
    """
    plan = made_plan(voters, "trust", lease_ms * MS, 10 * MS, 100 * MS)
    state_file = StateFile(folder, member)
    try:
        recovery = VoterRecovery(plan, member, 7, state_file.read())
        _written(recovery, state_file)
        for answer in heard:
            left = [list(row) for row in answer["left"]]
            said = (answer["voter"], 7, answer["voting"], answer["blank"], answer["floor"], True, left)
            recovery.receive_status(made_message("hello", *said))
            _written(recovery, state_file)
        if wanted:
            recovery.extend_ceiling(wanted)
            _written(recovery, state_file)
    except VoterStateError as error:
        raise ValueError(str(error)) from None
    finally:
        state_file.close()
    return recovery.may_vote, recovery.ready_ns, recovery.ballot_floor


MAX_WRITES = 8  # limits how often a voter's state is written after one message


def _written(recovery: VoterRecovery, state_file: StateFile) -> None:
    for _ in range(MAX_WRITES):
        if recovery.pending_state is None:
            return
        state_file.write(recovery.pending_state)
        recovery.state_written(recovery.pending_state, 0)
    raise AssertionError(f"the state is written without end: {recovery.pending_state}")


# Traces of schedules. A line has the true time in ns, the event and its subject; messages are bytes.


class TracedLeases(LeaseSimulation):
    """Simulates leases and records the events that an observer outside of all processes would see."""

    def __init__(self, schedule: Schedule, timing: LeaseTiming) -> None:
        self.lines: list[str] = []
        super().__init__(schedule, timing)

    def line(self, *words: object) -> None:
        self.lines.append(" ".join(map(str, (self.now, *words))))

    def _send(self, sender: str, recipient: str, message: Any) -> None:
        self.line("send", sender, recipient, codec.encode(*message).hex())
        super()._send(sender, recipient, message)

    def _deliver(self, sender: str, recipient: str, message: Any) -> None:
        self.line("come", sender, recipient, codec.encode(*message).hex())
        super()._deliver(sender, recipient, message)

    def _start(self, name: str) -> None:
        self.line("start", name, self.local(name))
        super()._start(name)

    def _apply_step(self, step: Step) -> None:
        self.line("step", step.what, step.who, step.whom, step.ms, step.part)
        super()._apply_step(step)

    def write(self, votes: VoterNode) -> None:
        assert votes.writing is not None
        self.line("write", votes.name, msgspec.json.encode(_values(votes.writing)).decode())
        super().write(votes)

    def _written(self, votes: VoterNode, kept: PersistentState, incarnation: int) -> None:
        self.line("written", votes.name, msgspec.json.encode(_values(kept)).decode())
        super()._written(votes, kept, incarnation)

    def acted(self, name: str, token: int) -> None:
        self.line("act", name, token)
        super().acted(name, token)

    def after_event(self) -> None:
        before = self.held_tokens
        super().after_event()
        for name in sorted({*before, *self.held_tokens}):
            if before.get(name) != self.held_tokens.get(name):
                self.line("token", name, before.get(name, 0), self.held_tokens.get(name, 0))


def play_lease_schedule(seed: int) -> list[str]:
    """Returns the whole trace: the schedule as in its file, all events, and the counts of the judge.

    There are 3 or 5 voters and 2 to 4 contenders; every fourth schedule changes the list of voters.
    """
    timing = LeaseTiming(lease_ns=1000 * MS, response_timeout_ns=60 * MS, stop_margin_ns=200 * MS, drift=0.01)
    schedule = random_schedule(
        seed, 3 + 2 * (seed % 2), 2 + seed % 3, 15_000, 1000, timing.drift, plans=seed % 4 == 0
    )
    world = TracedLeases(schedule, timing)
    world.play()
    found = world.findings
    counts = (len(found.breaches), len(found.holdings), found.acts, found.late_acts, found.fenced)
    return [to_json(schedule).decode(), *world.lines, f"counts {counts} {world.messages}"]


class TracedMembers(MembershipSimulation):
    """Simulates membership and records messages, starts, deaths and each change of a member's view."""

    def __init__(self, schedule: Schedule, zones: Sequence[str], timing: ProbeTiming) -> None:
        self.lines: list[str] = []
        self.noted = 0
        super().__init__(schedule, zones, timing)

    def line(self, *words: object) -> None:
        self.lines.append(" ".join(map(str, (self.now, *words))))

    def _send(self, sender: str, recipient: str, message: Any) -> None:
        self.line("send", sender, recipient, message.hex())
        super()._send(sender, recipient, message)

    def _deliver(self, sender: str, recipient: str, message: Any) -> None:
        self.line("come", sender, recipient, message.hex())
        super()._deliver(sender, recipient, message)

    def _start(self, name: str) -> None:
        self.line("start", name, self.local(name))
        super()._start(name)

    def _apply_step(self, step: Step) -> None:
        self.line("step", step.what, step.who, step.whom, step.ms, step.part)
        super()._apply_step(step)

    def _leave(self, name: str) -> None:
        """Lets a member announce that it leaves, and then end. Only this simulation has this event."""
        detector = self.detector(int(name))
        if detector is not None:
            self.line("leave", name)
            self.send_all(name, [(str(to), data) for to, data in detector.leave()])

    def node_killed(self, name: str, slot: NodeSlot, disk_lost: bool) -> None:
        self.line("died", name)
        super().node_killed(name, slot, disk_lost)

    def after_event(self) -> None:
        for _, who, whom, state in self.changes[self.noted :]:
            self.line("view", who, whom, state.value)
        self.noted = len(self.changes)


def play_membership(seed: int) -> list[str]:
    """Returns a trace of 8 to 12 members in three zones for 60 s: deaths, returns, cuts, delays, a leave."""
    rng = random.Random(seed)
    count = 8 + seed % 5
    schedule = membership_schedule(
        count, seed, 60_000, (0.0, 0.05, 0.3)[seed % 3], _membership_steps(rng, count)
    )
    timing = ProbeTiming(dead_after_ns=20_000 * MS)
    world = TracedMembers(schedule, ["abc"[n % 3] for n in range(count)], timing)
    world.call_at(rng.randrange(10_000, 50_000) * MS, world._leave, str(rng.randrange(count)))
    world.play()
    here = [d for d in map(world.detector, range(count)) if d is not None]
    counted = [(d.me, d.count_alive(world.local(str(d.me)))) for d in here]
    return [to_json(schedule).decode(), *world.lines, f"counts {counted} {world.messages} {world.bytes}"]


def _membership_steps(rng: random.Random, count: int) -> list[Step]:
    steps: list[Step] = []
    at = 4_000
    while at < 50_000:
        who, lasts = str(rng.randrange(count)), rng.randrange(500, 15_000)
        what = rng.choice(("kill", "stop", "cut", "delay"))
        if what == "kill":
            steps += [Step(at, "kill", who), Step(at + lasts, "start", who)]
        elif what == "stop":
            steps += [Step(at, "stop", who), Step(at + lasts, "go", who)]
        elif what == "delay":
            steps += [Step(at, "delay", who, ms=rng.randrange(50, 600)), Step(at + lasts, "heal", who)]
        else:
            half = set(rng.sample(range(count), rng.randrange(1, count)))
            ways = [(str(a), str(b)) for a in sorted(half) for b in range(count) if b not in half]
            steps += [Step(at, "cut", a, b) for a, b in ways]
            steps += [Step(at + lasts, "heal", a, b) for a, b in ways]
        at += rng.randrange(1_000, 9_000)
    return sorted(steps, key=lambda step: step.at_ms)
