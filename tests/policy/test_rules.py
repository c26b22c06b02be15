"""Each rule's cases through the module's interface, and random legal days against the checker."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from lanelift.policy.actions import Action, Fail, ProbeLoad, Reject, SetTimer, StartAttempt, Subscribe
from lanelift.policy.attempts import Attempt
from lanelift.policy.balancer import Balancer
from lanelift.policy.events import (
    AttemptFinished,
    AttemptResult,
    BodyReceived,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadProbeFinished,
    RequestArrived,
    ResponseStarted,
)
from lanelift.policy.settings import Idempotency, Limits, Prices, RequestClass, Rules, Settings
from tests.policy.book import (
    ANY,
    BIG,
    CELL,
    MS,
    PAY,
    READ,
    ROW,
    SECOND,
    START,
    WEST,
    Desk,
    arrival,
    check_cold_budget,
    of,
    places,
    settings,
    upstreams,
)


def test_served_request_needs_nothing_more() -> None:
    desk = Desk()
    assert len(of(StartAttempt, desk.give(arrival(1, desk.now)))) == 1
    assert not of(Fail, desk.finish("r1")) and desk.answer["r1"] == "served"


@pytest.mark.parametrize("cls", [READ, PAY, CELL, ANY])
def test_no_server_known_is_refused_in_time(cls: RequestClass) -> None:
    desk = Desk(servers=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.CACHED), arrival(1, desk.now, cls))
    desk.advance(600 * MS)
    assert desk.answer["r1"] == "refused"


def test_all_draining_is_refused_in_time() -> None:
    desk = Desk()
    desk.give(
        EndpointUpdate(
            EndpointUpdateKind.DELTA, [u._replace(state=EndpointState.DRAINING) for u in upstreams(6)]
        )
    )
    desk.give(arrival(1, desk.now, PAY))
    desk.advance(600 * MS)
    assert desk.answer["r1"] == "refused" and "r1" not in desk.sends


def test_timeout_at_the_deadline_of_an_unsafe_request_is_failed() -> None:
    desk = Desk()
    desk.give(arrival(1, desk.now, PAY))
    desk.advance(600 * MS)
    assert desk.answer["r1"] == "failed" and len(desk.sends["r1"]) == 1


@pytest.mark.parametrize("result", [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED])
def test_unsafe_request_that_never_ran_is_sent_again(result: AttemptResult) -> None:
    desk = Desk()
    desk.give(arrival(1, desk.now, PAY))
    desk.now += MS
    desk.finish("r1", result)
    assert len(desk.sends["r1"]) == 2


@pytest.mark.parametrize("result", [AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.CANCELLED])
def test_unsafe_request_that_may_have_run_is_failed(result: AttemptResult) -> None:
    desk = Desk()
    desk.give(arrival(1, desk.now, PAY))
    desk.now += MS
    desk.finish("r1", result)
    assert desk.answer["r1"] == "failed"


def test_attempts_are_capped() -> None:
    desk = Desk()
    desk.give(arrival(1, desk.now, READ))
    for _ in range(3):
        desk.now += MS
        if "r1" not in desk.answer:
            desk.finish("r1", AttemptResult.REJECTED)
    desk.advance(600 * MS)
    assert desk.answer["r1"] == "refused" and len(desk.sends["r1"]) <= 3


def test_an_exhausted_request_among_a_stalled_line_is_answered() -> None:
    desk = Desk(servers=1)
    for i in range(30):
        desk.give(arrival(i, desk.now))
    desk.advance(700 * MS)
    assert len(desk.answer) == 30


def test_a_short_deadline_is_answered_though_the_line_is_blocked() -> None:
    # Guards against a wake that comes a little early being taken for an old one: no timer was ever set again.
    desk = Desk(servers=1)
    desk.give(arrival(1, desk.now))
    for i in range(2, 40):
        desk.give(arrival(i, desk.now, wait_ns=3 * MS))
        early = [t for t in desk.timers]
        desk.timers = [(at - 300, name) for at, name in early]
        desk.advance(30 * MS, step_ns=MS)
    desk.advance(SECOND)
    assert len(desk.answer) == 39


def test_drained_upstream_gets_nothing_new() -> None:
    desk = Desk()
    desk.give(
        EndpointUpdate(
            EndpointUpdateKind.DELTA, [u._replace(state=EndpointState.DRAINING) for u in upstreams(5)]
        )
    )
    for i in range(20):
        desk.give(arrival(i, desk.now))
        desk.advance(20 * MS)
        for request, number in desk.out():
            desk.finish(request, number=number)
    assert {u.id for sent in desk.sends.values() for u, _ in sent} == {6}


def test_missing_from_a_full_list_is_gone() -> None:
    desk = Desk()
    desk.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(1)))
    for i in range(5):
        desk.give(arrival(i, desk.now))
        desk.finish(f"r{i}")
    assert {u.id for sent in desk.sends.values() for u, _ in sent} == {1}


def test_cold_upstreams_get_one_request_at_a_time() -> None:
    desk = Desk(servers=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.CACHED, upstreams(4, started_ns=START - MS)))
    for i in range(40):
        desk.give(arrival(i, desk.now))
        desk.advance(5 * MS)
        held: dict[int, int] = {}
        for request, number in desk.out():
            upstream = desk.sends[request][number][0].id
            held[upstream] = held.get(upstream, 0) + 1
        assert max(held.values(), default=0) <= 1


def test_cold_upstreams_share_a_budget_over_the_proxies() -> None:
    # Guards against forty proxies that each send a cold upstream a little, and together push it over.
    sent = []
    for proxies in (1, 40):
        desk = Desk(settings(replica_count=proxies), servers=0)
        desk.give(EndpointUpdate(EndpointUpdateKind.CACHED, upstreams(6, started_ns=START - MS)))
        for i in range(100):
            desk.give(arrival(i, desk.now))
            desk.advance(5 * MS)
            for request, number in desk.out():
                desk.finish(request, number=number)
        sent.append(sum(map(len, desk.sends.values())))
    assert sent[1] < sent[0] / 2


def probing(servers: int = 6) -> Desk:
    limits = Limits(max_attempts=3, load_probes=True, may_cancel=True)
    return Desk(settings(limits=limits, load_report_fields=("inflight", "queue")), servers=servers)


def asked_for(actions: list[Action]) -> list[int]:
    return [a.upstream for a in of(ProbeLoad, actions)]


def reports(upstreams: list[int], inflight: float) -> list[Event]:
    return [LoadProbeFinished(u, AttemptResult.OK, MS, {"inflight": inflight}) for u in upstreams]


def test_asks_the_drawn_upstreams_and_sends_to_the_lightest() -> None:
    # With many proxies own counts say little: the upstreams' own word decides.
    desk = probing()
    asked = [a.upstream for a in desk.give(arrival(1, desk.now)) if isinstance(a, ProbeLoad)]
    assert asked and "r1" not in desk.sends
    desk.now += MS
    desk.give(
        *(LoadProbeFinished(u, AttemptResult.OK, MS, {"inflight": float(i)}) for i, u in enumerate(asked))
    )
    assert desk.sends["r1"][0][0].id == asked[0]


def test_does_not_wait_for_a_lost_report() -> None:
    desk = probing()
    desk.give(arrival(1, desk.now))
    desk.advance(20 * MS)
    assert len(desk.sends["r1"]) == 1


def test_refuses_when_all_asked_upstreams_would_answer_late() -> None:
    desk = probing()
    asked = asked_for(desk.give(arrival(1, desk.now)))
    desk.now += MS
    others = asked_for(desk.give(*reports(asked, 500.0)))
    desk.give(*reports(others, 500.0))
    assert desk.answer["r1"] == "refused"


def test_asks_others_before_it_waits_behind_work() -> None:
    # Four of five busy upstreams say nothing of the fifth: a third of all requests met with that.
    desk = probing(servers=8)
    first = asked_for(desk.give(arrival(1, desk.now)))
    desk.now += MS
    others = asked_for(desk.give(*reports(first, 1.0)))
    assert others and not set(others) & set(first) and "r1" not in desk.sends
    desk.now += MS
    assert not asked_for(desk.give(*reports(others[1:], 1.0), *reports(others[:1], 0.0)))
    assert desk.sends["r1"][0][0].id == others[0]


def test_asks_others_once_and_then_takes_the_lightest_of_all() -> None:
    desk = probing(servers=8)
    first = asked_for(desk.give(arrival(1, desk.now)))
    desk.now += MS
    others = asked_for(desk.give(*reports(first[1:], 2.0), *reports(first[:1], 1.0)))
    desk.now += MS
    assert not asked_for(desk.give(*reports(others, 2.0)))
    assert desk.sends["r1"][0][0].id == first[0]


def test_a_second_question_that_is_lost_holds_nobody_up() -> None:
    desk = probing(servers=8)
    first = asked_for(desk.give(arrival(1, desk.now)))
    desk.now += MS
    assert asked_for(desk.give(*reports(first, 1.0)))
    desk.advance(20 * MS)
    assert len(desk.sends["r1"]) == 1


@pytest.mark.parametrize(("servers", "inflight"), [(8, 0.0), (3, 1.0)])
def test_asks_nobody_else_where_one_is_idle_or_all_were_asked(servers: int, inflight: float) -> None:
    desk = probing(servers=servers)
    desk.balancer.rng.seed(3)
    for number in range(6):  # until one has asked all there are
        first = asked_for(desk.give(arrival(number, desk.now)))
        desk.now += MS
        others = asked_for(desk.give(*reports(first, inflight)))
        if servers == 8 or len(set(first)) == servers:
            assert not others
        desk.give(*reports(others, inflight))
        desk.finish(f"r{number}")


def test_an_idle_upstream_is_never_too_slow_to_try() -> None:
    # Guards against refusing on a quiet day because one heavy request made an upstream look slow.
    desk = probing(servers=1)
    desk.balancer.registry.upstreams[1].service_time_factor = 9.0
    desk.give(arrival(1, desk.now, wait_ns=100 * MS))
    desk.give(LoadProbeFinished(1, AttemptResult.OK, MS, {"inflight": 0.0}))
    assert len(desk.sends["r1"]) == 1


def test_dear_or_blind_probes_are_not_used() -> None:
    limits = Limits(max_attempts=3, load_probes=True)
    dear = settings(limits=limits, load_report_fields=("inflight",), prices=Prices(probe=0.05))
    for config in (dear, settings(limits=limits, load_report_fields=("util",))):
        desk = Desk(config)
        desk.give(arrival(1, desk.now))
        assert "r1" in desk.sends and not of(ProbeLoad, desk.log)


def test_what_stands_still_together_is_one_strike() -> None:
    # Guards against a pause of one upstream, seen by all its requests, barring it for seconds.
    desk = Desk(servers=1)
    for i in range(6):
        desk.give(arrival(i, desk.now, wait_ns=100 * MS))
    desk.advance(150 * MS)
    server = desk.balancer.registry.upstreams[1]
    assert server.consecutive_ejections <= 2


def test_an_attempt_is_waited_for_past_the_aim() -> None:
    # Refused at the aim, a fifth of all clients asked once more for work that their upstreams were doing.
    desk = Desk(settings(limits=Limits(may_cancel=True)))
    desk.give(arrival(1, desk.now, READ, wait_ns=READ.latency_objective_ns + 200 * MS))
    desk.advance(READ.latency_objective_ns + 100 * MS)
    assert desk.out() == [("r1", 0)] and not desk.answer
    desk.finish("r1")
    assert desk.answer == {"r1": "served"}


def home_of(me: int, proxies: int, listed: list[Endpoint]) -> set[int]:
    b = Balancer(settings(replica=me, replica_count=proxies), 1, START)
    b.handle(START, [EndpointUpdate(EndpointUpdateKind.SNAPSHOT, listed)])
    return {s.id for s in b.registry.main.subset.order[: b.registry.main.subset.size]}


def test_every_upstream_is_in_some_home() -> None:
    assert set().union(*(home_of(me, 10, upstreams(100)) for me in range(10))) == set(range(1, 101))


@pytest.mark.parametrize(("proxies", "mean"), [(3, 10), (20, 9), (176, 4)])
def test_homes_are_shared_by_few_proxies(proxies: int, mean: int) -> None:
    # Incident ib66e0d: in everybody's home an upstream holds what nobody's own count shows.
    homes = [home_of(me, proxies, upstreams(30)) for me in range(proxies)]
    sharers = [sum(number in home for home in homes) for number in range(1, 31)]
    assert min(map(len, homes)) >= 4
    assert mean <= sum(map(len, homes)) / proxies <= 1.4 * mean
    assert max(sharers) <= 2 * min(sharers)


def test_what_comes_or_goes_moves_no_other_upstream() -> None:
    # Homes were stretches of one ring by position: where six in ten of sixty upstreams were replaced within
    # seconds, each change moved four times as many as it had to.
    listed, moved = upstreams(60), 0
    homes = [home_of(me, 40, listed) for me in range(40)]
    for change in range(36):
        listed = listed[1:] + upstreams(1, 100 + change)
        new = [home_of(me, 40, listed) for me in range(40)]
        moved += sum(len(b - a) for a, b in zip(homes, new, strict=True))
        homes = new
    assert moved / 36 <= 8  # six have the new one in their home; the least homes fill up


def test_a_limit_does_not_run_away_before_the_first_answers() -> None:
    # Incident i4eb9e9: the line waited at the start, each limit looked good before its requests were done.
    desk = Desk(settings(replica_count=20))
    for i in range(300):
        desk.give(arrival(i, desk.now))
        desk.now += MS // 10
    assert len(desk.out()) <= 3


def test_all_proxies_together_start_with_a_few_requests_for_each_upstream() -> None:
    # Incident i9559ec: two requests a proxy, of 279 proxies, choked 42 upstreams in their first seconds.
    for proxies in (1, 10, 100, 400):
        desk = Desk(settings(replica_count=proxies), servers=40)
        desk.give(*(arrival(i, desk.now) for i in range(400)))
        assert len(desk.out()) * proxies / 40 <= 8 + proxies / 40


def feed(desk: Desk, took_ns: int, count: int = 40) -> None:
    """So many requests, one after another, that each take this long."""
    for i in range(count):
        ident = f"{desk.now}-{i}"
        desk.give(arrival(ident, desk.now))
        desk.advance(took_ns)
        if f"r{ident}" in desk.sends and (f"r{ident}", 0) in desk.out():
            desk.finish(f"r{ident}", number=0)


def test_slow_answers_narrow_the_window_and_quick_ones_bring_it_back() -> None:
    desk = Desk(settings(replica_count=10))
    start = desk.balancer.state.concurrency.window
    feed(desk, 280 * MS)
    narrow = desk.balancer.state.concurrency.window
    feed(desk, 20 * MS, 200)
    assert narrow < start and narrow < desk.balancer.state.concurrency.window


def test_lost_answers_do_not_bring_the_rate_down() -> None:
    # Bergen's lost-answer days: R went down for ever though the answers that came were quick.
    desk = Desk(settings(replica_count=10, limits=Limits(max_attempts=1)))
    for i in range(400):
        desk.give(arrival(i, desk.now, PAY))
        desk.advance(50 * MS)
        for request, number in desk.out():
            if int(request.removeprefix("r")) % 5:
                desk.finish(request, number=number)
    assert desk.balancer.state.rate.rate_per_s > 50


def test_what_stands_still_leaves_room_but_not_the_whole_window() -> None:
    # One silent upstream must not stop all others; a fleet of slow ones must not let the window leak.
    for stress, more in ((1.0, 1), (0.1, 2)):
        desk = Desk(settings(replica_count=16), servers=4)  # a window of two
        desk.give(*(arrival(i, desk.now) for i in range(10)))
        assert len(desk.out()) == 2
        desk.balancer.state.overdue_attempts, desk.balancer.state.concurrency.latency_ratio = 2, stress
        desk.give()
        assert len(desk.out()) == 2 + more


def test_a_class_with_much_time_keeps_the_line_short_for_one_with_little() -> None:
    # Incident i31aba8: requests with two seconds to spare filled the line, and quick ones never got in.
    slow = RequestClass("slow", Idempotency.IDEMPOTENT, latency_objective_ns=20 * SECOND)
    desk = Desk(settings(classes={"slow": slow, "read": READ}, replica_count=20), servers=1)
    for i in range(200):
        desk.give(arrival(i, desk.now, slow, wait_ns=20 * SECOND))
        desk.advance(10 * MS)
        for request, number in desk.out():
            if desk.now - desk.sends[request][number][1] >= 50 * MS:
                desk.finish(request, number=number)
    assert len(desk.balancer.registry.main.queue) < 20 and "refused" in desk.answer.values()


def test_the_first_answers_count_more() -> None:
    # Incident i530c5f: with two requests a second, what a request takes was known only after many seconds.
    desk = Desk()
    for i in range(3):
        desk.give(arrival(i, desk.now))
        desk.now += 100 * MS
        desk.finish(f"r{i}")
    assert abs(desk.balancer.state.concurrency.mean_service_time_ns - 100 * MS) < 10 * MS


def test_a_tenant_over_its_share_is_found_out() -> None:
    desk = Desk(settings(replica_count=20), servers=1)
    for i in range(600):
        desk.give(
            *(arrival(f"{i}-{j}", desk.now, tenant="birch" if i % 10 == j == 0 else "ash") for j in range(3))
        )
        desk.advance(5 * MS)
        for request, number in desk.out():
            if desk.now - desk.sends[request][number][1] >= 50 * MS:
                desk.finish(request, number=number)
    assert (
        desk.balancer.state.tenants.banks["ash"].over_share
        and not desk.balancer.state.tenants.banks["birch"].over_share
    )


@pytest.mark.parametrize(("waited_ms", "answer"), [(100, None), (290, "refused")])
def test_what_waited_too_long_unseen_is_refused_at_once(waited_ms: int, answer: str | None) -> None:
    desk = Desk()
    asked = desk.now - waited_ms * MS
    gone_by = desk.give(arrival(1, asked, wait_ns=500 * MS)._replace(received_ns=asked))
    assert desk.answer.get("r1") == answer and len(desk.sends) == (answer is None)
    assert all(a.retry_after_ns > 0 for a in of(Reject, gone_by) if isinstance(a, Reject))


def test_a_late_proxy_does_not_hold_its_own_lateness_against_an_upstream() -> None:
    for step_ns, barred in ((5 * MS, 1), (120 * MS, 0)):  # in time, and on one turn that comes late
        desk = Desk()
        desk.give(arrival(1, desk.now))
        desk.advance(120 * MS, step_ns)
        assert sum(s.ejected_until_ns > desk.now for s in desk.balancer.registry.upstreams.values()) == barred


def test_client_gone_ends_the_request() -> None:
    desk = Desk()
    desk.give(
        arrival(1, desk.now),
        ClientDisconnected("r1"),
        ClientDisconnected("r1"),
        ClientDisconnected("unknown"),
    )
    desk.advance(600 * MS)
    assert desk.answer["r1"] == "gone"


def test_an_answer_that_is_passed_on_frees_its_place_and_is_never_given_up() -> None:
    # Slow readers would fill the window, and every long answer would pass for a slow upstream.
    desk = Desk(settings(replica_count=16), servers=4)  # a window of two
    desk.give(*(arrival(i, desk.now) for i in range(3)))
    assert len(desk.balancer.requests) == 3 and desk.balancer.state.attempts_in_flight == 2
    first = next(iter(desk.balancer.requests.values()))
    server = first.attempts[0].upstream
    inflight = server.in_flight
    desk.give(ResponseStarted(first.id, 0, server.id, 20 * MS))
    assert desk.balancer.state.attempts_in_flight == 2  # the third has its place
    assert server.in_flight <= inflight
    good, stress = desk.balancer.state.rate.on_time, desk.balancer.state.concurrency.latency_ratio
    assert good == 1
    desk.advance(2 * SECOND)  # past its deadline
    assert first.id not in desk.answer and not first.finished
    desk.give(AttemptFinished(first.id, 0, server.id, AttemptResult.OK, 3 * SECOND, True))
    assert first.id not in desk.balancer.requests and desk.balancer.state.concurrency.latency_ratio <= stress


@pytest.mark.parametrize(
    ("result", "bad"), [(AttemptResult.RESET, 1), (AttemptResult.TIMEOUT, 1), (AttemptResult.CANCELLED, 0)]
)
def test_a_break_behind_the_beginning_is_not_sent_again(result: AttemptResult, bad: int) -> None:
    desk = Desk(settings(limits=Limits(max_attempts=3)), servers=4)
    desk.give(arrival(1, desk.now))
    r = desk.balancer.requests["r1"]
    server = r.attempts[0].upstream
    desk.give(ResponseStarted("r1", 0, server.id, 20 * MS))
    desk.give(ResponseStarted("r1", 0, server.id, 20 * MS))  # told twice: counted once
    assert (server.in_flight, desk.balancer.state.attempts_in_flight) == (0, 0)
    was = desk.balancer.state.rate.late_or_failed
    desk.give(AttemptFinished("r1", 0, server.id, result, SECOND, True))
    assert (
        server.in_flight,
        desk.balancer.state.attempts_in_flight,
        desk.balancer.state.rate.late_or_failed - was,
    ) == (0, 0, bad)
    assert len(r.attempts) == 1 and not desk.balancer.requests and not server.ejected_until_ns


def coming(desk: Desk) -> tuple[RequestArrived, int]:
    """A request whose body comes, sent; and the upstream it goes to."""
    came = arrival(1, desk.now)._replace(body_pending=True)
    sends = of(StartAttempt, desk.give(came))
    assert [(s.request, s.timeout_ns) for s in sends] == [("r1", 0)]
    return came, sends[0].upstream


def test_while_its_body_comes_no_time_runs() -> None:
    desk = Desk(servers=1)
    came, upstream = coming(desk)
    server = desk.balancer.registry.upstreams[upstream]
    desk.advance(20 * SECOND)
    assert "r1" not in desk.answer and server.consecutive_ejections == 0
    desk.give(BodyReceived("r1", desk.now + 300 * MS))
    assert desk.balancer.requests["r1"].attempts[0].sent_ns == desk.now  # the upstream begins only now
    desk.advance(200 * MS)
    assert server.consecutive_ejections  # and is looked at as any other
    desk.advance(200 * MS)
    assert desk.answer["r1"] in ("refused", "failed")


@pytest.mark.parametrize(("spent", "sends"), [(True, 1), (False, 2)])
def test_what_has_lost_its_body_is_refused_and_not_sent_again(spent: bool, sends: int) -> None:
    desk = Desk(settings(limits=Limits(max_attempts=3)))
    coming(desk)
    desk.give(desk.result("r1", 0, AttemptResult.CONNECT_FAILED)._replace(body_consumed=spent))
    desk.advance(50 * MS)
    assert len(desk.sends["r1"]) == sends
    assert desk.answer.get("r1") == ("refused" if spent else None)


def test_late_and_unknown_outcomes_are_harmless() -> None:
    desk = Desk()
    desk.give(arrival(1, desk.now))
    late = desk.result("r1", 0, AttemptResult.OK)
    desk.give(late)
    desk.balancer.handle(desk.now, [late, late._replace(request="unknown"), late._replace(upstream=99)])


def test_ask_mode_subscribes_and_backs_off() -> None:
    desk = Desk(settings(discovery_push=False))
    assert not of(Subscribe, desk.log)
    desk.advance(5 * SECOND)
    assert len(of(Subscribe, desk.log)) == 1
    gaps, last = [], desk.now
    for _ in range(4):
        desk.give(EndpointUpdate(EndpointUpdateKind.FAILED))
        before = len(of(Subscribe, desk.log))
        while len(of(Subscribe, desk.log)) == before:
            desk.advance(50 * MS)
            assert desk.now - last < 20 * SECOND
        gaps.append(desk.now - last)
        last = desk.now
    assert gaps[0] < gaps[2] and max(gaps) <= desk.config.rules.notification_deadline_ns


def test_spread_of_first_calls() -> None:
    delays = set()
    for seed in range(10):
        b = Balancer(settings(discovery_push=False), seed, START)
        delays |= {a.delay_ns // (50 * MS) for a in b.handle(START, []) if isinstance(a, SetTimer)}
    assert len(delays) > 5


def test_push_mode_never_calls_discovery() -> None:
    desk = Desk()
    desk.advance(5 * SECOND)
    assert not of(Subscribe, desk.log)


def test_no_tenants_and_unknown_class_work() -> None:
    desk = Desk(settings(tenants={}))
    desk.give(arrival(1, desk.now, tenant=""))
    desk.finish("r1")
    b = Balancer(Settings(), 1, START)
    b.handle(
        START,
        [
            EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(2)),
            RequestArrived("x", "never-named", "nobody", START + SECOND),
        ],
    )


def test_retry_after_is_jittered() -> None:
    desk = Desk(servers=0)
    desk.give(*(arrival(i, desk.now) for i in range(30)))
    desk.advance(600 * MS)
    told = {a.retry_after_ns for a in desk.log if isinstance(a, Reject)}
    assert len(told) > 20


RESULTS = [AttemptResult.OK] * 6 + [r for r in AttemptResult if r is not AttemptResult.TIMEOUT]


@hyp(derandomize=True, deadline=None, max_examples=120)
@given(st.integers(0, 10**6), st.booleans(), st.booleans(), st.integers(1, 9))
def test_random_days_keep_the_rules(seed: int, copies: bool, push: bool, servers: int) -> None:
    rng = random.Random(seed)
    limits = Limits(
        max_attempts=rng.choice([1, 2, 3, 5]),
        hedging=copies,
        may_cancel=rng.random() < 0.7,
        retry_after=True,
        load_probes=True,
        peer_messages=True,
    )
    desk = Desk(
        settings(limits=limits, discovery_push=push, replica_count=rng.choice([1, 3, 40])), seed, servers
    )
    pool = places(servers)
    desk.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, pool))
    for number in range(rng.randint(5, 120)):
        for _ in range(rng.choice([0, 1, 1, 2, 12])):
            cls = rng.choice([READ, PAY, CELL, ANY, ROW, ROW, WEST, BIG])
            ident = f"{number}-{rng.random()}"
            came = arrival(
                ident,
                desk.now,
                cls,
                rng.choice(["ash", "birch"]),
                rng.choice([2, 40, 300, 900]) * MS,
                rng.random() < 0.2,
                rng.choice(["", "k1", "k2"]),
            )
            desk.give(came._replace(body_pending=rng.random() < 0.2))
        for request, attempt in desk.out():
            if rng.random() < 0.1 and request not in desk.answer and request not in desk.begun:
                upstream, sent = desk.sends[request][attempt]
                desk.give(ResponseStarted(request, attempt, upstream.id, desk.now - sent))
            elif request in desk.coming and request not in desk.answer and rng.random() < 0.3:
                desk.give(BodyReceived(request, desk.now + rng.choice([2, 40, 300]) * MS))
            elif request in desk.coming and rng.random() < 0.3:
                desk.give(
                    desk.result(request, attempt, AttemptResult.CONNECT_FAILED)._replace(body_consumed=True)
                )
            elif rng.random() < 0.4:
                desk.give(desk.result(request, attempt, rng.choice(RESULTS)))
        if rng.random() < 0.1:
            open_ones = [r for r in desk.cls if r not in desk.answer]
            if open_ones:
                desk.give(ClientDisconnected(rng.choice(open_ones)))
        if rng.random() < 0.1:
            i = rng.randrange(len(pool))
            started = desk.now if rng.random() < 0.5 else pool[i].started_ns
            pool[i] = pool[i]._replace(state=rng.choice(list(EndpointState)), started_ns=started)
            kind = rng.choice(
                [EndpointUpdateKind.DELTA, EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.CACHED]
            )
            desk.give(EndpointUpdate(kind, [pool[i]] if kind is EndpointUpdateKind.DELTA else pool))
        if not push and rng.random() < 0.05:
            desk.give(EndpointUpdate(EndpointUpdateKind.FAILED))
        desk.advance(rng.choice([0, 1, 10, 50]) * MS)
    desk.advance(2 * SECOND)
    while out := desk.out():  # what is passed on, or is coming, may take for ever
        request, attempt = out[0]
        assert request in desk.begun or request in desk.coming
        desk.give(desk.result(request, attempt, rng.choice(RESULTS)))
    assert set(desk.answer) == set(desk.cls)
    assert not desk.balancer.state.attempts_in_flight and not desk.balancer.requests


# ---- placement (rule 6) --------------------------------------------------------------------------------


@pytest.mark.parametrize(("cls", "ids"), [(WEST, {1, 3, 5}), (BIG, {1, 4, 5})])
def test_a_restricted_class_goes_only_where_it_may(cls: RequestClass, ids: set[int]) -> None:
    desk = Desk(servers=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, places(6)))
    for i in range(60):
        desk.give(arrival(i, desk.now, cls))
        desk.advance(5 * MS)
        for request, number in desk.out():
            desk.finish(request, number=number)
    assert {u.id for sent in desk.sends.values() for u, _ in sent} == ids


def test_a_restricted_class_waits_and_is_refused_while_others_go_on() -> None:
    # The only allowed upstreams fail: nothing of that class may go elsewhere, nor hold up what can.
    desk = Desk(servers=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, places(6)))
    for i in range(40):
        desk.give(arrival(f"w{i}", desk.now, WEST), arrival(f"a{i}", desk.now, READ))
        desk.advance(10 * MS)
        for request, number in desk.out():
            west = desk.sends[request][number][0].zone == "west"
            desk.finish(request, AttemptResult.CONNECT_FAILED if west else AttemptResult.OK, number)
    desk.advance(SECOND)
    assert all(desk.answer[f"rw{i}"] == "refused" for i in range(40))
    assert sum(desk.answer[f"ra{i}"] == "served" for i in range(40)) > 30


def test_no_allowed_upstream_listed_is_refused_at_once() -> None:
    desk = Desk()  # all in the zone east
    tokens = desk.balancer.state.tenants.banks["ash"].balance
    desk.give(arrival(1, desk.now, WEST))
    assert desk.answer["r1"] == "refused" and desk.balancer.state.tenants.banks["ash"].balance == tokens


# ---- order (rule 5) ------------------------------------------------------------------------------------


def test_one_key_runs_one_at_a_time_and_other_keys_go_on() -> None:
    desk = Desk()
    desk.give(
        arrival(1, desk.now, ROW, key="k"),
        arrival(2, desk.now, ROW, key="k"),
        arrival(3, desk.now, ROW, key="other"),
        arrival(4, desk.now, ROW),
    )
    for number in (1, 3, 4):
        desk.advance(10 * MS)
        desk.finish(f"r{number}")
    desk.advance(10 * MS)
    assert list(desk.sends) == ["r1", "r3", "r4", "r2"] or list(desk.sends) == ["r1", "r3", "r2", "r4"]


@pytest.mark.parametrize(
    ("result", "rests"),
    [
        (AttemptResult.OK, False),
        (AttemptResult.ERROR, False),
        (AttemptResult.RESET, True),
        (AttemptResult.TIMEOUT, True),
    ],
)
def test_a_key_rests_only_after_what_may_still_run(result: AttemptResult, rests: bool) -> None:
    limits = Limits(max_attempts=1)
    desk = Desk(settings(limits=limits))
    desk.give(arrival(1, desk.now, ROW, key="k"), arrival(2, desk.now, ROW, key="k"))
    desk.now += MS
    desk.finish("r1", result)
    desk.advance(20 * MS)
    assert ("r2" not in desk.sends) == rests
    desk.advance(100 * MS)
    assert "r2" in desk.sends


def test_a_client_gone_with_an_attempt_out_still_holds_its_turn() -> None:
    desk = Desk(settings(limits=Limits(max_attempts=2)))
    desk.give(arrival(1, desk.now, ROW, key="k"), arrival(2, desk.now, ROW, key="k"))
    desk.give(ClientDisconnected("r1"))
    desk.advance(100 * MS)
    assert "r2" not in desk.sends
    desk.finish("r1", AttemptResult.ERROR)
    desk.advance(10 * MS)
    assert "r2" in desk.sends


def test_who_waits_for_a_turn_spends_no_token_and_is_answered() -> None:
    desk = Desk()
    desk.give(arrival(0, desk.now, ROW, key="k"))
    before = desk.balancer.state.tenants.banks["ash"].balance
    desk.give(*(arrival(i, desk.now, ROW, key="k") for i in range(1, 20)))
    assert desk.balancer.state.tenants.banks["ash"].balance == before
    desk.advance(600 * MS)
    assert len(desk.answer) == 20


def test_nothing_is_kept_of_a_key_after_its_last_use() -> None:
    desk = Desk()
    for i in range(50):
        desk.give(arrival(i, desk.now, ROW, key=f"k{i}"))
        desk.advance(10 * MS)
        if i % 2 and f"r{i}" in desk.sends:
            desk.finish(f"r{i}")
    desk.advance(2 * SECOND)
    assert not desk.balancer.ordering.queues and not desk.balancer.requests


# ---- cold upstreams (rule 4), over several proxies -----------------------------------------------------


def test_proxies_that_hear_of_a_start_together_do_not_push_it_over() -> None:
    # Incident i604f4b: each kept its gap, but all sent their first request the moment they heard of it.
    desks = [Desk(settings(replica=me, replica_count=40), seed=me, servers=4) for me in range(40)]
    for desk in desks:
        for i in range(40):  # what a warm upstream bears is seen first: 50 ms a request
            desk.give(arrival(f"w{i}", desk.now))
            desk.advance(50 * MS)
            for request, number in desk.out():
                desk.finish(request, number=number)
    started = desks[0].now
    for desk in desks:
        desk.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(4) + upstreams(1, 9, started)))
    waits = {desk.balancer.registry.upstreams[9].ejected_until_ns - started for desk in desks}
    assert len(waits) == len(desks) and max(waits) > 100 * MS
    for i in range(80):
        for desk in desks:
            desk.give(*(arrival(f"c{i}-{j}", desk.now) for j in range(2)))
            desk.advance(50 * MS)
            for request, number in desk.out():
                desk.finish(request, number=number)
    sends = sorted(t for desk in desks for sent in desk.sends.values() for u, t in sent if u.id == 9)
    assert sum(t < started + 3 * SECOND for t in sends) > 5
    check_cold_budget(sends, started, desks[0].config.rules, 40 * 20 / 4)


# ---- the checker itself --------------------------------------------------------------------------------


def breach(desk: Desk, *actions: Action) -> None:
    with pytest.raises(AssertionError):
        for action in actions:
            desk._action(action)


def test_the_checker_sees_a_breach_of_each_rule() -> None:
    def fresh(*events: Event) -> Desk:
        desk = Desk(settings(limits=Limits(max_attempts=3)), servers=0)
        for e in (EndpointUpdate(EndpointUpdateKind.SNAPSHOT, places(6)), *events):
            desk._event(e)
        return desk

    one, pay = arrival(1, START), arrival(1, START, PAY)
    breach(fresh(one), Reject("r1"), StartAttempt("r1", 1))  # 1: sent after its end
    breach(fresh(one), Reject("r1"), Fail("r1"))  # 1: two answers
    breach(fresh(one), StartAttempt("r1", 1), StartAttempt("r1", 2))  # 2: two out, copies not allowed
    ran = fresh(pay)
    ran._action(StartAttempt("r1", 1))
    ran.results["r1", 0] = AttemptResult.ERROR
    breach(ran, Reject("r1"))  # 2: refused though it may have run
    breach(ran, StartAttempt("r1", 2))  # 2: unsafe and sent again
    drains = fresh(
        one, EndpointUpdate(EndpointUpdateKind.DELTA, [places(1)[0]._replace(state=EndpointState.DRAINING)])
    )
    breach(drains, StartAttempt("r1", 1))  # 3
    with pytest.raises(AssertionError):  # 4
        check_cold_budget([START + i * MS for i in range(60)], START, Rules(slow_start_ns=SECOND), 10.0)
    row = [arrival(i, START, ROW, key="k") for i in (1, 2)]
    breach(fresh(*row), StartAttempt("r2", 1))  # 5: before its turn
    rests = fresh(*row)
    rests._action(StartAttempt("r1", 1))
    rests._event(rests.result("r1", 0, AttemptResult.RESET))
    rests._action(Fail("r1"))
    breach(rests, StartAttempt("r2", 1))  # 5: its key rests
    breach(fresh(arrival(1, START, WEST)), StartAttempt("r1", 2))  # 6: zone
    breach(fresh(arrival(1, START, BIG)), StartAttempt("r1", 2))  # 6: kind


def looking(servers: int = 6) -> Desk:
    """A desk where upstreams are asked for their load before each send."""
    limits = Limits(max_attempts=3, load_probes=True, may_cancel=True, retry_after=True)
    return Desk(settings(limits=limits, load_report_fields=("inflight",)), servers=servers)


def test_one_question_for_load_is_out_at_each_upstream_and_serves_all_who_wait() -> None:
    # Each request asked for itself: in half a second 160 connections were open, and none to spare.
    desk = looking(3)
    actions = desk.give(*(arrival(i, desk.now) for i in range(20)))
    asked = [a.upstream for a in actions if isinstance(a, ProbeLoad)]
    assert len(asked) == len(set(asked)) <= 3 and not desk.sends
    desk.now += MS
    desk.give(*(LoadProbeFinished(u, AttemptResult.OK, MS, {"inflight": 0.0}) for u in asked))
    assert len(desk.sends) > 1 and not desk.answer
    # Who does not answer is not asked again meanwhile, nor waited for; once it has, it is.
    desk = looking(1)
    assert len(of(ProbeLoad, desk.give(arrival(1, desk.now)))) == 1
    desk.advance(20 * MS)
    assert "r1" in desk.sends
    assert not of(ProbeLoad, desk.give(arrival(2, desk.now))) and "r2" in desk.sends
    desk.give(LoadProbeFinished(1, AttemptResult.TIMEOUT, 20 * MS))
    assert len(of(ProbeLoad, desk.give(arrival(3, desk.now)))) == 1


def test_what_is_sent_while_an_answer_about_load_is_out_counts_on_top_of_it() -> None:
    desk = looking(1)
    desk.give(arrival(1, desk.now))
    desk.advance(20 * MS)  # not waited for any longer
    desk.give(arrival(2, desk.now))
    desk.give(LoadProbeFinished(1, AttemptResult.OK, 20 * MS, {"inflight": 3.0}))
    concurrency, server = desk.balancer.state.concurrency, desk.balancer.registry.upstreams[1]
    service_times = desk.balancer.state.service_times
    own = sum(
        service_times.estimate_ns(r.request_class, r.cost_hint_ns) * server.service_time_factor
        for r in desk.balancer.requests.values()
    )
    assert server.queued_work_ns(desk.now, 0) == pytest.approx(
        3 * concurrency.mean_service_time_ns * server.service_time_factor + own
    )


def test_waiting_for_an_answer_about_load_is_no_jam() -> None:
    # Requests of tenants over their share were refused as soon as one other waited for an answer.
    desk = looking()
    desk.balancer.state.rate.goodput_per_s = 1.0
    for t in desk.balancer.state.tenants.banks.values():
        t.over_share = True
    desk.give(*(arrival(i, desk.now) for i in range(5)))
    assert not desk.answer


def test_what_has_gone_is_forgotten_once_nothing_is_out_there() -> None:
    desk = Desk(servers=3)
    desk.give(*(arrival(i, desk.now) for i in range(6)))
    assert desk.out()
    for first in range(10, 3000, 3):  # ever new ids, by whole lists and by changes
        gone = [
            u._replace(state=EndpointState.REMOVED)
            for u in desk.list.values()
            if u.state is not EndpointState.REMOVED
        ]
        kind = (EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.DELTA)[first % 2]
        desk.give(
            EndpointUpdate(kind, upstreams(3, first) + (gone if kind is EndpointUpdateKind.DELTA else []))
        )
    registry = desk.balancer.registry
    assert {s.id for s in registry.upstreams.values()} - {1, 2, 3} == {first, first + 1, first + 2}
    for request, number in desk.out():
        desk.finish(request, number=number)
    assert set(registry.upstreams) == {first, first + 1, first + 2}
    assert desk.balancer.state.attempts_in_flight == 0 and not desk.balancer.requests


def test_a_wild_guess_of_the_work_keeps_nothing() -> None:
    desk = Desk()
    for i in range(50):
        desk.give(arrival(i, desk.now)._replace(cost_hint_ns=10**21))
        desk.finish(f"r{i}")
    desk.advance(30 * SECOND, SECOND // 10)
    assert len(desk.balancer.timers.calls) < 5 and not desk.balancer.requests


def drive(desk: Desk, count: int, how: Callable[[int, int], AttemptResult], name: str = "") -> Counter[int]:
    """So many rounds of eight requests; `how` tells by upstream and request how an attempt ends. Returns the
    attempts at each upstream."""
    seen: Counter[int] = Counter()
    for i in range(count):
        desk.give(*(arrival(f"{name}{i}-{j}", desk.now) for j in range(8)))
        while desk.out():
            desk.advance(2 * MS, MS)
            for request, number in desk.out():
                server = desk.sends[request][number][0].id
                seen[server] += 1
                desk.finish(request, how(server, sum(seen.values())), number)
    return seen


@pytest.mark.parametrize("faulty", [1, 6])
def test_an_upstream_that_only_fails_is_left_alone_but_not_all_of_them(faulty: int) -> None:
    # It answers at once and so seems the lightest of all.
    desk = Desk(servers=6)
    drive(desk, 300, lambda server, n: AttemptResult.ERROR if server <= faulty else AttemptResult.OK)
    strikes = [s.id for s in desk.balancer.registry.upstreams.values() if s.consecutive_ejections]
    assert strikes == ([1] if faulty == 1 else [])


def test_breaks_that_all_upstreams_share_leave_none_alone() -> None:
    # With one attempt in ten broken anywhere, half the upstreams stood barred and the others were crowded.
    desk = Desk(servers=6)
    drive(desk, 200, lambda server, n: AttemptResult.RESET if n % 8 == 0 else AttemptResult.OK)
    assert not [s for s in desk.balancer.registry.upstreams.values() if s.ejected_until_ns > desk.now]
    # But where all break at one upstream, it has failed.
    drive(desk, 200, lambda server, n: AttemptResult.RESET if server == 1 else AttemptResult.OK, "more")
    assert desk.balancer.registry.upstreams[1].ejected_until_ns > desk.now


def test_the_rate_comes_back_soon_where_nothing_is_crowded() -> None:
    # After a bad first half second R let through half of what came, for five seconds.
    desk = Desk(servers=6)
    desk.balancer.state.rate.rate_per_s = 100.0
    for i in range(1500):
        desk.give(arrival(i, desk.now))
        desk.advance(2 * MS, MS)
        for request, number in desk.out():
            desk.finish(request, number=number)
    assert desk.balancer.state.rate.rate_per_s > 400


def test_what_was_out_when_an_upstream_stood_still_is_one_strike_and_the_next_attempt_another() -> None:
    desk = Desk(servers=1)
    registry = desk.balancer.registry
    (server,) = registry.upstreams.values()
    sent = desk.now
    for late_ms in (100, 300, 500):  # each after the time for which the one before it had it left alone
        desk.balancer.ejection.eject(Attempt(server, sent, 1.0, 1.0), sent + late_ms * MS, 10 * MS)
    assert server.consecutive_ejections == 1
    desk.balancer.ejection.eject(Attempt(server, sent + 600 * MS, 1.0, 1.0), sent + 900 * MS, 10 * MS)
    assert server.consecutive_ejections == 2


@pytest.mark.parametrize("answers", [4, 400])
def test_a_crowd_is_still_one_after_seconds_however_many_answers_come(answers: int) -> None:
    concurrency = Desk().balancer.state.concurrency
    for second, stress in enumerate([0.15] * 10 + [0.7] * 5):
        for i in range(answers):
            concurrency.observe(stress, False, 6, START + second * SECOND + i * SECOND // answers)
    assert concurrency.is_congested() and concurrency.congestion_threshold < 0.55
    assert abs(concurrency.latency_ratio - 0.7) < 0.25


@pytest.mark.parametrize(("stress", "kept"), [(0.1, True), (0.9, False)])
def test_a_rush_that_was_turned_away_brings_the_rate_down_only_where_upstreams_are_slow(
    stress: float, kept: bool
) -> None:
    # A start in which nearly all were refused left R at what little was sent, for seconds.
    desk = Desk()
    rate = desk.balancer.state.rate
    rate.on_time, rate.unplaceable = 30, 200
    rate.adjust(desk.now + SECOND // 2, stress - 0.35)
    assert (rate.rate_per_s > 5000) is kept


def test_a_start_in_the_future_does_not_break_the_pace_of_a_cold_upstream() -> None:
    desk = Desk(servers=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, upstreams(1, started_ns=desk.now + 1000 * SECOND)))
    desk.advance(10 * SECOND, SECOND // 10)
    desk.give(arrival(1, desk.now))
    assert "r1" in desk.sends
