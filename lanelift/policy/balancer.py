"""The balancer: what each event means for the requests that are open.

A request passes its tenant's Throttle, may wait in its pool's line, and goes to the lightest upstream drawn.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from lanelift.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    ProbeLoad,
    Reject,
    SetTimer,
    StartAttempt,
    Subscribe,
)
from lanelift.policy.events import (
    NOT_EXECUTED,
    AttemptFinished,
    AttemptResult,
    BodyReceived,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadProbeFinished,
    PeerMessageReceived,
    RequestArrived,
    ResponseStarted,
    TenantUpdate,
    TimerFired,
)
from lanelift.policy.fleet import LOOKS, Fleet, Pool
from lanelift.policy.learned import Attempt, Crowding, Server
from lanelift.policy.request import Request, Turn
from lanelift.policy.settings import Idempotency, RequestClass, Settings, Tenant
from lanelift.policy.tenancy import Tenancy
from lanelift.policy.throttle import EVIDENCE, FEEDBACK_NS, SECOND, Throttle

HOPELESS = 1.3  # of the time that its client waits: a request that takes longer alone is refused at once
LATE_PART = 0.8  # of the time to its aim: where more work than that is ahead it is refused, lest all be late
STUCK_PART = 0.25  # of the window that overdue attempts may leave free, or one
LOOK_NS, LOOK_PART = (SECOND // 333, SECOND // 100), 0.04  # of the aim: an answer that takes longer is late
MARGIN = 1.3  # times what it is thought to take, and its spread: a request that takes longer is late
OVER_PART = 0.1  # of a request's time to spare may go by in the line for a tenant over its share
LINE_PART = 0.5  # of a request's time to spare may go by in the line
EACH_PART = 0.08  # of the aim: what each request that an upstream holds is thought to take at first, at most
LATE_NS = 10_000_000  # a timer that comes so late tells of a proxy without time to look


class Balancer:
    """One proxy. Feed it events with `handle`; carry out the actions it gives, in order."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.tenancy = Tenancy(settings, self.rng, now)
        self.rate = self.tenancy.rate
        self.crowding = Crowding()
        self.fleet = Fleet(settings, self.crowding, self.rng)
        self.requests: dict[str, Request] = {}
        for cls in settings.classes.values():
            self.fleet.pool(cls)
        self.turns: dict[str, Turn] = {}
        self.due: list[tuple[int, int, Callable[..., None] | None, tuple[Any, ...]]] = []  # calls by time
        self.count = 0
        self.timer_ns = self.timer = 0  # when the timer that counts is due, and its number
        self.actions: list[Action] = []
        self.checked_ns = now
        self.out = self.stuck = 0  # own attempts in flight, and those of them that are overdue
        self.patience_ns = min((c.latency_objective_ns for c in settings.classes.values()), default=SECOND)
        self.look_ns = int(max(LOOK_NS[0], min(LOOK_NS[1], LOOK_PART * self.patience_ns)))
        self.crowding.each = min(self.crowding.each, EACH_PART * self.patience_ns)
        self.on: dict[type[Event], Callable[[Any, int], None]] = {
            RequestArrived: self._arrival,
            BodyReceived: self._came,
            ClientDisconnected: self._gone,
            ResponseStarted: self._begun,
            AttemptFinished: self._outcome,
            LoadProbeFinished: self.fleet.probed,
            PeerMessageReceived: self.fleet.told,
            EndpointUpdate: self._list,
            TenantUpdate: self._tenants,
            TimerFired: self._rang,
        }
        self.failures = 0
        self.subscribed = settings.discovery_push
        if not self.subscribed:
            self._later(
                now + int(self.rng.random() * settings.rules.notification_deadline_ns / 4), self._subscribe
            )

    @property
    def known_tenants(self) -> Mapping[str, Tenant] | None:
        """All tenants by name, once a directory has named some; None before that."""
        return self.tenancy.known

    def endpoints_out_of_rotation(self, now: int) -> int:
        """How many listed upstreams get no requests now: they drain, or are ejected for a while."""
        return self.fleet.avoided(now)

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        self.actions = []
        for e in events:
            self.on[type(e)](e, now)
        while self.due and self.due[0][0] <= now:
            _, _, act, about = heapq.heappop(self.due)
            if act is not None:
                act(*about, now)
        self._pump(now)
        if now - self.checked_ns >= FEEDBACK_NS:
            self._feedback(now)
        while self.due and self._settled(*self.due[0][3]):
            heapq.heappop(self.due)  # no wake for what is over
        if self.due and (not self.timer_ns or self.due[0][0] < self.timer_ns):
            self.timer_ns = self.due[0][0]
            self.timer += 1
            self.actions.append(SetTimer(max(1, self.timer_ns - now), str(self.timer)))
        return self.actions

    def _rang(self, e: TimerFired, now: int) -> None:
        if e.name == str(self.timer):
            self.timer_ns = 0  # by its name, not the clock: a timer may come a little early

    @staticmethod
    def _settled(r: object = None, attempt: Any = None, *_: Any) -> bool:
        return isinstance(r, Request) and (r.over or (attempt is not None and attempt.result is not None))

    def _later(self, at: int, act: Callable[..., None] | None = None, *about: Any) -> None:
        """Call this then, with what it is about and the time; without it, only be awake."""
        self.count += 1
        heapq.heappush(self.due, (at, self.count, act, about))

    def _arrival(self, e: RequestArrived, now: int) -> None:
        answer = self.tenancy.turned_away(e, now)
        if answer is not None:
            self.actions.append(answer)
            return
        throttle = self.tenancy.throttle(e.tenant, now)
        cls = self.settings.classes.get(e.class_name) or RequestClass(
            e.class_name, Idempotency.NON_IDEMPOTENT
        )
        asked = e.received_ns or now
        aim = min(asked + cls.latency_objective_ns, e.deadline_ns)
        pool = self.fleet.pool(cls)
        hint = min(e.cost_hint_ns, cls.deadline_ns)  # a wild guess must not keep its timers for years
        r = Request(
            e.request, cls, e.tenant, throttle, pool, e.deadline_ns, aim, hint, e.retry, coming=e.body_pending
        )
        self.requests[r.id] = r
        expected = self._work(r)
        if (
            self.fleet.tells
            and self.crowding.guess.seen >= EVIDENCE
            and not (cls.streaming or e.body_pending)
            and expected > HOPELESS * (e.deadline_ns - now)
        ):
            return self._refuse(r, now)  # all that its upstream does would be in vain, and hold up others
        if expected < cls.latency_objective_ns < now - asked + expected and not (
            cls.late_weight or cls.streaming
        ):
            # It waited unseen for so long, the proxy being late itself, that its answer would come too late.
            # Served in turn, all would: work on those makes the ones behind them late as well. This covers
            # any stretch in which the proxy had no time. It hurts where `expected` is far too high.
            self._refuse(r, now)
            return
        self._bound(r, now)
        if cls.ordered_by_key and e.key:
            r.turn = self.turns.setdefault(e.key, Turn(e.key))
            r.turn.waiting.append(r)
            r.turn_ns = r.turn.rest_ns
        if r.has_turn(now):
            self._offer(r, now)
        else:
            r.place = "turn"  # it holds no token meanwhile, and nobody waits behind it but its own key
            self._later(r.turn_ns, self._turn_due, r.turn)

    def _work(self, r: Request) -> float:
        return self.crowding.work(r.cls, r.hint)

    def _bound(self, r: Request, now: int) -> None:
        """How long it may wait; whatever comes, a request that waits is looked at then."""
        need = self._work(r) * (MARGIN + self.crowding.spread)
        r.give_up_ns = max(r.aim_ns - int(need), now + (r.deadline_ns - now) // 4)
        self._later(r.give_up_ns, self._give_up, r)

    def _came(self, e: BodyReceived, now: int) -> None:
        """A body is whole: what its request takes counts from now."""
        r = self.requests.get(e.request)
        if r is None or not r.coming:
            return
        r.coming = False
        r.deadline_ns, r.aim_ns = e.deadline_ns, min(now + r.cls.latency_objective_ns, e.deadline_ns)
        self._bound(r, now)
        for a in r.attempts:
            if a.result is None and not a.begun:
                a.sent_ns = now
                self._watch(r, a, now)

    def _tenants(self, e: TenantUpdate, now: int) -> None:
        """A directory's news. Who may not be served any more and has nothing out is told so."""
        about = self.tenancy.learn(e, now)
        for r in list(self.requests.values()):
            if (about is None or r.who in about) and not r.over:
                r.denied = self.tenancy.denied(r.who, r.cls.name)
                if r.denied and not r.out and not r.begun:
                    self.actions.append(Fail(r.id, r.denied))
                    self._end(r, now)

    def _offer(self, r: Request, now: int) -> None:
        # Marked retries take spare tokens only: they must not starve fresh work.
        r.place = ""
        # Nowhere listed that it may go to: said at once, without a token.
        answer = bool(r.pool.order) and (r.tenant.spare(now) if r.retry else r.tenant.offer(r, now))
        if answer is False:
            self._refuse(r, now)
        elif answer is None:
            r.place = "held"
            self._release(r.tenant, now)
        else:
            self._admit(r, now)

    def _pass_turn(self, turn: Turn, now: int) -> None:
        """Rule 5: whoever is over and has nothing out makes way for the next request of its key."""
        while turn.waiting and turn.waiting[0].over and not turn.waiting[0].out:
            turn.waiting.popleft()
            if turn.waiting:
                turn.waiting[0].turn_ns = turn.rest_ns
                self._later(turn.rest_ns, self._turn_due, turn)
        if not turn.waiting:
            self._later(turn.rest_ns, self._turn_due, turn)  # forgotten once its rest is over

    def _turn_due(self, turn: Turn, now: int) -> None:
        if turn.waiting and turn.waiting[0].place == "turn" and turn.waiting[0].has_turn(now):
            self._offer(turn.waiting[0], now)
        elif not turn.waiting and now >= turn.rest_ns:
            self.turns.pop(turn.key, None)

    def _admit(self, r: Request, now: int) -> None:
        r.place = ""
        part = OVER_PART if r.tenant.over else LINE_PART  # over-share traffic is refused first
        # A class with much time must not make the line too long for those with little.
        spare = min(r.give_up_ns - now, self.patience_ns)
        if r.pool.jammed and len(r.pool.line) * SECOND > self.rate.served * spare * part:
            self.rate.unplaced += 1  # the line is too long already: better said at once
            self._refuse(r, now)
            return
        r.pool.line.append(r)
        self._look_around(r, now)

    def _look_around(self, r: Request, now: int) -> None:
        r.place = "line"
        if self.fleet.looks:
            # Own counts say little where proxies are many: the drawn upstreams are asked, the request waits.
            # One question at a time is out at each: its answer serves all who wait for it. Where requests
            # come faster than answers, each would need a connection. Who owes one for long is passed over.
            drawn = dict.fromkeys(r.pool.draw(LOOKS, now))
            r.busy = []
            self._ask(r, [s for s in drawn if not s.asked_ns or now < s.asked_ns + self.look_ns], now)

    def _ask(self, r: Request, servers: list[Server], now: int) -> None:
        r.asked, r.asked_ns = servers, now
        for s in servers:
            if not s.asked_ns:
                s.asked_ns = now
                self.actions.append(ProbeLoad(s.id))
        self._later(now + self.look_ns, None, r)

    def _look_on(self, r: Request, busy: list[Server], now: int) -> bool:
        """All who were asked have work: before it waits behind that, a few others are asked, once."""
        others = [s for s in r.pool.order[: r.pool.width] if s not in busy and self.fleet.fit(s, now)]
        if not others:
            return False
        r.busy = busy
        self._ask(r, self.rng.sample(others, min(LOOKS, len(others))), now)
        return True

    def _outcome(self, e: AttemptFinished, now: int) -> None:
        r = self.requests.get(e.request)
        if r is None or r.attempts[e.attempt].result is not None:
            return
        a = r.attempts[e.attempt]
        a.result = e.result
        a.server.unreached = e.result is AttemptResult.CONNECT_FAILED
        r.spent = r.spent or e.body_consumed
        server = a.server  # also of one that is listed no more: counts must come out even
        if r.turn and e.result in (AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED):
            r.turn.rest_ns = now + self.settings.rules.key_cooldown_ns
        if a.begun:  # it was told then, and has its place no more
            self.rate.bad += e.result not in (AttemptResult.OK, AttemptResult.CANCELLED)
            if e.request_complete:
                self._end(r, now)
            self._forget(r, now)
            return
        if e.result is AttemptResult.OK:
            server.did(a.sent_ns, now)
            self._answered(r, a, e.duration_ns, now)
        elif e.result in (
            AttemptResult.REJECTED,
            AttemptResult.TIMEOUT,
            AttemptResult.CONNECT_FAILED,
            AttemptResult.RESET,
        ):
            if e.result is AttemptResult.REJECTED or self.crowding.crowded():
                self.crowding.feel(1.0, False, r.pool.width, now)
            self.rate.bad += 1
            busy = e.result in (AttemptResult.REJECTED, AttemptResult.TIMEOUT)
            if e.result is AttemptResult.TIMEOUT:
                self.crowding.crowd(a, e.duration_ns)
            if e.result is not AttemptResult.RESET or self.fleet.broken(server):
                self._bar(a, now, a.expected if busy else SECOND / 4)
        elif e.result is AttemptResult.ERROR:
            self.rate.good += 1
            if self.fleet.judge(server, True):
                self._bar(a, now, SECOND / 4)
        if e.result in NOT_EXECUTED or e.result is AttemptResult.ERROR:
            server.unbook(a.sent_ns, a.work)
        self._frees(a)
        if e.request_complete:
            self._end(r, now)
        elif not r.over and not r.out and not r.begun:
            self._again(r, now)
        self._forget(r, now)

    def _bar(self, a: Attempt, now: int, base: float) -> None:
        self.fleet.bar(a, now, base)
        self._later(a.server.barred_ns)

    def _begun(self, e: ResponseStarted, now: int) -> None:
        """An answer is passed on from here. How long that takes is its client's matter: the time that counts
        is over, and the place in the window is free."""
        r = self.requests.get(e.request)
        if r is None or r.begun or r.attempts[e.attempt].result is not None:
            return
        a = r.attempts[e.attempt]
        r.begun = a.begun = True
        self._answered(r, a, e.duration_ns, now)
        self._frees(a)
        self._call_off(r, but=a)

    def _gone(self, e: ClientDisconnected, now: int) -> None:
        if e.request in self.requests:
            self._end(self.requests[e.request], now)

    def _answered(self, r: Request, a: Attempt, took_ns: int, now: int) -> None:
        """Learn from an answer that took so long."""
        self.crowding.note(r.cls, r.hint, a, took_ns)
        self.crowding.feel(took_ns / r.cls.latency_objective_ns, bool(r.pool.blocked_ns), r.pool.width, now)
        late = a.sent_ns + took_ns > r.aim_ns
        self.rate.good += not late
        self.rate.bad += late  # what a crowded fleet shows first
        self.fleet.answered(a.server)

    def _frees(self, a: Attempt) -> None:
        """An attempt has its place in the window and at its upstream no more."""
        self.out -= 1
        self.stuck -= a.overdue
        a.server.inflight -= 1
        self.fleet.forget(a.server)

    def _forget(self, r: Request, now: int) -> None:
        if r.over and not r.out and r.id in self.requests:
            del self.requests[r.id]
            if r.turn:
                self._pass_turn(r.turn, now)

    def _again(self, r: Request, now: int) -> None:
        """Nothing is out and nothing was served: another attempt, or the final answer."""
        if (
            r.attempts
            and any(r.may_send(s, now, self.settings.limits) for s in r.choices() or r.pool.order[:1])
            and now < r.give_up_ns
        ):
            r.pool.line.appendleft(r)
            self._look_around(r, now)
        else:
            self._refuse(r, now)

    def _refuse(self, r: Request, now: int) -> None:
        """The final answer of a request that is not served: refused if that is true, else failed."""
        if r.denied:
            self.actions.append(Fail(r.id, r.denied))
        elif r.may_refuse():
            limits = self.settings.limits
            back = self.rng.uniform(0.25, 1.0) * min(limits.max_retry_after_ns, SECOND)
            self.actions.append(Reject(r.id, int(back) if limits.retry_after else 0))
        else:
            self.actions.append(Fail(r.id))
        self._end(r, now)

    def _end(self, r: Request, now: int) -> None:
        if r.place == "held":
            r.tenant.leave(r)
        elif r.place == "line":
            r.pool.line.remove(r)
        r.place = ""
        r.over = True
        self._call_off(r)
        self._forget(r, now)

    def _call_off(self, r: Request, but: Attempt | None = None) -> None:
        if self.settings.limits.may_cancel:
            self.actions += [
                CancelAttempt(r.id, i) for i, a in enumerate(r.attempts) if a.result is None and a is not but
            ]

    def _list(self, e: EndpointUpdate, now: int) -> None:
        if e.kind is EndpointUpdateKind.FAILED:
            # Calls are spread and backed off: discovery does not grow with the fleet.
            self.subscribed = False
            self.failures += 1
            wait = SECOND * min(8.0, 2.0 ** (self.failures - 1)) * self.rng.uniform(0.5, 1.5)
            self._later(
                now + int(min(wait, self.settings.rules.notification_deadline_ns * 0.8)), self._subscribe
            )
        else:
            self.failures = self.failures if e.kind is EndpointUpdateKind.CACHED else 0
            self.fleet.learn(e, now)

    def _subscribe(self, now: int) -> None:
        if not self.subscribed:
            self.subscribed = True
            self.actions.append(Subscribe(True))

    def _give_up(self, r: Request, now: int) -> None:
        if r.place and now >= r.give_up_ns:
            self.rate.unplaced += r.place == "line"
            self._refuse(r, now)

    def _release(self, t: Throttle, now: int) -> None:
        for r in t.released(now):
            self._admit(r, now)
        if t.held and now >= t.wake_ns:
            t.wake_ns = now + int((1 - t.credit) / t.rate * SECOND) + 1
            self._later(t.wake_ns, self._release, t)

    def _overdue(self, r: Request, a: Attempt, due_ns: int, now: int) -> None:
        """An attempt is out longer than its upstream should take: it may stand still."""
        if a.result is not None or a.begun:
            return
        if now - due_ns > LATE_NS:
            # A proxy that is late itself can't say so of an upstream: the answer may lie here unread. It
            # covers any want of time here, and hurts where a standstill of both is seen that much later.
            self._later(2 * now - due_ns, self._overdue, r, a, 2 * now - due_ns)
            return
        a.overdue = True
        self.stuck += 1
        self._bar(a, now, a.expected)
        if r.pool.line or now + a.expected > r.aim_ns:
            return
        server = r.pool.pick(now, r.choices())
        if server and r.may_send(server, now, self.settings.limits) and r.tenant.spare(now):
            self._send(r, server, now)

    def _pump(self, now: int) -> None:
        """Serve each line in order while an upstream has room."""
        for pool in self.fleet.pools.values():
            self._serve(pool, now)
            if not pool.line:
                pool.blocked_ns = 0

    def _serve(self, pool: Pool, now: int) -> None:
        fleet, limits = self.fleet, self.settings.limits
        pool.jammed = False
        while pool.line:
            r = pool.line[0]
            if r.asked and now < r.asked_ns + self.look_ns and any(s.heard_ns < r.asked_ns for s in r.asked):
                break  # who waits for an answer to a question is not held up by a want of room
            pool.blocked_ns = pool.blocked_ns or now
            # What stands still must not fill the window while other answers are quick; but where they are
            # slow too, upstreams are crowded, and work whose answer is late still runs there.
            window = max(1.0, self.crowding.window * pool.able(now))
            freed = max(1.0, STUCK_PART * window) * (1 if self.crowding.crowded() else 2)
            if self.out - min(self.stuck, freed) >= window:
                pool.jammed = True
                break
            choices = r.choices() if r.attempts else None
            fresh = [s for s in r.asked if s.heard_ns >= r.asked_ns and fleet.fit(s, now)]
            quick = 4 * (now - r.asked_ns) < self.look_ns  # else time is short here, and questions cost some
            if (
                quick
                and fresh
                and not r.busy
                and all(s.ahead(now, 0.0) > 0 for s in fresh)
                and self._look_on(r, fresh, now)
            ):
                break
            fresh += [s for s in r.busy if fleet.fit(s, now)]
            r.asked = []
            server = pool.pick(now, fresh or choices)
            if server is None and choices is None:
                pool.jammed = True
                break
            pool.line.popleft()
            r.place = ""
            if server is None or self._full(r, server, now):
                # All that it may go to are busy, or would answer late: it must not stop the line.
                self.rate.unplaced += 1
                self._refuse(r, now)
            elif r.may_send(server, now, limits):
                self._send(r, server, now)
            else:
                self._refuse(r, now)

    def _full(self, r: Request, server: Server, now: int) -> bool:
        """Would the first that is free answer late, by the work that is known to be ahead of it? An idle one
        is never too slow to try."""
        ahead = server.ahead(now, self.crowding.each)
        return ahead > 0 and ahead + self._work(r) * server.pace > LATE_PART * (r.aim_ns - now)

    def _send(self, r: Request, server: Server, now: int) -> None:
        each = self.crowding.each
        ahead, work = server.ahead(now, each), self._work(r) * server.pace
        self.out += 1
        server.inflight += 1
        expected = min(max(1.0, ahead + work), r.cls.deadline_ns)
        opens = server.inflight > server.most
        server.most = max(server.most, server.inflight)
        a = Attempt(server, now, expected, 1 + ahead / each, ahead, work, opens)
        r.attempts.append(a)
        server.book(now, work)
        if self.fleet.tells:
            self.actions += self.fleet.tell(r.pool, server, work)
        if self.fleet.cold(server, now):
            server.barred_ns = now + self.fleet.cold_gap_ns(server, now)
            self._later(server.barred_ns)
        # Out until its client gives up, also past the aim: its upstream works on, and whoever is refused asks
        # for the same work once more. This hurts where upstreams stop at once what is called off.
        self.actions.append(StartAttempt(r.id, server.id))
        if not r.coming:
            self._watch(r, a, now)

    def _watch(self, r: Request, a: Attempt, now: int) -> None:
        """Look again at an attempt when its upstream should have answered."""
        overdue = now + int(a.expected * (MARGIN + 3 * self.crowding.spread))
        self._later(overdue, self._overdue, r, a, overdue)

    def _feedback(self, now: int) -> None:
        self.checked_ns = now
        if self.tenancy.known is not None:
            self.tenancy.tidy(now)
            for t in self.tenancy.parted.values():
                self._release(t, now)
        for pool in self.fleet.pools.values():
            pool.reach(now)
        self.rate.adjust(now, self.crowding.stress - self.crowding.ease, blind=not self.fleet.tells)
        borne = self.rate.sent / max(1, self.fleet.main.width)
        self.fleet.borne += 0.2 * (borne - self.fleet.borne)
        for t in self.rate.throttles:
            self._release(t, now)
