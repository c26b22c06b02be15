"""The failure detector: deaths, partitions, zones, restarts, leaving, and a member that is itself slow."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanelift.faults.schedule import Step
from lanelift.faults.simulation import MS, Clock, NodeSlot
from lanelift.membership.detector import FailureDetector
from lanelift.membership.gossip import (
    HEADER,
    MAX_MESSAGE_BYTES,
    MAX_UPDATES,
    GossipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
    decode,
    encode,
    is_later,
    supersedes,
)
from lanelift.membership.records import MemberRecord
from lanelift.membership.simulation import MembershipSimulation, RecordingDetector, membership_schedule
from lanelift.membership.timing import ProbeTiming

TIMING = ProbeTiming(dead_after_ns=40_000 * MS)
N = 24


def simulate(
    *steps: Step,
    count: int = N,
    loss: float = 0.0,
    until_s: int = 60,
    seed: int = 1,
    zones: str = "abc",
    detector: type[RecordingDetector] = RecordingDetector,
) -> MembershipSimulation:
    schedule = membership_schedule(count, seed, until_s * 1000, loss, steps)
    simulation = MembershipSimulation(schedule, [zones[i % len(zones)] for i in range(count)], TIMING)
    simulation.detector_class = detector
    simulation.play()
    return simulation


def partition(at_s: int, until_s: int, left: range, right: range) -> list[Step]:
    pairs = [(str(a), str(b)) for a in left for b in right]
    directions = [*pairs, *((b, a) for a, b in pairs)]
    return [
        step
        for a, b in directions
        for step in (Step(at_s * 1000, "cut", a, b), Step(until_s * 1000, "heal", a, b))
    ]


def view_of(simulation: MembershipSimulation, who: int) -> dict[int, MemberState]:
    detector = simulation.detector(who)
    assert detector is not None
    return {n: detector.state(n) for n in detector.members}


@pytest.mark.parametrize("loss", [0.0, 0.05, 0.3])
def test_simultaneous_deaths_of_seven_in_ten_are_detected_and_no_other_is_accused(loss: float) -> None:
    dead = range(17)
    simulation = simulate(*(Step(20_000, "kill", str(n)) for n in dead), loss=loss, until_s=240)
    for who in range(17, N):
        assert {
            n for n, state in view_of(simulation, who).items() if state is MemberState.UNREACHABLE
        } == set(dead)
    assert not simulation.false_detections()


def test_without_faults_no_member_is_accused_and_messages_are_bounded() -> None:
    simulation = simulate(until_s=300, count=40)
    assert not [v for v in simulation.changes if v.state is not MemberState.ALIVE]
    assert simulation.messages / 300 / 40 < 2.1  # a ping and an acknowledgement per period


def test_a_partition_does_not_count_as_death_and_views_agree_after_it() -> None:
    """Two sides can't reach each other, in one run for 6 s and in another for 25 s. In the longer run
    each side sees the members of the other as unreachable but still counts them: a budget that is divided by
    fewer members than are alive would be overspent.
    """
    short = simulate(*partition(20, 26, range(12), range(12, N)))
    assert not short.false_detections()
    simulation = simulate(*partition(20, 45, range(12), range(12, N)), until_s=44)
    assert any(state is MemberState.UNREACHABLE for state in view_of(simulation, 0).values())
    for who in range(N):
        detector = simulation.detector(who)
        assert detector is not None and detector.count_alive(simulation.local(str(who))) == N
    healed = simulate(*partition(20, 45, range(12), range(12, N)), until_s=90)
    for who in range(N):
        assert set(view_of(healed, who).values()) == {MemberState.ALIVE}


def test_an_isolated_member_accuses_no_other_member() -> None:
    """One member is cut off from all others, which all seem dead to it. This member has to recognize
    that it is itself cut off. The others detect it as unreachable.
    """
    simulation = simulate(*partition(20, 50, range(1), range(1, N)), until_s=50)
    assert not [v for v in simulation.changes if v.observer == 0 and v.state is MemberState.UNREACHABLE]
    assert {who for who in range(1, N) if view_of(simulation, who)[0] is MemberState.UNREACHABLE} == set(
        range(1, N)
    )


def test_one_way_loss_is_bridged_by_indirect_probes() -> None:
    """Messages from member 0 to member 1 are lost, but messages from member 1 to member 0 are not. Each still
    receives the other's acknowledgement through third members, so neither accuses the other.
    """
    simulation = simulate(Step(20_000, "cut", "0", "1"), Step(50_000, "heal", "0", "1"))
    assert not simulation.false_detections()


def test_a_member_that_is_paused_repeatedly_accuses_no_other_member() -> None:
    """A process is stopped for 1.5 s in every 2 s. It misses acknowledgements through its own fault, so its
    probes wait longer from then on.
    """
    steps = [
        s for at in range(10_000, 50_000, 2_000) for s in (Step(at, "stop", "0"), Step(at + 1_500, "go", "0"))
    ]
    simulation = simulate(*steps)
    assert not [v for v in simulation.changes if v.observer == 0 and v.state is MemberState.UNREACHABLE]


def test_a_zone_that_vanishes_as_a_whole_is_given_more_time() -> None:
    """In one run a single member dies, in another all members of a zone die at the same moment. The second
    case looks like a partition, which ends for all members at the same time: the members of the zone stay
    suspected for longer, but are detected in the end.
    """
    one = simulate(Step(20_000, "kill", "0"), until_s=150)
    zone = simulate(*(Step(20_000, "kill", str(n)) for n in range(0, N, 3)), until_s=150)
    assert min(zone.detection_delays_ns()) > max(one.detection_delays_ns())
    assert -1 not in zone.detection_delays_ns()


def test_a_rolling_restart_of_all_members_leaves_all_alive() -> None:
    steps = [
        s
        for n in range(N)
        for s in (Step(20_000 + 2_000 * n, "kill", str(n)), Step(20_500 + 2_000 * n, "start", str(n)))
    ]
    simulation = simulate(*steps, until_s=120)
    assert not simulation.false_detections()
    assert all(set(view_of(simulation, who).values()) == {MemberState.ALIVE} for who in range(N))


def test_a_member_that_returns_after_it_was_unreachable_is_alive_again() -> None:
    """A member is killed and starts again under a random incarnation, which may be behind the incarnation in
    the others' updates about it. The member learns of these updates and refutes them.
    """
    for seed in range(6):  # in some seeds the new incarnation is ahead of the old one, in others behind it
        simulation = simulate(
            Step(10_000, "kill", "3"), Step(40_000, "start", "3"), seed=seed, until_s=80, count=8
        )
        assert all(view_of(simulation, who)[3] is MemberState.ALIVE for who in range(8) if who != 3), seed


def test_a_member_that_leaves_is_not_counted() -> None:
    simulation = simulate(until_s=20)
    simulation.schedule = membership_schedule(N, 1, 30_000)
    detector = simulation.detector(5)
    assert detector is not None
    simulation.send_all("5", [(str(to), data) for to, data in detector.leave()])
    simulation.play()
    others = [w for w in range(N) if w != 5]
    assert all(view_of(simulation, who)[5] is MemberState.LEFT for who in others)
    left = simulation.detector(0)
    assert left is not None and left.count_alive(simulation.local("0")) == N - 1 and detector.due_ns is None


def test_a_fleet_of_one_sends_nothing() -> None:
    detector = FailureDetector(0, [""], TIMING, 1, 0)
    assert detector.tick(10**12) == [] and detector.count_alive(10**12) == 1


def test_two_members_under_one_number_settle_without_a_message_storm() -> None:
    """Two processes run under one number by mistake and refute each other; their messages stay bounded."""
    a, b = FailureDetector(0, ["", "", ""], TIMING, 1, 0), FailureDetector(0, ["", "", ""], TIMING, 2, 0)
    third = FailureDetector(1, ["", "", ""], TIMING, 3, 0)
    message = 0
    for second in range(1, 60):
        now = second * 1000 * MS
        for one in (a, b):
            for to, data in one.tick(now):
                if to == 1:
                    for _, response in third.receive(data, now):
                        message += 1
                        a.receive(response, now)
                        b.receive(response, now)
    assert message < 120 and third.is_reachable(0)


@given(st.binary(max_size=300))
def test_invalid_bytes_cause_no_error(data: bytes) -> None:
    detector = FailureDetector(0, ["", "", ""], TIMING, 1, 0)
    for _, response in detector.receive(data, 5):
        assert len(response) <= MAX_MESSAGE_BYTES


@given(
    st.integers(0, 65_535),
    st.lists(
        st.tuples(st.integers(0, 99), st.sampled_from(MemberState), st.integers(0, 65_535)), max_size=60
    ),
)
def test_a_decoded_message_equals_the_encoded_one_up_to_the_maximum_size(
    incarnation: int, rows: list[tuple[int, MemberState, int]]
) -> None:
    updates = tuple(MemberUpdate(whom, state, inc, 7) for whom, state, inc in rows)
    data = encode(GossipMessage(MessageKind.PING, 3, incarnation, 9, 4, updates))
    assert len(data) <= MAX_MESSAGE_BYTES
    assert decode(data) == GossipMessage(MessageKind.PING, 3, incarnation, 9, 4, updates[:MAX_UPDATES])


def test_known_parts_of_messages_of_a_later_version_are_decoded() -> None:
    data = encode(GossipMessage(MessageKind.PING, 1, 2, 3, 4, (MemberUpdate(2, MemberState.ALIVE, 5, 2),)))
    assert decode(data + b"xyz") == decode(data)  # trailing bytes that do not fill an update
    odd = bytearray(data)
    odd[HEADER.size + 2] = 99  # an unknown state: the update is skipped
    assert decode(bytes(odd)) == GossipMessage(MessageKind.PING, 1, 2, 3, 4, ())
    odd = bytearray(data)
    odd[0] = 2
    assert decode(bytes(odd)) is None


@given(st.integers(0, 65_535), st.integers(1, 32_767))
def test_incarnations_wrap_around(old: int, ahead: int) -> None:
    new = (old + ahead) % 65_536
    assert is_later(new, old) and not is_later(old, new)
    assert supersedes(MemberUpdate(1, MemberState.ALIVE, new), MemberUpdate(1, MemberState.LEFT, old))
    assert not supersedes(MemberUpdate(1, MemberState.LEFT, old), MemberUpdate(1, MemberState.ALIVE, new))


def test_updates_are_piggybacked_only_if_any_are_pending_and_fit() -> None:
    detector = FailureDetector(0, [""] * 5, TIMING, 1, 0)
    assert detector.piggyback(200) == b""
    suspicion = MemberUpdate(2, MemberState.SUSPECT, 0, 1)
    detector.receive(encode(GossipMessage(MessageKind.UPDATES, 1, 1, 0, 1, (suspicion,))), 5)
    assert detector.piggyback(10) == b""
    message = decode(detector.piggyback(100))
    assert message is not None and message.updates[0].member == 2


# Planted mistakes: each makes one of the tests above fail.


class IgnoresIncarnations(RecordingDetector):
    """An old suspicion takes precedence over its refutation."""

    def _receive_update(self, update: MemberUpdate, now: int) -> None:
        record = self.members.get(update.member)
        if record is not None and update.state > record.update.state:
            self._apply(record, update, now)
            return
        super()._receive_update(update, now)


class AccusesWhileIsolated(RecordingDetector):
    """An isolated member accuses the others."""

    def _is_isolated(self, now: int) -> bool:
        return False


class SkipsIndirectProbes(RecordingDetector):
    """A single lost acknowledgement causes a suspicion."""

    def tick(self, now: int) -> list[tuple[int, bytes]]:
        for probe in self.probes.values():
            probe.indirect = True
        return super().tick(now)


class UnreachableIsDead(RecordingDetector):
    def _is_dead(self, record: MemberRecord, now: int) -> bool:
        return record.update.state is MemberState.UNREACHABLE or super()._is_dead(record, now)


class NeverRefutes(RecordingDetector):
    def _receive_update(self, update: MemberUpdate, now: int) -> None:
        if update.member != self.me:
            super()._receive_update(update, now)


def accuses_living(simulation: MembershipSimulation) -> bool:
    return bool(simulation.false_detections())


def accuses_others(simulation: MembershipSimulation) -> bool:
    return bool([v for v in simulation.changes if v.observer == 0 and v.state is MemberState.UNREACHABLE])


def miscounts(simulation: MembershipSimulation) -> bool:
    found = [simulation.detector(who) for who in range(N)]
    return any(d is not None and d.count_alive(simulation.local(str(d.me))) < N for d in found)


@pytest.mark.parametrize(
    ("planted", "steps", "loss", "until_s", "wrong"),
    [
        (IgnoresIncarnations, (), 0.3, 60, accuses_living),
        (NeverRefutes, (), 0.3, 60, accuses_living),
        (AccusesWhileIsolated, partition(20, 90, range(1), range(1, N)), 0.0, 90, accuses_others),
        (
            SkipsIndirectProbes,
            (Step(20_000, "cut", "0", "1"),),
            0.05,
            200,
            lambda simulation: any(v.state is MemberState.SUSPECT for v in simulation.changes),
        ),
        (UnreachableIsDead, partition(20, 44, range(12), range(12, N)), 0.0, 44, miscounts),
    ],
    ids=lambda x: x.__name__ if isinstance(x, type) else "",
)
def test_a_planted_mistake_is_found(
    planted: type[RecordingDetector], steps: list[Step], loss: float, until_s: int, wrong: object
) -> None:
    assert callable(wrong)
    assert wrong(simulate(*steps, loss=loss, until_s=until_s, detector=planted))
    if planted is not SkipsIndirectProbes:  # without the mistake suspicions occur too, but fewer
        assert not wrong(simulate(*steps, loss=loss, until_s=until_s))


def test_the_state_is_bounded_for_two_thousand_members() -> None:
    detector = FailureDetector(0, ["abc"[i % 3] for i in range(2000)], TIMING, 1, 0)
    slot = NodeSlot(Clock(0, 0.0))
    assert slot.node is None
    now = 0
    for _ in range(400):
        now += 1000 * MS
        detector.tick(now)
        suspicions = tuple(MemberUpdate(n, MemberState.SUSPECT, 0, 1) for n in range(2, 30))
        detector.receive(encode(GossipMessage(MessageKind.UPDATES, 1, 1, 0, 1, suspicions)), now)
    assert len(detector.probes) < 16
    assert len(detector.dissemination.pending) <= 2000 and len(detector.probe_order) <= 2000
